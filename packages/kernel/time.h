// Time types and clocks.
//
// Index
//   Instant, Duration   the time types of decision code
//   ToMilliseconds      a duration as an integer, for records and messages
//   MillisecondsText    the same as text, for logs
//   Clock               interface of a clock
//   BootClock           the system's clock; includes time in suspend
//   ManualClock         for tests and benchmarks; advanced explicitly

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace hickorystand {

// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

// The clock of Instant. It has no now(): decision code receives the time as an
// argument.
struct BootTime {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootTime>;
  static constexpr bool is_steady = true;  // NOLINT: named by std::chrono
};

// A point in time on this host's clock. Instants of different hosts can't be
// compared.
using Instant = BootTime::time_point;

// Whole milliseconds.
int64_t ToMilliseconds(Duration length);

// Whole milliseconds as decimal text, for logs.
std::string MillisecondsText(Duration length);

// Reads the time. Only tasks have a clock; decision code takes an Instant.
class Clock {
 public:
  virtual ~Clock() = default;

  // The current time on this host.
  virtual Instant Now() const = 0;

  // Milliseconds since the Unix epoch, for records that outlive a host.
  virtual int64_t WallMilliseconds() const = 0;
};

// CLOCK_BOOTTIME. With a monotonic clock that stops during suspend, a host
// whose lease expired while it was suspended would still treat it as held.
class BootClock final : public Clock {
 public:
  Instant Now() const override;
  int64_t WallMilliseconds() const override;
};

// A clock that a test or benchmark advances explicitly.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return this->now; }
  int64_t WallMilliseconds() const override;

  // Advances the clock.
  void Advance(Duration by) { this->now += by; }

 private:
  Instant now{};
};

// A duration as floating-point seconds, for rates and metrics.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// The duration nearest to a number of seconds.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace hickorystand
