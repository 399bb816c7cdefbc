// The coordinator of one data centre: gives orders to its endpoints and to the
// platform, and reports its usage, while it holds the lease.
//
// Every entry host runs one; the lease decides which of them acts. It is pure:
// events come in with their time, actions go out as values.
//
//   an order:  Propose -> recorded in the store -> SendOrder -> reply ->
//   removed a window:  closed and written in the store -> SendUsageReport ->
//   removed
//
// Nothing leaves before its intent is recorded under the holder's own fencing
// number, and a record is only written while that lease stands. So a deposed
// holder can't begin anything new; and what it may have begun, its successor
// reads. The successor repeats such an order as it stands and gives the
// endpoint no other until that is reported done. What goes to the platform
// waits until the earlier holder is known to have stopped: it said so, its host
// runs a new process, or its host left the platform's list.
//
// The caller must ask MayAct() in the very step that hands the bytes of an
// order or a report to a socket that is already connected, and drop the action
// if it may not. A connection dies with the endpoint's process, so that an
// order delayed in it can't reach the next one.
//
// Index
//   SendOrder ... CoordinatorAction   what it wants done
//   Release                           word that a holder stopped
//   CoordinatorOptions                how it is set
//   Coordinator                       the state machine

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decisions/lease.h"
#include "decisions/orders.h"
#include "decisions/store.h"
#include "decisions/usage.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Sends an order to its endpoint. An endpoint takes an id that it knows as a
// repeat and answers with that order's state.
struct SendOrder {
  Order order;
  int64_t fencing = 0;  // of the sender, which may be a successor

  bool operator==(const SendOrder&) const = default;
};

// Sends an order to the platform's interface for endpoints. The order's id is
// the token that makes a repeat idempotent.
struct SendEndpointOrder {
  Order order;
  int64_t fencing = 0;

  bool operator==(const SendEndpointOrder&) const = default;
};

// Reports a closed window to the platform.
struct SendUsageReport {
  int64_t window = 0;
  int64_t fencing = 0;
  AccountUsage figures;

  bool operator==(const SendUsageReport&) const = default;
};

// A holder's word that it stopped: no byte of this tenure, or of an earlier one
// of the same host, leaves it any more.
struct Release {
  HostId host;
  uint64_t incarnation = 0;
  int64_t fencing = 0;

  bool operator==(const Release&) const = default;
};

// Tells every host of the data centre. Repeated now and then, as it may be
// lost.
struct TellReleased {
  Release release;

  bool operator==(const TellReleased&) const = default;
};

using CoordinatorAction = std::variant<RunTransaction,
                                       GrantLease,
                                       RenewLease,
                                       RevokeLease,
                                       SendOrder,
                                       SendEndpointOrder,
                                       SendUsageReport,
                                       TellReleased>;
using CoordinatorActions = std::vector<CoordinatorAction>;

// What became of an order that was sent, as its receiver answered.
enum class OrderReply {
  kRunning,   // accepted or under way
  kDone,      // carried out; also the platform's acceptance
  kRejected,  // refused for good, without effect
  kStale,     // refused: the receiver has seen a higher fencing number
  kNoReply,   // lost or failed: it may have arrived
  kNotSent,   // surely no byte left, as when MayAct() said no
};

// What became of a usage report.
enum class ReportReply {
  kAccepted,
  kNoReply,
  kNotSent,
};

// An entry in the platform's list of hosts.
struct HostListing {
  HostId host;
  bool leaving = false;

  auto operator<=>(const HostListing&) const = default;
};

// How a coordinator is set.
struct CoordinatorOptions {
  LeaseOptions lease;
  // At most one write of the record in this time; what comes up meanwhile goes
  // together: 5 writes a second per data centre at the worst.
  Duration write_every = std::chrono::milliseconds(200);
  Duration resend_every = std::chrono::seconds(1);
  Duration window_length = std::chrono::seconds(60);
  Duration announce_every = std::chrono::seconds(2);  // of a release
  // How long a planned stop waits for replies to what was sent.
  Duration release_grace = std::chrono::seconds(2);
  // How long a host must be missing from the platform's list before it counts
  // as gone. Covers the list's lag, also for a host that has only just joined.
  Duration unlisted_for = std::chrono::seconds(30);
  Duration call_timeout = std::chrono::seconds(5);
  int64_t max_orders = 1024;           // open at once; about 300 bytes each
  int64_t max_windows = 1000;          // closed and not reported
  int64_t max_record_bytes = 900'000;  // the store takes a megabyte
  int64_t kept_windows = 60;           // reported ones that stay readable
  // How long a host's process must have counted nothing, and be gone, before
  // its counters are dropped. Well above any partition.
  Duration forget_after = std::chrono::hours(1);

  // Off only in mutation tests; each shows that its mechanism is needed.
  bool write_intent_first = true;   // record an order before it leaves
  bool successor_waits = true;      // heed what earlier holders began
  bool record_takeover = true;      // record whoever repeats an order
  bool window_written_once = true;  // write figures before reporting them
};

// What an order should do; becomes an Order when proposed.
struct OrderRequest {
  OrderKind kind = OrderKind::kSetRole;
  EndpointId endpoint;
  std::string argument;
  ServiceId service;
  bool cheap = false;
  int64_t change = 0;
  bool fences = false;

  bool operator==(const OrderRequest&) const = default;
};

// One host's coordinator.
class Coordinator {
 public:
  explicit Coordinator(CoordinatorOptions options);

  // Whether orders and reports of this fencing number may leave now.
  bool MayAct(Instant now, int64_t fencing) const;

  // Whether it holds the lease and knows what earlier holders left.
  bool Ready() const { return this->phase == Phase::kReady; }
  const Lease& Authority() const { return this->lease; }

  // Proposes an order; answers its id. Refused with kNotHolder without the
  // lease, kConflict while the endpoint has another order open, kOverloaded
  // when too many are open, and kShuttingDown during a planned stop.
  Result<OrderId> Propose(Instant now,
                          const OrderRequest& request,
                          CoordinatorActions& out);

  // Call every 50 ms or so.
  void OnTick(Instant now, CoordinatorActions& out);

  // Replies of the key-value service.
  void OnStoreReply(Instant now,
                    CallTag tag,
                    const StoreReply& reply,
                    CoordinatorActions& out);
  void OnLeaseGranted(Instant now,
                      CallTag tag,
                      const Result<int64_t>& lease,
                      CoordinatorActions& out);
  void OnLeaseRenewed(Instant now,
                      CallTag tag,
                      const Result<Duration>& left,
                      CoordinatorActions& out);

  // Replies to what was sent.
  void OnOrderReply(Instant now,
                    const OrderId& order,
                    OrderReply reply,
                    CoordinatorActions& out);
  void OnReportReply(Instant now,
                     int64_t window,
                     ReportReply reply,
                     CoordinatorActions& out);

  // An endpoint restarted and may have forgotten its orders: they are sent
  // again. Or it is no longer part of the fleet, which ends them.
  void OnEndpointRestarted(Instant now,
                           const EndpointId& endpoint,
                           CoordinatorActions& out);
  void OnEndpointGone(Instant now,
                      const EndpointId& endpoint,
                      CoordinatorActions& out);

  // The platform's list of the data centre's hosts.
  void OnHosts(Instant now,
               const std::vector<HostListing>& hosts,
               CoordinatorActions& out);

  // Word from a peer: of its release, or only which incarnation it runs (from
  // its digests), which ends what earlier incarnations of it may have begun.
  void OnReleased(Instant now, const Release& release, CoordinatorActions& out);
  void OnPeer(Instant now,
              const HostId& host,
              uint64_t incarnation,
              CoordinatorActions& out);

  // Usage of this or another host. Every coordinator is told, as any of them
  // may be the next to close a window.
  void OnUsage(const UsageCopy& copy) { this->ledger.Merge(copy); }
  const UsageLedger& Usage() const { return this->ledger; }

  // A planned stop: nothing new is begun, replies are awaited for a moment,
  // then the lease is given up and the others are told.
  void StartRelease(Instant now, CoordinatorActions& out);
  bool Released() const { return this->phase == Phase::kReleased; }

  // Orders that stand in the record or wait for it, for status and placement.
  std::vector<Order> OpenOrders() const;

 private:
  enum class Phase {
    kIdle,            // without the lease
    kReadingRecord,   // has the lease, reads what earlier holders left
    kReadingWindows,  // then the windows that this names
    kReady,
    kReleasing,
    kReleased,
  };

  // How far an open order or window is.
  enum class Stage {
    kProposed,  // not recorded yet; must not leave
    kRecorded,  // recorded, and nothing sent by this tenure
    kSent,      // sent at least once without a final reply
    kFinished,  // to be removed from the record
  };

  struct OpenOrder {
    Order order;
    Stage stage = Stage::kProposed;
    Instant next_send{};
  };

  struct OpenReport {
    OpenWindow open;
    Stage stage = Stage::kProposed;
    Instant next_send{};
    std::optional<UsageWindow> window;  // unset until read
  };

  // One transaction under way, and what takes its reply.
  struct Call {
    using Handler = void (Coordinator::*)(Instant,
                                          const StoreReply&,
                                          CoordinatorActions&);
    CallTag tag = 0;
    Instant asked{};
    Handler handler = nullptr;
  };

  // A step that is tried again after a pause.
  using Step = void (Coordinator::*)(Instant, CoordinatorActions&);

  void Drive(Instant now, CoordinatorActions& out);
  void TickLease(Instant now, CoordinatorActions& out);
  void FollowLease(Instant now,
                   const std::vector<LeaseAction>& wanted,
                   CoordinatorActions& out);
  void Begin(Instant now, CoordinatorActions& out);
  void End(Instant now, CoordinatorActions& out);
  void Announce(Instant now, CoordinatorActions& out);
  void Transact(Instant now,
                StoreTransaction transaction,
                Call::Handler handler,
                CoordinatorActions& out);
  void RetryLater(Instant now, Step step);
  StoreCompare LeaseStands() const;
  bool CheckLease(Instant now,
                  const StoreReply& reply,
                  CoordinatorActions& out);
  void ReadRecord(Instant now, CoordinatorActions& out);
  void OnRecordRead(Instant now,
                    const StoreReply& reply,
                    CoordinatorActions& out);
  void Adopt(Instant now, const StoreReply& reply, CoordinatorActions& out);
  std::vector<int64_t> MissingWindows() const;
  void ReadWindows(Instant now, CoordinatorActions& out);
  void OnWindowsRead(Instant now,
                     const StoreReply& reply,
                     CoordinatorActions& out);
  void TakeWindow(int64_t number, const StoreReply& reply);
  OrderRecord Content() const;
  void Write(Instant now, CoordinatorActions& out);
  void AddWindow(Instant now,
                 StoreTransaction& transaction,
                 OrderRecord& content);
  void OnWritten(Instant now, const StoreReply& reply, CoordinatorActions& out);
  void TakeWritten(Instant now);
  void TakeOver(Instant now);
  bool MaySendFor(Instant now,
                  int64_t fencing,
                  const HostId& holder,
                  uint64_t incarnation,
                  bool to_platform) const;
  void SendDue(Instant now, CoordinatorActions& out);
  void SendOne(Instant now, OpenOrder& open, CoordinatorActions& out);
  void SendReport(Instant now, OpenReport& open, CoordinatorActions& out);
  bool HolderStopped(Instant now,
                     int64_t fencing,
                     const HostId& holder,
                     uint64_t incarnation) const;
  void AgeUsage(Instant now);
  bool SourceIsOver(Instant now, const UsageSource& source) const;
  bool TargetBusy(const OrderRequest& request) const;
  bool AwaitsReplies() const;

  CoordinatorOptions options;
  Lease lease;
  UsageLedger ledger;
  Phase phase = Phase::kIdle;
  bool stopping = false;  // a planned stop was asked for
  int64_t fencing = 0;    // of this tenure; 0 without one
  int64_t next_order = 1;
  std::optional<Call> call;
  OrderRecord writing;          // what the call under way writes
  UsageWindow closing;          // and the window that it closes; number 0: none
  OrderRecord stored;           // as last read or written
  int64_t stored_revision = 0;  // 0: there is no record yet
  std::map<OrderId, OpenOrder> orders;
  std::map<int64_t, OpenReport> reports;
  UsageWindow last_window;
  Step retry = nullptr;
  Instant retry_at{};
  Instant next_write{};
  Instant next_window{};
  Instant release_until{};
  Instant next_announcement{};
  std::optional<Release> last_release;
  std::map<HostId, Release> releases;       // the latest of each host
  std::map<HostId, uint64_t> incarnations;  // the latest of each host
  // The sum of each source's counters, and since when it hasn't grown.
  struct SourceAge {
    int64_t total = -1;
    Instant since{};
  };
  std::map<UsageSource, SourceAge> ages;
  std::set<HostId> listed;
  std::map<HostId, Instant> left;  // hosts that left the list, and when
};

}  // namespace hickorystand
