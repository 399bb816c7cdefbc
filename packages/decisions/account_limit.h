// AccountLimit: the rate limit of a client account, as set by the operator.

#pragma once

#include <cstdint>
#include <map>

#include "kernel/ids.h"

namespace hickorystand {

// The unit that a limit counts.
enum class LimitUnit { kRequests, kTokens };

// The limit of one account over all hosts, as a token bucket.
struct AccountLimit {
  double rate = 0;   // units per second
  double burst = 0;  // units
  LimitUnit unit = LimitUnit::kRequests;
  int64_t default_tokens = 1;  // cost of a request without token counts

  // The cost of a request in units.
  int64_t CostOf(int64_t prompt_tokens, int64_t output_tokens) const {
    if (this->unit == LimitUnit::kRequests) {
      return 1;
    }
    const int64_t tokens = prompt_tokens + output_tokens;
    return tokens > 0 ? tokens : this->default_tokens;
  }

  auto operator<=>(const AccountLimit&) const = default;
};

using AccountLimits = std::map<AccountId, AccountLimit>;

}  // namespace hickorystand
