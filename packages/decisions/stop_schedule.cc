#include "decisions/stop_schedule.h"

#include <algorithm>

namespace hickorystand {
namespace {

// The load balancer probes once a second and removes a host after two failed
// probes; requests that it sent before may still be in transit.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2500);

// Time to notify the callers of unfinished requests before the process is
// killed.
constexpr Duration kKillMargin = std::chrono::milliseconds(500);

// Margin for answers that take longer than earlier ones.
constexpr double kExpectedTimeMargin = 1.25;

}  // namespace

bool CanFinish(Duration left, const AnswerDuration& need) {
  return need.limit <= left ||
         (need.expected &&
          ToSeconds(*need.expected) * kExpectedTimeMargin <= ToSeconds(left));
}

StopSchedule StopSchedule::From(Instant signalled, Duration grace) {
  const Instant finish_by =
      signalled + std::max(grace - kKillMargin, grace / 2);
  return {.signalled = signalled,
          .accept_until = std::min(signalled + kBalancerDelay, finish_by),
          .finish_by = finish_by};
}

bool StopSchedule::MayAccept(Instant now, const AnswerDuration& need) const {
  const Duration left = this->Remaining(now);
  return need.limit <= left ||
         (now < this->accept_until && CanFinish(left, need));
}

}  // namespace hickorystand
