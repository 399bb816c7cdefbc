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
    this->pieces.clear();
  }
  const bool gap =
      restarted ? event.sequence > 1 : event.sequence != this->sequence + 1;
  this->sure = event.snapshot || (this->sure && !gap);
  if (restarted && !gap) {
    this->sure = true;
  }
  this->incarnation = event.incarnation;
  this->sequence = event.sequence;
  for (const uint64_t block : event.removed) {
    this->pieces.erase(block);
  }
  for (const uint64_t block : event.added) {
    this->Add(block);
  }
}

void PrefixCache::Expect(const std::vector<uint64_t>& prefix_hashes) {
  for (const uint64_t block : prefix_hashes) {
    this->Add(block);
  }
}

void PrefixCache::Add(uint64_t block) {
  if (this->pieces.size() >= kMaxBlocks) {
    // Evicts an arbitrary block to bound the memory.
    this->pieces.erase(this->pieces.begin());
    this->sure = false;
  }
  this->pieces.insert(block);
}

double PrefixCache::HitShare(const std::vector<uint64_t>& prefix_hashes) const {
  if (prefix_hashes.empty() || this->pieces.empty()) {
    return 0;
  }
  const auto miss = std::ranges::find_if(prefix_hashes, [this](uint64_t block) {
    return !this->pieces.contains(block);
  });
  const auto hits = static_cast<double>(miss - prefix_hashes.begin());
  const double share = hits / static_cast<double>(prefix_hashes.size());
  return this->sure ? share : share * kOutOfSyncFactor;
}

}  // namespace hickorystand
