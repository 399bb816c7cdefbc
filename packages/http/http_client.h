// An HTTP client on one task: single exchanges with an address, each phase of
// which must make progress in time, and whose end is told exactly.
//
// Index
//   HttpTimeouts    how long each phase may stand still
//   HttpOutgoing    what is sent
//   HttpEnd         how an exchange ended
//   HttpEvents      callbacks of the sender
//   HttpExchange    one exchange under way
//   HttpClient      the connections, pooled by address
//
// An exchange is one send. The client repeats nothing, but for one case: an
// idempotent request on a kept connection that the other end had closed in
// the meantime goes out once more on a new one.

#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/glib_ptr.h"
#include "http/http_types.h"
#include "kernel/settings.h"
#include "kernel/task.h"

namespace hickorystand {

// How long each phase may go without progress.
struct HttpTimeouts {
  Duration connect = std::chrono::seconds(1);
  Duration first_byte = std::chrono::seconds(30);
  Duration between_bytes = std::chrono::seconds(10);

  auto operator<=>(const HttpTimeouts&) const = default;
};

// One request to send.
struct HttpOutgoing {
  SocketAddress address;
  std::string method = "GET";
  std::string target = "/";  // path and query, percent-encoded
  HttpHeaders headers;
  std::string content_type;
  std::string body;
  // A non-idempotent request: it gets a connection of its own, and is handed
  // to it once.
  bool once = false;
  std::optional<HttpTimeouts> timeouts;  // instead of the client's
  // Asked in the same step that hands bytes to the socket; false stops them.
  std::function<bool()> may_send;
};

// How an exchange ended.
enum class HttpEnd {
  kWhole,      // with its end marker: length met, or last chunk seen
  kNoMarker,   // closed in order, but nothing shows that the body is whole
  kNotSent,    // no byte left this process
  kReset,      // the connection was lost after bytes had left
  kSilent,     // no progress in time after bytes had left
  kProtocol,   // what came back isn't HTTP, or is over a limit
  kCancelled,  // by this process, after bytes had left
};

// The start of an answer.
struct HttpAnswerHead {
  int status = 0;
  HttpHeaders headers;
};

// Callbacks of a request's sender, in this order.
struct HttpEvents {
  std::function<void(const HttpAnswerHead&)> on_head;
  std::function<void(std::string_view)> on_bytes;
  std::function<void(HttpEnd, const std::string& detail)> on_end;  // last, once
};

class HttpClient;

// The open connections of one session, by libsoup's number for them.
class HttpConnections {
 public:
  void Add(guint64 id, GSocket* socket);

  // Whether the other end has closed a connection.
  bool ClosedByPeer(guint64 id) const;

 private:
  struct WeakFree {
    void operator()(GWeakRef* weak) const;
  };

  std::map<guint64, std::unique_ptr<GWeakRef, WeakFree>> sockets;
};

// The connections to one address that are pooled together.
struct HttpPool {
  ObjectPtr<SoupSession> session;
  HttpConnections connections;
};

using HttpPoolPtr = std::shared_ptr<HttpPool>;

// One exchange. Destroying the last pointer to it doesn't end it; Cancel does.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(HttpPoolPtr pool,
               HttpOutgoing outgoing,
               HttpEvents events,
               HttpTimeouts timeouts);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Ends the exchange and closes its connection, by a reset if the request is
  // one that is sent once. on_end is not called.
  void Cancel();

  // Stops reading, so that the other end has to wait, and goes on.
  void Pause();
  void Resume();

  // Whether bytes of the request may have left this process.
  bool MayHaveSent() const { return this->sending; }

 private:
  friend class HttpClient;

  void Start(std::function<void()> on_silent);
  void Launch();
  bool Relaunch();
  void CheckPermission();
  void NoteConnection(GIOStream* connection);
  void DropUnsent();
  HttpEnd JudgeEnd() const;
  void TakeHead(GAsyncResult* result);
  void TakeBytes(GAsyncResult* result);
  void ReadMore();
  void End(HttpEnd end, const std::string& detail);
  void EndByError(const GError& error);
  void Progress(Duration limit);
  void ArmTimer(Duration delay);
  void CheckProgress();

  HttpPoolPtr pool;
  HttpOutgoing outgoing;
  HttpEvents events;
  HttpTimeouts timeouts;
  BytesPtr body;
  ObjectPtr<SoupMessage> message;
  ObjectPtr<GCancellable> cancellable;
  ObjectPtr<GInputStream> stream;
  ObjectPtr<GSocket> new_socket;   // of a connection opened for this exchange
  ObjectPtr<GSocket> once_socket;  // the same, of a request sent once
  std::function<void()> on_silent;
  std::unique_ptr<Timer> timer;
  gint64 last_progress = 0;  // g_get_monotonic_time()
  Duration limit{};
  bool sending = false;
  bool own_connection = false;  // opened for this exchange
  bool relaunched = false;
  bool forbidden = false;
  bool paused = false;
  bool reading = false;
  bool over = false;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

// How a client behaves.
struct HttpClientOptions {
  HttpTimeouts timeouts;
  int max_connections = 8192;                        // to one address
  Duration idle_timeout = std::chrono::seconds(30);  // of a pooled connection
};

// Sends requests. Lives on one task.
class HttpClient {
 public:
  explicit HttpClient(HttpClientOptions options = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request; `events` are called on this task, never from within.
  HttpExchangePtr Send(HttpOutgoing outgoing, HttpEvents events);

  // Opens new connections to an address from now on. Exchanges under way on
  // the old ones go on; idle ones are never used again.
  void Renew(const SocketAddress& address);

  // How often connections were renewed because one went silent.
  int64_t Renewals() const { return *this->renewals; }

 private:
  using Pools = std::map<SocketAddress, HttpPoolPtr>;

  HttpPoolPtr PoolFor(const SocketAddress& address);
  ObjectPtr<SoupSession> MakeSession() const;

  HttpClientOptions options;
  std::shared_ptr<Pools> pools = std::make_shared<Pools>();
  std::shared_ptr<int64_t> renewals = std::make_shared<int64_t>(0);
};

}  // namespace hickorystand
