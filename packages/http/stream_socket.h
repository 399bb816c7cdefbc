// Non-blocking TCP connections on a task's GLib main context.
//
// A relay has to know exactly when bytes of a request were sent and which
// response belongs to which request, because both decide whether the request
// may have run. libsoup exposes neither, so the relay uses these sockets
// directly together with Http1Parser.
//
// Index
//   StreamEnd      how a connection ended
//   StreamEvents   callbacks
//   StreamSocket   one connection
//   Listener       accepts connections on an address

#pragma once

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/glib_ptr.h"
#include "kernel/error.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "kernel/time.h"

namespace hickorystand {

// How a connection ended.
enum class StreamEnd {
  kRefused,  // could not be established
  kClosed,   // closed in order by the peer
  kReset,    // reset, or timed out by the kernel
};

// Callbacks of a connection, called on its task. The owner may destroy the
// connection from within a callback.
struct StreamEvents {
  std::function<void()> on_open;  // outgoing connections only
  std::function<void(std::string_view)> on_bytes;
  std::function<void()> on_drained;       // all written bytes were sent
  std::function<void(StreamEnd)> on_end;  // last, once
};

// One TCP connection. Destroying it closes it. Used only on the task on which
// it was created.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
 public:
  // Starts to connect. `ack_timeout` limits how long sent bytes may stay
  // unacknowledged (TCP_USER_TIMEOUT); without it, a peer that disappears
  // without a reset is not detected.
  static std::shared_ptr<StreamSocket> Connect(const SocketAddress& address,
                                               Duration ack_timeout,
                                               StreamEvents events);

  // Takes over an accepted connection.
  static std::shared_ptr<StreamSocket> Adopt(ObjectPtr<GSocket> socket,
                                             Duration ack_timeout,
                                             StreamEvents events);

  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Replaces the callbacks.
  void SetEvents(StreamEvents events) { this->events = std::move(events); }

  // Queues bytes behind those written before, and sends what the kernel takes.
  void Write(std::string_view bytes);

  // Pause() stops reading, so that TCP flow control blocks the peer. Resume()
  // continues.
  void Pause();
  void Resume();

  // Closes the connection in order once all bytes are sent. Until then the
  // object keeps itself alive and discards input, because a close with unread
  // input sends a reset, which can destroy data that the peer has not read yet.
  // No callback follows.
  void CloseAfterWrite();

  // Closes the connection at once: in order, or with a reset, which also
  // discards unsent bytes in the kernel. No callback follows.
  void Close();
  void Reset();

  // Bytes written that the kernel has not accepted yet.
  size_t Unsent() const { return this->unsent.size(); }

  // Whether the kernel has accepted any byte.
  bool AnySent() const { return this->any_sent; }

  bool Open() const { return this->state == State::kOpen; }

 private:
  enum class State { kConnecting, kOpen, kClosing, kDisconnected };
  struct SourceDeleter {
    void operator()(GSource* source) const;
  };
  using SourcePtr = std::unique_ptr<GSource, SourceDeleter>;

  StreamSocket(ObjectPtr<GSocket> socket, StreamEvents events);
  static gboolean OnReady(GSocket* socket,
                          GIOCondition condition,
                          gpointer self);
  static gboolean OnFailed(gpointer self);
  SourcePtr MakeSource(GIOCondition condition);
  void WatchInput();
  void WatchOutput();
  void FinishConnect();
  void ReadSome();
  void Flush();
  void StartCloseTimer();
  void End(StreamEnd end);

  ObjectPtr<GSocket> socket;
  StreamEvents events;
  State state = State::kOpen;
  SourcePtr input;
  SourcePtr output;
  SourcePtr failure;
  std::string unsent;
  bool any_sent = false;
  bool paused = false;
  std::shared_ptr<StreamSocket> self;  // set during CloseAfterWrite()
  std::unique_ptr<Timer> closing;
};

using StreamSocketPtr = std::shared_ptr<StreamSocket>;

// Listens on an address and passes each accepted connection to `on_accept`.
// Destroying it stops listening.
class Listener {
 public:
  static Result<std::unique_ptr<Listener>> Open(
      const SocketAddress& address,
      std::function<void(ObjectPtr<GSocket>)> on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  Listener() = default;
  static gboolean OnReady(GSocket* socket,
                          GIOCondition condition,
                          gpointer self);

  ObjectPtr<GSocket> socket;
  GSource* source = nullptr;
  std::function<void(ObjectPtr<GSocket>)> on_accept;
};

}  // namespace hickorystand
