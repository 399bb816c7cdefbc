// Selects the schedulers of a fleet, and the schedulers to which each ingress
// host forwards its callers' requests.
//
// The load that a host puts on the store, the endpoints and the other hosts
// must not grow with the size of the fleet, so only a few hosts per zone are
// schedulers: those with the highest capacity. They read the store, subscribe
// to the endpoints' caches and exchange their outstanding work. All other hosts
// are ingress hosts: they hold callers' connections and forward whole requests.
// In a small fleet every host is a scheduler and nothing is forwarded.
//
//   const auto schedulers = PlanSchedulers(hosts, options);
//   if (schedulers.contains(self.id)) { ... }
//   else PickSchedulers(self, listed, options)
//
// Index
//   FleetHost, FleetTopologyOptions   a host's record, and the sizes
//   PlanSchedulers                    the schedulers; the same on every host
//   PickSchedulers                    the schedulers an ingress host links to

#pragma once

#include <set>
#include <string>
#include <vector>

#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/settings.h"

namespace hickorystand {

// A host as described by its record in the store.
struct FleetHost {
  HostId id;
  SocketAddress address;  // for links from other hosts
  ZoneId zone;
  int64_t capacity = 0;  // processor, in thousandths of a core

  auto operator<=>(const FleetHost&) const = default;
};

// The value of the host's record. The id is the record's key and not part of
// it.
std::string EncodeFleetHost(const FleetHost& host);
Result<FleetHost> DecodeFleetHost(const HostId& id, const std::string& text);

// A host is much weaker than another one below this share of its capacity.
inline constexpr double kMuchWeakerShare = 0.34;

// Numbers of schedulers and of links to them.
struct FleetTopologyOptions {
  // Fewest schedulers per zone, if it has that many hosts; and fewest
  // schedulers if the next one is much weaker than the strongest.
  size_t min_schedulers = 3;
  size_t min_strong_schedulers = 2;
  double capacity_share = 0.2;  // of a zone's capacity, at schedulers
  // Schedulers that an ingress host links to: in its own zone, and in other
  // zones, which serve while none in its own zone is available.
  size_t own_zone_links = 3;
  size_t other_zone_links = 1;

  auto operator<=>(const FleetTopologyOptions&) const = default;
};

// Returns the schedulers among all hosts: in each zone the strongest ones,
// until they reach the minimum number and their share of the zone's capacity.
std::set<HostId> PlanSchedulers(const std::vector<FleetHost>& hosts,
                                const FleetTopologyOptions& options);

// Whether a host of `capacity` is much weaker than one of capacity `other`.
bool IsMuchWeaker(int64_t capacity, int64_t other);

// An ingress host's links to schedulers.
struct SchedulerLinks {
  std::set<HostId> linked;
  std::set<HostId> draining;  // subset of `linked`

  auto operator<=>(const SchedulerLinks&) const = default;
};

// Returns the schedulers that an ingress host links to, preferring those
// already linked. Hosts pick different schedulers, and stronger ones more
// often. For each much weaker scheduler picked in its own zone, the host links
// to one more in other zones, stronger ones first. Draining schedulers keep
// their links and don't count.
std::vector<FleetHost> PickSchedulers(const FleetHost& self,
                                      const std::vector<FleetHost>& schedulers,
                                      const SchedulerLinks& links,
                                      const FleetTopologyOptions& options);

}  // namespace hickorystand
