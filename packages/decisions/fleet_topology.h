// Which hosts of a fleet schedule requests on endpoints, and to which of them
// every other host forwards what its callers send.
//
// What one host costs the store, the endpoints and the other hosts mustn't grow
// with the size of the fleet, so only a few hosts of a zone are schedulers: the
// strongest ones. They read the store, follow the endpoints' caches and know
// each other's work. All other hosts are ingress hosts: they hold callers'
// connections and forward whole requests. In a small fleet every host is a
// scheduler and nothing is forwarded.
//
//   const auto schedulers = PlanSchedulers(hosts, options);
//   if (schedulers.contains(self.id)) { ... }
//   else PickSchedulers(self, listed, options);
//
// Index
//   FleetHost, FleetTopologyOptions   a host's record, and the sizes
//   PlanSchedulers                    who schedules; the same on every host
//   PickSchedulers                    whom an ingress host links to

#pragma once

#include <set>
#include <string>
#include <vector>

#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/settings.h"

namespace hickorystand {

// A host as its record in the store describes it.
struct FleetHost {
  HostId id;
  SocketAddress address;  // for links from other hosts
  ZoneId zone;
  int64_t capacity = 0;  // processor, thousandths of a core

  auto operator<=>(const FleetHost&) const = default;
};

// The record's value, without the id, which is its key.
std::string EncodeFleetHost(const FleetHost& host);
Result<FleetHost> DecodeFleetHost(const HostId& id, const std::string& text);

// Hosts below this part of another one's capacity are much weaker.
inline constexpr double kMuchWeaker = 0.34;

// How many schedulers there are.
struct FleetTopologyOptions {
  // Schedulers of a zone, where it has so many hosts; and where the next one is
  // much weaker than the strongest.
  size_t least_schedulers = 3;
  size_t least_strong_schedulers = 2;
  double capacity_share = 0.2;  // of a zone's processor, at schedulers
  // Schedulers that an ingress host links to: in its own zone, and in others,
  // which serve while its own zone's are gone.
  size_t near_links = 3;
  size_t far_links = 1;

  auto operator<=>(const FleetTopologyOptions&) const = default;
};

// The schedulers among all hosts: in each zone the strongest ones, until they
// are enough and have their share of the zone's capacity.
std::set<HostId> PlanSchedulers(const std::vector<FleetHost>& hosts,
                                const FleetTopologyOptions& options);

// Whether a host of a capacity is much weaker than one of another.
bool IsMuchWeaker(int64_t capacity, int64_t other);

// The links that an ingress host has to schedulers.
struct SchedulerLinks {
  std::set<HostId> linked;
  std::set<HostId> draining;  // of the linked ones

  auto operator<=>(const SchedulerLinks&) const = default;
};

// The schedulers that an ingress host links to; those that it is linked with
// come first. Different hosts pick different ones, stronger ones more often.
// For each much weaker one of its own zone it links to one more of other zones,
// the stronger ones first. Draining schedulers keep their links and don't
// count.
std::vector<FleetHost> PickSchedulers(const FleetHost& self,
                                      const std::vector<FleetHost>& schedulers,
                                      const SchedulerLinks& links,
                                      const FleetTopologyOptions& options);

}  // namespace hickorystand
