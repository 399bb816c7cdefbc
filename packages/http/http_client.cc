#include "http/http_client.h"

#include <sys/socket.h>

#include <cassert>
#include <cerrno>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr gsize kReadBytes = gsize{16} << 10;

// The longest sum of all 1xx heads of an exchange. libsoup bounds only the
// length of each head.
constexpr uint64_t kMaxInformationalBytes = uint64_t{64} << 10;

// Bytes of a head besides the names and values of its headers: of the start
// line with the empty line, and of each header's separators.
constexpr uint64_t kStartLineBytes = 16;
constexpr uint64_t kSeparatorBytes = 4;

std::string UriOf(const HttpClientRequest& outgoing) {
  const bool v6 = outgoing.address.host.find(':') != std::string::npos;
  const std::string host =
      v6 ? "[" + outgoing.address.host + "]" : outgoing.address.host;
  return "http://" + host + ":" + std::to_string(outgoing.address.port) +
         outgoing.target;
}

// Makes the user data of a libsoup callback. It keeps the exchange alive until
// Release() is called in the callback.
HttpExchangePtr* Hold(HttpExchange* exchange) {
  return new HttpExchangePtr(exchange->shared_from_this());
}

HttpExchangePtr Release(gpointer data) {
  const std::unique_ptr<HttpExchangePtr> held(
      static_cast<HttpExchangePtr*>(data));
  return *held;
}

}  // namespace

// -- HttpConnections ---------------------------------------------------------

void HttpConnections::WeakFree::operator()(GWeakRef* weak) const {
  g_weak_ref_clear(weak);
  g_free(weak);
}

void HttpConnections::Add(guint64 id, GSocket* socket) {
  std::erase_if(this->sockets, [](const auto& each) {
    const ObjectPtr<GSocket> alive(
        static_cast<GSocket*>(g_weak_ref_get(each.second.get())));
    return alive == nullptr;
  });
  GWeakRef* weak = g_new0(GWeakRef, 1);
  g_weak_ref_init(weak, socket);
  this->sockets[id].reset(weak);
}

bool HttpConnections::ClosedByPeer(guint64 id) const {
  const auto found = this->sockets.find(id);
  if (found == this->sockets.end()) {
    return true;
  }
  const ObjectPtr<GSocket> socket(
      static_cast<GSocket*>(g_weak_ref_get(found->second.get())));
  if (!socket || g_socket_is_closed(socket.get())) {
    return true;
  }
  char byte = 0;
  const ssize_t got =
      recv(g_socket_get_fd(socket.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

// -- HttpExchange ------------------------------------------------------------

HttpExchange::HttpExchange(HttpPoolPtr pool,
                           HttpClientRequest outgoing,
                           HttpEvents events,
                           HttpTimeouts timeouts)
    : pool(std::move(pool)),
      outgoing(std::move(outgoing)),
      events(std::move(events)),
      timeouts(timeouts),
      message(soup_message_new(this->outgoing.method.c_str(),
                               UriOf(this->outgoing).c_str())),
      cancellable(g_cancellable_new()) {}

HttpExchange::~HttpExchange() {
  if (this->message) {
    g_signal_handlers_disconnect_by_data(this->message.get(), this);
  }
}

// A non-idempotent request must not be sent twice. libsoup resends a request
// when a reused connection turns out to be closed, although the peer may have
// read it already. Such a request is therefore sent on a new connection, on
// which libsoup never resends.
void HttpExchange::Start(std::function<void()> on_stalled) {
  this->on_stalled = std::move(on_stalled);
  if (!this->message) {
    const auto self = this->shared_from_this();
    this->timer = Timer::After(Duration::zero(), [self] {
      self->End(HttpEnd::kNotSent, "the target is not a valid path");
    });
    return;
  }
  this->body.reset(
      g_bytes_new(this->outgoing.body.data(), this->outgoing.body.size()));
  this->outgoing.body.clear();
  this->outgoing.body.shrink_to_fit();
  this->RecordProgress(this->timeouts.connect);
  this->ArmTimer(this->timeouts.connect);
  this->SubmitMessage();
}

void HttpExchange::SubmitMessage() {
  SoupMessage* raw = this->message.get();
  // For methods that libsoup resends by itself, it repeats the Content-Length
  // but not the body, and the peer waits for a body that never arrives.
  const bool resend_loses_body =
      g_bytes_get_size(this->body.get()) > 0 && this->outgoing.method != "POST";
  const bool new_connection_cost_share =
      this->outgoing.once || this->has_retried || resend_loses_body;
  soup_message_add_flags(
      raw, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT |
                                         (new_connection_cost_share
                                              ? SOUP_MESSAGE_NEW_CONNECTION
                                              : SOUP_MESSAGE_IDEMPOTENT)));
  AppendHeaders(soup_message_get_request_headers(raw), this->outgoing.headers);
  if (g_bytes_get_size(this->body.get()) > 0) {
    const std::string& type = this->outgoing.content_type;
    soup_message_set_request_body_from_bytes(
        raw, type.empty() ? nullptr : type.c_str(), this->body.get());
  }
  g_signal_connect(
      raw, "network-event",
      G_CALLBACK(+[](SoupMessage*, GSocketClientEvent event,
                     GIOStream* connection, gpointer self) {
        if (event == G_SOCKET_CLIENT_CONNECTED) {
          static_cast<HttpExchange*>(self)->RecordConnection(connection);
        }
      }),
      this);
  const auto check = G_CALLBACK(+[](SoupMessage*, gpointer self) {
    static_cast<HttpExchange*>(self)->CheckPermission();
  });
  g_signal_connect(raw, "starting", check, this);
  g_signal_connect(raw, "wrote-headers", check, this);
  g_signal_connect(raw, "got-informational",
                   G_CALLBACK(+[](SoupMessage*, gpointer self) {
                     static_cast<HttpExchange*>(self)->CountInformational();
                   }),
                   this);
  soup_session_send_async(
      this->pool->session.get(), raw, G_PRIORITY_DEFAULT,
      this->cancellable.get(),
      [](GObject*, GAsyncResult* result, gpointer data) {
        Release(data)->TakeHead(result);
      },
      Hold(this));
}

// Resends an idempotent request once on a new connection. A reused connection
// that the peer closed while it was idle fails at its next use; without the
// retry, an endpoint that was only restarted would look as if this request had
// crashed it. libsoup retries only methods that HTTP defines as idempotent,
// which excludes POST.
bool HttpExchange::RetryOnNewConnection() {
  if (this->outgoing.once || this->has_retried || this->own_connection ||
      this->send_denied || !this->sending) {
    return false;
  }
  this->has_retried = true;
  g_signal_handlers_disconnect_by_data(this->message.get(), this);
  this->message.reset(soup_message_new(this->outgoing.method.c_str(),
                                       UriOf(this->outgoing).c_str()));
  this->RecordProgress(this->timeouts.first_byte);
  this->SubmitMessage();
  return true;
}

void HttpExchange::RecordConnection(GIOStream* connection) {
  if (G_IS_SOCKET_CONNECTION(connection)) {
    this->own_connection = true;
    this->new_socket = ShareObject(
        g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection)));
    if (this->outgoing.once) {
      this->once_socket = ShareObject(this->new_socket.get());
    }
  }
}

// Makes the close send a reset, which discards bytes in the kernel's send
// buffer. After an orderly close the kernel would still deliver them, possibly
// seconds later when a network partition heals, and an order could arrive after
// its sender's lease has passed to another host.
void HttpExchange::ResetOnClose() {
  if (!this->once_socket || g_socket_is_closed(this->once_socket.get())) {
    return;
  }
  const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
  if (setsockopt(g_socket_get_fd(this->once_socket.get()), SOL_SOCKET,
                 SO_LINGER, &reset_on_close, sizeof reset_on_close) != 0) {
    LogWarning("http", "Cannot set SO_LINGER; connection is not reset.");
  }
}

// Called right before the head and right before the body are written to the
// socket. A process that was suspended past the end of its lease must not send
// its order on resuming; an earlier check could be followed by the suspension.
void HttpExchange::CheckPermission() {
  if (this->over) {
    return;
  }
  if (this->outgoing.may_send && !this->outgoing.may_send()) {
    this->send_denied = true;
    g_cancellable_cancel(this->cancellable.get());
    return;
  }
  this->sending = true;
  if (this->new_socket) {
    this->pool->connections.Add(
        soup_message_get_connection_id(this->message.get()),
        this->new_socket.get());
    this->new_socket.reset();
  }
  this->RecordProgress(this->timeouts.first_byte);
  this->ArmTimer(this->timeouts.first_byte);
}

void HttpExchange::CountInformational() {
  const auto self = this->shared_from_this();
  this->informational_bytes += kStartLineBytes;
  for (const HttpHeader& header :
       CopyHeaders(soup_message_get_response_headers(this->message.get()))) {
    this->informational_bytes +=
        header.name.size() + header.value.size() + kSeparatorBytes;
  }
  if (this->informational_bytes > kMaxInformationalBytes) {
    this->End(HttpEnd::kProtocol, "the 1xx heads are too long");
  }
}

void HttpExchange::TakeHead(GAsyncResult* result) {
  GError* error = nullptr;
  this->stream.reset(
      soup_session_send_finish(this->pool->session.get(), result, &error));
  const ErrorPtr owned(error);
  if (this->over) {
    this->stream.reset();
    return;
  }
  if (error != nullptr) {
    if (!this->RetryOnNewConnection()) {
      this->EndByError(*error);
    }
    return;
  }
  this->RecordProgress(this->timeouts.between_bytes);
  HttpResponseHead& head = this->head;
  head.status = static_cast<int>(soup_message_get_status(this->message.get()));
  head.headers =
      CopyHeaders(soup_message_get_response_headers(this->message.get()));
  const SoupEncoding encoding = soup_message_headers_get_encoding(
      soup_message_get_response_headers(this->message.get()));
  head.until_close = encoding == SOUP_ENCODING_EOF;
  this->body_limit = encoding == SOUP_ENCODING_CONTENT_LENGTH
                         ? this->outgoing.answer_limits.stated
                         : this->outgoing.answer_limits.other;
  const auto self = this->shared_from_this();
  // libsoup takes a head that the peer's close cut behind a line for a whole
  // one. Without a length, only a body shows that the head was whole.
  if (!head.until_close) {
    this->ReportHead();
  }
  this->ReadMore();
}

void HttpExchange::ReportHead() {
  if (!std::exchange(this->head_reported, true) && this->events.on_head) {
    this->events.on_head(this->head);
  }
}

void HttpExchange::ReadMore() {
  if (this->over || this->paused || this->reading) {
    return;
  }
  this->reading = true;
  g_input_stream_read_bytes_async(
      this->stream.get(), kReadBytes, G_PRIORITY_DEFAULT,
      this->cancellable.get(),
      [](GObject*, GAsyncResult* result, gpointer data) {
        Release(data)->TakeBytes(result);
      },
      Hold(this));
}

void HttpExchange::TakeBytes(GAsyncResult* result) {
  this->reading = false;
  GError* error = nullptr;
  const BytesPtr bytes(
      g_input_stream_read_bytes_finish(this->stream.get(), result, &error));
  const ErrorPtr owned(error);
  if (this->over) {
    this->stream.reset();
    return;
  }
  if (error != nullptr) {
    this->EndByError(*error);
    return;
  }
  gsize size = 0;
  const auto* data =
      static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
  if (size == 0) {
    const HttpEnd end = this->ClassifyEnd();
    this->End(end,
              end == HttpEnd::kComplete ? "" : "the end marker is missing");
    return;
  }
  const auto self = this->shared_from_this();
  this->ReportHead();
  this->RecordProgress(this->timeouts.between_bytes);
  this->body_bytes += size;
  if (this->body_bytes > this->body_limit) {
    this->End(HttpEnd::kProtocol, "the answer is too long");
    return;
  }
  if (this->events.on_bytes) {
    this->events.on_bytes({data, size});
  }
  this->ReadMore();
}

// Returns how a body that ended without an error was delimited. libsoup
// accepts a close between two chunks as the end of a chunked body. After
// the real last chunk the connection stays open, so a closed connection means a
// truncated body. An endpoint that closes the connection after each chunked
// response can't be distinguished from one that crashed; docs/ENDPOINTS.md
// forbids it.
HttpEnd HttpExchange::ClassifyEnd() const {
  switch (soup_message_headers_get_encoding(
      soup_message_get_response_headers(this->message.get()))) {
    case SOUP_ENCODING_EOF:
      return this->head_reported ? HttpEnd::kNoEndMarker : HttpEnd::kReset;
    case SOUP_ENCODING_CHUNKED:
      return this->pool->connections.ClosedByPeer(
                 soup_message_get_connection_id(this->message.get()))
                 ? HttpEnd::kReset
                 : HttpEnd::kComplete;
    default:
      return HttpEnd::kComplete;
  }
}

void HttpExchange::EndByError(const GError& error) {
  if (this->send_denied) {
    this->End(HttpEnd::kNotSent, "not permitted when it was to be sent");
  } else if (!this->sending) {
    this->End(HttpEnd::kNotSent, error.message);
  } else if (error.domain == SOUP_SESSION_ERROR) {
    this->End(HttpEnd::kProtocol, error.message);
  } else {
    this->End(HttpEnd::kReset, error.message);
  }
}

void HttpExchange::End(HttpEnd end, const std::string& detail) {
  if (std::exchange(this->over, true)) {
    return;
  }
  this->timer.reset();
  if (end != HttpEnd::kComplete) {
    g_cancellable_cancel(this->cancellable.get());
    // Without a read in progress, cancelling does not close the connection.
    if (!this->reading) {
      this->stream.reset();
    }
  }
  const auto call = std::exchange(this->events, {}).on_end;
  if (call) {
    call(end, detail);
  }
}

void HttpExchange::Cancel() {
  this->events = {};
  this->ResetOnClose();
  this->End(HttpEnd::kCancelled, "");
}

void HttpExchange::Pause() {
  this->paused = true;
}

void HttpExchange::Resume() {
  if (!std::exchange(this->paused, false) || !this->stream) {
    return;
  }
  this->RecordProgress(this->timeouts.between_bytes);
  this->ReadMore();
}

void HttpExchange::RecordProgress(Duration limit) {
  this->limit = limit;
  this->last_progress = g_get_monotonic_time();
}

void HttpExchange::ArmTimer(Duration delay) {
  this->timer = Timer::After(delay, [this] { this->CheckProgress(); });
}

// Detects connections that stall permanently, for example because a middlebox
// has dropped their state while new connections work. Without this check the
// caller would wait forever. One timer serves all phases and is re-armed only
// when it fires, for the remaining time: re-arming it at each read costs more
// than the read.
void HttpExchange::CheckProgress() {
  const auto self = this->shared_from_this();
  const auto idle =
      this->paused ? Duration::zero()
                   : Duration(g_get_monotonic_time() - this->last_progress);
  if (idle < this->limit) {
    this->ArmTimer(this->limit - idle);
    return;
  }
  if (this->sending) {
    this->on_stalled();
  }
  this->End(this->sending ? HttpEnd::kTimedOut : HttpEnd::kNotSent,
            "no progress in time");
}

// -- HttpClient --------------------------------------------------------------

HttpClient::HttpClient(HttpClientOptions options) : options(options) {}

HttpExchangePtr HttpClient::Send(HttpClientRequest outgoing,
                                 HttpEvents events) {
  const SocketAddress address = outgoing.address;
  const HttpTimeouts timeouts =
      outgoing.timeouts.value_or(this->options.timeouts);
  HttpPoolPtr pool = this->PoolFor(address);
  const HttpPool* used_pool = pool.get();
  const auto exchange = std::make_shared<HttpExchange>(
      std::move(pool), std::move(outgoing), std::move(events), timeouts);
  // Whatever stalled one connection is likely to have stalled the idle ones to
  // the same address too, so the whole pool is replaced. Exchanges in progress
  // keep the old pool until they end; each has its own progress check.
  exchange->Start(
      [used_pool, address, pools = this->pools, renewals = this->renewals] {
        const auto found = pools->find(address);
        if (found != pools->end() && found->second.get() == used_pool) {
          pools->erase(found);
          ++*renewals;
        }
      });
  return exchange;
}

void HttpClient::Renew(const SocketAddress& address) {
  this->pools->erase(address);
}

HttpPoolPtr HttpClient::PoolFor(const SocketAddress& address) {
  HttpPoolPtr& pool = (*this->pools)[address];
  if (!pool) {
    pool = std::make_shared<HttpPool>();
    pool->session = this->MakeSession();
  }
  return pool;
}

// The session uses no cookies, no credentials, no proxy from the environment
// and no content decoding, so that bodies pass unchanged.
ObjectPtr<SoupSession> HttpClient::MakeSession() const {
  const auto idle =
      std::chrono::ceil<std::chrono::seconds>(this->options.idle_timeout);
  ObjectPtr<SoupSession> session(soup_session_new_with_options(
      "max-conns", this->options.max_connections, "max-conns-per-host",
      this->options.max_connections, "timeout", 0, "idle-timeout",
      static_cast<guint>(idle.count()), nullptr));
  soup_session_set_proxy_resolver(session.get(), nullptr);
  soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
  return session;
}

}  // namespace hickorystand
