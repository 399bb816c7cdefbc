#include "decisions/role_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace hickorystand {
namespace {

// Engines of one role in each zone.
using ByZone = std::map<ZoneId, std::vector<EndpointId>>;

int64_t CountAll(const ByZone& engines) {
  int64_t count = 0;
  for (const auto& [zone, ids] : engines) {
    count += static_cast<int64_t>(ids.size());
  }
  return count;
}

// An engine of the zone that has the most of them: a spot one, or one that
// stays, where there is one of that kind.
EndpointId FromFullest(const FleetEndpoints& endpoints,
                       const ByZone& engines,
                       bool spot) {
  const auto fullest = std::ranges::max_element(
      engines, {}, [](const auto& entry) { return entry.second.size(); });
  const auto of_kind = std::ranges::find_if(
      fullest->second, [&endpoints, spot](const EndpointId& id) {
        return endpoints.at(id).spot == spot;
      });
  return of_kind != fullest->second.end() ? *of_kind : fullest->second.front();
}

}  // namespace

std::optional<RoleChange> PlanRole(const FleetEndpoints& endpoints,
                                   const ServiceId& service,
                                   double streams,
                                   const RolePlanOptions& options) {
  ByZone readers;
  ByZone generators;
  std::map<ZoneId, int64_t> zones;
  for (const auto& [id, endpoint] : endpoints) {
    if (endpoint.service != service || endpoint.leaving ||
        endpoint.role == EndpointRole::kPlain) {
      continue;
    }
    ++zones[endpoint.zone];
    ByZone& of_role =
        endpoint.role == EndpointRole::kPrefill ? readers : generators;
    of_role[endpoint.zone].push_back(id);
  }
  const int64_t engines = CountAll(readers) + CountAll(generators);
  if (engines < 2) {
    return {};
  }
  const auto needed =
      static_cast<int64_t>(std::ceil(streams / options.streams_per_engine));
  const auto share = static_cast<int64_t>(
      std::ceil(options.least_share * static_cast<double>(engines)));
  const int64_t wanted = std::clamp<int64_t>(
      std::max({needed + options.spare_engines, share,
                static_cast<int64_t>(zones.size()) + options.spare_engines}),
      1, std::max<int64_t>(engines / 2, 1));
  if (CountAll(generators) > wanted + options.tolerated_more) {
    return RoleChange{.endpoint = FromFullest(endpoints, generators, true),
                      .role = EndpointRole::kPrefill};
  }
  if (CountAll(generators) >= wanted || readers.empty()) {
    return {};
  }
  // Where none generates yet, if there is such a zone. Streams go to engines
  // that can't be reclaimed, since theirs would break.
  const auto bare = std::ranges::find_if(readers, [&](const auto& entry) {
    return !generators.contains(entry.first);
  });
  return RoleChange{.endpoint = bare != readers.end()
                                    ? bare->second.front()
                                    : FromFullest(endpoints, readers, false),
                    .role = EndpointRole::kDecode};
}

}  // namespace hickorystand
