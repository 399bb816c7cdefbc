#include "http/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

#include "http/stream_socket.h"

namespace hickorystand {
namespace {

// An oversized body is read and discarded up to this multiple of the body limit
// before the connection is closed, so that an ordinary client finishes sending
// and reads the error response.
constexpr int64_t kDiscardFactor = 4;

// What a connection takes besides its buffers, with libsoup's own objects.
constexpr int64_t kCallBytes = int64_t{16} << 10;

// A request in work has its body, its parsed form, the body for the endpoint
// and what is sent of it.
constexpr int64_t kCopiesInWork = 4;

std::string OrEmpty(const char* text) {
  return text == nullptr ? "" : text;
}

// Makes a listening socket with a long backlog. libsoup's own has a backlog of
// ten: in a burst of callers the kernel ignores the rest, and each retries
// after a second, which looks like a slow host.
ObjectPtr<GSocket> ListeningSocket(GSocketAddress* address, GError** error) {
  constexpr int kBacklog = 1024;
  ObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(address),
                                         G_SOCKET_TYPE_STREAM,
                                         G_SOCKET_PROTOCOL_TCP, error));
  if (!socket) {
    return nullptr;
  }
  g_socket_set_listen_backlog(socket.get(), kBacklog);
  if (!g_socket_bind(socket.get(), address, TRUE, error) ||
      !g_socket_listen(socket.get(), error)) {
    return nullptr;
  }
  return socket;
}

}  // namespace

// -- HttpCall ----------------------------------------------------------------

HttpCall::HttpCall(const HttpServerOptions& options,
                   SoupServerMessage* message,
                   std::shared_ptr<HttpServerState> server)
    : options(options),
      message(ShareObject(message)),
      server(std::move(server)),
      holding(this->server->budget, HoldingState::kSilent, [this] {
        this->Yield();
      }) {
  this->holding.SetDescriptors(1);
  this->Count();
  if (GSocket* raw = soup_server_message_get_socket(message)) {
    this->socket = ShareObject(raw);
  }
}

HttpCall::~HttpCall() {
  this->StopWatching();
}

void HttpCall::ReadHead() {
  SoupServerMessage* raw = this->message.get();
  GUri* uri = soup_server_message_get_uri(raw);
  this->head_read = true;
  this->request.method = soup_server_message_get_method(raw);
  this->request.raw_path = OrEmpty(g_uri_get_path(uri));
  gchar* decoded =
      g_uri_unescape_string(this->request.raw_path.c_str(), nullptr);
  this->request.path = decoded == nullptr ? this->request.raw_path : decoded;
  g_free(decoded);
  this->request.query = OrEmpty(g_uri_get_query(uri));
  this->request.headers =
      CopyHeaders(soup_server_message_get_request_headers(raw));
  this->refusal = this->CheckHeadLimits();
}

// Returns an error if the head exceeds a limit.
std::optional<Error> HttpCall::CheckHeadLimits() const {
  const HttpHeaders& headers = this->request.headers;
  if (std::ssize(headers) > this->options.max_headers) {
    return Error{ErrorKind::kTooLarge, "Too many headers."};
  }
  const auto bytes = std::accumulate(headers.begin(), headers.end(), int64_t{0},
                                     [](int64_t sum, const HttpHeader& header) {
                                       return sum + std::ssize(header.name) +
                                              std::ssize(header.value);
                                     });
  if (bytes > this->options.max_header_bytes) {
    return Error{ErrorKind::kTooLarge, "The headers are too long."};
  }
  if (soup_message_headers_get_content_length(
          soup_server_message_get_request_headers(this->message.get())) >
      this->options.max_body_bytes) {
    return Error{ErrorKind::kTooLarge, "The body is too long."};
  }
  return std::nullopt;
}

// Without the limit here, a caller that sends an endless chunked body would
// exhaust this host's memory.
void HttpCall::TakeChunk(GBytes* chunk) {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(chunk, &size));
  this->received += static_cast<int64_t>(size);
  if (this->received > this->options.max_body_bytes * kDiscardFactor) {
    this->CloseSocket();
  }
  if (this->received > this->options.max_body_bytes) {
    this->RefuseBody(ErrorKind::kTooLarge, "The body is too long.");
  }
  if (!this->refusal) {
    this->request.body.append(data, size);
  }
  this->Count();
  if (this->holding.RoomPending()) {
    this->PauseReading();
  }
}

// Reads nothing until room has been made. libsoup would go on with this
// connection as long as bytes arrive.
void HttpCall::PauseReading() {
  soup_server_message_pause(this->message.get());
  this->reading_paused = Timer::After(
      Duration{}, [this] { soup_server_message_unpause(this->message.get()); });
}

void HttpCall::RefuseBody(ErrorKind kind,
                          std::string message,
                          Duration retry_after) {
  this->request.body.clear();
  this->request.body.shrink_to_fit();
  if (!this->refusal) {
    this->refusal = Error{kind, std::move(message), retry_after};
  }
}

void HttpCall::RefuseForLackOfRoom() {
  const Duration wait = this->server->budget->RetryAfter(
      std::ssize(this->request.body) * kCopiesInWork);
  this->RefuseBody(ErrorKind::kOverloaded, "Too much is held.", wait);
}

HoldingState HttpCall::HeldState() const {
  if (this->unsent > 0 || this->buffered > 0) {
    return HoldingState::kSending;
  }
  if (this->handled) {
    return HoldingState::kInWork;
  }
  return this->head_read ? HoldingState::kReceiving : HoldingState::kSilent;
}

void HttpCall::Count() {
  if (this->closed) {
    return;
  }
  const int64_t body = std::ssize(this->request.body);
  this->holding.SetState(this->HeldState());
  this->holding.SetBytes(kCallBytes +
                         (this->handled ? body * kCopiesInWork : body) +
                         this->unsent + this->buffered);
}

// A body that is refused while it arrives is discarded up to its end, so that
// an ordinary client reads the refusal.
void HttpCall::Yield() {
  const auto keep = this->shared_from_this();
  if (this->HeldState() == HoldingState::kReceiving && !this->refusal) {
    this->RefuseForLackOfRoom();
    this->Count();
    return;
  }
  if (this->HeldState() == HoldingState::kSending) {
    this->Abort();
  } else {
    this->CloseSocket();
  }
  // libsoup frees the rest in the next turn.
  this->closed = true;
  this->holding.SetDescriptors(0);
  this->holding.SetBytes(0);
}

void HttpCall::SetBuffered(size_t bytes) {
  this->buffered = static_cast<int64_t>(bytes);
  this->Count();
}

// Pauses the message, so that libsoup sends nothing before the handler answers.
void HttpCall::PauseMessage() {
  if (this->ended || this->started) {
    return;
  }
  soup_server_message_pause(this->message.get());
  this->WatchCaller();
}

// Watches the socket for a disconnect. libsoup does not poll it while a message
// is paused, so a caller that disconnected would keep its place in the queue
// and its endpoint busy. Incoming data can only be the next request, and ends
// the watch.
void HttpCall::WatchCaller() {
  if (!this->socket || this->watch != nullptr) {
    return;
  }
  this->watch = g_socket_create_source(
      this->socket.get(),
      static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
  g_source_set_callback(this->watch,
                        G_SOURCE_FUNC(+[](GSocket* socket, GIOCondition what,
                                          gpointer self) -> gboolean {
                          return HttpCall::OnSocket(socket, what, self);
                        }),
                        this, nullptr);
  g_source_attach(this->watch, g_main_context_get_thread_default());
}

void HttpCall::StopWatching() {
  if (this->watch != nullptr) {
    g_source_destroy(this->watch);
    g_source_unref(this->watch);
    this->watch = nullptr;
  }
}

bool HttpCall::CallerClosed() const {
  char byte = 0;
  const ssize_t got = recv(g_socket_get_fd(this->socket.get()), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

gboolean HttpCall::OnSocket(GSocket*, GIOCondition, gpointer self) {
  const auto call = static_cast<HttpCall*>(self)->shared_from_this();
  const bool closed = call->CallerClosed();
  call->StopWatching();
  if (closed) {
    call->Abort();
  }
  return G_SOURCE_REMOVE;
}

void HttpCall::Answer(int status,
                      const HttpHeaders& headers,
                      std::string_view body) {
  if (this->gone) {
    return;
  }
  assert(!this->started && "a call is answered once");
  this->started = true;
  this->ended = true;
  this->StopWatching();
  this->WriteHead(status, headers);
  SoupServerMessage* raw = this->message.get();
  soup_message_body_append(soup_server_message_get_response_body(raw),
                           SOUP_MEMORY_COPY, body.data(), body.size());
  this->unsent += std::ssize(body);
  this->buffered = 0;
  this->Count();
  this->ArmWriteTimer();
  soup_server_message_unpause(raw);
}

void HttpCall::StartStream(int status,
                           const HttpHeaders& headers,
                           bool until_close) {
  if (this->gone) {
    return;
  }
  assert(!this->started && "a call is answered once");
  this->started = true;
  this->streaming = true;
  this->until_close = until_close;
  this->WriteHead(status, headers);
  SoupServerMessage* raw = this->message.get();
  SoupMessageHeaders* out = soup_server_message_get_response_headers(raw);
  soup_message_headers_set_encoding(
      out, until_close ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
  if (until_close) {
    soup_message_headers_replace(out, "Connection", "close");
    if (this->socket) {
      SetResetOnClose(this->socket.get(), true);
    }
  }
  soup_message_body_set_accumulate(soup_server_message_get_response_body(raw),
                                   FALSE);
  soup_server_message_unpause(raw);
  // A stream that is started within the handler was never paused, so no watch
  // exists yet, and a stream with nothing to write detects no disconnect.
  this->WatchCaller();
}

void HttpCall::WriteHead(int status, const HttpHeaders& headers) {
  SoupServerMessage* raw = this->message.get();
  soup_server_message_set_status(raw, static_cast<guint>(status), nullptr);
  SoupMessageHeaders* out = soup_server_message_get_response_headers(raw);
  AppendHeaders(out, headers);
  if (this->server->closing) {
    soup_message_headers_replace(out, "Connection", "close");
  }
}

void HttpCall::Write(std::string_view bytes) {
  if (this->gone || bytes.empty()) {
    return;
  }
  assert(this->streaming && !this->ended && "write between start and end");
  soup_message_body_append(
      soup_server_message_get_response_body(this->message.get()),
      SOUP_MEMORY_COPY, bytes.data(), bytes.size());
  if (this->unsent == 0) {
    this->ArmWriteTimer();
  }
  this->unsent += std::ssize(bytes);
  this->Count();
  soup_server_message_unpause(this->message.get());
}

void HttpCall::EndStream() {
  if (this->gone) {
    return;
  }
  assert(this->streaming && !this->ended && "a stream ends once");
  this->ended = true;
  this->StopWatching();
  soup_message_body_complete(
      soup_server_message_get_response_body(this->message.get()));
  this->ArmWriteTimer();
  soup_server_message_unpause(this->message.get());
}

void HttpCall::Abort() {
  if (this->gone) {
    return;
  }
  this->CloseSocket();
  this->MarkGone();
}

// Shuts down the socket, and queues something to write, because libsoup detects
// the closed connection of a paused message only when it writes to it.
void HttpCall::CloseSocket() {
  this->StopWatching();
  if (this->socket && this->until_close) {
    // A shutdown would look like the end of the body.
    g_socket_close(this->socket.get(), nullptr);
  } else if (this->socket) {
    g_socket_shutdown(this->socket.get(), TRUE, TRUE, nullptr);
  }
  if (!this->handled) {
    return;
  }
  SoupServerMessage* raw = this->message.get();
  if (!this->started) {
    soup_server_message_set_status(raw, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                   nullptr);
  } else if (!this->ended) {
    soup_message_body_append(soup_server_message_get_response_body(raw),
                             SOUP_MEMORY_STATIC, "x", 1);
  }
  soup_server_message_unpause(raw);
}

// The kernel has the whole body now. If the close of the connection is its end,
// that may be orderly.
void HttpCall::OnBodyWritten() {
  if (this->socket && this->until_close) {
    SetResetOnClose(this->socket.get(), false);
  }
}

void HttpCall::MarkGone() {
  if (std::exchange(this->gone, true)) {
    return;
  }
  this->timer.reset();
  this->reading_paused.reset();
  this->StopWatching();
  this->on_drained = {};
  const auto call = std::exchange(this->on_gone, {});
  if (call) {
    call();
  }
}

bool HttpCall::Congested() const {
  return this->unsent > this->options.high_water_bytes;
}

void HttpCall::Wrote(int64_t bytes) {
  const bool congested = this->Congested();
  this->unsent = std::max<int64_t>(0, this->unsent - bytes);
  this->Count();
  if (this->unsent > 0) {
    this->ArmWriteTimer();
  } else {
    this->timer.reset();
  }
  if (congested && !this->Congested() && this->on_drained) {
    const auto call = this->on_drained;
    call();
  }
}

// Without the timeout, a caller that opens streams and reads none of them would
// hold their buffers forever.
void HttpCall::ArmWriteTimer() {
  this->timer =
      Timer::After(this->options.write_timeout, [this] { this->Abort(); });
}

// -- HttpServer --------------------------------------------------------------

HttpServer::HttpServer(HttpServerOptions options,
                       Handler handler,
                       RefusalHandler refusal_handler,
                       ResourceBudget* budget)
    : options(std::move(options)),
      handler(std::move(handler)),
      refusal_handler(std::move(refusal_handler)),
      server(soup_server_new(nullptr, nullptr)) {
  this->state->budget = budget;
  SoupServer* raw = this->server.get();
  g_signal_connect(raw, "request-started", G_CALLBACK(&HttpServer::OnStarted),
                   this);
  g_signal_connect(raw, "request-finished", G_CALLBACK(&HttpServer::OnEnded),
                   this);
  g_signal_connect(raw, "request-aborted", G_CALLBACK(&HttpServer::OnEnded),
                   this);
  soup_server_add_early_handler(raw, nullptr, &HttpServer::OnHead, this,
                                nullptr);
  soup_server_add_handler(raw, nullptr, &HttpServer::OnRequest, this, nullptr);
}

HttpServer::~HttpServer() {
  g_signal_handlers_disconnect_by_data(this->server.get(), this);
  const auto open = std::exchange(this->calls, {});
  for (const auto& [message, call] : open) {
    g_signal_handlers_disconnect_by_data(message, call.get());
    call->Abort();
  }
  soup_server_disconnect(this->server.get());
}

Result<SocketAddress> HttpServer::Start() {
  SoupServer* raw = this->server.get();
  GError* error = nullptr;
  int flags = 0;
  if (!this->options.tls_certificate.empty()) {
    const ObjectPtr<GTlsCertificate> certificate(
        g_tls_certificate_new_from_files(this->options.tls_certificate.c_str(),
                                         this->options.tls_key.c_str(),
                                         &error));
    if (!certificate) {
      const ErrorPtr owned(error);
      return Fail(ErrorKind::kBadSetting,
                  "TLS certificate or key: " + std::string(error->message));
    }
    soup_server_set_tls_certificate(raw, certificate.get());
    flags = SOUP_SERVER_LISTEN_HTTPS;
  }
  const ObjectPtr<GSocketAddress> address(g_inet_socket_address_new_from_string(
      this->options.listen.host.c_str(), this->options.listen.port));
  if (!address) {
    return Fail(ErrorKind::kBadSetting, "listen: expected an IP address.");
  }
  const ObjectPtr<GSocket> socket = ListeningSocket(address.get(), &error);
  if (!socket || !soup_server_listen_socket(
                     raw, socket.get(),
                     static_cast<SoupServerListenOptions>(flags), &error)) {
    const ErrorPtr owned(error);
    return Fail(ErrorKind::kBadSetting,
                "can't listen: " + std::string(error->message));
  }
  const ObjectPtr<GSocketAddress> taken(
      g_socket_get_local_address(socket.get(), nullptr));
  const uint16_t port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(taken.get()));
  return SocketAddress{this->options.listen.host, port};
}

void HttpServer::StopListening() {
  GSList* listeners = soup_server_get_listeners(this->server.get());
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    g_socket_close(static_cast<GSocket*>(item->data), nullptr);
  }
  g_slist_free(listeners);
}

// Waits only for requests that are present now: on a busy server there is
// always another one in progress.
void HttpServer::WhenAnswered(std::function<void()> call) {
  this->on_answered = std::move(call);
  this->awaited.clear();
  for (const auto& [message, open] : this->calls) {
    if (open->head_read) {
      this->awaited.insert(message);
    }
  }
  this->CheckAnswered();
}

void HttpServer::CheckAnswered() {
  if (this->awaited.empty() && this->on_answered) {
    std::exchange(this->on_answered, {})();
  }
}

HttpCallPtr HttpServer::Find(SoupServerMessage* message) const {
  const auto found = this->calls.find(message);
  return found == this->calls.end() ? nullptr : found->second;
}

void HttpServer::OnStarted(SoupServer*,
                           SoupServerMessage* message,
                           gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  auto call = std::make_shared<HttpCall>(self->options, message, self->state);
  HttpCall* raw = call.get();
  self->calls[message] = std::move(call);
  // Slowloris protection: without the timeout, a caller that sends its head at
  // one byte a minute would hold a connection forever, and a thousand such
  // callers would hold all connections.
  raw->timer =
      Timer::After(self->options.head_timeout, [raw] { raw->CloseSocket(); });
  g_signal_connect(
      message, "got-chunk",
      G_CALLBACK(+[](SoupServerMessage*, GBytes* chunk, gpointer call) {
        static_cast<HttpCall*>(call)->TakeChunk(chunk);
      }),
      raw);
  g_signal_connect(
      message, "wrote-body-data",
      G_CALLBACK(+[](SoupServerMessage*, guint bytes, gpointer call) {
        static_cast<HttpCall*>(call)->Wrote(bytes);
      }),
      raw);
  g_signal_connect(message, "wrote-body",
                   G_CALLBACK(+[](SoupServerMessage*, gpointer call) {
                     static_cast<HttpCall*>(call)->OnBodyWritten();
                   }),
                   raw);
}

void HttpServer::OnEnded(SoupServer*,
                         SoupServerMessage* message,
                         gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  const HttpCallPtr call = self->Find(message);
  if (!call) {
    return;
  }
  self->calls.erase(message);
  g_signal_handlers_disconnect_by_data(message, call.get());
  call->MarkGone();
  self->awaited.erase(message);
  self->CheckAnswered();
}

void HttpServer::OnHead(SoupServer*,
                        SoupServerMessage* message,
                        const char*,
                        GHashTable*,
                        gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  const HttpCallPtr call = self->Find(message);
  if (!call) {
    return;
  }
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  call->ReadHead();
  call->Count();
  HttpCall* raw = call.get();
  raw->timer =
      Timer::After(self->options.body_timeout, [raw] { raw->CloseSocket(); });
  if (call->refusal) {
    self->Refuse(call);
  }
}

void HttpServer::OnRequest(SoupServer*,
                           SoupServerMessage* message,
                           const char*,
                           GHashTable*,
                           gpointer data) {
  auto* self = static_cast<HttpServer*>(data);
  const HttpCallPtr call = self->Find(message);
  if (!call || call->gone) {
    return;
  }
  call->timer.reset();
  const ResourceBudget* const budget = self->state->budget;
  if (!call->refusal && budget != nullptr &&
      !budget->MayTakeIntoWork(std::ssize(call->request.body) *
                               kCopiesInWork)) {
    call->RefuseForLackOfRoom();
  }
  call->handled = true;
  call->Count();
  if (call->refusal) {
    if (!call->started) {
      self->Refuse(call);
    }
    return;
  }
  self->handler(call);
  call->PauseMessage();
}

void HttpServer::Refuse(const HttpCallPtr& call) {
  const Error error = call->refusal.value_or(Error{});
  if (this->refusal_handler) {
    this->refusal_handler(call, error);
  }
  if (!call->started) {
    call->Answer(AnswerFor(error.kind).status, {}, error.message);
  }
}

}  // namespace hickorystand
