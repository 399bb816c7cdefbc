// How many repeats this host may add to a service's load within a sliding
// window, so that all hosts together stay within the fleet's budget without a
// word to each other: each spends a share of the requests that it took itself,
// and its part of a fixed slack.

#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// How the budget is set.
struct WindowBudgetOptions {
  Duration window = std::chrono::seconds(10);
  double share = 0.2;  // repeats for each request
  double slack = 3;    // repeats beyond that in each window

  auto operator<=>(const WindowBudgetOptions&) const = default;
};

// Counts requests and repeats by service.
class WindowBudget {
 public:
  explicit WindowBudget(const WindowBudgetOptions& options = {})
      : options(options) {}

  void SetOptions(const WindowBudgetOptions& changed) {
    this->options = changed;
  }

  // A caller's request for a service came in.
  void OnRequest(Instant now, const ServiceId& service);

  // Takes one repeat out of the budget; false if it is spent.
  bool Take(Instant now, const ServiceId& service);

 private:
  struct Count {
    std::deque<Instant> requests;
    std::deque<Instant> repeats;
  };

  void Forget(Instant now, std::deque<Instant>& times) const;

  WindowBudgetOptions options;
  std::map<ServiceId, Count> counts;
};

}  // namespace hickorystand
