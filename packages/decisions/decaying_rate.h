// Exponentially decaying average of a rate.

#pragma once

#include <cmath>

#include "kernel/time.h"

namespace hickorystand {

// Sums amounts with a weight that decays exponentially with their age.
class DecayingRate {
 public:
  // The weight of an amount falls to 1/e within `memory`.
  explicit DecayingRate(Duration memory = std::chrono::seconds(8))
      : memory(ToSeconds(memory)) {}

  void Add(Instant now, double amount) {
    this->sum = this->SumAt(now) + amount;
    this->at = now;
  }

  // The current rate, in amounts per second.
  double PerSecond(Instant now) const {
    return this->SumAt(now) / this->memory;
  }

 private:
  double SumAt(Instant now) const {
    return this->sum * std::exp(-ToSeconds(now - this->at) / this->memory);
  }

  double memory;  // seconds
  double sum = 0;
  Instant at{};
};

}  // namespace hickorystand
