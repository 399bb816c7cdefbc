// Tests of client account limits that hold over all hosts together.

#include <CppUTest/TestHarness.h>
// Included after CppUTest's header, which defines macros.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "decisions/window_sum.h"
#include "limit_world.h"

namespace hickorystand {
namespace {

constexpr double kWindow = 8;      // seconds
constexpr double kOverage = 0.1;   // share of what a window allows
constexpr double kSlack = 190000;  // tokens
constexpr double kStep = 0.01;  // seconds between two checks of the simulation
constexpr int64_t kLargest = 57000;  // tokens of the largest request

const AccountId kBig("big");
const AccountId kSmall("small");

AccountLimit Limit(double rate) {
  return {.rate = rate,
          .burst = rate,
          .unit = LimitUnit::kTokens,
          .default_tokens = 200};
}

AccountLimits Limits() {
  return {{kBig, Limit(400000)}, {kSmall, Limit(47000)}};
}

// The most tokens that the configured limit allows in a window.
double Allowed(const AccountLimit& limit) {
  return (limit.rate * kWindow + limit.burst) * (1 + kOverage) + kSlack;
}

LimitWorldOptions World(int hosts) {
  return {.hosts = hosts,
          .limits = Limits(),
          .how = {.window = FromSeconds(kWindow),
                  .overage = kOverage,
                  .slack = kSlack}};
}

// Offers an account's requests at even intervals to the hosts that `where`
// returns for their numbers.
void OfferEvenly(
    LimitWorld& world,
    const AccountId& account,
    double tokens_per_second,
    int64_t cost,
    double seconds,
    const std::function<int(int)>& where,
    const std::function<void(double)>& on_step = [](double) {}) {
  const double gap = static_cast<double>(cost) / tokens_per_second;
  int number = 0;
  for (double at = 0; at < seconds; at += gap) {
    world.Offer(where(number++), account, cost);
    world.Run(gap);
    on_step(at);
  }
}

double RefusedShare(LimitWorld& world, const AccountId& account) {
  const LimitTally& tally = world.Tally(account);
  return static_cast<double>(tally.refused) /
         static_cast<double>(tally.offered);
}

void CutZones(LimitWorld& world, int hosts, int first_of_cut_zone) {
  for (int one = 0; one < first_of_cut_zone; ++one) {
    for (int other = first_of_cut_zone; other < hosts; ++other) {
      world.Cut(one, other);
    }
  }
}

}  // namespace

TEST_GROUP(LimitShares){};

TEST(LimitShares, RecordsKeepHoldersAndStates) {
  const std::vector<LimitHolder> holders = {
      {.host = HostId("a"), .state = HolderState::kActive},
      {.host = HostId("b c"), .state = HolderState::kLeaving}};
  CHECK(DecodeHolders(EncodeHolders(holders)).value() == holders);
  CHECK(DecodeHolders("").value().empty());
  CHECK(!DecodeHolders("active").has_value());
  CHECK(!DecodeHolders("present a").has_value());
}

TEST(LimitShares, AllHostsThatStartTogetherHoldEqualShares) {
  LimitWorld world(World(6));
  world.Start();
  for (int host = 0; host < 6; ++host) {
    DOUBLES_EQUAL(1.0 / 6, world.Own(host), 1e-9);
  }
}

// Guards against accounts that are refused for long after the first limit was
// set in a fleet whose hosts aren't all linked.
TEST(LimitShares, HostsOfTheFirstRecordDoNotWaitForEachOther) {
  LimitWorldOptions options = World(6);
  options.shares.seed_listed_hosts = true;
  LimitWorld world(options);
  for (int one = 0; one < 6; ++one) {
    for (int other = 0; other < one; ++other) {
      world.Cut(one, other);
    }
  }
  world.Start();
  for (int host = 0; host < 6; ++host) {
    DOUBLES_EQUAL(1.0 / 6, world.Own(host), 1e-9);
  }
}

// Guards against a restarted host that waits for a share that no other host can
// hold.
TEST(LimitShares, ARestartedHostHasItsShareAtOnce) {
  LimitWorld world(World(6));
  world.Start();
  world.Kill(2);
  world.Run(1);
  world.Restart(2);
  world.Run(0.5);
  DOUBLES_EQUAL(1.0 / 6, world.Own(2), 1e-9);
}

// Guards against throughput that stays low for long after a power failure of
// all hosts.
TEST(LimitShares, AllHostsHaveTheirSharesSoonAfterAllWereKilled) {
  LimitWorld world(World(6));
  world.Start();
  for (int host = 0; host < 6; ++host) {
    world.Kill(host);
  }
  world.Run(1.5);
  for (int host = 0; host < 6; ++host) {
    world.Restart(host);
  }
  world.Run(0.5);
  DOUBLES_EQUAL(1.0, world.OwnSum(), 1e-9);
}

// Guards against two hosts that use the same share: the lost host may only be
// partitioned and still be running.
TEST(LimitShares, TheShareOfALostHostGoesToTheOthersOnceItHasEnded) {
  LimitWorld world(World(6));
  world.Start();
  for (int host = 0; host < 5; ++host) {
    world.Cut(host, 5);
  }
  world.CutStore(5);
  for (double at = 0; at < 60; at += 0.1) {
    world.Run(0.1);
    CHECK(world.OwnSum() <= 1 + 1e-9);
  }
  DOUBLES_EQUAL(1.0 / 5, world.Own(0), 1e-9);
  DOUBLES_EQUAL(1.0, world.OwnSum(), 1e-9);
}

// Guards against a joining host whose share is unknown to an existing holder.
TEST(LimitShares, AJoiningHostWaitsForHoldersThatItCanNotReach) {
  LimitWorld world(World(4));
  world.SetScheduler(3, false);
  world.Start();
  world.Cut(0, 3);
  world.CutStore(0);
  world.SetScheduler(3, true);
  world.Run(5);
  DOUBLES_EQUAL(0, world.Own(3), 1e-9);
  world.Run(40);
  DOUBLES_EQUAL(1.0 / 4, world.Own(3), 1e-9);
  DOUBLES_EQUAL(0, world.Own(0), 1e-9);
}

// Guards against a deletion of a host's own entry that takes effect after the
// host has joined again.
TEST(LimitShares, AnEarlierWriteThatTakesEffectLateHarmsNothing) {
  LimitWorld world(World(3));
  world.Start();
  world.SetWritesLate(std::chrono::seconds(2));
  world.SetAnswersLost(true);
  world.SetScheduler(1, false);
  world.Run(0.2);
  world.SetWritesLate({});
  world.SetAnswersLost(false);
  world.SetScheduler(1, true);
  for (double at = 0; at < 10; at += kStep) {
    world.Run(kStep);
    CHECK(world.OwnSum() <= 1 + 1e-9);
  }
  DOUBLES_EQUAL(1.0 / 3, world.Own(1), 1e-9);
}

// Guards against a share that is used after its deletion: the host reads that
// it is marked as gone, and its objection never reaches the store.
TEST(LimitShares, AHostThatIsMarkedAsGoneDoesNotRenewItsShareByReading) {
  LimitShares shares(HostId("a"));
  Instant now(std::chrono::seconds(100));
  const auto call = [&](const StoreReply& reply) {
    CHECK(shares.Next(now, {}, false).has_value());
    shares.OnReply(now, now, reply);
  };
  shares.Start();
  call({.outcome = StoreOutcome::kThen, .revision = 1});
  call({.outcome = StoreOutcome::kThen, .revision = 2});
  DOUBLES_EQUAL(1, shares.OwnShare(now), 1e-9);
  const StoreRecord marked{.key = LimitSharesOptions{}.key,
                           .value = "leaving a\nactive b\n",
                           .mod_revision = 3};
  for (int second = 0; second < 32; ++second) {
    now += std::chrono::seconds(1);
    if (const auto due = shares.Next(now, {}, false)) {
      shares.OnReply(now, now,
                     due->conditions.empty()
                         ? StoreReply{.outcome = StoreOutcome::kThen,
                                      .revision = 3,
                                      .records = {marked}}
                         : StoreReply{.outcome = StoreOutcome::kNotApplied});
    }
  }
  DOUBLES_EQUAL(0, shares.OwnShare(now), 1e-9);
}

TEST_GROUP(AccountLimiter){};
TEST_GROUP(WindowSum){};

TEST(AccountLimiter, CountsTokensOrRequests) {
  LONGS_EQUAL(17012, Limit(1).CostOf(17000, 12));
  LONGS_EQUAL(200, Limit(1).CostOf(0, 0));
  LONGS_EQUAL(1, AccountLimit{}.CostOf(17000, 12));
}

TEST(AccountLimiter, AnAccountWithoutALimitIsNotLimited) {
  AccountLimiter limiter(HostId("a"));
  const auto verdict =
      limiter.Take(Instant{}, {.account = kBig, .cost = 1 << 30});
  CHECK(verdict.value_or(LimitVerdict{}).granted);
}

// Guards against refusals below the limit that depend on which hosts receive
// the requests.
TEST(AccountLimiter, OneHostCanServeAnAccountsWholeDemand) {
  for (int host = 0; host < 6; ++host) {
    LimitWorld world(World(6));
    world.Start();
    OfferEvenly(world, kBig, 0.95 * 400000, 9200, 10,
                [host](int) { return host; });
    CHECK(RefusedShare(world, kBig) < 0.005);
  }
}

// Guards against splitting a small token bucket into parts of which none is
// large enough for a request.
TEST(AccountLimiter, LargeRequestsOfASmallAccountPassWhereverTheyCome) {
  LimitWorld world(World(6));
  world.Start();
  OfferEvenly(world, kSmall, 0.95 * 47000, 17000, 60,
              [](int n) { return n % 6; });
  CHECK(RefusedShare(world, kSmall) < 0.005);
}

TEST(AccountLimiter, SharesFollowDemandThatMovesToAnotherZone) {
  LimitWorld world(World(6));
  world.Start();
  OfferEvenly(world, kBig, 0.95 * 400000, 9200, 5, [](int n) { return n % 2; });
  OfferEvenly(world, kBig, 0.95 * 400000, 9200, 2,
              [](int n) { return 4 + n % 2; });
  world.ResetTallies();
  OfferEvenly(world, kBig, 0.95 * 400000, 9200, 5,
              [](int n) { return 4 + n % 2; });
  CHECK(RefusedShare(world, kBig) < 0.005);
}

// Guards against an account that takes processing time and tokens of its hosts
// from other accounts.
TEST(AccountLimiter, AnAccountAboveItsLimitDoesNotTouchOthers) {
  LimitWorld world(World(6));
  world.Start();
  OfferEvenly(
      world, kBig, 5 * 400000, 9200, 10, [](int n) { return n % 6; },
      [&world, next = 0.0](double at) mutable {
        if (at >= next) {
          world.Offer(3, kSmall, 4000);
          next += 0.1;
        }
      });
  LONGS_EQUAL(0, world.Tally(kSmall).refused);
  CHECK(world.MaxCostInWindow(kBig, kWindow) <= Allowed(Limit(400000)));
  CHECK(world.Tally(kBig).admitted_cost >= 0.97 * 400000 * 10);
}

TEST(AccountLimiter, UrgentRequestsOfAnAccountPassBeforeOthers) {
  AccountLimiter limiter(HostId("a"));
  Instant now(std::chrono::seconds(10));
  limiter.SetLimits(now, Limits());
  limiter.SetShare(now, 1, 1);
  constexpr int64_t kCost = 4000;
  // Urgent requests at 0.6 of the limit, others at twice the limit.
  const std::array<Duration, 2> gaps = {FromSeconds(kCost / (0.6 * 400000)),
                                        FromSeconds(kCost / (2.0 * 400000))};
  std::array<Instant, 2> next = {now, now};
  std::array<LimitTally, 2> tallies;
  const Instant end = now + std::chrono::seconds(10);
  while (now < end) {
    const size_t kind = next[0] <= next[1] ? 0 : 1;
    now = next[kind];
    next[kind] += gaps[kind];
    const auto verdict = limiter.Take(
        now, {.account = kBig, .cost = kCost, .priority = kind == 0 ? 0 : 2});
    ++tallies[kind].offered;
    tallies[kind].admitted += verdict.value_or(LimitVerdict{}).granted ? 1 : 0;
  }
  CHECK(static_cast<double>(tallies[0].admitted) >
        0.95 * static_cast<double>(tallies[0].offered));
  const auto all =
      static_cast<double>(tallies[0].admitted + tallies[1].admitted);
  CHECK(all * kCost > 0.95 * 400000 * 10);
}

// Guards against a partitioned part of the fleet that refuses all requests, and
// against one that spends more than its share.
TEST(AccountLimiter, APartThatIsCutOffSpendsItsShareAndNoMore) {
  LimitWorld world(World(6));
  world.Start();
  CutZones(world, 6, 4);
  world.Run(4);
  world.ResetTallies();
  OfferEvenly(world, kBig, 3 * 400000, 9200, 10,
              [](int n) { return 4 + n % 2; });
  const double share = 400000.0 * 10 * 2 / 6;
  CHECK(world.Tally(kBig).admitted_cost >= 0.95 * share);
  CHECK(world.Tally(kBig).admitted_cost <=
        share + (Allowed(Limit(400000)) - 400000 * kWindow) * 2 / 6);
}

// Guards against an account that exceeds its limit by sending to all zones
// while they are partitioned from each other.
TEST(AccountLimiter, NoCutLetsAnAccountPassItsLimit) {
  for (const double before : {0.1, 0.5, 3.0}) {
    LimitWorld world(World(6));
    world.Start();
    OfferEvenly(world, kBig, 400000 * before, 9200, 3,
                [](int n) { return n % 6; });
    CutZones(world, 6, 2);
    CutZones(world, 6, 4);
    OfferEvenly(world, kBig, 7.5 * 400000, 9200, 12,
                [](int n) { return n % 6; });
    world.HealAll();
    OfferEvenly(world, kBig, 7.5 * 400000, 9200, 12,
                [](int n) { return n % 6; });
    CHECK(world.MaxCostInWindow(kBig, kWindow) <= Allowed(Limit(400000)));
  }
}

TEST(AccountLimiter, SharesFollowDemandSoonAfterACutHeals) {
  LimitWorld world(World(6));
  world.Start();
  CutZones(world, 6, 4);
  OfferEvenly(world, kBig, 0.95 * 400000, 9200, 6, [](int n) { return n % 6; });
  world.HealAll();
  OfferEvenly(world, kBig, 0.95 * 400000, 9200, 2, [](int) { return 5; });
  world.ResetTallies();
  OfferEvenly(world, kBig, 0.95 * 400000, 9200, 5, [](int) { return 5; });
  CHECK(RefusedShare(world, kBig) < 0.005);
}

// Guards against additional tokens with each restart of a host.
TEST(AccountLimiter, RestartsCreateNoTokens) {
  LimitWorld world(World(6));
  world.Start();
  OfferEvenly(
      world, kBig, 6 * 400000, 9200, 20, [](int n) { return n % 6; },
      [&world, next = 0](double at) mutable {
        if (at >= next * 0.3) {
          world.Kill(next % 6);
          world.Restart(next % 6);
          ++next;
        }
      });
  CHECK(world.MaxCostInWindow(kBig, kWindow) <= Allowed(Limit(400000)));
}

TEST(AccountLimiter, ALoweredLimitBindsAndARaisedOneIsServed) {
  LimitWorld world(World(6));
  world.Start();
  OfferEvenly(world, kBig, 0.95 * 400000, 9200, 5, [](int n) { return n % 6; });
  for (int host = 0; host < 6; ++host) {
    world.SetLimits(host, {{kBig, Limit(100000)}});
    world.Run(0.3);
  }
  world.ResetTallies();
  OfferEvenly(world, kBig, 400000, 9200, 10, [](int n) { return n % 6; });
  CHECK(world.MaxCostInWindow(kBig, kWindow) <= Allowed(Limit(400000)));
  CHECK(world.Tally(kBig).admitted_cost <= 100000 * 2 + Allowed(Limit(100000)));
  for (int host = 0; host < 6; ++host) {
    world.SetLimits(host, {{kBig, Limit(800000)}});
  }
  OfferEvenly(world, kBig, 0.95 * 800000, 9200, 2, [](int n) { return n % 6; });
  world.ResetTallies();
  OfferEvenly(world, kBig, 0.95 * 800000, 9200, 5, [](int n) { return n % 6; });
  CHECK(RefusedShare(world, kBig) < 0.005);
}

// Guards against a debt in tokens that remains when the limit changes to
// requests: it would block the account for hours.
TEST(AccountLimiter, NeitherTokensNorDebtsCrossAChangeOfTheUnit) {
  const Instant start{};
  AccountLimiter limiter(HostId("a"));
  limiter.SetShare(start, 1, 1);
  limiter.SetLimits(start, {{kBig, Limit(400000)}});
  const Instant now = start + FromSeconds(2);
  const auto verdict =
      limiter.Take(now, {.number = 1, .account = kBig, .cost = 900000});
  CHECK(verdict && verdict->granted);
  CHECK(limiter.TokensHeld(now, kBig) < 0);
  limiter.SetLimits(now, {{kBig, {.rate = 1, .burst = 5}}});
  DOUBLES_EQUAL(0, limiter.TokensHeld(now, kBig), 0);
}

TEST(WindowSum, ForgetsWhatIsOlderThanTheWindow) {
  WindowSum sum(std::chrono::seconds(8));
  const Instant start{};
  const auto at = [&](double seconds) { return start + FromSeconds(seconds); };
  sum.Add(at(0), 100);
  sum.Add(at(0.1), -40);
  sum.Add(at(5), 7);
  LONGS_EQUAL(67, sum.Sum(at(7.9)));
  LONGS_EQUAL(7, sum.Sum(at(8.2)));
  LONGS_EQUAL(0, sum.Sum(at(13.1)));
}

// Guards against an account that is refused for long after its limit was set,
// and against one that may spend twice when its limit is removed and set again.
TEST(AccountLimiter, AccountsThatComeAndGoKeepToTheirLimits) {
  LimitWorld world(World(6));
  world.Start();
  const AccountId added("added");
  AccountLimits with = Limits();
  with[added] = Limit(100000);
  for (int round = 0; round < 4; ++round) {
    for (int host = 0; host < 6; ++host) {
      world.SetLimits(host, with);
    }
    world.ResetTallies();
    OfferEvenly(world, added, 0.95 * 100000, 9200, 3,
                [](int n) { return n % 6; });
    CHECK(RefusedShare(world, added) < 0.005);
    for (int host = 0; host < 6; ++host) {
      world.SetLimits(host, Limits());
    }
    world.Run(kWindow);
  }
  CHECK(world.MaxCostInWindow(added, kWindow) <= Allowed(Limit(100000)));
}

// Guards against tokens that are spent on a request that didn't run, and
// against tokens that are returned twice.
TEST(AccountLimiter, TokensOfRequestsThatDidNotRunAreReturned) {
  LimitWorld world(World(3));
  world.Start();
  OfferEvenly(world, kBig, 10 * 400000, 9200, 1, [](int) { return 0; });
  world.ResetTallies();
  world.Refund(0, kBig, 9200);
  world.Offer(0, kBig, 9200);
  LONGS_EQUAL(1, world.Tally(kBig).admitted);
}

// Guards against a grant whose tokens are counted at both ends when its message
// is repeated.
TEST(AccountLimiter, ARepeatedGrantCountsOnce) {
  AccountLimiter limiter(HostId("a"));
  const Instant now(std::chrono::seconds(10));
  limiter.SetLimits(now, Limits());
  limiter.SetPeers(now, {HostId("b"), HostId("c"), HostId("d"), HostId("e")});
  limiter.SetShare(now, 0, 0.2);
  CHECK(!limiter.Take(now, {.number = 1, .account = kBig, .cost = 9200}));
  LimitEffects effects = limiter.TakeEffects();
  const auto [to, want] = effects.wants.front();
  const TokenGrant grant{
      .number = want.number, .account = kBig, .tokens = want.tokens};
  limiter.OnGrant(now, to, grant);
  const double held = limiter.TokensHeld(now, kBig);
  limiter.OnGrant(now, to, grant);
  limiter.OnGrant(now, HostId("f"), grant);
  DOUBLES_EQUAL(held, limiter.TokensHeld(now, kBig), 1e-9);
}

// Guards against refused callers that all retry at the same time.
TEST(AccountLimiter, RefusedRequestsGetDifferentRetryTimes) {
  AccountLimiter limiter(HostId("a"));
  const Instant now(std::chrono::seconds(10));
  limiter.SetLimits(now, Limits());
  limiter.SetShare(now, 1, 1);
  std::set<Duration> times;
  for (int64_t n = 0; n < 4; ++n) {
    const auto verdict =
        limiter.Take(now, {.number = n, .account = kBig, .cost = 40000});
    CHECK(verdict.has_value());
    const LimitVerdict refused = verdict.value_or(LimitVerdict{});
    CHECK(!refused.granted);
    times.insert(refused.retry_after);
  }
  LONGS_EQUAL(4, times.size());
}

TEST_GROUP(LimitProperties){};

namespace {

// Injects random faults while accounts send far more than their limits allow.
void InjectFaults(LimitWorld& world, std::mt19937& random, int hosts) {
  const auto any = [&random](int below) {
    return std::uniform_int_distribution<>(0, below - 1)(random);
  };
  const auto fault = [&] {
    const int host = any(hosts);
    switch (any(13)) {
      case 0:
        world.Kill(host);
        break;
      case 1:
        world.Restart(host);
        break;
      case 2:
        world.Freeze(host);
        break;
      case 3:
        world.Thaw(host);
        break;
      case 4:
        world.Cut(host, any(hosts));
        break;
      case 5:
        world.CutStore(host);
        break;
      case 6:
        CutZones(world, hosts, 1 + any(hosts - 1));
        break;
      case 7:
        world.HealAll();
        break;
      case 8:
        world.SetScheduler(host, any(2) == 0);
        break;
      case 9:
        world.SetStoreDown(any(3) == 0);
        break;
      case 10:
        world.SetAnswersLost(any(3) == 0);
        break;
      case 11:
        world.SetWritesLate(std::chrono::milliseconds(any(3) == 0 ? 2000 : 0));
        break;
      default:
        world.Kill(host);
        world.Restart(host);
    }
  };
  const double load = 0.5 + 0.5 * any(14);
  for (double at = 0; at < 40; at += kStep) {
    if (any(40) == 0) {
      fault();
    }
    const double big = load * 400000 * kStep / 9200;
    const int requests = static_cast<int>(big + 0.01 * any(100));
    for (int i = 0; i < requests; ++i) {
      world.Offer(any(hosts), kBig, any(20) == 0 ? kLargest : 9200, any(3));
    }
    if (any(4) == 0) {
      world.Offer(any(hosts), kSmall, 3000 + any(30000), any(3));
    }
    world.Run(kStep);
    RC_ASSERT(world.OwnSum() <= 1 + 1e-9);
  }
}

void CheckLimits(uint32_t seed, const LimitSharesOptions& shares) {
  std::mt19937 random(seed);
  const int hosts = 3 + static_cast<int>(seed % 5);
  LimitWorldOptions options = World(hosts);
  options.shares = shares;
  options.seed = seed;
  options.lost = seed % 3 == 0 ? 0.05 : 0;
  options.repeated = seed % 5 == 0 ? 0.05 : 0;
  options.late = seed % 7 == 0 ? 0.05 : 0;
  LimitWorld world(options);
  world.Start();
  InjectFaults(world, random, hosts);
  for (const auto& [account, limit] : Limits()) {
    RC_ASSERT(world.MaxCostInWindow(account, kWindow) <= Allowed(limit));
  }
}

}  // namespace

TEST(LimitProperties, NoFaultLetsAnAccountPassItsLimit) {
  CHECK(rc::check("limits hold", [](uint32_t seed) { CheckLimits(seed, {}); }));
}

TEST(LimitProperties, NoFaultLetsAnAccountPassItsLimitWhereAllHostsHoldAShare) {
  CHECK(rc::check(
      "limits hold where the first record names all",
      [](uint32_t seed) { CheckLimits(seed, {.seed_listed_hosts = true}); }));
}

}  // namespace hickorystand
