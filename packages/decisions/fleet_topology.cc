#include "decisions/fleet_topology.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>
#include <tuple>

namespace hickorystand {
namespace {

// Descending by capacity, then by id.
bool Before(const FleetHost& left, const FleetHost& right) {
  return left.capacity != right.capacity ? left.capacity > right.capacity
                                         : left.id < right.id;
}

int64_t CapacityOf(const std::vector<FleetHost>& hosts) {
  int64_t sum = 0;
  for (const FleetHost& host : hosts) {
    sum += host.capacity;
  }
  return sum;
}

// The distance between two hosts in weighted rendezvous hashing: the smallest
// distance wins, and a host wins in proportion to its capacity.
double Distance(const HostId& from, const FleetHost& to) {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  const uint64_t seed = XXH3_64bits(from.Text().data(), from.Text().size());
  const uint64_t hash =
      XXH3_64bits_withSeed(to.id.Text().data(), to.id.Text().size(), seed);
  const double draw = (static_cast<double>(hash) + 1) / (kHashRange + 2);
  return -std::log(draw) /
         static_cast<double>(std::max<int64_t>(to.capacity, 1));
}

// The linked hosts, then the nearest ones; at most `count`.
std::vector<FleetHost> Nearest(const HostId& from,
                               std::vector<FleetHost> hosts,
                               const std::set<HostId>& linked,
                               size_t count) {
  std::ranges::sort(hosts, {}, [&](const FleetHost& host) {
    return std::tuple(!linked.contains(host.id), Distance(from, host), host.id);
  });
  hosts.resize(std::min(hosts.size(), count));
  return hosts;
}

}  // namespace

std::string EncodeFleetHost(const FleetHost& host) {
  return host.address.host + ":" + std::to_string(host.address.port) + " " +
         std::to_string(host.capacity) + " " + host.zone.Text();
}

// A record that consists of an address only is of a host in an unknown zone.
Result<FleetHost> DecodeFleetHost(const HostId& id, const std::string& text) {
  std::istringstream in(text);
  std::string address;
  FleetHost host{.id = id};
  in >> address >> host.capacity;
  std::string zone;
  std::getline(in >> std::ws, zone);
  host.zone = ZoneId(zone);
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  host.address = *parsed;
  return host;
}

bool IsMuchWeaker(int64_t capacity, int64_t other) {
  return static_cast<double>(capacity) <
         kMuchWeakerShare * static_cast<double>(other);
}

std::set<HostId> PlanSchedulers(const std::vector<FleetHost>& hosts,
                                const FleetTopologyOptions& options) {
  std::map<ZoneId, std::vector<FleetHost>> zones;
  for (const FleetHost& host : hosts) {
    zones[host.zone].push_back(host);
  }
  std::set<HostId> schedulers;
  for (auto& [zone, members] : zones) {
    std::ranges::sort(members, Before);
    const double wanted =
        options.capacity_share * static_cast<double>(CapacityOf(members));
    double capacity = 0;
    size_t count = 0;
    for (const FleetHost& host : members) {
      const bool weak = IsMuchWeaker(host.capacity, members.front().capacity);
      const size_t least =
          weak ? options.min_strong_schedulers : options.min_schedulers;
      if (count >= least && capacity >= wanted) {
        break;
      }
      schedulers.insert(host.id);
      capacity += static_cast<double>(host.capacity);
      ++count;
    }
  }
  return schedulers;
}

std::vector<FleetHost> PickSchedulers(const FleetHost& self,
                                      const std::vector<FleetHost>& schedulers,
                                      const SchedulerLinks& links,
                                      const FleetTopologyOptions& options) {
  std::vector<FleetHost> staying;
  std::vector<FleetHost> draining;
  int64_t strongest = 0;
  for (const FleetHost& host : schedulers) {
    const bool drains = links.draining.contains(host.id);
    (drains ? draining : staying).push_back(host);
    strongest = std::max(strongest, drains ? 0 : host.capacity);
  }
  const auto is_weak = [strongest](const FleetHost& host) {
    return IsMuchWeaker(host.capacity, strongest);
  };
  std::vector<FleetHost> near;
  std::vector<FleetHost> strong_far;
  std::vector<FleetHost> weak_far;
  for (const FleetHost& host : staying) {
    const bool is_near = host.zone == self.zone;
    (is_near ? near : is_weak(host) ? weak_far : strong_far).push_back(host);
  }
  std::vector<FleetHost> picked =
      Nearest(self.id, near, links.linked, options.own_zone_links);
  const size_t strong =
      picked.size() -
      static_cast<size_t>(std::ranges::count_if(picked, is_weak));
  const size_t wanted =
      options.other_zone_links + options.own_zone_links - strong;
  const auto first = Nearest(self.id, strong_far, links.linked, wanted);
  const auto rest =
      Nearest(self.id, weak_far, links.linked, wanted - first.size());
  picked.insert(picked.end(), first.begin(), first.end());
  picked.insert(picked.end(), rest.begin(), rest.end());
  picked.insert(picked.end(), draining.begin(), draining.end());
  return picked;
}

}  // namespace hickorystand
