#include "relay/fleet_configuration.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace hickorystand {

const Route* FleetConfiguration::FindRoute(std::string_view host,
                                           std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : this->routes) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

Duration FleetConfiguration::ShortestGapTarget(const ServiceId& service) const {
  Duration shortest{};
  for (const Route& route : this->routes) {
    const bool targets_service =
        std::ranges::find(route.targets, service, &RouteTarget::service) !=
        route.targets.end();
    if (targets_service && route.gap_target > Duration{} &&
        (shortest == Duration{} || route.gap_target < shortest)) {
      shortest = route.gap_target;
    }
  }
  return shortest;
}

const RelayAccount* FleetConfiguration::FindAccount(
    std::string_view key) const {
  const auto found = this->accounts_by_key.find(key);
  return found == this->accounts_by_key.end() ? nullptr : &found->second;
}

const ServiceId& PickService(const Route& route, const RequestId& request) {
  assert(!route.targets.empty() && "a route has at least one target");
  const int64_t total =
      std::accumulate(route.targets.begin(), route.targets.end(), int64_t{0},
                      [](int64_t sum, const RouteTarget& target) {
                        return sum + target.weight;
                      });
  if (total <= 0) {
    return route.targets.front().service;
  }
  const std::string& id = request.Text();
  int64_t offset = static_cast<int64_t>(XXH3_64bits(id.data(), id.size()) %
                                        static_cast<uint64_t>(total));
  const auto chosen =
      std::ranges::find_if(route.targets, [&offset](const RouteTarget& target) {
        offset -= target.weight;
        return offset < 0;
      });
  return chosen->service;
}

std::set<ServiceId> ServicesOf(const Route& route) {
  std::set<ServiceId> services;
  for (const RouteTarget& target : route.targets) {
    if (target.weight > 0 || route.targets.size() == 1) {
      services.insert(target.service);
    }
  }
  return services;
}

}  // namespace hickorystand
