// Limits how many retries and hedges a host adds to its incoming load.
//
// Without a budget, a fleet in which a tenth of the attempts fail gets that
// tenth again as retries, fails more, and soon serves nothing but retries. With
// it, retries are limited to a share of recent successes, so they stop when
// requests no longer succeed.

#pragma once

#include "kernel/time.h"

namespace hickorystand {

// Rates and bounds of a budget, in retries.
struct RetryBudgetOptions {
  double share = 0.2;            // added per success
  double floor = 20;             // level restored without traffic
  double cap = 100;              // upper bound
  double refill_per_second = 2;  // only below the floor

  auto operator<=>(const RetryBudgetOptions&) const = default;
};

// A token bucket that is refilled by successes.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options = {});

  // Records that an attempt was answered in full.
  void OnSuccess();

  // Takes one retry from the budget; false if the budget is exhausted.
  bool Take(Instant now);

  // Remaining retries.
  double Left() const { return this->left; }

 private:
  RetryBudgetOptions options;
  double left;
  Instant refilled{};
};

}  // namespace hickorystand
