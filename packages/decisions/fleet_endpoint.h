// One endpoint as the fleet's discovery tells of it.

#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "decisions/configuration.h"
#include "kernel/ids.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// One run of one endpoint's process. A process that starts again may keep its
// id; the moment of its start tells the two apart.
struct EndpointRun {
  EndpointId id;
  int64_t started = 0;  // Unix milliseconds, on the endpoint's own clock

  auto operator<=>(const EndpointRun&) const = default;
};

// What discovery says of it.
struct FleetEndpoint {
  EndpointRun run;
  ServiceId service;
  ZoneId zone;
  SocketAddress address;
  EndpointRole role = EndpointRole::kPlain;
  int64_t slots = 1;
  bool leaving = false;
  bool spot = false;  // may be reclaimed with its whole zone

  auto operator<=>(const FleetEndpoint&) const = default;
};

using FleetEndpoints = std::map<EndpointId, FleetEndpoint>;

}  // namespace hickorystand
