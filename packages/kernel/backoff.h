// How long to wait before the next try at something that is down.

#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "kernel/time.h"

namespace hickorystand {

// Doubles the wait with each failure up to a limit, and spreads it at random
// over its upper half. Without the spread all hosts that lost the same service
// would come back to it at the same moments and bring it down again.
class Backoff {
 public:
  Backoff(Duration first, Duration limit, uint64_t seed)
      : first(first), limit(limit), random(seed) {}

  // Notes a failure; answers how long to wait now.
  Duration Next() {
    const Duration whole =
        std::min(this->limit, this->first * (int64_t{1} << this->failures));
    this->failures = std::min(this->failures + 1, kMaxDoublings);
    std::uniform_int_distribution<int64_t> spread(whole.count() / 2,
                                                  whole.count());
    return Duration(spread(this->random));
  }

  // Notes a success.
  void Reset() { this->failures = 0; }

  // Failures since the last success, up to a bound.
  int Failures() const { return this->failures; }

 private:
  static constexpr int kMaxDoublings = 20;

  Duration first;
  Duration limit;
  std::mt19937_64 random;
  int failures = 0;
};

}  // namespace hickorystand
