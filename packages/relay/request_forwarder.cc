#include "relay/request_forwarder.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "forward";

// Bytes of a request's body per message.
constexpr size_t kBodyChunkBytes = size_t{256} << 10;

// Flow control: with more bytes unread by a slow caller, the scheduler is asked
// to pause the answer.
constexpr size_t kUnsentLimit = size_t{256} << 10;

// Schedulers answer by the caller's deadline themselves. One that has not done
// so this much later is considered hung.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(150);
constexpr Duration kDefaultCallerTimeout = std::chrono::seconds(30);

// Retry-After while no scheduler is connected: connections to schedulers are
// attempted again within this time.
constexpr Duration kNoSchedulerRetryAfter = std::chrono::milliseconds(600);

constexpr int kLogBurst = 300;
constexpr Duration kLogInterval = std::chrono::milliseconds(10);

Completeness CompletenessOf(AnswerEnd end) {
  switch (end) {
    case AnswerEnd::kWhole:
      return Completeness::kComplete;
    case AnswerEnd::kUnproven:
      return Completeness::kUnproven;
    case AnswerEnd::kMore:
    case AnswerEnd::kBroken:
      break;
  }
  return Completeness::kTruncated;
}

}  // namespace

RequestForwarder::RequestForwarder(ZoneId own,
                                   const Clock& clock,
                                   const MessageCodec& codec,
                                   Metrics& metrics,
                                   SendTo send)
    : clock(&clock),
      codec(&codec),
      metrics(&metrics),
      send(std::move(send)),
      choice(std::move(own)),
      log_limiter(kLogBurst, kLogInterval) {
  for (const std::string_view label :
       {kNoScheduler.label, kStopping.label, kNoAnswer.label,
        kSchedulerLost.label, kOriginUnknown.label, kBadRequestLabel}) {
    this->metrics->Add("ingress_errors_total", 0,
                       {{"reason", std::string(label)}});
  }
  this->metrics->Add("forwards_declined_total", 0);
  this->metrics->Add("forwards_lost_total", 0);
  this->metrics->Add("requests_handed_over_total", 0);
}

RequestForwarder::~RequestForwarder() {
  for (const auto& [number, call] : std::exchange(this->calls, {})) {
    call->caller->OnGone({});
    call->caller->OnDrained({});
  }
}

void RequestForwarder::SetSchedulers(const std::vector<FleetHost>& schedulers) {
  this->choice.SetSchedulers(schedulers);
}

bool RequestForwarder::HasRequestsAt(const HostId& scheduler) const {
  return std::ranges::any_of(this->calls, [&scheduler](const auto& entry) {
    return entry.second->scheduler == scheduler;
  });
}

void RequestForwarder::OnSchedulerState(const HostId& from,
                                        const SchedulerStatus& news) {
  this->choice.OnState(from, {.ready = news.ready || news.last_resort,
                              .busy = news.busy,
                              .keys_proven = news.keys_proven,
                              .version = news.configuration_version,
                              .draining = news.draining,
                              .cut_off = news.cut_off,
                              .keeps_software = news.keeps_software});
}

RequestForwarder::CallPtr RequestForwarder::MakeCall(
    const CallerExchangePtr& caller,
    const CallerRequest& request) const {
  const auto call = std::make_shared<Call>();
  call->caller = caller;
  call->arrived = this->clock->Now();
  call->request = request.id;
  call->first_attempt = request.FirstAttempt();
  call->continuation = request.IsContinuation();
  return call;
}

void RequestForwarder::OnRequest(const CallerExchangePtr& caller) {
  const auto read = this->codec->ReadRequest(caller->Message().head.headers);
  const CallPtr call = this->MakeCall(caller, read.value_or(CallerRequest()));
  if (!read) {
    this->AnswerAndEnd(*call, read.error().kind,
                       {read.error().message, kBadRequestLabel});
    return;
  }
  if (call->continuation && this->stream_tracker != nullptr) {
    call->progress = this->stream_tracker->FindRecord(call->first_attempt)
                         .value_or(StreamProgress());
  }
  this->Accept(call, read->timeout);
}

bool RequestForwarder::TakeOver(const CallerExchangePtr& caller,
                                const HandedOver& request) {
  const auto read = this->codec->ReadRequest(caller->Message().head.headers);
  if (!read || !this->Reaches(request.service)) {
    return false;
  }
  const CallPtr call = this->MakeCall(caller, *read);
  call->arrived = request.arrived;
  call->service = request.service;
  call->uncertain_runs = request.uncertain_runs;
  call->counted = request.counted;
  call->streams = caller->Started();
  call->progress = request.progress;
  if (request.resume_after) {
    call->events.ResumeAfter(*request.resume_after);
  }
  this->metrics->Add("requests_handed_over_total", 1);
  this->Accept(call, read->timeout);
  return true;
}

void RequestForwarder::Accept(const CallPtr& call,
                              std::optional<Duration> limit) {
  const Duration timeout = limit.value_or(kDefaultCallerTimeout);
  // Schedulers know how long answers take, so they decide as long as requests
  // are accepted.
  if (this->stop && call->arrived >= this->stop->accept_until &&
      !this->stop->MayAccept(call->arrived, {.limit = timeout})) {
    this->AnswerAndEnd(*call, ErrorKind::kShuttingDown, kStopping);
    return;
  }
  call->no_answer_deadline = call->arrived + timeout + kDeadlineMargin;
  this->ArmDeadline(call);
  this->Forward(call);
}

void RequestForwarder::StartDrain(const StopSchedule& schedule) {
  this->stop = schedule;
  for (const auto& [number, call] : this->calls) {
    this->ArmDeadline(call);
  }
}

void RequestForwarder::ArmDeadline(const CallPtr& call) {
  const Instant end =
      this->stop ? std::min(call->no_answer_deadline, this->stop->finish_by)
                 : call->no_answer_deadline;
  call->deadline = Timer::After(std::max(end - this->clock->Now(), Duration{}),
                                [this, weak = std::weak_ptr(call)] {
                                  if (const auto late = weak.lock()) {
                                    this->OnDeadline(late->number);
                                  }
                                });
}

// The next scheduler for a request. A begun stream goes only to schedulers that
// keep its software version.
std::optional<HostId> RequestForwarder::ChooseFor(const Call& call) const {
  return this->choice.Choose(
      call.tried,
      {.service = call.service,
       .keeps_software = call.continuation || call.progress.Begun()});
}

// Sends a request to the next scheduler, or ends it if there is none.
void RequestForwarder::Forward(const CallPtr& call) {
  const bool may_send = call->MaySend() && !call->progress.OriginUnknown();
  const auto to = may_send ? this->ChooseFor(*call) : std::nullopt;
  if (!to) {
    this->AnswerAndEnd(
        *call, ErrorKind::kNoEndpoint,
        call->progress.OriginUnknown() ? kOriginUnknown : kNoScheduler);
    return;
  }
  const int64_t number = ++this->last_number;
  call->scheduler = *to;
  call->tried.insert(*to);
  if (!this->SendRequest(*call, *to, number)) {
    // The link is down or its buffer is full. The scheduler has no complete
    // request, so it doesn't run it.
    this->send(*to, ForwardControl{.number = number});
    this->Forward(call);
    return;
  }
  ++call->sends;
  call->number = number;
  this->calls[number] = call;
  this->choice.OnForwarded(*to);
  this->LogCall(*call, "Forwarded.");
  call->caller->OnGone([this, number] { this->Cancel(number); });
}

bool RequestForwarder::SendRequest(const Call& call,
                                   const HostId& to,
                                   int64_t number) const {
  const CallerMessage& message = call.caller->Message();
  const std::string_view body = *message.body;
  const ForwardedRequest first{
      .number = number,
      .method = message.head.method,
      .target = message.head.target,
      .headers = message.head.headers,
      .body = std::string(body.substr(0, kBodyChunkBytes)),
      .body_length = body.size(),
      .age = this->clock->Now() - call.arrived,
      .earlier_sends = call.UncertainSends(),
      .resume_after = call.events.LastId(),
      .stream_begun = call.caller->Started(),
      .until_close = call.caller->UntilClose(),
      .origin = call.progress.Begun() ? std::optional(call.progress.Origin())
                                      : std::nullopt,
      .records_origin = this->stream_tracker != nullptr,
      .finish_within =
          this->stop ? std::optional(this->stop->Remaining(this->clock->Now()))
                     : std::nullopt,
      .resent = call.counted || call.sends > 0};
  bool sent = this->send(to, first);
  for (size_t at = kBodyChunkBytes; sent && at < body.size();
       at += kBodyChunkBytes) {
    sent = this->send(
        to,
        ForwardedBody{.number = number,
                      .bytes = std::string(body.substr(at, kBodyChunkBytes))});
  }
  return sent;
}

void RequestForwarder::OnAnswer(const HostId& from,
                                const ForwardedAnswer& part) {
  const auto found = this->calls.find(part.number);
  if (found == this->calls.end() || found->second->scheduler != from) {
    return;
  }
  const CallPtr call = found->second;
  if (part.declined && this->ForwardDeclined(part.number, call)) {
    return;
  }
  if (part.head) {
    this->StartAnswer(*call, *part.head);
  }
  if (call->caller->Started()) {
    this->PassOn(part.number, *call, part.bytes);
  }
  if (part.end == AnswerEnd::kMore) {
    return;
  }
  this->End(part.number);
  call->caller->End(CompletenessOf(part.end));
}

// Forwards a declined request to another scheduler. Returns false if there is
// none; then the refusal that came with it is forwarded to the caller.
bool RequestForwarder::ForwardDeclined(int64_t number, const CallPtr& call) {
  ++call->declined;
  this->metrics->Add("forwards_declined_total", 1);
  this->LogCall(*call, "Declined by the scheduler.");
  if (!call->MaySend() || !this->ChooseFor(*call)) {
    return false;
  }
  this->calls.erase(number);
  this->choice.OnEnded(call->scheduler);
  this->Forward(call);
  return true;
}

// The head of a resumed stream has been sent already. If the new scheduler
// answers with an error status instead, the answer can only be aborted.
void RequestForwarder::StartAnswer(Call& call, const ForwardedHead& head) {
  if (!call.caller->Started()) {
    call.streams = IsEventStream(head.headers);
    this->RecordOrigin(call, head);
    call.caller->Start({.status = head.status,
                        .headers = head.headers,
                        .length = head.length,
                        .until_close = head.until_close});
  } else if (head.status / 100 != 2) {
    call.caller->Break();
  }
}

// The origin is missing if the scheduler is of an earlier release, or if it
// doesn't know it either.
void RequestForwarder::RecordOrigin(Call& call, const ForwardedHead& head) {
  if (!head.origin && !call.streams) {
    return;
  }
  call.progress = head.origin ? StreamProgress::BegunAt(*head.origin)
                              : StreamProgress::BegunAtUnknownOrigin();
  if (this->stream_tracker != nullptr) {
    this->stream_tracker->Record(call.first_attempt, head.origin,
                                 call.no_answer_deadline - this->clock->Now());
  }
}

void RequestForwarder::PassOn(int64_t number,
                              Call& call,
                              std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (call.streams) {
    call.events.Feed(bytes);
  }
  call.caller->Send(bytes);
  if (call.paused || call.caller->Unsent() <= kUnsentLimit) {
    return;
  }
  call.paused = true;
  this->send(call.scheduler,
             ForwardControl{.number = number, .action = ForwardAction::kPause});
  call.caller->OnDrained([this, number] {
    const auto found = this->calls.find(number);
    if (found != this->calls.end() &&
        std::exchange(found->second->paused, false)) {
      this->send(
          found->second->scheduler,
          ForwardControl{.number = number, .action = ForwardAction::kResume});
    }
  });
}

void RequestForwarder::End(int64_t number) {
  const auto over = this->calls.extract(number);
  if (over.empty()) {
    return;
  }
  Call& call = *over.mapped();
  this->choice.OnEnded(call.scheduler);
  call.deadline.reset();
  call.caller->OnGone({});
  call.caller->OnDrained({});
  this->metrics->Observe("forwarded_seconds",
                         ToSeconds(this->clock->Now() - call.arrived));
}

void RequestForwarder::Cancel(int64_t number) {
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) {
    return;
  }
  const CallPtr call = found->second;
  this->send(call->scheduler, ForwardControl{.number = number});
  this->LogCall(*call, "Caller gone.");
  this->End(number);
}

void RequestForwarder::OnDeadline(int64_t number) {
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) {
    return;
  }
  const CallPtr call = found->second;
  this->send(call->scheduler, ForwardControl{.number = number});
  this->End(number);
  const bool stops = this->clock->Now() < call->no_answer_deadline;
  this->AnswerAndEnd(*call, ErrorKind::kTimeout, stops ? kStopping : kNoAnswer);
}

void RequestForwarder::OnLost(const HostId& scheduler) {
  this->choice.OnLinkLost(scheduler);
  std::vector<CallPtr> lost;
  std::erase_if(this->calls, [&](const auto& entry) {
    const bool ours = entry.second->scheduler == scheduler;
    if (ours) {
      lost.push_back(entry.second);
    }
    return ours;
  });
  this->metrics->Add("forwards_lost_total", static_cast<double>(lost.size()));
  for (const CallPtr& call : lost) {
    this->LogCall(*call, "Scheduler lost.");
    if (call->caller->Started() && !call->streams) {
      this->AnswerAndEnd(*call, ErrorKind::kBrokenAnswer, kSchedulerLost);
    } else {
      call->paused = false;
      call->events.DropPartialEvent();
      this->Forward(call);
    }
  }
}

// Ends a request with an error answer of this host, or aborts the answer if its
// head has been sent.
void RequestForwarder::AnswerAndEnd(Call& call,
                                    ErrorKind kind,
                                    const Reason& why) {
  this->metrics->Add("ingress_errors_total", 1,
                     {{"reason", std::string(why.label)}});
  call.deadline.reset();
  call.caller->OnGone({});
  call.caller->OnDrained({});
  if (call.caller->Started()) {
    call.caller->Break();
  } else {
    if (call.UncertainSends() > 0) {
      call.caller->SetMayHaveRun();
    }
    const Duration retry_after =
        kind == ErrorKind::kShuttingDown ? Duration{} : kNoSchedulerRetryAfter;
    AnswerOwnError(
        *call.caller, *this->metrics, kind, why.text,
        AnswerFor(kind).not_run ? std::optional(retry_after) : std::nullopt);
  }
  this->LogCall(call, why.text);
}

void RequestForwarder::LogUnfinished() {
  for (const auto& [number, call] : this->calls) {
    this->LogCall(*call, "Unfinished at the end of the process.",
                  LogLevel::kWarning);
  }
}

void RequestForwarder::LogCall(const Call& call,
                               std::string_view sentence,
                               LogLevel level) {
  if (!this->log_limiter.Allow(this->clock->Now())) {
    this->metrics->Add("log_lines_dropped_total", 1);
    return;
  }
  const Instant now = this->clock->Now();
  const std::array<LogField, 6> fields{
      {{"request", call.request.Text()},
       {"scheduler", call.scheduler.Text()},
       {"configuration", std::to_string(this->choice.Version())},
       {"sends", std::to_string(call.sends)},
       {"ms", MillisecondsText(now - call.arrived)},
       {"stopping_ms",
        this->stop ? MillisecondsText(now - this->stop->signalled) : ""}}};
  LogLineWith(level, kPart, sentence, fields);
}

}  // namespace hickorystand
