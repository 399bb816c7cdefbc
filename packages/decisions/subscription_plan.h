// Selects the scheduler that subscribes to an engine's cache events and
// forwards them to the other schedulers. An engine serves few such
// subscriptions at a time, and each takes a connection.

#pragma once

#include <vector>

#include "decisions/fleet_endpoint.h"
#include "decisions/fleet_topology.h"

namespace hickorystand {

// Returns the subscriber among `schedulers`, which must not be empty: one in
// the engine's own zone if there is any. The result is the same on every host
// with the same schedulers, and few engines change their subscriber when a
// scheduler is added or removed.
const FleetHost& SubscriberOf(const FleetEndpoint& engine,
                              const std::vector<FleetHost>& schedulers);

}  // namespace hickorystand
