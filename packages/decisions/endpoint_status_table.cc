#include "decisions/endpoint_status_table.h"

#include <algorithm>

namespace hickorystand {

// Returns the state of an endpoint's incarnation, or nullptr if a newer
// incarnation has been reported. A new incarnation resets the state.
EndpointStatusTable::State* EndpointStatusTable::Current(
    const EndpointId& endpoint,
    uint64_t incarnation) {
  State& state = this->states[endpoint];
  if (incarnation < state.incarnation) {
    return nullptr;
  }
  if (incarnation > state.incarnation) {
    state = {.incarnation = incarnation};
  }
  return &state;
}

void EndpointStatusTable::OnReport(const HostId& from,
                                   const EndpointStatus& report) {
  State* state = this->Current(report.endpoint, report.incarnation);
  if (state == nullptr) {
    return;
  }
  state->leaving |= report.leaving;
  if (report.down) {
    state->down.insert(from);
  } else {
    state->down.erase(from);
    state->refuted.erase(from);
  }
}

void EndpointStatusTable::OnReport(const HostId& from,
                                   const std::vector<EndpointStatus>& reports) {
  for (auto& [id, state] : this->states) {
    const auto report =
        std::ranges::find(reports, id, &EndpointStatus::endpoint);
    if (report == reports.end()) {
      state.down.erase(from);
      state.refuted.erase(from);
    }
  }
  for (const auto& status : reports) {
    this->OnReport(from, status);
  }
}

void EndpointStatusTable::OnAlive(const EndpointId& endpoint,
                                  uint64_t incarnation) {
  if (State* state = this->Current(endpoint, incarnation)) {
    state->refuted = state->down;
  }
}

void EndpointStatusTable::OnHostLost(const HostId& host) {
  for (auto& [id, state] : this->states) {
    state.down.erase(host);
    state.refuted.erase(host);
  }
}

void EndpointStatusTable::Keep(const std::set<EndpointId>& endpoints) {
  std::erase_if(this->states, [&](const auto& entry) {
    return !endpoints.contains(entry.first);
  });
}

bool EndpointStatusTable::IsUnavailable(const EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  if (found == this->states.end()) {
    return false;
  }
  const State& state = found->second;
  return state.leaving ||
         std::ranges::any_of(state.down, [&](const HostId& host) {
           return !state.refuted.contains(host);
         });
}

std::vector<EndpointStatus> EndpointStatusTable::Leaving() const {
  std::vector<EndpointStatus> leaving;
  for (const auto& [id, state] : this->states) {
    if (state.leaving) {
      leaving.push_back(
          {.endpoint = id, .incarnation = state.incarnation, .leaving = true});
    }
  }
  return leaving;
}

}  // namespace hickorystand
