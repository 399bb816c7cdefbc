#include "decisions/hickorystand_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <ranges>

#include "kernel/registry.h"

namespace hickorystand {
namespace {

constexpr int64_t kMaxTries = 4;
constexpr int64_t kMaxBatchTries = 12;
constexpr size_t kHeadsPerAccount = 4;
constexpr size_t kHeadsTried = 16;
constexpr Duration kLeastWorkMaxAge = std::chrono::seconds(1);
constexpr Duration kResumeTimeout = std::chrono::seconds(10);
constexpr double kLookupGain = 0.05;
constexpr double kHedgeDelayFactor = 3;  // times the smoothed response time
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(30);
constexpr Duration kExpiryHorizon = std::chrono::seconds(1);

bool SurelyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused;
}

// The prefixes of a prompt whose lengths are powers of two, in blocks, stand
// for the parts that it shares with others. The whole prompt is its own.
std::vector<uint64_t> PartsOf(const Request& request) {
  std::vector<uint64_t> parts;
  for (size_t length = 1; length < request.prefix_hashes.size(); length *= 2) {
    parts.push_back(request.prefix_hashes[length - 1]);
  }
  return parts;
}

RequestTraits TraitsOf(const Request& request) {
  const uint64_t account = std::hash<std::string>()(request.account.Text());
  return {.fingerprint = request.fingerprint,
          .account = account,
          .parts = LimitParts(PartsOf(request), account)};
}

PolicyOptions WithIdentity(PolicyOptions policy,
                           const DispatcherOptions& options) {
  policy.router.data_centre = options.data_centre;
  policy.router.seed = options.seed;
  policy.admission.seed = options.seed + 1;
  return policy;
}

ErrorKind KindOf(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kStalled ? ErrorKind::kTimeout
                                             : ErrorKind::kEndpointFailed;
}

}  // namespace

HickorystandDispatcher::HickorystandDispatcher(const DispatcherOptions& options,
                                               const PolicyOptions& policy)
    : options(options),
      policy(WithIdentity(policy, options)),
      admission(this->policy.admission),
      router(this->policy.router),
      retries(policy.retries),
      suspects(policy.suspects),
      configuration(std::make_shared<Configuration>()) {}

void HickorystandDispatcher::OnConfiguration(Instant,
                                             ConfigurationPtr configuration) {
  assert(configuration != nullptr && "configuration must not be null");
  this->configuration = std::move(configuration);
  this->admission.OnConfiguration(*this->configuration);
  this->router.OnConfiguration(*this->configuration);
}

// --- Arrival ---------------------------------------------------------------

std::optional<Error> HickorystandDispatcher::CheckAdmission(
    Instant now,
    const Request& request) {
  const auto retry_after = [&] {
    return this->admission.RetryAfter(request.service);
  };
  if (this->draining) {
    return Error{ErrorKind::kShuttingDown, "this host is leaving",
                 retry_after()};
  }
  if (!this->configuration->services.contains(request.service)) {
    return Error{ErrorKind::kUnknownModel, "no such service", {}};
  }
  // A repeated non-idempotent request is refused by its claim instead: this
  // error states that the request has not run, which would be wrong.
  if (request.request_class != RequestClass::kAtMostOnce &&
      this->suspects.IsBlocked(now, TraitsOf(request))) {
    return Error{ErrorKind::kSuspectRequest,
                 "this request crashed the endpoints that ran it",
                 {}};
  }
  if (this->admission.Size() >= this->options.max_queued) {
    return Error{ErrorKind::kOverloaded, "the queue is full", retry_after()};
  }
  if (request.request_class == RequestClass::kBatch) {
    return {};
  }
  if (!this->router.HasEndpoint(request.service)) {
    return Error{ErrorKind::kNoEndpoint, "no endpoint serves this now",
                 retry_after()};
  }
  if (!this->policy.admission.refuse_unmeetable) {
    return {};
  }
  const double cost =
      static_cast<double>(request.prompt_tokens) +
      this->router.DecodeWeight() * static_cast<double>(request.output_tokens);
  const double first_token_seconds =
      this->router.BestFirstTokenSeconds(now, request).value_or(0);
  const double queue_seconds =
      this->admission.ExpectedWaitSeconds(request, cost);
  if (!this->admission.CanMeetDeadline(now, request,
                                       queue_seconds + first_token_seconds)) {
    return Error{ErrorKind::kDeadlineUnmeetable,
                 "the answer would come after its deadline", retry_after()};
  }
  return {};
}

DispatchList HickorystandDispatcher::OnArrival(Instant now,
                                               const Request& request) {
  assert(!this->active_requests.contains(request.id) &&
         "request id is already in use on this host");
  if (std::optional<Error> error = this->CheckAdmission(now, request)) {
    return {Dispatch{.kind = DispatchKind::kRefuse,
                     .request = request.id,
                     .reason = "refused on arrival",
                     .error = std::move(error)}};
  }
  ActiveRequest& active = this->active_requests[request.id];
  active.request = request;
  active.charged =
      static_cast<double>(request.prompt_tokens) +
      this->router.DecodeWeight() * static_cast<double>(request.output_tokens);
  active.expires = request.deadline;
  this->Enqueue(now, active, active.charged, false);
  DispatchList out;
  // If others are queued before it, it waits for the next tick.
  if (this->admission.Size() == 1) {
    this->StartQueued(now, request.service, out);
  }
  return out;
}

void HickorystandDispatcher::Enqueue(Instant now,
                                     ActiveRequest& active,
                                     double cost,
                                     bool requeued) {
  active.state = State::kQueued;
  this->admission.Enqueue(now, active.request, cost, requeued);
  if (this->CanExpire(active)) {
    this->expiries.emplace(active.expires, active.request.id);
  }
}

// Batch requests have no time limit in the queue.
bool HickorystandDispatcher::CanExpire(const ActiveRequest& active) const {
  return active.request.request_class != RequestClass::kBatch;
}

// Whether the request must restart at once, even on a full endpoint: its claim
// is already recorded, or its caller has received part of the answer.
bool HickorystandDispatcher::MustStartNow(const ActiveRequest& active) const {
  return active.granted || active.delivered > 0;
}

// --- Starting queued requests -----------------------------------------------

void HickorystandDispatcher::StartQueued(Instant now,
                                         const ServiceId& service,
                                         DispatchList& out) {
  for (bool started = true; started;) {
    const std::vector<QueuedRequest> heads =
        this->admission.Heads(now, service, kHeadsPerAccount);
    started = std::ranges::any_of(heads | std::views::take(kHeadsTried),
                                  [&](const QueuedRequest& head) {
                                    return this->TryStart(now, head, out);
                                  });
  }
}

RouteQuery HickorystandDispatcher::QueryFor(Instant now,
                                            ActiveRequest& active) {
  if (active.least_work == 0 || now - active.least_work_at > kLeastWorkMaxAge) {
    active.least_work = this->router.LeastWork(now, active.request);
    active.least_work_at = now;
  }
  const bool suspect =
      this->policy.separate_suspects &&
      this->suspects.IsSuspected(now, active.request.fingerprint);
  return {.request = &active.request,
          .suspect = suspect,
          .ignore_room = this->MustStartNow(active),
          .least_work = active.least_work,
          .avoid = active.avoid,
          .avoid_zones = active.avoid_zones,
          .progress = active.progress};
}

bool HickorystandDispatcher::TryStart(Instant now,
                                      const QueuedRequest& head,
                                      DispatchList& out) {
  ActiveRequest& active = this->active_requests.at(head.request);
  if (!this->MustStartNow(active) &&
      !this->router.HasRoomFor(now, head.service)) {
    return false;
  }
  const std::optional<Route> route =
      this->router.Choose(now, this->QueryFor(now, active));
  if (!route) {
    return false;
  }
  this->expiries.erase({active.expires, head.request});
  this->admission.Start(now, head.request);
  active.started = true;
  const bool once = active.request.request_class == RequestClass::kAtMostOnce;
  if (once && !active.granted) {
    active.state = State::kClaiming;
    out.push_back({.kind = DispatchKind::kClaim,
                   .request = head.request,
                   .reason = "claim before the only send"});
    return true;
  }
  this->Send(now, active, *route, false, out);
  return true;
}

void HickorystandDispatcher::Send(Instant now,
                                  ActiveRequest& active,
                                  const Route& route,
                                  bool hedge,
                                  DispatchList& out) {
  if (active.request.request_class == RequestClass::kAtMostOnce) {
    // Sending it again after any byte may have been sent could run it twice.
    assert(active.granted && "non-idempotent request sent without a claim");
    assert(!active.may_have_run && active.attempts.empty() &&
           "non-idempotent request sent a second time");
  }
  const AttemptId id = this->next_attempt++;
  const bool suspect =
      this->suspects.IsSuspected(now, active.request.fingerprint);
  this->router.OnSent(route.endpoint, active.request, route, suspect);
  this->attempts.emplace(
      id, Attempt{.request = active.request.id,
                  .endpoint = route.endpoint,
                  .route = route,
                  .sent = now,
                  .origin = this->router.OriginOf(route.endpoint),
                  .resume_from = active.delivered,
                  .suspect = suspect});
  active.state = State::kRunning;
  active.attempts.push_back(id);
  active.tries += 1;
  if (active.request.request_class == RequestClass::kLookup && !hedge) {
    this->lookups.insert(active.request.id);
  }
  out.push_back(
      {.kind = DispatchKind::kSend,
       .request = active.request.id,
       .attempt = id,
       .endpoint = route.endpoint,
       .resume_from = active.delivered,
       .hedge = hedge,
       .runners_up = route.runners_up,
       .reason = hedge ? "hedge, the first attempt is slow" : route.reason});
}

DispatchList HickorystandDispatcher::OnClaim(Instant now,
                                             const RequestId& request,
                                             ClaimResult result) {
  const auto found = this->active_requests.find(request);
  if (found == this->active_requests.end() ||
      found->second.state != State::kClaiming) {
    return {};
  }
  DispatchList out;
  ActiveRequest& active = found->second;
  if (result == ClaimResult::kTaken) {
    active.may_have_run = true;  // another copy of it
    this->Refuse(active, ErrorKind::kDuplicate, "this request was sent before",
                 out);
    return out;
  }
  if (result != ClaimResult::kGranted) {
    this->Refuse(active, ErrorKind::kClaimUnavailable,
                 "the claim can't be recorded now", out);
    return out;
  }
  active.granted = true;
  if (const auto route =
          this->router.Choose(now, this->QueryFor(now, active))) {
    this->Send(now, active, *route, false, out);
    return out;
  }
  this->admission.OnEnded(active.request.account);
  this->Enqueue(now, active, 0, true);
  return out;
}

// --- Running ----------------------------------------------------------------

DispatchList HickorystandDispatcher::OnProgress(Instant now,
                                                AttemptId attempt,
                                                int64_t generated_tokens) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return {};
  }
  Attempt& running = found->second;
  ActiveRequest& active = this->active_requests.at(running.request);
  active.may_have_run = true;
  running.generated += generated_tokens;
  active.delivered =
      std::max(active.delivered, running.resume_from + running.generated);
  NoteOrigin(active, running);
  DispatchList out;
  if (!running.first_token) {
    running.first_token = true;
    this->router.OnFirstToken(
        now, running.endpoint, running.route.missed_tokens,
        running.route.seconds, ToSeconds(now - running.sent));
    this->lookups.erase(running.request);
    this->CancelOthers(now, active, attempt, out);
  }
  return out;
}

// Records where the answer began, once tokens of it were delivered.
void HickorystandDispatcher::NoteOrigin(ActiveRequest& active,
                                        const Attempt& attempt) {
  if (active.delivered > 0 && !active.progress.Begun()) {
    active.progress = attempt.origin ? StreamProgress::BegunAt(*attempt.origin)
                                     : StreamProgress::BegunAtUnknownOrigin();
  }
}

void HickorystandDispatcher::EndAttempt(Instant now,
                                        AttemptId attempt,
                                        AttemptOutcome outcome) {
  const auto found = this->attempts.find(attempt);
  assert(found != this->attempts.end() && "attempt has already ended");
  const Attempt& ended = found->second;
  this->router.OnEnded(now, ended.endpoint, outcome,
                       ended.first_token ? 0 : ended.route.missed_tokens,
                       ended.suspect, ended.route.probe);
  ActiveRequest& active = this->active_requests.at(ended.request);
  std::erase(active.attempts, attempt);
  this->attempts.erase(found);
}

void HickorystandDispatcher::CancelOthers(Instant now,
                                          ActiveRequest& active,
                                          AttemptId keep,
                                          DispatchList& out) {
  const std::vector<AttemptId> all = active.attempts;
  for (const AttemptId other : all) {
    if (other != keep) {
      out.push_back({.kind = DispatchKind::kCancel,
                     .request = active.request.id,
                     .attempt = other,
                     .reason = "another attempt answered"});
      this->EndAttempt(now, other, AttemptOutcome::kCancelled);
    }
  }
}

// Records one crash for all attempts that this host has on the endpoint, since
// their results arrive one by one.
void HickorystandDispatcher::RecordCrash(Instant now, Attempt& attempt) {
  if (attempt.crash_counted) {
    return;
  }
  std::vector<LostRun> runs;
  for (auto& [id, other] : this->attempts) {
    if (other.endpoint == attempt.endpoint && !other.crash_counted) {
      other.crash_counted = true;
      runs.push_back(
          {.request = TraitsOf(this->active_requests.at(other.request).request),
           .sent = other.sent,
           .answering = other.first_token});
    }
  }
  const EndpointView* view = this->router.Find(attempt.endpoint);
  this->suspects.OnCrash(
      now,
      {.endpoint = {.id = attempt.endpoint, .started = ++this->crashes},
       .zone = view->endpoint.zone},
      runs);
}

double HickorystandDispatcher::UsedCost(const ActiveRequest& active) const {
  return active.may_have_run
             ? static_cast<double>(active.request.prompt_tokens) +
                   this->router.DecodeWeight() *
                       static_cast<double>(active.delivered)
             : 0;
}

// Replaces the cost estimated on arrival by the cost actually used.
void HickorystandDispatcher::ReconcileCost(ActiveRequest& active, double used) {
  if (active.started) {
    this->admission.AdjustCost(active.request.account, used - active.charged);
    active.charged = used;
  }
}

DispatchList HickorystandDispatcher::OnResult(Instant now,
                                              const AttemptResult& result) {
  const auto found = this->attempts.find(result.attempt);
  if (found == this->attempts.end()) {
    return {};
  }
  if (result.outcome == AttemptOutcome::kCrashed) {
    this->RecordCrash(now, found->second);
  }
  const Attempt attempt = found->second;
  ActiveRequest& active = this->active_requests.at(attempt.request);
  const ServiceId service = active.request.service;
  active.delivered =
      std::max(active.delivered, attempt.resume_from + result.generated_tokens);
  active.may_have_run = active.may_have_run || !SurelyNotRun(result.outcome);
  NoteOrigin(active, attempt);
  this->EndAttempt(now, result.attempt, result.outcome);
  DispatchList out;
  switch (result.outcome) {
    case AttemptOutcome::kComplete:
      this->retries.OnSuccess();
      this->suspects.OnBegun(now, TraitsOf(active.request), attempt.sent);
      this->suspects.OnAnswered(now, TraitsOf(active.request), attempt.sent);
      if (active.request.request_class == RequestClass::kLookup) {
        this->lookup_seconds += kLookupGain * (ToSeconds(now - attempt.sent) -
                                               this->lookup_seconds);
      }
      [[fallthrough]];
    case AttemptOutcome::kRejected:
      this->CancelOthers(now, active, result.attempt, out);
      this->ReconcileCost(
          active,
          this->UsedCost(active) - static_cast<double>(result.cached_tokens));
      this->Finish(active, "answered", out);
      break;
    case AttemptOutcome::kCancelled:
      this->CancelOthers(now, active, result.attempt, out);
      this->Finish(active, "cancelled", out);
      break;
    default:
      if (active.attempts.empty()) {
        this->HandleFailure(now, active, attempt, result.outcome, out);
        this->StartQueued(now, service, out);
      }
  }
  return out;
}

// Whether an endpoint can continue the answer at the software version that
// began it.
bool HickorystandDispatcher::HasOriginOf(const ActiveRequest& active) const {
  return !active.progress.OriginUnknown() &&
         this->router.HasOrigin(active.progress.Origin());
}

void HickorystandDispatcher::HandleFailure(Instant now,
                                           ActiveRequest& active,
                                           const Attempt& attempt,
                                           AttemptOutcome outcome,
                                           DispatchList& out) {
  active.last = outcome;
  this->lookups.erase(active.request.id);
  const RequestClass request_class = active.request.request_class;
  if (request_class == RequestClass::kAtMostOnce && active.may_have_run) {
    this->Refuse(active, ErrorKind::kOutcomeUnknown,
                 "the request may have run; look up its status", out);
    return;
  }
  const auto service =
      this->configuration->services.find(active.request.service);
  const bool resumable = service != this->configuration->services.end() &&
                         service->second.kind == ServiceKind::kLanguage;
  const bool too_late = active.delivered == 0 &&
                        now >= active.request.deadline &&
                        request_class != RequestClass::kBatch;
  const bool batch = request_class == RequestClass::kBatch;
  if (active.tries >= (batch ? kMaxBatchTries : kMaxTries) || too_late ||
      (active.delivered > 0 && !(resumable && this->HasOriginOf(active))) ||
      this->suspects.IsBlocked(now, TraitsOf(active.request))) {
    this->RefuseAfterFailure(active, out);
    return;
  }
  // If every endpoint is ejected, the request is refused at once with a
  // Retry-After. Not so if part of the answer was delivered, since the caller
  // can't obtain the rest by a retry, or if the endpoint only refused the
  // request, since it will have room shortly.
  const bool no_alternative =
      active.delivered == 0 && !batch && outcome != AttemptOutcome::kRefused &&
      !this->router.HasAlternative(now, active.request, {});
  const bool has_budget = !no_alternative && this->retries.Take(now);
  if (!has_budget && !batch) {
    this->RefuseAfterFailure(active, out);
    return;
  }
  active.avoid.insert(attempt.endpoint);
  if (const EndpointView* view = this->router.Find(attempt.endpoint);
      view != nullptr && outcome == AttemptOutcome::kCrashed) {
    active.avoid_zones.insert(view->endpoint.zone);
  }
  if (active.delivered > 0) {
    active.expires = now + kResumeTimeout;
  }
  this->admission.OnEnded(active.request.account);
  if (has_budget) {
    this->Enqueue(now, active, 0, true);
    return;
  }
  // A batch request must complete, so it waits until the retry budget allows
  // another attempt.
  active.state = State::kParked;
  this->parked.insert(active.request.id);
}

void HickorystandDispatcher::RetryParked(Instant now) {
  while (!this->parked.empty() && this->retries.Take(now)) {
    const RequestId request = *this->parked.begin();
    this->parked.erase(this->parked.begin());
    this->Enqueue(now, this->active_requests.at(request), 0, true);
  }
}

// --- Completion -------------------------------------------------------------

void HickorystandDispatcher::RemoveRequest(const RequestId& request) {
  ActiveRequest& active = this->active_requests.at(request);
  assert(active.attempts.empty() &&
         "request removed while it has attempts in flight");
  if (active.state == State::kQueued) {
    this->expiries.erase({active.expires, request});
    this->admission.Remove(request);
  } else if (active.state != State::kParked) {
    this->admission.OnEnded(active.request.account);
  }
  this->parked.erase(request);
  this->lookups.erase(request);
  this->active_requests.erase(request);
}

void HickorystandDispatcher::Finish(ActiveRequest& active,
                                    std::string reason,
                                    DispatchList& out) {
  const RequestId request = active.request.id;
  this->RemoveRequest(request);
  out.push_back({.kind = DispatchKind::kFinish,
                 .request = request,
                 .reason = std::move(reason)});
}

void HickorystandDispatcher::Refuse(ActiveRequest& active,
                                    ErrorKind kind,
                                    std::string message,
                                    DispatchList& out) {
  // Callers retry requests that are reported as not run.
  assert(!(AnswerFor(kind).not_run && active.may_have_run) &&
         "request that may have run is reported as not run");
  std::optional<Duration> retry_after;
  if (AnswerFor(kind).retry) {
    retry_after = this->admission.RetryAfter(active.request.service);
  }
  this->ReconcileCost(active, this->UsedCost(active));
  const RequestId request = active.request.id;
  this->RemoveRequest(request);
  out.push_back({.kind = DispatchKind::kRefuse,
                 .request = request,
                 .reason = "refused after admission",
                 .error = Error{kind, std::move(message), retry_after}});
}

void HickorystandDispatcher::RefuseAfterFailure(ActiveRequest& active,
                                                DispatchList& out) {
  if (!active.may_have_run) {
    this->Refuse(active, ErrorKind::kNoEndpoint, "no endpoint took the request",
                 out);
  } else if (active.delivered > 0) {
    this->Refuse(active, ErrorKind::kBrokenAnswer,
                 "the answer broke and can't be resumed", out);
  } else {
    this->Refuse(active, KindOf(active.last),
                 "the endpoints that ran the request failed", out);
  }
}

DispatchList HickorystandDispatcher::OnCallerDisconnected(
    Instant now,
    const RequestId& request) {
  const auto found = this->active_requests.find(request);
  if (found == this->active_requests.end()) {
    return {};
  }
  ActiveRequest& active = found->second;
  // A non-idempotent request in flight is not cancelled: that would leave its
  // outcome unknown, and the caller may look up its status later.
  const bool once = active.request.request_class == RequestClass::kAtMostOnce;
  if (once && !active.attempts.empty()) {
    return {};
  }
  DispatchList out;
  this->CancelOthers(now, active, 0, out);
  this->ReconcileCost(active, this->UsedCost(active));
  this->RemoveRequest(request);
  return out;
}

// --- Reports, digests and ticks ---------------------------------------------

DispatchList HickorystandDispatcher::OnLoad(Instant now,
                                            const LoadReport& report) {
  this->router.OnLoad(now, report);
  return {};
}

void HickorystandDispatcher::OnCache(Instant, const CacheEvent& event) {
  this->router.OnCache(event);
}

DispatchList HickorystandDispatcher::OnDigest(Instant now,
                                              const Digest& digest) {
  auto& last = this->digests[digest.host];
  const std::pair position(digest.incarnation, digest.sequence);
  if (digest.host == this->options.host || position <= last) {
    return {};
  }
  last = position;
  this->router.OnDigest(now, digest);
  this->admission.OnDigest(digest);
  this->suspects.OnPeer(now, digest.host, digest.suspicions);
  return {};
}

void HickorystandDispatcher::OnHostLost(Instant, const HostId& host) {
  this->router.OnHostLost(host);
  this->admission.OnHostLost(host);
}

void HickorystandDispatcher::RefuseExpired(Instant now, DispatchList& out) {
  for (auto next = this->expiries.begin();
       next != this->expiries.end() && next->first <= now + kExpiryHorizon;) {
    ActiveRequest& active = this->active_requests.at(next->second);
    ++next;  // before Refuse() erases the entry
    const bool fresh = active.delivered == 0;
    const double first_token_seconds =
        fresh && this->policy.admission.refuse_unmeetable
            ? this->router.BestFirstTokenSeconds(now, active.request)
                  .value_or(0)
            : 0;
    if (now + FromSeconds(first_token_seconds) < active.expires) {
      continue;
    }
    if (active.may_have_run) {
      this->RefuseAfterFailure(active, out);
    } else {
      this->Refuse(active, ErrorKind::kDeadlineUnmeetable,
                   "no endpoint had room in time", out);
    }
  }
}

void HickorystandDispatcher::HedgeLookups(Instant now, DispatchList& out) {
  if (!this->policy.hedge_lookups) {
    return;
  }
  const Duration hedge_delay = std::max(
      kMinHedgeDelay, FromSeconds(this->lookup_seconds * kHedgeDelayFactor));
  const std::vector<RequestId> running(this->lookups.begin(),
                                       this->lookups.end());
  for (const RequestId& request : running) {
    ActiveRequest& active = this->active_requests.at(request);
    const Attempt& first = this->attempts.at(active.attempts.front());
    if (active.hedged || now - first.sent < hedge_delay) {
      continue;
    }
    RouteQuery query = this->QueryFor(now, active);
    query.avoid.insert(first.endpoint);
    const std::optional<Route> route = this->router.Choose(now, query);
    if (route && !query.suspect && this->retries.Take(now)) {
      active.hedged = true;
      this->lookups.erase(request);
      this->Send(now, active, *route, true, out);
    }
  }
}

DispatchList HickorystandDispatcher::OnTick(Instant now) {
  DispatchList out;
  this->RefuseExpired(now, out);
  this->HedgeLookups(now, out);
  this->RetryParked(now);
  for (const ServiceId& service : this->admission.Services()) {
    this->StartQueued(now, service, out);
  }
  return out;
}

void HickorystandDispatcher::StartDrain() {
  this->draining = true;
}

void HickorystandDispatcher::FillDigest(Digest& digest) const {
  digest.host = this->options.host;
  digest.data_centre = this->options.data_centre;
  digest.leaving = this->draining;
  this->router.FillDigest(digest);
  this->admission.FillDigest(digest);
  digest.suspicions = this->suspects.Own();
}

int64_t HickorystandDispatcher::Running() const {
  return static_cast<int64_t>(this->active_requests.size()) - this->Queued();
}

// --- Registration -----------------------------------------------------------

namespace {

[[maybe_unused]] const bool kRegistered = Registry<Dispatcher>::Add(
    "hickorystand",
    [](const DispatcherOptions& options) -> std::unique_ptr<Dispatcher> {
      return std::make_unique<HickorystandDispatcher>(options);
    });

}  // namespace
}  // namespace hickorystand
