// The admission queue of one host: selects the next request to start,
// and identifies requests that cannot meet their deadline.
//
// Weighted fair queuing between client accounts. Each account has a virtual
// counter of the work it has been served, divided by its weight; the account
// with the lowest counter is next. Work is measured as prompt tokens to compute
// plus generated tokens weighted by their measured cost. Work served by other
// hosts is learned from digests and counts in the same way, so that hosts
// converge on the same order without exchanging single requests. When an idle
// account becomes active again, its counter is raised to that of the others
// minus a capped credit.
//
// Within an account requests are ordered by due time, earliest first. Batch
// requests wait behind all others until a maximum age. From then on they are
// ordered by due time too, so that they are never starved.
//
// Relay hosts order requests by class first (AdmissionOptions::by_class): the
// more urgent class goes before the others, unless one of them has been served
// far less of what it asked for. They admit most requests without a queue, and
// tell the queue of these too, so that the order accounts for all work.
//
// Index
//   AdmissionOptions   parameters and switches
//   AdmissionEntry     a request of a relay host
//   QueuedRequest      one entry of the queue
//   Admission

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/decaying_rate.h"
#include "decisions/digest.h"
#include "decisions/request.h"
#include "kernel/time.h"

namespace hickorystand {

// Parameters of admission. The switches exist for benchmarks and mutation
// tests.
struct AdmissionOptions {
  uint64_t seed = 1;
  bool fair = true;               // false: first in, first out
  bool refuse_unmeetable = true;  // false: queue until the deadline has passed
  bool age_batch = true;
  double idle_credit_tokens =
      20000;  // tokens of credit of an account that was idle
  double batch_wait_share = 0.6;  // of the time to the deadline; then due
  Duration max_batch_wait = std::chrono::minutes(10);
  double max_wait_share =
      0.8;                // of the remaining time that may be spent waiting
  bool by_class = false;  // orders by priority first
  // A class whose requests are served less often than this share of all
  // requests, relative to what is asked for, goes first.
  double min_served_share = 0.3;
  Duration class_memory = std::chrono::seconds(2);  // of that comparison
  Duration class_comparison = std::chrono::milliseconds(20);  // its interval
  // Requests of an account in that memory from which on it counts.
  double min_compared_requests = 1;
  // Bounds of the queue; 0: none. Beyond them the last request is displaced.
  size_t max_entries = 0;
  int64_t max_bytes = 0;
  // The rate at which the queue drains is known after this time of waiting, and
  // averages over about the second one.
  Duration min_drain_time = std::chrono::milliseconds(100);
  Duration drain_memory = std::chrono::seconds(1);

  auto operator<=>(const AdmissionOptions&) const = default;
};

// A request of a relay host.
struct AdmissionEntry {
  RequestId request;
  AccountId account;
  ServiceId service;
  int64_t priority = 0;  // its class; 0 is the most urgent
  double cost = 0;       // milliseconds of an endpoint's time
  int64_t bytes = 0;     // of memory that it takes while it waits
  Instant due{};         // order within its class and account

  auto operator<=>(const AdmissionEntry&) const = default;
};

// One entry of the queue.
struct QueuedRequest {
  RequestId request;
  AccountId account;
  ServiceId service;
  RequestClass request_class = RequestClass::kInteractive;
  int64_t priority = 0;  // AdmissionEntry
  int64_t bytes = 0;
  double cost = 0;     // weighted tokens, or milliseconds
  Instant due{};       // order within the account
  uint64_t order = 0;  // arrival order, breaks ties

  bool operator==(const QueuedRequest&) const = default;
};

// The queues of all services on one host. A request is added by Enqueue(), and
// leaves by Start() or Remove(). Every Start() is followed by one OnEnded().
// Costs are in weighted tokens.
class Admission {
 public:
  explicit Admission(const AdmissionOptions& options);

  void OnConfiguration(const Configuration& configuration);

  // Adds a request to the queue. `requeued`: it was started before; it becomes
  // due immediately.
  void Enqueue(Instant now, const Request& request, double cost, bool requeued);

  // Adds a request of a relay host. Returns the requests that are displaced,
  // and no longer queued, to keep the bounds; it may be one of them.
  std::vector<RequestId> Enqueue(Instant now, const AdmissionEntry& entry);

  // Records that a request has arrived, whether or not it is queued later.
  void OnAsked(Instant now,
               const ServiceId& service,
               int64_t priority,
               const AccountId& account);

  // Records that a request has started without being queued, and charges its
  // cost to the account. OnEnded() isn't called for it.
  void StartDirectly(Instant now, const AdmissionEntry& entry);

  // Whether a queued request of the service goes before a new one of a class,
  // and whether a request of a more urgent class is queued.
  bool GoesBefore(const ServiceId& service, int64_t priority) const;
  bool MoreUrgentWaits(const ServiceId& service, int64_t priority) const;

  // Whether the class has been served so much less than it asked for that it
  // goes before the others.
  bool IsStarved(const ServiceId& service, int64_t priority) const;

  // Estimated queue time of a new request; 0 while the rate at which the queue
  // drains is not known.
  double ExpectedWaitSeconds(Instant now, const AdmissionEntry& entry) const;

  // Forgets accounts that are not in the set and have no requests.
  void RetainAccounts(const std::set<AccountId>& accounts);

  // Removes a request. Returns false if it isn't queued.
  bool Remove(const RequestId& request);

  // The first `per_account` requests of each account, in the order in which
  // they should start: account by account, lowest counter first, batch requests
  // that are not due last.
  std::vector<QueuedRequest> Heads(Instant now,
                                   const ServiceId& service,
                                   size_t per_account) const;

  // Removes a queued request and charges its cost to the account.
  void Start(Instant now, const RequestId& request);

  // Corrects the cost charged by Start(): the real cost differed from the
  // estimate, or the request did not run.
  void AdjustCost(const AccountId& account, double difference);

  // A started request ended, or will be queued again.
  void OnEnded(const AccountId& account);

  // Adds the work that a peer has served since its previous digest to the
  // counters.
  void OnDigest(const Digest& digest);
  void OnHostLost(const HostId& host);

  // Estimated queue time of a new request, from the drain rate of the service
  // and the share of its account.
  double ExpectedWaitSeconds(const Request& request, double cost) const;

  // The Retry-After value for a refused request: the time to drain the queue,
  // with jitter so that callers do not retry all at once.
  Duration RetryAfter(const ServiceId& service);

  // Whether a request can meet its deadline after a wait of `seconds`.
  bool CanMeetDeadline(Instant now,
                       const Request& request,
                       double seconds) const;

  // Services with queued requests.
  std::vector<ServiceId> Services() const;
  int64_t Size() const { return static_cast<int64_t>(this->index.size()); }
  void FillDigest(Digest& digest) const;

  // The accounts that were served most since the last call, `most` at most,
  // with what they were served since process start.
  std::vector<AccountServed> TakeServed(size_t most);
  double Counter(const AccountId& account) const;

 private:
  struct EarlierDue {
    bool operator()(const QueuedRequest& a, const QueuedRequest& b) const {
      return std::tie(a.priority, a.due, a.order) <
             std::tie(b.priority, b.due, b.order);
    }
  };
  using RequestQueue = std::set<QueuedRequest, EarlierDue>;
  struct AccountQueues {
    RequestQueue urgent;
    RequestQueue batch;
    double urgent_cost = 0;
    double batch_cost = 0;
    bool Empty() const { return this->urgent.empty() && this->batch.empty(); }
  };
  struct AccountState {
    double weight = 1;
    int64_t max_in_flight = 0;
    double counter = 0;  // work served by all hosts / weight
    double served = 0;   // work served here since process start
    double taken = 0;    // of that, as of the last TakeServed()
    int64_t waiting = 0;
    int64_t in_flight = 0;
  };
  // The requests of an account in a class, with weights that decay with age.
  struct ClassRates {
    DecayingRate asked;
    DecayingRate served;
  };
  struct ServiceQueue {
    std::map<AccountId, AccountQueues> queues;
    std::map<int64_t, std::map<AccountId, ClassRates>> classes;  // by priority
    std::set<int64_t> starved;  // of them, as of `compared_at`
    Instant compared_at{};
    std::map<int64_t, int64_t> waiting;  // requests, by priority
    Instant waiting_since{};             // without a pause
    double started_while_waiting = 0;    // cost
    double drain_rate = 0;               // cost per second, smoothed
    Instant window_start{};              // start of the measuring window
    double started_cost = 0;             // cost started since window_start
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    std::map<AccountId, AccountServed> served;
  };

  // The position of a queued request; the smallest is the first.
  using Rank = std::tuple<int64_t, bool, double, Instant, uint64_t>;

  void Insert(const QueuedRequest& waiting);
  void Charge(Instant now, const QueuedRequest& started);
  bool OverBounds() const;
  RequestId LastInOrder(Instant now) const;
  Rank RankOf(Instant now, const QueuedRequest& waiting) const;
  void CompareClasses(Instant now, ServiceQueue& pool) const;
  static int64_t ClassRank(const ServiceQueue& pool, int64_t priority);
  double LiftedCounter(const AccountState& account) const;
  std::vector<const QueuedRequest*> FirstOfClasses(const AccountQueues& queues,
                                                   size_t count) const;
  std::vector<const QueuedRequest*> FirstOf(Instant now,
                                            const AccountQueues& lines,
                                            size_t count) const;
  bool AtLimit(const AccountState& account) const;

  AdmissionOptions options;
  std::mt19937_64 random;
  std::map<AccountId, AccountState> accounts;
  std::map<ServiceId, ServiceQueue> pools;
  std::map<RequestId, QueuedRequest> index;
  std::map<HostId, Peer> peers;
  double virtual_time = 0;
  uint64_t next_order = 0;
  int64_t queued_bytes = 0;
};

}  // namespace hickorystand
