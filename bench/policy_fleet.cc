#include "policy_fleet.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <ranges>
#include <utility>

#include "decisions/configuration_records.h"

namespace hickorystand {
namespace {

constexpr double kStep = 0.02;
constexpr int kDataCentres = 3;
constexpr int kHosts = 8;
constexpr int kEngines = 18;
constexpr int kRunners = 3;
constexpr double kDigestPeriod = 0.25;
constexpr double kReportPeriod = 1;
constexpr double kReportsPerSnapshot = 30;
constexpr double kEventLoss = 0.02;  // fraction of cache events lost
constexpr double kNetworkDelay = 0.002;
constexpr double kConnectTimeout = 1;
constexpr double kStreamTimeout = 3;  // timeout of a stream without data
constexpr double kRoleChangeSeconds = 8;
constexpr double kReplaceSeconds = 30;
constexpr double kReplaceEvery = 30;
constexpr double kBootSeconds = 90;     // start-up time of an ordered endpoint
constexpr double kRestartSeconds = 40;  // downtime of a crashed endpoint
constexpr double kCheapCost = 0.3;
constexpr int64_t kFloor = 2;
constexpr double kShareWindow = 30;
constexpr double kGeneratedWeight = 4;  // of a generated token in shares
constexpr uint64_t kIncarnation = 1;

std::string DataCentreName(int i) {
  return "dc" + std::to_string(i % kDataCentres + 1);
}

EndpointRole FirstRole(RolePolicy policy, int i) {
  if (policy == RolePolicy::kMixed) {
    return EndpointRole::kMixed;
  }
  return i % 2 == 0 ? EndpointRole::kPrefill : EndpointRole::kDecode;
}

EndpointRole RoleNamed(const std::string& name) {
  for (const EndpointRole role :
       {EndpointRole::kPrefill, EndpointRole::kDecode}) {
    if (NameOfRole(role) == name) {
      return role;
    }
  }
  return EndpointRole::kMixed;
}

// Every third engine is cheap: one in each data centre and zone.
Endpoint MakeEngine(int i, RolePolicy policy) {
  const bool cheap = i % 3 == 2 || i % 9 == 0;
  Endpoint endpoint{.id = EndpointId("e" + std::to_string(100 + i)),
                    .service = kLanguageService,
                    .data_centre = DataCentreId(DataCentreName(i)),
                    .role = FirstRole(policy, i / kDataCentres),
                    .cheap = cheap,
                    .cost_per_hour = cheap ? kCheapCost : 1};
  endpoint.zone = ZoneId(cheap ? "cheap-" + std::to_string(i % 2 + 1)
                               : "zone-" + DataCentreName(i));
  return endpoint;
}

// Max-min fair shares of `total`: equal for all accounts, but never above an
// account's demand.
std::map<AccountId, double> FairShares(std::map<AccountId, double> demand,
                                       double total) {
  std::map<AccountId, double> shares;
  while (!demand.empty()) {
    const double equal = total / static_cast<double>(demand.size());
    const auto smallest = std::ranges::min_element(
        demand, {}, [](const auto& entry) { return entry.second; });
    const double share = std::min(equal, smallest->second);
    shares[smallest->first] = share;
    total -= share;
    demand.erase(smallest);
  }
  return shares;
}

double Tokens(const Arrival& arrival) {
  return static_cast<double>(arrival.request.prompt_tokens) +
         kGeneratedWeight * static_cast<double>(arrival.output_tokens);
}

bool DisconnectsAtDeadline(RequestClass request_class) {
  return request_class == RequestClass::kInteractive ||
         request_class == RequestClass::kLookup;
}

}  // namespace

BenchFleet::BenchFleet(const Strategy& strategy,
                       const Scenario& scenario,
                       uint64_t seed)
    : strategy(strategy),
      scenario(scenario),
      random(seed),
      planner(kLanguageService, MeasuredRates()) {
  this->Build(seed);
}

BenchFleet::~BenchFleet() = default;

void BenchFleet::Build(uint64_t seed) {
  auto next = std::make_shared<Configuration>();
  next->revision = 1;
  for (const AccountId& account : TrafficAccounts()) {
    next->accounts[account] = {.id = account};
  }
  next->services[kLanguageService] = {.id = kLanguageService, .floor = kFloor};
  next->services[kPlainService] = {.id = kPlainService,
                                   .kind = ServiceKind::kPlain};
  for (int i = 0; i < kEngines; ++i) {
    const Endpoint endpoint = MakeEngine(i, this->strategy.roles);
    next->endpoints[endpoint.id] = endpoint;
  }
  for (int i = 0; i < kRunners; ++i) {
    const EndpointId id("p" + std::to_string(i));
    next->endpoints[id] = {.id = id,
                           .service = kPlainService,
                           .data_centre = DataCentreId(DataCentreName(i)),
                           .zone = ZoneId("zone-" + DataCentreName(i)),
                           .role = EndpointRole::kPlain};
  }
  this->configuration = next;
  for (const auto& [id, endpoint] : next->endpoints) {
    this->nodes.emplace(id, Node{BenchEngine(endpoint), endpoint.role});
  }
  for (int i = 0; i < kHosts; ++i) {
    Host host{.id = HostId("h" + std::to_string(i)),
              .data_centre = DataCentreId(DataCentreName(i))};
    host.dispatcher =
        this->strategy.make({.host = host.id,
                             .data_centre = host.data_centre,
                             .seed = seed * 100 + static_cast<uint64_t>(i)});
    host.dispatcher->OnConfiguration(this->Now(), this->configuration);
    this->hosts.push_back(std::move(host));
  }
}

// --- Time --------------------------------------------------------------------

Instant BenchFleet::Now() const {
  return Instant(FromSeconds(1 + this->now));
}

void BenchFleet::At(double time, std::function<void()> run) {
  this->events.push({time, this->next_order++, std::move(run)});
}

void BenchFleet::Every(double period, const std::function<void()>& run) {
  this->At(this->now + period, [this, period, run] {
    run();
    this->Every(period, run);
  });
}

bool BenchFleet::Reachable(const DataCentreId& a, const DataCentreId& b) const {
  const DataCentreId cut(DataCentreName(kDataCentres - 1));
  return a == b || !this->scenario.partitioned.Holds(this->now) ||
         (a != cut && b != cut);
}

RunFigures BenchFleet::Run(const std::vector<Arrival>& arrivals) {
  this->Every(kReportPeriod, [this] { this->SendReports(); });
  this->Every(kDigestPeriod, [this] { this->SendDigests(); });
  this->Every(1, [this] {
    this->planner.OnTick(this->Now());
    this->FinishDrains();
    this->PlanRoles();
  });
  this->Every(10, [this] { this->PlanCapacity(); });
  if (this->scenario.replace) {
    this->Every(kReplaceEvery, [this] { this->ReplaceNext(); });
  }
  if (this->scenario.partitioned.to > 0) {
    this->At(this->scenario.partitioned.from + kStep,
             [this] { this->CutStreams(); });
  }
  if (this->scenario.zone_lost.to > 0) {
    this->At(this->scenario.zone_lost.from, [this] {
      for (auto& [id, node] : this->nodes) {
        if (node.engine.Identity().zone == ZoneId("cheap-1")) {
          node.reclaimed = true;
          if (node.engine.Up()) {
            this->CrashEngine(node);
          }
        }
      }
    });
    this->At(this->scenario.zone_lost.to, [this] {
      for (auto& [id, node] : this->nodes) {
        if (node.reclaimed) {
          node.reclaimed = false;
          this->Restart(node);
        }
      }
    });
  }
  size_t next = 0;
  const auto steps = std::llround(this->scenario.seconds / kStep);
  for (int64_t step = 0; step < steps; ++step) {
    this->now = static_cast<double>(step) * kStep;
    while (!this->events.empty() && this->events.top().time <= this->now) {
      const auto run = this->events.top().run;
      this->events.pop();
      run();
    }
    for (; next < arrivals.size() && arrivals[next].time <= this->now; ++next) {
      this->Arrive(arrivals[next]);
    }
    this->StepEngines();
    for (size_t host = 0; host < this->hosts.size(); ++host) {
      this->Act(host, this->hosts[host].dispatcher->OnTick(this->Now()));
    }
  }
  return this->Sum();
}

// --- Callers
// ------------------------------------------------------------------

void BenchFleet::Arrive(const Arrival& arrival) {
  const size_t host = this->random() % this->hosts.size();
  Caller& caller = this->callers[arrival.request.id];
  caller.arrival = arrival;
  caller.host = host;
  Request& request = caller.arrival.request;
  request.arrived = this->Now();
  request.deadline = this->Now() + FromSeconds(arrival.deadline_seconds);
  if (request.service == kLanguageService) {
    this->planner.OnRequest(request.prompt_tokens, request.output_tokens);
  }
  if (DisconnectsAtDeadline(request.request_class)) {
    this->At(this->now + arrival.deadline_seconds, [this, id = request.id] {
      Caller& one = this->callers.at(id);
      if (!one.ended && one.first_token < 0) {
        one.ended = true;
        this->Act(one.host,
                  this->hosts[one.host].dispatcher->OnCallerDisconnected(
                      this->Now(), id));
      }
    });
  }
  this->Act(host,
            this->hosts[host].dispatcher->OnArrival(this->Now(), request));
}

void BenchFleet::Act(size_t host, const DispatchList& actions) {
  for (const Dispatch& action : actions) {
    switch (action.kind) {
      case DispatchKind::kClaim: {
        const bool down = this->scenario.platform_down.Holds(this->now);
        this->At(this->now + kNetworkDelay,
                 [this, host, down, id = action.request] {
                   this->Act(host, this->hosts[host].dispatcher->OnClaim(
                                       this->Now(), id,
                                       down ? ClaimResult::kUnavailable
                                            : ClaimResult::kGranted));
                 });
        break;
      }
      case DispatchKind::kSend:
        this->Send(host, action);
        break;
      case DispatchKind::kCancel:
        for (auto& [id, node] : this->nodes) {
          node.engine.Cancel(host, action.attempt);
        }
        break;
      case DispatchKind::kFinish:
        this->callers.at(action.request).ended = true;
        this->callers.at(action.request).done = this->now;
        break;
      case DispatchKind::kRefuse:
        this->callers.at(action.request).ended = true;
        break;
    }
  }
}

void BenchFleet::Send(size_t host, const Dispatch& action) {
  Node& node = this->nodes.at(action.endpoint);
  const DataCentreId& there = node.engine.Identity().data_centre;
  if (!this->Reachable(this->hosts[host].data_centre, there)) {
    this->Answer(host, action.attempt, AttemptOutcome::kNotSent,
                 kConnectTimeout);
    return;
  }
  if (!node.engine.Up()) {
    this->Answer(host, action.attempt, AttemptOutcome::kNotSent, kNetworkDelay);
    return;
  }
  Caller& caller = this->callers.at(action.request);
  const bool accepted = node.engine.Submit({
      .host = host,
      .attempt = action.attempt,
      .request = caller.arrival.request,
      .output_tokens = caller.arrival.output_tokens,
      .resume_from = action.resume_from,
      .kills = caller.arrival.kills,
  });
  caller.runs += accepted ? 1 : 0;
  if (!accepted) {
    this->Answer(host, action.attempt, AttemptOutcome::kRefused, kNetworkDelay);
  }
}

void BenchFleet::Answer(size_t host,
                        AttemptId attempt,
                        AttemptOutcome outcome,
                        double delay) {
  this->At(this->now + delay, [this, host, attempt, outcome] {
    this->Act(host, this->hosts[host].dispatcher->OnResult(
                        this->Now(), {.attempt = attempt, .outcome = outcome}));
  });
}

// --- Engines
// ------------------------------------------------------------------

void BenchFleet::StepEngines() {
  for (auto& [id, node] : this->nodes) {
    if (!node.released_to_platform && !node.reclaimed) {
      this->cost += node.engine.Identity().cost_per_hour * kStep / 3600;
    }
    for (const EngineEvent& event : node.engine.Step(kStep)) {
      if (event.kind == EngineEvent::Kind::kEngineCrash) {
        this->CrashEngine(node);
        this->At(this->now + kRestartSeconds,
                 [this, &node] { this->Restart(node); });
        break;
      }
      this->Deliver(node, event);
    }
  }
}

void BenchFleet::Deliver(Node& node, const EngineEvent& event) {
  const Host& host = this->hosts[event.host];
  if (!this->Reachable(host.data_centre, node.engine.Identity().data_centre)) {
    return;  // lost; the host's stream timeout ends the attempt
  }
  Caller& caller = this->callers.at(event.request);
  if (caller.first_token < 0) {
    caller.first_token = this->now;
  }
  if (event.kind == EngineEvent::Kind::kProgress) {
    this->Act(event.host, host.dispatcher->OnProgress(
                              this->Now(), event.attempt, event.generated));
    return;
  }
  const auto tokens = static_cast<double>(event.generated);
  if (node.engine.Identity().service == kLanguageService) {
    this->all_tokens += tokens;
    this->prompt_tokens +=
        static_cast<double>(caller.arrival.request.prompt_tokens);
    this->cached_tokens += static_cast<double>(event.cached_tokens);
    const Request& request = caller.arrival.request;
    this->planner.OnAnswer(request.prompt_tokens, request.output_tokens,
                           event.cached_tokens, event.generated);
    this->cheap_tokens += node.engine.Identity().cheap ? tokens : 0;
  }
  this->Act(
      event.host,
      host.dispatcher->OnResult(
          this->Now(), {.attempt = event.attempt,
                        .outcome = AttemptOutcome::kComplete,
                        .prompt_tokens = caller.arrival.request.prompt_tokens,
                        .cached_tokens = event.cached_tokens,
                        .generated_tokens = event.generated}));
}

void BenchFleet::CrashEngine(Node& node) {
  node.changing = false;
  for (const EngineJob& job : node.engine.Crash()) {
    this->Answer(job.host, job.attempt, AttemptOutcome::kCrashed,
                 kNetworkDelay);
  }
}

void BenchFleet::Restart(Node& node) {
  if (!node.engine.Up() && !node.reclaimed && !node.released_to_platform) {
    node.changing = false;
    node.engine.Start(node.next_role);
    this->SendReport(node);
  }
}

// Streams between the partitioned data centre and the others stop delivering
// data.
void BenchFleet::CutStreams() {
  for (auto& [id, node] : this->nodes) {
    for (size_t host = 0; host < this->hosts.size(); ++host) {
      if (this->Reachable(this->hosts[host].data_centre,
                          node.engine.Identity().data_centre)) {
        continue;
      }
      for (const AttemptId attempt : node.engine.AttemptsOf(host)) {
        node.engine.Cancel(host, attempt);
        this->Answer(host, attempt, AttemptOutcome::kStalled, kStreamTimeout);
      }
    }
  }
}

// --- Messages
// -----------------------------------------------------------------

void BenchFleet::SendReport(Node& node) {
  const LoadReport report = node.engine.Report();
  const DataCentreId there = node.engine.Identity().data_centre;
  const bool snapshot =
      this->reports % static_cast<int64_t>(kReportsPerSnapshot) == 0;
  const CacheEvent event = node.engine.TakeCacheEvent(snapshot);
  const bool lost =
      std::uniform_real_distribution<double>(0, 1)(this->random) < kEventLoss;
  this->At(this->now + this->scenario.report_lag,
           [this, report, event, lost, there] {
             for (size_t i = 0; i < this->hosts.size(); ++i) {
               Host& host = this->hosts[i];
               if (!this->Reachable(host.data_centre, there)) {
                 continue;
               }
               this->Act(i, host.dispatcher->OnLoad(this->Now(), report));
               if (!lost) {
                 host.dispatcher->OnCache(this->Now(), event);
               }
             }
           });
}

void BenchFleet::SendReports() {
  this->reports += 1;
  for (auto& [id, node] : this->nodes) {
    if (node.engine.Up()) {
      this->SendReport(node);
    }
  }
}

void BenchFleet::SendDigests() {
  for (Host& from : this->hosts) {
    Digest digest{.host = from.id,
                  .data_centre = from.data_centre,
                  .incarnation = kIncarnation,
                  .sequence = ++from.digests};
    from.dispatcher->FillDigest(digest);
    this->At(this->now + kNetworkDelay, [this, digest] {
      for (size_t i = 0; i < this->hosts.size(); ++i) {
        Host& to = this->hosts[i];
        if (to.id != digest.host &&
            this->Reachable(to.data_centre, digest.data_centre)) {
          this->Act(i, to.dispatcher->OnDigest(this->Now(), digest));
        }
      }
    });
  }
}

// --- Orders
// -------------------------------------------------------------------

std::vector<EndpointState> BenchFleet::States() const {
  std::vector<EndpointState> states;
  for (const auto& [id, node] : this->nodes) {
    if (node.engine.Identity().service == kLanguageService &&
        !node.released_to_platform) {
      states.push_back(
          {.endpoint = node.engine.Identity(),
           .role = node.changing ? node.next_role : node.engine.Role(),
           .up = node.engine.Up() && !node.engine.Draining(),
           .changing = node.changing,
           .running = node.engine.Jobs()});
    }
  }
  return states;
}

void BenchFleet::PlanRoles() {
  if (this->scenario.platform_down.Holds(this->now)) {
    return;
  }
  std::vector<PlacementProposal> wishes;
  if (this->strategy.roles == RolePolicy::kPlanner) {
    wishes = this->planner.ProposeRoleChanges(this->Now(), this->States());
  } else if (this->strategy.roles == RolePolicy::kThreshold) {
    wishes = ThresholdProposals(this->States());
  }
  for (const PlacementProposal& wish : wishes) {
    Node& node = this->nodes.at(wish.endpoint);
    this->role_changes += 1;
    node.changing = true;
    node.next_role = RoleNamed(wish.argument);
    node.away = kRoleChangeSeconds;
    node.engine.Drain();
    this->SendReport(node);
  }
}

void BenchFleet::PlanCapacity() {
  if (!this->strategy.scales || this->scenario.platform_down.Holds(this->now)) {
    return;
  }
  const auto wish = this->planner.ProposeCapacityChange(
      this->Now(), this->States(), kFloor, kEngines);
  if (!wish) {
    return;
  }
  if (wish->change < 0) {
    Node& node = this->nodes.at(wish->endpoint);
    node.released_to_platform = true;
    node.engine.Drain();
    this->SendReport(node);
    return;
  }
  // Prefer an endpoint of the requested price class; otherwise take the first
  // one that the platform still has.
  Node* best = nullptr;
  for (auto& [id, node] : this->nodes) {
    const Endpoint& endpoint = node.engine.Identity();
    if (!node.released_to_platform || node.engine.Up()) {
      continue;
    }
    if (best == nullptr || (endpoint.cheap == wish->cheap &&
                            best->engine.Identity().cheap != wish->cheap)) {
      best = &node;
    }
  }
  if (best != nullptr) {
    best->released_to_platform = false;
    best->next_role = EndpointRole::kMixed;
    best->changing = true;
    this->At(this->now + kBootSeconds, [this, best] { this->Restart(*best); });
  }
}

// Changes the role of drained engines, replaces them, or releases them.
void BenchFleet::FinishDrains() {
  for (auto& [id, node] : this->nodes) {
    if (!node.engine.Up() || !node.engine.Draining() || !node.engine.Idle()) {
      continue;
    }
    node.engine.Crash();  // idle, so no job is lost
    if (!node.released_to_platform) {
      this->At(this->now + node.away,
               [this, &node = node] { this->Restart(node); });
    }
  }
}

void BenchFleet::ReplaceNext() {
  auto next =
      std::next(this->nodes.begin(),
                static_cast<std::ptrdiff_t>(this->next_replaced++ % kEngines));
  Node& node = next->second;
  if (node.engine.Up() && !node.engine.Draining()) {
    node.changing = true;
    node.next_role = node.engine.Role();
    node.away = kReplaceSeconds;
    node.engine.Drain();
    this->SendReport(node);
  }
}

// --- Figures
// ------------------------------------------------------------------

namespace {

bool IsGood(const Arrival& arrival, double first_token, double done) {
  if (done < 0) {
    return false;
  }
  const bool whole = !DisconnectsAtDeadline(arrival.request.request_class);
  return (whole ? done : first_token) - arrival.time <=
         arrival.deadline_seconds + kStep;
}

}  // namespace

double BenchFleet::WorstShare() const {
  struct Window {
    std::map<AccountId, double> demand;
    std::map<AccountId, double> served;
    double total = 0;
  };
  std::map<int64_t, Window> windows;
  for (const auto& [id, caller] : this->callers) {
    const Arrival& arrival = caller.arrival;
    Window& window = windows[static_cast<int64_t>(arrival.time / kShareWindow)];
    const AccountId& account = arrival.request.account;
    window.demand[account] += Tokens(arrival);
    if (IsGood(arrival, caller.first_token, caller.done)) {
      window.served[account] += Tokens(arrival);
      window.total += Tokens(arrival);
    }
  }
  std::map<AccountId, double> served;
  std::map<AccountId, double> fair;
  for (auto& [number, window] : windows) {
    for (const auto& [account, share] :
         FairShares(window.demand, window.total)) {
      fair[account] += share;
      served[account] += window.served[account];
    }
  }
  double worst = 1;
  for (const auto& [account, share] : fair) {
    worst = std::min(worst, share > 0 ? served[account] / share : 1);
  }
  return worst;
}

RunFigures BenchFleet::Sum() const {
  RunFigures figures{
      .worst_account_share = this->WorstShare(),
      .role_changes = this->role_changes,
      .endpoint_cost = this->cost,
      .cheap_share =
          this->all_tokens > 0 ? this->cheap_tokens / this->all_tokens : 0,
      .cached_share = this->cached_tokens / std::max(1.0, this->prompt_tokens)};
  std::vector<double> first;
  for (const auto& [id, caller] : this->callers) {
    const Arrival& arrival = caller.arrival;
    const RequestClass request_class = arrival.request.request_class;
    figures.requests += 1;
    figures.good += IsGood(arrival, caller.first_token, caller.done);
    figures.refused += caller.ended && caller.done < 0;
    figures.once_run_twice +=
        request_class == RequestClass::kAtMostOnce && caller.runs > 1;
    figures.batch_lost += request_class == RequestClass::kBatch &&
                          caller.ended && caller.done < 0;
    if (request_class == RequestClass::kInteractive && caller.done >= 0) {
      first.push_back(caller.first_token - arrival.time);
    }
  }
  std::ranges::sort(first);
  if (!first.empty()) {
    figures.p99_first_token = first[first.size() * 99 / 100];
  }
  figures.goodput = static_cast<double>(figures.good) / this->scenario.seconds;
  return figures;
}

}  // namespace hickorystand
