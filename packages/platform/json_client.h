// Calls to the platform with JSON both ways, each within one time limit, and
// above all what is known when one fails: whether it can have taken effect.

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

// One call.
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
  // is not cut off on a slow link.
  std::function<void()> on_progress;
  // Asked in the step that hands bytes to the socket; false stops them.
  std::function<bool()> may_send;
};

// How a call ended.
enum class JsonOutcome {
  kAnswered,  // a whole answer came, whatever its status
  kNotSent,   // no byte of the request left this host
  kUnknown,   // it may have been received; no whole answer came
};

// What came of it.
struct JsonReply {
  JsonOutcome outcome = JsonOutcome::kUnknown;
  int status = 0;     // kAnswered only
  std::string body;   // kAnswered only
  std::string error;  // why it was not answered, for people

  // The call was done, by its status.
  bool Succeeded() const {
    return this->outcome == JsonOutcome::kAnswered && this->status / 100 == 2;
  }
};

// Sends calls, and answers them on the task that made it. Destroying it drops
// the calls under way, whose callbacks are then never called.
class JsonClient {
 public:
  JsonClient();
  ~JsonClient();
  JsonClient(const JsonClient&) = delete;
  JsonClient& operator=(const JsonClient&) = delete;

  // Sends one call; `done` is called once, never before this returns.
  void Send(JsonRequest request, std::function<void(JsonReply)> done);

 private:
  struct Pending;

  void OnProgress(uint64_t id);
  void End(uint64_t id, JsonReply reply);
  void TakeEnd(uint64_t id, HttpEnd end, const std::string& detail);
  void GiveUp(uint64_t id);

  HttpClient client;
  uint64_t last_id = 0;
  std::map<uint64_t, std::unique_ptr<Pending>> pending;
};

}  // namespace hickorystand
