// Plans how many engines a service has in each zone, and how many of them are
// spot engines.
//
// A spot engine costs a fraction of an on-demand one, but the platform may
// reclaim all spot engines of a zone within seconds. A base of on-demand
// engines in every zone carries the streams. Spot engines, spread over the
// zones, carry most of the prefill: the loss of one zone's spot engines removes
// only a part of them, and replacements are ordered in the other zones.

#pragma once

#include <cstdint>
#include <map>

#include "decisions/fleet_endpoint.h"

namespace hickorystand {

// A service's prices and limits. Prices are relative to an on-demand engine.
struct ScaleBounds {
  int64_t minimum = 0;  // per zone
  int64_t maximum = 0;  // per zone, on-demand and spot engines together
  double spot_price = 1;
  std::map<ZoneId, double> zone_prices;

  bool operator==(const ScaleBounds&) const = default;
};

// The engines of one zone.
struct ZoneEngines {
  int64_t on_demand = 0;
  int64_t spot = 0;
  bool spot_unavailable = false;  // a recent order was not fulfilled

  auto operator<=>(const ZoneEngines&) const = default;
};

using EnginesByZone = std::map<ZoneId, ZoneEngines>;

// Targets of scaling.
struct ScalePlanOptions {
  // Target share of time that an engine spends on prefill. Bursts double the
  // load within a second, hosts spread it unevenly, and a new engine takes four
  // seconds to start; the cheaper the engines, the more headroom pays off.
  double prefill_share_on_demand = 0.6;
  double prefill_share_spot = 0.4;
  // Spot engines are used if their price is below this share of the on-demand
  // price.
  double max_spot_price = 0.6;
  // Share of on-demand engines among all engines.
  double on_demand_share = 0.15;
  // Engines for streams, in addition to those for prefill: one per zone and
  // this many more.
  int64_t spare_decode_engines = 1;
  // Before the load is known, the plan is this multiple of the live engines:
  // engines with a cold cache prefill every shared part for the first time.
  double initial_factor_spot = 2;
  // Surplus of engines that is kept: the load fluctuates from second to second,
  // and each new engine has to prefill everything again.
  int64_t shrink_tolerance = 3;
};

// Returns the number of engines for a load that keeps `prefill_load` engines
// busy with prefill all the time, if another engine costs `price` times an
// on-demand one.
int64_t EnginesWanted(double prefill_load,
                      double price,
                      const ScaleBounds& bounds,
                      const ScalePlanOptions& options = {});

// The price of the cheaper kind of engine, as a share of an on-demand one.
double CheapestPrice(const ScaleBounds& bounds,
                     const ScalePlanOptions& options = {});

// The number of engines before the load is known.
int64_t InitialEngines(int64_t live,
                       const ScaleBounds& bounds,
                       const ScalePlanOptions& options = {});

// Returns the number of engines of each kind in each zone, for a total of
// `wanted`. On-demand engines beyond the plan are removed only as far as at
// least the `needed` engines for the current load remain, so that cheaper ones
// can replace them. If too few spot engines are available for that load,
// on-demand ones are ordered.
EnginesByZone PlanScale(const EnginesByZone& now,
                        int64_t wanted,
                        int64_t needed,
                        const ScaleBounds& bounds,
                        const ScalePlanOptions& options = {});

}  // namespace hickorystand
