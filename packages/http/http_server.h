// An HTTP server for one task. It limits every resource that a caller can make
// it hold: headers, body, time to send them, and response bytes not yet read.
//
// Index
//   HttpServerOptions   addresses and limits
//   HttpServerState     shared by a server and its calls
//   HttpRequest         a complete request
//   HttpCall            one request and its response, whole or streamed
//   HttpServer          listens and passes calls to a handler
//
//   HttpServer server(options, [](const HttpCallPtr& call) {
//     call->Answer(200, {{"Content-Type", "text/plain"}}, "hello\n");
//   });
//   server.Start();

#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "http/glib_ptr.h"
#include "http/http_types.h"
#include "kernel/error.h"
#include "kernel/resource_budget.h"
#include "kernel/settings.h"
#include "kernel/task.h"

namespace hickorystand {

// Listening address, TLS files, and limits per caller.
struct HttpServerOptions {
  SocketAddress listen{"127.0.0.1", 0};  // port 0: any free one
  std::string tls_certificate;           // PEM file; empty: no TLS
  std::string tls_key;                   // PEM file
  int64_t max_body_bytes = int64_t{8} << 20;
  int64_t max_header_bytes = int64_t{32} << 10;
  int64_t max_headers = 100;
  // The longest time for receiving a complete request head; also the idle
  // timeout of a connection.
  Duration head_timeout = std::chrono::seconds(60);
  Duration body_timeout = std::chrono::seconds(30);  // for the whole body
  // The longest time in which a caller may read nothing of a pending response.
  Duration write_timeout = std::chrono::seconds(30);
  // A stream with more unsent bytes than this is congested.
  int64_t high_water_bytes = int64_t{256} << 10;
};

// State shared by a server and all its calls.
struct HttpServerState {
  ResourceBudget* budget = nullptr;  // may be null
  bool closing = false;              // each response closes its connection
};

// A complete request.
struct HttpRequest {
  std::string method;
  std::string path;   // percent-decoded
  std::string query;  // as sent, without the question mark
  std::string raw_path;
  HttpHeaders headers;
  std::string body;
};

// One request and its response. Must be used on the server's task. Once the
// caller has disconnected, all functions that write do nothing.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(const HttpServerOptions& options,
           SoupServerMessage* message,
           std::shared_ptr<HttpServerState> server);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  const HttpRequest& Request() const { return this->request; }

  // Sends a complete response.
  void Answer(int status, const HttpHeaders& headers, std::string_view body);

  // Sends a chunked response: StartStream(), any number of Write(),
  // EndStream(). A stream that can't be completed must be aborted, so that the
  // caller can detect the truncation. With `until_close`, the response has
  // neither length nor chunks and ends with its connection.
  void StartStream(int status,
                   const HttpHeaders& headers,
                   bool until_close = false);
  void Write(std::string_view bytes);
  void EndStream();

  // Closes the connection in the middle of the response.
  void Abort();

  // Whether a response was started; whether the caller has disconnected or the
  // exchange is over.
  bool Started() const { return this->started; }
  bool Gone() const { return this->gone; }

  // Whether more than HttpServerOptions::high_water_bytes are unsent.
  bool Congested() const;

  // Counts what the handler buffers of the response.
  void SetBuffered(size_t bytes);

  // Called once when the caller disconnects before its response is complete.
  void OnGone(std::function<void()> call) { this->on_gone = std::move(call); }

  // Called when a stream is no longer congested.
  void OnDrained(std::function<void()> call) {
    this->on_drained = std::move(call);
  }

 private:
  friend class HttpServer;

  void ReadHead();
  std::optional<Error> CheckHeadLimits() const;
  void TakeChunk(GBytes* chunk);
  void PauseReading();
  void RefuseBody(ErrorKind kind,
                  std::string message,
                  Duration retry_after = std::chrono::seconds(1));
  void RefuseForLackOfRoom();
  HoldingState HeldState() const;
  void Count();
  void Yield();
  void PauseMessage();
  void WatchCaller();
  void StopWatching();
  bool CallerClosed() const;
  void WriteHead(int status, const HttpHeaders& headers);
  void Wrote(int64_t bytes);
  void OnBodyWritten();
  void ArmWriteTimer();
  void CloseSocket();
  void MarkGone();
  static gboolean OnSocket(GSocket* socket, GIOCondition what, gpointer self);

  const HttpServerOptions& options;
  ObjectPtr<SoupServerMessage> message;
  ObjectPtr<GSocket> socket;
  HttpRequest request;
  std::optional<Error> refusal;
  bool head_read = false;
  bool handled = false;  // the handler has been called
  bool started = false;
  bool streaming = false;
  bool until_close = false;
  bool ended = false;
  bool gone = false;
  int64_t received = 0;
  std::shared_ptr<HttpServerState> server;
  int64_t unsent = 0;
  int64_t buffered = 0;  // by the handler
  bool closed = false;   // to make room for others
  Holding holding;
  std::unique_ptr<Timer> timer;           // timeout of the current phase
  std::unique_ptr<Timer> reading_paused;  // until room has been made
  GSource* watch = nullptr;
  std::function<void()> on_gone;
  std::function<void()> on_drained;
};

using HttpCallPtr = std::shared_ptr<HttpCall>;

// Listens, reads requests and passes each to a handler. Must be created,
// started and destroyed on the same task. What callers make the process hold
// counts in `budget`, which may be null and outlives all calls; a request for
// which there is no room is refused with ErrorKind::kOverloaded.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpCallPtr&)>;
  // Answers a request that exceeded a limit; the error names the limit.
  using RefusalHandler = std::function<void(const HttpCallPtr&, const Error&)>;

  HttpServer(HttpServerOptions options,
             Handler handler,
             RefusalHandler refusal_handler = {},
             ResourceBudget* budget = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen. Returns the address with the actual port.
  Result<SocketAddress> Start();

  // Stops accepting connections. Open connections are still served.
  void StopListening();

  // From now on, closes each connection after its next response, which carries
  // "Connection: close". Connections are still accepted.
  void CloseAfterAnswers() { this->state->closing = true; }

  // Calls back once when every request whose head has been read so far was
  // answered and its response written, or its caller disconnected. Calls back
  // immediately if there are none. A second call replaces the first.
  void WhenAnswered(std::function<void()> call);

  // Number of calls being read or answered, including idle connections.
  int64_t OpenCalls() const { return static_cast<int64_t>(this->calls.size()); }

 private:
  HttpCallPtr Find(SoupServerMessage* message) const;
  void CheckAnswered();
  void Refuse(const HttpCallPtr& call);
  static void OnStarted(SoupServer*, SoupServerMessage*, gpointer self);
  static void OnEnded(SoupServer*, SoupServerMessage*, gpointer self);
  static void OnHead(SoupServer*,
                     SoupServerMessage*,
                     const char* path,
                     GHashTable* query,
                     gpointer self);
  static void OnRequest(SoupServer*,
                        SoupServerMessage*,
                        const char* path,
                        GHashTable* query,
                        gpointer self);

  HttpServerOptions options;
  Handler handler;
  RefusalHandler refusal_handler;
  ObjectPtr<SoupServer> server;
  std::map<SoupServerMessage*, HttpCallPtr> calls;
  std::shared_ptr<HttpServerState> state = std::make_shared<HttpServerState>();
  std::set<SoupServerMessage*> awaited;  // before on_answered is called
  std::function<void()> on_answered;
};

}  // namespace hickorystand
