#include "decisions/fleet_retry_budget.h"

namespace hickorystand {

void FleetRetryBudget::OnRequest(Instant now, const ServiceId& service) {
  auto& requests = this->counts[service].requests;
  this->RemoveExpired(now, requests);
  requests.push_back(now);
}

RetryVerdict FleetRetryBudget::Take(Instant now, const ServiceId& service) {
  Count& count = this->counts[service];
  this->RemoveExpired(now, count.requests);
  this->RemoveExpired(now, count.retries);
  const double slack =
      this->hosts == 0
          ? 0
          : this->options.slack /
                (kSlackPartsPerHost * static_cast<double>(this->hosts));
  const double allowed =
      this->options.retry_ratio * static_cast<double>(count.requests.size()) +
      slack;
  RetryVerdict verdict{.requests = static_cast<int64_t>(count.requests.size()),
                       .retries = static_cast<int64_t>(count.retries.size()),
                       .allowed = allowed,
                       .hosts = this->hosts};
  if (static_cast<double>(verdict.retries) + 1 <= allowed) {
    verdict.granted = true;
    ++verdict.retries;
    count.retries.push_back(now);
  }
  return verdict;
}

void FleetRetryBudget::RemoveExpired(Instant now,
                                     std::deque<Instant>& times) const {
  while (!times.empty() && now - times.front() >= this->options.window) {
    times.pop_front();
  }
}

}  // namespace hickorystand
