// A host that relays requests for a fleet on the users' platform: the relay,
// what it knows of the fleet, and its answers to the balancer.
//
// As a scheduler it reads the store and serves requests itself, its own
// callers' and those that ingress hosts forward. As an ingress host it
// forwards, and reads nothing but the list of hosts
// (decisions/fleet_topology.h).

#pragma once

#include <functional>
#include <memory>
#include <set>

#include "daemon/relay_settings.h"
#include "limits/limit_gate.h"
#include "relay/fleet_duties.h"
#include "relay/fleet_peers.h"
#include "relay/forward_receiver.h"
#include "relay/platform_duties.h"
#include "relay/request_forwarder.h"

namespace hickorystand {

class RelayDaemon {
 public:
  // `stopped` is called once a stop has finished.
  RelayDaemon(RelayHostSettings settings,
              const Clock& clock,
              std::function<void()> stopped);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  // Opens the addresses and starts to read from the store.
  Result<int> Start();

  // Stops in order: says that it isn't ready, serves on while callers still
  // come, finishes what runs, and ends before the kill, whose time counts from
  // when the stop signal arrived.
  void Drain(Instant signalled);

  // Takes changed settings: bounds, budgets and the log's level at once. What
  // only a start takes up is named in the log.
  void Reload(const RelayHostSettings& changed);

 private:
  void AnswerReady(const CallerExchangePtr& exchange);
  void AnswerMetrics(const CallerExchangePtr& exchange);
  void SetRoleMetrics();
  void LogPace();
  void SetPaceMetrics(const ServiceId& service, const PaceFigures& pace);
  void CheckDrained();
  void MakeSource();
  void MakePeers();
  void MakeDuties();
  void MakeForwarding();
  void MakeLimits();
  void OnRole(FleetRole role);
  void OnCaller(const CallerExchangePtr& caller);
  void OnLinked(const HostId& host);
  void OnSchedulerLinked(const HostId& host);
  void OnGone(const HostId& host);
  bool IsScheduler() const {
    return this->peers->Role() == FleetRole::kScheduler;
  }
  SchedulerNews News() const;
  void MeasureLag();
  void TellNews();
  void FollowCaches();
  void TakeNews(const HostId& from, const SchedulerNews& news);
  void TellUsage();
  double FleetPrefill(const ServiceId& service) const;
  void TellAllUsage(const HostId& host);
  void OnPeerMessage(const HostId& from, const PeerMessage& message);
  void TakeUsage(const HostId& from, const UsageCopyMessage& usage);
  void AskPeers(const FreshnessQuestion& question);
  void TellLeaving(const EndpointRun& run);
  Digest MakeDigest() const;
  void OnDigest(const Digest& digest);

  RelayHostSettings settings;
  const Clock* clock;
  std::function<void()> stopped;
  Metrics metrics;
  std::unique_ptr<MessageCodec> codec;
  std::unique_ptr<FleetRecords> records;
  std::unique_ptr<KeyValueStore> store;
  std::unique_ptr<PlatformDuties> platform_duties;
  std::unique_ptr<LimitGate> limits;
  std::unique_ptr<FleetRelay> relay;
  std::unique_ptr<FleetSource> source;
  std::unique_ptr<FleetPeers> peers;
  std::unique_ptr<FleetDuties> duties;
  // Of earlier times as a scheduler: calls of theirs may still be answered.
  std::vector<std::unique_ptr<FleetDuties>> former_duties;
  bool duties_retired = false;
  std::unique_ptr<RequestForwarder> forwarder;
  std::unique_ptr<ForwardReceiver> receiver;
  std::vector<FleetHost> subscribers;  // to engines' cache events, in turn
  std::map<HostId, PrefillLoad> peer_loads;  // of the other schedulers
  std::set<HostId> unready_schedulers;       // linked, take no new requests
  SchedulerNews told_news;                   // to all hosts that are linked
  std::unique_ptr<Timer> news_timer;
  Instant news_due{};
  double lag = 0;  // mean lateness of timers, seconds
  bool busy = false;
  // Seconds for a prompt token, as they stand in the log.
  std::map<ServiceId, double> logged_pace;
  std::unique_ptr<Timer> usage_timer;
  CallerServer ready_server;
  CallerServer metrics_server;
  std::optional<StopSchedule> stop;
  bool ended = false;  // takes nothing any more
  std::unique_ptr<Timer> drain_timer;
  size_t next_asked = 0;  // place among the other hosts
};

}  // namespace hickorystand
