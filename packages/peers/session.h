// One TCP connection to another host. It is dialled or accepted, then
// authenticated by a Hello in each direction, then used in both directions.
//
//   dialling side                     accepting side
//     Hello (with the expected id) ->
//                                  <- Hello
//     Heartbeat                    ->      established on both sides
//     messages                    <->      messages
//
// The accepting side treats the session as established only after it has
// received a frame authenticated with the session key. A Hello alone may be
// replayed, and must not replace a working session.
//
//   auto session = PeerSession::Dial(options, handlers, now, id, address);
//   session->Tick(now);             // periodically
//   session->Send(message);         // once established
//
// Index
//   SessionOptions, SessionTraffic
//   PeerSession

#pragma once

#include <gio/gio.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/resource_budget.h"
#include "kernel/settings.h"
#include "kernel/time.h"
#include "peers/frame.h"
#include "peers/wire.h"

namespace hickorystand {

// Limit on the bytes queued for one peer. Large messages are refused before
// that if too much is in work (SessionOptions::budget).
inline constexpr size_t kMaxQueuedBytes = 8UL * 1024 * 1024;

// Configuration shared by all sessions of a host.
struct SessionOptions {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  // The accepted fleet secrets. The first one is used for dialling.
  std::vector<std::string> secrets;
  // Time from the start of a session until it must be established.
  Duration hello_timeout = std::chrono::seconds(3);
  // A session that receives nothing for this long is closed. Its TCP connection
  // may stay open for hours after a device on the path has dropped its state.
  Duration silence_timeout = std::chrono::seconds(6);
  // A heartbeat is sent when nothing else was for this long. It is longer than
  // the period of digests, which therefore serve as heartbeats.
  Duration heartbeat_period = std::chrono::milliseconds(2500);
  // Counts what is queued; may be null.
  ResourceBudget* budget = nullptr;
  // For tests: if false, the silence timeout is not applied.
  bool close_silent = true;
};

// Bytes and frames that a session sent and received.
struct SessionTraffic {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;

  SessionTraffic& operator+=(const SessionTraffic& other);
  bool operator==(const SessionTraffic&) const = default;
};

// One connection. Belongs to the task that created it. Its owner destroys it,
// but never during one of its callbacks.
class PeerSession {
 public:
  struct Handlers {
    std::function<void(PeerSession&)> on_established;
    std::function<void(PeerSession&, WireMessage)> on_message;
    // Called once, with the reason; the session can't be used afterwards.
    std::function<void(PeerSession&, const Error&)> on_closed;
  };

  // Starts to connect to the host `expected` at an address. If that fails at
  // once, the returned session is already closed.
  static std::unique_ptr<PeerSession> Dial(const SessionOptions& options,
                                           Handlers handlers,
                                           Instant now,
                                           const HostId& expected,
                                           const SocketAddress& address);

  // Starts a session on an accepted socket, of which it keeps a reference.
  static std::unique_ptr<PeerSession> Accept(const SessionOptions& options,
                                             Handlers handlers,
                                             Instant now,
                                             GSocket* socket);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  // Queues a message; false if the session isn't established or its queue is
  // full.
  bool Send(const WireMessage& message);

  // Checks the timeouts and sends a heartbeat when one is due.
  void Tick(Instant now);

  // Closes the session and passes `reason` to on_closed. Does nothing if the
  // session is closed.
  void Close(const Error& reason);

  bool Established() const { return this->state == State::kEstablished; }
  bool Closed() const { return this->state == State::kClosed; }
  bool Dialled() const { return this->dialled; }
  Instant LastReceived() const { return this->last_received; }
  Instant Started() const { return this->started; }

  // The peer's Hello.
  const PeerHello& Peer() const { return this->peer; }
  const SessionTraffic& Traffic() const { return this->traffic; }

  // Bytes not yet written to the socket.
  size_t QueuedBytes() const { return this->queued_bytes; }

 private:
  // kHello: waits for the peer's Hello. kAwaitingProof (accepting side): waits
  // for the first frame authenticated with the session key.
  enum class State {
    kConnecting,
    kHello,
    kAwaitingProof,
    kEstablished,
    kClosed
  };

  PeerSession(const SessionOptions& options,
              Handlers handlers,
              Instant now,
              bool dialled);
  void AttachSocket(GSocket* taken);
  void Connect(const SocketAddress& address);
  void SendHello();
  bool OnHello(std::string_view body);
  bool OnFrame(std::string_view body);
  bool HandleFrames();
  void Queue(std::string frame);
  bool SendPayload(std::string_view payload);
  void Write();
  void Read();
  void WatchWritable(bool on);
  static gboolean OnReadable(GSocket* socket, GIOCondition on, gpointer self);
  static gboolean OnWritable(GSocket* socket, GIOCondition on, gpointer self);

  const SessionOptions& options;
  Handlers handlers;
  bool dialled;
  State state = State::kConnecting;
  GSocket* socket = nullptr;
  GSource* readable = nullptr;
  GSource* writable = nullptr;
  FrameReader reader{kMaxHelloFrameBytes};
  std::deque<std::string> queue;  // frames; the first may be partly written
  size_t queued_bytes = 0;
  // What is queued.
  Holding held{this->options.budget, HoldingState::kInWork};
  size_t written = 0;  // bytes of the first frame already written
  std::string own_hello;
  std::string key;  // session key; within OnHello() first the fleet secret
  // Sequence numbers of the next frame in each direction.
  uint64_t next_send_sequence = 0;
  uint64_t next_receive_sequence = 0;
  PeerHello expected;
  PeerHello peer;
  Instant now;
  Instant started;
  Instant last_received;
  Instant last_sent;
  SessionTraffic traffic;
};

}  // namespace hickorystand
