#include "decisions/endpoint_load.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace hickorystand {
namespace {

// Beyond these values a stated load can't be meant as such.
constexpr int64_t kMaxRequests = 100000;
constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 20;

size_t IndexOf(WorkKind kind) {
  return static_cast<size_t>(kind);
}

}  // namespace

bool IsPlausible(const StatedLoad& load) {
  const auto in_range = [](int64_t value) {
    return value >= 0 && value <= kMaxRequests;
  };
  return in_range(load.running) && in_range(load.waiting) &&
         in_range(load.slots) && load.slots > 0 &&
         (!load.pace || (std::isfinite(*load.pace) && *load.pace >= kMinPace &&
                         *load.pace <= kMaxPace));
}

void EndpointLoads::SetEndpoints(const FleetEndpoints& listed) {
  std::erase_if(this->endpoints, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  for (const auto& [id, endpoint] : listed) {
    Endpoint& known = this->endpoints[id];
    if (known.run != endpoint.run) {
      known = Endpoint{.run = endpoint.run};
    }
    known.service = endpoint.service;
  }
  this->CountStating();
}

EndpointLoads::Endpoint* EndpointLoads::Find(const EndpointRun& run) {
  const auto found = this->endpoints.find(run.id);
  return found != this->endpoints.end() && found->second.run == run
             ? &found->second
             : nullptr;
}

const EndpointLoads::Endpoint* EndpointLoads::Find(const EndpointId& id) const {
  const auto found = this->endpoints.find(id);
  return found == this->endpoints.end() ? nullptr : &found->second;
}

// One endpoint alone doesn't decide for its service: it may state nonsense.
void EndpointLoads::CountStating() {
  constexpr int64_t kLeastStating = 2;
  struct Count {
    int64_t listed = 0;
    int64_t stating = 0;
  };
  std::map<ServiceId, Count> counts;
  for (const auto& [id, endpoint] : this->endpoints) {
    Count& count = counts[endpoint.service];
    ++count.listed;
    count.stating += endpoint.pace.statements > 0 ? 1 : 0;
  }
  // A service remains one that states its pace while all its endpoints are
  // replaced.
  std::erase_if(this->states_pace, [&counts](const ServiceId& service) {
    return !counts.contains(service);
  });
  for (const auto& [service, count] : counts) {
    if (count.stating > 0 &&
        count.stating >= std::min(kLeastStating, count.listed)) {
      this->states_pace.insert(service);
    }
  }
}

bool EndpointLoads::OnStated(Instant now,
                             const EndpointRun& endpoint,
                             const StatedLoad& load) {
  Endpoint* known = this->Find(endpoint);
  if (known == nullptr || !IsPlausible(load)) {
    return false;
  }
  known->stated = load;
  known->stated_at = now;
  if (!load.pace) {
    return true;
  }
  Pace& pace = known->pace;
  ++pace.statements;
  const double weight = std::max(1 / static_cast<double>(pace.statements),
                                 this->options.min_mean_pace_weight);
  pace.newest = *load.pace;
  pace.mean += weight * (*load.pace - pace.mean);
  if (pace.statements == 1) {
    this->CountStating();
  }
  return true;
}

// How much of a statement still holds, from 1 to 0.
double EndpointLoads::Remaining(Instant now, const Endpoint& endpoint) const {
  const double age = ToSeconds(now - endpoint.stated_at);
  return std::exp(-std::max(age, 0.0) / ToSeconds(this->options.memory));
}

double EndpointLoads::PaceNow(Instant now, const Endpoint& endpoint) const {
  const Pace& pace = endpoint.pace;
  if (pace.statements == 0 || pace.contradicted) {
    return 1;
  }
  return pace.mean + (pace.newest - pace.mean) * this->Remaining(now, endpoint);
}

bool EndpointLoads::OnMeasured(Instant now,
                               const EndpointRun& endpoint,
                               WorkKind kind,
                               double ratio) {
  Endpoint* known = this->Find(endpoint);
  if (known == nullptr || !std::isfinite(ratio)) {
    return true;
  }
  const double measured =
      std::clamp(ratio, this->options.min_factor, this->options.max_factor);
  Figure& own = known->own.at(IndexOf(kind));
  const double expected =
      known->lasting.at(IndexOf(kind)) * this->PaceNow(now, *known);
  const double factor =
      std::clamp(measured / this->PaceNow(now, *known),
                 this->options.min_factor, this->options.max_factor);
  ++own.measurements;
  own.factor += std::max(1 / static_cast<double>(own.measurements),
                         this->options.min_weight) *
                (factor - own.factor);
  this->UpdateLasting(*known, kind);
  Pace& pace = known->pace;
  if (pace.statements == 0 || pace.contradicted) {
    return true;
  }
  pace.differed.push_back(std::abs(std::log(measured / expected)) >
                          std::log(this->options.contradiction_factor));
  if (pace.differed.size() > this->options.compared) {
    pace.differed.pop_front();
  }
  pace.contradicted = static_cast<size_t>(std::ranges::count(
                          pace.differed, true)) >= this->options.contradictions;
  if (pace.contradicted) {
    pace.untold = ContradictedPace{.endpoint = endpoint,
                                   .service = known->service,
                                   .stated = pace.newest,
                                   .stated_age = now - known->stated_at,
                                   .expected = expected,
                                   .measured = measured};
  }
  return !pace.contradicted;
}

std::vector<ContradictedPace> EndpointLoads::TakeContradicted() {
  std::vector<ContradictedPace> taken;
  for (auto& [id, endpoint] : this->endpoints) {
    if (auto untold = std::exchange(endpoint.pace.untold, {})) {
      taken.push_back(*std::move(untold));
    }
  }
  return taken;
}

// Sets the mean of the hosts' factors, weighted by their measurements.
void EndpointLoads::UpdateLasting(Endpoint& endpoint, WorkKind kind) const {
  double sum = 0;
  double weights = 0;
  const auto add = [&](const Figures& figures) {
    const Figure& figure = figures.at(IndexOf(kind));
    const auto weight = static_cast<double>(
        std::min(figure.measurements, this->options.max_combined_measurements));
    sum += weight * figure.factor;
    weights += weight;
  };
  add(endpoint.own);
  std::ranges::for_each(endpoint.peers | std::views::values, add);
  endpoint.lasting.at(IndexOf(kind)) = weights > 0 ? sum / weights : 1;
}

double EndpointLoads::TimeFactor(Instant now,
                                 const EndpointId& endpoint,
                                 WorkKind kind) const {
  const Endpoint* known = this->Find(endpoint);
  return known == nullptr
             ? 1
             : known->lasting.at(IndexOf(kind)) * this->PaceNow(now, *known);
}

std::vector<double> EndpointLoads::TimeFactors(Instant now,
                                               const ServiceId& service,
                                               WorkKind kind) const {
  std::vector<double> factors;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (endpoint.service == service) {
      factors.push_back(endpoint.lasting.at(IndexOf(kind)) *
                        this->PaceNow(now, endpoint));
    }
  }
  std::ranges::sort(factors);
  return factors;
}

double EndpointLoads::Requests(Instant now,
                               const EndpointId& endpoint,
                               double counted) const {
  const Endpoint* known = this->Find(endpoint);
  if (known == nullptr || !known->stated) {
    return counted;
  }
  const auto stated =
      static_cast<double>(known->stated->running + known->stated->waiting);
  return std::max(counted, stated * this->Remaining(now, *known));
}

std::optional<Duration> EndpointLoads::Age(Instant now,
                                           const EndpointId& endpoint) const {
  const Endpoint* known = this->Find(endpoint);
  return known != nullptr && known->stated
             ? std::optional<Duration>(now - known->stated_at)
             : std::nullopt;
}

bool EndpointLoads::StatesPace(const ServiceId& service) const {
  return this->states_pace.contains(service);
}

EndpointSpeeds EndpointLoads::TakeUpdate(Instant now,
                                         size_t peers,
                                         const ServiceFilter& of_service) {
  this->DropLostPeers(now);
  if (peers == 0 || (this->reported_at != Instant{} &&
                     now - this->reported_at < this->options.report_interval)) {
    return {};
  }
  struct Change {
    double size = 0;
    Endpoint* endpoint = nullptr;
    WorkKind kind = WorkKind::kPrefill;
  };
  std::vector<Change> changes;
  for (auto& [id, endpoint] : this->endpoints) {
    if (!of_service(endpoint.service)) {
      continue;
    }
    for (const WorkKind kind : kWorkKinds) {
      const Figure& own = endpoint.own.at(IndexOf(kind));
      const Figure& told = endpoint.reported.at(IndexOf(kind));
      const double size = told.measurements == 0
                              ? std::abs(std::log(own.factor)) + 1
                              : std::abs(std::log(own.factor / told.factor));
      if (own.measurements > 0 && size > this->options.reported_change) {
        changes.push_back({.size = size, .endpoint = &endpoint, .kind = kind});
      }
    }
  }
  std::ranges::sort(changes, std::greater<>(), &Change::size);
  const auto most = std::clamp<int64_t>(
      this->options.max_reported_to_all / static_cast<int64_t>(peers), 1,
      this->options.max_reported);
  EndpointSpeeds update;
  for (const Change& change : changes | std::views::take(most)) {
    const Figure& own = change.endpoint->own.at(IndexOf(change.kind));
    change.endpoint->reported.at(IndexOf(change.kind)) = own;
    update.push_back({.endpoint = change.endpoint->run,
                      .kind = change.kind,
                      .factor = own.factor,
                      .measurements = own.measurements});
  }
  if (!update.empty()) {
    this->reported_at = now;
  }
  return update;
}

EndpointSpeeds EndpointLoads::Snapshot(const ServiceFilter& of_service) const {
  EndpointSpeeds all;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (!of_service(endpoint.service)) {
      continue;
    }
    for (const WorkKind kind : kWorkKinds) {
      if (const Figure& own = endpoint.own.at(IndexOf(kind));
          own.measurements > 0) {
        all.push_back({.endpoint = endpoint.run,
                       .kind = kind,
                       .factor = own.factor,
                       .measurements = own.measurements});
      }
    }
  }
  return all;
}

void EndpointLoads::OnUpdate(Instant now,
                             const HostId& from,
                             const EndpointSpeeds& update) {
  this->DropLostPeers(now);
  this->lost_peers.erase(from);
  for (const EndpointSpeed& speed : update) {
    const bool usable =
        std::isfinite(speed.factor) && speed.measurements > 0 &&
        speed.factor >= this->options.min_factor &&
        speed.factor <= this->options.max_factor &&
        std::ranges::find(kWorkKinds, speed.kind) != kWorkKinds.end();
    Endpoint* known = usable ? this->Find(speed.endpoint) : nullptr;
    if (known != nullptr) {
      known->peers[from].at(IndexOf(speed.kind)) = {
          .factor = speed.factor, .measurements = speed.measurements};
      this->UpdateLasting(*known, speed.kind);
    }
  }
}

void EndpointLoads::OnPeerLost(Instant now, const HostId& host) {
  this->DropLostPeers(now);
  this->lost_peers.try_emplace(host, now);
}

void EndpointLoads::DropLostPeers(Instant now) {
  std::erase_if(this->lost_peers, [&](const auto& entry) {
    if (now - entry.second < this->options.peer_retention) {
      return false;
    }
    for (auto& [id, endpoint] : this->endpoints) {
      endpoint.peers.erase(entry.first);
      for (const WorkKind kind : kWorkKinds) {
        this->UpdateLasting(endpoint, kind);
      }
    }
    return true;
  });
}

}  // namespace hickorystand
