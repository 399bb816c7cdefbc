// Tests of the release of a lease: which host may act after it, and from when
// on.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "decisions/duty_tenure.h"
#include "decisions/lease.h"
#include "protocol_simulation.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLength = seconds(3);
const DataCentreId kGroup("fleet");

LeaseOptions OptionsOf(const std::string& host, uint64_t incarnation = 1) {
  return {.data_centre = kGroup,
          .host = HostId(host),
          .incarnation = incarnation,
          .length = kLength,
          .margin = milliseconds(600),
          .renew_every = milliseconds(750),
          .poll_every = milliseconds(1500),
          .call_timeout = milliseconds(1600)};
}

Instant At(double seconds) {
  return Instant(FromSeconds(1000 + seconds));
}

// A lease and the store, stepped by the test. Transactions can be held back or
// lose their replies.
struct LeaseFixture {
  LeaseFixture(const std::string& host, ModelStore& store)
      : store(store), lease(OptionsOf(host)) {}

  void Tick(double at) {
    std::vector<LeaseAction> actions;
    this->lease.OnTick(At(at), actions);
    this->Run(at, actions);
  }

  void Release(double at, Duration wait = {}) {
    std::vector<LeaseAction> actions;
    this->lease.Release(At(at), wait, actions);
    this->Run(at, actions);
  }

  void Run(double at, const std::vector<LeaseAction>& actions) {
    for (const LeaseAction& action : actions) {
      std::vector<LeaseAction> next;
      if (const auto* run = std::get_if<RunTransaction>(&action)) {
        this->RunOne(at, *run, next);
      } else if (const auto* grant = std::get_if<GrantLease>(&action)) {
        this->lease.OnLeaseGranted(
            At(at), grant->tag, this->store.Grant(At(at), grant->length), next);
      } else if (const auto* renew = std::get_if<RenewLease>(&action)) {
        this->lease.OnLeaseRenewed(
            At(at), renew->tag, this->store.Renew(At(at), renew->lease), next);
      } else if (const auto* revoke = std::get_if<RevokeLease>(&action)) {
        this->store.Revoke(At(at), revoke->lease);
      }
      this->Run(at, next);
    }
  }

  void RunOne(double at,
              const RunTransaction& run,
              std::vector<LeaseAction>& next) {
    const bool writes = !run.transaction.conditions.empty();
    if (writes && this->hold_back) {
      this->held_back.push_back(run);
      return;
    }
    if (writes) {
      this->written.push_back(run.transaction);
    }
    StoreReply reply = this->store.Transact(At(at), run.transaction);
    if (writes && this->lose_replies && reply.outcome == StoreOutcome::kThen) {
      reply = {.outcome = StoreOutcome::kUnknown};
    }
    this->lease.OnStoreReply(At(at), run.tag, reply, next);
  }

  // Applies a held-back write to the store and passes the reply to the lease.
  StoreOutcome DeliverHeldBack(double at) {
    const RunTransaction run = this->held_back.back();
    this->held_back.pop_back();
    const StoreReply reply = this->store.Transact(At(at), run.transaction);
    std::vector<LeaseAction> next;
    this->lease.OnStoreReply(At(at), run.tag, reply, next);
    this->Run(at, next);
    return reply.outcome;
  }

  ModelStore& store;
  Lease lease;
  bool hold_back = false;
  bool lose_replies = false;
  std::vector<RunTransaction> held_back;
  std::vector<StoreTransaction> written;
};

}  // namespace

TEST_GROUP(LeaseRelease) {
  ModelStore store;
  LeaseFixture first{"a", store};
  LeaseFixture second{"b", store};
  LeaseFixture third{"c", store};

  bool HasRelease() const {
    return this->store.Records().contains(ReleaseKey(kGroup));
  }
};

// Guards against waiting a full lease length after an orderly stop.
TEST(LeaseRelease, PassesTheWaitToTheNextHolder) {
  first.Tick(0);
  CHECK(first.lease.MayAct(At(0.1)));
  CHECK(!first.lease.Released());
  first.Release(0.5, milliseconds(1250));
  CHECK(!first.lease.MayAct(At(0.5)));
  second.Tick(0.6);
  CHECK(second.lease.MayAct(At(0.6)));
  CHECK(second.lease.Released() == (LeaseRelease{.host = HostId("a"),
                                                 .incarnation = 1,
                                                 .wait = milliseconds(1250)}));
  CHECK(!HasRelease());
}

// Guards against a retired host that acquires the lease again.
TEST(LeaseRelease, AHostThatReleasedDoesNotContendAgain) {
  first.Tick(0);
  first.Release(0.5);
  for (double at = 1; at < 20; at += 0.5) {
    first.Tick(at);
    CHECK(!first.lease.Held());
  }
}

// Guards against a release that remains in effect after the following tenure.
TEST(LeaseRelease, CountsForOneTenureOnly) {
  first.Tick(0);
  first.Release(0.5);
  second.Tick(0.6);
  CHECK(second.lease.Released().has_value());
  third.Tick(5);  // the second host was killed and its lease has expired
  CHECK(third.lease.Held());
  CHECK(!third.lease.Released());
}

// Guards against a release that is read long after it was written, when an
// earlier holder that runs an older version may have acted in between.
TEST(LeaseRelease, EndsWithTheLeaseOfItsTenure) {
  first.Tick(0);
  first.Release(0.5);
  CHECK(HasRelease());
  second.Tick(4);
  CHECK(second.lease.Held());
  CHECK(!second.lease.Released());
}

// The holder freezes before its release is sent, and another host acquires the
// lease. The late write must not be applied.
TEST(LeaseRelease, ALateWriteDoesNotTouchTheNextTenure) {
  first.Tick(0);
  first.hold_back = true;
  first.Release(0.5);
  CHECK(!first.lease.MayAct(At(0.5)));
  second.Tick(1);
  CHECK(!second.lease.Held());
  second.Tick(4);
  CHECK(second.lease.Held());
  CHECK(!second.lease.Released());
  CHECK(first.DeliverHeldBack(4.1) == StoreOutcome::kOtherwise);
  CHECK(!HasRelease());
  second.Tick(5);
  CHECK(second.lease.MayAct(At(5)));
  third.Tick(9);
  CHECK(!third.lease.Released());
}

// As above, but the write arrives when no host holds the lease.
TEST(LeaseRelease, ALateWriteWithoutItsRecordIsNotApplied) {
  first.Tick(0);
  first.hold_back = true;
  first.Release(0.5);
  store.Revoke(At(3), 1);
  CHECK(first.DeliverHeldBack(3.1) == StoreOutcome::kOtherwise);
  CHECK(!HasRelease());
}

// Guards against a release that is reported as failed and takes effect later.
TEST(LeaseRelease, WithoutAReplyTheNextHolderWaitsOrKnowsTheRelease) {
  first.Tick(0);
  first.lose_replies = true;
  first.Release(0.5);
  second.Tick(0.6);
  CHECK(second.lease.Held());
  CHECK(!second.lease.Released());
}

// Guards against losing a release together with the reply to the transaction
// that acquires the lease.
TEST(LeaseRelease, ReadingTheRecordBackKeepsTheRelease) {
  first.Tick(0);
  first.Release(0.5);
  second.lose_replies = true;
  second.Tick(0.6);
  CHECK(second.lease.MayAct(At(0.6)));
  CHECK(second.lease.Released().has_value());
}

// Guards against repeated acquire transactions that arrive after their tenure.
TEST(LeaseRelease, RepeatedTakeOversAreNotApplied) {
  first.Tick(0);
  first.Release(0.5);
  second.Tick(0.6);
  second.Release(0.8);
  for (const StoreTransaction& copy : second.written) {
    CHECK(store.Transact(At(0.9), copy).outcome != StoreOutcome::kThen);
  }
  third.Tick(1);
  CHECK(third.lease.Released() ==
        (LeaseRelease{.host = HostId("b"), .incarnation = 1}));
}

// Guards against a host that never acquires the lease because the release
// expires during its acquire transaction.
TEST(LeaseRelease, TakesOverWhenTheReleaseExpiresMeanwhile) {
  first.Tick(0);
  first.Release(0.5);
  second.hold_back = true;
  second.Tick(0.6);
  second.DeliverHeldBack(0.7);  // answered with the release record
  CHECK(second.DeliverHeldBack(3.2) == StoreOutcome::kOtherwise);
  CHECK(!second.lease.Held());
  second.hold_back = false;
  second.Tick(6);
  CHECK(second.lease.Held());
  CHECK(!second.lease.Released());
}

TEST_GROUP(DutyTenure) {
  DutyTenure tenure{kLength};
};

// Guards against a tenure that ends before its own wait is over.
TEST(DutyTenure, PassesOnTheRestOfItsWait) {
  tenure.OnLeaseAcquired(At(0), kLength);
  CHECK(!tenure.MayAct(At(2.9)));
  CHECK(tenure.MayAct(At(3)));
  CHECK(tenure.SuccessorWait(At(1)) == seconds(2));
  CHECK(tenure.SuccessorWait(At(4)) == Duration{});
}

// Guards against calls that arrive after the next holder has begun to act.
TEST(DutyTenure, SuccessorsWaitForUnansweredCalls) {
  tenure.OnLeaseAcquired(At(0), {});
  tenure.OnCallEnded(At(0.1), tenure.OnCallStarted(At(0)), CallEnd::kAnswered);
  const uint64_t lost = tenure.OnCallStarted(At(5));
  CHECK(!tenure.Idle());
  CHECK(tenure.SuccessorWait(At(6)) == kLength);
  tenure.OnCallEnded(At(7), lost, CallEnd::kUnanswered);
  CHECK(tenure.Idle());
  CHECK(tenure.SuccessorWait(At(8)) == seconds(2));
  tenure.OnCallStarted(At(20));
  tenure.OnCallsCancelled(At(21));
  CHECK(tenure.SuccessorWait(At(21)) == kLength);
  CHECK(tenure.SuccessorWait(At(24)) == Duration{});
}

// Guards against two hosts that act alternately within a lease's length.
TEST(DutyTenure, SuccessorsOfAShortTenureWaitForTheRest) {
  tenure.OnLeaseAcquired(At(0), {});
  CHECK(tenure.SuccessorWait(At(1)) == Duration{});
  tenure.OnCallEnded(At(1.1), tenure.OnCallStarted(At(1)), CallEnd::kAnswered);
  CHECK(tenure.SuccessorWait(At(2)) == seconds(2));
  tenure.OnLeaseAcquired(At(10), {});
  CHECK(tenure.SuccessorWait(At(10)) == Duration{});
}

namespace {

// Safeguards to disable, which shows that the search detects the faults they
// prevent.
struct Mutation {
  bool release_with_calls_under_way = false;
  bool unconditional_release = false;
  bool ignore_short_tenures = false;
};

// Simulates hosts that acquire and release a lease in virtual time, the network
// between them and the store, and a platform that logs the arriving calls.
// Messages arrive within a lease's length of being sent, or never.
class ReleaseSimulation {
 public:
  ReleaseSimulation(uint64_t seed, Mutation mutation)
      : random(seed), mutation(mutation) {
    for (int number = 0; number < 4; ++number) {
      this->hosts.push_back(std::make_unique<Host>());
      this->hosts.back()->id = "h" + std::to_string(number);
      this->hosts.back()->speed =
          1 + ToSeconds(this->Between(milliseconds(-10), milliseconds(10)));
      this->Start(*this->hosts.back());
    }
  }

  void Run() {
    while (!this->events.empty() && this->now < At(120)) {
      const TimedCall event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
      this->CheckAtMostOneActs();
    }
  }

  std::vector<std::string> violations;
  int64_t arrivals = 0;
  int64_t immediate = 0;  // tenures that began with a release

 private:
  struct Host {
    std::string id;
    double speed = 1;
    uint64_t run = 0;
    std::unique_ptr<Lease> lease;
    std::unique_ptr<DutyTenure> tenure;
    bool held = false;
    bool stopping = false;
    Instant release_by{};
    Instant frozen_until{};
    Instant stop_at{};
    bool kill = false;
    Instant next_call{};
  };

  void After(Duration delay, std::function<void()> run) {
    this->events.push({.at = this->now + delay,
                       .number = ++this->last_event,
                       .run = std::move(run)});
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(this->random);
  }
  Duration Between(Duration least, Duration most) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        least.count(), most.count())(this->random));
  }
  Duration NetworkDelay() {
    return this->Chance(0.05)
               ? this->Between(milliseconds(100), milliseconds(5000))
               : this->Between(milliseconds(1), milliseconds(40));
  }
  Instant ClockOf(const Host& host) const {
    return Instant(std::chrono::duration_cast<Duration>(
        this->now.time_since_epoch() * host.speed));
  }

  void Start(Host& host) {
    ++host.run;
    host.lease = std::make_unique<Lease>(OptionsOf(host.id, host.run));
    host.tenure = std::make_unique<DutyTenure>(kLength);
    host.held = host.stopping = false;
    host.stop_at = this->now + this->Between(milliseconds(500), seconds(12));
    host.kill = this->Chance(0.2);
    this->Tick(host, host.run);
  }

  // Runs `event` once the host isn't frozen, but never in a later process of
  // the host.
  void Deliver(Host& host, uint64_t run, std::function<void()> event) {
    if (host.run != run) {
      return;
    }
    if (this->now < host.frozen_until) {
      this->After(host.frozen_until - this->now,
                  [this, &host, run, event = std::move(event)] {
                    this->Deliver(host, run, event);
                  });
      return;
    }
    event();
    this->UpdateHolding(host);
  }

  void Tick(Host& host, uint64_t run) {
    this->Deliver(host, run, [this, &host, run] {
      if (this->now >= host.stop_at && host.kill) {
        this->Restart(host);
        return;
      }
      this->TickRunning(host);
      if (host.run == run) {
        this->After(milliseconds(100),
                    [this, &host, run] { this->Tick(host, run); });
      }
    });
  }

  void TickRunning(Host& host) {
    const Instant clock = this->ClockOf(host);
    this->RunLeaseEvent(host,
                        [&](auto& out) { host.lease->OnTick(clock, out); });
    if (this->now >= host.stop_at && !host.stopping) {
      host.stopping = true;
      host.release_by = clock + milliseconds(1200);
    }
    if (this->MayAct(host) && !host.stopping && this->now >= host.next_call) {
      host.next_call = this->now + this->Between({}, milliseconds(500));
      this->Call(host);
    }
    if (host.stopping) {
      this->ReleaseWhenIdle(host);
    }
    if (this->Chance(0.003)) {
      host.frozen_until =
          this->now + this->Between(milliseconds(100), seconds(6));
    }
  }

  void ReleaseWhenIdle(Host& host) {
    const Instant clock = this->ClockOf(host);
    const bool early = this->mutation.release_with_calls_under_way;
    if (host.lease->Held() && !host.tenure->Idle() && !early &&
        clock < host.release_by) {
      return;
    }
    const bool ignore_wait = this->mutation.ignore_short_tenures;
    const Duration wait =
        early || ignore_wait ? Duration{} : host.tenure->SuccessorWait(clock);
    this->RunLeaseEvent(host, [&](auto& out) {
      if (host.lease->Held()) {
        host.lease->Release(clock, wait, out);
      } else {
        host.lease->Retire(out);
      }
    });
    // The process ends later, and a new one starts.
    host.stop_at = At(1e6);
    host.stopping = false;
    this->After(this->Between(milliseconds(50), seconds(3)),
                [this, &host, run = host.run] {
                  if (host.run == run) {
                    this->Restart(host);
                  }
                });
  }

  void Restart(Host& host) {
    ++host.run;
    host.lease.reset();
    host.tenure.reset();
    this->After(this->Between(milliseconds(50), seconds(4)),
                [this, &host] { this->Start(host); });
  }

  bool MayAct(const Host& host) const {
    const Instant clock = this->ClockOf(host);
    return host.lease && host.held && host.lease->MayAct(clock) &&
           host.tenure->MayAct(clock);
  }

  void UpdateHolding(Host& host) {
    if (!host.lease || host.lease->Held() == host.held) {
      return;
    }
    host.held = host.lease->Held();
    const Instant clock = this->ClockOf(host);
    if (host.held) {
      const auto& released = host.lease->Released();
      this->immediate += released && released->wait < kLength ? 1 : 0;
      host.tenure->OnLeaseAcquired(clock, released ? released->wait : kLength);
    } else {
      host.tenure->OnCallsCancelled(clock);
    }
  }

  // Sends a call to the platform. The call and its response may be late or
  // lost.
  void Call(Host& host) {
    const uint64_t run = host.run;
    const int64_t fencing = host.lease->Fencing();
    const uint64_t call = host.tenure->OnCallStarted(this->ClockOf(host));
    const auto end = [this, &host, run, call](CallEnd how) {
      this->Deliver(host, run, [this, &host, call, how] {
        host.tenure->OnCallEnded(this->ClockOf(host), call, how);
      });
    };
    this->After(seconds(2), [end] { end(CallEnd::kUnanswered); });
    if (this->Chance(0.03)) {
      return;
    }
    const bool late = this->Chance(0.1);
    const Duration travel =
        late ? this->Between(milliseconds(100), milliseconds(2900))
             : this->Between(milliseconds(1), milliseconds(60));
    const bool lost = this->Chance(0.05);
    this->After(travel, [this, &host, fencing, lost, end] {
      this->Arrive(host.id, fencing);
      if (!lost) {
        this->After(this->Between(milliseconds(1), milliseconds(60)),
                    [end] { end(CallEnd::kAnswered); });
      }
    });
  }

  void Arrive(const std::string& host, int64_t fencing) {
    ++this->arrivals;
    if (fencing < this->highest) {
      this->violations.push_back("a call of an earlier holder arrived");
    }
    this->highest = std::max(this->highest, fencing);
    if (!this->last_caller.empty() && host != this->last_caller) {
      this->until[this->last_caller] = this->last_arrival;
      const auto before = this->until.find(host);
      if (before != this->until.end() &&
          this->now - before->second < kLength - milliseconds(100)) {
        this->violations.push_back("two hosts acted alternately");
      }
    }
    this->last_caller = host;
    this->last_arrival = this->now;
  }

  void CheckAtMostOneActs() {
    const auto acting = std::ranges::count_if(
        this->hosts, [this](const auto& host) { return this->MayAct(*host); });
    if (acting > 1) {
      this->violations.push_back("two hosts may act at the same time");
    }
  }

  void RunLeaseEvent(
      Host& host,
      const std::function<void(std::vector<LeaseAction>&)>& event) {
    std::vector<LeaseAction> actions;
    event(actions);
    this->UpdateHolding(host);
    for (const LeaseAction& action : actions) {
      std::visit([&](const auto& each) { this->Send(host, each); }, action);
    }
  }

  // Sends a message to the store, late, twice or never, and returns its reply.
  template <typename Reply>
  void SendToStore(
      Host& host,
      const std::function<Reply()>& apply,
      const std::function<void(const Reply&, std::vector<LeaseAction>&)>&
          reply) {
    if (this->Chance(0.02)) {
      return;
    }
    if (this->Chance(0.05)) {
      this->After(this->NetworkDelay() + this->Between({}, seconds(4)),
                  [apply] { apply(); });
    }
    this->After(
        this->NetworkDelay(), [this, &host, run = host.run, apply, reply] {
          const Reply answer = apply();
          if (this->Chance(0.03)) {
            return;
          }
          this->After(this->NetworkDelay(), [this, &host, run, answer, reply] {
            this->Deliver(host, run, [this, &host, answer, reply] {
              this->RunLeaseEvent(host, [&](auto& out) { reply(answer, out); });
            });
          });
        });
  }

  void Send(Host& host, const RunTransaction& run) {
    StoreTransaction transaction = run.transaction;
    const bool releases =
        !transaction.then.empty() &&
        transaction.then.front().kind == StoreOperation::Kind::kDelete;
    if (releases && this->mutation.unconditional_release) {
      transaction.conditions.clear();
      transaction.then.back().lease = 0;
    }
    const bool unknown = this->Chance(0.03);
    this->SendToStore<StoreReply>(
        host,
        [this, transaction] {
          return this->store.Transact(this->now, transaction);
        },
        [this, &host, tag = run.tag, unknown](const StoreReply& reply,
                                              auto& out) {
          host.lease->OnStoreReply(this->ClockOf(host), tag,
                                   unknown ? StoreReply{} : reply, out);
        });
  }
  void Send(Host& host, const GrantLease& grant) {
    this->SendToStore<Result<int64_t>>(
        host,
        [this, grant] { return this->store.Grant(this->now, grant.length); },
        [this, &host, tag = grant.tag](const Result<int64_t>& lease,
                                       auto& out) {
          host.lease->OnLeaseGranted(this->ClockOf(host), tag, lease, out);
        });
  }
  void Send(Host& host, const RenewLease& renew) {
    this->SendToStore<Result<Duration>>(
        host,
        [this, renew] { return this->store.Renew(this->now, renew.lease); },
        [this, &host, tag = renew.tag](const Result<Duration>& left,
                                       auto& out) {
          host.lease->OnLeaseRenewed(this->ClockOf(host), tag, left, out);
        });
  }
  void Send(Host& host, const RevokeLease& revoke) {
    this->SendToStore<int>(
        host,
        [this, revoke] {
          this->store.Revoke(this->now, revoke.lease);
          return 0;
        },
        [](int, auto&) {});
  }

  std::mt19937_64 random;
  Mutation mutation;
  Instant now = At(0);
  std::priority_queue<TimedCall> events;
  uint64_t last_event = 0;
  ModelStore store;
  std::vector<std::unique_ptr<Host>> hosts;
  int64_t highest = 0;
  std::string last_caller;
  Instant last_arrival{};
  std::map<std::string, Instant> until;  // last call before another host's
};

struct SearchResult {
  int64_t violations = 0;
  int64_t arrivals = 0;
  int64_t immediate = 0;
  std::string first;
};

SearchResult Search(uint64_t seeds, const Mutation& mutation) {
  SearchResult found;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    ReleaseSimulation world(seed, mutation);
    world.Run();
    if (found.first.empty() && !world.violations.empty()) {
      found.first =
          "seed " + std::to_string(seed) + ": " + world.violations.front();
    }
    found.violations += std::ssize(world.violations);
    found.arrivals += world.arrivals;
    found.immediate += world.immediate;
  }
  return found;
}

}  // namespace

TEST_GROUP(LeaseReleaseSearch){};

// Guards against two hosts that act at the same time, calls that arrive after
// the next holder's, and hosts that act alternately, under stops, kills,
// freezes and messages that are late, lost or repeated.
TEST(LeaseReleaseSearch, OneHostActsAtATime) {
  const SearchResult found = Search(400, {});
  STRCMP_EQUAL("", found.first.c_str());
  CHECK(found.arrivals > 10000);
  CHECK(found.immediate > 500);
}

// The search must find each fault that the safeguards of a release prevent.
TEST(LeaseReleaseSearch, FindsCallsUnderWayAtTheRelease) {
  CHECK(Search(100, {.release_with_calls_under_way = true}).violations > 0);
}

TEST(LeaseReleaseSearch, FindsAnUnconditionalRelease) {
  CHECK(Search(100, {.unconditional_release = true}).violations > 0);
}

TEST(LeaseReleaseSearch, FindsAlternatingHosts) {
  CHECK(Search(100, {.ignore_short_tenures = true}).violations > 0);
}

}  // namespace hickorystand
