// RelayedRequest's handling of endpoint answers. Placing, sending and the end
// of a request are in relayed_request.cc.

#include <utility>

#include "relay/relayed_request.h"

namespace hickorystand {
namespace {

// An answer up to this size is buffered until it is complete, so that the
// request can be sent again if the answer breaks. Longer answers are forwarded
// as they arrive.
constexpr size_t kMaxBufferedAnswerBytes = size_t{256} << 10;

// Flow control: with more bytes unread by a slow caller, reading from the
// endpoint pauses. More of a whole answer is held than of a stream, since it is
// delivered even if the caller reads it only after its deadline.
constexpr size_t kUnsentLimit = size_t{256} << 10;
constexpr size_t kUnsentWholeAnswerLimit = size_t{32} << 20;

// A connect that failed after at least this time was not refused.
constexpr Duration kMinConnectTimeout = std::chrono::milliseconds(500);

// An endpoint that goes on for this long after a run's first event hasn't been
// crashed by it.
constexpr Duration kBegunProof = std::chrono::milliseconds(150);

// Status of an endpoint that was called as another process or in another role.
constexpr int kWrongProcessOrRole = 421;

}  // namespace

std::optional<uint64_t> RelayedRequest::OnHead(const Http1Head& head) {
  Attempt& current = *this->attempt;
  current.answer = this->relay->codec->ReadAnswer(head.status, head.headers);
  // An endpoint echoes the id of the request that it answers. An answer without
  // one is a late copy of the answer to a call without one.
  if (current.answer.id != this->request.id) {
    this->relay->Log(
        LogLevel::kWarning, this->request.id,
        "Dropped an answer to another request.",
        {{"endpoint", current.endpoint.run.id.Text()},
         {"answers", current.answer.id ? current.answer.id->Text() : ""},
         {"status", std::to_string(head.status)}});
    return {};
  }
  // A refused call may lack the statement, so only a success shows its end.
  if (current.answer.stated_rate || head.status / 100 == 2) {
    this->relay->RecordRate({.endpoint = current.endpoint.run,
                             .sent = current.sent,
                             .per_second = current.answer.stated_rate});
  }
  this->relay->RecordLoad(current.endpoint, current.answer);
  current.status = head.status;
  current.headers = head.headers;
  current.framing = FramingOf(head);
  current.until_close = head.until_close;
  return this->MayForward() ? kUnlimitedAnswer : kMaxShortAnswerBytes;
}

// Whether the answer may be forwarded as it arrives. Any other answer is
// buffered, so its size is bounded.
bool RelayedRequest::MayForward() const {
  const Attempt& current = *this->attempt;
  return current.status / 100 == 2 && current.answer.sealed &&
         !current.answer.encoded && !current.reading;
}

void RelayedRequest::OnBytes(std::string_view bytes) {
  const auto keep = this->shared_from_this();
  Attempt& current = *this->attempt;
  const bool forward = this->MayForward();
  if (forward && IsStream(this->route->kind)) {
    this->PassOn(this->cutter.Feed(bytes));
    this->CountBuffered();
    if (this->cutter.PartialEventBytes() > kMaxShortAnswerBytes) {
      current.exchange->CutOff(AnswerExcess::kEvent);
    }
    return;
  }
  if (current.forwarding_body) {
    this->SendOn(bytes);
    return;
  }
  current.body += bytes;
  if (forward && current.body.size() > kMaxBufferedAnswerBytes) {
    this->ForwardBody();
  } else {
    this->CountBuffered();
  }
}

void RelayedRequest::CountBuffered() {
  Attempt& current = *this->attempt;
  if (!current.held) {
    current.held = std::make_unique<Holding>(this->relay->resources,
                                             HoldingState::kReceiving,
                                             [this] { this->YieldBuffered(); });
  }
  current.held->SetBytes(static_cast<int64_t>(
      current.body.size() + this->cutter.PartialEventBytes()));
}

// Forwards a buffered answer before it is complete, if that is possible.
void RelayedRequest::YieldBuffered() {
  const auto keep = this->shared_from_this();
  if (!this->MayForward()) {
    this->attempt->exchange->CutOff(AnswerExcess::kAnswer);
  } else if (IsStream(this->route->kind)) {
    this->attempt->exchange->CutOff(AnswerExcess::kEvent);
  } else {
    this->ForwardBody();
  }
}

// From now on the answer's body is forwarded as it arrives.
void RelayedRequest::ForwardBody() {
  Attempt& current = *this->attempt;
  current.forwarding_body = true;
  this->stall_timer.reset();
  this->MarkBegun();
  this->StartAnswer({});
  this->SendOn(std::exchange(current.body, {}));
  this->CountBuffered();
}

void RelayedRequest::PassOn(std::string_view events) {
  if (events.empty()) {
    return;
  }
  this->RecordFirstByte();
  this->RecordEvent();
  if (this->last_event -
          this->attempt->first_byte_at.value_or(this->last_event) >=
      kBegunProof) {
    this->RecordBegun();
  }
  this->MarkBegun();
  if (!this->caller->Started()) {
    this->StartAnswer({});
  }
  this->SendOn(events);
}

// Sends bytes of the answer to the caller. Stops reading from the endpoint
// while the caller doesn't keep up.
void RelayedRequest::SendOn(std::string_view bytes) {
  this->caller->Send(bytes);
  const size_t limit =
      IsStream(this->route->kind) ? kUnsentLimit : kUnsentWholeAnswerLimit;
  if (this->caller->Unsent() > limit) {
    this->attempt->exchange->Pause();
    this->caller->OnDrained([this] {
      if (this->attempt) {
        this->attempt->exchange->Resume();
      }
    });
  }
}

void RelayedRequest::RecordFirstByte() {
  Attempt& current = *this->attempt;
  if (current.first_byte_at) {
    return;
  }
  this->stall_timer.reset();
  const Instant now = this->relay->clock->Now();
  current.first_byte_at = now;
  this->relay->placement.OnPrefillDone(now, current.work);
  this->relay->metrics->Observe("first_byte_seconds",
                                ToSeconds(now - this->arrived),
                                {{"service", this->service.Text()}});
}

// Records the latency that a caller of a stream sees: its first event and its
// longest pause between events.
void RelayedRequest::RecordEvent() {
  const Instant now = this->relay->clock->Now();
  if (this->first_event) {
    const Duration pause = now - this->last_event;
    this->longest_pause = std::max(this->longest_pause, pause);
    this->relay->placement.OnPause(now, this->attempt->endpoint, pause);
  } else {
    this->first_event = now;
  }
  this->last_event = now;
}

// The run didn't crash its endpoint when its answer began.
void RelayedRequest::RecordBegun() {
  if (!std::exchange(this->attempt->begun_recorded, true)) {
    this->relay->RecordBegun(this->traits, this->attempt->sent);
  }
}

void RelayedRequest::MarkBegun() {
  if (!std::exchange(this->begun, true) && !this->account.Empty()) {
    this->relay->hooks.on_begun(this->account);
  }
}

void RelayedRequest::StartAnswer(std::optional<uint64_t> length) {
  HttpHeaders headers = ForwardableHeaders(this->attempt->headers);
  std::erase_if(headers, [](const HttpHeader& header) {
    return g_ascii_strcasecmp(header.name.c_str(), "Content-Length") == 0;
  });
  const bool streams = IsStream(this->route->kind);
  if (streams) {
    this->BeginStream();
  }
  this->caller->Start(
      {.status = this->attempt->status,
       .headers = std::move(headers),
       .length = this->attempt->until_close ? std::nullopt : length,
       .until_close = this->attempt->until_close,
       .origin = streams ? this->KnownOrigin() : std::nullopt});
}

// The first event of the stream is about to be sent, or the first one after it
// was continued.
void RelayedRequest::BeginStream() {
  const Attempt& current = *this->attempt;
  if (!this->progress.Begun()) {
    const auto connection = current.exchange->Connection();
    const bool sure = connection && this->relay->runs.IsSure(
                                        current.endpoint.address, *connection,
                                        current.endpoint.run);
    this->progress = sure ? StreamProgress::BegunAt(current.endpoint.Origin())
                          : StreamProgress::BegunAtUnknownOrigin();
  }
  this->RecordOrigin();
  if (!this->progress.OriginUnknown()) {
    return;
  }
  this->relay->metrics->Add("streams_of_doubted_origin_total", 1);
  this->relay->Log(LogLevel::kInfo, this->request.id,
                   "The stream can't be continued: its endpoint is in doubt.",
                   {{"endpoint", current.endpoint.run.id.Text()},
                    {"software", current.endpoint.software.Text()}});
}

void RelayedRequest::OnEnd(HttpEnd end) {
  const auto keep = this->shared_from_this();
  this->stall_timer.reset();
  if (this->attempt->reading) {
    this->OnPrefillEnd(end);
    return;
  }
  const bool streams = IsEventStream(this->attempt->headers);
  const bool partial_event = this->cutter.HasPartialEvent();
  const AnswerEnding ending{
      .end = end,
      .within_event = partial_event && (streams || this->StreamBegun()),
      .no_event = streams && !this->StreamBegun()};
  const Completeness completeness = ClassifyAnswer(ending);
  this->last_end = {.framing = this->attempt->framing, .ending = ending};
  const RunResult fate = this->JudgeEnd(end, completeness);
  const Instant now = this->relay->clock->Now();
  Attempt& current = *this->attempt;
  this->relay->placement.OnEnded(now, current.work);
  const bool unproven = completeness == Completeness::kUnproven;
  if (fate == RunResult::kDone || unproven) {
    this->RecordOutcome(current, true);
  } else {
    this->RecordFailure(current, end);
  }
  this->handle.clear();
  if (fate == RunResult::kDone) {
    if (current.status / 100 == 2 && !unproven) {
      this->RecordBegun();
      this->relay->RecordAnswer(this->traits, current.sent);
      const AnswerKind kind = this->Kind();
      this->relay->answer_times.Add(now, kind, now - this->arrived);
      this->relay->run_times.Add(now, kind, now - current.sent);
    }
    this->Complete(std::to_string(current.status));
    return;
  }
  // The endpoint got nothing, so the next send takes the place of this one.
  if (end == HttpEnd::kNotSent && this->HasAttemptLeft()) {
    this->retry_charged = true;
  }
  const bool lost =
      end == HttpEnd::kReset || (end == HttpEnd::kNoEndMarker &&
                                 completeness == Completeness::kTruncated);
  if (fate == RunResult::kMayHaveRun && lost) {
    this->relay->RecordCrash(current.endpoint,
                             {.request = this->traits,
                              .sent = current.sent,
                              .answering = current.first_byte_at.has_value()});
  }
  this->AfterFailure(fate, fate == RunResult::kNotRun
                               ? "not run at the endpoint"
                           : unproven ? "the end proves nothing"
                                      : "broken at the endpoint");
}

RelayedRequest::RunResult RelayedRequest::JudgeEnd(HttpEnd end,
                                                   Completeness completeness) {
  if (end == HttpEnd::kNotSent) {
    return RunResult::kNotRun;
  }
  if (completeness == Completeness::kTruncated) {
    return RunResult::kMayHaveRun;
  }
  return this->JudgeWhole(completeness);
}

// Classifies an answer that isn't truncated, and forwards it if it is valid.
RelayedRequest::RunResult RelayedRequest::JudgeWhole(
    Completeness completeness) {
  Attempt& current = *this->attempt;
  if (current.answer.not_run) {
    return RunResult::kNotRun;
  }
  const bool valid = current.answer.sealed && !current.answer.encoded;
  const bool promise = current.status == 429 || current.status == 503 ||
                       current.status == 408 || current.status == 421;
  // Without the seal the answer may be from something other than the endpoint.
  // A status that promises "not run" may be forwarded only if the endpoint
  // states that nothing ran.
  if (!valid || promise) {
    return RunResult::kMayHaveRun;
  }
  if (this->StreamBegun()) {
    if (current.status / 100 != 2) {
      return RunResult::kMayHaveRun;  // the stream's status is already sent
    }
    // Another run after the last event can prove the end.
    if (!MayEndNormally(completeness, this->CallerUntilClose())) {
      return RunResult::kMayHaveRun;
    }
    if (!this->caller->Started()) {
      this->StartAnswer({});
    }
    this->caller->End(completeness);
    return RunResult::kDone;
  }
  if (current.status / 100 == 5 && IsRepeatable(this->route->kind) &&
      this->MaySendAgain()) {
    // AfterFailure sends the retry and must not charge the budget again.
    this->MarkBegun();
    this->retry_charged = true;
    return RunResult::kMayHaveRun;
  }
  this->MarkBegun();
  const std::string rest = this->cutter.TakePartialEvent();
  const std::string& whole = rest.empty() ? current.body : rest;
  this->StartAnswer(whole.size());
  this->caller->Send(whole);
  this->caller->End(completeness);
  if (!this->shape.engine) {
    const Instant now = this->relay->clock->Now();
    this->relay->placement.OnPlainCallTime(now, this->service, current.work,
                                           now - current.sent);
  }
  return RunResult::kDone;
}

// Reports an attempt's outcome to the placement.
void RelayedRequest::RecordOutcome(const Attempt& ended, bool good) {
  const Instant now = this->relay->clock->Now();
  if (ended.status == kWrongProcessOrRole) {
    this->relay->placement.OnWrongRole(now, ended.endpoint.run.id);
  } else {
    this->relay->placement.OnOutcome(now, ended.endpoint.run.id, good);
  }
}

// Reports a failed attempt to the placement, unless the endpoint was only
// silent, and not for long.
void RelayedRequest::RecordFailure(const Attempt& ended, HttpEnd end) {
  const Instant now = this->relay->clock->Now();
  const bool timed_out =
      end == HttpEnd::kTimedOut ||
      (end == HttpEnd::kNotSent && now - ended.sent >= kMinConnectTimeout);
  const auto silent = this->relay->reach.SilentFor(now, ended.endpoint.run.id);
  if (timed_out && silent &&
      *silent < this->relay->settings.tolerated_silence) {
    return;
  }
  this->RecordOutcome(ended, false);
}

// Handles the end of a prefill call.
void RelayedRequest::OnPrefillEnd(HttpEnd end) {
  const Instant now = this->relay->clock->Now();
  const Attempt ended = std::move(*this->attempt);
  this->attempt.reset();
  this->ReleaseReservation();
  // A truncated handle is no JSON document, so a close suffices as its end.
  const bool whole = ClassifyAnswer({.end = end}) != Completeness::kTruncated &&
                     ended.status == 200;
  if (whole) {
    this->relay->placement.OnPrefillDone(now, ended.work);
  }
  this->relay->placement.OnEnded(now, ended.work);
  auto read = whole ? this->relay->codec->ReadPromptHandle(ended.body)
                    : Result<PromptHandle>(Fail(ErrorKind::kEndpointFailed,
                                                "the prompt was not read"));
  this->prompt_accepted = this->prompt_accepted || !ended.answer.not_run;
  if (read) {
    this->RecordOutcome(ended, true);
  } else {
    this->RecordFailure(ended, end);
  }
  if (end == HttpEnd::kReset) {
    this->relay->RecordCrash(ended.endpoint,
                             {.request = this->traits, .sent = ended.sent});
  }
  if (read) {
    this->handle = read->handle;
    this->handle_address = ended.endpoint.address;
    this->handle_endpoint = ended.endpoint.run.id;
    this->OnPromptHandle(*read, ended.endpoint);
    return;
  }
  this->relay->Log(LogLevel::kInfo, this->request.id, "Prompt not read.",
                   {{"endpoint", ended.endpoint.run.id.Text()},
                    {"status", std::to_string(ended.status)},
                    {"why", read.error().message}});
  // The request itself has not run, whether or not the prompt was prefilled.
  // The failed call counts as an arrival; a successful one does not.
  this->tried.insert(ended.endpoint.run.id);
  if (this->relay->reach.State(this->service) != ReachState::kReachable) {
    this->AfterFailure(RunResult::kNotRun, "the prompt was not read");
    return;
  }
  if (++this->arrivals > 1 || !this->HasTimeToSend() || !this->TakeRetry()) {
    this->AfterFailure(RunResult::kNotRun, "the prompt was not read");
    return;
  }
  // Placed again, and refused if it can't be answered in time any more. A
  // prefill on a decode engine regardless of its queue delays that engine's
  // streams: over 32 simulated days that earned 0.845 of the payoff, and
  // placing again earned 0.876.
  this->Place();
}

void RelayedRequest::OnPromptHandle(const PromptHandle& read,
                                    const FleetEndpoint& reader) {
  const auto answers = this->relay->placement.PlaceAnswer(
      this->relay->clock->Now(), this->Profile(), reader, this->tried);
  if (!answers) {
    // The engines that could generate have left or failed meanwhile. An engine
    // may still serve the request by itself.
    this->ReleaseHandle();
    this->Place();
    return;
  }
  if (this->AwaitRunCheck(*answers, [this, read, reader] {
        this->OnPromptHandle(read, reader);
      })) {
    return;
  }
  this->SendRun({.endpoint = *answers},
                this->handle_address.host + ":" +
                    std::to_string(this->handle_address.port) + "/" +
                    read.handle);
}

}  // namespace hickorystand
