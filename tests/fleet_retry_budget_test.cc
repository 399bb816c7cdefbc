// Tests of the retry budget and of the hosts' parts of it, alone and in
// simulated fleets whose hosts retry as much as they may.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decisions/fleet_retry_budget.h"
#include "decisions/fleet_share.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("s");
constexpr Duration kWindow = seconds(10);
constexpr Duration kSettle = seconds(10);
constexpr Duration kLease = seconds(10);

Instant At(double time) {
  return Instant(FromSeconds(time));
}

const ShareTerm kWhole{.part = 1, .until = At(1e6)};

using Times = std::vector<Instant>;

int64_t CountWithin(const Times& sorted, Instant after, Instant until) {
  return std::ranges::upper_bound(sorted, until) -
         std::ranges::upper_bound(sorted, after);
}

// The most retries in a window beyond what the rule allows: the ratio times the
// requests of that window, the one before it or the one half a window before
// it, and the slack.
double MostBeyondRule(Times requests,
                      Times retries,
                      const FleetRetryBudgetOptions& rule) {
  std::ranges::sort(requests);
  std::ranges::sort(retries);
  double most = -rule.slack;
  for (const Instant until : retries) {
    int64_t counted = 0;
    for (const Duration shift : {Duration{}, kWindow / 2, Duration(kWindow)}) {
      counted = std::max(counted, CountWithin(requests, until - shift - kWindow,
                                              until - shift));
    }
    most = std::max(
        most,
        static_cast<double>(CountWithin(retries, until - kWindow, until)) -
            rule.retry_ratio * static_cast<double>(counted) - rule.slack);
  }
  return most;
}

// Takes retries until one is refused.
void TakeAll(FleetRetryBudget& budget, Instant now, Times& retries) {
  while (budget.Take(now, kService).granted) {
    retries.push_back(now);
  }
}

}  // namespace

TEST_GROUP(FleetRetryBudget){};

// All endpoints fail all requests. In any window, retries must stay within a
// fifth of the window's requests plus a fixed slack.
TEST(FleetRetryBudget, BoundsRepeatsInEveryWindow) {
  FleetRetryBudget budget({.window = kWindow, .retry_ratio = 0.2, .slack = 6});
  budget.SetShare(At(0), kWhole);
  Times retries;
  for (int i = 0; i < 600; ++i) {
    const Instant now{milliseconds(100 * i)};
    budget.OnRequest(now, now, kService);
    if (budget.Take(now, kService).granted) {
      retries.push_back(now);
    }
  }
  for (const Instant from : retries) {
    const auto within = std::ranges::count_if(retries, [from](Instant time) {
      return time >= from && time < from + kWindow;
    });
    CHECK(within <= 23);
  }
  CHECK(retries.size() > 100);
}

// Eight hosts retry as much as they may, and are killed and restarted several
// times within a window. A process must not spend its host's part again.
TEST(FleetRetryBudget, RestartsDoNotAddToTheSlack) {
  constexpr int kHosts = 8;
  const FleetRetryBudgetOptions rule{
      .window = kWindow, .retry_ratio = 0, .slack = 56};
  for (int restarts = 0; restarts < 6; ++restarts) {
    Times retries;
    for (int host = 0; host < kHosts; ++host) {
      auto budget = std::make_unique<FleetRetryBudget>(rule);
      budget->SetShare(At(0), {.part = 1.0 / kHosts, .until = At(1e6)});
      int restarted = 0;
      for (int i = 0; i < 400; ++i) {
        const double now = 0.1 * i;
        const double next = 20 + 1.5 * (restarted + 1);
        if (restarted < restarts && now >= next) {
          ++restarted;
          budget = std::make_unique<FleetRetryBudget>(rule);
          budget->SetShare(At(now), {.part = 1.0 / kHosts, .until = At(1e6)});
        }
        TakeAll(*budget, At(now), retries);
      }
    }
    CHECK(MostBeyondRule({}, retries, rule) <= 0);
    CHECK(retries.size() > kHosts);
  }
}

// One host's requests came at the end of a window, another's at the beginning
// of the next. Their retries together must not use both bursts.
TEST(FleetRetryBudget, RequestsOfDifferentWindowsDoNotAddUp) {
  const FleetRetryBudgetOptions rule{
      .window = kWindow, .retry_ratio = 0.2, .slack = 0};
  for (double apart = 0; apart < 20; apart += 0.5) {
    for (double spent = 0; spent < 12; spent += 0.5) {
      Times requests;
      Times retries;
      std::vector<FleetRetryBudget> hosts(2, FleetRetryBudget(rule));
      for (int i = 0; i < 100; ++i) {
        for (const double at : {0.0, apart}) {
          requests.push_back(At(20 + at));
          hosts[at > 0 ? 1 : 0].OnRequest(At(20 + at), At(20 + at), kService);
        }
      }
      TakeAll(hosts[0], At(20 + spent), retries);
      TakeAll(hosts[1], At(20 + std::max(apart, spent)), retries);
      CHECK(MostBeyondRule(requests, retries, rule) <= 0);
    }
  }
}

// A host that has just started holds no part of the slack yet. Its own requests
// must allow retries.
TEST(FleetRetryBudget, SpendsNoSlackWithoutAShare) {
  FleetRetryBudget budget({.retry_ratio = 0.2, .slack = 50});
  CHECK(!budget.Take(At(1), kService).granted);
  for (int i = 0; i < 10; ++i) {
    budget.OnRequest(At(1), At(1), kService);
  }
  CHECK(budget.Take(At(1), kService).granted);
  CHECK(!budget.Take(At(1), kService).granted);
}

// A host's share ends without a call, when its lease or its list is too old.
TEST(FleetRetryBudget, AnExpiredShareEarnsNothing) {
  FleetRetryBudget budget({.window = kWindow, .retry_ratio = 0, .slack = 40});
  budget.SetShare(At(0), {.part = 1, .until = At(1)});
  CHECK(budget.Take(At(1), kService).granted);
  CHECK(!budget.Take(At(9), kService).granted);
}

// A retry that no endpoint got must be available again.
TEST(FleetRetryBudget, ReturnedRetriesCanBeTakenAgain) {
  FleetRetryBudget budget({.retry_ratio = 0.2});
  for (int i = 0; i < 10; ++i) {
    budget.OnRequest(At(1), At(1), kService);
  }
  CHECK(budget.Take(At(2), kService).granted);
  budget.Return(At(2), kService);
  CHECK(budget.Take(At(3), kService).granted);
  CHECK(!budget.Take(At(3), kService).granted);
}

TEST_GROUP(FleetShare) {
  const HostId self{"a"};
  FleetShare share{this->self};

  void setup() override {
    this->share.SetSpending(true);
  }

  // The share of a host that is registered since 0 and confirmed at `now`.
  ShareTerm Confirmed(double now, const std::set<HostId>& listed) {
    this->share.OnRegistered(At(0));
    this->share.OnRenewed(At(now), kLease);
    this->share.OnListed(At(now), listed);
    return this->share.Term(At(now));
  }
};

TEST(FleetShare, IsAnEqualPartAmongTheListedHosts) {
  DOUBLES_EQUAL(0.5, this->Confirmed(12, {this->self, HostId("b")}).part, 1e-9);
}

// The hosts that were counted before must first learn of a new one.
TEST(FleetShare, BeginsAfterTheSettleTime) {
  DOUBLES_EQUAL(0, this->Confirmed(9, {this->self}).part, 1e-9);
  DOUBLES_EQUAL(1, this->Confirmed(11, {this->self}).part, 1e-9);
}

// A host that can't read the list doesn't learn of new hosts.
TEST(FleetShare, EndsWithAnOldList) {
  const ShareTerm term = this->Confirmed(12, {this->self});
  this->share.OnRenewed(At(20), kLease);
  CHECK(term.until < At(12) + kSettle);
  DOUBLES_EQUAL(0, this->share.Term(term.until).part, 1e-9);
}

// The other hosts can't see a host whose lease has ended.
TEST(FleetShare, EndsBeforeTheLeaseDoes) {
  const ShareTerm term = this->Confirmed(12, {this->self});
  this->share.OnListed(At(19), {this->self});
  CHECK(term.until < At(12) + kLease);
  DOUBLES_EQUAL(0, this->share.Term(At(12) + kLease).part, 1e-9);
}

// Leases may end early while the service is away.
TEST(FleetShare, EndsIfTheOwnRecordIsMissing) {
  this->Confirmed(12, {this->self});
  CHECK(!this->share.OnListed(At(14), {HostId("b")}));
  DOUBLES_EQUAL(0, this->share.Term(At(14)).part, 1e-9);
}

TEST(FleetShare, IsNotHeldByAHostThatDoesNotSpend) {
  this->Confirmed(12, {this->self});
  this->share.SetSpending(false);
  DOUBLES_EQUAL(0, this->share.Term(At(12)).part, 1e-9);
}

namespace {

// The records of the hosts, in a service with leases and outages.
class SimulatedRecords {
 public:
  bool Available(Instant now) const { return now >= this->away_until; }
  void SetAway(Instant until) { this->away_until = until; }
  void ExpireAll() { this->leases.clear(); }

  int64_t Grant(Instant now, const HostId& host) {
    this->leases[++this->last] = {.host = host, .until = now + kLease};
    return this->last;
  }
  bool Renew(Instant now, int64_t lease) {
    this->Expire(now);
    const auto found = this->leases.find(lease);
    if (found == this->leases.end()) {
      return false;
    }
    found->second.until = now + kLease;
    return true;
  }
  std::set<HostId> List(Instant now) {
    this->Expire(now);
    std::set<HostId> hosts;
    for (const auto& [number, lease] : this->leases) {
      hosts.insert(lease.host);
    }
    return hosts;
  }

 private:
  struct Lease {
    HostId host;
    Instant until{};
  };

  void Expire(Instant now) {
    std::erase_if(this->leases, [now](const auto& entry) {
      return entry.second.until <= now;
    });
  }

  std::map<int64_t, Lease> leases;
  int64_t last = 0;
  Instant away_until{};
};

// A host's process, which counts requests and retries as much as it may.
class SimulatedProcess {
 public:
  SimulatedProcess(const HostId& host,
                   const FleetRetryBudgetOptions& rule,
                   Instant now,
                   bool sends)
      : host(host), budget(rule), share(host) {
    this->next_renewal = now;
    this->next_list = now + seconds(4);
    this->share.SetSpending(sends);
    this->spends = sends;
  }

  void SetSpends(Instant now, bool to) {
    this->spends = to;
    this->share.SetSpending(to);
    this->budget.SetShare(now, this->share.Term(now));
  }

  void CallStore(Instant now, SimulatedRecords& records, bool lists) {
    if (!records.Available(now)) {
      return;
    }
    if (now >= this->next_renewal) {
      this->next_renewal = now + seconds(3);
      this->Renew(now, records);
    }
    if (lists && this->spends && now >= this->next_list) {
      this->next_list = now + seconds(4);
      if (!this->share.OnListed(now, records.List(now))) {
        this->lease = 0;
      }
    }
    this->budget.SetShare(now, this->share.Term(now));
  }

  void Serve(Instant now, int requests, Times& sent, Times& retries) {
    for (int i = 0; i < requests; ++i) {
      this->budget.OnRequest(now, now, kService);
      sent.push_back(now);
    }
    TakeAll(this->budget, now, retries);
  }

  double Part(Instant now) const { return this->share.Term(now).part; }
  const HostId& Host() const { return this->host; }

 private:
  void Renew(Instant now, SimulatedRecords& records) {
    if (this->lease != 0) {
      if (records.Renew(now, this->lease)) {
        this->share.OnRenewed(now, kLease);
      } else {
        this->lease = 0;
        this->share.OnUnregistered();
      }
    } else if (this->spends) {
      this->lease = records.Grant(now, this->host);
      this->share.OnRegistered(now);
    }
  }

  HostId host;
  FleetRetryBudget budget;
  FleetShare share;
  bool spends = false;
  int64_t lease = 0;
  Instant next_renewal{};
  Instant next_list{};
};

struct Machine {
  std::unique_ptr<SimulatedProcess> process;
  Instant back_at{};         // when a killed process starts again
  Instant paused_until{};    // the process stands still
  Instant unlisted_until{};  // the service rejects its lists
  double weight = 0.5;       // its requests in a step
};

// A fleet whose hosts are killed, paused and change their roles, whose records
// expire, and whose requests come in bursts, at random.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(uint64_t seed) : random(seed) {
    this->rule = {.window = kWindow,
                  .retry_ratio = this->Chance(0.3) ? 0 : 0.2,
                  .slack = 56};
    this->machines.resize(2 + this->Below(10));
    this->disturbance = std::array{0.05, 0.3, 1.0}.at(this->Below(3));
  }

  // Plays one minute. Returns the most retries beyond the rule.
  double Play() {
    for (int i = 0; i < 600; ++i) {
      this->Step(Instant(milliseconds(100 * i)));
    }
    return MostBeyondRule(this->requests, this->retries, this->rule);
  }

  double LargestSum() const { return this->largest_sum; }
  size_t Retries() const { return this->retries.size(); }
  bool HasSlackOnly() const { return this->rule.retry_ratio == 0; }

 private:
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }
  size_t Below(size_t bound) { return this->random() % bound; }
  Duration Between(double least, double most) {
    return FromSeconds(
        std::uniform_real_distribution<double>(least, most)(this->random));
  }

  void Disturb(Instant now) {
    if (!this->Chance(this->disturbance)) {
      return;
    }
    if (this->Chance(0.01)) {  // all hosts are killed
      for (Machine& machine : this->machines) {
        this->Kill(now, machine);
      }
    }
    if (this->Chance(0.01)) {
      this->records.SetAway(now + this->Between(0.5, 25));
      if (this->Chance(0.3)) {
        this->records.ExpireAll();
      }
    }
    if (this->Chance(0.03)) {  // the requests move to other hosts
      for (Machine& machine : this->machines) {
        machine.weight = this->Chance(0.3) ? 4 : 0.1;
      }
    }
    Machine& one = this->machines[this->Below(this->machines.size())];
    if (this->Chance(0.04)) {
      this->Kill(now, one);
    }
    if (this->Chance(0.02)) {
      one.paused_until = now + this->Between(0.2, 15);
    }
    if (this->Chance(0.03)) {
      one.unlisted_until = now + this->Between(5, 30);
    }
    if (this->Chance(0.02) && one.process) {
      one.process->SetSpends(now, this->Chance(0.5));
    }
  }

  void Kill(Instant now, Machine& machine) {
    machine.process.reset();
    machine.back_at = now + this->Between(0.1, 3);
    machine.paused_until = {};
  }

  void Step(Instant now) {
    this->Disturb(now);
    double sum = 0;
    for (size_t i = 0; i < this->machines.size(); ++i) {
      Machine& machine = this->machines[i];
      if (!machine.process && now >= machine.back_at) {
        machine.process = std::make_unique<SimulatedProcess>(
            HostId("h" + std::to_string(i)), this->rule, now,
            this->Chance(0.8));
      }
      if (!machine.process) {
        continue;
      }
      sum += machine.process->Part(now);
      if (now >= machine.paused_until) {
        machine.process->CallStore(now, this->records,
                                   now >= machine.unlisted_until);
        std::poisson_distribution<int> arrivals(machine.weight);
        machine.process->Serve(now, arrivals(this->random), this->requests,
                               this->retries);
      }
    }
    this->largest_sum = std::max(this->largest_sum, sum);
  }

  std::mt19937_64 random;
  double disturbance = 0;  // share of the steps that may have disturbances
  FleetRetryBudgetOptions rule;
  SimulatedRecords records;
  std::vector<Machine> machines;
  Times requests;
  Times retries;
  double largest_sum = 0;
};

}  // namespace

// Hosts are killed, paused and cut off from their records, and change their
// roles, while requests move between them and all of them fail. In no window
// may the retries exceed the fleet's budget, and the parts never add up to more
// than the whole.
TEST(FleetShare, SimulatedFleetsStayWithinTheBudget) {
  size_t slack_retries = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SimulatedFleet fleet(seed);
    const std::string text = "seed " + std::to_string(seed);
    CHECK_TEXT(fleet.Play() <= 0, text.c_str());
    CHECK_TEXT(fleet.LargestSum() <= 1 + 1e-9, text.c_str());
    slack_retries += fleet.HasSlackOnly() ? fleet.Retries() : 0;
  }
  CHECK(slack_retries > 1000);
}

}  // namespace hickorystand
