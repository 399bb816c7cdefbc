// How many engines to order, where, and which of them may be reclaimed.
//
// A spot engine costs a fraction of a on-demand one, but its zone's owner may
// take all of a zone's back within seconds. So a base of on-demand engines in
// every zone carries the streams, and spot engines, spread over the zones,
// carry most of the reading: the loss of one zone's takes a part of them, and
// what is missing is ordered in the other zones.

#pragma once

#include <cstdint>
#include <map>

#include "decisions/fleet_endpoint.h"

namespace hickorystand {

// How engines are priced and bounded, for one service.
struct ScaleBounds {
  int64_t minimum = 0;  // in a zone
  int64_t maximum = 0;  // in a zone, of both kinds together
  double spot_price = 1;
  std::map<ZoneId, double> zone_prices;

  bool operator==(const ScaleBounds&) const = default;
};

// Engines of one zone, by kind.
struct ZoneEngines {
  int64_t on_demand = 0;
  int64_t spot = 0;
  bool spot_unavailable = false;  // none was to be had lately

  auto operator<=>(const ZoneEngines&) const = default;
};

using EnginesByZone = std::map<ZoneId, ZoneEngines>;

// How scaling is set.
struct ScalePlanOptions {
  // The share of its time that an engine reads on average. Bursts double the
  // work within a second, hosts spread it unevenly, and an engine takes four
  // seconds to come; the cheaper engines are, the more room is worth having.
  double prefill_share_on_demand = 0.6;
  double reading_share_spot = 0.4;
  // Spot engines are used if they cost less than this share.
  double spot_worth_it = 0.6;
  // Dependable engines among all.
  double on_demand_share = 0.15;
  // Engines for streams, beside those that read: this many for each zone and
  // some more.
  int64_t generating_spare = 1;
  // Before there was any load, this many times what stands there is wanted:
  // cold engines read every shared part for the first time.
  double first_factor_spot = 2;
  // So much less may be wanted without a change: loads go up and down by the
  // second, and each engine that comes again reads everything anew.
  int64_t tolerated_less = 3;
};

// How many engines a service wants whose prompts need `reading` engines that
// read all the time, if each more costs `price` times a on-demand one.
int64_t EnginesWanted(double reading,
                      double price,
                      const ScaleBounds& bounds,
                      const ScalePlanOptions& options = {});

// What the cheaper kind of engine costs, as a share of a on-demand one.
double CheapestPrice(const ScaleBounds& bounds,
                     const ScalePlanOptions& options = {});

// How many engines are wanted before any load is known.
int64_t EnginesAtFirst(int64_t live,
                       const ScaleBounds& bounds,
                       const ScalePlanOptions& options = {});

// What each zone shall have now, to get to `wanted` engines. Dependable ones
// beyond the plan go while at least `needed` are left for the load there is, so
// that cheaper ones take their places; where too few spot engines are to be had
// for that load, on-demand ones are ordered.
EnginesByZone PlanScale(const EnginesByZone& now,
                        int64_t wanted,
                        int64_t needed,
                        const ScaleBounds& bounds,
                        const ScalePlanOptions& options = {});

}  // namespace hickorystand
