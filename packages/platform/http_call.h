// One HTTP call to the platform, and above all what is known when it fails:
// whether the request can have taken effect.
//
// Index
//   HttpCall, HttpReply   one request and how it ended
//   HttpClient            sends calls from the task that made it

#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// How a call ended.
enum class HttpOutcome {
  kAnswered,  // a whole answer came, whatever its status
  kNotSent,   // no byte of the request left this host
  kUnknown,   // it may have been received; no whole answer came
};

// One request.
struct HttpCall {
  SocketAddress address;
  std::string method = "POST";
  std::string path;  // with the query, if any
  std::string body;  // JSON; none if empty
  std::map<std::string, std::string> headers;
  Duration timeout = std::chrono::seconds(2);
  // Whether it may run twice. Others go out on a connection of their own, as
  // the library sends again by itself what breaks on a connection kept open.
  bool idempotent = false;
  // Asked in the step that hands the request to the socket; if it answers
  // false, nothing is sent. A process that was paused after it decided to send
  // would otherwise send on an authority that it lost meanwhile.
  std::function<bool()> may_send;
};

// What came of it.
struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kUnknown;
  int status = 0;     // kAnswered only
  std::string body;   // kAnswered only
  std::string error;  // why it was not answered, for people
};

// Sends calls, and answers them on the task that made it. Destroying it drops
// the calls under way: their callbacks are never called.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends one call; `done` is called once, never before this returns.
  void Send(HttpCall call, std::function<void(HttpReply)> done);

  // Calls under way.
  int64_t Pending() const { return static_cast<int64_t>(this->pending.size()); }

 private:
  struct Exchange;

  static void OnStarting(SoupMessage* message, gpointer exchange);
  static void OnReply(GObject* session, GAsyncResult* result, gpointer data);
  // A connection can go silent for good while new ones work, as something in
  // between has lost track of it. It shows as a call without an answer, and its
  // idle neighbours are likely as dead; so calls from then on open new ones.
  void DropIdleConnections();
  void Finish(Exchange& exchange, GBytes* body, const GError* error);

  SoupSession* session;
  std::map<Exchange*, std::shared_ptr<Exchange>> pending;
};

// http://IP:PORT/path
std::string HttpUrl(const SocketAddress& address, const std::string& path);

}  // namespace hickorystand
