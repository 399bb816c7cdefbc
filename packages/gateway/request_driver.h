// Executes the decisions of the dispatcher: requests claims, runs attempts at
// endpoints, and has each request's relay answer the caller.
//
// Index
//   UsageRecord            the billable tokens of one attempt
//   RequestHooks           functions that the rest of the host provides
//   IncomingRequest        an authenticated request
//   RequestDriverOptions   the options of a driver
//   RequestDriver          all live requests of this host

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/answer_times.h"
#include "decisions/claims.h"
#include "decisions/dispatcher.h"
#include "endpoints/endpoint_client.h"
#include "gateway/decision_log.h"
#include "gateway/relay.h"
#include "kernel/metrics.h"
#include "kernel/time.h"

namespace hickorystand {

// What an account is billed for one attempt: the tokens that were delivered to
// its caller.
struct UsageRecord {
  AccountId account;
  ServiceId service;
  RequestId request;
  AttemptId attempt = 0;
  int64_t requests = 0;  // 1 with the request's first record, else 0
  int64_t prompt_tokens = 0;
  int64_t generated_tokens = 0;

  auto operator<=>(const UsageRecord&) const = default;
};

// Functions that the rest of the host provides. All are called on the driver's
// task.
struct RequestHooks {
  // Records a claim. Must call `done` on this task, either before it returns or
  // later. Without this hook all non-idempotent requests are refused.
  std::function<void(const ClaimRequest&, std::function<void(ClaimResult)>)>
      claim;
  // Returns whether a claimed request may still be sent. Called immediately
  // before its bytes are handed to the socket, in the same step.
  std::function<bool(const RequestId&)> may_send;
  // Reports that a claimed request was sent and may have run, regardless of its
  // outcome.
  std::function<void(const RequestId&)> claim_used;
  // Releases the claim of a request that certainly did not run and will not, so
  // that the caller may send it again.
  std::function<void(const RequestId&)> release_claim;
  std::function<void(const UsageRecord&)> usage;
  // Takes a request's tokens from its account's limit. Must call `done` on this
  // task, either before it returns or later, unless the request is cancelled.
  // Without this hook no account is limited.
  std::function<void(const RequestId&,
                     const LimitRequest&,
                     std::function<void(const LimitDecision&)>)>
      take_tokens;
  // Cancels a pending take_tokens; its `done` may still be called.
  std::function<void(const RequestId&)> cancel_tokens;
  // Returns the tokens of a request that certainly has not run. The unit is
  // that of the limit from which they were taken.
  std::function<void(const AccountId&, LimitUnit, int64_t cost)> return_tokens;
};

// An authenticated request to dispatch, with everything its attempts need.
struct IncomingRequest {
  Request request;
  std::string key_hash;
  std::string claim_key;  // RequestClass::kOnce only
  HttpCallPtr call;
  std::unique_ptr<Relay> relay;
  std::string method = "POST";
  std::string target;
  HttpHeaders headers;
  std::string content_type;
  std::string body;
  HttpTimeouts timeouts;
};

struct RequestDriverOptions {
  HostId host;
  EndpointClientOptions endpoints;
  size_t decision_log_capacity = 8192;
  // Whether keys are checked again when a request starts. False only in the
  // mutation test: the queued requests of a revoked key then still run.
  bool recheck_keys = true;
};

// Runs all requests of one host, from their arrival until they are answered.
// Not thread-safe: create, use and destroy it on one task. Failures are
// reported to the caller through the request's relay.
class RequestDriver {
 public:
  RequestDriver(RequestDriverOptions options,
                std::unique_ptr<Dispatcher> dispatcher,
                const Clock& clock,
                Metrics& metrics);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  void SetHooks(RequestHooks hooks) { this->hooks = std::move(hooks); }
  void ApplyConfiguration(ConfigurationPtr next);

  // Starts a request: takes the tokens from its account's limit, then hands it
  // to the dispatcher.
  void Submit(IncomingRequest incoming);

  // Events that are forwarded to the dispatcher.
  void OnLoad(const LoadReport& report);
  void OnCache(const CacheEvent& event);
  void OnDigest(const Digest& digest);
  void OnHostLost(const HostId& host);
  void Tick();

  // Sets the time at which the process may end. From now on requests that are
  // not expected to be answered in full by then are refused, including queued
  // ones.
  void SetProcessEnd(Instant at) { this->ends_at = at; }

  // Refuses new requests. `on_drained` is called when no request is left,
  // before this returns if there is none.
  void StartDrain(std::function<void()> on_drained);

  // Gives every request its final answer now: an error that states that it did
  // not run if no byte of it was sent to an endpoint, otherwise an error that
  // states that the answer is lost.
  void EndAll();

  void FillDigest(Digest& digest) const {
    this->dispatcher->FillDigest(digest);
  }
  const DecisionLog& Decisions() const { return this->decisions; }
  const Configuration& InForce() const { return *this->configuration; }
  EndpointClient& Endpoints() { return this->client; }
  int64_t Live() const { return static_cast<int64_t>(this->live.size()); }
  int64_t Queued() const { return this->dispatcher->Queued(); }
  int64_t Running() const { return this->dispatcher->Running(); }

 private:
  struct RunningAttempt {
    AttemptPtr attempt;
    EndpointId endpoint;
    int64_t generated = 0;
    Instant started{};
  };

  // The tokens that a request takes from its account's limit.
  struct TokenCharge {
    LimitUnit unit = LimitUnit::kTokens;
    int64_t cost = 0;
    bool pending = false;  // take_tokens is pending
    bool held = false;     // granted
  };

  struct LiveRequest {
    IncomingRequest incoming;
    TokenCharge charge;
    std::map<AttemptId, RunningAttempt> attempts;
    AttemptEnd last_end;
    Instant first_sent{};
    bool key_checked = false;  // its key was still valid when it started
    bool claimed = false;
    bool may_have_run = false;
    bool abandoned_may_have_run = false;  // by an abandoned attempt
    bool prompt_billed = false;
    bool caller_gone = false;
  };

  using Action = void (RequestDriver::*)(const Dispatch&);
  struct ActionRow {
    DispatchKind kind;
    Action action;
  };
  static const ActionRow kActions[];

  // Executes actions in order. Actions that result from them are appended to
  // the queue rather than executed recursively.
  void Apply(DispatchList actions);

  void Claim(const Dispatch& action);
  void Send(const Dispatch& action);
  void Cancel(const Dispatch& action);
  void Finish(const Dispatch& action);
  void Refuse(const Dispatch& action);

  void Skip(const Dispatch& action);
  LiveRequest* Find(const RequestId& id);
  bool CheckKeyAgain(LiveRequest& live);
  bool MayStart(const LiveRequest& live) const;
  void RequestTokens(LiveRequest& live, const AccountLimit& limit);
  void OnTokens(const RequestId& id,
                const LimitRequest& ask,
                LimitUnit unit,
                const LimitDecision& decision);
  void Admit(const RequestId& id);
  void SettleTokens(const LiveRequest& live);
  void RefuseUnstarted(const RequestId& id, std::string reason, Error error);
  bool FinishesInTime(const LiveRequest& live) const;
  void RefuseUnfinishable();
  AttemptCall MakeCall(LiveRequest& live,
                       const Dispatch& action,
                       const Endpoint& endpoint) const;
  std::function<bool()> PermissionToSend(const Request& request) const;
  AttemptEvents MakeEvents(const RequestId& id, AttemptId attempt);
  void OnClaimed(const RequestId& id, ClaimResult result);
  void OnChunk(const RequestId& id,
               AttemptId attempt,
               std::string_view data,
               const CompletionChunk& chunk);
  void OnBytes(const RequestId& id, AttemptId attempt, std::string_view bytes);
  void OnEnd(const RequestId& id, AttemptId attempt, const AttemptEnd& end);
  void OnCallerDisconnected(const RequestId& id);
  void AbandonOtherAttempts(LiveRequest& live);
  void Throttle(LiveRequest& live, AttemptId attempt);
  void Bill(LiveRequest& live,
            const RunningAttempt& run,
            const AttemptEnd& end);
  void Abandon(LiveRequest& live, AttemptId attempt);
  Error WithStatusPath(Error error, const LiveRequest& live) const;
  void DetachAttempts(const LiveRequest& live);
  void SettleClaim(const LiveRequest& live);
  void Forget(const RequestId& id);
  void CheckDrained();
  void EndNow(const RequestId& id);
  static Error ErrorAtProcessEnd(const LiveRequest& live);

  // Whether a running attempt may have reached its endpoint.
  static bool AnyMayHaveSent(const LiveRequest& live);

  RequestDriverOptions options;
  std::unique_ptr<Dispatcher> dispatcher;
  const Clock& clock;
  Metrics& metrics;
  EndpointClient client;
  DecisionLog decisions;
  RequestHooks hooks;
  ConfigurationPtr configuration = std::make_shared<Configuration>();
  AccountLimits limits;
  std::map<RequestId, LiveRequest> live;
  // Attempts of non-idempotent requests that continue after the final answer.
  std::vector<AttemptPtr> detached;
  std::deque<Dispatch> pending;
  bool applying = false;
  bool draining = false;
  AnswerTimes answer_times;  // from the first send to the end of the answer
  std::optional<Instant> ends_at;
  std::function<void()> on_drained;
  // Makes callbacks that arrive after the driver's destruction do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
