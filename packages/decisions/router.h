// Chooses the endpoint for one request.
//
// Each endpoint is scored by the expected time to first token: the time to
// prefill the prompt tokens queued there and the part of the prompt that is not
// in its prefix cache. Load reports lag, so the queue is estimated from the
// requests that this host and its peers have in flight. To this the score adds
// the engine time that the request takes, so that long answers go where
// decoding is cheap. Among endpoints with nearly equal scores the choice is
// random, so that hosts with the same stale view do not all send to the same
// endpoint.
//
// A request is a poor fit for an endpoint if it would take much less engine
// time elsewhere: a long answer on a prefill endpoint, or a long prompt on a
// decode endpoint. Poor fits may use only a part of an endpoint's batch, so
// that there is room for requests that fit, and none of it while such requests
// are queued.
//
// Index
//   RouterOptions        switches and limits
//   RouteQuery, Route    input and result of Router::Choose()
//   EndpointView         the state of one endpoint
//   Router

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/digest.h"
#include "decisions/dispatcher.h"
#include "decisions/prefix_cache.h"
#include "decisions/request.h"
#include "decisions/stream_origin.h"
#include "kernel/time.h"

namespace hickorystand {

// Parameters of routing. The switches exist for benchmarks and mutation tests.
struct RouterOptions {
  DataCentreId data_centre;
  uint64_t seed = 1;
  bool use_prefix_cache = true;
  bool use_peer_digests = true;
  bool choose_among_equals = true;
  bool eject_outliers = true;
  // Scores within this share plus this time of the best count as equal.
  double near_equal_share = 0.15;
  double near_equal_seconds = 0.02;
  // Penalty for an endpoint in another data centre.
  double remote_penalty_seconds = 0.05;
  // Share of the engine's batch that requests of class kBatch may fill.
  double batch_occupancy = 0.85;
  // An endpoint with more queued prefill time than this is full.
  double max_prefill_seconds = 1.0;
  // A request fits where it takes at most this multiple of the least engine
  // time. Others may fill only a share of the batch and of the prefill queue.
  double max_fit_ratio = 1.4;
  double misfit_occupancy = 0.7;
  double misfit_prefill_seconds = 0.3;
  // How long a full endpoint refuses poor fits after a fitting request needed
  // it.
  Duration reserve_time = std::chrono::seconds(10);
  // Requests sent per slot of the engine's batch.
  double overbook_ratio = 1.1;

  auto operator<=>(const RouterOptions&) const = default;
};

// A request to route, and the constraints on its endpoint.
struct RouteQuery {
  const Request* request = nullptr;
  bool suspect = false;          // run apart from other suspected requests
  bool ignore_room = false;      // can't be queued: full endpoints qualify too
  double least_work = 0;         // from LeastWork(); 0: don't check the fit
  std::set<EndpointId> avoid;    // earlier attempts failed there
  std::set<ZoneId> avoid_zones;  // avoided if there is a choice
  StreamProgress progress;       // of the answer
};

// The chosen endpoint.
struct Route {
  EndpointId endpoint;
  double seconds = 0;         // expected time to the first token
  int64_t missed_tokens = 0;  // prompt tokens not in the prefix cache
  bool probe = false;         // first request after an ejection or a crash
  std::vector<Candidate> runners_up;
  std::string reason;

  bool operator==(const Route&) const = default;
};

// The state of one endpoint as seen by this host: its configuration, its last
// load report, and the requests in flight there.
struct EndpointView {
  Endpoint endpoint;
  LoadReport report;
  bool reported = false;
  bool configured = false;
  uint64_t incarnation = 0;    // 0: nothing received yet
  std::set<uint64_t> retired;  // incarnations that have ended
  std::set<uint64_t> leaving;  // incarnations that are leaving
  PrefixCache cache;
  int64_t own_requests = 0;
  int64_t own_prompt_tokens = 0;  // sent, before the first token
  int64_t own_suspects = 0;
  int64_t peer_requests = 0;
  int64_t peer_prompt_tokens = 0;
  double unattributed_requests =
      0;                // running, but not sent by this host or a peer
  double slowness = 1;  // measured / expected time, smoothed
  Instant slowness_at{};
  int64_t failures = 0;   // consecutive
  int64_t ejections = 0;  // consecutive
  Instant ejected_until{};
  Instant reserved_until{};  // until then poor fits are not sent
  bool down = false;         // crashed; only a probe may be sent
  bool probing = false;      // a probe is in flight

  // Whether its current incarnation is leaving, or it has been removed from the
  // configuration.
  bool Leaving() const;
  bool Ejected(Instant now) const { return now < this->ejected_until; }
  // Whether it has not answered a request since it was last ejected.
  bool OnProbation() const { return this->ejections > 0 || this->down; }
  double PrefillRate() const;
  double DecodeRate() const;
  double Capacity() const;
  // Estimated requests in flight, from all hosts.
  double EstimatedRequests() const;
  // Time to prefill the queued prompts, if the engine did nothing else.
  double QueuedPrefillSeconds() const;
};

// Tracks the endpoints of all services and chooses one for each request.
// Reports and digests are passed in as they arrive; out-of-date ones are
// ignored.
class Router {
 public:
  explicit Router(const RouterOptions& options);

  void OnConfiguration(const Configuration& configuration);
  void OnLoad(Instant now, const LoadReport& report);
  void OnCache(const CacheEvent& event);
  void OnDigest(Instant now, const Digest& digest);
  void OnHostLost(const HostId& host);

  // The best endpoint with room, or none. Uses the random generator.
  std::optional<Route> Choose(Instant now, const RouteQuery& query);

  // The least engine time, in seconds, that the request takes on any endpoint.
  // Endpoints that fit but have no room are reserved for fitting requests for a
  // while.
  double LeastWork(Instant now, const Request& request);

  // Whether any endpoint has room. A cheap check before Choose().
  bool HasRoomFor(Instant now, const ServiceId& service) const;

  // The origin of answers that an endpoint begins, by its last report; nullopt
  // if it is unknown. All endpoints that state no version have the same.
  std::optional<StreamOrigin> OriginOf(const EndpointId& endpoint) const;

  // Whether any endpoint that is not leaving can continue such answers.
  bool HasOrigin(const StreamOrigin& origin) const;

  // Whether the service has any endpoint that is not leaving.
  bool HasEndpoint(const ServiceId& service) const;

  // Whether an endpoint outside `avoid` can take the request, now or once it
  // has room. Leaving and ejected endpoints do not count.
  bool HasAlternative(Instant now,
                      const Request& request,
                      const std::set<EndpointId>& avoid,
                      const StreamProgress& progress = {}) const;

  // Least expected time to first token, full endpoints included. Empty if no
  // endpoint is available.
  std::optional<double> BestFirstTokenSeconds(Instant now,
                                              const Request& request) const;

  // Events of the attempts of this host. Every OnSent() is followed by one
  // OnEnded().
  void OnSent(const EndpointId& endpoint,
              const Request& request,
              const Route& route,
              bool suspect);
  void OnFirstToken(Instant now,
                    const EndpointId& endpoint,
                    int64_t missed_tokens,
                    double expected_seconds,
                    double seconds);
  void OnEnded(Instant now,
               const EndpointId& endpoint,
               AttemptOutcome outcome,
               int64_t waiting_prompt_tokens,
               bool suspect,
               bool probe);

  const EndpointView* Find(const EndpointId& endpoint) const;
  // Cost of a generated token in prompt tokens, from the reported rates.
  double DecodeWeight() const { return this->decode_weight; }
  void FillDigest(Digest& digest) const;

 private:
  bool MayContinueAt(const EndpointId& endpoint,
                     const StreamProgress& progress) const;
  struct ScoredEndpoint {
    const EndpointView* view;
    double seconds;  // to the first token
    double work;     // engine time that the request takes
    double score;    // seconds plus work weighted by occupancy
    int64_t missed;
  };

  EndpointView& View(const EndpointId& endpoint);
  void StartIncarnation(EndpointView& view, uint64_t incarnation);
  bool Usable(Instant now,
              const EndpointView& view,
              const RouteQuery& query) const;
  bool HasRoom(const EndpointView& view, RequestClass request_class) const;
  ScoredEndpoint Score(Instant now,
                       const EndpointView& view,
                       const Request& request) const;
  bool FitsOrHasSpareCapacity(Instant now,
                              const ScoredEndpoint& scored,
                              const RouteQuery& query) const;
  double Slowness(Instant now, const EndpointView& view) const;
  const ScoredEndpoint& PickAmongEquals(
      const std::vector<ScoredEndpoint>& sorted);
  void Eject(Instant now, EndpointView& view, Duration base);
  void CountPeer(const std::vector<EndpointOutstanding>& outstanding,
                 int64_t sign);

  RouterOptions options;
  std::mt19937_64 random;
  std::map<EndpointId, EndpointView> views;
  // Pointers into `views`, which has stable references.
  std::map<ServiceId, std::vector<EndpointView*>> by_service;
  std::map<HostId, std::vector<EndpointOutstanding>> peers;
  double decode_weight = 4;
};

}  // namespace hickorystand
