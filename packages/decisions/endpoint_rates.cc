#include "decisions/endpoint_rates.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorystand {
namespace {

// The largest number of tokens of a holder. Several holders may spend them at
// the same moment.
constexpr double kMaxTokens = 1;

// The largest number after a refund: what was earned since the send is kept.
constexpr double kMaxRefundedTokens = kMaxTokens + 1;
constexpr double kRoundingError = 1e-6;

// Maps an endpoint's run and a host to a number, identically on every host.
uint64_t RendezvousWeight(const EndpointRun& endpoint, const HostId& host) {
  const std::string& id = endpoint.id.Text();
  const std::string& name = host.Text();
  return XXH3_64bits_withSeed(
      name.data(), name.size(),
      XXH3_64bits_withSeed(id.data(), id.size(),
                           static_cast<uint64_t>(endpoint.started)));
}

}  // namespace

void EndpointRates::SetHosts(const HostId& own, const std::set<HostId>& all) {
  if (own == this->self && all == this->hosts) {
    return;
  }
  this->self = own;
  this->hosts = all;
  for (auto& [id, rate] : this->rates) {
    this->ChooseHolders(rate);
  }
}

void EndpointRates::SetEndpoints(const FleetEndpoints& listed) {
  std::erase_if(this->rates, [&listed](const auto& entry) {
    const auto found = listed.find(entry.first);
    return found == listed.end() || found->second.run != entry.second.endpoint;
  });
}

bool EndpointRates::OnAnswer(Instant now, const RateAnswer& answer) {
  const auto found = this->rates.find(answer.endpoint.id);
  const bool known =
      found != this->rates.end() && found->second.endpoint == answer.endpoint;
  if (!answer.per_second && (!known || !found->second.per_second ||
                             answer.sent <= found->second.stated_at)) {
    return false;  // may have been answered before the rate was stated
  }
  const bool repeat = known && answer.per_second && found->second.per_second &&
                      now - found->second.reported_at >= this->options.repeat;
  const bool changed =
      this->Apply(now, answer.endpoint, now, answer.per_second);
  if (changed || repeat) {
    this->unreported.insert(answer.endpoint.id);
  }
  return changed;
}

std::vector<EndpointRun> EndpointRates::OnUpdate(
    Instant now,
    const EndpointRatesUpdate& update) {
  std::vector<EndpointRun> changed;
  for (const RateReport& report : update.rates) {
    if (report.age < Duration{} ||
        (report.per_second && !(*report.per_second >= 0))) {
      continue;
    }
    if (this->Apply(now, report.endpoint, now - report.age,
                    report.per_second)) {
      changed.push_back(report.endpoint);
    }
    if (const auto found = this->rates.find(report.endpoint.id);
        found != this->rates.end() &&
        found->second.endpoint == report.endpoint) {
      found->second.reported_at = now;
    }
  }
  return changed;
}

// Returns whether the rate in force has changed.
bool EndpointRates::Apply(Instant now,
                          const EndpointRun& endpoint,
                          Instant stated_at,
                          std::optional<double> per_second) {
  Rate& rate = this->rates[endpoint.id];
  if (rate.endpoint != endpoint) {
    if (endpoint.started < rate.endpoint.started) {
      return false;
    }
    rate = {.endpoint = endpoint, .refilled_at = now};
  }
  if (stated_at < rate.stated_at) {
    return false;
  }
  rate.stated_at = stated_at;
  const bool both = rate.per_second && per_second;
  if (both ? std::abs(*per_second - *rate.per_second) <=
                 this->options.reported_change * *rate.per_second
           : rate.per_second.has_value() == per_second.has_value()) {
    return false;
  }
  rate.tokens = rate.per_second ? this->TokensAt(rate, now) : 0;
  rate.refilled_at = now;
  rate.per_second = per_second;
  this->ChooseHolders(rate);
  return true;
}

void EndpointRates::ChooseHolders(Rate& rate) const {
  const double most = this->options.min_holders + rate.per_second.value_or(0);
  rate.holders = std::min(static_cast<int64_t>(this->hosts.size()),
                          static_cast<int64_t>(most));
  const uint64_t own = RendezvousWeight(rate.endpoint, this->self);
  const auto before_own =
      std::ranges::count_if(this->hosts, [&](const HostId& host) {
        return std::pair(RendezvousWeight(rate.endpoint, host), host) >
               std::pair(own, this->self);
      });
  rate.holds = this->hosts.contains(this->self) && before_own < rate.holders;
}

double EndpointRates::OwnPerSecond(const Rate& rate) const {
  return rate.holds ? this->options.request_share *
                          std::max(rate.per_second.value_or(0),
                                   this->options.min_per_second) /
                          static_cast<double>(rate.holders)
                    : 0;
}

// Tokens above the maximum come from refunds and stay until they are spent.
double EndpointRates::TokensAt(const Rate& rate, Instant now) const {
  const double refilled = rate.tokens + this->OwnPerSecond(rate) *
                                            ToSeconds(now - rate.refilled_at);
  return std::max(rate.tokens, std::min(kMaxTokens, refilled));
}

const EndpointRates::Rate* EndpointRates::FindLimited(
    const EndpointId& endpoint) const {
  const auto found = this->rates.find(endpoint);
  return found != this->rates.end() && found->second.per_second ? &found->second
                                                                : nullptr;
}

bool EndpointRates::MaySend(Instant now, const EndpointId& endpoint) const {
  const Rate* rate = this->FindLimited(endpoint);
  if (rate == nullptr) {
    return true;
  }
  return rate->holds ? this->TokensAt(*rate, now) > kMaxTokens - kRoundingError
                     : now - std::max(rate->stated_at, rate->probed_at) >=
                           this->options.probe_after;
}

void EndpointRates::OnSent(Instant now, const EndpointId& endpoint) {
  const auto found = this->rates.find(endpoint);
  if (found == this->rates.end() || !found->second.per_second) {
    return;
  }
  Rate& rate = found->second;
  rate.tokens = this->TokensAt(rate, now) - 1;
  rate.refilled_at = now;
  rate.probed_at = now;
}

void EndpointRates::Refund(Instant now, const EndpointId& endpoint) {
  const auto found = this->rates.find(endpoint);
  if (found != this->rates.end() && found->second.per_second) {
    found->second.tokens =
        std::min(kMaxRefundedTokens, this->TokensAt(found->second, now) + 1);
    found->second.refilled_at = now;
  }
}

std::optional<Duration> EndpointRates::UntilAllowed(
    Instant now,
    const EndpointId& endpoint) const {
  const Rate* rate = this->FindLimited(endpoint);
  if (rate == nullptr) {
    return Duration{};
  }
  if (!rate->holds) {
    return {};
  }
  const double missing = kMaxTokens - this->TokensAt(*rate, now);
  return FromSeconds(std::max(missing, 0.0) / this->OwnPerSecond(*rate));
}

Duration EndpointRates::PollInterval(const EndpointId& endpoint) const {
  const Rate* rate = this->FindLimited(endpoint);
  return rate == nullptr
             ? Duration{}
             : FromSeconds(1 / (this->options.poll_share *
                                std::max(rate->per_second.value_or(0),
                                         this->options.min_per_second)));
}

std::optional<RateShare> EndpointRates::Find(Instant now,
                                             const EndpointId& endpoint) const {
  const Rate* rate = this->FindLimited(endpoint);
  if (rate == nullptr) {
    return {};
  }
  return RateShare{.per_second = rate->per_second.value_or(0),
                   .own_per_second = this->OwnPerSecond(*rate),
                   .holders = rate->holders,
                   .age = now - rate->stated_at};
}

size_t EndpointRates::Limited() const {
  return static_cast<size_t>(std::ranges::count_if(
      this->rates,
      [](const auto& entry) { return entry.second.per_second.has_value(); }));
}

EndpointRatesUpdate EndpointRates::TakeUpdate(Instant now) {
  EndpointRatesUpdate update;
  for (const EndpointId& id : std::exchange(this->unreported, {})) {
    const auto found = this->rates.find(id);
    if (found == this->rates.end()) {
      continue;
    }
    Rate& rate = found->second;
    rate.reported_at = now;
    update.rates.push_back({.endpoint = rate.endpoint,
                            .per_second = rate.per_second,
                            .age = now - rate.stated_at});
  }
  return update;
}

EndpointRatesUpdate EndpointRates::Snapshot(Instant now) const {
  EndpointRatesUpdate update;
  for (const auto& [id, rate] : this->rates) {
    update.rates.push_back({.endpoint = rate.endpoint,
                            .per_second = rate.per_second,
                            .age = now - rate.stated_at});
  }
  return update;
}

}  // namespace hickorystand
