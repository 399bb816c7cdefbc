// Exponential backoff with jitter, for retries of an unavailable service.
//
//   Backoff backoff(std::chrono::milliseconds(50), std::chrono::seconds(1),
//                   seed);
//   next_attempt = clock.Now() + backoff.Next();  // after a failure
//   backoff.Reset();                              // after a success

#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "kernel/time.h"

namespace hickorystand {

// Doubles the delay with each failure up to a limit and draws the actual delay
// at random from its upper half. Without this jitter, all hosts that lost the
// same service would retry at the same moments and overload it again.
class Backoff {
 public:
  Backoff(Duration first, Duration limit, uint64_t seed)
      : first(first), limit(limit), random(seed) {}

  // Records a failure and returns the delay before the next attempt.
  Duration Next() {
    const Duration delay =
        std::min(this->limit, this->first * (int64_t{1} << this->failures));
    this->failures = std::min(this->failures + 1, kMaxDoublings);
    std::uniform_int_distribution<int64_t> jitter(delay.count() / 2,
                                                  delay.count());
    return Duration(jitter(this->random));
  }

  // Records a success: the next delay starts from `first` again.
  void Reset() { this->failures = 0; }

  // Failures since the last success, counted up to kMaxDoublings.
  int Failures() const { return this->failures; }

 private:
  static constexpr int kMaxDoublings = 20;  // keeps the shift from overflowing

  Duration first;
  Duration limit;
  std::mt19937_64 random;
  int failures = 0;
};

}  // namespace hickorystand
