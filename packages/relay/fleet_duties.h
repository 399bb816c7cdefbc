// What one host at a time does for the whole fleet: reports what client
// accounts used, gives engines their roles, and orders endpoints.
//
// Which host: the one that holds a lease in the platform's store. It checks
// the lease in the step that hands bytes to a socket; when its time is over by
// its own clock, before the store would let anybody else in, it resets the
// connections of calls that weren't answered. A new holder waits for the length
// of a lease before it acts. So nothing of an old holder arrives after the
// first call of its successor, and no two hosts act by turns within a lease's
// length, though nobody on the other side checks the fencing number.
//
// A host that stops in order reports the windows that are ready, waits until
// its calls are answered, stops acting, and only then replaces its lease record
// by a release record (decisions/lease.h) with the wait that is left
// (decisions/duty_tenure.h). The next holder waits that long instead. Orders of
// engines and roles wait for a lease's length in any case, because those of the
// earlier holder must show in the list first.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "decisions/duty_tenure.h"
#include "decisions/fleet_clock.h"
#include "decisions/lease.h"
#include "decisions/role_plan.h"
#include "decisions/usage_windows.h"
#include "kernel/task.h"
#include "platform/key_value_store.h"
#include "relay/fleet_configuration.h"
#include "relay/platform_duties.h"

namespace hickorystand {

// How duties are done.
struct FleetDutiesOptions {
  HostId host;
  uint64_t incarnation = 0;
  // Nobody can have had the duties before, so there is nobody to wait for
  // within the first lease after the start.
  bool first_start = false;
  Duration lease = std::chrono::seconds(3);
  Duration window = std::chrono::seconds(5);
  Duration report_due = std::chrono::seconds(10);  // after a window's end
  // The counts of all hosts are waited for until this long before that.
  Duration report_reserve = std::chrono::milliseconds(3500);
  // The most engines of a service that change their role at a time, as a share
  // of all: a change takes an engine out for seconds.
  double roles_under_way = 0.25;
  // While no streams run, nobody misses engines that change their role.
  double roles_under_way_idle = 0.6;
  // Between two looks at how many engines there should be.
  Duration scale_period = std::chrono::milliseconds(800);
  // Engines are counted only after their number has been the same for this
  // long. A fleet that has just started, or a store that has just come back,
  // lists its engines one by one; an order by half a list would send away the
  // other half.
  Duration count_settles = std::chrono::milliseconds(1700);
  // At the fleet's first start nobody can have ordered a spot engine, so the
  // first ones are ordered when endpoints have been listed for this long, of
  // however many: they take seconds to start, and callers come soon.
  Duration first_order = std::chrono::milliseconds(900);
  // An order is repeated if its engines aren't there after this: they take
  // four seconds to start and a heartbeat to show.
  Duration scale_shows = std::chrono::milliseconds(7000);
  // A zone without spot engines is asked again after this.
  Duration spot_retry = std::chrono::milliseconds(4000);
};

// What duties need to know of the rest of the host.
struct FleetDutiesInputs {
  std::function<FleetConfigurationPtr()> configuration;
  std::function<const FleetEndpoints&()> endpoints;
  std::function<std::vector<HostId>()> other_hosts;
  std::function<size_t()> rank;  // of this host among all, by id
  // Requests of the whole fleet that run at an engine.
  std::function<int64_t(const EndpointId&)> running;
  // Engines of a service that the whole fleet's prompts would keep reading all
  // the time.
  std::function<double(const ServiceId&)> reading;
};

class FleetDuties {
 public:
  FleetDuties(FleetDutiesOptions options,
              const Clock& clock,
              KeyValueStore& store,
              PlatformDuties& platform,
              FleetDutiesInputs inputs);
  ~FleetDuties();

  void Start();

  // Releases the lease, once what is under way has ended, and never takes it
  // again.
  void Retire();

  // Whether this host holds the lease. It may still have to wait before it
  // acts.
  bool Holding() const { return this->holding; }

  // Engines whose role is being changed by this host: they refuse new work
  // until they are done.
  std::vector<EndpointId> ChangingRole() const;

  UsageWindows& Usage() { return this->usage; }

  // True time, in Unix milliseconds. The time of day may be set by seconds,
  // back and forth; windows would then be counted wrongly.
  int64_t UnixMilliseconds() const;

  // Another host has just said which time it has.
  void OnPeerTime(const HostId& host, int64_t unix_ms);

 private:
  struct RoleOrder {
    EndpointRun run;
    EndpointRole role = EndpointRole::kPrefill;
    Instant until{};  // then its outcome shows in the list, or never will
    bool refused = false;
  };

  // One kind of engine of one service in one zone.
  struct ScaleKey {
    ServiceId service;
    ZoneId zone;
    bool spot = false;

    auto operator<=>(const ScaleKey&) const = default;
  };
  struct LiveCount {
    int64_t count = -1;
    Instant since{};
    Instant first_seen{};
    bool settled = false;  // once in this tenure
  };
  struct ScaleOrder {
    int64_t count = 0;
    Instant ordered{};
    bool under_way = false;
  };

  // Engines that a service shall have, those that its load needs, and that
  // load: engines that would keep reading all the time.
  struct EngineNeed {
    int64_t wanted = 0;
    int64_t needed = 0;
    double reading = 0;
  };

  void Tick();
  void Run(const std::vector<LeaseAction>& actions);
  void TakeLease(Instant now,
                 const std::function<bool(std::vector<LeaseAction>&)>& take);
  void NoteHolding(Instant now);
  void NoteTaken(Instant now);
  void ReleaseWhenIdle(Instant now);
  PlatformDuties::Done TrackCall(PlatformDuties::Done done);
  bool MayAct() const;
  DutyAuthority Authority() const;

  void ReportDue();
  void WriteWindow(int64_t window);
  void ReportWindow(int64_t window, const WindowCounts& counts);
  Duration ReportReserve() const;
  void PlanRoles(Instant now);
  double StreamsOf(const ServiceId& service, const FleetEndpoints& expected);
  void PlanRolesOf(const ServiceId& service, FleetEndpoints& expected);
  void OrderRole(const RoleChange& change);
  void NoteAcceptedRole(const EndpointId& endpoint);
  void NoteRefusedRole(const EndpointId& endpoint);
  void PlanEngines(Instant now);
  EnginesByZone CountEngines(const ServiceId& service) const;
  void OrderZones(Instant now,
                  const ServiceId& service,
                  const EnginesByZone& counts,
                  const EngineNeed& need,
                  const EnginesByZone& plan);
  void OrderFirst(Instant now,
                  const ServiceId& service,
                  const ScaleBounds& bounds,
                  const EnginesByZone& counts,
                  int64_t live);
  void RetryUnavailableZones(Instant now,
                             const ServiceId& service,
                             const ScaleBounds& bounds,
                             const EnginesByZone& counts,
                             const EngineNeed& need);
  bool CountSettled(Instant now, const ServiceId& service, int64_t live);
  int64_t ChangingRoleOf(const ServiceId& service) const;
  EngineNeed NeededEngines(const ServiceId& service,
                           const ScaleBounds& bounds,
                           int64_t live);
  void OrderEngines(Instant now,
                    const ScaleKey& key,
                    int64_t has,
                    int64_t count,
                    const EngineNeed& need);

  FleetDutiesOptions options;
  const Clock* clock;
  KeyValueStore* store;
  PlatformDuties* platform;
  FleetDutiesInputs inputs;
  Lease lease;
  UsageWindows usage;
  FleetClock true_time;
  Instant started{};
  bool holding = false;
  DutyTenure tenure;
  Instant orders_from{};
  bool first_tenure = false;  // of the fleet's first start
  // Set while this host is about to release the lease: then it does so even if
  // calls are under way.
  std::optional<Instant> release_by;
  std::set<int64_t> reported;
  std::set<int64_t> under_way;  // windows being written or reported
  Instant next_report{};        // after one that wasn't accepted
  std::map<EndpointId, RoleOrder> role_orders;
  std::map<ScaleKey, ScaleOrder> scale_orders;
  // Zones that had no spot engine to give, and when they are asked again.
  std::map<ScaleKey, Instant> spot_unavailable_until;
  std::map<ServiceId, LiveCount> live_counts;
  // The most reading lately, remembered for long and for a short while.
  std::map<ServiceId, double> reading_peak;
  std::map<ServiceId, double> reading_now;
  std::map<ServiceId, double> streams_peak;
  std::map<ServiceId, int64_t> first_live;  // engines when the duty began
  std::map<ServiceId, int64_t> planned;     // engines wanted now
  Instant next_scale{};
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
