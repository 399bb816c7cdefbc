#include "relay/relayed_request.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "relay/part_hash.h"

namespace hickorystand {
namespace {

// With less time left than this, a send could not be answered in time.
constexpr Duration kMinTimeToSend = std::chrono::milliseconds(60);

// The endpoint's deadline is this much before the caller's, which leaves time
// for the answer's way back.
constexpr Duration kEndpointDeadlineMargin = std::chrono::milliseconds(5);

// Retry-After while the configuration may be outdated: the store confirms it
// again within a second.
constexpr Duration kStaleKeysRetryAfter = std::chrono::milliseconds(700);

// Callers retry within a third of the time they have left, or not at all.
constexpr double kMaxRetryAfterShare = 0.33;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

// Retry-After while no host reaches an endpoint: probes go out this often.
constexpr Duration kCutOffRetryAfter = std::chrono::milliseconds(600);

// Retry-After while hosts that may know the origin of a stream aren't linked:
// links are opened again within this time.
constexpr Duration kUnlinkedRetryAfter = std::chrono::milliseconds(600);

// Longest wait until endpoints of a stream's version have stated their runs.
constexpr Duration kMaxRunCheckWait = std::chrono::milliseconds(450);

// How long callers wait that don't say it.
constexpr Duration kDefaultCallerTimeout = std::chrono::seconds(30);

uint64_t Hash(std::string_view text, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

RelayedRequest::RelayedRequest(FleetRelay* relay,
                               CallerExchangePtr caller,
                               RequestOrigin origin)
    : relay(relay), caller(std::move(caller)), origin(std::move(origin)) {}

RelayedRequest::~RelayedRequest() = default;

void RelayedRequest::Begin() {
  this->arrived = this->relay->clock->Now() - this->origin.age;
  this->progress = this->origin.progress;
  this->caller->OnGone([this] { this->OnCallerDisconnected(); });
  if (const auto error = this->Admit()) {
    if (this->StreamBegun()) {
      this->BreakOff(error->message);
    } else {
      this->AnswerError(error->kind, error->message, error->retry_after);
    }
    return;
  }
  this->ArmDeadline();
  if (this->progress.Begun()) {
    this->OnOrigin({.progress = this->progress,
                    .recorded = true,
                    .source = this->origin.host});
  } else if (this->MayHaveBegun()) {
    this->FindOrigin();
  } else {
    this->BeginPlacing();
  }
}

// Whether events of the stream may have reached the caller, or may be recorded
// as such: by the scheduler that was lost, if the ingress host records none.
bool RelayedRequest::MayHaveBegun() const {
  return IsStream(this->route->kind) &&
         (this->request.IsContinuation() ||
          (this->origin.earlier_sends > 0 && !this->origin.records_origin));
}

// Finds where the stream began that the caller continues.
void RelayedRequest::FindOrigin() {
  StreamTracker* tracker = this->relay->stream_tracker;
  const bool nameless =
      this->request.IsContinuation() && !this->request.first_attempt;
  if (nameless || tracker == nullptr) {
    this->OnOrigin({.progress = StreamProgress::BegunAtUnknownOrigin()});
    return;
  }
  const auto found = tracker->Find(
      this->request.FirstAttempt(),
      [this, weak = this->weak_from_this()](const StreamDecision& decision) {
        if (const auto keep = weak.lock(); keep && !this->over) {
          this->OnOrigin(decision);
        }
      },
      this->origin_lookup);
  if (found) {
    this->OnOrigin(*found);
  }
}

void RelayedRequest::OnOrigin(const StreamDecision& decision) {
  this->origin_lookup.reset();
  if (!decision.progress.OriginUnknown()) {
    this->progress = decision.progress;
    this->CountOrigin("host");
    this->ContinueStream(decision.source.Text(), decision.waited);
  } else if (!this->request.IsContinuation() && !this->StreamBegun()) {
    this->BeginPlacing();
  } else if (!this->FindStoredOrigin(decision)) {
    this->RefuseUnknownOrigin(decision);
  }
}

// Without a host that has a record of the stream, the key-value service may
// tell its origin.
bool RelayedRequest::FindStoredOrigin(const StreamDecision& decision) {
  const auto& find = this->relay->hooks.find_stored_origin;
  if (!find || decision.recorded) {
    return false;
  }
  find(*this->route, this->request.first_attempt,
       [this, decision, weak = this->weak_from_this()](
           const std::optional<StoredOrigin>& found) {
         const auto keep = weak.lock();
         if (!keep || this->over) {
           return;
         }
         if (found && !found->progress.OriginUnknown()) {
           this->progress = found->progress;
           this->CountOrigin(found->source);
           this->ContinueStream(found->source, decision.waited);
         } else {
           this->RefuseUnknownOrigin(decision);
         }
       });
  return true;
}

// Continues the stream where it began. `source` says who knew it.
void RelayedRequest::ContinueStream(const std::string& source,
                                    Duration waited) {
  const StreamOrigin& began = this->progress.Origin();
  this->relay->Log(LogLevel::kInfo, this->request.id, "Continues a stream.",
                   {{"first_attempt", this->FirstAttemptText()},
                    {"service", began.service.Text()},
                    {"software", began.software.Text()},
                    {"source", source},
                    {"wait_ms", MillisecondsText(waited)}});
  // A change of the configuration may have taken the service from the route.
  if (!ServicesOf(*this->route).contains(began.service)) {
    this->CountContinuation("other_service");
    this->EndWithoutSending(ErrorKind::kNoEndpoint,
                            "the route no longer leads to the stream's service",
                            this->Left());
    return;
  }
  this->CountContinuation("known");
  this->SetService(began.service);
  this->BeginPlacing();
}

// Nothing was sent, so the caller may come back. It is worth while soon only if
// a host that may know the origin couldn't be asked.
void RelayedRequest::RefuseUnknownOrigin(const StreamDecision& decision) {
  this->progress = decision.progress;
  this->CountContinuation("unknown");
  this->relay->Log(LogLevel::kWarning, this->request.id,
                   "Refused: the stream's software version is unknown.",
                   {{"first_attempt", this->FirstAttemptText()},
                    {"asked", std::to_string(decision.asked)},
                    {"silent", std::to_string(decision.silent)},
                    {"recorded_unknown", decision.recorded ? "true" : ""},
                    {"wait_ms", MillisecondsText(decision.waited)}});
  if (decision.silent > 0 && !this->origin.host.Empty()) {
    this->caller->Decline();
  }
  this->EndWithoutSending(
      ErrorKind::kNoEndpoint, "the stream's software version is unknown",
      decision.silent > 0 ? kUnlinkedRetryAfter : this->Left());
}

// For logs; empty if the caller names none.
std::string RelayedRequest::FirstAttemptText() const {
  return this->request.first_attempt ? this->request.first_attempt->Text() : "";
}

// The ids of the prompt's shared parts, for logs.
std::string RelayedRequest::SharedPartsText() const {
  std::string text;
  for (const PromptPart& part : this->SharedParts()) {
    text += (text.empty() ? "" : " ") + part.id;
  }
  return text;
}

void RelayedRequest::CountOrigin(std::string_view source) {
  if (!this->StreamBegun()) {
    this->relay->metrics->Add("stream_origins_found_total", 1,
                              {{"source", std::string(source)}});
  }
}

void RelayedRequest::CountContinuation(std::string_view outcome) {
  if (this->StreamBegun()) {
    return;  // within one answer
  }
  this->relay->metrics->Add("stream_continuations_total", 1,
                            {{"outcome", std::string(outcome)}});
}

// Records where the stream begins, before its first event is sent. An ingress
// host of this release does so itself.
void RelayedRequest::RecordOrigin() {
  StreamTracker* tracker = this->relay->stream_tracker;
  if (tracker != nullptr && !this->origin.records_origin) {
    const Duration passed = this->relay->clock->Now() - this->arrived;
    tracker->Record(
        this->request.FirstAttempt(), this->KnownOrigin(),
        this->request.timeout.value_or(kDefaultCallerTimeout) - passed);
  }
}

std::optional<StreamOrigin> RelayedRequest::KnownOrigin() const {
  return this->progress.OriginUnknown()
             ? std::nullopt
             : std::optional(this->progress.Origin());
}

void RelayedRequest::BeginPlacing() {
  if (this->origin.earlier_sends > 0) {
    this->TakeOver();
    return;
  }
  if (this->EndIfCutOff()) {
    return;
  }
  if (!this->origin.resent) {
    this->counted = true;
    this->relay->budget.OnRequest(this->relay->clock->Now(), this->arrived,
                                  this->service);
  }
  if (!this->EndIfBlocked()) {
    this->TakeTicket();
    this->Place();
  }
}

// Continues a request of a scheduler that was lost. The request may have run
// there; whether its prompt was prefilled and which sends it used is unknown.
void RelayedRequest::TakeOver() {
  this->prompt_accepted = true;
  this->runs_sent = this->origin.earlier_sends;
  this->arrivals = this->origin.earlier_sends;
  this->begun = this->origin.stream_begun;
  if (this->origin.resume_after) {
    this->cutter.ResumeAfter(*this->origin.resume_after);
  }
  this->AfterFailure(RunResult::kMayHaveRun, "the scheduler was lost");
}

std::optional<Error> RelayedRequest::Admit() {
  const CallerMessage& message = this->caller->Message();
  this->configuration = this->relay->configuration;
  auto read = this->relay->codec->ReadRequest(message.head.headers);
  if (!read) {
    return read.error();
  }
  this->request = std::move(*read);
  if (!this->relay->Refreshed()) {
    this->caller->Decline();
    return Error{ErrorKind::kNoEndpoint, "no configuration yet",
                 std::chrono::milliseconds(300)};
  }
  const auto host = FindHeader(message.head.headers, "Host");
  this->route = this->configuration->FindRoute(host.value_or(""),
                                               PathOf(message.head.target));
  if (this->route == nullptr) {
    return Error{ErrorKind::kNotFound, "no route", {}};
  }
  this->service = PickService(*this->route, this->request.FirstAttempt());
  this->priority = this->route->priority;
  if (auto error = this->CheckKey()) {
    return error;
  }
  const auto limit = this->configuration->account_limits.find(this->account);
  if (limit != this->configuration->account_limits.end()) {
    this->tokens = {.account = this->account,
                    .cost = limit->second.CostOf(this->request.prompt_tokens,
                                                 this->request.output_tokens),
                    .priority = this->route->priority};
  }
  const Duration timeout =
      std::min(this->request.timeout.value_or(this->route->timeout),
               this->route->timeout);
  this->deadline = this->arrived + timeout;
  this->shape = {.prompt_tokens = this->request.prompt_tokens,
                 .output_tokens = this->request.output_tokens,
                 .target = this->route->target_latency,
                 .max_first_byte_wait = timeout,
                 .hash = Hash(this->request.id.Text())};
  if (IsStream(this->route->kind)) {
    this->shape.max_first_byte_wait =
        std::min(timeout, this->relay->settings.max_stream_first_byte_wait);
  }
  for (const PromptPart& part : this->request.parts) {
    this->shape.parts.push_back(
        {.part = PromptPartHash(part.id), .tokens = part.tokens});
  }
  this->SetService(this->service);
  this->body = message.body;
  const uint64_t account_hash = Hash(account.Text());
  this->traits = {.fingerprint = Hash(*message.body,
                                      Hash(message.head.target, account_hash)),
                  .account = account_hash};
  std::ranges::transform(
      this->SharedParts(), std::back_inserter(this->traits.parts),
      [](const PromptPart& part) { return PromptPartHash(part.id); });
  this->traits.parts = LimitParts(std::move(this->traits.parts), account_hash);
  return this->CheckStop();
}

void RelayedRequest::SetService(const ServiceId& to) {
  const auto found = this->configuration->services.find(to);
  this->service = to;
  this->shape.service = to;
  this->shape.engine = found != this->configuration->services.end() &&
                       found->second.engine.has_value();
}

// Refuses a request that would be cut off by the end of this process or of the
// one that has the caller's connection. A resumed stream was admitted before,
// so it isn't refused.
std::optional<Error> RelayedRequest::CheckStop() {
  const Instant now = this->relay->clock->Now();
  const std::optional<StopSchedule>& stop = this->relay->stop;
  if (this->origin.finish_within) {
    this->finish_by = now + *this->origin.finish_within;
  }
  if (stop && this->origin.host.Empty()) {
    this->finish_by = stop->finish_by;
  }
  if (this->origin.earlier_sends > 0) {
    return {};
  }
  if (stop && !stop->MayAccept(now, this->Need(Step::kArrival))) {
    this->caller->Decline();
    return Error{ErrorKind::kShuttingDown, "this host stops", Duration{}};
  }
  if (!this->CanStillFinish(Step::kArrival)) {
    return Error{ErrorKind::kShuttingDown, std::string(this->StopReasonText()),
                 Duration{}};
  }
  return {};
}

std::string_view RelayedRequest::StopReasonText() const {
  return this->origin.host.Empty() ? "this host stops"
                                   : "the ingress host stops";
}

AnswerKind RelayedRequest::Kind() const {
  return AnswerKind::Of(this->route->name, this->request.output_tokens);
}

AnswerDuration RelayedRequest::Need(Step step) const {
  const AnswerTimes& times =
      step == Step::kRun ? this->relay->run_times : this->relay->answer_times;
  return {.limit = this->Left(),
          .expected = times.P95(this->relay->clock->Now(), this->Kind())};
}

bool RelayedRequest::CanStillFinish(Step step) const {
  return !this->finish_by ||
         CanFinish(*this->finish_by - this->relay->clock->Now(),
                   this->Need(step));
}

void RelayedRequest::OnStop(const StopSchedule& schedule) {
  if (this->origin.host.Empty()) {
    this->finish_by = schedule.finish_by;
    this->ArmDeadline();
  }
}

void RelayedRequest::ArmDeadline() {
  const Instant end =
      std::min(this->deadline, this->finish_by.value_or(this->deadline));
  this->deadline_timer =
      Timer::After(std::max(end - this->relay->clock->Now(), Duration{}),
                   [this] { this->OnDeadline(); });
}

std::optional<Error> RelayedRequest::CheckKey() {
  if (this->route->keyless || !this->configuration->keys_required) {
    return {};
  }
  const RelayAccount* holder =
      this->request.key ? this->configuration->FindAccount(*this->request.key)
                        : nullptr;
  if (!this->relay->KeysProven()) {
    return Error{ErrorKind::kPlatformDown,
                 "the configuration may be outdated, so no key can be trusted",
                 kStaleKeysRetryAfter};
  }
  if (holder == nullptr) {
    return Error{ErrorKind::kBadKey, "unknown key", {}};
  }
  this->account = holder->id;
  if (holder->priority) {
    this->priority = holder->priority;
  }
  return {};
}

bool RelayedRequest::KeyStillValid() const {
  const FleetConfiguration& current = *this->relay->configuration;
  const RelayAccount* holder =
      current.FindAccount(this->request.key.value_or(""));
  return !current.keys_required ||
         (holder != nullptr && holder->id == this->account);
}

Duration RelayedRequest::Left() const {
  return this->deadline - this->relay->clock->Now();
}

bool RelayedRequest::HasTimeToSend() const {
  return this->Left() > kMinTimeToSend;
}

// Takes the next run's tokens from the account's limit. Returns false if they
// are refused, or if the decision is pending.
bool RelayedRequest::TakeTokens() {
  if (this->tokens_held || this->tokens.cost == 0 ||
      this->relay->limit_gate == nullptr) {
    return true;
  }
  const auto verdict = this->relay->limit_gate->Take(
      this->tokens,
      [this, weak = this->weak_from_this()](const LimitVerdict& decided) {
        if (const auto keep = weak.lock()) {
          this->OnTokens(decided);
        }
      });
  if (!verdict) {
    this->tokens_pending = true;
    return false;
  }
  this->tokens_held = verdict->granted;
  if (!verdict->granted) {
    this->RefuseOverLimit(*verdict);
  }
  return verdict->granted;
}

void RelayedRequest::OnTokens(const LimitVerdict& verdict) {
  this->tokens_pending = false;
  this->tokens_held = verdict.granted;
  if (verdict.granted) {
    this->PlaceWithTokens();
  } else {
    this->RefuseOverLimit(verdict);
  }
}

void RelayedRequest::RefuseOverLimit(const LimitVerdict& verdict) {
  LimitGate& gate = *this->relay->limit_gate;
  const auto age = gate.ShareAge();
  this->relay->metrics->Add("limit_tokens_refused_total",
                            static_cast<double>(this->tokens.cost),
                            {{"account", this->account.Text()}});
  this->relay->Log(
      LogLevel::kInfo, this->request.id, "Over the account's limit.",
      {{"account", this->account.Text()},
       {"tokens", std::to_string(this->tokens.cost)},
       {"held", std::to_string(static_cast<int64_t>(verdict.held))},
       {"why", std::string(verdict.reason)},
       {"home", verdict.home.Text()},
       {"share", std::to_string(gate.Share())},
       {"share_ms", age ? MillisecondsText(*age) : ""},
       {"holders_revision", std::to_string(gate.Revision())},
       {"configuration", std::to_string(this->configuration->version)},
       {"retry_after_ms", MillisecondsText(verdict.retry_after)}});
  this->EndWithoutSending(ErrorKind::kRateLimited, "over the account's limit",
                          verdict.retry_after);
}

// Returns the tokens of a run that wasn't sent.
void RelayedRequest::ReleaseTokens() {
  if (std::exchange(this->tokens_pending, false)) {
    this->relay->limit_gate->Cancel(this->tokens.number);
  }
  if (std::exchange(this->tokens_held, false)) {
    this->relay->limit_gate->Refund(this->account, this->tokens.cost);
  }
}

void RelayedRequest::Place() {
  if (this->TakeTokens()) {
    this->PlaceWithTokens();
  }
}

void RelayedRequest::LogOverRates(const PlacementRefusal& refused) {
  this->relay->metrics->Add("stated_rate_refusals_total", 1);
  this->relay->Log(LogLevel::kInfo, this->request.id,
                   "Over the endpoints' stated rates.",
                   {{"service", this->service.Text()},
                    {"limited_endpoints",
                     std::to_string(this->relay->placement.Rates().Limited())},
                    {"retry_after_ms", MillisecondsText(refused.retry_after)}});
}

void RelayedRequest::LogOverloaded(const PlacementRefusal& refused) {
  this->relay->metrics->Add("overload_refusals_total", 1,
                            {{"service", this->service.Text()}});
  if (!refused.overload) {
    return;
  }
  const OverloadEvidence& found = *refused.overload;
  this->relay->Log(LogLevel::kInfo, this->request.id,
                   "No endpoint is expected to answer in time.",
                   {{"service", this->service.Text()},
                    {"endpoints", std::to_string(found.endpoints)},
                    {"soonest_ms", MillisecondsText(found.soonest)},
                    {"queue_ms", MillisecondsText(found.queue)},
                    {"left_ms", MillisecondsText(this->Left())},
                    {"requests", std::to_string(found.requests)},
                    {"peer_requests", std::to_string(found.peer_requests)},
                    {"retry_after_ms", MillisecondsText(refused.retry_after)}});
}

// The properties of the request as it is now.
RequestProfile RelayedRequest::Profile() const {
  RequestProfile profile = this->shape;
  profile.max_first_byte_wait =
      std::min(profile.max_first_byte_wait, this->Left());
  profile.in_progress = this->progress.Begun() || this->caller->MayHaveRun();
  profile.progress = this->progress;
  profile.begins_stream =
      IsStream(this->route->kind) && !this->progress.Begun();
  if (this->ordered) {
    profile.max_queue_wait = this->relay->admission.MaxQueueWait(this->ticket);
  }
  return profile;
}

// A host whose endpoint list is old may not know the stream's version yet, but
// another one may. Returns whether another host has the request now.
bool RelayedRequest::PassOnIfListIsOld() {
  const Duration age =
      this->relay->clock->Now() - this->relay->endpoints_asked_at;
  if (age <= this->relay->settings.max_list_age ||
      this->relay->ListedEndpoints(this->progress.Origin()) > 0) {
    return false;
  }
  if (this->origin.host.Empty()) {
    return this->HandOver("Handed over: the endpoint list is old.");
  }
  if (this->uncertain_runs == 0) {
    this->caller->Decline();
  }
  return false;
}

// Waits if the endpoint isn't surely the listed run. A begun stream goes only
// on an open connection to that run: a new one could lead to the next process.
// Calls `again` after the wait, or if the endpoint is out of the question.
// Returns false if the request can be sent.
bool RelayedRequest::AwaitRunCheck(const EndpointId& id,
                                   const std::function<void()>& again) {
  if (!IsStream(this->route->kind)) {
    return false;
  }
  const FleetEndpoint& endpoint = this->relay->endpoints.at(id);
  const bool begun = this->progress.Begun();
  if (begun ? this->relay->HasSureConnection(endpoint)
            : this->relay->IsSureRun(endpoint)) {
    return false;
  }
  const Instant now = this->relay->clock->Now();
  if (!this->run_check_end) {
    this->run_check_end = now + kMaxRunCheckWait;
  }
  if (now < *this->run_check_end &&
      ((!begun && this->relay->IsChecked(endpoint.address)) ||
       this->relay->CheckRun(endpoint))) {
    this->awaits_run_check = RunCheckWait{endpoint.address, again};
    return true;
  }
  if (begun) {
    this->tried.insert(id);
    again();
  }
  return begun;
}

void RelayedRequest::OnRunChecked(const SocketAddress& address) {
  if (!this->awaits_run_check || this->awaits_run_check->address != address ||
      this->over) {
    return;
  }
  const auto keep = this->shared_from_this();
  const RunCheckWait wait = std::move(*this->awaits_run_check);
  this->awaits_run_check.reset();
  wait.again();
}

void RelayedRequest::LogNoEndpointOfOrigin() {
  this->CountContinuation("unavailable");
  const StreamOrigin& began = this->progress.Origin();
  this->relay->Log(
      LogLevel::kWarning, this->request.id,
      "No endpoint of the stream's software version.",
      {{"first_attempt", this->FirstAttemptText()},
       {"service", began.service.Text()},
       {"software", began.software.Text()},
       {"listed", std::to_string(this->relay->ListedEndpoints(began))},
       {"tried", std::to_string(this->tried.size())}});
}

void RelayedRequest::PlaceWithTokens() {
  if (this->EndIfCutOff()) {
    return;
  }
  if (this->progress.OriginUnknown()) {
    this->EndWithoutSending(ErrorKind::kNoEndpoint,
                            "the stream's software version is unknown", {});
    return;
  }
  if (this->MustWaitInOrder()) {
    this->WaitForRoom({});
    return;
  }
  const PlacementResult verdict = this->relay->placement.Place(
      this->relay->clock->Now(), this->Profile(), this->tried);
  if (const auto* refused = std::get_if<PlacementRefusal>(&verdict)) {
    this->OnNoPlacement(*refused);
  } else {
    this->SendTo(std::get<PlacementTarget>(verdict));
  }
}

void RelayedRequest::OnNoPlacement(const PlacementRefusal& refused) {
  if (refused.reason == kOverStatedRates) {
    this->LogOverRates(refused);
  } else if (refused.reason == kNoEndpointOfOrigin) {
    if (this->PassOnIfListIsOld()) {
      return;
    }
    this->LogNoEndpointOfOrigin();
  } else if (refused.reason == kOverloaded) {
    if (this->MayQueue()) {
      this->WaitForRoom(refused.retry_after);
      return;
    }
    this->LogOverloaded(refused);
  }
  this->RefusePlacement(refused.reason, refused.retry_after);
}

void RelayedRequest::RefusePlacement(std::string_view why,
                                     Duration until_room) {
  Duration retry_after{};
  if (!this->StreamBegun() && !this->caller->MayHaveRun()) {
    retry_after = this->relay->placement.OnRefused(this->relay->clock->Now(),
                                                   this->service, until_room);
    if (this->ordered && why == kOverloaded) {
      retry_after = this->relay->admission.OnRefused(this->ticket, retry_after,
                                                     this->Left());
    }
  }
  this->EndWithoutSending(ErrorKind::kNoEndpoint, why, retry_after);
}

void RelayedRequest::SendTo(const PlacementTarget& placed) {
  const auto keep = this->shared_from_this();
  if (placed.prefill_endpoint && this->MayPrefillSeparately()) {
    this->SendPrefill(*placed.prefill_endpoint, placed);
  } else if (!this->AwaitRunCheck(placed.endpoint,
                                  [this] { this->PlaceWithTokens(); })) {
    this->SendRun(placed, "");
  } else {
    this->LeaveQueue();
  }
}

// Ends the request here if this host reaches no endpoint of its service: hands
// it over to a host that does, or declines it, or refuses it at once.
bool RelayedRequest::EndIfCutOff() {
  if (!this->relay->reach.IsCutOff(this->service)) {
    return false;
  }
  if (this->origin.host.Empty()) {
    if (this->HandOver("Handed over: no endpoint can be reached.")) {
      return true;
    }
  } else if (this->uncertain_runs == 0) {
    this->caller->Decline();
  }
  const bool not_run = !this->StreamBegun() && !this->caller->MayHaveRun();
  const Instant now = this->relay->clock->Now();
  this->EndWithoutSending(ErrorKind::kNoEndpoint, "no endpoint can be reached",
                          not_run ? this->relay->placement.OnRefused(
                                        now, this->service, kCutOffRetryAfter)
                                  : Duration{});
  return true;
}

bool RelayedRequest::HandOver(std::string_view reason) {
  const auto& hand_over = this->relay->hooks.hand_over;
  if (!hand_over || this->uncertain_runs >= this->route->max_attempts) {
    return false;
  }
  const auto keep = this->shared_from_this();
  this->EndAttempt();
  this->caller->OnDrained({});
  const bool taken =
      hand_over(this->caller, {.service = this->service,
                               .arrived = this->arrived,
                               .uncertain_runs = this->uncertain_runs,
                               .resume_after = this->cutter.LastId(),
                               .progress = this->progress,
                               .counted = this->counted});
  if (taken) {
    this->relay->Log(
        LogLevel::kInfo, this->request.id, reason,
        {{"service", this->service.Text()},
         {"uncertain_runs", std::to_string(this->uncertain_runs)},
         {"ms", MillisecondsText(this->relay->clock->Now() - this->arrived)}});
    this->over = true;
    this->Release();
  }
  return taken;
}

// Ends the request if endpoints crash when they run it. Its Retry-After is the
// end of the block, even if that is later than the caller waits: the request is
// refused until then.
bool RelayedRequest::EndIfBlocked() {
  const auto block =
      this->relay->suspects.FindBlock(this->relay->clock->Now(), this->traits);
  if (!block) {
    return false;
  }
  this->relay->LogBlocked(this->request.id, this->traits.fingerprint,
                          this->PartOf(*block), *block);
  if (this->attempt && !this->attempt->reading) {
    this->caller->SetMayHaveRun();
  }
  this->EndAttempt();
  constexpr std::string_view kWhy = "endpoints crash when they run it";
  if (this->StreamBegun()) {
    this->BreakOff(kWhy);
  } else {
    this->AnswerError(ErrorKind::kNoEndpoint, kWhy, block->remaining);
  }
  return true;
}

// The id of the prompt's part for which the request is refused; empty if the
// request itself is.
std::string RelayedRequest::PartOf(const RequestBlock& block) const {
  if (block.cause.kind == CauseKind::kRequest) {
    return "";
  }
  const auto found = std::ranges::find(
      this->SharedParts(), block.cause.hash,
      [](const PromptPart& part) { return PromptPartHash(part.id); });
  return found == this->SharedParts().end() ? "others" : found->id;
}

// Ends the request if it is blocked and waits to be run, here or at an
// endpoint. One that an endpoint has begun to answer is left to end by itself.
void RelayedRequest::OnSuspectsChanged() {
  const auto keep = this->shared_from_this();
  const bool running = this->attempt && this->attempt->status != 0;
  if (!this->over && !running) {
    this->EndIfBlocked();
  }
}

// Whether the request may be sent to another endpoint; if so, charges the retry
// budget.
bool RelayedRequest::MaySendAgain() {
  return this->HasAttemptLeft() && this->TakeRetry();
}

bool RelayedRequest::HasAttemptLeft() const {
  return this->runs_sent < this->route->max_attempts && this->HasTimeToSend();
}

// Charges one arrival at an endpoint beyond the first to the retry budget.
bool RelayedRequest::TakeRetry() {
  const Instant now = this->relay->clock->Now();
  const RetryVerdict verdict = this->relay->budget.Take(now, this->service);
  if (verdict.granted) {
    this->unsent_retry = now;
  }
  this->relay->metrics->Add(
      verdict.granted ? "retries_granted_total" : "retries_refused_total", 1,
      {{"service", this->service.Text()}});
  this->relay->Log(
      LogLevel::kInfo, this->request.id,
      verdict.granted ? "Retry granted." : "Retry refused: budget spent.",
      {{"service", this->service.Text()},
       {"requests", std::to_string(verdict.requests)},
       {"retries", std::to_string(verdict.retries)},
       {"left", std::to_string(verdict.left)},
       {"share", std::to_string(verdict.share)}});
  return verdict.granted;
}

// The first prefill call that an engine accepts is no retry; any further one is
// charged to the retry budget, since the charge for the retried run covers the
// run alone.
bool RelayedRequest::MayPrefillSeparately() {
  return this->request.prompt_tokens >=
             this->relay->settings.min_split_prompt_tokens &&
         (!this->prompt_accepted || this->TakeRetry());
}

std::string RelayedRequest::HeadFor(const EndpointCall& call) const {
  const Http1Head& head = this->caller->Message().head;
  HttpHeaders headers = this->relay->codec->PassOn(head.headers);
  this->relay->codec->WriteCall(call, headers);
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  for (const HttpHeader& header : headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  if (!this->body->empty() || head.method == "POST" || head.method == "PUT") {
    text += "Content-Length: " + std::to_string(this->body->size()) + "\r\n";
  }
  return text + "\r\n";
}

void RelayedRequest::SendPrefill(const EndpointId& reader,
                                 const PlacementTarget& placed) {
  const Instant now = this->relay->clock->Now();
  EndpointRates& rates = this->relay->placement.Rates();
  if (rates.Find(now, placed.endpoint)) {
    rates.OnSent(now, placed.endpoint);
    this->reserved = placed.endpoint;
  }
  this->Send(
      {.endpoint = this->relay->endpoints.at(reader),
       .expected = placed.expected,
       .reading = true},
      {.account = this->account,
       .priority = this->priority,
       .read_prompt_only = true,
       .copy_from = this->AddressOf(placed.copy_from)},
      {.new_tokens = placed.new_tokens, .copied_tokens = placed.copied_tokens});
}

std::optional<SocketAddress> RelayedRequest::AddressOf(
    const std::optional<EndpointId>& endpoint) const {
  if (!endpoint || !this->relay->endpoints.contains(*endpoint)) {
    return {};
  }
  return this->relay->endpoints.at(*endpoint).address;
}

void RelayedRequest::SendRun(const PlacementTarget& placed,
                             const std::string& fetch_from) {
  ++this->runs_sent;
  ++this->arrivals;
  this->Send({.endpoint = this->relay->endpoints.at(placed.endpoint),
              .expected = placed.expected},
             {.account = this->account,
              .priority = this->priority,
              .resume_after = this->cutter.LastId(),
              .fetch_from = fetch_from,
              .copy_from = this->AddressOf(placed.copy_from)},
             {.new_tokens = placed.new_tokens,
              .copied_tokens = placed.copied_tokens,
              .prefilled_elsewhere = !fetch_from.empty()});
}

void RelayedRequest::Send(Attempt next,
                          const EndpointCall& call,
                          const SentWork& work) {
  // The request may have been blocked since it arrived.
  if (this->EndIfBlocked()) {
    return;
  }
  const Instant now = this->relay->clock->Now();
  const Step step = next.reading ? Step::kArrival : Step::kRun;
  if (!this->StreamBegun() && !this->CanStillFinish(step)) {
    this->ReleaseHandle();
    this->EndWithoutSending(ErrorKind::kShuttingDown, this->StopReasonText(),
                            Duration{});
    return;
  }
  const std::optional<StopSchedule>& stop = this->relay->stop;
  if (stop && !this->StreamBegun() && !this->caller->MayHaveRun() &&
      !CanFinish(stop->Remaining(now), this->Need(step))) {
    this->caller->Decline();
    this->ReleaseHandle();
    this->EndWithoutSending(ErrorKind::kShuttingDown, "this host stops",
                            Duration{});
    return;
  }
  // The key may have been revoked since the request was admitted.
  if (!this->account.Empty() && !this->relay->KeysProven()) {
    this->ReleaseHandle();
    this->EndWithoutSending(ErrorKind::kNoEndpoint,
                            "the configuration may be outdated",
                            kStaleKeysRetryAfter);
    return;
  }
  if (!this->account.Empty() && !this->KeyStillValid()) {
    this->ReleaseHandle();
    this->EndWithoutSending(ErrorKind::kBadKey, "API key revoked", {});
    return;
  }
  EndpointCall whole = call;
  whole.endpoint = next.endpoint.run.id;
  const Duration left =
      std::max(this->Left() - kEndpointDeadlineMargin, Duration{});
  whole.time_left = left;
  this->CountAdmission();
  this->unsent_retry.reset();
  this->relay->reach.OnSent(now, next.endpoint.run.id);
  next.sent = now;
  this->run_check_end.reset();
  next.work = this->relay->placement.OnSent(now, next.endpoint.run.id,
                                            this->shape, work);
  this->relay->RecordPrefill(this->service, work.new_tokens);
  if (!whole.read_prompt_only && std::exchange(this->tokens_held, false)) {
    this->relay->metrics->Add("limit_tokens_admitted_total",
                              static_cast<double>(this->tokens.cost),
                              {{"account", this->account.Text()}});
  }
  this->attempt = std::make_unique<Attempt>(std::move(next));
  const auto resume_after =
      call.resume_after ? call.resume_after : this->request.resume_after;
  this->relay->Log(
      LogLevel::kInfo, this->request.id, "Sent.",
      {{"endpoint", whole.endpoint.Text()},
       {"software", this->attempt->endpoint.software.Text()},
       {"step", whole.read_prompt_only ? "read" : "run"},
       {"resume_after", resume_after ? std::to_string(*resume_after) : ""},
       {"first_attempt", this->FirstAttemptText()},
       {"new_tokens", std::to_string(work.new_tokens)},
       {"copied_tokens", std::to_string(work.copied_tokens)},
       {"left_ms", MillisecondsText(left)},
       {"expected_ms", MillisecondsText(this->attempt->expected)},
       {"proof_ms", MillisecondsText(now - this->relay->confirmed_at)},
       {"configuration", std::to_string(this->configuration->version)}});
  this->attempt->exchange = this->relay->pool.Send(
      {.address = this->attempt->endpoint.address,
       .head = this->HeadFor(whole),
       .body = this->body,
       .request = this->request.id,
       .no_answer_body = this->caller->Message().head.method == "HEAD",
       .at_most_once =
           !IsRepeatable(this->route->kind) && !whole.read_prompt_only},
      {.on_head = [this](const Http1Head& head) { return this->OnHead(head); },
       .on_bytes = [this](std::string_view bytes) { this->OnBytes(bytes); },
       .on_end = [this](HttpEnd end) { this->OnEnd(end); }});
  this->ArmStall();
}

void RelayedRequest::AfterFailure(RunResult fate, std::string_view why) {
  if (this->attempt) {
    this->tried.insert(this->attempt->endpoint.run.id);
    this->relay->Log(
        LogLevel::kInfo, this->request.id, "Attempt failed.",
        {{"endpoint", this->attempt->endpoint.run.id.Text()},
         {"status", std::to_string(this->attempt->status)},
         {"why", std::string(why)},
         {"framing", std::string(this->last_end.framing)},
         {"end", this->EndText()},
         {"sent_events", this->attempt->first_byte_at ? "true" : "false"},
         {"parts", this->SharedPartsText()},
         {"fingerprint", FingerprintText(this->traits.fingerprint)},
         {"crashes",
          std::to_string(this->relay->suspects.Crashes(
              this->relay->clock->Now(), this->traits.fingerprint))}});
    this->attempt.reset();
    this->uncertain_runs += fate == RunResult::kMayHaveRun ? 1 : 0;
    // The tokens of a run that did not happen serve the next send, or are
    // returned at the end.
    this->tokens_held = this->tokens_held ||
                        (fate == RunResult::kNotRun && this->tokens.cost > 0 &&
                         this->relay->limit_gate != nullptr);
  }
  if (this->caller->Started() && !IsStream(this->route->kind)) {
    this->BreakOff(why);  // only streams can be resumed by another run
    return;
  }
  this->cutter.DropPartialEvent();
  if (fate == RunResult::kMayHaveRun) {
    this->caller->SetMayHaveRun();
  }
  const ReachState reach = this->relay->reach.State(this->service);
  if (reach == ReachState::kSuspected && this->MayRepeat() &&
      this->uncertain_runs < this->route->max_attempts &&
      this->HasTimeToSend()) {
    this->awaits_reach = std::string(why);
    return;
  }
  this->SendAgain(why);
}

bool RelayedRequest::MayRepeat() const {
  return !this->caller->MayHaveRun() || IsRepeatable(this->route->kind);
}

// Places the request again after a failure, or ends it.
void RelayedRequest::SendAgain(std::string_view why) {
  const bool may_repeat = this->MayRepeat();
  if (may_repeat && this->EndIfCutOff()) {
    return;
  }
  const bool charged = std::exchange(this->retry_charged, false);
  if (may_repeat && (charged || this->MaySendAgain())) {
    this->charged_again = true;
    this->Place();
    return;
  }
  this->EndWithoutSending(ErrorKind::kNoEndpoint, why, kMinRetryAfter);
}

void RelayedRequest::OnReachChanged() {
  const auto keep = this->shared_from_this();
  const ReachState state = this->relay->reach.State(this->service);
  if (this->over || state == ReachState::kSuspected) {
    return;
  }
  if (const auto why = std::exchange(this->awaits_reach, {})) {
    this->SendAgain(*why);
    return;
  }
  if (state != ReachState::kCutOff || !this->attempt) {
    return;
  }
  const bool reading = this->attempt->reading;
  const Instant now = this->relay->clock->Now();
  const auto silent =
      this->relay->reach.SilentFor(now, this->attempt->endpoint.run.id);
  const bool may_repeat = reading || (IsRepeatable(this->route->kind) &&
                                      !this->attempt->forwarding_body);
  if (!may_repeat ||
      (silent && *silent < this->relay->settings.reach.silence)) {
    return;
  }
  this->stall_timer.reset();
  this->attempt->exchange->Cancel();
  this->relay->placement.OnEnded(now, this->attempt->work);
  this->ReleaseReservation();
  this->AfterFailure(reading ? RunResult::kNotRun : RunResult::kMayHaveRun,
                     "no endpoint can be reached");
}

// How the last answer of an endpoint ended: the end of the exchange, whether
// that was within an event, and what is known of the answer.
std::string RelayedRequest::EndText() const {
  const auto& ending = this->last_end.ending;
  if (!ending) {
    return "";
  }
  std::string text(NameOf(ending->end));
  text += ending->within_event ? " within an event" : "";
  return text + ": " + std::string(NameOf(ClassifyAnswer(*ending)));
}

void RelayedRequest::ArmStall() {
  const bool may_repeat =
      IsRepeatable(this->route->kind) || this->attempt->reading;
  if (!may_repeat) {
    this->stall_timer.reset();
    return;
  }
  const RelaySettings& settings = this->relay->settings;
  const Duration limit =
      std::max({settings.min_stall_timeout,
                FromSeconds(ToSeconds(this->route->target_latency) *
                            settings.stall_factor),
                FromSeconds(ToSeconds(this->attempt->expected) *
                            settings.stall_factor)});
  this->stall_timer = Timer::After(limit, [this] { this->OnStall(); });
}

// No answer within the stall timeout. The attempt is cancelled before the next
// one is sent, so that two endpoints don't work on the request for long.
void RelayedRequest::OnStall() {
  const auto keep = this->shared_from_this();
  this->stall_timer.reset();
  // Without another attempt, this one may still answer.
  if (!this->attempt->reading && !this->HasAttemptLeft()) {
    return;
  }
  if (!this->attempt->reading && !this->TakeRetry()) {
    this->ArmStall();
    return;
  }
  this->retry_charged = !this->attempt->reading;
  this->attempt->exchange->Cancel();
  if (this->attempt->reading) {
    this->OnPrefillEnd(HttpEnd::kTimedOut);
    return;
  }
  const Instant now = this->relay->clock->Now();
  this->relay->placement.OnEnded(now, this->attempt->work);
  this->RecordFailure(*this->attempt, HttpEnd::kTimedOut);
  this->AfterFailure(RunResult::kMayHaveRun, "no answer in time");
}

void RelayedRequest::OnDeadline() {
  const auto keep = this->shared_from_this();
  const bool sent = this->attempt && !this->attempt->reading;
  const std::string_view why =
      this->Left() > Duration{} ? this->StopReasonText() : "out of time";
  this->EndAttempt();
  if (this->StreamBegun()) {
    this->BreakOff(why);
  } else if (sent || this->caller->MayHaveRun()) {
    this->AnswerError(ErrorKind::kTimeout, why);
  } else {
    this->RefuseNotRun(why, kMinRetryAfter);
  }
}

void RelayedRequest::OnCallerDisconnected() {
  const auto keep = this->shared_from_this();
  if (this->over) {
    return;
  }
  this->EndAttempt();
  this->Complete("caller gone");
}

void RelayedRequest::Abandon() {
  const auto keep = this->shared_from_this();
  this->over = true;
  this->queued = false;
  this->tokens_pending = false;
  this->tokens_held = false;
  this->EndAttempt();
  this->caller->OnGone({});
  this->caller->OnDrained({});
}

void RelayedRequest::LogUnfinished() const {
  this->relay->Log(
      LogLevel::kWarning, this->request.id,
      "Unfinished at the end of the process.",
      {{"route", this->route == nullptr ? "" : this->route->name},
       {"forwarded_by", this->origin.host.Text()},
       {"endpoint", this->attempt ? this->attempt->endpoint.run.id.Text() : ""},
       {"begun", this->StreamBegun() ? "true" : "false"},
       {"ms", MillisecondsText(this->relay->clock->Now() - this->arrived)},
       {"stopping_ms", this->relay->SinceStopText()}});
}

// Cancels the attempt, at the endpoint too, and frees a prefilled prompt.
void RelayedRequest::EndAttempt() {
  this->stall_timer.reset();
  this->deadline_timer.reset();
  if (this->attempt) {
    this->attempt->exchange->Cancel();
    this->relay->placement.OnEnded(this->relay->clock->Now(),
                                   this->attempt->work);
    this->attempt.reset();
  }
  this->ReleaseHandle();
}

void RelayedRequest::ReleaseReservation() {
  if (const auto endpoint = std::exchange(this->reserved, {})) {
    this->relay->placement.Rates().Refund(this->relay->clock->Now(), *endpoint);
  }
}

// Frees the engine memory of a prefilled prompt that no run will fetch.
void RelayedRequest::ReleaseHandle() {
  if (this->handle.empty()) {
    return;
  }
  const std::string target =
      this->relay->codec->DropHandleTarget(std::exchange(this->handle, {}));
  this->relay->placement.Rates().OnSent(this->relay->clock->Now(),
                                        this->handle_endpoint);
  this->relay->pool.Send(
      {.address = this->handle_address,
       .head = "DELETE " + target + " HTTP/1.1\r\nHost: " +
               this->handle_address.host + "\r\nContent-Length: 0\r\n\r\n"},
      {.on_head = [](const Http1Head&) { return kMaxShortAnswerBytes; },
       .on_bytes = [](std::string_view) {},
       .on_end = [](HttpEnd) {}});
}

void RelayedRequest::AnswerError(ErrorKind kind,
                                 std::string_view why,
                                 std::optional<Duration> retry_after) {
  const int status = AnswerOwnError(*this->caller, *this->relay->metrics, kind,
                                    why, retry_after);
  this->Complete(std::to_string(status) + " " + std::string(why));
}

void RelayedRequest::RefuseNotRun(std::string_view why, Duration retry_after) {
  // With a Retry-After beyond its own deadline the caller could not retry.
  const Duration most =
      FromSeconds(ToSeconds(this->Left()) * kMaxRetryAfterShare);
  this->AnswerError(
      ErrorKind::kNoEndpoint, why,
      std::clamp(retry_after, Duration{}, std::max(most, Duration{})));
}

void RelayedRequest::EndWithoutSending(ErrorKind kind,
                                       std::string_view why,
                                       Duration retry_after) {
  if (this->StreamBegun()) {
    this->BreakOff(why);
  } else if (kind == ErrorKind::kNoEndpoint) {
    this->RefuseNotRun(why, retry_after);
  } else if (kind == ErrorKind::kRateLimited ||
             kind == ErrorKind::kShuttingDown) {
    this->AnswerError(kind, why, retry_after);
  } else {
    this->AnswerError(kind, why);
  }
}

void RelayedRequest::BreakOff(std::string_view why) {
  this->caller->Break();
  this->Complete("broken off: " + std::string(why));
}

void RelayedRequest::Complete(std::string_view outcome) {
  const auto keep = this->shared_from_this();
  if (std::exchange(this->over, true)) {
    return;
  }
  const Duration took = this->relay->clock->Now() - this->arrived;
  const auto proof_age = this->relay->ProofAge();
  this->relay->Log(
      LogLevel::kInfo, this->request.id, "Answered.",
      {{"outcome", std::string(outcome)},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"account", this->account.Text()},
       {"forwarded_by", this->origin.host.Text()},
       {"configuration",
        std::to_string(this->configuration ? this->configuration->version : 0)},
       {"proof_ms", proof_age ? MillisecondsText(*proof_age) : ""},
       {"sends", std::to_string(this->arrivals)},
       {"framing", std::string(this->last_end.framing)},
       {"end", this->EndText()},
       {"stopping_ms", this->relay->SinceStopText()},
       {"waited_ms", this->WaitedText()},
       {"first_ms",
        MillisecondsText(this->first_event.value_or(this->arrived + took) -
                         this->arrived)},
       {"pause_ms", MillisecondsText(this->longest_pause)},
       {"ms", MillisecondsText(took)}});
  this->relay->metrics->Observe("request_seconds", ToSeconds(took),
                                {{"service", this->service.Text()}});
  this->Release();
}

// Returns what the request holds and removes it from the relay.
void RelayedRequest::Release() {
  const auto keep = this->shared_from_this();
  if (std::exchange(this->queued, false)) {
    this->relay->admission.Leave(this->ticket);
  }
  this->ReleaseTokens();
  this->ReleaseReservation();
  if (const auto taken = std::exchange(this->unsent_retry, {})) {
    this->relay->budget.Return(*taken, this->service);
    this->relay->metrics->Add("retries_returned_total", 1,
                              {{"service", this->service.Text()}});
  }
  this->stall_timer.reset();
  this->deadline_timer.reset();
  this->origin_lookup.reset();
  this->relay->requests.erase(keep);
}

}  // namespace hickorystand
