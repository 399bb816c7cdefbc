// How many retries and hedges a host may add to the load that it was given.
//
// Without a budget, a fleet that fails a tenth of its attempts is asked again
// for that tenth, fails more, and is soon busy with nothing but retries. Here
// retries can't exceed a share of recent successes, so they die out with them.

#pragma once

#include "kernel/time.h"

namespace hickorystand {

// How a budget is set.
struct RetryBudgetOptions {
  double share = 0.2;            // retries earned by each success
  double floor = 20;             // kept ready while there is no traffic
  double cap = 100;              // the most that can be saved up
  double refill_per_second = 2;  // below the floor only

  auto operator<=>(const RetryBudgetOptions&) const = default;
};

// A token bucket that successes fill.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options = {});

  // An attempt was answered in full.
  void OnSuccess();

  // Takes one retry out of the budget; false if it is spent.
  bool Take(Instant now);

  // Retries left.
  double Left() const { return this->left; }

 private:
  RetryBudgetOptions options;
  double left;
  Instant refilled{};
};

}  // namespace hickorystand
