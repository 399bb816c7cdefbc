// Many digests as one: what the hosts of a data centre tell the others, and
// what all other data centres told this one, without naming single hosts.
//
// Representatives make both. Served cost is cumulative from the moment when a
// representative first heard a source, over restarts of that source. Counting
// from the source's own start was tried on paper and dropped: whenever another
// representative took over, its sums would have jumped by the work of hours.

#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "decisions/digest.h"
#include "kernel/ids.h"

namespace hickorystand {

// Served cost in a summary is rounded down to this. Fairness between data
// centres works over many seconds; with a small unit every account would count
// as changed in every summary, and a representative passes summaries on to all
// hosts of its data centre.
inline constexpr int64_t kSummaryUnit = 16384;

class DigestSummary {
 public:
  // Takes the newest digest of a source: of a host, or of a data centre under
  // the id of the representative that sent it.
  void OnDigest(const Digest& digest);

  // A source is gone. What it had served stays counted; what it had under way
  // and queued does not.
  void OnGone(const HostId& source);

  // The sum of all sources, as the digest of `host`. Its endpoint news holds
  // what leaves, and nothing of what is down, which is one host's experience.
  // Queues are left out: they change with every request.
  Digest Make(const HostId& host,
              const DataCentreId& data_centre,
              uint64_t incarnation) const;

  // How many sources are remembered.
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
  std::deque<HostId> gone;  // of the sources, oldest first
  std::map<AccountId, int64_t> served;
};

}  // namespace hickorystand
