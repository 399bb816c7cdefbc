// Selects which engines prefill prompts for other engines and which generate.
//
// A decode engine prefills at half the rate, and each chunk that it prefills
// stalls all its streams. Prompts are therefore prefilled on separate engines
// where capacity allows, and only as many engines generate as the streams need.
// An engine changes its role only after all its requests have ended, so the
// engines with the fewest requests change.
//
// Each software version has an engine that generates: one that only prefills
// could serve nothing, and its streams could not continue.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "decisions/fleet_endpoint.h"

namespace hickorystand {

// Targets of role planning.
struct RolePlanOptions {
  // Target share of an engine's slots that streams take.
  double target_slot_share = 0.7;
  // Decode engines in addition to those that the streams need, and in addition
  // to one per zone, in case an engine fails. Each zone has one since the KV
  // transfer of a prompt to another zone takes twice as long.
  int64_t spare_engines = 1;
  // Surplus of decode engines up to which none changes its role: the number of
  // streams fluctuates, and each change takes an engine out of service for
  // seconds.
  int64_t surplus_tolerance = 1;
  // Smallest share of engines that generate, whatever the number of streams.
  double min_decode_share = 0.2;

  auto operator<=>(const RolePlanOptions&) const = default;
};

// A change of one engine's role.
struct RoleChange {
  EndpointId endpoint;
  EndpointRole role = EndpointRole::kPrefill;

  auto operator<=>(const RoleChange&) const = default;
};

// A service's load.
struct RoleLoad {
  double streams = 0;  // concurrent, in the whole fleet
  std::function<int64_t(const EndpointId&)> running;  // requests at an engine
};

// Returns the next role change for a service, if any. Only one at a time: each
// takes an engine out of service for seconds.
std::optional<RoleChange> PlanRole(const FleetEndpoints& endpoints,
                                   const ServiceId& service,
                                   const RoleLoad& load,
                                   const RolePlanOptions& options = {});

}  // namespace hickorystand
