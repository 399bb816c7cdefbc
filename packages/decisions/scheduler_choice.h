// Selects the scheduler to which an ingress host forwards the next request.
//
// Requests are distributed over the schedulers of the host's own zone in
// proportion to their capacity. Schedulers of other zones are used only while
// none of the own zone can serve, or only much weaker ones: the link of a weak
// host saturates long before its processor does. A scheduler that reaches no
// endpoint of the request's service is not used. A draining scheduler is used
// only while no other one can serve, or only much weaker ones. A host that has
// seen a version of the configuration in effect never forwards to a scheduler
// that has an older one: callers would see the change undone.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decisions/fleet_topology.h"

namespace hickorystand {

// The state that a scheduler reports.
struct SchedulerState {
  bool ready = false;
  bool busy = false;         // others in its zone are preferred
  bool keys_proven = false;  // others are preferred while it is false
  int64_t version = 0;       // of its configuration
  bool draining = false;     // others are preferred
  // Services of which it reaches no endpoint.
  std::set<ServiceId> cut_off = {};
  // It continues a stream only at the software version that began it.
  bool keeps_software = false;

  auto operator<=>(const SchedulerState&) const = default;
};

// What a request needs of its scheduler.
struct SchedulerNeeds {
  ServiceId service;            // that it reaches; empty: unknown
  bool keeps_software = false;  // the request continues a stream

  auto operator<=>(const SchedulerNeeds&) const = default;
};

class SchedulerChoice {
 public:
  explicit SchedulerChoice(ZoneId own) : own_zone(std::move(own)) {}

  // Replaces the list of schedulers. A listed scheduler can be chosen once it
  // has reported its state.
  void SetSchedulers(const std::vector<FleetHost>& schedulers);

  // Records the state that a linked scheduler reported.
  void OnState(const HostId& scheduler, const SchedulerState& reported);

  // Records that this host has applied a configuration version itself.
  // Schedulers with an older version are no longer chosen.
  void NoteAppliedVersion(int64_t applied_version);

  // Records that the link to a scheduler was lost.
  void OnLinkLost(const HostId& scheduler);

  // Returns the scheduler for a request that was not forwarded to `tried`
  // before; nullopt if there is none.
  std::optional<HostId> Choose(const std::set<HostId>& tried,
                               const SchedulerNeeds& needs = {}) const;

  // Record that a request was forwarded to a scheduler, and that it ended.
  void OnForwarded(const HostId& scheduler);
  void OnEnded(const HostId& scheduler);

  // Whether any scheduler can serve.
  bool Ready() const { return this->Choose({}).has_value(); }

  // The newest version that any scheduler reported or this host applied.
  int64_t Version() const { return this->version; }

 private:
  struct State {
    FleetHost host;
    SchedulerState reported;  // copy of the entry in `reported_states`
    int64_t in_flight = 0;
    double forwarded = 0;  // requests per unit of capacity
  };

  void Apply(const HostId& scheduler, const SchedulerState& reported);
  bool Serves(const State& state) const;
  double LeastForwarded() const;
  int64_t LeastInFlight() const;

  ZoneId own_zone;
  int64_t version = 0;
  std::map<HostId, State> states;                    // of the listed schedulers
  std::map<HostId, SchedulerState> reported_states;  // of all linked ones
};

}  // namespace hickorystand
