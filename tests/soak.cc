// Long randomised runs of the protocol simulation. Invariants are asserted
// inside the program and checked by the models.
//
//   soak --hours H --seed S     runs H virtual hours in runs of a tenth of an
//                               hour, with seeds from S on; prints a summary
//
// Every few seconds a random fault is injected at a random step; messages are
// also lost or delayed by seconds. Seeds that reveal a fault are added as
// tests.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include <cxxopts.hpp>

#include "kernel/log.h"
#include "protocol_simulation.h"

namespace hickorystand {
namespace {

constexpr double kRunHours = 0.1;  // length of a run in SoakOptions()

// The sums over all runs.
struct SoakTally {
  int64_t runs = 0;
  int64_t faults = 0;
  int64_t kills = 0;
  int64_t orders = 0;
  int64_t platform_orders = 0;
  int64_t windows = 0;
  int64_t filings = 0;
  int64_t served = 0;
  int64_t reported = 0;
  int64_t stuck = 0;
  std::map<std::string, std::string> violations;  // with the first seed

  void Add(uint64_t seed, const WorldReport& report);
  void Print() const;
};

void SoakTally::Add(uint64_t seed, const WorldReport& report) {
  ++this->runs;
  this->faults += report.faults_injected;
  this->kills += report.kills;
  this->orders += report.orders;
  this->platform_orders += report.platform_orders;
  this->windows += report.windows;
  this->filings += report.filings;
  this->served += report.served;
  this->reported += report.reported;
  if (!report.recovered) {
    ++this->stuck;
    std::printf("seed %lu: no orders after the faults had ended\n",
                static_cast<unsigned long>(seed));
  }
  for (const std::string& violation : report.violations) {
    this->violations.emplace(violation, std::to_string(seed));
  }
}

void SoakTally::Print() const {
  std::printf("virtual hours %.1f  runs %ld  faults %ld  hosts killed %ld\n",
              kRunHours * static_cast<double>(this->runs),
              static_cast<long>(this->runs), static_cast<long>(this->faults),
              static_cast<long>(this->kills));
  std::printf("orders carried out %ld  platform orders %ld  filings %ld\n",
              static_cast<long>(this->orders),
              static_cast<long>(this->platform_orders),
              static_cast<long>(this->filings));
  std::printf(
      "usage windows %ld  requests served %ld  reported %ld  lost %ld "
      "(%.1f for each host killed)\n",
      static_cast<long>(this->windows), static_cast<long>(this->served),
      static_cast<long>(this->reported),
      static_cast<long>(this->served - this->reported),
      static_cast<double>(this->served - this->reported) /
          static_cast<double>(std::max<int64_t>(1, this->kills)));
  std::printf("runs that didn't recover %ld  violations %zu\n",
              static_cast<long>(this->stuck), this->violations.size());
  for (const auto& [violation, seed] : this->violations) {
    std::printf("  %s (seed %s)\n", violation.c_str(), seed.c_str());
  }
}

int Soak(double hours, uint64_t first_seed) {
  SoakTally tally;
  const auto runs = static_cast<uint64_t>(std::max(1.0, hours / kRunHours));
  for (uint64_t seed = first_seed; seed < first_seed + runs; ++seed) {
    World world(SoakOptions(seed), {});
    tally.Add(seed, world.Run());
  }
  tally.Print();
  return tally.violations.empty() && tally.stuck == 0 ? 0 : 1;
}

}  // namespace
}  // namespace hickorystand

int main(int argc, char** argv) {
  cxxopts::Options options("soak",
                           "Long randomised runs of the protocol simulation");
  options.add_options()("hours", "virtual hours to run",
                        cxxopts::value<double>()->default_value("10"))(
      "seed", "first seed", cxxopts::value<uint64_t>()->default_value("1"))(
      "help", "print this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::printf("%s\n", options.help().c_str());
    return 0;
  }
  hickorystand::StartLog({.level = hickorystand::LogLevel::kError});
  return hickorystand::Soak(arguments["hours"].as<double>(),
                            arguments["seed"].as<uint64_t>());
}
