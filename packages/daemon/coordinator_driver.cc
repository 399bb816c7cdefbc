#include "daemon/coordinator_driver.h"

#include <utility>
#include <variant>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "coordinator";
constexpr Duration kClaimTick = std::chrono::milliseconds(5);
constexpr Duration kCoordinatorTick = std::chrono::milliseconds(50);

// Converts an endpoint's answer to a reply for the coordinator.
OrderReply OutcomeOf(OrderState state) {
  switch (state) {
    case OrderState::kAccepted:
    case OrderState::kRunning:
      return OrderReply::kRunning;
    case OrderState::kDone:
      return OrderReply::kDone;
    case OrderState::kStale:
      return OrderReply::kStale;
    case OrderState::kRefused:
      return OrderReply::kRejected;
    case OrderState::kNotSent:
      return OrderReply::kNotSent;
    case OrderState::kUnknown:
      return OrderReply::kNoReply;
  }
  return OrderReply::kNoReply;
}

// Converts the platform's answer to an order.
OrderReply PlatformOrderReply(PlatformOutcome outcome) {
  switch (outcome) {
    case PlatformOutcome::kAccepted:
      return OrderReply::kDone;
    case PlatformOutcome::kRefused:
      return OrderReply::kRejected;
    case PlatformOutcome::kNotSent:
      return OrderReply::kNotSent;
    case PlatformOutcome::kUnknown:
      return OrderReply::kNoReply;
  }
  return OrderReply::kNoReply;
}

// Converts the platform's answer to a usage report. A refused report counts as
// unanswered and is sent again: its figures are final, and dropping them would
// leave the account unbilled.
ReportReply PlatformReportReply(PlatformOutcome outcome) {
  switch (outcome) {
    case PlatformOutcome::kAccepted:
      return ReportReply::kAccepted;
    case PlatformOutcome::kNotSent:
      return ReportReply::kNotSent;
    case PlatformOutcome::kRefused:
    case PlatformOutcome::kUnknown:
      return ReportReply::kNoReply;
  }
  return ReportReply::kNoReply;
}

}  // namespace

ClaimDriver::ClaimDriver(const ClaimOptions& options,
                         const Clock& clock,
                         KeyValueStore& store,
                         Answer answer)
    : book(options), clock(clock), store(store), answer(std::move(answer)) {}

void ClaimDriver::Claim(const ClaimRequest& request) {
  ClaimActions actions;
  this->book.Claim(this->clock.Now(), request, actions);
  this->Perform(actions);
  this->UpdateTimer();
}

void ClaimDriver::Withdraw(const RequestId& request) {
  ClaimActions actions;
  this->book.Withdraw(this->clock.Now(), request, actions);
  this->Perform(actions);
  this->UpdateTimer();
}

void ClaimDriver::UpdateTimer() {
  if (!this->book.Busy()) {
    this->timer.reset();
    return;
  }
  if (this->timer) {
    return;
  }
  this->timer = Timer::Every(kClaimTick, [this] {
    ClaimActions actions;
    this->book.OnTick(this->clock.Now(), actions);
    this->Perform(actions);
    this->UpdateTimer();
  });
}

void ClaimDriver::Perform(const ClaimActions& actions) {
  for (const ClaimAction& action : actions) {
    std::visit([this](const auto& one) { this->Do(one); }, action);
  }
}

void ClaimDriver::Do(const RunTransaction& action) {
  this->store.Transact(
      action.transaction, [this, tag = action.tag](const StoreReply& reply) {
        ClaimActions next;
        this->book.OnStoreReply(this->clock.Now(), tag, reply, next);
        this->Perform(next);
      });
}

void ClaimDriver::Do(const GrantLease& action) {
  this->store.GrantLease(
      action.length, [this, tag = action.tag](const Result<int64_t>& lease) {
        ClaimActions next;
        this->book.OnLeaseGranted(this->clock.Now(), tag, lease, next);
        this->Perform(next);
      });
}

void ClaimDriver::Do(const AnswerClaim& action) {
  this->answer(action.request, action.result);
}

CoordinatorDriver::CoordinatorDriver(const CoordinatorOptions& options,
                                     const Clock& clock,
                                     CoordinatorDependencies dependencies)
    : coordinator(options),
      data_centre(options.lease.data_centre),
      clock(clock),
      dependencies(std::move(dependencies)) {
  this->timer = Timer::Every(kCoordinatorTick, [this] {
    CoordinatorActions actions;
    this->coordinator.OnTick(this->clock.Now(), actions);
    this->Perform(actions);
  });
}

Result<OrderId> CoordinatorDriver::Propose(const OrderRequest& request) {
  CoordinatorActions actions;
  auto id = this->coordinator.Propose(this->clock.Now(), request, actions);
  this->Perform(actions);
  return id;
}

void CoordinatorDriver::ApplyConfiguration(const ConfigurationPtr& wanted) {
  const ConfigurationPtr before = std::exchange(this->configuration, wanted);
  CoordinatorActions actions;
  for (const auto& [id, endpoint] : before->endpoints) {
    if (!wanted->endpoints.contains(id)) {
      this->coordinator.OnEndpointGone(this->clock.Now(), id, actions);
    }
  }
  this->Perform(actions);
}

void CoordinatorDriver::OnHosts(const std::vector<HostListing>& hosts) {
  CoordinatorActions actions;
  this->coordinator.OnHosts(this->clock.Now(), hosts, actions);
  this->Perform(actions);
}

void CoordinatorDriver::OnReleased(const ReleaseNotice& release) {
  CoordinatorActions actions;
  this->coordinator.OnReleased(this->clock.Now(), release, actions);
  this->Perform(actions);
}

void CoordinatorDriver::OnPeer(const HostId& host, uint64_t incarnation) {
  CoordinatorActions actions;
  this->coordinator.OnPeer(this->clock.Now(), host, incarnation, actions);
  this->Perform(actions);
}

void CoordinatorDriver::OnEndpointRestarted(const EndpointId& endpoint) {
  CoordinatorActions actions;
  this->coordinator.OnEndpointRestarted(this->clock.Now(), endpoint, actions);
  this->Perform(actions);
}

void CoordinatorDriver::StartRelease() {
  CoordinatorActions actions;
  this->coordinator.StartRelease(this->clock.Now(), actions);
  this->Perform(actions);
}

void CoordinatorDriver::Perform(const CoordinatorActions& actions) {
  for (const CoordinatorAction& action : actions) {
    std::visit([this](const auto& one) { this->Do(one); }, action);
  }
}

void CoordinatorDriver::Do(const RunTransaction& action) {
  this->dependencies.store->Transact(
      action.transaction, [this, tag = action.tag](const StoreReply& reply) {
        CoordinatorActions next;
        this->coordinator.OnStoreReply(this->clock.Now(), tag, reply, next);
        this->Perform(next);
      });
}

void CoordinatorDriver::Do(const GrantLease& action) {
  this->dependencies.store->GrantLease(
      action.length, [this, tag = action.tag](const Result<int64_t>& lease) {
        CoordinatorActions next;
        this->coordinator.OnLeaseGranted(this->clock.Now(), tag, lease, next);
        this->Perform(next);
      });
}

void CoordinatorDriver::Do(const RenewLease& action) {
  this->dependencies.store->RenewLease(
      action.lease, [this, tag = action.tag](const Result<Duration>& left) {
        CoordinatorActions next;
        this->coordinator.OnLeaseRenewed(this->clock.Now(), tag, left, next);
        this->Perform(next);
      });
}

void CoordinatorDriver::Do(const RevokeLease& action) {
  this->dependencies.store->RevokeLease(action.lease,
                                        [](const Result<int64_t>&) {});
}

// A process may be suspended between the decision to send and the send. This
// check runs in the step that passes the bytes to the socket, so no order is
// sent after its sender's lease has expired.
std::function<bool()> CoordinatorDriver::MaySend(int64_t fencing) const {
  return [this, fencing] {
    return this->coordinator.MayAct(this->clock.Now(), fencing);
  };
}

void CoordinatorDriver::HandleOrderReply(const OrderId& order,
                                         OrderReply reply) {
  CoordinatorActions next;
  this->coordinator.OnOrderReply(this->clock.Now(), order, reply, next);
  this->Perform(next);
}

void CoordinatorDriver::Do(const SendOrder& action) {
  const Order& order = action.order;
  const auto found = this->configuration->endpoints.find(order.endpoint);
  if (found == this->configuration->endpoints.end()) {
    this->HandleOrderReply(order.id, OrderReply::kNotSent);
    return;
  }
  LogInfo(kPart, "Order sent.",
          {{"order", order.id.Text()},
           {"endpoint", order.endpoint.Text()},
           {"kind", std::string(OrderKindName(order.kind))},
           {"argument", order.argument},
           {"fencing", std::to_string(action.fencing)}});
  this->dependencies.endpoints->Send(
      found->second.address,
      {.id = order.id.Text(),
       .fencing = action.fencing,
       .kind = std::string(OrderKindName(order.kind)),
       .argument = order.argument},
      this->MaySend(action.fencing),
      [this, id = order.id](const OrderAnswer& answer) {
        this->HandleOrderReply(id, OutcomeOf(answer.state));
      });
}

void CoordinatorDriver::Do(const SendEndpointOrder& action) {
  const Order& order = action.order;
  LogInfo(kPart, "Endpoint order sent to the platform.",
          {{"order", order.id.Text()},
           {"service", order.service.Text()},
           {"change", std::to_string(order.change)},
           {"endpoint", order.endpoint.Text()},
           {"fencing", std::to_string(action.fencing)}});
  this->dependencies.platform->OrderEndpoints(
      this->data_centre, order, action.fencing, this->MaySend(action.fencing),
      [this, id = order.id](PlatformOutcome outcome) {
        this->HandleOrderReply(id, PlatformOrderReply(outcome));
      });
}

void CoordinatorDriver::Do(const SendUsageReport& action) {
  this->dependencies.platform->ReportUsage(
      this->data_centre, action.window, action.fencing, action.figures,
      this->MaySend(action.fencing),
      [this, window = action.window](PlatformOutcome outcome) {
        CoordinatorActions next;
        this->coordinator.OnReportReply(this->clock.Now(), window,
                                        PlatformReportReply(outcome), next);
        this->Perform(next);
      });
}

void CoordinatorDriver::Do(const SendReleaseNotice& action) {
  this->dependencies.broadcast_release(action.release);
}

}  // namespace hickorystand
