// UrgentReserve: how long requests may queue at endpoints while more urgent
// ones lack room.
//
// A request may wait for prefill at an endpoint for a share of its target.
// Classes with long targets would so fill the endpoints' queues beyond what a
// class with a short target can accept, and the latter would be refused first,
// whatever its urgency. While a more urgent class lacks room, the queues that a
// class may cause are therefore bounded by the shortest target of the classes
// at least as urgent, and shorter with each step below the most urgent one. A
// class that is starved goes first in the admission queue. It has as much room
// as the most urgent one, since it would otherwise wait at the head of the
// queue for room that the others use up, and hold them up.
//
//   UrgentReserve reserve;
//   reserve.OnAsked(now, service, priority, target);
//   reserve.OnRefused(now, service, priority);
//   const auto most = reserve.MaxQueueWait(
//       now, service, priority, {.urgent_waits = waits, .starved = starved});

#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

struct UrgentReserveOptions {
  double queue_wait_share = 0.75;  // of the target
  double share_per_step = 0.8;     // for each step below the most urgent class
  // A refusal of a more urgent request holds room for this long.
  Duration shortage_period = std::chrono::seconds(1);
  // Classes without a request for this long are forgotten.
  Duration class_retention = std::chrono::seconds(10);

  auto operator<=>(const UrgentReserveOptions&) const = default;
};

// What the admission queue knows of a class.
struct ClassQueueState {
  bool urgent_waits = false;  // a more urgent request waits for admission
  bool starved = false;       // Admission::IsStarved
};

class UrgentReserve {
 public:
  explicit UrgentReserve(const UrgentReserveOptions& options = {})
      : options(options) {}

  // Records a request of a class with its target.
  void OnAsked(Instant now,
               const ServiceId& service,
               int64_t priority,
               Duration target) {
    Class& asked = this->classes[service][priority];
    asked.target =
        this->IsRecent(now, asked) ? std::min(asked.target, target) : target;
    asked.asked_at = now;
  }

  // Records that a request of a class was refused for lack of room.
  void OnRefused(Instant now, const ServiceId& service, int64_t priority) {
    this->classes[service][priority].refused_at = now;
  }

  // The longest queue that a request of a class may wait in at an endpoint, if
  // a more urgent class lacks room.
  std::optional<Duration> MaxQueueWait(Instant now,
                                       const ServiceId& service,
                                       int64_t priority,
                                       const ClassQueueState& queue) const {
    const auto found = this->classes.find(service);
    if (found == this->classes.end()) {
      return {};
    }
    bool lacks_room = queue.urgent_waits;
    int64_t steps = 0;
    std::optional<Duration> shortest;
    for (const auto& [urgency, one] : found->second) {
      if (urgency > priority) {
        break;
      }
      if (!this->IsRecent(now, one)) {
        continue;
      }
      shortest = std::min(shortest.value_or(one.target), one.target);
      if (urgency < priority) {
        ++steps;
        lacks_room = lacks_room ||
                     (one.refused_at != Instant{} &&
                      now - one.refused_at <= this->options.shortage_period);
      }
    }
    if (!lacks_room || !shortest || steps == 0) {
      return {};
    }
    const double lower = queue.starved ? 1
                                       : std::pow(this->options.share_per_step,
                                                  static_cast<double>(steps));
    return FromSeconds(ToSeconds(*shortest) * this->options.queue_wait_share *
                       lower);
  }

  // Whether no request of a more urgent class was recorded lately.
  bool IsMostUrgent(Instant now,
                    const ServiceId& service,
                    int64_t priority) const {
    const auto found = this->classes.find(service);
    return found == this->classes.end() ||
           std::ranges::none_of(found->second, [&](const auto& entry) {
             return entry.first < priority && this->IsRecent(now, entry.second);
           });
  }

  // Forgets what is known, after a change of the configuration.
  void Clear() { this->classes.clear(); }

 private:
  struct Class {
    Duration target{};
    Instant asked_at{};
    Instant refused_at{};
  };

  bool IsRecent(Instant now, const Class& one) const {
    return one.target != Duration{} &&
           now - one.asked_at <= this->options.class_retention;
  }

  UrgentReserveOptions options;
  std::map<ServiceId, std::map<int64_t, Class>> classes;  // by priority
};

}  // namespace hickorystand
