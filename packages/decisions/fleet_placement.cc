#include "decisions/fleet_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace hickorystand {
namespace {

// Weight of the newest outcome in an endpoint's failure share, which averages
// about ten outcomes.
constexpr double kOutcomeWeight = 0.15;

// Weight of the newest measurement of an engine's slowness, and the fewest
// prompt tokens for a measurement: for short prompts, other delays dominate.
constexpr double kSlownessWeight = 0.12;
constexpr int64_t kMinSlownessTokens = 2000;

// Weight of the newest pause between two events of a stream, and how long the
// mean stays valid without a new pause.
constexpr double kPauseWeight = 0.03;
constexpr int64_t kMinPauses = 50;
constexpr Duration kPauseValidity = std::chrono::seconds(2);

// Upper bound of the factor by which long pauses raise the prefill penalty.
constexpr double kMaxPauseShare = 3;

// An overload ends after this long without a refusal.
constexpr Duration kOverloadGap = std::chrono::milliseconds(300);

// Target latency of requests whose route has none.
constexpr Duration kDefaultTargetLatency = std::chrono::milliseconds(600);

// Weight of the newest duration of a plain call.
constexpr double kPlainCallTimeWeight = 0.1;

// Maps a part and an endpoint to [0, 1), identically on every host.
double RendezvousDraw(uint64_t part, const EndpointId& endpoint) {
  const std::string& id = endpoint.Text();
  const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), part);
  return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

// The longest shared part of a prompt, the key of rendezvous hashing: the last
// but one, since the last part is specific to the request.
uint64_t LongestSharedPart(const RequestProfile& shape) {
  if (shape.parts.empty()) {
    return 0;
  }
  return shape.parts[shape.parts.size() > 1 ? shape.parts.size() - 2 : 0].part;
}

// The number of the prompt's tokens that an engine has cached.
int64_t CachedTokens(const EngineCache& cache,
                     const RequestProfile& shape,
                     bool confirmed_only) {
  return std::min(cache.CachedPrefixTokens(shape.parts, confirmed_only),
                  shape.prompt_tokens);
}

// The same request, accepting ejected endpoints; nullopt if it does so already.
// A begun stream can't go to an endpoint of another version instead.
std::optional<RequestProfile> AcceptEjected(RequestProfile shape) {
  if (shape.ejected != EjectedUse::kNone) {
    return {};
  }
  shape.ejected =
      shape.progress.Begun() ? EjectedUse::kAny : EjectedUse::kProbe;
  return shape;
}

// The same request, accepting more endpoints, in the order of preference;
// nullopt if there are no more.
std::optional<RequestProfile> AcceptMore(RequestProfile shape) {
  const bool begun = shape.progress.Begun();
  const bool stream = shape.begins_stream || begun;
  const bool doubted_next = stream && !shape.accepts_doubted &&
                            (!begun || shape.ejected != EjectedUse::kNone);
  if (!doubted_next) {
    return AcceptEjected(std::move(shape));
  }
  shape.accepts_doubted = true;
  return shape;
}

Duration TargetOf(const RequestProfile& shape) {
  return shape.target > Duration{} ? shape.target : kDefaultTargetLatency;
}

}  // namespace

void FleetPlacement::OnCache(const EndpointId& endpoint,
                             const PartTokens& part) {
  const auto found = this->states.find(endpoint);
  if (found == this->states.end()) {
    return;
  }
  EngineCache& cache = found->second.cache;
  if (part.tokens == 0) {
    cache.Remove(part.part);
  } else {
    cache.Add(part, this->CacheCapacity(found->second.endpoint.service), true);
  }
}

void FleetPlacement::ClearCache(const EndpointId& endpoint) {
  if (const auto found = this->states.find(endpoint);
      found != this->states.end()) {
    found->second.cache = {};
  }
}

bool FleetPlacement::IsListed(const EndpointRun& run) const {
  const auto found = this->states.find(run.id);
  return found != this->states.end() && found->second.endpoint.run == run;
}

std::vector<PartTokens> FleetPlacement::ConfirmedParts(
    const EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  return found == this->states.end() ? std::vector<PartTokens>()
                                     : found->second.cache.Confirmed();
}

void FleetPlacement::SetEndpoints(const FleetEndpoints& endpoints) {
  std::erase_if(this->states, [&endpoints](const auto& entry) {
    return !endpoints.contains(entry.first);
  });
  for (const auto& [id, endpoint] : endpoints) {
    State& state = this->states[id];
    if (state.endpoint.run != endpoint.run) {
      state = State{};
      this->CountWork(endpoint.run, state);
    }
    state.endpoint = endpoint;
  }
  this->rates.SetEndpoints(endpoints);
  this->loads.SetEndpoints(endpoints);
}

// Requests go on while their endpoint is missing in a list, and end after it is
// listed again.
void FleetPlacement::CountWork(const EndpointRun& run, State& state) const {
  for (const auto& [id, work] : this->works) {
    if (work.endpoint == run.id && work.started == run.started) {
      ++state.running;
      state.queued_tokens += work.prefilled ? 0 : work.sent_work.new_tokens;
    }
  }
}

void FleetPlacement::SetServiceParameters(const ServiceId& service,
                                          const ServiceParameters& share) {
  this->service_parameters[service] = share;
  if (share.transfer_tokens_per_second > 0) {
    this->MutablePace(service).SetTransferRate(
        share.transfer_tokens_per_second);
  }
}

EnginePace& FleetPlacement::MutablePace(const ServiceId& service) {
  return this->paces.try_emplace(service, this->options.pace).first->second;
}

const EnginePace& FleetPlacement::Pace(const ServiceId& service) const {
  const auto found = this->paces.find(service);
  return found == this->paces.end() ? this->unmeasured : found->second;
}

PaceByService FleetPlacement::OwnPace() const {
  PaceByService own;
  for (const auto& [service, pace] : this->paces) {
    own[service] = pace.Figures();
  }
  return own;
}

void FleetPlacement::AdoptPace(const PaceByService& received) {
  for (const auto& [service, figures] : received) {
    this->MutablePace(service).Adopt(figures);
  }
}

bool FleetPlacement::IsContended(const ServiceId& service) const {
  return this->options.contention == ContentionMode::kOn ||
         (this->options.contention == ContentionMode::kAuto &&
          this->loads.StatesPace(service));
}

EndpointSpeeds FleetPlacement::TakeSpeeds(Instant now, size_t peers) {
  return this->loads.TakeUpdate(now, peers, [this](const ServiceId& service) {
    return this->IsContended(service);
  });
}

EndpointSpeeds FleetPlacement::SpeedsSnapshot() const {
  return this->loads.Snapshot(
      [this](const ServiceId& service) { return this->IsContended(service); });
}

// How long work takes at an endpoint, relative to the usual time of its
// service.
double FleetPlacement::TimeFactor(Instant now,
                                  const State& state,
                                  WorkKind kind) const {
  if (this->IsContended(state.endpoint.service)) {
    return this->loads.TimeFactor(now, state.endpoint.run.id, kind);
  }
  return kind == WorkKind::kPrefill ? state.slowness : 1;
}

double FleetPlacement::Rate(Instant now, const State& state) const {
  return this->Pace(state.endpoint.service)
             .PrefillTokensPerSecond(state.endpoint.role) /
         this->TimeFactor(now, state, WorkKind::kPrefill);
}

int64_t FleetPlacement::CacheCapacity(const ServiceId& service) const {
  const auto share = this->service_parameters.find(service);
  return share != this->service_parameters.end() &&
                 share->second.cache_tokens > 0
             ? share->second.cache_tokens
             : this->options.cache_tokens;
}

double FleetPlacement::Penalty(const State& state,
                               const RequestProfile& shape) const {
  const double zone =
      state.endpoint.zone == this->options.zone
          ? 0
          : this->options.other_zone_cost_share * ToSeconds(TargetOf(shape));
  const bool is_connected = !this->connected || this->connected(state.endpoint);
  const double connecting = is_connected
                                ? 0
                                : this->options.new_connection_cost_share *
                                      ToSeconds(TargetOf(shape));
  return zone + connecting +
         state.failure_share * ToSeconds(this->options.failure_penalty);
}

// Penalty for generating on an engine: for the requests that run there, and
// because a spot engine may be reclaimed.
double FleetPlacement::StreamPenalty(const State& state,
                                     const RequestProfile& shape) const {
  const double taken =
      static_cast<double>(this->Running(state.endpoint.run.id)) /
      static_cast<double>(std::max<int64_t>(state.endpoint.slots, 1));
  const double spot =
      state.endpoint.spot ? this->options.spot_decode_cost_share : 0;
  return (this->options.full_slots_cost_share * taken * taken + spot) *
         ToSeconds(TargetOf(shape));
}

EndpointOutstanding FleetPlacement::PeerWork(const EndpointId& endpoint) const {
  const auto found = this->peer_totals.find(endpoint);
  return found == this->peer_totals.end()
             ? EndpointOutstanding{.endpoint = endpoint}
             : found->second;
}

int64_t FleetPlacement::Running(const EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  const int64_t own = found == this->states.end() ? 0 : found->second.running;
  return own + this->PeerWork(endpoint).requests;
}

double FleetPlacement::PlainSeconds(const ServiceId& service) const {
  const auto found = this->plain_seconds.find(service);
  return found == this->plain_seconds.end()
             ? ToSeconds(this->options.default_plain_call_time)
             : found->second;
}

double FleetPlacement::WorkMilliseconds(const RequestProfile& shape) const {
  constexpr double kMilliseconds = 1000;
  if (!shape.engine) {
    return kMilliseconds * this->PlainSeconds(shape.service);
  }
  const EnginePace& pace = this->Pace(shape.service);
  const int64_t own =
      shape.parts.empty() ? shape.prompt_tokens : shape.parts.back().tokens;
  int64_t slots = 1;
  for (const auto& [id, state] : this->states) {
    if (state.endpoint.service == shape.service) {
      slots = std::max(slots, state.endpoint.slots);
    }
  }
  const double share =
      std::max(1 / static_cast<double>(slots),
               static_cast<double>(shape.prompt_tokens) /
                   static_cast<double>(this->CacheCapacity(shape.service)));
  return kMilliseconds *
         (static_cast<double>(own) /
              pace.PrefillTokensPerSecond(EndpointRole::kPrefill) +
          share * static_cast<double>(shape.output_tokens) * pace.FirstToken());
}

int64_t FleetPlacement::NewTokens(const EndpointId& endpoint,
                                  const RequestProfile& shape) const {
  const auto found = this->states.find(endpoint);
  return found == this->states.end()
             ? shape.prompt_tokens
             : shape.prompt_tokens -
                   CachedTokens(found->second.cache, shape, false);
}

// The engine with the longest cached prefix of the prompt, for each software
// version. A draining engine still serves as a transfer source.
FleetPlacement::PrefixSources FleetPlacement::BestSources(
    const RequestProfile& shape) const {
  PrefixSources sources;
  for (const auto& [id, state] : this->states) {
    if (state.endpoint.service != shape.service) {
      continue;
    }
    PrefixSource& best = sources[state.endpoint.software];
    if (state.consecutive_failures >= this->options.failures_to_eject - 1) {
      continue;
    }
    const int64_t cached = CachedTokens(state.cache, shape, true);
    const bool nearer = cached == best.tokens && cached > 0 &&
                        state.endpoint.zone == this->options.zone &&
                        best.zone != this->options.zone;
    if (cached > best.tokens || nearer) {
      best = {.endpoint = id, .zone = state.endpoint.zone, .tokens = cached};
    }
  }
  return sources;
}

bool FleetPlacement::Usable(Instant now, const EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  return found != this->states.end() && !found->second.endpoint.leaving &&
         !IsExcluded(now, found->second, {});
}

bool FleetPlacement::IsExcluded(Instant now,
                                const State& state,
                                const RequestProfile& shape) const {
  if (now < state.wrong_role_until) {
    return true;
  }
  const Instant probe_at =
      state.ejected_until - state.ejection + this->options.min_ejection;
  switch (shape.ejected) {
    case EjectedUse::kNone:
      return now < state.ejected_until;
    case EjectedUse::kProbe:
      return now < std::min(probe_at, state.ejected_until);
    case EjectedUse::kAny:
      break;
  }
  return false;
}

// A stream that begins at an endpoint in doubt has no known origin. Its prompt
// must not be prefilled by another engine, whose version would be unknown too.
bool FleetPlacement::MayRunAt(const FleetEndpoint& endpoint,
                              const RequestProfile& shape) const {
  const StreamOrigin origin = endpoint.Origin();
  if (!shape.progress.MayRunAt(origin)) {
    return false;
  }
  if (!shape.begins_stream && !shape.progress.Begun()) {
    return true;
  }
  if (shape.begins_stream && this->beginnable &&
      !this->beginnable->contains(origin)) {
    return false;
  }
  return shape.accepts_doubted
             ? endpoint.role != EndpointRole::kPrefill
             : !this->run_in_doubt || !this->run_in_doubt(endpoint);
}

bool FleetPlacement::CanAccept(Instant now,
                               const State& state,
                               const RequestProfile& shape,
                               const std::set<EndpointId>& tried) const {
  const EndpointId& id = state.endpoint.run.id;
  const auto share = this->service_parameters.find(shape.service);
  if (share != this->service_parameters.end() &&
      state.running >= share->second.max_concurrent_requests) {
    return false;
  }
  return state.endpoint.service == shape.service && !state.endpoint.leaving &&
         this->MayRunAt(state.endpoint, shape) &&
         !IsExcluded(now, state, shape) && !tried.contains(id) &&
         !this->IsUnavailable(id) && this->rates.MaySend(now, id);
}

// The refusal if no endpoint can take a request. Tells endpoints that only
// their stated rates exclude, since these take one again soon.
PlacementRefusal FleetPlacement::RefuseWithoutEndpoint(
    Instant now,
    const RequestProfile& shape,
    const std::set<EndpointId>& tried) const {
  std::optional<Duration> soonest;
  for (const auto& [id, state] : this->states) {
    const auto wait = this->rates.UntilAllowed(now, id);
    if (state.endpoint.service == shape.service && !state.endpoint.leaving &&
        this->MayRunAt(state.endpoint, shape) &&
        !IsExcluded(now, state, shape) && !tried.contains(id) &&
        !this->rates.MaySend(now, id) && wait) {
      soonest = std::min(soonest.value_or(*wait), *wait);
    }
  }
  return soonest
             ? PlacementRefusal{.reason = std::string(kOverStatedRates),
                                .retry_after = *soonest}
             : PlacementRefusal{.reason = shape.progress.Begun()
                                              ? std::string(kNoEndpointOfOrigin)
                                              : "no endpoint",
                                .retry_after = this->options.min_ejection};
}

void FleetPlacement::OnPause(Instant now,
                             const FleetEndpoint& endpoint,
                             Duration pause) {
  Pauses& pauses_of_service = this->pauses[endpoint.service];
  // The mean starts at zero, so the first pauses can't be compared with it.
  if (++pauses_of_service.count > kMinPauses) {
    this->loads.OnMeasured(now, endpoint.run, WorkKind::kDecode,
                           ToSeconds(pause) / pauses_of_service.mean);
  }
  pauses_of_service.mean +=
      kPauseWeight * (ToSeconds(pause) - pauses_of_service.mean);
  pauses_of_service.last = now;
}

// How close the pauses of a service's streams are to the allowed pause: 0 while
// they are short; from 1 on, prefill must not lengthen them further.
double FleetPlacement::PauseShare(Instant now,
                                  const ServiceId& service,
                                  double target) const {
  const auto found = this->pauses.find(service);
  if (found == this->pauses.end() || target <= 0 ||
      now - found->second.last > kPauseValidity) {
    return 0;
  }
  const double excess =
      found->second.mean / target - this->options.pause_penalty_start;
  return std::clamp(excess / (this->options.pause_penalty_full -
                              this->options.pause_penalty_start),
                    0.0, kMaxPauseShare);
}

// Penalty for prefill on a decode engine. The engine prefills a chunk between
// two tokens of its streams; on slow engines, continuous prefill made streams
// with many tokens miss their deadline.
double FleetPlacement::DecodeStall(Instant now,
                                   const State& state,
                                   const RequestProfile& shape,
                                   const PrefillEstimate& reading) const {
  const auto share = this->service_parameters.find(shape.service);
  const double pause = share == this->service_parameters.end()
                           ? 0
                           : ToSeconds(share->second.pause_target);
  const bool too_long =
      pause > 0 &&
      reading.total_seconds > this->options.max_decode_stall_share * pause;
  const double crowded = reading.tokens > this->options.short_prompt_tokens
                             ? this->PauseShare(now, shape.service, pause)
                             : 0;
  const auto streams =
      static_cast<double>(this->Running(state.endpoint.run.id));
  return this->options.decode_stall_weight * streams * reading.own_seconds +
         this->options.pause_penalty * pause *
             std::max(too_long ? 1.0 : 0.0, crowded);
}

FleetPlacement::ScoredEndpoint FleetPlacement::ScoreEngine(
    Instant now,
    const State& state,
    const RequestProfile& shape,
    const PrefixSource& source) const {
  const EndpointId& id = state.endpoint.run.id;
  const EnginePace& pace = this->Pace(shape.service);
  const double rate = this->Rate(now, state);
  const int64_t cached = CachedTokens(state.cache, shape, false);
  const int64_t transferable = source.tokens - cached;
  const int64_t copied =
      transferable >= this->options.minimum_kv_transfer ? transferable : 0;
  const int64_t new_tokens = shape.prompt_tokens - cached - copied;
  const double transfer_seconds =
      copied > 0 ? pace.TransferSeconds(copied) *
                       (source.zone == state.endpoint.zone ? 1 : 2)
                 : 0;
  // The request's own last part must be prefilled on any engine; the rest is a
  // cache miss.
  const int64_t own = shape.parts.empty() ? 0 : shape.parts.back().tokens;
  const double missed_tokens =
      static_cast<double>(std::max<int64_t>(new_tokens - own, 0));
  const bool is_prefill = state.endpoint.role == EndpointRole::kPrefill;
  const int64_t queued_tokens =
      state.queued_tokens + this->PeerWork(id).prompt_tokens;
  const double queue_seconds = static_cast<double>(queued_tokens) / rate;
  const double prefill_seconds =
      queue_seconds + static_cast<double>(new_tokens) / rate;
  const double seconds =
      prefill_seconds + transfer_seconds +
      (is_prefill ? pace.FirstTokenAfterHandover()
                  : pace.FirstToken() *
                        this->TimeFactor(now, state, WorkKind::kDecode));
  const double decode_stall =
      is_prefill
          ? 0
          : this->StreamPenalty(state, shape) +
                this->DecodeStall(
                    now, state, shape,
                    {.tokens = new_tokens,
                     .own_seconds = static_cast<double>(new_tokens) / rate,
                     .total_seconds = prefill_seconds});
  return {.endpoint = id,
          .score = seconds + this->Penalty(state, shape) + decode_stall +
                   (this->options.miss_weight - 1) * missed_tokens / rate,
          .seconds = seconds,
          .queue_seconds = queue_seconds,
          .new_tokens = new_tokens,
          .copied_tokens = copied,
          .is_prefill = is_prefill,
          .waits = queued_tokens > 0};
}

// Adds a penalty for each engine's rank in the weighted rendezvous order of the
// prompt's longest shared part. An engine comes first in proportion to its
// prefill rate.
void FleetPlacement::AddRendezvousPenalty(
    Instant now,
    const RequestProfile& shape,
    std::vector<ScoredEndpoint>& weighed) const {
  struct Rank {
    double draw = 0;
    ScoredEndpoint* engine = nullptr;
  };
  const uint64_t part = LongestSharedPart(shape);
  std::vector<Rank> order;
  for (ScoredEndpoint& one : weighed) {
    const double rate = this->Rate(now, this->states.at(one.endpoint));
    order.push_back(
        {.draw = -std::log(1 - RendezvousDraw(part, one.endpoint)) / rate,
         .engine = &one});
  }
  std::ranges::sort(order, {}, &Rank::draw);
  const int64_t own = shape.parts.empty() ? 0 : shape.parts.back().tokens;
  const int64_t shared = std::max<int64_t>(shape.prompt_tokens - own, 0);
  const double step =
      static_cast<double>(
          std::min(this->options.rendezvous_rank_penalty_tokens, shared)) /
      this->Pace(shape.service).PrefillTokensPerSecond(EndpointRole::kPrefill);
  int64_t rank = 0;
  for (const Rank& one : order) {
    one.engine->score += step * static_cast<double>(std::min(
                                    rank++, this->options.rendezvous_ranks));
  }
}

// Leaves two endpoints, drawn by the request, if the load of all is known too
// badly to find the best.
void FleetPlacement::KeepTwoIfLoadIsOld(
    Instant now,
    const RequestProfile& shape,
    std::vector<ScoredEndpoint>& weighed) const {
  constexpr size_t kCompared = 2;
  const auto is_recent = [&](const ScoredEndpoint& one) {
    const auto age = this->loads.Age(now, one.endpoint);
    return age && *age <= this->options.max_load_age;
  };
  if (shape.hash == 0 || weighed.size() <= kCompared ||
      !this->IsContended(shape.service) ||
      std::ranges::any_of(weighed, is_recent)) {
    return;
  }
  std::ranges::partial_sort(weighed, weighed.begin() + kCompared, {},
                            [&shape](const ScoredEndpoint& one) {
                              return RendezvousDraw(shape.hash, one.endpoint);
                            });
  weighed.resize(kCompared);
}

FleetPlacement::ScoredEndpoint FleetPlacement::ScorePlainEndpoint(
    Instant now,
    const State& state,
    const RequestProfile& shape) const {
  const EndpointId& id = state.endpoint.run.id;
  const double call_seconds =
      this->PlainSeconds(shape.service) *
      this->TimeFactor(now, state, WorkKind::kPlainCall);
  const double slots =
      static_cast<double>(std::max<int64_t>(state.endpoint.slots, 1));
  const auto counted = static_cast<double>(this->Running(id));
  const double outstanding = this->IsContended(shape.service)
                                 ? this->loads.Requests(now, id, counted)
                                 : counted;
  const double seconds = call_seconds * (1 + std::floor(outstanding / slots));
  const bool is_full = outstanding / slots > this->options.plain_queue_per_slot;
  // On a contended service the endpoints' call times differ, and the queue may
  // not exceed what the request's class may cause.
  const bool contended = this->IsContended(shape.service);
  const double own_seconds = contended ? call_seconds : 0;
  const double queue_seconds =
      contended ? call_seconds * std::floor(outstanding / slots) : 0;
  return {.endpoint = id,
          .score = own_seconds + call_seconds * outstanding / slots +
                   this->Penalty(state, shape),
          .seconds = is_full ? ToSeconds(shape.max_first_byte_wait) + seconds
                             : seconds,
          .queue_seconds = queue_seconds,
          .waits = is_full || outstanding >= slots};
}

const FleetPlacement::ScoredEndpoint& FleetPlacement::BestOf(
    const std::vector<ScoredEndpoint>& weighed) {
  return *std::ranges::min_element(weighed, {}, &ScoredEndpoint::score);
}

// Refuses a request that would be answered too late behind others at every
// endpoint, or whose queueing time would make every queued request late. Where
// it needn't wait it isn't refused: only the answers to requests that are sent
// correct the estimate.
std::optional<PlacementRefusal> FleetPlacement::RefuseIfTooLate(
    const RequestProfile& shape,
    const std::vector<ScoredEndpoint>& weighed,
    const ScoredEndpoint& best) const {
  const bool waits = std::ranges::all_of(weighed, &ScoredEndpoint::waits);
  const double soonest =
      std::ranges::min(weighed, {}, &ScoredEndpoint::seconds).seconds;
  const double excess_latency =
      waits ? soonest - ToSeconds(shape.max_first_byte_wait) : 0;
  const double excess_queueing =
      shape.in_progress
          ? 0
          : best.queue_seconds -
                ToSeconds(shape.max_queue_wait.value_or(
                    FromSeconds(this->options.max_queue_wait_share *
                                ToSeconds(TargetOf(shape)))));
  if (std::max(excess_latency, excess_queueing) <= 0) {
    return {};
  }
  return PlacementRefusal{
      .reason = std::string(kOverloaded),
      .retry_after = FromSeconds(std::max(excess_latency, excess_queueing)),
      .overload = this->EvidenceOf(weighed, best)};
}

OverloadEvidence FleetPlacement::EvidenceOf(
    const std::vector<ScoredEndpoint>& weighed,
    const ScoredEndpoint& best) const {
  OverloadEvidence evidence{
      .endpoints = static_cast<int64_t>(weighed.size()),
      .soonest = FromSeconds(
          std::ranges::min(weighed, {}, &ScoredEndpoint::seconds).seconds),
      .queue = FromSeconds(best.queue_seconds)};
  for (const ScoredEndpoint& one : weighed) {
    evidence.requests += this->states.at(one.endpoint).running;
    evidence.peer_requests += this->PeerWork(one.endpoint).requests;
  }
  return evidence;
}

PlacementResult FleetPlacement::Place(Instant now,
                                      const RequestProfile& shape,
                                      const std::set<EndpointId>& tried) const {
  std::vector<ScoredEndpoint> weighed;
  const PrefixSources sources =
      shape.engine ? this->BestSources(shape) : PrefixSources();
  std::vector<const State*> accepting;
  std::set<SoftwareVersion> generating;
  for (const auto& [id, state] : this->states) {
    if (this->CanAccept(now, state, shape, tried)) {
      accepting.push_back(&state);
      if (state.endpoint.role != EndpointRole::kPrefill) {
        generating.insert(state.endpoint.software);
      }
    }
  }
  for (const State* state : accepting) {
    const SoftwareVersion& software = state->endpoint.software;
    if (generating.contains(software)) {
      weighed.push_back(
          shape.engine
              ? this->ScoreEngine(now, *state, shape, sources.at(software))
              : this->ScorePlainEndpoint(now, *state, shape));
    }
  }
  if (weighed.empty()) {
    const auto more = AcceptMore(shape);
    return more ? this->Place(now, *more, tried)
                : this->RefuseWithoutEndpoint(now, shape, tried);
  }
  if (shape.engine) {
    this->AddRendezvousPenalty(now, shape, weighed);
  } else {
    std::vector<ScoredEndpoint> compared = weighed;
    this->KeepTwoIfLoadIsOld(now, shape, compared);
    // Without room at the two, the others are better than a refusal.
    if (!this->RefuseIfTooLate(shape, compared, BestOf(compared))) {
      weighed = std::move(compared);
    }
  }
  const ScoredEndpoint& best = BestOf(weighed);
  const Duration expected = FromSeconds(best.seconds);
  if (auto refused = this->RefuseIfTooLate(shape, weighed, best)) {
    return *std::move(refused);
  }
  const FleetEndpoint& first = this->states.at(best.endpoint).endpoint;
  const auto copy_from =
      best.copied_tokens > 0
          ? std::optional(sources.at(first.software).endpoint)
          : std::nullopt;
  if (!best.is_prefill) {
    return PlacementTarget{.endpoint = best.endpoint,
                           .copy_from = copy_from,
                           .new_tokens = best.new_tokens,
                           .copied_tokens = best.copied_tokens,
                           .expected = expected};
  }
  const auto answers = this->PlaceAnswer(now, shape, first, tried);
  assert(answers && "an endpoint that generates was found above");
  return PlacementTarget{.endpoint = *answers,
                         .prefill_endpoint = best.endpoint,
                         .copy_from = copy_from,
                         .new_tokens = best.new_tokens,
                         .copied_tokens = best.copied_tokens,
                         .expected = expected};
}

Duration FleetPlacement::OnRefused(Instant now,
                                   const ServiceId& service,
                                   Duration until_room) {
  Overload& overload = this->overloads[service];
  if (overload.last == Instant{} || now - overload.last > kOverloadGap) {
    overload.since = now;
  }
  overload.last = now;
  return std::max(until_room, now - overload.since);
}

std::optional<EndpointId> FleetPlacement::PlaceAnswer(
    Instant now,
    const RequestProfile& shape,
    const FleetEndpoint& prefill_endpoint,
    const std::set<EndpointId>& tried) const {
  const EnginePace& pace = this->Pace(shape.service);
  const double other_zone_cost =
      std::max(pace.FirstTokenAfterHandover() - pace.FirstToken(), 0.0) +
      this->options.other_zone_handover_cost_share *
          static_cast<double>(shape.prompt_tokens) /
          pace.PrefillTokensPerSecond(EndpointRole::kPrefill);
  std::optional<EndpointId> best;
  double least = 0;
  for (const auto& [id, state] : this->states) {
    if (!this->CanAccept(now, state, shape, tried) ||
        state.endpoint.role == EndpointRole::kPrefill ||
        !state.endpoint.SharesCachesWith(prefill_endpoint)) {
      continue;
    }
    const EndpointOutstanding others = this->PeerWork(id);
    // The answer waits for a prefill chunk on that engine, and the KV transfer
    // to another zone takes twice as long and costs more.
    const bool is_other_zone = prefill_endpoint.zone != state.endpoint.zone;
    const double score =
        static_cast<double>(state.queued_tokens + others.prompt_tokens) /
            this->Rate(now, state) +
        (is_other_zone ? other_zone_cost : 0) +
        (this->TimeFactor(now, state, WorkKind::kDecode) - 1) *
            pace.FirstTokenAfterHandover() +
        this->StreamPenalty(state, shape) + this->Penalty(state, shape);
    if (!best || score < least) {
      best = id;
      least = score;
    }
  }
  if (!best) {
    if (const auto more = AcceptEjected(shape)) {
      return this->PlaceAnswer(now, *more, prefill_endpoint, tried);
    }
  }
  return best;
}

WorkId FleetPlacement::OnSent(Instant now,
                              const EndpointId& endpoint,
                              const RequestProfile& shape,
                              const SentWork& sent) {
  const auto found = this->states.find(endpoint);
  if (found == this->states.end()) {
    return 0;
  }
  this->rates.OnSent(now, endpoint);
  State& state = found->second;
  state.probed = state.probed || now < state.ejected_until;
  this->works[++this->last_work] = {
      .endpoint = endpoint,
      .started = state.endpoint.run.started,
      .sent_work = sent,
      .queued_tokens_before =
          state.queued_tokens + this->PeerWork(endpoint).prompt_tokens,
      .parts = shape.parts,
      .sent_at = now,
      .had_free_slot = this->Running(endpoint) < state.endpoint.slots};
  state.queued_tokens += sent.new_tokens;
  ++state.running;
  // Inserted before the prefill is done: the next request with the same parts
  // at this engine waits for the prefill and finds them cached.
  for (const PartTokens& part : shape.parts) {
    state.cache.Add(part, this->CacheCapacity(shape.service), false);
  }
  return this->last_work;
}

FleetPlacement::State* FleetPlacement::Find(const Work& work) {
  const auto found = this->states.find(work.endpoint);
  return found != this->states.end() &&
                 found->second.endpoint.run.started == work.started
             ? &found->second
             : nullptr;
}

// Compares a prompt's prefill time with the service's usual one. Engines of one
// service differ in speed, and nothing else shows that one has become slow.
void FleetPlacement::UpdateSlowness(Instant now,
                                    const Work& work,
                                    State& state) {
  const int64_t tokens = work.sent_work.new_tokens + work.queued_tokens_before;
  if (tokens < kMinSlownessTokens || work.sent_work.new_tokens == 0) {
    return;
  }
  const EnginePace& pace = this->Pace(state.endpoint.service);
  const bool is_prefill = state.endpoint.role == EndpointRole::kPrefill;
  const double other_delays =
      (is_prefill ? 0 : pace.FirstToken()) +
      (work.sent_work.copied_tokens > 0
           ? pace.TransferSeconds(work.sent_work.copied_tokens)
           : 0);
  const double measured = (ToSeconds(now - work.sent_at) - other_delays) *
                          pace.PrefillTokensPerSecond(state.endpoint.role) /
                          static_cast<double>(tokens);
  state.slowness +=
      kSlownessWeight * (std::clamp(measured, this->options.min_slowness,
                                    this->options.max_slowness) -
                         state.slowness);
  this->loads.OnMeasured(now, state.endpoint.run, WorkKind::kPrefill, measured);
}

void FleetPlacement::UpdatePace(Instant now, const Work& work, State& state) {
  const Duration took = now - work.sent_at;
  if (state.endpoint.role == EndpointRole::kPlain) {
    return;
  }
  EnginePace& pace = this->MutablePace(state.endpoint.service);
  if (work.sent_work.prefilled_elsewhere) {
    this->loads.OnMeasured(now, state.endpoint.run, WorkKind::kDecode,
                           ToSeconds(took) / pace.FirstTokenAfterHandover());
    pace.OnFirstTokenAfterHandover(took);
    return;
  }
  this->UpdateSlowness(now, work, state);
  pace.OnPrefill({.role = state.endpoint.role,
                  .tokens = work.sent_work.new_tokens,
                  .queued_tokens_before = work.queued_tokens_before,
                  .copied_tokens = work.sent_work.copied_tokens,
                  .took = took});
}

void FleetPlacement::OnPrefillDone(Instant now, WorkId work) {
  const auto found = this->works.find(work);
  if (found == this->works.end() || found->second.prefilled) {
    return;
  }
  found->second.prefilled = true;
  if (State* state = this->Find(found->second)) {
    state->queued_tokens -= found->second.sent_work.new_tokens;
    this->UpdatePace(now, found->second, *state);
    for (const PartTokens& part : found->second.parts) {
      state->cache.Add(part, this->CacheCapacity(state->endpoint.service),
                       true);
    }
  }
}

void FleetPlacement::OnEnded(Instant /*now*/, WorkId work) {
  const auto ended = this->works.extract(work);
  if (ended.empty()) {
    return;
  }
  if (State* state = this->Find(ended.mapped())) {
    --state->running;
    if (ended.mapped().prefilled) {
      return;
    }
    state->queued_tokens -= ended.mapped().sent_work.new_tokens;
    // It is not known how much was prefilled. An unconfirmed entry would
    // attract the same prompt to this engine again.
    for (const PartTokens& part : ended.mapped().parts) {
      state->cache.RemoveUnconfirmed(part.part);
    }
  }
}

void FleetPlacement::OnWrongRole(Instant now, const EndpointId& endpoint) {
  if (const auto found = this->states.find(endpoint);
      found != this->states.end()) {
    found->second.wrong_role_until = now + this->options.wrong_role_exclusion;
  }
}

void FleetPlacement::SetUnavailable(const HostId& host,
                                    std::set<EndpointId> endpoints) {
  this->unavailable[host] = std::move(endpoints);
}

void FleetPlacement::RemovePeer(Instant now, const HostId& host) {
  this->loads.OnPeerLost(now, host);
  this->OnPeerWork(host, {});
  this->peers.erase(host);
  this->unavailable.erase(host);
}

bool FleetPlacement::IsUnavailable(const EndpointId& endpoint) const {
  return std::ranges::any_of(this->unavailable, [&endpoint](const auto& entry) {
    return entry.second.contains(endpoint);
  });
}

void FleetPlacement::OnOutcome(Instant now,
                               const EndpointId& endpoint,
                               bool good) {
  const auto found = this->states.find(endpoint);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  state.failure_share +=
      kOutcomeWeight * ((good ? 0.0 : 1.0) - state.failure_share);
  const bool probed = std::exchange(state.probed, false);
  if (good) {
    state.consecutive_failures = 0;
    state.ejection = {};
    state.ejected_until = probed ? Instant{} : state.ejected_until;
    return;
  }
  if (++state.consecutive_failures < this->options.failures_to_eject) {
    return;
  }
  state.ejection =
      state.ejection == Duration{}
          ? this->options.min_ejection
          : std::min(state.ejection * 2, this->options.max_ejection);
  state.ejected_until = now + state.ejection;
  // The next failure ejects the endpoint again: one request serves as the
  // probe.
  state.consecutive_failures = this->options.failures_to_eject - 1;
}

void FleetPlacement::ForgetFailures(const ServiceId& service) {
  for (auto& [id, state] : this->states) {
    if (state.endpoint.service == service) {
      state.failure_share = 0;
      state.consecutive_failures = 0;
      state.ejection = {};
      state.ejected_until = {};
    }
  }
}

void FleetPlacement::OnPlainCallTime(Instant now,
                                     const ServiceId& service,
                                     WorkId work,
                                     Duration took) {
  const double before = this->PlainSeconds(service);
  const auto found = this->works.find(work);
  const State* state =
      found == this->works.end() ? nullptr : this->Find(found->second);
  // A call that had to wait for a slot shows nothing of the endpoint's speed.
  if (state != nullptr && found->second.had_free_slot && before > 0) {
    this->loads.OnMeasured(now, state->endpoint.run, WorkKind::kPlainCall,
                           ToSeconds(took) / before);
  }
  this->plain_seconds[service] =
      before + kPlainCallTimeWeight * (ToSeconds(took) - before);
}

void FleetPlacement::OnPeerWork(const HostId& host,
                                const std::vector<EndpointOutstanding>& work) {
  std::vector<EndpointOutstanding>& before = this->peers[host];
  this->AddPeerWork(before, -1);
  this->AddPeerWork(work, 1);
  before = work;
}

void FleetPlacement::AddPeerWork(const std::vector<EndpointOutstanding>& work,
                                 int64_t sign) {
  for (const EndpointOutstanding& item : work) {
    EndpointOutstanding& total = this->peer_totals[item.endpoint];
    total.endpoint = item.endpoint;
    total.prompt_tokens += sign * item.prompt_tokens;
    total.requests += sign * item.requests;
    if (total.prompt_tokens == 0 && total.requests == 0) {
      this->peer_totals.erase(item.endpoint);
    }
  }
}

std::vector<EndpointOutstanding> FleetPlacement::OwnWork() const {
  std::vector<EndpointOutstanding> own;
  for (const auto& [id, state] : this->states) {
    if (state.running > 0) {
      own.push_back({.endpoint = id,
                     .prompt_tokens = state.queued_tokens,
                     .requests = state.running});
    }
  }
  return own;
}

}  // namespace hickorystand
