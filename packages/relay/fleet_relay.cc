#include "relay/fleet_relay.h"

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

#include "relay/relayed_request.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "relay";

// Rate limit of log lines about requests. A host currently receives about 12
// requests per second with three lines each; a burst of refusals beyond that
// must not take CPU time from serving.
constexpr int kLogBurst = 600;
constexpr Duration kLogInterval = std::chrono::milliseconds(5);

// Requests that were running at this many endpoint crashes are refused, for as
// long as these crashes are remembered.
constexpr int64_t kBlockAfterCrashes = 3;
constexpr Duration kCrashRetention = std::chrono::minutes(2);

// Endpoints of a zone that is lost break their connections within this time.
constexpr Duration kZoneLossWindow = std::chrono::milliseconds(200);

// Errors that this program answers to callers. Each counter is exported from 0
// on, since the first increase of a counter that appears later is not visible
// to monitoring.
constexpr std::array kOwnErrors = {
    ErrorKind::kBadRequest,     ErrorKind::kBadKey,
    ErrorKind::kNotFound,       ErrorKind::kRateLimited,
    ErrorKind::kNoEndpoint,     ErrorKind::kShuttingDown,
    ErrorKind::kEndpointFailed, ErrorKind::kBrokenAnswer,
    ErrorKind::kTimeout,        ErrorKind::kPlatformDown};

// Interval at which silence is noticed and probes are sent.
constexpr Duration kReachPeriod = std::chrono::milliseconds(100);

// Timeout of a call that asks an endpoint which run it is, and the interval to
// the next one if there was no answer.
constexpr Duration kRunCheckPeriod = std::chrono::milliseconds(500);
constexpr Duration kRunCheckTimeout = std::chrono::milliseconds(400);

// Interval of such calls to an endpoint that is in doubt, without a request.
constexpr Duration kDoubtCheckPeriod = std::chrono::seconds(2);

// A lost connection counts as a crash after this time if it is still unknown
// whether other endpoints are reached.
constexpr Duration kCrashDecisionTime = std::chrono::seconds(2);

// A host that loses its links loses connections to all endpoints within this
// time.
constexpr Duration kCommonLossWindow = std::chrono::milliseconds(10);

std::string NamesOfListed(const std::map<SoftwareVersion, int64_t>& counts) {
  std::string names;
  for (const auto& [version, count] : counts) {
    if (count > 0) {
      names += (names.empty() ? "" : " ") + version.Text();
    }
  }
  return names;
}

// Averaging time of the prefill rate. It is short so that a burst of two or
// three seconds is visible at its full rate.
constexpr Duration kPrefillRateWindow = std::chrono::milliseconds(1500);

}  // namespace

FleetRelay::FleetRelay(RelaySettings settings,
                       const Clock& clock,
                       const MessageCodec& codec,
                       Metrics& metrics,
                       RelayHooks hooks,
                       ResourceBudget* resources)
    : settings(std::move(settings)),
      clock(&clock),
      codec(&codec),
      metrics(&metrics),
      hooks(std::move(hooks)),
      resources(resources),
      server(
          [this](const CallerExchangePtr& exchange) {
            if (this->forward) {
              this->forward(exchange);
            } else {
              this->Serve(exchange, {});
            }
          },
          resources),
      pool(clock, {}, resources),
      placement(this->settings.placement),
      admission(clock, metrics),
      cache_feed({}, this->pool, codec, this->placement),
      budget(this->settings.budget),
      suspects({.block_after_crashes = kBlockAfterCrashes,
                .retention = kCrashRetention,
                .zone_loss_window = kZoneLossWindow}),
      log_limiter(kLogBurst, kLogInterval),
      reach(this->settings.reach, this->settings.reach_seed) {
  for (const ErrorKind kind : kOwnErrors) {
    this->metrics->Add("own_answers_total", 0,
                       {{"code", std::string(AnswerFor(kind).code)}});
  }
  this->metrics->Add("log_lines_dropped_total", 0);
  this->metrics->Add("crashing_requests_refused_total", 0);
  this->metrics->Add("endpoint_crashes_total", 0);
  this->metrics->Add("stated_rate_refusals_total", 0);
  this->metrics->Add("stated_loads_total", 0);
  this->metrics->Add("stated_loads_ignored_total", 0);
  this->metrics->Add("stated_paces_contradicted_total", 0);
  this->metrics->Add("streams_of_doubted_origin_total", 0);
  for (const AnswerExcess excess : kAnswerExcesses) {
    this->metrics->Add("endpoint_answers_cut_off_total", 0,
                       {{"reason", std::string(NameOf(excess))}});
  }
  for (const char* source : {"host", "only version", "the store's record"}) {
    this->metrics->Add("stream_origins_found_total", 0, {{"source", source}});
  }
  for (const char* outcome :
       {"known", "unknown", "unavailable", "other_service"}) {
    this->metrics->Add("stream_continuations_total", 0, {{"outcome", outcome}});
  }
  this->cache_feed.SetRateHandler(
      [this](const RateAnswer& answer) { this->RecordRate(answer); });
  this->ObservePool();
  this->placement.SetConnected([this](const FleetEndpoint& endpoint) {
    return this->pool.HasIdle(endpoint.address);
  });
  this->placement.SetInDoubt([this](const FleetEndpoint& endpoint) {
    return this->runs.InDoubt(this->clock->Now(), endpoint.address);
  });
}

FleetRelay::~FleetRelay() {
  for (const auto& request : std::exchange(this->requests, {})) {
    request->Abandon();
  }
}

Result<int> FleetRelay::Listen(const SocketAddress& address) {
  return this->server.Listen(address);
}

void FleetRelay::SetConfiguration(FleetConfigurationPtr changed) {
  // A store that was partitioned may return an old version. Going back to it
  // would revert changes that callers have seen in force.
  if (this->configuration && changed->version <= this->configuration->version) {
    return;
  }
  this->configuration = std::move(changed);
  this->server.SetLimits(this->configuration->limits);
  if (this->limit_gate != nullptr) {
    this->limit_gate->SetLimits(this->configuration->account_limits);
  }
  std::set<AccountId> accounts;
  for (const auto& [key, account] : this->configuration->accounts_by_key) {
    accounts.insert(account.id);
  }
  this->admission.SetAccounts(accounts);
  this->UpdateServiceParameters();
  for (const auto& [id, service] : this->configuration->services) {
    for (const std::string_view name :
         {"retries_granted_total", "retries_refused_total",
          "retries_returned_total", "overload_refusals_total"}) {
      this->metrics->Add(name, 0, {{"service", id.Text()}});
    }
    this->metrics->Add("service_cut_offs_total", 0, {{"service", id.Text()}});
    this->metrics->Set("service_cut_off", this->reach.IsCutOff(id) ? 1 : 0,
                       {{"service", id.Text()}});
  }
  LogInfo(
      kPart, "Configuration in force.",
      {{"version", std::to_string(this->configuration->version)},
       {"routes", std::to_string(this->configuration->routes.size())},
       {"keys", std::to_string(this->configuration->accounts_by_key.size())}});
}

void FleetRelay::ConfirmEndpoints(Instant asked_at) {
  this->endpoints_asked_at = std::max(this->endpoints_asked_at, asked_at);
  this->runs.OnListed(asked_at, this->endpoints);
  for (auto* next : {&this->next_run_check, &this->next_doubt_check}) {
    std::erase_if(*next, [this](const auto& entry) {
      return !this->endpoints_by_address.contains(entry.first);
    });
  }
}

bool FleetRelay::IsSureRun(const FleetEndpoint& endpoint) const {
  return this->runs.IsSure(endpoint.address, endpoint.run);
}

bool FleetRelay::HasSureConnection(const FleetEndpoint& endpoint) const {
  const auto connection = this->pool.NextIdle(endpoint.address);
  return connection &&
         this->runs.IsSure(endpoint.address, *connection, endpoint.run);
}

bool FleetRelay::IsChecked(const SocketAddress& address) const {
  return std::ranges::any_of(this->run_checks, [&](const auto& entry) {
    return entry.second.address == address;
  });
}

bool FleetRelay::CheckRun(const FleetEndpoint& endpoint) {
  const SocketAddress& address = endpoint.address;
  const Instant now = this->clock->Now();
  const auto next = this->next_run_check.find(address);
  EndpointRates& rates = this->placement.Rates();
  if ((next != this->next_run_check.end() && now < next->second) ||
      !rates.MaySend(now, endpoint.run.id)) {
    return false;
  }
  rates.OnSent(now, endpoint.run.id);
  const int64_t number = ++this->last_run_check;
  RunCheck& check = this->run_checks[number];
  check.address = address;
  check.began = now;
  check.timer = Timer::After(kRunCheckTimeout, [this, number] {
    this->run_checks.at(number).call->Cancel();
    this->OnRunChecked(number, HttpEnd::kTimedOut);
  });
  check.call = this->pool.Send(
      {.address = address, .head = this->codec->RunCall(address)},
      {.on_head = [this, &check, run = endpoint.run](
                      const Http1Head& head) -> std::optional<uint64_t> {
         const EndpointAnswer answer =
             this->codec->ReadAnswer(head.status, head.headers);
         if (answer.id) {
           return {};  // to a request that the connection carried before
         }
         check.status = head.status;
         if (answer.stated_rate) {
           this->RecordRate(
               {.endpoint = run, .per_second = answer.stated_rate});
         }
         return kMaxShortAnswerBytes;
       },
       .on_bytes = [&check](std::string_view bytes) { check.body += bytes; },
       .on_end = [this,
                  number](HttpEnd end) { this->OnRunChecked(number, end); }});
  return true;
}

// Streams avoid an endpoint whose run is in doubt, so no request would find out
// whether it is the listed one.
void FleetRelay::CheckDoubtedRuns() {
  for (const SocketAddress& address : this->runs.Doubted()) {
    const auto id = this->endpoints_by_address.find(address);
    if (id != this->endpoints_by_address.end()) {
      this->CheckRunIfDue(this->endpoints.at(id->second));
    }
  }
}

void FleetRelay::CheckRunIfDue(const FleetEndpoint& endpoint) {
  const Instant now = this->clock->Now();
  Instant& next = this->next_doubt_check[endpoint.address];
  if (now >= next) {
    next = now + kDoubtCheckPeriod;
    this->CheckRun(endpoint);
  }
}

// Finds out whether the endpoints that requests are refused for have crashed,
// or only their connections broke. No request would find out.
void FleetRelay::CheckBlockingCrashes() {
  for (const EndpointRun& run :
       this->suspects.BlockingCrashes(this->clock->Now())) {
    const auto found = this->endpoints.find(run.id);
    if (found != this->endpoints.end() && found->second.run == run) {
      this->CheckRunIfDue(found->second);
    }
  }
}

void FleetRelay::OnRunChecked(int64_t number, HttpEnd end) {
  const RunCheck check = std::move(this->run_checks.at(number));
  this->run_checks.erase(number);
  const bool answered =
      ClassifyAnswer({.end = end}) != Completeness::kTruncated &&
      check.status == 200;
  const auto started = answered ? this->codec->ReadRunStart(check.body)
                                : Fail(ErrorKind::kEndpointFailed, "no answer");
  const auto connection = check.call->Connection();
  if (started && connection) {
    this->runs.OnStated(check.address, *connection, *started);
  }
  const Instant now = this->clock->Now();
  const auto id = this->endpoints_by_address.find(check.address);
  if (started && id != this->endpoints_by_address.end() &&
      this->suspects.OnAlive(now, {.id = id->second, .started = *started},
                             check.began)) {
    LogInfo(kPart, "Endpoint has not crashed: its process goes on.",
            {{"endpoint", id->second.Text()}});
    this->OnSuspectsChanged();
  }
  if (!started || this->runs.InDoubt(now, check.address)) {
    this->next_run_check[check.address] = now + kRunCheckPeriod;
  }
  const auto waiting = this->requests;
  for (const auto& request : waiting) {
    request->OnRunChecked(check.address);
  }
}

void FleetRelay::SetEndpoints(const FleetEndpoints& listed,
                              std::optional<Instant> asked_at) {
  for (const auto& [id, endpoint] : this->endpoints) {
    const auto found = listed.find(id);
    if (found == listed.end() || found->second.run != endpoint.run) {
      this->pool.CloseIdle(endpoint.address);
      LogInfo(kPart, "Endpoint gone.", {{"endpoint", id.Text()}});
    } else if (found->second.leaving && !endpoint.leaving) {
      LogInfo(kPart, "Endpoint is leaving.", {{"endpoint", id.Text()}});
    }
  }
  this->endpoints = listed;
  this->endpoints_refreshed = true;
  this->ReportSoftware();
  this->placement.SetEndpoints(listed);
  this->cache_feed.SetEndpoints(listed);
  this->reach.SetEndpoints(this->clock->Now(), listed);
  this->endpoints_by_address.clear();
  for (const auto& [id, endpoint] : listed) {
    this->endpoints_by_address[endpoint.address] = id;
  }
  this->ConfirmEndpoints(asked_at.value_or(this->clock->Now()));
}

// Logs the software versions of each service when they have changed, and
// exports the number of listed endpoints of each.
void FleetRelay::ReportSoftware() {
  std::map<ServiceId, SoftwareCounts> listed;
  for (const auto& [service, before] : this->software) {
    for (const auto& [version, count] : before) {
      listed[service][version] = 0;
    }
  }
  for (const auto& [id, endpoint] : this->endpoints) {
    ++listed[endpoint.service][endpoint.software];
  }
  for (const auto& [service, versions] : listed) {
    for (const auto& [version, count] : versions) {
      this->metrics->Set(
          "endpoints_listed", static_cast<double>(count),
          {{"service", service.Text()}, {"software", version.Text()}});
    }
    const std::string names = NamesOfListed(versions);
    if (names != NamesOfListed(this->software[service])) {
      LogInfo(kPart, "Software versions of a service changed.",
              {{"service", service.Text()}, {"software", names}});
    }
  }
  this->software = std::move(listed);
}

int64_t FleetRelay::ListedEndpoints(const StreamOrigin& origin) const {
  return std::ranges::count_if(this->endpoints, [&origin](const auto& entry) {
    return entry.second.Origin() == origin && !entry.second.leaving;
  });
}

void FleetRelay::OnAnswerCutOff(const AnswerFault& fault) {
  this->metrics->Add("endpoint_answers_cut_off_total", 1,
                     {{"reason", std::string(fault.reason)}});
  this->LogFault("Endpoint's answer cut off.", fault);
}

void FleetRelay::OnAnswerBroken(const AnswerFault& fault) {
  this->metrics->Add("endpoint_answers_broken_total", 1,
                     {{"reason", std::string(fault.reason)}});
  this->LogFault("Endpoint's answer is broken.", fault);
}

void FleetRelay::LogFault(std::string_view sentence, const AnswerFault& fault) {
  const auto id = this->endpoints_by_address.find(fault.address);
  this->Log(LogLevel::kWarning, fault.request, sentence,
            {{"endpoint",
              id == this->endpoints_by_address.end() ? "" : id->second.Text()},
             {"address",
              fault.address.host + ":" + std::to_string(fault.address.port)},
             {"reason", std::string(fault.reason)},
             {"parsed_bytes", std::to_string(fault.parsed_bytes)},
             {"unparsed_bytes", std::to_string(fault.unparsed_bytes)}});
}

void FleetRelay::ObservePool() {
  using Report = std::function<void(Instant now, const EndpointId&)>;
  const auto report = [this](const SocketAddress& address, const Report& call) {
    const auto found = this->endpoints_by_address.find(address);
    if (found != this->endpoints_by_address.end()) {
      call(this->clock->Now(), found->second);
    }
  };
  const auto report_and_update = [this, report](const SocketAddress& address,
                                                const Report& call) {
    report(address, call);
    if (!this->early_reach_timer) {
      this->early_reach_timer =
          Timer::After(Duration{}, [this] { this->UpdateReach(); });
    }
  };
  EndpointReach& reach = this->reach;
  this->pool.SetObserver(
      {.on_connected =
           [&reach, report_and_update](const SocketAddress& address) {
             report_and_update(address, [&](Instant now, const EndpointId& id) {
               reach.OnConnected(now, id);
             });
           },
       .on_connect_failed =
           [this, &reach, report_and_update](const SocketAddress& address,
                                             Instant started) {
             this->runs.OnRefused(address);
             report_and_update(address, [&](Instant now, const EndpointId& id) {
               reach.OnConnectFailed(now, id, started);
             });
           },
       .on_heard =
           [&reach, report](const SocketAddress& address) {
             report(address, [&](Instant now, const EndpointId& id) {
               reach.OnHeard(now, id);
             });
           },
       .on_lost =
           [&reach, report_and_update](const SocketAddress& address) {
             report_and_update(address, [&](Instant now, const EndpointId& id) {
               reach.OnLost(now, id);
             });
           },
       .on_opened =
           [this](const SocketAddress& address, ConnectionId connection) {
             this->runs.OnOpened(address, connection);
           },
       .on_closed =
           [this](const SocketAddress& address, ConnectionId connection,
                  bool by_peer) {
             this->runs.OnClosed(address, connection, by_peer);
           },
       .on_cut_off =
           [this](const AnswerFault& fault) { this->OnAnswerCutOff(fault); },
       .on_broken =
           [this](const AnswerFault& fault) { this->OnAnswerBroken(fault); }});
  this->reach_timer =
      Timer::Every(kReachPeriod, [this] { this->UpdateReach(); });
}

void FleetRelay::UpdateReach() {
  this->early_reach_timer.reset();
  for (const EndpointId& id : this->reach.TakeProbes(this->clock->Now())) {
    this->pool.Probe(this->endpoints.at(id).address);
  }
  this->CheckDoubtedRuns();
  this->CheckBlockingCrashes();
  const std::vector<ReachChange> changes = this->reach.TakeChanges();
  for (const ReachChange& change : changes) {
    this->OnReachChange(change);
  }
  this->DecidePendingCrashes();
  const bool any_cut_off = std::ranges::any_of(changes, [](const auto& one) {
    return one.from == ReachState::kCutOff || one.to == ReachState::kCutOff;
  });
  if (any_cut_off && this->hooks.on_reach) {
    this->hooks.on_reach();
  }
  if (!changes.empty()) {
    const auto waiting = this->requests;
    for (const auto& request : waiting) {
      request->OnReachChanged();
    }
  }
}

void FleetRelay::OnReachChange(const ReachChange& change) {
  const LogLevel level =
      change.to == ReachState::kCutOff ? LogLevel::kWarning : LogLevel::kInfo;
  const std::array<LogField, 8> fields{
      {{"service", change.service.Text()},
       {"from", std::string(NameOf(change.from))},
       {"to", std::string(NameOf(change.to))},
       {"why", std::string(change.reason)},
       {"endpoints", std::to_string(change.listed)},
       {"connects_failed", std::to_string(change.failed)},
       {"since_ms", MillisecondsText(change.since)},
       {"unheard_ms", MillisecondsText(change.unheard)}}};
  LogLineWith(level, kPart, "Reach of a service's endpoints changed.", fields);
  const bool cut_off = change.to == ReachState::kCutOff;
  if (!cut_off && change.from != ReachState::kCutOff) {
    return;
  }
  this->metrics->Set("service_cut_off", cut_off ? 1 : 0,
                     {{"service", change.service.Text()}});
  this->placement.ForgetFailures(change.service);
  if (cut_off) {
    this->metrics->Add("service_cut_offs_total", 1,
                       {{"service", change.service.Text()}});
    this->WithdrawCrashes(change.service);
  }
}

// Whether connections to another endpoint were lost at the same time, or the
// connection was given up after a silence. A request that crashes one endpoint
// after the other loses them one by one.
bool FleetRelay::IsCommonLoss(const PendingCrash& crash) const {
  return crash.timed_out ||
         this->reach.LostOtherSince(crash.endpoint.run.id,
                                    crash.time - kCommonLossWindow);
}

// Forgets crashes of endpoints that only this host has lost.
void FleetRelay::WithdrawCrashes(const ServiceId& service) {
  std::vector<CrashedEndpoint> lost;
  std::erase_if(this->pending_crashes, [&](const PendingCrash& crash) {
    if (crash.endpoint.service != service) {
      return false;
    }
    if (this->IsCommonLoss(crash)) {
      lost.push_back(
          {.endpoint = crash.endpoint.run, .zone = crash.endpoint.zone});
    }
    return true;
  });
  if (!lost.empty()) {
    this->suspects.Withdraw(this->clock->Now(), lost);
    this->OnSuspectsChanged();
  }
}

// A crash is the endpoint's own if another endpoint of its service is reached
// afterwards, or if it stays the only loss.
void FleetRelay::DecidePendingCrashes() {
  const Instant now = this->clock->Now();
  const size_t decided =
      std::erase_if(this->pending_crashes, [&](const PendingCrash& crash) {
        const EndpointId& id = crash.endpoint.run.id;
        const Duration age = now - crash.time;
        return age >= kCrashDecisionTime ||
               this->reach.ReachedOtherSince(id, crash.time) ||
               (age >= kCommonLossWindow && !this->IsCommonLoss(crash));
      });
  if (decided > 0) {
    this->OnSuspectsChanged();
  }
}

void FleetRelay::SetLimits(const FleetRetryBudgetOptions& retries,
                           Duration proof_limit) {
  this->budget.SetOptions(this->clock->Now(), retries);
  this->settings.key_proof_limit = proof_limit;
}

// The number never decreases. The list becomes shorter when hosts leave, but
// also when their records expire during a store outage while they continue to
// serve; the other hosts must not take over their connections then.
void FleetRelay::SetHosts(int64_t listed) {
  if (listed <= this->hosts) {
    return;
  }
  this->hosts = listed;
  this->UpdateServiceParameters();
}

// An endpoint resets connections beyond its maximum, and a request that was
// reset may have run. So each host uses only its share of the maximum.
void FleetRelay::UpdateServiceParameters() {
  if (!this->configuration || this->hosts == 0) {
    return;
  }
  for (const auto& [id, service] : this->configuration->services) {
    ServiceParameters share;
    if (service.max_connections > 0) {
      share.max_concurrent_requests = std::max<int64_t>(
          1, static_cast<int64_t>(static_cast<double>(service.max_connections) *
                                  this->settings.request_connection_share /
                                  static_cast<double>(this->hosts)));
    }
    if (service.engine && service.engine->cache_tokens > 0) {
      share.cache_tokens = service.engine->cache_tokens;
    }
    if (service.engine) {
      share.transfer_tokens_per_second =
          service.engine->transfer_tokens_per_second;
    }
    share.pause_target = this->configuration->ShortestGapTarget(id);
    this->placement.SetServiceParameters(id, share);
  }
}

void FleetRelay::ConfirmConfiguration(Instant at) {
  this->confirmed_at = std::max(this->confirmed_at, at);
}

void FleetRelay::RequireRefresh() {
  this->refresh_required_at = this->clock->Now();
  this->endpoints_refreshed = false;
}

bool FleetRelay::Refreshed() const {
  return this->configuration != nullptr &&
         this->confirmed_at >= this->refresh_required_at &&
         this->endpoints_refreshed;
}

bool FleetRelay::Ready() const {
  return this->Refreshed() && !this->endpoints.empty() && this->streams_begin;
}

std::optional<Duration> FleetRelay::ProofAge() const {
  return this->confirmed_at == Instant{}
             ? std::nullopt
             : std::optional(this->clock->Now() - this->confirmed_at);
}

bool FleetRelay::KeysProven() const {
  const auto age = this->ProofAge();
  return age && *age < this->settings.key_proof_limit;
}

void FleetRelay::RecordPrefill(const ServiceId& service, int64_t tokens) {
  this->prefill_rates.try_emplace(service, kPrefillRateWindow)
      .first->second.Add(this->clock->Now(), static_cast<double>(tokens));
}

std::map<ServiceId, double> FleetRelay::PrefillPerSecond() const {
  std::map<ServiceId, double> rates;
  for (const auto& [service, rate] : this->prefill_rates) {
    rates[service] = rate.PerSecond(this->clock->Now());
  }
  return rates;
}

void FleetRelay::Serve(const CallerExchangePtr& caller,
                       const RequestOrigin& origin) {
  const auto request = std::make_shared<RelayedRequest>(this, caller, origin);
  this->requests.insert(request);
  request->Begin();
}

void FleetRelay::StartDrain(const StopSchedule& schedule) {
  this->stop = schedule;
  this->server.StartDrain();
  for (const auto& request : this->requests) {
    request->OnStop(schedule);
  }
}

void FleetRelay::LogUnfinished() {
  for (const auto& request : this->requests) {
    request->LogUnfinished();
  }
}

void FleetRelay::RecordCrash(const FleetEndpoint& endpoint,
                             const LostRun& run) {
  const Instant now = this->clock->Now();
  const EndpointId& id = endpoint.run.id;
  const auto silent = this->reach.SilentFor(now, id);
  const bool timed_out = silent && *silent >= this->settings.reach.silence;
  if (timed_out && this->reach.IsCutOff(endpoint.service)) {
    return;  // this host's own loss
  }
  if (this->reach.FailedAt(now, id) && this->reach.Siblings(id) > 1) {
    this->pending_crashes.push_back(
        {.endpoint = endpoint, .time = now, .timed_out = timed_out});
    this->crash_timer = Timer::After(kCommonLossWindow,
                                     [this] { this->DecidePendingCrashes(); });
  }
  this->suspects.OnCrash(now, {.endpoint = endpoint.run, .zone = endpoint.zone},
                         {run});
  this->OnSuspectsChanged();
}

void FleetRelay::RecordBegun(const RequestTraits& request, Instant sent) {
  if (this->suspects.OnBegun(this->clock->Now(), request, sent)) {
    this->OnSuspectsChanged();
  }
}

void FleetRelay::RecordAnswer(const RequestTraits& request, Instant sent) {
  if (this->suspects.OnAnswered(this->clock->Now(), request, sent)) {
    this->OnSuspectsChanged();
  }
}

void FleetRelay::MergeSuspects(const SuspectsUpdate& update) {
  this->suspects.OnUpdate(this->clock->Now(), update);
  this->OnSuspectsChanged();
}

int64_t FleetRelay::CountBlocked(bool requests) const {
  return std::ranges::count_if(
      this->suspects.Blocked(), [&](const CrashCause& cause) {
        return (cause.kind == CauseKind::kRequest) == requests &&
               this->suspects.FindBlock(this->clock->Now(), cause);
      });
}

void FleetRelay::RecordLoad(const FleetEndpoint& endpoint,
                            const EndpointAnswer& answer) {
  if (!answer.load && !answer.load_unreadable) {
    return;
  }
  EndpointLoads& loads = this->placement.Loads();
  const bool contended = this->placement.IsContended(endpoint.service);
  const bool listed = this->placement.IsListed(endpoint.run);
  if (answer.load &&
      loads.OnStated(this->clock->Now(), endpoint.run, *answer.load)) {
    this->metrics->Add("stated_loads_total", 1);
  } else if (listed) {
    this->metrics->Add("stated_loads_ignored_total", 1);
    const int64_t ignored = ++this->ignored_loads[endpoint.run.id];
    if (std::has_single_bit(static_cast<uint64_t>(ignored))) {
      LogWarning(kPart, "Stated load ignored.",
                 {{"endpoint", endpoint.run.id.Text()},
                  {"why", answer.load ? "impossible values" : "unreadable"},
                  {"ignored", std::to_string(ignored)}});
    }
  }
  if (!contended && this->placement.IsContended(endpoint.service)) {
    LogInfo(kPart, "Service is contended: its endpoints state their pace.",
            {{"service", endpoint.service.Text()}});
  }
}

void FleetRelay::LogContradictedPaces() {
  for (const ContradictedPace& pace :
       this->placement.Loads().TakeContradicted()) {
    this->metrics->Add("stated_paces_contradicted_total", 1);
    LogWarning(kPart, "Stated pace no longer used: measurements differ.",
               {{"endpoint", pace.endpoint.id.Text()},
                {"service", pace.service.Text()},
                {"stated_pace", std::to_string(pace.stated)},
                {"stated_ms", MillisecondsText(pace.stated_age)},
                {"expected_ratio", std::to_string(pace.expected)},
                {"measured_ratio", std::to_string(pace.measured)}});
  }
}

void FleetRelay::RecordRate(const RateAnswer& answer) {
  const Instant now = this->clock->Now();
  EndpointRates& rates = this->placement.Rates();
  if (rates.OnAnswer(now, answer)) {
    this->LogRate(answer.endpoint, "answer");
  }
  const EndpointRatesUpdate news = rates.TakeUpdate(now);
  if (!news.Empty() && this->hooks.on_rates) {
    this->hooks.on_rates(news);
  }
}

void FleetRelay::MergeRates(const HostId& from,
                            const EndpointRatesUpdate& update) {
  const Instant now = this->clock->Now();
  for (const EndpointRun& endpoint :
       this->placement.Rates().OnUpdate(now, update)) {
    this->LogRate(endpoint, from.Text());
  }
}

void FleetRelay::LogRate(const EndpointRun& endpoint,
                         std::string_view source) const {
  const auto share =
      this->placement.Rates().Find(this->clock->Now(), endpoint.id);
  if (!share) {
    LogInfo(
        kPart, "Endpoint no longer states a rate.",
        {{"endpoint", endpoint.id.Text()}, {"source", std::string(source)}});
    return;
  }
  LogInfo(kPart, "Endpoint states a rate.",
          {{"endpoint", endpoint.id.Text()},
           {"per_second", std::to_string(share->per_second)},
           {"own_per_second", std::to_string(share->own_per_second)},
           {"holders", std::to_string(share->holders)},
           {"age_ms", MillisecondsText(share->age)},
           {"source", std::string(source)}});
}

void FleetRelay::LogCause(std::string_view sentence,
                          const CrashCause& cause) const {
  const bool request = cause.kind == CauseKind::kRequest;
  LogWarning(
      kPart, sentence,
      {{request ? "fingerprint" : "part_hash", FingerprintText(cause.hash)},
       {"account_hash",
        cause.account == 0 ? "" : FingerprintText(cause.account)},
       {"crashes",
        std::to_string(this->suspects.CrashesOf(this->clock->Now(), cause))}});
}

void FleetRelay::OnSuspectsChanged() {
  const std::set<CrashCause> blocked = this->suspects.Blocked();
  for (const CrashCause& cause : blocked) {
    if (!this->known_blocked.contains(cause)) {
      this->LogCause(cause.kind == CauseKind::kRequest
                         ? "Request blocked: endpoints crash."
                         : "Prompt part blocked: endpoints crash.",
                     cause);
    }
  }
  for (const CrashCause& cause : this->known_blocked) {
    if (!blocked.contains(cause)) {
      this->LogCause(cause.kind == CauseKind::kRequest
                         ? "Request no longer blocked."
                         : "Prompt part no longer blocked.",
                     cause);
    }
  }
  if (this->known_blocked != blocked) {
    this->known_blocked = blocked;
    if (this->hooks.on_blocked) {
      this->hooks.on_blocked();
    }
  }
  if (!this->suspects_timer) {
    this->suspects_timer =
        Timer::After(Duration{}, [this] { this->EndBlockedRequests(); });
  }
}

void FleetRelay::EndBlockedRequests() {
  this->suspects_timer.reset();
  const auto waiting = this->requests;
  for (const auto& request : waiting) {
    request->OnSuspectsChanged();
  }
  if (!this->pending_crashes.empty()) {
    return;
  }
  const SuspectsUpdate news = this->suspects.TakeUpdate(this->clock->Now());
  this->metrics->Add("endpoint_crashes_total",
                     static_cast<double>(news.crashes.size()));
  for (const CrashReport& report : news.crashes) {
    LogWarning(
        kPart, "Endpoint crashed.",
        {{"endpoint", report.crash.endpoint.id.Text()},
         {"zone", report.crash.zone.Text()},
         {"requests", std::to_string(report.runs.size())},
         {"waiting", std::to_string(std::ranges::count(
                         report.runs, false, &CrashReport::Run::answering))}});
  }
  if (!news.Empty() && this->hooks.on_suspects) {
    this->hooks.on_suspects(news);
  }
}

void FleetRelay::LogBlocked(const RequestId& request,
                            uint64_t fingerprint,
                            const std::string& part,
                            const RequestBlock& block) {
  std::string endpoints;
  for (const EndpointRun& run : block.crashed) {
    endpoints += (endpoints.empty() ? "" : " ") + run.id.Text();
  }
  this->metrics->Add("crashing_requests_refused_total", 1);
  this->Log(
      LogLevel::kWarning, request, "Refused: endpoints crash.",
      {{"fingerprint", FingerprintText(fingerprint)},
       {"prompt_part", part},
       {"part_hash", part.empty() ? "" : FingerprintText(block.cause.hash)},
       {"crashes", std::to_string(block.crashed.size())},
       {"endpoints", endpoints},
       {"newest_ms", MillisecondsText(block.newest_age)},
       {"retry_after_ms", MillisecondsText(block.remaining)}});
}

std::string FleetRelay::SinceStopText() const {
  return this->stop
             ? MillisecondsText(this->clock->Now() - this->stop->signalled)
             : "";
}

void FleetRelay::Log(LogLevel level,
                     const RequestId& request,
                     std::string_view sentence,
                     std::initializer_list<LogField> fields) {
  if (!this->log_limiter.Allow(this->clock->Now())) {
    this->metrics->Add("log_lines_dropped_total", 1);
    return;
  }
  std::vector<LogField> all{{"request", request.Text()}};
  all.insert(all.end(), fields.begin(), fields.end());
  LogLineWith(level, kPart, sentence, all);
}

}  // namespace hickorystand
