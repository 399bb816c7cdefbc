// Tests of usage counting with copies that arrive twice, late or never, and
// with hosts that die; and of the JSON records.

#include <CppUTest/TestHarness.h>

#include <random>

#include "decisions/orders.h"
#include "decisions/usage.h"

namespace hickorystand {
namespace {

const UsageSource kHost = {.host = HostId("h"), .incarnation = 1};
const AccountId kAccount("x");

UsageCopy CopyOf(int64_t requests, uint64_t incarnation = 1) {
  return {.source = {.host = HostId("h"), .incarnation = incarnation},
          .counts = {{kAccount, {.requests = requests}}}};
}

}  // namespace

TEST_GROUP(Usage){};

// A copy of a host's counters arrives twice and an older one arrives late. If
// the copies were added up, the account would be billed for work that was never
// done.
TEST(Usage, RepeatedAndReorderedCopiesCountOnce) {
  UsageLedger ledger;
  for (const int64_t requests : {5, 9, 9, 7}) {
    ledger.Merge(CopyOf(requests));
  }
  const UsageWindow window = CloseUsageWindow({}, ledger, 1, 1);
  LONGS_EQUAL(9, window.figures.at(kAccount).requests);
}

TEST(Usage, LateUsageFallsIntoALaterWindow) {
  UsageLedger ledger;
  ledger.Merge(CopyOf(5));
  const UsageWindow first = CloseUsageWindow({}, ledger, 1, 1);
  ledger.Merge(CopyOf(8));
  const UsageWindow second = CloseUsageWindow(first, ledger, 2, 1);
  LONGS_EQUAL(5, first.figures.at(kAccount).requests);
  LONGS_EQUAL(3, second.figures.at(kAccount).requests);
}

// A new coordinator has received fewer counts of a host than its predecessor's
// closed window contains. It must neither subtract usage nor count it again.
TEST(Usage, LedgerThatLagsBehindCountsNothingTwice) {
  UsageLedger ahead;
  ahead.Merge(CopyOf(10));
  const UsageWindow first = CloseUsageWindow({}, ahead, 1, 1);
  UsageLedger behind;
  behind.Merge(CopyOf(4));
  const UsageWindow second = CloseUsageWindow(first, behind, 2, 2);
  CHECK(second.figures.empty());
  behind.Merge(CopyOf(12));
  const UsageWindow third = CloseUsageWindow(second, behind, 3, 2);
  LONGS_EQUAL(2, third.figures.at(kAccount).requests);
}

TEST(Usage, RestartedHostCountsFromZeroAsAnotherSource) {
  UsageLedger ledger;
  ledger.Merge(CopyOf(10, 1));
  ledger.Merge(CopyOf(3, 2));
  const UsageWindow window = CloseUsageWindow({}, ledger, 1, 1);
  LONGS_EQUAL(13, window.figures.at(kAccount).requests);
}

// The counters of a host that left long ago are dropped, since windows would
// otherwise grow without limit. If another host then sends a copy that it still
// keeps, the usage must not be billed a second time.
TEST(Usage, EndedSourceIsNeverCountedAgain) {
  UsageLedger ledger;
  ledger.Merge(CopyOf(10));
  const UsageWindow first = CloseUsageWindow({}, ledger, 1, 1, {kHost});
  LONGS_EQUAL(10, first.figures.at(kAccount).requests);
  CHECK(first.counted.empty());
  ledger.Merge(CopyOf(11));
  CHECK(CloseUsageWindow(first, ledger, 2, 1).figures.empty());
}

// For copies in any order, windows never add up to more than was counted, and
// they add up to all of it once the last copy has arrived.
TEST(Usage, WindowsAddUpToWhatWasCounted) {
  std::mt19937_64 random(1);
  for (int run = 0; run < 200; ++run) {
    UsageMeter meter(kHost);
    std::vector<UsageCopy> copies;
    UsageLedger ledger;
    UsageWindow window;
    int64_t reported = 0;
    for (int step = 0; step < 50; ++step) {
      meter.Add(kAccount, {.requests = static_cast<int64_t>(random() % 5)});
      copies.push_back(meter.Copy());
      if (random() % 2 == 0) {
        ledger.Merge(copies[random() % copies.size()]);
      }
      if (step == 49) {
        ledger.Merge(copies.back());
      }
      if (random() % 4 == 0 || step == 49) {
        window = CloseUsageWindow(window, ledger, window.window + 1, 1);
        for (const auto& [account, count] : window.figures) {
          reported += count.requests;
        }
      }
      CHECK(reported <= meter.Copy().counts.at(kAccount).requests);
    }
    LONGS_EQUAL(meter.Copy().counts.at(kAccount).requests, reported);
  }
}

TEST(Usage, WindowSurvivesItsJson) {
  UsageLedger ledger;
  ledger.Merge(CopyOf(10));
  ledger.Merge({.source = {.host = HostId("g"), .incarnation = 7},
                .counts = {{AccountId("y"),
                            {.prompt_tokens = 1LL << 50,
                             .generated_tokens = 2,
                             .requests = 3}}}});
  const UsageWindow window = CloseUsageWindow({}, ledger, 4, 9, {kHost});
  CHECK(window == DecodeUsageWindow(EncodeUsageWindow(window)).value());
  CHECK(!DecodeUsageWindow("[1]").has_value());
  CHECK(!DecodeUsageWindow(R"({"figures":{"x":[1,2]}})").has_value());
}

// The largest expected site has 18 hosts and 470 client accounts, all in use.
TEST(Usage, WindowOfALargeSiteFitsIntoTheStore) {
  UsageLedger ledger;
  for (int host = 0; host < 18; ++host) {
    UsageCopy copy{.source = {.host = HostId("host-" + std::to_string(host)),
                              .incarnation = 1'700'000'000'000}};
    for (int account = 0; account < 470; ++account) {
      copy.counts[AccountId("account-" + std::to_string(account))] = {
          .prompt_tokens = 1'000'000'000'000,
          .generated_tokens = 100'000'000'000,
          .requests = 1'000'000'000};
    }
    ledger.Merge(copy);
  }
  const std::string text =
      EncodeUsageWindow(CloseUsageWindow({}, ledger, 1, 1));
  CHECK(text.size() < 600'000);
}

TEST_GROUP(OrderRecord){};

TEST(OrderRecord, SurvivesItsJson) {
  const OrderRecord record = {.orders = {{.id = OrderId("7-1"),
                                          .kind = OrderKind::kChangeEndpoints,
                                          .endpoint = EndpointId("e"),
                                          .argument = "a \"quoted\" one",
                                          .service = ServiceId("s"),
                                          .cheap = true,
                                          .change = -1,
                                          .fences = true,
                                          .fencing = 7,
                                          .holder = HostId("h"),
                                          .incarnation = 3}},
                              .windows = {{.window = 5,
                                           .fencing = 7,
                                           .holder = HostId("h"),
                                           .incarnation = 3}},
                              .last_window = 5};
  CHECK(record == DecodeOrderRecord(EncodeOrderRecord(record)).value());
  CHECK(OrderRecord() == DecodeOrderRecord("").value());
  CHECK(!DecodeOrderRecord(R"({"orders":[{"kind":"explode"}]})").has_value());
}

}  // namespace hickorystand
