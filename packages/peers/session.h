// One TCP connection to another entry host: dialled or accepted, then
// authenticated by Hellos in both directions, then used in both directions.
//
//   dialling side                     accepting side
//     Hello (names whom it expects) ->
//                                   <- Hello
//     Heartbeat                     ->      established on both sides
//     messages                     <->      messages
//
// The accepting side counts the session as established only after a frame
// tagged under the session's key. A Hello alone may be a recording, and must
// not push a good session aside.

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
#include "kernel/settings.h"
#include "kernel/time.h"
#include "peers/frame.h"
#include "peers/wire.h"

namespace hickorystand {

// Most bytes that wait to be written to one peer.
inline constexpr size_t kMaxQueuedBytes = 8UL * 1024 * 1024;

// What every session of a host has in common.
struct SessionOptions {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  // The fleet secrets that are accepted; the first one is used for dialling.
  std::vector<std::string> secrets;
  Duration hello_timeout = std::chrono::seconds(3);
  // A session on which nothing was heard for so long is closed. Its TCP
  // connection may stay open for hours after something on the way forgot it.
  Duration silence_timeout = std::chrono::seconds(6);
  // Something is sent at least this often. Longer than the period of digests,
  // which then serve as heartbeats.
  Duration heartbeat_period = std::chrono::milliseconds(2500);
  // Test switch: without it a silent session is kept.
  bool close_silent = true;
};

// Bytes and frames that went through a session.
struct SessionTraffic {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;

  SessionTraffic& operator+=(const SessionTraffic& other);
  bool operator==(const SessionTraffic&) const = default;
};

// One connection. Lives on the task that made it; is destroyed by its owner,
// never from within its own callbacks.
class PeerSession {
 public:
  struct Handlers {
    std::function<void(PeerSession&)> on_established;
    std::function<void(PeerSession&, WireMessage)> on_message;
    // Called once; the session is dead afterwards.
    std::function<void(PeerSession&, const Error&)> on_closed;
  };

  // Connects to `expected` at an address.
  static std::unique_ptr<PeerSession> Dial(const SessionOptions& options,
                                           Handlers handlers,
                                           Instant now,
                                           const HostId& expected,
                                           const SocketAddress& address);

  // Takes over an accepted socket.
  static std::unique_ptr<PeerSession> Accept(const SessionOptions& options,
                                             Handlers handlers,
                                             Instant now,
                                             GSocket* socket);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  // Queues a message; false if the session is closed or its queue is full.
  bool Send(const WireMessage& message);

  // Checks the timeouts and sends a heartbeat when one is due.
  void Tick(Instant now);

  // Closes the session, with `reason` for its owner.
  void Close(const Error& reason);

  bool Established() const { return this->state == State::kEstablished; }
  bool Closed() const { return this->state == State::kClosed; }
  bool Dialled() const { return this->dialled; }
  Instant LastHeard() const { return this->last_heard; }
  Instant Started() const { return this->started; }

  // The other end, as its Hello says.
  const PeerHello& Peer() const { return this->peer; }
  const SessionTraffic& Traffic() const { return this->traffic; }

  // Bytes that wait to be written.
  size_t QueuedBytes() const { return this->queued_bytes; }

 private:
  enum class State { kConnecting, kHello, kProving, kEstablished, kClosed };

  PeerSession(const SessionOptions& options,
              Handlers handlers,
              Instant now,
              bool dialled);
  void TakeSocket(GSocket* taken);
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
  FrameReader reader{kMaxHelloFrame};
  std::deque<std::string> queue;  // frames; the first may be partly written
  size_t queued_bytes = 0;
  size_t written = 0;  // bytes of the first frame that are out
  std::string own_hello;
  std::string key;
  uint64_t next_out = 0;
  uint64_t next_in = 0;
  PeerHello expected;
  PeerHello peer;
  Instant now;
  Instant started;
  Instant last_heard;
  Instant last_sent;
  SessionTraffic traffic;
};

}  // namespace hickorystand
