// DigestSummary: many digests aggregated into one that names no single host.
//
// The representative of a data centre aggregates the digests of its hosts for
// the other data centres, and the summaries of the other data centres for its
// own hosts. Served cost is cumulative from the first digest that the
// representative received from a source, across restarts of that source. It is
// not counted from the source's own start: whenever another representative took
// over, its sums would jump by hours of work.

#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "decisions/digest.h"
#include "kernel/ids.h"

namespace hickorystand {

// Served cost in a summary is rounded down to a multiple of this. Fairness
// between data centres works over many seconds. With a small unit every account
// would count as changed in every summary, and a representative forwards
// summaries to all hosts of its data centre.
inline constexpr int64_t kSummaryUnit = 16384;

// Aggregates the digests of any number of sources.
class DigestSummary {
 public:
  // Handles a digest of a source: a host, or a data centre under the id of the
  // representative that sent it. Stale digests are ignored.
  void OnDigest(const Digest& digest);

  // Call when a source has left. Its served cost stays counted; its outstanding
  // and queued work does not.
  void OnGone(const HostId& source);

  // Returns the sum of all sources as the digest of `host`. It includes leaving
  // endpoints, but not the down state, which is one host's observation. Queue
  // lengths are left out, as they change with every request.
  Digest Make(const HostId& host,
              const DataCentreId& data_centre,
              uint64_t incarnation) const;

  // The number of sources, including retained ones that have left.
  size_t Sources() const { return this->sources.size(); }

 private:
  struct Source {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    Digest digest;
    std::map<AccountId, int64_t> counted;
  };

  void Count(Source& source, const Digest& digest);

  std::map<HostId, Source> sources;
  std::deque<HostId> departed;  // sources that have left, oldest first
  std::map<AccountId, int64_t> served;
};

}  // namespace hickorystand
