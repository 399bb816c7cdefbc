// Tests of the lease and the coordinator: failure scenarios step by step, and
// seeds of randomised runs that once found a fault.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/coordinator.h"
#include "kernel/log.h"
#include "protocol_simulation.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// These tests transfer thousands of leases, so only errors are logged.
const bool kQuiet = [] {
  StartLog({.level = LogLevel::kError});
  return true;
}();

// One coordinator and the store, stepped by the test.
struct Bench {
  explicit Bench(const std::string& host, ModelStore& store)
      : store(store), coordinator(OptionsFor(host)) {}

  static CoordinatorOptions OptionsFor(const std::string& host) {
    CoordinatorOptions options;
    options.lease.data_centre = DataCentreId("dc");
    options.lease.host = HostId(host);
    options.lease.incarnation = 1;
    options.window_length = seconds(5);
    return options;
  }

  // Runs all store calls at once, and keeps the other actions. Replies to
  // transactions that write `lost_key` are lost.
  void Settle(Instant now, CoordinatorActions actions) {
    while (!actions.empty()) {
      CoordinatorActions next;
      for (const CoordinatorAction& action : actions) {
        this->Handle(now, action, next);
      }
      actions = next;
    }
  }

  void Handle(Instant now,
              const CoordinatorAction& action,
              CoordinatorActions& next) {
    if (const auto* run = std::get_if<RunTransaction>(&action)) {
      StoreReply reply = this->store.Transact(now, run->transaction);
      const bool lost = std::ranges::any_of(
          run->transaction.then, [this](const StoreOperation& each) {
            return each.kind == StoreOperation::Kind::kPut &&
                   each.key == this->lost_key;
          });
      if (lost) {
        reply = {.outcome = StoreOutcome::kUnknown};
        this->lost_key.clear();
      }
      this->coordinator.OnStoreReply(now, run->tag, reply, next);
    } else if (const auto* grant = std::get_if<GrantLease>(&action)) {
      this->coordinator.OnLeaseGranted(
          now, grant->tag, this->store.Grant(now, grant->length), next);
    } else if (const auto* renew = std::get_if<RenewLease>(&action)) {
      this->coordinator.OnLeaseRenewed(
          now, renew->tag, this->store.Renew(now, renew->lease), next);
    } else if (const auto* revoke = std::get_if<RevokeLease>(&action)) {
      this->store.Revoke(now, revoke->lease);
    } else {
      this->sent.push_back(action);
    }
  }

  void Tick(Instant now) {
    CoordinatorActions actions;
    this->coordinator.OnTick(now, actions);
    this->Settle(now, actions);
  }

  Result<OrderId> Propose(Instant now, const OrderRequest& request) {
    CoordinatorActions actions;
    Result<OrderId> id = this->coordinator.Propose(now, request, actions);
    this->Settle(now, actions);
    return id;
  }

  template <typename Action>
  std::vector<Action> Sent() const {
    std::vector<Action> found;
    for (const CoordinatorAction& action : this->sent) {
      if (const auto* each = std::get_if<Action>(&action)) {
        found.push_back(*each);
      }
    }
    return found;
  }

  ModelStore& store;
  Coordinator coordinator;
  CoordinatorActions sent;
  std::string lost_key;
};

const OrderRequest kChangeRole = {.endpoint = EndpointId("e"),
                                  .argument = "decode"};
const OrderRequest kMore = {.kind = OrderKind::kChangeEndpoints,
                            .service = ServiceId("s"),
                            .change = 1};

Instant At(double seconds) {
  return Instant(FromSeconds(1000 + seconds));
}

}  // namespace

TEST_GROUP(Coordinator) {
  ModelStore store;
  Bench first{"a", store};
  Bench second{"b", store};

  // `first` holds the lease and is then paused until it has expired; `second`
  // acquires it.
  void TakeOver() {
    this->second.Tick(At(20));
    this->second.Tick(At(20.5));
  }
};

TEST(Coordinator, OneHostOfTwoBecomesReady) {
  first.Tick(At(0));
  second.Tick(At(0));
  CHECK(first.coordinator.Ready());
  CHECK(!second.coordinator.Ready());
  CHECK(second.Propose(At(1), kChangeRole).error().kind ==
        ErrorKind::kNotHolder);
}

// A host is suspended for a minute, its lease expires and another host sends
// orders. When the host resumes, an order that it decided on before must not
// reach the endpoint. Its clock includes the suspended time, so the check
// refuses.
TEST(Coordinator, MayNotActAfterSleepingThroughItsLease) {
  first.Tick(At(0));
  const int64_t fencing = first.coordinator.Authority().Fencing();
  CHECK(first.coordinator.MayAct(At(4.9), fencing));
  CHECK(!first.coordinator.MayAct(At(5.1), fencing));
}

// The reply to the lease's creation is lost. If that were treated as a failure,
// the data centre would have no coordinator until the record expires. The
// unique token in the record identifies the host's own lease.
TEST(Coordinator, TakesTheLeaseWhenOnlyTheReplyWasLost) {
  first.lost_key = LeaseKey(DataCentreId("dc"));
  first.Tick(At(0));
  CHECK(first.coordinator.Ready());
}

// The reply to an order record's write is lost. If the order were never sent,
// the endpoint would stall; if it were sent without certainty, a successor
// might find no record of it. Reading the record back confirms the write.
TEST(Coordinator, SendsAnOrderWhoseRecordWasWrittenButNotConfirmed) {
  first.Tick(At(0));
  first.lost_key = OrderRecordKey(DataCentreId("dc"));
  CHECK(first.Propose(At(1), kChangeRole).has_value());
  first.Tick(At(1.5));
  LONGS_EQUAL(1, first.Sent<SendOrder>().size());
}

// A coordinator dies between recording an order and receiving its result. If
// its successor sent another role to the same endpoint, the endpoint might
// receive two conflicting orders, since the first may only be late. The
// successor repeats the first order and refuses others until the endpoint
// reports it done.
TEST(Coordinator, SuccessorRepeatsAnOpenOrderAndRefusesOthersThere) {
  first.Tick(At(0));
  const Result<OrderId> open = first.Propose(At(1), kChangeRole);
  TakeOver();
  LONGS_EQUAL(1, second.Sent<SendOrder>().size());
  CHECK(second.Sent<SendOrder>().front().order.id == *open);
  const OrderRequest other = {.endpoint = EndpointId("e"),
                              .argument = "prefill"};
  CHECK(second.Propose(At(21), other).error().kind == ErrorKind::kConflict);
  CHECK(second.Propose(At(21), {.endpoint = EndpointId("free")}).has_value());
  CoordinatorActions actions;
  second.coordinator.OnOrderReply(At(21.5), *open, OrderReply::kDone, actions);
  second.Settle(At(21.5), actions);
  CHECK(second.Propose(At(22), other).has_value());
}

// A coordinator is paused just before it sends an endpoint order to the
// platform, which doesn't verify the sender. If its successor ordered endpoints
// now, two hosts would act as coordinator. The successor must wait until the
// first one resumes and reports that it has stopped.
TEST(Coordinator, SuccessorOrdersNoEndpointsUntilTheFirstHasStopped) {
  first.Tick(At(0));
  const Result<OrderId> open = first.Propose(At(1), kMore);
  TakeOver();
  CHECK(second.Sent<SendEndpointOrder>().empty());
  CHECK(second.Propose(At(21), kMore).error().kind == ErrorKind::kConflict);
  first.Tick(At(22));
  const auto notices = first.Sent<SendReleaseNotice>();
  LONGS_EQUAL(1, notices.size());
  CoordinatorActions actions;
  second.coordinator.OnReleased(At(22.5), notices.front().release, actions);
  second.Settle(At(22.5), actions);
  LONGS_EQUAL(1, second.Sent<SendEndpointOrder>().size());
  CHECK(second.Sent<SendEndpointOrder>().front().order.id == *open);
}

// The first coordinator's machine is lost for good and reports nothing. Without
// a time limit, endpoint orders would stop for ever; its order must be taken
// over once the platform's list hasn't contained the host for long enough.
TEST(Coordinator, SuccessorGoesOnWhenTheFirstHostLeftTheList) {
  first.Tick(At(0));
  CHECK(first.Propose(At(1), kMore).has_value());
  TakeOver();
  const auto listed = [this](double at) {
    CoordinatorActions actions;
    second.coordinator.OnHosts(At(at), {{.host = HostId("b")}}, actions);
    second.Settle(At(at), actions);
  };
  for (double at = 21; at < 50; at += 1) {
    listed(at);
    CHECK(second.Sent<SendEndpointOrder>().empty());
  }
  listed(51.5);
  second.Tick(At(52));
  LONGS_EQUAL(1, second.Sent<SendEndpointOrder>().size());
}

// The reporter of a closed window dies before the report is confirmed. A
// successor that counts anew would report other figures for the same window,
// and the account would be billed twice. It must send the recorded figures
// again.
TEST(Coordinator, SuccessorReportsTheFiguresThatWereWritten) {
  UsageMeter meter({.host = HostId("c"), .incarnation = 1});
  meter.Add(AccountId("x"), {.prompt_tokens = 100, .requests = 1});
  first.Tick(At(0));
  first.coordinator.OnUsage(meter.Copy());
  for (double at = 1; at < 7; at += 1) {
    first.Tick(At(at));
  }
  LONGS_EQUAL(1, first.Sent<SendUsageReport>().front().window);
  meter.Add(AccountId("x"), {.prompt_tokens = 900, .requests = 9});
  second.coordinator.OnUsage(meter.Copy());
  TakeOver();
  CHECK(second.Sent<SendUsageReport>().empty());
  CoordinatorActions actions;
  second.coordinator.OnPeer(At(21), HostId("a"), 2, actions);
  second.Settle(At(21), actions);
  second.Tick(At(21.5));
  CHECK(first.Sent<SendUsageReport>().front().figures ==
        second.Sent<SendUsageReport>().front().figures);
  for (double at = 22; at < 28; at += 1) {
    second.Tick(At(at));
  }
  const SendUsageReport later = second.Sent<SendUsageReport>().back();
  LONGS_EQUAL(2, later.window);
  LONGS_EQUAL(9, later.figures.at(AccountId("x")).requests);
}

// An operator replaces a host. The lease would otherwise block the data centre
// for its full length, so a planned stop must release it and notify the other
// hosts.
TEST(Coordinator, PlannedStopFreesTheLeaseAtOnce) {
  first.Tick(At(0));
  CoordinatorActions actions;
  first.coordinator.StartRelease(At(1), actions);
  first.Settle(At(1), actions);
  CHECK(first.coordinator.Released());
  LONGS_EQUAL(1, first.Sent<SendReleaseNotice>().size());
  second.Tick(At(1.1));
  CHECK(second.coordinator.Ready());
}

TEST(Coordinator, RecordStaysSmallAndWritesFew) {
  first.Tick(At(0));
  const int64_t calls = store.Calls();
  for (int i = 0; i < 1024; ++i) {
    CHECK(first
              .Propose(At(1), {.endpoint = EndpointId("endpoint-of-some-name-" +
                                                      std::to_string(i)),
                               .argument = std::string(256, 'x')})
              .has_value());
  }
  CHECK(first.Propose(At(1), kChangeRole).error().kind ==
        ErrorKind::kOverloaded);
  first.Tick(At(1.5));
  CHECK(store.LargestValue() < 1'000'000);
  // The first proposal is written alone and the other 1023 together.
  CHECK(store.Calls() - calls <= 3);
}

TEST_GROUP(Calls){};

// Every host of a data centre contends for the lease. If each tried every two
// seconds, 330 hosts would use up the store's call rate for nothing; hosts
// later in the list try less often.
TEST(Calls, GrowWithDataCentresNotWithHosts) {
  std::map<int, double> rates;
  for (const int hosts : {2, 8, 18, 83}) {
    ModelStore calls;
    std::vector<std::unique_ptr<Bench>> benches;
    std::vector<HostListing> listed;
    for (int i = 0; i < hosts; ++i) {
      const std::string name = "host-" + std::to_string(1000 + i);
      benches.push_back(std::make_unique<Bench>(name, calls));
      listed.push_back({.host = HostId(name)});
    }
    for (const auto& bench : benches) {
      CoordinatorActions actions;
      bench->coordinator.OnHosts(At(0), listed, actions);
      bench->Settle(At(0), actions);
    }
    constexpr int kSeconds = 300;
    for (int tick = 0; tick < kSeconds * 10; ++tick) {
      std::ranges::for_each(benches, [tick](const auto& bench) {
        bench->Tick(At(static_cast<double>(tick) / 10));
      });
    }
    rates[hosts] = static_cast<double>(calls.Calls()) / kSeconds;
    std::printf("lease: %d hosts in a data centre, %.2f store calls/s\n", hosts,
                rates[hosts]);
  }
  CHECK(rates[18] < 3);
  CHECK(rates[83] < 7);
}

TEST_GROUP(UsageLoss){};

// A host is killed. Only what it served since its last copy was sent may be
// lost, which is then never billed. Copies are sent every second here, and each
// host serves 20 requests a second.
TEST(UsageLoss, IsWhatWasServedSinceTheLastCopy) {
  WorldOptions options = MatrixOptions();
  options.loss = 0;
  options.delay = 0;
  for (int step = 0; step < kSteps; ++step) {
    const WorldReport report =
        World(options,
              {{.step = static_cast<Step>(step), .fault = Fault::kKill}})
            .Run();
    LONGS_EQUAL(1, report.kills);
    CHECK(report.served - report.reported <= 21);
  }
}

TEST_GROUP(Seeds){};

// Guards against usage windows and endpoint orders that reach the platform from
// two hosts that both act as coordinator: the second repeated the first one's
// orders, and the first, holder again, treated them as its own and didn't wait
// for the second, which was paused between its check and its send.
TEST(Seeds, TakeoverIsRecordedBeforeARepeat) {
  for (const uint64_t seed : {2, 28}) {
    CHECK(World(SoakOptions(seed), {}).Run().violations.empty());
  }
  WorldOptions without = MatrixOptions();
  without.coordinator.record_takeover = false;
  const std::vector<Injection> faults = {
      {.step = Step::kPlatformSend, .fault = Fault::kPause},
      {.step = Step::kPlatformSend, .fault = Fault::kPauseAfterCheck}};
  CHECK(!World(without, faults).Run().violations.empty());
  CHECK(World(MatrixOptions(), faults).Run().violations.empty());
}

// Guards against a request that runs twice: its repeat stayed unread on a
// paused host until the claim of the first had expired.
TEST(Seeds, ClaimOutlivesAnUnreadRepeat) {
  CHECK(World(SoakOptions(107), {}).Run().violations.empty());
}

}  // namespace hickorystand
