// Client for JSON over HTTP, for calls to the platform. Each call has one
// timeout, and a failed call reports whether it can have had an effect.
//
//   client.Send({.address = address, .target = "/usage", .body = body},
//               [](const JsonReply& reply) { ... });
//
// Index
//   JsonRequest   a call
//   JsonOutcome   how a call ended
//   JsonReply     the outcome with status and body
//   JsonClient    sends calls

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_client.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "kernel/time.h"

namespace hickorystand {

// A call.
struct JsonRequest {
  SocketAddress address;
  std::string method = "POST";
  std::string target;  // path and query
  std::string body;    // none if empty
  HttpHeaders headers;
  Duration timeout = std::chrono::seconds(2);  // for the whole call
  bool idempotent = false;                     // may be sent twice
  // Called for each part of the answer that arrives. If set, each part restarts
  // the timeout, up to four times its length in total, so that a large answer
  // on a slow link does not time out.
  std::function<void()> on_progress;
  // Called immediately before bytes are written to the socket; returning false
  // prevents the write.
  std::function<bool()> may_send;
};

// How a call ended.
enum class JsonOutcome {
  kAnswered,  // a complete answer was received, of any status
  kNotSent,   // no byte of the request was sent
  kUnknown,   // may have been received; no complete answer
};

// The result of a call.
struct JsonReply {
  JsonOutcome outcome = JsonOutcome::kUnknown;
  int status = 0;     // kAnswered only
  std::string body;   // kAnswered only
  std::string error;  // why there is no answer, for people

  // Whether an answer with a 2xx status was received.
  bool Succeeded() const {
    return this->outcome == JsonOutcome::kAnswered && this->status / 100 == 2;
  }
};

// Sends calls. Callbacks run on the task that created the client. Destroying
// the client cancels the calls in progress without calling their callbacks.
class JsonClient {
 public:
  // Broken answers are counted in `metrics`, which may be null.
  explicit JsonClient(Metrics* metrics = nullptr);
  ~JsonClient();
  JsonClient(const JsonClient&) = delete;
  JsonClient& operator=(const JsonClient&) = delete;

  // Sends one call. `done` is called once, never before this function returns.
  void Send(JsonRequest request, std::function<void(JsonReply)> done);

 private:
  struct Pending;

  void OnProgress(uint64_t id);
  void Complete(uint64_t id, JsonReply reply);
  void OnExchangeEnd(uint64_t id, HttpEnd end, const std::string& detail);
  void OnTimeout(uint64_t id);

  HttpClient client;
  uint64_t last_id = 0;
  std::map<uint64_t, std::unique_ptr<Pending>> pending;
};

}  // namespace hickorystand
