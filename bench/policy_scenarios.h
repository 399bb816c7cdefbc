// What the policies are put through: traffic and faults over virtual time.

#pragma once

#include <span>
#include <string_view>

#include "policy_workload.h"

namespace hickorystand {

// A stretch of virtual time; empty if it never comes.
struct Stretch {
  double from = 0;
  double to = 0;

  bool Holds(double second) const {
    return second >= this->from && second < this->to;
  }
  bool operator==(const Stretch&) const = default;
};

// One row of the table.
struct Scenario {
  std::string_view name;
  std::string_view story;
  double seconds = 600;
  TrafficRate (*rate)(double second) = nullptr;
  double report_lag = 0.5;
  Stretch zone_lost;      // the first cheap zone is reclaimed
  Stretch cut_off;        // one data centre hears nobody else
  Stretch platform_down;  // no claims, no orders
  bool replace = false;   // engines are replaced one by one
  bool has_shift = false;

  bool operator==(const Scenario&) const = default;
};

std::span<const Scenario> AllScenarios();

}  // namespace hickorystand
