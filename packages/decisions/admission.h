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
// Index
//   AdmissionOptions   parameters and switches
//   QueuedRequest      one entry of the queue
//   Admission

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "decisions/configuration.h"
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
      0.8;  // of the remaining time that may be spent waiting

  auto operator<=>(const AdmissionOptions&) const = default;
};

// One entry of the queue.
struct QueuedRequest {
  RequestId request;
  AccountId account;
  ServiceId service;
  RequestClass request_class = RequestClass::kInteractive;
  double cost = 0;     // weighted tokens
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
  double Counter(const AccountId& account) const;

 private:
  struct EarlierDue {
    bool operator()(const QueuedRequest& a, const QueuedRequest& b) const {
      return std::tie(a.due, a.order) < std::tie(b.due, b.order);
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
    int64_t waiting = 0;
    int64_t in_flight = 0;
  };
  struct ServiceQueue {
    std::map<AccountId, AccountQueues> queues;
    double drain_rate = 0;    // cost per second, smoothed
    Instant window_start{};   // start of the measuring window
    double started_cost = 0;  // cost started since window_start
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    std::map<AccountId, AccountServed> served;
  };

  double LiftedCounter(const AccountState& account) const;
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
};

}  // namespace hickorystand
