#include "peers/peer_links.h"

#include <algorithm>
#include <cassert>
#include <ranges>
#include <type_traits>
#include <utility>

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "peers";

// Limit on accepted connections that are not authenticated. Beyond it the
// oldest is closed, so that clients which connect and send nothing can't
// exhaust the host's sockets.
constexpr size_t kMaxPendingSessions = 64;
constexpr int kListenBacklog = 128;

// Limit on links from hosts that are not in the host list.
constexpr size_t kMaxUnlistedHosts = 512;

// Digests are skipped for a receiver with more bytes than this queued. Queueing
// them has no benefit, because the next delta covers all that was skipped.
constexpr size_t kMaxDigestBacklogBytes = 64UL * 1024;

// Number of digests received for each acknowledgement sent.
constexpr uint64_t kDigestsPerAck = 8;

// Overhead of a frame: the headers of its packet (IPv4, TCP with timestamps)
// and of the packet that acknowledges it.
constexpr uint64_t kPacketBytes = 104;

// Largest part of a BucketsReply, in bytes, that is sent in one frame, unless a
// single bucket is larger.
constexpr size_t kMaxReplyPartBytes = 256UL * 1024;

// Splits a reply into parts that fit into frames.
std::vector<BucketsReply> Split(const BucketsReply& reply) {
  std::vector<BucketsReply> parts(1, {.head_revision = reply.head_revision});
  size_t bytes = 0;
  for (const auto& bucket : reply.buckets) {
    if (bytes > 0 && bytes + bucket.value.size() > kMaxReplyPartBytes) {
      parts.push_back({.head_revision = reply.head_revision});
      bytes = 0;
    }
    bytes += bucket.value.size();
    parts.back().buckets.push_back(bucket);
  }
  return parts;
}

}  // namespace

PeerLinks::PeerLinks(PeerLinksOptions options, PeerHandlers handlers)
    : options(std::move(options)),
      handlers(std::move(handlers)),
      close_log_limiter(5, std::chrono::seconds(1)) {
  assert(this->options.clock != nullptr && "set PeerLinksOptions::clock");
  assert(!this->options.session.host.Empty() && "set the host's id");
  assert(this->options.session.incarnation > 0 && "set the incarnation");
  this->timer = Timer::Every(this->options.tick, [this] { this->Tick(); });
}

PeerLinks::~PeerLinks() {
  this->handlers = {};
  this->StopWatching();
  g_clear_object(&this->listener);
}

Result<SocketAddress> PeerLinks::Listen() {
  assert(this->listener == nullptr && "Listen() twice");
  GSocketAddress* address = g_inet_socket_address_new_from_string(
      this->options.listen.host.c_str(), this->options.listen.port);
  assert(address != nullptr && "addresses are checked when settings are read");
  GError* error = nullptr;
  this->listener =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, &error);
  bool done = this->listener != nullptr;
  if (done) {
    g_socket_set_blocking(this->listener, FALSE);
    g_socket_set_listen_backlog(this->listener, kListenBacklog);
    done = g_socket_bind(this->listener, address, TRUE, &error) &&
           g_socket_listen(this->listener, &error);
  }
  g_object_unref(address);
  if (!done) {
    const std::string message = error->message;
    g_clear_error(&error);
    return Fail(ErrorKind::kBadSetting, "can't listen for peers: " + message);
  }
  this->Watch();
  GSocketAddress* bound = g_socket_get_local_address(this->listener, nullptr);
  SocketAddress result = this->options.listen;
  result.port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
  g_object_unref(bound);
  return result;
}

void PeerLinks::Watch() {
  this->acceptable = g_socket_create_source(this->listener, G_IO_IN, nullptr);
  g_source_set_callback(this->acceptable,
                        G_SOURCE_FUNC(&PeerLinks::OnAcceptable), this, nullptr);
  g_source_attach(this->acceptable, g_main_context_get_thread_default());
}

void PeerLinks::StopWatching() {
  if (GSource* const watched = std::exchange(this->acceptable, nullptr)) {
    g_source_destroy(watched);
    g_source_unref(watched);
  }
}

gboolean PeerLinks::OnAcceptable(GSocket* /*socket*/,
                                 GIOCondition /*on*/,
                                 gpointer self) {
  static_cast<PeerLinks*>(self)->Accept();
  return G_SOURCE_CONTINUE;
}

void PeerLinks::Accept() {
  GError* error = nullptr;
  GSocket* socket = g_socket_accept(this->listener, nullptr, &error);
  if (socket == nullptr) {
    // Without descriptors the next attempt fails too, until Tick() watches
    // again.
    if (this->options.session.budget != nullptr) {
      this->options.session.budget->CountFailedAccept(error->message);
    }
    g_clear_error(&error);
    this->StopWatching();
    return;
  }
  if (this->pending.size() >= kMaxPendingSessions) {
    this->pending.front()->Close(
        {.kind = ErrorKind::kOverloaded,
         .message = "too many unauthenticated connections"});
  }
  this->pending.push_back(PeerSession::Accept(
      this->options.session, this->SessionHandlers(), this->Now(), socket));
  g_object_unref(socket);
}

PeerSession::Handlers PeerLinks::SessionHandlers() {
  return {
      .on_established = [this](auto& session) { this->OnEstablished(session); },
      .on_message =
          [this](auto& session, WireMessage message) {
            this->OnMessage(session, std::move(message));
          },
      .on_closed =
          [this](auto& session, const Error& reason) {
            this->OnClosed(session, reason);
          }};
}

void PeerLinks::SetTimeouts(Duration silence_timeout, Duration dial_grace) {
  this->options.session.silence_timeout = silence_timeout;
  this->options.dial_grace = dial_grace;
}

void PeerLinks::SetHosts(const std::vector<PeerHost>& hosts,
                         DelistedLinkPolicy delisted) {
  std::map<HostId, PeerHost> wanted;
  for (const auto& host : hosts) {
    if (host.host != this->options.session.host) {
      wanted.emplace(host.host, host);
    }
  }
  std::vector<HostId> removed;
  for (auto& [id, link] : this->links) {
    if (!wanted.contains(id) && std::exchange(link.listed, false)) {
      removed.push_back(id);
    }
  }
  for (const auto& id : removed) {
    Link& link = this->links[id];
    if (link.up && delisted == DelistedLinkPolicy::kKeep) {
      continue;
    }
    if (link.session != nullptr) {
      link.session->Close({.kind = ErrorKind::kNotFound,
                           .message = "host removed from the host list"});
    }
    this->RemoveLink(id);
  }
  for (const auto& [id, host] : wanted) {
    const bool added = !this->links.contains(id);
    Link& link = this->links[id];
    link.listed = true;
    const bool moved = link.host.address != host.address;
    link.host = host;
    if (added || moved) {
      link.backoff.emplace(this->options.first_backoff,
                           this->options.longest_backoff,
                           this->options.seed + std::hash<HostId>()(id));
      link.next_dial = this->Now();
      if (this->options.session.host > id) {
        link.next_dial += this->options.dial_grace;
      }
    }
  }
  this->Tick();
}

// Closed sessions are destroyed here rather than on closing, because a session
// may close during one of its own callbacks.
void PeerLinks::Tick() {
  this->closed.clear();
  const Instant now = this->Now();
  if (this->listener != nullptr && this->acceptable == nullptr) {
    this->Watch();
  }
  std::vector<PeerSession*> sessions;
  for (auto& [id, link] : this->links) {
    if (link.session != nullptr) {
      sessions.push_back(link.session.get());
    } else if (link.listed && now >= link.next_dial) {
      this->Dial(link);
    }
  }
  for (const auto& session : this->pending) {
    sessions.push_back(session.get());
  }
  for (auto* session : sessions) {
    session->Tick(now);
  }
}

void PeerLinks::Dial(Link& link) {
  assert(link.backoff.has_value());  // set when the host was listed
  link.next_dial = this->Now() + link.backoff->Next();
  auto session =
      PeerSession::Dial(this->options.session, this->SessionHandlers(),
                        this->Now(), link.host.host, link.host.address);
  if (!session->Closed()) {
    link.session = std::move(session);
  }
}

void PeerLinks::DestroyLater(std::unique_ptr<PeerSession> session) {
  if (session != nullptr) {
    this->stats.traffic += session->Traffic();
    this->closed.push_back(std::move(session));
  }
}

std::unique_ptr<PeerSession> PeerLinks::TakePending(
    const PeerSession& session) {
  const auto found = std::ranges::find_if(
      this->pending, [&](const auto& one) { return one.get() == &session; });
  if (found == this->pending.end()) {
    return nullptr;
  }
  auto taken = std::move(*found);
  this->pending.erase(found);
  return taken;
}

PeerLinks::Link* PeerLinks::FindLink(const PeerSession& session) {
  const auto found = std::ranges::find_if(this->links, [&](const auto& entry) {
    return entry.second.session.get() == &session;
  });
  return found == this->links.end() ? nullptr : &found->second;
}

// Makes an authenticated session the link's session. The newest one replaces
// the others: the peer connected again because it no longer receives on the old
// one.
void PeerLinks::ReplaceSession(Link& link,
                               std::unique_ptr<PeerSession> session) {
  if (link.session != nullptr) {
    auto old = std::move(link.session);
    old->Close(
        {.kind = ErrorKind::kStale, .message = "replaced by a newer session"});
    this->DestroyLater(std::move(old));
  }
  link.session = std::move(session);
}

void PeerLinks::OnEstablished(PeerSession& session) {
  const HostId& id = session.Peer().host;
  auto accepted = this->TakePending(session);
  if (accepted != nullptr) {
    const bool known = this->links.contains(id);
    const auto unlisted = std::ranges::count_if(
        this->links, [](const auto& entry) { return !entry.second.listed; });
    const uint64_t known_incarnation =
        known ? this->links[id].received.front().Current().incarnation : 0;
    if ((!known && static_cast<size_t>(unlisted) >= kMaxUnlistedHosts) ||
        session.Peer().incarnation < known_incarnation) {
      session.Close({.kind = ErrorKind::kStale,
                     .message = "older incarnation of a linked host, or too "
                                "many unlisted hosts"});
      this->DestroyLater(std::move(accepted));
      return;
    }
    Link& link = this->links[id];
    link.host.host = id;
    link.host.data_centre = session.Peer().data_centre;
    this->ReplaceSession(link, std::move(accepted));
  }
  Link* link = this->FindLink(session);
  assert(link != nullptr);
  link->up = true;
  if (link->backoff) {
    link->backoff->Reset();
  }
  ++this->stats.sessions_established;
  link->acked = {};
  for (auto& sender : this->digests) {
    sender.OnConnected(id, session.Peer().incarnation);
  }
  LogInfo(kPart, "Linked to a host.",
          {{"host", id.Text()},
           {"data_centre", session.Peer().data_centre.Text()},
           {"incarnation", std::to_string(session.Peer().incarnation)}});
  if (this->handlers.on_up) {
    this->handlers.on_up(id, session.Peer().incarnation);
  }
  for (size_t scope = 0; scope < kDigestScopes; ++scope) {
    if (this->digests[scope].Sequence() > 0 && link->session != nullptr) {
      this->SendDigestTo(static_cast<DigestScope>(scope), *link);
    }
  }
}

void PeerLinks::OnMessage(PeerSession& session, WireMessage message) {
  Link* link = this->FindLink(session);
  if (link == nullptr) {
    return;
  }
  if (this->handlers.on_activity) {
    this->handlers.on_activity(session.Peer());
  }
  if (auto* digest = std::get_if<PeerDigest>(&message)) {
    this->OnDigest(*link, std::move(*digest));
  } else if (auto* other = std::get_if<PeerMessage>(&message)) {
    if (this->handlers.on_message) {
      this->handlers.on_message(session.Peer().host, *other);
    }
  }
}

void PeerLinks::RemoveLink(const HostId& id) {
  for (auto& sender : this->digests) {
    sender.Remove(id);
  }
  this->links.erase(id);
}

void PeerLinks::OnDigest(Link& link, PeerDigest digest) {
  const PeerHello& peer = link.session->Peer();
  for (auto& [scope, ack] : digest.acks) {
    if (ack.incarnation == 0) {
      ack.incarnation = this->options.session.incarnation;
    }
    this->digests[static_cast<size_t>(scope)].OnAck(peer.host, ack);
  }
  digest.delta.host = peer.host;
  digest.delta.data_centre = peer.data_centre;
  digest.delta.incarnation = peer.incarnation;
  auto& received = link.received[static_cast<size_t>(digest.scope)];
  const DeltaOutcome outcome = received.Apply(digest.delta);
  switch (outcome) {
    case DeltaOutcome::kApplied:
      ++this->stats.digests_received;
      if (this->handlers.on_digest) {
        this->handlers.on_digest(digest.scope, received.Current());
      }
      break;
    case DeltaOutcome::kStale:
      ++this->stats.digests_stale;
      break;
    case DeltaOutcome::kGap:
    case DeltaOutcome::kMalformed:
      ++this->stats.digests_gap;
      break;
  }
}

void PeerLinks::OnClosed(PeerSession& session, const Error& reason) {
  ++this->stats.closed[reason.kind];
  if (reason.kind != ErrorKind::kTimeout &&
      this->close_log_limiter.Allow(this->Now())) {
    LogWarning(
        kPart, "Session closed.",
        {{"host", session.Peer().host.Text()},
         {"reason", reason.message},
         {"kind", std::string(AnswerFor(reason.kind).code)},
         {"not_logged", std::to_string(this->close_log_limiter.Suppressed())}});
  }
  this->DestroyLater(this->TakePending(session));
  Link* link = this->FindLink(session);
  if (link == nullptr) {
    return;
  }
  this->DestroyLater(std::move(link->session));
  const HostId id = link->host.host;
  const bool was_up = std::exchange(link->up, false);
  if (was_up) {
    link->next_dial = this->Now();
    if (this->options.session.host > id) {
      link->next_dial += this->options.dial_grace;
    }
  }
  if (!link->listed) {
    this->RemoveLink(id);
  }
  if (was_up) {
    LogInfo(kPart, "Link lost.",
            {{"host", id.Text()}, {"reason", reason.message}});
    if (this->handlers.on_down) {
      this->handlers.on_down(id);
    }
  }
}

bool PeerLinks::IsRecipient(DigestScope scope, const Link& link) const {
  if (scope == DigestScope::kHost && this->options.receives_digests) {
    return link.up && this->options.receives_digests(link.host.host);
  }
  const bool same_data_centre =
      link.host.data_centre == this->options.session.data_centre;
  return link.up && same_data_centre == (scope != DigestScope::kDataCentre);
}

void PeerLinks::SendDigest(DigestScope scope, const Digest& digest) {
  assert(digest.host == this->options.session.host &&
         digest.incarnation == this->options.session.incarnation &&
         "a digest must have this host's id and incarnation");
  if (scope == DigestScope::kHost) {
    const uint64_t bytes = this->BytesOnWire();
    this->round_bytes = bytes - std::exchange(this->round_start_bytes, bytes);
  }
  this->digests[static_cast<size_t>(scope)].Update(digest);
  for (auto& [id, link] : this->links) {
    if (this->IsRecipient(scope, link)) {
      this->SendDigestTo(scope, link);
    }
  }
}

uint64_t PeerLinks::BytesOnWire() const {
  const SessionTraffic traffic = this->Stats().traffic;
  return traffic.bytes_sent + traffic.frames_sent * kPacketBytes;
}

Duration PeerLinks::NextDigestDelay() const {
  const Duration fitting = FromSeconds(static_cast<double>(this->round_bytes) /
                                       this->options.budget_bytes_per_second);
  return std::clamp(fitting, this->options.shortest_period,
                    this->options.longest_period);
}

// Acknowledgements are needed only when a link breaks or a delta was lost, so
// they are sent with one digest in kDigestsPerAck, and with the next one after
// a gap.
std::vector<ScopedAck> PeerLinks::DueAcks(Link& link) const {
  std::vector<ScopedAck> due;
  for (size_t scope = 0; scope < kDigestScopes; ++scope) {
    DigestAck ack = link.received[scope].Ack();
    if (!ack.gap && ack.sequence < link.acked[scope] + kDigestsPerAck) {
      continue;
    }
    link.acked[scope] = ack.sequence;
    if (ack.incarnation == link.session->Peer().incarnation) {
      ack.incarnation = 0;
    }
    due.push_back({.scope = static_cast<DigestScope>(scope), .ack = ack});
  }
  return due;
}

void PeerLinks::SendDigestTo(DigestScope scope, Link& link) {
  if (!this->IsRecipient(scope, link)) {
    return;
  }
  if (link.session->QueuedBytes() > kMaxDigestBacklogBytes) {
    ++this->stats.digests_skipped;
    return;
  }
  DigestSender& sender = this->digests[static_cast<size_t>(scope)];
  const PeerDigest message{.scope = scope,
                           .delta = sender.Next(link.host.host),
                           .acks = this->DueAcks(link)};
  if (!link.session->Send(message)) {
    sender.OnDropped(link.host.host);
  }
}

bool PeerLinks::SendTo(Link& link, const PeerMessage& message) {
  bool sent = link.up;
  if (const auto* reply = std::get_if<BucketsReply>(&message)) {
    for (auto& part : Split(*reply)) {
      sent = sent && link.session->Send(PeerMessage(std::move(part)));
    }
  } else {
    sent = sent && link.session->Send(message);
  }
  this->stats.sends_refused += sent ? 0 : 1;
  return sent;
}

bool PeerLinks::Send(const HostId& host, const PeerMessage& message) {
  const auto found = this->links.find(host);
  if (found == this->links.end()) {
    ++this->stats.sends_refused;
    return false;
  }
  return this->SendTo(found->second, message);
}

size_t PeerLinks::Broadcast(const PeerMessage& message) {
  return std::ranges::count_if(this->links, [&](auto& entry) {
    return entry.second.up && this->SendTo(entry.second, message);
  });
}

std::vector<HostId> PeerLinks::Linked() const {
  std::vector<HostId> linked;
  for (const auto& [id, link] : this->links) {
    if (link.up) {
      linked.push_back(id);
    }
  }
  return linked;
}

PeerStats PeerLinks::Stats() const {
  PeerStats all = this->stats;
  for (const auto& [id, link] : this->links) {
    if (link.session != nullptr) {
      all.traffic += link.session->Traffic();
    }
  }
  return all;
}

}  // namespace hickorystand
