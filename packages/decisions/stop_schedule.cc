#include "decisions/stop_schedule.h"

#include <algorithm>

namespace hickorystand {
namespace {

// The balancer asks once a second and takes a host out after two misses; what
// it sent before that is on its way for a moment longer.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2500);

// Time to tell callers of unfinished requests, before the process is killed.
constexpr Duration kKillMargin = std::chrono::milliseconds(500);

// Answers may take this much longer than they took before.
constexpr double kExpectedTimeMargin = 1.25;

}  // namespace

bool CanFinish(Duration left, const AnswerNeed& need) {
  return need.limit <= left ||
         (need.expected &&
          ToSeconds(*need.expected) * kExpectedTimeMargin <= ToSeconds(left));
}

StopSchedule StopSchedule::From(Instant signalled, Duration grace) {
  const Instant finish_by =
      signalled + std::max(grace - kKillMargin, grace / 2);
  return {.signalled = signalled,
          .takes_until = std::min(signalled + kBalancerDelay, finish_by),
          .finish_by = finish_by};
}

bool StopSchedule::MayTake(Instant now, const AnswerNeed& need) const {
  const Duration left = this->Left(now);
  return need.limit <= left ||
         (now < this->takes_until && CanFinish(left, need));
}

}  // namespace hickorystand
