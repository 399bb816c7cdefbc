// Executes the actions of a host's coordinator and of its claims, and passes
// the replies back: store calls, orders to endpoints, orders and usage reports
// to the platform. Used only on the control task.
//
// Index
//   ClaimDriver                 runs the claims of a host
//   CoordinatorDependencies     clients and callbacks of a coordinator
//   CoordinatorDriver           runs the coordinator of a host

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "decisions/claims.h"
#include "decisions/coordinator.h"
#include "decisions/request.h"
#include "endpoints/order_client.h"
#include "kernel/time.h"
#include "platform/key_value_store.h"
#include "platform/platform_client.h"

namespace hickorystand {

// Runs the claims of one host against the key-value service. Each Claim() is
// answered once through `answer`.
class ClaimDriver {
 public:
  using Answer = std::function<void(const RequestId&, ClaimResult)>;

  ClaimDriver(const ClaimOptions& options,
              const Clock& clock,
              KeyValueStore& store,
              Answer answer);

  void Claim(const ClaimRequest& request);
  void Forget(const RequestId& request) { this->book.OnSent(request); }
  void Withdraw(const RequestId& request);

  // Whether every claim was answered, and its request was sent or the claim
  // withdrawn.
  bool Settled() const { return this->book.Settled(); }

  const ClaimCounts& Counts() const { return this->book.Counts(); }

 private:
  void Perform(const ClaimActions& actions);
  void Do(const RunTransaction& action);
  void Do(const GrantLease& action);
  void Do(const AnswerClaim& action);
  void UpdateTimer();

  ClaimManager book;
  const Clock& clock;
  KeyValueStore& store;
  Answer answer;
  std::unique_ptr<Timer> timer;
};

// Clients and callbacks that a coordinator's actions need.
struct CoordinatorDependencies {
  KeyValueStore* store = nullptr;
  PlatformClient* platform = nullptr;
  OrderClient* endpoints = nullptr;
  std::function<void(const ReleaseNotice&)> broadcast_release;
};

// Runs one host's coordinator.
class CoordinatorDriver {
 public:
  CoordinatorDriver(const CoordinatorOptions& options,
                    const Clock& clock,
                    CoordinatorDependencies dependencies);

  // Proposes an order. Returns its id, or why it can't be accepted.
  Result<OrderId> Propose(const OrderRequest& request);

  // Applies a new configuration: addresses of endpoints, and removed endpoints.
  void ApplyConfiguration(const ConfigurationPtr& wanted);

  // Input, passed on to the coordinator.
  void OnHosts(const std::vector<HostListing>& hosts);
  void OnReleased(const ReleaseNotice& release);
  void OnPeer(const HostId& host, uint64_t incarnation);
  void OnEndpointRestarted(const EndpointId& endpoint);
  void OnUsage(const UsageCopy& copy) { this->coordinator.OnUsage(copy); }

  // Begins a planned release of the lease; Released() is true when it is done.
  void StartRelease();
  bool Released() const { return this->coordinator.Released(); }

  const Coordinator& State() const { return this->coordinator; }

 private:
  void Perform(const CoordinatorActions& actions);
  void Do(const RunTransaction& action);
  void Do(const GrantLease& action);
  void Do(const RenewLease& action);
  void Do(const RevokeLease& action);
  void Do(const SendOrder& action);
  void Do(const SendEndpointOrder& action);
  void Do(const SendUsageReport& action);
  void Do(const SendReleaseNotice& action);
  void HandleOrderReply(const OrderId& order, OrderReply reply);
  std::function<bool()> MaySend(int64_t fencing) const;

  Coordinator coordinator;
  DataCentreId data_centre;
  const Clock& clock;
  CoordinatorDependencies dependencies;
  ConfigurationPtr configuration = std::make_shared<Configuration>();
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
