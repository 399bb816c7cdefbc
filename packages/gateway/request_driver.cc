#include "gateway/request_driver.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <ranges>
#include <utility>

#include "decisions/stop_schedule.h"
#include "kernel/log.h"

namespace hickorystand {
namespace {

// Whether the endpoint certainly did not run the request.
bool SurelyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused;
}

// Retry-After while this host shuts down. Short, since another host can accept
// the request at once.
constexpr Duration kRetryElsewhereDelay = std::chrono::seconds(1);

AnswerKind KindOf(const IncomingRequest& incoming) {
  const Request& request = incoming.request;
  return AnswerKind::Of(request.service.Text() + " " + incoming.method,
                        request.output_tokens);
}

// The priority of a token request; lower numbers are served first. Batch
// requests leave tokens to interactive ones.
int64_t LimitPriority(const Request& request) {
  return request.request_class == RequestClass::kBatch ? 1 : 0;
}

bool IsOnce(const Request& request) {
  return request.request_class == RequestClass::kAtMostOnce;
}

}  // namespace

const RequestDriver::ActionRow RequestDriver::kActions[] = {
    {DispatchKind::kClaim, &RequestDriver::Claim},
    {DispatchKind::kSend, &RequestDriver::Send},
    {DispatchKind::kCancel, &RequestDriver::Cancel},
    {DispatchKind::kFinish, &RequestDriver::Finish},
    {DispatchKind::kRefuse, &RequestDriver::Refuse},
};

RequestDriver::RequestDriver(RequestDriverOptions options,
                             std::unique_ptr<Dispatcher> dispatcher,
                             const Clock& clock,
                             Metrics& metrics)
    : options(std::move(options)),
      dispatcher(std::move(dispatcher)),
      clock(clock),
      metrics(metrics),
      client(this->options.endpoints, metrics),
      decisions(this->options.decision_log_capacity) {}

RequestDriver::~RequestDriver() {
  *this->alive = false;
  for (auto& [id, request] : this->live) {
    request.incoming.call->OnGone({});
    request.incoming.call->OnDrained({});
    for (auto& [attempt, run] : request.attempts) {
      run.attempt->Cancel();
    }
  }
  for (const AttemptPtr& attempt : this->detached) {
    attempt->Cancel();
  }
}

void RequestDriver::ApplyConfiguration(ConfigurationPtr next) {
  this->configuration = std::move(next);
  this->limits = LimitsOf(*this->configuration);
  this->dispatcher->OnConfiguration(this->clock.Now(), this->configuration);
}

void RequestDriver::Submit(IncomingRequest incoming) {
  const Request request = incoming.request;
  const RequestId id = request.id;
  incoming.call->OnGone([this, alive = this->alive, id] {
    if (*alive) {
      this->OnCallerDisconnected(id);
    }
  });
  const auto [where, inserted] =
      this->live.emplace(id, LiveRequest{.incoming = std::move(incoming)});
  assert(inserted && "request ids are unique");
  const auto limit = this->limits.find(request.account);
  if (limit != this->limits.end() && this->hooks.take_tokens &&
      this->MayStart(where->second)) {
    this->RequestTokens(where->second, limit->second);
  } else {
    this->Admit(id);
  }
}

bool RequestDriver::MayStart(const LiveRequest& live) const {
  return !this->draining && this->FinishesInTime(live);
}

void RequestDriver::Admit(const RequestId& id) {
  const LiveRequest& live = this->live.at(id);
  if (!this->MayStart(live)) {
    this->Apply({{.kind = DispatchKind::kRefuse,
                  .request = id,
                  .reason = "refused on arrival",
                  .error = ErrorAtProcessEnd(live)}});
    return;
  }
  this->Apply(
      this->dispatcher->OnArrival(this->clock.Now(), live.incoming.request));
}

// -- Tokens of the account's limit -------------------------------------------

void RequestDriver::RequestTokens(LiveRequest& live,
                                  const AccountLimit& limit) {
  const Request& request = live.incoming.request;
  const RequestId id = request.id;
  const LimitRequest ask{
      .account = request.account,
      .cost = limit.CostOf(request.prompt_tokens, request.output_tokens),
      .priority = LimitPriority(request)};
  live.charge = {.unit = limit.unit, .cost = ask.cost, .pending = true};
  this->hooks.take_tokens(id, ask,
                          [this, alive = this->alive, id, ask,
                           unit = limit.unit](const LimitDecision& decision) {
                            if (*alive) {
                              this->OnTokens(id, ask, unit, decision);
                            }
                          });
}

void RequestDriver::OnTokens(const RequestId& id,
                             const LimitRequest& ask,
                             LimitUnit unit,
                             const LimitDecision& decision) {
  const LimitVerdict& verdict = decision.verdict;
  LiveRequest* live = this->Find(id);
  if (live == nullptr) {
    if (verdict.granted) {
      this->hooks.return_tokens(ask.account, unit, ask.cost);
    }
    return;
  }
  live->charge.pending = false;
  live->charge.held = verdict.granted;
  if (verdict.granted) {
    this->Admit(id);
    return;
  }
  this->decisions.Record(this->clock.WallMilliseconds(), id, ask, decision);
  this->metrics.Add("limit_tokens_refused_total", static_cast<double>(ask.cost),
                    {{"account", ask.account.Text()}});
  this->Apply({{.kind = DispatchKind::kRefuse,
                .request = id,
                .reason = "over the account's limit",
                .error = Error{ErrorKind::kRateLimited,
                               "The account is over its limit.",
                               verdict.retry_after}}});
}

// Returns the tokens of a request that no endpoint can have run.
void RequestDriver::SettleTokens(const LiveRequest& live) {
  const Request& request = live.incoming.request;
  if (live.charge.pending) {
    this->hooks.cancel_tokens(request.id);
    return;
  }
  const bool may_have_run =
      live.may_have_run || live.abandoned_may_have_run || AnyMayHaveSent(live);
  if (live.charge.held && !may_have_run) {
    this->hooks.return_tokens(request.account, live.charge.unit,
                              live.charge.cost);
  }
}

void RequestDriver::OnLoad(const LoadReport& report) {
  this->Apply(this->dispatcher->OnLoad(this->clock.Now(), report));
}

void RequestDriver::OnCache(const CacheEvent& event) {
  this->dispatcher->OnCache(this->clock.Now(), event);
}

void RequestDriver::OnDigest(const Digest& digest) {
  this->Apply(this->dispatcher->OnDigest(this->clock.Now(), digest));
}

void RequestDriver::OnHostLost(const HostId& host) {
  this->dispatcher->OnHostLost(this->clock.Now(), host);
}

void RequestDriver::Tick() {
  this->RefuseUnfinishable();
  this->Apply(this->dispatcher->OnTick(this->clock.Now()));
}

void RequestDriver::StartDrain(std::function<void()> on_drained) {
  this->on_drained = std::move(on_drained);
  this->draining = true;
  this->dispatcher->StartDrain();
  this->CheckDrained();
}

void RequestDriver::CheckDrained() {
  if (this->live.empty() && this->on_drained) {
    std::exchange(this->on_drained, {})();
  }
}

void RequestDriver::EndAll() {
  std::vector<RequestId> ids;
  std::ranges::copy(this->live | std::views::keys, std::back_inserter(ids));
  std::ranges::for_each(ids, [this](const RequestId& id) { this->EndNow(id); });
  this->CheckDrained();
}

void RequestDriver::EndNow(const RequestId& id) {
  assert(!this->applying && "must not be called from within Apply()");
  LiveRequest& live = this->live.at(id);
  live.incoming.call->OnGone({});
  live.may_have_run |= AnyMayHaveSent(live);
  if (!live.incoming.call->Started()) {
    for (auto& [attempt, run] : live.attempts) {
      run.generated = 0;  // not billed, as the caller gets none of it
    }
  }
  if (live.caller_gone) {
    this->Forget(id);
  } else {
    this->Apply({{.kind = DispatchKind::kRefuse,
                  .request = id,
                  .reason = "this host stops",
                  .error = ErrorAtProcessEnd(live)}});
  }
  this->Apply(this->dispatcher->OnCallerDisconnected(this->clock.Now(), id));
}

bool RequestDriver::AnyMayHaveSent(const LiveRequest& live) {
  return std::ranges::any_of(live.attempts, [](const auto& entry) {
    return entry.second.attempt->MayHaveSent();
  });
}

Error RequestDriver::ErrorAtProcessEnd(const LiveRequest& live) {
  if (live.incoming.call->Started()) {
    return {ErrorKind::kBrokenAnswer,
            "The host stopped before the answer was whole.",
            {}};
  }
  if (live.may_have_run) {
    return {ErrorKind::kOutcomeUnknown,
            "The host stopped while the request ran.",
            {}};
  }
  return {ErrorKind::kShuttingDown, "This host is leaving.",
          kRetryElsewhereDelay};
}

void RequestDriver::Apply(DispatchList actions) {
  std::ranges::move(actions, std::back_inserter(this->pending));
  if (this->applying) {
    return;
  }
  this->applying = true;
  while (!this->pending.empty()) {
    const Dispatch action = std::move(this->pending.front());
    this->pending.pop_front();
    if (this->Find(action.request) == nullptr) {
      this->Skip(action);
      continue;
    }
    this->decisions.Record(this->clock.WallMilliseconds(), action);
    const auto* row =
        std::ranges::find(kActions, action.kind, &ActionRow::kind);
    (this->*row->action)(action);
  }
  this->applying = false;
  this->CheckDrained();
}

// Drops an action whose request was answered, or whose caller disconnected,
// after the dispatcher decided on it. The dispatcher still expects the result
// of each attempt that it started.
void RequestDriver::Skip(const Dispatch& action) {
  if (action.kind == DispatchKind::kSend) {
    this->Apply(this->dispatcher->OnResult(
        this->clock.Now(),
        {.attempt = action.attempt, .outcome = AttemptOutcome::kNotSent}));
  }
}

RequestDriver::LiveRequest* RequestDriver::Find(const RequestId& id) {
  const auto found = this->live.find(id);
  return found == this->live.end() ? nullptr : &found->second;
}

// Checks the key again when a request starts, since it may have been revoked
// while the request was queued; otherwise the account's queued requests would
// still run. Requests that are already running are completed.
bool RequestDriver::CheckKeyAgain(LiveRequest& live) {
  if (live.key_checked || !this->options.recheck_keys) {
    return true;
  }
  const auto key = this->configuration->keys.find(live.incoming.key_hash);
  live.key_checked = key != this->configuration->keys.end() &&
                     key->second.account == live.incoming.request.account;
  if (live.key_checked) {
    return true;
  }
  this->RefuseUnstarted(
      live.incoming.request.id, "key revoked while queued",
      {ErrorKind::kBadKey, "The API key is no longer valid.", {}});
  return false;
}

void RequestDriver::RefuseUnstarted(const RequestId& id,
                                    std::string reason,
                                    Error error) {
  assert(this->applying &&
         "must be called from within Apply(), which refuses the request");
  this->Apply({{.kind = DispatchKind::kRefuse,
                .request = id,
                .reason = std::move(reason),
                .error = std::move(error)}});
  this->Apply(this->dispatcher->OnCallerDisconnected(this->clock.Now(), id));
}

// Whether a request that starts now is expected to be answered in full before
// the process ends. For kinds of requests without recent answers, the service's
// deadline is used as the estimate.
bool RequestDriver::FinishesInTime(const LiveRequest& live) const {
  if (!this->ends_at) {
    return true;
  }
  const Instant now = this->clock.Now();
  const auto service =
      this->configuration->services.find(live.incoming.request.service);
  const Duration first_byte = service == this->configuration->services.end()
                                  ? Duration{}
                                  : service->second.deadline;
  return CanFinish(
      *this->ends_at - now,
      {.limit = Duration::max(),
       .expected = this->answer_times.P95(now, KindOf(live.incoming))
                       .value_or(first_byte)});
}

void RequestDriver::RefuseUnfinishable() {
  if (!this->ends_at) {
    return;
  }
  std::map<AnswerKind, bool> in_time;
  std::vector<RequestId> late;
  for (const auto& [id, request] : this->live) {
    if (request.caller_gone || request.may_have_run ||
        !request.attempts.empty()) {
      continue;
    }
    const auto [kind, inserted] =
        in_time.try_emplace(KindOf(request.incoming), true);
    if (inserted) {
      kind->second = this->FinishesInTime(request);
    }
    if (!kind->second) {
      late.push_back(id);
    }
  }
  std::ranges::for_each(late,
                        [this](const RequestId& id) { this->EndNow(id); });
}

// -- Actions -----------------------------------------------------------------

void RequestDriver::Claim(const Dispatch& action) {
  LiveRequest& live = *this->Find(action.request);
  if (!this->CheckKeyAgain(live)) {
    return;
  }
  const RequestId id = action.request;
  if (!this->hooks.claim) {
    this->OnClaimed(id, ClaimResult::kUnavailable);
    return;
  }
  const Request& request = live.incoming.request;
  const auto service = this->configuration->services.find(request.service);
  this->hooks.claim({.request = id,
                     .key = live.incoming.claim_key,
                     .window = service == this->configuration->services.end()
                                   ? Duration{}
                                   : service->second.duplicate_window,
                     .deadline = request.deadline},
                    [this, alive = this->alive, id](ClaimResult result) {
                      if (*alive) {
                        this->OnClaimed(id, result);
                      }
                    });
}

void RequestDriver::OnClaimed(const RequestId& id, ClaimResult result) {
  if (LiveRequest* live = this->Find(id)) {
    live->claimed = result == ClaimResult::kGranted;
  } else if (result == ClaimResult::kGranted && this->hooks.release_claim) {
    this->hooks.release_claim(id);  // the caller disconnected meanwhile
  }
  this->Apply(this->dispatcher->OnClaim(this->clock.Now(), id, result));
}

void RequestDriver::Send(const Dispatch& action) {
  LiveRequest& live = *this->Find(action.request);
  assert((!IsOnce(live.incoming.request) ||
          (live.claimed && !live.may_have_run && live.attempts.empty())) &&
         "a non-idempotent request is sent only while it is claimed and "
         "certainly has not run");
  if (!this->CheckKeyAgain(live)) {
    this->Skip(action);
    return;
  }
  if (live.attempts.empty() && !live.may_have_run &&
      !this->FinishesInTime(live)) {
    this->RefuseUnstarted(action.request,
                          "can't be finished before the shutdown",
                          ErrorAtProcessEnd(live));
    this->Skip(action);
    return;
  }
  const auto endpoint = this->configuration->endpoints.find(action.endpoint);
  if (endpoint == this->configuration->endpoints.end()) {
    this->Skip(action);
    return;
  }
  RunningAttempt& run = live.attempts[action.attempt];
  run.endpoint = action.endpoint;
  run.started = this->clock.Now();
  if (live.first_sent == Instant{}) {
    live.first_sent = run.started;
    if (live.charge.held) {
      this->metrics.Add("limit_tokens_admitted_total",
                        static_cast<double>(live.charge.cost),
                        {{"account", live.incoming.request.account.Text()}});
    }
  }
  run.attempt =
      this->client.Start(this->MakeCall(live, action, endpoint->second),
                         this->MakeEvents(action.request, action.attempt));
}

AttemptCall RequestDriver::MakeCall(LiveRequest& live,
                                    const Dispatch& action,
                                    const Endpoint& endpoint) const {
  const IncomingRequest& incoming = live.incoming;
  return {.attempt = action.attempt,
          .request = action.request,
          .address = endpoint.address,
          .method = incoming.method,
          .target = incoming.target,
          .headers = incoming.headers,
          .content_type = incoming.content_type,
          .body = incoming.body,
          .shape = incoming.relay->Shape(),
          .once = IsOnce(incoming.request),
          .batch = incoming.request.request_class == RequestClass::kBatch,
          .resume_from = incoming.relay->Delivered(),
          .timeouts = incoming.timeouts,
          .may_send = this->PermissionToSend(incoming.request)};
}

// Checks the claim again at the time of sending: a process that was paused
// between claim and send may resume after its claim has expired and another
// host has run the request.
std::function<bool()> RequestDriver::PermissionToSend(
    const Request& request) const {
  if (!IsOnce(request) || !this->hooks.may_send) {
    return {};
  }
  return [may_send = this->hooks.may_send, id = request.id] {
    return may_send(id);
  };
}

AttemptEvents RequestDriver::MakeEvents(const RequestId& id,
                                        AttemptId attempt) {
  return {
      .on_head =
          [this, id, attempt](const HttpResponseHead& head) {
            if (LiveRequest* live = this->Find(id)) {
              live->incoming.relay->OnHead(attempt, head);
            }
          },
      .on_bytes =
          [this, id, attempt](std::string_view bytes) {
            this->OnBytes(id, attempt, bytes);
          },
      .on_chunk =
          [this, id, attempt](std::string_view data,
                              const CompletionChunk& chunk) {
            this->OnChunk(id, attempt, data, chunk);
          },
      .on_end = [this, id, attempt](
                    const AttemptEnd& end) { this->OnEnd(id, attempt, end); },
  };
}

void RequestDriver::Cancel(const Dispatch& action) {
  LiveRequest& live = *this->Find(action.request);
  this->Abandon(live, action.attempt);
  if (live.caller_gone && live.attempts.empty()) {
    this->Forget(action.request);
  }
}

// Cancels an attempt whose answer is no longer needed. An attempt of a
// non-idempotent request is left running, since closing its connection would
// only make its outcome unknown.
void RequestDriver::Abandon(LiveRequest& live, AttemptId attempt) {
  const auto found = live.attempts.find(attempt);
  if (found == live.attempts.end() || IsOnce(live.incoming.request)) {
    return;
  }
  const RunningAttempt run = found->second;
  live.attempts.erase(found);
  live.abandoned_may_have_run |= run.attempt->MayHaveSent();
  run.attempt->Cancel();
  if (run.attempt->Call().shape != AnswerShape::kBytes) {
    this->client.CancelAt(run.attempt->Call().address, live.incoming.request.id,
                          attempt);
  }
  this->Bill(live, run, {.result = {.attempt = attempt}});
}

void RequestDriver::Finish(const Dispatch& action) {
  LiveRequest& live = *this->Find(action.request);
  this->metrics.Add("hickorystand_requests_total", 1,
                    {{"service", live.incoming.request.service.Text()}});
  if (live.last_end.result.outcome == AttemptOutcome::kComplete) {
    const Instant now = this->clock.Now();
    this->answer_times.Add(now, KindOf(live.incoming), now - live.first_sent);
  }
  live.incoming.relay->Finish(live.last_end);
  this->Forget(action.request);
}

void RequestDriver::Refuse(const Dispatch& action) {
  LiveRequest& live = *this->Find(action.request);
  const Error error =
      this->WithStatusPath(action.error.value_or(Error{}), live);
  this->metrics.Add("hickorystand_refusals_total", 1,
                    {{"code", std::string(AnswerFor(error.kind).code)}});
  assert((!AnswerFor(error.kind).not_run || !live.may_have_run ||
          !IsOnce(live.incoming.request)) &&
         "'not run' is reported only if the request certainly did not run");
  live.incoming.relay->Fail(error);
  this->Forget(action.request);
}

// Adds the path at which the caller can look up the outcome to an error that
// reports the outcome as unknown.
Error RequestDriver::WithStatusPath(Error error,
                                    const LiveRequest& live) const {
  const ServiceId& id = live.incoming.request.service;
  const auto service = this->configuration->services.find(id);
  if (error.kind == ErrorKind::kOutcomeUnknown &&
      service != this->configuration->services.end() &&
      !service->second.status_path.empty()) {
    error.message += " Whether it ran can be looked up at /services/" +
                     id.Text() + service->second.status_path + ".";
  }
  return error;
}

void RequestDriver::Forget(const RequestId& id) {
  auto node = this->live.extract(id);
  if (node.empty()) {
    return;
  }
  LiveRequest& live = node.mapped();
  this->SettleClaim(live);
  this->SettleTokens(live);
  live.incoming.call->OnGone({});
  live.incoming.call->OnDrained({});
  if (IsOnce(live.incoming.request)) {
    this->DetachAttempts(live);
    return;
  }
  while (!live.attempts.empty()) {
    this->Abandon(live, live.attempts.begin()->first);
  }
}

// Leaves the attempts of a non-idempotent request running, except those of
// which no byte was sent: their caller receives an error that states that the
// request has not run.
void RequestDriver::DetachAttempts(const LiveRequest& live) {
  for (const auto& [id, run] : live.attempts) {
    if (run.attempt->MayHaveSent()) {
      this->detached.push_back(run.attempt);
    } else {
      run.attempt->Cancel();
    }
  }
}

// Releases the claim of a request that did not run, so that the caller can send
// it again. The claim of a request that may have run is kept, so that it can't
// run twice.
void RequestDriver::SettleClaim(const LiveRequest& live) {
  const auto& settle =
      live.may_have_run ? this->hooks.claim_used : this->hooks.release_claim;
  if (live.claimed && settle) {
    settle(live.incoming.request.id);
  }
}

// -- Events ------------------------------------------------------------------

void RequestDriver::OnChunk(const RequestId& id,
                            AttemptId attempt,
                            std::string_view data,
                            const CompletionChunk& chunk) {
  LiveRequest* live = this->Find(id);
  if (live == nullptr) {
    return;
  }
  RunningAttempt& run = live->attempts.at(attempt);
  const int64_t before = live->incoming.relay->Delivered();
  live->incoming.relay->OnChunk(data, chunk);
  const int64_t more = live->incoming.relay->Delivered() - before;
  if (before == 0 && more > 0) {
    this->metrics.Observe(
        "hickorystand_first_token_seconds",
        ToSeconds(this->clock.Now() - live->incoming.request.arrived));
  }
  run.generated += more;
  this->Throttle(*live, attempt);
  if (more > 0) {
    this->Apply(this->dispatcher->OnProgress(this->clock.Now(), attempt, more));
  }
}

void RequestDriver::OnBytes(const RequestId& id,
                            AttemptId attempt,
                            std::string_view bytes) {
  LiveRequest* live = this->Find(id);
  if (live == nullptr) {
    return;
  }
  live->incoming.relay->OnBytes(attempt, bytes);
  this->AbandonOtherAttempts(*live);
  this->Throttle(*live, attempt);
}

// Abandons the other attempts (hedges) once part of one attempt's answer has
// been forwarded: no other attempt can continue that answer.
void RequestDriver::AbandonOtherAttempts(LiveRequest& live) {
  const AttemptId bound = live.incoming.relay->BoundTo();
  if (bound == 0 || live.attempts.size() < 2) {
    return;
  }
  std::vector<AttemptId> others;
  for (const auto& [attempt, run] : live.attempts) {
    if (attempt != bound) {
      others.push_back(attempt);
    }
  }
  for (const AttemptId attempt : others) {
    this->Abandon(live, attempt);
    this->Apply(this->dispatcher->OnResult(
        this->clock.Now(),
        {.attempt = attempt, .outcome = AttemptOutcome::kCancelled}));
  }
}

// Applies back pressure: while the caller reads slowly, reading from the
// endpoint is paused. Otherwise the answer would accumulate in this host's
// memory.
void RequestDriver::Throttle(LiveRequest& live, AttemptId attempt) {
  if (!live.incoming.call->Congested()) {
    return;
  }
  const AttemptPtr paused = live.attempts.at(attempt).attempt;
  paused->Pause();
  live.incoming.call->OnDrained([paused] { paused->Resume(); });
}

void RequestDriver::OnEnd(const RequestId& id,
                          AttemptId attempt,
                          const AttemptEnd& end) {
  LiveRequest* live = this->Find(id);
  if (live == nullptr) {
    return;
  }
  const auto node = live->attempts.extract(attempt);
  assert(!node.empty() && "an attempt ends once");
  const RunningAttempt& run = node.mapped();
  this->decisions.Record(this->clock.WallMilliseconds(), id, run.endpoint,
                         end.result, end.detail);
  this->metrics.Add(
      "hickorystand_attempts_total", 1,
      {{"outcome", std::string(OutcomeName(end.result.outcome))}});
  live->may_have_run |= !SurelyNotRun(end.result.outcome);
  AttemptResult result = end.result;
  result.generated_tokens =
      std::max(run.generated, run.attempt->Call().shape == AnswerShape::kWhole
                                  ? end.result.generated_tokens
                                  : int64_t{0});
  this->Bill(*live, run, end);
  if (end.result.outcome == AttemptOutcome::kComplete ||
      end.result.outcome == AttemptOutcome::kRejected) {
    live->last_end = end;
  } else if (live->incoming.relay->BoundTo() == attempt) {
    // Part of this attempt's answer was already sent to the caller, and no
    // other attempt can continue it. Closing the connection early shows the
    // caller that the answer is incomplete.
    live->incoming.call->Abort();
    this->Apply(this->dispatcher->OnResult(this->clock.Now(), result));
    return;
  } else {
    live->incoming.relay->Drop(attempt);
  }
  const bool gone = live->caller_gone;
  this->Apply(this->dispatcher->OnResult(this->clock.Now(), result));
  if (gone && this->Find(id) != nullptr && this->Find(id)->attempts.empty()) {
    this->Forget(id);
    this->CheckDrained();
  }
}

// Bills an attempt. The prompt is billed once, with the first attempt that
// delivered anything; generated tokens are billed as delivered, so that an
// account does not pay for work lost with a failed endpoint.
void RequestDriver::Bill(LiveRequest& live,
                         const RunningAttempt& run,
                         const AttemptEnd& end) {
  const bool whole = run.attempt->Call().shape == AnswerShape::kWhole &&
                     end.result.outcome == AttemptOutcome::kComplete;
  const int64_t generated = whole ? end.result.generated_tokens : run.generated;
  const bool complete =
      end.status != 0 && end.result.outcome == AttemptOutcome::kComplete;
  if (!this->hooks.usage || (generated == 0 && !complete)) {
    return;
  }
  const Request& request = live.incoming.request;
  const int64_t prompt = end.result.prompt_tokens > 0 ? end.result.prompt_tokens
                                                      : request.prompt_tokens;
  const bool first = !std::exchange(live.prompt_billed, true);
  this->hooks.usage({.account = request.account,
                     .service = request.service,
                     .request = request.id,
                     .attempt = end.result.attempt,
                     .requests = first ? 1 : 0,
                     .prompt_tokens = first ? prompt : 0,
                     .generated_tokens = generated});
}

void RequestDriver::OnCallerDisconnected(const RequestId& id) {
  LiveRequest* live = this->Find(id);
  if (live == nullptr) {
    return;
  }
  live->caller_gone = true;
  this->metrics.Add("hickorystand_callers_gone_total", 1);
  this->Apply(this->dispatcher->OnCallerDisconnected(this->clock.Now(), id));
  live = this->Find(id);
  if (live != nullptr &&
      (live->attempts.empty() || !IsOnce(live->incoming.request))) {
    this->Forget(id);
    this->CheckDrained();
  }
}

}  // namespace hickorystand
