// Stand-in for a plain service, one that serves no model: it files petitions
// and looks them up.
//
//   POST /petitions          files one; not idempotent
//   GET  /petitions/N        its status
//   GET  /petitions          the number of petitions
//   GET  /large?bytes=N      an answer of N bytes, at most 64 MiB
//   POST /admin/fault        {"kind":"not_run","times":1}
//
// Like the real service it does not detect duplicates: each POST that it
// receives is a separate filing, for which fees are charged.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "kernel/task.h"
#include "run_record.h"

namespace hickorystand::fakes {

// Faults that can be injected into a call.
enum class PlainFault {
  kNone,
  kCrashAfterRun,   // executes the call, then resets the connection
  kSilentAfterRun,  // executes the call, then never answers
  kHalfAnswer,      // executes the call, then resets in the middle of the body
  kWrongId,         // executes the call, and answers with another request's id
  kNotRun,          // answers 503 with code not_run, without executing the call
  kUntilClose,      // executes the call, and closes instead of sending a length
  kUntilCloseReset,  // the same, but resets in the middle of a long body
};

// Settings of a service.
struct PlainOptions {
  std::string id = "plain";
  SocketAddress listen{"127.0.0.1", 0};
  Duration delay{};  // of each answer
};

// The service. It runs on its own task; public functions may be called from any
// thread.
class FakePlainService {
 public:
  explicit FakePlainService(PlainOptions options = {});
  ~FakePlainService();
  FakePlainService(const FakePlainService&) = delete;
  FakePlainService& operator=(const FakePlainService&) = delete;

  SocketAddress Address() const { return this->address; }

  // Sets the fault of the next `times` calls.
  void SetFault(PlainFault fault, int64_t times = INT64_MAX);

  // All calls received, oldest first. Cleared at 200,000 records.
  std::vector<RunRecord> Runs();

  // The bodies of the petitions filed, oldest first.
  std::vector<std::string> Petitions();

 private:
  void Handle(const HttpCallPtr& call);
  void Answer(const HttpCallPtr& call, PlainFault active_fault);
  void AnswerLarge(const HttpCallPtr& call);
  void SetFaultFromRequest(const HttpCallPtr& call);

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
