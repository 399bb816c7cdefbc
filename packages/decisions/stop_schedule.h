// Admission of requests on a host that is stopping.
//
// Callers keep sending requests for a while, since the load balancer needs time
// to notice the stop. A request whose answer would be cut off by the end of the
// process is refused at once, so that its caller can use another host.
//
//   const auto stop = StopSchedule::From(signalled, grace);
//   if (stop.MayAccept(now, {.limit = timeout, .expected = p95})) { ... }
//
// Index
//   AnswerDuration   the limit and the expected duration of an answer
//   CanFinish        whether an answer is complete in the remaining time
//   StopSchedule     the times of one stop

#pragma once

#include <optional>

#include "kernel/time.h"

namespace hickorystand {

// The duration of a request's answer, from now on.
struct AnswerDuration {
  Duration limit{};  // timeout of the caller or its route
  // Duration that nearly all such answers stay within; nullopt: unknown.
  std::optional<Duration> expected;

  auto operator<=>(const AnswerDuration&) const = default;
};

// Whether an answer is complete, or its limit reached, within the time left.
bool CanFinish(Duration left, const AnswerDuration& need);

// The times of one stop.
struct StopSchedule {
  Instant signalled{};
  Instant accept_until{};  // by then the load balancer has noticed the stop
  Instant finish_by{};     // unfinished requests are ended then

  // The platform kills the process `grace` after the signal.
  static StopSchedule From(Instant signalled, Duration grace);

  // Whether a request may still be accepted. After `accept_until` an estimate
  // is not sufficient: the request's limit must end before `finish_by`.
  bool MayAccept(Instant now, const AnswerDuration& need) const;

  Duration Remaining(Instant now) const { return this->finish_by - now; }

  auto operator<=>(const StopSchedule&) const = default;
};

}  // namespace hickorystand
