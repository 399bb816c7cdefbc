// Carries out what the dispatcher decides: asks for claims, runs attempts at
// endpoints, and lets each request's relay answer its caller.
//
// Index
//   UsageRecord       what the driver tells the rest of the host
//   RequestHooks      how it tells and asks
//   IncomingRequest   a request whose key was good
//   RequestDriver     all live requests of this host

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

// What an account is to be billed for one attempt: what its caller was given.
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

// The rest of the host, as the driver sees it. All are called on its task.
struct RequestHooks {
  // Records a claim; `done` may be called at once or later, on this task.
  // Without this hook no non-idempotent request runs.
  std::function<void(const ClaimRequest&, std::function<void(ClaimResult)>)>
      claim;
  // Whether a claimed request may still be sent; asked in the same step that
  // hands its bytes to the socket.
  std::function<bool(const RequestId&)> may_send;
  // A claimed request was sent, whatever comes of it.
  std::function<void(const RequestId&)> claim_used;
  // A claimed request surely didn't run and won't; the claim is given back, so
  // that the caller may send it again.
  std::function<void(const RequestId&)> release_claim;
  std::function<void(const UsageRecord&)> usage;
  // Takes a request's tokens from its account's limit; `done` may be called at
  // once or later, on this task. Without this hook no account is limited.
  std::function<void(const RequestId&,
                     const LimitAsk&,
                     std::function<void(const LimitDecision&)>)>
      take_tokens;
  // The tokens aren't needed any more; `done` may still be called.
  std::function<void(const RequestId&)> cancel_tokens;
  // Tokens of a request that surely hasn't run. The unit is that of the limit
  // under which they were taken.
  std::function<void(const AccountId&, LimitUnit, int64_t cost)>
      give_back_tokens;
};

// A request that is to be dispatched, with all that its attempts need.
struct IncomingRequest {
  Request request;
  std::string key_hash;
  std::string claim_key;  // kOnce only
  HttpCallPtr call;
  std::unique_ptr<Relay> relay;
  std::string method = "POST";
  std::string target;
  HttpHeaders headers;
  std::string content_type;
  std::string body;
  HttpTimeouts timeouts;
};

// How a driver is made.
struct RequestDriverOptions {
  HostId host;
  EndpointClientOptions endpoints;
  size_t remembered_decisions = 8192;
  // For the mutation test only: without it a revoked key's queued requests
  // still run.
  bool check_keys_again = true;
};

// All requests of one host, from their arrival until they are answered.
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

  // Takes a request over.
  void Take(IncomingRequest incoming);

  // News for the dispatcher.
  void OnLoad(const LoadReport& report);
  void OnCache(const CacheEvent& event);
  void OnDigest(const Digest& digest);
  void OnHostGone(const HostId& host);
  void Tick();

  // The process may end at `at`: requests whose answers wouldn't be whole by
  // then are refused from now on, those that wait among them.
  void SetEnd(Instant at) { this->ends_at = at; }

  // Takes nothing new; calls back when nothing is left, at once if need be.
  void StartDrain(std::function<void()> on_drained);

  // Gives every request its final answer now: not run where no byte has left
  // for an endpoint, else an error that says that the answer is lost.
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

  // What a request counts against its account's limit.
  struct TokenCharge {
    LimitUnit unit = LimitUnit::kTokens;
    int64_t cost = 0;
    bool asked = false;  // not decided yet
    bool held = false;
  };

  struct LiveRequest {
    IncomingRequest incoming;
    TokenCharge charge;
    std::map<AttemptId, RunningAttempt> attempts;
    AttemptEnd last_end;
    Instant first_sent{};
    bool permitted = false;  // its key was checked when it started
    bool claimed = false;
    bool may_have_run = false;
    bool abandoned_may_have_run = false;  // an abandoned attempt may have run
    bool prompt_billed = false;
    bool caller_gone = false;
  };

  using Action = void (RequestDriver::*)(const Dispatch&);
  struct ActionRow {
    DispatchKind kind;
    Action action;
  };
  static const ActionRow kActions[];

  // Actions that lead to further actions are carried out one after another.
  void Apply(DispatchList actions);

  void Claim(const Dispatch& action);
  void Send(const Dispatch& action);
  void Cancel(const Dispatch& action);
  void Finish(const Dispatch& action);
  void Refuse(const Dispatch& action);

  void Skip(const Dispatch& action);
  LiveRequest* Find(const RequestId& id);
  bool Permitted(LiveRequest& live);
  bool MayStart(const LiveRequest& live) const;
  void AskForTokens(LiveRequest& live, const AccountLimit& limit);
  void OnTokens(const RequestId& id,
                const LimitAsk& ask,
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
  void OnCallerGone(const RequestId& id);
  void Bind(LiveRequest& live);
  void Throttle(LiveRequest& live, AttemptId attempt);
  void Bill(LiveRequest& live,
            const RunningAttempt& run,
            const AttemptEnd& end);
  void Abandon(LiveRequest& live, AttemptId attempt);
  Error WithLookUp(Error error, const LiveRequest& live) const;
  void DetachAttempts(const LiveRequest& live);
  void SettleClaim(const LiveRequest& live);
  void Forget(const RequestId& id);
  void CheckDrained();
  void EndNow(const RequestId& id);
  static Error ErrorAtEnd(const LiveRequest& live);

  // Whether an attempt under way may have reached its endpoint.
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
  // Attempts of non-idempotent requests that run on after their final answer.
  std::vector<AttemptPtr> detached;
  std::deque<Dispatch> pending;
  bool applying = false;
  bool draining = false;
  AnswerTimes answer_times;  // from the first send to the end of the answer
  std::optional<Instant> ends_at;
  std::function<void()> on_drained;
  // Lets callbacks that come after the driver's end do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
