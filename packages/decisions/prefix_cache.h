// This host's copy of the contents of an endpoint's prefix cache.
//
// Cache events may arrive late or be lost. After a gap the copy is out of sync
// until the next snapshot, and hits are weighted by one half.

#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

#include "decisions/request.h"

namespace hickorystand {

// The estimated contents of one endpoint's prefix cache, as a set of block
// hashes of bounded size.
class PrefixCache {
 public:
  // Applies an event. Events older than the last one applied are ignored.
  void Apply(const CacheEvent& event);

  // Adds the prefixes of a prompt that was sent to the endpoint, which will be
  // in its cache before the cache event arrives.
  void AssumeCached(const std::vector<uint64_t>& prefix_hashes);

  // The expected share of a prompt that is cached, 0 to 1.
  double HitShare(const std::vector<uint64_t>& prefix_hashes) const;

  // False after lost events, until the next snapshot.
  bool InSync() const { return this->in_sync; }
  size_t Size() const { return this->blocks.size(); }

 private:
  void Add(uint64_t block);

  std::unordered_set<uint64_t> blocks;
  uint64_t incarnation = 0;
  int64_t sequence = 0;
  bool in_sync = true;
};

}  // namespace hickorystand
