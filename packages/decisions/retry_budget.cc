#include "decisions/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace hickorystand {

RetryBudget::RetryBudget(const RetryBudgetOptions& options)
    : options(options), left(options.floor) {
  assert(options.share >= 0 && options.share < 1 &&
         "a success must add less than one retry");
}

void RetryBudget::OnSuccess() {
  this->left = std::min(this->options.cap, this->left + this->options.share);
}

bool RetryBudget::Take(Instant now) {
  const double earned =
      ToSeconds(now - this->refilled) * this->options.refill_per_second;
  this->refilled = now;
  if (this->left < this->options.floor) {
    this->left = std::min(this->options.floor, this->left + earned);
  }
  if (this->left < 1) {
    return false;
  }
  this->left -= 1;
  return true;
}

}  // namespace hickorystand
