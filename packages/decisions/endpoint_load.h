// Estimates how fast each endpoint works and how much work it has, from the
// load that endpoints state in their answers and from measured times.
//
// Endpoints of one service differ in speed for as long as they run, and
// endpoints that share their machine with others also change speed from one
// moment to the next. An endpoint's time factor is the product of both:
//
//   time factor = lasting factor x pace
//
// The pace is stated by the endpoint. It holds for a moment only, so with age
// the estimate returns to the endpoint's mean pace. The lasting factor is
// learnt from measurements, each divided by the pace at that time, and hosts
// tell each other what they have learnt. A service without a stated pace keeps
// the placement that it has without these estimates.
//
//   EndpointLoads loads;
//   loads.SetEndpoints(listed);
//   loads.OnStated(now, run, {.running = 3, .slots = 8, .pace = 1.4});
//   loads.OnMeasured(now, run, WorkKind::kPrefill, took / usual);
//   seconds = usual * loads.TimeFactor(now, id, WorkKind::kPrefill);
//   Send(loads.TakeUpdate(now, peers, is_contended));   // if not empty
//   loads.OnUpdate(now, host, received);  // from another host
//
// Index
//   StatedLoad             what an answer states
//   WorkKind               kinds of work with a speed of their own
//   EndpointSpeed          a lasting factor, as hosts tell each other
//   EndpointLoadOptions    weights, times and limits
//   ContradictedPace       a stated pace that measurements contradict
//   EndpointLoads          the estimates of one host

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decisions/fleet_endpoint.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// The load that an endpoint states in an answer.
struct StatedLoad {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
  // How long work takes on the endpoint's machine now; 1: as long as usual.
  std::optional<double> pace;

  auto operator<=>(const StatedLoad&) const = default;
};

// Whether the values are possible at all.
bool IsPlausible(const StatedLoad& load);

// Kinds of work, which the same endpoint may do at different speeds.
enum class WorkKind { kPrefill, kDecode, kPlainCall };

inline constexpr std::array kWorkKinds = {WorkKind::kPrefill, WorkKind::kDecode,
                                          WorkKind::kPlainCall};

// How long an endpoint's work takes, relative to that of its service, apart
// from its pace.
struct EndpointSpeed {
  EndpointRun endpoint;
  WorkKind kind = WorkKind::kPrefill;
  double factor = 1;
  int64_t measurements = 0;

  auto operator<=>(const EndpointSpeed&) const = default;
};

using EndpointSpeeds = std::vector<EndpointSpeed>;

// A stated pace that is no longer used, and the last measurement against it.
struct ContradictedPace {
  EndpointRun endpoint;
  ServiceId service;
  double stated = 1;
  Duration stated_age{};
  double expected = 1;  // lasting factor x pace
  double measured = 1;

  auto operator<=>(const ContradictedPace&) const = default;
};

// Weights, times and limits.
struct EndpointLoadOptions {
  // Time constant with which a stated pace and stated requests lose their
  // weight. A pace changes about twice in this time.
  Duration memory = std::chrono::milliseconds(300);
  // The least weight of a new measurement and of a newly stated pace.
  double min_weight = 0.1;
  double min_mean_pace_weight = 0.05;
  // Bounds of a measured ratio and of a lasting factor. A measurement may
  // include queueing that this host has no record of.
  double min_factor = 0.25;
  double max_factor = 6;
  // Measurements of one host that count at most when hosts' factors are
  // combined, so that a host with old ones doesn't outweigh the others.
  int64_t max_combined_measurements = 20;
  // Relative change of a factor that is reported to other hosts, the shortest
  // interval between reports, and the most endpoints in one.
  double reported_change = 0.05;
  Duration report_interval = std::chrono::seconds(1);
  int64_t max_reported = 8;
  // Endpoints reported to all peers together in one interval.
  int64_t max_reported_to_all = 136;
  // A host's factors are dropped this long after its link was lost.
  Duration peer_retention = std::chrono::seconds(10);
  // A stated pace is no longer used if this many of the newest measurements
  // differ from it by more than this factor.
  size_t compared = 10;
  size_t contradictions = 8;
  double contradiction_factor = 3;

  auto operator<=>(const EndpointLoadOptions&) const = default;
};

// The estimates of one host. All calls take the current time.
class EndpointLoads {
 public:
  explicit EndpointLoads(const EndpointLoadOptions& options = {})
      : options(options) {}

  // Drops what is known of endpoint runs that are not listed.
  void SetEndpoints(const FleetEndpoints& listed);

  // Records a stated load. Returns false if it is ignored: it is impossible, or
  // its endpoint isn't listed.
  bool OnStated(Instant now,
                const EndpointRun& endpoint,
                const StatedLoad& load);

  // Records how long work took, relative to the usual time of the service.
  // Returns false if the stated pace of the run is no longer used from now on.
  bool OnMeasured(Instant now,
                  const EndpointRun& endpoint,
                  WorkKind kind,
                  double ratio);

  // How long work takes at an endpoint now, relative to the usual time of the
  // service; 1 if nothing is known.
  double TimeFactor(Instant now,
                    const EndpointId& endpoint,
                    WorkKind kind) const;

  // The time factors of all endpoints of a service, in ascending order.
  std::vector<double> TimeFactors(Instant now,
                                  const ServiceId& service,
                                  WorkKind kind) const;

  // The stated paces that have ceased to be used since the last call: at most
  // one for each run of an endpoint.
  std::vector<ContradictedPace> TakeContradicted();

  // Requests that run or wait at an endpoint, of which this host and its peers
  // have counted `counted`. The endpoint may have stated more.
  double Requests(Instant now,
                  const EndpointId& endpoint,
                  double counted) const;

  // Time since the endpoint last stated its load.
  std::optional<Duration> Age(Instant now, const EndpointId& endpoint) const;

  // Whether endpoints of the service state their pace: two of them, or the only
  // one.
  bool StatesPace(const ServiceId& service) const;

  // What `peers` other hosts have to be told of the endpoints of some services
  // since the last call; empty until the report interval has passed.
  using ServiceFilter = std::function<bool(const ServiceId&)>;
  EndpointSpeeds TakeUpdate(Instant now,
                            size_t peers,
                            const ServiceFilter& of_service);

  // All that this host has measured, for a host that has just been linked.
  EndpointSpeeds Snapshot(const ServiceFilter& of_service) const;

  // Records what another host has measured.
  void OnUpdate(Instant now, const HostId& from, const EndpointSpeeds& update);

  // Starts the retention of what a host reported, after its link was lost.
  void OnPeerLost(Instant now, const HostId& host);

 private:
  // A factor and the number of its measurements.
  struct Figure {
    double factor = 1;
    int64_t measurements = 0;
  };
  using Figures = std::array<Figure, kWorkKinds.size()>;
  struct Pace {
    double newest = 1;
    double mean = 1;
    int64_t statements = 0;
    bool contradicted = false;
    std::deque<bool> differed;               // of the newest measurements
    std::optional<ContradictedPace> untold;  // for TakeContradicted()
  };
  struct Endpoint {
    EndpointRun run;
    ServiceId service;
    Figures own;
    Figures reported;  // as last told to other hosts
    std::map<HostId, Figures> peers;
    std::array<double, kWorkKinds.size()> lasting = {1, 1, 1};  // of all hosts
    std::optional<StatedLoad> stated;
    Instant stated_at{};
    Pace pace;
  };

  Endpoint* Find(const EndpointRun& run);
  const Endpoint* Find(const EndpointId& id) const;
  double PaceNow(Instant now, const Endpoint& endpoint) const;
  void UpdateLasting(Endpoint& endpoint, WorkKind kind) const;
  double Remaining(Instant now, const Endpoint& endpoint) const;
  void CountStating();
  void DropLostPeers(Instant now);

  EndpointLoadOptions options;
  std::map<EndpointId, Endpoint> endpoints;
  std::set<ServiceId> states_pace;
  std::map<HostId, Instant> lost_peers;
  Instant reported_at{};
};

}  // namespace hickorystand
