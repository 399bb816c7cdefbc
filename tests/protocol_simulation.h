// Simulation of the protocols for leases, orders, usage reports and claims: a
// few hosts run the real decision classes against in-memory models of the
// services that they call, in virtual time and with injected faults.
//
// The models record what took effect and check the invariants on the receiving
// side. Each host has its own clock, which runs at its own speed.
//
// Index
//   Step, Fault, Injection   which fault is injected at which protocol step
//   ModelStore               the key-value service
//   ModelEndpoint            an endpoint with or without fencing
//   ModelPlatform            receiver of endpoint orders and usage reports
//   ModelFilings             a plain service whose calls must not be repeated
//   WorldReport              the result of a run
//   TimedCall                an event of the simulation
//   World                    the hosts, the network and the clock
//
// Example
//   World world(MatrixOptions(),
//               {{.step = Step::kOrderSend, .fault = Fault::kPause}});
//   const WorldReport report = world.Run();
//   CHECK(report.violations.empty() && report.recovered);

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "decisions/claims.h"
#include "decisions/coordinator.h"

namespace hickorystand {

// The protocol steps at which a fault can be injected.
enum class Step {
  kLeaseGrant,
  kLeaseCreate,
  kLeaseRenew,
  kLeaseRelease,
  kRecordRead,
  kOrderIntent,
  kOrderSend,
  kOrderReply,
  kPlatformSend,
  kPlatformReply,
  kWindowClose,
  kReportSend,
  kReportReply,
  kClaimWrite,
  kClaimReply,
  kFilingSend,
  kFilingReply,
  kDrain,
};
constexpr int kSteps = static_cast<int>(Step::kDrain) + 1;

// The faults. "The host" is the one that reached the step.
enum class Fault {
  kNone,
  kKill,               // the host dies before the step and is replaced
  kKillAfter,          // the host dies after it sent the step's message
  kRestart,            // the host dies and restarts under the same id
  kPauseShort,         // the process pauses for less than the lease length
  kPause,              // the process pauses until its lease has expired
  kPauseAfterCheck,    // kPause between the lease check and the send
  kStorePartition,     // the host can't reach the store
  kPeerPartition,      // no messages between the host and its peers
  kStoreSlow,          // store calls may take effect after their timeout
  kStoreDown,          // store calls are refused
  kReplyLost,          // the step takes effect, but its reply is lost
  kConflictingOrders,  // every host proposes a conflicting order now
  kEndpointCrash,      // all endpoints restart and lose what they are running
};
constexpr int kFaults = static_cast<int>(Fault::kEndpointCrash) + 1;

std::string_view StepName(Step step);
std::string_view FaultName(Fault fault);

// A fault that is injected once, when a host next reaches the step.
struct Injection {
  Step step = Step::kOrderSend;
  Fault fault = Fault::kNone;

  bool operator==(const Injection&) const = default;
};

// The settings of a simulation. The mutation checks turn off single mechanisms
// through the switches in `coordinator` and `claims`.
struct WorldOptions {
  uint64_t seed = 1;
  CoordinatorOptions coordinator;
  ClaimOptions claims;
  double loss = 0;         // fraction of messages lost
  double delay = 0;        // fraction of messages delayed by up to 15 s
  double fault_every = 0;  // seconds between random faults; 0: none
  Duration length = std::chrono::seconds(70);
  Duration drain_at = std::chrono::seconds(30);  // planned stop
};

// Returns the settings of the fault matrix: little loss and delay, and shorter
// timeouts than in production to keep the runs short.
WorldOptions MatrixOptions();

// Returns the settings of a randomised run of six virtual minutes: those of the
// matrix, and a random fault injected at a random step every few seconds.
WorldOptions SoakOptions(uint64_t seed);

// In-memory model of the key-value service: transactions, leases and expiry.
// The caller passes the current true time.
class ModelStore {
 public:
  StoreReply Transact(Instant now, const StoreTransaction& transaction);
  int64_t Grant(Instant now, Duration length);
  Result<Duration> Renew(Instant now, int64_t lease);
  void Revoke(Instant now, int64_t lease);

  // Whether the record exists, with this fencing number, and its lease has not
  // expired.
  bool LeaseStands(Instant now, const std::string& key, int64_t fencing);

  const std::map<std::string, StoreRecord>& Records() const {
    return this->records;
  }
  int64_t Calls() const { return this->calls; }
  size_t LargestValue() const { return this->largest; }

  Instant down_until{};  // calls are refused
  Instant slow_until{};  // calls are delayed

 private:
  struct Granted {
    Duration length{};
    Instant expires{};
  };
  void Expire(Instant now);
  bool Holds(const StoreCompare& compare) const;
  void Drop(int64_t lease);

  std::map<std::string, StoreRecord> records;
  std::map<int64_t, Granted> leases;
  int64_t revision = 0;
  int64_t last_lease = 0;
  int64_t calls = 0;
  size_t largest = 0;
};

class World;

// Model of an endpoint. It remembers the ids of the orders received since it
// started, and refuses a lower fencing number if it `fences`.
class ModelEndpoint {
 public:
  ModelEndpoint(World& world, EndpointId id, bool fences)
      : world(world), id(std::move(id)), fences(fences) {}

  OrderReply Receive(Instant now, const Order& order, int64_t fencing);
  void Crash() {
    ++this->incarnation;
    this->highest = 0;
    this->known.clear();
    this->running = OrderId();
  }

  const EndpointId& Id() const { return this->id; }
  bool Fences() const { return this->fences; }
  uint64_t Incarnation() const { return this->incarnation; }
  int64_t Effects() const { return this->effects; }

 private:
  World& world;
  EndpointId id;
  bool fences;
  uint64_t incarnation = 1;
  int64_t highest = 0;
  std::set<OrderId> known;
  OrderId running;
  Instant busy_until{};
  int64_t effects = 0;
  int64_t highest_effective_fencing =
      0;  // for the check only, so kept over restarts
};

// Model of the platform. It does not check fencing numbers; tokens make repeats
// idempotent.
class ModelPlatform {
 public:
  explicit ModelPlatform(World& world) : world(world) {}

  void ReceiveOrder(Instant now,
                    Instant sent,
                    const Order& order,
                    int64_t fencing);
  void ReceiveReport(Instant now, Instant sent, const SendUsageReport& report);

  int64_t Effects() const { return std::ssize(this->tokens); }
  int64_t Windows() const { return std::ssize(this->windows); }
  int64_t Reported() const;  // requests in all windows

 private:
  // The highest fencing number received, and when it was first received.
  struct Sender {
    int64_t fencing = 0;
    Instant since{};
  };
  void CheckSingleSender(Sender& heard,
                         Instant now,
                         Instant sent,
                         int64_t fencing,
                         const std::string& what);

  World& world;
  std::set<OrderId> tokens;
  Sender last_order_sender;
  std::map<int64_t, Sender> last_report_senders;
  std::map<int64_t, AccountUsage> windows;
};

// Model of a plain service that executes every call that it receives, also
// repeated ones.
class ModelFilings {
 public:
  explicit ModelFilings(World& world) : world(world) {}
  void Receive(const std::string& key, const RequestId& request);
  void OnRefusedAsNotRun(const RequestId& request);
  int64_t Filed() const { return std::ssize(this->filed); }

 private:
  World& world;
  std::map<std::string, int64_t> filed;
  std::set<RequestId> ran;
  std::set<RequestId> refused_as_not_run;
};

class ModelHost;

// The result of a run.
struct WorldReport {
  std::vector<std::string> violations;  // of invariants, each once
  bool recovered = false;  // both kinds of orders continued after the faults
  int64_t faults_injected = 0;  // faults injected
  int64_t orders = 0;
  int64_t platform_orders = 0;
  int64_t windows = 0;
  int64_t filings = 0;
  int64_t served = 0;    // requests counted by all hosts
  int64_t reported = 0;  // requests in reported windows
  int64_t kills = 0;
  int64_t store_calls = 0;
};

// A call scheduled at a time. In a std::priority_queue the earliest call is on
// top; of several at the same time, the one added first.
struct TimedCall {
  Instant at{};
  uint64_t number = 0;
  std::function<void()> run;

  bool operator<(const TimedCall& other) const {
    return std::tie(other.at, other.number) < std::tie(this->at, this->number);
  }
};

// The simulation: hosts, models, the network between them, and true time. Runs
// are deterministic for given options and injections.
class World {
 public:
  World(WorldOptions options, std::vector<Injection> injections);
  ~World();

  // Runs the simulation to its end and returns the result.
  WorldReport Run();

  // For the hosts and models.
  Instant Now() const { return this->now; }
  void After(Duration delay, std::function<void()> event);
  void Violation(const std::string& what);
  void CheckOrderRecorded(const Order& order);
  Fault InjectFault(Step step, ModelHost& host);
  bool Chance(double probability);
  Duration Between(Duration least, Duration most);
  // Returns the network delay of a message, or nullopt if it is lost.
  std::optional<Duration> NetworkDelay();

  const WorldOptions options;
  ModelStore store;
  ModelPlatform platform;
  ModelFilings filings;
  std::vector<std::unique_ptr<ModelEndpoint>> endpoints;
  std::vector<std::unique_ptr<ModelHost>> hosts;
  WorldReport report;

 private:
  void Apply(Fault fault, ModelHost& host);
  void Every(Duration period, const std::function<void()>& event);
  void AddHost(const HostId& id, uint64_t incarnation);
  void PublishHosts();
  void ProposeConflictingOrders();
  void SendFilings();
  void File(const std::string& key, int64_t tries);
  ModelHost& AnyHost();
  ModelHost* Holder();

  std::mt19937_64 random;
  std::priority_queue<TimedCall> events;
  uint64_t last_event = 0;
  Instant now{};
  std::vector<Injection> injections;  // injected in this order
  int64_t last_host = 0;
  uint64_t last_incarnation = 0;
  int64_t last_filing = 0;
  int64_t last_request = 0;
  bool quiet = false;  // no new requests, filings or faults

  friend class ModelHost;
};

}  // namespace hickorystand
