// The scheduler to which an ingress host forwards the next request.
//
// Requests are spread over the schedulers of the host's own zone in proportion
// to their capacity. Those of other zones serve while none of its own can, or
// only much weaker ones: a weak host's link is full long before its processor
// is. A draining scheduler is chosen only while no other one can serve, or only
// much weaker ones. A host that has seen one version of the configuration at
// work never forwards to a scheduler that has only an older one: its callers
// would see the change undone.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decisions/fleet_topology.h"

namespace hickorystand {

// What a scheduler tells of itself.
struct SchedulerState {
  bool ready = false;
  bool busy = false;         // others of its zone are preferred
  bool keys_proven = false;  // others are preferred while it is false
  int64_t version = 0;       // of its configuration
  bool draining = false;     // others are preferred

  auto operator<=>(const SchedulerState&) const = default;
};

class SchedulerChoice {
 public:
  explicit SchedulerChoice(ZoneId own) : own(std::move(own)) {}

  // The schedulers that may be chosen, once they have told of themselves.
  void SetSchedulers(const std::vector<FleetHost>& schedulers);

  // What a linked scheduler told of itself.
  void OnNews(const HostId& scheduler, const SchedulerState& told);

  // Notes that this host has applied a configuration version itself. Schedulers
  // with an older one are no longer chosen.
  void NoteAppliedVersion(int64_t applied_version);

  // A scheduler's link is gone.
  void OnLost(const HostId& scheduler);

  // The scheduler for a request that was not forwarded to `tried` before.
  std::optional<HostId> Choose(const std::set<HostId>& tried) const;

  // A request was forwarded there, or is over.
  void OnForwarded(const HostId& scheduler);
  void OnEnded(const HostId& scheduler);

  // Whether any scheduler serves.
  bool Ready() const { return this->Choose({}).has_value(); }

  // The newest version that any scheduler told of or this host applied.
  int64_t Version() const { return this->version; }

 private:
  struct State {
    FleetHost host;
    SchedulerState told;  // a copy of `news`
    int64_t in_flight = 0;
    double forwarded = 0;  // requests for each unit of capacity
  };

  void Apply(const HostId& scheduler, const SchedulerState& told);
  bool Serves(const State& state) const;
  double LeastForwarded() const;
  int64_t LeastInFlight() const;

  ZoneId own;
  int64_t version = 0;
  std::map<HostId, State> states;  // of the schedulers that may be chosen
  std::map<HostId, SchedulerState> news;  // of all that are linked
};

}  // namespace hickorystand
