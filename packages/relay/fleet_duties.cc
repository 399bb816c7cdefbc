#include "relay/fleet_duties.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "duties";
constexpr std::string_view kUsagePrefix = "hickorystand/usage/";

// Fewer streams at a time than this are none.
constexpr double kIdleStreams = 0.5;

constexpr Duration kTick = std::chrono::milliseconds(100);

// The lease ends this much earlier for its holder than in the store.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(600);

// Counts come from other hosts every half second; a window is closed when all
// have told of it, but not sooner than this after its end.
constexpr Duration kSettle = std::chrono::milliseconds(700);

// After a report that was not accepted: each call is billed and the platform
// takes 50 a second from all hosts, while a report is due in 10 s.
constexpr Duration kReportRetry = std::chrono::milliseconds(700);

// A change of what is believed of true time that is worth a line, milliseconds.
constexpr int64_t kTimeChangeLogged = 50;

// Windows whose record is kept; older ones are removed with each new one.
constexpr int64_t kKeptRecords = 12;

// How much of the highest reading load is still planned for after each look:
// the next burst comes within half a minute.
constexpr double kPeakKept = 0.985;

// The same for the load that dependable engines are kept or ordered for: they
// are dear, and a burst that is over needs none.
constexpr double kNowKept = 0.9;

// How much of the most streams at a time is still planned for after each tick.
constexpr double kStreamsKept = 0.997;

// How long an order's effect may take to show: the change itself, a heartbeat
// and a reading of the list. Longer than that it counts as lost.
constexpr Duration kRoleShows = std::chrono::milliseconds(6500);

// How long an engine that took the order may take, with long streams to end.
constexpr Duration kRoleTaken = std::chrono::seconds(20);

// Until an engine that refused a role is asked again.
constexpr Duration kRoleRetry = std::chrono::seconds(2);

// One group of hosts shares the duties.
const DataCentreId& Group() {
  static const DataCentreId kGroup("fleet");
  return kGroup;
}

std::string UsageKey(int64_t window) {
  return std::string(kUsagePrefix) + std::to_string(window);
}

int64_t Milliseconds(Duration length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

}  // namespace

FleetDuties::FleetDuties(FleetDutiesOptions options,
                         const Clock& clock,
                         KeyValueStore& store,
                         PlatformDuties& platform,
                         FleetDutiesInputs inputs)
    : options(std::move(options)),
      clock(&clock),
      store(&store),
      platform(&platform),
      inputs(std::move(inputs)),
      lease({.data_centre = Group(),
             .host = this->options.host,
             .incarnation = this->options.incarnation,
             .length = this->options.lease,
             .margin = kLeaseMargin,
             .renew_every = this->options.lease / 4,
             .poll_every = std::chrono::milliseconds(1500),
             .call_timeout = std::chrono::milliseconds(1600)}),
      usage({.host = this->options.host,
             .incarnation = this->options.incarnation},
            this->options.window),
      true_time(clock.WallMilliseconds(),
                Milliseconds(clock.Now().time_since_epoch())) {}

FleetDuties::~FleetDuties() = default;

int64_t FleetDuties::UnixMilliseconds() const {
  return this->true_time.UnixAt(
      Milliseconds(this->clock->Now().time_since_epoch()));
}

void FleetDuties::OnPeerTime(const HostId& host, int64_t unix_ms) {
  const int64_t before = this->UnixMilliseconds();
  this->true_time.OnPeer(host, unix_ms,
                         Milliseconds(this->clock->Now().time_since_epoch()));
  const int64_t change = this->UnixMilliseconds() - before;
  if (std::abs(change) >= kTimeChangeLogged) {
    LogInfo(kPart, "True time is another one than was believed.",
            {{"change_ms", std::to_string(change)},
             {"told_by", host.Text()},
             {"told_ms", std::to_string(unix_ms - before)}});
  }
}

void FleetDuties::Start() {
  this->started = this->clock->Now();
  this->timer = Timer::Every(kTick, [this] { this->Tick(); });
}

void FleetDuties::Retire() {
  std::vector<LeaseAction> actions;
  this->lease.Retire(actions);
  this->NoteHolding(this->clock->Now());
  this->Run(actions);
}

std::vector<EndpointId> FleetDuties::ChangingRole() const {
  std::vector<EndpointId> changing;
  for (const auto& [id, order] : this->role_orders) {
    if (!order.refused) {
      changing.push_back(id);
    }
  }
  return changing;
}

bool FleetDuties::MayAct() const {
  const Instant now = this->clock->Now();
  return this->lease.MayAct(now) && now >= this->act_from;
}

DutyAuthority FleetDuties::Authority() const {
  return {.holder = this->options.host,
          .fencing = this->lease.Fencing(),
          .may_send = [this, fencing = this->lease.Fencing()] {
            return this->MayAct() && this->lease.Fencing() == fencing;
          }};
}

void FleetDuties::Tick() {
  const Instant now = this->clock->Now();
  std::vector<LeaseAction> actions;
  this->lease.SetRank(static_cast<int64_t>(this->inputs.rank()));
  this->lease.OnTick(now, actions);
  this->NoteHolding(now);
  this->Run(actions);
  if (this->MayAct()) {
    this->ReportDue();
    this->PlanRoles(now);
    this->PlanEngines(now);
  }
}

void FleetDuties::NoteHolding(Instant now) {
  const bool held = this->lease.Held();
  if (held == this->holding) {
    return;
  }
  this->holding = held;
  LogInfo(kPart, held ? "Took the duties." : "Let go of the duties.",
          {{"fencing", std::to_string(this->lease.Fencing())}});
  if (held) {
    this->first_tenure =
        this->options.first_start && now - this->started < this->options.lease;
    this->act_from = this->first_tenure ? now : now + this->options.lease;
    return;
  }
  // What was sent and not answered could still arrive after the next holder
  // has begun.
  this->platform->CancelAll();
  this->under_way.clear();
  this->role_orders.clear();
  this->scale_orders.clear();
  this->dry_until.clear();
  this->first_live.clear();
  this->planned.clear();
  this->live_counts.clear();
  this->reported.clear();
}

void FleetDuties::TakeLease(
    Instant now,
    const std::function<bool(std::vector<LeaseAction>&)>& take) {
  std::vector<LeaseAction> actions;
  take(actions);
  this->NoteHolding(now);
  this->Run(actions);
}

void FleetDuties::Run(const std::vector<LeaseAction>& actions) {
  for (const LeaseAction& action : actions) {
    if (const auto* run = std::get_if<RunTransaction>(&action)) {
      this->store->Transact(
          run->transaction, [this, tag = run->tag](const StoreReply& reply) {
            const Instant now = this->clock->Now();
            this->TakeLease(now, [&](std::vector<LeaseAction>& out) {
              return this->lease.OnStoreReply(now, tag, reply, out);
            });
          });
    } else if (const auto* grant = std::get_if<GrantLease>(&action)) {
      this->store->GrantLease(
          grant->length, [this, tag = grant->tag](Result<int64_t> granted) {
            const Instant now = this->clock->Now();
            this->TakeLease(now, [&](std::vector<LeaseAction>& out) {
              return this->lease.OnLeaseGranted(now, tag, granted, out);
            });
          });
    } else if (const auto* renew = std::get_if<RenewLease>(&action)) {
      this->store->RenewLease(
          renew->lease, [this, tag = renew->tag](Result<Duration> left) {
            const Instant now = this->clock->Now();
            this->TakeLease(now, [&](std::vector<LeaseAction>& out) {
              return this->lease.OnLeaseRenewed(now, tag, left, out);
            });
          });
    } else if (const auto* revoke = std::get_if<RevokeLease>(&action)) {
      this->store->RevokeLease(revoke->lease, [](const Result<int64_t>&) {});
    }
  }
}

// Reports each window that is over and whose counts are all there, or that
// can't wait for them any longer.
void FleetDuties::ReportDue() {
  if (this->clock->Now() < this->next_report) {
    return;
  }
  const int64_t now = this->UnixMilliseconds();
  const int64_t current = this->usage.WindowAt(now);
  const int64_t oldest = this->usage.WindowAt(
      now - Milliseconds(this->options.report_due + this->options.window));
  const std::vector<HostId> hosts = this->inputs.other_hosts();
  for (int64_t window = oldest; window < current; ++window) {
    const int64_t passed = now - this->usage.EndOf(window);
    const bool complete =
        std::ranges::all_of(hosts, [this, window](const HostId& host) {
          return this->usage.Knows(host, window);
        });
    const bool urgent = passed >= Milliseconds(this->options.report_due -
                                               this->options.report_reserve);
    if (!this->reported.contains(window) && !this->under_way.contains(window) &&
        passed >= Milliseconds(kSettle) && (complete || urgent)) {
      this->WriteWindow(window);
    }
  }
}

// Fixes a window's figures before they are reported: two reports of one window
// must not differ, whoever makes the second one.
void FleetDuties::WriteWindow(int64_t window) {
  this->under_way.insert(window);
  const WindowCounts counts = this->usage.Total(window);
  const std::string key = UsageKey(window);
  this->store->Transact(
      {.conditions = {{.key = key, .revision = 0}},
       .then = {StorePut(key, EncodeWindowCounts(counts)),
                StoreDelete(UsageKey(window - kKeptRecords))},
       .otherwise = {StoreGet(key)}},
      [this, window, counts](const StoreReply& reply) {
        if (reply.outcome == StoreOutcome::kThen) {
          this->ReportWindow(window, counts);
          return;
        }
        const auto found =
            reply.outcome == StoreOutcome::kOtherwise && !reply.records.empty()
                ? DecodeWindowCounts(reply.records.front().value)
                : Result<WindowCounts>(
                      Fail(ErrorKind::kPlatformDown, "not written"));
        if (found) {
          this->ReportWindow(window, *found);
        } else {
          this->under_way.erase(window);  // the next tick tries again
        }
      });
}

void FleetDuties::ReportWindow(int64_t window, const WindowCounts& counts) {
  if (!this->MayAct()) {
    this->under_way.erase(window);
    return;
  }
  this->platform->ReportUsage(
      {.window = window, .counts = counts}, this->Authority(),
      [this, window](DutyOutcome outcome) {
        this->under_way.erase(window);
        if (outcome == DutyOutcome::kAccepted) {
          this->reported.insert(window);
        } else {
          this->next_report = this->clock->Now() + kReportRetry;
        }
        LogInfo(
            kPart, "Usage reported.",
            {{"window", std::to_string(window)},
             {"accepted", outcome == DutyOutcome::kAccepted ? "true" : "false"},
             {"fencing", std::to_string(this->lease.Fencing())}});
      });
}

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
  // What was ordered counts as done already, or it would be ordered twice.
  for (const auto& [id, order] : this->role_orders) {
    expected.at(id).role = order.role;
  }
  for (const auto& [id, service] : configuration->services) {
    if (service.engine) {
      this->PlanRolesOf(id, expected);
    }
  }
}

// The most streams that lately ran at a time.
double FleetDuties::StreamsOf(const ServiceId& service,
                              const FleetEndpoints& expected) {
  double running = 0;
  for (const auto& [id, endpoint] : expected) {
    if (endpoint.service == service &&
        endpoint.role != EndpointRole::kPrefill) {
      running += static_cast<double>(this->inputs.running(id));
    }
  }
  double& peak = this->streams_peak[service];
  peak = std::max(running, peak * kStreamsKept);
  return peak;
}

// Orders changes of a service until enough are under way.
void FleetDuties::PlanRolesOf(const ServiceId& service,
                              FleetEndpoints& expected) {
  const RoleLoad load{.streams = this->StreamsOf(service, expected),
                      .running = this->inputs.running};
  const double share = load.streams < kIdleStreams
                           ? this->options.roles_under_way_idle
                           : this->options.roles_under_way;
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

// An engine that can't be reached or is busy isn't asked again at once; another
// one may take the role.
void FleetDuties::NoteRefusedRole(const EndpointId& endpoint) {
  const auto order = this->role_orders.find(endpoint);
  if (order != this->role_orders.end()) {
    order->second.refused = true;
    order->second.until = this->clock->Now() + kRoleRetry;
  }
}

// The engine changes once all that runs there is over, and refuses what is new
// until then. Taken for lost after the usual time, the order would draw
// requests there again, which the engine refuses.
void FleetDuties::NoteAcceptedRole(const EndpointId& endpoint) {
  const auto order = this->role_orders.find(endpoint);
  if (order != this->role_orders.end()) {
    order->second.until = this->clock->Now() + kRoleTaken;
  }
}

void FleetDuties::OrderRole(const RoleChange& change) {
  const FleetEndpoint& endpoint = this->inputs.endpoints().at(change.endpoint);
  this->role_orders[change.endpoint] = {
      .run = endpoint.run,
      .role = change.role,
      .until = this->clock->Now() + kRoleShows};
  LogInfo(kPart, "Role ordered.",
          {{"endpoint", change.endpoint.Text()},
           {"role", change.role == EndpointRole::kPrefill ? "read prompts"
                                                          : "generate"},
           {"fencing", std::to_string(this->lease.Fencing())}});
  this->platform->ChangeRole(
      {.run = endpoint.run, .address = endpoint.address, .role = change.role},
      this->Authority(), [this, id = change.endpoint](DutyOutcome outcome) {
        if (outcome == DutyOutcome::kRefused ||
            outcome == DutyOutcome::kNotSent) {
          this->NoteRefusedRole(id);
          LogInfo(kPart, "Role order has no effect.",
                  {{"endpoint", id.Text()}});
        } else if (outcome == DutyOutcome::kAccepted) {
          this->NoteAcceptedRole(id);
        }
      });
}

EnginesByZone FleetDuties::CountEngines(const ServiceId& service) const {
  EnginesByZone counts;
  for (const auto& [id, endpoint] : this->inputs.endpoints()) {
    if (endpoint.service == service && !endpoint.leaving) {
      ZoneEngines& zone = counts[endpoint.zone];
      ++(endpoint.spot ? zone.spot : zone.dependable);
    }
  }
  for (const auto& [key, until] : this->dry_until) {
    if (key.service == service && key.spot) {
      counts[key.zone].dry = true;
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
      (live > 0 && now - known.since >= this->options.count_settles);
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

// Before there was any load, what stood there when the duty began decides.
FleetDuties::EngineNeed FleetDuties::NeededEngines(const ServiceId& service,
                                                   const ScaleBounds& bounds,
                                                   int64_t live) {
  double& peak = this->reading_peak[service];
  double& lately = this->reading_now[service];
  const double reading = this->inputs.reading(service);
  peak = std::max(reading, peak * kPeakKept);
  lately = std::max(reading, lately * kNowKept);
  const ScalePlanOptions scaling;
  const int64_t first =
      this->first_live.try_emplace(service, live).first->second;
  const int64_t wanted = std::max(
      EnginesWanted(peak, CheapestPrice(bounds, scaling), bounds, scaling),
      EnginesAtFirst(first, bounds, scaling));
  int64_t& planned = this->planned[service];
  if (wanted > planned || wanted < planned - scaling.tolerated_less) {
    planned = wanted;
  }
  // While the load isn't known yet, half of what is wanted has to stay. Engines
  // that change their role serve nobody meanwhile.
  const int64_t least = std::min(first, planned / 2);
  return {.wanted = planned,
          .needed = std::max(EnginesWanted(lately, 1, bounds, scaling), least) +
                    this->ChangingRoleOf(service),
          .reading = reading};
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
    for (const auto& [zone, of] : counts) {
      live += of.dependable + of.spot;
    }
    if (!this->CountSettled(now, id, live)) {
      this->OrderFirst(now, id, bounds, counts, live);
      continue;
    }
    const EngineNeed need = this->NeededEngines(id, bounds, live);
    this->OrderZones(now, id, counts, need,
                     PlanScale(counts, need.wanted, need.needed, bounds));
    this->AskDryZones(now, id, bounds, counts, need);
  }
}

// Orders the first spot engines by what is listed so far. What is missing is
// ordered once all are listed.
void FleetDuties::OrderFirst(Instant now,
                             const ServiceId& service,
                             const ScaleBounds& bounds,
                             const EnginesByZone& counts,
                             int64_t live) {
  const Instant seen = this->live_counts.at(service).first_seen;
  if (!this->first_tenure || live == 0 ||
      now - seen < this->options.first_order) {
    return;
  }
  const EngineNeed need{.wanted = EnginesAtFirst(live, bounds), .needed = live};
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
    this->OrderEngines(now, {.service = service, .zone = zone}, has.dependable,
                       target.dependable, need);
    if (!has.dry) {
      this->OrderEngines(now, {.service = service, .zone = zone, .spot = true},
                         has.spot, target.spot, need);
    }
  }
}

// Asks zones that had no spot engines whether they have some again. Until one
// says yes the plan does without it: an order that counted on it would send
// away the dependable engines that stand in, and a refusal order them anew.
void FleetDuties::AskDryZones(Instant now,
                              const ServiceId& service,
                              const ScaleBounds& bounds,
                              const EnginesByZone& counts,
                              const EngineNeed& need) {
  EnginesByZone hoped = counts;
  for (auto& [zone, of] : hoped) {
    of.dry = false;
  }
  const EnginesByZone plan = PlanScale(hoped, need.wanted, need.needed, bounds);
  for (const auto& [zone, of] : counts) {
    const ScaleKey key{.service = service, .zone = zone, .spot = true};
    if (of.dry && now >= this->dry_until.at(key) && plan.contains(zone)) {
      this->OrderEngines(now, key, of.spot, plan.at(zone).spot, need);
    }
  }
}

void FleetDuties::OrderEngines(Instant now,
                               const ScaleKey& key,
                               int64_t has,
                               int64_t count,
                               const EngineNeed& need) {
  const auto dry = this->dry_until.find(key);
  if (dry != this->dry_until.end() && now < dry->second) {
    return;
  }
  const auto before = this->scale_orders.find(key);
  if (before != this->scale_orders.end()) {
    const bool same = before->second.count == count;
    const bool shows = now - before->second.ordered < this->options.scale_shows;
    if (before->second.under_way || (same && (has == count || shows))) {
      return;
    }
  } else if (has == count) {
    return;
  }
  this->scale_orders[key] = {.count = count, .ordered = now, .under_way = true};
  LogInfo(kPart, "Engines ordered.",
          {{"service", key.service.Text()},
           {"zone", key.zone.Text()},
           {"kind", key.spot ? "spot" : "dependable"},
           {"listed", std::to_string(has)},
           {"count", std::to_string(count)},
           {"wanted", std::to_string(need.wanted)},
           {"needed", std::to_string(need.needed)},
           {"reading", std::to_string(need.reading)},
           {"fencing", std::to_string(this->lease.Fencing())}});
  this->platform->OrderEndpoints(
      {.service = key.service,
       .zone = key.zone,
       .count = count,
       .spot = key.spot},
      this->Authority(), [this, key](DutyOutcome outcome) {
        const auto order = this->scale_orders.find(key);
        if (order != this->scale_orders.end()) {
          order->second.under_way = false;
        }
        if (outcome == DutyOutcome::kAccepted) {
          this->dry_until.erase(key);
          return;
        }
        LogInfo(kPart, "Engines can't be had.",
                {{"zone", key.zone.Text()},
                 {"kind", key.spot ? "spot" : "dependable"}});
        this->scale_orders.erase(key);
        this->dry_until[key] = this->clock->Now() + this->options.dry_for;
      });
}

}  // namespace hickorystand
