#include "decisions/scale_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace hickorystand {
namespace {

bool UsesSpot(const ScaleBounds& bounds, const ScalePlanOptions& options) {
  return bounds.spot_price < options.max_spot_price;
}

// The limit for all zones together.
int64_t MaxEngines(const ScaleBounds& bounds) {
  return static_cast<int64_t>(bounds.zone_prices.size()) * bounds.maximum;
}

// Zones in ascending order of price.
std::vector<ZoneId> ZonesByPrice(const ScaleBounds& bounds) {
  std::vector<ZoneId> zones;
  for (const auto& [zone, price] : bounds.zone_prices) {
    zones.push_back(zone);
  }
  std::ranges::sort(zones, {}, [&bounds](const ZoneId& zone) {
    return std::pair(bounds.zone_prices.at(zone), zone);
  });
  return zones;
}

// Distributes `count` engines over the zones in turn, skipping zones without
// `room`. The cheaper zones get the remainder.
template <typename Room, typename Add>
void DistributeOverZones(const std::vector<ZoneId>& zones,
                         int64_t count,
                         Room room,
                         Add add) {
  bool progress = true;
  while (count > 0 && progress) {
    progress = false;
    for (const ZoneId& zone : zones) {
      if (count > 0 && room(zone)) {
        add(zone);
        --count;
        progress = true;
      }
    }
  }
}

int64_t TotalEngines(const EnginesByZone& engines) {
  int64_t live = 0;
  for (const auto& [zone, counts] : engines) {
    live += counts.on_demand + counts.spot;
  }
  return live;
}

ZoneEngines In(const EnginesByZone& engines, const ZoneId& zone) {
  const auto found = engines.find(zone);
  return found == engines.end() ? ZoneEngines() : found->second;
}

}  // namespace

double CheapestPrice(const ScaleBounds& bounds,
                     const ScalePlanOptions& options) {
  return UsesSpot(bounds, options) ? bounds.spot_price : 1;
}

int64_t EnginesWanted(double prefill_load,
                      double price,
                      const ScaleBounds& bounds,
                      const ScalePlanOptions& options) {
  const double share = price < options.max_spot_price
                           ? options.prefill_share_spot
                           : options.prefill_share_on_demand;
  const auto zones = static_cast<int64_t>(bounds.zone_prices.size());
  return std::min(static_cast<int64_t>(std::ceil(prefill_load / share)) +
                      zones + options.spare_decode_engines,
                  MaxEngines(bounds));
}

int64_t InitialEngines(int64_t live,
                       const ScaleBounds& bounds,
                       const ScalePlanOptions& options) {
  const double factor =
      UsesSpot(bounds, options) ? options.initial_factor_spot : 1;
  return std::min(
      static_cast<int64_t>(std::ceil(factor * static_cast<double>(live))),
      MaxEngines(bounds));
}

EnginesByZone PlanScale(const EnginesByZone& now,
                        int64_t wanted,
                        int64_t needed,
                        const ScaleBounds& bounds,
                        const ScalePlanOptions& options) {
  const std::vector<ZoneId> zones = ZonesByPrice(bounds);
  const bool spot = UsesSpot(bounds, options);
  const auto least =
      static_cast<int64_t>(zones.size()) * std::max<int64_t>(bounds.minimum, 1);
  const int64_t on_demand =
      spot ? std::max(least, static_cast<int64_t>(
                                 std::ceil(options.on_demand_share *
                                           static_cast<double>(wanted))))
           : std::max(least, wanted);
  EnginesByZone plan;
  DistributeOverZones(
      zones, on_demand,
      [&](const ZoneId& zone) { return plan[zone].on_demand < bounds.maximum; },
      [&](const ZoneId& zone) { ++plan[zone].on_demand; });
  int64_t spare = std::max<int64_t>(TotalEngines(now) - needed, 0);
  for (auto& [zone, counts] : plan) {
    const int64_t current = In(now, zone).on_demand;
    if (current > counts.on_demand) {
      const int64_t removed = std::min(spare, current - counts.on_demand);
      counts.on_demand = current - removed;
      spare -= removed;
    }
  }
  const auto in_bounds = [&](const ZoneId& zone) {
    return plan.at(zone).on_demand + plan.at(zone).spot < bounds.maximum;
  };
  if (spot) {
    DistributeOverZones(
        zones, wanted - on_demand,
        [&](const ZoneId& zone) {
          return !In(now, zone).spot_unavailable && in_bounds(zone);
        },
        [&](const ZoneId& zone) { ++plan.at(zone).spot; });
  }
  DistributeOverZones(zones, needed - TotalEngines(plan), in_bounds,
                      [&](const ZoneId& zone) { ++plan.at(zone).on_demand; });
  return plan;
}

}  // namespace hickorystand
