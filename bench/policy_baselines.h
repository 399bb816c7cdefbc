// Baseline dispatchers and role planners for comparison with the product's
// policy.
//
// Index
//   RolePolicy           how the roles of endpoints are set
//   Strategy             one row of the table
//   AllStrategies        the product and its baselines
//   AllAblations         the product with one rule switched off in each row
//   ThresholdProposals   role changes by a utilisation threshold

#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/dispatcher.h"
#include "decisions/placement.h"

namespace hickorystand {

// How the roles of endpoints are set.
enum class RolePolicy {
  kMixed,      // all endpoints do both kinds of work; static
  kSplit,      // half prefill-leaning, half decode-leaning; static
  kThreshold,  // starts split; moves one if one half is busy, one idle
  kPlanner,    // the product's planner
};

// One row of the table: a dispatcher and a role policy.
struct Strategy {
  std::string_view name;
  RolePolicy roles = RolePolicy::kMixed;
  bool scales = false;  // releases and orders endpoints
  std::unique_ptr<Dispatcher> (*make)(const DispatcherOptions&) = nullptr;
};

std::span<const Strategy> AllStrategies();

// The product with one rule switched off in each row, which shows the benefit
// of that rule.
std::span<const Strategy> AllAblations();

// Proposes role changes by a threshold on the utilisation of the two halves.
std::vector<PlacementProposal> ThresholdProposals(
    const std::vector<EndpointState>& endpoints);

}  // namespace hickorystand
