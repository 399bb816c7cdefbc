#include "http/http_client.h"

#include <cassert>
#include <utility>

namespace hickorystand {
namespace {

constexpr gsize kReadBytes = gsize{16} << 10;

std::string UriOf(const HttpOutgoing& outgoing) {
  const bool v6 = outgoing.address.host.find(':') != std::string::npos;
  const std::string host =
      v6 ? "[" + outgoing.address.host + "]" : outgoing.address.host;
  return "http://" + host + ":" + std::to_string(outgoing.address.port) +
         outgoing.target;
}

// A callback's data: keeps the exchange alive until libsoup has called back.
HttpExchangePtr* Hold(HttpExchange* exchange) {
  return new HttpExchangePtr(exchange->shared_from_this());
}

HttpExchangePtr Release(gpointer data) {
  const std::unique_ptr<HttpExchangePtr> held(
      static_cast<HttpExchangePtr*>(data));
  return *held;
}

}  // namespace

// -- One exchange ------------------------------------------------------------

HttpExchange::HttpExchange(ObjectPtr<SoupSession> session,
                           HttpOutgoing outgoing,
                           HttpEvents events,
                           HttpTimeouts timeouts)
    : session(std::move(session)),
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

// A non-idempotent request must not be sent twice, but libsoup sends a request
// again when a kept connection turns out to be closed, and can't know whether
// the other end had read it. So such a request gets a connection that carried
// nothing before, on which libsoup never repeats.
void HttpExchange::Start(std::function<void()> on_silent) {
  this->on_silent = std::move(on_silent);
  if (!this->message) {
    const auto self = this->shared_from_this();
    this->timer = Timer::After(Duration::zero(), [self] {
      self->End(HttpEnd::kNotSent, "the target is not a valid path");
    });
    return;
  }
  SoupMessage* raw = this->message.get();
  soup_message_add_flags(
      raw, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT |
                                         (this->outgoing.once
                                              ? SOUP_MESSAGE_NEW_CONNECTION
                                              : SOUP_MESSAGE_IDEMPOTENT)));
  AppendHeaders(soup_message_get_request_headers(raw), this->outgoing.headers);
  if (!this->outgoing.body.empty()) {
    const BytesPtr body(
        g_bytes_new(this->outgoing.body.data(), this->outgoing.body.size()));
    soup_message_set_request_body_from_bytes(
        raw,
        this->outgoing.content_type.empty()
            ? nullptr
            : this->outgoing.content_type.c_str(),
        body.get());
    this->outgoing.body = {};
  }
  const auto check = G_CALLBACK(+[](SoupMessage*, gpointer self) {
    static_cast<HttpExchange*>(self)->CheckPermission();
  });
  g_signal_connect(raw, "starting", check, this);
  g_signal_connect(raw, "wrote-headers", check, this);
  this->Progress(this->timeouts.connect);
  this->ArmTimer(this->timeouts.connect);
  soup_session_send_async(
      this->session.get(), raw, G_PRIORITY_DEFAULT, this->cancellable.get(),
      [](GObject*, GAsyncResult* result, gpointer data) {
        Release(data)->TakeHead(result);
      },
      Hold(this));
}

// Called just before the head and just before the body are handed to the
// socket. A process that was paused while it held a lease must not send its
// order when it wakes; a check made any earlier would leave room for the pause.
void HttpExchange::CheckPermission() {
  if (this->over) {
    return;
  }
  if (this->outgoing.may_send && !this->outgoing.may_send()) {
    this->forbidden = true;
    g_cancellable_cancel(this->cancellable.get());
    return;
  }
  this->sending = true;
  this->Progress(this->timeouts.first_byte);
  this->ArmTimer(this->timeouts.first_byte);
}

void HttpExchange::TakeHead(GAsyncResult* result) {
  GError* error = nullptr;
  this->stream.reset(
      soup_session_send_finish(this->session.get(), result, &error));
  const ErrorPtr owned(error);
  if (this->over) {
    return;
  }
  if (error != nullptr) {
    this->EndByError(*error);
    return;
  }
  this->Progress(this->timeouts.between_bytes);
  HttpAnswerHead head;
  head.status = static_cast<int>(soup_message_get_status(this->message.get()));
  head.headers =
      CopyHeaders(soup_message_get_response_headers(this->message.get()));
  const auto self = this->shared_from_this();
  if (this->events.on_head) {
    this->events.on_head(head);
  }
  this->ReadMore();
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
    // A body that is delimited by the connection's end alone looks the same
    // when its sender died: nothing shows that it is whole.
    const bool marked =
        soup_message_headers_get_encoding(soup_message_get_response_headers(
            this->message.get())) != SOUP_ENCODING_EOF;
    this->End(marked ? HttpEnd::kWhole : HttpEnd::kNoMarker, "");
    return;
  }
  this->Progress(this->timeouts.between_bytes);
  if (this->events.on_bytes) {
    this->events.on_bytes({data, size});
  }
  this->ReadMore();
}

void HttpExchange::EndByError(const GError& error) {
  if (this->forbidden) {
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
  if (end != HttpEnd::kWhole) {
    g_cancellable_cancel(this->cancellable.get());
  }
  const auto call = std::exchange(this->events, {}).on_end;
  if (call) {
    call(end, detail);
  }
}

void HttpExchange::Cancel() {
  this->events = {};
  this->End(HttpEnd::kCancelled, "");
}

void HttpExchange::Pause() {
  this->paused = true;
}

void HttpExchange::Resume() {
  if (!std::exchange(this->paused, false) || !this->stream) {
    return;
  }
  this->Progress(this->timeouts.between_bytes);
  this->ReadMore();
}

void HttpExchange::Progress(Duration limit) {
  this->limit = limit;
  this->last_progress = g_get_monotonic_time();
}

void HttpExchange::ArmTimer(Duration delay) {
  this->timer = Timer::After(delay, [this] { this->CheckProgress(); });
}

// Open connections can go silent for good, because a device in between has
// forgotten them, while new ones work. It shows as no progress at all; without
// this check the caller would wait for ever. One timer serves all phases and
// looks again after what is left, as re-arming it for each read costs more
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
    this->on_silent();
  }
  this->End(this->sending ? HttpEnd::kSilent : HttpEnd::kNotSent,
            "no progress in time");
}

// -- The client --------------------------------------------------------------

HttpClient::HttpClient(HttpClientOptions options) : options(options) {}

HttpExchangePtr HttpClient::Send(HttpOutgoing outgoing, HttpEvents events) {
  const SocketAddress address = outgoing.address;
  const HttpTimeouts timeouts =
      outgoing.timeouts.value_or(this->options.timeouts);
  auto session = this->SessionFor(address);
  SoupSession* used = session.get();
  const auto exchange = std::make_shared<HttpExchange>(
      std::move(session), std::move(outgoing), std::move(events), timeouts);
  // What made one connection silent made its idle companions silent too. They
  // share its session; a new session replaces it. Exchanges under way keep the
  // old one until they end, as their own progress speaks for them.
  exchange->Start(
      [used, address, pool = this->pool, renewals = this->renewals] {
        const auto found = pool->find(address);
        if (found != pool->end() && found->second.get() == used) {
          pool->erase(found);
          ++*renewals;
        }
      });
  return exchange;
}

void HttpClient::Renew(const SocketAddress& address) {
  this->pool->erase(address);
}

ObjectPtr<SoupSession> HttpClient::SessionFor(const SocketAddress& address) {
  auto& session = (*this->pool)[address];
  if (!session) {
    session = this->MakeSession();
  }
  return ShareObject(session.get());
}

// No cookies, no credentials, no proxy from the environment, no decoding:
// bytes pass as they are.
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
