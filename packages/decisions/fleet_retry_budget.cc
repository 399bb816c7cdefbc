#include "decisions/fleet_retry_budget.h"

namespace hickorystand {

void FleetRetryBudget::OnRequest(Instant now, const ServiceId& service) {
  auto& requests = this->counts[service].requests;
  this->Forget(now, requests);
  requests.push_back(now);
}

bool FleetRetryBudget::Take(Instant now, const ServiceId& service) {
  Count& count = this->counts[service];
  this->Forget(now, count.requests);
  this->Forget(now, count.repeats);
  const double slack =
      this->hosts == 0
          ? 0
          : this->options.slack /
                (kSlackPartsPerHost * static_cast<double>(this->hosts));
  const double allowed =
      this->options.share * static_cast<double>(count.requests.size()) + slack;
  if (static_cast<double>(count.repeats.size()) + 1 > allowed) {
    return false;
  }
  count.repeats.push_back(now);
  return true;
}

void FleetRetryBudget::Forget(Instant now, std::deque<Instant>& times) const {
  while (!times.empty() && now - times.front() >= this->options.window) {
    times.pop_front();
  }
}

}  // namespace hickorystand
