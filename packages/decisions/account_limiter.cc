#include "decisions/account_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>
#include <tuple>

namespace hickorystand {
namespace {

uint64_t HashOf(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

AccountLimiter::AccountLimiter(HostId self, const LimitOptions& options)
    : self(std::move(self)),
      options(options),
      last_number(options.first_number - 1) {}

double AccountLimiter::BucketSize(const AccountLimit& limit) const {
  const double tolerance =
      (limit.rate * ToSeconds(this->options.window) + limit.burst) *
          this->options.overage +
      this->options.slack;
  return std::max(limit.burst,
                  limit.rate * ToSeconds(this->options.min_burst_duration)) +
         this->options.tolerance_fraction * tolerance;
}

// The fraction of all tokens that this host and its linked hosts receive.
double AccountLimiter::LinkedShare() const {
  return std::min(
      1.0, this->holder_share * static_cast<double>(this->peers.size() + 1));
}

// The size of this host's part of a bucket. The pooled part shrinks with the
// number of linked hosts, so that the homes on the sides of a network partition
// don't each hold all of it.
double AccountLimiter::Capacity(const Bucket& bucket) const {
  const double full = this->BucketSize(bucket.limit);
  switch (this->options.pooling) {
    case LimitPooling::kNone:
    case LimitPooling::kPeers:
      return full * this->holder_share;
    case LimitPooling::kHome:
      break;
  }
  const double local = this->options.local_fraction;
  return full *
         (local * this->holder_share +
          (this->IsHome(bucket) ? (1 - local) * this->LinkedShare() : 0));
}

double AccountLimiter::TokensAt(const Bucket& bucket, Instant now) const {
  const double seconds = std::max(ToSeconds(now - bucket.refilled_at), 0.0);
  const double capacity = this->Capacity(bucket);
  if (bucket.tokens > capacity) {
    return std::max(capacity,
                    bucket.tokens - this->BucketSize(bucket.limit) * seconds);
  }
  return std::min(
      capacity, bucket.tokens + bucket.limit.rate * this->own_share * seconds);
}

void AccountLimiter::Refill(Bucket& bucket, Instant now) const {
  bucket.tokens = this->TokensAt(bucket, now);
  bucket.refilled_at = now;
}

HostId AccountLimiter::ChooseHome(const AccountId& account) const {
  if (this->options.pooling != LimitPooling::kHome) {
    return this->self;
  }
  const auto rank = [&account](const HostId& host) {
    return std::tuple(HashOf(host.Text(), HashOf(account.Text(), 0)), host);
  };
  HostId home = this->self;
  for (const HostId& peer : this->peers) {
    if (rank(peer) < rank(home)) {
      home = peer;
    }
  }
  return home;
}

void AccountLimiter::SetLimits(Instant now, const AccountLimits& limits) {
  std::erase_if(this->buckets, [&](auto& entry) {
    if (limits.contains(entry.first)) {
      return false;
    }
    for (const Waiting& waiting : entry.second.queue) {
      this->Decide(waiting, {.granted = waiting.from.Empty(),
                             .retry_after = this->options.min_retry_after,
                             .reason = "no limit"});
    }
    return true;
  });
  for (const auto& [account, limit] : limits) {
    const auto [found, added] = this->buckets.try_emplace(account);
    Bucket& bucket = found->second;
    if (added) {
      bucket.account = account;
      bucket.limit = limit;
      bucket.refilled_at = now;
      bucket.home = this->ChooseHome(account);
      if (this->configured && this->own_share > 0) {
        bucket.tokens = this->BucketSize(limit) * this->holder_share *
                        (this->options.pooling == LimitPooling::kHome
                             ? this->options.local_fraction
                             : 1);
      }
      continue;
    }
    this->Refill(bucket, now);
    if (bucket.limit.unit != limit.unit) {
      bucket.tokens = 0;  // tokens and debts are in the old unit
    }
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, this->Capacity(bucket));
  }
  this->configured = true;
}

void AccountLimiter::SetShare(Instant now,
                              double own_share,
                              double holder_share) {
  // Without the number of holders, this host still pools the tokens that it is
  // granted; the linked hosts stand in for the holders.
  const double known_share =
      holder_share > 0 ? holder_share
                       : 1 / static_cast<double>(this->peers.size() + 1);
  if (own_share == this->own_share && known_share == this->holder_share) {
    return;
  }
  for (auto& [account, bucket] : this->buckets) {
    this->Refill(bucket, now);
  }
  this->own_share = own_share;
  this->holder_share = known_share;
}

void AccountLimiter::SetPeers(Instant now, const std::vector<HostId>& linked) {
  if (linked == this->peers) {
    return;
  }
  for (auto& [account, bucket] : this->buckets) {
    this->Refill(bucket, now);
  }
  this->peers = linked;
  const auto unlinked = [&](const auto& entry) {
    return std::ranges::find(linked, entry.second.to) == linked.end();
  };
  std::erase_if(this->pending, unlinked);
  for (auto& [account, bucket] : this->buckets) {
    bucket.home = this->ChooseHome(account);
    bucket.refused_until = {};
    std::erase_if(bucket.queue, [&](const Waiting& waiting) {
      return !waiting.from.Empty() &&
             std::ranges::find(linked, waiting.from) == linked.end();
    });
    for (Waiting& waiting : bucket.queue) {
      if (!this->pending.contains(waiting.want_number)) {
        waiting.want_number = 0;
        this->RequestTokens(bucket, waiting, now);
      }
    }
  }
}

// The tokens that the bucket must hold to admit a request.
double AccountLimiter::TokensNeeded(const Bucket& bucket,
                                    const LimitRequest& request,
                                    Instant now) const {
  const double capacity = this->Capacity(bucket);
  const auto cost = static_cast<double>(request.cost);
  const double needed =
      this->IsHome(bucket)
          ? std::min(cost, this->options.low_watermark * capacity)
          : cost;
  const double reserve =
      now < bucket.short_until
          ? std::min(this->options.max_reserve * capacity,
                     this->options.reserve_per_step * cost *
                         static_cast<double>(request.priority))
          : 0;
  return needed + reserve;
}

// Takes the tokens of a request if the bucket holds enough.
bool AccountLimiter::Spend(Bucket& bucket,
                           const LimitRequest& request,
                           Instant now) const {
  if (this->Capacity(bucket) <= 0 ||
      bucket.tokens < this->TokensNeeded(bucket, request, now)) {
    return false;
  }
  bucket.tokens -= static_cast<double>(request.cost);
  return true;
}

// Whether enough tokens may arrive before the wait ends.
bool AccountLimiter::MayServeInTime(const Bucket& bucket,
                                    const LimitRequest& request,
                                    Instant now) const {
  if (this->options.pooling == LimitPooling::kNone || this->peers.empty()) {
    return false;
  }
  if (!this->IsHome(bucket)) {
    return now >= bucket.refused_until;
  }
  const bool others_empty =
      std::ranges::all_of(this->peers, [&](const HostId& peer) {
        const auto found = bucket.emptied_at.find(peer);
        return found != bucket.emptied_at.end() &&
               now - found->second < this->options.refusal_period;
      });
  const double missing =
      this->TokensNeeded(bucket, request, now) - bucket.tokens;
  return !others_empty || missing < bucket.limit.rate * this->LinkedShare() *
                                        ToSeconds(this->options.max_home_wait);
}

std::optional<LimitVerdict> AccountLimiter::Take(Instant now,
                                                 const LimitRequest& request) {
  const auto found = this->buckets.find(request.account);
  if (found == this->buckets.end()) {
    return LimitVerdict{.granted = true, .reason = "no limit"};
  }
  return this->Serve(found->second, {.request = request}, now);
}

std::optional<LimitVerdict> AccountLimiter::Serve(Bucket& bucket,
                                                  Waiting waiting,
                                                  Instant now) {
  this->Refill(bucket, now);
  bucket.last_demand = now;
  if (bucket.queue.empty() && this->Spend(bucket, waiting.request, now)) {
    return this->Granted(bucket);
  }
  // The sender takes this host for the home, but by this host's own list it is
  // not. It refuses instead of forwarding the request.
  if (!waiting.from.Empty() && !this->IsHome(bucket)) {
    return this->Refused(bucket, waiting.request, "not the account's home",
                         now);
  }
  if (!this->MayServeInTime(bucket, waiting.request, now)) {
    return this->Refused(bucket, waiting.request, "used up", now);
  }
  waiting.deadline = now + (this->IsHome(bucket) ? this->options.max_home_wait
                                                 : this->options.max_wait);
  this->RequestTokens(bucket, waiting, now);
  const auto position = std::ranges::upper_bound(
      bucket.queue, waiting.request.priority, {},
      [](const Waiting& queued) { return queued.request.priority; });
  bucket.queue.insert(position, std::move(waiting));
  return {};
}

// Requests tokens for a waiting request: from the home or, at the home, from
// all other hosts.
void AccountLimiter::RequestTokens(Bucket& bucket,
                                   Waiting& waiting,
                                   Instant now) {
  if (this->IsHome(bucket)) {
    if (this->PullDue(bucket, now, 1)) {
      this->Pull(bucket, now);
    }
    return;
  }
  if (!waiting.from.Empty()) {
    return;
  }
  this->Send(bucket.home,
             {.account = bucket.account,
              .tokens = waiting.request.cost,
              .priority = waiting.request.priority},
             now);
  waiting.want_number = this->last_number;
}

void AccountLimiter::Send(const HostId& to, TokenWant want, Instant now) {
  want.number = ++this->last_number;
  this->pending[want.number] = {.to = to, .want = want, .sent = now};
  this->effects.wants.emplace_back(to, std::move(want));
}

LimitVerdict AccountLimiter::Granted(const Bucket& bucket) const {
  return {.granted = true, .home = bucket.home, .held = bucket.tokens};
}

// Refuses a request. The retry-after times of refused requests are staggered at
// the rate at which tokens arrive, so that the retries don't all come at once.
LimitVerdict AccountLimiter::Refused(Bucket& bucket,
                                     const LimitRequest& request,
                                     std::string_view reason,
                                     Instant now) const {
  bucket.short_until = now + this->options.shortage_period;
  const double part =
      this->IsHome(bucket) ? this->LinkedShare() : this->holder_share;
  const double rate = std::max(bucket.limit.rate * part, 1.0);
  const double capacity = this->Capacity(bucket);
  const double missing = std::max(
      std::min(static_cast<double>(request.cost), capacity) - bucket.tokens,
      0.0);
  const Instant longest = now + this->options.max_retry_after;
  const Instant refilled =
      std::min(longest, now + FromSeconds(std::min(missing / rate, 60.0)));
  bucket.backlog_until = std::min(
      longest, std::max(bucket.backlog_until, refilled) +
                   FromSeconds(std::min(
                       static_cast<double>(request.cost) / rate, 60.0)));
  return {.retry_after = std::max(bucket.backlog_until - now,
                                  this->options.min_retry_after),
          .reason = reason,
          .home = bucket.home,
          .held = bucket.tokens};
}

void AccountLimiter::Decide(const Waiting& waiting,
                            const LimitVerdict& verdict) {
  if (waiting.from.Empty()) {
    this->effects.decided.emplace_back(waiting.request.number, verdict);
    return;
  }
  this->effects.grants.emplace_back(
      waiting.from,
      TokenGrant{.number = waiting.request.number,
                 .account = waiting.request.account,
                 .tokens = verdict.granted ? waiting.request.cost : 0,
                 .retry_after = verdict.retry_after});
}

void AccountLimiter::Cancel(int64_t number) {
  for (auto& [account, bucket] : this->buckets) {
    std::erase_if(bucket.queue, [number](const Waiting& waiting) {
      return waiting.from.Empty() && waiting.request.number == number;
    });
  }
}

void AccountLimiter::Refund(Instant now,
                            const AccountId& account,
                            int64_t cost) {
  const auto found = this->buckets.find(account);
  if (found != this->buckets.end()) {
    this->Refill(found->second, now);
    found->second.tokens += static_cast<double>(cost);
    this->ServeQueue(found->second, now);
  }
}

// The tokens that this host can grant to a pull. A home with recent demand
// keeps half of its bucket.
double AccountLimiter::SpareTokens(const Bucket& bucket, Instant now) const {
  const bool busy = now - bucket.last_demand < this->options.shortage_period;
  const bool keeps_half = this->IsHome(bucket) && busy;
  return std::max(bucket.tokens - (keeps_half ? this->Capacity(bucket) / 2 : 0),
                  0.0);
}

void AccountLimiter::OnWant(Instant now,
                            const HostId& from,
                            const TokenWant& want) {
  const auto found = this->buckets.find(want.account);
  if (found == this->buckets.end()) {
    this->effects.grants.emplace_back(
        from, TokenGrant{.number = want.number,
                         .account = want.account,
                         .retry_after = this->options.min_retry_after});
    return;
  }
  Bucket& bucket = found->second;
  Waiting waiting{.request = {.number = want.number,
                              .account = want.account,
                              .cost = want.tokens,
                              .priority = want.priority},
                  .from = from};
  if (!want.pull) {
    if (const auto verdict = this->Serve(bucket, waiting, now)) {
      this->Decide(waiting, *verdict);
    }
    return;
  }
  this->Refill(bucket, now);
  waiting.request.cost = std::min(
      want.tokens, static_cast<int64_t>(this->SpareTokens(bucket, now)));
  bucket.tokens -= static_cast<double>(waiting.request.cost);
  this->Decide(waiting, {.granted = true});
}

// Accepts a grant only as the first reply to a pending want of this host, so
// that a repeated or late message adds no tokens.
void AccountLimiter::OnGrant(Instant now,
                             const HostId& from,
                             const TokenGrant& grant) {
  const auto pending_want = this->pending.find(grant.number);
  if (pending_want == this->pending.end() || pending_want->second.to != from ||
      pending_want->second.want.account != grant.account || grant.tokens < 0) {
    return;
  }
  const bool pulled = pending_want->second.want.pull;
  const bool emptied =
      pulled && grant.tokens < pending_want->second.want.tokens;
  this->pending.erase(pending_want);
  const auto found = this->buckets.find(grant.account);
  if (found == this->buckets.end()) {
    return;
  }
  Bucket& bucket = found->second;
  this->Refill(bucket, now);
  bucket.tokens += static_cast<double>(grant.tokens);
  if (emptied) {
    bucket.emptied_at[from] = now;
  }
  const auto waiting =
      std::ranges::find(bucket.queue, grant.number, &Waiting::want_number);
  if (!pulled && waiting != bucket.queue.end()) {
    const Waiting served = std::move(*waiting);
    bucket.queue.erase(waiting);
    if (grant.tokens >= served.request.cost) {
      bucket.tokens -= static_cast<double>(served.request.cost);
      this->Decide(served, this->Granted(bucket));
    } else {
      const LimitVerdict refused =
          this->Refused(bucket, served.request, "used up at the home", now);
      bucket.refused_until = now + this->options.refusal_period;
      this->Decide(served, {.retry_after = std::max(grant.retry_after,
                                                    refused.retry_after),
                            .reason = refused.reason,
                            .home = refused.home,
                            .held = refused.held});
    }
  }
  this->ServeQueue(bucket, now);
}

// Admits the waiting requests that the tokens now suffice for, and refuses
// those that waited too long or can't get enough tokens in time.
void AccountLimiter::ServeQueue(Bucket& bucket, Instant now) {
  std::deque<Waiting> rest;
  for (Waiting& waiting : std::exchange(bucket.queue, {})) {
    const bool home_pending =
        waiting.want_number != 0 && this->pending.contains(waiting.want_number);
    if (this->Spend(bucket, waiting.request, now)) {
      this->Decide(waiting, this->Granted(bucket));
    } else if (now >= waiting.deadline) {
      this->Decide(waiting, this->Refused(bucket, waiting.request,
                                          home_pending ? "no answer of the home"
                                                       : "used up",
                                          now));
    } else if (!home_pending &&
               !this->MayServeInTime(bucket, waiting.request, now)) {
      this->Decide(waiting,
                   this->Refused(bucket, waiting.request, "used up", now));
    } else {
      rest.push_back(std::move(waiting));
    }
  }
  bucket.queue = std::move(rest);
}

Duration AccountLimiter::PullInterval(const Bucket& bucket) const {
  const double fill_seconds = this->options.local_fraction *
                              this->BucketSize(bucket.limit) /
                              std::max(bucket.limit.rate, 1.0);
  const Duration usual = std::clamp(
      FromSeconds(std::min(fill_seconds, 60.0) *
                  this->options.pull_fill_fraction),
      this->options.min_pull_interval, this->options.max_pull_interval);
  if (bucket.queue.empty() && bucket.tokens >= 0) {
    return usual;
  }
  const auto peers = static_cast<int64_t>(this->peers.size());
  return std::clamp(this->options.urgent_pull_interval_per_peer * peers,
                    this->options.urgent_pull_interval, usual);
}

// Whether this fraction of the pull interval has passed since the last pull.
bool AccountLimiter::PullDue(const Bucket& bucket,
                             Instant now,
                             double part) const {
  return !this->peers.empty() &&
         ToSeconds(now - bucket.last_pull) >=
             part * ToSeconds(this->PullInterval(bucket));
}

void AccountLimiter::Pull(Bucket& bucket, Instant now) {
  bucket.last_pull = now;
  const auto add_cost = [](double sum, const Waiting& queued) {
    return sum + static_cast<double>(queued.request.cost);
  };
  const double missing =
      std::accumulate(bucket.queue.begin(), bucket.queue.end(),
                      this->Capacity(bucket) - bucket.tokens, add_cost);
  const auto part = static_cast<int64_t>(
      std::ceil(missing / static_cast<double>(this->peers.size())));
  for (const HostId& peer : this->peers) {
    const bool already_pulled =
        std::ranges::any_of(this->pending, [&](const auto& entry) {
          return entry.second.want.pull && entry.second.to == peer &&
                 entry.second.want.account == bucket.account;
        });
    if (part > 0 && !already_pulled) {
      this->Send(
          peer, {.account = bucket.account, .tokens = part, .pull = true}, now);
    }
  }
}

void AccountLimiter::Tick(Instant now) {
  std::erase_if(this->pending, [&](const auto& entry) {
    return now - entry.second.sent >= this->options.pull_timeout;
  });
  std::vector<Bucket*> low;
  for (auto& [account, bucket] : this->buckets) {
    const bool has_demand =
        now - bucket.last_demand < this->options.idle_period;
    if (!has_demand && bucket.queue.empty()) {
      continue;
    }
    this->Refill(bucket, now);
    this->ServeQueue(bucket, now);
    const bool needs_tokens =
        !bucket.queue.empty() ||
        bucket.tokens < this->options.low_watermark * this->Capacity(bucket);
    if (this->options.pooling != LimitPooling::kNone && this->IsHome(bucket) &&
        needs_tokens) {
      low.push_back(&bucket);
    }
  }
  // Accounts whose pull is nearly due are pulled too, in the same messages.
  const auto due = [&](double part) {
    return [this, now, part](const Bucket* bucket) {
      return this->PullDue(*bucket, now, part);
    };
  };
  if (std::ranges::any_of(low, due(1))) {
    for (Bucket* bucket : low | std::views::filter(due(0.5))) {
      this->Pull(*bucket, now);
    }
  }
}

double AccountLimiter::TokensHeld(Instant now, const AccountId& account) const {
  const auto found = this->buckets.find(account);
  return found == this->buckets.end() ? 0 : this->TokensAt(found->second, now);
}

const HostId& AccountLimiter::HomeOf(const AccountId& account) const {
  const auto found = this->buckets.find(account);
  return found == this->buckets.end() ? this->self : found->second.home;
}

}  // namespace hickorystand
