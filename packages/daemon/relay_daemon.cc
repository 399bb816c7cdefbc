#include "daemon/relay_daemon.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decisions/subscription_plan.h"
#include "kernel/log.h"
#include "kernel/registry.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "host";

// Interval between copies of this host's usage counts to other schedulers. The
// counts of a killed host since its last copy are lost: with windows of 5 s, at
// most a tenth of a window on one host of several.
constexpr Duration kUsagePeriod = std::chrono::milliseconds(500);

// Smallest change of an estimated rate that is logged, as a natural logarithm.
constexpr double kLoggedPaceChange = 0.22;

// Number of hosts queried at a time for proof of the configuration.
constexpr size_t kPeersQueried = 2;

// Number of hosts, the first by id, that report a leaving endpoint to all other
// schedulers. There are several in case one of them is partitioned.
constexpr size_t kLeavingReporters = 3;

// Interval at which a scheduler checks whether its broadcast state has changed.
constexpr Duration kStatusPeriod = std::chrono::milliseconds(250);

// A host reports itself busy when its average timer delay, in seconds, exceeds
// the first value, until it falls below the second.
constexpr double kBusyLag = 0.08;
constexpr double kNoLongerBusyLag = 0.03;
constexpr double kLagWeight = 0.3;  // of the newest measurement
constexpr double kMillisecondsPerSecond = 1000;

constexpr Duration kDrainCheck = std::chrono::milliseconds(50);

// Time after the end of the stop schedule to transmit the final answers that it
// causes.
constexpr Duration kFinalAnswerTime = std::chrono::milliseconds(100);

// Creates the plug-in with the given name.
template <typename Interface, typename... Arguments>
Result<std::unique_ptr<Interface>> MakePlugin(const std::string& name,
                                              Arguments&&... arguments) {
  const auto* factory = Registry<Interface>::Find(name);
  if (factory == nullptr) {
    return Fail(
        ErrorKind::kBadSetting,
        std::string("no ") + Interface::kPluginKind + " is named " + name);
  }
  return (*factory)(std::forward<Arguments>(arguments)...);
}

UsageCopyMessage MessageOf(const WindowCopy& copy) {
  return {.host = copy.source.host,
          .incarnation = copy.source.incarnation,
          .value = EncodeWindowCopy(copy)};
}

// Moves a plug-in out of its result, or returns false and sets the error.
template <typename Interface>
bool Take(Result<std::unique_ptr<Interface>> made,
          std::unique_ptr<Interface>& to,
          Error& error) {
  if (!made) {
    error = made.error();
    return false;
  }
  to = std::move(*made);
  return true;
}

}  // namespace

RelayDaemon::RelayDaemon(RelayHostSettings settings,
                         const Clock& clock,
                         std::function<void()> stopped)
    : settings(std::move(settings)),
      clock(&clock),
      stopped(std::move(stopped)),
      resources(this->settings.held, clock, this->metrics),
      ready_server(
          [this](const CallerExchangePtr& exchange) {
            this->AnswerReady(exchange);
          },
          &this->resources),
      metrics_server(
          [this](const CallerExchangePtr& exchange) {
            this->AnswerMetrics(exchange);
          },
          &this->resources) {}

RelayDaemon::~RelayDaemon() = default;

Result<int> RelayDaemon::Start() {
  const std::string& adapter = this->settings.adapter;
  std::unique_ptr<DeploymentTerms> terms;
  Error error;
  if (!Take(MakePlugin<MessageCodec>(adapter), this->codec, error) ||
      !Take(MakePlugin<FleetRecords>(adapter), this->records, error) ||
      !Take(MakePlugin<DeploymentTerms>(adapter), terms, error) ||
      !Take(MakePlugin<KeyValueStore>(
                adapter,
                KeyValueStoreOptions{.addresses = {this->settings.store},
                                     .timeout = this->settings.store_timeout,
                                     .metrics = &this->metrics}),
            this->store, error) ||
      !Take(MakePlugin<PlatformDuties>(adapter, this->settings.duties),
            this->platform_duties, error)) {
    return tl::unexpected(error);
  }
  ContentionMode& contention = this->settings.relay.placement.contention;
  if (contention == ContentionMode::kAuto &&
      terms->CallersCompete(this->settings.terms)) {
    contention = ContentionMode::kOn;
    LogInfo(kPart, "All services are contended: callers compete for room.", {});
  }
  this->settings.relay.reach_seed =
      std::hash<std::string>()(this->settings.host.Text());
  this->relay = std::make_unique<FleetRelay>(
      this->settings.relay, *this->clock, *this->codec, this->metrics,
      RelayHooks{.on_begun =
                     [this](const AccountId& account) {
                       this->duties->Usage().OnRequestStarted(
                           this->duties->UnixMilliseconds(), account);
                     },
                 .on_suspects =
                     [this](const SuspectsUpdate& news) {
                       this->peers->BroadcastToSchedulers(news);
                     },
                 .on_blocked = [this] { this->blocks->OnBlocked(); },
                 .on_rates =
                     [this](const EndpointRatesUpdate& news) {
                       this->peers->BroadcastToSchedulers(news);
                     },
                 .on_reach = [this] { this->OnReach(); },
                 .hand_over =
                     [this](const CallerExchangePtr& caller,
                            const HandedOver& request) {
                       return this->forwarder->TakeOver(caller, request);
                     },
                 .find_stored_origin =
                     [this](const Route& route,
                            const std::optional<RequestId>& first_attempt,
                            OnStoredOrigin found) {
                       this->FindStoredOrigin(route, first_attempt,
                                              std::move(found));
                     }},
      &this->resources);
  this->MakeSource();
  this->MakeDuties();
  this->MakeForwarding();
  this->MakeLimits();
  this->MakeStreamTracker();
  this->MakeServedVersions();
  this->MakeStreamRecords();
  this->MakeBlockRecord();
  this->MakePeers();
  this->relay->SetCallerHandler(
      [this](const CallerExchangePtr& caller) { this->OnCaller(caller); });
  this->relay->Caches().SetHandlers(
      {.subscribes =
           [this](const FleetEndpoint& engine) {
             return !this->subscribers.empty() &&
                    SubscriberOf(engine, this->subscribers).id ==
                        this->settings.host;
           },
       .on_update =
           [this](const CacheUpdate& update) {
             this->peers->BroadcastToSchedulers(update);
           }});
  for (const auto& [server, address] :
       {std::pair(&this->ready_server, &this->settings.ready),
        std::pair(&this->metrics_server, &this->settings.metrics)}) {
    if (const auto opened = server->Listen(*address); !opened) {
      return opened;
    }
  }
  if (const auto opened = this->relay->Listen(this->settings.callers);
      !opened) {
    return opened;
  }
  this->usage_timer = Timer::Every(kUsagePeriod, [this] {
    this->BroadcastUsage();
    this->LogPace();
    this->relay->LogContradictedPaces();
  });
  this->peers->Start();
  return 0;
}

void RelayDaemon::MakeSource() {
  this->source = std::make_unique<FleetSource>(
      this->settings.source, *this->clock, *this->store, *this->records,
      FleetSourceHandlers{
          .on_configuration =
              [this](FleetConfigurationPtr read) {
                this->forwarder->NoteAppliedVersion(read->version);
                this->versions->SetConfiguration(*read);
                this->relay->SetConfiguration(std::move(read));
                this->BroadcastStatus();
              },
          .on_endpoints =
              [this](const FleetEndpoints& listed) {
                this->relay->SetEndpoints(listed,
                                          this->relay->EndpointsAskedAt());
                this->versions->SetEndpoints(listed);
              },
          .on_list_read =
              [this](Instant asked_at) {
                this->relay->ConfirmEndpoints(asked_at);
              },
          .on_freshness_proof =
              [this](Instant at) { this->relay->ConfirmConfiguration(at); },
          .ask_peers =
              [this](const FreshnessQuestion& question) {
                this->AskPeers(question);
              },
          .on_leaving =
              [this](const EndpointRun& run) { this->BroadcastLeaving(run); }});
}

void RelayDaemon::MakeForwarding() {
  const auto send = [this](const HostId& host, const PeerMessage& message) {
    return this->peers->Send(host, message);
  };
  this->forwarder = std::make_unique<RequestForwarder>(
      this->settings.zone, *this->clock, *this->codec, this->metrics, send);
  this->receiver = std::make_unique<ForwardReceiver>(
      send,
      [this](const CallerExchangePtr& caller, const RequestOrigin& origin) {
        this->relay->Serve(caller, origin);
      },
      this->metrics, &this->resources);
}

void RelayDaemon::MakeLimits() {
  this->limits = std::make_unique<LimitGate>(
      LimitGateOptions{.self = this->settings.host,
                       .limits = this->settings.limits},
      *this->clock, *this->store, this->metrics,
      LimitGateHandlers{
          .send =
              [this](const HostId& host, const LimitTokens& tokens) {
                return this->peers->Send(host, tokens);
              },
          .linked =
              [this] {
                std::vector<HostId> linked;
                std::ranges::transform(this->peers->LinkedSchedulers(),
                                       std::back_inserter(linked),
                                       &FleetHost::id);
                return linked;
              },
          .listed = [this] { return this->peers->Others(); },
          .cleans_up = [this] { return this->peers->Rank() == 0; }});
  this->relay->SetLimitGate(this->limits.get());
}

void RelayDaemon::MakeStreamTracker() {
  this->streams = std::make_unique<StreamTracker>(
      this->settings.host, this->settings.zone, *this->clock, this->metrics,
      [this](const HostId& host, const PeerMessage& message) {
        return this->peers->Send(host, message);
      });
  this->relay->SetStreamTracker(this->streams.get());
  this->forwarder->SetStreamTracker(this->streams.get());
}

void RelayDaemon::MakeServedVersions() {
  this->relay->SetBeginnable({});
  this->versions = std::make_unique<ServedVersionsStore>(
      *this->clock, *this->store,
      VersionLedgerOptions{.first_start = this->settings.first_start},
      ServedVersionsHandlers{
          .on_beginnable =
              [this](const std::set<StreamOrigin>& origins) {
                this->relay->SetBeginnable(origins);
              },
          .unix_ms = [this] { return this->duties->UnixMilliseconds(); },
          .cleans_up =
              [this] {
                return this->IsScheduler() && this->peers->Rank() == 0;
              }});
}

void RelayDaemon::MakeStreamRecords() {
  this->stream_records = std::make_unique<StreamRecordStore>(
      *this->clock, *this->store, this->metrics,
      StreamRecordHandlers{
          .services =
              [this] { return this->versions->ServicesOfSeveralVersions(); },
          .take =
              [this](const std::set<ServiceId>& services) {
                return this->streams->TakeUnstored(services);
              },
          .writers = [this] { return this->peers->Schedulers().size(); }});
}

void RelayDaemon::MakeBlockRecord() {
  this->blocks = std::make_unique<BlockRecordStore>(
      *this->clock, *this->store,
      BlockRecordHandlers{
          .known = [this] { return this->relay->BlockedCauses(); },
          .on_read =
              [this](const SuspectsUpdate& read) {
                this->relay->MergeSuspects(read);
              },
          .unix_ms = [this] { return this->duties->UnixMilliseconds(); },
          .misses_links = [this] { return this->MissesLinks(); },
          .rank = [this] { return this->peers->Rank(); }});
}

// Whether another listed scheduler isn't linked.
bool RelayDaemon::MissesLinks() const {
  const std::vector<FleetHost> linked = this->peers->LinkedSchedulers();
  return std::ranges::any_of(
      this->peers->Schedulers(), [&](const FleetHost& host) {
        return host.id != this->settings.host &&
               std::ranges::find(linked, host.id, &FleetHost::id) ==
                   linked.end();
      });
}

// Schedulers of earlier releases begin streams at versions that aren't in the
// record.
void RelayDaemon::FindOnlyOrigin(const Route& route,
                                 ServedVersionsStore::OnOrigin found) {
  const bool all_keep =
      std::ranges::all_of(this->scheduler_status, [](const auto& entry) {
        return entry.second.keeps_software || !entry.second.scheduler;
      });
  if (!all_keep) {
    found({});
    return;
  }
  this->versions->FindOnlyOrigin(route.Pattern(), ServicesOf(route),
                                 std::move(found));
}

// Finds the origin of a stream that no host knows: the only one that streams of
// the route have, or the one in the stream's record.
void RelayDaemon::FindStoredOrigin(
    const Route& route,
    const std::optional<RequestId>& first_attempt,
    OnStoredOrigin found) {
  const auto on_only = [this, first_attempt, found = std::move(found)](
                           const std::optional<StreamOrigin>& only) {
    if (only) {
      found(StoredOrigin{.progress = StreamProgress::BegunAt(*only),
                         .source = "only version"});
      return;
    }
    if (!first_attempt) {
      found({});
      return;
    }
    this->stream_records->Find(
        StreamKeyOf(*first_attempt),
        [found](const std::optional<StreamProgress>& recorded) {
          found(recorded ? std::optional(
                               StoredOrigin{.progress = *recorded,
                                            .source = "the store's record"})
                         : std::nullopt);
        });
  };
  this->FindOnlyOrigin(route, on_only);
}

// Tells the tracker which schedulers keep records of streams. One that is
// linked and keeps none is of an earlier release, which doesn't know the
// messages.
void RelayDaemon::UpdateStreamPeers() {
  std::vector<StreamPeer> known;
  for (const FleetHost& host : this->peers->Schedulers()) {
    const auto status = this->scheduler_status.find(host.id);
    const bool reported = status != this->scheduler_status.end();
    if (!reported || status->second.keeps_software) {
      known.push_back({.id = host.id,
                       .zone = host.zone,
                       .linked = reported,
                       .draining = reported && status->second.draining});
    }
  }
  this->streams->SetPeers(known);
}

void RelayDaemon::OnRole(FleetRole role) {
  LogInfo(
      kPart,
      role == FleetRole::kScheduler ? "Switched to the scheduler role."
                                    : "Switched to the ingress role.",
      {{"configuration", std::to_string(this->relay->ConfigurationVersion())},
       {"newest_known",
        std::to_string(this->forwarder->NewestConfigurationVersion())}});
  this->UpdateSchedulers();
  if (role == FleetRole::kScheduler) {
    if (this->duties_retired) {
      this->former_duties.push_back(std::move(this->duties));
      this->MakeDuties();
      this->duties_retired = false;
    }
    this->UpdateSubscribers();
    this->relay->RequireRefresh();
    this->versions->Start();
    this->stream_records->Start();
    this->blocks->Start();
    this->source->Start();
    this->limits->Start();
    this->duties->Start();
    this->status_due = this->clock->Now() + kStatusPeriod;
    this->status_timer = Timer::Every(kStatusPeriod, [this] {
      this->MeasureLag();
      this->BroadcastStatus();
    });
    this->BroadcastStatus();
    return;
  }
  this->status_timer.reset();
  this->BroadcastStatus();
  this->source->Stop();
  this->versions->Stop();
  this->stream_records->Stop();
  this->blocks->Stop();
  this->limits->Stop();
  this->duties->Retire();
  this->duties_retired = true;
  this->UpdateSubscribers();
  this->relay->RequireRefresh();
}

// A scheduler forwards requests until it is ready to serve, and while another
// scheduler reports a newer configuration version, because loading a large
// configuration can take more than a second on a slow host.
void RelayDaemon::OnCaller(const CallerExchangePtr& caller) {
  const bool up_to_date =
      this->relay->Ready() && this->relay->ConfigurationVersion() >=
                                  this->forwarder->NewestConfigurationVersion();
  const bool serves =
      this->IsScheduler() && (up_to_date || !this->forwarder->Ready());
  if (serves) {
    this->relay->Serve(caller, {});
  } else {
    this->forwarder->OnRequest(caller);
  }
}

SchedulerStatus RelayDaemon::CurrentStatus() const {
  const FleetConfigurationPtr& configuration = this->relay->Configuration();
  if (!configuration || !this->IsScheduler()) {
    return {.scheduler = this->IsScheduler(),
            .draining = this->stop.has_value(),
            .keeps_software = true};
  }
  const CallerLimits& limits = configuration->limits;
  return {.scheduler = true,
          .busy = this->busy,
          .ready = this->ReachesEndpoints() && !this->stop,
          .keys_proven = this->relay->KeysProven(),
          .configuration_version = configuration->version,
          .head_bytes = limits.head_bytes,
          .body_bytes = limits.body_bytes,
          .head_timeout = limits.head_timeout,
          .idle_timeout = limits.idle_timeout,
          .draining = this->stop.has_value(),
          .last_resort = this->ReachesEndpoints() && this->stop &&
                         this->clock->Now() < this->stop->accept_until,
          .cut_off = this->relay->CutOff(),
          .keeps_software = true};
}

// Whether this host can serve requests of any service itself.
bool RelayDaemon::ReachesEndpoints() const {
  return this->relay->Ready() && !this->relay->AllCutOff();
}

// The services of which this host reaches no endpoint have changed.
void RelayDaemon::OnReach() {
  if (!this->IsScheduler()) {
    return;
  }
  this->BroadcastStatus();
  this->UpdateSubscribers();
  this->UpdateSchedulers();
}

// The delay of timers indicates whether the main loop is overloaded.
void RelayDaemon::MeasureLag() {
  const Instant now = this->clock->Now();
  const double late = std::max(ToSeconds(now - this->status_due), 0.0);
  this->status_due = now + kStatusPeriod;
  this->lag += kLagWeight * (late - this->lag);
  const bool was_busy = this->busy;
  this->busy = this->lag > (was_busy ? kNoLongerBusyLag : kBusyLag);
  if (this->busy != was_busy) {
    LogInfo(kPart,
            this->busy ? "This host is busy." : "This host is no longer busy.",
            {{"lag_ms", std::to_string(this->lag * kMillisecondsPerSecond)}});
  }
}

void RelayDaemon::BroadcastStatus() {
  const SchedulerStatus news = this->CurrentStatus();
  if (news != this->sent_status) {
    this->sent_status = news;
    this->peers->Broadcast(news);
  }
}

void RelayDaemon::OnSchedulerNews(const HostId& from,
                                  const SchedulerStatus& news) {
  this->forwarder->OnSchedulerState(from, news);
  this->scheduler_status[from] = news;
  this->UpdateStreamPeers();
  if (this->IsScheduler()) {
    std::ranges::for_each(news.cut_off, [this](const ServiceId& service) {
      this->relay->SuspectReach(service);
    });
  }
  const bool without_endpoints = !news.ready && !news.cut_off.empty();
  const bool changed = without_endpoints
                           ? this->without_endpoints.insert(from).second
                           : this->without_endpoints.erase(from) > 0;
  if (changed) {
    this->UpdateSubscribers();
    this->UpdateSchedulers();
  }
  if (news.scheduler && !news.ready) {
    this->unready_schedulers.insert(from);
  } else {
    this->unready_schedulers.erase(from);
  }
  // Ingress hosts send all requests to the schedulers that have the newest
  // configuration, so the others must read it quickly.
  const FleetConfigurationPtr& own = this->relay->Configuration();
  if (this->IsScheduler() && own && news.configuration_version > own->version) {
    this->source->PollConfigurationNow(news.configuration_version);
  }
  if (news.configuration_version > 0 && !this->IsScheduler()) {
    this->relay->SetCallerLimits({.head_bytes = news.head_bytes,
                                  .body_bytes = news.body_bytes,
                                  .head_timeout = news.head_timeout,
                                  .idle_timeout = news.idle_timeout});
  }
}

// Divides the subscriptions to engines' cache events among the linked
// schedulers.
void RelayDaemon::UpdateSubscribers() {
  this->subscribers.clear();
  if (this->IsScheduler()) {
    this->subscribers = this->peers->LinkedSchedulers();
    this->subscribers.push_back(this->peers->Self());
    this->RemoveHostsWithoutEndpoints();
  }
  this->relay->ReassignCacheFeeds();
  this->limits->RefreshPeers();
}

// Hosts that reach no endpoint receive no cache events.
void RelayDaemon::RemoveHostsWithoutEndpoints() {
  std::erase_if(this->subscribers, [this](const FleetHost& host) {
    return host.id == this->settings.host
               ? this->relay->AllCutOff()
               : this->without_endpoints.contains(host.id);
  });
}

// A new link may replace one whose loss was not detected; messages in flight on
// the old link are lost.
void RelayDaemon::OnLinked(const HostId& host) {
  this->forwarder->OnLost(host);
  this->receiver->OnLost(host);
  this->unready_schedulers.erase(host);
  this->without_endpoints.erase(host);
  this->scheduler_status.erase(host);
  this->UpdateStreamPeers();
  if (this->IsScheduler() || this->stop) {
    this->peers->Send(host, this->CurrentStatus());
  }
}

void RelayDaemon::OnSchedulerLinked(const HostId& host) {
  this->SendAllUsage(host);
  this->peers->Send(
      host, PaceMessage{.services = this->relay->Placement().OwnPace(),
                        .speeds = this->relay->Placement().SpeedsSnapshot()});
  for (const CacheUpdate& update : this->relay->Caches().Snapshot()) {
    this->peers->Send(host, update);
  }
  if (const auto suspects = this->relay->SuspectsSnapshot();
      !suspects.Empty()) {
    this->peers->Send(host, suspects);
  }
  if (const auto rates = this->relay->RatesSnapshot(); !rates.Empty()) {
    this->peers->Send(host, rates);
  }
  this->UpdateSubscribers();
}

void RelayDaemon::OnGone(const HostId& host) {
  this->relay->Placement().RemovePeer(this->clock->Now(), host);
  this->relay->Admission().OnHostLost(host);
  this->peer_loads.erase(host);
  this->unready_schedulers.erase(host);
  this->without_endpoints.erase(host);
  this->scheduler_status.erase(host);
  this->UpdateStreamPeers();
  this->forwarder->OnLost(host);
  this->receiver->OnLost(host);
  this->UpdateSubscribers();
}

void RelayDaemon::MakeDuties() {
  this->duties = std::make_unique<FleetDuties>(
      FleetDutiesOptions{
          .host = this->settings.host,
          .incarnation = static_cast<uint64_t>(this->clock->WallMilliseconds()),
          .first_start =
              this->settings.first_start && this->former_duties.empty(),
          .lease = this->settings.lease_length,
          .window = this->settings.usage_window,
          .report_due = this->settings.usage_report_due},
      *this->clock, *this->store, *this->platform_duties,
      FleetDutiesInputs{
          .configuration = [this] { return this->relay->Configuration(); },
          .endpoints = [this]() -> const FleetEndpoints& {
            return this->relay->Endpoints();
          },
          .other_hosts = [this] { return this->peers->Others(); },
          .rank = [this] { return this->peers->Rank(); },
          .running =
              [this](const EndpointId& endpoint) {
                return this->relay->Placement().Running(endpoint);
              },
          .prefill_engines =
              [this](const ServiceId& service) {
                return this->FleetPrefill(service) /
                       this->relay->Placement()
                           .Pace(service)
                           .PrefillTokensPerSecond(EndpointRole::kPrefill);
              }});
}

// Sends this host's usage counts and prefill load to the other schedulers.
void RelayDaemon::BroadcastUsage() {
  if (!this->IsScheduler()) {
    return;
  }
  const int64_t now = this->duties->UnixMilliseconds();
  UsageCopyMessage message = MessageOf(this->duties->Usage().OwnCopy(now));
  message.time = now;
  this->peers->BroadcastToSchedulers(message);
  this->peers->BroadcastToSchedulers(
      PrefillLoad{this->relay->PrefillPerSecond()});
  this->BroadcastSpeeds();
}

// Prompt tokens per second of a service that all schedulers request together.
double RelayDaemon::FleetPrefill(const ServiceId& service) const {
  const auto rate_of = [&service](const std::map<ServiceId, double>& rates) {
    const auto found = rates.find(service);
    return found == rates.end() ? 0 : found->second;
  };
  double sum = rate_of(this->relay->PrefillPerSecond());
  for (const auto& [host, load] : this->peer_loads) {
    sum += rate_of(load.tokens_per_second);
  }
  return sum;
}

// Logs the estimated prefill rate of engines when it has changed considerably.
void RelayDaemon::LogPace() {
  for (const auto& [service, pace] : this->relay->Placement().OwnPace()) {
    double& logged = this->logged_pace[service];
    const double seconds = pace.token_prefill.seconds;
    if (logged > 0 &&
        std::abs(std::log(seconds / logged)) < kLoggedPaceChange) {
      continue;
    }
    logged = seconds;
    LogInfo(
        kPart, "Prefill rate estimate changed.",
        {{"service", service.Text()},
         {"prompt_tokens_per_second", std::to_string(1 / seconds)},
         {"measurements", std::to_string(pace.token_prefill.measurements)}});
  }
}

// Sends the usage counts of all hosts to a newly linked scheduler.
void RelayDaemon::SendAllUsage(const HostId& host) {
  for (const WindowCopy& copy : this->duties->Usage().AllCopies()) {
    this->peers->Send(host, MessageOf(copy));
  }
}

void RelayDaemon::OnPeerMessage(const HostId& from,
                                const PeerMessage& message) {
  if (this->ended) {
    return;
  }
  if (const auto* request = std::get_if<ForwardedRequest>(&message)) {
    this->receiver->OnRequest(from, *request);
  } else if (const auto* body = std::get_if<ForwardedBody>(&message)) {
    this->receiver->OnBody(from, *body);
  } else if (const auto* control = std::get_if<ForwardControl>(&message)) {
    this->receiver->OnControl(from, *control);
  } else if (const auto* part = std::get_if<ForwardedAnswer>(&message)) {
    this->forwarder->OnAnswer(from, *part);
  } else if (const auto* news = std::get_if<SchedulerStatus>(&message)) {
    this->OnSchedulerNews(from, *news);
  } else if (const auto* load = std::get_if<PrefillLoad>(&message)) {
    this->peer_loads[from] = *load;
  } else if (const auto* tokens = std::get_if<LimitTokens>(&message)) {
    this->limits->OnMessage(from, *tokens);
  } else if (const auto* suspects = std::get_if<SuspectsUpdate>(&message)) {
    this->relay->MergeSuspects(*suspects);
  } else if (const auto* rates = std::get_if<EndpointRatesUpdate>(&message)) {
    this->relay->MergeRates(from, *rates);
  } else if (const auto* update = std::get_if<CacheUpdate>(&message)) {
    this->relay->Caches().ApplyUpdate(*update);
  } else if (const auto* usage = std::get_if<UsageCopyMessage>(&message)) {
    this->TakeUsage(from, *usage);
  } else if (const auto* asked = std::get_if<FreshnessQuestion>(&message)) {
    if (const auto answer = this->source->Answer(*asked)) {
      this->peers->Send(from, *answer);
    }
  } else if (const auto* answer = std::get_if<FreshnessAnswer>(&message)) {
    this->source->OnFreshnessAnswer(*answer);
  } else if (const auto* news = std::get_if<EndpointStatus>(&message)) {
    this->source->MarkLeaving(
        {.id = news->endpoint,
         .started = static_cast<int64_t>(news->incarnation)});
  } else if (const auto* reports = std::get_if<StreamReports>(&message)) {
    this->streams->OnMessage(from, *reports);
  } else if (const auto* question = std::get_if<StreamQuestion>(&message)) {
    this->streams->OnMessage(from, *question);
  } else if (const auto* answer = std::get_if<StreamAnswer>(&message)) {
    this->streams->OnMessage(from, *answer);
  } else if (const auto* pace = std::get_if<PaceMessage>(&message)) {
    this->AdoptPace(from, *pace);
  }
}

void RelayDaemon::AdoptPace(const HostId& from, const PaceMessage& pace) {
  this->relay->Placement().Loads().OnUpdate(this->clock->Now(), from,
                                            pace.speeds);
  if (!pace.services.empty()) {
    this->relay->Placement().AdoptPace(pace.services);
    LogInfo(kPart, "Engine rates received from another host.",
            {{"host", from.Text()},
             {"services", std::to_string(pace.services.size())},
             {"endpoints", std::to_string(pace.speeds.size())}});
  }
}

// Tells the other schedulers how fast the endpoints of contended services work.
void RelayDaemon::BroadcastSpeeds() {
  const EndpointSpeeds speeds = this->relay->Placement().TakeSpeeds(
      this->clock->Now(), this->peers->LinkedSchedulers().size());
  if (!speeds.empty()) {
    this->peers->BroadcastToSchedulers(PaceMessage{.speeds = speeds});
  }
}

void RelayDaemon::TakeUsage(const HostId& from, const UsageCopyMessage& usage) {
  if (usage.time) {
    this->duties->OnPeerTime(from, *usage.time);
  }
  if (const auto copy = DecodeWindowCopy(usage.value)) {
    this->duties->Usage().Merge(*copy);
  } else {
    LogWarning(kPart, "Malformed usage message.",
               {{"host", usage.host.Text()}, {"why", copy.error().message}});
  }
}

// A host whose calls the store rejects, or that is partitioned from it, obtains
// proof and newer configurations from other hosts. Otherwise it would refuse
// every key once the bound on revoked keys has passed. The hosts are queried
// round-robin, because the first ones may be partitioned as well.
void RelayDaemon::AskPeers(const FreshnessQuestion& question) {
  const std::vector<HostId> others = this->peers->Others();
  size_t asked = 0;
  for (size_t i = 0; i < others.size() && asked < kPeersQueried; ++i) {
    const HostId& host = others[this->next_queried++ % others.size()];
    asked += this->peers->Send(host, question) ? 1 : 0;
  }
}

// Informs hosts that can't read the endpoint list of a leaving endpoint. Hosts
// that can read it do so within a second, so messages from a few of them
// suffice.
void RelayDaemon::BroadcastLeaving(const EndpointRun& run) {
  if (this->peers->Rank() < kLeavingReporters) {
    this->peers->BroadcastToSchedulers(
        EndpointStatus{.endpoint = run.id,
                       .incarnation = static_cast<uint64_t>(run.started),
                       .leaving = true});
  }
}

void RelayDaemon::MakePeers() {
  this->peers = std::make_unique<FleetPeers>(
      FleetPeersOptions{
          .self = {.id = this->settings.host,
                   .address = this->settings.peers,
                   .zone = this->settings.zone,
                   .capacity = this->settings.capacity},
          .seed = static_cast<uint64_t>(this->clock->WallMilliseconds()),
          .first_start = this->settings.first_start,
          .budget = &this->resources},
      *this->clock, *this->store,
      FleetPeersHandlers{
          .make_digest = [this] { return this->MakeDigest(); },
          .on_digest = [this](const Digest& digest) { this->OnDigest(digest); },
          .on_role = [this](FleetRole role) { this->OnRole(role); },
          .on_schedulers =
              [this](const std::vector<FleetHost>& schedulers) {
                this->forwarder->SetSchedulers(schedulers);
                this->UpdateStreamPeers();
                this->UpdateSubscribers();
                this->UpdateSchedulers();
              },
          .on_listed =
              [this](size_t schedulers) {
                this->relay->SetHosts(static_cast<int64_t>(schedulers));
                this->UpdateSchedulers();
              },
          .on_share =
              [this](const ShareTerm& share) {
                this->relay->SetRetryShare(share);
              },
          .on_linked = [this](const HostId& host) { this->OnLinked(host); },
          .on_gone = [this](const HostId& host) { this->OnGone(host); },
          .on_scheduler_linked =
              [this](const HostId& host) { this->OnSchedulerLinked(host); },
          .in_use =
              [this](const HostId& host) {
                return this->forwarder->HasRequestsAt(host) ||
                       this->receiver->HasRequestsOf(host);
              },
          .on_message =
              [this](const HostId& from, const PeerMessage& message) {
                this->OnPeerMessage(from, message);
              }});
}

// Tells the relay which hosts send to endpoints.
void RelayDaemon::UpdateSchedulers() {
  const std::vector<HostId> others = this->peers->Others();
  std::set<HostId> schedulers(others.begin(), others.end());
  std::erase_if(schedulers, [this](const HostId& host) {
    return this->without_endpoints.contains(host);
  });
  if (this->IsScheduler() && !this->relay->AllCutOff()) {
    schedulers.insert(this->settings.host);
  }
  this->relay->SetSchedulers(this->settings.host, schedulers);
}

Digest RelayDaemon::MakeDigest() const {
  Digest digest{.outstanding = this->relay->Placement().OwnWork(),
                .served = this->relay->Admission().Served()};
  for (const EndpointId& id : this->duties->ChangingRole()) {
    digest.endpoints.push_back({.endpoint = id, .down = true});
  }
  return digest;
}

void RelayDaemon::OnDigest(const Digest& digest) {
  this->relay->Placement().OnPeerWork(digest.host, digest.outstanding);
  this->relay->Admission().OnDigest(digest);
  std::set<EndpointId> away;
  for (const EndpointStatus& news : digest.endpoints) {
    if (news.down) {
      away.insert(news.endpoint);
    }
  }
  this->relay->Placement().SetUnavailable(digest.host, std::move(away));
}

void RelayDaemon::AnswerReady(const CallerExchangePtr& exchange) {
  const bool serves = (this->IsScheduler() && this->ReachesEndpoints()) ||
                      this->forwarder->Ready();
  const bool ready = serves && !this->stop;
  exchange->Answer({.status = ready ? 200 : 503}, "");
}

void RelayDaemon::AnswerMetrics(const CallerExchangePtr& exchange) {
  this->metrics.Set("log_lines_unread_total",
                    static_cast<double>(LogLinesDropped()));
  this->metrics.Set("clock_behind_seconds",
                    static_cast<double>(this->duties->UnixMilliseconds() -
                                        this->clock->WallMilliseconds()) /
                        1000);
  this->metrics.Set("configuration_version",
                    static_cast<double>(this->relay->ConfigurationVersion()));
  if (const auto age = this->relay->ProofAge()) {
    this->metrics.Set("configuration_proof_age_seconds", ToSeconds(*age));
  }
  this->resources.Report();
  this->limits->SetMetrics();
  this->streams->SetMetrics();
  this->metrics.Set("retry_share", this->relay->RetryShare());
  this->metrics.Set("crashing_requests_blocked",
                    static_cast<double>(this->relay->BlockedRequests()));
  this->metrics.Set("crashing_parts_blocked",
                    static_cast<double>(this->relay->BlockedParts()));
  this->metrics.Set(
      "endpoints_with_stated_rate",
      static_cast<double>(this->relay->Placement().Rates().Limited()));
  this->SetRoleMetrics();
  this->metrics.Set("requests_waiting",
                    static_cast<double>(this->relay->Waiting()));
  this->metrics.Set("hosts_known", static_cast<double>(this->peers->Listed()));
  for (const auto& [service, pace] : this->relay->Placement().OwnPace()) {
    this->SetPaceMetrics(service, pace);
  }
  this->SetContentionMetrics();
  exchange->Answer({.headers = {{.name = "Content-Type",
                                 .value = "text/plain; version=0.0.4"}}},
                   this->metrics.PrometheusText());
}

// Metrics of this host's role and of the schedulers it can forward to.
void RelayDaemon::SetRoleMetrics() {
  const auto set = [this](std::string_view name, auto value) {
    this->metrics.Set(name, static_cast<double>(value));
  };
  set("host_stopping", this->stop.has_value());
  set("host_scheduler", this->IsScheduler());
  set("host_busy", this->IsScheduler() && this->busy);
  set("duties_held", this->duties->Holding());
  set("forwarding_ready", this->forwarder->Ready());
  set("schedulers_linked", this->peers->LinkedSchedulers().size());
  set("schedulers_unready", this->unready_schedulers.size());
}

// Metrics of the measured rates of a service's engines.
void RelayDaemon::SetContentionMetrics() {
  this->metrics.Set("admission_waiting",
                    static_cast<double>(this->relay->Admission().Waiting()));
  const FleetConfigurationPtr& configuration = this->relay->Configuration();
  if (!configuration) {
    return;
  }
  for (const auto& [id, service] : configuration->services) {
    if (!service.engine) {
      this->metrics.Set("plain_call_seconds",
                        this->relay->Placement().PlainSeconds(id),
                        {{"service", id.Text()}});
    }
    const bool contended = this->relay->Placement().IsContended(id);
    this->metrics.Set("service_contended", contended ? 1 : 0,
                      {{"service", id.Text()}});
    if (!contended) {
      continue;
    }
    if (service.engine) {
      this->SetTimeFactors(id, WorkKind::kPrefill, "prefill");
      this->SetTimeFactors(id, WorkKind::kDecode, "decode");
    } else {
      this->SetTimeFactors(id, WorkKind::kPlainCall, "call");
    }
  }
}

void RelayDaemon::SetTimeFactors(const ServiceId& service,
                                 WorkKind kind,
                                 const std::string& work) {
  const std::vector<double> factors =
      this->relay->Placement().Loads().TimeFactors(this->clock->Now(), service,
                                                   kind);
  if (factors.empty()) {
    return;
  }
  const auto set = [&](const char* of, double factor) {
    this->metrics.Set(
        "endpoint_time_factor", factor,
        {{"service", service.Text()}, {"work", work}, {"of", of}});
  };
  set("smallest", factors.front());
  set("median", factors.at(factors.size() / 2));
  set("largest", factors.back());
}

void RelayDaemon::SetPaceMetrics(const ServiceId& service,
                                 const PaceFigures& pace) {
  this->metrics.Set("engine_prompt_tokens_per_second",
                    1 / pace.token_prefill.seconds,
                    {{"service", service.Text()}, {"role", "prefill"}});
  this->metrics.Set("engine_prompt_tokens_per_second",
                    1 / pace.token_decode.seconds,
                    {{"service", service.Text()}, {"role", "decode"}});
  this->metrics.Set("engine_first_token_seconds", pace.first_token.seconds,
                    {{"service", service.Text()}});
}

void RelayDaemon::Drain(Instant signalled) {
  if (this->stop) {
    return;
  }
  this->stop = StopSchedule::From(signalled, this->settings.grace);
  LogInfo(kPart, "Stopping.",
          {{"running", std::to_string(this->relay->Waiting())},
           {"signal_ms", MillisecondsText(this->clock->Now() - signalled)},
           {"grace_ms", MillisecondsText(this->settings.grace)}});
  this->relay->StartDrain(*this->stop);
  this->forwarder->StartDrain(*this->stop);
  this->BroadcastStatus();
  this->streams->StartDrain();
  this->peers->Leave();
  this->duties->Retire();
  this->drain_timer =
      Timer::Every(kDrainCheck, [this] { this->CheckDrained(); });
}

void RelayDaemon::CheckDrained() {
  const StopSchedule schedule = this->stop.value_or(StopSchedule{});
  const Instant now = this->clock->Now();
  const bool finished = now >= schedule.accept_until &&
                        this->relay->Waiting() == 0 && this->relay->AllSent();
  if (!finished && now < schedule.finish_by + kFinalAnswerTime) {
    return;
  }
  // Sources that are already ready may still be dispatched in this iteration of
  // the main loop.
  this->ended = true;
  this->relay->StopReading();
  this->relay->LogUnfinished();
  this->forwarder->LogUnfinished();
  LogInfo(kPart, "Stopped.",
          {{"left", std::to_string(this->relay->Waiting())},
           {"stopping_ms", MillisecondsText(now - schedule.signalled)}});
  this->BroadcastUsage();
  this->drain_timer.reset();
  this->stopped();
}

void RelayDaemon::Reload(const RelayHostSettings& changed) {
  const std::vector<std::string_view> fixed =
      NeedRestart(this->settings, changed);
  SetLogLevel(changed.log_level);
  this->relay->SetLimits(changed.relay.budget, changed.relay.key_proof_limit);
  this->source->SetOptions(changed.source);
  this->settings.log_level = changed.log_level;
  this->settings.grace = changed.grace;
  this->settings.relay.budget = changed.relay.budget;
  this->settings.relay.key_proof_limit = changed.relay.key_proof_limit;
  this->settings.source = changed.source;
  std::string names;
  for (const std::string_view name : fixed) {
    names.append(names.empty() ? "" : " ").append(name);
  }
  LogInfo(kPart, "Settings reloaded.", {{"need_restart", names}});
}

}  // namespace hickorystand
