// The part of FleetDuties that orders engine roles and engine counts. The lease
// and the usage reports are in fleet_duties.cc.

#include <algorithm>
#include <cmath>
#include <utility>

#include "kernel/log.h"
#include "relay/fleet_duties.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "duties";

// A service with fewer concurrent streams than this counts as idle.
constexpr double kIdleStreams = 0.5;

// Decay of the peak prefill load with each calculation, every 0.8 s. It is slow
// because the next burst comes within half a minute.
constexpr double kPrefillPeakDecay = 0.985;

// The same for the load that on-demand engines are ordered for. It is fast
// because they are expensive and not needed once a burst is over.
constexpr double kRecentPrefillDecay = 0.9;

// Decay of the peak number of concurrent streams with each tick.
constexpr double kStreamsPeakDecay = 0.997;

// Time after which a role order that has no visible effect counts as lost. It
// covers the role change, a heartbeat and a read of the endpoint list.
constexpr Duration kRoleOrderTimeout = std::chrono::milliseconds(6500);

// The same for an order that the engine accepted: it first completes its
// running streams, which may be long.
constexpr Duration kAcceptedRoleTimeout = std::chrono::seconds(20);

// Delay before an engine that refused a role is ordered again.
constexpr Duration kRoleRetry = std::chrono::seconds(2);

}  // namespace

void FleetDuties::PlanRoles(Instant now) {
  const FleetConfigurationPtr configuration = this->inputs.configuration();
  if (!configuration) {
    return;
  }
  FleetEndpoints expected = this->inputs.endpoints();
  std::erase_if(this->role_orders, [&](const auto& entry) {
    const auto found = expected.find(entry.first);
    return found == expected.end() || found->second.run != entry.second.run ||
           found->second.role == entry.second.role || now >= entry.second.until;
  });
  // Pending orders count as carried out, to avoid ordering them twice.
  for (const auto& [id, order] : this->role_orders) {
    expected.at(id).role = order.role;
  }
  for (const auto& [id, service] : configuration->services) {
    if (service.engine) {
      this->PlanRolesOf(id, expected);
    }
  }
}

// Returns the recent peak of concurrent streams.
double FleetDuties::PeakStreams(const ServiceId& service,
                                const FleetEndpoints& expected) {
  double running = 0;
  for (const auto& [id, endpoint] : expected) {
    if (endpoint.service == service &&
        endpoint.role != EndpointRole::kPrefill) {
      running += static_cast<double>(this->inputs.running(id));
    }
  }
  double& peak = this->streams_peak[service];
  peak = std::max(running, peak * kStreamsPeakDecay);
  return peak;
}

// Orders role changes until the maximum number is under way or none is needed.
void FleetDuties::PlanRolesOf(const ServiceId& service,
                              FleetEndpoints& expected) {
  const RoleLoad load{.streams = this->PeakStreams(service, expected),
                      .running = this->inputs.running};
  const double share = load.streams < kIdleStreams
                           ? this->options.max_role_change_share_idle
                           : this->options.max_role_change_share;
  const auto of_service = [&service](const auto& entry) {
    return entry.second.service == service;
  };
  const auto engines = std::ranges::count_if(expected, of_service);
  const auto most =
      static_cast<int64_t>(std::ceil(share * static_cast<double>(engines)));
  for (int64_t under_way = this->ChangingRoleOf(service); under_way < most;
       ++under_way) {
    const auto change = PlanRole(expected, service, load);
    if (!change) {
      return;
    }
    this->OrderRole(*change);
    expected.at(change->endpoint).role = change->role;
  }
}

// An engine that is unreachable or busy is not ordered again until the retry
// delay has passed. Meanwhile another engine may get the role.
void FleetDuties::NoteRefusedRole(const EndpointId& endpoint) {
  const auto order = this->role_orders.find(endpoint);
  if (order != this->role_orders.end()) {
    order->second.refused = true;
    order->second.until = this->clock->Now() + kRoleRetry;
  }
}

// The engine changes its role when its running requests have ended, and refuses
// new ones until then. If the order counted as lost after the usual time,
// requests would be sent to the engine again, and refused.
void FleetDuties::NoteAcceptedRole(const EndpointId& endpoint) {
  const auto order = this->role_orders.find(endpoint);
  if (order != this->role_orders.end()) {
    order->second.until = this->clock->Now() + kAcceptedRoleTimeout;
  }
}

void FleetDuties::OrderRole(const RoleChange& change) {
  const FleetEndpoint& endpoint = this->inputs.endpoints().at(change.endpoint);
  this->role_orders[change.endpoint] = {
      .run = endpoint.run,
      .role = change.role,
      .until = this->clock->Now() + kRoleOrderTimeout};
  LogInfo(kPart, "Role ordered.",
          {{"endpoint", change.endpoint.Text()},
           {"role", change.role == EndpointRole::kPrefill ? "read prompts"
                                                          : "generate"},
           {"fencing", std::to_string(this->lease.Fencing())}});
  this->platform->ChangeRole(
      {.run = endpoint.run, .address = endpoint.address, .role = change.role},
      this->Authority(),
      this->TrackCall([this, id = change.endpoint](DutyOutcome outcome) {
        if (outcome == DutyOutcome::kRefused ||
            outcome == DutyOutcome::kNotSent) {
          this->NoteRefusedRole(id);
          LogInfo(kPart, "Role order has no effect.",
                  {{"endpoint", id.Text()}});
        } else if (outcome == DutyOutcome::kAccepted) {
          this->NoteAcceptedRole(id);
        }
      }));
}

EnginesByZone FleetDuties::CountEngines(const ServiceId& service) const {
  EnginesByZone counts;
  for (const auto& [id, endpoint] : this->inputs.endpoints()) {
    if (endpoint.service == service && !endpoint.leaving) {
      ZoneEngines& zone = counts[endpoint.zone];
      ++(endpoint.spot ? zone.spot : zone.on_demand);
    }
  }
  for (const auto& [key, until] : this->spot_unavailable_until) {
    if (key.service == service && key.spot) {
      counts[key.zone].spot_unavailable = true;
    }
  }
  return counts;
}

bool FleetDuties::CountSettled(Instant now,
                               const ServiceId& service,
                               int64_t live) {
  LiveCount& known = this->live_counts[service];
  if (known.count != live) {
    known.count = live;
    known.since = now;
  }
  if (live > 0 && known.first_seen == Instant{}) {
    known.first_seen = now;
  }
  known.settled =
      known.settled ||
      (live > 0 && now - known.since >= this->options.count_settle_time);
  return known.settled;
}

int64_t FleetDuties::ChangingRoleOf(const ServiceId& service) const {
  const FleetEndpoints& listed = this->inputs.endpoints();
  return std::ranges::count_if(this->role_orders, [&](const auto& entry) {
    const auto found = listed.find(entry.first);
    return !entry.second.refused && found != listed.end() &&
           found->second.service == service;
  });
}

// Until load has been measured, the number of engines at the start of the
// tenure determines the target.
FleetDuties::EngineNeed FleetDuties::NeededEngines(const ServiceId& service,
                                                   const ScaleBounds& bounds,
                                                   int64_t live) {
  double& peak = this->prefill_peak[service];
  double& recent = this->prefill_recent[service];
  const double reading = this->inputs.prefill_engines(service);
  peak = std::max(reading, peak * kPrefillPeakDecay);
  recent = std::max(reading, recent * kRecentPrefillDecay);
  const ScalePlanOptions scaling;
  const int64_t first =
      this->initial_engines.try_emplace(service, live).first->second;
  const int64_t wanted = std::max(
      EnginesWanted(peak, CheapestPrice(bounds, scaling), bounds, scaling),
      InitialEngines(first, bounds, scaling));
  int64_t& planned = this->planned[service];
  if (wanted > planned || wanted < planned - scaling.shrink_tolerance) {
    planned = wanted;
  }
  // Until the load is known, half of the target is kept. Engines that are
  // changing their role serve no requests, so they are added to the need.
  const int64_t min_engines = std::min(first, planned / 2);
  return {.wanted = planned,
          .needed =
              std::max(EnginesWanted(recent, 1, bounds, scaling), min_engines) +
              this->ChangingRoleOf(service),
          .prefill_engines = reading};
}

void FleetDuties::PlanEngines(Instant now) {
  const FleetConfigurationPtr configuration = this->inputs.configuration();
  if (!configuration || now < this->next_scale) {
    return;
  }
  this->next_scale = now + this->options.scale_period;
  for (const auto& [id, service] : configuration->services) {
    if (!service.scaling || service.scaling->maximum <= 0) {
      continue;
    }
    const ScaleBounds& bounds = service.scaling.value();
    const EnginesByZone counts = this->CountEngines(id);
    int64_t live = 0;
    for (const auto& [zone, engines] : counts) {
      live += engines.on_demand + engines.spot;
    }
    if (!this->CountSettled(now, id, live)) {
      this->OrderFirst(now, id, bounds, counts, live);
      continue;
    }
    const EngineNeed need = this->NeededEngines(id, bounds, live);
    this->OrderZones(now, id, counts, need,
                     PlanScale(counts, need.wanted, need.needed, bounds));
    this->RetryUnavailableZones(now, id, bounds, counts, need);
  }
}

// Orders the first spot engines based on the engines listed so far. Once all
// are listed, OrderZones() orders the rest.
void FleetDuties::OrderFirst(Instant now,
                             const ServiceId& service,
                             const ScaleBounds& bounds,
                             const EnginesByZone& counts,
                             int64_t live) {
  const Instant seen = this->live_counts.at(service).first_seen;
  if (!this->first_tenure || live == 0 ||
      now - seen < this->options.first_order_delay) {
    return;
  }
  const EngineNeed need{.wanted = InitialEngines(live, bounds), .needed = live};
  const EnginesByZone plan =
      PlanScale(counts, need.wanted, need.needed, bounds);
  for (const auto& [zone, target] : plan) {
    const ScaleKey key{.service = service, .zone = zone, .spot = true};
    if (target.spot > 0 && !this->scale_orders.contains(key)) {
      this->OrderEngines(now, key, 0, target.spot, need);
    }
  }
}

void FleetDuties::OrderZones(Instant now,
                             const ServiceId& service,
                             const EnginesByZone& counts,
                             const EngineNeed& need,
                             const EnginesByZone& plan) {
  for (const auto& [zone, target] : plan) {
    const auto found = counts.find(zone);
    const ZoneEngines has =
        found == counts.end() ? ZoneEngines() : found->second;
    this->OrderEngines(now, {.service = service, .zone = zone}, has.on_demand,
                       target.on_demand, need);
    if (!has.spot_unavailable) {
      this->OrderEngines(now, {.service = service, .zone = zone, .spot = true},
                         has.spot, target.spot, need);
    }
  }
}

// Retries spot orders in zones that had no spot engines available. Such a zone
// stays out of the main plan until an order is accepted: a plan that relied on
// it would remove the on-demand engines that replace its spot engines, and
// order them again after a refusal.
void FleetDuties::RetryUnavailableZones(Instant now,
                                        const ServiceId& service,
                                        const ScaleBounds& bounds,
                                        const EnginesByZone& counts,
                                        const EngineNeed& need) {
  EnginesByZone counts_if_available = counts;
  for (auto& [zone, engines] : counts_if_available) {
    engines.spot_unavailable = false;
  }
  const EnginesByZone plan =
      PlanScale(counts_if_available, need.wanted, need.needed, bounds);
  for (const auto& [zone, engines] : counts) {
    const ScaleKey key{.service = service, .zone = zone, .spot = true};
    if (engines.spot_unavailable &&
        now >= this->spot_unavailable_until.at(key) && plan.contains(zone)) {
      this->OrderEngines(now, key, engines.spot, plan.at(zone).spot, need);
    }
  }
}

void FleetDuties::OrderEngines(Instant now,
                               const ScaleKey& key,
                               int64_t has,
                               int64_t count,
                               const EngineNeed& need) {
  const auto found = this->spot_unavailable_until.find(key);
  if (found != this->spot_unavailable_until.end() && now < found->second) {
    return;
  }
  const auto before = this->scale_orders.find(key);
  if (before != this->scale_orders.end()) {
    const bool same = before->second.count == count;
    const bool still_waiting =
        now - before->second.ordered < this->options.scale_order_timeout;
    if (before->second.under_way || (same && (has == count || still_waiting))) {
      return;
    }
  } else if (has == count) {
    return;
  }
  this->scale_orders[key] = {.count = count, .ordered = now, .under_way = true};
  LogInfo(kPart, "Engines ordered.",
          {{"service", key.service.Text()},
           {"zone", key.zone.Text()},
           {"kind", key.spot ? "spot" : "on-demand"},
           {"listed", std::to_string(has)},
           {"count", std::to_string(count)},
           {"wanted", std::to_string(need.wanted)},
           {"needed", std::to_string(need.needed)},
           {"reading", std::to_string(need.prefill_engines)},
           {"fencing", std::to_string(this->lease.Fencing())}});
  this->platform->OrderEndpoints(
      {.service = key.service,
       .zone = key.zone,
       .count = count,
       .spot = key.spot},
      this->Authority(), this->TrackCall([this, key](DutyOutcome outcome) {
        const auto order = this->scale_orders.find(key);
        if (order != this->scale_orders.end()) {
          order->second.under_way = false;
        }
        if (outcome == DutyOutcome::kAccepted) {
          this->spot_unavailable_until.erase(key);
          return;
        }
        LogInfo(kPart, "Engine order failed.",
                {{"zone", key.zone.Text()},
                 {"kind", key.spot ? "spot" : "on-demand"}});
        this->scale_orders.erase(key);
        this->spot_unavailable_until[key] =
            this->clock->Now() + this->options.spot_retry;
      }));
}

}  // namespace hickorystand
