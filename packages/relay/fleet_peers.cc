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

// All hosts form one group: in a fleet of today's size each is linked with
// every other.
const DataCentreId& Group() {
  static const DataCentreId kGroup("fleet");
  return kGroup;
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
      handlers(std::move(handlers)) {}

FleetPeers::~FleetPeers() = default;

void FleetPeers::Start() {
  this->ReadSecret();
  this->Register();
  this->list_timer =
      Timer::After(this->options.first_list, [this] { this->List(); });
}

// The first host to come makes the secret.
void FleetPeers::ReadSecret() {
  const std::string key(kSecretKey);
  this->store->Transact({.conditions = {{.key = key, .revision = 0}},
                         .then = {StorePut(key, RandomSecret())},
                         .otherwise = {StoreGet(key)}},
                        [this](const StoreReply& reply) {
                          if (reply.outcome == StoreOutcome::kThen ||
                              reply.outcome == StoreOutcome::kOtherwise) {
                            this->OpenLinksBySecret();
                          } else {
                            this->ReadSecretLater();
                          }
                        });
}

void FleetPeers::ReadSecretLater() {
  this->secret_timer =
      Timer::After(this->options.first_list, [this] { this->ReadSecret(); });
}

// The store's revision is this run's incarnation at the links. Others refuse an
// incarnation below one that they have seen, and by the time of day a host that
// is restarted after its clock was set back would be refused for as long as it
// runs. Between two runs of a host the revision has grown, at the least by the
// first run's own record.
void FleetPeers::OpenLinksBySecret() {
  this->store->Transact(
      {.then = {StoreGet(std::string(kSecretKey))}},
      [this](const StoreReply& reply) {
        if (reply.outcome != StoreOutcome::kThen || reply.records.empty()) {
          this->ReadSecretLater();
          return;
        }
        this->OpenLinks(reply.records.front().value,
                        static_cast<uint64_t>(reply.revision));
      });
}

void FleetPeers::OpenLinks(const std::string& secret, uint64_t incarnation) {
  this->incarnation = incarnation;
  PeerLinksOptions how{
      .session = {.host = this->options.host,
                  .data_centre = Group(),
                  .incarnation = this->incarnation,
                  .secrets = {secret}},
      .listen = this->options.listen,
      .clock = this->clock,
      .longest_backoff = this->options.longest_backoff,
      .seed = this->options.seed,
      .budget_bytes_per_second = this->options.digest_bytes_per_second,
      .shortest_period = this->options.shortest_digest};
  this->links = std::make_unique<PeerLinks>(
      std::move(how),
      PeerHandlers{.on_digest =
                       [this](DigestScope, const Digest& digest) {
                         this->handlers.on_digest(digest);
                       },
                   .on_message =
                       [this](const HostId& host, const PeerMessage& message) {
                         this->handlers.on_message(host, message);
                       },
                   .on_heard = [](const PeerHello&) {},
                   .on_up =
                       [this](const HostId& host, uint64_t) {
                         LogInfo(kPart, "Host linked.",
                                 {{"host", host.Text()}});
                         this->handlers.on_linked(host);
                       },
                   .on_down =
                       [this](const HostId& host) {
                         LogInfo(kPart, "Host lost.", {{"host", host.Text()}});
                         this->handlers.on_gone(host);
                       }});
  if (const auto opened = this->links->Listen(); !opened) {
    LogError(kPart, "Can't listen to other hosts.",
             {{"why", opened.error().message}});
  }
  this->links->SetHosts(this->hosts);
  this->SendDigest();
}

void FleetPeers::SendDigest() {
  Digest digest = this->handlers.make_digest();
  digest.host = this->options.host;
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
      this->WriteRecord();
    }
  });
}

void FleetPeers::WriteRecord() {
  const SocketAddress& at = this->options.listen;
  this->store->Transact(
      {.then = {StorePut(std::string(kHostPrefix) + this->options.host.Text(),
                         at.host + ":" + std::to_string(at.port),
                         this->lease)}},
      [this](const StoreReply& reply) {
        if (reply.outcome != StoreOutcome::kThen) {
          this->lease = 0;  // the next renewal starts over
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
  this->store->RenewLease(this->lease, [this](const Result<Duration>& left) {
    if (!left && left.error().kind == ErrorKind::kNotFound) {
      this->lease = 0;
    }
  });
}

void FleetPeers::List() {
  this->list_timer = Timer::After(
      this->listed > 1 ? this->options.list : this->options.first_list * 2,
      [this] { this->List(); });
  this->store->Transact({.then = {{.kind = StoreOperation::Kind::kGetPrefix,
                                   .key = std::string(kHostPrefix)}}},
                        [this](const StoreReply& reply) {
                          if (reply.outcome == StoreOutcome::kThen) {
                            this->TakeList(reply);
                          }
                        });
}

void FleetPeers::TakeList(const StoreReply& reply) {
  std::vector<PeerHost> listed;
  this->rank = 0;
  for (const StoreRecord& record : reply.records) {
    const auto address = ParseAddress(record.value);
    const HostId id(record.key.substr(kHostPrefix.size()));
    if (!address || id == this->options.host) {
      continue;
    }
    this->rank += id < this->options.host ? 1 : 0;
    listed.push_back({.host = id, .data_centre = Group(), .address = *address});
  }
  this->KeepLinked(listed);
  this->listed = listed.size() + 1;
  this->handlers.on_listed(this->listed);
  if (listed != this->hosts) {
    this->hosts = std::move(listed);
    if (this->links) {
      this->links->SetHosts(this->hosts);
    }
  }
}

// Adds the hosts that aren't listed any more but still talk to this one. The
// store may turn a host away: its record lapses while it serves on, and without
// its link nobody would hear what it counted and what it sent to endpoints. A
// host that is really gone falls silent, and its link ends by that.
void FleetPeers::KeepLinked(std::vector<PeerHost>& listed) const {
  if (!this->links) {
    return;
  }
  const std::vector<HostId> linked = this->links->Linked();
  for (const PeerHost& host : this->hosts) {
    if (std::ranges::find(linked, host.host) != linked.end() &&
        std::ranges::find(listed, host.host, &PeerHost::host) == listed.end()) {
      listed.push_back(host);
    }
  }
  std::ranges::sort(listed);
}

void FleetPeers::Leave() {
  this->left = true;
  if (this->lease != 0) {
    this->store->RevokeLease(std::exchange(this->lease, 0),
                             [](const Result<int64_t>&) {});
  }
}

std::vector<HostId> FleetPeers::Others() const {
  std::vector<HostId> others;
  std::ranges::transform(this->hosts, std::back_inserter(others),
                         &PeerHost::host);
  return others;
}

bool FleetPeers::Send(const HostId& host, const PeerMessage& message) {
  return this->links && this->links->Send(host, message);
}

size_t FleetPeers::Broadcast(const PeerMessage& message) {
  return this->links ? this->links->Broadcast(message) : 0;
}

}  // namespace hickorystand
