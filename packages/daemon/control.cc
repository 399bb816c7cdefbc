#include "daemon/control.h"

#include <algorithm>
#include <set>
#include <utility>

#include "daemon/status_page.h"
#include "kernel/log.h"
#include "kernel/registry.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "control";
constexpr Duration kUsageCopyInterval = std::chrono::seconds(1);
constexpr Duration kHostListInterval = std::chrono::seconds(5);
constexpr Duration kKeyCheckInterval = std::chrono::seconds(1);
constexpr Duration kMetricsInterval = std::chrono::seconds(1);
// Upper bound on the rate of token requests, which are numbered.
constexpr uint64_t kMaxTokenRequestsPerMillisecond = 1000;
constexpr const char* kShareHoldersKey = "/hickorystand/limits";
constexpr Duration kReleaseCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kClaimsSettleTimeout = std::chrono::seconds(5);

PeerGroupOptions MakePeerOptions(const HostSettings& settings,
                                 uint64_t incarnation,
                                 const Clock& clock) {
  PeerGroupOptions options;
  SessionOptions& session = options.links.session;
  session.host = settings.host;
  session.data_centre = settings.data_centre;
  session.incarnation = incarnation;
  session.secrets = {settings.peers.secret};
  if (!settings.peers.previous_secret.empty()) {
    session.secrets.push_back(settings.peers.previous_secret);
  }
  options.links.listen = settings.peers.listen;
  options.links.clock = &clock;
  options.links.seed = incarnation;
  return options;
}

CoordinatorOptions MakeCoordinatorOptions(const HostSettings& settings,
                                          uint64_t incarnation) {
  CoordinatorOptions options;
  options.lease.data_centre = settings.data_centre;
  options.lease.host = settings.host;
  options.lease.incarnation = incarnation;
  options.lease.length = settings.platform.lease_length;
  options.lease.margin = settings.platform.lease_margin;
  options.window_length = settings.platform.usage_window;
  return options;
}

std::unique_ptr<KeyValueStore> MakeStore(const HostSettings& settings,
                                         uint64_t seed,
                                         Metrics& metrics) {
  const auto* factory = Registry<KeyValueStore>::Find(settings.platform.store);
  assert(factory != nullptr &&
         "the settings were checked against the registry");
  return (*factory)({.addresses = settings.platform.store_addresses,
                     .timeout = settings.platform.timeout,
                     .metrics = &metrics,
                     .seed = seed});
}

// Returns the counters in `to` that differ from `from`.
AccountUsage Changed(const AccountUsage& from, const AccountUsage& to) {
  AccountUsage changed;
  std::ranges::copy_if(
      to, std::inserter(changed, changed.end()), [&](const auto& entry) {
        const auto old = from.find(entry.first);
        return old == from.end() || !(old->second == entry.second);
      });
  return changed;
}

}  // namespace

Control::Control(const HostSettings& settings,
                 uint64_t incarnation,
                 const Clock& clock,
                 Metrics& metrics,
                 ControlEvents events)
    : settings(settings),
      incarnation(incarnation),
      clock(clock),
      events(std::move(events)),
      usage({.host = settings.host, .incarnation = incarnation}) {
  this->store = MakeStore(settings, incarnation, metrics);
  this->platform = std::make_unique<PlatformClient>(
      PlatformClientOptions{.address = settings.platform.address,
                            .timeout = settings.platform.timeout,
                            .metrics = &metrics});
  this->orders = std::make_unique<OrderClient>(&metrics);
  this->peers = std::make_unique<PeerGroup>(
      MakePeerOptions(settings, incarnation, clock),
      PeerGroupHandlers{
          .on_digest =
              [this](const Digest& digest) { this->OnPeerDigest(digest); },
          .on_revision =
              [this](const HostId& host, int64_t revision) {
                this->configuration->OnPeerRevision(host, revision);
              },
          .on_gone = [this](const HostId& host) { this->OnPeerGone(host); },
          .on_message =
              [this](const HostId& from, const PeerMessage& message) {
                this->OnPeerMessage(from, message);
              }});
  this->coordinator = std::make_unique<CoordinatorDriver>(
      MakeCoordinatorOptions(settings, incarnation), clock,
      CoordinatorDependencies{
          .store = this->store.get(),
          .platform = this->platform.get(),
          .endpoints = this->orders.get(),
          .broadcast_release = [this](const ReleaseNotice& release) {
            this->SendReleaseNotice(release);
          }});
  this->claims = std::make_unique<ClaimDriver>(
      ClaimOptions{.host = settings.host, .incarnation = incarnation}, clock,
      *this->store, [this](const RequestId& request, ClaimResult result) {
        this->CompleteClaim(request, result);
      });
  this->configuration = std::make_unique<ConfigurationDriver>(
      ReplicaOptions{.data_centre = settings.data_centre, .seed = incarnation},
      clock,
      ConfigurationDependencies{
          .store = this->store.get(),
          .send =
              [this](const HostId& host, const PeerMessage& message) {
                return this->peers->Send(host, message);
              },
          .in_force =
              [this](const ConfigurationPtr& next) {
                this->OnConfiguration(next);
              }});
  this->MakeLimits(metrics);
}

void Control::MakeLimits(Metrics& metrics) {
  LimitGateOptions options{.self = this->settings.host};
  options.shares.key = kShareHoldersKey;
  options.shares.seed_listed_hosts = true;
  // The incarnation is a wall clock time in milliseconds, so numbering starts
  // above the numbers used by earlier processes of this host.
  options.limits.first_number =
      static_cast<int64_t>(this->incarnation * kMaxTokenRequestsPerMillisecond);
  this->limits = std::make_unique<LimitGate>(
      options, this->clock, *this->store, metrics,
      LimitGateHandlers{
          .send =
              [this](const HostId& host, const LimitTokens& tokens) {
                return this->peers->Send(host, tokens);
              },
          .linked = [this] { return this->LinkedHosts(); },
          .listed =
              [this] {
                std::vector<HostId> listed;
                std::ranges::transform(
                    this->peers->Members(), std::back_inserter(listed),
                    [](const Member& member) { return member.peer.host; });
                return listed;
              },
          .cleans_up = [this] { return this->peers->Rank() == 0; }});
}

// Returns the hosts that exchange limit tokens. All hosts of a data centre are
// linked with each other. Hosts of other data centres are not, and would
// compute a different home for an account.
std::vector<HostId> Control::LinkedHosts() const {
  std::vector<HostId> linked;
  for (const auto& [host, digest] : this->peers->Digests()) {
    const HostState state = this->peers->StateOf(host);
    if (state == HostState::kLive || state == HostState::kLeaving) {
      linked.push_back(host);
    }
  }
  return linked;
}

// Destroys the clients first, so that their pending calls cannot call back into
// destroyed drivers.
Control::~Control() {
  this->timers.clear();
  this->limits.reset();
  this->store.reset();
  this->platform.reset();
  this->orders.reset();
  this->peers.reset();
}

Result<SocketAddress> Control::Start() {
  auto address = this->peers->Listen();
  if (!address) {
    return address;
  }
  this->RequestHostList();
  this->ScheduleDigest();
  this->limits->Start();
  this->timers.push_back(
      Timer::Every(kHostListInterval, [this] { this->RequestHostList(); }));
  this->timers.push_back(
      Timer::Every(kUsageCopyInterval, [this] { this->SendUsageCopy(); }));
  this->timers.push_back(
      Timer::Every(kKeyCheckInterval, [this] { this->CheckKeys(); }));
  this->timers.push_back(
      Timer::Every(kMetricsInterval, [this] { this->limits->SetMetrics(); }));
  return address;
}

void Control::ScheduleDigest() {
  this->configuration->SetWatching(this->peers->HoldsWatches());
  this->digest_timer = Timer::After(this->peers->NextDigestDelay(), [this] {
    this->events.request_view();
    this->ScheduleDigest();
  });
}

void Control::OnServingView(const ServingView& next) {
  this->view = next;
  this->view.digest.host = this->settings.host;
  this->view.digest.data_centre = this->settings.data_centre;
  this->view.digest.incarnation = this->incarnation;
  this->view.digest.configuration_revision =
      this->configuration->Current()->revision;
  this->view.digest.leaving = this->draining;
  this->peers->SendDigest(this->view.digest);
}

void Control::OnLoad(const LoadReport& report) {
  const auto found = this->loads.find(report.endpoint);
  const bool restarted = found != this->loads.end() &&
                         found->second.incarnation != report.incarnation;
  this->loads.insert_or_assign(report.endpoint, report);
  this->peers->OnAlive(report.endpoint, report.incarnation);
  if (restarted) {
    LogInfo(kPart, "Endpoint restarted.",
            {{"endpoint", report.endpoint.Text()}});
    this->coordinator->OnEndpointRestarted(report.endpoint);
  }
}

void Control::OnUsage(const AccountId& account, const UsageCount& used) {
  this->usage.Add(account, used);
}

void Control::Claim(const ClaimRequest& request,
                    std::function<void(ClaimResult)> done) {
  this->pending_claims[request.request] = std::move(done);
  this->claims->Claim(request);
}

void Control::CompleteClaim(const RequestId& request, ClaimResult result) {
  const auto found = this->pending_claims.find(request);
  if (found == this->pending_claims.end()) {
    return;
  }
  const auto done = std::move(found->second);
  this->pending_claims.erase(found);
  done(result);
}

void Control::TakeTokens(
    const RequestId& request,
    LimitRequest ask,
    const std::function<void(const LimitDecision&)>& done) {
  this->pending_token_requests[request] = 0;  // Take() may call back at once
  const auto verdict = this->limits->Take(
      ask, [this, request, done](const LimitVerdict& decided) {
        this->pending_token_requests.erase(request);
        done(this->DecisionOf(decided));
      });
  if (verdict) {
    this->pending_token_requests.erase(request);
    done(this->DecisionOf(*verdict));
    return;
  }
  const auto waiting = this->pending_token_requests.find(request);
  if (waiting != this->pending_token_requests.end()) {
    waiting->second = ask.number;
  }
}

void Control::CancelTokens(const RequestId& request) {
  const auto asked = this->pending_token_requests.extract(request);
  if (!asked.empty()) {
    this->limits->Cancel(asked.mapped());
  }
}

LimitDecision Control::DecisionOf(const LimitVerdict& verdict) const {
  return {.verdict = verdict,
          .share = this->limits->Share(),
          .share_age = this->limits->ShareAge(),
          .holders_revision = this->limits->Revision()};
}

void Control::OnConfiguration(const ConfigurationPtr& next) {
  LogInfo(kPart, "Configuration in force.",
          {{"revision", std::to_string(next->revision)},
           {"endpoints", std::to_string(next->endpoints.size())}});
  std::map<EndpointId, DataCentreId> data_centres;
  for (const auto& [id, endpoint] : next->endpoints) {
    data_centres[id] = endpoint.data_centre;
  }
  std::erase_if(this->loads, [&](const auto& entry) {
    return !data_centres.contains(entry.first);
  });
  this->peers->SetEndpoints(std::move(data_centres));
  this->coordinator->ApplyConfiguration(next);
  this->limits->SetLimits(LimitsOf(*next));
  this->CheckKeys();
  this->events.on_configuration(next);
}

void Control::OnPeerDigest(const Digest& digest) {
  if (digest.data_centre == this->settings.data_centre) {
    this->coordinator->OnPeer(digest.host, digest.incarnation);
  }
  this->events.on_digest(digest);
}

void Control::OnPeerGone(const HostId& host) {
  LogInfo(kPart, "Host is gone.", {{"host", host.Text()}});
  this->configuration->OnPeerGone(host);
  this->limits->RefreshPeers();
  this->events.on_host_gone(host);
}

void Control::OnPeerMessage(const HostId& from, const PeerMessage& message) {
  if (const auto* request = std::get_if<BucketsRequest>(&message)) {
    for (const BucketsReply& part : this->configuration->RepliesTo(*request)) {
      this->peers->Send(from, part);
    }
  } else if (const auto* reply = std::get_if<BucketsReply>(&message)) {
    this->configuration->OnBuckets(from, *reply);
  } else if (const auto* copy = std::get_if<UsageCopyMessage>(&message)) {
    if (const auto read = DecodeUsageCopy(copy->value)) {
      this->coordinator->OnUsage(*read);
    }
  } else if (const auto* released = std::get_if<Released>(&message)) {
    this->coordinator->OnReleased({.host = from,
                                   .incarnation = released->incarnation,
                                   .fencing = released->fencing});
  } else if (const auto* tokens = std::get_if<LimitTokens>(&message)) {
    this->limits->OnMessage(from, *tokens);
  }
}

void Control::RequestHostList() {
  this->platform->ListHosts(
      [this](const Result<std::vector<PlatformHost>>& list) {
        if (list) {
          this->OnHostList(*list);
        }
      });
}

void Control::OnHostList(const std::vector<PlatformHost>& list) {
  std::vector<ListedHost> all;
  std::vector<HostListing> here;
  for (const PlatformHost& host : list) {
    all.push_back({.peer = {.host = host.host,
                            .data_centre = host.data_centre,
                            .address = host.address},
                   .leaving = host.leaving});
    if (host.data_centre == this->settings.data_centre) {
      here.push_back({.host = host.host, .leaving = host.leaving});
    }
  }
  this->peers->OnHostList(all);
  this->coordinator->OnHosts(here);
}

void Control::SendReleaseNotice(const ReleaseNotice& release) {
  this->peers->Broadcast(Released{.data_centre = this->settings.data_centre,
                                  .incarnation = release.incarnation,
                                  .fencing = release.fencing});
}

// Usage that only this host has counted is lost if it crashes. So it is copied
// every second to the lease holder and to its deputy, which may become the next
// holder. Only changed counters are sent; they are cumulative, and the receiver
// keeps the higher value. New receivers get all of them.
void Control::SendUsageCopy() {
  this->coordinator->OnUsage(this->usage.Copy());
  const std::set<HostId> receivers = this->UsageCopyReceivers();
  const bool send_all = receivers != this->copied_to;
  const AccountUsage& counts = this->usage.Copy().counts;
  const AccountUsage changed =
      send_all ? counts : Changed(this->copied_usage, counts);
  if (changed.empty()) {
    return;
  }
  const UsageCopyMessage message{
      .host = this->settings.host,
      .incarnation = this->incarnation,
      .value = EncodeUsageCopy(
          {.source = this->usage.Copy().source, .counts = changed})};
  const bool all_sent = std::ranges::all_of(receivers, [&](const HostId& host) {
    return this->peers->Send(host, message);
  });
  if (all_sent) {
    this->copied_usage = counts;
    this->copied_to = receivers;
  }
}

std::set<HostId> Control::UsageCopyReceivers() const {
  const HostId holder(this->coordinator->State().Authority().LastHolder());
  std::set<HostId> receivers{holder, this->peers->Deputy(holder)};
  receivers.erase(HostId());
  receivers.erase(this->settings.host);
  return receivers;
}

// Revocations of keys don't arrive while this data centre is disconnected from
// both the platform and every host with a newer configuration.
void Control::CheckKeys() {
  const bool trusted = this->configuration->KeysTrusted();
  if (trusted != this->keys_trusted) {
    LogWarning(kPart, trusted ? "Keys are trusted again."
                              : "Disconnected for too long; keys are refused.");
    this->keys_trusted = trusted;
    this->events.on_keys_trusted(trusted);
  }
}

void Control::StartDrain() {
  this->draining = true;
  this->peers->StartDrain();
}

// Waits for pending claims: the claim of a request that was refused as not run
// must be withdrawn, or the caller's retry would be refused as a duplicate.
void Control::HandOver(std::function<void()> on_released) {
  this->SendUsageCopy();
  this->limits->Stop();
  this->coordinator->StartRelease();
  const Instant claims_until = this->clock.Now() + kClaimsSettleTimeout;
  this->release_timer =
      Timer::Every(kReleaseCheckInterval,
                   [this, claims_until, on_released = std::move(on_released)] {
                     const bool claims_open = !this->claims->Settled() &&
                                              this->clock.Now() < claims_until;
                     if (claims_open || !this->coordinator->Released()) {
                       return;
                     }
                     // Copied because the callback may destroy this object
                     // and with it the timer that holds the callback.
                     const auto call = on_released;
                     this->release_timer.reset();
                     call();
                   });
}

std::string Control::StatusJson() const {
  const Lease& lease = this->coordinator->State().Authority();
  std::map<HostId, Digest> digests = this->peers->Digests();
  digests[this->settings.host] = this->view.digest;
  return WriteStatus({.host = this->settings.host,
                      .data_centre = this->settings.data_centre,
                      .incarnation = this->incarnation,
                      .draining = this->draining,
                      .keys_trusted = this->keys_trusted,
                      .configuration = this->configuration->Current(),
                      .lease_holder = lease.LastHolder(),
                      .fencing = lease.Fencing(),
                      .lease_held = lease.MayAct(this->clock.Now()),
                      .members = this->peers->Members(),
                      .digests = std::move(digests),
                      .loads = this->loads,
                      .refusals = this->view.refusals,
                      .queued = this->view.queued,
                      .running = this->view.running,
                      .open_orders = static_cast<int64_t>(
                          this->coordinator->State().OpenOrders().size()),
                      .limits = {.window = this->limits->Window(),
                                 .share = this->limits->Share(),
                                 .share_age = this->limits->ShareAge(),
                                 .holders_revision = this->limits->Revision(),
                                 .accounts = this->limits->AccountUsage()}});
}

}  // namespace hickorystand
