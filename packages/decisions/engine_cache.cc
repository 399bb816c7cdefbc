#include "decisions/engine_cache.h"

#include <iterator>

namespace hickorystand {

void EngineCache::Add(const PartTokens& part, int64_t room, bool confirmed) {
  if (const auto found = this->entries.find(part.part);
      found != this->entries.end()) {
    found->second.confirmed = found->second.confirmed || confirmed;
    this->order.splice(this->order.end(), this->order, found->second.place);
    return;
  }
  this->order.push_back(part.part);
  this->entries[part.part] = {.tokens = part.tokens,
                              .confirmed = confirmed,
                              .place = std::prev(this->order.end())};
  this->total += part.tokens;
  while (this->total > room && this->order.size() > 1) {
    const auto oldest = this->entries.find(this->order.front());
    this->total -= oldest->second.tokens;
    this->entries.erase(oldest);
    this->order.pop_front();
  }
}

void EngineCache::Remove(uint64_t part) {
  const auto found = this->entries.find(part);
  if (found != this->entries.end()) {
    this->total -= found->second.tokens;
    this->order.erase(found->second.place);
    this->entries.erase(found);
  }
}

void EngineCache::RemoveUnconfirmed(uint64_t part) {
  const auto found = this->entries.find(part);
  if (found != this->entries.end() && !found->second.confirmed) {
    this->Remove(part);
  }
}

std::vector<PartTokens> EngineCache::Confirmed() const {
  std::vector<PartTokens> parts;
  for (const uint64_t part : this->order) {
    const Entry& entry = this->entries.at(part);
    if (entry.confirmed) {
      parts.push_back({.part = part, .tokens = entry.tokens});
    }
  }
  return parts;
}

int64_t EngineCache::CachedPrefixTokens(const std::vector<PartTokens>& parts,
                                        bool confirmed_only) const {
  // A cached part can be used only if all parts before it are cached.
  int64_t kept = 0;
  for (const PartTokens& part : parts) {
    const auto found = this->entries.find(part.part);
    if (found == this->entries.end() ||
        (confirmed_only && !found->second.confirmed)) {
      break;
    }
    kept += part.tokens;
  }
  return kept;
}

}  // namespace hickorystand
