// Tests of the parts of the dispatch policy: admission, router, prefix cache,
// suspects and placement.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <ranges>
#include <set>
#include <string>

#include "decisions/placement.h"
#include "policy_fixture.h"

namespace hickorystand {
namespace {

ConfigurationPtr TwoAccounts() {
  return FleetBuilder()
      .WithAccount("large")
      .WithAccount("small")
      .WithEndpoints(4)
      .Build();
}

// Serves `rounds` requests from a queue to which each round adds one request of
// the small account and `flood` of the large one. Returns how many of the
// served requests belonged to the small account.
int64_t CountSmallAccountServed(const AdmissionOptions& options,
                                int rounds,
                                int flood) {
  Admission admission(options);
  admission.OnConfiguration(*TwoAccounts());
  int64_t next = 0;
  int64_t small = 0;
  const auto add = [&](const std::string& account) {
    admission.Enqueue(At(0),
                      MakeRequest("r" + std::to_string(next++),
                                  RequestClass::kInteractive, account),
                      1000, false);
  };
  for (int round = 0; round < rounds; ++round) {
    for (int i = 0; i < flood; ++i) {
      add("large");
    }
    add("small");
    const QueuedRequest head = admission.Heads(At(0), kModel, 1).front();
    admission.Start(At(0), head.request);
    small += head.account == AccountId("small");
  }
  return small;
}

EndpointId ChooseEndpoint(Router& router,
                          const Request& request,
                          double second) {
  return router.Choose(At(second), {.request = &request})
      .value_or(Route())
      .endpoint;
}

// The rates of the policy bench's engines.
RoleRatesTable Rates() {
  return {{EndpointRole::kMixed, {6000, 533, 0.5}},
          {EndpointRole::kPrefill, {10000, 400, 0.7}},
          {EndpointRole::kDecode, {3000, 1067, 0.3}}};
}

std::vector<EndpointState> Engines(int count, EndpointRole role) {
  std::vector<EndpointState> states;
  for (int i = 0; i < count; ++i) {
    states.push_back(
        {.endpoint = {.id = EndpointId("e" + std::to_string(i)),
                      .service = kModel,
                      .data_centre = DataCentreId("dc" + std::to_string(i % 3)),
                      .zone = ZoneId("z" + std::to_string(i % 3))},
         .role = role});
  }
  return states;
}

// Feeds the planner a steady mix for `seconds` from `from`: per second,
// `prompts` prompt-heavy and `answers` answer-heavy requests. Returns the end
// time.
double HashField(Planner& planner,
                 double from,
                 double seconds,
                 int prompts,
                 int answers) {
  double second = from;
  for (; second < from + seconds; ++second) {
    for (int i = 0; i < prompts; ++i) {
      planner.OnRequest(3500, 120);
    }
    for (int i = 0; i < answers; ++i) {
      planner.OnRequest(400, 600);
    }
    planner.OnTick(At(second));
  }
  return second;
}

}  // namespace

TEST_GROUP(Admission){};

// One account sends nine times as much as the other. First come, first served
// would give the small account only a tenth of the capacity.
TEST(Admission, FloodDoesNotStarveTheSmallAccount) {
  LONGS_EQUAL(50, CountSmallAccountServed({.idle_credit_tokens = 0}, 100, 9));
  CHECK(CountSmallAccountServed({.fair = false}, 100, 9) <= 11);
}

// An account is idle for hours. If its unused share accumulated without bound,
// it could then starve all other accounts for a long time.
TEST(Admission, CreditOfAnIdleAccountIsBounded) {
  Admission admission({.idle_credit_tokens = 3000});
  admission.OnConfiguration(*TwoAccounts());
  int64_t next = 0;
  const auto add = [&](const std::string& account) {
    admission.Enqueue(At(0),
                      MakeRequest("r" + std::to_string(next++),
                                  RequestClass::kInteractive, account),
                      1000, false);
  };
  const auto serve = [&] {
    const QueuedRequest head = admission.Heads(At(0), kModel, 1).front();
    admission.Start(At(0), head.request);
    return head.account;
  };
  for (int i = 0; i < 100; ++i) {
    add("large");
    serve();
  }
  for (int i = 0; i < 50; ++i) {
    add("large");
    add("small");
  }
  int64_t small = 0;
  for (int i = 0; i < 20; ++i) {
    small += serve() == AccountId("small");
  }
  // Three requests use up the credit, then the accounts alternate.
  CHECK(small >= 10 && small <= 13);
}

// Other hosts have already served an account a lot. A host that counts only its
// own work would give the account a full share on top of that.
TEST(Admission, CountsWhatPeersHaveServed) {
  Admission admission({.idle_credit_tokens = 0});
  admission.OnConfiguration(*TwoAccounts());
  const auto receive_digest = [&](uint64_t sequence, int64_t cost) {
    admission.OnDigest({.host = HostId("h2"),
                        .incarnation = 1,
                        .sequence = sequence,
                        .served = {{AccountId("large"), cost, 0}}});
  };
  // Work served before the peer's first digest is not charged.
  receive_digest(1, 500000);
  DOUBLES_EQUAL(0, admission.Counter(AccountId("large")), 0.1);
  receive_digest(2, 510000);
  DOUBLES_EQUAL(10000, admission.Counter(AccountId("large")), 0.1);
  receive_digest(2, 900000);  // repeated sequence number: ignored
  DOUBLES_EQUAL(10000, admission.Counter(AccountId("large")), 0.1);
}

// Batch requests wait while interactive requests keep arriving. Without aging
// the batch queue starves.
TEST(Admission, BatchWorkIsNotStarved) {
  for (const bool aging : {true, false}) {
    Admission admission({.age_batch = aging});
    admission.OnConfiguration(*TwoAccounts());
    admission.Enqueue(At(0),
                      MakeRequest("leaflet", RequestClass::kBatch, "small"),
                      1000, false);
    bool arrived = false;
    for (int i = 1; i < 100 && !arrived; ++i) {
      for (int j = 0; j < 2; ++j) {
        admission.Enqueue(At(i),
                          MakeRequest("r" + std::to_string(2 * i + j),
                                      RequestClass::kInteractive,
                                      j == 0 ? "large" : "small", i),
                          1000, false);
      }
      const QueuedRequest head = admission.Heads(At(i), kModel, 1).front();
      admission.Start(At(i), head.request);
      arrived = head.request == RequestId("leaflet");
    }
    CHECK(arrived == aging);
  }
}

// The queue is longer than callers will wait. Without refusals all of them time
// out and retry at the same moment. Late requests must be refused at once, with
// spread retry-after times.
TEST(Admission, RefusesAtOnceWhatWouldBeLate) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(1).Build());
  std::set<Duration> times;
  AttemptId running = 0;
  for (int i = 0; i < 3000; ++i) {
    const double now = i * 0.02;
    const DispatchList out = dispatcher->OnArrival(
        At(now), MakeRequest("r" + std::to_string(i),
                             RequestClass::kInteractive, "a", now));
    if (const Dispatch* refusal = First(out, DispatchKind::kRefuse);
        refusal != nullptr && refusal->error) {
      CHECK(refusal->error->retry_after.has_value());
      times.insert(refusal->error->retry_after.value_or(Duration(0)));
    }
    for (const Dispatch& one : dispatcher->OnTick(At(now))) {
      running = one.kind == DispatchKind::kSend ? one.attempt : running;
    }
    if (i % 25 == 0) {
      dispatcher->OnResult(At(now),
                           MakeResult(running, AttemptOutcome::kComplete));
    }
  }
  CHECK(times.size() > 100);
  CHECK(dispatcher->Queued() < 200);
}

TEST_GROUP(Router){};

// Eight hosts receive the same stale report, in which one endpoint is slightly
// less loaded than the others. If all choose the least loaded one, they
// overload it (herding).
TEST(Router, HostsWithTheSameStaleViewDoNotHerd) {
  const ConfigurationPtr configuration =
      FleetBuilder().WithAccount("a").WithEndpoints(10).Build();
  for (const bool among_equals : {true, false}) {
    std::map<EndpointId, int> sent;
    for (uint64_t host = 0; host < 8; ++host) {
      Router router({.data_centre = kHere,
                     .seed = host,
                     .choose_among_equals = among_equals});
      router.OnConfiguration(*configuration);
      for (const auto& [id, endpoint] : configuration->endpoints) {
        LoadReport report = MakeReport(id.Text());
        report.prefill_rate = id == EndpointId("e3") ? 4100 : 4000;
        router.OnLoad(At(0), report);
      }
      const Request request = MakeRequest("r" + std::to_string(host));
      sent[ChooseEndpoint(router, request, 0)] += 1;
    }
    const int most = std::ranges::max(sent | std::views::values);
    CHECK(among_equals ? most <= 4 : most == 8);
  }
}

// An endpoint accepts requests but answers all of them late, while its load
// reports look healthy. Only the measured outcomes reveal it.
TEST(Router, SlowEndpointLosesItsWork) {
  const ConfigurationPtr configuration =
      FleetBuilder().WithAccount("a").WithEndpoints(2).Build();
  Router router({.data_centre = kHere});
  router.OnConfiguration(*configuration);
  const Request request = MakeRequest("r");
  const EndpointId slow("e1");
  for (int i = 0; i < 10; ++i) {
    const Route route{.endpoint = slow};
    router.OnSent(slow, request, route, false);
    router.OnFirstToken(At(i), slow, 0, 0.25, 5);
    router.OnEnded(At(i), slow, AttemptOutcome::kComplete, 0, false, false);
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(EndpointId("e2") == ChooseEndpoint(router, request, 10));
  }
}

void FailThreeAttempts(Router& router, const EndpointId& endpoint) {
  const Request request = MakeRequest("broken");
  for (int i = 0; i < 3; ++i) {
    router.OnSent(endpoint, request, {.endpoint = endpoint}, false);
    router.OnEnded(At(0), endpoint, AttemptOutcome::kBroken, 0, false, false);
  }
}

// After three consecutive failures an endpoint gets no requests for a while,
// then one probe request at a time until one is answered.
TEST(Router, FailingEndpointIsProbed) {
  const ConfigurationPtr configuration =
      FleetBuilder().WithAccount("a").WithEndpoints(1).Build();
  Router router({.data_centre = kHere});
  router.OnConfiguration(*configuration);
  const Request request = MakeRequest("r");
  const EndpointId only("e1");
  FailThreeAttempts(router, only);
  CHECK(!router.Choose(At(1), {.request = &request}));
  const auto probe = router.Choose(At(3), {.request = &request});
  CHECK(probe && probe->probe);
  router.OnSent(only, request, probe.value_or(Route()), false);
  CHECK(!router.Choose(At(3), {.request = &request}));
  router.OnEnded(At(4), only, AttemptOutcome::kComplete, 0, false, true);
  const auto after = router.Choose(At(4), {.request = &request});
  CHECK(after && !after->probe);
}

// A filing sent as the probe of a failing endpoint may end with an unknown
// outcome, so it goes to a healthy endpoint. If there is none, a single filing
// is the probe; otherwise a service that only gets filings would never recover.
TEST(Router, FilingIsTheProbeOnlyWhereNoOtherEndpointIs) {
  Request once = MakeRequest("once");
  once.request_class = RequestClass::kAtMostOnce;
  for (const int endpoints : {1, 2}) {
    const ConfigurationPtr configuration =
        FleetBuilder().WithAccount("a").WithEndpoints(endpoints).Build();
    Router router({.data_centre = kHere});
    router.OnConfiguration(*configuration);
    FailThreeAttempts(router, EndpointId("e1"));
    CHECK_EQUAL(endpoints == 2,
                router.Choose(At(1), {.request = &once}).has_value());
    for (int i = 0; i < 20; ++i) {
      const auto route = router.Choose(At(3), {.request = &once});
      CHECK(route && route->probe == (endpoints == 1));
    }
    const Route route =
        router.Choose(At(3), {.request = &once}).value_or(Route());
    router.OnSent(route.endpoint, once, route, false);
    CHECK_EQUAL(endpoints == 2,
                router.Choose(At(3), {.request = &once}).has_value());
  }
}

// A request that failed at one of two endpoints is retried at the other. If
// there is only one endpoint it is retried there; otherwise one broken
// connection would make the service unavailable.
TEST(Router, RetryAvoidsTheFailedEndpointIfThereIsAnother) {
  const Request request = MakeRequest("r");
  const EndpointId failed("e1");
  for (const int endpoints : {1, 2}) {
    const ConfigurationPtr configuration =
        FleetBuilder().WithAccount("a").WithEndpoints(endpoints).Build();
    Router router({.data_centre = kHere});
    router.OnConfiguration(*configuration);
    for (int i = 0; i < 20; ++i) {
      const auto route =
          router.Choose(At(1), {.request = &request, .avoid = {failed}});
      CHECK(route && (route->endpoint == failed) == (endpoints == 1));
    }
  }
}

TEST_GROUP(PrefixCache){};

// A cache event is lost. Until the next snapshot the view counts only half;
// otherwise requests would be routed to prefixes that were evicted.
TEST(PrefixCache, LostEventHalvesTheHitShare) {
  PrefixCache cache;
  cache.Apply({.incarnation = 1, .sequence = 1, .added = {1, 2, 3, 4}});
  DOUBLES_EQUAL(1, cache.HitShare({1, 2, 3, 4}), 0.001);
  DOUBLES_EQUAL(0.5, cache.HitShare({1, 2, 9, 4}), 0.001);
  cache.Apply({.incarnation = 1, .sequence = 3, .added = {5}});
  DOUBLES_EQUAL(0.5, cache.HitShare({1, 2, 3, 4}), 0.001);
  cache.Apply(
      {.incarnation = 1, .sequence = 4, .snapshot = true, .added = {1, 2}});
  DOUBLES_EQUAL(0.5, cache.HitShare({1, 2, 3, 4}), 0.001);
  CHECK(cache.InSync());
}

TEST(PrefixCache, MemoryIsBounded) {
  PrefixCache cache;
  for (uint64_t piece = 0; piece < 100000; ++piece) {
    cache.AssumeCached({piece});
  }
  CHECK(cache.Size() <= 8192);
}

TEST_GROUP(Suspects){};

namespace {

// The `number`-th endpoint that crashes, in a zone.
CrashedEndpoint Crashed(int64_t number, const std::string& zone) {
  return {.endpoint = {.id = EndpointId("e" + std::to_string(number)),
                       .started = 1},
          .zone = ZoneId(zone)};
}

// Runs of these requests, which had sent no event.
std::vector<LostRun> Runs(const std::vector<uint64_t>& fingerprints) {
  std::vector<LostRun> runs;
  for (const uint64_t fingerprint : fingerprints) {
    runs.push_back({.request = {.fingerprint = fingerprint}});
  }
  return runs;
}

// The same, as another host reports them.
std::vector<CrashReport::Run> Reported(
    const std::vector<uint64_t>& fingerprints) {
  std::vector<CrashReport::Run> runs;
  for (const uint64_t fingerprint : fingerprints) {
    runs.push_back({.request = {.fingerprint = fingerprint}});
  }
  return runs;
}

// The options of relay hosts.
SuspectsOptions BlocksAfterThree() {
  return {.block_after_crashes = 3,
          .retention = std::chrono::minutes(2),
          .zone_loss_window = std::chrono::milliseconds(200)};
}

}  // namespace

// A zone is reclaimed and two of its endpoints stop at once. The requests on
// them are not the cause and must not be refused after the next crash.
TEST(Suspects, LostZoneRaisesNoSuspicion) {
  Suspects suspects;
  suspects.OnCrash(At(0), Crashed(1, "z"), Runs({1, 2, 3}));
  CHECK(suspects.IsSuspected(At(0), 1));
  suspects.OnCrash(At(1), Crashed(2, "z"), Runs({4, 5}));
  for (uint64_t fingerprint = 1; fingerprint <= 5; ++fingerprint) {
    CHECK(!suspects.IsSuspected(At(1), fingerprint));
  }
}

// A caller sends a request that crashes endpoints to a different host each
// time. Each host has seen one crash only; the shared counts identify it.
TEST(Suspects, CrashesAddUpOverHosts) {
  Suspects suspects;
  suspects.OnCrash(At(0), Crashed(1, "z1"), Runs({1, 2}));
  suspects.OnPeer(At(0), HostId("h2"), {{1, 1}});
  CHECK(suspects.IsBlocked(At(0), 1));
  CHECK(!suspects.IsBlocked(At(0), 2));
  suspects.OnAnswered(At(0), {.fingerprint = 2}, At(0));
  CHECK(!suspects.IsSuspected(At(0), 2));
}

// Guards against requests of one crash that are reported one by one and clear
// each other as if a zone had been lost.
TEST(Suspects, ReportsOfOneCrashAddUpToOneCrash) {
  Suspects suspects(BlocksAfterThree());
  for (int64_t crash = 0; crash < 3; ++crash) {
    const double now = static_cast<double>(crash) * 0.4;
    for (const uint64_t other : {10, 20, 30}) {
      suspects.OnCrash(At(now), Crashed(crash, "z"),
                       Runs({other + static_cast<uint64_t>(crash)}));
    }
    CHECK(!suspects.IsBlocked(At(now), 1));
    suspects.OnCrash(At(now + 0.002), Crashed(crash, "z"), Runs({1}));
  }
  CHECK(suspects.IsBlocked(At(1), 1));
  CHECK(!suspects.IsSuspected(At(1), 10));
}

// Guards against counting one crash once for each host that reports it, or once
// for each repeated report.
TEST(Suspects, ReportsOfAllHostsCountACrashOnce) {
  Suspects suspects(BlocksAfterThree());
  for (int host = 0; host < 4; ++host) {
    suspects.OnUpdate(At(1), {.crashes = {{.crash = Crashed(1, "z"),
                                           .age = std::chrono::seconds(1),
                                           .runs = Reported({1, 2})}}});
    suspects.OnUpdate(At(1), suspects.Snapshot(At(1)));
  }
  LONGS_EQUAL(1, suspects.Crashes(At(1), 1));
  LONGS_EQUAL(1, suspects.RecordedCrashes());
}

// Guards against refusing requests that ran beside the cause of all their
// crashes: they are released as soon as one crash tells them apart.
TEST(Suspects, CrashesOfABlockedRequestDontCountForOthers) {
  Suspects suspects(BlocksAfterThree());
  for (int64_t crash = 0; crash < 3; ++crash) {
    suspects.OnCrash(At(static_cast<double>(crash)), Crashed(crash, "z"),
                     Runs({1, 2}));
  }
  suspects.OnCrash(At(3), Crashed(3, "z"), Runs({2}));
  CHECK(suspects.IsBlocked(At(3), 2));
  CHECK(!suspects.IsSuspected(At(3), 1));
}

// Guards against refusing requests that were repeated through the loss of zone
// after zone.
TEST(Suspects, LostZonesBlockNoRequest) {
  Suspects suspects(BlocksAfterThree());
  for (int64_t zone = 0; zone < 4; ++zone) {
    const double now = static_cast<double>(zone);
    for (int64_t endpoint = 0; endpoint < 5; ++endpoint) {
      const auto first = static_cast<uint64_t>(endpoint * 10);
      suspects.OnCrash(At(now + static_cast<double>(endpoint) * 0.01),
                       Crashed(zone * 5 + endpoint, "z" + std::to_string(zone)),
                       Runs({first, first + 1, first + 2}));
    }
  }
  CHECK(suspects.Blocked().empty());
}

// Guards against a request that is never blocked because the crashes of another
// one always come at the same time.
TEST(Suspects, BlocksTwoRequestsThatCrashEndpointsTogether) {
  Suspects suspects(BlocksAfterThree());
  for (int64_t crash = 0; crash < 6; ++crash) {
    const double now = static_cast<double>(crash);
    suspects.OnCrash(At(now), Crashed(crash, "z"), Runs({1}));
    suspects.OnCrash(At(now + 0.1), Crashed(100 + crash, "z"), Runs({2}));
  }
  CHECK(suspects.IsBlocked(At(6), 1));
  CHECK(suspects.IsBlocked(At(6), 2));
}

// Guards against losing what a host knows when it restarts, and against blocks
// that last longer each time hosts exchange them.
TEST(Suspects, SnapshotsKeepTheEndOfABlock) {
  Suspects first(BlocksAfterThree());
  for (int64_t crash = 0; crash < 3; ++crash) {
    first.OnCrash(At(static_cast<double>(crash)), Crashed(crash, "z"),
                  Runs({1}));
  }
  Suspects second(BlocksAfterThree());
  second.OnUpdate(At(100), first.Snapshot(At(100)));
  first.OnUpdate(At(110), second.Snapshot(At(110)));
  for (const Suspects* one : {&first, &second}) {
    const RequestBlock block =
        one->FindBlock(At(110), 1).value_or(RequestBlock());
    LONGS_EQUAL(3, block.crashed.size());
    CHECK(block.remaining == std::chrono::seconds(10));
    CHECK(!one->FindBlock(At(120.5), 1));
    CHECK(one->FindBlock(At(119.5), CrashCause{.hash = 1}).has_value());
    CHECK(!one->FindBlock(At(120.5), CrashCause{.hash = 1}));
    CHECK(!one->IsBlocked(At(120.5), 1));
  }
}

// Guards against suspicions that outlast an answer at another host.
TEST(Suspects, AnAnswerClearsEarlierCrashesEverywhere) {
  Suspects here(BlocksAfterThree());
  Suspects there(BlocksAfterThree());
  here.OnCrash(At(0), Crashed(1, "z"), Runs({1}));
  there.OnUpdate(At(0), here.TakeUpdate(At(0)));
  CHECK(there.IsSuspected(At(0), 1));
  here.OnAnswered(At(1), {.fingerprint = 1}, At(1));
  there.OnUpdate(At(1), here.TakeUpdate(At(1)));
  CHECK(!there.IsSuspected(At(1), 1));
  there.OnCrash(At(2), Crashed(2, "z"), Runs({1}));
  LONGS_EQUAL(1, there.Crashes(At(2), 1));
  CHECK(here.TakeUpdate(At(2)).Empty());
}

// Guards against memory that grows with the number of crashes and requests.
TEST(Suspects, KeepsABoundedNumberOfRecords) {
  SuspectsOptions options = BlocksAfterThree();
  Suspects suspects(options);
  for (int64_t crash = 0; crash < 300; ++crash) {
    std::vector<uint64_t> fingerprints(300);
    std::iota(fingerprints.begin(), fingerprints.end(),
              static_cast<uint64_t>(crash) * 1000);
    suspects.OnCrash(At(static_cast<double>(crash) * 0.3),
                     Crashed(crash, "z" + std::to_string(crash % 50)),
                     Runs(fingerprints));
  }
  LONGS_EQUAL(options.max_crashes, suspects.RecordedCrashes());
  for (const CrashReport& report : suspects.Snapshot(At(90)).crashes) {
    LONGS_EQUAL(options.max_requests_per_crash, report.runs.size());
  }
}

TEST_GROUP(Placement){};

// The mix of requests shifts to long answers permanently. Prefill engines must
// change to decode, at most one per data centre at a time.
TEST(Placement, LastingMixMovesRoles) {
  Planner planner(kModel, Rates());
  HashField(planner, 0, 600, 1, 14);
  const auto proposals =
      planner.ProposeRoleChanges(At(600), Engines(18, EndpointRole::kPrefill));
  CHECK(!proposals.empty() && proposals.size() <= 3);
  for (const PlacementProposal& proposal : proposals) {
    STRCMP_EQUAL("decode", proposal.argument.c_str());
  }
}

// The mix swings every minute, faster than an engine drains. Following it would
// keep taking engines out of service; the planner must settle on one split.
TEST(Placement, SwingsDoNotMoveRoles) {
  Planner planner(kModel, Rates());
  std::vector<EndpointState> endpoints = Engines(9, EndpointRole::kPrefill);
  for (EndpointState& state : Engines(18, EndpointRole::kDecode)) {
    if (endpoints.size() < 18) {
      state.endpoint.id = EndpointId("d" + state.endpoint.id.Text());
      endpoints.push_back(state);
    }
  }
  size_t changes = 0;
  double now = 0;
  for (int swing = 0; swing < 20; ++swing) {
    now = HashField(planner, now, 60, swing % 2 == 0 ? 13 : 2,
                    swing % 2 == 0 ? 2 : 10);
    for (const PlacementProposal& proposal :
         planner.ProposeRoleChanges(At(now), endpoints)) {
      changes += 1;
      const auto changed =
          std::ranges::find_if(endpoints, [&](const EndpointState& state) {
            return state.endpoint.id == proposal.endpoint;
          });
      changed->role = proposal.argument == "prefill" ? EndpointRole::kPrefill
                                                     : EndpointRole::kDecode;
    }
  }
  CHECK(changes <= 6);
}

// Load falls at night. Endpoints are released, but each data centre keeps
// enough that losing one cheap zone does not take it below its minimum.
TEST(Placement, ReleasesEndpointsDownToTheMinimum) {
  Planner planner(kModel, Rates());
  std::vector<EndpointState> endpoints = Engines(18, EndpointRole::kMixed);
  for (size_t i = 0; i < endpoints.size(); ++i) {
    endpoints[i].endpoint.cheap = i % 2 == 0;
    endpoints[i].endpoint.cost_per_hour = i % 2 == 0 ? 0.3 : 1;
  }
  double now = HashField(planner, 0, 600, 1, 1);
  for (int i = 0; i < 60; ++i) {
    now = HashField(planner, now, 70, 1, 1);
    const auto proposal =
        planner.ProposeCapacityChange(At(now), endpoints, 2, 18);
    if (!proposal) {
      continue;
    }
    LONGS_EQUAL(-1, proposal->change);
    std::erase_if(endpoints, [&](const EndpointState& state) {
      return state.endpoint.id == proposal->endpoint;
    });
  }
  CHECK(endpoints.size() < 18);
  std::map<DataCentreId, int> firm;
  for (const EndpointState& state : endpoints) {
    firm[state.endpoint.data_centre] += state.endpoint.cheap ? 0 : 1;
  }
  for (const auto& [data_centre, count] : firm) {
    CHECK(count >= 2);
  }
}

// Twice the permitted rate of model loads, as from two coordinators, would
// exceed the throughput of the weight store and delay every load.
TEST(Placement, LoadsKeepToTheWeightStoresRate) {
  Planner planner(kModel, Rates());
  CHECK(planner.TryStartModelLoad(At(0)));
  CHECK(!planner.TryStartModelLoad(At(29)));
  CHECK(planner.TryStartModelLoad(At(30)));
}

}  // namespace hickorystand
