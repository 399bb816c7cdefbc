// A small test driver for the promises about authority, orders, usage and
// claims: a few hosts that run the real decision classes, and in-memory models
// of what they talk to, in virtual time.
//
// The models log what had effect and check the promises there, on the
// receiving side. Hosts have clocks of their own that run at different speeds.
//
// Index
//   Step, Fault, Injection   what goes wrong, and where
//   ModelStore               the key-value service
//   ModelEndpoint            an endpoint with or without fencing
//   ModelPlatform            endpoint orders and usage reports
//   ModelFilings             a plain service whose calls may not be repeated
//   TimedCall                what happens at a time
//   World                    the hosts, the network and the clock

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

// Where in a protocol a fault strikes.
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

// What strikes.
enum class Fault {
  kNone,
  kKill,           // the host dies before the step and is replaced
  kKillAfter,      // it dies when the step's message has left
  kRestart,        // it dies; the same host id comes back
  kPauseShort,     // it stands still for less than a lease
  kPause,          // it stands still until its lease has lapsed
  kPauseInside,    // the same between the check and the hand-over of bytes
  kCutStore,       // it can't reach the store
  kCutPeers,       // it hears no host and no host hears it
  kStoreSlow,      // calls take effect after they were given up
  kStoreDown,      // calls are refused
  kReplyLost,      // the step takes effect, its reply never comes
  kOperatorRace,   // every host is asked for a conflicting order now
  kEndpointCrash,  // all endpoints restart, in the middle of what they do
};
constexpr int kFaults = static_cast<int>(Fault::kEndpointCrash) + 1;

std::string_view StepName(Step step);
std::string_view FaultName(Fault fault);

// A fault that strikes when a host comes to a step for the first time.
struct Injection {
  Step step = Step::kOrderSend;
  Fault fault = Fault::kNone;

  bool operator==(const Injection&) const = default;
};

// How a world is set. The switches of the two options are for mutation checks.
struct WorldOptions {
  uint64_t seed = 1;
  CoordinatorOptions coordinator;
  ClaimOptions claims;
  double loss = 0;         // share of messages lost
  double delay = 0;        // share of messages delayed by seconds
  double fault_every = 0;  // seconds between random faults; 0: none
  Duration length = std::chrono::seconds(70);
  Duration drain_at = std::chrono::seconds(30);  // a planned stop
};

// The settings of the matrix: a little loss and delay, and shorter waits than
// in service, which keep runs short.
WorldOptions MatrixOptions();

// The settings of a randomised run of six virtual minutes: the same, and a
// random fault armed at a random step every few seconds.
WorldOptions SoakOptions(uint64_t seed);

// The key-value service.
class ModelStore {
 public:
  StoreReply Transact(Instant now, const StoreTransaction& transaction);
  int64_t Grant(Instant now, Duration length);
  Result<Duration> Renew(Instant now, int64_t lease);
  void Revoke(Instant now, int64_t lease);

  // Whether the record with this fencing number stands.
  bool LeaseStands(Instant now, const std::string& key, int64_t fencing);

  const std::map<std::string, StoreRecord>& Records() const {
    return this->records;
  }
  int64_t Calls() const { return this->calls; }
  size_t LargestValue() const { return this->largest; }

  Instant down_until{};  // calls are refused
  Instant slow_until{};  // calls take effect late

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

// An endpoint: it knows the ids of its orders since it started, and refuses
// an older fencing number if it fences.
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
  int64_t highest_effect = 0;  // of the checker, so kept over restarts
};

// The platform. It checks no fencing number; tokens make repeats idempotent.
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
  // The highest fencing number heard from, and when it was heard first.
  struct Heard {
    int64_t fencing = 0;
    Instant since{};
  };
  void CheckSender(Heard& heard,
                   Instant now,
                   Instant sent,
                   int64_t fencing,
                   const std::string& what);

  World& world;
  std::set<OrderId> tokens;
  Heard orders_heard;
  std::map<int64_t, Heard> reports_heard;
  std::map<int64_t, AccountUsage> windows;
};

// A service that files what it is sent, however often.
class ModelFilings {
 public:
  explicit ModelFilings(World& world) : world(world) {}
  void Receive(const std::string& key, const RequestId& request);
  void ToldNotRun(const RequestId& request);
  int64_t Filed() const { return std::ssize(this->filed); }

 private:
  World& world;
  std::map<std::string, int64_t> filed;
  std::set<RequestId> ran;
  std::set<RequestId> told_not_run;
};

class ModelHost;

// What a run came to.
struct WorldReport {
  std::vector<std::string> violations;  // of promises
  bool recovered = false;  // orders and reports went on after the last fault
  int64_t struck = 0;      // faults that came about
  int64_t orders = 0;
  int64_t platform_orders = 0;
  int64_t windows = 0;
  int64_t filings = 0;
  int64_t served = 0;    // requests counted by all hosts
  int64_t reported = 0;  // requests in reported windows
  int64_t kills = 0;
  int64_t store_calls = 0;
};

// A call that is due at a time; in a std::priority_queue the earliest, and of
// the same time the first one added, is on top.
struct TimedCall {
  Instant at{};
  uint64_t number = 0;
  std::function<void()> run;

  bool operator<(const TimedCall& other) const {
    return std::tie(other.at, other.number) < std::tie(this->at, this->number);
  }
};

// The hosts, the network between them and the models, and true time.
class World {
 public:
  World(WorldOptions options, std::vector<Injection> injections);
  ~World();

  // Runs to the end and tells what came of it.
  WorldReport Run();

  // For the parts.
  Instant Now() const { return this->now; }
  void After(Duration delay, std::function<void()> event);
  void Violation(const std::string& what);
  void CheckStands(const Order& order);
  Fault Strike(Step step, ModelHost& host);
  bool Chance(double probability);
  Duration Between(Duration least, Duration most);
  // How long a message travels; empty if it is lost.
  std::optional<Duration> Travel();

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
  void Race();
  void SendFilings();
  void File(const std::string& key, int64_t tries);
  ModelHost& AnyHost();
  ModelHost* Holder();

  std::mt19937_64 random;
  std::priority_queue<TimedCall> events;
  uint64_t last_event = 0;
  Instant now{};
  std::vector<Injection> injections;  // the first one strikes next
  int64_t last_host = 0;
  uint64_t last_incarnation = 0;
  int64_t last_filing = 0;
  int64_t last_request = 0;
  bool quiet = false;  // nothing new is served, filed or broken any more

  friend class ModelHost;
};

}  // namespace hickorystand
