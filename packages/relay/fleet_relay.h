// The relay of a scheduler: receives callers' requests, chooses an endpoint for
// each, sends it there, and forwards the answer. One relay serves a whole host,
// on one task.
//
//   FleetRelay relay(settings, clock, codec, metrics);
//   relay.SetConfiguration(configuration);  // after each newer version
//   relay.SetEndpoints(endpoints);          // after each listing
//   relay.ConfirmConfiguration(asked_at);   // after each answer of the store
//   relay.Listen(address);
//
// Index
//   RelaySettings   limits, timeouts and options of placement and retries
//   StoredOrigin    a stream's origin, by the key-value service
//   RelayHooks      callbacks to the owner
//   FleetRelay      the relay

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
#include "decisions/endpoint_reach.h"
#include "decisions/fleet_placement.h"
#include "decisions/fleet_retry_budget.h"
#include "decisions/run_evidence.h"
#include "decisions/stop_schedule.h"
#include "decisions/suspects.h"
#include "http/connection_pool.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "limits/limit_gate.h"
#include "relay/admission_gate.h"
#include "relay/cache_feed.h"
#include "relay/caller_server.h"
#include "relay/fleet_configuration.h"
#include "relay/forward_receiver.h"
#include "relay/message_codec.h"
#include "relay/request_forwarder.h"
#include "relay/stream_tracker.h"

namespace hickorystand {

// Limits, timeouts and options of a relay.
struct RelaySettings {
  PlacementOptions placement;
  FleetRetryBudgetOptions budget;
  // The longest time since the configuration was confirmed to be the newest at
  // which API keys are accepted. After it a key may have been revoked.
  Duration key_proof_limit = std::chrono::milliseconds(4200);
  // Share of an endpoint's connections that all hosts together use for
  // requests. Cache events and the release of prompt handles need the rest.
  double request_connection_share = 0.8;
  // Stall timeout for the first byte: the largest of `min_stall_timeout` and
  // this factor times the route's target latency and times the expected time.
  // An endpoint that exceeds it is considered hung, and a request that may run
  // again is sent to another one.
  double stall_factor = 2.5;
  Duration min_stall_timeout = std::chrono::milliseconds(1300);
  // The longest wait for the first byte that callers of streams accept.
  Duration max_stream_first_byte_wait = std::chrono::milliseconds(2000);
  // Prompts of at least this length may be prefilled by a separate engine.
  int64_t min_split_prompt_tokens = 600;
  ReachOptions reach;
  uint64_t reach_seed = 0;  // differs between hosts
  // An endpoint that was heard or connected within this time is not excluded
  // because it is silent.
  Duration tolerated_silence = std::chrono::milliseconds(1500);
  // An endpoint list that was requested longer ago may lack versions that other
  // hosts use. It is read every second.
  Duration max_list_age = std::chrono::milliseconds(2500);
};

// The origin of a stream as found in the key-value service, and what says so.
struct StoredOrigin {
  StreamProgress progress;
  std::string source;

  auto operator<=>(const StoredOrigin&) const = default;
};

// Receives the origin; nullopt if the service doesn't say it.
using OnStoredOrigin = std::function<void(const std::optional<StoredOrigin>&)>;

// Callbacks to the owner of a relay.
struct RelayHooks {
  // A request of an account has begun to run at an endpoint.
  std::function<void(const AccountId&)> on_begun;
  // This host has news for the other schedulers about what crashes endpoints.
  std::function<void(const SuspectsUpdate&)> on_suspects = {};
  // What is refused because endpoints crash has changed.
  std::function<void()> on_blocked = {};
  // This host has news for the other schedulers about rates that endpoints
  // state.
  std::function<void(const EndpointRatesUpdate&)> on_rates = {};
  // The services of which this host reaches no endpoint have changed.
  std::function<void()> on_reach = {};
  // Hands a request of a caller of this host over to one that reaches the
  // service. Returns false if there is none.
  std::function<bool(const CallerExchangePtr&, const HandedOver&)> hand_over =
      {};
  // Finds the origin of a stream that no host knows, and calls back. The first
  // attempt is null if the caller doesn't name it.
  std::function<void(const Route&,
                     const std::optional<RequestId>& first_attempt,
                     OnStoredOrigin)>
      find_stored_origin = {};
};

class RelayedRequest;

// Serves requests as long as a configuration and endpoints are set. Requests
// that can't be served are answered with an error.
class FleetRelay {
 public:
  FleetRelay(RelaySettings settings,
             const Clock& clock,
             const MessageCodec& codec,
             Metrics& metrics,
             RelayHooks hooks,
             ResourceBudget* resources = nullptr);
  ~FleetRelay();
  FleetRelay(const FleetRelay&) = delete;
  FleetRelay& operator=(const FleetRelay&) = delete;

  // Starts to accept callers at an address.
  Result<int> Listen(const SocketAddress& address);

  // Serves a request of a caller that is connected here or to an ingress host.
  void Serve(const CallerExchangePtr& caller, const RequestOrigin& origin);

  // Handler of requests of callers that are connected here, which may forward
  // them to a scheduler or call Serve. If null, all are served here.
  void SetCallerHandler(CallerHandler handler) {
    this->forward = std::move(handler);
  }

  // The gate that enforces the limits of client accounts; null: no limits.
  void SetLimitGate(LimitGate* gate) { this->limit_gate = gate; }

  // Finds where streams began that callers continue; null: none is continued.
  void SetStreamTracker(StreamTracker* tracker) {
    this->stream_tracker = tracker;
  }

  // Size limits and timeouts for callers before the first configuration.
  void SetCallerLimits(const CallerLimits& limits) {
    this->server.SetLimits(limits);
  }

  // Puts a configuration in force, unless it is older than the current one.
  void SetConfiguration(FleetConfigurationPtr configuration);

  // Restricts where streams may begin. This host isn't ready while they can't
  // begin anywhere.
  void SetBeginnable(std::set<StreamOrigin> origins) {
    this->streams_begin = !origins.empty();
    this->placement.SetBeginnable(std::move(origins));
  }

  // Replaces the list of endpoints, which was requested at that time; nullopt:
  // now.
  void SetEndpoints(const FleetEndpoints& endpoints,
                    std::optional<Instant> asked_at = {});

  // Records that a list requested at that time named the same endpoints.
  void ConfirmEndpoints(Instant asked_at);
  Instant EndpointsAskedAt() const { return this->endpoints_asked_at; }

  // The cache events of engines that this host follows for all schedulers, and
  // those that other hosts report.
  CacheFeed& Caches() { return this->cache_feed; }

  // Reassigns the engines to follow, after a change of the list of hosts.
  void ReassignCacheFeeds() { this->cache_feed.SetEndpoints(this->endpoints); }

  // Sets the number of listed hosts, which share the endpoints' connections.
  void SetHosts(int64_t listed);

  // Sets this host's part of the retry budget's slack.
  void SetRetryShare(const ShareTerm& share) {
    this->budget.SetShare(this->clock->Now(), share);
  }
  double RetryShare() const { return this->budget.Share(this->clock->Now()); }

  // Sets the schedulers that send to endpoints and share the rates that these
  // state, with this host.
  void SetSchedulers(const HostId& self, const std::set<HostId>& schedulers) {
    this->placement.Rates().SetHosts(self, schedulers);
  }

  // Records that the configuration in force was the newest at that time.
  void ConfirmConfiguration(Instant at);

  // Stops serving until the configuration has been confirmed and the endpoints
  // have been listed again.
  void RequireRefresh();

  // Changes the retry budget and RelaySettings::key_proof_limit. The options of
  // placement take effect only at a start of the process, since placement keeps
  // its measurements.
  void SetLimits(const FleetRetryBudgetOptions& retries, Duration proof_limit);

  // From now on each answer closes its connection. A request that can't be
  // finished in time is refused as not run; one that is unfinished at the end
  // of the schedule gets its final answer then.
  void StartDrain(const StopSchedule& schedule);

  // Whether all answers to callers connected here have been passed to the
  // kernel.
  bool AllSent() const { return this->server.AllSent(); }

  // Stops reading requests, at the end of the process.
  void StopReading() { this->server.StopReading(); }

  // Logs each request that is unfinished at the end of the process.
  void LogUnfinished();

  // Whether requests can be served: a configuration and endpoints are known,
  // and both are newer than the last RequireRefresh.
  bool Ready() const;

  // The services of which this host reaches no endpoint, though some are
  // listed, and whether it reaches none of any service.
  std::set<ServiceId> CutOff() const { return this->reach.CutOff(); }
  bool AllCutOff() const { return this->reach.AllCutOff(); }

  // Another host is cut off from a service.
  void SuspectReach(const ServiceId& service) {
    this->reach.Suspect(this->clock->Now(), service);
  }

  // Whether API keys are accepted, by the time since the configuration was
  // confirmed to be the newest.
  bool KeysProven() const;

  // Time since the configuration in force was last confirmed to be the newest;
  // nullopt if it never was.
  std::optional<Duration> ProofAge() const;

  // The version in force; 0 before the first configuration.
  int64_t ConfigurationVersion() const {
    return this->configuration ? this->configuration->version : 0;
  }

  // Logs and counts stated paces that are no longer used since measurements
  // contradict them. Called periodically.
  void LogContradictedPaces();

  // Requests that wait for an answer, of callers here and at ingress hosts.
  size_t Waiting() const {
    return std::max(this->server.Waiting(), this->requests.size());
  }
  const FleetConfigurationPtr& Configuration() const {
    return this->configuration;
  }
  const FleetEndpoints& Endpoints() const { return this->endpoints; }

  // Prompt tokens per second that this host sends to engines for prefill, by
  // service.
  std::map<ServiceId, double> PrefillPerSecond() const;

  FleetPlacement& Placement() { return this->placement; }

  // The requests of contended services that wait for room.
  AdmissionGate& Admission() { return this->admission; }

  // Crashes and the requests in them, as recorded here, for another scheduler;
  // and those that another scheduler has recorded.
  SuspectsUpdate SuspectsSnapshot() const {
    return this->suspects.Snapshot(this->clock->Now());
  }
  void MergeSuspects(const SuspectsUpdate& update);
  // The requests and parts of prompts that are refused now, with the crashes
  // that count against them, for the record in the store.
  SuspectsUpdate BlockedCauses() const {
    return this->suspects.BlocksOnly(this->clock->Now());
  }

  // How many requests, or parts of prompts, are refused now.
  int64_t BlockedRequests() const { return this->CountBlocked(true); }
  int64_t BlockedParts() const { return this->CountBlocked(false); }

  // The rates that endpoints state, as known here, for another scheduler; and
  // those that another scheduler knows.
  EndpointRatesUpdate RatesSnapshot() const {
    return this->placement.Rates().Snapshot(this->clock->Now());
  }
  void MergeRates(const HostId& from, const EndpointRatesUpdate& update);

 private:
  friend class RelayedRequest;

  // Whether a configuration is in force and has been confirmed, and the
  // endpoints have been listed, since the last RequireRefresh.
  bool Refreshed() const;

  void ReportSoftware();
  int64_t ListedEndpoints(const StreamOrigin& origin) const;

  // Passes this host's limits for each service to placement.
  void UpdateServiceParameters();

  // Counts uncached prompt tokens that were sent for prefill.
  void RecordPrefill(const ServiceId& service, int64_t tokens);

  // A crash that the other hosts aren't told yet, since this host may have lost
  // its links to all endpoints.
  struct PendingCrash {
    FleetEndpoint endpoint;
    Instant time{};
    bool timed_out = false;  // after a silence
  };

  // Observes connections, and probes endpoints while their service is suspected
  // or cut off.
  void OnAnswerCutOff(const AnswerFault& fault);
  void OnAnswerBroken(const AnswerFault& fault);
  void LogFault(std::string_view sentence, const AnswerFault& fault);
  void ObservePool();
  void UpdateReach();

  // A call that asks an endpoint's process which run it is.
  struct RunCheck {
    SocketAddress address;
    Instant began{};
    PooledExchangePtr call;
    std::unique_ptr<Timer> timer;
    int status = 0;
    std::string body;
  };

  // Whether the process at an endpoint's address is surely the listed run, and
  // so has the listed software version.
  bool IsSureRun(const FleetEndpoint& endpoint) const;

  // The same of the open connection that the next request would use.
  bool HasSureConnection(const FleetEndpoint& endpoint) const;

  // Asks the process, unless it gave no useful answer just now. The requests
  // that wait are told of the answer. The connection is then kept as an idle
  // one. Returns whether an answer is awaited.
  bool CheckRun(const FleetEndpoint& endpoint);
  bool IsChecked(const SocketAddress& address) const;
  void CheckDoubtedRuns();
  void CheckBlockingCrashes();
  void CheckRunIfDue(const FleetEndpoint& endpoint);
  void OnRunChecked(int64_t check, HttpEnd end);
  void OnReachChange(const ReachChange& change);
  bool IsCommonLoss(const PendingCrash& crash) const;
  void WithdrawCrashes(const ServiceId& service);
  void DecidePendingCrashes();

  // Records that an endpoint crashed while it had a run, that the answer of a
  // run went on after it had begun, and that a run was answered in full.
  void RecordCrash(const FleetEndpoint& endpoint, const LostRun& run);
  void RecordBegun(const RequestTraits& request, Instant sent);
  void RecordAnswer(const RequestTraits& request, Instant sent);

  // Logs which requests and parts became blocked or were released. In the next
  // turn of the main loop, ends those that wait to be run and sends the news of
  // this turn to the other schedulers.
  void OnSuspectsChanged();
  void EndBlockedRequests();

  // Records what an endpoint's answer states about its rate, and tells the
  // other schedulers if it is new.
  void RecordRate(const RateAnswer& answer);
  void LogRate(const EndpointRun& endpoint, std::string_view source) const;

  // Records the load that an endpoint's answer states.
  void RecordLoad(const FleetEndpoint& endpoint, const EndpointAnswer& answer);

  // Logs and counts the refusal of a request that crashes endpoints.
  void LogBlocked(const RequestId& request,
                  uint64_t fingerprint,
                  const std::string& part,
                  const RequestBlock& block);
  int64_t CountBlocked(bool requests) const;
  void LogCause(std::string_view sentence, const CrashCause& cause) const;

  // Milliseconds since the stop signal, for logs; empty before it.
  std::string SinceStopText() const;

  // Logs a decision about a request, with a rate limit on lines.
  void Log(LogLevel level,
           const RequestId& request,
           std::string_view sentence,
           std::initializer_list<LogField> fields);

  RelaySettings settings;
  const Clock* clock;
  const MessageCodec* codec;
  Metrics* metrics;
  RelayHooks hooks;
  ResourceBudget* resources;  // may be null
  CallerServer server;
  CallerHandler forward;
  RunEvidence runs;  // outlives the connections of the pool
  std::map<SocketAddress, Instant> next_run_check;
  std::map<SocketAddress, Instant> next_doubt_check;
  std::map<int64_t, RunCheck> run_checks;  // by number
  int64_t last_run_check = 0;
  ConnectionPool pool;
  FleetPlacement placement;
  AdmissionGate admission;
  CacheFeed cache_feed;
  FleetRetryBudget budget;
  LimitGate* limit_gate = nullptr;
  StreamTracker* stream_tracker = nullptr;
  Suspects suspects;
  std::set<CrashCause> known_blocked;  // as last logged
  std::unique_ptr<Timer> suspects_timer;
  LogLimiter log_limiter;
  FleetConfigurationPtr configuration;
  FleetEndpoints endpoints;
  Instant endpoints_asked_at{};  // when the newest list was requested
  // Listed endpoints by software version, with 0 for versions that left.
  using SoftwareCounts = std::map<SoftwareVersion, int64_t>;
  std::map<ServiceId, SoftwareCounts> software;
  int64_t hosts = 0;  // the most ever listed; 0: not listed yet
  Instant confirmed_at{};
  Instant refresh_required_at{};    // of the last RequireRefresh
  bool endpoints_refreshed = true;  // listed since `refresh_required_at`
  bool streams_begin = true;        // somewhere
  std::optional<StopSchedule> stop;
  AnswerTimes answer_times;  // from the request's arrival to the answer's end
  AnswerTimes run_times;     // from the send of the run to the answer's end
  std::map<ServiceId, DecayingRate> prefill_rates;
  EndpointReach reach;
  std::map<SocketAddress, EndpointId> endpoints_by_address;
  std::vector<PendingCrash> pending_crashes;
  std::map<EndpointId, int64_t> ignored_loads;  // of listed endpoints
  std::unique_ptr<Timer> reach_timer;
  std::unique_ptr<Timer> early_reach_timer;  // after a failure
  std::unique_ptr<Timer> crash_timer;
  std::set<std::shared_ptr<RelayedRequest>> requests;
};

}  // namespace hickorystand
