// Short runs of the policy bench: the whole policy against simulated engines in
// virtual time. Checks the invariants that hold in any run, not the figures.

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "policy_fleet.h"

namespace hickorystand {
namespace {

constexpr double kSeconds = 90;

TrafficRate Overload(double) {
  return {.requests_per_second = 60, .prompt_share = 0.5};
}

RunFigures RunShort(const Strategy& strategy, const Scenario& scenario) {
  const std::vector<Arrival> arrivals =
      MakeTraffic({.seed = 5, .seconds = kSeconds, .rate = scenario.rate});
  BenchFleet fleet(strategy, scenario, 5);
  return fleet.Run(arrivals);
}

}  // namespace

TEST_GROUP(PolicyBench){};

// Runs each strategy with a lost zone, a network partition and lagging load
// reports at the same time; a filing must never run twice.
TEST(PolicyBench, FilingsRunOnceInEveryStrategy) {
  Scenario scenario = AllScenarios().front();
  scenario.seconds = kSeconds;
  scenario.report_lag = 5;
  scenario.zone_lost = {20, 50};
  scenario.partitioned = {30, 60};
  for (const Strategy& strategy : AllStrategies()) {
    const RunFigures figures = RunShort(strategy, scenario);
    LONGS_EQUAL(0, figures.once_run_twice);
    CHECK(figures.good > 0);
  }
}

// Offers two to three times the fleet's capacity. Goodput must stay at its peak
// level: without refusals and deadlines the fleet would work on requests whose
// callers have already given up waiting.
TEST(PolicyBench, OverloadKeepsGoodputAndBatchWork) {
  Scenario scenario = AllScenarios().front();
  scenario.seconds = kSeconds;
  const auto busy =
      std::ranges::find(AllScenarios(), "lagging", &Scenario::name);
  Scenario peak = scenario;
  peak.rate = busy->rate;
  scenario.rate = &Overload;
  const Strategy& product = AllStrategies().front();
  const RunFigures at_peak = RunShort(product, peak);
  const RunFigures overloaded = RunShort(product, scenario);
  CHECK(overloaded.goodput >= at_peak.goodput);
  LONGS_EQUAL(0, overloaded.batch_lost);
}

TEST(PolicyBench, SameSeedSameFigures) {
  Scenario scenario = AllScenarios().front();
  scenario.seconds = 30;
  const Strategy& product = AllStrategies().front();
  CHECK(RunShort(product, scenario) == RunShort(product, scenario));
}

TEST(PolicyBench, TraceIsReadAndFaultsAreNamed) {
  const std::string path =
      std::filesystem::temp_directory_path() /
      ("policy_bench_test_" + std::to_string(getpid()) + ".csv");
  std::ofstream(path) << "time,account,service,class,prompt_tokens,"
                         "shared_prefix,output_tokens,deadline\n"
                         "2.5,a1,language,interactive,1000,500,50,5\n"
                         "1.0,a2,plain,once,100,0,1,10\n";
  const auto trace = ReadTrace(path);
  CHECK(trace.has_value());
  LONGS_EQUAL(2, trace->size());
  CHECK(trace->front().request.request_class == RequestClass::kAtMostOnce);
  std::ofstream(path) << "heading\n1,a1,language,urgent,1,0,1,5\n";
  const auto bad = ReadTrace(path);
  std::remove(path.c_str());
  CHECK(!bad && bad.error().message.find(":2: class") != std::string::npos);
}

}  // namespace hickorystand
