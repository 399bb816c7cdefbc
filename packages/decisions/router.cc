#include "decisions/router.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <ranges>

namespace hickorystand {
namespace {

// Assumed until the first load report of an endpoint.
constexpr double kDefaultPrefillRate = 4000;
constexpr double kDefaultDecodeRate = 400;
constexpr double kDefaultCapacity = 8;

constexpr double kSlownessGain = 0.2;
constexpr double kSlownessHalfLifeSeconds = 10;
constexpr double kMaxSlowness = 20;
constexpr double kShortestExpectedSeconds = 0.05;
constexpr double kUnattributedGain = 0.2;
constexpr double kDecodeWeightGain = 0.02;
constexpr double kMaxDecodeWeight = 64;

constexpr int64_t kFailuresToEject = 3;
constexpr int64_t kMaxEjectionDoublings = 5;
constexpr Duration kEjectionTime = std::chrono::seconds(2);
constexpr Duration kRefusedPause = std::chrono::milliseconds(250);
constexpr size_t kRunnersUp = 3;
constexpr size_t kMaxIncarnations = 8;

void TrimIncarnations(std::set<uint64_t>& incarnations) {
  while (incarnations.size() > kMaxIncarnations) {
    incarnations.erase(incarnations.begin());
  }
}

bool IsFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kStalled ||
         outcome == AttemptOutcome::kWrongAnswer;
}

// Erases the elements that match `against`, unless all of them match.
void EraseUnlessAll(auto& scored, const auto& matches) {
  if (!std::ranges::all_of(scored, matches)) {
    std::erase_if(scored, matches);
  }
}

}  // namespace

bool EndpointView::Leaving() const {
  return !this->configured || this->leaving.contains(this->incarnation);
}

double EndpointView::PrefillRate() const {
  return this->report.prefill_rate > 0 ? this->report.prefill_rate
                                       : kDefaultPrefillRate;
}

double EndpointView::DecodeRate() const {
  return this->report.decode_rate > 0 ? this->report.decode_rate
                                      : kDefaultDecodeRate;
}

double EndpointView::Capacity() const {
  return this->report.capacity > 0 ? static_cast<double>(this->report.capacity)
                                   : kDefaultCapacity;
}

double EndpointView::EstimatedRequests() const {
  return static_cast<double>(this->own_requests + this->peer_requests) +
         std::max(0.0, this->unattributed_requests);
}

double EndpointView::QueuedPrefillSeconds() const {
  return static_cast<double>(this->own_prompt_tokens +
                             this->peer_prompt_tokens) /
         this->PrefillRate();
}

Router::Router(const RouterOptions& options)
    : options(options), random(options.seed) {}

EndpointView& Router::View(const EndpointId& endpoint) {
  EndpointView& view = this->views[endpoint];
  view.endpoint.id = endpoint;
  return view;
}

const EndpointView* Router::Find(const EndpointId& endpoint) const {
  const auto found = this->views.find(endpoint);
  return found == this->views.end() ? nullptr : &found->second;
}

void Router::OnConfiguration(const Configuration& configuration) {
  this->by_service.clear();
  for (auto& [id, view] : this->views) {
    view.configured = false;
  }
  for (const auto& [id, endpoint] : configuration.endpoints) {
    EndpointView& view = this->View(id);
    view.endpoint = endpoint;
    view.configured = true;
  }
  std::erase_if(this->views, [](const auto& entry) {
    return !entry.second.configured && entry.second.own_requests == 0;
  });
  for (auto& [id, view] : this->views) {
    view.peer_requests = 0;
    view.peer_prompt_tokens = 0;
    if (view.configured) {
      this->by_service[view.endpoint.service].push_back(&view);
    }
  }
  for (const auto& [host, outstanding] : this->peers) {
    this->CountPeer(outstanding, 1);
  }
}

// Resets the view for a new incarnation of the endpoint. The previous one is
// remembered as retired, so that a delayed message about it cannot change the
// state of the current one.
void Router::StartIncarnation(EndpointView& view, uint64_t incarnation) {
  if (view.incarnation == incarnation) {
    return;
  }
  if (view.incarnation != 0) {
    view.retired.insert(view.incarnation);
    TrimIncarnations(view.retired);
  }
  view.incarnation = incarnation;
  view.report.sequence = 0;
  view.down = false;
  view.probing = false;
  view.ejected_until = {};
  view.failures = 0;
  view.ejections = 0;
  view.slowness = 1;
  view.unattributed_requests = 0;
}

void Router::OnLoad(Instant now, const LoadReport& report) {
  const auto found = this->views.find(report.endpoint);
  if (found == this->views.end()) {
    return;
  }
  EndpointView& view = found->second;
  if (view.retired.contains(report.incarnation) ||
      (view.incarnation == report.incarnation && view.reported &&
       report.sequence <= view.report.sequence)) {
    return;
  }
  this->StartIncarnation(view, report.incarnation);
  if (report.leaving) {
    view.leaving.insert(report.incarnation);
    TrimIncarnations(view.leaving);
  }
  view.report = report;
  view.reported = true;
  view.down = view.down && this->options.eject_outliers && view.Ejected(now);
  const auto known =
      static_cast<double>(view.own_requests + view.peer_requests);
  view.unattributed_requests +=
      kUnattributedGain * (static_cast<double>(report.running) - known -
                           view.unattributed_requests);
  if (report.prefill_rate > 0 && report.decode_rate > 0) {
    const double ratio = std::clamp(report.prefill_rate / report.decode_rate,
                                    1.0, kMaxDecodeWeight);
    this->decode_weight += kDecodeWeightGain * (ratio - this->decode_weight);
  }
}

void Router::OnCache(const CacheEvent& event) {
  const auto found = this->views.find(event.endpoint);
  if (found != this->views.end()) {
    found->second.cache.Apply(event);
  }
}

void Router::CountPeer(const std::vector<EndpointOutstanding>& outstanding,
                       int64_t sign) {
  for (const EndpointOutstanding& sent : outstanding) {
    const auto found = this->views.find(sent.endpoint);
    if (found != this->views.end()) {
      found->second.peer_requests += sign * sent.requests;
      found->second.peer_prompt_tokens += sign * sent.prompt_tokens;
    }
  }
}

void Router::OnDigest(Instant now, const Digest& digest) {
  if (this->options.use_peer_digests) {
    std::vector<EndpointOutstanding>& outstanding = this->peers[digest.host];
    this->CountPeer(outstanding, -1);
    outstanding = digest.outstanding;
    this->CountPeer(outstanding, 1);
  }
  for (const EndpointStatus& state : digest.endpoints) {
    const auto found = this->views.find(state.endpoint);
    if (found == this->views.end() ||
        found->second.retired.contains(state.incarnation)) {
      continue;
    }
    EndpointView& view = found->second;
    if (state.leaving) {
      view.leaving.insert(state.incarnation);
      TrimIncarnations(view.leaving);
    }
    if (state.down && state.incarnation == view.incarnation && !view.down &&
        !view.Ejected(now)) {
      view.down = true;
      this->Eject(now, view, kEjectionTime);
    }
  }
}

void Router::OnHostLost(const HostId& host) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) {
    return;
  }
  this->CountPeer(found->second, -1);
  this->peers.erase(found);
}

bool Router::Usable(Instant now,
                    const EndpointView& view,
                    const RouteQuery& query) const {
  const Request& request = *query.request;
  const bool once = request.request_class == RequestClass::kAtMostOnce;
  if (view.Leaving() || (once && view.endpoint.cheap)) {
    return false;
  }
  if (!this->MayContinueAt(view.endpoint.id, query.progress)) {
    return false;
  }
  // After an ejection an endpoint gets one request at a time, until it has
  // answered one.
  if (this->options.eject_outliers &&
      (view.Ejected(now) || (view.OnProbation() && view.probing))) {
    return false;
  }
  if (query.ignore_room) {
    return true;
  }
  if (query.suspect && view.own_suspects > 0) {
    return false;
  }
  return this->HasRoom(view, request.request_class);
}

std::optional<StreamOrigin> Router::OriginOf(const EndpointId& endpoint) const {
  const auto found = this->views.find(endpoint);
  if (found == this->views.end()) {
    return {};
  }
  const EndpointView& view = found->second;
  const auto members = this->by_service.find(view.endpoint.service);
  const bool versions_stated =
      members != this->by_service.end() &&
      std::ranges::any_of(members->second, [](const EndpointView* other) {
        return !other->report.software.Empty();
      });
  // After a crash it may return as another version.
  if ((!view.reported || view.down) && versions_stated) {
    return {};
  }
  return StreamOrigin{.service = view.endpoint.service,
                      .software = view.report.software};
}

bool Router::MayContinueAt(const EndpointId& endpoint,
                           const StreamProgress& progress) const {
  if (!progress.Begun()) {
    return true;
  }
  const auto origin = this->OriginOf(endpoint);
  return origin && progress.MayRunAt(*origin);
}

bool Router::HasOrigin(const StreamOrigin& origin) const {
  const auto found = this->by_service.find(origin.service);
  return found != this->by_service.end() &&
         std::ranges::any_of(found->second, [&](const EndpointView* view) {
           return !view->Leaving() &&
                  this->OriginOf(view->endpoint.id) == origin;
         });
}

bool Router::HasRoom(const EndpointView& view,
                     RequestClass request_class) const {
  const bool batch = request_class == RequestClass::kBatch;
  const double slots = view.Capacity() * (batch ? this->options.batch_occupancy
                                                : this->options.overbook_ratio);
  const double max_seconds =
      this->options.max_prefill_seconds * (batch ? 0.5 : 1.0);
  return view.EstimatedRequests() < std::max(1.0, slots) &&
         view.QueuedPrefillSeconds() < max_seconds;
}

// Decays to 1 over time, so that an endpoint that was slow is tried again.
double Router::Slowness(Instant now, const EndpointView& view) const {
  const double age = ToSeconds(now - view.slowness_at);
  const double weight = std::exp2(-age / kSlownessHalfLifeSeconds);
  return 1 + (view.slowness - 1) * weight;
}

Router::ScoredEndpoint Router::Score(Instant now,
                                     const EndpointView& view,
                                     const Request& request) const {
  const double hit_share = this->options.use_prefix_cache
                               ? view.cache.HitShare(request.prefix_hashes)
                               : 0;
  const auto missed = static_cast<int64_t>(
      static_cast<double>(request.prompt_tokens) * (1 - hit_share));
  const double slowness =
      this->options.eject_outliers ? Slowness(now, view) : 1;
  const bool remote = view.endpoint.data_centre != this->options.data_centre;
  const double overload_seconds =
      std::max(0.0, view.EstimatedRequests() + 1 - view.Capacity()) *
      static_cast<double>(request.output_tokens) / view.DecodeRate();
  const double seconds = (view.QueuedPrefillSeconds() +
                          static_cast<double>(missed) / view.PrefillRate()) *
                             slowness +
                         overload_seconds +
                         (remote ? this->options.remote_penalty_seconds : 0);
  // Work is weighted by the occupancy of the batch: decoding one more request
  // costs little on a nearly empty engine, but delays others on a nearly full
  // one.
  const double occupancy = view.EstimatedRequests() / view.Capacity();
  const double work =
      static_cast<double>(missed) / view.PrefillRate() +
      static_cast<double>(request.output_tokens) / view.DecodeRate();
  return {&view, seconds, work, seconds + work * (0.5 + occupancy) * slowness,
          missed};
}

double Router::LeastWork(Instant now, const Request& request) {
  const auto service = this->by_service.find(request.service);
  if (service == this->by_service.end()) {
    return 0;
  }
  std::vector<std::pair<double, EndpointView*>> works;
  for (EndpointView* candidate : service->second) {
    EndpointView& view = *candidate;
    if (!view.Leaving() && !view.down && !view.Ejected(now)) {
      works.emplace_back(this->Score(now, view, request).work, &view);
    }
  }
  if (works.empty()) {
    return 0;
  }
  const double least = std::ranges::min(works | std::views::keys);
  for (const auto& [work, view] : works) {
    if (work <= least * this->options.max_fit_ratio &&
        !this->HasRoom(*view, request.request_class)) {
      view->reserved_until = now + this->options.reserve_time;
    }
  }
  return least;
}

bool Router::FitsOrHasSpareCapacity(Instant now,
                                    const ScoredEndpoint& scored,
                                    const RouteQuery& query) const {
  if (query.least_work == 0 || query.ignore_room || query.suspect ||
      scored.work <= query.least_work * this->options.max_fit_ratio) {
    return true;
  }
  const EndpointView& view = *scored.view;
  return now >= view.reserved_until &&
         view.EstimatedRequests() <
             view.Capacity() * this->options.misfit_occupancy &&
         view.QueuedPrefillSeconds() < this->options.misfit_prefill_seconds;
}

const Router::ScoredEndpoint& Router::PickAmongEquals(
    const std::vector<ScoredEndpoint>& sorted) {
  const double limit =
      sorted.front().score * (1 + this->options.near_equal_share) +
      this->options.near_equal_seconds;
  const auto end =
      std::ranges::upper_bound(sorted, limit, {}, &ScoredEndpoint::score);
  const auto equals = static_cast<size_t>(end - sorted.begin());
  if (!this->options.choose_among_equals || equals < 2) {
    return sorted.front();
  }
  std::uniform_int_distribution<size_t> any(0, equals - 1);
  const ScoredEndpoint& first = sorted[any(this->random)];
  const ScoredEndpoint& second = sorted[any(this->random)];
  const auto load = [](const ScoredEndpoint& scored) {
    return scored.view->EstimatedRequests() / scored.view->Capacity();
  };
  return load(second) < load(first) ? second : first;
}

std::optional<Route> Router::Choose(Instant now, const RouteQuery& query) {
  assert(query.request != nullptr && "a query must have a request");
  const auto service = this->by_service.find(query.request->service);
  if (service == this->by_service.end()) {
    return {};
  }
  std::vector<ScoredEndpoint> scored;
  for (EndpointView* candidate : service->second) {
    const EndpointView& view = *candidate;
    if (this->Usable(now, view, query)) {
      scored.push_back(this->Score(now, view, *query.request));
    }
  }
  std::erase_if(scored, [&](const ScoredEndpoint& one) {
    return !this->FitsOrHasSpareCapacity(now, one, query);
  });
  // The following filters are preferences. If all endpoints have failed before,
  // or all are on probation, the request is still sent to one of them, over a
  // new connection. Otherwise a service with a single endpoint would never be
  // retried, and an endpoint that receives only non-idempotent requests would
  // never leave probation.
  const bool once = query.request->request_class == RequestClass::kAtMostOnce;
  const bool has_alternative =
      this->HasAlternative(now, *query.request, query.avoid, query.progress);
  std::erase_if(scored, [&](const ScoredEndpoint& one) {
    return has_alternative && query.avoid.contains(one.view->endpoint.id);
  });
  EraseUnlessAll(scored, [&](const ScoredEndpoint& one) {
    return query.avoid_zones.contains(one.view->endpoint.zone);
  });
  EraseUnlessAll(scored, [&](const ScoredEndpoint& one) {
    return this->options.eject_outliers && once && one.view->OnProbation();
  });
  if (scored.empty()) {
    return {};
  }
  // A suspected request goes to the endpoint with the fewest requests, so that
  // a crash affects as few others as possible.
  std::ranges::sort(scored, {}, [&](const ScoredEndpoint& one) {
    return std::pair(query.suspect ? one.view->EstimatedRequests() : 0,
                     one.score);
  });
  const ScoredEndpoint& chosen =
      query.suspect ? scored.front() : this->PickAmongEquals(scored);
  Route route{.endpoint = chosen.view->endpoint.id,
              .seconds = chosen.seconds,
              .missed_tokens = chosen.missed,
              .probe = chosen.view->ejections > 0 || chosen.view->down,
              .reason = query.suspect
                            ? "suspected request, fewest requests there"
                            : "least expected time"};
  for (const ScoredEndpoint& other : scored) {
    if (other.view != chosen.view && route.runners_up.size() < kRunnersUp) {
      route.runners_up.push_back({other.view->endpoint.id, other.seconds});
    }
  }
  return route;
}

bool Router::HasRoomFor(Instant now, const ServiceId& service) const {
  const auto found = this->by_service.find(service);
  return found != this->by_service.end() &&
         std::ranges::any_of(found->second, [&](const EndpointView* candidate) {
           const EndpointView& view = *candidate;
           return !view.Leaving() && !view.Ejected(now) &&
                  this->HasRoom(view, RequestClass::kInteractive);
         });
}

bool Router::HasAlternative(Instant now,
                            const Request& request,
                            const std::set<EndpointId>& avoid,
                            const StreamProgress& progress) const {
  const auto found = this->by_service.find(request.service);
  const bool once = request.request_class == RequestClass::kAtMostOnce;
  return found != this->by_service.end() &&
         std::ranges::any_of(found->second, [&](const EndpointView* view) {
           return !view->Leaving() && !view->Ejected(now) &&
                  !avoid.contains(view->endpoint.id) &&
                  !(once && view->endpoint.cheap) &&
                  this->MayContinueAt(view->endpoint.id, progress);
         });
}

bool Router::HasEndpoint(const ServiceId& service) const {
  const auto found = this->by_service.find(service);
  return found != this->by_service.end() &&
         std::ranges::any_of(found->second, [](const EndpointView* view) {
           return !view->Leaving();
         });
}

std::optional<double> Router::BestFirstTokenSeconds(
    Instant now,
    const Request& request) const {
  const auto service = this->by_service.find(request.service);
  if (service == this->by_service.end()) {
    return {};
  }
  std::optional<double> best;
  for (EndpointView* candidate : service->second) {
    const EndpointView& view = *candidate;
    if (!view.Leaving() && !view.down && !view.Ejected(now)) {
      const double seconds = this->Score(now, view, request).seconds;
      best = std::min(best.value_or(seconds), seconds);
    }
  }
  return best;
}

void Router::OnSent(const EndpointId& endpoint,
                    const Request& request,
                    const Route& route,
                    bool suspect) {
  EndpointView& view = this->views.at(endpoint);
  // A request on a leaving endpoint would be aborted when the endpoint stops.
  assert(!view.Leaving() && "request sent to a leaving endpoint");
  assert((request.request_class != RequestClass::kAtMostOnce ||
          !view.endpoint.cheap) &&
         "non-idempotent request sent to a spot endpoint");
  view.own_requests += 1;
  view.own_prompt_tokens += route.missed_tokens;
  view.own_suspects += suspect ? 1 : 0;
  view.probing = view.probing || route.probe;
  view.cache.AssumeCached(request.prefix_hashes);
}

void Router::OnFirstToken(Instant now,
                          const EndpointId& endpoint,
                          int64_t missed_tokens,
                          double expected_seconds,
                          double seconds) {
  EndpointView& view = this->View(endpoint);
  view.own_prompt_tokens -= missed_tokens;
  assert(view.own_prompt_tokens >= 0 &&
         "first token reported for an unknown attempt");
  const double ratio =
      seconds / std::max(kShortestExpectedSeconds, expected_seconds);
  const double current = Slowness(now, view);
  view.slowness = std::clamp(current + kSlownessGain * (ratio - current), 1.0,
                             kMaxSlowness);
  view.slowness_at = now;
  // The first token proves that the endpoint works again. Waiting for the end
  // of a long answer would delay its return to service.
  view.ejections = 0;
  view.down = false;
  view.probing = false;
}

void Router::OnEnded(Instant now,
                     const EndpointId& endpoint,
                     AttemptOutcome outcome,
                     int64_t waiting_prompt_tokens,
                     bool suspect,
                     bool probe) {
  EndpointView& view = this->View(endpoint);
  view.own_requests -= 1;
  view.own_prompt_tokens -= waiting_prompt_tokens;
  view.own_suspects -= suspect ? 1 : 0;
  assert(view.own_requests >= 0 && view.own_prompt_tokens >= 0 &&
         view.own_suspects >= 0 && "OnEnded() was called twice for an attempt");
  view.probing = view.probing && !probe;
  if (outcome == AttemptOutcome::kComplete ||
      outcome == AttemptOutcome::kRejected) {
    view.failures = 0;
    view.ejections = 0;
    view.down = false;
  } else if (outcome == AttemptOutcome::kCrashed) {
    if (!view.down) {
      view.down = true;
      this->Eject(now, view, kEjectionTime);
    }
  } else if (outcome == AttemptOutcome::kRefused) {
    view.ejected_until = std::max(view.ejected_until, now + kRefusedPause);
  } else if (IsFailure(outcome)) {
    view.failures += 1;
    if (probe || view.failures >= kFailuresToEject) {
      view.failures = 0;
      this->Eject(now, view, kEjectionTime);
    }
  }
}

// The duration doubles with each consecutive ejection, up to about a minute.
void Router::Eject(Instant now, EndpointView& view, Duration base) {
  const int64_t doublings = std::min(view.ejections, kMaxEjectionDoublings);
  view.ejections += 1;
  view.ejected_until = now + base * (int64_t{1} << doublings);
}

void Router::FillDigest(Digest& digest) const {
  for (const auto& [id, view] : this->views) {
    if (view.own_requests > 0) {
      digest.outstanding.push_back(
          {id, view.own_prompt_tokens, view.own_requests});
    }
    const bool leaving = view.leaving.contains(view.incarnation);
    if (leaving || view.down) {
      digest.endpoints.push_back({id, view.incarnation, leaving, view.down});
    }
  }
}

}  // namespace hickorystand
