// Tests of which requests a stopping host accepts, and of the estimates of
// response durations.

#include <CppUTest/TestHarness.h>

#include "decisions/answer_times.h"
#include "decisions/stop_schedule.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{seconds(100)};

void CheckNear(Duration expected, std::optional<Duration> got) {
  CHECK(got.has_value());
  DOUBLES_EQUAL(ToSeconds(expected), ToSeconds(got.value_or(Duration{})),
                ToSeconds(expected) * 0.1);
}

// Records ten responses a second whose durations rise evenly from `from` to
// `to`.
Instant AddAnswers(AnswerTimes& times,
                   const AnswerKind& kind,
                   Instant from_when,
                   int count,
                   Duration from,
                   Duration to) {
  Instant now = from_when;
  for (int i = 0; i < count; ++i) {
    now += milliseconds(100);
    times.Add(now, kind, from + (to - from) * i / count);
  }
  return now;
}

}  // namespace

TEST_GROUP(StopSchedule){};

// Guards against refusing requests that the load balancer still sends, though
// their responses end in time.
TEST(StopSchedule, AcceptsRequestsThatEndInTime) {
  const auto stop = StopSchedule::From(kStart, seconds(8));
  CHECK(stop.MayAccept(kStart, {.limit = seconds(15), .expected = seconds(5)}));
  CHECK(stop.MayAccept(kStart + seconds(2),
                       {.limit = seconds(15), .expected = seconds(4)}));
  CHECK(stop.MayAccept(kStart + seconds(6), {.limit = milliseconds(1500)}));
}

// Guards against responses that are cut when the process ends.
TEST(StopSchedule, RefusesRequestsThatMayOutlastIt) {
  const auto stop = StopSchedule::From(kStart, seconds(8));
  CHECK(!stop.MayAccept(kStart, {.limit = seconds(15)}));
  CHECK(
      !stop.MayAccept(kStart, {.limit = seconds(15), .expected = seconds(7)}));
  CHECK(!stop.MayAccept(kStart + seconds(2),
                        {.limit = seconds(15), .expected = seconds(5)}));
  CHECK(!stop.MayAccept(kStart + seconds(6), {.limit = milliseconds(1501)}));
}

// Guards against accepting requests on an estimate alone when callers have
// already had the time to move to another host.
TEST(StopSchedule, IgnoresEstimatesAfterTheAcceptPeriod) {
  const auto stop = StopSchedule::From(kStart, seconds(8));
  const AnswerDuration need{.limit = seconds(15), .expected = milliseconds(10)};
  CHECK(stop.MayAccept(stop.accept_until - milliseconds(1), need));
  CHECK(!stop.MayAccept(stop.accept_until, need));
  CHECK(stop.accept_until < kStart + seconds(3));
}

// Guards against a process that is killed before it has responded, whatever its
// grace period is.
TEST(StopSchedule, EndsBeforeTheGraceTime) {
  for (const Duration grace :
       {Duration(milliseconds(200)), Duration(seconds(1)), Duration(seconds(8)),
        Duration(seconds(600))}) {
    const auto stop = StopSchedule::From(kStart, grace);
    CHECK(stop.finish_by > kStart && stop.finish_by < kStart + grace);
    CHECK(stop.accept_until <= stop.finish_by);
  }
}

TEST_GROUP(AnswerTimes){};

// Guards against estimates from a few unusually fast responses.
TEST(AnswerTimes, ReportsThe95thPercentile) {
  AnswerTimes times;
  const auto kind = AnswerKind::Of("r", 100);
  const Instant now =
      AddAnswers(times, kind, kStart, 80, seconds(1), seconds(5));
  CheckNear(milliseconds(4800), times.P95(now, kind));
}

// Guards against estimates that ignore a slowdown, or that keep it after it has
// ended.
TEST(AnswerTimes, FollowsTheLastSeconds) {
  AnswerTimes times;
  const auto kind = AnswerKind::Of("r", 100);
  Instant now = AddAnswers(times, kind, kStart, 100, seconds(1), seconds(1));
  now = AddAnswers(times, kind, now, 30, seconds(3), seconds(3));
  CheckNear(seconds(3), times.P95(now, kind));
  now = AddAnswers(times, kind, now, 300, seconds(1), seconds(1));
  CheckNear(seconds(1), times.P95(now, kind));
  CHECK(!times.P95(now + seconds(60), kind).has_value());
}

// Guards against refusing every request of a size that is rarely requested.
TEST(AnswerTimes, InfersFromTheNearestSize) {
  AnswerTimes times;
  const Instant now = AddAnswers(times, AnswerKind::Of("r", 100), kStart, 10,
                                 seconds(1), seconds(1));
  CheckNear(seconds(2), times.P95(now, AnswerKind::Of("r", 200)));
  CheckNear(seconds(1), times.P95(now, AnswerKind::Of("r", 20)));
  CHECK(!times.P95(now, AnswerKind::Of("other", 100)).has_value());
}

}  // namespace hickorystand
