#include "decisions/scheduler_choice.h"

#include <algorithm>
#include <tuple>

namespace hickorystand {
namespace {

// A scheduler counts as stuck if it has more requests in flight than twice
// those of the least loaded scheduler plus this number.
constexpr int64_t kStuckMargin = 6;

double CapacityOf(const FleetHost& host) {
  return static_cast<double>(std::max<int64_t>(host.capacity, 1));
}

}  // namespace

void SchedulerChoice::SetSchedulers(const std::vector<FleetHost>& schedulers) {
  std::set<HostId> listed;
  for (const FleetHost& host : schedulers) {
    listed.insert(host.id);
    this->states[host.id].host = host;
  }
  std::erase_if(this->states, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  // A linked scheduler reports its state only when it changes, which may have
  // been before the scheduler was listed here.
  for (const auto& [id, reported] : this->reported_states) {
    this->Apply(id, reported);
  }
}

void SchedulerChoice::OnState(const HostId& scheduler,
                              const SchedulerState& reported) {
  this->reported_states[scheduler] = reported;
  this->Apply(scheduler, reported);
}

// A scheduler that becomes ready starts at the lowest forwarded share of the
// others. Otherwise it would get every request until it had caught up.
void SchedulerChoice::Apply(const HostId& scheduler,
                            const SchedulerState& reported) {
  const auto found = this->states.find(scheduler);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  if (reported.ready && !state.reported.ready) {
    state.forwarded = std::max(state.forwarded, this->LeastForwarded());
  }
  state.reported = reported;
  this->version = std::max(this->version, reported.version);
}

void SchedulerChoice::NoteAppliedVersion(int64_t applied_version) {
  this->version = std::max(this->version, applied_version);
}

void SchedulerChoice::OnLinkLost(const HostId& scheduler) {
  this->reported_states.erase(scheduler);
  const auto found = this->states.find(scheduler);
  if (found != this->states.end()) {
    found->second.reported = {};
    found->second.in_flight = 0;
  }
}

bool SchedulerChoice::Serves(const State& state) const {
  return state.reported.ready && state.reported.version >= this->version;
}

// Draining schedulers are left out: they get fewer requests than their share.
double SchedulerChoice::LeastForwarded() const {
  std::optional<double> least;
  for (const auto& [id, state] : this->states) {
    if (state.reported.ready && !state.reported.draining) {
      least = std::min(least.value_or(state.forwarded), state.forwarded);
    }
  }
  return least.value_or(0);
}

int64_t SchedulerChoice::LeastInFlight() const {
  std::optional<int64_t> least;
  for (const auto& [id, state] : this->states) {
    if (state.reported.ready && !state.reported.draining) {
      least = std::min(least.value_or(state.in_flight), state.in_flight);
    }
  }
  return least.value_or(0);
}

std::optional<HostId> SchedulerChoice::Choose(
    const std::set<HostId>& tried,
    const SchedulerNeeds& needs) const {
  const State* best = nullptr;
  const int64_t stuck_at = this->LeastInFlight() * 2 + kStuckMargin;
  int64_t strongest = 0;
  int64_t strongest_staying = 0;
  for (const auto& [id, state] : this->states) {
    if (!this->Serves(state)) {
      continue;
    }
    strongest = std::max(strongest, state.host.capacity);
    if (!state.reported.draining) {
      strongest_staying = std::max(strongest_staying, state.host.capacity);
    }
  }
  const auto rank = [&](const State& state) {
    return std::tuple(!state.reported.keys_proven,
                      !state.reported.cut_off.empty(),
                      state.reported.draining &&
                          !IsMuchWeaker(strongest_staying, state.host.capacity),
                      state.in_flight > stuck_at,
                      IsMuchWeaker(state.host.capacity, strongest),
                      state.host.zone != this->own_zone, state.reported.busy,
                      state.forwarded);
  };
  for (const auto& [id, state] : this->states) {
    if (this->Serves(state) && !tried.contains(id) &&
        !state.reported.cut_off.contains(needs.service) &&
        (state.reported.keeps_software || !needs.keeps_software) &&
        (best == nullptr || rank(state) < rank(*best))) {
      best = &state;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->host.id);
}

void SchedulerChoice::OnForwarded(const HostId& scheduler) {
  const auto found = this->states.find(scheduler);
  if (found != this->states.end()) {
    ++found->second.in_flight;
    found->second.forwarded += 1 / CapacityOf(found->second.host);
  }
}

void SchedulerChoice::OnEnded(const HostId& scheduler) {
  const auto found = this->states.find(scheduler);
  if (found != this->states.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

}  // namespace hickorystand
