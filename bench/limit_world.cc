#include "limit_world.h"

#include <algorithm>
#include <utility>

namespace hickorystand {

bool CountingLimiter::Take(Instant now,
                           const LimitRequest& ask,
                           double reachable_share) {
  Bucket& bucket = this->Count(now, ask.account, reachable_share);
  const auto cost = static_cast<double>(ask.cost);
  if (bucket.tokens < std::min(cost, 0.75 * reachable_share *
                                         this->limits.at(ask.account).burst)) {
    return false;
  }
  bucket.tokens -= cost;
  this->unsent_counts[ask.account] += cost;
  return true;
}

CountingLimiter::Bucket& CountingLimiter::Count(Instant now,
                                                const AccountId& account,
                                                double reachable_share) {
  const AccountLimit& limit = this->limits.at(account);
  Bucket& bucket = this->buckets[account];
  bucket.tokens = std::min(limit.burst * reachable_share,
                           bucket.tokens + limit.rate * reachable_share *
                                               ToSeconds(now - bucket.at));
  bucket.at = now;
  return bucket;
}

void CountingLimiter::OnCounts(Instant now,
                               const std::map<AccountId, double>& admitted) {
  for (const auto& [account, cost] : admitted) {
    this->Count(now, account, 1).tokens -= cost;
  }
}

std::map<AccountId, double> CountingLimiter::TakeCounts() {
  return std::exchange(this->unsent_counts, {});
}

LimitWorld::LimitWorld(LimitWorldOptions options)
    : options(std::move(options)), random(this->options.seed) {
  for (int i = 0; i < this->options.hosts; ++i) {
    Host host{.id = HostId("host-" + std::to_string(i)),
              .scheduler = true,
              .limits = this->options.limits};
    this->hosts.push_back(std::move(host));
  }
}

void LimitWorld::Start() {
  for (int i = 0; i < this->options.hosts; ++i) {
    this->Begin(i);
  }
  this->Run(5);
}

void LimitWorld::Begin(int number) {
  Host& host = this->At(number);
  host.up = true;
  host.frozen = false;
  host.process = ++this->last_process;
  host.deferred_while_frozen.clear();
  host.waiting.clear();
  host.told.clear();
  host.unreachable_since.clear();
  host.shares = std::make_unique<LimitShares>(host.id, this->options.shares);
  LimitOptions how = this->options.how;
  how.first_number = host.process * 1000000;
  host.limiter = std::make_unique<AccountLimiter>(host.id, how);
  host.counter = std::make_unique<CountingLimiter>(host.limits);
  host.limiter->SetLimits(this->now, host.limits);
  if (host.scheduler) {
    host.shares->Start();
  }
  this->RunOnHost(number, host.process, [this, number] { this->Tick(number); });
}

void LimitWorld::Later(Duration delay, std::function<void()> happen) {
  this->events.emplace(this->now + delay, std::move(happen));
}

// Runs `happen` in the given process of a host: deferred while the host is
// frozen, dropped if that process has ended.
void LimitWorld::RunOnHost(int number,
                           int64_t process,
                           std::function<void()> happen) {
  Host& host = this->At(number);
  if (!host.up || host.process != process) {
    return;
  }
  if (host.frozen) {
    host.deferred_while_frozen.push_back(
        [this, number, process, happen = std::move(happen)] {
          this->RunOnHost(number, process, happen);
        });
    return;
  }
  happen();
}

void LimitWorld::Run(double seconds) {
  const Instant end = this->now + FromSeconds(seconds);
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto next = this->events.begin();
    if (this->pick) {
      std::advance(next, this->pick(this->events.count(next->first)));
    }
    const auto event = this->events.extract(next);
    this->now = event.key();
    event.mapped()();
  }
  this->now = end;
}

bool LimitWorld::CanReach(int one, int other) const {
  return !this->cuts.contains(std::minmax(one, other));
}

// Returns the other schedulers that are reachable from this host, or were so
// within the link timeout.
std::vector<HostId> LimitWorld::Linked(int number) {
  Host& host = this->At(number);
  std::vector<HostId> linked;
  for (int i = 0; i < this->options.hosts; ++i) {
    const Host& other = this->At(i);
    if (i == number || !other.up || !other.scheduler) {
      host.unreachable_since.erase(i);
      continue;
    }
    if (this->CanReach(number, i) && !other.frozen) {
      host.unreachable_since.erase(i);
    } else {
      host.unreachable_since.try_emplace(i, this->now);
    }
    const auto unheard = host.unreachable_since.find(i);
    if (unheard == host.unreachable_since.end() ||
        this->now - unheard->second < this->options.silence) {
      linked.push_back(other.id);
    }
  }
  return linked;
}

// Returns the schedulers that are in the membership list or linked.
std::set<HostId> LimitWorld::Present(int number) {
  const std::vector<HostId> linked = this->Linked(number);
  std::set<HostId> present(linked.begin(), linked.end());
  for (const Host& other : this->hosts) {
    const bool lapsed =
        other.store_cut && this->now - *other.store_cut >= this->options.lease;
    if (other.up && other.scheduler && !lapsed) {
      present.insert(other.id);
    }
  }
  return present;
}

void LimitWorld::Tick(int number) {
  Host& host = this->At(number);
  const int64_t process = host.process;
  this->Later(this->options.tick, [this, number, process] {
    this->RunOnHost(number, process, [this, number] { this->Tick(number); });
  });
  this->CallStore(number);
  host.limiter->SetPeers(this->now, this->Linked(number));
  host.limiter->SetShare(this->now, host.shares->OwnShare(this->now),
                         host.shares->HolderShare());
  this->SendRevision(number);
  if (this->options.counting) {
    const auto counts = host.counter->TakeCounts();
    for (const HostId& peer : this->Linked(number)) {
      this->entries += static_cast<int64_t>(counts.size());
      if (!counts.empty()) {
        this->Send(number, peer, [this, counts](int at) {
          this->At(at).counter->OnCounts(this->now, counts);
        });
      }
    }
    return;
  }
  host.limiter->Tick(this->now);
  this->Flush(number);
}

void LimitWorld::CallStore(int number) {
  Host& host = this->At(number);
  const std::set<HostId> present = this->Present(number);
  const bool first = !present.empty() && *present.begin() == host.id;
  const auto due = host.shares->Next(this->now, present, first);
  if (!due) {
    return;
  }
  const Instant asked = this->now;
  const int64_t process = host.process;
  const auto answer = [this, number, process, asked](const StoreReply& reply) {
    this->RunOnHost(number, process, [this, number, asked, reply] {
      this->At(number).shares->OnReply(this->now, asked, reply);
      this->CallStore(number);
    });
  };
  if (host.store_cut || this->store_down) {
    this->Later(std::chrono::milliseconds(1500),
                [answer] { answer({.outcome = StoreOutcome::kUnknown}); });
    return;
  }
  const bool writes = !due->conditions.empty();
  const bool lost = this->answers_lost && writes;
  const Duration late = writes ? this->write_delay : Duration{};
  const Duration one_way_delay = this->options.store_delay / 2;
  this->Later(one_way_delay + late, [this, transaction = *due, answer, lost,
                                     one_way_delay] {
    const StoreReply reply = this->Carry(transaction);
    if (!lost) {
      this->Later(one_way_delay, [answer, reply] { answer(reply); });
    }
  });
  if (lost) {
    this->Later(std::chrono::milliseconds(1500),
                [answer] { answer({.outcome = StoreOutcome::kUnknown}); });
  }
}

StoreReply LimitWorld::Carry(const StoreTransaction& transaction) {
  const int64_t has = this->record ? this->record->mod_revision : 0;
  const bool holds = std::ranges::all_of(
      transaction.conditions,
      [has](const StoreCompare& one) { return one.revision == has; });
  StoreReply reply{.outcome =
                       holds ? StoreOutcome::kThen : StoreOutcome::kOtherwise};
  for (const StoreOperation& step :
       holds ? transaction.then : transaction.otherwise) {
    if (step.kind == StoreOperation::Kind::kPut) {
      this->record = {.key = step.key,
                      .value = step.value,
                      .mod_revision = ++this->revision};
    } else if (this->record) {
      reply.records.push_back(*this->record);
    }
  }
  reply.revision = this->revision;
  return reply;
}

void LimitWorld::Send(int from,
                      const HostId& to,
                      const std::function<void(int)>& deliver) {
  ++this->messages;
  const auto found = std::ranges::find(this->hosts, to, &Host::id);
  const int at = static_cast<int>(found - this->hosts.begin());
  const int64_t process = found->process;
  if (!this->CanReach(from, at) || this->Random() < this->options.lost) {
    return;
  }
  const int copies = this->Random() < this->options.repeated ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Duration extra = this->Random() < this->options.late
                               ? FromSeconds(this->Random())
                               : Duration{};
    this->Later(this->options.delay + extra, [this, at, process, deliver] {
      this->RunOnHost(at, process, [deliver, at] { deliver(at); });
    });
  }
}

void LimitWorld::SendRevision(int number) {
  Host& host = this->At(number);
  const int64_t revision = host.shares->Revision();
  const HostId id = host.id;
  if (!host.scheduler) {
    return;
  }
  for (const HostId& peer : this->Linked(number)) {
    const auto at = static_cast<int>(
        std::ranges::find(this->hosts, peer, &Host::id) - this->hosts.begin());
    if (std::exchange(host.told[at], revision) < revision) {
      this->Send(number, peer, [this, id, revision](int to) {
        this->At(to).shares->OnPeerRevision(id, revision);
      });
    }
  }
}

void LimitWorld::Flush(int number) {
  Host& host = this->At(number);
  const HostId id = host.id;
  const int64_t revision = host.shares->Revision();
  const LimitEffects effects = host.limiter->TakeEffects();
  std::map<HostId, LimitEffects> messages;
  for (const auto& want : effects.wants) {
    messages[want.first].wants.push_back(want);
  }
  for (const auto& grant : effects.grants) {
    messages[grant.first].grants.push_back(grant);
  }
  for (const auto& [to, message] : messages) {
    this->entries +=
        static_cast<int64_t>(message.wants.size() + message.grants.size());
    this->Send(number, to, [this, id, message, revision](int at) {
      this->At(at).shares->OnPeerRevision(id, revision);
      for (const auto& [host, grant] : message.grants) {
        this->At(at).limiter->OnGrant(this->now, id, grant);
      }
      for (const auto& [host, want] : message.wants) {
        this->At(at).limiter->OnWant(this->now, id, want);
      }
      this->Flush(at);
    });
  }
  for (const auto& [ask, verdict] : effects.decided) {
    const auto waited = host.waiting.extract(ask);
    if (waited.empty()) {
      continue;
    }
    const LimitRequest& decided = waited.mapped();
    if (verdict.granted) {
      this->Admit(decided.account, decided.cost);
    } else {
      ++this->tallies[decided.account].refused;
    }
  }
}

void LimitWorld::Admit(const AccountId& account, int64_t cost) {
  LimitTally& tally = this->tallies[account];
  ++tally.admitted;
  tally.admitted_cost += static_cast<double>(cost);
  this->admitted[account].emplace_back(this->now, static_cast<double>(cost));
}

void LimitWorld::Offer(int number,
                       const AccountId& account,
                       int64_t cost,
                       int64_t priority) {
  Host& host = this->At(number);
  if (!host.up || host.frozen || !host.scheduler) {
    return;
  }
  LimitTally& tally = this->tallies[account];
  ++tally.offered;
  const LimitRequest ask{.number = ++this->last_ask,
                         .account = account,
                         .cost = cost,
                         .priority = priority};
  if (this->options.counting) {
    const double reachable_share =
        static_cast<double>(this->Linked(number).size() + 1) /
        static_cast<double>(this->options.hosts);
    if (host.counter->Take(this->now, ask, reachable_share)) {
      this->Admit(account, cost);
    } else {
      ++tally.refused;
    }
    return;
  }
  const auto verdict = host.limiter->Take(this->now, ask);
  if (!verdict) {
    host.waiting[ask.number] = ask;
  } else if (verdict->granted) {
    this->Admit(account, cost);
  } else {
    ++tally.refused;
  }
  this->Flush(number);
}

void LimitWorld::Cut(int one, int other) {
  if (one != other) {
    this->cuts.insert(std::minmax(one, other));
  }
}

void LimitWorld::CutStore(int host) {
  Host& cut = this->At(host);
  cut.store_cut = cut.store_cut.value_or(this->now);
}

void LimitWorld::HealAll() {
  this->cuts.clear();
  for (Host& host : this->hosts) {
    host.store_cut.reset();
  }
}

void LimitWorld::Kill(int host) {
  this->At(host).up = false;
  this->At(host).frozen = false;
}

void LimitWorld::Restart(int host) {
  if (!this->At(host).up) {
    this->Begin(host);
  }
}

void LimitWorld::Freeze(int host) {
  this->At(host).frozen = this->At(host).up;
}

void LimitWorld::Thaw(int number) {
  Host& host = this->At(number);
  if (!std::exchange(host.frozen, false)) {
    return;
  }
  for (const auto& held : std::exchange(host.deferred_while_frozen, {})) {
    held();
  }
}

void LimitWorld::SetScheduler(int number, bool schedules) {
  Host& host = this->At(number);
  if (std::exchange(host.scheduler, schedules) == schedules || !host.up) {
    return;
  }
  if (schedules) {
    host.shares->Start();
  } else {
    host.shares->Stop();
  }
}

void LimitWorld::SetLimits(int number, const AccountLimits& limits) {
  Host& host = this->At(number);
  host.limits = limits;
  if (host.up) {
    host.limiter->SetLimits(this->now, limits);
    this->Flush(number);
  }
}

void LimitWorld::Refund(int number, const AccountId& account, int64_t cost) {
  Host& host = this->At(number);
  if (host.up && !host.frozen) {
    host.limiter->Refund(this->now, account, cost);
    this->Flush(number);
  }
}

double LimitWorld::Own(int number) const {
  const Host& host = this->At(number);
  return host.up ? host.shares->OwnShare(this->now) : 0;
}

double LimitWorld::OwnSum() const {
  double sum = 0;
  for (int i = 0; i < this->options.hosts; ++i) {
    sum += this->Own(i);
  }
  return sum;
}

double LimitWorld::MaxCostInWindow(const AccountId& account,
                                   double window) const {
  const auto found = this->admitted.find(account);
  if (found == this->admitted.end()) {
    return 0;
  }
  double most = 0;
  double sum = 0;
  auto first = found->second.begin();
  for (const auto& [at, cost] : found->second) {
    sum += cost;
    while (at - first->first > FromSeconds(window)) {
      sum -= first->second;
      ++first;
    }
    most = std::max(most, sum);
  }
  return most;
}

}  // namespace hickorystand
