// What a host that was told to stop may still take.
//
// For a while callers come as before, since the balancer needs time to notice.
// A request whose answer would be cut by the end of the process is refused at
// once, so that its caller may go to another host.
//
//   const auto stop = StopSchedule::From(signalled, grace);
//   if (stop.MayTake(now, {.limit = patience, .expected = longest})) { ... }
//
// Index
//   AnswerNeed     how long a request's answer may take, and is expected to
//   CanFinish      whether that is over by a moment
//   StopSchedule   the moments of one stop

#pragma once

#include <optional>

#include "kernel/time.h"

namespace hickorystand {

// How long a request's answer takes, counted from now.
struct AnswerNeed {
  Duration limit{};  // then the caller or its route gives up
  // What nearly all such answers take; nullopt: not known.
  std::optional<Duration> expected;

  auto operator<=>(const AnswerNeed&) const = default;
};

// Whether an answer is whole within the time left, or its limit ends by then.
bool CanFinish(Duration left, const AnswerNeed& need);

// The moments of one stop.
struct StopSchedule {
  Instant signalled{};
  Instant takes_until{};  // callers have had time to go elsewhere
  Instant finish_by{};    // what is unfinished is ended

  // The platform kills the process `grace` after the signal.
  static StopSchedule From(Instant signalled, Duration grace);

  // Whether a request may still be taken. After `takes_until` an estimate
  // isn't enough: only what is surely over in time is taken.
  bool MayTake(Instant now, const AnswerNeed& need) const;

  Duration Left(Instant now) const { return this->finish_by - now; }

  auto operator<=>(const StopSchedule&) const = default;
};

}  // namespace hickorystand
