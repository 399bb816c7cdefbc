// The dispatchers and role planners that the policy is measured against.

#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/dispatcher.h"
#include "decisions/placement.h"

namespace hickorystand {

// How roles are set.
enum class RolePolicy {
  kMixed,      // all endpoints do both kinds of work, for ever
  kSplit,      // half of them lean to prompts, half to answers, for ever
  kThreshold,  // starts split; moves one when one half is busy, one idle
  kPlanner,    // the product's planner
};

// One row of the table: how requests are dispatched and roles are set.
struct Strategy {
  std::string_view name;
  RolePolicy roles = RolePolicy::kMixed;
  bool scales = false;  // gives endpoints back and asks for more
  std::unique_ptr<Dispatcher> (*make)(const DispatcherOptions&) = nullptr;
};

std::span<const Strategy> AllStrategies();

// The product with one rule switched off in each row, to see what it earns.
std::span<const Strategy> AllAblations();

// Role changes by a plain threshold on how full the two halves are.
std::vector<PlacementProposal> ThresholdWishes(
    const std::vector<EndpointState>& endpoints);

}  // namespace hickorystand
