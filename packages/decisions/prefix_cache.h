// What this host believes an endpoint's prefix cache to hold.
//
// Cache events come late and with gaps. After a gap the view is unsure until
// the next snapshot, and what it finds counts half.

#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

#include "decisions/request.h"

namespace hickorystand {

// One endpoint's cache, as far as known.
class PrefixCache {
 public:
  // Takes an event; older ones than those already taken are dropped.
  void Apply(const CacheEvent& event);

  // A prompt was sent to the endpoint, so that its prefixes will be there.
  void Expect(const std::vector<uint64_t>& prefix_hashes);

  // The share of a prompt, 0 to 1, that need not be computed again.
  double HitShare(const std::vector<uint64_t>& prefix_hashes) const;

  bool Sure() const { return this->sure; }
  size_t Size() const { return this->pieces.size(); }

 private:
  void Add(uint64_t piece);

  std::unordered_set<uint64_t> pieces;
  uint64_t incarnation = 0;
  int64_t sequence = 0;
  bool sure = true;
};

}  // namespace hickorystand
