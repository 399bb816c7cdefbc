// Compares methods of enforcing the rate limits of client accounts across
// hosts, in virtual time: equal shares, shares moved between all hosts, shares
// pooled at a home host, and counts exchanged between hosts. Prints a table to
// standard output.
//
//   limits_bench [--seeds N]

#include <array>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <string>

#include "limit_world.h"

namespace hickorystand {
namespace {

constexpr double kWindow = 8;  // seconds
constexpr double kOverage = 0.1;
constexpr double kSlack = 190000;
constexpr double kRate = 400000;
constexpr double kSmallRate = 47000;
constexpr int64_t kCost = 9200;
constexpr int64_t kLargeCost = 17000;
constexpr double kPercent = 100;
// Wire size of a request for tokens or a grant, including its part of the
// enclosing message.
constexpr double kEntryBytes = 24;
constexpr double kMessageBytes = 60;

const AccountId kBig("big");
const AccountId kSmall("small");

struct LimitMethod {
  const char* name;
  LimitPooling pooling;
  bool counting;
};

constexpr std::array kLimitMethods = {
    LimitMethod{"equal parts", LimitPooling::kNone, false},
    LimitMethod{"moved between all", LimitPooling::kPeers, false},
    LimitMethod{"pooled at a home", LimitPooling::kHome, false},
    LimitMethod{"counts exchanged", LimitPooling::kNone, true}};

AccountLimit Limit(double rate) {
  return {.rate = rate, .burst = rate, .unit = LimitUnit::kTokens};
}

LimitWorldOptions Options(const LimitMethod& way,
                          int hosts,
                          uint32_t seed = 1) {
  return {.hosts = hosts,
          .limits = {{kBig, Limit(kRate)}, {kSmall, Limit(kSmallRate)}},
          .how = {.pooling = way.pooling, .overage = kOverage, .slack = kSlack},
          .counting = way.counting,
          .seed = seed};
}

void Play(LimitWorld& world,
          const AccountId& account,
          double tokens_per_second,
          int64_t cost,
          double seconds,
          const std::function<int(int)>& where) {
  const double gap = static_cast<double>(cost) / tokens_per_second;
  int number = 0;
  for (double at = 0; at < seconds; at += gap) {
    world.Offer(where(number++), account, cost);
    world.Run(gap);
  }
}

double RefusedPercent(LimitWorld& world, const AccountId& account) {
  const LimitTally& tally = world.Tally(account);
  return kPercent * static_cast<double>(tally.refused) /
         static_cast<double>(tally.offered);
}

double RefusedAtOneHost(const LimitMethod& way) {
  LimitWorld world(Options(way, 6));
  world.Start();
  Play(world, kBig, 0.95 * kRate, kCost, 10, [](int) { return 2; });
  return RefusedPercent(world, kBig);
}

double RefusedForSmallAccount(const LimitMethod& way) {
  LimitWorld world(Options(way, 6));
  world.Start();
  Play(world, kSmall, 0.95 * kSmallRate, kLargeCost, 60,
       [](int n) { return n % 6; });
  return RefusedPercent(world, kSmall);
}

// Returns the seconds from the moment when all demand moves to another host
// until the last refusal.
double TimeToAdapt(const LimitMethod& way) {
  LimitWorld world(Options(way, 6));
  world.Start();
  Play(world, kBig, 0.95 * kRate, kCost, 5, [](int) { return 0; });
  double last = 0;
  for (int step = 0; step < 100; ++step) {
    world.ResetTallies();
    Play(world, kBig, 0.95 * kRate, kCost, 0.1, [](int) { return 5; });
    if (world.Tally(kBig).refused > 0) {
      last = 0.1 * (step + 1);
    }
  }
  return last;
}

// Returns the highest cost admitted in any window, as a fraction of the allowed
// cost, over partitions into two or three groups that start at various points
// while the account sends through all hosts.
double MaxCostUnderPartitions(const LimitMethod& way, uint32_t seeds) {
  double most = 0;
  for (uint32_t seed = 0; seed < seeds; ++seed) {
    LimitWorld world(Options(way, 6, seed));
    world.Start();
    Play(world, kBig, kRate * 0.2 * (1 + seed % 5), kCost, 3,
         [](int n) { return n % 6; });
    for (int one = 0; one < 6; ++one) {
      for (int other = one + 1; other < 6; ++other) {
        const bool apart =
            seed % 2 == 0 ? one / 2 != other / 2 : (one < 3) != (other < 3);
        if (apart) {
          world.Cut(one, other);
        }
      }
    }
    Play(world, kBig, 7.5 * kRate, kCost, 2 + seed % 8,
         [](int n) { return n % 6; });
    world.HealAll();
    Play(world, kBig, 7.5 * kRate, kCost, 8, [](int n) { return n % 6; });
    most = std::max(most, world.MaxCostInWindow(kBig, kWindow));
  }
  return most / (kRate * (kWindow + 1) * (1 + kOverage) + kSlack);
}

struct Traffic {
  double messages = 0;  // sent per host and second
  double bytes = 0;
};

// Measures the traffic with accounts at half of their limits, each sending
// through all hosts.
Traffic TrafficOf(const LimitMethod& way,
                  int hosts,
                  int accounts,
                  double requests) {
  LimitWorldOptions options = Options(way, hosts);
  options.limits.clear();
  const double rate = 2 * requests * static_cast<double>(kCost) / accounts;
  for (int i = 0; i < accounts; ++i) {
    options.limits[AccountId("account-" + std::to_string(i))] = Limit(rate);
  }
  LimitWorld world(options);
  world.Start();
  const int64_t messages = world.Messages();
  const int64_t entries = world.Entries();
  constexpr double kSeconds = 5;
  const int count = static_cast<int>(kSeconds * requests);
  for (int n = 0; n < count; ++n) {
    world.Offer(n * 7 % hosts,
                AccountId("account-" + std::to_string(n * 13 % accounts)),
                kCost);
    world.Run(1 / requests);
  }
  const double per = kSeconds * hosts;
  const auto sent = static_cast<double>(world.Messages() - messages);
  const auto listed = static_cast<double>(world.Entries() - entries);
  return {.messages = sent / per,
          .bytes = (sent * kMessageBytes + listed * kEntryBytes) / per};
}

void PrintMethod(const LimitMethod& way, uint32_t seeds) {
  std::printf("%-18s %8.2f %9.1f %9.1f %8.1f", way.name,
              MaxCostUnderPartitions(way, seeds), RefusedAtOneHost(way),
              RefusedForSmallAccount(way), TimeToAdapt(way));
  // The numbers of schedulers in fleets of 8, 60 and 330 hosts.
  for (const auto& [hosts, accounts, requests] :
       {std::tuple(8, 8, 90.0), std::tuple(6, 16, 206.0),
        std::tuple(57, 470, 2000.0)}) {
    const Traffic traffic = TrafficOf(way, hosts, accounts, requests);
    std::printf("  %6.0f %7.0f", traffic.messages, traffic.bytes);
    std::fflush(stdout);
  }
  std::printf("\n");
}

int Main(int argc, char** argv) {
  cxxopts::Options options("limits_bench",
                           "compares methods of enforcing limits");
  options.add_options()("seeds", "number of simulated runs with partitions",
                        cxxopts::value<uint32_t>()->default_value("40"));
  const auto given = options.parse(argc, argv);
  std::printf(
      "most: highest cost in a window of 8 s under partitions / allowed cost\n"
      "one host, small: percent refused at 0.95 of the limit, all at one "
      "host,\n"
      "  and large requests of a small account\n"
      "follow: seconds from a move of all demand to the last refusal\n"
      "then messages and bytes sent per scheduler and second, for the\n"
      "  schedulers of fleets of 8, 60 and 330 hosts (8, 6, 57)\n");
  std::printf("%-18s %8s %9s %9s %8s\n", "way", "most", "one host", "small",
              "follow");
  for (const LimitMethod& way : kLimitMethods) {
    PrintMethod(way, given["seeds"].as<uint32_t>());
  }
  return 0;
}

}  // namespace
}  // namespace hickorystand

int main(int argc, char** argv) {
  return hickorystand::Main(argc, argv);
}
