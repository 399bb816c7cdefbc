#include "decisions/endpoint_reach.h"

#include <algorithm>

namespace hickorystand {

std::string_view NameOf(ReachState state) {
  switch (state) {
    case ReachState::kReachable:
      return "reachable";
    case ReachState::kSuspected:
      return "suspected";
    case ReachState::kCutOff:
      break;
  }
  return "cut_off";
}

void EndpointReach::SetEndpoints(Instant now, const FleetEndpoints& listed) {
  std::erase_if(this->endpoints, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::map<ServiceId, std::set<EndpointId>> members;
  std::set<ServiceId> renewed;
  for (const auto& [id, endpoint] : listed) {
    Endpoint& known = this->endpoints[id];
    const bool renews =
        known.run != endpoint.run || known.service != endpoint.service;
    if (renews) {
      known = {.service = endpoint.service, .run = endpoint.run};
    }
    known.leaving = endpoint.leaving;
    if (endpoint.leaving) {
      continue;
    }
    if (renews) {
      renewed.insert(endpoint.service);
    }
    members[endpoint.service].insert(id);
  }
  for (auto& [id, service] : this->services) {
    if (!members.contains(id) && service.state != ReachState::kReachable) {
      service.endpoints.clear();
      this->Change(now, id, ReachState::kReachable, "no endpoint is listed");
    }
  }
  std::erase_if(this->services, [&members](const auto& entry) {
    return !members.contains(entry.first);
  });
  for (auto& [id, ids] : members) {
    const auto [found, added] = this->services.try_emplace(id);
    Service& service = found->second;
    if (added) {
      service.since = now;
      service.heard = now;
    }
    if (service.endpoints != ids) {
      service.endpoints = std::move(ids);
      service.probe_order.clear();
    }
    if (renewed.contains(id) && service.state == ReachState::kCutOff) {
      service.next_probe = now;
    }
  }
}

const EndpointReach::Service* EndpointReach::ServiceOf(
    const EndpointId& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() || found->second.leaving
             ? nullptr
             : &this->services.at(found->second.service);
}

EndpointReach::Service* EndpointReach::ServiceOf(const EndpointId& endpoint) {
  return const_cast<Service*>(std::as_const(*this).ServiceOf(endpoint));
}

void EndpointReach::OnSent(Instant now, const EndpointId& endpoint) {
  const auto found = this->endpoints.find(endpoint);
  if (found != this->endpoints.end() && !found->second.owes_since) {
    found->second.owes_since = now;
  }
}

// A leaving endpoint may still answer the requests that it has, which no state
// of its service may end.
void EndpointReach::OnHeard(Instant now, const EndpointId& endpoint) {
  if (const auto leaving = this->endpoints.find(endpoint);
      leaving != this->endpoints.end()) {
    leaving->second.reached = now;
  }
  if (Service* service = this->ServiceOf(endpoint)) {
    Endpoint& heard = this->endpoints.at(endpoint);
    heard.owes_since.reset();
    service->heard = now;
    if (service->state == ReachState::kSuspected && service->silent) {
      this->ClearEvidence(now, *service);
      this->Change(now, heard.service, ReachState::kReachable, "heard");
    }
  }
}

void EndpointReach::ClearEvidence(Instant now, Service& service) {
  service.proven = now;
  service.heard = now;
  for (const EndpointId& each : service.endpoints) {
    Endpoint& endpoint = this->endpoints.at(each);
    endpoint.failed.reset();
    endpoint.connect_failed.reset();
    endpoint.owes_since.reset();
  }
}

void EndpointReach::OnConnected(Instant now, const EndpointId& endpoint) {
  Service* service = this->ServiceOf(endpoint);
  if (service == nullptr) {
    return;
  }
  service->proven = now;
  Endpoint& reached = this->endpoints.at(endpoint);
  reached.reached = now;
  reached.owes_since.reset();
  reached.failed.reset();
  reached.connect_failed.reset();
  const ServiceId id = reached.service;
  if (service->state == ReachState::kCutOff) {
    if (service->successes.empty()) {
      service->succeeds_since = now;
    }
    service->successes.insert(endpoint);
    const size_t needed =
        std::min(this->options.successes_to_return, service->endpoints.size());
    if (service->successes.size() < needed) {
      service->next_probe = now;
      return;
    }
    if (now - service->succeeds_since < service->hold) {
      return;
    }
    service->returned = now;
  }
  this->ClearEvidence(now, *service);
  if (service->state != ReachState::kReachable) {
    this->Change(now, id, ReachState::kReachable, "connected");
  }
}

void EndpointReach::OnConnectFailed(Instant now,
                                    const EndpointId& endpoint,
                                    Instant started) {
  const Service* service = this->ServiceOf(endpoint);
  if (service != nullptr && started >= service->proven) {
    this->OnFailure(now, endpoint, true);
  }
}

void EndpointReach::OnLost(Instant now, const EndpointId& endpoint) {
  this->OnFailure(now, endpoint, false);
}

void EndpointReach::OnFailure(Instant now,
                              const EndpointId& endpoint,
                              bool connect) {
  Service* service = this->ServiceOf(endpoint);
  if (service == nullptr) {
    return;
  }
  Endpoint& failed = this->endpoints.at(endpoint);
  failed.failed = now;
  if (!connect) {
    failed.lost = now;
  }
  failed.owes_since.reset();
  if (connect) {
    failed.connect_failed = now;
    service->successes.clear();
  }
  const ServiceId id = failed.service;
  if (service->state == ReachState::kReachable) {
    const auto recent = [&](const EndpointId& each) {
      const auto& at = this->endpoints.at(each).failed;
      return at && now - *at <= this->options.evidence_window;
    };
    const auto count =
        static_cast<size_t>(std::ranges::count_if(service->endpoints, recent));
    if (count >= std::min(this->options.endpoints_to_suspect,
                          service->endpoints.size())) {
      this->Change(now, id, ReachState::kSuspected, "connections failed");
    }
  }
  this->ConfirmIfFailed(now, id);
}

size_t EndpointReach::FailedConnects(const Service& service,
                                     Instant from) const {
  return static_cast<size_t>(
      std::ranges::count_if(service.endpoints, [&](const EndpointId& each) {
        const auto& at = this->endpoints.at(each).connect_failed;
        return at && *at >= from;
      }));
}

// A connect that succeeds ends the suspicion, so all failures counted here are
// later than the last success.
void EndpointReach::ConfirmIfFailed(Instant now, const ServiceId& id) {
  const Service& service = this->services.at(id);
  if (service.state != ReachState::kSuspected) {
    return;
  }
  const size_t failed = this->FailedConnects(
      service, service.since - this->options.evidence_window);
  if (failed >=
      std::min(this->options.endpoints_to_confirm, service.endpoints.size())) {
    this->Change(now, id, ReachState::kCutOff, "no connect succeeds");
  }
}

void EndpointReach::SuspectSilent(Instant now, const ServiceId& id) {
  const Service& service = this->services.at(id);
  if (service.state != ReachState::kReachable ||
      now - service.heard < this->options.silence) {
    return;
  }
  const auto silent =
      std::ranges::count_if(service.endpoints, [&](const EndpointId& each) {
        const auto& since = this->endpoints.at(each).owes_since;
        return since && now - *since >= this->options.silence;
      });
  if (static_cast<size_t>(silent) >=
      std::min(this->options.endpoints_to_suspect, service.endpoints.size())) {
    this->Change(now, id, ReachState::kSuspected, "endpoints are silent");
    this->services.at(id).silent = true;
  }
}

void EndpointReach::Change(Instant now,
                           const ServiceId& id,
                           ReachState to,
                           std::string_view reason) {
  Service& service = this->services.at(id);
  this->changes.push_back({.service = id,
                           .from = service.state,
                           .to = to,
                           .reason = reason,
                           .listed = service.endpoints.size(),
                           .failed = this->FailedConnects(service, Instant{}),
                           .since = now - service.since,
                           .unheard = now - service.heard});
  service.state = to;
  service.silent = false;
  service.since = now;
  service.first_probe.reset();
  service.probed_more = false;
  service.successes.clear();
  if (to != ReachState::kCutOff) {
    return;
  }
  const bool flaps =
      service.returned && now - *service.returned <= this->options.flap_window;
  service.hold = flaps ? std::clamp(service.hold * 2, this->options.min_hold,
                                    this->options.max_hold)
                       : Duration{};
  service.next_probe = now + this->options.min_probe_interval;
  // What cuts this host off from one service probably does so from the others.
  for (auto& [other, known] : this->services) {
    if (known.state == ReachState::kReachable) {
      this->Change(now, other, ReachState::kSuspected,
                   "another service is cut off");
    }
  }
}

void EndpointReach::Suspect(Instant now, const ServiceId& service) {
  const auto found = this->services.find(service);
  if (found != this->services.end() &&
      found->second.state == ReachState::kReachable) {
    this->Change(now, service, ReachState::kSuspected,
                 "another host is cut off");
  }
}

// The endpoints in a random order of this host's own, one after the other.
EndpointId EndpointReach::NextToProbe(Service& service) {
  if (service.probe_order.empty()) {
    service.probe_order.assign(service.endpoints.begin(),
                               service.endpoints.end());
    std::ranges::shuffle(service.probe_order, this->random);
    service.next_in_order = 0;
  }
  return service
      .probe_order[service.next_in_order++ % service.probe_order.size()];
}

void EndpointReach::Probe(Service& service,
                          size_t count,
                          std::vector<EndpointId>& to) {
  for (size_t i = 0; i < std::min(count, service.endpoints.size()); ++i) {
    to.push_back(this->NextToProbe(service));
  }
}

std::vector<EndpointId> EndpointReach::TakeProbes(Instant now) {
  std::vector<EndpointId> probes;
  std::vector<ServiceId> ids;
  for (const auto& [id, service] : this->services) {
    ids.push_back(id);
  }
  for (const ServiceId& id : ids) {
    this->SuspectSilent(now, id);
    Service& service = this->services.at(id);
    if (service.state == ReachState::kSuspected) {
      if (!service.first_probe) {
        service.first_probe = now;
        this->Probe(service, 1, probes);
      } else if (!service.probed_more &&
                 (this->FailedConnects(service, service.since) > 0 ||
                  now - *service.first_probe >= this->options.first_probe)) {
        service.probed_more = true;
        this->Probe(service, this->options.endpoints_to_confirm, probes);
      } else if (service.probed_more &&
                 now - *service.first_probe >= this->options.evidence_window) {
        // A probe got lost among calls that this host cancelled.
        service.first_probe.reset();
        service.probed_more = false;
      }
    } else if (service.state == ReachState::kCutOff &&
               now >= service.next_probe) {
      std::uniform_int_distribution<Duration::rep> interval(
          this->options.min_probe_interval.count(),
          this->options.max_probe_interval.count());
      service.next_probe = now + Duration(interval(this->random));
      this->Probe(service, this->options.probes_when_cut_off, probes);
    }
  }
  return probes;
}

std::vector<ReachChange> EndpointReach::TakeChanges() {
  return std::exchange(this->changes, {});
}

ReachState EndpointReach::State(const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? ReachState::kReachable
                                       : found->second.state;
}

std::set<ServiceId> EndpointReach::CutOff() const {
  std::set<ServiceId> cut_off;
  for (const auto& [id, service] : this->services) {
    if (service.state == ReachState::kCutOff) {
      cut_off.insert(id);
    }
  }
  return cut_off;
}

bool EndpointReach::AllCutOff() const {
  return !this->services.empty() &&
         std::ranges::all_of(this->services, [](const auto& entry) {
           return entry.second.state == ReachState::kCutOff;
         });
}

bool EndpointReach::ReachedOtherSince(const EndpointId& lost,
                                      Instant time) const {
  return this->AnyOtherSince(lost, time, &Endpoint::reached);
}

bool EndpointReach::LostOtherSince(const EndpointId& lost, Instant time) const {
  return this->AnyOtherSince(lost, time, &Endpoint::lost);
}

bool EndpointReach::AnyOtherSince(
    const EndpointId& endpoint,
    Instant time,
    std::optional<Instant> Endpoint::* event) const {
  const Service* service = this->ServiceOf(endpoint);
  return service != nullptr &&
         std::ranges::any_of(service->endpoints, [&](const EndpointId& each) {
           const auto& at = this->endpoints.at(each).*event;
           return each != endpoint && at && *at > time;
         });
}

std::optional<Duration> EndpointReach::SilentFor(
    Instant now,
    const EndpointId& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return {};
  }
  const std::optional<Instant>& reached = found->second.reached;
  return reached ? std::optional(now - *reached) : std::nullopt;
}

bool EndpointReach::FailedAt(Instant now, const EndpointId& endpoint) const {
  constexpr Duration kJustNow = std::chrono::milliseconds(10);
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return false;
  }
  const std::optional<Instant>& failed = found->second.failed;
  return failed && now - *failed < kJustNow;
}

size_t EndpointReach::Siblings(const EndpointId& endpoint) const {
  const Service* service = this->ServiceOf(endpoint);
  return service == nullptr ? 0 : service->endpoints.size();
}

}  // namespace hickorystand
