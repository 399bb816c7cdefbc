#include "protocol_simulation.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

#include "simulated_host.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFaultLength = seconds(12);
constexpr Duration kShortPause = seconds(3);
constexpr Duration kReplacedAfter = seconds(6);
constexpr Duration kRestartedAfter = seconds(2);
constexpr Duration kHostListDelay = seconds(3);
constexpr Duration kRoleChangeTime = milliseconds(1500);
constexpr Duration kSettleTime = seconds(25);
constexpr Instant kFirstFault = Instant(seconds(8));
constexpr size_t kMaxValue = 1'000'000;
constexpr int64_t kMaxFilingAttempts = 6;

// Clocks that run slow or fast and start at different offsets.
constexpr std::array kClocks = {
    HostClock{.speed = 0.95, .offset = seconds(1000)},
    HostClock{.speed = 0.97, .offset = seconds(50)},
    HostClock{.speed = 1.02, .offset = seconds(777)},
};

constexpr std::array<std::string_view, kSteps> kStepNames = {
    "lease grant",   "lease create",   "lease renew",  "lease release",
    "record read",   "order intent",   "order send",   "order reply",
    "platform send", "platform reply", "window close", "report send",
    "report reply",  "claim write",    "claim reply",  "filing send",
    "filing reply",  "drain"};

constexpr std::array<std::string_view, kFaults> kFaultNames = {
    "none",       "kill",       "kill after", "restart",       "pause short",
    "pause",      "pause in",   "cut store",  "cut peers",     "store slow",
    "store down", "reply lost", "race",       "endpoint crash"};

const std::set<Step> kGuardedSteps = {Step::kOrderSend, Step::kPlatformSend,
                                      Step::kReportSend, Step::kFilingSend};

}  // namespace

std::string_view StepName(Step step) {
  return kStepNames[static_cast<size_t>(step)];
}

std::string_view FaultName(Fault fault) {
  return kFaultNames[static_cast<size_t>(fault)];
}

WorldOptions MatrixOptions() {
  WorldOptions options;
  options.coordinator.window_length = seconds(5);
  options.coordinator.unlisted_timeout = seconds(8);
  options.loss = 0.02;
  options.delay = 0.05;
  return options;
}

WorldOptions SoakOptions(uint64_t seed) {
  WorldOptions options = MatrixOptions();
  options.seed = seed;
  options.coordinator.usage_retention = seconds(60);
  options.fault_every = 4;
  options.length = seconds(360);
  options.drain_at = seconds(100);
  return options;
}

// ---- ModelStore ----

StoreReply ModelStore::Transact(Instant now,
                                const StoreTransaction& transaction) {
  ++this->calls;
  this->Expire(now);
  const bool holds = std::ranges::all_of(
      transaction.conditions,
      [this](const auto& each) { return this->Holds(each); });
  const auto& operations = holds ? transaction.then : transaction.otherwise;
  if (std::ranges::any_of(operations, [this](const StoreOperation& each) {
        return each.lease != 0 && !this->leases.contains(each.lease);
      })) {
    return {.outcome = StoreOutcome::kNotApplied};
  }
  const bool writes =
      std::ranges::any_of(operations, [](const StoreOperation& each) {
        return each.kind == StoreOperation::Kind::kPut ||
               each.kind == StoreOperation::Kind::kDelete;
      });
  this->revision += writes ? 1 : 0;
  StoreReply reply{
      .outcome = holds ? StoreOutcome::kThen : StoreOutcome::kOtherwise,
      .revision = this->revision};
  for (const StoreOperation& each : operations) {
    const auto found = this->records.find(each.key);
    if (each.kind == StoreOperation::Kind::kPut) {
      StoreRecord& record = this->records[each.key];
      record = {.key = each.key,
                .value = each.value,
                .create_revision = found == this->records.end()
                                       ? this->revision
                                       : record.create_revision,
                .mod_revision = this->revision,
                .lease = each.lease};
      this->largest = std::max(this->largest, each.value.size());
    } else if (found != this->records.end()) {
      if (each.kind == StoreOperation::Kind::kDelete) {
        this->records.erase(found);
      } else {
        reply.records.push_back(found->second);
      }
    }
  }
  return reply;
}

int64_t ModelStore::Grant(Instant now, Duration length) {
  ++this->calls;
  this->leases[++this->last_lease] = {.length = length,
                                      .expires = now + length};
  return this->last_lease;
}

Result<Duration> ModelStore::Renew(Instant now, int64_t lease) {
  ++this->calls;
  this->Expire(now);
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) {
    return Fail(ErrorKind::kNotFound, "no such lease");
  }
  found->second.expires = now + found->second.length;
  return found->second.length;
}

void ModelStore::Revoke(Instant now, int64_t lease) {
  ++this->calls;
  this->Expire(now);
  this->Drop(lease);
}

bool ModelStore::LeaseStands(Instant now,
                             const std::string& key,
                             int64_t fencing) {
  this->Expire(now);
  const auto found = this->records.find(key);
  return found != this->records.end() &&
         found->second.create_revision == fencing;
}

void ModelStore::Expire(Instant now) {
  std::vector<int64_t> expired;
  for (const auto& [lease, grant] : this->leases) {
    if (now >= grant.expires) {
      expired.push_back(lease);
    }
  }
  std::ranges::for_each(expired, [this](int64_t lease) { this->Drop(lease); });
}

void ModelStore::Drop(int64_t lease) {
  if (this->leases.erase(lease) == 0) {
    return;
  }
  const size_t gone = std::erase_if(this->records, [lease](const auto& entry) {
    return entry.second.lease == lease;
  });
  this->revision += gone == 0 ? 0 : 1;
}

bool ModelStore::Holds(const StoreCompare& compare) const {
  const auto found = this->records.find(compare.key);
  const bool there = found != this->records.end();
  switch (compare.field) {
    case StoreCompare::Field::kCreateRevision:
      return compare.revision == (there ? found->second.create_revision : 0);
    case StoreCompare::Field::kModRevision:
      return compare.revision == (there ? found->second.mod_revision : 0);
    case StoreCompare::Field::kValue:
      return there && compare.value == found->second.value;
  }
  return false;
}

// ---- ModelEndpoint, ModelPlatform, ModelFilings ----

OrderReply ModelEndpoint::Receive(Instant now,
                                  const Order& order,
                                  int64_t fencing) {
  if (this->fences && fencing < this->highest) {
    return OrderReply::kStale;
  }
  this->highest = std::max(this->highest, fencing);
  const bool busy = !this->running.Empty() && now < this->busy_until;
  if (this->known.contains(order.id)) {
    return busy && this->running == order.id ? OrderReply::kRunning
                                             : OrderReply::kDone;
  }
  if (busy) {
    this->world.Violation("an endpoint received conflicting orders");
  }
  if (fencing < this->highest_effective_fencing) {
    this->world.Violation("an order of a former holder took effect");
  }
  this->world.CheckOrderRecorded(order);
  this->highest_effective_fencing =
      std::max(this->highest_effective_fencing, fencing);
  this->known.insert(order.id);
  this->running = order.id;
  this->busy_until = now + kRoleChangeTime;
  ++this->effects;
  return OrderReply::kRunning;
}

// If a message with a lower fencing number was sent after one with a higher
// number had been received, two hosts acted as lease holder at the same time.
void ModelPlatform::CheckSingleSender(Sender& heard,
                                      Instant now,
                                      Instant sent,
                                      int64_t fencing,
                                      const std::string& what) {
  if (fencing < heard.fencing && sent > heard.since) {
    this->world.Violation("the platform received " + what +
                          " from two hosts that both act as holder");
  }
  if (fencing > heard.fencing) {
    heard = {.fencing = fencing, .since = now};
  }
}

void ModelPlatform::ReceiveOrder(Instant now,
                                 Instant sent,
                                 const Order& order,
                                 int64_t fencing) {
  this->CheckSingleSender(this->last_order_sender, now, sent, fencing,
                          "endpoint orders");
  if (this->tokens.insert(order.id).second) {
    this->world.CheckOrderRecorded(order);
  }
}

void ModelPlatform::ReceiveReport(Instant now,
                                  Instant sent,
                                  const SendUsageReport& report) {
  this->CheckSingleSender(this->last_report_senders[report.window], now, sent,
                          report.fencing, "a usage window");
  const auto [known, fresh] =
      this->windows.emplace(report.window, report.figures);
  if (!fresh && known->second != report.figures) {
    this->world.Violation(
        "a usage window was reported twice with different figures");
  }
}

int64_t ModelPlatform::Reported() const {
  int64_t sum = 0;
  for (const auto& [window, figures] : this->windows) {
    for (const auto& [account, count] : figures) {
      sum += count.requests;
    }
  }
  return sum;
}

void ModelFilings::Receive(const std::string& key, const RequestId& request) {
  if (++this->filed[key] > 1) {
    this->world.Violation("a filing ran twice");
  }
  this->ran.insert(request);
  if (this->refused_as_not_run.contains(request)) {
    this->world.Violation("a request ran that was refused as not run");
  }
}

void ModelFilings::OnRefusedAsNotRun(const RequestId& request) {
  this->refused_as_not_run.insert(request);
  if (this->ran.contains(request)) {
    this->world.Violation("a request was refused as not run after it ran");
  }
}

// ---- World ----

World::World(WorldOptions options, std::vector<Injection> injections)
    : options(std::move(options)),
      platform(*this),
      filings(*this),
      random(this->options.seed),
      injections(std::move(injections)) {
  this->endpoints.push_back(
      std::make_unique<ModelEndpoint>(*this, EndpointId("fencing"), true));
  this->endpoints.push_back(
      std::make_unique<ModelEndpoint>(*this, EndpointId("ignoring"), false));
}

World::~World() = default;

WorldReport World::Run() {
  for (int i = 0; i < 3; ++i) {
    this->AddHost(HostId("h" + std::to_string(++this->last_host)),
                  ++this->last_incarnation);
  }
  const auto each_host = [this](void (ModelHost::*step)()) {
    return [this, step] {
      for (size_t i = 0; i < this->hosts.size(); ++i) {
        (*this->hosts[i].*step)();
      }
    };
  };
  this->Every(milliseconds(50), each_host(&ModelHost::Tick));
  this->Every(seconds(1), each_host(&ModelHost::Exchange));
  this->Every(milliseconds(1300), [this] { this->ProposeConflictingOrders(); });
  this->Every(seconds(1), [this] { this->PublishHosts(); });
  this->Every(milliseconds(400), [this] { this->SendFilings(); });
  this->After(this->options.drain_at, [this] {
    ModelHost* holder = this->Holder();
    ModelHost& leaving = holder == nullptr ? this->AnyHost() : *holder;
    this->InjectFault(Step::kDrain, leaving);
    leaving.StartDrain();
    this->After(kReplacedAfter, [this] {
      this->AddHost(HostId("h" + std::to_string(++this->last_host)),
                    ++this->last_incarnation);
    });
  });
  if (this->options.fault_every > 0) {
    this->Every(FromSeconds(this->options.fault_every), [this] {
      this->injections.clear();
      if (!this->quiet) {
        this->injections.push_back(
            {.step = static_cast<Step>(this->random() % kSteps),
             .fault = static_cast<Fault>(1 + this->random() % (kFaults - 1))});
      }
    });
  }
  const Instant end = Instant(this->options.length);
  int64_t orders_before = 0;
  int64_t windows_before = 0;
  this->After(this->options.length - kSettleTime, [&] { this->quiet = true; });
  this->After(this->options.length - kSettleTime / 2, [&] {
    orders_before =
        this->endpoints[0]->Effects() + this->endpoints[1]->Effects();
    windows_before = this->platform.Effects();
  });
  while (!this->events.empty() && this->events.top().at <= end) {
    const TimedCall next = this->events.top();
    this->events.pop();
    this->now = next.at;
    next.run();
  }
  this->report.orders =
      this->endpoints[0]->Effects() + this->endpoints[1]->Effects();
  this->report.platform_orders = this->platform.Effects();
  this->report.windows = this->platform.Windows();
  this->report.reported = this->platform.Reported();
  this->report.filings = this->filings.Filed();
  this->report.store_calls = this->store.Calls();
  this->report.recovered = this->report.orders > orders_before &&
                           this->report.platform_orders > windows_before;
  if (this->report.reported > this->report.served) {
    this->Violation("more usage was reported than was served");
  }
  if (this->store.LargestValue() > kMaxValue) {
    this->Violation("a value was too large for the store");
  }
  return this->report;
}

void World::After(Duration delay, std::function<void()> event) {
  this->events.push({.at = this->now + delay,
                     .number = ++this->last_event,
                     .run = std::move(event)});
}

void World::Every(Duration period, const std::function<void()>& event) {
  this->After(period, [this, period, event] {
    event();
    this->Every(period, event);
  });
}

void World::Violation(const std::string& what) {
  if (std::ranges::find(this->report.violations, what) ==
      this->report.violations.end()) {
    this->report.violations.push_back(what);
  }
}

// An order that takes effect must be in the stored record at that moment, so
// that the current holder takes it into account. A copy that a former holder
// sent in time can then arrive late without harm.
void World::CheckOrderRecorded(const Order& order) {
  const auto record =
      this->store.Records().find(OrderRecordKey(DataCentreId("dc")));
  const Result<OrderRecord> content = DecodeOrderRecord(
      record == this->store.Records().end() ? "" : record->second.value);
  if (!content || std::ranges::find(content->orders, order.id, &Order::id) ==
                      content->orders.end()) {
    this->Violation("an order took effect without a stored record");
  }
}

bool World::Chance(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

Duration World::Between(Duration least, Duration most) {
  return Duration(std::uniform_int_distribution<int64_t>(
      least.count(), most.count())(this->random));
}

std::optional<Duration> World::NetworkDelay() {
  if (this->Chance(this->options.loss)) {
    return std::nullopt;
  }
  return this->Chance(this->options.delay)
             ? this->Between(milliseconds(100), seconds(15))
             : this->Between(Duration(200), milliseconds(3));
}

// Returns the fault to inject at this step, or kNone. Faults that affect more
// than the step's own message are applied here; the caller applies the others.
Fault World::InjectFault(Step step, ModelHost& host) {
  if (this->injections.empty() || this->now < kFirstFault ||
      this->injections.front().step != step || !host.Alive()) {
    return Fault::kNone;
  }
  const Fault fault = this->injections.front().fault;
  this->injections.erase(this->injections.begin());
  ++this->report.faults_injected;
  this->Apply(fault, host);
  // Guarded sends apply this pause themselves, after their lease check.
  if (fault == Fault::kPauseAfterCheck && !kGuardedSteps.contains(step)) {
    this->After({}, [&host] { host.Pause(kFaultLength); });
  }
  return fault;
}

void World::Apply(Fault fault, ModelHost& host) {
  const Instant until = this->now + kFaultLength;
  const auto replace = [this](HostId id, Duration after) {
    ++this->report.kills;
    this->After(after, [this, id = std::move(id)] {
      this->AddHost(id, ++this->last_incarnation);
    });
  };
  switch (fault) {
    case Fault::kKill:
      host.Kill();
      replace(HostId("h" + std::to_string(++this->last_host)), kReplacedAfter);
      break;
    case Fault::kKillAfter:
      this->After({}, [&host] { host.Kill(); });
      replace(HostId("h" + std::to_string(++this->last_host)), kReplacedAfter);
      break;
    case Fault::kRestart:
      host.Kill();
      replace(host.Id(), kRestartedAfter);
      break;
    case Fault::kPauseShort:
      host.Pause(kShortPause);
      break;
    case Fault::kPause:
      host.Pause(kFaultLength);
      break;
    case Fault::kStorePartition:
      host.store_partition_until = until;
      break;
    case Fault::kPeerPartition:
      host.peer_partition_until = until;
      break;
    case Fault::kStoreSlow:
      this->store.slow_until = until;
      break;
    case Fault::kStoreDown:
      this->store.down_until = until;
      break;
    case Fault::kConflictingOrders:
      this->ProposeConflictingOrders();
      break;
    case Fault::kEndpointCrash:
      std::ranges::for_each(this->endpoints,
                            [](const auto& each) { each->Crash(); });
      break;
    case Fault::kNone:
    case Fault::kPauseAfterCheck:
    case Fault::kReplyLost:
      break;
  }
}

void World::AddHost(const HostId& id, uint64_t incarnation) {
  this->hosts.push_back(std::make_unique<ModelHost>(
      *this, id, incarnation, kClocks[this->hosts.size() % kClocks.size()]));
}

// Delivers the platform's list of hosts after its propagation delay.
void World::PublishHosts() {
  std::vector<HostListing> listed;
  for (const auto& host : this->hosts) {
    if (host->Alive()) {
      listed.push_back({.host = host->Id(), .leaving = host->Draining()});
    }
  }
  this->After(kHostListDelay, [this, listed] {
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      this->hosts[i]->OnHosts(listed);
    }
  });
}

void World::ProposeConflictingOrders() {
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->hosts[i]->Propose();
  }
}

// Callers send a filing through any host, some through two at once.
void World::SendFilings() {
  if (this->quiet) {
    return;
  }
  const std::string key = "k" + std::to_string(++this->last_filing);
  this->File(key, 0);
  if (this->Chance(0.3)) {
    this->File(key, 0);
  }
}

// A caller that retries: unless its filing is done it sends it again through
// another host, also without an answer, and sometimes even when it is done.
void World::File(const std::string& key, int64_t tries) {
  if (tries >= kMaxFilingAttempts) {
    return;
  }
  const RequestId request("r" + std::to_string(++this->last_request));
  const auto answered = std::make_shared<bool>(false);
  this->AnyHost().File(
      request, key, [this, key, tries, request, answered](FilingAnswer answer) {
        if (answer == FilingAnswer::kNotRun) {
          this->filings.OnRefusedAsNotRun(request);
        }
        if (!std::exchange(*answered, true) &&
            (answer != FilingAnswer::kDone || this->Chance(0.2))) {
          this->After(milliseconds(500),
                      [this, key, tries] { this->File(key, tries + 1); });
        }
      });
  this->After(seconds(4), [this, key, tries, answered] {
    if (!std::exchange(*answered, true)) {
      this->File(key, tries + 1);
    }
  });
}

ModelHost& World::AnyHost() {
  std::vector<ModelHost*> alive;
  for (const auto& host : this->hosts) {
    if (host->Alive() && !host->Draining()) {
      alive.push_back(host.get());
    }
  }
  return alive.empty() ? *this->hosts.front()
                       : *alive[this->random() % alive.size()];
}

ModelHost* World::Holder() {
  const auto found = std::ranges::find_if(
      this->hosts, [](const auto& host) { return host->Holds(); });
  return found == this->hosts.end() ? nullptr : found->get();
}

}  // namespace hickorystand
