// A stand-in for a plain service that files petitions and looks them up:
//
//   POST /petitions          files one; not idempotent
//   GET  /petitions/N        its status
//   GET  /petitions          how many there are
//   GET  /large?bytes=N      an answer of that size
//
// It keeps no duplicates apart, as the real one doesn't: each POST that reaches
// it is a filing with fees.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "kernel/task.h"
#include "run_record.h"

namespace hickorystand::fakes {

// What goes wrong with a call.
enum class PlainFault {
  kNone,
  kCrashAfterRun,   // does the work, then resets the connection
  kSilentAfterRun,  // does the work, then never answers
  kHalfAnswer,      // does the work, then resets within the answer's body
  kWrongId,         // does the work, and echoes another request's id
  kNotRun,          // refuses as not run
};

// How a service is set.
struct PlainOptions {
  std::string id = "plain";
  SocketAddress listen{"127.0.0.1", 0};
  Duration delay{};  // of each answer
};

// The service, on a task of its own. Its calls may come from any thread.
class FakePlainService {
 public:
  explicit FakePlainService(PlainOptions options = {});
  ~FakePlainService();
  FakePlainService(const FakePlainService&) = delete;
  FakePlainService& operator=(const FakePlainService&) = delete;

  SocketAddress Address() const { return this->address; }

  // What goes wrong with the next `times` calls.
  void SetFault(PlainFault fault, int64_t times = INT64_MAX);

  // All calls that reached it, oldest first.
  std::vector<RunRecord> Runs();

  // The texts filed, in order.
  std::vector<std::string> Petitions();

 private:
  void Handle(const HttpCallPtr& call);
  void Answer(const HttpCallPtr& call, PlainFault with);
  void AnswerLarge(const HttpCallPtr& call);
  void SetFaultByCall(const HttpCallPtr& call);

  PlainOptions options;
  SocketAddress address;
  Task task;
  std::unique_ptr<HttpServer> server;
  std::vector<std::unique_ptr<Timer>> delayed;
  std::vector<HttpCallPtr> silent;
  std::vector<RunRecord> runs;
  std::vector<std::string> petitions;
  PlainFault fault = PlainFault::kNone;
  int64_t times = 0;
};

}  // namespace hickorystand::fakes
