// A host that relays requests for a fleet on the users' platform: the relay,
// what it knows of the fleet, and its answers to the balancer.

#pragma once

#include <functional>
#include <memory>

#include "daemon/relay_settings.h"
#include "relay/fleet_duties.h"
#include "relay/fleet_peers.h"
#include "relay/platform_duties.h"

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
  // come, finishes what runs, and ends before the kill.
  void Drain();

  // Takes changed settings: bounds, budgets and the log's level at once. What
  // only a start takes up is named in the log.
  void Reload(const RelayHostSettings& changed);

 private:
  void AnswerReady(const CallerExchangePtr& exchange);
  void AnswerMetrics(const CallerExchangePtr& exchange);
  void LogPace();
  void SetPaceMetrics(const ServiceId& service, const PaceFigures& pace);
  void CheckDrained();
  void StartPeers();
  void StartDuties();
  void TellUsage();
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
  std::unique_ptr<FleetRelay> relay;
  std::unique_ptr<FleetSource> source;
  std::unique_ptr<FleetPeers> peers;
  std::unique_ptr<FleetDuties> duties;
  // Seconds for a prompt token, as they stand in the log.
  std::map<ServiceId, double> logged_pace;
  std::unique_ptr<Timer> usage_timer;
  CallerServer ready_server;
  CallerServer metrics_server;
  std::optional<Instant> draining_since;
  std::unique_ptr<Timer> drain_timer;
  size_t next_asked = 0;  // place among the other hosts
};

}  // namespace hickorystand
