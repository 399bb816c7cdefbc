// The links of one entry host to the others: who is connected, digests in both
// directions, and the few other messages that hosts send each other.
//
// A PeerLinks belongs to one task: it is made, used and destroyed there, and
// nobody else touches its sockets. It calls its handlers on that task.
//
//   PeerLinks links(options, handlers);
//   links.Listen();
//   links.SetHosts(hosts);               // again whenever the list changes
//   links.SendDigest(scope, digest);     // every NextDigestDelay() or so
//   links.Send(host, BucketsRequest{.above_revision = 7});
//
// Digests are handed over and delivered whole; on the wire only differences
// travel (decisions/digest_delta.h). A peer that reads too slowly is sent no
// digest until it has caught up, and then one that covers all it missed.

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

// How links are made.
struct PeerLinksOptions {
  SessionOptions session;  // who this host is, its secrets, the timeouts
  SocketAddress listen;    // port 0: any free one, see ListenAddress()
  const Clock* clock = nullptr;
  Duration tick = std::chrono::milliseconds(250);
  // Between tries to connect: doubled from the first to the second, each time
  // with jitter, so that hosts don't all call a restarted one at once.
  Duration first_backoff = std::chrono::milliseconds(250);
  Duration longest_backoff = std::chrono::seconds(10);
  // Of two hosts the one with the lower id calls; the other waits this long
  // before it does so itself, in case the first doesn't know of it yet.
  Duration dial_grace = std::chrono::milliseconds(1500);
  uint64_t seed = 1;  // of the jitter
  // What digests may cost, sent, with their packets. As much comes in, and
  // configuration and distant summaries besides, so this is well below half of
  // the 7 KB/s that a host may spend.
  double budget_bytes_per_second = 2900;
  Duration shortest_period = std::chrono::milliseconds(250);
  Duration longest_period = std::chrono::seconds(2);
  // The linked hosts that this host's own digests go to; null: those of its
  // data centre.
  std::function<bool(const HostId&)> digests_to;
};

// Whom the links tell what.
struct PeerHandlers {
  // A newer digest of a linked host, or of those that it speaks for.
  std::function<void(DigestScope, const Digest&)> on_digest;
  // Any other message.
  std::function<void(const HostId&, const PeerMessage&)> on_message;
  // Anything at all came from a linked host. Frequent.
  std::function<void(const PeerHello&)> on_heard;
  // A link is up, with the incarnation at its other end; or it is down.
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
  uint64_t digests_skipped = 0;  // the receiver still had a backlog
  uint64_t sends_refused = 0;    // no link, or its queue was full
  // Sessions closed, by reason. kUnauthenticated: wrong secret or replay;
  // kTimeout: silent, unreachable or closed by the other side.
  std::map<ErrorKind, uint64_t> closed;
};

// What becomes of links to hosts that are taken off the list.
enum class Delisted { kClose, kKeep };

// All links of one host.
class PeerLinks {
 public:
  PeerLinks(PeerLinksOptions options, PeerHandlers handlers);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Starts to accept connections; kBadSetting if the address is taken.
  Result<SocketAddress> Listen();

  // When a silent link is given up, and how long this host waits for one that
  // has to call it.
  void SetPatience(Duration silence_timeout, Duration dial_grace);

  // The hosts to be linked to. Links to hosts taken off the list are closed, or
  // stay until the other side closes them or falls silent.
  // A host that calls without standing in the list is taken all the same: the
  // list lags, and whoever knows the fleet secret is a host of this fleet.
  void SetHosts(const std::vector<PeerHost>& hosts,
                Delisted delisted = Delisted::kClose);

  // Sends a digest to the linked hosts that its scope is meant for: to those
  // of other data centres for kDataCentre, else to those of this one. The host
  // and incarnation must be those of the options; the sequence number is given
  // here.
  void SendDigest(DigestScope scope, const Digest& digest);

  // How long to wait until the next digests: as short as the budget allows for
  // the bytes that the last ones took.
  Duration NextDigestDelay() const;

  // Sends a message; false if there is no link to the host or it is clogged.
  bool Send(const HostId& host, const PeerMessage& message);

  // Sends to all linked hosts; returns to how many.
  size_t Broadcast(const PeerMessage& message);

  // The hosts that are linked now.
  std::vector<HostId> Linked() const;

  PeerStats Stats() const;

 private:
  struct Link {
    PeerHost host;
    bool listed = false;  // stands in the host list
    std::unique_ptr<PeerSession> session;
    bool up = false;
    std::optional<Backoff> backoff;  // made with the link
    Instant next_dial{};
    std::array<DigestReceiver, kDigestScopes> received;
    std::array<uint64_t, kDigestScopes> acked{};  // last sequence acked
  };

  Instant Now() const { return this->options.clock->Now(); }
  PeerSession::Handlers SessionHandlers();
  void Accept();
  void Tick();
  void Dial(Link& link);
  void Adopt(Link& link, std::unique_ptr<PeerSession> session);
  std::unique_ptr<PeerSession> TakePending(const PeerSession& session);
  void ForgetHost(const HostId& id);
  Link* LinkOf(const PeerSession& session);
  void Bury(std::unique_ptr<PeerSession> session);
  void OnEstablished(PeerSession& session);
  void OnMessage(PeerSession& session, WireMessage message);
  void OnDigest(Link& link, PeerDigest digest);
  std::vector<ScopedAck> DueAcks(Link& link) const;
  void OnClosed(PeerSession& session, const Error& reason);
  bool MeantFor(DigestScope scope, const Link& link) const;
  void SendDigestTo(DigestScope scope, Link& link);
  uint64_t BytesOnWire() const;
  bool SendTo(Link& link, const PeerMessage& message);
  static gboolean OnAcceptable(GSocket* socket, GIOCondition on, gpointer self);

  PeerLinksOptions options;
  PeerHandlers handlers;
  LogLimiter refusals;
  GSocket* listener = nullptr;
  GSource* acceptable = nullptr;
  std::map<HostId, Link> links;
  std::vector<std::unique_ptr<PeerSession>> pending;  // accepted, not proved
  std::vector<std::unique_ptr<PeerSession>> closed;   // to be destroyed
  std::array<DigestSender, kDigestScopes> digests;
  uint64_t round_start_bytes = 0;  // on the wire, when the last digest began
  uint64_t round_bytes = 0;
  PeerStats stats;
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
