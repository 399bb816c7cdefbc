// Tests of the decision whether a host reaches the endpoints of a service, for
// each way in which links fail, and in a simulated fleet.

#include "decisions/endpoint_reach.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "decisions/scheduler_choice.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(10);
constexpr Duration kConnectTimeout = milliseconds(600);
constexpr Duration kRoundTrip = milliseconds(2);
constexpr Duration kAnswerTime = milliseconds(60);

// From this long after the start of a partition, callers must be served.
constexpr Duration kContact = seconds(3);

const ServiceId kService("engines");

// How the links between a host and endpoints behave.
enum class Links {
  kGood,
  kHang,    // nothing passes
  kReset,   // open connections are reset, connects are refused
  kRefuse,  // open connections live on, connects are refused
  kOneWay,  // requests arrive, answers and connects don't
};

constexpr std::array kCuts = {Links::kHang, Links::kReset, Links::kRefuse,
                              Links::kOneWay};

FleetEndpoints Listed(size_t count, int64_t started = 1) {
  FleetEndpoints listed;
  for (size_t i = 0; i < count; ++i) {
    const EndpointId id("e" + std::to_string(i));
    listed[id] = {.run = {.id = id, .started = started}, .service = kService};
  }
  return listed;
}

// One host's connections to endpoints, in simulated time.
class SimulatedLinks {
 public:
  SimulatedLinks(size_t endpoints, uint64_t seed)
      : reach({}, seed),
        links(endpoints, Links::kGood),
        open(endpoints, false) {
    this->reach.SetEndpoints(this->now, Listed(endpoints));
  }

  Instant Now() const { return this->now; }
  EndpointReach& Reach() { return this->reach; }
  bool CutOff() const { return this->reach.IsCutOff(kService); }
  size_t Probes() const { return this->probes; }

  void Set(size_t endpoint, Links how) {
    this->links[endpoint] = how;
    if (how == Links::kReset && this->open[endpoint]) {
      this->open[endpoint] = false;
      this->reach.OnLost(this->now, Id(endpoint));
    }
  }
  void SetAll(Links how) {
    for (size_t i = 0; i < this->links.size(); ++i) {
      this->Set(i, how);
    }
  }

  // Closes all connections, as their idle timeout does.
  void CloseAll() { this->open.assign(this->open.size(), false); }

  // Sends a request, over an open connection if there is one. Returns whether
  // it can be answered.
  bool Send(size_t endpoint, Duration answer_time = kAnswerTime) {
    const Links how = this->links[endpoint];
    if (!this->open[endpoint]) {
      this->Connect(endpoint);
      return how == Links::kGood;
    }
    this->reach.OnSent(this->now, Id(endpoint));
    const bool answered = how == Links::kGood || how == Links::kRefuse;
    if (answered) {
      this->At(answer_time, [this, endpoint] {
        if (this->links[endpoint] == Links::kGood ||
            this->links[endpoint] == Links::kRefuse) {
          this->reach.OnHeard(this->now, Id(endpoint));
        }
      });
    }
    return answered;
  }

  void Advance(Duration by) {
    for (const Instant end = this->now + by; this->now < end;) {
      this->now += kTick;
      this->RunDue();
      for (const EndpointId& id : this->reach.TakeProbes(this->now)) {
        ++this->probes;
        this->Connect(std::stoul(id.Text().substr(1)));
      }
    }
  }

 private:
  struct Event {
    Instant at;
    std::function<void()> run;
  };

  static EndpointId Id(size_t endpoint) {
    return EndpointId("e" + std::to_string(endpoint));
  }

  void At(Duration after, std::function<void()> run) {
    this->events.push_back({this->now + after, std::move(run)});
  }

  void RunDue() {
    std::vector<Event> due;
    std::erase_if(this->events, [&](Event& event) {
      const bool is_due = event.at <= this->now;
      if (is_due) {
        due.push_back(std::move(event));
      }
      return is_due;
    });
    for (const Event& event : due) {
      event.run();
    }
  }

  void Connect(size_t endpoint) {
    switch (this->links[endpoint]) {
      case Links::kGood:
        this->At(kRoundTrip, [this, endpoint] {
          this->open[endpoint] = true;
          this->reach.OnConnected(this->now, Id(endpoint));
        });
        break;
      case Links::kReset:
      case Links::kRefuse:
        this->At(kRoundTrip, [this, endpoint, started = this->now] {
          this->reach.OnConnectFailed(this->now, Id(endpoint), started);
        });
        break;
      case Links::kHang:
      case Links::kOneWay:
        this->At(kConnectTimeout, [this, endpoint, started = this->now] {
          this->reach.OnConnectFailed(this->now, Id(endpoint), started);
        });
        break;
    }
  }

  Instant now{seconds(1000)};
  EndpointReach reach;
  std::vector<Links> links;
  std::vector<bool> open;
  std::vector<Event> events;
  size_t probes = 0;
};

// Sends to endpoints in turn at an interval.
void SendFor(SimulatedLinks& host,
             size_t endpoints,
             Duration length,
             Duration interval = milliseconds(100)) {
  size_t next = 0;
  for (Duration passed{}; passed < length; passed += interval) {
    host.Send(next++ % endpoints);
    host.Advance(interval);
  }
}

}  // namespace

TEST_GROUP(EndpointReach){};

// Guards against a host that keeps refusing its callers because it doesn't
// notice that it reaches no endpoint.
TEST(EndpointReach, EachKindOfCutIsFoundInTimeAndEnds) {
  for (const Links cut : kCuts) {
    for (const size_t endpoints : {1, 2, 3, 18, 200}) {
      SimulatedLinks host(endpoints, endpoints);
      SendFor(host, endpoints, seconds(4));
      CHECK(!host.CutOff());
      host.SetAll(cut);
      if (cut == Links::kRefuse) {
        host.CloseAll();  // they would live on
      }
      SendFor(host, endpoints, kContact, milliseconds(150));
      CHECK(host.CutOff());
      CHECK(host.Reach().AllCutOff());
      host.Advance(seconds(10));
      CHECK(host.CutOff());
      host.SetAll(Links::kGood);
      host.Advance(seconds(2));
      CHECK(!host.CutOff());
    }
  }
}

// Guards against a cut that is assumed because an endpoint is silent for a
// second, or because a few crash.
TEST(EndpointReach, LossesOfSomeEndpointsAreNoCut) {
  for (const Links how : kCuts) {
    for (const size_t lost : {1, 9, 17}) {
      SimulatedLinks host(18, lost);
      SendFor(host, 18, seconds(4));
      for (size_t i = 0; i < lost; ++i) {
        host.Set(i, how);
      }
      bool ever = false;
      for (int i = 0; i < 100; ++i) {
        host.Send(static_cast<size_t>(i) % 18);
        host.Advance(milliseconds(100));
        ever = ever || host.CutOff();
      }
      // One endpoint of 18 may stay unprobed, but only for a moment.
      CHECK(lost == 17 || !ever);
      host.SetAll(Links::kGood);
      host.Advance(seconds(2));
      CHECK(!host.CutOff());
    }
  }
}

// Guards against a cut that is assumed because the host's links stand still for
// a second: connects that were started then fail when traffic flows again.
TEST(EndpointReach, AllLinksSilentForASecondAreNoCut) {
  SimulatedLinks host(18, 7);
  SendFor(host, 18, seconds(4));
  host.SetAll(Links::kHang);
  for (int i = 0; i < 10; ++i) {
    host.Send(static_cast<size_t>(i));
    host.Advance(milliseconds(100));
  }
  host.SetAll(Links::kGood);
  for (int i = 0; i < 30; ++i) {
    host.Send(static_cast<size_t>(i) % 18);
    host.Advance(milliseconds(100));
    CHECK(!host.CutOff());
  }
}

// Guards against probes that cost connections while nothing is wrong.
TEST(EndpointReach, HealthyTrafficCausesNoProbes) {
  SimulatedLinks host(18, 3);
  SendFor(host, 18, seconds(30));
  LONGS_EQUAL(0, host.Probes());
}

// Guards against a cut that is assumed while all endpoints are overloaded: they
// answer late, but accept connections.
TEST(EndpointReach, SlowEndpointsAreNoCut) {
  SimulatedLinks host(18, 4);
  SendFor(host, 18, seconds(4));
  for (int i = 0; i < 50; ++i) {
    host.Send(static_cast<size_t>(i) % 18, milliseconds(2500));
    host.Advance(milliseconds(100));
    CHECK(!host.CutOff());
  }
  CHECK(host.Probes() < 30);
}

// Guards against hosts that return at the same moment when the links are back.
TEST(EndpointReach, HostsReturnAtDifferentTimes) {
  std::vector<std::unique_ptr<SimulatedLinks>> hosts;
  for (uint64_t seed = 0; seed < 16; ++seed) {
    hosts.push_back(std::make_unique<SimulatedLinks>(18, seed));
    SendFor(*hosts.back(), 18, seconds(4));
    hosts.back()->SetAll(Links::kHang);
    SendFor(*hosts.back(), 18, kContact);
    CHECK(hosts.back()->CutOff());
    hosts.back()->SetAll(Links::kGood);
  }
  std::set<Duration> after;
  for (const auto& host : hosts) {
    Duration waited{};
    while (host->CutOff() && waited < seconds(2)) {
      host->Advance(kTick);
      waited += kTick;
    }
    after.insert(waited);
  }
  CHECK(*after.rbegin() < seconds(2));
  CHECK(after.size() >= 4);
}

// Guards against a host that changes its mind at each connect over links that
// lose most packets.
TEST(EndpointReach, LossyLinksDontFlap) {
  SimulatedLinks host(18, 5);
  SendFor(host, 18, seconds(4));
  size_t returns = 0;
  bool was_cut_off = false;
  for (int i = 0; i < 600; ++i) {
    // Every other half second is good.
    host.SetAll(i / 5 % 2 == 0 ? Links::kReset : Links::kGood);
    host.Send(static_cast<size_t>(i) % 18);
    host.Advance(milliseconds(100));
    returns += was_cut_off && !host.CutOff() ? 1 : 0;
    was_cut_off = host.CutOff();
  }
  CHECK(returns <= 12);
}

// An endpoint that is listed anew ends a cut that was the endpoints' own.
TEST(EndpointReach, NewEndpointsAreProbedAtOnce) {
  SimulatedLinks host(3, 6);
  SendFor(host, 3, seconds(2));
  host.SetAll(Links::kReset);
  SendFor(host, 3, seconds(1));
  CHECK(host.CutOff());
  host.SetAll(Links::kGood);
  host.Reach().SetEndpoints(host.Now(), Listed(3, 2));
  host.Advance(milliseconds(50));
  CHECK(!host.CutOff());
}

// Guards against taking streams back from a leaving endpoint that still sends
// them, because the other endpoints of its service are down.
TEST(EndpointReach, ALeavingEndpointThatIsHeardIsNotSilent) {
  EndpointReach reach({}, 1);
  const EndpointId leaving("e0");
  reach.SetEndpoints(Instant(seconds(10)), Listed(3));
  reach.OnConnected(Instant(seconds(10)), leaving);
  FleetEndpoints listed = Listed(3);
  listed.at(leaving).leaving = true;
  reach.SetEndpoints(Instant(seconds(12)), listed);
  reach.OnHeard(Instant(seconds(13)), leaving);
  CHECK(reach.SilentFor(Instant(seconds(14)), leaving) == seconds(1));
  listed.clear();
  reach.SetEndpoints(Instant(seconds(15)), listed);
  CHECK(!reach.SilentFor(Instant(seconds(16)), leaving));
}

// Guards against the loss of the process when the endpoints of a service that
// seems cut off leave the list.
TEST(EndpointReach, AServiceThatIsNoLongerListedIsForgotten) {
  EndpointReach reach({}, 1);
  const Instant now(seconds(10));
  reach.SetEndpoints(now, Listed(3));
  for (const auto& [id, endpoint] : Listed(3)) {
    reach.OnLost(now, id);
  }
  CHECK(reach.State(kService) == ReachState::kSuspected);
  reach.SetEndpoints(now, {});
  CHECK(reach.State(kService) == ReachState::kReachable);
}

// Guards against a service that is left cut off unnoticed because it has little
// traffic.
TEST(EndpointReach, ACutOfOneServiceIsTriedAtTheOthers) {
  EndpointReach reach({}, 1);
  FleetEndpoints listed = Listed(4);
  const EndpointId filing("f0");
  listed[filing] = {.run = {.id = filing, .started = 1},
                    .service = ServiceId("filing")};
  Instant now{seconds(1000)};
  reach.SetEndpoints(now, listed);
  for (const auto& [id, endpoint] : Listed(4)) {
    reach.OnConnectFailed(now, id, now);
  }
  CHECK(reach.IsCutOff(kService));
  CHECK(reach.State(ServiceId("filing")) == ReachState::kSuspected);
  CHECK(!reach.AllCutOff());
  const auto probes = reach.TakeProbes(now);
  CHECK(std::ranges::find(probes, filing) != probes.end());
  reach.OnConnectFailed(now, filing, now);
  CHECK(reach.AllCutOff());
}

// Guards against a host without traffic that finds a common cut only when its
// next callers fail.
TEST(EndpointReach, AnotherHostsCutIsTried) {
  SimulatedLinks host(18, 8);
  SendFor(host, 18, seconds(4));
  host.Reach().Suspect(host.Now(), kService);
  host.Advance(milliseconds(200));
  CHECK(host.Reach().State(kService) == ReachState::kReachable);
  LONGS_EQUAL(1, host.Probes());
  host.SetAll(Links::kHang);
  host.Reach().Suspect(host.Now(), kService);
  host.Advance(seconds(1));
  CHECK(host.CutOff());
}

// A fleet in simulated time: hosts in data centres, each with links of its own,
// and callers whose requests go to the host or, if that is cut off, to the
// scheduler that it chooses.
TEST_GROUP(ReachOfFleet) {
  static constexpr size_t kHosts = 9;
  static constexpr size_t kZones = 3;
  static constexpr size_t kEngines = 18;

  struct Host {
    FleetHost record;
    std::unique_ptr<SimulatedLinks> links;
    std::unique_ptr<SchedulerChoice> choice;
  };
  std::vector<Host> hosts;
  size_t next_engine = 0;

  void setup() override {
    for (size_t i = 0; i < kHosts; ++i) {
      const ZoneId zone("z" + std::to_string(i % kZones));
      this->hosts.push_back(
          {.record = {.id = HostId("h" + std::to_string(i)),
                      .zone = zone,
                      .capacity = 250},
           .links = std::make_unique<SimulatedLinks>(kEngines, i),
           .choice = std::make_unique<SchedulerChoice>(zone)});
    }
    for (Host& host : this->hosts) {
      std::vector<FleetHost> others;
      for (const Host& other : this->hosts) {
        if (&other != &host) {
          others.push_back(other.record);
        }
      }
      host.choice->SetSchedulers(others);
    }
  }
  void teardown() override {
    this->hosts.clear();
  }

  void ReportStates() {
    for (Host& host : this->hosts) {
      for (const Host& other : this->hosts) {
        if (&other != &host) {
          host.choice->OnState(other.record.id,
                               {.ready = !other.links->Reach().AllCutOff(),
                                .keys_proven = true,
                                .version = 1,
                                .cut_off = other.links->Reach().CutOff()});
        }
      }
    }
  }

  // Whether a request that arrives at a host is served: by itself if it knows
  // of no cut and its links are good, else by the scheduler that it chooses.
  bool Serve(size_t at) {
    Host& host = this->hosts[at];
    const size_t engine = this->next_engine++ % kEngines;
    if (!host.links->CutOff()) {
      return host.links->Send(engine);
    }
    const auto chosen = host.choice->Choose({}, {.service = kService});
    if (!chosen) {
      return false;
    }
    host.choice->OnForwarded(*chosen);
    host.choice->OnEnded(*chosen);
    const size_t other = std::stoul(chosen->Text().substr(1));
    return this->hosts[other].links->Send(engine);
  }

  // Sends requests to all hosts in turn; returns the share that is served of
  // those to hosts that are cut.
  double ServedShare(const std::set<size_t>& cut, Duration length) {
    size_t asked = 0;
    size_t served = 0;
    for (Duration passed{}; passed < length; passed += milliseconds(100)) {
      for (size_t i = 0; i < kHosts; ++i) {
        const bool ok = this->Serve(i);
        asked += cut.contains(i) ? 1 : 0;
        served += cut.contains(i) && ok ? 1 : 0;
        this->hosts[i].links->Advance(milliseconds(100));
      }
      this->ReportStates();
    }
    return asked == 0
               ? 1
               : static_cast<double>(served) / static_cast<double>(asked);
  }

  void Cut(const std::set<size_t>& cut, Links how) {
    for (const size_t i : cut) {
      this->hosts[i].links->SetAll(how);
    }
  }
};

// Guards against callers of cut hosts that are not served, from one host up to
// two of three data centres.
TEST(ReachOfFleet, CallersOfCutHostsAreServedByOthers) {
  const std::vector<std::set<size_t>> sets = {
      {4}, {0, 3}, {0, 3, 6}, {0, 1, 3, 4, 7}, {0, 1, 3, 4, 6, 7}};
  this->ServedShare({}, seconds(4));
  for (const auto& cut : sets) {
    for (const Links how : kCuts) {
      this->Cut(cut, how);
      this->ServedShare(cut, kContact);
      DOUBLES_EQUAL(1, this->ServedShare(cut, seconds(8)), 0);
      this->Cut(cut, Links::kGood);
      this->ServedShare({}, seconds(3));
      for (const Host& host : this->hosts) {
        CHECK(!host.links->CutOff());
      }
    }
  }
}

// Without any host that reaches an endpoint, no scheduler is chosen.
TEST(ReachOfFleet, NobodyIsChosenIfAllAreCutOff) {
  std::set<size_t> all;
  for (size_t i = 0; i < kHosts; ++i) {
    all.insert(i);
  }
  this->ServedShare({}, seconds(4));
  this->Cut(all, Links::kHang);
  this->ServedShare(all, kContact);
  for (const Host& host : this->hosts) {
    CHECK(!host.choice->Choose({}, {.service = kService}).has_value());
    CHECK(!host.choice->Ready());
  }
}

}  // namespace hickorystand
