// Which endpoint takes a request, and whether it can be served at all.
//
// An engine's prompt work decides: prompts are long, share most of their parts,
// and ask for nearly all that the engines can read, or more. So requests go
// where their prompt's parts are kept, as long as the work that waits there
// doesn't cost more than reading them again somewhere else.
//
//   score = (queued prefill tokens + the prompt's cache misses) / prefill rate
//
// The rates are learned as requests run (engine_pace.h). What another engine
// has cached is transferred from there rather than recomputed. Without cache
// information all hosts rank engines alike, by rendezvous hashing.
//
// Index
//   PlacementOptions, ServiceShare  how it is set
//   WorkShape                       a request as far as placing goes
//   Placed, Refused, Verdict        where to, or why not
//   FleetPlacement                  the decision

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
#include "decisions/engine_cache.h"
#include "decisions/engine_pace.h"
#include "decisions/fleet_endpoint.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// How placing is set.
struct PlacementOptions {
  EnginePaceOptions pace;  // of engines that weren't measured yet
  // Prompt tokens that an engine keeps, where the configuration doesn't say.
  int64_t cache_tokens = 420000;
  ZoneId zone;  // of this host
  // What another zone costs in score, as a share of the request's target
  // latency: bodies that cross zones are billed.
  double other_zone = 0.025;
  // What an endpoint without an open connection from this host costs in score,
  // as a share of the target latency: new connections are billed.
  double new_connection = 0.03;
  // What handing a prefilled prompt to an engine of another zone costs in
  // score, as a share of the time that prefilling it takes: the transfer takes
  // twice as long, and is billed more.
  double other_zone_handover = 0.15;
  // Each shared part ranks the engines by rendezvous hashing, the same on every
  // host, so that hosts without cache information choose the same engine. Each
  // rank below the first costs the time to prefill this many tokens, or all
  // that are shared, up to so many ranks.
  int64_t rendezvous_rank_penalty_tokens = 1500;
  int64_t rendezvous_ranks = 4;
  // Minimum KV transfer, in tokens.
  int64_t minimum_kv_transfer = 512;
  // Weight of recomputing a cached prefix: it also takes engine time from other
  // requests.
  double miss_weight = 1.5;
  // Prefill on a decode engine stalls its streams; what each stalled stream
  // adds to the score, as a share of the prefill time.
  double decode_stall_weight = 0.15;
  // A stall longer than this share of the allowed pause makes all its streams
  // late, which costs `pause_penalty` times that pause.
  double longest_decode_stall = 0.67;
  double pause_penalty = 1.67;
  // Mean pause in streams, as a share of the allowed pause, from which long
  // prefills on decode engines cost something, and at which they cost
  // `pause_penalty` times that pause.
  double pause_free = 0.5;
  double pause_full = 1;
  // Prompts up to this many tokens are exempt from it.
  int64_t short_prompt = 600;
  // What an engine with all slots taken costs in score when one more request is
  // to run there, as a share of the target latency; half as many taken cost a
  // quarter of it.
  double full_slots = 0.5;
  // What generating at a spot engine costs in score, as a share of the target
  // latency: when it is reclaimed, its streams break. It also keeps spot
  // engines free to take the other role.
  double spot_streams = 0.1;
  // Longest wait for other prompts' prefill, as a share of the target latency.
  // Under overload a longer queue only makes every request in it late.
  double longest_wait = 0.75;
  // How far an engine's measured slowness may go from what is usual.
  double least_slowness = 0.6;
  double most_slowness = 5;
  // An engine that refused a call for its role is left alone for so long: the
  // change shows in its next heartbeat and the next reading of the list.
  Duration role_unknown_for = std::chrono::milliseconds(1800);
  // What a failure of late costs in score, at a failure share of 1.
  Duration failure_penalty = std::chrono::milliseconds(1500);
  // An endpoint that failed so often in a row gets nothing for a while.
  int64_t failures_to_eject = 3;
  Duration eject_for = std::chrono::seconds(1);
  Duration eject_at_most = std::chrono::seconds(8);
  // Time of a plain service's call until one was measured.
  Duration plain_time = std::chrono::milliseconds(60);
  // Calls that an endpoint of a plain service lets wait for each slot.
  double plain_queue = 3;
};

// What a service's endpoints allow to this host.
struct ServiceShare {
  // Requests that this host may have at one endpoint at once.
  int64_t requests_at_once = INT64_MAX;
  // Prompt tokens that an engine keeps for later prompts; 0: not known.
  int64_t cache_tokens = 0;
  // Tokens a second that engines copy from each other; 0: not known.
  double copied_tokens = 0;
  // The longest pause in a stream that is on time; 0: not known.
  Duration pause_target{};

  auto operator<=>(const ServiceShare&) const = default;
};

// A request as far as placing goes.
struct WorkShape {
  ServiceId service;
  bool engine = false;
  int64_t prompt_tokens = 0;
  std::vector<PartTokens> parts;
  Duration target{};  // to the first byte, for an answer that is on time
  // The longest that the first byte may take; beyond it, refusing at once
  // serves the caller better.
  Duration patience = std::chrono::seconds(2);
  // Its caller has got a part of the answer, or it may have run: a long queue
  // is no reason to give it up.
  bool begun = false;

  auto operator<=>(const WorkShape&) const = default;
};

// Where a request goes.
struct Placed {
  EndpointId endpoint;
  std::optional<EndpointId> reader;     // reads the prompt first, if another
  std::optional<EndpointId> copy_from;  // keeps more of the prompt's start
  int64_t new_tokens = 0;               // that the first of them has to read
  int64_t copied_tokens = 0;            // that it fetches
  Duration expected{};                  // to the first byte

  auto operator<=>(const Placed&) const = default;
};

// Why a request can't be served, and when it may be.
struct Refused {
  std::string reason;
  Duration retry_after{};

  auto operator<=>(const Refused&) const = default;
};

using Verdict = std::variant<Placed, Refused>;

// Names one piece of work at an endpoint.
using WorkId = uint64_t;

// What an endpoint was sent.
struct SentWork {
  int64_t new_tokens = 0;     // that it has to read
  int64_t copied_tokens = 0;  // that it fetches from another engine
  bool prompt_read = false;   // by another engine, which hands it over

  auto operator<=>(const SentWork&) const = default;
};

// What one host tells another of a service's engines.
using PaceByService = std::map<ServiceId, PaceFigures>;

// Everything that placing knows, on one host.
class FleetPlacement {
 public:
  explicit FleetPlacement(PlacementOptions options)
      : options(std::move(options)), unmeasured(this->options.pace) {}

  // All endpoints there are. Those whose process is another one than before
  // start with nothing kept.
  void SetEndpoints(const FleetEndpoints& endpoints);

  // Tells whether this host has an open connection to an endpoint that is idle.
  // Without it none counts as new.
  void SetConnected(std::function<bool(const FleetEndpoint&)> connected) {
    this->connected = std::move(connected);
  }

  // What a service allows from now on.
  void SetServiceShare(const ServiceId& service, const ServiceShare& share);

  // Chooses for a request that was not at `tried` before.
  Verdict Place(Instant now,
                const WorkShape& shape,
                const std::set<EndpointId>& tried) const;

  // Chooses who answers once `reader` has read the prompt.
  std::optional<EndpointId> PlaceAnswer(
      Instant now,
      const WorkShape& shape,
      const EndpointId& reader,
      const std::set<EndpointId>& tried) const;

  // A request was refused with room expected after `until_room`; the time after
  // which its caller should come back. Bursts that have lasted for long go on
  // for long, and who comes back before the end is refused again.
  Duration OnRefused(Instant now,
                     const ServiceId& service,
                     Duration until_room);

  // A request was sent.
  WorkId OnSent(Instant now,
                const EndpointId& endpoint,
                const WorkShape& shape,
                const SentWork& sent);

  // Its prompt is read: the first byte of the answer came.
  void OnPromptRead(Instant now, WorkId work);

  // It is over.
  void OnEnded(Instant now, WorkId work);

  // An endpoint refused a call that its role doesn't allow: the list is behind.
  void OnWrongRole(Instant now, const EndpointId& endpoint);

  // Endpoints that another host says must get nothing now. Replaces what that
  // host said before.
  void SetAway(const HostId& host, std::set<EndpointId> endpoints);

  // What an engine keeps of a part changed; `tokens` 0: nothing is left.
  void OnCache(const EndpointId& endpoint, const PartTokens& part);

  // The engine's cache is to be learned anew.
  void ForgetCache(const EndpointId& endpoint);

  // Whether this run of an endpoint is the one that is listed.
  bool Knows(const EndpointRun& run) const;

  // What an engine is known to keep, least recently used first.
  std::vector<PartTokens> ConfirmedParts(const EndpointId& endpoint) const;

  // A stream of a service paused for so long between two events.
  void OnPause(Instant now, const ServiceId& service, Duration pause);

  // What became of a request at an endpoint, for its failure share.
  void OnOutcome(Instant now, const EndpointId& endpoint, bool good);

  // A plain service's call took so long.
  void OnPlainTime(const ServiceId& service, Duration took);

  // Work of other hosts, which replaces what the host told before.
  void OnPeerWork(const HostId& host,
                  const std::vector<EndpointOutstanding>& work);
  void ForgetPeer(const HostId& host);

  // This host's work, for the others.
  std::vector<EndpointOutstanding> OwnWork() const;

  // The prompt tokens that an endpoint would have to read.
  int64_t NewTokens(const EndpointId& endpoint, const WorkShape& shape) const;

  // Whether an endpoint may get anything new.
  bool Usable(Instant now, const EndpointId& endpoint) const;

  // Requests of all hosts that run at an endpoint.
  int64_t Running(const EndpointId& endpoint) const;

  // How fast a service's engines are.
  const EnginePace& Pace(const ServiceId& service) const;

  // What was measured here, for hosts that have just started, and what another
  // host has measured.
  PaceByService OwnPace() const;
  void AdoptPace(const PaceByService& told);

 private:
  struct State {
    FleetEndpoint endpoint;
    EngineCache cache;
    int64_t waiting_tokens = 0;  // of this host's work, not yet read
    int64_t running = 0;         // this host's work
    double slowness = 1;         // measured reading time over what is usual
    double failure_share = 0;
    int64_t failures_in_row = 0;
    Duration ejection{};
    Instant out_until{};
  };
  struct Work {
    EndpointId endpoint;
    int64_t started = 0;  // the endpoint's start, as EndpointRun has it
    SentWork what;
    int64_t tokens_before = 0;  // that waited there before it
    std::vector<PartTokens> parts;
    Instant sent{};
    bool read = false;
  };
  // Refusals of a service, one soon after the other.
  struct Overload {
    Instant since{};
    Instant last{};
  };
  // Pauses between the events of a service's streams.
  struct Pauses {
    double mean = 0;  // seconds
    Instant last{};
  };
  // An engine that keeps the start of a prompt.
  struct Source {
    EndpointId endpoint;
    ZoneId zone;
    int64_t tokens = 0;
  };
  struct Weighed {
    EndpointId endpoint;
    double score = 0;
    double seconds = 0;  // to the first byte
    double waiting = 0;  // of that, for what was sent before
    int64_t new_tokens = 0;
    int64_t copied_tokens = 0;
    bool reader = false;
  };

  bool Takes(Instant now,
             const State& state,
             const WorkShape& shape,
             const std::set<EndpointId>& tried) const;
  Source BestSource(const WorkShape& shape) const;
  Weighed WeighEngine(Instant now,
                      const State& state,
                      const WorkShape& shape,
                      const Source& source) const;
  void AddRendezvousPenalty(const WorkShape& shape,
                            std::vector<Weighed>& weighed) const;
  std::optional<Refused> RefuseIfTooLate(const WorkShape& shape,
                                         const std::vector<Weighed>& weighed,
                                         const Weighed& best) const;
  Weighed WeighPlain(const State& state, const WorkShape& shape) const;
  int64_t CacheRoom(const ServiceId& service) const;
  double Rate(const State& state) const;
  double Penalty(const State& state, const WorkShape& shape) const;
  double StreamPenalty(const State& state, const WorkShape& shape) const;
  // What a prompt's reading takes at an engine.
  struct Reading {
    int64_t tokens = 0;  // new ones
    double own = 0;      // seconds for those
    double all = 0;      // with what waits before them
  };
  double DecodeStall(Instant now,
                     const State& state,
                     const WorkShape& shape,
                     const Reading& reading) const;
  double PauseShare(Instant now, const ServiceId& service, double target) const;
  EndpointOutstanding PeerWork(const EndpointId& endpoint) const;
  void AddPeerWork(const std::vector<EndpointOutstanding>& work, int64_t sign);
  EnginePace& PaceOf(const ServiceId& service);
  State* Find(const Work& work);
  bool IsAway(const EndpointId& endpoint) const;
  void LearnPace(Instant now, const Work& work, State& state);
  void LearnSlowness(Duration took, const Work& work, State& state);
  double PlainSeconds(const ServiceId& service) const;

  PlacementOptions options;
  std::function<bool(const FleetEndpoint&)> connected;
  std::map<EndpointId, State> states;
  std::map<WorkId, Work> works;
  std::map<HostId, std::vector<EndpointOutstanding>> peers;
  std::map<EndpointId, EndpointOutstanding> peer_totals;  // of all of them
  std::map<HostId, std::set<EndpointId>> away;
  std::map<ServiceId, double> plain_seconds;
  std::map<ServiceId, ServiceShare> shares;
  std::map<ServiceId, Overload> overloads;
  std::map<ServiceId, Pauses> pauses;
  std::map<ServiceId, EnginePace> paces;
  EnginePace unmeasured;  // of services that nothing was sent to yet
  WorkId last_work = 0;
};

}  // namespace hickorystand
