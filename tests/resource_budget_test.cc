// Tests of the budget of what a process holds for others: who yields when it is
// full, and what is refused.

#include <CppUTest/TestHarness.h>
#include <glib.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/resource_budget.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kLimit = 1000;

// A budget, and holdings that record the order in which they yield.
struct BudgetBed {
  explicit BudgetBed(const ResourceLimits& limits = {.bytes = kLimit,
                                                     .descriptors = 80})
      : budget(limits, this->clock, this->metrics) {}

  Holding& Add(const std::string& name,
               HoldingState state,
               int64_t bytes,
               int64_t descriptors = 0) {
    auto& holding = this->holdings[name];
    holding = std::make_unique<Holding>(&this->budget, state, [this, name] {
      this->yielded.push_back(name);
      this->holdings.erase(name);
    });
    holding->SetBytes(bytes);
    holding->SetDescriptors(descriptors);
    return *holding;
  }

  void RunLoop() const {
    while (this->budget.RoomPending()) {
      g_main_context_iteration(nullptr, FALSE);
    }
  }

  ManualClock clock;
  Metrics metrics;
  ResourceBudget budget;
  std::vector<std::string> yielded;
  std::map<std::string, std::unique_ptr<Holding>> holdings;
};

using Names = std::vector<std::string>;

}  // namespace

TEST_GROUP(ResourceBudget){};

// Guards against refusing the newcomer while others hold much for long.
TEST(ResourceBudget, TheMostByteSecondsYieldFirst) {
  BudgetBed bed;
  bed.Add("large", HoldingState::kReceiving, 500);
  bed.Add("small", HoldingState::kReceiving, 10);
  bed.clock.Advance(seconds(1));
  bed.Add("later", HoldingState::kReceiving, 400);
  bed.clock.Advance(seconds(1));
  bed.Add("newcomer", HoldingState::kReceiving, 200);
  CHECK(bed.budget.RoomPending());
  CHECK(bed.yielded.empty());
  bed.RunLoop();
  CHECK(bed.yielded == Names{"large"});
  LONGS_EQUAL(610, bed.budget.Bytes());
  LONGS_EQUAL(
      1, bed.metrics.Value("budget_yields_total",
                           {{"resource", "memory"}, {"state", "receiving"}}));
}

// Guards against ending a reader that keeps up before one that stalls.
TEST(ResourceBudget, BytesThatMoveHaveNoAge) {
  BudgetBed bed;
  Holding& moves = bed.Add("moves", HoldingState::kSending, 400);
  bed.Add("stalls", HoldingState::kSending, 300);
  for (int i = 0; i < 20; ++i) {
    bed.clock.Advance(milliseconds(100));
    moves.SetBytes(40);
    moves.SetBytes(400);
  }
  bed.Add("newcomer", HoldingState::kReceiving, 400);
  bed.RunLoop();
  CHECK(bed.yielded == Names{"stalls"});
}

// Guards against bytes that trickle in keeping the earlier ones young.
TEST(ResourceBudget, ATrickleKeepsNothingYoung) {
  BudgetBed bed;
  Holding& trickles = bed.Add("trickles", HoldingState::kReceiving, 400);
  for (int i = 1; i <= 20; ++i) {
    bed.clock.Advance(seconds(1));
    trickles.SetBytes(400 + i);
  }
  bed.Add("fast", HoldingState::kReceiving, 500);
  bed.clock.Advance(seconds(1));
  bed.Add("newcomer", HoldingState::kReceiving, 200);
  bed.RunLoop();
  CHECK(bed.yielded == Names{"trickles"});
}

// Guards against ending requests in work, of which nobody knows whether they
// have run, and against large ones that leave nothing to small ones.
TEST(ResourceBudget, WorkDoesNotYieldAndLeavesRoomForSmallRequests) {
  constexpr int64_t kLarge = int64_t{100} << 10;
  BudgetBed bed({.bytes = 10 * kLarge, .descriptors = 80});
  std::vector<SharedBytes> in_work;
  while (bed.budget.MayTakeIntoWork(kLarge)) {
    in_work.push_back(
        HoldInWork(&bed.budget, std::string(static_cast<size_t>(kLarge), 'b')));
  }
  LONGS_EQUAL(7, in_work.size());
  CHECK(bed.budget.MayTakeIntoWork(1024));
  bed.clock.Advance(seconds(9));
  bed.Add("newcomer", HoldingState::kReceiving, 4 * kLarge);
  bed.RunLoop();
  CHECK(bed.yielded == Names{"newcomer"});
  in_work.clear();
  LONGS_EQUAL(0, bed.budget.Bytes());
  CHECK(bed.budget.MayTakeIntoWork(kLarge));
}

// Guards against a Retry-After of nothing, and of for ever.
TEST(ResourceBudget, RetryAfterFollowsTheRateAtWhichBytesAreFreed) {
  BudgetBed bed;
  CHECK(bed.budget.RetryAfter(100) == milliseconds(500));
  auto full = HoldInWork(&bed.budget, std::string(kLimit, 'b'));
  CHECK(bed.budget.RetryAfter(100) == seconds(10));
  HoldInWork(&bed.budget, std::string(2000, 'b'));
  CHECK(bed.budget.RetryAfter(100) > milliseconds(500));
  CHECK(bed.budget.RetryAfter(100) < seconds(10));
}

// Guards against silent connections that keep others from connecting.
TEST(ResourceBudget, SilentConnectionsYieldTheirDescriptorsFirst) {
  BudgetBed bed({.bytes = kLimit, .descriptors = 8});
  bed.Add("busy", HoldingState::kInWork, 1, 1);
  bed.Add("idle", HoldingState::kIdle, 1, 1);
  bed.clock.Advance(seconds(1));
  for (int i = 0; i < 5; ++i) {
    bed.Add("silent" + std::to_string(i), HoldingState::kSilent, 1, 1);
  }
  bed.clock.Advance(seconds(2));
  CHECK(!bed.budget.RoomPending());
  bed.Add("newcomer", HoldingState::kSilent, 1, 1);
  bed.RunLoop();
  CHECK(bed.yielded == Names{"silent0"});
}

// Guards against readers that wait for each other's room, a turn of the loop
// for each.
TEST(ResourceBudget, AReaderMakesRoomItself) {
  BudgetBed bed({.bytes = kLimit});
  bed.Add("old", HoldingState::kReceiving, kLimit);
  bed.clock.Advance(seconds(1));
  bed.Add("newcomer", HoldingState::kReceiving, 1);
  CHECK(bed.budget.RoomPending());
  bed.budget.MakeRoom();
  CHECK(!bed.budget.RoomPending());
  CHECK(bed.yielded == Names{"old"});
}

// Guards against limits that a request within the platform's limits meets in
// calm, and against a budget that takes all of a machine.
TEST(ResourceBudget, DefaultsFollowTheMachine) {
  constexpr int64_t kLargestBody = int64_t{4} << 20;
  for (const int64_t memory_mb : {48, 120, 260, 24000}) {
    const ResourceLimits limits =
        LimitsOf({.memory_bytes = memory_mb * 1'000'000, .descriptors = 4100});
    CHECK(limits.InWork() > kLargestBody);
    CHECK(limits.bytes <= memory_mb * 1'000'000 / 2);
    LONGS_EQUAL(3900, limits.descriptors);
    CHECK(limits.ForClients() < limits.descriptors);
  }
  CHECK(LimitsOf({}) == ResourceLimits());
  CHECK(Tighter({.memory_bytes = 5}, {.memory_bytes = 3, .descriptors = 2}) ==
        (MachineLimits{.memory_bytes = 3, .descriptors = 2}));
  CHECK(ReadMachineLimits().memory_bytes > 0);
}

}  // namespace hickorystand
