#include "peers/session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace hickorystand {
namespace {

constexpr size_t kReadChunkBytes = 16UL * 1024;
// Limit on the bytes read per event loop iteration, so that a peer that floods
// this host can't starve the other sessions.
constexpr size_t kMaxReadPerIteration = 64UL * 1024;

// Contexts covered by tags and prefix of the session key's input. They differ,
// so that a Hello can't be sent back as the answer to itself.
constexpr std::string_view kDiallerHelloContext = "hello";
constexpr std::string_view kAccepterHelloContext = "answer:";
constexpr std::string_view kSessionKeyPrefix = "session:";

GSocket* NewSocket(const SocketAddress& address) {
  GInetAddress* ip = g_inet_address_new_from_string(address.host.c_str());
  assert(ip != nullptr && "addresses are checked when settings are read");
  GSocket* socket =
      g_socket_new(g_inet_address_get_family(ip), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, nullptr);
  g_object_unref(ip);
  return socket;
}

void DestroySource(GSource*& source) {
  if (source != nullptr) {
    g_source_destroy(source);
    g_source_unref(source);
    source = nullptr;
  }
}

// Returns a GError's message and frees the error.
std::string TakeMessage(GError* error) {
  std::string text = error == nullptr ? "unknown" : error->message;
  g_clear_error(&error);
  return text;
}

}  // namespace

SessionTraffic& SessionTraffic::operator+=(const SessionTraffic& other) {
  this->bytes_sent += other.bytes_sent;
  this->bytes_received += other.bytes_received;
  this->frames_sent += other.frames_sent;
  this->frames_received += other.frames_received;
  return *this;
}

PeerSession::PeerSession(const SessionOptions& options,
                         Handlers handlers,
                         Instant now,
                         bool dialled)
    : options(options),
      handlers(std::move(handlers)),
      dialled(dialled),
      now(now),
      started(now),
      last_received(now),
      last_sent(now) {
  assert(!options.secrets.empty() && "a fleet secret is needed");
}

std::unique_ptr<PeerSession> PeerSession::Dial(const SessionOptions& options,
                                               Handlers handlers,
                                               Instant now,
                                               const HostId& expected,
                                               const SocketAddress& address) {
  std::unique_ptr<PeerSession> session(
      new PeerSession(options, std::move(handlers), now, true));
  session->expected.host = expected;
  session->Connect(address);
  return session;
}

std::unique_ptr<PeerSession> PeerSession::Accept(const SessionOptions& options,
                                                 Handlers handlers,
                                                 Instant now,
                                                 GSocket* socket) {
  std::unique_ptr<PeerSession> session(
      new PeerSession(options, std::move(handlers), now, false));
  session->state = State::kHello;
  session->AttachSocket(G_SOCKET(g_object_ref(socket)));
  return session;
}

PeerSession::~PeerSession() {
  this->handlers = {};
  this->Close({});
}

void PeerSession::Connect(const SocketAddress& address) {
  GSocket* new_socket = NewSocket(address);
  if (new_socket == nullptr) {
    this->Close(
        {.kind = ErrorKind::kInternal, .message = "can't create a socket"});
    return;
  }
  this->AttachSocket(new_socket);
  GSocketAddress* to =
      g_inet_socket_address_new_from_string(address.host.c_str(), address.port);
  GError* error = nullptr;
  const bool done =
      g_socket_connect(this->socket, to, nullptr, &error) != FALSE;
  g_object_unref(to);
  if (!done && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
    this->Close({.kind = ErrorKind::kTimeout, .message = TakeMessage(error)});
    return;
  }
  g_clear_error(&error);
  this->WatchWritable(true);
}

void PeerSession::AttachSocket(GSocket* taken) {
  this->socket = taken;
  g_socket_set_blocking(this->socket, FALSE);
  // Digests are small and lose their value when late, so Nagle's algorithm must
  // not hold them back to fill segments.
  g_socket_set_option(this->socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  this->readable = g_socket_create_source(this->socket, G_IO_IN, nullptr);
  g_source_set_callback(this->readable, G_SOURCE_FUNC(&PeerSession::OnReadable),
                        this, nullptr);
  if (this->state != State::kConnecting) {
    g_source_attach(this->readable, g_main_context_get_thread_default());
  }
}

void PeerSession::WatchWritable(bool on) {
  if (!on) {
    DestroySource(this->writable);
    return;
  }
  if (this->writable == nullptr) {
    this->writable = g_socket_create_source(this->socket, G_IO_OUT, nullptr);
    g_source_set_callback(
        this->writable, G_SOURCE_FUNC(&PeerSession::OnWritable), this, nullptr);
    g_source_attach(this->writable, g_main_context_get_thread_default());
  }
}

gboolean PeerSession::OnReadable(GSocket* /*socket*/,
                                 GIOCondition /*on*/,
                                 gpointer self) {
  static_cast<PeerSession*>(self)->Read();
  return G_SOURCE_CONTINUE;
}

gboolean PeerSession::OnWritable(GSocket* /*socket*/,
                                 GIOCondition /*on*/,
                                 gpointer self) {
  auto* session = static_cast<PeerSession*>(self);
  if (session->state != State::kConnecting) {
    session->Write();
    return G_SOURCE_CONTINUE;
  }
  GError* error = nullptr;
  if (g_socket_check_connect_result(session->socket, &error) == FALSE) {
    session->Close(
        {.kind = ErrorKind::kTimeout, .message = TakeMessage(error)});
    return G_SOURCE_CONTINUE;
  }
  session->state = State::kHello;
  g_source_attach(session->readable, g_main_context_get_thread_default());
  session->SendHello();
  return G_SOURCE_CONTINUE;
}

void PeerSession::SendHello() {
  this->own_hello = EncodeHello({.host = this->options.host,
                                 .data_centre = this->options.data_centre,
                                 .incarnation = this->options.incarnation,
                                 .nonce = MakeNonce(),
                                 .receiver = this->expected.host});
  // The accepting side answers with the secret that the dialling side used, so
  // that hosts can connect while the secret is being rotated.
  const std::string context =
      this->dialled ? std::string(kDiallerHelloContext)
                    : std::string(kAccepterHelloContext) + this->peer.nonce;
  const std::string& secret =
      this->dialled ? this->options.secrets.front() : this->key;
  this->Queue(SealFrame(secret, context, this->own_hello));
}

// Verifies the peer's Hello and derives the session key. Returns false if the
// session was closed.
bool PeerSession::OnHello(std::string_view body) {
  std::string context(kDiallerHelloContext);
  if (this->dialled) {
    const auto own = DecodeHello(this->own_hello);
    context = std::string(kAccepterHelloContext) + own->nonce;
  }
  const auto secret = std::ranges::find_if(
      this->options.secrets, [&](const std::string& candidate) {
        return OpenFrame(candidate, context, body).has_value();
      });
  if (secret == this->options.secrets.end()) {
    this->Close(
        {.kind = ErrorKind::kUnauthenticated,
         .message = "hello not authenticated by an accepted fleet secret"});
    return false;
  }
  const auto payload = body.substr(kTagBytes);
  const auto hello = DecodeHello(payload);
  if (!hello) {
    this->Close(hello.error());
    return false;
  }
  // A host that replaced another one at the same address answers with its own
  // id. A host that is dialled under an id that is no longer its own must not
  // answer.
  const bool identity_matches = this->dialled
                                    ? hello->host == this->expected.host
                                    : hello->receiver == this->options.host &&
                                          hello->host != this->options.host;
  if (!identity_matches) {
    this->Close(
        {.kind = ErrorKind::kStale,
         .message = "hello names an unexpected host: " +
                    (this->dialled ? hello->host : hello->receiver).Text()});
    return false;
  }
  this->peer = *hello;
  this->key = *secret;
  if (!this->dialled) {
    this->SendHello();
  }
  std::string key_input(kSessionKeyPrefix);
  key_input += this->dialled ? this->own_hello : std::string(payload);
  key_input += this->dialled ? std::string(payload) : this->own_hello;
  this->key = HmacSha256(this->key, key_input);
  this->reader.SetLimit(kMaxFrameBytes);
  if (!this->dialled) {
    this->state = State::kAwaitingProof;
    return true;
  }
  this->state = State::kEstablished;
  this->Send(PeerHeartbeat{});
  this->handlers.on_established(*this);
  return !this->Closed();
}

bool PeerSession::OnFrame(std::string_view body) {
  if (this->state == State::kHello) {
    return this->OnHello(body);
  }
  const auto payload = OpenFrame(
      this->key, FrameContext(!this->dialled, this->next_receive_sequence),
      body);
  if (!payload) {
    this->Close(payload.error());
    return false;
  }
  ++this->next_receive_sequence;
  ++this->traffic.frames_received;
  auto message = DecodeMessage(*payload);
  if (!message) {
    this->Close(message.error());
    return false;
  }
  this->last_received = this->now;
  if (this->state == State::kAwaitingProof) {
    this->state = State::kEstablished;
    this->handlers.on_established(*this);
  }
  if (!this->Closed()) {
    this->handlers.on_message(*this, std::move(*message));
  }
  return !this->Closed();
}

bool PeerSession::HandleFrames() {
  while (true) {
    const auto body = this->reader.Next();
    if (!body) {
      this->Close(body.error());
      return false;
    }
    if (body->empty()) {
      return true;
    }
    if (!this->OnFrame(*body)) {
      return false;
    }
  }
}

void PeerSession::Read() {
  std::array<char, kReadChunkBytes> chunk{};
  for (size_t bytes_read = 0;
       bytes_read < kMaxReadPerIteration && !this->Closed();) {
    GError* error = nullptr;
    const gssize got = g_socket_receive(this->socket, chunk.data(),
                                        chunk.size(), nullptr, &error);
    if (got < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      g_clear_error(&error);
      return;
    }
    if (got <= 0) {
      this->Close({.kind = ErrorKind::kTimeout,
                   .message = got == 0 ? "connection closed by the peer"
                                       : TakeMessage(error)});
      return;
    }
    this->traffic.bytes_received += static_cast<uint64_t>(got);
    bytes_read += static_cast<size_t>(got);
    this->reader.Feed({chunk.data(), static_cast<size_t>(got)});
    if (!this->HandleFrames() || static_cast<size_t>(got) < chunk.size()) {
      return;
    }
  }
}

void PeerSession::Queue(std::string frame) {
  this->queued_bytes += frame.size();
  this->queue.push_back(std::move(frame));
  this->Write();
}

bool PeerSession::SendPayload(std::string_view payload) {
  if (this->Closed() || this->queued_bytes + payload.size() > kMaxQueuedBytes) {
    return false;
  }
  if (this->options.budget != nullptr &&
      !this->options.budget->MayTakeIntoWork(std::ssize(payload))) {
    return false;
  }
  ++this->traffic.frames_sent;
  this->last_sent = this->now;
  this->Queue(SealFrame(this->key,
                        FrameContext(this->dialled, this->next_send_sequence++),
                        payload));
  return true;
}

bool PeerSession::Send(const WireMessage& message) {
  return this->Established() && this->SendPayload(EncodeMessage(message));
}

void PeerSession::Write() {
  while (!this->queue.empty()) {
    const std::string& frame = this->queue.front();
    GError* error = nullptr;
    const gssize sent =
        g_socket_send(this->socket, frame.data() + this->written,
                      frame.size() - this->written, nullptr, &error);
    if (sent < 0 &&
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      g_clear_error(&error);
      break;
    }
    if (sent < 0) {
      // The next Read() or Tick() closes the session. It isn't closed here
      // because callers of Send() don't expect on_closed to be called.
      g_clear_error(&error);
      this->queue.clear();
      this->queued_bytes = this->written = 0;
      break;
    }
    this->traffic.bytes_sent += static_cast<uint64_t>(sent);
    this->written += static_cast<size_t>(sent);
    this->queued_bytes -= static_cast<size_t>(sent);
    if (this->written == frame.size()) {
      this->queue.pop_front();
      this->written = 0;
    }
  }
  this->held.SetBytes(static_cast<int64_t>(this->queued_bytes));
  this->WatchWritable(!this->queue.empty());
}

void PeerSession::Tick(Instant at) {
  this->now = at;
  if (this->Closed()) {
    return;
  }
  const bool slow =
      !this->Established() && at - this->started > this->options.hello_timeout;
  const bool silent = this->options.close_silent && this->Established() &&
                      at - this->last_received > this->options.silence_timeout;
  if (slow || silent) {
    this->Close(
        {.kind = ErrorKind::kTimeout,
         .message = slow ? "not established within the hello timeout"
                         : "nothing received within the silence timeout"});
    return;
  }
  if (this->Established() &&
      at - this->last_sent >= this->options.heartbeat_period) {
    this->Send(PeerHeartbeat{});
  }
}

void PeerSession::Close(const Error& reason) {
  if (this->Closed()) {
    return;
  }
  this->state = State::kClosed;
  DestroySource(this->readable);
  DestroySource(this->writable);
  if (this->socket != nullptr) {
    g_socket_close(this->socket, nullptr);
    g_clear_object(&this->socket);
  }
  this->queue.clear();
  this->queued_bytes = 0;
  this->held.SetBytes(0);
  if (this->handlers.on_closed) {
    this->handlers.on_closed(*this, reason);
  }
}

}  // namespace hickorystand
