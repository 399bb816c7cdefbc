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
  double slack = 0;    // of all hosts, beyond that in each window

  auto operator<=>(const WindowBudgetOptions&) const = default;
};

// Hosts among which the slack is divided, for each that is listed: one that is
// restarted or replaced within a window begins with its part unspent, so half
// of the fleet may be.
constexpr double kHostsForEachListed = 2;

// Counts requests and repeats by service.
class WindowBudget {
 public:
  explicit WindowBudget(const WindowBudgetOptions& options = {})
      : options(options) {}

  void SetOptions(const WindowBudgetOptions& changed) {
    this->options = changed;
  }

  // How many hosts there are. Before the list of hosts was read nobody knows
  // how many share the slack, so nothing of it is spent.
  void SetHosts(int64_t listed) { this->hosts = listed; }

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
  int64_t hosts = 0;
  std::map<ServiceId, Count> counts;
};

}  // namespace hickorystand
