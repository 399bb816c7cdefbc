#include "simulated_host.h"

#include <algorithm>
#include <cassert>
#include <ranges>
#include <utility>
#include <variant>

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCallTimeout = seconds(2);
constexpr Duration kReplyTimeout = seconds(1);
constexpr Duration kLongPause = seconds(12);
constexpr Duration kDuplicateWindow = seconds(30);
const DataCentreId kDataCentre("dc");

CoordinatorOptions CoordinatorFor(const WorldOptions& options,
                                  const HostId& id,
                                  uint64_t incarnation) {
  CoordinatorOptions result = options.coordinator;
  result.lease.data_centre = kDataCentre;
  result.lease.host = id;
  result.lease.incarnation = incarnation;
  return result;
}

ClaimOptions ClaimsFor(const WorldOptions& options,
                       const HostId& id,
                       uint64_t incarnation) {
  ClaimOptions result = options.claims;
  result.host = id;
  result.incarnation = incarnation;
  return result;
}

// Returns the step of a transaction, derived from the keys that it writes.
Step StepOf(const StoreTransaction& transaction) {
  const auto puts = [&transaction](std::string_view prefix) {
    return std::ranges::any_of(
        transaction.then, [prefix](const StoreOperation& operation) {
          return operation.kind == StoreOperation::Kind::kPut &&
                 operation.key.starts_with(prefix);
        });
  };
  if (puts("/hickorystand/usage/")) {
    return Step::kWindowClose;
  }
  if (puts("/hickorystand/lease/")) {
    return Step::kLeaseCreate;
  }
  if (puts("/hickorystand/claims/")) {
    return Step::kClaimWrite;
  }
  return puts("/hickorystand/orders/") ? Step::kOrderIntent : Step::kRecordRead;
}

}  // namespace

ModelHost::ModelHost(World& world,
                     const HostId& id,
                     uint64_t incarnation,
                     HostClock clock)
    : world(world),
      id(id),
      incarnation(incarnation),
      clock(clock),
      coordinator(CoordinatorFor(world.options, id, incarnation)),
      claims(ClaimsFor(world.options, id, incarnation)),
      meter({.host = id, .incarnation = incarnation}) {}

Instant ModelHost::Clock() const {
  const double elapsed =
      static_cast<double>(this->world.Now().time_since_epoch().count()) *
      this->clock.speed;
  return Instant(Duration(static_cast<int64_t>(elapsed)) + this->clock.offset);
}

void ModelHost::Deliver(std::function<void()> event) {
  if (!this->alive) {
    return;
  }
  if (this->paused) {
    this->inbox.push_back(std::move(event));
  } else {
    event();
  }
}

void ModelHost::SendBytes(std::function<void()> bytes) {
  if (!this->alive) {
    return;
  }
  if (this->paused) {
    this->outbox.push_back(std::move(bytes));
  } else {
    bytes();
  }
}

void ModelHost::Pause(Duration length) {
  this->paused = true;
  this->paused_until = this->world.Now() + length;
  this->world.After(length, [this] { this->Wake(); });
}

void ModelHost::Wake() {
  if (this->world.Now() < this->paused_until) {
    return;  // a later, longer pause is still in progress
  }
  this->paused = false;
  for (auto* queue : {&this->outbox, &this->inbox}) {
    while (this->alive && !this->paused && !queue->empty()) {
      const std::function<void()> next = std::move(queue->front());
      queue->pop_front();
      next();
    }
  }
}

void ModelHost::Kill() {
  this->alive = false;
  this->outbox.clear();
  this->inbox.clear();
}

void ModelHost::Tick() {
  if (!this->alive || this->paused) {
    return;
  }
  this->CheckLeaseHeld();
  if (!this->world.quiet && !this->draining) {
    this->meter.Add(AccountId("big"), {.prompt_tokens = 10, .requests = 1});
    ++this->world.report.served;
  }
  this->coordinator.OnUsage(this->meter.Copy());
  CoordinatorActions wanted;
  this->coordinator.OnTick(this->Clock(), wanted);
  this->Do(wanted);
  ClaimActions claimed;
  this->claims.OnTick(this->Clock(), claimed);
  this->Do(claimed);
  this->CheckLeaseHeld();
  if (this->draining && this->coordinator.Released() && this->pending.empty()) {
    this->Exchange();  // sends the final usage copy
    this->alive = false;
  }
}

void ModelHost::Exchange() {
  if (!this->alive || this->paused) {
    return;
  }
  const std::vector<UsageCopy> copies = this->coordinator.Usage().Copies();
  const HostId id = this->id;
  const uint64_t incarnation = this->incarnation;
  this->SendToPeers([copies, id, incarnation](ModelHost& peer) {
    std::ranges::for_each(copies, [&peer](const UsageCopy& copy) {
      peer.coordinator.OnUsage(copy);
    });
    peer.Tell([&](CoordinatorActions& wanted) {
      peer.coordinator.OnPeer(peer.Clock(), id, incarnation, wanted);
    });
  });
}

void ModelHost::SendToPeers(const std::function<void(ModelHost&)>& message) {
  for (const auto& peer : this->world.hosts) {
    const std::optional<Duration> travel = this->world.NetworkDelay();
    const bool cut = this->world.Now() < this->peer_partition_until ||
                     this->world.Now() < peer->peer_partition_until;
    if (peer.get() != this && peer->Alive() && travel && !cut) {
      ModelHost* receiver = peer.get();
      this->world.After(*travel, [receiver, message] {
        receiver->Deliver([receiver, message] { message(*receiver); });
      });
    }
  }
}

void ModelHost::StartDrain() {
  this->draining = true;
  this->Deliver([this] {
    CoordinatorActions wanted;
    this->coordinator.StartRelease(this->Clock(), wanted);
    this->Do(wanted);
  });
}

// Every host proposes a different argument, so that orders of two concurrent
// holders conflict.
void ModelHost::Propose() {
  if (!this->alive || this->paused) {
    return;
  }
  CoordinatorActions wanted;
  ++this->proposals;
  for (const auto& endpoint : this->world.endpoints) {
    (void)this->coordinator.Propose(
        this->Clock(),
        {.endpoint = endpoint->Id(),
         .argument = this->id.Text() + std::to_string(this->proposals),
         .fences = endpoint->Fences()},
        wanted);
  }
  if (this->proposals % 2 == 0) {
    (void)this->coordinator.Propose(this->Clock(),
                                    {.kind = OrderKind::kChangeEndpoints,
                                     .service = ServiceId("s"),
                                     .change = 1},
                                    wanted);
  }
  this->Do(wanted);
}

void ModelHost::OnHosts(const std::vector<HostListing>& listed) {
  this->Deliver([this, listed] {
    this->Tell([&](CoordinatorActions& wanted) {
      this->coordinator.OnHosts(this->Clock(), listed, wanted);
    });
  });
}

// The invariant on which all others rest: whenever MayAct() is true, the host
// holds the lease in the store.
void ModelHost::CheckLeaseHeld() {
  const int64_t fencing = this->coordinator.Authority().Fencing();
  if (this->coordinator.MayAct(this->Clock(), fencing) &&
      !this->world.store.LeaseStands(this->world.Now(), LeaseKey(kDataCentre),
                                     fencing)) {
    this->world.Violation("a host may act under a lease that has ended");
  }
}

// Passes an event to the coordinator and runs the resulting actions.
void ModelHost::Tell(const std::function<void(CoordinatorActions&)>& event) {
  CoordinatorActions wanted;
  event(wanted);
  this->Do(wanted);
}

void ModelHost::Do(const CoordinatorActions& actions) {
  for (const CoordinatorAction& action : actions) {
    std::visit([this](const auto& each) { this->Run(each); }, action);
  }
}

void ModelHost::Do(const ClaimActions& actions) {
  for (const ClaimAction& action : actions) {
    if (const auto* answer = std::get_if<AnswerClaim>(&action)) {
      this->Answer(*answer);
    } else if (const auto* run = std::get_if<RunTransaction>(&action)) {
      this->Transact(*run, [this, tag = run->tag](const StoreReply& reply) {
        ClaimActions wanted;
        this->claims.OnStoreReply(this->Clock(), tag, reply, wanted);
        this->Do(wanted);
      });
    } else if (const auto* grant = std::get_if<GrantLease>(&action)) {
      this->CallStore<Result<int64_t>>(
          Step::kClaimWrite,
          [this, length = grant->length]() -> Result<int64_t> {
            return this->world.store.Grant(this->world.Now(), length);
          },
          Fail(ErrorKind::kPlatformDown, "refused"),
          Fail(ErrorKind::kPlatformDown, "no reply"),
          [this, tag = grant->tag](const Result<int64_t>& lease) {
            ClaimActions wanted;
            this->claims.OnLeaseGranted(this->Clock(), tag, lease, wanted);
            this->Do(wanted);
          });
    }
  }
}

void ModelHost::Run(const RunTransaction& action) {
  this->Transact(action, [this, tag = action.tag](const StoreReply& reply) {
    this->Tell([&](CoordinatorActions& wanted) {
      this->coordinator.OnStoreReply(this->Clock(), tag, reply, wanted);
    });
  });
}

void ModelHost::Transact(const RunTransaction& action,
                         const std::function<void(StoreReply)>& done) {
  this->CallStore<StoreReply>(
      StepOf(action.transaction),
      [this, transaction = action.transaction] {
        return this->world.store.Transact(this->world.Now(), transaction);
      },
      {.outcome = StoreOutcome::kNotApplied},
      {.outcome = StoreOutcome::kUnknown}, done);
}

void ModelHost::Run(const GrantLease& action) {
  this->CallStore<Result<int64_t>>(
      Step::kLeaseGrant,
      [this, length = action.length]() -> Result<int64_t> {
        return this->world.store.Grant(this->world.Now(), length);
      },
      Fail(ErrorKind::kPlatformDown, "refused"),
      Fail(ErrorKind::kPlatformDown, "no reply"),
      [this, tag = action.tag](const Result<int64_t>& lease) {
        this->Tell([&](CoordinatorActions& wanted) {
          this->coordinator.OnLeaseGranted(this->Clock(), tag, lease, wanted);
        });
      });
}

void ModelHost::Run(const RenewLease& action) {
  this->CallStore<Result<Duration>>(
      Step::kLeaseRenew,
      [this, lease = action.lease] {
        return this->world.store.Renew(this->world.Now(), lease);
      },
      Fail(ErrorKind::kPlatformDown, "refused"),
      Fail(ErrorKind::kPlatformDown, "no reply"),
      [this, tag = action.tag](const Result<Duration>& left) {
        this->Tell([&](CoordinatorActions& wanted) {
          this->coordinator.OnLeaseRenewed(this->Clock(), tag, left, wanted);
        });
      });
}

void ModelHost::Run(const RevokeLease& action) {
  this->CallStore<bool>(
      Step::kLeaseRelease,
      [this, lease = action.lease] {
        this->world.store.Revoke(this->world.Now(), lease);
        return true;
      },
      false, false, [](bool) {});
}

void ModelHost::Run(const SendOrder& action) {
  const auto found =
      std::ranges::find(this->world.endpoints, action.order.endpoint,
                        [](const auto& endpoint) { return endpoint->Id(); });
  ModelEndpoint* endpoint = found->get();
  // The connection is opened before the lease check, and is closed if the
  // endpoint restarts.
  const uint64_t connected_to = endpoint->Incarnation();
  this->SendGuarded<OrderReply>(
      Step::kOrderSend, Step::kOrderReply, action.fencing,
      [endpoint, connected_to] {
        return endpoint->Incarnation() == connected_to;
      },
      [this, endpoint, action](Instant) {
        return endpoint->Receive(this->world.Now(), action.order,
                                 action.fencing);
      },
      [this, order = action.order.id](OrderReply reply) {
        this->Tell([&](CoordinatorActions& wanted) {
          this->coordinator.OnOrderReply(this->Clock(), order, reply, wanted);
        });
      });
}

void ModelHost::Run(const SendEndpointOrder& action) {
  this->SendGuarded<OrderReply>(
      Step::kPlatformSend, Step::kPlatformReply, action.fencing,
      [] { return true; },
      [this, action](Instant sent) {
        this->world.platform.ReceiveOrder(this->world.Now(), sent, action.order,
                                          action.fencing);
        return OrderReply::kDone;
      },
      [this, order = action.order.id](OrderReply reply) {
        this->Tell([&](CoordinatorActions& wanted) {
          this->coordinator.OnOrderReply(this->Clock(), order, reply, wanted);
        });
      });
}

void ModelHost::Run(const SendUsageReport& action) {
  this->SendGuarded<ReportReply>(
      Step::kReportSend, Step::kReportReply, action.fencing,
      [] { return true; },
      [this, action](Instant sent) {
        this->world.platform.ReceiveReport(this->world.Now(), sent, action);
        return ReportReply::kAccepted;
      },
      [this, window = action.window](ReportReply reply) {
        this->Tell([&](CoordinatorActions& wanted) {
          this->coordinator.OnReportReply(this->Clock(), window, reply, wanted);
        });
      });
}

void ModelHost::Run(const SendReleaseNotice& action) {
  this->SendToPeers([release = action.release](ModelHost& peer) {
    peer.Tell([&](CoordinatorActions& wanted) {
      peer.coordinator.OnReleased(peer.Clock(), release, wanted);
    });
  });
}

template <typename Reply>
void ModelHost::CallStore(Step step,
                          const std::function<Reply()>& apply,
                          const Reply& refused,
                          const Reply& unknown,
                          const std::function<void(Reply)>& done) {
  const Fault fault = this->world.InjectFault(step, *this);
  auto waiting = std::make_shared<bool>(true);
  const auto answer = [this, waiting, done](const Reply& reply) {
    this->Deliver([waiting, done, reply] {
      if (std::exchange(*waiting, false)) {
        done(reply);
      }
    });
  };
  this->SendBytes([this, fault, apply, refused, unknown, answer] {
    World& world = this->world;
    world.After(kCallTimeout, [answer, unknown] { answer(unknown); });
    if (world.Now() < this->store_partition_until) {
      return;
    }
    if (world.Now() < world.store.down_until) {
      world.After(milliseconds(1), [answer, refused] { answer(refused); });
      return;
    }
    const Duration travel = world.Now() < world.store.slow_until
                                ? world.Between(milliseconds(500), seconds(4))
                                : world.Between(Duration(200), milliseconds(2));
    world.After(travel, [&world, fault, apply, answer] {
      const Reply reply = apply();
      if (fault != Fault::kReplyLost && !world.Chance(world.options.loss)) {
        world.After(milliseconds(1), [answer, reply] { answer(reply); });
      }
    });
  });
}

template <typename Reply>
void ModelHost::SendGuarded(Step send,
                            Step answer,
                            int64_t fencing,
                            const std::function<bool()>& connected,
                            const std::function<Reply(Instant sent)>& receive,
                            const std::function<void(Reply)>& done) {
  const Fault fault = this->world.InjectFault(send, *this);
  auto waiting = std::make_shared<bool>(true);
  const auto settle = [this, waiting, done](Reply reply) {
    this->Deliver([waiting, done, reply] {
      if (std::exchange(*waiting, false)) {
        done(reply);
      }
    });
  };
  this->Deliver([this, fault, answer, fencing, connected, receive, settle] {
    if (!this->coordinator.MayAct(this->Clock(), fencing)) {
      settle(Reply::kNotSent);
      return;
    }
    this->CheckLeaseHeld();
    if (fault == Fault::kPauseAfterCheck) {
      this->Pause(kLongPause);
    }
    this->SendBytes([this, fault, answer, connected, receive, settle] {
      World& world = this->world;
      const Instant sent = world.Now();
      world.After(kReplyTimeout, [settle] { settle(Reply::kNoReply); });
      const std::optional<Duration> travel = world.NetworkDelay();
      if (!travel) {
        return;
      }
      world.After(*travel, [=, this, &world] {
        if (!connected()) {
          return;
        }
        const Reply reply = receive(sent);
        if (fault == Fault::kReplyLost || world.Chance(world.options.loss)) {
          return;
        }
        world.After(milliseconds(1), [=, this, &world] {
          if (this->alive &&
              world.InjectFault(answer, *this) != Fault::kReplyLost) {
            settle(reply);
          }
        });
      });
    });
  });
}

void ModelHost::File(const RequestId& request,
                     const std::string& key,
                     std::function<void(FilingAnswer)> answer) {
  this->Deliver([this, request, key, answer = std::move(answer)] {
    this->pending[request] = {.key = key, .answer = answer};
    ClaimActions wanted;
    this->claims.Claim(this->Clock(),
                       {.request = request,
                        .key = ClaimKey(ServiceId("filings"), AccountId("a"),
                                        key, "/file", ""),
                        .window = kDuplicateWindow,
                        .deadline = this->Clock() + seconds(3)},
                       wanted);
    this->Do(wanted);
  });
}

void ModelHost::Answer(const AnswerClaim& answer) {
  const Fault replied = this->world.InjectFault(Step::kClaimReply, *this);
  if (!this->alive || replied == Fault::kReplyLost) {
    return;
  }
  if (answer.result == ClaimResult::kGranted) {
    const Fault fault = this->world.InjectFault(Step::kFilingSend, *this);
    this->Deliver([this, request = answer.request, fault] {
      this->SendFiling(request, fault);
    });
    return;
  }
  const auto filing = this->pending.extract(answer.request);
  filing.mapped().answer(
      answer.result == ClaimResult::kTaken     ? FilingAnswer::kTaken
      : answer.result == ClaimResult::kUnknown ? FilingAnswer::kUnknown
                                               : FilingAnswer::kNotRun);
}

void ModelHost::SendFiling(const RequestId& request, Fault fault) {
  if (!this->claims.MaySend(this->Clock(), request)) {
    ClaimActions wanted;
    this->claims.Withdraw(this->Clock(), request, wanted);
    this->Do(wanted);
    this->pending.extract(request).mapped().answer(FilingAnswer::kNotRun);
    return;
  }
  this->claims.OnSent(request);
  if (fault == Fault::kPauseAfterCheck) {
    this->Pause(kLongPause);
  }
  const auto settle = [this, request](FilingAnswer answer) {
    this->Deliver([this, request, answer] {
      if (const auto filing = this->pending.extract(request)) {
        filing.mapped().answer(answer);
      }
    });
  };
  const std::string key = this->pending.at(request).key;
  this->SendBytes([this, request, key, fault, settle] {
    World& world = this->world;
    world.After(kReplyTimeout, [settle] { settle(FilingAnswer::kUnknown); });
    const std::optional<Duration> travel = world.NetworkDelay();
    if (!travel) {
      return;
    }
    world.After(*travel, [=, this, &world] {
      world.filings.Receive(key, request);
      if (fault != Fault::kReplyLost && this->alive &&
          world.InjectFault(Step::kFilingReply, *this) != Fault::kReplyLost) {
        settle(FilingAnswer::kDone);
      }
    });
  });
}

}  // namespace hickorystand
