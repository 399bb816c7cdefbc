// Stand-in for a model engine: implements the whole protocol of
// docs/ENDPOINTS.md on a loopback port, with faults that can be injected by
// tests or over HTTP.
//
//   FakeEngine engine({.id = "e1"});
//   engine.SetFault({.kind = EngineFault::kCrashStream, .after_tokens = 3});
//
// The generated text depends on the prompt only, so that tests can compare a
// resumed answer with an uninterrupted one.
//
// Besides the protocol it answers
//   POST /admin/fault {"kind":"crash_stream","after_tokens":3,"times":1}
//   GET  /admin/runs

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engine_batch.h"
#include "http/http_server.h"
#include "kernel/json.h"
#include "kernel/task.h"
#include "order_handler.h"
#include "run_record.h"

namespace hickorystand::fakes {

// Faults that can be injected into a completion.
enum class EngineFault {
  kNone,
  kCrashStream,   // resets the connection
  kCrashProcess,  // resets all connections and stops listening
  kSilent,        // sends nothing more and leaves the connection open
  kWrongHead,     // response headers carry another request's id
  kWrongChunk,    // sends a chunk of another request's answer
  kTruncate,      // ends the HTTP response cleanly, but without [DONE]
  kErrorEvent,    // sends an error event
  kNotRun,        // answers 503 with code not_run; nothing was generated
  kReject,        // answers 400: the request itself is invalid
};

// A fault to inject: into the next `times` completions, each after it has
// generated `after_tokens` tokens.
struct FaultInjection {
  EngineFault kind = EngineFault::kNone;
  int64_t after_tokens = 0;
  int64_t times = INT64_MAX;

  bool operator==(const FaultInjection&) const = default;
};

// Settings of an engine.
struct EngineOptions {
  std::string id = "engine";
  SocketAddress listen{"127.0.0.1", 0};
  Duration step = std::chrono::milliseconds(1);  // period of batch steps
  BatchOptions batch;
  bool fences = true;  // refuses orders with an outdated fencing number
  std::string poison;  // a prompt that contains this text crashes the process
};

// Returns one token of the answer to a prompt; `number` counts from 0.
std::string TokenText(std::string_view prompt, int64_t number);

// Returns the first `tokens` tokens of the answer to a prompt.
std::string AnswerText(std::string_view prompt, int64_t tokens);

// The engine. It runs on its own task; public functions may be called from any
// thread.
class FakeEngine {
 public:
  explicit FakeEngine(EngineOptions options = {});
  ~FakeEngine();
  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  SocketAddress Address() const { return this->address; }

  // Sets the fault of completions that start after this call.
  void SetFault(FaultInjection fault);
  void SetLeaving(bool leaving);
  void SetSoftware(const std::string& version);  // as reported from now on

  // How often it has reported its load.
  int64_t LoadReports();

  // All completion requests received, oldest first. Cleared at 200,000 records.
  std::vector<RunRecord> Runs();
  std::vector<AcceptedOrder> Orders();

  // Ends all streams if the process has not crashed already, empties the cache,
  // and listens again on the same port as a new incarnation.
  void Restart();

 private:
  // A completion in progress.
  struct Stream {
    HttpCallPtr call;
    size_t record = 0;  // index in `runs`
    std::string prompt;
    bool chat = false;
    bool streamed = false;
    bool with_usage = false;
    FaultInjection fault;
    std::string text;  // generated so far, if the answer is not streamed
    bool silent = false;
  };

  using Handler = void (FakeEngine::*)(const HttpCallPtr&);
  struct Route {
    std::string_view method;
    std::string_view path;  // a prefix
    Handler handler;
  };
  static const Route kRoutes[];

  void Listen();
  void Crash();
  void Handle(const HttpCallPtr& call);
  void Complete(const HttpCallPtr& call);
  void CancelRun(const HttpCallPtr& call);
  void AnswerLoad(const HttpCallPtr& call);
  void AnswerCacheEvents(const HttpCallPtr& call);
  void TakeOrder(const HttpCallPtr& call);
  void ListOrders(const HttpCallPtr& call);
  void AnswerHealth(const HttpCallPtr& call);
  void SetFaultFromRequest(const HttpCallPtr& call);
  void AnswerRuns(const HttpCallPtr& call);

  bool RefuseByFault(const HttpCallPtr& call, Stream& stream);
  void Begin(const HttpCallPtr& call, const Json& body, Stream stream);
  void Step();
  void KeepAlive();
  void SendToken(const Generation& generation);
  bool Strike(const std::string& key, Stream& stream, int64_t generated);
  void FinishStream(const std::string& key, const Generation& generation);
  void EndRun(const std::string& key, bool finished);

  EngineOptions options;
  SocketAddress address;
  Task task;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Timer> stepper;
  std::unique_ptr<Timer> keep_alive;
  EngineBatch batch;
  OrderHandler orders;
  std::map<std::string, Stream> streams;
  std::vector<RunRecord> runs;
  FaultInjection fault;
  std::string role = "mixed";
  std::string software;  // empty: not reported
  bool leaving = false;
  bool crashing = false;
  uint64_t incarnation = 1;
  int64_t load_sequence = 0;
  int64_t next_key = 0;
};

}  // namespace hickorystand::fakes
