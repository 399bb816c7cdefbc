// One TCP connection on a task's main context, without blocking.
//
// libsoup hides when bytes leave and joins answers to requests by itself. A
// relay has to know both exactly, since "may have run" follows from them. So
// the relay sits on sockets, and the parser library reads what comes.
//
// Index
//   StreamEnd      how a connection ended
//   StreamEvents   callbacks
//   StreamSocket   the connection
//   Listener       accepts connections at an address

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
  kRefused,  // never opened
  kClosed,   // the peer closed in order
  kReset,    // lost, or timed out by the kernel
};

// Callbacks of a connection. Called on the task; the owner may drop
// the connection from within.
struct StreamEvents {
  std::function<void()> on_open;  // outgoing ones only
  std::function<void(std::string_view)> on_bytes;
  std::function<void()> on_drained;       // all that was written left
  std::function<void(StreamEnd)> on_end;  // last, once
};

// A connection. Destroying it closes it.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
 public:
  // Starts to connect. `silence` is how long sent bytes may stay
  // unacknowledged: a peer that vanished without a reset shows only by that.
  static std::shared_ptr<StreamSocket> Connect(const SocketAddress& address,
                                               Duration silence,
                                               StreamEvents events);

  // Takes over an accepted connection.
  static std::shared_ptr<StreamSocket> Adopt(ObjectPtr<GSocket> socket,
                                             Duration silence,
                                             StreamEvents events);

  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Replaces the callbacks.
  void SetEvents(StreamEvents events) { this->events = std::move(events); }

  // Sends bytes after those written before.
  void Write(std::string_view bytes);

  // Stops reading, so that the peer has to wait, and goes on.
  void Pause();
  void Resume();

  // Ends the connection in order once all was sent. It reads on meanwhile and
  // keeps itself alive for that: a close with unread bytes is a reset, which
  // could destroy what the peer hasn't read yet. No event follows.
  void CloseAfterWrite();

  // Ends the connection at once, in order or by a reset.
  void Close();
  void Reset();

  // Bytes written that the kernel hasn't taken yet.
  size_t Unsent() const { return this->unsent.size(); }

  // Whether any byte was handed to the kernel.
  bool AnySent() const { return this->any_sent; }

  bool Open() const { return this->state == State::kOpen; }

 private:
  enum class State { kConnecting, kOpen, kClosing, kOver };
  struct SourceDrop {
    void operator()(GSource* source) const;
  };
  using SourcePtr = std::unique_ptr<GSource, SourceDrop>;

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
  void LimitClose();
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
  std::shared_ptr<StreamSocket> self;  // while it closes
  std::unique_ptr<Timer> closing;
};

using StreamSocketPtr = std::shared_ptr<StreamSocket>;

// Listens at an address.
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
