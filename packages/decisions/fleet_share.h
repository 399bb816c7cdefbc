// FleetShare: this host's part of a budget that all hosts spend together.
//
// Each host that spends keeps a record in the key-value service, under a lease.
// A host holds a part of 1 / n, where n is the number of hosts with a record in
// its last list. At any moment the parts of all hosts add up to at most 1,
// whatever hosts restart, are cut off or read:
//
//   - a host holds a part only while its own record has been in the service
//     for `settle_time`, without a break, and its lease can't have ended;
//   - the list that it divides by was requested later than that long ago.
//
// So the list of each host that holds a part names all hosts that hold one: the
// records of these were in the service before the list was requested. Lists
// must be linearizable; a stale one may lack new records.
//
//   FleetShare share(self);
//   share.SetSpending(true);
//   share.OnRegistered(now);                     // the record was written
//   share.OnRenewed(requested_at, lease_length);
//   share.OnListed(requested_at, hosts);
//   budget.SetShare(now, share.Term(now));
//
// Index
//   FleetShareOptions   time limits
//   ShareTerm           a part, and until when it is held
//   FleetShare          this host's part

#pragma once

#include <optional>
#include <set>

#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Time limits.
struct FleetShareOptions {
  // Time from the write of this host's record until it holds a part.
  Duration settle_time = std::chrono::seconds(10);
  // Clocks of different hosts run at different speeds; lists and leases are
  // given up this much earlier.
  Duration clock_margin = std::chrono::seconds(1);

  auto operator<=>(const FleetShareOptions&) const = default;
};

// A part of the budget, and the end of the time for which it is held unless it
// is confirmed.
struct ShareTerm {
  double part = 0;
  Instant until{};

  auto operator<=>(const ShareTerm&) const = default;
};

// This host's part. All times are of this host's clock.
class FleetShare {
 public:
  explicit FleetShare(HostId self, const FleetShareOptions& options = {})
      : self(std::move(self)), options(options) {}

  // Whether this host spends. While it doesn't, it holds no part.
  void SetSpending(bool to) { this->spending = to; }

  // This host's record was written by `now`, under a new lease.
  void OnRegistered(Instant now);

  // The lease of the record was renewed for `length`.
  void OnRenewed(Instant requested_at, Duration length);

  // The record is gone, or is about to be deleted.
  void OnUnregistered();

  // Takes the hosts that have a record. Returns false if this host's own record
  // should be among them and isn't; it then has to be written again.
  bool OnListed(Instant requested_at, const std::set<HostId>& listed);

  // The part held now.
  ShareTerm Term(Instant now) const;

  // Hosts with a record in the last list; 0 before the first list.
  size_t Hosts() const { return this->hosts; }

 private:
  HostId self;
  FleetShareOptions options;
  bool spending = false;
  std::optional<Instant> registered_at;
  Instant lease_end{};  // at the earliest
  Instant listed_at{};  // when the last list was requested
  size_t hosts = 0;
};

}  // namespace hickorystand
