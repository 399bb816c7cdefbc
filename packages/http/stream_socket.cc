#include "http/stream_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hickorystand {
namespace {

// Bytes per read. Larger reads would let one fast peer delay all others.
constexpr size_t kReadBlock = size_t{32} << 10;

// Connections waiting to be accepted. Beyond it the kernel drops SYN packets,
// which the client resends only after a second.
constexpr int kBacklog = 512;

// Bytes of a connection's own objects.
constexpr size_t kConnectionBytes = size_t{4} << 10;

// Written bytes are copied into blocks of this size, so that sent ones are
// freed and none is moved.
constexpr size_t kOutputBlock = size_t{64} << 10;

// Connections that are accepted before other sources of the loop are served.
constexpr int kAcceptsPerTurn = 16;

// How long accepting pauses after it has failed.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

// How long to wait for the peer to close its side once all bytes are sent.
constexpr Duration kCloseLimit = std::chrono::seconds(1);

ObjectPtr<GSocketAddress> MakeAddress(const SocketAddress& address) {
  return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(
      address.host.c_str(), address.port));
}

// Null if there is no address.
ObjectPtr<GSocket> MakeSocket(GSocketAddress* address) {
  ObjectPtr<GSocket> socket(
      address == nullptr
          ? nullptr
          : g_socket_new(g_socket_address_get_family(address),
                         G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
  if (socket) {
    g_socket_set_blocking(socket.get(), FALSE);
  }
  return socket;
}

void SetTcpOptions(GSocket* socket, Duration ack_timeout) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(ack_timeout)
          .count();
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<gint>(milliseconds), nullptr);
}

bool IsError(const ErrorPtr& error, GIOErrorEnum code) {
  return g_error_matches(error.get(), G_IO_ERROR, code);
}

}  // namespace

void SetResetOnClose(GSocket* socket, bool reset) {
  const linger option{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &option,
             sizeof option);
}

void StreamSocket::SourceDeleter::operator()(GSource* source) const {
  g_source_destroy(source);
  g_source_unref(source);
}

void OutputQueue::Append(std::string_view bytes) {
  this->size += bytes.size();
  this->own_bytes += bytes.size();
  while (!bytes.empty()) {
    if (this->blocks.empty() || this->blocks.back().shared ||
        this->blocks.back().copy.size() >= kOutputBlock) {
      this->blocks.emplace_back();
    }
    std::string& last = this->blocks.back().copy;
    const size_t fits = std::min(bytes.size(), kOutputBlock - last.size());
    last += bytes.substr(0, fits);
    bytes.remove_prefix(fits);
  }
}

void OutputQueue::Append(SharedBytes bytes) {
  if (bytes && !bytes->empty()) {
    this->size += bytes->size();
    this->blocks.push_back({.shared = std::move(bytes)});
  }
}

std::string_view OutputQueue::Front() const {
  return this->blocks.empty()
             ? std::string_view()
             : this->blocks.front().Bytes().substr(this->consumed);
}

void OutputQueue::Consume(size_t bytes) {
  const Block& first = this->blocks.front();
  this->size -= bytes;
  this->consumed += bytes;
  if (this->consumed == first.Bytes().size()) {
    // A block is freed as a whole.
    this->own_bytes -= first.copy.size();
    this->blocks.pop_front();
    this->consumed = 0;
  }
}

StreamSocket::StreamSocket(ObjectPtr<GSocket> socket,
                           StreamEvents events,
                           ResourceBudget* budget,
                           HoldingState state)
    : socket(std::move(socket)),
      events(std::move(events)),
      held_state(state),
      holding(
          budget,
          state,
          state == HoldingState::kInWork ? std::function<void()>()
                                         : [this] { this->Yield(); }) {
  this->holding.SetDescriptors(1);
  this->Count();
}

StreamSocket::~StreamSocket() {
  this->Close();
}

StreamSocketPtr StreamSocket::Connect(const SocketAddress& address,
                                      Duration ack_timeout,
                                      StreamEvents events,
                                      ResourceBudget* budget) {
  const auto to = MakeAddress(address);
  StreamSocketPtr made(new StreamSocket(MakeSocket(to.get()), std::move(events),
                                        budget, HoldingState::kInWork));
  made->state = State::kConnecting;
  GError* raw = nullptr;
  if (made->socket) {
    SetTcpOptions(made->socket.get(), ack_timeout);
    if (g_socket_connect(made->socket.get(), to.get(), nullptr, &raw) ||
        g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_PENDING)) {
      g_clear_error(&raw);
      made->WatchOutput();
      return made;
    }
  }
  g_clear_error(&raw);
  // Report the failure from the main loop, so that the owner holds the returned
  // pointer when on_end is called.
  made->failure.reset(g_idle_source_new());
  g_source_set_callback(made->failure.get(), &StreamSocket::OnFailed,
                        made.get(), nullptr);
  g_source_attach(made->failure.get(), g_main_context_get_thread_default());
  return made;
}

StreamSocketPtr StreamSocket::Adopt(ObjectPtr<GSocket> socket,
                                    Duration ack_timeout,
                                    StreamEvents events,
                                    ResourceBudget* budget) {
  g_socket_set_blocking(socket.get(), FALSE);
  SetTcpOptions(socket.get(), ack_timeout);
  StreamSocketPtr made(new StreamSocket(std::move(socket), std::move(events),
                                        budget, HoldingState::kSilent));
  made->WatchInput();
  return made;
}

gboolean StreamSocket::OnFailed(gpointer self) {
  static_cast<StreamSocket*>(self)->End(StreamEnd::kRefused);
  return G_SOURCE_REMOVE;
}

StreamSocket::SourcePtr StreamSocket::MakeSource(GIOCondition condition) {
  SourcePtr source(
      g_socket_create_source(this->socket.get(), condition, nullptr));
  g_source_set_callback(
      source.get(),
      reinterpret_cast<GSourceFunc>(  // NOLINT: how GLib types callbacks
          reinterpret_cast<void (*)()>(&StreamSocket::OnReady)),
      this, nullptr);
  g_source_attach(source.get(), g_main_context_get_thread_default());
  return source;
}

void StreamSocket::WatchInput() {
  if (!this->input && !this->paused &&
      (this->state == State::kOpen || this->state == State::kClosing)) {
    this->input = this->MakeSource(G_IO_IN);
  }
}

void StreamSocket::WatchOutput() {
  if (!this->output) {
    this->output = this->MakeSource(G_IO_OUT);
  }
}

gboolean StreamSocket::OnReady(GSocket* /*socket*/,
                               GIOCondition condition,
                               gpointer data) {
  const auto self = static_cast<StreamSocket*>(data)->shared_from_this();
  if (self->state == State::kConnecting) {
    self->FinishConnect();
  } else if ((condition & G_IO_OUT) != 0) {
    self->Flush();
  } else {
    self->ReadSome();
  }
  return G_SOURCE_CONTINUE;
}

void StreamSocket::FinishConnect() {
  if (!g_socket_check_connect_result(this->socket.get(), nullptr)) {
    this->End(StreamEnd::kRefused);
    return;
  }
  this->state = State::kOpen;
  this->WatchInput();
  if (const auto call = this->events.on_open) {
    call();
  }
  if (this->state == State::kOpen) {
    this->Flush();
  }
}

void StreamSocket::ReadSome() {
  this->holding.MakeRoom();
  if (this->state != State::kOpen && this->state != State::kClosing) {
    return;
  }
  std::array<char, kReadBlock> block;
  GError* raw = nullptr;
  const gssize got = g_socket_receive(this->socket.get(), block.data(),
                                      block.size(), nullptr, &raw);
  const ErrorPtr error(raw);
  if (got > 0) {
    if (this->state == State::kClosing) {
      return;
    }
    // Copied because the owner may replace the callbacks from within one.
    const auto call = this->events.on_bytes;
    call({block.data(), static_cast<size_t>(got)});
  } else if (got == 0) {
    this->End(this->write_failed ? StreamEnd::kReset : StreamEnd::kClosed);
  } else if (!IsError(error, G_IO_ERROR_WOULD_BLOCK)) {
    this->End(StreamEnd::kReset);
  }
}

void StreamSocket::Write(std::string_view bytes) {
  if (this->state == State::kDisconnected || this->state == State::kClosing) {
    return;
  }
  this->unsent.Append(bytes);
  this->SendQueued();
}

void StreamSocket::Write(SharedBytes bytes) {
  if (this->state == State::kDisconnected || this->state == State::kClosing) {
    return;
  }
  this->unsent.Append(std::move(bytes));
  this->SendQueued();
}

void StreamSocket::SendQueued() {
  if (this->state == State::kOpen && !this->output) {
    this->Flush();
  } else {
    this->Count();
  }
}

void StreamSocket::SetHeld(HoldingState to, size_t bytes) {
  this->held_state = to;
  this->held_bytes = bytes;
  this->Count();
}

void StreamSocket::Count() {
  this->holding.SetState(this->unsent.OwnBytes() > 0 ? HoldingState::kSending
                                                     : this->held_state);
  this->holding.SetBytes(static_cast<int64_t>(
      kConnectionBytes + this->held_bytes + this->unsent.OwnBytes()));
}

void StreamSocket::Yield() {
  const auto keep = this->shared_from_this();
  const HoldingState yielding = this->holding.State();
  const auto call = this->events.on_yield;
  if (call && yielding != HoldingState::kSending) {
    call(yielding);
    return;
  }
  this->Reset();
  this->End(StreamEnd::kReset);
}

void StreamSocket::Flush() {
  while (this->unsent.Size() > 0) {
    GError* raw = nullptr;
    const std::string_view next = this->unsent.Front();
    const gssize sent = g_socket_send(this->socket.get(), next.data(),
                                      next.size(), nullptr, &raw);
    const ErrorPtr error(raw);
    if (sent < 0) {
      if (IsError(error, G_IO_ERROR_WOULD_BLOCK)) {
        this->WatchOutput();
        this->Count();
      } else {
        // Data that the peer sent before the reset may still be readable; the
        // input source reports the end of the connection after it. The kernel
        // reports an error once, so reading then ends like an orderly close.
        this->write_failed = true;
        this->unsent.Clear();
        this->Count();
        this->output.reset();
        this->WatchInput();
        this->StartCloseTimer();
      }
      return;
    }
    this->any_sent = true;
    this->unsent.Consume(static_cast<size_t>(sent));
  }
  this->Count();
  this->output.reset();
  if (this->state == State::kClosing) {
    if (this->close_ends_body) {
      SetResetOnClose(this->socket.get(), false);
    }
    g_socket_shutdown(this->socket.get(), FALSE, TRUE, nullptr);
    this->StartCloseTimer();
  } else if (const auto call = this->events.on_drained) {
    call();
  }
}

void StreamSocket::Pause() {
  this->paused = true;
  this->input.reset();
}

void StreamSocket::Resume() {
  this->paused = false;
  this->WatchInput();
}

void StreamSocket::SetCloseEndsBody() {
  if (this->state == State::kOpen) {
    this->close_ends_body = true;
    SetResetOnClose(this->socket.get(), true);
  }
}

void StreamSocket::CloseAfterWrite() {
  if (this->state != State::kOpen) {
    this->Close();
    return;
  }
  this->state = State::kClosing;
  this->events = {};
  this->SetHeld(HoldingState::kSending, 0);
  this->self = this->shared_from_this();
  this->Resume();
  if (!this->output) {
    this->Flush();
  }
}

void StreamSocket::StartCloseTimer() {
  if (this->state == State::kClosing) {
    this->closing =
        Timer::After(kCloseLimit, [this] { this->End(StreamEnd::kClosed); });
  }
}

void StreamSocket::Close() {
  this->state = State::kDisconnected;
  this->input.reset();
  this->output.reset();
  this->failure.reset();
  if (this->socket) {
    g_socket_close(this->socket.get(), nullptr);
  }
  this->unsent.Clear();
  this->holding.SetDescriptors(0);
  this->holding.SetBytes(0);
}

void StreamSocket::Reset() {
  if (this->socket && this->state != State::kDisconnected) {
    SetResetOnClose(this->socket.get(), true);
  }
  this->Close();
}

void StreamSocket::End(StreamEnd end) {
  const auto keep = std::exchange(this->self, nullptr);
  this->Close();
  if (const auto call = this->events.on_end) {
    call(end);
  }
}

Result<std::unique_ptr<Listener>> Listener::Open(
    const SocketAddress& address,
    std::function<void(ObjectPtr<GSocket>)> on_accept,
    ResourceBudget* budget) {
  std::unique_ptr<Listener> made(new Listener());
  const auto at = MakeAddress(address);
  made->socket = MakeSocket(at.get());
  made->on_accept = std::move(on_accept);
  made->budget = budget;
  GError* raw = nullptr;
  if (made->socket) {
    g_socket_set_listen_backlog(made->socket.get(), kBacklog);
  }
  if (!made->socket ||
      !g_socket_bind(made->socket.get(), at.get(), TRUE, &raw) ||
      !g_socket_listen(made->socket.get(), &raw)) {
    const ErrorPtr error(raw);
    return Fail(ErrorKind::kBadSetting,
                "can't listen at " + address.host + ":" +
                    std::to_string(address.port) +
                    (error ? std::string(": ") + error->message : ""));
  }
  made->Watch();
  return made;
}

Listener::~Listener() {
  this->StopWatching();
  if (this->socket) {
    g_socket_close(this->socket.get(), nullptr);
  }
}

void Listener::Watch() {
  this->source = g_socket_create_source(this->socket.get(), G_IO_IN, nullptr);
  g_source_set_callback(
      this->source,
      reinterpret_cast<GSourceFunc>(  // NOLINT: how GLib types callbacks
          reinterpret_cast<void (*)()>(&Listener::OnReady)),
      this, nullptr);
  g_source_attach(this->source, g_main_context_get_thread_default());
}

void Listener::StopWatching() {
  if (GSource* const watched = std::exchange(this->source, nullptr)) {
    g_source_destroy(watched);
    g_source_unref(watched);
  }
}

gboolean Listener::OnReady(GSocket* /*socket*/,
                           GIOCondition /*condition*/,
                           gpointer data) {
  const auto self = static_cast<Listener*>(data);
  for (int i = 0; i < kAcceptsPerTurn && self->Accept(); ++i) {
  }
  return G_SOURCE_CONTINUE;
}

// Returns whether there may be another connection to accept.
bool Listener::Accept() {
  GError* raw = nullptr;
  ObjectPtr<GSocket> accepted(
      g_socket_accept(this->socket.get(), nullptr, &raw));
  const ErrorPtr error(raw);
  if (accepted) {
    this->on_accept(std::move(accepted));
    return true;
  }
  if (IsError(error, G_IO_ERROR_WOULD_BLOCK)) {
    return false;
  }
  if (this->budget != nullptr) {
    this->budget->CountFailedAccept(error->message);
  }
  this->StopWatching();
  this->pause = Timer::After(kAcceptPause, [this] { this->Watch(); });
  return false;
}

}  // namespace hickorystand
