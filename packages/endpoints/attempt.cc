// Attempt: validates an endpoint's answer and classifies each failure.

#include <algorithm>
#include <array>
#include <utility>

#include "endpoints/endpoint_client.h"
#include "kernel/json.h"

namespace hickorystand {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooMany = 429;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

// Maps the end of an HTTP exchange to the outcome of the attempt. kWhole is not
// listed: its outcome depends on the content.
struct OutcomeRow {
  HttpEnd end;
  AttemptOutcome outcome;
};

constexpr std::array kOutcomes = {
    OutcomeRow{HttpEnd::kNoEndMarker, AttemptOutcome::kBroken},
    OutcomeRow{HttpEnd::kNotSent, AttemptOutcome::kNotSent},
    OutcomeRow{HttpEnd::kReset, AttemptOutcome::kCrashed},
    OutcomeRow{HttpEnd::kTimedOut, AttemptOutcome::kStalled},
    OutcomeRow{HttpEnd::kProtocol, AttemptOutcome::kWrongAnswer},
    OutcomeRow{HttpEnd::kCancelled, AttemptOutcome::kCancelled},
};

// Whether the endpoint states explicitly that it did not run the request. A 503
// without this statement may come from a proxy, after the endpoint has run the
// request.
bool ReportsNotRun(int status, const std::string& body) {
  if (status != kStatusUnavailable) {
    return false;
  }
  const Result<Json> json = Json::Parse(body);
  return json && json->At("error").At("code").Text() == "not_run";
}

}  // namespace

Attempt::Attempt(AttemptCall call,
                 AttemptEvents events,
                 const EndpointClientOptions& options,
                 Metrics& metrics)
    : call(std::move(call)),
      events(std::move(events)),
      options(options),
      metrics(metrics),
      parser([this](std::string_view data) { this->TakeEvent(data); }) {
  this->end.result.attempt = this->call.attempt;
}

HttpClientRequest Attempt::Outgoing() {
  HttpHeaders headers = std::move(this->call.headers);
  headers.push_back({"X-Request-Id", this->call.request.Text()});
  headers.push_back({"X-Attempt", std::to_string(this->call.attempt)});
  if (this->call.shape != AnswerShape::kBytes) {
    headers.push_back({"X-Priority", this->call.batch ? "batch" : "normal"});
  }
  if (this->call.resume_from > 0) {
    headers.push_back(
        {"X-Resume-From", std::to_string(this->call.resume_from)});
  }
  return {.address = this->call.address,
          .method = this->call.method,
          .target = this->call.target,
          .headers = std::move(headers),
          .content_type = this->call.content_type,
          .body = std::exchange(this->call.body, {}),
          .once = this->call.once,
          .timeouts = this->call.timeouts,
          .may_send = this->call.may_send};
}

void Attempt::Start(HttpClient& http) {
  const auto self = this->shared_from_this();
  this->exchange = http.Send(
      this->Outgoing(),
      {.on_head =
           [self](const HttpResponseHead& head) { self->TakeHead(head); },
       .on_bytes = [self](std::string_view bytes) { self->TakeBytes(bytes); },
       .on_end =
           [self](HttpEnd end, const std::string& detail) {
             self->OnTransportEnd(end, detail);
           }});
}

void Attempt::TakeHead(const HttpResponseHead& head) {
  if (this->over) {
    return;
  }
  this->end.status = head.status;
  this->end.headers = head.headers;
  if (!this->HasMatchingIds(head)) {
    this->End(AttemptOutcome::kWrongAnswer,
              "the answer has the id of another request or attempt, or none");
    return;
  }
  this->mode = this->ModeFor(head);
  if (this->mode == Mode::kPassOn && this->events.on_head) {
    this->events.on_head(head);
  }
}

// Whether the answer belongs to this attempt. A proxy or a faulty endpoint can
// swap two answers, and a caller would then receive another caller's answer.
// Only the echoed ids reveal this, so an answer that does not echo the
// request's id is rejected too.
bool Attempt::HasMatchingIds(const HttpResponseHead& head) const {
  if (!this->options.check_identity) {
    return true;
  }
  const auto attempt = FindHeader(head.headers, "X-Attempt");
  return FindHeader(head.headers, "X-Request-Id") ==
             this->call.request.Text() &&
         (!attempt || *attempt == std::to_string(this->call.attempt));
}

Attempt::Mode Attempt::ModeFor(const HttpResponseHead& head) const {
  if (this->call.shape == AnswerShape::kBytes) {
    return head.status == kStatusUnavailable ? Mode::kCollect : Mode::kPassOn;
  }
  const bool chunks =
      this->call.shape == AnswerShape::kChunks && head.status == kStatusOk;
  return chunks ? Mode::kChunks : Mode::kCollect;
}

void Attempt::TakeBytes(std::string_view bytes) {
  if (this->over) {
    return;
  }
  if (this->mode == Mode::kPassOn) {
    if (this->events.on_bytes) {
      this->events.on_bytes(bytes);
    }
    return;
  }
  this->received += std::ssize(bytes);
  if (this->mode == Mode::kChunks) {
    if (this->received > this->options.max_answer_bytes) {
      this->End(AttemptOutcome::kWrongAnswer, "the answer is too long");
    } else if (!this->parser.Feed(bytes)) {
      this->End(AttemptOutcome::kWrongAnswer,
                "a server-sent event is too long");
    }
    return;
  }
  this->end.body.append(bytes);
  if (this->received > this->options.max_answer_bytes) {
    this->End(AttemptOutcome::kWrongAnswer, "the answer is too long");
  }
}

void Attempt::TakeEvent(std::string_view data) {
  if (this->over) {
    return;
  }
  if (data == kSseDone) {
    this->End(AttemptOutcome::kComplete, "");
    return;
  }
  const Result<CompletionChunk> chunk = ParseCompletionChunk(data);
  if (!chunk) {
    this->End(AttemptOutcome::kWrongAnswer, chunk.error().message);
    return;
  }
  if (chunk->is_error) {
    this->End(AttemptOutcome::kBroken, "the engine reports an error");
    return;
  }
  if (this->options.check_identity &&
      !chunk->id.ends_with(this->call.request.Text())) {
    this->End(AttemptOutcome::kWrongAnswer,
              "a chunk has the id of another request, or none");
    return;
  }
  this->end.result.generated_tokens += chunk->has_output ? 1 : 0;
  if (chunk->has_usage) {
    this->TakeUsage(chunk->usage);
  }
  if (this->events.on_chunk) {
    this->events.on_chunk(data, *chunk);
  }
}

void Attempt::TakeUsage(const CompletionUsage& usage) {
  this->end.result.prompt_tokens = usage.prompt_tokens;
  this->end.result.cached_tokens = usage.cached_tokens;
}

void Attempt::OnTransportEnd(HttpEnd how, const std::string& detail) {
  if (this->over) {
    return;
  }
  const Completeness completeness = ClassifyAnswer({.end = how});
  // The text of a whole completion shows its own end.
  const bool text_shows_end = this->call.shape == AnswerShape::kWhole;
  const bool usable = completeness == Completeness::kComplete ||
                      (completeness == Completeness::kUnproven &&
                       (text_shows_end || this->mode == Mode::kPassOn));
  if (usable) {
    this->end.completeness = completeness;
    this->End(this->ClassifyCompleteAnswer(), "");
    return;
  }
  const auto* row = std::ranges::find(kOutcomes, how, &OutcomeRow::end);
  this->End(row->outcome, detail);
}

// The outcome of an attempt whose answer arrived in full.
AttemptOutcome Attempt::ClassifyCompleteAnswer() {
  if (this->mode == Mode::kPassOn) {
    return AttemptOutcome::kComplete;
  }
  if (this->mode == Mode::kChunks) {
    return AttemptOutcome::kBroken;  // ended before [DONE]
  }
  if (ReportsNotRun(this->end.status, this->end.body)) {
    return AttemptOutcome::kRefused;
  }
  if (this->call.shape == AnswerShape::kBytes) {
    return AttemptOutcome::kComplete;
  }
  if (this->end.status == kStatusTooMany) {
    return AttemptOutcome::kRefused;
  }
  if (this->end.status >= kStatusBadRequest &&
      this->end.status < kStatusServerError) {
    return AttemptOutcome::kRejected;
  }
  if (this->end.status != kStatusOk) {
    return AttemptOutcome::kBroken;
  }
  const Result<CompletionChunk> whole = ParseCompletionChunk(this->end.body);
  if (!whole || (this->options.check_identity &&
                 !whole->id.ends_with(this->call.request.Text()))) {
    return AttemptOutcome::kWrongAnswer;
  }
  this->TakeUsage(whole->usage);
  this->end.result.generated_tokens = whole->usage.completion_tokens;
  return AttemptOutcome::kComplete;
}

void Attempt::End(AttemptOutcome outcome, const std::string& detail) {
  if (std::exchange(this->over, true)) {
    return;
  }
  const auto self = this->shared_from_this();
  if (outcome == AttemptOutcome::kWrongAnswer) {
    this->metrics.Add("hickorystand_wrong_answers_total", 1);
  }
  // After [DONE] the exchange continues to the end of its body, so that the
  // connection can be reused. In all other cases the rest is discarded.
  if (outcome != AttemptOutcome::kComplete && this->exchange) {
    this->exchange->Cancel();
  }
  this->end.result.outcome = outcome;
  this->end.detail = detail;
  const auto call = std::exchange(this->events, {}).on_end;
  if (call) {
    call(this->end);
  }
}

void Attempt::Cancel() {
  this->events = {};
  if (!std::exchange(this->over, true) && this->exchange) {
    this->exchange->Cancel();
  }
}

void Attempt::Pause() {
  if (this->exchange && !this->over) {
    this->exchange->Pause();
  }
}

void Attempt::Resume() {
  if (this->exchange) {
    this->exchange->Resume();
  }
}

}  // namespace hickorystand
