// Compares the product's policy with baselines in virtual time.
//
//   policy_bench --out DIR             all scenarios, strategies and seeds
//   policy_bench --trace FILE          a recorded trace of requests instead
//
// Prints a table of medians and ranges, and writes DIR/policy.csv.

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "policy_fleet.h"

namespace hickorystand {
namespace {

// One run of the matrix and its results.
struct Run {
  const Scenario* scenario = nullptr;
  const Strategy* strategy = nullptr;
  uint64_t seed = 0;
  RunFigures figures;
};

// Command-line options.
struct BenchOptions {
  std::string out;
  std::string trace;
  std::string scenario;    // empty: all
  std::string strategy;    // empty: all
  bool ablations = false;  // the product and its ablations only
  int seeds = 5;
  unsigned jobs = 4;
};

struct Column {
  const char* name;
  double (*value)(const RunFigures&);
  const char* format;
};

constexpr std::array kColumns = {
    Column{"goodput", [](const RunFigures& f) { return f.goodput; }, "%.4f"},
    Column{"p99_first_token",
           [](const RunFigures& f) { return f.p99_first_token; }, "%.3f"},
    Column{"worst_account_share",
           [](const RunFigures& f) { return f.worst_account_share; }, "%.4f"},
    Column{
        "role_changes",
        [](const RunFigures& f) { return static_cast<double>(f.role_changes); },
        "%.0f"},
    Column{"endpoint_cost", [](const RunFigures& f) { return f.endpoint_cost; },
           "%.4f"},
    Column{"cheap_share", [](const RunFigures& f) { return f.cheap_share; },
           "%.4f"},
};

std::string Format(const char* format, double value) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

std::vector<const Strategy*> StrategiesFor(const BenchOptions& options) {
  std::vector<const Strategy*> strategies;
  const auto add = [&](const Strategy& strategy) {
    strategies.push_back(&strategy);
  };
  if (options.ablations) {
    add(AllStrategies().front());
    std::ranges::for_each(AllAblations(), add);
  } else {
    std::ranges::for_each(AllStrategies(), add);
  }
  std::erase_if(strategies, [&](const Strategy* strategy) {
    return !options.strategy.empty() && strategy->name != options.strategy;
  });
  return strategies;
}

std::vector<Run> MakeRuns(const BenchOptions& options) {
  std::vector<Run> runs;
  for (const Scenario& scenario : AllScenarios()) {
    if (!options.scenario.empty() && options.scenario != scenario.name) {
      continue;
    }
    for (const Strategy* strategy : StrategiesFor(options)) {
      for (int seed = 1; seed <= options.seeds; ++seed) {
        runs.push_back({&scenario, strategy, static_cast<uint64_t>(seed), {}});
      }
    }
  }
  return runs;
}

void RunAll(std::vector<Run>& runs,
            const std::vector<Arrival>& trace,
            unsigned jobs) {
  std::atomic<size_t> next = 0;
  const auto work = [&] {
    for (size_t i = next++; i < runs.size(); i = next++) {
      Run& run = runs[i];
      const std::vector<Arrival> arrivals =
          !trace.empty() ? trace
                         : MakeTraffic({.seed = run.seed,
                                        .seconds = run.scenario->seconds,
                                        .rate = run.scenario->rate});
      BenchFleet fleet(*run.strategy, *run.scenario, run.seed);
      run.figures = fleet.Run(arrivals);
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < jobs; ++i) {
    threads.emplace_back(work);
  }
}

void WriteCsv(const std::vector<Run>& runs, const std::string& directory) {
  std::filesystem::create_directories(directory);
  std::ofstream out(directory + "/policy.csv");
  out << "scenario,policy,seed";
  for (const Column& column : kColumns) {
    out << "," << column.name;
  }
  out << "\n";
  for (const Run& run : runs) {
    out << run.scenario->name << "," << run.strategy->name << "," << run.seed;
    for (const Column& column : kColumns) {
      out << "," << Format(column.format, column.value(run.figures));
    }
    out << "\n";
  }
}

// Formats the median, followed by the minimum and maximum over the seeds.
std::string Spread(std::vector<double> values) {
  std::ranges::sort(values);
  return Format("%8.3f", values[values.size() / 2]) + " (" +
         Format("%.3f", values.front()) + "-" + Format("%.3f", values.back()) +
         ")";
}

void PrintTable(const std::vector<Run>& runs, int seeds) {
  std::printf("%-14s %-18s", "scenario", "policy");
  for (const Column& column : kColumns) {
    std::printf(" %-24s", column.name);
  }
  std::printf(" refused cached lost\n");
  for (size_t i = 0; i < runs.size(); i += static_cast<size_t>(seeds)) {
    const auto begin = runs.begin() + static_cast<std::ptrdiff_t>(i);
    const std::vector<Run> group(begin, begin + seeds);
    std::printf("%-14s %-18s", std::string(group[0].scenario->name).c_str(),
                std::string(group[0].strategy->name).c_str());
    for (const Column& column : kColumns) {
      std::vector<double> values;
      std::ranges::transform(
          group, std::back_inserter(values),
          [&](const Run& run) { return column.value(run.figures); });
      std::printf(" %-24s", Spread(values).c_str());
    }
    std::printf(" %6lld %.3f %lld\n",
                static_cast<long long>(group[0].figures.refused),
                group[0].figures.cached_share,
                static_cast<long long>(group[0].figures.batch_lost));
  }
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("policy_bench",
                          "Compares the product's policy with baselines.");
  BenchOptions options;
  parser.add_options()("out", "directory for policy.csv",
                       cxxopts::value(options.out))(
      "trace", "CSV of recorded requests", cxxopts::value(options.trace))(
      "scenario", "run only this scenario", cxxopts::value(options.scenario))(
      "policy", "run only this policy", cxxopts::value(options.strategy))(
      "ablations", "run the product with one rule switched off at a time",
      cxxopts::value(options.ablations))(
      "seeds", "runs per scenario and policy", cxxopts::value(options.seeds))(
      "jobs", "concurrent runs", cxxopts::value(options.jobs))(
      "help", "print this help");
  if (parser.parse(argc, argv).count("help") > 0) {
    std::cout << parser.help();
    return 0;
  }
  std::vector<Arrival> trace;
  Scenario recorded{.name = "trace"};
  std::vector<Run> runs;
  if (options.trace.empty()) {
    runs = MakeRuns(options);
  } else {
    auto read = ReadTrace(options.trace);
    if (!read || read->empty()) {
      std::cerr << (read ? "the trace is empty" : read.error().message) << "\n";
      return 2;
    }
    trace = *std::move(read);
    recorded.seconds = trace.back().time + 60;
    for (const Strategy* strategy : StrategiesFor(options)) {
      for (int seed = 1; seed <= options.seeds; ++seed) {
        runs.push_back({&recorded, strategy, static_cast<uint64_t>(seed), {}});
      }
    }
  }
  RunAll(runs, trace, options.jobs);
  if (!options.out.empty()) {
    WriteCsv(runs, options.out);
  }
  PrintTable(runs, options.seeds);
  return 0;
}

}  // namespace
}  // namespace hickorystand

int main(int argc, char** argv) {
  return hickorystand::Main(argc, argv);
}
