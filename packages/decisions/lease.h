// The lease of one data centre: elects the host that may issue orders
// and bounds the time for which it may do so.
//
// The lease is a record in the key-value service, bound to a lease of that
// service. The host that creates the record is the holder; the create revision
// is the fencing number, which increases with every new holder. A holder
// measures its lease on its own clock from the moment before it sent the grant
// or renewal, so its lease always ends before the service admits another
// holder.
//
//   following -> granting -> creating -> held -> releasing -> following
//                               |  ^      |                       ^
//                               v  |      +-----------------------+
//                           reading back   (the reply was lost)
//
// A holder that has finished may replace its record with a release record. The
// transaction requires that its own record still exists, so there was no other
// holder in between. The release record states for how long calls of earlier
// holders may still arrive. The next holder deletes it in the transaction that
// creates its own record, so it is used only once; a delayed or duplicate copy
// of either transaction fails its conditions. A holder that crashed, or whose
// write came too late, leaves no release record.
//
// Index
//   RunTransaction ... LeaseAction   calls to the key-value service
//   LeaseOptions                     durations of the lease
//   LeaseRelease                     the release record
//   Lease                            the state machine of one host
//
//   Lease lease({.data_centre = data_centre, .host = host});
//   lease.OnTick(now, actions);  // then carry out `actions`
//   lease.OnStoreReply(now, tag, reply, actions);
//   if (lease.MayAct(now)) {
//     Send(order, lease.Fencing());
//   }

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

// Identifies one call to the key-value service. The caller returns it with the
// reply; a reply to a call that timed out is recognised by its old tag.
using CallTag = uint64_t;

// Requests a transaction.
struct RunTransaction {
  CallTag tag = 0;
  StoreTransaction transaction;

  bool operator==(const RunTransaction&) const = default;
};

// Requests a new lease of the key-value service.
struct GrantLease {
  CallTag tag = 0;
  Duration length{};

  bool operator==(const GrantLease&) const = default;
};

// Requests the renewal of a lease.
struct RenewLease {
  CallTag tag = 0;
  int64_t lease = 0;

  bool operator==(const RenewLease&) const = default;
};

// Requests the revocation of a lease. The reply is ignored.
struct RevokeLease {
  int64_t lease = 0;

  bool operator==(const RevokeLease&) const = default;
};

// A call that a Lease requests; its owner carries it out.
using LeaseAction =
    std::variant<RunTransaction, GrantLease, RenewLease, RevokeLease>;

struct LeaseOptions {
  DataCentreId data_centre;
  HostId host;
  uint64_t incarnation = 0;  // of the host's process
  Duration length = std::chrono::seconds(6);
  // The holder stops acting this long before the lease expires. Covers clock
  // drift between the host and the service: 1 s of 6 s tolerates 16%.
  Duration margin = std::chrono::seconds(1);
  Duration renew_every = std::chrono::seconds(2);
  Duration poll_every = std::chrono::seconds(2);  // while not the holder
  Duration call_timeout = std::chrono::seconds(5);
  // False only in mutation tests: MayAct() then ignores the lease's expiry.
  bool check_clock = true;
};

// The key of a data centre's lease record.
std::string LeaseKey(const DataCentreId& data_centre);

// The key of the release record.
std::string ReleaseKey(const DataCentreId& data_centre);

// The content of a release record: the holder that wrote it, and for how long
// the next holder has to wait.
struct LeaseRelease {
  HostId host;
  uint64_t incarnation = 0;
  Duration wait{};  // calls of earlier holders may arrive for this long

  bool operator==(const LeaseRelease&) const = default;
};

// The release record as JSON. Decoding returns std::nullopt if `wait_ms` is
// missing or negative.
std::string EncodeLeaseRelease(const LeaseRelease& release);
std::optional<LeaseRelease> DecodeLeaseRelease(const std::string& value);

// Acquires, renews and releases a data centre's lease for one host. It does no
// I/O: methods append the calls to make to `out`, and their replies come back
// through the On... methods. At most one call is in flight at a time, apart
// from revocations. A call without a reply is abandoned after `call_timeout`.
class Lease {
 public:
  explicit Lease(LeaseOptions options);

  // Whether orders may be sent now. Call it in the same step that hands the
  // bytes to a socket, with the time read in that step.
  bool MayAct(Instant now) const;

  // The fencing number while held, else 0.
  int64_t Fencing() const { return this->fencing; }

  // Whether this host holds the lease according to the last reply. It may have
  // expired since: check MayAct() before acting on it.
  bool Held() const { return this->fencing != 0; }

  // The id of the host that held the lease when it was last read, or empty.
  const std::string& LastHolder() const { return this->last_holder; }

  // The release record that was deleted when this tenure began. Empty: calls
  // of earlier holders may be in flight for an unknown time.
  const std::optional<LeaseRelease>& Released() const { return this->released; }

  // The number of live hosts of the data centre that sort before this one.
  // The poll interval grows with the rank, so that the load on the service
  // doesn't grow with the number of hosts.
  void SetRank(int64_t rank);

  // Call often, and first at every event: ends a lease that has expired.
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
                      const Result<Duration>& remaining,
                      std::vector<LeaseAction>& out);

  // Revokes the lease and doesn't acquire it again.
  void Retire(std::vector<LeaseAction>& out);

  // Like Retire(), but leaves a release record. Only for a holder none of
  // whose calls in flight can arrive later than `wait` from now. MayAct() is
  // false from here on. Without a valid lease it does the same as Retire().
  void Release(Instant now, Duration wait, std::vector<LeaseAction>& out);

  // Ends the tenure and polls for the lease again. Call it when a newer holder
  // is proven to exist.
  void EndTenure(Instant now, std::vector<LeaseAction>& out);

  // A tag for another call of the same host, unique among its calls.
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

  // The call in flight.
  struct Call {
    CallTag tag = 0;
    Instant sent_at{};
  };

  bool AcceptReply(CallTag tag);
  CallTag StartCall(Instant now);
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
  void DecideByRecord(Instant now,
                      const StoreReply& reply,
                      std::vector<LeaseAction>& out);
  void BeginTenure(Instant now, int64_t fencing, std::vector<LeaseAction>& out);
  void BecomeFollower(Instant now, std::vector<LeaseAction>& out);

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
  Instant term_start{};  // when the last grant or renewal was sent
  Instant valid_until{};
  Instant next_call{};
  std::optional<Call> call;
  CallTag last_tag = 0;
};

}  // namespace hickorystand
