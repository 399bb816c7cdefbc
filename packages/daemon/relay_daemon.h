// A relay host: connects the relay with the fleet's configuration, endpoints,
// peers, limits and duties, and answers readiness checks and metrics requests.
//
// As a scheduler it reads the store and serves requests, both of its own
// callers and forwarded by ingress hosts. As an ingress host it forwards
// requests to schedulers and reads only the list of hosts
// (decisions/fleet_topology.h).
//
//     RelayDaemon daemon(settings, clock, [] { /* leave the main loop */ });
//     if (const auto started = daemon.Start(); !started) { ... }
//     daemon.Drain(signalled);  // on the stop signal

#pragma once

#include <functional>
#include <memory>
#include <set>

#include "daemon/relay_settings.h"
#include "limits/limit_gate.h"
#include "relay/block_record_store.h"
#include "relay/deployment_terms.h"
#include "relay/fleet_duties.h"
#include "relay/fleet_peers.h"
#include "relay/forward_receiver.h"
#include "relay/platform_duties.h"
#include "relay/request_forwarder.h"
#include "relay/served_versions_store.h"
#include "relay/stream_record_store.h"

namespace hickorystand {

// Owns all parts of the host and dispatches messages between them. Runs on the
// main loop.
class RelayDaemon {
 public:
  // `stopped` is called when a drain has finished.
  RelayDaemon(RelayHostSettings settings,
              const Clock& clock,
              std::function<void()> stopped);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  // Creates the plug-ins, listens on all addresses and registers with the
  // fleet. Fails with kBadSetting if there is no such plug-in, or with the
  // error of the address that can't be opened.
  Result<int> Start();

  // Stops in order: reports itself not ready, serves the requests that still
  // arrive, completes those that are running, and finishes before the platform
  // kills the process. The grace time counts from `signalled`, the arrival of
  // the stop signal.
  void Drain(Instant signalled);

  // Applies changed settings. Bounds, budgets and the log level take effect at
  // once; changed settings that need a restart are logged.
  void Reload(const RelayHostSettings& changed);

 private:
  void AnswerReady(const CallerExchangePtr& exchange);
  void AnswerMetrics(const CallerExchangePtr& exchange);
  void SetRoleMetrics();
  void LogPace();
  void SetPaceMetrics(const ServiceId& service, const PaceFigures& pace);
  void SetContentionMetrics();
  void SetTimeFactors(const ServiceId& service,
                      WorkKind kind,
                      const std::string& work);
  void CheckDrained();
  void MakeSource();
  void MakePeers();
  void MakeDuties();
  void MakeForwarding();
  void MakeLimits();
  void MakeStreamTracker();
  void MakeServedVersions();
  void MakeStreamRecords();
  void MakeBlockRecord();
  bool MissesLinks() const;
  void FindOnlyOrigin(const Route& route, ServedVersionsStore::OnOrigin found);
  void FindStoredOrigin(const Route& route,
                        const std::optional<RequestId>& first_attempt,
                        OnStoredOrigin found);
  void UpdateStreamPeers();
  void OnRole(FleetRole role);
  void OnCaller(const CallerExchangePtr& caller);
  void OnLinked(const HostId& host);
  void OnSchedulerLinked(const HostId& host);
  void OnGone(const HostId& host);
  bool IsScheduler() const {
    return this->peers->Role() == FleetRole::kScheduler;
  }
  SchedulerStatus CurrentStatus() const;
  bool ReachesEndpoints() const;
  void OnReach();
  void RemoveHostsWithoutEndpoints();
  void MeasureLag();
  void BroadcastStatus();
  void UpdateSubscribers();
  void UpdateSchedulers();
  void OnSchedulerNews(const HostId& from, const SchedulerStatus& news);
  void BroadcastUsage();
  double FleetPrefill(const ServiceId& service) const;
  void SendAllUsage(const HostId& host);
  void OnPeerMessage(const HostId& from, const PeerMessage& message);
  void TakeUsage(const HostId& from, const UsageCopyMessage& usage);
  void AdoptPace(const HostId& from, const PaceMessage& pace);
  void BroadcastSpeeds();
  void AskPeers(const FreshnessQuestion& question);
  void BroadcastLeaving(const EndpointRun& run);
  Digest MakeDigest() const;
  void OnDigest(const Digest& digest);

  RelayHostSettings settings;
  const Clock* clock;
  std::function<void()> stopped;
  Metrics metrics;
  ResourceBudget resources;
  std::unique_ptr<MessageCodec> codec;
  std::unique_ptr<FleetRecords> records;
  std::unique_ptr<KeyValueStore> store;
  std::unique_ptr<PlatformDuties> platform_duties;
  std::unique_ptr<LimitGate> limits;
  std::unique_ptr<StreamTracker> streams;
  std::unique_ptr<ServedVersionsStore> versions;
  std::unique_ptr<StreamRecordStore> stream_records;
  std::unique_ptr<BlockRecordStore> blocks;
  std::unique_ptr<FleetRelay> relay;
  std::unique_ptr<FleetSource> source;
  std::unique_ptr<FleetPeers> peers;
  std::unique_ptr<FleetDuties> duties;
  // From earlier periods as a scheduler. Answers to their calls may still
  // arrive.
  std::vector<std::unique_ptr<FleetDuties>> former_duties;
  bool duties_retired = false;
  std::unique_ptr<RequestForwarder> forwarder;
  std::unique_ptr<ForwardReceiver> receiver;
  std::vector<FleetHost> subscribers;        // share the engines' cache events
  std::map<HostId, PrefillLoad> peer_loads;  // of the other schedulers
  std::map<HostId, SchedulerStatus> scheduler_status;  // of linked hosts
  std::set<HostId> unready_schedulers;                 // linked, but not ready
  std::set<HostId> without_endpoints;                  // linked, but reach none
  SchedulerStatus sent_status;                         // last state broadcast
  std::unique_ptr<Timer> status_timer;
  Instant status_due{};
  double lag = 0;  // moving average of timer delay, seconds
  bool busy = false;
  // Prefill time per prompt token in seconds, as last logged.
  std::map<ServiceId, double> logged_pace;
  std::unique_ptr<Timer> usage_timer;
  CallerServer ready_server;
  CallerServer metrics_server;
  std::optional<StopSchedule> stop;
  bool ended = false;  // ignores all further messages
  std::unique_ptr<Timer> drain_timer;
  size_t next_queried = 0;  // round-robin position among the other hosts
};

}  // namespace hickorystand
