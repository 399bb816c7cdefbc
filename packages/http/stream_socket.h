// Non-blocking TCP connections on a task's GLib main context.
//
// A sender of requests has to know exactly when bytes of a request were sent
// and which response belongs to which request, because both decide whether the
// request may have run. libsoup exposes neither, so ConnectionPool uses these
// sockets directly together with Http1Parser.
//
// Index
//   StreamEnd         how a connection ended
//   StreamEvents      callbacks
//   OutputQueue       written bytes that the kernel hasn't accepted
//   SetResetOnClose   how the kernel closes a socket
//   StreamSocket      one connection
//   Listener          accepts connections on an address

#pragma once

#include <gio/gio.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/glib_ptr.h"
#include "kernel/error.h"
#include "kernel/resource_budget.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "kernel/time.h"

namespace hickorystand {

// How a connection ended.
enum class StreamEnd {
  kRefused,  // could not be established
  kClosed,   // closed in order by the peer
  kReset,    // reset, timed out by the kernel, or closed while bytes were sent
};

// Callbacks of a connection, called on its task. The owner may destroy the
// connection from within a callback.
struct StreamEvents {
  std::function<void()> on_open;  // outgoing connections only
  std::function<void(std::string_view)> on_bytes;
  std::function<void()> on_drained;       // all written bytes were sent
  std::function<void(StreamEnd)> on_end;  // last, once
  // Must free what the connection holds in this state. Without it, and while
  // bytes are unsent, the connection is reset instead.
  std::function<void(HoldingState)> on_yield = {};
};

// Written bytes, in the order of sending.
class OutputQueue {
 public:
  // Appends a copy of the bytes, or the bytes themselves.
  void Append(std::string_view bytes);
  void Append(SharedBytes bytes);

  // The bytes to send next; empty if there are none.
  std::string_view Front() const;

  // Removes the first bytes of Front().
  void Consume(size_t bytes);
  void Clear() { *this = {}; }

  size_t Size() const { return this->size; }

  // Bytes of copies, which nobody else counts.
  size_t OwnBytes() const { return this->own_bytes; }

 private:
  // Either a copy or shared bytes.
  struct Block {
    std::string copy;
    SharedBytes shared;

    std::string_view Bytes() const {
      return this->shared ? *this->shared : this->copy;
    }
  };

  std::deque<Block> blocks;
  size_t consumed = 0;  // of the first block
  size_t size = 0;
  size_t own_bytes = 0;
};

// Sets whether the kernel resets the connection when the socket is closed, by
// the end of the process too, or ends it in order.
void SetResetOnClose(GSocket* socket, bool reset);

// One TCP connection. Destroying it closes it. Used only on the task on which
// it was created.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
 public:
  // Starts to connect. `ack_timeout` limits how long sent bytes may stay
  // unacknowledged (TCP_USER_TIMEOUT); without it, a peer that disappears
  // without a reset is not detected. What the connection holds counts in
  // `budget`, which may be null.
  static std::shared_ptr<StreamSocket> Connect(
      const SocketAddress& address,
      Duration ack_timeout,
      StreamEvents events,
      ResourceBudget* budget = nullptr);

  // Takes over an accepted connection, from which nothing has arrived yet.
  static std::shared_ptr<StreamSocket> Adopt(ObjectPtr<GSocket> socket,
                                             Duration ack_timeout,
                                             StreamEvents events,
                                             ResourceBudget* budget = nullptr);

  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Replaces the callbacks.
  void SetEvents(StreamEvents events) { this->events = std::move(events); }

  // Queues bytes behind those written before, and sends what the kernel takes.
  void Write(std::string_view bytes);
  void Write(SharedBytes bytes);

  // What the owner holds for the connection besides unsent bytes, and who
  // decides for how long. Unsent bytes make any state kSending. A connection
  // that this process has opened never yields.
  void SetHeld(HoldingState state, size_t bytes);

  // Pause() stops reading, so that TCP flow control blocks the peer. Resume()
  // continues.
  void Pause();
  void Resume();

  // The close of the connection ends the body that is being written. From now
  // on CloseAfterWrite() alone ends the connection in order; anything else, the
  // end of the process too, resets it.
  void SetCloseEndsBody();

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
  size_t Unsent() const { return this->unsent.Size(); }

  // Whether the kernel has accepted any byte.
  bool AnySent() const { return this->any_sent; }

  // Whether the connection is established and takes bytes to write.
  bool Open() const {
    return this->state == State::kOpen && !this->write_failed;
  }

 private:
  enum class State { kConnecting, kOpen, kClosing, kDisconnected };
  struct SourceDeleter {
    void operator()(GSource* source) const;
  };
  using SourcePtr = std::unique_ptr<GSource, SourceDeleter>;

  StreamSocket(ObjectPtr<GSocket> socket,
               StreamEvents events,
               ResourceBudget* budget,
               HoldingState state);
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
  void SendQueued();
  void StartCloseTimer();
  void Count();
  void Yield();
  void End(StreamEnd end);

  ObjectPtr<GSocket> socket;
  StreamEvents events;
  HoldingState held_state;
  size_t held_bytes = 0;
  Holding holding;
  State state = State::kOpen;
  SourcePtr input;
  SourcePtr output;
  SourcePtr failure;
  OutputQueue unsent;
  bool any_sent = false;
  bool write_failed = false;
  bool close_ends_body = false;
  bool paused = false;
  std::shared_ptr<StreamSocket> self;  // set during CloseAfterWrite()
  std::unique_ptr<Timer> closing;
};

using StreamSocketPtr = std::shared_ptr<StreamSocket>;

// Listens on an address and passes each accepted connection to `on_accept`.
// Pauses after a failure, which is counted in `budget`: without descriptors the
// next attempt fails too. Destroying it stops listening.
class Listener {
 public:
  static Result<std::unique_ptr<Listener>> Open(
      const SocketAddress& address,
      std::function<void(ObjectPtr<GSocket>)> on_accept,
      ResourceBudget* budget = nullptr);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  Listener() = default;
  static gboolean OnReady(GSocket* socket,
                          GIOCondition condition,
                          gpointer self);

  void Watch();
  void StopWatching();
  bool Accept();

  ObjectPtr<GSocket> socket;
  GSource* source = nullptr;
  std::function<void(ObjectPtr<GSocket>)> on_accept;
  ResourceBudget* budget = nullptr;
  std::unique_ptr<Timer> pause;
};

}  // namespace hickorystand
