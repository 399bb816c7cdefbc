// Time as the whole system counts it, and the clocks that tell it.
//
// Index
//   Instant, Duration   the types every decision takes
//   ToMilliseconds      a length of time in records and messages
//   MillisecondsText    the same in logs
//   Clock               where a process reads the time
//   BootClock           the real one; runs through suspend
//   ManualClock         for tests and benches; moves only when told

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace hickorystand {

// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

// The clock tag behind Instant. It has no now(): decisions are given the time.
struct BootTime {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootTime>;
  static constexpr bool is_steady = true;  // NOLINT: named by std::chrono
};

// A moment on this host's own clock. Instants of two hosts can't be compared.
using Instant = BootTime::time_point;

// Whole milliseconds.
int64_t ToMilliseconds(Duration length);

// The same as a decimal number, for logs.
std::string MillisecondsText(Duration length);

// Tells the time. Only tasks hold one; decisions take an Instant.
class Clock {
 public:
  virtual ~Clock() = default;

  // The present moment on this host.
  virtual Instant Now() const = 0;

  // Milliseconds since the Unix epoch, for records that outlive a host.
  virtual int64_t WallMilliseconds() const = 0;
};

// CLOCK_BOOTTIME. A monotonic clock that stops during suspend would let a host
// that slept through its lease believe that it still holds it.
class BootClock final : public Clock {
 public:
  Instant Now() const override;
  int64_t WallMilliseconds() const override;
};

// A clock that a test or a bench moves by hand.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return this->now; }
  int64_t WallMilliseconds() const override;

  // Moves the clock forward.
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
