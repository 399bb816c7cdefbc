// The control task of an entry host: everything that hosts agree on, apart
// from the requests themselves. It keeps the configuration up to date, contends
// for the data centre's lease, gives orders, makes claims, counts usage, and
// talks with the other hosts.
//
// All of it lives on one task; the serving task is told by ControlEvents and
// tells by calling the functions below, both through Task::Post.
//
// Index
//   ControlEvents   what the serving task is told
//   ServingView     what the serving task tells
//   Control         the class

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

// What the serving task is told. Called on the control task.
struct ControlEvents {
  std::function<void(ConfigurationPtr)> on_configuration;
  std::function<void(const Digest&)> on_digest;
  std::function<void(const HostId&)> on_host_gone;
  std::function<void(bool)> trust_keys;
  // Wants a digest; answered by Control::OnServingView().
  std::function<void()> want_view;
};

// What the serving task knows and the control task shares or shows.
struct ServingView {
  Digest digest;
  std::map<std::string, int64_t> refusals;  // by code
  int64_t queued = 0;
  int64_t running = 0;
};

// One host's control.
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

  // Starts to listen to peers and to contend for the lease; answers the address
  // with the port that was taken.
  Result<SocketAddress> Start();

  // News from the serving task.
  void OnServingView(const ServingView& view);
  void OnLoad(const LoadReport& report);
  void OnUsage(const AccountId& account, const UsageCount& used);

  // Claims a non-idempotent request; `done` is called on this task.
  void Claim(const ClaimRequest& request,
             std::function<void(ClaimResult)> done);
  void ForgetClaim(const RequestId& request) { this->claims->Forget(request); }
  void WithdrawClaim(const RequestId& request) {
    this->claims->Withdraw(request);
  }

  // Takes a request's tokens from its account's limit; `done` is called on this
  // task unless the request is cancelled first.
  void TakeTokens(const RequestId& request,
                  LimitAsk ask,
                  const std::function<void(const LimitDecision&)>& done);
  void CancelTokens(const RequestId& request);
  void GiveBackTokens(const AccountId& account, LimitUnit unit, int64_t cost) {
    this->limits->GiveBack(account, unit, cost);
  }

  // This host leaves: the others are told, and nothing new rests on it.
  void StartDrain();

  // Gives up the lease, hands over usage and withdraws claims of requests that
  // didn't run; then calls back. Comes last.
  void HandOver(std::function<void()> on_released);

  // This host's view of the fleet, as the admin page shows it.
  std::string StatusJson() const;

 private:
  void OnConfiguration(const ConfigurationPtr& next);
  void OnPeerDigest(const Digest& digest);
  void OnPeerMessage(const HostId& from, const PeerMessage& message);
  void OnPeerGone(const HostId& host);
  void OnHostList(const std::vector<PlatformHost>& list);
  void ScheduleDigest();
  void AnswerClaimOf(const RequestId& request, ClaimResult result);
  void AskForHostList();
  void TellReleased(const Release& release);
  void ShareUsage();
  void CheckKeys();
  std::set<HostId> UsageKeepers() const;
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
  std::map<RequestId, std::function<void(ClaimResult)>> claiming;
  std::unique_ptr<LimitGate> limits;
  std::map<RequestId, int64_t> token_asks;  // undecided: numbers of the asks
  UsageMeter usage;
  AccountUsage shared_usage;  // as last sent to the keepers
  std::set<HostId> shared_with;
  std::map<EndpointId, LoadReport> loads;
  ServingView view;
  bool draining = false;
  bool keys_trusted = true;
  std::vector<std::unique_ptr<Timer>> timers;
  std::unique_ptr<Timer> digest_timer;
  std::unique_ptr<Timer> release_timer;
};

}  // namespace hickorystand
