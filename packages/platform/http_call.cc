#include "platform/http_call.h"

#include <cassert>
#include <utility>

#include "kernel/task.h"

namespace hickorystand {
namespace {

// More than any part sends at once, so that no call waits for a free
// connection until its time is up.
constexpr int kMaxConnections = 256;
constexpr guint kIdleConnectionSeconds = 30;

SoupSession* NewSession() {
  SoupSession* session = soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host", kMaxConnections,
      "idle-timeout", kIdleConnectionSeconds, nullptr);
  // Hosts are reached by IP number; a proxy of the environment is not meant.
  soup_session_set_proxy_resolver(session, nullptr);
  return session;
}

}  // namespace

// One call under way. Held by the client and by the library's callback, as
// either may go first.
struct HttpClient::Exchange {
  HttpClient* client = nullptr;  // null once the client is gone
  HttpCall call;
  std::function<void(HttpReply)> done;
  SoupSession* session = nullptr;
  SoupMessage* message = nullptr;
  GCancellable* cancel = g_cancellable_new();
  std::unique_ptr<Timer> deadline;
  int starts = 0;         // times that the request was handed to a socket
  std::string forbidden;  // why it was cancelled by this side

  Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() {
    g_clear_object(&this->message);
    g_clear_object(&this->session);
    g_clear_object(&this->cancel);
  }
};

HttpClient::HttpClient() : session(NewSession()) {}

HttpClient::~HttpClient() {
  for (const auto& [key, exchange] : this->pending) {
    exchange->client = nullptr;
    exchange->deadline.reset();
    g_cancellable_cancel(exchange->cancel);
  }
  g_object_unref(this->session);
}

void HttpClient::Send(HttpCall call, std::function<void(HttpReply)> done) {
  assert(done && "a call needs somebody to answer to");
  auto exchange = std::make_shared<Exchange>();
  exchange->client = this;
  exchange->call = std::move(call);
  exchange->done = std::move(done);
  const HttpCall& sent = exchange->call;
  exchange->session = SOUP_SESSION(g_object_ref(this->session));
  exchange->message = soup_message_new(
      sent.method.c_str(), HttpUrl(sent.address, sent.path).c_str());
  assert(exchange->message != nullptr && "the path makes no valid address");
  if (!sent.body.empty()) {
    g_autoptr(GBytes) body = g_bytes_new(sent.body.data(), sent.body.size());
    soup_message_set_request_body_from_bytes(exchange->message,
                                             "application/json", body);
  }
  for (const auto& [name, value] : sent.headers) {
    soup_message_headers_replace(
        soup_message_get_request_headers(exchange->message), name.c_str(),
        value.c_str());
  }
  int flags = SOUP_MESSAGE_NO_REDIRECT;
  flags |=
      sent.idempotent ? SOUP_MESSAGE_IDEMPOTENT : SOUP_MESSAGE_NEW_CONNECTION;
  soup_message_set_flags(exchange->message,
                         static_cast<SoupMessageFlags>(flags));
  g_signal_connect(exchange->message, "starting", G_CALLBACK(&OnStarting),
                   exchange.get());
  exchange->deadline = Timer::After(sent.timeout, [this, at = exchange.get()] {
    at->forbidden = "no answer in time";
    this->DropIdleConnections();
    g_cancellable_cancel(at->cancel);
  });
  this->pending[exchange.get()] = exchange;
  soup_session_send_and_read_async(
      exchange->session, exchange->message, G_PRIORITY_DEFAULT,
      exchange->cancel, &OnReply, new std::shared_ptr<Exchange>(exchange));
}

void HttpClient::DropIdleConnections() {
  g_object_unref(this->session);  // lives on with the calls under way in it
  this->session = NewSession();
}

// Runs just before the first byte of the request is handed to the socket.
void HttpClient::OnStarting(SoupMessage* /*message*/, gpointer data) {
  auto* exchange = static_cast<Exchange*>(data);
  const HttpCall& call = exchange->call;
  if (call.may_send && !call.may_send()) {
    exchange->forbidden = "sending is no longer allowed";
  } else if (exchange->starts > 0 && !call.idempotent) {
    exchange->forbidden = "the request would have been sent twice";
  } else {
    ++exchange->starts;
    return;
  }
  g_cancellable_cancel(exchange->cancel);
}

void HttpClient::OnReply(GObject* session,
                         GAsyncResult* result,
                         gpointer data) {
  const std::unique_ptr<std::shared_ptr<Exchange>> holder(
      static_cast<std::shared_ptr<Exchange>*>(data));
  Exchange& exchange = **holder;
  g_autoptr(GError) error = nullptr;
  g_autoptr(GBytes) body =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  if (exchange.client != nullptr) {
    exchange.client->Finish(exchange, body, error);
  }
}

void HttpClient::Finish(Exchange& exchange, GBytes* body, const GError* error) {
  HttpReply reply;
  if (error != nullptr) {
    reply.outcome =
        exchange.starts == 0 ? HttpOutcome::kNotSent : HttpOutcome::kUnknown;
    reply.error =
        exchange.forbidden.empty() ? error->message : exchange.forbidden;
  } else {
    gsize length = 0;
    const auto* data =
        static_cast<const char*>(g_bytes_get_data(body, &length));
    reply.outcome = HttpOutcome::kAnswered;
    reply.status = static_cast<int>(soup_message_get_status(exchange.message));
    reply.body.assign(data == nullptr ? "" : data, length);
  }
  const auto keep = this->pending.extract(&exchange);
  exchange.deadline.reset();
  exchange.done(std::move(reply));
}

std::string HttpUrl(const SocketAddress& address, const std::string& path) {
  const bool ipv6 = address.host.find(':') != std::string::npos;
  return "http://" + (ipv6 ? "[" + address.host + "]" : address.host) + ":" +
         std::to_string(address.port) + path;
}

}  // namespace hickorystand
