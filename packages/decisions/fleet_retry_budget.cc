#include "decisions/fleet_retry_budget.h"

namespace hickorystand {

void FleetRetryBudget::OnRequest(Instant now, const ServiceId& service) {
  auto& requests = this->counts[service].requests;
  this->RemoveExpired(now, requests);
  requests.push_back(now);
}

bool FleetRetryBudget::Take(Instant now, const ServiceId& service) {
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
  if (static_cast<double>(count.retries.size()) + 1 > allowed) {
    return false;
  }
  count.retries.push_back(now);
  return true;
}

void FleetRetryBudget::RemoveExpired(Instant now,
                                     std::deque<Instant>& times) const {
  while (!times.empty() && now - times.front() >= this->options.window) {
    times.pop_front();
  }
}

}  // namespace hickorystand
