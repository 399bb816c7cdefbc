// Scenarios of the policy bench: traffic and faults over virtual time.
//
// Index
//   TimeInterval   an interval of virtual time
//   Scenario       one row of the table
//   AllScenarios   all rows

#pragma once

#include <span>
#include <string_view>

#include "policy_workload.h"

namespace hickorystand {

// Half-open interval of virtual time in seconds; the default is empty.
struct TimeInterval {
  double from = 0;
  double to = 0;

  bool Holds(double second) const {
    return second >= this->from && second < this->to;
  }
  bool operator==(const TimeInterval&) const = default;
};

// One row of the table. The faults last for the given intervals.
struct Scenario {
  std::string_view name;
  std::string_view description;
  double seconds = 600;
  TrafficRate (*rate)(double second) = nullptr;
  double report_lag = 0.5;
  TimeInterval zone_lost;      // the first cheap zone is reclaimed
  TimeInterval partitioned;    // one data centre is partitioned from the others
  TimeInterval platform_down;  // endpoints can be neither claimed nor ordered
  bool replace = false;        // engines are replaced one by one
  bool has_shift = false;

  bool operator==(const Scenario&) const = default;
};

std::span<const Scenario> AllScenarios();

}  // namespace hickorystand
