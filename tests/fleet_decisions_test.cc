// Tests of a fleet host's pure decisions: placement, retry budgets, usage
// windows, engine roles and scaling.

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "decisions/engine_pace.h"
#include "decisions/fleet_clock.h"
#include "decisions/fleet_placement.h"
#include "decisions/role_plan.h"
#include "decisions/scale_plan.h"
#include "decisions/usage_windows.h"

namespace hickorystand {
namespace {

const ServiceId kService("s");
const ZoneId kHere("here");
const ZoneId kThere("there");

Instant At(double seconds) {
  return Instant(FromSeconds(seconds));
}

FleetEndpoint Engine(const std::string& id,
                     EndpointRole role,
                     const ZoneId& zone = kHere) {
  return {.run = {.id = EndpointId(id), .started = 1},
          .service = kService,
          .zone = zone,
          .role = role,
          .slots = 64};
}

FleetEndpoints Fleet(const std::vector<FleetEndpoint>& engines) {
  FleetEndpoints fleet;
  for (const FleetEndpoint& one : engines) {
    fleet[one.run.id] = one;
  }
  return fleet;
}

// Two prefill engines and two decode engines.
FleetEndpoints FourEngines() {
  return Fleet({Engine("r1", EndpointRole::kPrefill),
                Engine("r2", EndpointRole::kPrefill),
                Engine("g1", EndpointRole::kDecode),
                Engine("g2", EndpointRole::kDecode)});
}

// A prompt of 13,300 shared tokens and 3,700 tokens of its own.
RequestProfile LongPrompt(uint64_t shared, uint64_t own) {
  return {.service = kService,
          .engine = true,
          .prompt_tokens = 17000,
          .parts = {{.part = shared, .tokens = 13300},
                    {.part = own, .tokens = 3700}}};
}

PlacementTarget PlacedAt(const FleetPlacement& placement,
                         const RequestProfile& shape) {
  const PlacementResult verdict = placement.Place(At(1), shape, {});
  CHECK(std::holds_alternative<PlacementTarget>(verdict));
  return std::get<PlacementTarget>(verdict);
}

FleetPlacement MakePlacement(const FleetEndpoints& fleet) {
  FleetPlacement placement({.zone = kHere});
  placement.SetEndpoints(fleet);
  return placement;
}

}  // namespace

TEST_GROUP(FleetPlacement){};

// Guards against hosts without cache information that each prefill the same
// long prompt part on a different engine: all hosts must choose the same one.
TEST(FleetPlacement, ColdHostsChooseTheSameEngine) {
  const FleetPlacement one = MakePlacement(FourEngines());
  const FleetPlacement other = MakePlacement(FourEngines());
  for (uint64_t part = 1; part < 20; ++part) {
    const PlacementTarget first = PlacedAt(one, LongPrompt(part, 1000 + part));
    const PlacementTarget second =
        PlacedAt(other, LongPrompt(part, 2000 + part));
    CHECK(first.prefill_endpoint == second.prefill_endpoint);
    CHECK(first.prefill_endpoint || first.endpoint == second.endpoint);
  }
}

// One engine has a prompt part in its cache and a second of queued work.
// Another engine must copy the part and prefill only the new tokens. The
// request must neither wait for the busy engine nor prefill the 13,300 tokens
// again.
TEST(FleetPlacement, CopiesTheCacheOfABusyEngine) {
  FleetPlacement placement = MakePlacement(FourEngines());
  placement.OnCache(EndpointId("r1"), {.part = 7, .tokens = 13300});
  placement.OnPeerWork(
      HostId("peer"),
      {{.endpoint = EndpointId("r1"), .prompt_tokens = 38000, .requests = 3}});
  const PlacementTarget placed = PlacedAt(placement, LongPrompt(7, 8));
  CHECK(placed.prefill_endpoint != EndpointId("r1"));
  CHECK(placed.copy_from == EndpointId("r1"));
  LONGS_EQUAL(3700, placed.new_tokens);
}

// Guards against copying KV caches between engines of different software
// versions, which may lay them out differently.
TEST(FleetPlacement, CopiesTheCacheOfItsOwnVersionOnly) {
  std::vector<FleetEndpoint> engines;
  for (const auto& [id, engine] : FourEngines()) {
    engines.push_back(engine);
    engines.back().software = SoftwareVersion(id.Text() == "r1" ? "v1" : "v2");
  }
  FleetPlacement placement = MakePlacement(Fleet(engines));
  placement.OnCache(EndpointId("r1"), {.part = 7, .tokens = 13300});
  placement.OnPeerWork(
      HostId("peer"),
      {{.endpoint = EndpointId("r1"), .prompt_tokens = 38000, .requests = 3}});
  const PlacementTarget placed = PlacedAt(placement, LongPrompt(7, 8));
  CHECK(!placed.copy_from);
  LONGS_EQUAL(17000, placed.new_tokens);
}

// Guards against a begun stream that is placed at another version or service,
// or anywhere if it isn't known where it began.
TEST(FleetPlacement, PlacesABegunStreamAtItsOrigin) {
  std::vector<FleetEndpoint> engines;
  for (const char* software : {"v1", "v2", "v3"}) {
    engines.push_back(Engine(software, EndpointRole::kMixed));
    engines.back().software = SoftwareVersion(software);
  }
  const FleetPlacement placement = MakePlacement(Fleet(engines));
  const auto place = [&placement](StreamProgress progress,
                                  const std::set<EndpointId>& tried) {
    RequestProfile shape = LongPrompt(1, 2);
    shape.progress = std::move(progress);
    return placement.Place(At(1), shape, tried);
  };
  const ServiceId& service = engines.front().service;
  for (const char* software : {"v1", "v2", "v3"}) {
    const StreamProgress begun = StreamProgress::BegunAt(
        {.service = service, .software = SoftwareVersion(software)});
    CHECK(std::get<PlacementTarget>(place(begun, {})).endpoint ==
          EndpointId(software));
    CHECK(std::holds_alternative<PlacementRefusal>(
        place(begun, {EndpointId(software)})));
  }
  for (const StreamProgress& nowhere :
       {StreamProgress::BegunAtUnknownOrigin(),
        StreamProgress::BegunAt(
            {.service = service, .software = SoftwareVersion("v4")}),
        StreamProgress::BegunAt({.service = ServiceId("other"),
                                 .software = SoftwareVersion("v1")})}) {
    CHECK(std::holds_alternative<PlacementRefusal>(place(nowhere, {})));
  }
}

// Guards against ending a stream because the only endpoints of its version are
// ejected. Other requests still avoid these.
TEST(FleetPlacement, ABegunStreamMayUseAnEjectedEndpoint) {
  std::vector<FleetEndpoint> engines{Engine("old", EndpointRole::kMixed),
                                     Engine("new", EndpointRole::kMixed)};
  engines[0].software = SoftwareVersion("v1");
  engines[1].software = SoftwareVersion("v2");
  FleetPlacement placement = MakePlacement(Fleet(engines));
  for (int i = 0; i < 3; ++i) {
    placement.OnOutcome(At(1), EndpointId("old"), false);
  }
  RequestProfile shape = LongPrompt(1, 2);
  CHECK(PlacedAt(placement, shape).endpoint == EndpointId("new"));
  shape.progress = StreamProgress::BegunAt(engines[0].Origin());
  CHECK(PlacedAt(placement, shape).endpoint == EndpointId("old"));
  CHECK(placement.PlaceAnswer(At(1), shape, engines[0], {}) ==
        EndpointId("old"));
  placement.OnWrongRole(At(1), EndpointId("old"));
  CHECK(std::holds_alternative<PlacementRefusal>(
      placement.Place(At(1), shape, {})));
}

// Guards against counting the cache entries of a failed prefill as present: the
// retry would be sent to the same engine as if nothing were left to prefill,
// and would wait for a whole prompt.
TEST(FleetPlacement, FailedPrefillIsNotCached) {
  FleetPlacement placement = MakePlacement(FourEngines());
  const RequestProfile shape = LongPrompt(7, 8);
  const WorkId work = placement.OnSent(At(1), EndpointId("r1"), shape,
                                       {.new_tokens = shape.prompt_tokens});
  LONGS_EQUAL(0, placement.NewTokens(EndpointId("r1"), shape));
  placement.OnEnded(At(2), work);
  LONGS_EQUAL(17000, placement.NewTokens(EndpointId("r1"), shape));
}

// A prefilled part counts as cached after its request has ended, until the
// engine reports its eviction or another process has the engine's id.
TEST(FleetPlacement, PrefilledPartsAreCachedUntilEvicted) {
  FleetPlacement placement = MakePlacement(FourEngines());
  const RequestProfile shape = LongPrompt(7, 8);
  const WorkId work =
      placement.OnSent(At(1), EndpointId("r1"), shape, {.new_tokens = 17000});
  placement.OnPrefillDone(At(1.4), work);
  placement.OnEnded(At(1.5), work);
  LONGS_EQUAL(0, placement.NewTokens(EndpointId("r1"), shape));
  placement.OnCache(EndpointId("r1"), {.part = 8, .tokens = 0});
  LONGS_EQUAL(3700, placement.NewTokens(EndpointId("r1"), shape));
  FleetEndpoints restarted = FourEngines();
  restarted.at(EndpointId("r1")).run.started = 2;
  placement.SetEndpoints(restarted);
  LONGS_EQUAL(17000, placement.NewTokens(EndpointId("r1"), shape));
}

// An engine is four times as slow as the other one while its health check
// succeeds. After some measurements it must receive less work.
TEST(FleetPlacement, LearnsThatAnEngineIsSlow) {
  FleetPlacement placement =
      MakePlacement(Fleet({Engine("r1", EndpointRole::kPrefill),
                           Engine("r2", EndpointRole::kPrefill),
                           Engine("g1", EndpointRole::kDecode)}));
  const RequestProfile shape = LongPrompt(1, 2);
  for (int round = 0; round < 30; ++round) {
    const WorkId work = placement.OnSent(At(round * 3), EndpointId("r1"), shape,
                                         {.new_tokens = 17000});
    const WorkId usual = placement.OnSent(At(round * 3), EndpointId("r2"),
                                          shape, {.new_tokens = 17000});
    placement.OnPrefillDone(At(round * 3 + 0.48), usual);
    placement.OnEnded(At(round * 3 + 0.48), usual);
    placement.OnPrefillDone(At(round * 3 + 1.9), work);
    placement.OnEnded(At(round * 3 + 1.9), work);
    placement.ClearCache(EndpointId("r1"));
    placement.ClearCache(EndpointId("r2"));
  }
  for (uint64_t part = 10; part < 30; ++part) {
    CHECK(PlacedAt(placement, LongPrompt(part, 1000 + part)).prefill_endpoint !=
          EndpointId("r1"));
  }
}

// An endpoint that fails three times in a row is ejected for one second and
// then receives one probe. If the probe fails, it is ejected for twice as long.
TEST(FleetPlacement, EjectsAFailingEndpointAndProbesIt) {
  FleetPlacement placement = MakePlacement(FourEngines());
  const EndpointId bad("g1");
  for (int failure = 0; failure < 3; ++failure) {
    placement.OnOutcome(At(1), bad, false);
  }
  CHECK(!placement.Usable(At(1.9), bad));
  CHECK(placement.Usable(At(2.1), bad));
  placement.OnOutcome(At(2.2), bad, false);
  CHECK(!placement.Usable(At(4.1), bad));
  CHECK(placement.Usable(At(4.3), bad));
  placement.OnOutcome(At(4.4), bad, true);
  CHECK(placement.Usable(At(4.5), bad));
}

// Guards against refusing all requests for up to the longest ejection after all
// endpoints of a service have recovered at once. While one of them is sound,
// the others stay ejected.
TEST(FleetPlacement, ProbesEachSecondWhileAllEndpointsAreEjected) {
  std::vector<FleetEndpoint> plain{Engine("a", EndpointRole::kPlain),
                                   Engine("b", EndpointRole::kPlain)};
  FleetPlacement placement = MakePlacement(Fleet(plain));
  const RequestProfile shape{.service = kService};
  const auto is_placed = [&](double time) {
    return std::holds_alternative<PlacementTarget>(
        placement.Place(At(time), shape, {}));
  };
  for (int failure = 0; failure < 6; ++failure) {
    placement.OnOutcome(At(10), EndpointId("a"), false);
    placement.OnOutcome(At(10), EndpointId("b"), false);
  }
  CHECK(!placement.Usable(At(17.9), EndpointId("a")));
  CHECK(!is_placed(10.9));
  CHECK(is_placed(11.1));
  placement.OnOutcome(At(11.2), EndpointId("a"), false);
  placement.OnOutcome(At(11.2), EndpointId("b"), false);
  CHECK(!is_placed(12.1));
  CHECK(is_placed(12.3));
  placement.OnSent(At(12.25), EndpointId("b"), shape, {});
  placement.OnOutcome(At(12.3), EndpointId("b"), true);
  placement.OnOutcome(At(12.3), EndpointId("a"), false);
  for (double time = 13.4; time < 20; time += 0.5) {
    const PlacementResult verdict = placement.Place(At(time), shape, {});
    CHECK(std::get<PlacementTarget>(verdict).endpoint == EndpointId("b"));
  }
}

// An endpoint that is leaving, one that a peer reports as unavailable and one
// with an unknown role receive no requests.
TEST(FleetPlacement, SkipsUnavailableEndpoints) {
  FleetEndpoints fleet = FourEngines();
  fleet.at(EndpointId("g1")).leaving = true;
  FleetPlacement placement = MakePlacement(fleet);
  placement.SetUnavailable(HostId("peer"), {EndpointId("r1")});
  placement.OnWrongRole(At(0.9), EndpointId("r2"));
  const PlacementTarget placed = PlacedAt(placement, LongPrompt(1, 2));
  CHECK(placed.endpoint == EndpointId("g2"));
  CHECK(!placed.prefill_endpoint);
  placement.RemovePeer(At(1), HostId("peer"));
  CHECK(PlacedAt(placement, LongPrompt(1, 2)).prefill_endpoint ==
        EndpointId("r1"));
}

// All engines have four seconds of queued work and the caller's timeout is two
// seconds. The request must be refused at once, with the time after which there
// is capacity.
TEST(FleetPlacement, RefusesRequestsThatWouldTimeOut) {
  FleetPlacement placement = MakePlacement(FourEngines());
  std::vector<EndpointOutstanding> work;
  for (const auto& [id, engine] : FourEngines()) {
    work.push_back(
        {.endpoint = id, .prompt_tokens = int64_t{4} * 37900, .requests = 30});
  }
  placement.OnPeerWork(HostId("peer"), work);
  const PlacementResult verdict = placement.Place(At(1), LongPrompt(1, 2), {});
  CHECK(std::holds_alternative<PlacementRefusal>(verdict));
  const Duration wait = std::get<PlacementRefusal>(verdict).retry_after;
  CHECK(wait > std::chrono::seconds(1) && wait < std::chrono::seconds(4));
}

// Guards against one host that exceeds its share of an endpoint's connection
// limit. The endpoint resets connections beyond the limit, and it is unknown
// whether their requests ran. Such requests must go to another endpoint or be
// refused.
TEST(FleetPlacement, StaysWithinItsShareOfAnEndpointsConnections) {
  FleetPlacement placement =
      MakePlacement(Fleet({Engine("g1", EndpointRole::kDecode),
                           Engine("g2", EndpointRole::kDecode)}));
  const RequestProfile shape = LongPrompt(1, 2);
  placement.SetServiceParameters(shape.service, {.max_concurrent_requests = 2});
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 4; ++i) {
    const PlacementTarget placed = PlacedAt(placement, shape);
    placement.OnSent(At(1), placed.endpoint, shape, {});
    ++sent[placed.endpoint];
  }
  LONGS_EQUAL(2, sent[EndpointId("g1")]);
  LONGS_EQUAL(2, sent[EndpointId("g2")]);
  CHECK(std::holds_alternative<PlacementRefusal>(
      placement.Place(At(1), shape, {})));
}

// An engine with less memory than others: parts that no longer fit into its
// cache must not attract prompts as if they were still cached.
TEST(FleetPlacement, LimitsCachedTokensToTheServicesCacheSize) {
  FleetPlacement placement = MakePlacement(FourEngines());
  const RequestProfile shape = LongPrompt(1, 2);
  placement.SetServiceParameters(shape.service, {.cache_tokens = 20000});
  const EndpointId engine("r1");
  placement.OnCache(engine, {.part = 1, .tokens = 13300});
  placement.OnCache(engine, {.part = 9, .tokens = 13300});
  LONGS_EQUAL(17000, placement.NewTokens(engine, shape));
}

// Bursts exceed the prefill throughput of all engines. A prompt that would
// spend most of its latency target in a queue must be refused at once, since a
// longer queue delays all requests and serves no more of them. A prompt that
// takes long by itself is served whatever its length.
TEST(FleetPlacement, KeepsItsQueuesShorterThanTheTarget) {
  FleetPlacement placement =
      MakePlacement(Fleet({Engine("r1", EndpointRole::kPrefill),
                           Engine("g1", EndpointRole::kDecode)}));
  RequestProfile shape = LongPrompt(1, 2);
  shape.target = std::chrono::milliseconds(300);
  const auto set_queued_tokens = [&placement](int64_t tokens) {
    placement.OnPeerWork(
        HostId("peer"),
        {{.endpoint = EndpointId("r1"), .prompt_tokens = tokens, .requests = 1},
         {.endpoint = EndpointId("g1"),
          .prompt_tokens = tokens,
          .requests = 1}});
  };
  CHECK(std::holds_alternative<PlacementTarget>(
      placement.Place(At(1), shape, {})));
  set_queued_tokens(8000);  // 211 ms at r1
  CHECK(std::holds_alternative<PlacementTarget>(
      placement.Place(At(1), shape, {})));
  set_queued_tokens(10000);  // 264 ms at r1, more at g1
  const PlacementResult verdict = placement.Place(At(1), shape, {});
  CHECK(std::holds_alternative<PlacementRefusal>(verdict));
  const Duration retry_time = std::get<PlacementRefusal>(verdict).retry_after;
  CHECK(retry_time > std::chrono::milliseconds(20) &&
        retry_time < std::chrono::milliseconds(60));
  // A stream that broke midway is resumed all the same.
  shape.in_progress = true;
  CHECK(std::holds_alternative<PlacementTarget>(
      placement.Place(At(1), shape, {})));
}

// A burst lasts for seconds. Callers with a retry time as short as the queue
// came back during the same burst and were refused for good. The retry time
// must grow with the time for which the host has refused requests, and reset
// after the burst.
TEST(FleetPlacement, RetryTimeGrowsWithTheBurst) {
  FleetPlacement placement = MakePlacement(FourEngines());
  const Duration queue = std::chrono::milliseconds(40);
  CHECK(placement.OnRefused(At(10), kService, queue) == queue);
  for (int i = 1; i < 10; ++i) {
    placement.OnRefused(At(10 + 0.1 * i), kService, queue);
  }
  CHECK(placement.OnRefused(At(11), kService, queue) ==
        std::chrono::seconds(1));
  CHECK(placement.OnRefused(At(11), ServiceId("other"), queue) == queue);
  CHECK(placement.OnRefused(At(15), kService, queue) == queue);
}

// Slow engines: prefills on an engine that runs streams delay the streams'
// events past their deadline. Long prompts must not be prefilled there once the
// pauses approach the limit; short ones may be. All prompts may be again when
// the pauses are short or no stream runs any more.
TEST(FleetPlacement, PrefillsNoLongPromptsWhereStreamsFallBehind) {
  FleetPlacement placement =
      MakePlacement(Fleet({Engine("r1", EndpointRole::kPrefill),
                           Engine("g1", EndpointRole::kDecode)}));
  RequestProfile shape = LongPrompt(1, 2);
  shape.prompt_tokens = 4000;
  shape.parts = {{.part = 2, .tokens = 4000}};
  placement.SetServiceParameters(
      kService, {.pause_target = std::chrono::milliseconds(600)});
  placement.OnPeerWork(
      HostId("peer"),
      {{.endpoint = EndpointId("r1"), .prompt_tokens = 14000, .requests = 5}});
  const auto reader = [&](double at) {
    const PlacementResult verdict = placement.Place(At(at), shape, {});
    CHECK(std::holds_alternative<PlacementTarget>(verdict));
    return std::get<PlacementTarget>(verdict).prefill_endpoint;
  };
  CHECK(!reader(1));
  for (int i = 0; i < 100; ++i) {
    placement.OnPause(At(1), Engine("g1", EndpointRole::kDecode),
                      std::chrono::milliseconds(500));
  }
  CHECK(reader(1) == EndpointId("r1"));
  CHECK(!reader(4));
  for (int i = 0; i < 100; ++i) {
    placement.OnPause(At(4), Engine("g1", EndpointRole::kDecode),
                      std::chrono::milliseconds(50));
  }
  CHECK(!reader(4));
}

// Guards against a new connection for nearly every request: among equal
// engines, the connected one is chosen until it has more load than the others.
TEST(FleetPlacement, PrefersEnginesThatItIsConnectedWith) {
  std::vector<FleetEndpoint> engines;
  for (int i = 0; i < 8; ++i) {
    engines.push_back(Engine("g" + std::to_string(i), EndpointRole::kDecode));
  }
  FleetPlacement placement = MakePlacement(Fleet(engines));
  const EndpointId connected("g5");
  placement.SetConnected([&connected](const FleetEndpoint& endpoint) {
    return endpoint.run.id == connected;
  });
  const RequestProfile shape = LongPrompt(1, 2);
  const auto answers = [&] {
    return placement.PlaceAnswer(At(1), shape,
                                 Engine("r", EndpointRole::kPrefill), {});
  };
  CHECK(answers() == connected);
  for (int i = 0; i < 32; ++i) {
    placement.OnSent(At(1), connected, shape, {.prefilled_elsewhere = true});
  }
  CHECK(answers() != connected);
}

// Moving a prompt's KV cache to another zone takes longer and is billed,
// whichever zone the host is in, so the decode engine must be in the prefill
// engine's zone. A full engine is worse than another zone.
TEST(FleetPlacement, HandsPromptsOverWithinTheirZone) {
  FleetPlacement placement =
      MakePlacement(Fleet({Engine("r1", EndpointRole::kPrefill, kThere),
                           Engine("g1", EndpointRole::kDecode, kHere),
                           Engine("g2", EndpointRole::kDecode, kThere)}));
  const RequestProfile shape = LongPrompt(1, 2);
  const FleetEndpoint reader = Engine("r1", EndpointRole::kPrefill, kThere);
  CHECK(placement.PlaceAnswer(At(1), shape, reader, {}) == EndpointId("g2"));
  for (int i = 0; i < 60; ++i) {
    placement.OnSent(At(1), EndpointId("g2"), shape,
                     {.prefilled_elsewhere = true});
  }
  CHECK(placement.PlaceAnswer(At(1), shape, reader, {}) == EndpointId("g1"));
}

// Streams go to an on-demand engine before a spot engine that may be reclaimed,
// until so many of its slots are taken that they slow down.
TEST(FleetPlacement, PrefersOnDemandEnginesForDecode) {
  FleetEndpoints fleet = Fleet({Engine("stays", EndpointRole::kDecode),
                                Engine("spot", EndpointRole::kDecode)});
  fleet.at(EndpointId("spot")).spot = true;
  FleetPlacement placement = MakePlacement(fleet);
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 60; ++i) {
    RequestProfile shape{.service = kService,
                         .engine = true,
                         .prompt_tokens = 100,
                         .target = std::chrono::milliseconds(500)};
    const PlacementTarget placed = PlacedAt(placement, shape);
    placement.OnSent(At(1), placed.endpoint, shape, {});
    ++sent[placed.endpoint];
    if (i == 19) {
      LONGS_EQUAL(20, sent[EndpointId("stays")]);
    }
  }
  CHECK(sent[EndpointId("spot")] >= 10);
  CHECK(sent[EndpointId("stays")] > sent[EndpointId("spot")]);
}

TEST_GROUP(EnginePace){};

namespace {

// An engine that prefills at a constant rate after a fixed delay.
struct SimulatedEngine {
  double tokens_per_second = 0;
  Duration delay = std::chrono::milliseconds(2);

  PrefillMeasurement Read(int64_t tokens) const {
    return {.tokens = tokens,
            .took = this->delay + FromSeconds(static_cast<double>(tokens) /
                                              this->tokens_per_second)};
  }
};

constexpr double kInitialRate = 40000;  // tokens per second

double EstimateFrom(const std::vector<SimulatedEngine>& engines, int readings) {
  EnginePace pace({.prefill_tokens_per_second = kInitialRate});
  for (int i = 0; i < readings; ++i) {
    const auto engine = static_cast<size_t>(i) % engines.size();
    pace.OnPrefill(engines[engine].Read(3000 + 500 * (i % 7)));
  }
  return pace.PrefillTokensPerSecond(EndpointRole::kPrefill);
}

}  // namespace

// Engines are eight times as fast or as slow as the initial estimate. After 40
// measurements the estimate must be right within a third, so that hosts neither
// refuse requests that could be served nor queue requests that can't.
TEST(EnginePace, EstimatesEnginesFarFromTheInitialRate) {
  for (const double factor : {8.0, 2.5, 1.0, 0.4, 0.125}) {
    const double learned =
        EstimateFrom({{.tokens_per_second = kInitialRate * factor}}, 40);
    CHECK(learned > kInitialRate * factor / 1.34);
    CHECK(learned < kInitialRate * factor * 1.34);
  }
}

// One engine in five hangs and answers after seconds; in another fleet one in
// five reports immediate prefills. Neither may move the estimate away from that
// of the other engines.
TEST(EnginePace, IgnoresAFewOutliers) {
  const SimulatedEngine regular{.tokens_per_second = kInitialRate};
  for (const SimulatedEngine& outlier :
       {SimulatedEngine{.tokens_per_second = kInitialRate / 100},
        SimulatedEngine{.tokens_per_second = kInitialRate * 1000}}) {
    const double learned =
        EstimateFrom({regular, regular, regular, regular, outlier}, 500);
    CHECK(learned > kInitialRate / 1.34);
    CHECK(learned < kInitialRate * 1.34);
  }
}

// A host that has just started adopts the measurements of its peers, except
// invalid figures and those with fewer measurements than its own.
TEST(EnginePace, AHostThatHasJustStartedTakesOverWhatOthersKnow) {
  EnginePace known({.prefill_tokens_per_second = kInitialRate});
  const SimulatedEngine fast{.tokens_per_second = 8 * kInitialRate};
  for (int i = 0; i < 100; ++i) {
    known.OnPrefill(fast.Read(4000));
  }
  EnginePace fresh({.prefill_tokens_per_second = kInitialRate});
  PaceFigures broken = fresh.Figures();
  broken.token_prefill = {.seconds = 0, .measurements = 1000};
  fresh.Adopt(broken);
  DOUBLES_EQUAL(kInitialRate,
                fresh.PrefillTokensPerSecond(EndpointRole::kPrefill), 1);
  fresh.Adopt(known.Figures());
  DOUBLES_EQUAL(known.PrefillTokensPerSecond(EndpointRole::kPrefill),
                fresh.PrefillTokensPerSecond(EndpointRole::kPrefill), 1);
  known.Adopt(
      EnginePace({.prefill_tokens_per_second = kInitialRate}).Figures());
  CHECK(known.PrefillTokensPerSecond(EndpointRole::kPrefill) >
        5 * kInitialRate);
}

TEST_GROUP(FleetClock){};

// A host starts while its wall clock is four seconds behind. Without
// correction, its usage is counted in earlier windows for as long as it runs,
// and the reports of the whole fleet are wrong.
TEST(FleetClock, AWrongClockAtTheStartDoesNotLast) {
  FleetClock clock(1'000'000 - 4000, 500);
  LONGS_EQUAL(996'000, clock.UnixAt(500));
  clock.OnPeer(HostId("a"), 1'000'100, 600);
  LONGS_EQUAL(1'000'400, clock.UnixAt(900));
  clock.OnPeer(HostId("b"), 1'000'101, 600);
  clock.OnPeer(HostId("c"), 1'007'100, 600);  // wrong as well
  LONGS_EQUAL(1'000'401, clock.UnixAt(900));
}

// A partition delays a message for three seconds. Its outdated timestamp must
// not set this host's clock back.
TEST(FleetClock, AMessageThatWasHeldUpSetsNothingBack) {
  FleetClock clock(1'000'000, 0);
  clock.OnPeer(HostId("a"), 1'000'500, 500);
  clock.OnPeer(HostId("a"), 1'000'600, 3600);
  LONGS_EQUAL(1'004'000, clock.UnixAt(4000));
}

TEST_GROUP(UsageWindows){};

// Copies arrive twice, late and out of order, and one host restarts. The sum
// must count each request once.
TEST(UsageWindows, CountsEachRequestOnce) {
  const AccountId account("a");
  UsageWindows one({.host = HostId("h1"), .incarnation = 1},
                   std::chrono::seconds(5));
  UsageWindows holder({.host = HostId("h2"), .incarnation = 1},
                      std::chrono::seconds(5));
  one.OnRequestStarted(11000, account);
  const WindowCopy early = one.OwnCopy(11500);
  one.OnRequestStarted(12000, account);
  const WindowCopy late = one.OwnCopy(15100);
  holder.OnRequestStarted(13000, account);
  holder.Merge(late);
  holder.Merge(early);
  holder.Merge(late);
  UsageWindows restarted({.host = HostId("h1"), .incarnation = 2},
                         std::chrono::seconds(5));
  restarted.OnRequestStarted(14900, account);
  holder.Merge(*DecodeWindowCopy(EncodeWindowCopy(restarted.OwnCopy(16000))));
  LONGS_EQUAL(4, holder.Total(2).at(account));
  CHECK(holder.HasCompleteCounts(HostId("h1"), 2));
  CHECK(!holder.HasCompleteCounts(HostId("h3"), 2));
}

// All hosts are restarted one after the other, and one that has just started
// reports usage. It has received all copies from its linked peers, also those
// of processes that have ended, so no request may be missing.
TEST(UsageWindows, CountsOfEndedRunsOutliveRollingRestarts) {
  const AccountId account("a");
  const auto make = [](const std::string& host, uint64_t incarnation) {
    return UsageWindows({.host = HostId(host), .incarnation = incarnation},
                        std::chrono::seconds(5));
  };
  const auto send_copies = [](const UsageWindows& from, UsageWindows& to) {
    for (const WindowCopy& copy : from.AllCopies()) {
      to.Merge(*DecodeWindowCopy(EncodeWindowCopy(copy)));
    }
  };
  UsageWindows first = make("h1", 1);
  UsageWindows second = make("h2", 1);
  first.OnRequestStarted(11000, account);
  second.OnRequestStarted(12000, account);
  (void)first.OwnCopy(12500);
  (void)second.OwnCopy(12500);
  send_copies(first, second);
  UsageWindows first_again = make("h1", 2);
  send_copies(second, first_again);
  UsageWindows second_again = make("h2", 2);
  send_copies(first_again, second_again);
  LONGS_EQUAL(2, second_again.Total(2).at(account));
}

TEST_GROUP(RolePlan){};

namespace {

// Load of `streams` concurrent streams, on engines that run an equal number.
RoleLoad LoadOf(double streams) {
  return {.streams = streams, .running = [](const EndpointId&) { return 0; }};
}

}  // namespace

// Nearly all load is prefill. Decode engines change to prefill one by one until
// only those that the streams need are left, at least one per zone. Then no
// further change may follow.
TEST(RolePlan, LeavesFewDecodeEnginesAndSettles) {
  FleetEndpoints fleet;
  for (int i = 0; i < 18; ++i) {
    const FleetEndpoint engine =
        Engine("e" + std::to_string(10 + i),
               i < 6 ? EndpointRole::kPrefill : EndpointRole::kDecode,
               i % 2 == 0 ? kHere : kThere);
    fleet[engine.run.id] = engine;
  }
  int changes = 0;
  while (const auto change = PlanRole(fleet, kService, LoadOf(9))) {
    fleet.at(change->endpoint).role = change->role;
    CHECK(++changes < 20);
  }
  std::map<ZoneId, int> generating;
  for (const auto& [id, engine] : fleet) {
    generating[engine.zone] += engine.role == EndpointRole::kDecode ? 1 : 0;
  }
  // A fifth of the 18 engines decodes, and one more is left as it is.
  LONGS_EQUAL(7, changes);
  CHECK(generating[kHere] > 0 && generating[kThere] > 0);
  // Varying numbers of streams cause no change.
  for (const double streams : {0.0, 5.0, 20.0, 40.0}) {
    CHECK(!PlanRole(fleet, kService, LoadOf(streams)));
  }
}

// The only decode engine is lost: a prefill engine must take its role.
TEST(RolePlan, ReplacesALostDecodeEngine) {
  const FleetEndpoints fleet = Fleet({Engine("r1", EndpointRole::kPrefill),
                                      Engine("r2", EndpointRole::kPrefill),
                                      Engine("r3", EndpointRole::kPrefill)});
  const auto change = PlanRole(fleet, kService, LoadOf(0));
  CHECK(change && change->role == EndpointRole::kDecode);
}

// Guards against a software version whose engines only prefill, so that it can
// serve nothing and its streams can't continue.
TEST(RolePlan, EachVersionHasAnEngineThatGenerates) {
  FleetEndpoints fleet;
  for (int i = 0; i < 12; ++i) {
    FleetEndpoint engine =
        Engine("e" + std::to_string(10 + i),
               i < 6 ? EndpointRole::kPrefill : EndpointRole::kDecode);
    engine.software = SoftwareVersion(i < 4 ? "v2" : "v1");
    fleet[engine.run.id] = engine;
  }
  const auto change = PlanRole(fleet, kService, LoadOf(9));
  CHECK(change && change->role == EndpointRole::kDecode &&
        fleet.at(change->endpoint).software == SoftwareVersion("v2"));
  int changes = 0;
  while (const auto next = PlanRole(fleet, kService, LoadOf(0))) {
    fleet.at(next->endpoint).role = next->role;
    CHECK(++changes < 20);
  }
  std::map<SoftwareVersion, int> generating;
  for (const auto& [id, engine] : fleet) {
    generating[engine.software] += engine.role == EndpointRole::kDecode ? 1 : 0;
  }
  CHECK(generating[SoftwareVersion("v1")] > 0);
  CHECK(generating[SoftwareVersion("v2")] > 0);
}

// Long streams run on all engines but one. An engine changes its role only when
// all its streams have ended, and accepts no new ones until then, so the idle
// engine must be the one that changes.
TEST(RolePlan, ChangesAnIdleEngine) {
  FleetEndpoints fleet;
  for (int i = 0; i < 12; ++i) {
    const FleetEndpoint engine =
        Engine("e" + std::to_string(10 + i), EndpointRole::kDecode);
    fleet[engine.run.id] = engine;
  }
  const EndpointId idle("e17");
  const auto change =
      PlanRole(fleet, kService, {.streams = 20, .running = [&](const auto& id) {
                                   return id == idle ? 0 : 4;
                                 }});
  CHECK(change && change->endpoint == idle);
}

TEST_GROUP(ScalePlan){};

namespace {

ScaleBounds Bounds(double spot_price) {
  return {.minimum = 1,
          .maximum = 12,
          .spot_price = spot_price,
          .zone_prices = {{kHere, 1.0}, {kThere, 0.8}}};
}

int64_t Sum(const EnginesByZone& plan) {
  int64_t sum = 0;
  for (const auto& [zone, counts] : plan) {
    sum += counts.on_demand + counts.spot;
  }
  return sum;
}

}  // namespace

// Spot engines are cheap: they are ordered first, and on-demand engines are
// released only once the others suffice without them.
TEST(ScalePlan, ReplacesOnDemandEnginesOnceSpotEnginesRun) {
  EnginesByZone now{{kHere, {.on_demand = 6}}, {kThere, {.on_demand = 6}}};
  EnginesByZone plan = PlanScale(now, 12, 12, Bounds(0.2));
  LONGS_EQUAL(6, plan.at(kHere).on_demand);
  LONGS_EQUAL(6, plan.at(kThere).on_demand);
  CHECK(plan.at(kHere).spot + plan.at(kThere).spot >= 10);
  for (int round = 0; round < 10; ++round) {
    now = PlanScale(now, 12, 12, Bounds(0.2));
    CHECK(Sum(now) >= 12);
  }
  CHECK(now.at(kHere).on_demand + now.at(kThere).on_demand <= 3);
  CHECK(now.at(kHere).on_demand >= 1);
}

// A zone's spot engines are reclaimed and no new ones are available there: the
// other zone must get them, up to its limit.
TEST(ScalePlan, OrdersInAnotherZoneWhenSpotIsUnavailable) {
  const EnginesByZone now{{kHere, {.on_demand = 1, .spot_unavailable = true}},
                          {kThere, {.on_demand = 1, .spot = 5}}};
  const EnginesByZone plan = PlanScale(now, 12, 6, Bounds(0.2));
  LONGS_EQUAL(0, plan.at(kHere).spot);
  CHECK(plan.at(kThere).spot >= 9);
  CHECK(plan.at(kThere).spot + plan.at(kThere).on_demand <= 12);
}

// Spot engines are reclaimed and unavailable in both zones while the load needs
// 16 engines: on-demand engines must be ordered, and no more than needed.
TEST(ScalePlan, OrdersOnDemandEnginesWhenSpotIsUnavailable) {
  const EnginesByZone now{{kHere, {.on_demand = 1, .spot_unavailable = true}},
                          {kThere, {.on_demand = 1, .spot_unavailable = true}}};
  const EnginesByZone plan = PlanScale(now, 24, 16, Bounds(0.2));
  LONGS_EQUAL(16, Sum(plan));
  LONGS_EQUAL(0, plan.at(kHere).spot + plan.at(kThere).spot);
}

// A new holder starts with more engines than half of the limit over all zones.
// Without the limit it would request twice as many, and half of that would
// count as needed before the load is known, so expensive on-demand replacements
// would never be released.
TEST(ScalePlan, WantsNoMoreThanAllZonesMayHave) {
  LONGS_EQUAL(24, InitialEngines(20, Bounds(0.2)));
  LONGS_EQUAL(24, EnginesWanted(1000, 1, Bounds(0.2)));
  LONGS_EQUAL(10, InitialEngines(5, Bounds(0.2)));
}

// Where a spot engine costs nearly as much as an on-demand one, none is used.
TEST(ScalePlan, UsesNoSpotEngineThatSavesNothing) {
  const EnginesByZone plan = PlanScale({}, 10, 10, Bounds(0.9));
  LONGS_EQUAL(10, Sum(plan));
  LONGS_EQUAL(0, plan.at(kHere).spot);
}

}  // namespace hickorystand
