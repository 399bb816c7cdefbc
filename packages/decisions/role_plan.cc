#include "decisions/role_plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace hickorystand {
namespace {

// Engines of one role, by zone.
using EngineIdsByZone = std::map<ZoneId, std::vector<EndpointId>>;

int64_t CountAll(const EngineIdsByZone& engines) {
  int64_t count = 0;
  for (const auto& [zone, ids] : engines) {
    count += static_cast<int64_t>(ids.size());
  }
  return count;
}

// The cost of changing an engine's role, most significant member first.
struct ChangeCost {
  int64_t running = 0;  // requests that must end first
  // A spot engine would become a decode engine, or an on-demand engine a
  // prefill engine.
  bool wrong_kind = false;
  // Negated number of engines of its role in its zone.
  int64_t left_in_zone = 0;

  auto operator<=>(const ChangeCost&) const = default;
};

// The engine with the lowest cost of a role change. `engines` must not be
// empty.
EndpointId LowestCostEngine(const FleetEndpoints& endpoints,
                            const EngineIdsByZone& engines,
                            const RoleLoad& load,
                            bool spot) {
  std::vector<std::pair<ChangeCost, EndpointId>> costs;
  for (const auto& [zone, ids] : engines) {
    for (const EndpointId& id : ids) {
      costs.emplace_back(
          ChangeCost{.running = load.running(id),
                     .wrong_kind = endpoints.at(id).spot != spot,
                     .left_in_zone = -static_cast<int64_t>(ids.size())},
          id);
    }
  }
  return std::ranges::min(costs).second;
}

// Engines of each software version that generate.
using CountsByVersion = std::map<SoftwareVersion, int64_t>;

// The prefill engines of versions of which none generates. Such a version can't
// serve at all: prompts are handed over within a version.
EngineIdsByZone EnginesOfIdleVersions(const FleetEndpoints& endpoints,
                                      const EngineIdsByZone& prefill_engines,
                                      const CountsByVersion& generating) {
  EngineIdsByZone found;
  for (const auto& [zone, ids] : prefill_engines) {
    std::ranges::copy_if(
        ids, std::back_inserter(found[zone]), [&](const EndpointId& id) {
          return !generating.contains(endpoints.at(id).software);
        });
  }
  std::erase_if(found, [](const auto& entry) { return entry.second.empty(); });
  return found;
}

// The decode engines without the last one of each version.
EngineIdsByZone WithoutLastOfVersion(const FleetEndpoints& endpoints,
                                     EngineIdsByZone decode_engines,
                                     const CountsByVersion& generating) {
  for (auto& [zone, ids] : decode_engines) {
    std::erase_if(ids, [&](const EndpointId& id) {
      return generating.at(endpoints.at(id).software) == 1;
    });
  }
  std::erase_if(decode_engines,
                [](const auto& entry) { return entry.second.empty(); });
  return decode_engines;
}

}  // namespace

std::optional<RoleChange> PlanRole(const FleetEndpoints& endpoints,
                                   const ServiceId& service,
                                   const RoleLoad& load,
                                   const RolePlanOptions& options) {
  EngineIdsByZone prefill_engines;
  EngineIdsByZone decode_engines;
  CountsByVersion generating;
  std::map<ZoneId, int64_t> zones;
  int64_t slots = 0;
  for (const auto& [id, endpoint] : endpoints) {
    if (endpoint.service != service || endpoint.leaving ||
        endpoint.role == EndpointRole::kPlain) {
      continue;
    }
    ++zones[endpoint.zone];
    slots += endpoint.slots;
    EngineIdsByZone& of_role = endpoint.role == EndpointRole::kPrefill
                                   ? prefill_engines
                                   : decode_engines;
    of_role[endpoint.zone].push_back(id);
    if (endpoint.role != EndpointRole::kPrefill) {
      ++generating[endpoint.software];
    }
  }
  const int64_t engines = CountAll(prefill_engines) + CountAll(decode_engines);
  if (engines < 2) {
    return {};
  }
  if (const EngineIdsByZone idle =
          EnginesOfIdleVersions(endpoints, prefill_engines, generating);
      !idle.empty()) {
    return RoleChange{
        .endpoint = LowestCostEngine(endpoints, idle, load, false),
        .role = EndpointRole::kDecode};
  }
  const double slots_each =
      static_cast<double>(slots) / static_cast<double>(engines);
  const auto needed = static_cast<int64_t>(std::ceil(
      load.streams / std::max(options.target_slot_share * slots_each, 1.0)));
  const auto share = static_cast<int64_t>(
      std::ceil(options.min_decode_share * static_cast<double>(engines)));
  const int64_t wanted = std::clamp<int64_t>(
      std::max({needed + options.spare_engines, share,
                static_cast<int64_t>(zones.size()) + options.spare_engines}),
      1, std::max<int64_t>(engines / 2, 1));
  const EngineIdsByZone spare =
      WithoutLastOfVersion(endpoints, decode_engines, generating);
  if (CountAll(decode_engines) > wanted + options.surplus_tolerance &&
      !spare.empty()) {
    return RoleChange{
        .endpoint = LowestCostEngine(endpoints, spare, load, true),
        .role = EndpointRole::kPrefill};
  }
  if (CountAll(decode_engines) >= wanted || prefill_engines.empty()) {
    return {};
  }
  // Prefers a zone without decode engines. Decode engines should not be spot
  // engines, since reclaiming one breaks its streams.
  const auto zone_without_decode = std::ranges::find_if(
      prefill_engines,
      [&](const auto& entry) { return !decode_engines.contains(entry.first); });
  const EngineIdsByZone candidates =
      zone_without_decode != prefill_engines.end()
          ? EngineIdsByZone{*zone_without_decode}
          : std::move(prefill_engines);
  return RoleChange{
      .endpoint = LowestCostEngine(endpoints, candidates, load, false),
      .role = EndpointRole::kDecode};
}

}  // namespace hickorystand
