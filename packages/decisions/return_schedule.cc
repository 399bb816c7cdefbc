#include "decisions/return_schedule.h"

#include <algorithm>

namespace hickorystand {

ReturnSchedule::Service& ReturnSchedule::Of(const ServiceId& service) {
  return this->services
      .try_emplace(service,
                   Service{.started = DecayingRate(this->options.rate_memory)})
      .first->second;
}

void ReturnSchedule::OnStarted(Instant now, const ServiceId& service) {
  this->Of(service).started.Add(now, 1);
}

Duration ReturnSchedule::IntervalOf(Instant now, const Service& service) const {
  const double rate = service.started.PerSecond(now);
  return rate > 0
             ? std::clamp(FromSeconds(1 / rate), this->options.min_interval,
                          this->options.max_interval)
             : this->options.max_interval;
}

Duration ReturnSchedule::Next(Instant now, const ReturnRequest& refused) {
  Service& service = this->Of(refused.service);
  std::erase_if(service.last_return,
                [now](const auto& entry) { return entry.second < now; });
  const Duration interval = this->IntervalOf(now, service);
  Instant at = now + std::max(refused.until_room, Duration{});
  for (const auto& [priority, last] : service.last_return) {
    if (priority <= refused.priority) {
      at = std::max(at, last + interval);
    }
  }
  const Instant latest =
      now + FromSeconds(ToSeconds(std::max(refused.left, Duration{})) *
                        this->options.max_share_of_left);
  at = std::min(at, latest);
  Instant& last = service.last_return[refused.priority];
  last = std::max(last, at);
  return at - now;
}

}  // namespace hickorystand
