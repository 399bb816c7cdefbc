// A rate over the recent past, with older amounts counting less and less.

#pragma once

#include <cmath>

#include "kernel/time.h"

namespace hickorystand {

class DecayingRate {
 public:
  // Adds an amount that came now.
  void Add(Instant now, double amount) {
    this->sum = this->SumAt(now) + amount;
    this->at = now;
  }

  // The amount a second.
  double PerSecond(Instant now) const { return this->SumAt(now) / kSeconds; }

 private:
  // Time in which an amount's weight falls to 1/e: long enough for bursts of
  // three seconds to be averaged, short against a shift of the mix.
  static constexpr double kSeconds = 8;

  double SumAt(Instant now) const {
    return this->sum * std::exp(-ToSeconds(now - this->at) / kSeconds);
  }

  double sum = 0;
  Instant at{};
};

}  // namespace hickorystand
