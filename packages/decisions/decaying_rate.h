// A rate over the recent past, with older amounts counting less and less.

#pragma once

#include <cmath>

#include "kernel/time.h"

namespace hickorystand {

class DecayingRate {
 public:
  // An amount's weight falls to 1/e in `memory`.
  explicit DecayingRate(Duration memory = std::chrono::seconds(8))
      : memory(ToSeconds(memory)) {}

  // Adds an amount that came now.
  void Add(Instant now, double amount) {
    this->sum = this->SumAt(now) + amount;
    this->at = now;
  }

  // The amount a second.
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
