// The coordinator of one data centre: while it holds the lease, it sends orders
// to the endpoints and the platform, and reports the data centre's usage.
//
// Every host runs one; the lease decides which of them acts. It is a
// state machine without I/O: events come in with their time, and the actions to
// carry out are returned as values.
//
//   order:   Propose -> recorded in the store -> SendOrder -> reply -> removed
//   window:  closed and written in the store -> SendUsageReport -> removed
//
// An order or report is sent only after it was recorded as an intent under the
// holder's own fencing number, and the record is written only while that lease
// is held. So a deposed holder can't start anything new, and its successor
// reads what the holder may have started. The successor repeats such an order
// unchanged and sends the endpoint no other one until it is reported done.
// Orders and reports to the platform wait until the earlier holder is known to
// have stopped: it announced its release, its host runs a new process, or its
// host was removed from the platform's list.
//
// The caller must check MayAct() in the same step that hands the bytes of an
// order or a report to a connected socket, and drop the action if it returns
// false. A connection closes with the endpoint's process, so an order that is
// delayed in it can't reach the endpoint's next process.
//
// Index
//   SendOrder ... CoordinatorAction   actions for the caller to carry out
//   ReleaseNotice                     notice that a holder has stopped
//   CoordinatorOptions                intervals and limits
//   OrderRequest                      an order to propose
//   Coordinator                       the state machine
//
//   Coordinator coordinator({.lease = {.data_centre = data_centre, ...}});
//   coordinator.OnTick(now, actions);
//   if (coordinator.Ready()) {
//     const Result<OrderId> id = coordinator.Propose(now, request, actions);
//   }
//   // Carry out `actions`; report back by OnStoreReply(), OnOrderReply(), ...

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

// Sends an order to its endpoint. An endpoint that has received the id before
// treats it as a repeat and answers with that order's state.
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

// A holder's notice that it has stopped: its host sends no further byte of this
// tenure or of an earlier one.
struct ReleaseNotice {
  HostId host;
  uint64_t incarnation = 0;
  int64_t fencing = 0;

  bool operator==(const ReleaseNotice&) const = default;
};

// Sends a release notice to every host of the data centre. Repeated every
// `announce_every`, as it may be lost.
struct SendReleaseNotice {
  ReleaseNotice release;

  bool operator==(const SendReleaseNotice&) const = default;
};

using CoordinatorAction = std::variant<RunTransaction,
                                       GrantLease,
                                       RenewLease,
                                       RevokeLease,
                                       SendOrder,
                                       SendEndpointOrder,
                                       SendUsageReport,
                                       SendReleaseNotice>;
using CoordinatorActions = std::vector<CoordinatorAction>;

// The outcome of sending an order.
enum class OrderReply {
  kRunning,   // accepted or in progress
  kDone,      // carried out; also the platform's acceptance
  kRejected,  // refused permanently, without effect
  kStale,     // refused: the receiver has seen a higher fencing number
  kNoReply,   // lost or failed: it may have arrived
  kNotSent,   // no byte was sent, as when MayAct() returned false
};

// The outcome of sending a usage report.
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

struct CoordinatorOptions {
  LeaseOptions lease;
  // The shortest interval between writes of the record; changes in between are
  // batched. Limits the load to 5 writes per second per data centre.
  Duration write_every = std::chrono::milliseconds(200);
  Duration resend_every = std::chrono::seconds(1);
  Duration window_length = std::chrono::seconds(60);
  Duration announce_every = std::chrono::seconds(2);  // for release notices
  // How long a planned stop waits for replies to orders and reports in flight.
  Duration release_grace = std::chrono::seconds(2);
  // How long a host must be missing from the platform's list before it counts
  // as gone. Covers the list's lag, also for a host that has just joined.
  Duration unlisted_timeout = std::chrono::seconds(30);
  Duration call_timeout = std::chrono::seconds(5);
  int64_t max_orders = 1024;           // open at once; about 300 bytes each
  int64_t max_windows = 1000;          // closed and not reported
  int64_t max_record_bytes = 900'000;  // the store accepts one megabyte
  int64_t kept_windows = 60;           // reported ones that stay readable
  // How long a source's counters must have been unchanged, and its process be
  // gone, before they are dropped. Well above the length of any partition.
  Duration usage_retention = std::chrono::hours(1);

  // False only in mutation tests, which show that each mechanism is needed.
  bool write_intent_first = true;   // record an order before it is sent
  bool successor_waits = true;      // respect the intents of earlier holders
  bool record_takeover = true;      // record the host that repeats an order
  bool window_written_once = true;  // write figures before reporting them
};

// An order as its caller requests it; Propose() makes it an Order. The members
// mean the same as those of Order.
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

// One host's coordinator. Call OnTick() regularly and the other On... methods
// as their events occur; each appends to `out` the actions to carry out.
class Coordinator {
 public:
  explicit Coordinator(CoordinatorOptions options);

  // Whether orders and reports of this fencing number may be sent now.
  bool MayAct(Instant now, int64_t fencing) const;

  // Whether it holds the lease and has read the intents of earlier holders.
  bool Ready() const { return this->phase == Phase::kReady; }
  const Lease& Authority() const { return this->lease; }

  // Proposes an order and returns its id. Fails with kNotHolder without the
  // lease, kTooLarge if the argument is too long, kConflict while the endpoint
  // has another order open or an earlier holder's order to the platform is
  // unfinished, kOverloaded when too many orders are open, and kShuttingDown
  // during a planned stop.
  Result<OrderId> Propose(Instant now,
                          const OrderRequest& request,
                          CoordinatorActions& out);

  // Call about every 50 ms.
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
                      const Result<Duration>& remaining,
                      CoordinatorActions& out);

  // Replies to orders and usage reports.
  void OnOrderReply(Instant now,
                    const OrderId& order,
                    OrderReply reply,
                    CoordinatorActions& out);
  void OnReportReply(Instant now,
                     int64_t window,
                     ReportReply reply,
                     CoordinatorActions& out);

  // An endpoint restarted and may have lost its orders: they are sent again.
  // An endpoint that is gone, i.e. no longer part of the fleet, ends them.
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

  // Messages of a peer: its release notice, or only its incarnation (from its
  // digests), which proves that its earlier incarnations have stopped.
  void OnReleased(Instant now,
                  const ReleaseNotice& release,
                  CoordinatorActions& out);
  void OnPeer(Instant now,
              const HostId& host,
              uint64_t incarnation,
              CoordinatorActions& out);

  // Usage of this or another host. Pass it to every coordinator, also without
  // the lease, as any of them may be the next to close a window.
  void OnUsage(const UsageCopy& copy) { this->ledger.Merge(copy); }
  const UsageLedger& Usage() const { return this->ledger; }

  // Starts a planned stop: accepts no new orders, waits up to `release_grace`
  // for replies, then ends the tenure and announces the release.
  void StartRelease(Instant now, CoordinatorActions& out);
  bool Released() const { return this->phase == Phase::kReleased; }

  // The orders that are recorded or about to be, for status and placement.
  std::vector<Order> OpenOrders() const;

 private:
  enum class Phase {
    kIdle,            // without the lease
    kReadingRecord,   // holds the lease, reads the order record
    kReadingWindows,  // reads the usage windows that the record names
    kReady,
    kReleasing,
    kReleased,
  };

  // The progress of an open order or window.
  enum class Stage {
    kProposed,  // not recorded yet; must not be sent
    kRecorded,  // recorded, but not sent by this tenure
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

  // The transaction in flight, and the handler of its reply.
  struct Call {
    using Handler = void (Coordinator::*)(Instant,
                                          const StoreReply&,
                                          CoordinatorActions&);
    CallTag tag = 0;
    Instant sent_at{};
    Handler handler = nullptr;
  };

  // A step that is retried after a delay.
  using Step = void (Coordinator::*)(Instant, CoordinatorActions&);

  void Drive(Instant now, CoordinatorActions& out);
  void TickLease(Instant now, CoordinatorActions& out);
  void ApplyLeaseActions(Instant now,
                         const std::vector<LeaseAction>& lease_actions,
                         CoordinatorActions& out);
  void BeginTenure(Instant now, CoordinatorActions& out);
  void EndTenure(Instant now, CoordinatorActions& out);
  void AnnounceRelease(Instant now, CoordinatorActions& out);
  void Transact(Instant now,
                StoreTransaction transaction,
                Call::Handler handler,
                CoordinatorActions& out);
  void RetryLater(Instant now, Step step);
  StoreCompare LeaseHeldCondition() const;
  bool CheckLease(Instant now,
                  const StoreReply& reply,
                  CoordinatorActions& out);
  void ReadRecord(Instant now, CoordinatorActions& out);
  void OnRecordRead(Instant now,
                    const StoreReply& reply,
                    CoordinatorActions& out);
  void LoadRecord(Instant now,
                  const StoreReply& reply,
                  CoordinatorActions& out);
  std::vector<int64_t> MissingWindows() const;
  void ReadWindows(Instant now, CoordinatorActions& out);
  void OnWindowsRead(Instant now,
                     const StoreReply& reply,
                     CoordinatorActions& out);
  void LoadWindow(int64_t number, const StoreReply& reply);
  OrderRecord Content() const;
  void Write(Instant now, CoordinatorActions& out);
  void AddWindow(Instant now,
                 StoreTransaction& transaction,
                 OrderRecord& content);
  void OnWritten(Instant now, const StoreReply& reply, CoordinatorActions& out);
  void ApplyWrite(Instant now);
  void TakeOver(Instant now);
  bool MaySendFor(Instant now,
                  int64_t fencing,
                  const HostId& holder,
                  uint64_t incarnation,
                  bool to_platform) const;
  void SendDue(Instant now, CoordinatorActions& out);
  void SendOpenOrder(Instant now, OpenOrder& open, CoordinatorActions& out);
  void SendReport(Instant now, OpenReport& open, CoordinatorActions& out);
  bool HolderStopped(Instant now,
                     int64_t fencing,
                     const HostId& holder,
                     uint64_t incarnation) const;
  void AgeUsage(Instant now);
  bool SourceEnded(Instant now, const UsageSource& source) const;
  bool TargetBusy(const OrderRequest& request) const;
  bool AwaitsReplies() const;

  CoordinatorOptions options;
  Lease lease;
  UsageLedger ledger;
  Phase phase = Phase::kIdle;
  bool stopping = false;  // a planned stop was requested
  int64_t fencing = 0;    // of this tenure; 0 without the lease
  int64_t next_order = 1;
  std::optional<Call> call;
  OrderRecord writing;          // content written by the call in flight
  UsageWindow closing;          // window closed by that call; number 0: none
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
  std::optional<ReleaseNotice> last_release;
  std::map<HostId, ReleaseNotice> releases;  // the latest of each host
  std::map<HostId, uint64_t> incarnations;   // the latest of each host
  // The sum of each source's counters, and since when it hasn't grown.
  struct SourceAge {
    int64_t total = -1;
    Instant since{};
  };
  std::map<UsageSource, SourceAge> ages;
  std::set<HostId> listed;
  std::map<HostId, Instant> unlisted_since;  // of unlisted holders
};

}  // namespace hickorystand
