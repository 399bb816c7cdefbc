#include "policy_baselines.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "decisions/configuration_records.h"
#include "decisions/hickorystand_dispatcher.h"
#include "policy_engine.h"

namespace hickorystand {
namespace {

constexpr int64_t kMaxTries = 3;
constexpr Duration kAvoidFailed = std::chrono::seconds(5);

// Base of the simple dispatchers: sends each request immediately to an endpoint
// chosen by Pick(), and on failure to another one, without queue, fair shares
// or deadlines. It keeps the guarantees given to callers: a filing is sent at
// most once, and a draining endpoint receives no new requests.
class PlainDispatcher : public Dispatcher {
 public:
  void OnConfiguration(Instant, ConfigurationPtr next) override {
    this->configuration = std::move(next);
  }

  DispatchList OnArrival(Instant now, const Request& request) override {
    this->live[request.id] = {.request = request};
    if (request.request_class == RequestClass::kAtMostOnce) {
      return {{.kind = DispatchKind::kClaim, .request = request.id}};
    }
    return this->Send(now, request.id);
  }

  DispatchList OnClaim(Instant now,
                       const RequestId& request,
                       ClaimResult result) override {
    if (!this->live.contains(request)) {
      return {};
    }
    return result == ClaimResult::kGranted
               ? this->Send(now, request)
               : this->Refuse(request, ErrorKind::kClaimUnavailable);
  }

  DispatchList OnProgress(Instant, AttemptId attempt, int64_t tokens) override {
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end()) {
      this->live.at(found->second.request).delivered += tokens;
    }
    return {};
  }

  DispatchList OnResult(Instant now, const AttemptResult& result) override {
    const auto found = this->attempts.find(result.attempt);
    if (found == this->attempts.end()) {
      return {};
    }
    const Attempt attempt = found->second;
    this->attempts.erase(found);
    this->outstanding[attempt.endpoint] -= 1;
    Live& one = this->live.at(attempt.request);
    if (result.outcome == AttemptOutcome::kComplete) {
      this->live.erase(attempt.request);
      return {{.kind = DispatchKind::kFinish, .request = attempt.request}};
    }
    this->failed_until[attempt.endpoint] = now + kAvoidFailed;
    const bool not_run = result.outcome == AttemptOutcome::kNotSent ||
                         result.outcome == AttemptOutcome::kRefused;
    if (one.request.request_class == RequestClass::kAtMostOnce && !not_run) {
      return this->Refuse(attempt.request, ErrorKind::kOutcomeUnknown);
    }
    return one.tries < kMaxTries
               ? this->Send(now, attempt.request)
               : this->Refuse(attempt.request, ErrorKind::kEndpointFailed);
  }

  DispatchList OnCallerDisconnected(Instant,
                                    const RequestId& request) override {
    DispatchList out;
    for (auto next = this->attempts.begin(); next != this->attempts.end();) {
      if (next->second.request != request) {
        ++next;
        continue;
      }
      out.push_back({.kind = DispatchKind::kCancel,
                     .request = request,
                     .attempt = next->first});
      this->outstanding[next->second.endpoint] -= 1;
      next = this->attempts.erase(next);
    }
    this->live.erase(request);
    return out;
  }

  DispatchList OnLoad(Instant, const LoadReport& report) override {
    this->reports[report.endpoint] = report;
    return {};
  }

  void OnCache(Instant, const CacheEvent&) override {}
  DispatchList OnDigest(Instant, const Digest&) override { return {}; }
  void OnHostLost(Instant, const HostId&) override {}
  DispatchList OnTick(Instant) override { return {}; }
  void StartDrain() override {}
  void FillDigest(Digest&) const override {}
  int64_t Queued() const override { return 0; }
  int64_t Running() const override {
    return static_cast<int64_t>(this->live.size());
  }

 protected:
  // Returns one of `ids`, which isn't empty.
  virtual EndpointId Pick(const Request& request,
                          const std::vector<EndpointId>& ids) = 0;

  EndpointRole RoleOf(const EndpointId& id) const {
    const auto report = this->reports.find(id);
    return report != this->reports.end()
               ? report->second.role
               : this->configuration->endpoints.at(id).role;
  }

  EndpointId FewestRunning(const std::vector<EndpointId>& ids) {
    return *std::ranges::min_element(ids, {}, [this](const EndpointId& id) {
      return this->outstanding[id];
    });
  }

 private:
  struct Live {
    Request request;
    int64_t tries = 0;
    int64_t delivered = 0;
  };
  struct Attempt {
    RequestId request;
    EndpointId endpoint;
    int64_t resume_from = 0;
  };

  bool Usable(Instant now, const Endpoint& endpoint, const Request& request) {
    const auto report = this->reports.find(endpoint.id);
    const bool leaving =
        report != this->reports.end() && report->second.leaving;
    const bool once = request.request_class == RequestClass::kAtMostOnce;
    return endpoint.service == request.service && !leaving &&
           !(once && endpoint.cheap) && this->failed_until[endpoint.id] <= now;
  }

  DispatchList Send(Instant now, const RequestId& request) {
    Live& one = this->live.at(request);
    std::vector<EndpointId> ids;
    for (const auto& [id, endpoint] : this->configuration->endpoints) {
      if (this->Usable(now, endpoint, one.request)) {
        ids.push_back(id);
      }
    }
    if (ids.empty()) {
      return this->Refuse(request, ErrorKind::kNoEndpoint);
    }
    const EndpointId endpoint = this->Pick(one.request, ids);
    const AttemptId id = this->next_attempt++;
    one.tries += 1;
    this->outstanding[endpoint] += 1;
    this->attempts[id] = {request, endpoint, one.delivered};
    return {{.kind = DispatchKind::kSend,
             .request = request,
             .attempt = id,
             .endpoint = endpoint,
             .resume_from = one.delivered}};
  }

  DispatchList Refuse(const RequestId& request, ErrorKind kind) {
    this->live.erase(request);
    return {{.kind = DispatchKind::kRefuse,
             .request = request,
             .error = Error{kind, "refused", {}}}};
  }

  ConfigurationPtr configuration;
  std::map<RequestId, Live> live;
  std::map<AttemptId, Attempt> attempts;
  std::map<EndpointId, int64_t> outstanding;
  std::map<EndpointId, Instant> failed_until;
  std::map<EndpointId, LoadReport> reports;
  AttemptId next_attempt = 1;
};

class RoundRobin final : public PlainDispatcher {
 protected:
  EndpointId Pick(const Request&, const std::vector<EndpointId>& ids) override {
    return ids[this->next++ % ids.size()];
  }

 private:
  size_t next = 0;
};

class LeastOutstanding final : public PlainDispatcher {
 protected:
  EndpointId Pick(const Request&, const std::vector<EndpointId>& ids) override {
    return this->FewestRunning(ids);
  }
};

// Sends prompt-heavy requests to one half of the endpoints, the others to the
// other half.
class RoleSplitDispatcher final : public PlainDispatcher {
 protected:
  EndpointId Pick(const Request& request,
                  const std::vector<EndpointId>& ids) override {
    const RoleRatesTable rates = MeasuredRates();
    const auto load = [&](EndpointRole role) {
      return static_cast<double>(request.prompt_tokens) /
                 rates.at(role).prefill +
             static_cast<double>(request.output_tokens) / rates.at(role).decode;
    };
    const EndpointRole wanted =
        load(EndpointRole::kPrefill) < load(EndpointRole::kDecode)
            ? EndpointRole::kPrefill
            : EndpointRole::kDecode;
    std::vector<EndpointId> fitting;
    std::ranges::copy_if(
        ids, std::back_inserter(fitting),
        [&](const EndpointId& id) { return this->RoleOf(id) == wanted; });
    return this->FewestRunning(fitting.empty() ? ids : fitting);
  }
};

template <typename Kind>
std::unique_ptr<Dispatcher> MakePlain(const DispatcherOptions&) {
  return std::make_unique<Kind>();
}

std::unique_ptr<Dispatcher> MakeProduct(const DispatcherOptions& options) {
  return std::make_unique<HickorystandDispatcher>(options);
}

// The product's router behind a first-come, first-served queue.
std::unique_ptr<Dispatcher> MakeFifo(const DispatcherOptions& options) {
  PolicyOptions policy;
  policy.admission.fair = false;
  policy.admission.refuse_unmeetable = false;
  policy.admission.age_batch = false;
  return std::make_unique<HickorystandDispatcher>(options, policy);
}

// The product with one rule switched off.
template <auto Switch>
std::unique_ptr<Dispatcher> MakeWithout(const DispatcherOptions& options) {
  PolicyOptions policy;
  Switch(policy);
  return std::make_unique<HickorystandDispatcher>(options, policy);
}

constexpr std::array kStrategies = {
    Strategy{"hickorystand", RolePolicy::kPlanner, true, &MakeProduct},
    Strategy{"round-robin", RolePolicy::kMixed, false, &MakePlain<RoundRobin>},
    Strategy{"least-outstanding", RolePolicy::kMixed, false,
             &MakePlain<LeastOutstanding>},
    Strategy{"static-split", RolePolicy::kSplit, false,
             &MakePlain<RoleSplitDispatcher>},
    Strategy{"threshold", RolePolicy::kThreshold, false,
             &MakePlain<RoleSplitDispatcher>},
    Strategy{"fifo", RolePolicy::kMixed, false, &MakeFifo},
};

constexpr std::array kAblations = {
    Strategy{"no-roles", RolePolicy::kMixed, true, &MakeProduct},
    Strategy{"no-scaling", RolePolicy::kPlanner, false, &MakeProduct},
    Strategy{"split-roles", RolePolicy::kSplit, false, &MakeProduct},
    Strategy{"no-refusal", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.admission.refuse_unmeetable = false;
             }>},
    Strategy{"no-fairness", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.admission.fair = false;
             }>},
    Strategy{"no-prefix", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.router.use_prefix_cache = false;
             }>},
    Strategy{"no-digests", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.router.use_peer_digests = false;
             }>},
    Strategy{"no-fit", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.router.max_fit_ratio = 1e9;
             }>},
    Strategy{"no-equals", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.router.choose_among_equals = false;
             }>},
    Strategy{"no-ejection", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.router.eject_outliers = false;
             }>},
    Strategy{"no-suspects", RolePolicy::kPlanner, true,
             &MakeWithout<[](PolicyOptions& policy) {
               policy.separate_suspects = false;
             }>},
};

// Utilisation of the endpoints of one role, and the least loaded of them.
struct Half {
  double running = 0;
  double capacity = 0;
  int64_t count = 0;
  const EndpointState* least_loaded = nullptr;

  double Occupancy() const {
    return this->capacity > 0 ? this->running / this->capacity : 0;
  }
};

}  // namespace

std::span<const Strategy> AllStrategies() {
  return kStrategies;
}

std::span<const Strategy> AllAblations() {
  return kAblations;
}

std::vector<PlacementProposal> ThresholdProposals(
    const std::vector<EndpointState>& endpoints) {
  constexpr double kBusy = 0.8;
  constexpr double kIdle = 0.5;
  constexpr int64_t kFewest = 2;
  std::map<EndpointRole, Half> halves;
  for (const EndpointState& state : endpoints) {
    if (state.changing) {
      return {};  // one role change at a time
    }
    if (!state.up) {
      continue;
    }
    Half& half = halves[state.role];
    half.running += static_cast<double>(state.running);
    half.capacity += static_cast<double>(ProfileOf(state.role).capacity);
    half.count += 1;
    if (half.least_loaded == nullptr ||
        state.running < half.least_loaded->running) {
      half.least_loaded = &state;
    }
  }
  const auto wish = [&](EndpointRole from, EndpointRole to) {
    const Half& giver = halves[from];
    return halves[to].Occupancy() > kBusy && giver.Occupancy() < kIdle &&
           giver.count > kFewest;
  };
  using enum EndpointRole;
  for (const auto& [from, to] :
       {std::pair(kPrefill, kDecode), std::pair(kDecode, kPrefill)}) {
    if (wish(from, to)) {
      return {{.endpoint = halves[from].least_loaded->endpoint.id,
               .kind = "set_role",
               .argument = NameOfRole(to),
               .reason = "one half is busy, the other idle"}};
    }
  }
  return {};
}

}  // namespace hickorystand
