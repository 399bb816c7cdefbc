// How many engines read prompts for others, and how many generate.
//
// An engine that generates reads prompts at half the rate, and each piece that
// it reads holds up every stream that runs there. So prompts are read apart
// wherever there is room, and only as many engines generate as the streams
// need. An engine takes its new role only when all that runs there is over, so
// those with the fewest requests change.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "decisions/fleet_endpoint.h"

namespace hickorystand {

// How roles are planned.
struct RolePlanOptions {
  // The share of an engine's slots that streams take.
  double slots_used = 0.7;
  // Of those, at least one for each zone, since moving a prompt's memory to
  // another zone takes twice as long, and some more for the loss of one.
  int64_t spare_engines = 1;
  // Engines that generate beyond what is needed are left so up to this many:
  // streams come and go, and each change takes an engine out for seconds.
  int64_t tolerated_more = 1;
  // The least share of engines that generate, whatever the streams need.
  double least_share = 0.2;

  auto operator<=>(const RolePlanOptions&) const = default;
};

// A change of one engine's role.
struct RoleChange {
  EndpointId endpoint;
  EndpointRole role = EndpointRole::kPrefill;

  auto operator<=>(const RoleChange&) const = default;
};

// What is known of a service's load.
struct RoleLoad {
  double streams = 0;  // at a time, in the whole fleet
  std::function<int64_t(const EndpointId&)> running;  // requests there now
};

// The change to make next for a service, if any. One at a time: each takes an
// engine out for seconds.
std::optional<RoleChange> PlanRole(const FleetEndpoints& endpoints,
                                   const ServiceId& service,
                                   const RoleLoad& load,
                                   const RolePlanOptions& options = {});

}  // namespace hickorystand
