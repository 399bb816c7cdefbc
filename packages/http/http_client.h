// An HTTP client for one task. It sends single requests to an address, applies
// a progress timeout to each phase, and reports exactly how each one ended.
//
// Index
//   HttpTimeouts         progress timeout of each phase
//   HttpAnswerLimits     the longest body of an answer
//   HttpClientRequest    a request to send
//   HttpResponseHead     status and headers of a response
//   HttpEvents           callbacks of an exchange
//   HttpExchange         one request and its response
//   HttpClientOptions    timeouts and metrics
//   HttpClient           sends requests over connections pooled by address
//
//   HttpClient client;
//   client.Send({.address = address, .target = "/health"},
//               {.on_end = [](HttpEnd end, const std::string& detail) {}});
//
// The client retries in one case only: an idempotent request on a reused
// connection that the peer had closed is resent once on a new connection.

#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/http1_parser.h"
#include "http/http_types.h"
#include "kernel/metrics.h"
#include "kernel/resource_budget.h"
#include "kernel/settings.h"
#include "kernel/task.h"

namespace hickorystand {

// The longest time without progress in each phase.
struct HttpTimeouts {
  Duration connect = std::chrono::seconds(1);
  Duration first_byte = std::chrono::seconds(30);
  Duration between_bytes = std::chrono::seconds(10);

  auto operator<=>(const HttpTimeouts&) const = default;
};

// The longest body of an answer, in bytes. A longer one ends the exchange with
// HttpEnd::kProtocol. Without a stated length a faulty peer may send bytes
// without end.
struct HttpAnswerLimits {
  uint64_t stated = std::numeric_limits<uint64_t>::max();  // its length is
  uint64_t other = std::numeric_limits<uint64_t>::max();

  auto operator<=>(const HttpAnswerLimits&) const = default;
};

// One request to send.
struct HttpClientRequest {
  SocketAddress address;
  std::string method = "GET";
  std::string target = "/";  // path and query, percent-encoded
  HttpHeaders headers;
  std::string content_type;
  std::string body;
  // For a non-idempotent request: it is sent on a new connection, and only
  // once.
  bool once = false;
  std::optional<HttpTimeouts> timeouts;  // instead of the client's
  HttpAnswerLimits answer_limits = {};
  // Called in the same step that passes bytes to the socket, before the head
  // and before the body. False cancels the request.
  std::function<bool()> may_send;
};

// The status and headers of a response.
struct HttpResponseHead {
  int status = 0;
  HttpHeaders headers;
  bool until_close = false;  // the body has neither length nor chunks
};

// Callbacks of an exchange, called in this order on the client's task.
struct HttpEvents {
  std::function<void(const HttpResponseHead&)> on_head;
  std::function<void(std::string_view)> on_bytes;
  std::function<void(HttpEnd, const std::string& detail)> on_end;  // last, once
};

class ConnectionPool;
class HttpClient;
class PooledExchange;

// The connections to one address.
using HttpPoolPtr = std::shared_ptr<ConnectionPool>;

// One request and its response. It stays alive until it has ended, even if the
// caller drops its pointer; Cancel() ends it early.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(HttpPoolPtr pool,
               HttpClientRequest outgoing,
               HttpEvents events,
               HttpTimeouts timeouts);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Ends the exchange and closes its connection, with a reset if the request
  // is non-idempotent. on_end is not called.
  void Cancel();

  // Pause() stops reading, so that TCP flow control blocks the peer. Resume()
  // continues. The progress timeout doesn't run while paused.
  void Pause();
  void Resume();

  // Whether bytes of the request may have been sent.
  bool MayHaveSent() const { return this->sending; }

 private:
  friend class HttpClient;

  void Start(std::function<void()> on_stalled);
  void Submit(bool new_connection);
  bool MaySend();
  void TakeHead(const Http1Head& head);
  void TakeBytes(std::string_view bytes);
  bool ResendOnNewConnection(HttpEnd end);
  void OnCallEnd(HttpEnd end);
  void End(HttpEnd end, const std::string& detail);
  void RecordProgress(Duration limit);
  void ArmTimer(Duration delay);
  void CheckProgress();

  HttpPoolPtr pool;
  HttpClientRequest outgoing;
  HttpEvents events;
  HttpTimeouts timeouts;
  std::string head;
  SharedBytes body;
  std::shared_ptr<PooledExchange> call;
  std::function<void()> on_stalled;
  std::unique_ptr<Timer> timer;
  gint64 last_progress = 0;  // g_get_monotonic_time()
  Duration limit{};
  uint64_t body_limit = 0;
  uint64_t body_bytes = 0;
  bool sending = false;
  bool has_resent = false;
  bool send_denied = false;
  bool paused = false;
  bool over = false;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

// Options of a client.
struct HttpClientOptions {
  HttpTimeouts timeouts;
  Duration idle_timeout = std::chrono::seconds(30);  // of a pooled connection
  Metrics* metrics = nullptr;  // if set, broken answers are counted there
};

// Sends requests over connections that are pooled by address. Must be used on a
// single task.
class HttpClient {
 public:
  explicit HttpClient(HttpClientOptions options = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request. Callbacks run on this task, never from within Send().
  HttpExchangePtr Send(HttpClientRequest outgoing, HttpEvents events);

  // Replaces the pool of an address, so that later requests open new
  // connections. Exchanges in progress continue on their connections; idle
  // connections are not reused.
  void Renew(const SocketAddress& address);

  // How often a pool was replaced because an exchange in it timed out.
  int64_t Renewals() const { return *this->renewals; }

 private:
  using Pools = std::map<SocketAddress, HttpPoolPtr>;
  struct FaultLog;

  HttpPoolPtr PoolFor(const SocketAddress& address);

  HttpClientOptions options;
  std::shared_ptr<FaultLog> fault_log;
  std::shared_ptr<Pools> pools = std::make_shared<Pools>();
  std::shared_ptr<int64_t> renewals = std::make_shared<int64_t>(0);
};

}  // namespace hickorystand
