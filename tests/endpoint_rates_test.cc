// Tests of the rates that endpoints state, on single hosts and on a simulated
// fleet whose hosts start, leave, restart and are cut off.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/endpoint_rates.h"

namespace hickorystand {
namespace {

Instant At(double seconds) {
  return Instant(FromSeconds(seconds));
}

const EndpointRun kEndpoint{.id = EndpointId("e"), .started = 1};

std::set<HostId> Hosts(size_t count) {
  std::set<HostId> hosts;
  for (size_t i = 0; i < count; ++i) {
    hosts.insert(HostId("h" + std::to_string(i)));
  }
  return hosts;
}

// One host of a fleet of `count`, whose endpoint stated a rate at time 0.
EndpointRates OneHost(size_t count, double per_second) {
  EndpointRates rates;
  rates.SetHosts(HostId("h0"), Hosts(count));
  rates.OnAnswer(At(0), {.endpoint = kEndpoint, .per_second = per_second});
  return rates;
}

// What the simulated service promises: requests in a window, from some time
// after the rate was first stated.
constexpr double kContact = 3;
constexpr double kWindow = 4;
double Allowed(double per_second) {
  return 1.5 * per_second * kWindow + 5;
}

// Changes to the fleet that a simulation plays.
struct FleetEvents {
  bool restarts = false;
  bool cuts = false;
  bool list_changes = false;
};

// A fleet whose hosts send to one endpoint as often as they may. Messages and
// answers take some time; lists of hosts lag.
class RateSimulation {
 public:
  RateSimulation(size_t count, double per_second, uint64_t seed)
      : per_second(per_second), random(seed) {
    for (size_t i = 0; i < count; ++i) {
      this->nodes.push_back({.id = HostId("h" + std::to_string(i))});
    }
    for (Node& node : this->nodes) {
      node.rates.SetHosts(node.id, this->Listed());
    }
  }

  // Plays until `end`, in seconds. The endpoint states its rate between 1 s and
  // `stops_stating`.
  void Play(double end, double stops_stating, const FleetEvents& events) {
    for (; this->now < end; this->now += kStep) {
      this->stating = this->now >= kStatesFrom && this->now < stops_stating;
      this->PlayEvents(events);
      this->Deliver();
      for (Node& node : this->nodes) {
        this->SendFrom(node);
      }
    }
  }

  // The most counted requests in a window that begins after the contact time.
  // Requests of hosts that weren't told half a second before, or were disturbed
  // within the contact time, aren't counted.
  int64_t MostInWindow() const {
    int64_t most = 0;
    for (size_t i = 0, first = 0; i < this->counted.size(); ++i) {
      while (this->counted[first] <= this->counted[i] - kWindow) {
        ++first;
      }
      most = std::max(most, static_cast<int64_t>(i - first + 1));
    }
    return most;
  }

  int64_t ArrivalsBetween(double from, double until) const {
    return std::ranges::count_if(this->arrivals, [=](double time) {
      return time >= from && time < until;
    });
  }

  size_t LimitedHosts() const {
    return static_cast<size_t>(std::ranges::count_if(
        this->nodes,
        [](const Node& node) { return node.rates.Limited() > 0; }));
  }

 private:
  struct Node {
    HostId id;
    EndpointRates rates = EndpointRates();
    bool listed = true;
    double cut_until = 0;
    double disturbed = -100;  // last time
    double told = 1e9;        // since when the endpoint's answers told it
  };
  struct Answer {
    size_t node;
    double sent;
    std::optional<double> per_second;
  };
  struct Message {
    size_t to;
    EndpointRatesUpdate update;
  };

  static constexpr double kStep = 0.01;
  static constexpr double kStatesFrom = 1;
  static constexpr double kDemand = 1;  // sends of a host per step

  double Draw(double least, double most) {
    return least + (most - least) * static_cast<double>(this->random() >> 11) /
                       static_cast<double>(1ULL << 53);
  }

  std::set<HostId> Listed() const {
    std::set<HostId> listed;
    for (const Node& node : this->nodes) {
      if (node.listed) {
        listed.insert(node.id);
      }
    }
    return listed;
  }

  void SendFrom(Node& node) {
    if (!node.listed || this->Draw(0, 1) > kDemand ||
        !node.rates.MaySend(At(this->now), kEndpoint.id)) {
      return;
    }
    const auto index = static_cast<size_t>(&node - this->nodes.data());
    node.rates.OnSent(At(this->now), kEndpoint.id);
    this->arrivals.push_back(this->now);
    const bool in_touch = this->now - node.disturbed > kContact &&
                          this->now > node.cut_until + kContact;
    if (this->now > kStatesFrom + kContact && node.told + 0.5 < this->now &&
        in_touch) {
      this->counted.push_back(this->now);
    }
    this->answers.emplace(
        this->now + this->Draw(0.02, 0.3),
        Answer{.node = index,
               .sent = this->now,
               .per_second = this->stating ? std::optional(this->per_second)
                                           : std::nullopt});
  }

  void Deliver() {
    while (!this->answers.empty() &&
           this->answers.begin()->first <= this->now) {
      const Answer answer =
          this->answers.extract(this->answers.begin()).mapped();
      Node& node = this->nodes[answer.node];
      if (answer.sent <= node.disturbed) {
        continue;  // sent by an earlier process
      }
      if (answer.per_second) {
        node.told = std::min(node.told, this->now);
      }
      node.rates.OnAnswer(At(this->now), {.endpoint = kEndpoint,
                                          .sent = At(answer.sent),
                                          .per_second = answer.per_second});
      this->Broadcast(node);
    }
    while (!this->messages.empty() &&
           this->messages.begin()->first <= this->now) {
      const Message message =
          this->messages.extract(this->messages.begin()).mapped();
      Node& node = this->nodes[message.to];
      if (this->now >= node.cut_until) {
        node.rates.OnUpdate(At(this->now), message.update);
      }
    }
  }

  void Broadcast(Node& node) {
    const EndpointRatesUpdate update = node.rates.TakeUpdate(At(this->now));
    if (update.Empty() || this->now < node.cut_until) {
      return;
    }
    for (size_t to = 0; to < this->nodes.size(); ++to) {
      if (&this->nodes[to] != &node) {
        this->messages.emplace(this->now + this->Draw(0.001, 0.06),
                               Message{.to = to, .update = update});
      }
    }
  }

  void PlayEvents(const FleetEvents& events) {
    if (this->now < this->next_event) {
      // Each host reads the list of hosts about every 3 s.
      for (Node& node : this->nodes) {
        if (this->Draw(0, 1) < kStep / 3) {
          node.rates.SetHosts(node.id, this->Listed());
        }
      }
      return;
    }
    this->next_event = this->now + this->Draw(0.5, 3);
    Node& node = this->nodes[this->random() % this->nodes.size()];
    const uint64_t kind = this->random() % 3;
    if (kind == 0 && events.restarts) {
      this->Restart(node);
    } else if (kind == 1 && events.cuts) {
      node.cut_until = this->now + this->Draw(1, 8);
    } else if (kind == 2 && events.list_changes) {
      node.listed = !node.listed;
      if (node.listed) {
        this->Restart(node);
      }
    }
  }

  // The new process reads the list and is told all by another host.
  void Restart(Node& node) {
    node.rates = EndpointRates();
    node.rates.SetHosts(node.id, this->Listed());
    node.disturbed = this->now;
    node.told = 1e9;
    const Node& other = this->nodes[this->random() % this->nodes.size()];
    this->messages.emplace(
        this->now + 0.3,
        Message{.to = static_cast<size_t>(&node - this->nodes.data()),
                .update = other.rates.Snapshot(At(this->now))});
  }

  double per_second;
  std::mt19937_64 random;
  double now = 0;
  double next_event = 2;
  bool stating = false;
  std::vector<Node> nodes;
  std::multimap<double, Answer> answers;
  std::multimap<double, Message> messages;
  std::vector<double> arrivals;
  std::vector<double> counted;
};

}  // namespace

TEST_GROUP(EndpointRates){};

TEST(EndpointRates, UnstatedRatesLimitNothing) {
  EndpointRates rates;
  CHECK(rates.MaySend(At(0), kEndpoint.id));
  CHECK(!rates.OnAnswer(At(0), {.endpoint = kEndpoint}));
  CHECK(rates.TakeUpdate(At(0)).Empty());
  CHECK(rates.PollInterval(kEndpoint.id) == Duration{});
}

// Guards against a host that spends its part at once after it has learnt a rate
// or restarted.
TEST(EndpointRates, TokensStartAtZero) {
  EndpointRates rates = OneHost(1, 2);
  CHECK(!rates.MaySend(At(0), kEndpoint.id));
  const auto wait = rates.UntilAllowed(At(0), kEndpoint.id);
  DOUBLES_EQUAL(1 / 1.8, ToSeconds(wait.value_or(Duration{})), 1e-6);
  CHECK(rates.MaySend(At(0.6), kEndpoint.id));
  rates.OnSent(At(0.6), kEndpoint.id);
  CHECK(!rates.MaySend(At(1), kEndpoint.id));
}

// Guards against a rate that is used in part only, because what was earned
// while a prompt was prefilled is lost when its reservation becomes the run's.
TEST(EndpointRates, ARefundKeepsWhatWasEarnedSince) {
  EndpointRates rates = OneHost(1, 2);
  rates.OnSent(At(1), kEndpoint.id);
  rates.Refund(At(1.4), kEndpoint.id);
  rates.OnSent(At(1.4), kEndpoint.id);
  CHECK(rates.MaySend(At(1.6), kEndpoint.id));
}

// Guards against a host that knows no other hosts yet and takes the whole rate.
TEST(EndpointRates, AHostWithoutAListHoldsNothing) {
  EndpointRates rates;
  rates.OnAnswer(At(0), {.endpoint = kEndpoint, .per_second = 100});
  CHECK(!rates.MaySend(At(5), kEndpoint.id));
  CHECK(!rates.UntilAllowed(At(5), kEndpoint.id));
}

// Guards against an answer to an earlier request that ends a rate which was
// stated since.
TEST(EndpointRates, OnlyALaterRequestShowsTheEndOfARate) {
  EndpointRates rates = OneHost(1, 2);
  CHECK(!rates.OnAnswer(At(1), {.endpoint = kEndpoint, .sent = At(0)}));
  CHECK(rates.Limited() == 1);
  CHECK(rates.OnAnswer(At(2), {.endpoint = kEndpoint, .sent = At(1.5)}));
  CHECK(rates.Limited() == 0);
  CHECK(rates.MaySend(At(2), kEndpoint.id));
}

// Guards against a delayed report that restores a rate that has ended.
TEST(EndpointRates, AnOlderReportChangesNothing) {
  EndpointRates rates = OneHost(1, 2);
  rates.OnAnswer(At(2), {.endpoint = kEndpoint, .sent = At(1.5)});
  CHECK(rates
            .OnUpdate(At(3), {.rates = {{.endpoint = kEndpoint,
                                         .per_second = 2,
                                         .age = std::chrono::seconds(2)}}})
            .empty());
  CHECK(rates.Limited() == 0);
}

// Guards against a rate that outlives the process that stated it.
TEST(EndpointRates, ARestartedEndpointHasNoRate) {
  EndpointRates rates = OneHost(1, 2);
  const EndpointRun restarted{.id = kEndpoint.id, .started = 2};
  rates.SetEndpoints({{restarted.id, {.run = restarted}}});
  CHECK(rates.MaySend(At(0), kEndpoint.id));
}

// Guards against more holders than a low rate has room for, and against hosts
// that choose different ones.
TEST(EndpointRates, HostsAgreeOnTheHolders) {
  for (const double per_second : {0.0, 0.5, 1.0, 7.0, 500.0}) {
    int64_t holders = 0;
    double sum = 0;
    for (const HostId& host : Hosts(57)) {
      EndpointRates rates;
      rates.SetHosts(host, Hosts(57));
      rates.OnAnswer(At(0), {.endpoint = kEndpoint, .per_second = per_second});
      const RateShare share =
          rates.Find(At(0), kEndpoint.id).value_or(RateShare());
      holders += share.own_per_second > 0 ? 1 : 0;
      sum += share.own_per_second;
    }
    CHECK(holders <= 2 + per_second);
    DOUBLES_EQUAL(0.9 * std::max(per_second, 0.2), sum, 1e-9);
  }
}

// Guards against messages for each answer: a rate is reported when it changes
// and every few seconds.
TEST(EndpointRates, ReportsChangesAndRepeats) {
  EndpointRates rates = OneHost(3, 2);
  LONGS_EQUAL(1, rates.TakeUpdate(At(0)).rates.size());
  for (double now = 0.1; now < 4.9; now += 0.1) {
    rates.OnAnswer(At(now), {.endpoint = kEndpoint, .per_second = 2});
    CHECK(rates.TakeUpdate(At(now)).Empty());
  }
  rates.OnAnswer(At(5.1), {.endpoint = kEndpoint, .per_second = 2});
  LONGS_EQUAL(1, rates.TakeUpdate(At(5.1)).rates.size());
  rates.OnAnswer(At(5.2), {.endpoint = kEndpoint, .per_second = 3});
  LONGS_EQUAL(1, rates.TakeUpdate(At(5.2)).rates.size());
}

// Guards against a host that never sends again because the report of a rate's
// end was lost.
TEST(EndpointRates, AHostWithoutAPartProbesALongSilentRate) {
  EndpointRates rates;
  rates.SetHosts(HostId("x"), Hosts(5));
  rates.OnUpdate(At(0), {.rates = {{.endpoint = kEndpoint, .per_second = 1}}});
  CHECK(!rates.MaySend(At(29), kEndpoint.id));
  CHECK(rates.MaySend(At(31), kEndpoint.id));
  rates.OnSent(At(31), kEndpoint.id);
  CHECK(!rates.MaySend(At(32), kEndpoint.id));
}

// Guards against a sum over all hosts that exceeds the rate, and against a rate
// that is left unused.
TEST(EndpointRates, TheSumOverAllHostsHoldsAndIsUsed) {
  for (const size_t hosts : {1, 8, 57}) {
    for (const double per_second : {0.0, 1.0, 7.1, 60.0}) {
      RateSimulation simulation(hosts, per_second, 11);
      simulation.Play(30, 1000, {});
      CHECK(static_cast<double>(simulation.MostInWindow()) <=
            Allowed(per_second));
      CHECK(static_cast<double>(simulation.ArrivalsBetween(10, 30)) >=
            20 * per_second * 0.7);
    }
  }
}

// Guards against a sum that exceeds the rate while hosts start, leave, restart
// and are cut off, in any order.
TEST(EndpointRates, TheSumHoldsWhileTheFleetChanges) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    const size_t hosts = 2 + seed % 20;
    const double per_second = std::array{0.5, 1.0, 2.5, 7.1, 20.0}[seed % 5];
    RateSimulation simulation(hosts, per_second, seed);
    simulation.Play(40, 1000,
                    {.restarts = true, .cuts = true, .list_changes = true});
    CHECK_TEXT(
        static_cast<double>(simulation.MostInWindow()) <= Allowed(per_second),
        ("seed " + std::to_string(seed) + ": " +
         std::to_string(simulation.MostInWindow()))
            .c_str());
  }
}

// Guards against a limit that outlasts the statements of the endpoint.
TEST(EndpointRates, ARateEndsOnAllHostsWithTheStatements) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RateSimulation simulation(8, 5, seed);
    simulation.Play(13, 10, {});
    LONGS_EQUAL(0, simulation.LimitedHosts());
  }
}

}  // namespace hickorystand
