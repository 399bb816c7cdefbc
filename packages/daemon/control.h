// The control task of a stand-alone host: all coordination between hosts, apart
// from the requests themselves. It keeps the configuration up to date, competes
// for the data centre's lease, sends orders, makes claims, counts usage, and
// exchanges messages with the other hosts.
//
// Everything here runs on one task. The serving task receives ControlEvents and
// calls the functions of Control; both directions go through Task::Post.
//
// Index
//   ControlEvents   events for the serving task
//   ServingView     state of the serving task
//   Control         the control part of one host

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemon/configuration_driver.h"
#include "daemon/coordinator_driver.h"
#include "daemon/host_settings.h"
#include "decisions/usage.h"
#include "endpoints/order_client.h"
#include "gateway/decision_log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "limits/limit_gate.h"
#include "peers/peer_group.h"
#include "platform/key_value_store.h"
#include "platform/platform_client.h"

namespace hickorystand {

// Events for the serving task. Called on the control task.
struct ControlEvents {
  std::function<void(ConfigurationPtr)> on_configuration;
  std::function<void(const Digest&)> on_digest;
  std::function<void(const HostId&)> on_host_gone;
  std::function<void(bool)> on_keys_trusted;
  // Requests a digest; answered with Control::OnServingView().
  std::function<void()> request_view;
};

// State of the serving task, which the control task sends to other hosts and
// shows on the status page.
struct ServingView {
  Digest digest;
  std::map<std::string, int64_t> refusals;  // by error code
  int64_t queued = 0;
  int64_t running = 0;
};

// The control part of one host. Must be created, used and destroyed on the
// control task.
class Control {
 public:
  Control(const HostSettings& settings,
          uint64_t incarnation,
          const Clock& clock,
          Metrics& metrics,
          ControlEvents events);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // Starts to listen for peers and to compete for the lease. Returns the peer
  // address with the actual port.
  Result<SocketAddress> Start();

  // Input from the serving task: its state, an endpoint's load, and usage.
  void OnServingView(const ServingView& view);
  void OnLoad(const LoadReport& report);
  void OnUsage(const AccountId& account, const UsageCount& used);

  // Claims a non-idempotent request, so that no other host sends it. `done` is
  // called on this task.
  void Claim(const ClaimRequest& request,
             std::function<void(ClaimResult)> done);
  void ForgetClaim(const RequestId& request) { this->claims->Forget(request); }
  void WithdrawClaim(const RequestId& request) {
    this->claims->Withdraw(request);
  }

  // Takes a request's tokens from its account's limit. `done` is called on this
  // task, possibly before the return, unless the request is cancelled first.
  void TakeTokens(const RequestId& request,
                  LimitRequest ask,
                  const std::function<void(const LimitDecision&)>& done);
  void CancelTokens(const RequestId& request);
  void GiveBackTokens(const AccountId& account, LimitUnit unit, int64_t cost) {
    this->limits->Refund(account, unit, cost);
  }

  // Announces to the other hosts that this host is leaving, so that they assign
  // nothing new to it.
  void StartDrain();

  // Last step of a planned stop: sends usage to other hosts, releases the
  // lease, waits until claims are settled, and calls back.
  void HandOver(std::function<void()> on_released);

  // This host's view of the fleet, as /admin/status returns it.
  std::string StatusJson() const;

 private:
  void OnConfiguration(const ConfigurationPtr& next);
  void OnPeerDigest(const Digest& digest);
  void OnPeerMessage(const HostId& from, const PeerMessage& message);
  void OnPeerGone(const HostId& host);
  void OnHostList(const std::vector<PlatformHost>& list);
  void ScheduleDigest();
  void CompleteClaim(const RequestId& request, ClaimResult result);
  void RequestHostList();
  void SendReleaseNotice(const ReleaseNotice& release);
  void SendUsageCopy();
  void CheckKeys();
  std::set<HostId> UsageCopyReceivers() const;
  void MakeLimits(Metrics& metrics);
  std::vector<HostId> LinkedHosts() const;
  LimitDecision DecisionOf(const LimitVerdict& verdict) const;

  HostSettings settings;
  uint64_t incarnation;
  const Clock& clock;
  ControlEvents events;
  std::unique_ptr<KeyValueStore> store;
  std::unique_ptr<PlatformClient> platform;
  std::unique_ptr<OrderClient> orders;
  std::unique_ptr<PeerGroup> peers;
  std::unique_ptr<ConfigurationDriver> configuration;
  std::unique_ptr<CoordinatorDriver> coordinator;
  std::unique_ptr<ClaimDriver> claims;
  std::map<RequestId, std::function<void(ClaimResult)>> pending_claims;
  std::unique_ptr<LimitGate> limits;
  std::map<RequestId, int64_t>
      pending_token_requests;  // by request: number of the pending ask
  UsageMeter usage;
  AccountUsage copied_usage;  // as last sent
  std::set<HostId> copied_to;
  std::map<EndpointId, LoadReport> loads;
  ServingView view;
  bool draining = false;
  bool keys_trusted = true;
  std::vector<std::unique_ptr<Timer>> timers;
  std::unique_ptr<Timer> digest_timer;
  std::unique_ptr<Timer> release_timer;
};

}  // namespace hickorystand
