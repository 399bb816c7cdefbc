// The links of one host to its peers: connections, digests in both directions,
// and the other messages that hosts send each other.
//
// A PeerLinks and its sockets belong to one task: it is created, used and
// destroyed there, and calls its handlers there.
//
//   PeerLinks links(options, handlers);
//   links.Listen();
//   links.SetHosts(hosts);               // again whenever the list changes
//   links.SendDigest(scope, digest);     // every NextDigestDelay() or so
//   links.Send(host, BucketsRequest{.above_revision = 7});
//
// Callers pass and receive whole digests; only differences are transmitted
// (decisions/digest_delta.h). A peer that reads too slowly gets no digest until
// its backlog has shrunk, and then one delta that covers all it missed.
//
// Index
//   PeerLinksOptions, PeerHandlers
//   PeerStats   counters
//   DelistedLinkPolicy
//   PeerLinks

#pragma once

#include <gio/gio.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/digest.h"
#include "decisions/digest_delta.h"
#include "decisions/membership.h"
#include "kernel/backoff.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/log.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "kernel/time.h"
#include "peers/message.h"
#include "peers/session.h"

namespace hickorystand {

// Configuration of a PeerLinks.
struct PeerLinksOptions {
  SessionOptions session;  // this host's identity, its secrets, the timeouts
  SocketAddress listen;    // port 0: any free one; Listen() returns it
  const Clock* clock = nullptr;
  // Period at which timeouts are checked and connections attempted.
  Duration tick = std::chrono::milliseconds(250);
  // Exponential backoff between connection attempts: doubles from the first
  // value up to the longest. The jitter keeps all hosts from connecting to a
  // restarted one at the same time.
  Duration first_backoff = std::chrono::milliseconds(250);
  Duration longest_backoff = std::chrono::seconds(10);
  // Of two hosts the one with the lower id connects. The other waits this long
  // and then connects itself, in case it is not yet in the first one's list.
  Duration dial_grace = std::chrono::milliseconds(1500);
  uint64_t seed = 1;  // for the jitter
  // Budget for sent digests, including packet headers. The same volume is
  // received, and configuration and the summaries of other data centres come in
  // addition, so this is well below half of the 7 KB/s allowed per host.
  double budget_bytes_per_second = 2900;
  // Bounds of the period between digests.
  Duration shortest_period = std::chrono::milliseconds(250);
  Duration longest_period = std::chrono::seconds(2);
  // Whether a linked host receives this host's own digests; null: all hosts of
  // its data centre do.
  std::function<bool(const HostId&)> receives_digests;
};

// Callbacks of a PeerLinks. All are optional.
struct PeerHandlers {
  // A newer digest from a linked host: its own, or a summary that it sent.
  std::function<void(DigestScope, const Digest&)> on_digest;
  // Any other message.
  std::function<void(const HostId&, const PeerMessage&)> on_message;
  // Called for every message received from a linked host, digests and
  // heartbeats included, so frequently.
  std::function<void(const PeerHello&)> on_activity;
  // A link was established, with the peer's incarnation; or it was lost.
  std::function<void(const HostId&, uint64_t incarnation)> on_up;
  std::function<void(const HostId&)> on_down;
};

// Counters since start.
struct PeerStats {
  SessionTraffic traffic;
  uint64_t sessions_established = 0;
  uint64_t digests_received = 0;
  uint64_t digests_stale = 0;
  uint64_t digests_gap = 0;
  uint64_t digests_skipped = 0;  // not sent because of the receiver's backlog
  uint64_t sends_refused = 0;    // no link, or its queue was full
  // Sessions closed, by reason. kUnauthenticated: wrong secret or replay;
  // kTimeout: silent, unreachable or closed by the peer.
  std::map<ErrorKind, uint64_t> closed;
};

// Whether SetHosts() closes links to hosts that were removed from the list.
enum class DelistedLinkPolicy { kClose, kKeep };

// Maintains one host's links: accepts and dials connections, reconnects with
// backoff, and sends and receives digests and messages.
class PeerLinks {
 public:
  PeerLinks(PeerLinksOptions options, PeerHandlers handlers);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Starts to accept connections. Returns the address with the bound port, or
  // kBadSetting if it can't be used, for example because it is in use.
  Result<SocketAddress> Listen();

  // Changes SessionOptions::silence_timeout and PeerLinksOptions::dial_grace.
  void SetTimeouts(Duration silence_timeout, Duration dial_grace);

  // Sets the hosts to be linked to. Links to hosts removed from the list are
  // closed, or kept until the peer closes them or the silence timeout expires.
  // Connections from hosts that are not in the list are accepted too: the list
  // lags, and any host that knows the fleet secret belongs to this fleet.
  void SetHosts(const std::vector<PeerHost>& hosts,
                DelistedLinkPolicy delisted = DelistedLinkPolicy::kClose);

  // Sends a digest to the linked hosts that receive its scope: those of other
  // data centres for kDataCentre, else those of this one. Its host and
  // incarnation must be those of the options; the sequence number is assigned
  // here.
  void SendDigest(DigestScope scope, const Digest& digest);

  // Delay until the next digests: the shortest that keeps the bytes sent
  // between the last two within the budget.
  Duration NextDigestDelay() const;

  // Sends a message; false if there is no link to the host or its queue is
  // full.
  bool Send(const HostId& host, const PeerMessage& message);

  // Sends to all linked hosts; returns to how many.
  size_t Broadcast(const PeerMessage& message);

  // The hosts with an established link.
  std::vector<HostId> Linked() const;

  PeerStats Stats() const;

 private:
  struct Link {
    PeerHost host;
    bool listed = false;  // in the host list
    std::unique_ptr<PeerSession> session;
    bool up = false;
    std::optional<Backoff> backoff;  // set once the host is listed
    Instant next_dial{};
    std::array<DigestReceiver, kDigestScopes> received;
    std::array<uint64_t, kDigestScopes> acked{};  // sequence last acknowledged
  };

  Instant Now() const { return this->options.clock->Now(); }
  PeerSession::Handlers SessionHandlers();
  void Watch();
  void StopWatching();
  void Accept();
  void Tick();
  void Dial(Link& link);
  void ReplaceSession(Link& link, std::unique_ptr<PeerSession> session);
  std::unique_ptr<PeerSession> TakePending(const PeerSession& session);
  void RemoveLink(const HostId& id);
  Link* FindLink(const PeerSession& session);
  void DestroyLater(std::unique_ptr<PeerSession> session);
  void OnEstablished(PeerSession& session);
  void OnMessage(PeerSession& session, WireMessage message);
  void OnDigest(Link& link, PeerDigest digest);
  std::vector<ScopedAck> DueAcks(Link& link) const;
  void OnClosed(PeerSession& session, const Error& reason);
  bool IsRecipient(DigestScope scope, const Link& link) const;
  void SendDigestTo(DigestScope scope, Link& link);
  uint64_t BytesOnWire() const;
  bool SendTo(Link& link, const PeerMessage& message);
  static gboolean OnAcceptable(GSocket* socket, GIOCondition on, gpointer self);

  PeerLinksOptions options;
  PeerHandlers handlers;
  LogLimiter close_log_limiter;
  GSocket* listener = nullptr;
  GSource* acceptable = nullptr;
  std::map<HostId, Link> links;
  // Accepted but not authenticated, oldest first.
  std::vector<std::unique_ptr<PeerSession>> pending;
  std::vector<std::unique_ptr<PeerSession>> closed;  // destroyed by Tick()
  std::array<DigestSender, kDigestScopes> digests;
  // BytesOnWire() at the last SendDigest() of this host's own digest, and the
  // bytes sent between the last two of them.
  uint64_t round_start_bytes = 0;
  uint64_t round_bytes = 0;
  PeerStats stats;
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
