// The relay: takes callers' requests, decides where each runs, forwards it, and
// passes the answer on. One relay serves a whole host, on one task.
//
//   FleetRelay relay(settings, clock, codec, metrics);
//   relay.SetConfiguration(configuration);      // whenever a newer one is read
//   relay.SetEndpoints(endpoints);              // whenever they are listed
//   relay.ProveFresh(asked_at);                 // whenever the store answered
//   relay.Listen(address);
//
// Index
//   RelaySettings   how it behaves
//   RelayHooks      what it tells its owner
//   FleetRelay           the relay

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "decisions/answer_times.h"
#include "decisions/decaying_rate.h"
#include "decisions/fleet_placement.h"
#include "decisions/stop_schedule.h"
#include "decisions/suspects.h"
#include "decisions/window_budget.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "limits/limit_gate.h"
#include "relay/cache_feed.h"
#include "relay/caller_server.h"
#include "relay/endpoint_pool.h"
#include "relay/fleet_configuration.h"
#include "relay/forward_receiver.h"
#include "relay/message_codec.h"

namespace hickorystand {

// How a relay behaves.
struct RelaySettings {
  PlacementOptions placement;
  WindowBudgetOptions budget;
  // How old the proof that the configuration is the newest may be when a key
  // is used. Beyond it the key may have been revoked.
  Duration key_proof_limit = std::chrono::milliseconds(4200);
  // Share of an endpoint's connections that all hosts together use for
  // requests; cache events and freed prompts need some as well.
  double connections_used = 0.8;
  // A first byte that takes longer than this many times the route's target and
  // the expected time, and than the floor, is taken for a hung endpoint; what
  // may run again then goes elsewhere.
  double stall_factor = 2.5;
  Duration stall_floor = std::chrono::milliseconds(1300);
  // The longest wait for the first byte that callers of streams put up with.
  Duration first_byte_patience = std::chrono::milliseconds(2000);
  // A prompt this long is worth reading at one engine for another.
  int64_t split_from_tokens = 600;
};

// What a relay tells its owner.
struct RelayHooks {
  // A request of an account began to run at an endpoint.
  std::function<void(const AccountId&)> on_begun;
};

class RelayedRequest;

class FleetRelay {
 public:
  FleetRelay(RelaySettings settings,
             const Clock& clock,
             const MessageCodec& codec,
             Metrics& metrics,
             RelayHooks hooks);
  ~FleetRelay();
  FleetRelay(const FleetRelay&) = delete;
  FleetRelay& operator=(const FleetRelay&) = delete;

  // Accepts callers.
  Result<int> Listen(const SocketAddress& address);

  // Serves a request, whoever read it.
  void Serve(const CallerExchangePtr& caller, const RequestOrigin& origin);

  // Who decides whether a caller's request is served here; null: it always is.
  void SetForward(CallerHandler handler) { this->forward = std::move(handler); }

  // Who holds requests to the limits of client accounts; null: nobody does.
  void SetLimitGate(LimitGate* gate) { this->limit_gate = gate; }

  // Bounds on callers, while no configuration is known here.
  void SetCallerLimits(const CallerLimits& limits) {
    this->server.SetLimits(limits);
  }

  // A configuration; one that is older than the one in force is ignored.
  void SetConfiguration(FleetConfigurationPtr configuration);

  // All endpoints there are.
  void SetEndpoints(const FleetEndpoints& endpoints);

  // Which engines' cache events this host follows for all schedulers, and what
  // others have heard.
  CacheFeed& Caches() { return this->cache_feed; }

  // Follows engines anew, since other hosts may have come or gone.
  void RefreshCaches() { this->cache_feed.SetEndpoints(this->endpoints); }

  // How many hosts are listed, which share the retry budget and the endpoints'
  // connections.
  void SetHosts(int64_t listed);

  // The configuration in force was the newest at that moment.
  void ProveFresh(Instant at);

  // Stops serving until the configuration has been proven and the endpoints
  // have been listed again.
  void RequireRefresh();

  // Changes the retry budget and the age that proof may have. Placing keeps
  // what it has learned, so its options take a start.
  void SetLimits(const WindowBudgetOptions& retries, Duration proof_limit);

  // Each answer is the last of its connection from now on. A request that can't
  // be finished in time is refused as not run; what is unfinished when the
  // schedule ends gets its final answer then.
  void StartDrain(const StopSchedule& schedule);

  // Whether the kernel has taken all answers to callers connected here.
  bool AllSent() const { return this->server.AllSent(); }

  // Takes no request any more: the process ends.
  void StopReading() { this->server.StopReading(); }

  // Logs each request that is unfinished at the end of the process.
  void LogUnfinished();

  // Whether requests can be served: a configuration and endpoints are known,
  // and both are newer than the last RequireRefresh.
  bool Ready() const;

  // Whether a key may be used now, by the age of the proof.
  bool KeysProven() const;

  // Time since the configuration in force was last confirmed to be the newest;
  // nullopt if it never was.
  std::optional<Duration> ProofAge() const;

  // Returns 0 before the first configuration.
  int64_t ConfigurationVersion() const {
    return this->configuration ? this->configuration->version : 0;
  }

  // Requests that wait for an answer, of callers here and at other hosts.
  size_t Waiting() const {
    return std::max(this->server.Waiting(), this->requests.size());
  }
  const FleetConfigurationPtr& Configuration() const {
    return this->configuration;
  }
  const FleetEndpoints& Endpoints() const { return this->endpoints; }

  // Prompt tokens a second that this host's requests ask engines to prefill.
  std::map<ServiceId, double> PrefillPerSecond() const;

  FleetPlacement& Placement() { return this->placement; }
  Suspects& SuspectList() { return this->suspects; }
  WindowBudget& Budget() { return this->budget; }

 private:
  friend class RelayedRequest;

  // Whether a configuration is known and has been proven, and the endpoints
  // have been listed, since the last RequireRefresh.
  bool Refreshed() const;

  // Tells placing what each service allows to this host.
  void ShareServices();

  // A prompt of so many new tokens was sent to be read.
  void NoteReading(const ServiceId& service, int64_t tokens);

  // Time since the stop signal, for logs; empty if there was none.
  std::string StoppingText() const;

  // Line of a decision that touches a request, bounded in number.
  void Log(LogLevel level,
           const RequestId& request,
           std::string_view sentence,
           std::initializer_list<LogField> fields);

  RelaySettings settings;
  const Clock* clock;
  const MessageCodec* codec;
  Metrics* metrics;
  RelayHooks hooks;
  CallerServer server;
  CallerHandler forward;
  EndpointPool pool;
  FleetPlacement placement;
  CacheFeed cache_feed;
  WindowBudget budget;
  LimitGate* limit_gate = nullptr;
  Suspects suspects;
  LogLimiter log_limiter;
  FleetConfigurationPtr configuration;
  FleetEndpoints endpoints;
  int64_t hosts = 0;  // the most ever listed; 0: not known yet
  Instant proven{};
  Instant refresh_required_at{};    // of the last RequireRefresh
  bool endpoints_refreshed = true;  // since then
  std::optional<StopSchedule> stop;
  AnswerTimes answer_times;  // since the arrivals of requests
  AnswerTimes run_times;     // since the sends of their runs
  std::map<ServiceId, DecayingRate> read_tokens;
  std::set<std::shared_ptr<RelayedRequest>> requests;
};

}  // namespace hickorystand
