#include "engine_batch.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "endpoints/prompt.h"

namespace hickorystand::fakes {

void EngineBatch::Add(Generation generation) {
  generation.prefill_left = generation.prompt_tokens;
  const auto where = generation.batch ? this->waiting.end()
                                      : std::ranges::find(this->waiting, true,
                                                          &Generation::batch);
  this->waiting.insert(where, std::move(generation));
}

void EngineBatch::Remove(const std::string& key) {
  const auto same = [&](const Generation& each) { return each.key == key; };
  this->waiting.remove_if(same);
  this->running.remove_if(same);
}

std::vector<Generation> EngineBatch::Step() {
  this->Admit();
  int64_t prefill = this->options.prefill_tokens_per_step;
  std::vector<Generation> stepped;
  for (Generation& each : this->running) {
    if (each.prefill_left > 0) {
      const int64_t part = std::min(prefill, each.prefill_left);
      each.prefill_left -= part;
      prefill -= part;
    } else {
      stepped.push_back(each);
      ++each.next_token;
    }
  }
  this->running.remove_if([](const Generation& each) { return each.Done(); });
  return stepped;
}

int64_t EngineBatch::QueuedPromptTokens() const {
  int64_t sum = 0;
  for (const auto* list : {&this->waiting, &this->running}) {
    for (const Generation& each : *list) {
      sum += each.prefill_left;
    }
  }
  return sum;
}

std::vector<uint64_t> EngineBatch::CachedPieces() const {
  return {this->cache.begin(), this->cache.end()};
}

void EngineBatch::Admit() {
  while (!this->waiting.empty() && this->Running() < this->options.capacity) {
    Generation& next = this->waiting.front();
    next.cached_tokens =
        std::min(next.prompt_tokens, this->UseCache(next.pieces));
    next.prefill_left = next.prompt_tokens - next.cached_tokens;
    this->running.splice(this->running.end(), this->waiting,
                         this->waiting.begin());
  }
}

// Returns the number of prompt tokens found in the cache, and caches the whole
// prompt.
int64_t EngineBatch::UseCache(const std::vector<uint64_t>& pieces) {
  const auto missing = std::ranges::find_if(pieces, [this](uint64_t piece) {
    return !this->cache_index.contains(piece);
  });
  const auto hits = missing - pieces.begin();
  CacheChange change;
  for (const uint64_t piece : pieces | std::views::reverse) {
    this->Touch(piece, change);
  }
  if (!change.added.empty()) {
    change.sequence = static_cast<int64_t>(this->changes.size()) + 1;
    this->changes.push_back(std::move(change));
  }
  return hits * (kPieceBytes / kBytesPerToken);
}

void EngineBatch::Touch(uint64_t piece, CacheChange& change) {
  const auto known = this->cache_index.find(piece);
  if (known != this->cache_index.end()) {
    this->cache.splice(this->cache.begin(), this->cache, known->second);
    return;
  }
  this->cache.push_front(piece);
  this->cache_index[piece] = this->cache.begin();
  change.added.push_back(piece);
  if (std::ssize(this->cache) > this->options.cache_pieces) {
    change.removed.push_back(this->cache.back());
    this->cache_index.erase(this->cache.back());
    this->cache.pop_back();
  }
}

}  // namespace hickorystand::fakes
