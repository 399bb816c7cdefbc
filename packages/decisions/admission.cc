#include "decisions/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <numeric>
#include <ranges>
#include <tuple>
#include <utility>

namespace hickorystand {
namespace {

constexpr double kDrainWindowSeconds = 1;
constexpr double kDrainGain = 0.3;
constexpr double kMaxRetrySeconds = 30;
constexpr double kRetryJitter = 0.5;
constexpr double kMinWeight = 0.001;
constexpr size_t kMaxPeers = 1024;
constexpr double kNeverDrainsSeconds = 3600;  // beyond any wait

// Requests a second below which an account's rates are dropped.
constexpr double kForgottenRate = 0.001;

// Starved classes go before all others, and among themselves by priority.
constexpr int64_t kStarvedRank = INT64_MIN / 2;

bool IsBatch(const QueuedRequest& waiting) {
  return waiting.request_class == RequestClass::kBatch;
}

}  // namespace

Admission::Admission(const AdmissionOptions& options)
    : options(options), random(options.seed) {}

void Admission::OnConfiguration(const Configuration& configuration) {
  for (const auto& [id, account] : configuration.accounts) {
    AccountState& counted = this->accounts[id];
    counted.weight = std::max(kMinWeight, account.weight);
    counted.max_in_flight = account.max_in_flight;
  }
  std::erase_if(this->accounts, [&](const auto& entry) {
    return !configuration.accounts.contains(entry.first) &&
           entry.second.waiting == 0 && entry.second.in_flight == 0;
  });
}

// The counter of an account that becomes active, raised to the current virtual
// time minus the credit. Otherwise an account could accumulate credit while
// idle and then starve all others for as long.
double Admission::LiftedCounter(const AccountState& account) const {
  return std::max(
      account.counter,
      this->virtual_time - this->options.idle_credit_tokens / account.weight);
}

void Admission::Enqueue(Instant now,
                        const Request& request,
                        double cost,
                        bool requeued) {
  assert(!this->index.contains(request.id) && "request is already queued");
  AccountState& account = this->accounts[request.account];
  if (account.waiting == 0) {
    account.counter = this->LiftedCounter(account);
  }
  const bool batch = request.request_class == RequestClass::kBatch;
  const Duration max_wait =
      FromSeconds(ToSeconds(request.deadline - request.arrived) *
                  this->options.batch_wait_share);
  const Instant batch_due =
      this->options.age_batch
          ? request.arrived + std::min(max_wait, this->options.max_batch_wait)
          : Instant::max();
  QueuedRequest waiting{.request = request.id,
                        .account = request.account,
                        .service = request.service,
                        .request_class = request.request_class,
                        .cost = cost,
                        .due = batch ? batch_due : request.deadline,
                        .order = this->next_order++};
  if (requeued) {
    waiting.due = now;
  } else if (!this->options.fair) {
    waiting.due = request.arrived;
  }
  this->Insert(waiting);
}

void Admission::Insert(const QueuedRequest& waiting) {
  const bool batch = IsBatch(waiting);
  AccountQueues& queues = this->pools[waiting.service].queues[waiting.account];
  (batch ? queues.batch : queues.urgent).insert(waiting);
  (batch ? queues.batch_cost : queues.urgent_cost) += waiting.cost;
  this->accounts[waiting.account].waiting += 1;
  this->queued_bytes += waiting.bytes;
  this->index.emplace(waiting.request, waiting);
}

std::vector<RequestId> Admission::Enqueue(Instant now,
                                          const AdmissionEntry& entry) {
  assert(!this->index.contains(entry.request) && "request is already queued");
  AccountState& account = this->accounts[entry.account];
  if (account.waiting == 0) {
    account.counter = this->LiftedCounter(account);
  }
  ServiceQueue& pool = this->pools[entry.service];
  if (pool.queues.empty()) {
    pool.waiting_since = now;
    pool.started_while_waiting = 0;
  }
  ++pool.waiting[entry.priority];
  this->Insert({.request = entry.request,
                .account = entry.account,
                .service = entry.service,
                .priority = entry.priority,
                .bytes = entry.bytes,
                .cost = entry.cost,
                .due = entry.due,
                .order = this->next_order++});
  std::vector<RequestId> displaced;
  while (this->OverBounds()) {
    displaced.push_back(this->LastInOrder(now));
    this->Remove(displaced.back());
  }
  return displaced;
}

bool Admission::OverBounds() const {
  const AdmissionOptions& bounds = this->options;
  return !this->index.empty() &&
         ((bounds.max_entries > 0 && this->index.size() > bounds.max_entries) ||
          (bounds.max_bytes > 0 && this->queued_bytes > bounds.max_bytes));
}

// The queue must not be empty.
RequestId Admission::LastInOrder(Instant now) const {
  const auto last = std::ranges::max_element(
      this->index, std::less<>(),
      [&](const auto& entry) { return this->RankOf(now, entry.second); });
  return last->first;
}

Admission::Rank Admission::RankOf(Instant now,
                                  const QueuedRequest& waiting) const {
  const double counter = this->options.fair
                             ? this->accounts.at(waiting.account).counter
                             : ToSeconds(waiting.due.time_since_epoch());
  return {this->ClassRank(this->pools.at(waiting.service), waiting.priority),
          IsBatch(waiting) && waiting.due > now, counter, waiting.due,
          waiting.order};
}

// Finds the classes that get far less of what they ask for than all together.
// Accounts count alike, so that one that repeats its requests doesn't make its
// class look starved.
void Admission::CompareClasses(Instant now, ServiceQueue& pool) const {
  if (!this->options.by_class ||
      now - pool.compared_at < this->options.class_comparison) {
    return;
  }
  struct Shares {
    double sum = 0;
    double accounts = 0;
  };
  pool.compared_at = now;
  const double least = this->options.min_compared_requests /
                       ToSeconds(this->options.class_memory);
  std::map<int64_t, Shares> shares;
  Shares all;
  for (auto& [priority, accounts] : pool.classes) {
    std::erase_if(accounts, [&](const auto& entry) {
      return entry.second.asked.PerSecond(now) < kForgottenRate;
    });
    for (const auto& [account, rates] : accounts) {
      const double asked = rates.asked.PerSecond(now);
      if (asked >= least) {
        const double share = std::min(rates.served.PerSecond(now) / asked, 1.0);
        shares[priority].sum += share;
        shares[priority].accounts += 1;
        all.sum += share;
        all.accounts += 1;
      }
    }
  }
  pool.starved.clear();
  for (const auto& [priority, own] : shares) {
    if (own.sum * all.accounts <
        this->options.min_served_share * all.sum * own.accounts) {
      pool.starved.insert(priority);
    }
  }
}

// A class that gets far less of what it asks for than all classes together goes
// first, so that none is starved by more urgent ones.
int64_t Admission::ClassRank(const ServiceQueue& pool, int64_t priority) {
  return pool.starved.contains(priority) ? kStarvedRank + priority : priority;
}

bool Admission::IsStarved(const ServiceId& service, int64_t priority) const {
  const auto pool = this->pools.find(service);
  return pool != this->pools.end() && pool->second.starved.contains(priority);
}

void Admission::OnAsked(Instant now,
                        const ServiceId& service,
                        int64_t priority,
                        const AccountId& account) {
  const ClassRates fresh{.asked = DecayingRate(this->options.class_memory),
                         .served = DecayingRate(this->options.class_memory)};
  ServiceQueue& pool = this->pools[service];
  pool.classes[priority]
      .try_emplace(account, fresh)
      .first->second.asked.Add(now, 1);
  this->CompareClasses(now, pool);
}

bool Admission::GoesBefore(const ServiceId& service, int64_t priority) const {
  const auto pool = this->pools.find(service);
  if (pool == this->pools.end()) {
    return false;
  }
  const int64_t own = this->ClassRank(pool->second, priority);
  return std::ranges::any_of(pool->second.waiting, [&](const auto& entry) {
    return entry.second > 0 &&
           this->ClassRank(pool->second, entry.first) <= own;
  });
}

bool Admission::MoreUrgentWaits(const ServiceId& service,
                                int64_t priority) const {
  const auto pool = this->pools.find(service);
  return pool != this->pools.end() &&
         std::ranges::any_of(pool->second.waiting, [&](const auto& entry) {
           return entry.first < priority && entry.second > 0;
         });
}

double Admission::ExpectedWaitSeconds(Instant now,
                                      const AdmissionEntry& entry) const {
  const auto pool = this->pools.find(entry.service);
  if (pool == this->pools.end() || pool->second.queues.empty() ||
      now - pool->second.waiting_since < this->options.min_drain_time) {
    return 0;
  }
  const auto account = this->accounts.find(entry.account);
  const double counter = account == this->accounts.end()
                             ? this->virtual_time
                             : this->LiftedCounter(account->second);
  const Rank own{this->ClassRank(pool->second, entry.priority), false, counter,
                 entry.due, this->next_order};
  double ahead = 0;
  for (const auto& [id, queues] : pool->second.queues) {
    for (const QueuedRequest& waiting : queues.urgent) {
      ahead += this->RankOf(now, waiting) < own ? waiting.cost : 0;
    }
  }
  // The first in order starts as soon as an endpoint has room, even if nothing
  // has started lately.
  if (ahead <= 0) {
    return 0;
  }
  const double seconds = ToSeconds(now - pool->second.waiting_since);
  const double rate = pool->second.started_while_waiting / seconds;
  // The due time of a caller that comes back may have passed.
  return rate > 0 ? ahead / rate : kNeverDrainsSeconds;
}

void Admission::RetainAccounts(const std::set<AccountId>& accounts) {
  std::erase_if(this->accounts, [&accounts](const auto& entry) {
    return !accounts.contains(entry.first) && entry.second.waiting == 0 &&
           entry.second.in_flight == 0;
  });
  for (auto& [host, peer] : this->peers) {
    std::erase_if(peer.served, [this](const auto& entry) {
      return !this->accounts.contains(entry.first);
    });
  }
}

bool Admission::Remove(const RequestId& request) {
  const auto found = this->index.find(request);
  if (found == this->index.end()) {
    return false;
  }
  const QueuedRequest waiting = found->second;
  this->index.erase(found);
  ServiceQueue& pool = this->pools.at(waiting.service);
  AccountQueues& queues = pool.queues.at(waiting.account);
  const bool batch = IsBatch(waiting);
  [[maybe_unused]] const size_t erased =
      (batch ? queues.batch : queues.urgent).erase(waiting);
  assert(erased == 1 && "index and account queue are inconsistent");
  (batch ? queues.batch_cost : queues.urgent_cost) -= waiting.cost;
  this->accounts.at(waiting.account).waiting -= 1;
  this->queued_bytes -= waiting.bytes;
  if (const auto count = pool.waiting.find(waiting.priority);
      count != pool.waiting.end() && count->second > 0) {
    --count->second;
  }
  if (queues.Empty()) {
    pool.queues.erase(waiting.account);
  }
  return true;
}

// Batch requests that are due are merged by due time; all others go after the
// urgent requests.
std::vector<const QueuedRequest*> Admission::FirstOf(
    Instant now,
    const AccountQueues& queues,
    size_t count) const {
  std::vector<const QueuedRequest*> first;
  auto urgent = queues.urgent.begin();
  auto batch = queues.batch.begin();
  while (first.size() < count) {
    const bool has_batch = batch != queues.batch.end();
    const bool has_urgent = urgent != queues.urgent.end();
    if (!has_batch && !has_urgent) {
      break;
    }
    const bool takes_batch =
        has_batch &&
        (!has_urgent || (batch->due <= now && batch->due < urgent->due));
    first.push_back(takes_batch ? &*batch++ : &*urgent++);
  }
  return first;
}

// The first `count` requests of each class.
std::vector<const QueuedRequest*> Admission::FirstOfClasses(
    const AccountQueues& queues,
    size_t count) const {
  std::vector<const QueuedRequest*> first;
  size_t taken = 0;
  for (const QueuedRequest& waiting : queues.urgent) {
    const bool same_class =
        !first.empty() && first.back()->priority == waiting.priority;
    taken = same_class ? taken : 0;
    if (taken++ < count) {
      first.push_back(&waiting);
    }
  }
  return first;
}

bool Admission::AtLimit(const AccountState& account) const {
  if (account.max_in_flight == 0) {
    return false;
  }
  const auto hosts = static_cast<int64_t>(this->peers.size()) + 1;
  return account.in_flight * hosts >= account.max_in_flight;
}

std::vector<QueuedRequest> Admission::Heads(Instant now,
                                            const ServiceId& service,
                                            size_t per_account) const {
  const auto pool = this->pools.find(service);
  if (pool == this->pools.end()) {
    return {};
  }
  std::vector<std::pair<Rank, const QueuedRequest*>> ranked;
  const bool contended = pool->second.queues.size() > 1;
  for (const auto& [id, queues] : pool->second.queues) {
    const AccountState& account = this->accounts.at(id);
    if (contended && this->AtLimit(account)) {
      continue;
    }
    const auto first = this->options.by_class
                           ? this->FirstOfClasses(queues, per_account)
                           : this->FirstOf(now, queues, per_account);
    std::ranges::transform(
        first, std::back_inserter(ranked), [&](const QueuedRequest* waiting) {
          return std::pair(this->RankOf(now, *waiting), waiting);
        });
  }
  std::ranges::sort(ranked);
  std::vector<QueuedRequest> heads;
  std::ranges::transform(ranked, std::back_inserter(heads),
                         [](const auto& entry) { return *entry.second; });
  return heads;
}

void Admission::Start(Instant now, const RequestId& request) {
  const QueuedRequest waiting = this->index.at(request);
  this->Remove(request);
  this->Charge(now, waiting);
  this->accounts.at(waiting.account).in_flight += 1;
}

void Admission::StartDirectly(Instant now, const AdmissionEntry& entry) {
  AccountState& account = this->accounts[entry.account];
  if (account.waiting == 0) {
    account.counter = this->LiftedCounter(account);
  }
  this->Charge(now, {.account = entry.account,
                     .service = entry.service,
                     .priority = entry.priority,
                     .cost = entry.cost});
}

void Admission::Charge(Instant now, const QueuedRequest& started) {
  AccountState& account = this->accounts.at(started.account);
  this->virtual_time = std::max(this->virtual_time, account.counter);
  account.counter += started.cost / account.weight;
  account.served += started.cost;
  ServiceQueue& pool = this->pools[started.service];
  if (const auto accounts = pool.classes.find(started.priority);
      accounts != pool.classes.end()) {
    if (const auto rates = accounts->second.find(started.account);
        rates != accounts->second.end()) {
      rates->second.served.Add(now, 1);
    }
  }
  this->CompareClasses(now, pool);
  pool.started_while_waiting += started.cost;
  if (now - pool.waiting_since > this->options.drain_memory) {
    pool.waiting_since = now - this->options.drain_memory / 2;
    pool.started_while_waiting /= 2;
  }
  pool.started_cost += started.cost;
  const double elapsed = ToSeconds(now - pool.window_start);
  if (elapsed >= kDrainWindowSeconds) {
    const double rate = pool.started_cost / elapsed;
    pool.drain_rate +=
        (pool.drain_rate == 0 ? 1 : kDrainGain) * (rate - pool.drain_rate);
    pool.started_cost = 0;
    pool.window_start = now;
  }
}

void Admission::AdjustCost(const AccountId& account, double difference) {
  const auto found = this->accounts.find(account);
  if (found != this->accounts.end()) {
    found->second.counter += difference / found->second.weight;
    found->second.served = std::max(0.0, found->second.served + difference);
  }
}

void Admission::OnEnded(const AccountId& account) {
  AccountState& counted = this->accounts.at(account);
  counted.in_flight -= 1;
  assert(counted.in_flight >= 0 && "OnEnded() was called twice for a request");
}

void Admission::OnDigest(const Digest& digest) {
  if (this->peers.size() >= kMaxPeers && !this->peers.contains(digest.host)) {
    return;
  }
  const bool first_digest = !this->peers.contains(digest.host);
  Peer& peer = this->peers[digest.host];
  const bool restarted = peer.incarnation != digest.incarnation;
  if (!restarted && digest.sequence <= peer.sequence) {
    return;
  }
  // The work that relay hosts serve while no requests lack room isn't shared
  // out, so it isn't charged once some do. A restarted relay host counts anew,
  // and reports some accounts only in later digests.
  if (this->options.by_class && (restarted || digest.served.empty())) {
    peer.served.clear();
  }
  for (const AccountServed& served : digest.served) {
    const auto counted = this->accounts.find(served.account);
    if (counted == this->accounts.end()) {
      continue;
    }
    const auto [known, unreported] = peer.served.try_emplace(served.account);
    AccountServed& last = known->second;
    // A relay host counts anew for an account that it had forgotten.
    const bool first_report =
        this->options.by_class && (unreported || served.cost < last.cost);
    // Work that a peer served before its first digest is not charged. Relay
    // hosts report only some accounts at a time, so the same holds for the
    // first report of an account.
    const int64_t previous = first_digest || first_report
                                 ? served.cost
                                 : (restarted ? 0 : last.cost);
    const auto increase = static_cast<double>(served.cost - previous);
    counted->second.counter += increase / counted->second.weight;
    last = served;
  }
  peer.incarnation = digest.incarnation;
  peer.sequence = digest.sequence;
}

void Admission::OnHostLost(const HostId& host) {
  this->peers.erase(host);
}

double Admission::ExpectedWaitSeconds(const Request& request,
                                      double cost) const {
  const auto pool = this->pools.find(request.service);
  if (pool == this->pools.end() || pool->second.queues.empty() ||
      pool->second.drain_rate <= 0) {
    return 0;
  }
  // The request starts when its account's counter has reached `start`. Until
  // then each other account is served up to the same counter value.
  const auto counted = this->accounts.find(request.account);
  const AccountState new_account;
  const AccountState& account =
      counted == this->accounts.end() ? new_account : counted->second;
  const auto& queues = pool->second.queues;
  const auto own = queues.find(request.account);
  const double queued = own == queues.end() ? 0 : own->second.urgent_cost;
  const double counter =
      account.waiting > 0 ? account.counter : this->LiftedCounter(account);
  const double start = counter + queued / account.weight;
  double ahead = queued + cost;
  for (const auto& [id, queue] : queues) {
    if (id != request.account) {
      const AccountState& other = this->accounts.at(id);
      const double cost_before = (start - other.counter) * other.weight;
      ahead += this->options.fair
                   ? std::clamp(cost_before, 0.0, queue.urgent_cost)
                   : queue.urgent_cost;
    }
  }
  return ahead / pool->second.drain_rate;
}

Duration Admission::RetryAfter(const ServiceId& service) {
  double seconds = 1;
  const auto pool = this->pools.find(service);
  if (pool != this->pools.end() && pool->second.drain_rate > 0) {
    double total = 0;
    for (const auto& [id, queue] : pool->second.queues) {
      total += queue.urgent_cost + queue.batch_cost;
    }
    seconds = std::max(seconds, total / pool->second.drain_rate);
  }
  std::uniform_real_distribution<double> jitter(0, kRetryJitter);
  seconds = std::min(seconds, kMaxRetrySeconds);
  return FromSeconds(seconds * (1 + jitter(this->random)));
}

bool Admission::CanMeetDeadline(Instant now,
                                const Request& request,
                                double seconds) const {
  const double remaining = ToSeconds(request.deadline - now);
  return remaining > 0 && seconds <= remaining * this->options.max_wait_share;
}

std::vector<ServiceId> Admission::Services() const {
  std::vector<ServiceId> services;
  for (const auto& [id, pool] : this->pools) {
    if (!pool.queues.empty()) {
      services.push_back(id);
    }
  }
  return services;
}

void Admission::FillDigest(Digest& digest) const {
  for (const auto& [id, counted] : this->accounts) {
    if (counted.served > 0 || counted.waiting > 0) {
      digest.served.push_back(
          {id, std::llround(counted.served), counted.waiting});
    }
  }
}

std::vector<AccountServed> Admission::TakeServed(size_t most) {
  struct Served {
    double since = 0;
    AccountServed report;
  };
  std::vector<Served> all;
  for (auto& [id, counted] : this->accounts) {
    const double since =
        counted.served - std::exchange(counted.taken, counted.served);
    if (since > 0) {
      all.push_back(
          {since, {id, std::llround(counted.served), counted.waiting}});
    }
  }
  std::ranges::sort(all, std::greater<>(), &Served::since);
  std::vector<AccountServed> reports;
  std::ranges::transform(all | std::views::take(most),
                         std::back_inserter(reports), &Served::report);
  return reports;
}

double Admission::Counter(const AccountId& account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 0 : found->second.counter;
}

}  // namespace hickorystand
