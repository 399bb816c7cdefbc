// Selects the endpoint for a request, or refuses the request.
//
// Engine load is dominated by prefill: prompts are long, share most of their
// parts, and together need nearly all the prefill capacity of the engines, or
// more. Requests therefore go to the engine that has their prompt parts cached,
// unless the prefill queue there costs more than recomputing the parts on
// another engine.
//
//   score = (queued prefill tokens + the prompt's cache misses) / prefill rate
//
// The lowest score wins. Prefill rates are estimated from completed requests
// (engine_pace.h). Prefixes that another engine has cached are transferred from
// it instead of being recomputed. Without cache information, all hosts rank
// engines in the same order, by rendezvous hashing.
//
// Index
//   ContentionMode                    which services count as contended
//   PlacementOptions                  penalties, limits and times
//   ServiceParameters                 a service's limits for this host
//   RequestProfile                    request properties used for placement
//   PlacementTarget, PlacementRefusal, PlacementResult
//                                     the endpoint, or the reason for refusal
//   OverloadEvidence                  what a refusal for overload is based on
//   FleetPlacement                    the placement state of one host

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decisions/digest.h"
#include "decisions/endpoint_load.h"
#include "decisions/endpoint_rates.h"
#include "decisions/engine_cache.h"
#include "decisions/engine_pace.h"
#include "decisions/fleet_endpoint.h"
#include "decisions/stream_origin.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Which services are contended: their endpoints' speed is estimated one by one
// (endpoint_load.h), and their requests are admitted in order under overload.
// kAuto: those whose endpoints state their pace, since these share their
// machines with others.
enum class ContentionMode { kAuto, kOn, kOff };

// Penalties, limits and times. Penalties are added to the score, in seconds or
// as a share of the time named.
struct PlacementOptions {
  EnginePaceOptions pace;  // until the first measurement
  ContentionMode contention = ContentionMode::kAuto;
  // Prompt tokens that an engine caches, if the configuration does not specify
  // it.
  int64_t cache_tokens = 420000;
  ZoneId zone;  // of this host
  // Penalty for an endpoint in another zone, as a share of the request's target
  // latency: request bodies that cross zones are billed.
  double other_zone_cost_share = 0.025;
  // Penalty for an endpoint to which this host has no open connection, as a
  // share of the target latency: new connections are billed.
  double new_connection_cost_share = 0.03;
  // Penalty for handing a prefilled prompt to an engine in another zone, as a
  // share of the prompt's prefill time: the transfer takes twice as long and is
  // billed at a higher rate.
  double other_zone_handover_cost_share = 0.15;
  // Rendezvous hashing of the longest shared part ranks the engines,
  // identically on every host, so that hosts without cache information choose
  // the same engine. Each rank below the first adds the time to prefill this
  // many tokens (or all shared tokens, if fewer), up to `rendezvous_ranks`
  // ranks.
  int64_t rendezvous_rank_penalty_tokens = 1500;
  int64_t rendezvous_ranks = 4;
  // Smallest KV transfer, in tokens.
  int64_t minimum_kv_transfer = 512;
  // Weight of recomputing a cached prefix. More than 1, since recomputing also
  // takes engine time from other requests.
  double miss_weight = 1.5;
  // Prefill on a decode engine stalls its streams. Penalty for each stalled
  // stream, as a share of the prefill time.
  double decode_stall_weight = 0.15;
  // A stall longer than this share of the allowed pause makes all streams of
  // the engine late, which costs `pause_penalty` times that pause.
  double max_decode_stall_share = 0.67;
  double pause_penalty = 1.67;
  // Mean pause in streams, as a share of the allowed pause, at which long
  // prefills on decode engines start to be penalised, and at which the penalty
  // reaches `pause_penalty` times that pause.
  double pause_penalty_start = 0.5;
  double pause_penalty_full = 1;
  // Prompts up to this many tokens are exempt from that penalty.
  int64_t short_prompt_tokens = 600;
  // Penalty for generating on an engine with all slots taken, as a share of the
  // target latency. It grows with the square of the share of slots taken: with
  // half of them it is a quarter.
  double full_slots_cost_share = 0.5;
  // Penalty for generating on a spot engine, as a share of the target latency:
  // reclaiming the engine breaks its streams. It also keeps spot engines free
  // to change to the prefill role.
  double spot_decode_cost_share = 0.1;
  // Longest wait for queued prefill, as a share of the target latency. Under
  // overload, a longer queue only makes every request in it late.
  double max_queue_wait_share = 0.75;
  // Bounds of an engine's slowness, relative to the service's usual rate.
  double min_slowness = 0.6;
  double max_slowness = 5;
  // How long an engine is excluded after it refused a call because of its role:
  // the role change shows in the engine's next heartbeat and the next read of
  // the endpoint list.
  Duration wrong_role_exclusion = std::chrono::milliseconds(1800);
  // Penalty at a failure share of 1.
  Duration failure_penalty = std::chrono::milliseconds(1500);
  // An endpoint is ejected after this many consecutive failures, first for
  // `min_ejection`, then for twice as long each time, up to `max_ejection`.
  int64_t failures_to_eject = 3;
  Duration min_ejection = std::chrono::seconds(1);
  Duration max_ejection = std::chrono::seconds(8);
  // Duration of a plain service's call until the first measurement.
  Duration default_plain_call_time = std::chrono::milliseconds(60);
  // Calls that may queue per slot at an endpoint of a plain service.
  double plain_queue_per_slot = 3;
  // For contended services, two endpoints of a plain service are compared in
  // place of all, if none of them has stated its load within this time. Hosts
  // that all chose the best one by the same old information would overload it.
  Duration max_load_age = std::chrono::milliseconds(300);
};

// A service's limits and targets, as they apply to this host.
struct ServiceParameters {
  // Concurrent requests from this host per endpoint.
  int64_t max_concurrent_requests = INT64_MAX;
  // Prompt tokens that an engine caches; 0: unknown.
  int64_t cache_tokens = 0;
  // Tokens per second that engines transfer from each other; 0: unknown.
  double transfer_tokens_per_second = 0;
  // Longest pause in a stream that is still on time; 0: unknown.
  Duration pause_target{};

  auto operator<=>(const ServiceParameters&) const = default;
};

// Which ejected endpoints a request accepts, if there are no others.
enum class EjectedUse {
  kNone,
  kProbe,  // those that were ejected at least `min_ejection` ago
  kAny,
};

// The properties of a request that placement uses.
struct RequestProfile {
  ServiceId service;
  bool engine = false;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // at most
  std::vector<PartTokens> parts;
  Duration target{};  // to the first byte of an answer that is on time
  // Longest acceptable time to the first byte. If it can't be met, the caller
  // is better served by an immediate refusal.
  Duration max_first_byte_wait = std::chrono::seconds(2);
  // Part of the answer was sent to the caller, or the request may have run: it
  // is not refused because of a long queue.
  bool in_progress = false;
  StreamProgress progress;     // which endpoints may run it
  bool begins_stream = false;  // its first event would begin a stream
  // Longest queue that it may join at an endpoint; nullopt: by its target.
  std::optional<Duration> max_queue_wait;
  EjectedUse ejected = EjectedUse::kNone;
  // An endpoint whose software version is in doubt is better than none.
  bool accepts_doubted = false;
  // Differs between requests; the two endpoints to compare are drawn by it.
  uint64_t hash = 0;

  auto operator<=>(const RequestProfile&) const = default;
};

// The endpoint for a request. If `prefill_endpoint` is set, that engine
// prefills the prompt and hands it over to `endpoint`, which generates.
struct PlacementTarget {
  EndpointId endpoint;
  std::optional<EndpointId> prefill_endpoint;  // prefills the prompt
  std::optional<EndpointId> copy_from;         // source of the cached prefix
  int64_t new_tokens = 0;     // to prefill, at the first engine
  int64_t copied_tokens = 0;  // transferred from `copy_from`
  Duration expected{};        // time to the first byte

  auto operator<=>(const PlacementTarget&) const = default;
};

// What a refusal for overload was decided by.
struct OverloadEvidence {
  int64_t endpoints = 0;      // that may run the request
  Duration soonest{};         // until the first byte, at the soonest of them
  Duration queue{};           // of that, in the queue of the best one
  int64_t requests = 0;       // of this host, in progress at them
  int64_t peer_requests = 0;  // of other hosts, by their last reports

  auto operator<=>(const OverloadEvidence&) const = default;
};

// Why a request is refused, and after how long the caller may retry.
struct PlacementRefusal {
  std::string reason;
  Duration retry_after{};
  std::optional<OverloadEvidence> overload;

  auto operator<=>(const PlacementRefusal&) const = default;
};

// Reason of a refusal because endpoints have too long queues.
inline constexpr std::string_view kOverloaded = "overloaded";

// Reason of a refusal because endpoints take no more requests per second.
inline constexpr std::string_view kOverStatedRates =
    "over the endpoints' stated rates";

// Reason of a refusal because no endpoint takes a begun stream.
inline constexpr std::string_view kNoEndpointOfOrigin =
    "no endpoint of the stream's software version";

using PlacementResult = std::variant<PlacementTarget, PlacementRefusal>;

// Identifies a request at an endpoint; 0: none.
using WorkId = uint64_t;

// The work that a request puts on an endpoint.
struct SentWork {
  int64_t new_tokens = 0;     // to prefill
  int64_t copied_tokens = 0;  // transferred from another engine
  bool prefilled_elsewhere =
      false;  // prefilled by another engine and handed over

  auto operator<=>(const SentWork&) const = default;
};

// Rate estimates of each service's engines, exchanged between hosts.
using PaceByService = std::map<ServiceId, PaceFigures>;

// Scores endpoints and tracks what placement depends on: each endpoint's cache,
// queued prefill, running requests, failures and rates. One object per host.
class FleetPlacement {
 public:
  explicit FleetPlacement(PlacementOptions options)
      : options(std::move(options)), unmeasured(this->options.pace) {}

  // Replaces the list of endpoints. An endpoint whose process has restarted
  // starts with an empty cache and no load.
  void SetEndpoints(const FleetEndpoints& endpoints);

  // Restricts where streams may begin. Without it they may begin anywhere.
  void SetBeginnable(std::set<StreamOrigin> origins) {
    this->beginnable = std::move(origins);
  }

  // Sets the function that returns whether this host has an idle open
  // connection to an endpoint. If it isn't set, every endpoint counts as
  // connected.
  void SetConnected(std::function<bool(const FleetEndpoint&)> connected) {
    this->connected = std::move(connected);
  }

  // Sets the function that returns whether an endpoint may be another run than
  // the listed one, and so have another software version. Without it none is.
  void SetInDoubt(std::function<bool(const FleetEndpoint&)> is_in_doubt) {
    this->run_in_doubt = std::move(is_in_doubt);
  }

  // Replaces a service's parameters.
  void SetServiceParameters(const ServiceId& service,
                            const ServiceParameters& share);

  // Selects an endpoint that is not in `tried`, the endpoints at which the
  // request was already attempted.
  PlacementResult Place(Instant now,
                        const RequestProfile& shape,
                        const std::set<EndpointId>& tried) const;

  // Selects the engine that generates, after `prefill_endpoint` has prefilled
  // the prompt. It must be able to read the other one's KV cache.
  std::optional<EndpointId> PlaceAnswer(
      Instant now,
      const RequestProfile& shape,
      const FleetEndpoint& prefill_endpoint,
      const std::set<EndpointId>& tried) const;

  // Records that a request was refused and that capacity is expected after
  // `until_room`. Returns the Retry-After delay: at least as long as the
  // overload has lasted so far. Bursts that have lasted long tend to go on for
  // long, and a caller that retries before the end is refused again.
  Duration OnRefused(Instant now,
                     const ServiceId& service,
                     Duration until_room);

  // Records that a request was sent to an endpoint.
  WorkId OnSent(Instant now,
                const EndpointId& endpoint,
                const RequestProfile& shape,
                const SentWork& sent);

  // Records that the prompt is prefilled: the first byte of the answer arrived.
  void OnPrefillDone(Instant now, WorkId work);

  // Records that the request ended.
  void OnEnded(Instant now, WorkId work);

  // Records that an endpoint refused a call because of its role: the endpoint
  // list is stale.
  void OnWrongRole(Instant now, const EndpointId& endpoint);

  // Excludes endpoints that another host reports as unavailable. Replaces that
  // host's previous report.
  void SetUnavailable(const HostId& host, std::set<EndpointId> endpoints);

  // Updates an engine's cached part from a cache event; `tokens` 0: evicted.
  void OnCache(const EndpointId& endpoint, const PartTokens& part);

  // Clears the engine's cache contents, which are then reported anew.
  void ClearCache(const EndpointId& endpoint);

  // Whether the run is the listed run of its endpoint.
  bool IsListed(const EndpointRun& run) const;

  // The parts that an engine has confirmed as cached, least recently used
  // first.
  std::vector<PartTokens> ConfirmedParts(const EndpointId& endpoint) const;

  // Records the pause between two events of a stream.
  void OnPause(Instant now, const FleetEndpoint& endpoint, Duration pause);

  // Records whether a request succeeded, for the endpoint's failure share and
  // ejection.
  void OnOutcome(Instant now, const EndpointId& endpoint, bool good);

  // Forgets the failures of a service's endpoints, which are not their own
  // while this host can't reach any of them.
  void ForgetFailures(const ServiceId& service);

  // Records the duration of a plain service's call. Call before OnEnded().
  void OnPlainCallTime(Instant now,
                       const ServiceId& service,
                       WorkId work,
                       Duration took);

  // Replaces the outstanding work that another host has reported.
  void OnPeerWork(const HostId& host,
                  const std::vector<EndpointOutstanding>& work);
  void RemovePeer(Instant now, const HostId& host);

  // This host's outstanding work, to be reported to other hosts.
  std::vector<EndpointOutstanding> OwnWork() const;

  // Prompt tokens that an endpoint would have to prefill.
  int64_t NewTokens(const EndpointId& endpoint,
                    const RequestProfile& shape) const;

  // The rates that endpoints state. Place() chooses only endpoints whose rate
  // allows a request now, and OnSent() charges it.
  EndpointRates& Rates() { return this->rates; }
  const EndpointRates& Rates() const { return this->rates; }

  // The load that endpoints state, and how fast each of them works.
  EndpointLoads& Loads() { return this->loads; }
  const EndpointLoads& Loads() const { return this->loads; }

  // What other hosts have to be told of the speed of contended services'
  // endpoints (EndpointLoads::TakeUpdate), and all that is known here.
  EndpointSpeeds TakeSpeeds(Instant now, size_t peers);
  EndpointSpeeds SpeedsSnapshot() const;

  // Whether a service is contended, by ContentionMode.
  bool IsContended(const ServiceId& service) const;

  // Whether an endpoint accepts new requests.
  bool Usable(Instant now, const EndpointId& endpoint) const;

  // Milliseconds of an endpoint's time that a request takes: prefill of its own
  // tokens and its share of an engine while it generates, or a slot of a plain
  // service.
  double WorkMilliseconds(const RequestProfile& shape) const;

  // Requests of all hosts that run at an endpoint.
  int64_t Running(const EndpointId& endpoint) const;

  // Rate estimates of a service's engines.
  const EnginePace& Pace(const ServiceId& service) const;

  // Estimated duration of a plain service's call, in seconds.
  double PlainSeconds(const ServiceId& service) const;

  // Rate estimates measured on this host, for hosts that have just started, and
  // adoption of those that another host measured.
  PaceByService OwnPace() const;
  void AdoptPace(const PaceByService& received);

 private:
  struct State {
    FleetEndpoint endpoint;
    EngineCache cache;
    int64_t queued_tokens = 0;  // of this host, not yet prefilled
    int64_t running = 0;        // requests of this host
    double slowness = 1;        // measured prefill time / usual prefill time
    double failure_share = 0;
    int64_t consecutive_failures = 0;
    Duration ejection{};
    Instant ejected_until{};
    bool probed = false;  // a request was sent while it was ejected
    Instant wrong_role_until{};
  };
  struct Work {
    EndpointId endpoint;
    int64_t started = 0;  // the endpoint's start, from EndpointRun
    SentWork sent_work;
    int64_t queued_tokens_before =
        0;  // prefill tokens queued there when it was sent
    std::vector<PartTokens> parts;
    Instant sent_at{};
    bool had_free_slot = false;  // when it was sent
    bool prefilled = false;
  };
  // A series of refusals of a service's requests, without a longer gap.
  struct Overload {
    Instant since{};
    Instant last{};
  };
  // Pauses between the events of a service's streams.
  struct Pauses {
    double mean = 0;  // seconds
    int64_t count = 0;
    Instant last{};
  };
  // The engine of a software version that has the most of a prompt's start
  // cached.
  struct PrefixSource {
    EndpointId endpoint;
    ZoneId zone;
    int64_t tokens = 0;
  };
  struct ScoredEndpoint {
    EndpointId endpoint;
    double score = 0;
    double seconds = 0;        // to the first byte
    double queue_seconds = 0;  // of these, in the prefill queue
    int64_t new_tokens = 0;
    int64_t copied_tokens = 0;
    bool is_prefill = false;
    bool waits = false;  // the request would wait for others there
  };

  void CountWork(const EndpointRun& run, State& state) const;
  bool IsExcluded(Instant now,
                  const State& state,
                  const RequestProfile& shape) const;
  bool MayRunAt(const FleetEndpoint& endpoint,
                const RequestProfile& shape) const;
  bool CanAccept(Instant now,
                 const State& state,
                 const RequestProfile& shape,
                 const std::set<EndpointId>& tried) const;
  PlacementRefusal RefuseWithoutEndpoint(
      Instant now,
      const RequestProfile& shape,
      const std::set<EndpointId>& tried) const;
  using PrefixSources = std::map<SoftwareVersion, PrefixSource>;
  PrefixSources BestSources(const RequestProfile& shape) const;
  ScoredEndpoint ScoreEngine(Instant now,
                             const State& state,
                             const RequestProfile& shape,
                             const PrefixSource& source) const;
  void AddRendezvousPenalty(Instant now,
                            const RequestProfile& shape,
                            std::vector<ScoredEndpoint>& weighed) const;
  void KeepTwoIfLoadIsOld(Instant now,
                          const RequestProfile& shape,
                          std::vector<ScoredEndpoint>& weighed) const;
  static const ScoredEndpoint& BestOf(
      const std::vector<ScoredEndpoint>& weighed);
  std::optional<PlacementRefusal> RefuseIfTooLate(
      const RequestProfile& shape,
      const std::vector<ScoredEndpoint>& weighed,
      const ScoredEndpoint& best) const;
  ScoredEndpoint ScorePlainEndpoint(Instant now,
                                    const State& state,
                                    const RequestProfile& shape) const;
  int64_t CacheCapacity(const ServiceId& service) const;
  double TimeFactor(Instant now, const State& state, WorkKind kind) const;
  double Rate(Instant now, const State& state) const;
  double Penalty(const State& state, const RequestProfile& shape) const;
  double StreamPenalty(const State& state, const RequestProfile& shape) const;
  // Prefill of a prompt at an engine.
  struct PrefillEstimate {
    int64_t tokens = 0;        // to prefill
    double own_seconds = 0;    // seconds for these tokens
    double total_seconds = 0;  // seconds including the prefill queue
  };
  double DecodeStall(Instant now,
                     const State& state,
                     const RequestProfile& shape,
                     const PrefillEstimate& reading) const;
  double PauseShare(Instant now, const ServiceId& service, double target) const;
  EndpointOutstanding PeerWork(const EndpointId& endpoint) const;
  void AddPeerWork(const std::vector<EndpointOutstanding>& work, int64_t sign);
  EnginePace& MutablePace(const ServiceId& service);
  State* Find(const Work& work);
  bool IsUnavailable(const EndpointId& endpoint) const;
  void UpdatePace(Instant now, const Work& work, State& state);
  void UpdateSlowness(Instant now, const Work& work, State& state);
  OverloadEvidence EvidenceOf(const std::vector<ScoredEndpoint>& weighed,
                              const ScoredEndpoint& best) const;

  PlacementOptions options;
  EndpointRates rates;
  EndpointLoads loads;
  std::optional<std::set<StreamOrigin>> beginnable;
  std::function<bool(const FleetEndpoint&)> connected;
  std::function<bool(const FleetEndpoint&)> run_in_doubt;
  std::map<EndpointId, State> states;
  std::map<WorkId, Work> works;
  std::map<HostId, std::vector<EndpointOutstanding>> peers;
  std::map<EndpointId, EndpointOutstanding> peer_totals;  // sums over `peers`
  std::map<HostId, std::set<EndpointId>> unavailable;
  std::map<ServiceId, double> plain_seconds;
  std::map<ServiceId, ServiceParameters> service_parameters;
  std::map<ServiceId, Overload> overloads;
  std::map<ServiceId, Pauses> pauses;
  std::map<ServiceId, EnginePace> paces;
  EnginePace unmeasured;  // of services without measurements
  WorkId last_work = 0;
};

}  // namespace hickorystand
