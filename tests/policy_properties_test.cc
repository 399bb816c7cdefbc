// Property tests that run random event sequences against the dispatcher. Its
// own asserts check that no attempt goes to an endpoint known to be leaving,
// that a non-idempotent request is sent once, and that "not run" is true; the
// properties here check what a caller sees.

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy_fixture.h"

namespace hickorystand {
namespace {

constexpr int kSteps = 400;
constexpr int kEndpoints = 5;

// Simulates gateway, endpoints, peers and callers with random events, and
// records which requests are open and how often filings may have run.
class RandomSimulation {
 public:
  explicit RandomSimulation(uint64_t seed)
      : random(seed),
        configuration(FleetBuilder()
                          .WithAccount("a")
                          .WithAccount("b", 3)
                          .WithEndpoints(kEndpoints - 1)
                          .WithEndpoint("cheap", kModel, "z9", true)
                          .WithEndpoint("f1", kFilings)
                          .WithEndpoint("f2", kFilings)
                          .Build()),
        dispatcher(MakeDispatcher(this->configuration)) {}

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->now += 0.001 * static_cast<double>(this->random() % 400);
      this->Step();
    }
    this->Settle();
  }

  // False once an action names a request that is not open, or cancels an
  // attempt that is not running.
  bool consistent = true;
  std::map<RequestId, int64_t> once_sends;  // sends that may have arrived
  std::set<RequestId> open;

 private:
  struct Running {
    RequestId request;
    EndpointId endpoint;
    bool once = false;
    int64_t generated = 0;
  };

  static bool MayHaveArrived(AttemptOutcome outcome) {
    return outcome != AttemptOutcome::kNotSent &&
           outcome != AttemptOutcome::kRefused;
  }

  void Step() {
    switch (this->random() % 8) {
      case 0:
      case 1:
      case 2:
        this->Arrive();
        break;
      case 3:
      case 4:
        this->EndRandomAttempt();
        break;
      case 5:
        this->Progress();
        break;
      case 6:
        this->News();
        break;
      default:
        this->Take(this->dispatcher->OnTick(At(this->now)));
    }
  }

  void Arrive() {
    const auto request_class = static_cast<RequestClass>(this->random() % 4);
    Request request =
        MakeRequest("r" + std::to_string(this->next++), request_class,
                    this->random() % 2 == 0 ? "a" : "b", this->now);
    request.fingerprint = this->random() % 50;
    this->open.insert(request.id);
    this->once[request.id] = request_class == RequestClass::kAtMostOnce;
    this->Take(this->dispatcher->OnArrival(At(this->now), request));
  }

  void End(AttemptId attempt, AttemptOutcome outcome) {
    const Running running = this->running.at(attempt);
    this->running.erase(attempt);
    if (running.once && MayHaveArrived(outcome)) {
      this->once_sends[running.request] += 1;
    }
    this->Take(this->dispatcher->OnResult(
        At(this->now), {.attempt = attempt,
                        .outcome = outcome,
                        .generated_tokens = running.generated}));
  }

  void EndRandomAttempt() {
    if (this->running.empty()) {
      return;
    }
    auto which = this->running.begin();
    std::advance(which, static_cast<std::ptrdiff_t>(this->random() %
                                                    this->running.size()));
    this->End(which->first,
              this->random() % 2 == 0
                  ? AttemptOutcome::kComplete
                  : static_cast<AttemptOutcome>(this->random() % 8));
  }

  void Progress() {
    if (!this->running.empty()) {
      auto& [attempt, one] = *this->running.begin();
      one.generated += 5;
      this->Take(this->dispatcher->OnProgress(At(this->now), attempt, 5));
    }
  }

  void News() {
    const std::string id = "e" + std::to_string(this->random() % 4 + 1);
    LoadReport report =
        MakeReport(id, this->incarnations[id] + 1, ++this->sequence);
    report.leaving = this->random() % 3 == 0;
    if (this->random() % 3 == 0) {
      this->incarnations[id] += 1;
    }
    this->Take(this->dispatcher->OnLoad(At(this->now), report));
    this->Take(this->dispatcher->OnDigest(
        At(this->now),
        {.host = HostId("h2"),
         .incarnation = 1,
         .sequence = static_cast<uint64_t>(this->sequence),
         .served = {{AccountId("a"), this->sequence * 100, 0}},
         .suspicions = {{this->random() % 50, 1}},
         .endpoints = {{EndpointId(id), this->random() % 4,
                        this->random() % 4 == 0, this->random() % 4 == 0}}}));
  }

  void Take(const DispatchList& list) {
    for (const Dispatch& one : list) {
      switch (one.kind) {
        case DispatchKind::kSend:
          this->running[one.attempt] = {one.request, one.endpoint,
                                        this->once.at(one.request), 0};
          this->consistent &= this->open.contains(one.request);
          break;
        case DispatchKind::kClaim:
          this->claims.push_back(one.request);
          break;
        case DispatchKind::kCancel:
          this->consistent &= this->running.erase(one.attempt) == 1;
          break;
        case DispatchKind::kFinish:
        case DispatchKind::kRefuse:
          this->consistent &= this->open.erase(one.request) == 1;
          break;
      }
    }
    while (!this->claims.empty()) {
      const RequestId request = this->claims.back();
      this->claims.pop_back();
      this->Take(this->dispatcher->OnClaim(
          At(this->now), request,
          this->random() % 6 == 0 ? static_cast<ClaimResult>(this->random() % 4)
                                  : ClaimResult::kGranted));
    }
  }

  // Ends all faults; after this every request must have ended.
  void Settle() {
    for (int round = 0; round < 600; ++round) {
      this->now += 0.5;
      for (int i = 1; i < kEndpoints; ++i) {
        const std::string id = "e" + std::to_string(i);
        this->Take(this->dispatcher->OnLoad(
            At(this->now), MakeReport(id, 1000, ++this->sequence)));
      }
      while (!this->running.empty()) {
        this->End(this->running.begin()->first, AttemptOutcome::kComplete);
      }
      this->Take(this->dispatcher->OnTick(At(this->now)));
    }
  }

  std::mt19937_64 random;
  ConfigurationPtr configuration;
  std::unique_ptr<HickorystandDispatcher> dispatcher;
  std::map<AttemptId, Running> running;
  std::map<RequestId, bool> once;
  std::vector<RequestId> claims;
  std::map<std::string, uint64_t> incarnations;
  int64_t sequence = 1;
  int64_t next = 0;
  double now = 0;
};

}  // namespace

TEST_GROUP(PolicyProperties){};

TEST(PolicyProperties, EveryRequestEndsOnceAndFilingsRunAtMostOnce) {
  const bool held = rc::check(
      "every request ends once; filings run at most once", [](uint64_t seed) {
        RandomSimulation world(seed);
        world.Run();
        RC_ASSERT(world.consistent);
        RC_ASSERT(world.open.empty());
        for (const auto& [request, sends] : world.once_sends) {
          RC_ASSERT(sends <= 1);
        }
      });
  CHECK(held);
}

}  // namespace hickorystand
