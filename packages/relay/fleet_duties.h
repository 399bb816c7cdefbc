// Fleet-wide duties, performed by one host at a time: reporting the usage of
// client accounts, assigning roles to engines, and ordering endpoints.
//
// Index
//   FleetDutiesOptions   timings and limits
//   FleetDutiesInputs    callbacks into the rest of the host
//   FleetDuties          lease, usage reports, engine and role orders
//
// The duties belong to the host that holds a lease in the platform's store.
// The platform does not check the fencing number, so exclusion rests on time:
//  - The holder checks the lease in the step that hands bytes to a socket.
//  - When the lease ends by the holder's own clock, which is before the store
//    grants it to another host, the holder resets the connections of its
//    unanswered calls.
//  - A new holder waits for one lease length before it acts.
// Hence no call of an old holder arrives after the first call of its successor,
// and no two hosts act alternately within one lease length.
//
// On an orderly stop the holder reports the windows that are ready, waits for
// the answers to its calls, stops acting, and only then replaces its lease
// record with a release record (decisions/lease.h). That record holds the
// remaining wait (decisions/duty_tenure.h), which the next holder observes
// instead of a full lease length. Orders of engines and roles always wait for
// at least a lease length, because the orders of the previous holder must first
// become visible in the endpoint list.

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

// Timings and limits of the duties.
struct FleetDutiesOptions {
  HostId host;
  uint64_t incarnation = 0;
  // The fleet starts for the first time: there is no previous holder, so a
  // lease taken within one lease length of the start needs no wait.
  bool first_start = false;
  Duration lease = std::chrono::seconds(3);
  Duration window = std::chrono::seconds(5);
  Duration report_due = std::chrono::seconds(10);  // after a window's end
  // A window is reported this long before it is due, even if the counts of
  // some hosts are missing.
  Duration report_reserve = std::chrono::milliseconds(3500);
  // Maximum share of a service's engines that change their role at a time. An
  // engine is unavailable for seconds during a change.
  double max_role_change_share = 0.25;
  // The same while no streams run, when unavailable engines delay no requests.
  double max_role_change_share_idle = 0.6;
  // Interval between two calculations of the engines needed.
  Duration scale_period = std::chrono::milliseconds(800);
  // Engines are counted only after their number has been constant for this
  // long. After the start of the fleet or a recovery of the store, engines
  // appear in the list one by one; an order based on half of the list would
  // remove the other half.
  Duration count_settle_time = std::chrono::milliseconds(1700);
  // At the first start of the fleet no spot engine has been ordered yet. The
  // first ones are ordered once any endpoint has been listed for this long,
  // because they take seconds to start and requests arrive soon.
  Duration first_order_delay = std::chrono::milliseconds(900);
  // An order is repeated if its engines are not listed after this time. An
  // engine takes four seconds to start and one heartbeat to be listed.
  Duration scale_order_timeout = std::chrono::milliseconds(7000);
  // Delay before a zone that had no spot engines available is tried again.
  Duration spot_retry = std::chrono::milliseconds(4000);
};

// Callbacks through which the duties read the state of the host.
struct FleetDutiesInputs {
  std::function<FleetConfigurationPtr()> configuration;
  std::function<const FleetEndpoints&()> endpoints;
  std::function<std::vector<HostId>()> other_hosts;
  std::function<size_t()> rank;  // of this host among schedulers, by id
  // Requests of the whole fleet that are running at an engine.
  std::function<int64_t(const EndpointId&)> running;
  // Prefill load of the whole fleet for a service, in fully busy engines.
  std::function<double(const ServiceId&)> prefill_engines;
};

// Competes for the lease and performs the duties while it is held. Runs on a
// timer after Start(). Failed calls are not reported to the caller; a later
// tick repeats what is still needed.
class FleetDuties {
 public:
  FleetDuties(FleetDutiesOptions options,
              const Clock& clock,
              KeyValueStore& store,
              PlatformDuties& platform,
              FleetDutiesInputs inputs);
  ~FleetDuties();

  void Start();

  // Releases the lease once the calls under way have ended, or after a timeout,
  // and does not acquire it again.
  void Retire();

  // Whether this host holds the lease. The wait after acquiring it may still be
  // running.
  bool Holding() const { return this->holding; }

  // Engines whose role this host is changing. They refuse new work until the
  // change is complete.
  std::vector<EndpointId> ChangingRole() const;

  UsageWindows& Usage() { return this->usage; }

  // Current time in Unix milliseconds, corrected by the times of other hosts.
  // The system clock may be stepped by seconds in either direction, which would
  // assign requests to wrong usage windows.
  int64_t UnixMilliseconds() const;

  // Records the current time of another host.
  void OnPeerTime(const HostId& host, int64_t unix_ms);

 private:
  struct RoleOrder {
    EndpointRun run;
    EndpointRole role = EndpointRole::kPrefill;
    Instant until{};  // when an order without effect is dropped
    bool refused = false;
  };

  // Spot or on-demand engines of one service in one zone.
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
    bool settled = false;  // stays true for the rest of the tenure
  };
  struct ScaleOrder {
    int64_t count = 0;
    Instant ordered{};
    bool under_way = false;
  };

  // Target number of engines of a service, the number that its current load
  // requires, and its prefill load in fully busy engines.
  struct EngineNeed {
    int64_t wanted = 0;
    int64_t needed = 0;
    double prefill_engines = 0;
  };

  void Tick();
  void Run(const std::vector<LeaseAction>& actions);
  void ApplyLeaseStep(
      Instant now,
      const std::function<bool(std::vector<LeaseAction>&)>& step);
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
  double PeakStreams(const ServiceId& service, const FleetEndpoints& expected);
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
  FleetClock fleet_time;
  Instant started{};
  bool holding = false;
  DutyTenure tenure;
  Instant orders_start{};
  bool first_tenure = false;  // of the fleet's first start
  // Set by Retire(): the time at which the lease is released even if calls are
  // under way.
  std::optional<Instant> release_by;
  std::set<int64_t> reported;
  std::set<int64_t> under_way;  // windows being written or reported
  Instant next_report{};        // earliest retry after a failed report
  std::map<EndpointId, RoleOrder> role_orders;
  std::map<ScaleKey, ScaleOrder> scale_orders;
  // Zones that had no spot engines available, and when they are tried again.
  std::map<ScaleKey, Instant> spot_unavailable_until;
  std::map<ServiceId, LiveCount> live_counts;
  // Peak prefill load with slow and with fast decay.
  std::map<ServiceId, double> prefill_peak;
  std::map<ServiceId, double> prefill_recent;
  std::map<ServiceId, double> streams_peak;
  // Engines at the start of the tenure, and the target number of engines.
  std::map<ServiceId, int64_t> initial_engines;
  std::map<ServiceId, int64_t> planned;
  Instant next_scale{};
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
