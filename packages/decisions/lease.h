// Authority over one data centre: which entry host may give orders, and until
// when it may believe so.
//
// The authority is a record in the key-value service, bound to a lease of that
// service. Whoever creates the record holds it; the revision of its creation
// is the fencing number, which rises with every new holder. A holder counts
// its time on its own clock from the moment before it asked for a renewal, so
// it always stops before the service lets anybody else in.
//
//   following -> granting -> creating -> held -> releasing -> following
//                               |  ^      |                       ^
//                               v  |      +-----------------------+
//                           reading back   (the reply was lost)
//
// A holder that has finished may replace its record by a release record, on
// condition that its own still exists, so nobody has held the lease between the
// two. The release record says for how long calls of earlier holders may still
// arrive. The next holder deletes it in the transaction that creates its own
// record: it counts once, and a late or repeated copy of either transaction
// finds its condition unmet. A holder that crashed, or whose write is late,
// leaves none.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decisions/store.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Names one call to the key-value service. The caller of a decision hands it
// back with the reply; a reply to a call that was given up is recognised by it.
using CallTag = uint64_t;

// Asks for a transaction.
struct RunTransaction {
  CallTag tag = 0;
  StoreTransaction transaction;

  bool operator==(const RunTransaction&) const = default;
};

// Asks for a new lease of the key-value service.
struct GrantLease {
  CallTag tag = 0;
  Duration length{};

  bool operator==(const GrantLease&) const = default;
};

// Asks for a lease to be renewed.
struct RenewLease {
  CallTag tag = 0;
  int64_t lease = 0;

  bool operator==(const RenewLease&) const = default;
};

// Gives a lease up. Nobody waits for the reply.
struct RevokeLease {
  int64_t lease = 0;

  bool operator==(const RevokeLease&) const = default;
};

// What a lease wants done.
using LeaseAction =
    std::variant<RunTransaction, GrantLease, RenewLease, RevokeLease>;

// How a lease is kept.
struct LeaseOptions {
  DataCentreId data_centre;
  HostId host;
  uint64_t incarnation = 0;  // of the host's process
  Duration length = std::chrono::seconds(6);
  // The holder stops this much earlier. Covers clocks that run at different
  // speeds: 1 s of 6 s allows for 16%.
  Duration margin = std::chrono::seconds(1);
  Duration renew_every = std::chrono::seconds(2);
  Duration poll_every = std::chrono::seconds(2);  // of hosts that follow
  Duration call_timeout = std::chrono::seconds(5);
  // Off only in mutation tests: believe in the lease whatever the clock says.
  bool check_clock = true;
};

// The key of a data centre's lease record.
std::string LeaseKey(const DataCentreId& data_centre);

// The key of the release record.
std::string ReleaseKey(const DataCentreId& data_centre);

// What a release record says.
struct LeaseRelease {
  HostId host;
  uint64_t incarnation = 0;
  Duration wait{};  // calls of earlier holders may arrive for this long

  bool operator==(const LeaseRelease&) const = default;
};

std::string EncodeLeaseRelease(const LeaseRelease& release);
std::optional<LeaseRelease> DecodeLeaseRelease(const std::string& value);

// One host's part in the contest for a data centre's lease.
class Lease {
 public:
  explicit Lease(LeaseOptions options);

  // Whether orders may leave now. Call it in the same step that hands the
  // bytes to a socket, with the time read in that step.
  bool MayAct(Instant now) const;

  // The fencing number while held, else 0.
  int64_t Fencing() const { return this->fencing; }

  // Whether this host holds the lease as far as it was told. Only MayAct()
  // says whether it may act on it.
  bool Held() const { return this->fencing != 0; }

  // Who held the lease when it was last read: the host's id, or empty.
  const std::string& LastHolder() const { return this->last_holder; }

  // The release record that was deleted when this tenure began. Empty: calls
  // of earlier holders may be under way, for how long isn't known.
  const std::optional<LeaseRelease>& Released() const { return this->released; }

  // How many live hosts of the data centre come before this one. Hosts poll
  // the less often the later they come, so that calls don't grow with hosts.
  void SetRank(int64_t rank);

  // Call often, and first thing at every event: ends a lease that ran out.
  void OnTick(Instant now, std::vector<LeaseAction>& out);

  // Replies. False if the call isn't (or is no longer) this lease's.
  bool OnStoreReply(Instant now,
                    CallTag tag,
                    const StoreReply& reply,
                    std::vector<LeaseAction>& out);
  bool OnLeaseGranted(Instant now,
                      CallTag tag,
                      const Result<int64_t>& lease,
                      std::vector<LeaseAction>& out);
  bool OnLeaseRenewed(Instant now,
                      CallTag tag,
                      const Result<Duration>& left,
                      std::vector<LeaseAction>& out);

  // Gives the lease up and doesn't contest it again.
  void Retire(std::vector<LeaseAction>& out);

  // The same with a release record. Only for a holder that has nothing under
  // way that could arrive later than `wait` from now. MayAct() is false from
  // here on. Without a valid lease it is Retire().
  void Release(Instant now, Duration wait, std::vector<LeaseAction>& out);

  // Ends the tenure because somebody proved that there is a newer holder.
  void Lose(Instant now, std::vector<LeaseAction>& out);

  // A tag for another call of the same host.
  CallTag NextTag() { return ++this->last_tag; }

 private:
  enum class State {
    kFollowing,
    kGranting,
    kCreating,
    kReadingBack,
    kHeld,
    kReleasing
  };

  // The one call under way.
  struct Call {
    CallTag tag = 0;
    Instant asked{};
  };

  bool TakeReply(CallTag tag);
  CallTag Ask(Instant now);
  void Poll(Instant now, std::vector<LeaseAction>& out);
  void ReadRecord(Instant now, std::vector<LeaseAction>& out);
  void OnPolled(Instant now,
                const StoreReply& reply,
                std::vector<LeaseAction>& out);
  void Create(Instant now,
              const StoreRecord* release,
              std::vector<LeaseAction>& out);
  void OnCreated(Instant now,
                 const StoreReply& reply,
                 std::vector<LeaseAction>& out);
  void OnNotCreated(Instant now,
                    const StoreReply& reply,
                    std::vector<LeaseAction>& out);
  void OnReleased(Instant now,
                  const StoreReply& reply,
                  std::vector<LeaseAction>& out);
  void ReadBack(Instant now, std::vector<LeaseAction>& out);
  void JudgeRecord(Instant now,
                   const StoreReply& reply,
                   std::vector<LeaseAction>& out);
  void Take(Instant now, int64_t fencing, std::vector<LeaseAction>& out);
  void Follow(Instant now, std::vector<LeaseAction>& out);

  LeaseOptions options;
  State state = State::kFollowing;
  bool retired = false;
  int64_t rank = 0;
  int64_t fencing = 0;
  int64_t store_lease = 0;
  uint64_t attempts = 0;
  std::string token;  // unique to each attempt to create the record
  std::optional<LeaseRelease> released;  // deleted by that attempt
  std::string last_holder;
  Instant counted_from{};  // before the grant or renewal was asked for
  Instant valid_until{};
  Instant next_call{};
  std::optional<Call> call;
  CallTag last_tag = 0;
};

}  // namespace hickorystand
