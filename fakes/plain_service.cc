#include "plain_service.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>
#include <utility>

#include "kernel/json.h"
#include "order_handler.h"

namespace hickorystand::fakes {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;
constexpr int64_t kMaxLargeBytes = int64_t{64} << 20;
constexpr size_t kMaxRuns = 200'000;

// More than a gateway buffers before it forwards an answer, and the time in
// which it reads that.
constexpr size_t kMaxBufferedBytes = size_t{3} << 20;
constexpr Duration kResetDelay = std::chrono::milliseconds(200);

struct FaultName {
  PlainFault fault;
  std::string_view name;
};

constexpr std::array kFaultNames = {
    FaultName{PlainFault::kNone, "none"},
    FaultName{PlainFault::kCrashAfterRun, "crash_after_run"},
    FaultName{PlainFault::kSilentAfterRun, "silent_after_run"},
    FaultName{PlainFault::kHalfAnswer, "half_answer"},
    FaultName{PlainFault::kWrongId, "wrong_id"},
    FaultName{PlainFault::kNotRun, "not_run"},
    FaultName{PlainFault::kUntilClose, "until_close"},
    FaultName{PlainFault::kUntilCloseReset, "until_close_reset"},
};

}  // namespace

FakePlainService::FakePlainService(PlainOptions options)
    : options(std::move(options)), task("fake-plain") {
  this->task.Call([this] {
    this->server = std::make_unique<HttpServer>(
        HttpServerOptions{.listen = this->options.listen},
        [this](const HttpCallPtr& call) { this->Handle(call); });
    const Result<SocketAddress> listening = this->server->Start();
    assert(listening && "the stand-in's port must be free");
    this->address = *listening;
  });
}

FakePlainService::~FakePlainService() {
  this->task.Call([this] {
    this->delayed.clear();
    this->silent.clear();
    this->server.reset();
  });
}

void FakePlainService::SetFault(PlainFault next, int64_t count) {
  this->task.Call([&] {
    this->fault = next;
    this->times = count;
  });
}

std::vector<RunRecord> FakePlainService::Runs() {
  std::vector<RunRecord> copy;
  this->task.Call([&] { copy = this->runs; });
  return copy;
}

std::vector<std::string> FakePlainService::Petitions() {
  std::vector<std::string> copy;
  this->task.Call([&] { copy = this->petitions; });
  return copy;
}

void FakePlainService::Handle(const HttpCallPtr& call) {
  const HttpRequest& request = call->Request();
  if (request.path == "/admin/fault") {
    this->SetFaultFromRequest(call);
    return;
  }
  const PlainFault active_fault = this->fault;
  if (active_fault != PlainFault::kNone && --this->times <= 0) {
    this->fault = PlainFault::kNone;
  }
  if (this->runs.size() >= kMaxRuns) {
    this->runs.clear();
  }
  this->runs.push_back(
      {.request = FindHeader(request.headers, "X-Request-Id").value_or(""),
       .attempt = FindHeader(request.headers, "X-Attempt").value_or(""),
       .method = request.method,
       .target = request.raw_path,
       .headers = request.headers,
       .body = request.body,
       .ran = active_fault != PlainFault::kNotRun});
  if (request.method == "POST" && active_fault != PlainFault::kNotRun) {
    this->petitions.push_back(request.body);
  }
  if (this->options.delay == Duration::zero()) {
    this->Answer(call, active_fault);
    return;
  }
  this->delayed.push_back(Timer::After(
      this->options.delay,
      [this, call, active_fault] { this->Answer(call, active_fault); }));
}

void FakePlainService::Answer(const HttpCallPtr& call,
                              PlainFault active_fault) {
  const HttpRequest& request = call->Request();
  HttpHeaders headers = EchoHeaders(request);
  headers.push_back({"Content-Type", "application/json"});
  switch (active_fault) {
    case PlainFault::kCrashAfterRun:
      call->Abort();
      return;
    case PlainFault::kSilentAfterRun:
      this->silent.push_back(call);
      return;
    case PlainFault::kHalfAnswer:
      call->StartStream(kStatusOk, headers);
      call->Write("{\"half\":");
      call->Abort();
      return;
    case PlainFault::kWrongId:
      headers.front().value = "req-of-somebody-else";
      call->Answer(kStatusOk, headers, "{\"secret\":true}");
      return;
    case PlainFault::kNotRun:
      call->Answer(kStatusUnavailable, headers,
                   R"({"error":{"message":"Busy.","code":"not_run"}})");
      return;
    case PlainFault::kUntilClose:
      call->StartStream(kStatusOk, headers, true);
      call->Write("{\"whole\":true}");
      call->EndStream();
      return;
    case PlainFault::kUntilCloseReset:
      call->StartStream(kStatusOk, headers, true);
      call->Write(std::string(kMaxBufferedBytes, 'x'));
      this->delayed.push_back(
          Timer::After(kResetDelay, [call] { call->Abort(); }));
      return;
    case PlainFault::kNone:
      break;
  }
  if (request.path == "/large") {
    this->AnswerLarge(call);
    return;
  }
  JsonWriter out;
  out.BeginObject().Member("petitions", std::ssize(this->petitions));
  out.Member("path", request.path).Member("query", request.query).EndObject();
  call->Answer(request.method == "POST" ? kStatusCreated : kStatusOk, headers,
               out.Text());
}

void FakePlainService::AnswerLarge(const HttpCallPtr& call) {
  const std::string& query = call->Request().query;
  const size_t equals = std::min(query.find('='), query.size());
  const int64_t bytes =
      std::strtoll(query.substr(equals).c_str() + 1, nullptr, 10);
  call->Answer(kStatusOk, EchoHeaders(call->Request()),
               std::string(std::clamp<int64_t>(bytes, 0, kMaxLargeBytes), 'x'));
}

void FakePlainService::SetFaultFromRequest(const HttpCallPtr& call) {
  const Json body = Json::ParseObject(call->Request().body).value_or(Json());
  const std::string name = body.At("kind").Text();
  const auto* row = std::ranges::find(kFaultNames, name, &FaultName::name);
  const bool known = row != kFaultNames.end();
  if (known) {
    this->fault = row->fault;
    this->times = body.At("times").Integer(INT64_MAX);
  }
  call->Answer(known ? kStatusOk : kStatusBadRequest, {}, "{}");
}

}  // namespace hickorystand::fakes
