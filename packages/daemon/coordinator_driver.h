// Carries out what a host's coordinator and its claims want, and hands them
// the replies: store calls, orders to endpoints, orders and reports to the
// platform. Lives on the control task.

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

// Runs the claims of one host against the key-value service.
class ClaimDriver {
 public:
  using Answer = std::function<void(const RequestId&, ClaimResult)>;

  ClaimDriver(const ClaimOptions& options,
              const Clock& clock,
              KeyValueStore& store,
              Answer answer);

  void Claim(const ClaimRequest& request);
  void Forget(const RequestId& request) { this->book.Forget(request); }
  void Withdraw(const RequestId& request);

  // Whether each claim was answered, and then sent or withdrawn for good.
  bool Settled() const { return this->book.Settled(); }

  const ClaimCounts& Counts() const { return this->book.Counts(); }

 private:
  void Perform(const ClaimActions& actions);
  void Do(const RunTransaction& action);
  void Do(const GrantLease& action);
  void Do(const AnswerClaim& action);
  void KeepTicking();

  ClaimBook book;
  const Clock& clock;
  KeyValueStore& store;
  Answer answer;
  std::unique_ptr<Timer> timer;
};

// What a coordinator reaches beyond its own state.
struct CoordinatorOutlets {
  KeyValueStore* store = nullptr;
  PlatformClient* platform = nullptr;
  OrderClient* endpoints = nullptr;
  std::function<void(const Release&)> tell_released;
};

// Runs one host's coordinator.
class CoordinatorDriver {
 public:
  CoordinatorDriver(const CoordinatorOptions& options,
                    const Clock& clock,
                    CoordinatorOutlets outlets);

  // Proposes an order; answers its id, or why it can't be given.
  Result<OrderId> Propose(const OrderRequest& request);

  // The fleet has changed: where endpoints are, and which are gone.
  void ApplyConfiguration(const ConfigurationPtr& wanted);

  // News, passed on to the coordinator.
  void OnHosts(const std::vector<HostListing>& hosts);
  void OnReleased(const Release& release);
  void OnPeer(const HostId& host, uint64_t incarnation);
  void OnEndpointRestarted(const EndpointId& endpoint);
  void OnUsage(const UsageCopy& copy) { this->coordinator.OnUsage(copy); }

  // Begins a planned release of the lease; Released() tells when it is over.
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
  void Do(const TellReleased& action);
  void Replied(const OrderId& order, OrderReply reply);
  std::function<bool()> MaySend(int64_t fencing) const;

  Coordinator coordinator;
  DataCentreId data_centre;
  const Clock& clock;
  CoordinatorOutlets outlets;
  ConfigurationPtr configuration = std::make_shared<Configuration>();
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
