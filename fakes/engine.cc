#include "engine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <iterator>
#include <ranges>
#include <utility>

#include "endpoints/prompt.h"
#include "endpoints/sse.h"

namespace hickorystand::fakes {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
constexpr int64_t kDefaultTokens = 16;
constexpr int64_t kCreated = 1'700'000'000;
constexpr Duration kKeepAlivePeriod = std::chrono::milliseconds(200);
constexpr size_t kMaxRuns = 200'000;

struct FaultName {
  EngineFault fault;
  std::string_view name;
};

constexpr std::array kFaultNames = {
    FaultName{EngineFault::kNone, "none"},
    FaultName{EngineFault::kCrashStream, "crash_stream"},
    FaultName{EngineFault::kCrashProcess, "crash_process"},
    FaultName{EngineFault::kSilent, "silent"},
    FaultName{EngineFault::kWrongHead, "wrong_head"},
    FaultName{EngineFault::kWrongChunk, "wrong_chunk"},
    FaultName{EngineFault::kTruncate, "truncate"},
    FaultName{EngineFault::kErrorEvent, "error_event"},
    FaultName{EngineFault::kNotRun, "not_run"},
    FaultName{EngineFault::kReject, "reject"},
};

std::string HeaderOr(const HttpRequest& request,
                     const char* name,
                     std::string fallback = "") {
  return FindHeader(request.headers, name).value_or(std::move(fallback));
}

JsonWriter ErrorDocument(std::string_view code) {
  JsonWriter out;
  out.BeginObject().Name("error").BeginObject();
  out.Member("message", "As ordered.").Member("type", "server_error");
  out.Member("code", code).EndObject().EndObject();
  return out;
}

std::string CompletionId(bool chat, const std::string& request) {
  return (chat ? "chatcmpl-" : "cmpl-") + request;
}

void BeginChunk(JsonWriter& out, bool chat, const std::string& id) {
  out.BeginObject().Member("id", id);
  out.Member("object", chat ? "chat.completion.chunk" : "text_completion");
  out.Member("created", kCreated).Member("model", "fake");
}

std::string TokenChunk(bool chat,
                       const std::string& id,
                       const std::string& text) {
  JsonWriter out;
  BeginChunk(out, chat, id);
  out.Name("choices").BeginArray().BeginObject().Member("index", 0);
  if (chat) {
    out.Name("delta").BeginObject().Member("content", text).EndObject();
  } else {
    out.Member("text", text);
  }
  return out.EndObject().EndArray().EndObject().Text();
}

std::string LastChunk(bool chat, const std::string& id) {
  JsonWriter out;
  BeginChunk(out, chat, id);
  out.Name("choices").BeginArray().BeginObject().Member("index", 0);
  if (chat) {
    out.Name("delta").BeginObject().EndObject();
  } else {
    out.Member("text", "");
  }
  out.Member("finish_reason", "length");
  return out.EndObject().EndArray().EndObject().Text();
}

void WriteUsage(JsonWriter& out, const Generation& generation) {
  out.Name("usage").BeginObject();
  out.Member("prompt_tokens", generation.prompt_tokens);
  out.Member("completion_tokens", generation.tokens_wanted);
  out.Member("total_tokens",
             generation.prompt_tokens + generation.tokens_wanted);
  out.Name("prompt_tokens_details").BeginObject();
  out.Member("cached_tokens", generation.cached_tokens);
  out.EndObject().EndObject();
}

std::string UsageChunk(bool chat,
                       const std::string& id,
                       const Generation& generation) {
  JsonWriter out;
  BeginChunk(out, chat, id);
  out.Name("choices").BeginArray().EndArray();
  WriteUsage(out, generation);
  return out.EndObject().Text();
}

std::string CompletionDocument(bool chat,
                               const std::string& id,
                               const std::string& text,
                               const Generation& generation) {
  JsonWriter out;
  out.BeginObject().Member("id", id);
  out.Member("object", chat ? "chat.completion" : "text_completion");
  out.Member("created", kCreated).Member("model", "fake");
  out.Name("choices").BeginArray().BeginObject().Member("index", 0);
  if (chat) {
    out.Name("message").BeginObject().Member("role", "assistant");
    out.Member("content", text).EndObject();
  } else {
    out.Member("text", text);
  }
  out.Member("finish_reason", "length").EndObject().EndArray();
  WriteUsage(out, generation);
  return out.EndObject().Text();
}

// Returns the number in a query such as after=12; 0 if there is none.
int64_t QueryNumber(const std::string& query) {
  const size_t equals = query.find('=');
  return equals == std::string::npos
             ? 0
             : std::strtoll(query.c_str() + equals + 1, nullptr, 10);
}

void WriteHashes(JsonWriter& out,
                 std::string_view name,
                 const std::vector<uint64_t>& hashes) {
  out.Name(name).BeginArray();
  for (const uint64_t hash : hashes) {
    out.Value(static_cast<int64_t>(hash));
  }
  out.EndArray();
}

}  // namespace

std::string TokenText(std::string_view prompt, int64_t number) {
  std::array<char, 48> text{};
  const uint64_t hash = XXH3_64bits(prompt.data(), prompt.size());
  std::snprintf(text.data(), text.size(), "%04x.%lld ",
                static_cast<unsigned>(hash & 0xffff),
                static_cast<long long>(number));
  return text.data();
}

std::string AnswerText(std::string_view prompt, int64_t tokens) {
  std::string text;
  for (int64_t i = 0; i < tokens; ++i) {
    text += TokenText(prompt, i);
  }
  return text;
}

const FakeEngine::Route FakeEngine::kRoutes[] = {
    {"POST", "/v1/chat/completions", &FakeEngine::Complete},
    {"POST", "/v1/completions", &FakeEngine::Complete},
    {"POST", "/v1/cancel/", &FakeEngine::CancelRun},
    {"GET", "/v1/load", &FakeEngine::AnswerLoad},
    {"GET", "/v1/cache-events", &FakeEngine::AnswerCacheEvents},
    {"POST", "/v1/orders", &FakeEngine::TakeOrder},
    {"GET", "/v1/orders", &FakeEngine::ListOrders},
    {"GET", "/v1/health", &FakeEngine::AnswerHealth},
    {"POST", "/admin/fault", &FakeEngine::SetFaultFromRequest},
    {"GET", "/admin/runs", &FakeEngine::AnswerRuns},
};

FakeEngine::FakeEngine(EngineOptions options)
    : options(std::move(options)),
      task("fake-engine"),
      batch(this->options.batch) {
  this->orders.fences = this->options.fences;
  this->task.Call([this] {
    this->Listen();
    this->stepper = Timer::Every(this->options.step, [this] { this->Step(); });
    this->keep_alive =
        Timer::Every(kKeepAlivePeriod, [this] { this->KeepAlive(); });
  });
}

FakeEngine::~FakeEngine() {
  this->task.Call([this] {
    this->keep_alive.reset();
    this->stepper.reset();
    this->Crash();
  });
}

void FakeEngine::SetFault(FaultInjection new_fault) {
  this->task.Call([&] { this->fault = new_fault; });
}

void FakeEngine::SetLeaving(bool now_leaving) {
  this->task.Call([&] { this->leaving = now_leaving; });
}

void FakeEngine::SetSoftware(const std::string& version) {
  this->task.Call([&] { this->software = version; });
}

int64_t FakeEngine::LoadReports() {
  int64_t reports = 0;
  this->task.Call([&] { reports = this->load_sequence; });
  return reports;
}

std::vector<RunRecord> FakeEngine::Runs() {
  std::vector<RunRecord> copy;
  this->task.Call([&] { copy = this->runs; });
  return copy;
}

std::vector<AcceptedOrder> FakeEngine::Orders() {
  std::vector<AcceptedOrder> copy;
  this->task.Call([&] { copy = this->orders.Orders(); });
  return copy;
}

void FakeEngine::Restart() {
  this->task.Call([this] {
    this->Crash();
    ++this->incarnation;
    this->batch = EngineBatch(this->options.batch);
    this->Listen();
  });
}

void FakeEngine::Listen() {
  HttpServerOptions http{.listen = this->options.listen};
  if (this->address.port != 0) {
    http.listen = this->address;
  }
  this->server = std::make_unique<HttpServer>(
      http, [this](const HttpCallPtr& call) { this->Handle(call); });
  const Result<SocketAddress> listening = this->server->Start();
  assert(listening && "the stand-in's port must be free");
  this->address = *listening;
}

void FakeEngine::Crash() {
  const auto open = std::exchange(this->streams, {});
  for (const auto& [key, stream] : open) {
    stream.call->OnGone({});
    this->batch.Remove(key);
  }
  this->server.reset();
}

void FakeEngine::Handle(const HttpCallPtr& call) {
  const HttpRequest& request = call->Request();
  const auto* route =
      std::ranges::find_if(kRoutes, [&](const Route& candidate) {
        return candidate.method == request.method &&
               request.path.starts_with(candidate.path);
      });
  if (route == std::end(kRoutes)) {
    AnswerJson(call, kStatusNotFound, ErrorDocument("not_found"));
    return;
  }
  (this->*route->handler)(call);
}

// -- Completions -------------------------------------------------------------

void FakeEngine::Complete(const HttpCallPtr& call) {
  const HttpRequest& request = call->Request();
  const Result<Json> body = Json::ParseObject(request.body);
  if (!body) {
    AnswerJson(call, kStatusBadRequest, ErrorDocument("bad_request"));
    return;
  }
  Stream stream{
      .call = call,
      .record = this->runs.size(),
      .prompt = PromptText(*body),
      .chat = request.path.find("chat") != std::string::npos,
      .streamed = body->At("stream").Flag(),
      .with_usage = body->At("stream_options").At("include_usage").Flag(),
      .fault = this->fault};
  if (this->fault.kind != EngineFault::kNone && --this->fault.times <= 0) {
    this->fault = {};
  }
  if (this->runs.size() >= kMaxRuns) {
    // Bounds memory in benchmarks, which count runs themselves.
    this->runs.clear();
    stream.record = 0;
  }
  this->runs.push_back(
      {.request = HeaderOr(request, "X-Request-Id"),
       .attempt = HeaderOr(request, "X-Attempt"),
       .method = request.method,
       .target = request.raw_path,
       .headers = request.headers,
       .body = request.body,
       .resume_from = std::strtoll(
           HeaderOr(request, "X-Resume-From", "0").c_str(), nullptr, 10)});
  if (!this->RefuseByFault(call, stream)) {
    this->runs.back().ran = true;
    this->Begin(call, *body, std::move(stream));
  }
}

bool FakeEngine::RefuseByFault(const HttpCallPtr& call, Stream& stream) {
  if (stream.fault.kind == EngineFault::kNotRun) {
    AnswerJson(call, kStatusUnavailable, ErrorDocument("not_run"));
    return true;
  }
  if (stream.fault.kind == EngineFault::kReject) {
    AnswerJson(call, kStatusBadRequest, ErrorDocument("bad_request"));
    return true;
  }
  if (!this->options.poison.empty() &&
      stream.prompt.find(this->options.poison) != std::string::npos) {
    stream.fault = {.kind = EngineFault::kCrashProcess};
  }
  return false;
}

void FakeEngine::Begin(const HttpCallPtr& call,
                       const Json& body,
                       Stream stream) {
  const std::string key = std::to_string(++this->next_key);
  const HttpRequest& request = call->Request();
  const Json max_completion_tokens = body.At("max_completion_tokens");
  Generation generation{
      .key = key,
      .batch = HeaderOr(request, "X-Priority") == "batch",
      .prompt_tokens = EstimateTokens(stream.prompt),
      .tokens_wanted = (max_completion_tokens.Exists() ? max_completion_tokens
                                                       : body.At("max_tokens"))
                           .Integer(kDefaultTokens),
      .next_token = this->runs[stream.record].resume_from,
      .pieces = PrefixHashes(stream.prompt)};
  if (stream.streamed) {
    HttpHeaders headers = EchoHeaders(request);
    headers.push_back({"Content-Type", "text/event-stream"});
    if (stream.fault.kind == EngineFault::kWrongHead) {
      std::ranges::find(headers, std::string("X-Request-Id"), &HttpHeader::name)
          ->value = "req-of-somebody-else";
    }
    call->StartStream(kStatusOk, headers);
    call->Write(": accepted\n\n");
  }
  call->OnGone([this, key] { this->EndRun(key, false); });
  this->streams[key] = std::move(stream);
  this->batch.Add(std::move(generation));
}

void FakeEngine::Step() {
  for (const Generation& generation : this->batch.Step()) {
    this->SendToken(generation);
  }
  // A crash of the process ends all streams. It is carried out after the loop
  // because it ends calls that the loop uses.
  if (std::exchange(this->crashing, false)) {
    this->Crash();
  }
}

// Sends SSE comments, so that a client whose request is queued can tell that
// the connection is alive.
void FakeEngine::KeepAlive() {
  for (const auto& [key, stream] : this->streams) {
    if (stream.streamed && !stream.silent) {
      stream.call->Write(": waiting\n\n");
    }
  }
}

void FakeEngine::SendToken(const Generation& generation) {
  const auto found = this->streams.find(generation.key);
  if (found == this->streams.end() || found->second.silent) {
    return;
  }
  Stream& stream = found->second;
  RunRecord& record = this->runs.at(stream.record);
  if (this->Strike(generation.key, stream, record.generated)) {
    return;
  }
  const std::string id = CompletionId(stream.chat, record.request);
  if (!generation.Done()) {
    ++record.generated;
    const std::string token = TokenText(stream.prompt, generation.next_token);
    if (stream.streamed) {
      stream.call->Write(SseEvent(TokenChunk(stream.chat, id, token)));
    } else {
      stream.text += token;
    }
  }
  if (generation.next_token + 1 >= generation.tokens_wanted) {
    this->FinishStream(generation.key, generation);
  }
}

// Injects the fault of a stream once enough tokens are generated. Returns true
// if the stream gets no further tokens.
bool FakeEngine::Strike(const std::string& key,
                        Stream& stream,
                        int64_t generated) {
  if (stream.fault.kind == EngineFault::kNone ||
      generated < stream.fault.after_tokens) {
    return false;
  }
  const HttpCallPtr call = stream.call;
  switch (stream.fault.kind) {
    case EngineFault::kCrashStream:
      call->Abort();
      return true;
    case EngineFault::kCrashProcess:
      this->crashing = true;
      return true;
    case EngineFault::kSilent:
      stream.silent = true;
      this->batch.Remove(key);
      return true;
    case EngineFault::kWrongChunk:
      stream.fault = {};
      call->Write(SseEvent(
          TokenChunk(stream.chat, "chatcmpl-req-of-somebody-else", "secret ")));
      return false;
    case EngineFault::kTruncate:
      call->EndStream();
      this->EndRun(key, false);
      return true;
    case EngineFault::kErrorEvent:
      call->Write(SseEvent(ErrorDocument("internal").Text()));
      call->EndStream();
      this->EndRun(key, false);
      return true;
    default:
      return false;
  }
}

void FakeEngine::FinishStream(const std::string& key,
                              const Generation& generation) {
  const Stream& stream = this->streams.at(key);
  const HttpCallPtr call = stream.call;
  const std::string id =
      CompletionId(stream.chat, this->runs.at(stream.record).request);
  if (stream.streamed) {
    call->Write(SseEvent(LastChunk(stream.chat, id)));
    if (stream.with_usage) {
      call->Write(SseEvent(UsageChunk(stream.chat, id, generation)));
    }
    call->Write(SseEvent(kSseDone));
    call->EndStream();
  } else {
    HttpHeaders headers = EchoHeaders(call->Request());
    headers.push_back({"Content-Type", "application/json"});
    call->Answer(kStatusOk, headers,
                 CompletionDocument(stream.chat, id, stream.text, generation));
  }
  this->EndRun(key, true);
}

void FakeEngine::EndRun(const std::string& key, bool finished) {
  const auto node = this->streams.extract(key);
  if (node.empty()) {
    return;
  }
  node.mapped().call->OnGone({});
  this->batch.Remove(key);
  RunRecord& record = this->runs.at(node.mapped().record);
  record.finished = finished;
  record.cancelled = !finished;
}

void FakeEngine::CancelRun(const HttpCallPtr& call) {
  const std::string& path = call->Request().path;
  const std::string request = path.substr(path.rfind('/') + 1);
  const int64_t attempt = QueryNumber(call->Request().query);
  const auto found = std::ranges::find_if(this->streams, [&](const auto& each) {
    const RunRecord& record = this->runs.at(each.second.record);
    return record.request == request &&
           (attempt == 0 || record.attempt == std::to_string(attempt));
  });
  if (found != this->streams.end()) {
    const HttpCallPtr cancelled = found->second.call;
    this->EndRun(found->first, false);
    cancelled->Abort();
  }
  AnswerJson(call, kStatusOk, JsonWriter().BeginObject().EndObject());
}

// -- Reports and orders ------------------------------------------------------

void FakeEngine::AnswerLoad(const HttpCallPtr& call) {
  const double steps_per_second = 1 / ToSeconds(this->options.step);
  JsonWriter out;
  out.BeginObject();
  out.Member("incarnation", this->incarnation);
  out.Member("sequence", ++this->load_sequence);
  if (!this->software.empty()) {
    out.Member("software", this->software);
  }
  out.Member("role", this->role).Member("leaving", this->leaving);
  out.Member("queued_prompt_tokens", this->batch.QueuedPromptTokens());
  out.Member("running", this->batch.Running());
  out.Member("capacity", this->options.batch.capacity);
  out.Member(
      "prefill_rate",
      steps_per_second *
          static_cast<double>(this->options.batch.prefill_tokens_per_step));
  out.Member(
      "decode_rate",
      steps_per_second * static_cast<double>(this->options.batch.capacity));
  out.Member("cache_pieces", this->options.batch.cache_pieces);
  out.Member("cache_pieces_used", std::ssize(this->batch.CachedPieces()));
  AnswerJson(call, kStatusOk, out.EndObject());
}

void FakeEngine::AnswerCacheEvents(const HttpCallPtr& call) {
  const auto& changes = this->batch.Changes();
  const int64_t after = QueryNumber(call->Request().query);
  JsonWriter out;
  out.BeginObject().Member("incarnation", this->incarnation);
  out.Name("events").BeginArray();
  if (after == 0 || after > std::ssize(changes)) {
    out.BeginObject().Member("sequence", std::ssize(changes));
    out.Member("snapshot", true);
    WriteHashes(out, "added", this->batch.CachedPieces());
    out.EndObject();
  } else {
    for (const CacheChange& change : changes | std::views::drop(after)) {
      out.BeginObject().Member("sequence", change.sequence);
      WriteHashes(out, "added", change.added);
      WriteHashes(out, "removed", change.removed);
      out.EndObject();
    }
  }
  AnswerJson(call, kStatusOk, out.EndArray().EndObject());
}

void FakeEngine::TakeOrder(const HttpCallPtr& call) {
  const AcceptedOrder* order = this->orders.Take(call);
  if (order == nullptr) {
    return;
  }
  if (order->kind == "set_role") {
    this->role = order->argument;
  }
  if (order->kind == "drain" || order->kind == "resume") {
    this->leaving = order->kind == "drain";
  }
}

void FakeEngine::ListOrders(const HttpCallPtr& call) {
  this->orders.List(call);
}

void FakeEngine::AnswerHealth(const HttpCallPtr& call) {
  AnswerJson(call, kStatusOk,
             JsonWriter().BeginObject().Member("status", "ok").EndObject());
}

void FakeEngine::SetFaultFromRequest(const HttpCallPtr& call) {
  const Json body = Json::ParseObject(call->Request().body).value_or(Json());
  const std::string name = body.At("kind").Text();
  const auto* row = std::ranges::find(kFaultNames, name, &FaultName::name);
  if (row == kFaultNames.end()) {
    AnswerJson(call, kStatusBadRequest, ErrorDocument("unknown_fault"));
    return;
  }
  this->fault = {.kind = row->fault,
                 .after_tokens = body.At("after_tokens").Integer(),
                 .times = body.At("times").Integer(INT64_MAX)};
  AnswerJson(call, kStatusOk, JsonWriter().BeginObject().EndObject());
}

void FakeEngine::AnswerRuns(const HttpCallPtr& call) {
  JsonWriter out;
  out.BeginObject().Name("runs").BeginArray();
  for (const RunRecord& run : this->runs) {
    out.BeginObject().Member("request", run.request);
    out.Member("attempt", run.attempt).Member("ran", run.ran);
    out.Member("resume_from", run.resume_from);
    out.Member("generated", run.generated).Member("finished", run.finished);
    out.EndObject();
  }
  AnswerJson(call, kStatusOk, out.EndArray().EndObject());
}

}  // namespace hickorystand::fakes
