// The dispatcher plug-in `hickorystand`. Combines the admission queue, the
// router, the retry budget and the tracking of suspected requests. See
// docs/POLICY.md for the reason of each rule.
//
// A request is in exactly one of these states:
//
//   kQueued    in the admission queue, on arrival or again after a failure
//   kClaiming  non-idempotent; its claim is being recorded
//   kRunning   has one attempt in flight, or two while hedged
//   kParked    batch request that waits for the retry budget
//
// Index
//   PolicyOptions            options of the components
//   HickorystandDispatcher

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/admission.h"
#include "decisions/dispatcher.h"
#include "decisions/retry_budget.h"
#include "decisions/router.h"
#include "decisions/suspects.h"

namespace hickorystand {

// Options of the components. The switches exist for benchmarks and mutation
// tests.
struct PolicyOptions {
  AdmissionOptions admission;
  RouterOptions router;
  RetryBudgetOptions retries;
  SuspectsOptions suspects;
  bool hedge_lookups = true;
  bool separate_suspects = true;

  auto operator<=>(const PolicyOptions&) const = default;
};

// See dispatcher.h for the interface.
class HickorystandDispatcher final : public Dispatcher {
 public:
  explicit HickorystandDispatcher(const DispatcherOptions& options,
                                  const PolicyOptions& policy = {});

  void OnConfiguration(Instant now, ConfigurationPtr configuration) override;
  DispatchList OnArrival(Instant now, const Request& request) override;
  DispatchList OnClaim(Instant now,
                       const RequestId& request,
                       ClaimResult result) override;
  DispatchList OnProgress(Instant now,
                          AttemptId attempt,
                          int64_t generated_tokens) override;
  DispatchList OnResult(Instant now, const AttemptResult& result) override;
  DispatchList OnCallerDisconnected(Instant now,
                                    const RequestId& request) override;
  DispatchList OnLoad(Instant now, const LoadReport& report) override;
  void OnCache(Instant now, const CacheEvent& event) override;
  DispatchList OnDigest(Instant now, const Digest& digest) override;
  void OnHostLost(Instant now, const HostId& host) override;
  DispatchList OnTick(Instant now) override;
  void StartDrain() override;
  void FillDigest(Digest& digest) const override;
  int64_t Queued() const override {
    return this->admission.Size() + static_cast<int64_t>(this->parked.size());
  }
  int64_t Running() const override;

  // The components, for tests and status pages.
  const Admission& Queue() const { return this->admission; }
  const Router& Routes() const { return this->router; }

 private:
  enum class State { kQueued, kClaiming, kRunning, kParked };

  struct ActiveRequest {
    Request request;
    State state = State::kQueued;
    std::vector<AttemptId> attempts;
    int64_t tries = 0;
    int64_t delivered = 0;      // generated tokens sent to the caller
    StreamProgress progress;    // where the first of them came from
    bool started = false;       // admission has charged its cost
    double charged = 0;         // the cost that was charged
    bool may_have_run = false;  // some of it may have been sent
    bool granted = false;       // its claim is recorded
    bool hedged = false;
    Instant expires{};      // refused if still queued by then
    double least_work = 0;  // see Router::LeastWork()
    Instant least_work_at{};
    std::set<EndpointId> avoid;
    std::set<ZoneId> avoid_zones;
    AttemptOutcome last = AttemptOutcome::kNotSent;
  };

  struct Attempt {
    RequestId request;
    EndpointId endpoint;
    Route route;
    Instant sent{};
    std::optional<StreamOrigin> origin;  // nullopt: its version isn't known
    int64_t resume_from = 0;
    int64_t generated = 0;
    bool first_token = false;
    bool suspect = false;
    bool crash_counted = false;  // the crash of its endpoint was recorded
  };

  // The error to refuse a new request with, or none if it is admitted.
  std::optional<Error> CheckAdmission(Instant now, const Request& request);

  void Enqueue(Instant now, ActiveRequest& active, double cost, bool requeued);
  // Starts queued requests as long as there is room.
  void StartQueued(Instant now, const ServiceId& service, DispatchList& out);
  bool TryStart(Instant now, const QueuedRequest& head, DispatchList& out);
  void Send(Instant now,
            ActiveRequest& active,
            const Route& route,
            bool hedge,
            DispatchList& out);
  RouteQuery QueryFor(Instant now, ActiveRequest& active);

  void Finish(ActiveRequest& active, std::string reason, DispatchList& out);
  void Refuse(ActiveRequest& active,
              ErrorKind kind,
              std::string message,
              DispatchList& out);
  // Refuses a request after its last attempt failed.
  void RefuseAfterFailure(ActiveRequest& active, DispatchList& out);
  void RemoveRequest(const RequestId& request);
  void HandleFailure(Instant now,
                     ActiveRequest& active,
                     const Attempt& attempt,
                     AttemptOutcome outcome,
                     DispatchList& out);
  void CancelOthers(Instant now,
                    ActiveRequest& active,
                    AttemptId keep,
                    DispatchList& out);
  static void NoteOrigin(ActiveRequest& active, const Attempt& attempt);
  bool HasOriginOf(const ActiveRequest& active) const;
  void EndAttempt(Instant now, AttemptId attempt, AttemptOutcome outcome);
  void RecordCrash(Instant now, Attempt& attempt);
  double UsedCost(const ActiveRequest& active) const;
  void ReconcileCost(ActiveRequest& active, double used);

  void RefuseExpired(Instant now, DispatchList& out);
  void HedgeLookups(Instant now, DispatchList& out);
  bool CanExpire(const ActiveRequest& active) const;
  bool MustStartNow(const ActiveRequest& active) const;
  void RetryParked(Instant now);

  DispatcherOptions options;
  PolicyOptions policy;
  Admission admission;
  Router router;
  RetryBudget retries;
  Suspects suspects;
  int64_t crashes = 0;  // recorded so far
  ConfigurationPtr configuration;
  std::map<RequestId, ActiveRequest> active_requests;
  std::map<AttemptId, Attempt> attempts;
  std::set<std::pair<Instant, RequestId>> expiries;  // of queued requests
  std::set<RequestId> parked;
  std::set<RequestId> lookups;  // running, not hedged
  std::map<HostId, std::pair<uint64_t, uint64_t>> digests;  // last applied
  double lookup_seconds = 0.1;  // smoothed response time of lookups
  AttemptId next_attempt = 1;
  bool draining = false;
};

}  // namespace hickorystand
