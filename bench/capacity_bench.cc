// Measures the control-plane cost of one host with the production code, and
// extrapolates it to the target size of the fleet.
//
//   capacity_bench [--seconds 5] [--windows 4] [--out build/bench]
//
// Each row of the first table is one rig: one real host connected over loopback
// to simulated peers (stand-ins). Wire bytes count both directions: the TCP
// payload plus 104 bytes per frame for the headers of its packet and of the
// acknowledgement. CPU time is that of the host's control thread only, which
// excludes the stand-ins.

#include <sys/resource.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "capacity_rig.h"
#include "decisions/configuration_codec.h"
#include "kernel/log.h"
#include "kernel/registry.h"
#include "kernel/time.h"

namespace hickorystand {
namespace {

// The target size of the fleet, and the resource budget of one host.
constexpr int kTargetHosts = 330;
constexpr int kTargetDataCentres = 19;
constexpr int kTargetEndpoints = 1600;
constexpr int kTargetAccounts = 470;
constexpr int kTargetServices = 16;
constexpr double kTargetRequests = 2000;
constexpr double kChangesPerDay = 1900;
constexpr double kSecondsPerDay = 86400;
constexpr double kBudgetBytes = 7000;
constexpr double kBudgetCpu = 0.046;
constexpr double kBudgetMemory = 128e6;

struct Scenario {
  std::string name;
  FleetShape shape;
  double settle = 11;        // warm-up in seconds, not reported
  double window_factor = 1;  // factor on the window length
};

// The summaries of a representative start at zero and list each account once to
// each receiver, so warm-up takes longer. It sends in bursts 10 s apart, so its
// windows are twice as long.
constexpr double kSummarySettleSeconds = 55;
constexpr double kSummaryWindowFactor = 2;

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> all;
  for (const int hosts : {8, 17, 33, 129}) {
    all.push_back({"hosts=" + std::to_string(hosts), {.hosts = hosts}});
  }
  for (const int endpoints : {21, 340}) {
    all.push_back(
        {"endpoints=" + std::to_string(endpoints), {.endpoints = endpoints}});
  }
  for (const int accounts : {8, 1880}) {
    all.push_back(
        {"accounts=" + std::to_string(accounts), {.accounts = accounts}});
  }
  for (const int services : {64}) {
    all.push_back(
        {"models=" + std::to_string(services), {.services = services}});
  }
  for (const double requests : {0.0, 24.0}) {
    all.push_back({"requests/s=" + std::to_string(static_cast<int>(requests)),
                   {.requests = requests}});
  }
  all.push_back({"second representative",
                 {.distant = kTargetDataCentres - 1, .second = true},
                 kSummarySettleSeconds,
                 kSummaryWindowFactor});
  all.push_back({"first representative",
                 {.distant = kTargetDataCentres - 1, .first = true},
                 kSummarySettleSeconds,
                 kSummaryWindowFactor});
  return all;
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  int64_t size = 0;
  int64_t resident = 0;
  file >> size >> resident;
  return static_cast<double>(resident) * 4096;
}

void PrintRow(const Scenario& scenario, const Measured& measured) {
  const Sample& sample = measured.median;
  std::printf("%-24s %8.0f %8.0f %8.1f %8.2f %6.2f [%4.2f,%5.2f] %9.0f\n",
              scenario.name.c_str(), sample.Wire(),
              sample.sent + sample.received,
              sample.frames_sent + sample.frames_received, sample.period,
              sample.cpu * 100, measured.cpu_low * 100, measured.cpu_high * 100,
              sample.heap / 1000);
  std::fflush(stdout);
}

bool RunRigs(int windows,
             double seconds,
             const std::string& only,
             std::ofstream& csv) {
  std::printf("%-24s %8s %8s %8s %8s %6s %12s %9s\n", "one host beside",
              "wire B/s", "TCP B/s", "frames/s", "period s", "CPU %",
              "CPU spread", "heap KB");
  csv << "scenario,wire_bytes,tcp_bytes,frames,digests,period,cpu,heap\n";
  for (const auto& scenario : Scenarios()) {
    if (scenario.name.find(only) == std::string::npos) {
      continue;
    }
    Rig rig(scenario.shape);
    if (!rig.Settle()) {
      std::printf("%-24s links not established within 30 s\n",
                  scenario.name.c_str());
      return false;
    }
    rig.Measure(1, scenario.settle);  // skip the initial full-state transfer
    const Measured measured =
        Medians(rig.Measure(windows, seconds * scenario.window_factor));
    PrintRow(scenario, measured);
    const Sample& sample = measured.median;
    csv << scenario.name << ',' << sample.Wire() << ','
        << sample.sent + sample.received << ','
        << sample.frames_sent + sample.frames_received << ',' << sample.digests
        << ',' << sample.period << ',' << sample.cpu << ',' << sample.heap
        << '\n';
  }
  return true;
}

// Cost of a configuration change, which sends one bucket to each host.
void RunConfiguration() {
  const auto fleet =
      MakeFleet(kTargetEndpoints, kTargetAccounts, kTargetServices);
  const int64_t heap = ThreadHeapBytes();
  const double start = ThreadCpuSeconds();
  const auto transaction = MakeApplyTransaction(
      StoredConfiguration{}, *fleet, {.name = "bench", .token = "bench"});
  const double write = ThreadCpuSeconds() - start;
  if (!transaction) {
    std::printf("configuration: %s\n", transaction.error().message.c_str());
    return;
  }
  double total = 0;
  for (const auto& operation : transaction->then) {
    total += static_cast<double>(operation.value.size());
  }
  const double bucket = total / kBucketCount;
  const auto copy = std::make_shared<Configuration>(*fleet);
  const double held = static_cast<double>(ThreadHeapBytes() - heap) / 2;
  std::printf(
      "\nconfiguration of %d endpoints, %d accounts, %d models: %.0f KB in 64 "
      "buckets of %.1f KB; written in %.1f ms; held in about %.1f MB (%zu)\n",
      kTargetEndpoints, kTargetAccounts, kTargetServices, total / 1000,
      bucket / 1000, write * 1000, held / 1e6, copy->endpoints.size());
  std::printf("  %.0f changes a day: %.0f B/s received by each host\n",
              kChangesPerDay, bucket * kChangesPerDay / kSecondsPerDay);
}

// Measures dispatch decisions, load reports and cache events per second on one
// core, without peer links.
class DispatcherBench {
 public:
  explicit DispatcherBench(int endpoints) : endpoints(endpoints) {
    const auto* factory = Registry<Dispatcher>::Find("hickorystand");
    this->dispatcher =
        (*factory)({.host = HostId("h"), .data_centre = DataCentreId("dc00")});
    this->dispatcher->OnConfiguration(
        this->now, MakeFleet(endpoints, kTargetAccounts, kTargetServices));
    this->Loads();
  }

  // Returns the CPU seconds per load report.
  double Loads() {
    const double start = ThreadCpuSeconds();
    ++this->sequence;
    for (int i = 0; i < this->endpoints; ++i) {
      this->dispatcher->OnLoad(this->now, {.endpoint = Endpoint(i),
                                           .incarnation = 1,
                                           .sequence = this->sequence,
                                           .capacity = 64,
                                           .prefill_rate = 8000,
                                           .decode_rate = 2000,
                                           .cache_pieces = 100000});
    }
    return (ThreadCpuSeconds() - start) / this->endpoints;
  }

  // Returns the CPU seconds per cache event, which adds one prefix piece and
  // removes another.
  double CacheEvents(int count) {
    const double start = ThreadCpuSeconds();
    for (int i = 0; i < count; ++i) {
      const auto hash = static_cast<uint64_t>(i) * 0x9e3779b97f4a7c15ULL;
      this->dispatcher->OnCache(this->now, {.endpoint = Endpoint(i % endpoints),
                                            .incarnation = 1,
                                            .sequence = i / endpoints + 1,
                                            .added = {hash},
                                            .removed = {hash - 1}});
    }
    return (ThreadCpuSeconds() - start) / count;
  }

  // Returns the CPU seconds per request, from arrival to completion, including
  // the dispatch decision.
  double Requests(int count) {
    const double start = ThreadCpuSeconds();
    for (int i = 0; i < count; ++i) {
      this->now += std::chrono::milliseconds(1);
      this->One(i);
    }
    return (ThreadCpuSeconds() - start) / count;
  }

  int Sent() const { return this->sent; }

 private:
  static EndpointId Endpoint(int number) {
    const std::string digits = std::to_string(number);
    return EndpointId("endpoint-" + std::string(4 - digits.size(), '0') +
                      digits);
  }

  void One(int number) {
    Request request;
    request.id = RequestId("r" + std::to_string(number));
    request.account =
        AccountId("account-0" + std::to_string(100 + number % 300));
    request.service = ServiceId("model-000" + std::to_string(number % 10));
    request.prompt_tokens = 3000;
    request.output_tokens = 300;
    for (int i = 0; i < 8; ++i) {
      request.prefix_hashes.push_back(static_cast<uint64_t>(number * 8 + i));
    }
    request.fingerprint = static_cast<uint64_t>(number);
    request.arrived = this->now;
    request.deadline = this->now + std::chrono::seconds(30);
    for (const auto& action : this->dispatcher->OnArrival(this->now, request)) {
      if (action.kind != DispatchKind::kSend) {
        continue;
      }
      ++this->sent;
      this->dispatcher->OnProgress(this->now, action.attempt, 1);
      this->dispatcher->OnResult(this->now,
                                 {.attempt = action.attempt,
                                  .outcome = AttemptOutcome::kComplete,
                                  .prompt_tokens = 3000,
                                  .generated_tokens = 300});
    }
  }

  int endpoints;
  std::unique_ptr<Dispatcher> dispatcher;
  Instant now{std::chrono::seconds(1000)};
  int64_t sequence = 0;
  int sent = 0;
};

void RunDispatcher() {
  std::printf("\n%-24s %14s %14s %14s %10s\n", "dispatcher with endpoints",
              "decisions/s", "reports/s", "pieces/s", "heap KB");
  for (const int endpoints : {21, 85, 340, kTargetEndpoints}) {
    const int64_t heap = ThreadHeapBytes();
    DispatcherBench bench(endpoints);
    constexpr int kRequests = 4000;
    const double request = bench.Requests(kRequests);
    const double report = bench.Loads();
    const double piece = bench.CacheEvents(50000);
    std::printf("%-24d %14.0f %14.0f %14.0f %10.0f%s\n", endpoints, 1 / request,
                1 / report, 1 / piece,
                static_cast<double>(ThreadHeapBytes() - heap) / 1000,
                bench.Sent() == kRequests ? "" : "  (not all were sent)");
  }
}

int Run(int argc, char** argv) {
  cxxopts::Options options("capacity_bench",
                           "Measures the control-plane cost of one host.");
  options.add_options()("seconds", "length of one window",
                        cxxopts::value<double>()->default_value("5"))(
      "windows", "windows measured per row; the median is reported",
      cxxopts::value<int>()->default_value("4"))(
      "only", "run only the rigs whose name contains this text",
      cxxopts::value<std::string>()->default_value(""))(
      "out", "output directory of capacity.csv",
      cxxopts::value<std::string>()->default_value("build/bench"))(
      "help", "print this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  StartLog({.level = LogLevel::kError});
  const auto out = std::filesystem::path(parsed["out"].as<std::string>());
  std::filesystem::create_directories(out);
  std::ofstream csv(out / "capacity.csv");
  std::printf(
      "budget: %.0f B/s, %.1f%% of a core, %.0f MB; target: %d hosts, "
      "%.1f requests/s each\n\n",
      kBudgetBytes, kBudgetCpu * 100, kBudgetMemory / 1e6, kTargetHosts,
      kTargetRequests / kTargetHosts);
  const bool settled =
      RunRigs(parsed["windows"].as<int>(), parsed["seconds"].as<double>(),
              parsed["only"].as<std::string>(), csv);
  RunConfiguration();
  RunDispatcher();
  std::printf(
      "\nthis process with all stand-ins: %.1f MB resident at the end\n",
      ResidentBytes() / 1e6);
  return settled ? 0 : 1;
}

}  // namespace
}  // namespace hickorystand

int main(int argc, char** argv) {
  return hickorystand::Run(argc, argv);
}
