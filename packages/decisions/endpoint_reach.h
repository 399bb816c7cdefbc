// Detects that this host can't reach any endpoint of a service, while other
// hosts may.
//
// A host that is partitioned from the endpoints still hears its callers, the
// store and the other hosts. It must not refuse its callers, since hosts that
// reach the endpoints can serve them, and must not report endpoints as crashed
// that only it has lost.
//
// Evidence is what this host's own connections show. A new connection that is
// established proves that an endpoint is reached, whatever the endpoint then
// does: one that is slow, full or hung still accepts connections. Traffic on
// older connections proves nothing about new ones, which a partition may refuse
// while it lets older ones live.
//
//   kReachable --failures or silence at several endpoints--> kSuspected
//   kSuspected --a connection is established--> kReachable
//   kSuspected --bytes arrive, if silence was the reason--> kReachable
//   kSuspected --connects fail at `endpoints_to_confirm`--> kCutOff
//   kCutOff    --connects succeed at several endpoints--> kReachable
//
// While a service is suspected, or cut off, this host connects to endpoints as
// probes. How a partition shows:
//
//   hanging       answers and connects stay out: silence, then probes time out
//   reset         connections are lost at several endpoints at once
//   refused       connects fail at once; older connections may live on
//   one way       no connect completes, so it shows as hanging
//   some of them  a probe of another endpoint succeeds: no cut
//   lossy         connects succeed now and then; a service that was cut off
//                 lately must be reached for longer to be reachable again
//
// Another host's report of a cut proves nothing, but is a reason to probe: a
// host with little traffic would find a common cut late.
//
// One silent endpoint proves nothing, and neither does the crash of a few. If
// all endpoints of a service crash, every host finds it cut off, and callers
// are refused at once.
//
//   EndpointReach reach({}, seed);
//   reach.SetEndpoints(now, listed);
//   reach.OnSent(now, id); reach.OnHeard(now, id);  // calls
//   reach.OnConnected(now, id); reach.OnConnectFailed(now, id, started);
//   for (const EndpointId& id : reach.TakeProbes(now)) { connect ... }
//   if (reach.IsCutOff(service)) { ... }
//
// Index
//   ReachOptions    thresholds and intervals
//   ReachState      what is known of a service
//   ReachChange     a change of it, with its evidence
//   EndpointReach   all services

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

#include "decisions/fleet_endpoint.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Thresholds and intervals. Numbers of endpoints are at most those listed.
struct ReachOptions {
  // Endpoints at which connects or connections failed until a service is
  // suspected.
  size_t endpoints_to_suspect = 2;
  // Failures older than this don't count together with new ones.
  Duration evidence_window = std::chrono::seconds(2);
  // Without any byte of an endpoint for this long, while at least
  // `endpoints_to_suspect` owe an answer for that long, a service is suspected.
  Duration silence = std::chrono::milliseconds(700);
  // Endpoints at which a connect must fail, and none succeed, until a suspected
  // service is cut off. With half of the endpoints unreachable, a cut is found
  // by mistake once in 64 suspicions.
  size_t endpoints_to_confirm = 6;
  // A first probe without a result for this long is followed by the others.
  Duration first_probe = std::chrono::milliseconds(200);
  // Probes while a service is cut off: their interval, drawn anew each time,
  // and how many endpoints each time.
  Duration min_probe_interval = std::chrono::milliseconds(300);
  Duration max_probe_interval = std::chrono::milliseconds(600);
  size_t probes_when_cut_off = 2;
  // Endpoints at which probes must succeed until a service is reachable again.
  size_t successes_to_return = 2;
  // If it was cut off again within `flap_window`, no connect may have failed
  // for this long, which doubles each time.
  Duration min_hold = std::chrono::seconds(1);
  Duration max_hold = std::chrono::seconds(8);
  Duration flap_window = std::chrono::seconds(10);

  auto operator<=>(const ReachOptions&) const = default;
};

// What is known of a service.
enum class ReachState { kReachable, kSuspected, kCutOff };

std::string_view NameOf(ReachState state);

// A change of a service's state.
struct ReachChange {
  ServiceId service;
  ReachState from = ReachState::kReachable;
  ReachState to = ReachState::kReachable;
  std::string_view reason;
  size_t listed = 0;   // endpoints of the service
  size_t failed = 0;   // of these, where connects failed last
  Duration since{};    // since the state before began
  Duration unheard{};  // since a byte of any endpoint arrived

  bool operator==(const ReachChange&) const = default;
};

// The state of all services, as this host's own connections show it. All calls
// take the current time.
class EndpointReach {
 public:
  // `seed` differs between hosts, so that they probe different endpoints at
  // different times.
  EndpointReach(const ReachOptions& options, uint64_t seed)
      : options(options), random(seed) {}

  // Replaces the list of endpoints. Leaving ones don't count. A cut-off service
  // with new endpoints is probed at once.
  void SetEndpoints(Instant now, const FleetEndpoints& endpoints);

  // A call was sent that is to be answered; a byte of an answer arrived.
  void OnSent(Instant now, const EndpointId& endpoint);
  void OnHeard(Instant now, const EndpointId& endpoint);

  // A connection was established; it could not be; or it was reset or timed
  // out. One that the endpoint closes in order shows nothing.
  void OnConnected(Instant now, const EndpointId& endpoint);
  void OnConnectFailed(Instant now,
                       const EndpointId& endpoint,
                       Instant started);
  void OnLost(Instant now, const EndpointId& endpoint);

  // Another host reports that it is cut off from a service, so this one, which
  // may have no traffic to show it, tries.
  void Suspect(Instant now, const ServiceId& service);

  // The endpoints to which to connect now. To be called every
  // 100 milliseconds, and after each failure.
  std::vector<EndpointId> TakeProbes(Instant now);

  // The changes since the last call.
  std::vector<ReachChange> TakeChanges();

  ReachState State(const ServiceId& service) const;
  bool IsCutOff(const ServiceId& service) const {
    return this->State(service) == ReachState::kCutOff;
  }

  // The services that are cut off, and whether that is all that have endpoints.
  std::set<ServiceId> CutOff() const;
  bool AllCutOff() const;

  // Whether an endpoint of the service other than `lost` was heard or connected
  // after a time: the loss of that one is then its own. And whether connections
  // to another one were lost.
  bool ReachedOtherSince(const EndpointId& lost, Instant time) const;
  bool LostOtherSince(const EndpointId& lost, Instant time) const;

  // The time since an endpoint was last heard or connected; nullopt: never.
  std::optional<Duration> SilentFor(Instant now,
                                    const EndpointId& endpoint) const;

  // Whether a connection to the endpoint was lost or failed just now, which may
  // be this host's own loss.
  bool FailedAt(Instant now, const EndpointId& endpoint) const;

  // The number of listed endpoints of an endpoint's service.
  size_t Siblings(const EndpointId& endpoint) const;

 private:
  struct Endpoint {
    ServiceId service;
    EndpointRun run;
    bool leaving = false;               // doesn't count for its service
    std::optional<Instant> owes_since;  // the oldest call without a byte
    std::optional<Instant> reached;     // last heard or connected
    std::optional<Instant> lost;        // last loss of a connection
    std::optional<Instant> failed;      // last failure since it was connected
    std::optional<Instant> connect_failed;  // the same, of a connect
  };
  struct Service {
    std::set<EndpointId> endpoints;
    ReachState state = ReachState::kReachable;
    Instant since{};  // of the state
    Instant heard{};
    // When a connection was last established, or silence ended: a connect that
    // was started before and fails shows nothing.
    Instant proven{};
    bool silent = false;                 // the reason why it is suspected
    std::optional<Instant> first_probe;  // while suspected
    bool probed_more = false;
    Instant next_probe{};            // while cut off
    std::set<EndpointId> successes;  // of probes, while cut off
    Instant succeeds_since{};
    Duration hold{};                  // how long they must succeed
    std::optional<Instant> returned;  // when it was last reachable again
    std::vector<EndpointId> probe_order;
    size_t next_in_order = 0;
  };

  const Service* ServiceOf(const EndpointId& endpoint) const;
  Service* ServiceOf(const EndpointId& endpoint);
  void ClearEvidence(Instant now, Service& service);
  bool AnyOtherSince(const EndpointId& endpoint,
                     Instant time,
                     std::optional<Instant> Endpoint::* event) const;
  void OnFailure(Instant now, const EndpointId& endpoint, bool connect);
  void Change(Instant now,
              const ServiceId& id,
              ReachState to,
              std::string_view reason);
  void SuspectSilent(Instant now, const ServiceId& id);
  void ConfirmIfFailed(Instant now, const ServiceId& id);
  size_t FailedConnects(const Service& service, Instant from) const;
  EndpointId NextToProbe(Service& service);
  void Probe(Service& service, size_t count, std::vector<EndpointId>& to);

  ReachOptions options;
  std::mt19937_64 random;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<ServiceId, Service> services;
  std::vector<ReachChange> changes;
};

}  // namespace hickorystand
