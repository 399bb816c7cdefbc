// A stand-in for a model engine: the whole protocol of docs/ENDPOINTS.md on a
// loopback port, with faults that tests and people can switch on.
//
//   FakeEngine engine({.id = "e1"});
//   engine.SetFault({.kind = EngineFault::kCrashStream, .after_tokens = 3});
//
// The text that it generates follows from the prompt alone, so that a resumed
// answer can be compared with one that was never broken.

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
#include "order_book.h"
#include "run_record.h"

namespace hickorystand::fakes {

// What goes wrong with a completion.
enum class EngineFault {
  kNone,
  kCrashStream,   // resets the connection
  kCrashProcess,  // resets all connections and stops listening
  kSilent,        // sends nothing more and leaves the connection open
  kWrongHead,     // echoes another request's id
  kWrongChunk,    // sends a chunk of another request's answer
  kTruncate,      // ends the answer in order, but without [DONE]
  kErrorEvent,    // sends an error event
  kNotRun,        // refuses the request as not run
  kReject,        // says that the request itself is bad
};

// A fault, when it strikes, and how often.
struct FaultOrder {
  EngineFault kind = EngineFault::kNone;
  int64_t after_tokens = 0;
  int64_t times = INT64_MAX;

  bool operator==(const FaultOrder&) const = default;
};

// How an engine is set.
struct EngineOptions {
  std::string id = "engine";
  SocketAddress listen{"127.0.0.1", 0};
  Duration step = std::chrono::milliseconds(1);
  BatchOptions batch;
  bool fences = true;
  std::string poison;  // a prompt that holds this text crashes the process
};

// The token with a given number of the answer to a prompt.
std::string TokenText(std::string_view prompt, int64_t number);

// The whole answer to a prompt.
std::string AnswerText(std::string_view prompt, int64_t tokens);

// The engine, on a task of its own. Its calls may come from any thread.
class FakeEngine {
 public:
  explicit FakeEngine(EngineOptions options = {});
  ~FakeEngine();
  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  SocketAddress Address() const { return this->address; }

  // What goes wrong with the completions that begin from now on.
  void SetFault(FaultOrder fault);
  void SetLeaving(bool leaving);

  // All completions that reached it, oldest first.
  std::vector<RunRecord> Runs();
  std::vector<BookedOrder> Orders();

  // Listens again after a crash of the process, as another incarnation.
  void Restart();

 private:
  // A completion that is being answered.
  struct Stream {
    HttpCallPtr call;
    size_t record = 0;
    std::string prompt;
    bool chat = false;
    bool streamed = false;
    bool with_usage = false;
    FaultOrder fault;
    std::string text;  // of a whole answer
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
  void SetFaultByCall(const HttpCallPtr& call);
  void AnswerRuns(const HttpCallPtr& call);

  bool RefusedAtOnce(const HttpCallPtr& call, Stream& stream);
  void Begin(const HttpCallPtr& call, const Json& body, Stream stream);
  void Step();
  void KeepAlive();
  void GiveToken(const Generation& generation);
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
  OrderBook orders;
  std::map<std::string, Stream> streams;
  std::vector<RunRecord> runs;
  FaultOrder fault;
  std::string role = "mixed";
  bool leaving = false;
  bool crashing = false;
  uint64_t incarnation = 1;
  int64_t load_sequence = 0;
  int64_t next_key = 0;
};

}  // namespace hickorystand::fakes
