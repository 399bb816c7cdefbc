// How many engines read prompts for others, and how many generate.
//
// An engine that generates reads prompts at half the rate, and each piece that
// it reads holds up every stream that runs there: eight tokens, with a piece of
// 54 ms before each, make a pause of 470 ms between two events. So prompts are
// read apart wherever there is room, and only as many engines generate as the
// streams need.

#pragma once

#include <optional>

#include "decisions/fleet_endpoint.h"

namespace hickorystand {

// How roles are planned.
struct RolePlanOptions {
  // Streams that one engine generates at a time: at 24 of them a token takes
  // 8 ms, and eight tokens come together.
  double streams_per_engine = 24;
  // Of those, at least one for each zone, since moving a prompt's memory to
  // another zone takes twice as long, and some more for the loss of one.
  int64_t spare_engines = 1;
  // Engines that generate beyond what is needed are left so up to this many:
  // streams come and go, and each change takes an engine out for seconds.
  int64_t tolerated_more = 2;
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

// The change to make next for a service with so many streams at a time, if any.
// One at a time: each takes an engine out for seconds.
std::optional<RoleChange> PlanRole(const FleetEndpoints& endpoints,
                                   const ServiceId& service,
                                   double streams,
                                   const RolePlanOptions& options = {});

}  // namespace hickorystand
