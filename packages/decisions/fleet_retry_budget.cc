#include "decisions/fleet_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace hickorystand {

void FleetRetryBudget::SetOptions(Instant now,
                                  const FleetRetryBudgetOptions& changed) {
  this->options = changed;
  this->BeginTerm(now, this->share);
}

void FleetRetryBudget::SetShare(Instant now, const ShareTerm& share) {
  this->share = share;
  this->BeginTerm(now, share);
}

void FleetRetryBudget::BeginTerm(Instant now, const ShareTerm& share) {
  if (!this->terms.empty()) {
    this->terms.back().until = std::min(this->terms.back().until, now);
  }
  while (!this->terms.empty() &&
         this->terms.front().until <= now - 2 * this->options.window) {
    this->terms.pop_front();
  }
  if (share.part > 0 && share.until > now) {
    this->terms.push_back(
        {.from = now,
         .until = share.until,
         .per_second = share.part * this->options.slack * kSpentSlackShare /
                       ToSeconds(this->options.window)});
  }
}

void FleetRetryBudget::OnRequest(Instant now,
                                 Instant arrived,
                                 const ServiceId& service) {
  Count& count = this->counts[service];
  this->RemoveExpired(now, count);
  // A forwarded request arrived before others that were counted already.
  count.requests.insert(std::ranges::upper_bound(count.requests, arrived),
                        arrived);
}

RetryVerdict FleetRetryBudget::Take(Instant now, const ServiceId& service) {
  Count& count = this->counts[service];
  this->RemoveExpired(now, count);
  count.retries.push_back(now);
  RetryVerdict verdict{.granted = this->Left(count, now) >= 0};
  if (!verdict.granted) {
    count.retries.pop_back();
  }
  verdict.requests = static_cast<int64_t>(count.requests.size());
  verdict.retries = static_cast<int64_t>(count.retries.size());
  verdict.left = std::max(this->Left(count, now), 0.0);
  verdict.share = this->Share(now);
  return verdict;
}

void FleetRetryBudget::Return(Instant taken, const ServiceId& service) {
  std::deque<Instant>& retries = this->counts[service].retries;
  const auto found = std::ranges::find(retries, taken);
  if (found != retries.end()) {
    retries.erase(found);
  }
}

// Retries that may still be taken; negative if too many are counted. What was
// earned since a window before a time grows with the age of that time, so the
// times just before each retry, and now, are the tightest ones.
double FleetRetryBudget::Left(const Count& count, Instant now) const {
  const Duration window = this->options.window;
  double left = this->Earned(count, now - window, now) / 2;
  double since = 0;
  for (auto retry = count.retries.rbegin(); retry != count.retries.rend();
       ++retry) {
    ++since;
    left =
        std::min(left, this->Earned(count, *retry - window, now) / 2 - since);
  }
  return left;
}

double FleetRetryBudget::Earned(const Count& count,
                                Instant since,
                                Instant now) const {
  const auto requests =
      count.requests.end() - std::ranges::lower_bound(count.requests, since);
  return std::accumulate(
      this->terms.begin(), this->terms.end(),
      this->options.retry_ratio * static_cast<double>(requests),
      [&](double sum, const SlackTerm& term) {
        const Duration length =
            std::min(term.until, now) - std::max(term.from, since);
        return sum + term.per_second * std::max(ToSeconds(length), 0.0);
      });
}

void FleetRetryBudget::RemoveExpired(Instant now, Count& count) {
  const auto drop = [now](std::deque<Instant>& times, Duration age) {
    while (!times.empty() && now - times.front() >= age) {
      times.pop_front();
    }
  };
  drop(count.requests, 2 * this->options.window);
  drop(count.retries, this->options.window);
}

}  // namespace hickorystand
