// FleetRetryBudget: how many retries this host may add to a service's load
// within a sliding window. All hosts together stay within the fleet's budget
// without communication: each host may retry a fraction of the requests that it
// received itself, plus its part of a fixed slack.

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

  // Takes one retry from the budget; false if it is exhausted.
  bool Take(Instant now, const ServiceId& service);

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
