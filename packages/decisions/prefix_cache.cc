#include "decisions/prefix_cache.h"

#include <algorithm>

namespace hickorystand {
namespace {

// An engine holds about 4000 blocks. Twice that leaves room for blocks whose
// removal has not been reported yet.
constexpr size_t kMaxBlocks = 8192;
constexpr double kOutOfSyncFactor = 0.5;

}  // namespace

void PrefixCache::Apply(const CacheEvent& event) {
  const bool restarted = event.incarnation != this->incarnation;
  if (!restarted && event.sequence <= this->sequence) {
    return;
  }
  if (restarted || event.snapshot) {
    this->blocks.clear();
  }
  const bool gap =
      restarted ? event.sequence > 1 : event.sequence != this->sequence + 1;
  this->in_sync = event.snapshot || (this->in_sync && !gap);
  if (restarted && !gap) {
    this->in_sync = true;
  }
  this->incarnation = event.incarnation;
  this->sequence = event.sequence;
  for (const uint64_t block : event.removed) {
    this->blocks.erase(block);
  }
  for (const uint64_t block : event.added) {
    this->Add(block);
  }
}

void PrefixCache::AssumeCached(const std::vector<uint64_t>& prefix_hashes) {
  for (const uint64_t block : prefix_hashes) {
    this->Add(block);
  }
}

void PrefixCache::Add(uint64_t block) {
  if (this->blocks.size() >= kMaxBlocks) {
    // Evicts an arbitrary block to bound the memory.
    this->blocks.erase(this->blocks.begin());
    this->in_sync = false;
  }
  this->blocks.insert(block);
}

double PrefixCache::HitShare(const std::vector<uint64_t>& prefix_hashes) const {
  if (prefix_hashes.empty() || this->blocks.empty()) {
    return 0;
  }
  const auto miss = std::ranges::find_if(prefix_hashes, [this](uint64_t block) {
    return !this->blocks.contains(block);
  });
  const auto hits = static_cast<double>(miss - prefix_hashes.begin());
  const double share = hits / static_cast<double>(prefix_hashes.size());
  return this->in_sync ? share : share * kOutOfSyncFactor;
}

}  // namespace hickorystand
