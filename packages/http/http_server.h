// An HTTP server on one task, with a limit on all that a caller can make it
// hold: headers, body, time to send them, and bytes that it doesn't fetch.
//
// Index
//   HttpServerOptions   addresses and limits
//   HttpServerState     shared by a server and its calls
//   HttpRequest         what a caller asked, read whole
//   HttpCall            one request being answered, at once or as a stream
//   HttpServer          listens and hands out calls
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
#include "kernel/settings.h"
#include "kernel/task.h"

namespace hickorystand {

// Where a server listens and what it lets a caller do.
struct HttpServerOptions {
  SocketAddress listen{"127.0.0.1", 0};  // port 0: any free one
  std::string tls_certificate;           // PEM file; empty: no TLS
  std::string tls_key;                   // PEM file
  int64_t max_body_bytes = int64_t{8} << 20;
  // Of all bodies that the server holds at once; more is refused as overload.
  int64_t max_total_body_bytes = int64_t{256} << 20;
  int64_t max_header_bytes = int64_t{32} << 10;
  int64_t max_headers = 100;
  // The longest that a connection may be without a whole request head; it is
  // also how long an idle connection is kept.
  Duration head_timeout = std::chrono::seconds(60);
  Duration body_timeout = std::chrono::seconds(30);  // for the whole body
  // The longest that a caller may fetch nothing of an answer that waits.
  Duration write_timeout = std::chrono::seconds(30);
  // A stream with more than this unsent is told to pause.
  int64_t high_water_bytes = int64_t{256} << 10;
};

// What all calls of a server share with it.
struct HttpServerState {
  int64_t bodies_held = 0;  // bytes
  bool closing = false;     // each answer closes its connection
};

// What a caller asked.
struct HttpRequest {
  std::string method;
  std::string path;   // percent-decoded
  std::string query;  // as sent, without the question mark
  std::string raw_path;
  HttpHeaders headers;
  std::string body;
};

// One request and its answer. Lives on the server's task.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(const HttpServerOptions& options,
           SoupServerMessage* message,
           std::shared_ptr<HttpServerState> server);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  const HttpRequest& Request() const { return this->request; }

  // Answers all at once. Does nothing when the caller has gone.
  void Answer(int status, const HttpHeaders& headers, std::string_view body);

  // Answers piece by piece: start, write, and end. An answer that isn't ended
  // must be aborted, so that the caller can tell.
  void StartStream(int status, const HttpHeaders& headers);
  void Write(std::string_view bytes);
  void EndStream();

  // Closes the connection in the middle of the answer.
  void Abort();

  // Whether an answer was begun, or the caller has gone.
  bool Started() const { return this->started; }
  bool Gone() const { return this->gone; }

  // Whether more is unsent than the high-water mark.
  bool Congested() const;

  // Called once when the caller hangs up before its answer is whole.
  void OnGone(std::function<void()> call) { this->on_gone = std::move(call); }

  // Called when a stream is no longer congested.
  void OnDrained(std::function<void()> call) {
    this->on_drained = std::move(call);
  }

 private:
  friend class HttpServer;

  void ReadHead();
  std::optional<Error> HeadFault() const;
  void TakeChunk(GBytes* chunk);
  void RefuseBody(ErrorKind kind, std::string message);
  void Hold();
  void WatchCaller();
  void StopWatching();
  bool CallerClosed() const;
  void WriteHead(int status, const HttpHeaders& headers);
  void Wrote(int64_t bytes);
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
  bool ended = false;
  bool gone = false;
  int64_t received = 0;
  std::shared_ptr<HttpServerState> server;
  int64_t unsent = 0;
  std::unique_ptr<Timer> timer;  // the phase that the call is in
  GSource* watch = nullptr;
  std::function<void()> on_gone;
  std::function<void()> on_drained;
};

using HttpCallPtr = std::shared_ptr<HttpCall>;

// Listens, reads requests and hands them to a handler. Make, start and destroy
// it on the task that it shall live on.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpCallPtr&)>;
  // Answers a request that broke a limit, with the error that says which.
  using Refuser = std::function<void(const HttpCallPtr&, const Error&)>;

  HttpServer(HttpServerOptions options, Handler handler, Refuser refuser = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen; the address tells the port that was taken.
  Result<SocketAddress> Start();

  // Takes no further connection; those that exist are served on.
  void StopListening();

  // Closes each connection after its next answer from now on, and says so in
  // that answer. Connections are still accepted.
  void CloseAfterAnswers() { this->state->closing = true; }

  // Calls back once when all requests whose head has been read by now have
  // been answered and the answers written, or their callers have gone. Calls
  // back at once if there are none. A second call replaces the first.
  void WhenAnswered(std::function<void()> call);

  // Calls that are being read or answered, idle connections among them.
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
  Refuser refuser;
  ObjectPtr<SoupServer> server;
  std::map<SoupServerMessage*, HttpCallPtr> calls;
  std::shared_ptr<HttpServerState> state = std::make_shared<HttpServerState>();
  std::set<SoupServerMessage*> awaited;  // by on_answered
  std::function<void()> on_answered;
};

}  // namespace hickorystand
