#include "gateway/relay.h"

#include <map>
#include <numeric>
#include <string>
#include <utility>

#include "endpoints/sse.h"
#include "gateway/caller_error.h"
#include "kernel/json.h"

namespace hickorystand {
namespace {

constexpr int kStatusOk = 200;

// -- Streams -----------------------------------------------------------------

class StreamRelay final : public Relay {
 public:
  StreamRelay(HttpCallPtr call, RequestId request, const RelayOptions& options)
      : Relay(std::move(call), std::move(request)), options(options) {}

  AnswerShape Shape() const override { return AnswerShape::kChunks; }

  void OnChunk(std::string_view data, const CompletionChunk& chunk) override {
    // The engine is always asked for token counts, also when the caller did
    // not request them.
    const bool only_usage =
        chunk.has_usage && !chunk.has_output && chunk.finish_reason.empty();
    if (only_usage && !this->options.include_usage) {
      return;
    }
    this->delivered += chunk.has_output ? 1 : 0;
    this->Begin();
    this->call->Write(SseEvent(data));
  }

  void Finish(const AttemptEnd& end) override {
    if (end.result.outcome != AttemptOutcome::kComplete) {
      this->FinishRefused(end);
      return;
    }
    this->Begin();
    this->call->Write(SseEvent(kSseDone));
    this->call->EndStream();
  }

  // A stream that only ended would look like a short answer. The error event
  // makes a client library raise an exception; [DONE] is not sent.
  void Fail(const Error& error) override {
    if (!this->call->Started()) {
      Relay::Fail(error);
      return;
    }
    this->call->Write(SseEvent(ErrorBody(error)));
    this->call->EndStream();
  }

 private:
  void Begin() {
    if (!this->call->Started()) {
      this->call->StartStream(kStatusOk,
                              {{"Content-Type", "text/event-stream"},
                               {"Cache-Control", "no-cache"},
                               {"X-Request-Id", this->request.Text()}});
    }
  }

  void FinishRefused(const AttemptEnd& end) {
    if (this->call->Started()) {
      this->Fail({ErrorKind::kBrokenAnswer, "The answer can't be resumed."});
    } else {
      this->ForwardAnswer(end);
    }
  }

  RelayOptions options;
};

// -- Whole completions from a stream -----------------------------------------

class AssemblyRelay final : public Relay {
 public:
  AssemblyRelay(HttpCallPtr call,
                RequestId request,
                const RelayOptions& options)
      : Relay(std::move(call), std::move(request)), options(options) {}

  AnswerShape Shape() const override { return AnswerShape::kChunks; }

  void OnChunk(std::string_view, const CompletionChunk& chunk) override {
    this->delivered += chunk.has_output ? 1 : 0;
    this->text += chunk.content;
    if (!chunk.finish_reason.empty()) {
      this->finish_reason = chunk.finish_reason;
    }
    if (chunk.has_usage) {
      this->usage = chunk.usage;
    }
    if (!chunk.id.empty()) {
      this->id = chunk.id;
      this->model = chunk.model;
      this->created = chunk.created;
    }
  }

  void Finish(const AttemptEnd& end) override {
    if (end.result.outcome != AttemptOutcome::kComplete) {
      this->ForwardAnswer(end);
      return;
    }
    this->call->Answer(kStatusOk,
                       {{"Content-Type", "application/json"},
                        {"X-Request-Id", this->request.Text()}},
                       this->Document());
  }

 private:
  std::string Document() const {
    const bool chat = this->options.kind == CompletionKind::kChat;
    JsonWriter out;
    out.BeginObject();
    out.Member("id", this->id);
    out.Member("object", chat ? "chat.completion" : "text_completion");
    out.Member("created", this->created).Member("model", this->model);
    out.Name("choices").BeginArray().BeginObject().Member("index", 0);
    if (chat) {
      out.Name("message").BeginObject();
      out.Member("role", "assistant").Member("content", this->text);
      out.EndObject();
    } else {
      out.Member("text", this->text);
    }
    out.Member("finish_reason", this->finish_reason).EndObject().EndArray();
    this->WriteUsage(out);
    return out.EndObject().Text();
  }

  void WriteUsage(JsonWriter& out) const {
    out.Name("usage").BeginObject();
    out.Member("prompt_tokens", this->usage.prompt_tokens);
    out.Member("completion_tokens", this->usage.completion_tokens);
    out.Member("total_tokens",
               this->usage.prompt_tokens + this->usage.completion_tokens);
    out.Name("prompt_tokens_details").BeginObject();
    out.Member("cached_tokens", this->usage.cached_tokens).EndObject();
    out.EndObject();
  }

  RelayOptions options;
  std::string id;
  std::string model;
  int64_t created = 0;
  std::string text;
  std::string finish_reason = "stop";
  CompletionUsage usage;
};

// -- Whole completions, unchanged --------------------------------------------

class WholeRelay final : public Relay {
 public:
  using Relay::Relay;

  AnswerShape Shape() const override { return AnswerShape::kWhole; }
  void Finish(const AttemptEnd& end) override { this->ForwardAnswer(end); }
};

// -- Plain services ----------------------------------------------------------

// Buffers the answer of each attempt until one is complete, or until one
// exceeds `max_buffered_bytes`; that one is streamed to the caller from then
// on.
class BytesRelay final : public Relay {
 public:
  BytesRelay(HttpCallPtr call, RequestId request, const RelayOptions& options)
      : Relay(std::move(call), std::move(request)), options(options) {}

  AnswerShape Shape() const override { return AnswerShape::kBytes; }

  void OnHead(AttemptId attempt, const HttpResponseHead& head) override {
    this->held[attempt].head = head;
  }

  void OnBytes(AttemptId attempt, std::string_view bytes) override {
    if (this->bound == attempt) {
      this->call->Write(bytes);
      return;
    }
    Held& part = this->held[attempt];
    part.body.append(bytes);
    if (this->bound == 0 &&
        std::ssize(part.body) > this->options.max_buffered_bytes) {
      this->bound = attempt;
      this->StartStream(part);
    }
    this->CountHeld();
  }

  void Drop(AttemptId attempt) override {
    this->held.erase(attempt);
    this->CountHeld();
  }

  void Finish(const AttemptEnd& end) override {
    const auto found = this->held.find(end.result.attempt);
    if (found == this->held.end()) {
      this->ForwardAnswer(end);
      return;
    }
    Held& part = found->second;
    const bool until_close = part.head.until_close;
    if (this->bound == 0 && !until_close) {
      this->call->Answer(part.head.status, this->HeadersOf(part.head),
                         part.body);
      return;
    }
    if (this->bound == 0) {
      this->StartStream(part);
    }
    if (MayEndNormally(end.completeness, until_close)) {
      this->call->EndStream();
    } else {
      this->call->Abort();
    }
  }

  AttemptId BoundTo() const override { return this->bound; }

 private:
  struct Held {
    HttpResponseHead head;
    std::string body;
  };

  void CountHeld() const {
    this->call->SetBuffered(
        std::accumulate(this->held.begin(), this->held.end(), size_t{0},
                        [](size_t sum, const auto& entry) {
                          return sum + entry.second.body.size();
                        }));
  }

  void StartStream(Held& part) {
    this->call->StartStream(part.head.status, this->HeadersOf(part.head),
                            part.head.until_close);
    this->call->Write(std::exchange(part.body, {}));
  }

  HttpHeaders HeadersOf(const HttpResponseHead& head) const {
    HttpHeaders headers = ForwardableHeaders(head.headers);
    headers.push_back({"X-Request-Id", this->request.Text()});
    return headers;
  }

  RelayOptions options;
  std::map<AttemptId, Held> held;
  AttemptId bound = 0;
};

}  // namespace

Relay::Relay(HttpCallPtr call, RequestId request)
    : call(std::move(call)), request(std::move(request)) {}

void Relay::Fail(const Error& error) {
  if (this->call->Started()) {
    this->call->Abort();
  } else {
    AnswerError(this->call, this->request, error);
  }
}

void Relay::ForwardAnswer(const AttemptEnd& end) {
  HttpHeaders headers = ForwardableHeaders(end.headers);
  headers.push_back({"X-Request-Id", this->request.Text()});
  this->call->Answer(end.status, headers, end.body);
}

std::unique_ptr<Relay> MakeStreamRelay(HttpCallPtr call,
                                       RequestId request,
                                       const RelayOptions& options) {
  return std::make_unique<StreamRelay>(std::move(call), std::move(request),
                                       options);
}

std::unique_ptr<Relay> MakeAssemblyRelay(HttpCallPtr call,
                                         RequestId request,
                                         const RelayOptions& options) {
  return std::make_unique<AssemblyRelay>(std::move(call), std::move(request),
                                         options);
}

std::unique_ptr<Relay> MakeWholeRelay(HttpCallPtr call, RequestId request) {
  return std::make_unique<WholeRelay>(std::move(call), std::move(request));
}

std::unique_ptr<Relay> MakeBytesRelay(HttpCallPtr call,
                                      RequestId request,
                                      const RelayOptions& options) {
  return std::make_unique<BytesRelay>(std::move(call), std::move(request),
                                      options);
}

}  // namespace hickorystand
