// Simulates one strategy in one scenario: hosts, engines, delayed messages
// between them, and the results that callers receive.
//
// Index
//   RunFigures   metrics of one run
//   BenchFleet   the simulated fleet

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy_baselines.h"
#include "policy_engine.h"
#include "policy_scenarios.h"
#include "policy_workload.h"

namespace hickorystand {

// Metrics of one run; see docs/POLICY.md.
struct RunFigures {
  double goodput = 0;          // complete answers within deadline, per second
  double p99_first_token = 0;  // seconds, of interactive answers
  double worst_account_share = 0;  // lowest served / fair share; 1 is fair
  int64_t role_changes = 0;
  double endpoint_cost = 0;
  double cheap_share = 0;   // fraction of generated tokens
  double cached_share = 0;  // fraction of prompt tokens of complete answers
  int64_t requests = 0;
  int64_t good = 0;
  int64_t refused = 0;
  int64_t once_run_twice = 0;  // must be 0
  int64_t batch_lost = 0;      // batch requests neither answered nor queued

  bool operator==(const RunFigures&) const = default;
};

// Runs one scenario in virtual time, driven by a queue of timed events.
class BenchFleet {
 public:
  BenchFleet(const Strategy& strategy, const Scenario& scenario, uint64_t seed);
  ~BenchFleet();
  BenchFleet(const BenchFleet&) = delete;
  BenchFleet& operator=(const BenchFleet&) = delete;

  RunFigures Run(const std::vector<Arrival>& arrivals);

 private:
  struct Host {
    HostId id;
    DataCentreId data_centre;
    std::unique_ptr<Dispatcher> dispatcher;
    uint64_t digests = 0;
  };
  struct Caller {
    Arrival arrival;
    size_t host = 0;
    double first_token = -1;
    double done = -1;
    bool ended = false;
    int64_t runs = 0;
  };
  struct Event {
    double time;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(this->time, this->order) >
             std::tie(other.time, other.order);
    }
  };
  struct Node {
    BenchEngine engine;
    EndpointRole next_role = EndpointRole::kMixed;
    bool changing = false;  // draining for a role change or replacement
    double away = 0;        // downtime in seconds after the drain
    bool released_to_platform = false;
    bool reclaimed = false;
  };

  void Build(uint64_t seed);
  void At(double time, std::function<void()> run);
  void Every(double period, const std::function<void()>& run);
  Instant Now() const;
  bool Reachable(const DataCentreId& a, const DataCentreId& b) const;

  void Arrive(const Arrival& arrival);
  void Act(size_t host, const DispatchList& actions);
  void Send(size_t host, const Dispatch& action);
  void Answer(size_t host,
              AttemptId attempt,
              AttemptOutcome outcome,
              double delay);
  void StepEngines();
  void Deliver(Node& node, const EngineEvent& event);
  void CrashEngine(Node& node);
  void Restart(Node& node);

  void SendReports();
  void SendReport(Node& node);
  void SendDigests();
  void PlanRoles();
  void PlanCapacity();
  void FinishDrains();
  void ReplaceNext();
  void CutStreams();
  std::vector<EndpointState> States() const;
  RunFigures Sum() const;
  double WorstShare() const;

  const Strategy& strategy;
  const Scenario& scenario;
  std::mt19937_64 random;
  double now = 0;
  uint64_t next_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  ConfigurationPtr configuration;
  std::vector<Host> hosts;
  std::map<EndpointId, Node> nodes;
  std::map<RequestId, Caller> callers;
  Planner planner;
  int64_t role_changes = 0;
  double cost = 0;
  double cheap_tokens = 0;
  double all_tokens = 0;
  double prompt_tokens = 0;
  double cached_tokens = 0;
  int64_t reports = 0;
  size_t next_replaced = 0;
};

}  // namespace hickorystand
