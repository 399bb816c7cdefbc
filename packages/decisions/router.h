// Chooses the endpoint for one request.
//
// Each endpoint is scored by the expected time to the first token there: the
// prompt tokens that wait before it, by a load estimate that holds what this
// host and its peers have sent since the endpoint's lagging report, and the
// part of the prompt that its prefix cache misses. On top comes the time that
// the request keeps the endpoint busy, so that long answers go where decoding
// is cheap. Among near-equals the choice is random, so that hosts which share
// a stale view don't all send to the same endpoint.
//
// A request that would cost much less elsewhere fits an endpoint badly: a long
// answer on an endpoint that leans to prompts, or a long prompt on one that
// leans to answers. Such work gets only a part of the endpoint's places, so
// that there is room for the work that fits when it comes, and none while such
// work waits.
//
// Index
//   RouterOptions         switches and limits
//   RouteQuery, Route     question and answer
//   EndpointView          what is known of one endpoint
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
#include "kernel/time.h"

namespace hickorystand {

// How routing is set. The switches exist for benches and mutation tests.
struct RouterOptions {
  DataCentreId data_centre;
  uint64_t seed = 1;
  bool use_prefix_cache = true;
  bool use_peer_digests = true;
  bool choose_among_equals = true;
  bool eject_outliers = true;
  double near_equal_share = 0.15;  // scores this close are equal
  double near_equal_seconds = 0.02;
  double remote_seconds = 0.05;      // what another data centre costs
  double batch_occupancy = 0.85;     // batch work leaves the rest free
  double max_prefill_seconds = 1.0;  // queued at an endpoint; then it is full
  double fit = 1.4;  // times the least work anywhere that still fits
  double misfit_occupancy = 0.7;  // of the places, for what doesn't fit
  double misfit_prefill_seconds = 0.3;
  Duration wanted = std::chrono::seconds(10);  // nothing that doesn't fit
  double overbook = 1.1;  // requests sent per place in the batch

  auto operator<=>(const RouterOptions&) const = default;
};

// A request that needs an endpoint.
struct RouteQuery {
  const Request* request = nullptr;
  bool suspect = false;          // keep apart from other suspects
  bool ignore_room = false;      // it can't wait: take the best there is
  double least_work = 0;         // from LeastWork(); 0: any fit will do
  std::set<EndpointId> avoid;    // has failed there
  std::set<ZoneId> avoid_zones;  // if there is a choice
};

// Where it should go.
struct Route {
  EndpointId endpoint;
  double seconds = 0;  // expected time to the first token
  int64_t missed_tokens = 0;
  bool probe = false;
  std::vector<Candidate> runners_up;
  std::string reason;

  bool operator==(const Route&) const = default;
};

// What one host knows of one endpoint.
struct EndpointView {
  Endpoint endpoint;
  LoadReport report;
  bool reported = false;
  bool configured = false;
  uint64_t incarnation = 0;    // 0: never heard of
  std::set<uint64_t> retired;  // incarnations that are over
  std::set<uint64_t> leaving;  // incarnations that are leaving
  PrefixCache cache;
  int64_t own_requests = 0;
  int64_t own_prompt_tokens = 0;  // sent, first token not seen yet
  int64_t own_suspects = 0;
  int64_t peer_requests = 0;
  int64_t peer_prompt_tokens = 0;
  double hidden_requests = 0;  // running there, sent by nobody we hear of
  double slowness = 1;         // measured over expected time, smoothed
  Instant slowness_at{};
  int64_t failures = 0;   // in a row
  int64_t ejections = 0;  // in a row
  Instant ejected_until{};
  Instant wanted_until{};  // work that fits waits for room
  bool down = false;       // crashed; only a probe may go there
  bool probing = false;    // a probe is on its way

  // Leaving in its present life, or taken out of the configuration.
  bool Leaving() const;
  bool Ejected(Instant now) const { return now < this->ejected_until; }
  // Hasn't answered anything since it was ejected.
  bool OnTrial() const { return this->ejections > 0 || this->down; }
  double PrefillRate() const;
  double DecodeRate() const;
  double Capacity() const;
  double Requests() const;
  // To compute the prompts that wait there, were it to do nothing else.
  double WaitingSeconds() const;
};

// All endpoints as one host sees them.
class Router {
 public:
  explicit Router(const RouterOptions& options);

  void OnConfiguration(const Configuration& configuration);
  void OnLoad(Instant now, const LoadReport& report);
  void OnCache(const CacheEvent& event);
  void OnDigest(Instant now, const Digest& digest);
  void OnHostGone(const HostId& host);

  // The best endpoint with room, or none. Draws random numbers.
  std::optional<Route> Choose(Instant now, const RouteQuery& query);

  // The least time of an endpoint that the request takes anywhere.
  // Endpoints that fit it but have no room are noted as wanted.
  double LeastWork(Instant now, const Request& request);

  // Whether any endpoint has room; cheap, to be asked before Choose().
  bool HasRoomFor(Instant now, const ServiceId& service) const;

  // Whether any endpoint serves this now or soon.
  bool HasEndpoint(const ServiceId& service) const;

  // Whether an endpoint other than these may take a request, now or once it has
  // room: none that leaves or that is ejected.
  bool HasOther(Instant now,
                const Request& request,
                const std::set<EndpointId>& avoid) const;

  // Least expected time to a first token, room or not; none: no endpoint.
  std::optional<double> BestSeconds(Instant now, const Request& request) const;

  // Attempts of this host. Every OnSent() is followed by one OnEnded().
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
  // Generated tokens weigh this many prompt tokens, by reported rates.
  double DecodeWeight() const { return this->decode_weight; }
  void FillDigest(Digest& digest) const;

 private:
  struct Scored {
    const EndpointView* view;
    double seconds;  // to the first token
    double work;     // time of the endpoint that it takes
    double score;    // both, the work by how full the endpoint is
    int64_t missed;
  };

  EndpointView& View(const EndpointId& endpoint);
  void Adopt(EndpointView& view, uint64_t incarnation);
  bool Usable(Instant now,
              const EndpointView& view,
              const RouteQuery& query) const;
  bool HasRoom(const EndpointView& view, RequestClass request_class) const;
  Scored Score(Instant now,
               const EndpointView& view,
               const Request& request) const;
  bool FitsOrHasSpare(Instant now,
                      const Scored& scored,
                      const RouteQuery& query) const;
  double Slowness(Instant now, const EndpointView& view) const;
  const Scored& PickAmongEquals(const std::vector<Scored>& sorted);
  void Eject(Instant now, EndpointView& view, Duration base);
  void CountPeer(const std::vector<EndpointOutstanding>& outstanding,
                 int64_t sign);

  RouterOptions options;
  std::mt19937_64 random;
  std::map<EndpointId, EndpointView> views;
  // Into `views`, whose elements stay where they are.
  std::map<ServiceId, std::vector<EndpointView*>> by_service;
  std::map<HostId, std::vector<EndpointOutstanding>> peers;
  double decode_weight = 4;
};

}  // namespace hickorystand
