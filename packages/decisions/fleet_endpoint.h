// An endpoint as listed by the fleet's discovery.

#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "decisions/configuration.h"
#include "decisions/stream_origin.h"
#include "kernel/ids.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// One run of an endpoint's process. A restarted process may keep its id; the
// start time distinguishes the runs.
struct EndpointRun {
  EndpointId id;
  int64_t started = 0;  // Unix milliseconds, on the endpoint's own clock

  auto operator<=>(const EndpointRun&) const = default;
};

// The endpoint's entry in discovery.
struct FleetEndpoint {
  EndpointRun run;
  ServiceId service;
  ZoneId zone;
  SocketAddress address;
  SoftwareVersion software;
  EndpointRole role = EndpointRole::kPlain;
  int64_t slots = 1;
  bool leaving = false;
  bool spot = false;  // may be reclaimed along with its whole zone

  // The origin of the streams that it begins.
  StreamOrigin Origin() const {
    return {.service = this->service, .software = this->software};
  }

  // Whether one of the two can read KV caches that the other has written. The
  // layout of a cache is up to the software that wrote it.
  bool SharesCachesWith(const FleetEndpoint& other) const {
    return this->Origin() == other.Origin();
  }

  auto operator<=>(const FleetEndpoint&) const = default;
};

using FleetEndpoints = std::map<EndpointId, FleetEndpoint>;

}  // namespace hickorystand
