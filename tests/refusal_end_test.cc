// Tests of what ends a refusal by placement while no request passes: a refused
// request measures nothing, so an estimate alone must not refuse.

#include <CppUTest/TestHarness.h>

#include "decisions/fleet_placement.h"

namespace hickorystand {
namespace {

const ServiceId kService("s");
const HostId kPeer("peer");

Instant At(double seconds) {
  return Instant(FromSeconds(seconds));
}

EndpointId Numbered(size_t number) {
  return EndpointId("e" + std::to_string(number));
}

// Three endpoints of one role.
FleetEndpoints Three(EndpointRole role, int64_t slots) {
  FleetEndpoints fleet;
  for (size_t i = 0; i < 3; ++i) {
    fleet[Numbered(i)] = {.run = {.id = Numbered(i), .started = 1},
                          .service = kService,
                          .role = role,
                          .slots = slots};
  }
  return fleet;
}

FleetPlacement MakePlacement(const FleetEndpoints& fleet,
                             ContentionMode contention = ContentionMode::kOff) {
  FleetPlacement placement({.contention = contention});
  placement.SetEndpoints(fleet);
  return placement;
}

RequestProfile PlainCall(Duration allowed) {
  return {.service = kService, .max_first_byte_wait = allowed};
}

RequestProfile Prompt(uint64_t shared, int64_t shared_tokens, int64_t own) {
  return {.service = kService,
          .engine = true,
          .prompt_tokens = shared_tokens + own,
          .parts = {{.part = shared, .tokens = shared_tokens},
                    {.part = 1000 + shared, .tokens = own}},
          .target = std::chrono::milliseconds(150)};
}

bool IsPlaced(const FleetPlacement& placement,
              double seconds,
              const RequestProfile& shape) {
  return std::holds_alternative<PlacementTarget>(
      placement.Place(At(seconds), shape, {}));
}

// Runs a call to its end at one endpoint.
void RunPlain(FleetPlacement& placement, double sent, double took) {
  const RequestProfile shape = PlainCall(FromSeconds(took));
  const WorkId work = placement.OnSent(At(sent), Numbered(0), shape, {});
  placement.OnPlainCallTime(At(sent + took), kService, work, FromSeconds(took));
  placement.OnEnded(At(sent + took), work);
}

// Runs a prompt to its end at one engine, with the first event after `took`.
void RunPrompt(FleetPlacement& placement,
               double sent,
               double took,
               const RequestProfile& shape,
               const SentWork& sent_work) {
  const WorkId work = placement.OnSent(At(sent), Numbered(0), shape, sent_work);
  placement.OnPrefillDone(At(sent + took), work);
  placement.OnEnded(At(sent + took), work);
}

}  // namespace

TEST_GROUP(RefusalEnd){};

// Guards against a plain service that refuses for good after some slow calls.
TEST(RefusalEnd, SlowCallsDontRefuseLaterOnesAtIdleEndpoints) {
  FleetPlacement placement = MakePlacement(Three(EndpointRole::kPlain, 6));
  for (int i = 0; i < 20; ++i) {
    RunPlain(placement, i, 3);
  }
  CHECK(IsPlaced(placement, 30, PlainCall(std::chrono::milliseconds(800))));
}

// The same on a contended service, whose endpoints' speeds are estimated too.
TEST(RefusalEnd, SlowCallsDontRefuseLaterOnesOfAContendedService) {
  FleetPlacement placement =
      MakePlacement(Three(EndpointRole::kPlain, 6), ContentionMode::kOn);
  for (int i = 0; i < 20; ++i) {
    RunPlain(placement, i, 3);
  }
  CHECK(IsPlaced(placement, 30, PlainCall(std::chrono::milliseconds(800))));
}

// Guards against an engine service that refuses short prompts for good after a
// stall of its engines.
TEST(RefusalEnd, SlowFirstTokensDontRefuseLaterPrompts) {
  FleetPlacement placement = MakePlacement(Three(EndpointRole::kDecode, 32));
  const RequestProfile prompt = Prompt(1, 80, 140);
  for (int i = 0; i < 200; ++i) {
    RunPrompt(placement, i, 5, prompt, {.new_tokens = 140});
  }
  CHECK(IsPlaced(placement, 300, prompt));
}

// Guards against an engine service that refuses long prompts for good after a
// stall of its engines: short ones don't measure the prefill rate.
TEST(RefusalEnd, SlowPrefillsDontRefuseLaterPrompts) {
  FleetPlacement placement = MakePlacement(Three(EndpointRole::kDecode, 32));
  for (int i = 0; i < 200; ++i) {
    RunPrompt(placement, i, 5, Prompt(1, 6300, 2900), {.new_tokens = 2900});
  }
  CHECK(IsPlaced(placement, 300, Prompt(2, 11300, 5400)));
}

// Guards against an engine service that refuses for good after slow transfers.
TEST(RefusalEnd, SlowTransfersDontRefuseLaterPrompts) {
  FleetPlacement placement = MakePlacement(Three(EndpointRole::kDecode, 32));
  const RequestProfile prompt = Prompt(1, 6300, 100);
  for (int i = 0; i < 200; ++i) {
    RunPrompt(placement, i, 5, prompt,
              {.new_tokens = 100, .copied_tokens = 6300});
  }
  placement.OnCache(Numbered(1), {.part = 2, .tokens = 6300});
  CHECK(IsPlaced(placement, 300, Prompt(2, 6300, 100)));
}

// Guards against a prompt that is refused because the engine that has it cached
// is busy, while another engine is idle.
TEST(RefusalEnd, ABusyEngineWithTheCacheDoesntRefuseWhileAnotherIsIdle) {
  FleetPlacement placement = MakePlacement(Three(EndpointRole::kDecode, 32));
  placement.OnCache(Numbered(0), {.part = 1, .tokens = 30000});
  placement.OnPeerWork(
      kPeer, {{.endpoint = Numbered(0), .prompt_tokens = 4000, .requests = 2}});
  CHECK(IsPlaced(placement, 1, Prompt(1, 30000, 500)));
}

// Guards against counts of requests that stay wrong after an endpoint was
// missing in one list: those in progress end after it is listed again.
TEST(RefusalEnd, AnEndpointListedAgainKeepsTheCountOfItsRequests) {
  FleetPlacement placement = MakePlacement(Three(EndpointRole::kDecode, 32));
  const RequestProfile prompt = Prompt(1, 80, 140);
  const WorkId work =
      placement.OnSent(At(1), Numbered(0), prompt, {.new_tokens = 140});
  FleetEndpoints without = Three(EndpointRole::kDecode, 32);
  without.erase(Numbered(0));
  placement.SetEndpoints(without);
  placement.SetEndpoints(Three(EndpointRole::kDecode, 32));
  LONGS_EQUAL(1, placement.Running(Numbered(0)));
  placement.OnEnded(At(2), work);
  LONGS_EQUAL(0, placement.Running(Numbered(0)));
}

// Guards against a lost scheduler whose last report keeps endpoints full.
TEST(RefusalEnd, ALostHostsRequestsNoLongerFillEndpoints) {
  FleetPlacement placement = MakePlacement(Three(EndpointRole::kPlain, 6));
  std::vector<EndpointOutstanding> full;
  for (size_t i = 0; i < 3; ++i) {
    full.push_back({.endpoint = Numbered(i), .requests = 25});
  }
  placement.OnPeerWork(kPeer, full);
  CHECK(!IsPlaced(placement, 1, PlainCall(std::chrono::seconds(1))));
  placement.RemovePeer(At(2), kPeer);
  CHECK(IsPlaced(placement, 2, PlainCall(std::chrono::seconds(1))));
}

}  // namespace hickorystand
