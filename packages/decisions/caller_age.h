// CallerAge: since when a caller has been asking.
//
// A caller that was refused comes back with a new id, mostly to another host,
// and states the time that it has left. Callers of a route mostly begin with
// the same time, so one that states less has been asking for the difference.
//
//   CallerAge ages;
//   const Duration asked_for = ages.Observe(now, route, stated);

#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "kernel/time.h"

namespace hickorystand {

// The longest times that callers of each route have stated lately.
class CallerAge {
 public:
  // Records the time left that a caller states, and returns for how long it has
  // been asking; zero if it states none.
  Duration Observe(Instant now,
                   const std::string& route,
                   const std::optional<Duration>& left) {
    if (!left) {
      return {};
    }
    Longest& known = this->routes[route];
    if (now - known.period_start >= kPeriod) {
      known.before =
          now - known.period_start >= 2 * kPeriod ? Duration{} : known.current;
      known.current = {};
      known.period_start = now;
    }
    known.current = std::max(known.current, *left);
    return std::max(known.current, known.before) - *left;
  }

  // Forgets routes, after a change of the configuration.
  void Clear() { this->routes.clear(); }

 private:
  // Callers may change the time that they begin with.
  static constexpr Duration kPeriod = std::chrono::seconds(30);

  struct Longest {
    Duration current{};
    Duration before{};  // in the period before
    Instant period_start{};
  };
  std::map<std::string, Longest> routes;
};

}  // namespace hickorystand
