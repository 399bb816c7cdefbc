// The fault matrix: injects every fault at every step of the protocols for
// leases, orders, usage and claims; singly, in pairs, and with safety
// mechanisms switched off (mutations).
//
//   matrix               all single cells and pairs, then the mutations
//   matrix --singles     only the single cells
//   matrix --cell N      the single cell number N, with its violations
//
// A cell is red when an invariant was violated, or when orders to endpoints or
// to the platform did not continue after the fault had ended.

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "kernel/log.h"
#include "protocol_simulation.h"

namespace hickorystand {
namespace {

using Cell = std::vector<Injection>;

constexpr unsigned kThreads = 4;

// A safety mechanism and how to switch it off.
struct Mutation {
  std::string_view name;
  void (*apply)(WorldOptions&);
};

constexpr std::array kMutations = {
    Mutation{"lease checked before each send",
             [](WorldOptions& o) { o.coordinator.lease.check_clock = false; }},
    Mutation{"lease ends a margin earlier",
             [](WorldOptions& o) { o.coordinator.lease.margin = {}; }},
    Mutation{"intent written first",
             [](WorldOptions& o) { o.coordinator.write_intent_first = false; }},
    Mutation{"successor heeds earlier intents",
             [](WorldOptions& o) { o.coordinator.successor_waits = false; }},
    Mutation{"takeover recorded before a repeat",
             [](WorldOptions& o) { o.coordinator.record_takeover = false; }},
    Mutation{
        "window written once",
        [](WorldOptions& o) { o.coordinator.window_written_once = false; }},
    Mutation{"claim before send",
             [](WorldOptions& o) { o.claims.claim_before_send = false; }},
};

std::string CellName(const Cell& cell) {
  std::string name;
  for (const Injection& each : cell) {
    name += (name.empty() ? "" : ", then ") +
            std::string(FaultName(each.fault)) + " at " +
            std::string(StepName(each.step));
  }
  return name;
}

std::vector<Cell> SingleCells() {
  std::vector<Cell> cells;
  for (int step = 0; step < kSteps; ++step) {
    for (int fault = 1; fault < kFaults; ++fault) {
      cells.push_back({{.step = static_cast<Step>(step),
                        .fault = static_cast<Fault>(fault)}});
    }
  }
  return cells;
}

// Returns every ordered pair of single cells. The second fault is injected when
// its step is next reached after the first fault.
std::vector<Cell> PairCells() {
  const std::vector<Cell> singles = SingleCells();
  std::vector<Cell> cells;
  for (const Cell& first : singles) {
    for (const Cell& second : singles) {
      cells.push_back({first.front(), second.front()});
    }
  }
  return cells;
}

// Returns the cells that each mutation runs: the single cells, and the pairs in
// which two successive holders are interrupted while they send to the platform.
std::vector<Cell> MutationCells() {
  std::vector<Cell> cells = SingleCells();
  for (int fault = 1; fault < kFaults; ++fault) {
    for (const Step second : {Step::kPlatformSend, Step::kReportSend}) {
      cells.push_back(
          {{.step = Step::kPlatformSend, .fault = static_cast<Fault>(fault)},
           {.step = second, .fault = Fault::kPauseAfterCheck}});
    }
  }
  return cells;
}

// The results of a set of cells.
struct Tally {
  int64_t run = 0;
  int64_t passed = 0;
  int64_t red = 0;
  int64_t stuck = 0;  // red without a violation: no recovery
  int64_t not_reached =
      0;  // a fault was not injected: its step was not reached
  std::string first_violation;
};

bool HasFailed(const WorldReport& report) {
  return !report.violations.empty() || !report.recovered;
}

std::string Describe(const Cell& cell, const WorldReport& report) {
  std::string text = CellName(cell);
  for (const std::string& violation : report.violations) {
    text += "\n    " + violation;
  }
  if (!report.recovered) {
    text += "\n    no orders after the faults had ended";
  }
  return text;
}

Tally RunCells(const std::vector<Cell>& cells,
               const WorldOptions& options,
               bool print) {
  Tally tally;
  std::mutex mutex;
  std::atomic<size_t> next = 0;
  const auto work = [&] {
    for (size_t i = next++; i < cells.size(); i = next++) {
      World world(options, cells[i]);
      const WorldReport report = world.Run();
      const std::scoped_lock lock(mutex);
      ++tally.run;
      ++(HasFailed(report) ? tally.red : tally.passed);
      tally.stuck += HasFailed(report) && report.violations.empty() ? 1 : 0;
      tally.not_reached +=
          report.faults_injected < std::ssize(cells[i]) ? 1 : 0;
      if (!report.violations.empty() && tally.first_violation.empty()) {
        tally.first_violation =
            report.violations.front() + " (" + CellName(cells[i]) + ")";
      }
      if (print && HasFailed(report)) {
        std::printf("RED %zu: %s\n", i, Describe(cells[i], report).c_str());
      }
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
  threads.clear();
  return tally;
}

void Print(std::string_view name, const Tally& tally) {
  std::printf(
      "%-8s cells run %6ld  passed %6ld  red %4ld (of these without a "
      "violation %ld)  a fault not reached in %ld\n",
      std::string(name).c_str(), static_cast<long>(tally.run),
      static_cast<long>(tally.passed), static_cast<long>(tally.red),
      static_cast<long>(tally.stuck), static_cast<long>(tally.not_reached));
}

// Returns whether switching off each mechanism violates an invariant; otherwise
// the matrix would not notice that the mechanism is missing.
bool RunMutations() {
  const std::vector<Cell> cells = MutationCells();
  bool all_found = true;
  std::printf("%-34s %-10s %s\n", "mechanism switched off", "found by",
              "for example");
  for (const Mutation& mutation : kMutations) {
    WorldOptions options = MatrixOptions();
    mutation.apply(options);
    const Tally tally = RunCells(cells, options, false);
    const int64_t found = tally.red - tally.stuck;
    all_found = all_found && found > 0;
    std::printf("%-34s %3ld cells  %s\n", std::string(mutation.name).c_str(),
                static_cast<long>(found),
                found > 0 ? tally.first_violation.c_str() : "NOT FOUND");
  }
  return all_found;
}

int RunOne(size_t number) {
  const std::vector<Cell> cells = SingleCells();
  if (number >= cells.size()) {
    return 2;
  }
  World world(MatrixOptions(), cells[number]);
  const WorldReport report = world.Run();
  std::printf(
      "%s\n  orders %ld platform %ld windows %ld filings %ld served "
      "%ld reported %ld store calls %ld\n",
      Describe(cells[number], report).c_str(), static_cast<long>(report.orders),
      static_cast<long>(report.platform_orders),
      static_cast<long>(report.windows), static_cast<long>(report.filings),
      static_cast<long>(report.served), static_cast<long>(report.reported),
      static_cast<long>(report.store_calls));
  return HasFailed(report) ? 1 : 0;
}

int RunMatrix(bool pairs) {
  const Tally singles = RunCells(SingleCells(), MatrixOptions(), true);
  Print("singles", singles);
  Tally both;
  if (pairs) {
    both = RunCells(PairCells(), MatrixOptions(), true);
    Print("pairs", both);
  }
  const bool found = RunMutations();
  return singles.red == 0 && both.red == 0 && found ? 0 : 1;
}

}  // namespace
}  // namespace hickorystand

int main(int argc, char** argv) {
  hickorystand::StartLog({.level = hickorystand::LogLevel::kError});
  const std::string_view mode = argc > 1 ? argv[1] : "";
  if (mode == "--cell" && argc > 2) {
    return hickorystand::RunOne(std::strtoul(argv[2], nullptr, 10));
  }
  return hickorystand::RunMatrix(mode != "--singles");
}
