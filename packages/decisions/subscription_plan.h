// Which scheduler subscribes to an engine's cache events and passes them on to
// the others. An engine serves few such calls at a time, and each costs a
// connection.

#pragma once

#include <vector>

#include "decisions/fleet_endpoint.h"
#include "decisions/fleet_topology.h"

namespace hickorystand {

// The subscriber among schedulers, the same on every host that knows the same
// ones: one of the engine's own zone if there is any. Few engines change their
// subscriber when a scheduler comes or goes. There has to be a scheduler.
const FleetHost& SubscriberOf(const FleetEndpoint& engine,
                              const std::vector<FleetHost>& schedulers);

}  // namespace hickorystand
