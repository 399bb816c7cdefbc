// The dispatcher plug-in `round-robin`: sends each request to the next endpoint
// of its service in turn. It gives the same guarantees about requests as
// `hickorystand` (claims, no repeat of a request that may have run, resumption,
// graceful shutdown), but ignores load, prefix caches and fairness. It serves
// as a baseline for benchmarks and as a fallback policy for operators.

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "decisions/dispatcher.h"
#include "decisions/stream_origin.h"
#include "kernel/registry.h"

namespace hickorystand {
namespace {

constexpr int64_t kMaxTries = 3;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

// For each outcome of an attempt: whether the request may be retried on another
// endpoint, and the error returned if it was the last attempt. The `_once`
// columns apply to non-idempotent requests.
struct ResultRow {
  AttemptOutcome outcome;
  bool again_once;
  bool again;
  ErrorKind error_once;
  ErrorKind error;
};

using O = AttemptOutcome;
using K = ErrorKind;

// clang-format off
constexpr ResultRow kResults[] = {
    // outcome          once   else  error of kOnce         error of others
    {O::kNotSent,       true,  true, K::kNoEndpoint,        K::kNoEndpoint},
    {O::kRefused,       true,  true, K::kNoEndpoint,        K::kNoEndpoint},
    {O::kBroken,        false, true, K::kOutcomeUnknown,    K::kBrokenAnswer},
    {O::kCrashed,       false, true, K::kOutcomeUnknown,    K::kEndpointFailed},
    {O::kStalled,        false, true, K::kOutcomeUnknown,    K::kTimeout},
    {O::kWrongAnswer,   false, true, K::kOutcomeUnknown,    K::kEndpointFailed},
};
// clang-format on

class RoundRobinDispatcher final : public Dispatcher {
 public:
  explicit RoundRobinDispatcher(DispatcherOptions options)
      : options(std::move(options)) {}

  void OnConfiguration(Instant now, ConfigurationPtr next) override;
  DispatchList OnArrival(Instant now, const Request& request) override;
  DispatchList OnClaim(Instant now,
                       const RequestId& id,
                       ClaimResult result) override;
  DispatchList OnProgress(Instant now,
                          AttemptId attempt,
                          int64_t generated_tokens) override;
  DispatchList OnResult(Instant now, const AttemptResult& result) override;
  DispatchList OnCallerDisconnected(Instant now, const RequestId& id) override;
  DispatchList OnLoad(Instant now, const LoadReport& report) override;
  void OnCache(Instant, const CacheEvent&) override {}
  DispatchList OnDigest(Instant now, const Digest& digest) override;
  void OnHostLost(Instant, const HostId&) override {}
  DispatchList OnTick(Instant now) override;
  void StartDrain() override { this->draining = true; }
  void FillDigest(Digest& digest) const override;
  int64_t Queued() const override;
  int64_t Running() const override;

 private:
  enum class State { kQueued, kClaiming, kRunning };

  struct ActiveRequest {
    Request request;
    State state = State::kQueued;
    AttemptId attempt = 0;  // of kRunning
    EndpointId endpoint;    // of kRunning
    int64_t tries = 0;
    int64_t delivered = 0;
    StreamProgress progress;
    std::set<EndpointId> tried;
    bool may_have_run = false;
    bool caller_gone = false;
  };

  StreamOrigin OriginOf(const EndpointId& endpoint) const;
  std::optional<EndpointId> Choose(const ActiveRequest& active);
  bool Usable(const ActiveRequest& active,
              const Endpoint& endpoint,
              bool anywhere) const;
  DispatchList TryToSend(ActiveRequest& active);
  DispatchList Refuse(const RequestId& id, ErrorKind kind, std::string reason);
  DispatchList RemoveRequest(const RequestId& id, Dispatch last);
  ActiveRequest* FindAttempt(AttemptId attempt);
  int64_t CountIn(State state) const;

  DispatcherOptions options;
  ConfigurationPtr configuration = std::make_shared<Configuration>();
  std::map<RequestId, ActiveRequest> active_requests;
  std::map<AttemptId, RequestId> attempts;
  std::set<EndpointId> leaving;
  std::map<EndpointId, SoftwareVersion> software;  // as last reported
  std::map<ServiceId, EndpointId> last;            // chosen last
  AttemptId next_attempt = 1;
  bool draining = false;
};

void RoundRobinDispatcher::OnConfiguration(Instant, ConfigurationPtr next) {
  this->configuration = std::move(next);
}

DispatchList RoundRobinDispatcher::OnArrival(Instant, const Request& request) {
  if (this->draining) {
    return {{.request = request.id,
             .reason = "draining",
             .error = Error{K::kShuttingDown, "This host is shutting down.",
                            kRetryAfter}}};
  }
  if (this->Queued() >= this->options.max_queued) {
    return {{.request = request.id,
             .reason = "queue full",
             .error = Error{K::kOverloaded, "Too many requests are waiting.",
                            kRetryAfter}}};
  }
  const auto [entry, inserted] =
      this->active_requests.emplace(request.id, ActiveRequest{request});
  assert(inserted && "request id is already in use");
  if (request.request_class == RequestClass::kAtMostOnce) {
    entry->second.state = State::kClaiming;
    return {{.kind = DispatchKind::kClaim,
             .request = request.id,
             .reason = "non-idempotent"}};
  }
  return this->TryToSend(entry->second);
}

DispatchList RoundRobinDispatcher::OnClaim(Instant,
                                           const RequestId& id,
                                           ClaimResult result) {
  const auto found = this->active_requests.find(id);
  if (found == this->active_requests.end()) {
    return {};
  }
  assert(found->second.state == State::kClaiming &&
         "the request has no claim in progress");
  switch (result) {
    case ClaimResult::kGranted:
      found->second.state = State::kQueued;
      return this->TryToSend(found->second);
    case ClaimResult::kTaken:
      return this->Refuse(id, K::kDuplicate, "claimed before");
    case ClaimResult::kUnavailable:
    case ClaimResult::kUnknown:
      return this->Refuse(id, K::kClaimUnavailable, "no claim");
  }
  return {};
}

DispatchList RoundRobinDispatcher::OnProgress(Instant,
                                              AttemptId attempt,
                                              int64_t generated_tokens) {
  if (ActiveRequest* request = this->FindAttempt(attempt)) {
    request->delivered += generated_tokens;
    if (request->delivered > 0 && !request->progress.Begun()) {
      request->progress =
          StreamProgress::BegunAt(this->OriginOf(request->endpoint));
    }
  }
  return {};
}

DispatchList RoundRobinDispatcher::OnResult(Instant,
                                            const AttemptResult& result) {
  ActiveRequest* request = this->FindAttempt(result.attempt);
  if (request == nullptr) {
    return {};
  }
  const RequestId id = request->request.id;
  const bool once = request->request.request_class == RequestClass::kAtMostOnce;
  this->attempts.erase(result.attempt);
  const auto* row =
      std::ranges::find(kResults, result.outcome, &ResultRow::outcome);
  if (row == std::end(kResults)) {
    return this->RemoveRequest(
        id,
        {.kind = DispatchKind::kFinish, .request = id, .reason = "answered"});
  }
  request->tried.insert(request->endpoint);
  request->may_have_run = !row->again_once;
  if ((once ? row->again_once : row->again) && request->tries < kMaxTries &&
      !request->caller_gone) {
    request->state = State::kQueued;
    return this->TryToSend(*request);
  }
  return this->Refuse(id, once ? row->error_once : row->error,
                      "no further try");
}

DispatchList RoundRobinDispatcher::OnCallerDisconnected(Instant,
                                                        const RequestId& id) {
  const auto found = this->active_requests.find(id);
  if (found == this->active_requests.end()) {
    return {};
  }
  ActiveRequest& request = found->second;
  // A non-idempotent request in flight is not cancelled: that would leave its
  // outcome unknown.
  if (request.state == State::kRunning &&
      request.request.request_class == RequestClass::kAtMostOnce) {
    request.caller_gone = true;
    return {};
  }
  DispatchList actions;
  if (request.state == State::kRunning) {
    actions.push_back({.kind = DispatchKind::kCancel,
                       .request = id,
                       .attempt = request.attempt,
                       .endpoint = request.endpoint,
                       .reason = "caller gone"});
    this->attempts.erase(request.attempt);
  }
  this->active_requests.erase(found);
  return actions;
}

DispatchList RoundRobinDispatcher::OnLoad(Instant, const LoadReport& report) {
  this->software[report.endpoint] = report.software;
  if (report.leaving) {
    this->leaving.insert(report.endpoint);
  } else {
    this->leaving.erase(report.endpoint);
  }
  return {};
}

DispatchList RoundRobinDispatcher::OnDigest(Instant, const Digest& digest) {
  for (const EndpointStatus& state : digest.endpoints) {
    if (state.leaving || state.down) {
      this->leaving.insert(state.endpoint);
    }
  }
  return {};
}

DispatchList RoundRobinDispatcher::OnTick(Instant now) {
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : this->active_requests) {
    if (request.state == State::kQueued) {
      waiting.push_back(id);
    }
  }
  DispatchList actions;
  for (const RequestId& id : waiting) {
    ActiveRequest& request = this->active_requests.at(id);
    const DispatchList more =
        now >= request.request.deadline
            ? this->Refuse(id, K::kDeadlineUnmeetable, "waited too long")
            : this->TryToSend(request);
    actions.insert(actions.end(), more.begin(), more.end());
  }
  return actions;
}

void RoundRobinDispatcher::FillDigest(Digest& digest) const {
  std::map<EndpointId, EndpointOutstanding> outstanding;
  for (const auto& [id, request] : this->active_requests) {
    if (request.state == State::kRunning) {
      EndpointOutstanding& row = outstanding[request.endpoint];
      row.endpoint = request.endpoint;
      row.requests += 1;
      row.prompt_tokens += request.request.prompt_tokens;
    }
  }
  for (const auto& [endpoint, row] : outstanding) {
    digest.outstanding.push_back(row);
  }
}

int64_t RoundRobinDispatcher::Queued() const {
  return this->CountIn(State::kQueued) + this->CountIn(State::kClaiming);
}

int64_t RoundRobinDispatcher::Running() const {
  return this->CountIn(State::kRunning);
}

int64_t RoundRobinDispatcher::CountIn(State state) const {
  return std::ranges::count(
      this->active_requests, state,
      [](const auto& entry) { return entry.second.state; });
}

bool RoundRobinDispatcher::Usable(const ActiveRequest& active,
                                  const Endpoint& endpoint,
                                  bool anywhere) const {
  return endpoint.service == active.request.service &&
         active.progress.MayRunAt(this->OriginOf(endpoint.id)) &&
         (anywhere || endpoint.data_centre == this->options.data_centre) &&
         !this->leaving.contains(endpoint.id) &&
         !active.tried.contains(endpoint.id) &&
         // A spot endpoint can be withdrawn while it runs the request.
         !(endpoint.cheap &&
           active.request.request_class == RequestClass::kAtMostOnce);
}

// An endpoint that has not reported is of the empty version.
StreamOrigin RoundRobinDispatcher::OriginOf(const EndpointId& endpoint) const {
  const auto found = this->software.find(endpoint);
  return {.service = this->configuration->endpoints.at(endpoint).service,
          .software = found == this->software.end() ? SoftwareVersion()
                                                    : found->second};
}

// The next endpoint in turn. Endpoints of other data centres are used only if
// this one has none.
std::optional<EndpointId> RoundRobinDispatcher::Choose(
    const ActiveRequest& active) {
  const EndpointId previous = this->last[active.request.service];
  for (const bool anywhere : {false, true}) {
    std::vector<EndpointId> usable;
    for (const auto& [id, endpoint] : this->configuration->endpoints) {
      if (this->Usable(active, endpoint, anywhere)) {
        usable.push_back(id);
      }
    }
    if (!usable.empty()) {
      const auto next = std::ranges::upper_bound(usable, previous);
      return next == usable.end() ? usable.front() : *next;
    }
  }
  return std::nullopt;
}

DispatchList RoundRobinDispatcher::TryToSend(ActiveRequest& active) {
  assert(active.state == State::kQueued && "only queued requests can be sent");
  assert((active.request.request_class != RequestClass::kAtMostOnce ||
          !active.may_have_run) &&
         "non-idempotent request that may have run is sent again");
  std::optional<EndpointId> choice = this->Choose(active);
  if (!choice && !active.tried.empty()) {
    // All have been tried. One that failed may have recovered.
    active.tried.clear();
    choice = this->Choose(active);
  }
  if (!choice) {
    return {};  // stays queued until its deadline
  }
  this->last[active.request.service] = *choice;
  active.state = State::kRunning;
  active.attempt = this->next_attempt++;
  active.endpoint = *choice;
  active.tries += 1;
  this->attempts[active.attempt] = active.request.id;
  return {
      {.kind = DispatchKind::kSend,
       .request = active.request.id,
       .attempt = active.attempt,
       .endpoint = *choice,
       .resume_from = active.delivered,
       .reason = active.tries > 1 ? "next in turn, retry" : "next in turn"}};
}

DispatchList RoundRobinDispatcher::Refuse(const RequestId& id,
                                          ErrorKind kind,
                                          std::string reason) {
  Error error{kind, "The request could not be served: " + reason + "."};
  if (AnswerFor(kind).retry) {
    error.retry_after = kRetryAfter;
  }
  return this->RemoveRequest(id, {.kind = DispatchKind::kRefuse,
                                  .request = id,
                                  .reason = std::move(reason),
                                  .error = std::move(error)});
}

DispatchList RoundRobinDispatcher::RemoveRequest(const RequestId& id,
                                                 Dispatch last) {
  this->active_requests.erase(id);
  return {std::move(last)};
}

RoundRobinDispatcher::ActiveRequest* RoundRobinDispatcher::FindAttempt(
    AttemptId attempt) {
  const auto found = this->attempts.find(attempt);
  return found == this->attempts.end()
             ? nullptr
             : &this->active_requests.at(found->second);
}

[[maybe_unused]] const bool kRegistered = Registry<Dispatcher>::Add(
    "round-robin",
    [](const DispatcherOptions& options) {
      return std::make_unique<RoundRobinDispatcher>(options);
    });

}  // namespace
}  // namespace hickorystand
