#include "relay/fleet_peers.h"

#include <glib.h>

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "peers";
constexpr std::string_view kSecretKey = "hickorystand/secret";
constexpr std::string_view kHostPrefix = "hickorystand/hosts/";
constexpr std::string_view kSenderPrefix = "hickorystand/senders/";

// All hosts share one group, regardless of zone and role.
const DataCentreId& Group() {
  static const DataCentreId kGroup("fleet");
  return kGroup;
}

std::string_view NameOf(FleetRole role) {
  return role == FleetRole::kScheduler ? "scheduler" : "ingress";
}

std::string RandomSecret() {
  gchar* text = g_uuid_string_random();
  std::string secret(text);
  g_free(text);
  return secret;
}

}  // namespace

FleetPeers::FleetPeers(FleetPeersOptions options,
                       const Clock& clock,
                       KeyValueStore& store,
                       FleetPeersHandlers handlers)
    : options(std::move(options)),
      clock(&clock),
      store(&store),
      handlers(std::move(handlers)),
      random(this->options.seed + std::hash<HostId>()(this->options.self.id)),
      share(this->options.self.id, this->options.share) {}

FleetPeers::~FleetPeers() = default;

void FleetPeers::Start() {
  this->ReadSecret();
  this->list_timer = Timer::After(
      this->options.first_start ? this->options.first_list : Duration{},
      [this] { this->List(); });
}

// Generates the secret unless another host has already done so.
void FleetPeers::MakeSecret() {
  const std::string key(kSecretKey);
  this->store->Transact({.conditions = {{.key = key, .revision = 0}},
                         .then = {StorePut(key, RandomSecret())},
                         .otherwise = {StoreGet(key)}},
                        [this](const StoreReply& reply) {
                          if (reply.outcome == StoreOutcome::kThen ||
                              reply.outcome == StoreOutcome::kOtherwise) {
                            this->ReadSecret();
                          } else {
                            this->ReadSecretLater();
                          }
                        });
}

void FleetPeers::ReadSecretLater() {
  this->secret_timer =
      Timer::After(this->options.first_list, [this] { this->ReadSecret(); });
}

// The store's revision serves as the incarnation of this process on its links.
// Hosts reject an incarnation lower than one they have seen. With the time of
// day, a host restarted after its clock was set back would be rejected until
// its next restart. The revision is higher after each restart of a host,
// because each process writes its record after it has read the revision.
void FleetPeers::ReadSecret() {
  this->store->Transact({.then = {StoreGet(std::string(kSecretKey))}},
                        [this](const StoreReply& reply) {
                          if (reply.outcome != StoreOutcome::kThen) {
                            this->ReadSecretLater();
                            return;
                          }
                          if (reply.records.empty()) {
                            this->MakeSecret();
                            return;
                          }
                          this->secret = reply.records.front().value;
                          this->incarnation =
                              static_cast<uint64_t>(reply.revision);
                          this->Register();
                          this->OpenLinks();
                        });
}

PeerHandlers FleetPeers::LinkHandlers() {
  return {.on_digest =
              [this](DigestScope, const Digest& digest) {
                this->handlers.on_digest(digest);
              },
          .on_message =
              [this](const HostId& host, const PeerMessage& message) {
                this->OnMessage(host, message);
              },
          .on_activity = [](const PeerHello&) {},
          .on_up =
              [this](const HostId& host, uint64_t) {
                LogInfo(kPart, "Host linked.", {{"host", host.Text()}});
                this->linked_schedulers.erase(host);
                this->draining.erase(host);
                this->handlers.on_linked(host);
              },
          .on_down = [this](const HostId& host) { this->OnDown(host); }};
}

// A draining host usually restarts immediately after its link has closed, so
// the list is read early.
void FleetPeers::OnDown(const HostId& host) {
  LogInfo(kPart, "Host lost.", {{"host", host.Text()}});
  this->linked_schedulers.erase(host);
  this->handlers.on_gone(host);
  if (this->draining.erase(host) > 0) {
    this->ScheduleEarlyList();
  }
}

void FleetPeers::OnMessage(const HostId& host, const PeerMessage& message) {
  this->handlers.on_message(host, message);
  const auto* news = std::get_if<SchedulerStatus>(&message);
  if (news == nullptr) {
    return;
  }
  if (!news->scheduler) {
    this->linked_schedulers.erase(host);
  } else if (this->linked_schedulers.insert(host).second &&
             this->role == FleetRole::kScheduler) {
    this->handlers.on_scheduler_linked(host);
  }
  if (news->draining) {
    this->NoteDraining(host);
  }
}

// The links are refreshed in the next turn of the main loop, because that may
// close links, which is not allowed within their callbacks.
void FleetPeers::NoteDraining(const HostId& host) {
  if (!this->draining.insert(host).second) {
    return;
  }
  const size_t staying = static_cast<size_t>(std::ranges::count_if(
      this->linked_schedulers,
      [this](const HostId& id) { return !this->draining.contains(id); }));
  LogInfo(kPart, "Host is draining.",
          {{"host", host.Text()},
           {"scheduler", this->IsScheduler(host) ? "true" : "false"},
           {"schedulers_left", std::to_string(staying)},
           {"list_age_ms",
            MillisecondsText(this->clock->Now() - this->listed_at)}});
  if (this->role == FleetRole::kIngress) {
    this->refresh_timer =
        Timer::After(Duration{}, [this] { this->RefreshLinks(); });
    this->ScheduleEarlyList();
  }
}

// Opens the links once both the secret and the role are known.
void FleetPeers::OpenLinks() {
  if (this->secret.empty() || this->role == FleetRole::kUnknown ||
      this->links) {
    return;
  }
  PeerLinksOptions link_options{
      .session = {.host = this->options.self.id,
                  .data_centre = Group(),
                  .incarnation = this->incarnation,
                  .secrets = {this->secret},
                  .heartbeat_period = this->options.heartbeat,
                  .budget = this->options.budget},
      .listen = this->options.self.address,
      .clock = this->clock,
      .longest_backoff = this->options.longest_backoff,
      .seed = this->options.seed,
      .budget_bytes_per_second = this->options.digest_bytes_per_second,
      .shortest_period = this->options.shortest_digest,
      .receives_digests = [this](const HostId& host) {
        return this->role == FleetRole::kScheduler && this->IsScheduler(host);
      }};
  this->links = std::make_unique<PeerLinks>(std::move(link_options),
                                            this->LinkHandlers());
  if (const auto opened = this->links->Listen(); !opened) {
    LogError(kPart, "Failed to listen for links from other hosts.",
             {{"why", opened.error().message}});
  }
  this->SetTimeouts();
  this->LinkToSchedulers();
  this->SendDigest();
}

// An ingress host always opens its links itself, so it does not wait for the
// other side to do so. Its silence timeout is short because its callers wait
// while a scheduler is silent.
void FleetPeers::SetTimeouts() {
  if (this->links && this->role == FleetRole::kIngress) {
    this->links->SetTimeouts(this->options.ingress_silence, Duration{});
  } else if (this->links) {
    const PeerLinksOptions defaults;
    this->links->SetTimeouts(defaults.session.silence_timeout,
                             defaults.dial_grace);
  }
}

void FleetPeers::LinkToSchedulers() {
  if (!this->links) {
    return;
  }
  std::vector<PeerHost> targets;
  std::ranges::transform(
      this->schedulers, std::back_inserter(targets), [](const FleetHost& host) {
        return PeerHost{
            .host = host.id, .data_centre = Group(), .address = host.address};
      });
  // A host that became an ingress host forwards over the links it already had,
  // so schedulers keep links to hosts that are no longer listed.
  this->links->SetHosts(targets, this->role == FleetRole::kScheduler
                                     ? DelistedLinkPolicy::kKeep
                                     : DelistedLinkPolicy::kClose);
}

void FleetPeers::SendDigest() {
  if (this->role != FleetRole::kScheduler) {
    return;
  }
  Digest digest = this->handlers.make_digest();
  digest.host = this->options.self.id;
  digest.data_centre = Group();
  digest.incarnation = this->incarnation;
  digest.leaving = this->left;
  this->links->SendDigest(DigestScope::kHost, digest);
  this->digest_timer = Timer::After(this->links->NextDigestDelay(),
                                    [this] { this->SendDigest(); });
}

void FleetPeers::Register() {
  this->renew_timer =
      Timer::After(this->options.renew, [this] { this->Renew(); });
  this->store->GrantLease(this->options.lease, [this](Result<int64_t> granted) {
    if (granted && !this->left) {
      this->lease = *granted;
      this->sender_written = false;
      this->WriteRecord();
      this->WriteSenderRecord();
    }
  });
}

void FleetPeers::WriteSenderRecord() {
  if (!this->sender || this->lease == 0 || this->sender_written) {
    return;
  }
  this->store->Transact(
      {.then = {StorePut(std::string(kSenderPrefix) +
                             this->options.self.id.Text() + "/" +
                             std::to_string(this->lease),
                         "", this->lease)}},
      [this, under = this->lease](const StoreReply& reply) {
        this->OnSenderRecord(under, reply);
      });
}

// Without an answer, the next renewal writes the record again.
void FleetPeers::OnSenderRecord(int64_t under_lease, const StoreReply& reply) {
  if (reply.outcome != StoreOutcome::kThen || under_lease != this->lease ||
      std::exchange(this->sender_written, true)) {
    return;
  }
  this->share.OnRegistered(this->clock->Now());
}

// The list must not be stale: it names every host that holds a part only if it
// is newer than their records.
void FleetPeers::ListSenders() {
  const Instant requested_at = this->clock->Now();
  this->store->Transact({.then = {{.kind = StoreOperation::Kind::kGetPrefix,
                                   .key = std::string(kSenderPrefix)}}},
                        [this, requested_at](const StoreReply& reply) {
                          if (reply.outcome == StoreOutcome::kThen) {
                            this->ApplySenders(requested_at, reply);
                          }
                        });
}

void FleetPeers::ApplySenders(Instant requested_at, const StoreReply& reply) {
  std::set<HostId> senders;
  for (const StoreRecord& record : reply.records) {
    const std::string name = record.key.substr(kSenderPrefix.size());
    senders.insert(HostId(name.substr(0, name.rfind('/'))));
  }
  if (!this->share.OnListed(requested_at, senders)) {
    LogWarning(kPart, "This host's record is missing; registering again.", {});
    this->lease = 0;
  }
  this->UpdateShare();
}

void FleetPeers::UpdateShare() {
  const ShareTerm term = this->share.Term(this->clock->Now());
  if (term.part != std::exchange(this->logged_share, term.part)) {
    LogInfo(kPart, "Share of the retry budget changed.",
            {{"share", std::to_string(term.part)},
             {"hosts", std::to_string(this->share.Hosts())},
             {"lease", std::to_string(this->lease)}});
  }
  this->handlers.on_share(term);
}

void FleetPeers::WriteRecord() {
  const FleetHost& self = this->options.self;
  this->store->Transact(
      {.then = {StorePut(std::string(kHostPrefix) + self.id.Text(),
                         EncodeFleetHost(self), this->lease)}},
      [this](const StoreReply& reply) {
        if (reply.outcome != StoreOutcome::kThen) {
          this->lease = 0;  // the next renewal registers again
        }
      });
}

void FleetPeers::Renew() {
  if (this->left) {
    return;
  }
  if (this->lease == 0) {
    this->Register();
    return;
  }
  this->renew_timer =
      Timer::After(this->options.renew, [this] { this->Renew(); });
  this->WriteSenderRecord();
  const Instant requested_at = this->clock->Now();
  this->store->RenewLease(
      this->lease, [this, requested_at,
                    renewed = this->lease](const Result<Duration>& length) {
        if (renewed != this->lease) {
          return;
        }
        if (length) {
          this->share.OnRenewed(requested_at, *length);
        } else if (length.error().kind == ErrorKind::kNotFound) {
          this->lease = 0;
          this->share.OnUnregistered();
        }
        this->UpdateShare();
      });
}

void FleetPeers::ScheduleEarlyList() {
  if (this->role != FleetRole::kIngress ||
      std::exchange(this->early_list_scheduled, true)) {
    return;
  }
  std::uniform_int_distribution<int64_t> spread(
      0, this->options.list_jitter.count());
  const Duration age = this->clock->Now() - this->listed_at;
  this->list_timer = Timer::After(std::max(Duration(spread(this->random)),
                                           this->options.first_list * 2 - age),
                                  [this] { this->List(); });
}

void FleetPeers::List() {
  this->early_list_scheduled = false;
  const bool lost =
      this->role == FleetRole::kIngress &&
      std::ranges::includes(this->draining, this->linked_schedulers);
  const bool settled = this->role != FleetRole::kUnknown &&
                       this->contrary_lists == 0 && !lost &&
                       (this->listed > 1 || !this->schedulers.empty());
  const Duration interval = this->role == FleetRole::kIngress
                                ? this->options.ingress_list
                                : this->options.list;
  this->list_timer =
      Timer::After(settled ? interval : this->options.first_list * 2,
                   [this] { this->List(); });
  this->store->Transact({.then = {{.kind = StoreOperation::Kind::kGetPrefix,
                                   .key = std::string(kHostPrefix)}},
                         .allow_stale = true},
                        [this](const StoreReply& reply) {
                          if (reply.outcome == StoreOutcome::kThen) {
                            this->ApplyList(reply);
                          }
                        });
}

void FleetPeers::ApplyList(const StoreReply& reply) {
  if (reply.revision < this->list_revision) {
    return;  // a stale read may be older than the previous one
  }
  if (this->left && this->role != FleetRole::kIngress) {
    return;
  }
  this->list_revision = reply.revision;
  this->listed_at = this->clock->Now();
  std::vector<FleetHost> hosts;
  bool self_listed = false;
  for (const StoreRecord& record : reply.records) {
    const HostId id(record.key.substr(kHostPrefix.size()));
    const auto host = DecodeFleetHost(id, record.value);
    if (id == this->options.self.id) {
      self_listed = true;
    } else if (host) {
      hosts.push_back(*host);
    } else {
      LogWarning(kPart, "Malformed host record.",
                 {{"host", id.Text()}, {"why", host.error().message}});
    }
  }
  if (this->role == FleetRole::kUnknown && this->options.first_start &&
      !self_listed) {
    return;  // own record not written yet, so others are probably missing too
  }
  this->AddLinkedSchedulers(hosts);
  hosts.push_back(this->options.self);
  const std::set<HostId> planned =
      PlanSchedulers(hosts, this->options.topology);
  std::erase_if(hosts, [&](const FleetHost& host) {
    return !planned.contains(host.id) || host.id == this->options.self.id;
  });
  std::ranges::sort(hosts, {}, &FleetHost::id);
  if (!this->left) {
    this->ApplyPlannedRole(planned.contains(this->options.self.id)
                               ? FleetRole::kScheduler
                               : FleetRole::kIngress);
  }
  this->listed = planned.size();
  this->rank = static_cast<size_t>(
      std::ranges::count_if(hosts, [this](const FleetHost& host) {
        return host.id < this->options.self.id;
      }));
  this->handlers.on_listed(this->listed);
  this->planned = std::move(hosts);
  this->RefreshLinks();
}

void FleetPeers::RefreshLinks() {
  const std::vector<FleetHost> wanted = this->role == FleetRole::kIngress
                                            ? this->PickLinks(this->planned)
                                            : this->planned;
  if (wanted != this->schedulers) {
    this->schedulers = wanted;
    this->handlers.on_schedulers(this->schedulers);
    this->LinkToSchedulers();
  }
}

// Established links are kept as long as they lead to schedulers, and a link
// that carries requests is kept until these have ended.
std::vector<FleetHost> FleetPeers::PickLinks(
    const std::vector<FleetHost>& listed) const {
  std::vector<FleetHost> picked = PickSchedulers(
      this->options.self, listed,
      {.linked = this->linked_schedulers, .draining = this->draining},
      this->options.topology);
  std::ranges::copy_if(
      this->schedulers, std::back_inserter(picked), [&](const FleetHost& host) {
        return this->handlers.in_use(host.id) &&
               std::ranges::find(picked, host.id, &FleetHost::id) ==
                   picked.end();
      });
  return picked;
}

// Records may be missing from a list, so a single list does not change the
// current role.
void FleetPeers::ApplyPlannedRole(FleetRole planned) {
  if (planned == this->role) {
    this->contrary_lists = 0;
    return;
  }
  if (this->role != FleetRole::kUnknown &&
      ++this->contrary_lists < this->options.lists_to_confirm_role) {
    return;
  }
  this->contrary_lists = 0;
  this->role = planned;
  LogInfo(kPart, "Role of this host changed.",
          {{"role", std::string(NameOf(planned))}});
  this->handlers.on_role(planned);
  this->SetTimeouts();
  this->OpenLinks();
  this->share.SetSpending(planned == FleetRole::kScheduler);
  this->share_timer.reset();
  if (planned == FleetRole::kScheduler) {
    this->sender = true;
    this->WriteSenderRecord();
    this->share_timer =
        Timer::Every(this->options.share_list, [this] { this->ListSenders(); });
  }
  this->UpdateShare();
  this->digest_timer.reset();
  if (this->links) {
    this->SendDigest();
  }
}

// Adds schedulers that are no longer listed but still linked. If the store
// rejects the calls of a host, its record expires while the host continues to
// serve; without the link, its usage counts and its work at endpoints would
// reach no other host. The link to a host that has really stopped times out.
void FleetPeers::AddLinkedSchedulers(std::vector<FleetHost>& listed) const {
  if (!this->links) {
    return;
  }
  const std::vector<HostId> linked = this->links->Linked();
  std::ranges::copy_if(
      this->schedulers, std::back_inserter(listed), [&](const FleetHost& host) {
        return std::ranges::find(linked, host.id) != linked.end() &&
               std::ranges::find(listed, host.id, &FleetHost::id) ==
                   listed.end();
      });
}

void FleetPeers::Leave() {
  this->left = true;
  this->share.OnUnregistered();
  this->share_timer.reset();
  this->UpdateShare();
  if (this->lease != 0) {
    this->store->RevokeLease(std::exchange(this->lease, 0),
                             [](const Result<int64_t>&) {});
  }
}

std::vector<HostId> FleetPeers::Others() const {
  std::vector<HostId> others;
  std::ranges::transform(this->schedulers, std::back_inserter(others),
                         &FleetHost::id);
  return others;
}

std::vector<FleetHost> FleetPeers::LinkedSchedulers() const {
  std::vector<FleetHost> linked;
  std::ranges::copy_if(
      this->schedulers, std::back_inserter(linked),
      [this](const FleetHost& host) { return this->IsScheduler(host.id); });
  return linked;
}

bool FleetPeers::Send(const HostId& host, const PeerMessage& message) {
  return this->links && this->links->Send(host, message);
}

size_t FleetPeers::Broadcast(const PeerMessage& message) {
  return this->links ? this->links->Broadcast(message) : 0;
}

size_t FleetPeers::BroadcastToSchedulers(const PeerMessage& message) {
  return static_cast<size_t>(std::ranges::count_if(
      this->linked_schedulers,
      [&](const HostId& host) { return this->Send(host, message); }));
}

}  // namespace hickorystand
