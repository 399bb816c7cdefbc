#include "kernel/time.h"

#include <ctime>

namespace hickorystand {

int64_t ToMilliseconds(Duration length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

std::string MillisecondsText(Duration length) {
  return std::to_string(ToMilliseconds(length));
}

Instant BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

int64_t BootClock::WallMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int64_t ManualClock::WallMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             this->now.time_since_epoch())
      .count();
}

}  // namespace hickorystand
