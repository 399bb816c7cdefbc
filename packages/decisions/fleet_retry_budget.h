// FleetRetryBudget: how many retries this host may add to a service's load
// within a sliding window. All hosts together stay within the fleet's budget
// without communication: each host may retry a fraction of the requests that it
// received itself, plus its part of a fixed slack.
//
// Index
//   FleetRetryBudgetOptions   window, ratio and slack
//   RetryVerdict              a decision, and what it was based on
//   FleetRetryBudget          this host's part of the budget

#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

struct FleetRetryBudgetOptions {
  Duration window = std::chrono::seconds(10);
  double retry_ratio = 0.2;  // retries per request
  double slack = 0;          // additional retries of all hosts per window

  auto operator<=>(const FleetRetryBudgetOptions&) const = default;
};

// The slack is divided into this many parts per listed host. A host that is
// restarted or replaced within a window starts with its part unspent; with 2
// parts, half of the fleet may do so without exceeding the slack.
constexpr double kSlackPartsPerHost = 2;

// What a decision on a retry was based on.
struct RetryVerdict {
  bool granted = false;
  int64_t requests = 0;  // counted for the service
  int64_t retries = 0;   // taken, this one included
  double allowed = 0;
  int64_t hosts = 0;  // that share the slack

  auto operator<=>(const RetryVerdict&) const = default;
};

// Counts requests and retries by service.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryBudgetOptions& options = {})
      : options(options) {}

  void SetOptions(const FleetRetryBudgetOptions& changed) {
    this->options = changed;
  }

  // Sets the number of listed hosts. No slack is spent before the first call,
  // as the number of hosts that share it is unknown.
  void SetHosts(int64_t listed) { this->hosts = listed; }

  // Counts a caller's request for a service.
  void OnRequest(Instant now, const ServiceId& service);

  // Takes one retry from the budget, unless it is exhausted.
  RetryVerdict Take(Instant now, const ServiceId& service);

 private:
  struct Count {
    std::deque<Instant> requests;
    std::deque<Instant> retries;
  };

  void RemoveExpired(Instant now, std::deque<Instant>& times) const;

  FleetRetryBudgetOptions options;
  int64_t hosts = 0;
  std::map<ServiceId, Count> counts;
};

}  // namespace hickorystand
