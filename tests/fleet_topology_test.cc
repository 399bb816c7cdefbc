// Tests of scheduler selection in a fleet, and of where ingress hosts forward
// requests.

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "decisions/fleet_topology.h"
#include "decisions/scheduler_choice.h"
#include "decisions/subscription_plan.h"

namespace hickorystand {
namespace {

FleetHost Host(const std::string& id, const std::string& zone, int64_t cores) {
  return {.id = HostId(id),
          .address = {.host = "127.0.0.1", .port = 1},
          .zone = ZoneId(zone),
          .capacity = cores};
}

// A zone of some strong hosts and many weak ones.
std::vector<FleetHost> Zone(const std::string& zone, int strong, int weak) {
  std::vector<FleetHost> hosts;
  for (int i = 0; i < strong + weak; ++i) {
    hosts.push_back(
        Host(zone + "-" + std::to_string(i), zone, i < strong ? 500 : 120));
  }
  return hosts;
}

std::vector<FleetHost> Only(const std::vector<FleetHost>& hosts,
                            const std::set<HostId>& ids) {
  std::vector<FleetHost> found;
  std::ranges::copy_if(
      hosts, std::back_inserter(found),
      [&ids](const FleetHost& host) { return ids.contains(host.id); });
  return found;
}

SchedulerState Serving(int64_t version) {
  return {.ready = true, .keys_proven = true, .version = version};
}

// Returns the scheduler for the next request, or an empty id if there is none.
HostId Chosen(const SchedulerChoice& choice) {
  return choice.Choose({}).value_or(HostId());
}

FleetEndpoint EngineIn(const std::string& zone, int number) {
  return {.run = {.id = EndpointId(zone + "-e" + std::to_string(number))},
          .zone = ZoneId(zone)};
}

}  // namespace

TEST_GROUP(FleetTopology){};

TEST(FleetTopology, RecordsKeepEverything) {
  const FleetHost host = Host("h", "zone a", 120);
  CHECK(DecodeFleetHost(host.id, EncodeFleetHost(host)).value() == host);
  CHECK(!DecodeFleetHost(host.id, "").has_value());
  CHECK(!DecodeFleetHost(host.id, "nowhere 120 z").has_value());
}

TEST(FleetTopology, EveryHostOfASmallZoneSchedules) {
  const auto hosts = Zone("a", 0, 3);
  LONGS_EQUAL(3, PlanSchedulers(hosts, {}).size());
}

TEST(FleetTopology, TheStrongestOfALargeZoneSchedule) {
  const auto hosts = Zone("a", 3, 40);
  const auto schedulers = PlanSchedulers(hosts, {.capacity_share = 0.2});
  LONGS_EQUAL(3, schedulers.size());
  for (const char* id : {"a-0", "a-1", "a-2"}) {
    CHECK(schedulers.contains(HostId(id)));
  }
}

// Guards against weak hosts that schedule though they aren't needed: a
// scheduler's reads and computations take too long there.
TEST(FleetTopology, TwoStrongHostsAreEnough) {
  LONGS_EQUAL(2, PlanSchedulers(Zone("a", 2, 30), {}).size());
  LONGS_EQUAL(2, PlanSchedulers(Zone("a", 1, 4), {}).size());
  LONGS_EQUAL(3, PlanSchedulers(Zone("a", 3, 4), {}).size());
}

// Guards against a zone whose few strong hosts can't carry its load.
TEST(FleetTopology, SchedulersHaveTheirShareOfTheZone) {
  const auto hosts = Zone("a", 2, 40);
  const auto schedulers = PlanSchedulers(hosts, {.capacity_share = 0.5});
  int64_t capacity = 0;
  for (const FleetHost& host : Only(hosts, schedulers)) {
    capacity += host.capacity;
  }
  CHECK(capacity >= (2 * 500 + 40 * 120) / 2);
}

// Guards against zones that are served through a single link.
TEST(FleetTopology, IngressHostsLinkNearAndFar) {
  auto hosts = Zone("a", 3, 5);
  const auto other = Zone("b", 3, 5);
  hosts.insert(hosts.end(), other.begin(), other.end());
  const auto schedulers = Only(hosts, PlanSchedulers(hosts, {}));
  const auto picked = PickSchedulers(Host("a-7", "a", 120), schedulers, {}, {});
  LONGS_EQUAL(4, picked.size());
  LONGS_EQUAL(3, std::ranges::count(picked, ZoneId("a"), &FleetHost::zone));
}

// Guards against links, and the requests on them, that are closed because the
// list of schedulers has grown.
TEST(FleetTopology, LinksStayWhenSchedulersCome) {
  const FleetHost self = Host("i", "a", 120);
  const auto few = Zone("a", 3, 0);
  std::set<HostId> linked;
  for (const FleetHost& host : few) {
    linked.insert(host.id);
  }
  for (const FleetHost& host :
       PickSchedulers(self, Zone("a", 12, 0), {.linked = linked},
                      {.other_zone_links = 0})) {
    CHECK(linked.contains(host.id));
  }
}

// Guards against an ingress host that is linked only with the weak schedulers
// of its zone.
TEST(FleetTopology, LinksToStrongOnesOfOtherZonesBesideWeakOnes) {
  std::vector<FleetHost> schedulers{Host("a1", "a", 120), Host("a2", "a", 120),
                                    Host("a3", "a", 120)};
  for (const char* id : {"b1", "b2", "c1", "c2"}) {
    schedulers.push_back(Host(id, id[0] == 'b' ? "b" : "c", 500));
    schedulers.push_back(Host(std::string(id) + "w", "c", 120));
  }
  const auto picked = PickSchedulers(Host("i", "a", 120), schedulers, {}, {});
  LONGS_EQUAL(7, picked.size());
  LONGS_EQUAL(4, std::ranges::count(picked, 500, &FleetHost::capacity));
}

// Guards against an ingress host without a scheduler once all its linked
// schedulers have drained, and against responses that are cut with their links.
TEST(FleetTopology, LinksToSchedulersThatStayBesideDrainingOnes) {
  auto schedulers = Zone("a", 3, 0);
  const auto other = Zone("b", 3, 0);
  schedulers.insert(schedulers.end(), other.begin(), other.end());
  const FleetHost self = Host("i", "a", 120);
  SchedulerLinks links;
  for (const FleetHost& host : PickSchedulers(self, schedulers, {}, {})) {
    links.linked.insert(host.id);
  }
  links.draining = {HostId("a-0"), HostId("a-1")};
  std::set<HostId> ids;
  for (const FleetHost& host : PickSchedulers(self, schedulers, links, {})) {
    ids.insert(host.id);
  }
  LONGS_EQUAL(6, ids.size());
  CHECK(std::ranges::includes(ids, links.linked));
}

// Guards against choosing weak schedulers of an ingress host's own zone over
// strong ones of other zones while the strong ones of its zone drain.
TEST(FleetTopology, LinksToStrongOnesWhileThoseOfItsZoneDrain) {
  std::vector<FleetHost> schedulers{Host("a1", "a", 500), Host("a2", "a", 500)};
  for (const char* id : {"b1", "b2", "c1", "c2"}) {
    schedulers.push_back(Host(id, id[0] == 'b' ? "b" : "c", 500));
    schedulers.push_back(Host(std::string(id) + "w", "c", 120));
  }
  const std::set<HostId> gone{HostId("a1"), HostId("a2")};
  const auto picked = PickSchedulers(Host("i", "a", 120), schedulers,
                                     {.linked = gone, .draining = gone}, {});
  LONGS_EQUAL(6, picked.size());
  LONGS_EQUAL(6, std::ranges::count(picked, 500, &FleetHost::capacity));
}

// Guards against one scheduler that the ingress hosts of all other zones
// choose.
TEST(FleetTopology, FarLinksAreSpread) {
  auto hosts = Zone("a", 0, 60);
  const auto other = Zone("b", 6, 0);
  hosts.insert(hosts.end(), other.begin(), other.end());
  std::map<HostId, int> picks;
  for (int i = 0; i < 60; ++i) {
    const FleetHost self = Host("a-" + std::to_string(i), "a", 120);
    for (const FleetHost& one :
         PickSchedulers(self, other, {}, {.own_zone_links = 0})) {
      ++picks[one.id];
    }
  }
  LONGS_EQUAL(6, picks.size());
  for (const auto& [id, count] : picks) {
    CHECK(count < 30);
  }
}

// Guards against engines that every scheduler polls, and against one scheduler
// that polls all engines.
TEST(FleetTopology, EachEngineHasOneSubscriberInItsZone) {
  auto schedulers = Zone("a", 3, 0);
  const auto other = Zone("b", 3, 0);
  schedulers.insert(schedulers.end(), other.begin(), other.end());
  std::map<HostId, int> followed;
  for (int i = 0; i < 90; ++i) {
    const FleetHost& host = SubscriberOf(EngineIn("b", i), schedulers);
    CHECK(host.zone == ZoneId("b"));
    ++followed[host.id];
  }
  LONGS_EQUAL(3, followed.size());
  for (const auto& [id, count] : followed) {
    CHECK(count > 15);
  }
}

// Guards against engines without a subscriber after theirs is lost, and against
// moving the other engines too.
TEST(FleetTopology, OnlyEnginesOfALostSubscriberChangeHands) {
  const auto before = Zone("a", 4, 0);
  const std::vector<FleetHost> after(before.begin() + 1, before.end());
  for (int i = 0; i < 60; ++i) {
    const FleetEndpoint engine = EngineIn("a", i);
    const HostId old = SubscriberOf(engine, before).id;
    const HostId now = SubscriberOf(engine, after).id;
    CHECK(now == old || old == before.front().id);
  }
}

TEST_GROUP(SchedulerChoice){};

TEST(SchedulerChoice, SpreadsByCapacityWithinTheZone) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers(
      {Host("s1", "a", 500), Host("s2", "a", 250), Host("s3", "b", 500)});
  for (const char* id : {"s1", "s2", "s3"}) {
    choice.OnState(HostId(id), Serving(1));
  }
  std::map<HostId, int> chosen;
  for (int i = 0; i < 90; ++i) {
    const HostId to = Chosen(choice);
    ++chosen[to];
    choice.OnForwarded(to);
    choice.OnEnded(to);
  }
  CHECK(std::abs(chosen[HostId("s1")] - 60) <= 1);
  CHECK(std::abs(chosen[HostId("s2")] - 30) <= 1);
  LONGS_EQUAL(0, chosen[HostId("s3")]);
}

// Guards against a zone that isn't served after all its schedulers have died.
TEST(SchedulerChoice, OtherZonesServeWhileTheOwnCannot) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers({Host("s1", "a", 500), Host("s2", "b", 500)});
  CHECK(!choice.Ready());
  choice.OnState(HostId("s1"), Serving(1));
  choice.OnState(HostId("s2"), Serving(1));
  choice.OnLinkLost(HostId("s1"));
  CHECK(choice.Choose({}) == HostId("s2"));
  CHECK(!choice.Choose({HostId("s2")}).has_value());
}

// Guards against sending all requests of a zone to its weak schedulers with
// slow links while its strong ones are absent and strong ones of other zones
// serve.
TEST(SchedulerChoice, StrongOnesOfOtherZonesComeBeforeMuchWeakerOnes) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers(
      {Host("w1", "a", 120), Host("w2", "a", 120), Host("s1", "b", 500)});
  for (const char* id : {"w1", "w2", "s1"}) {
    choice.OnState(HostId(id), Serving(1));
  }
  CHECK(choice.Choose({}) == HostId("s1"));
  CHECK(choice.Choose({HostId("s1")}) != HostId("s1"));
  for (int i = 0; i < 10; ++i) {
    choice.OnForwarded(HostId("s1"));
  }
  CHECK(choice.Choose({}) != HostId("s1"));
}

// Guards against a linked scheduler that is never chosen because its status
// arrived before it was listed, or because it was missing from one list.
TEST(SchedulerChoice, KeepsTheStatusOfAnUnlistedScheduler) {
  SchedulerChoice choice(ZoneId("a"));
  choice.OnState(HostId("s1"), Serving(1));
  CHECK(!choice.Ready());
  choice.SetSchedulers({Host("s1", "a", 500)});
  CHECK(choice.Ready());
  choice.SetSchedulers({});
  CHECK(!choice.Ready());
  choice.SetSchedulers({Host("s1", "a", 500)});
  CHECK(choice.Ready());
  choice.OnLinkLost(HostId("s1"));
  choice.SetSchedulers({Host("s1", "a", 500)});
  CHECK(!choice.Ready());
}

// Guards against a configuration change that appears undone to a caller: one
// request is served by a scheduler that has the change, the next by one without
// it.
TEST(SchedulerChoice, NeverGoesBackToAnOlderConfiguration) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers({Host("s1", "a", 500), Host("s2", "a", 500)});
  choice.OnState(HostId("s1"), Serving(4));
  choice.OnState(HostId("s2"), Serving(5));
  CHECK(choice.Choose({}) == HostId("s2"));
  choice.OnLinkLost(HostId("s2"));
  CHECK(!choice.Ready());
  choice.OnState(HostId("s1"), Serving(5));
  CHECK(choice.Ready());
}

// Guards against forwarding to a scheduler with an older configuration than
// this host has already applied.
TEST(SchedulerChoice, NeverChoosesASchedulerBehindThisHost) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers({Host("s1", "a", 500)});
  choice.OnState(HostId("s1"), Serving(4));
  choice.NoteAppliedVersion(5);
  CHECK(!choice.Ready());
  choice.OnState(HostId("s1"), Serving(5));
  CHECK(choice.Choose({}) == HostId("s1"));
}

// Guards against refused API keys while another scheduler could verify them.
TEST(SchedulerChoice, PrefersSchedulersThatCanTrustKeys) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers({Host("s1", "a", 500), Host("s2", "b", 500)});
  choice.OnState(HostId("s1"), {.ready = true, .version = 1});
  choice.OnState(HostId("s2"), Serving(1));
  CHECK(choice.Choose({}) == HostId("s2"));
  choice.OnLinkLost(HostId("s2"));
  CHECK(choice.Choose({}) == HostId("s1"));
}

// Guards against a scheduler that has stopped answering and attracts the
// requests of its whole zone until its link closes.
TEST(SchedulerChoice, AvoidsASchedulerThatIsStuck) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers({Host("s1", "a", 500), Host("s2", "a", 500)});
  choice.OnState(HostId("s1"), Serving(1));
  choice.OnState(HostId("s2"), Serving(1));
  int to_stuck = 0;
  for (int i = 0; i < 100; ++i) {
    const HostId to = Chosen(choice);
    choice.OnForwarded(to);
    if (to == HostId("s1")) {
      ++to_stuck;
    } else {
      choice.OnEnded(to);
    }
  }
  CHECK(to_stuck < 10);
}

// Guards against a slow host that delays its share of the requests while others
// of its zone keep up. Other zones aren't used for that.
TEST(SchedulerChoice, AvoidsABusySchedulerOfItsZone) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers(
      {Host("s1", "a", 500), Host("s2", "a", 500), Host("s3", "b", 500)});
  SchedulerState busy = Serving(1);
  busy.busy = true;
  choice.OnState(HostId("s1"), busy);
  choice.OnState(HostId("s2"), Serving(1));
  choice.OnState(HostId("s3"), Serving(1));
  for (int i = 0; i < 10; ++i) {
    CHECK(choice.Choose({}) == HostId("s2"));
    choice.OnForwarded(HostId("s2"));
    choice.OnEnded(HostId("s2"));
  }
  choice.OnState(HostId("s2"), busy);
  CHECK(choice.Choose({}) == HostId("s1"));
}

// Guards against requests to a scheduler whose process is about to end, and
// against refusals while only such schedulers are linked.
TEST(SchedulerChoice, ADrainingSchedulerIsTheLastResort) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers({Host("s1", "a", 500), Host("s2", "b", 250)});
  SchedulerState draining = Serving(1);
  draining.draining = true;
  choice.OnState(HostId("s1"), draining);
  CHECK(choice.Choose({}) == HostId("s1"));
  choice.OnState(HostId("s2"), Serving(1));
  CHECK(choice.Choose({}) == HostId("s2"));
  CHECK(choice.Choose({HostId("s2")}) == HostId("s1"));
}

// Guards against moving the load of a strong scheduler to a weak one with a
// slow link while the strong one still accepts requests.
TEST(SchedulerChoice, AStrongDrainingOneComesBeforeMuchWeakerOnes) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers(
      {Host("s1", "b", 500), Host("w1", "a", 120), Host("s2", "b", 500)});
  SchedulerState draining = Serving(1);
  draining.draining = true;
  choice.OnState(HostId("s1"), draining);
  choice.OnState(HostId("w1"), Serving(1));
  CHECK(choice.Choose({}) == HostId("s1"));
  choice.OnState(HostId("s2"), Serving(1));
  CHECK(choice.Choose({}) == HostId("s2"));
}

// Guards against a new scheduler that receives every request until it has had
// as many as a draining one.
TEST(SchedulerChoice, NewSchedulersBeginLevelWithThoseThatStay) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers(
      {Host("s1", "a", 500), Host("s2", "a", 500), Host("s3", "a", 500)});
  SchedulerState draining = Serving(1);
  draining.draining = true;
  choice.OnState(HostId("s1"), draining);
  choice.OnState(HostId("s2"), Serving(1));
  for (int i = 0; i < 50; ++i) {
    choice.OnForwarded(HostId("s2"));
    choice.OnEnded(HostId("s2"));
  }
  choice.OnState(HostId("s3"), Serving(1));
  int to_new = 0;
  for (int i = 0; i < 10; ++i) {
    const HostId to = Chosen(choice);
    to_new += to == HostId("s3") ? 1 : 0;
    choice.OnForwarded(to);
    choice.OnEnded(to);
  }
  LONGS_EQUAL(5, to_new);
}

// Guards against a returning scheduler that receives every request until it has
// had as many as the others.
TEST(SchedulerChoice, NewSchedulersBeginLevel) {
  SchedulerChoice choice(ZoneId("a"));
  choice.SetSchedulers({Host("s1", "a", 500), Host("s2", "a", 500)});
  choice.OnState(HostId("s1"), Serving(1));
  for (int i = 0; i < 50; ++i) {
    choice.OnForwarded(HostId("s1"));
    choice.OnEnded(HostId("s1"));
  }
  choice.OnState(HostId("s2"), Serving(1));
  int to_new = 0;
  for (int i = 0; i < 10; ++i) {
    const HostId to = Chosen(choice);
    to_new += to == HostId("s2") ? 1 : 0;
    choice.OnForwarded(to);
    choice.OnEnded(to);
  }
  LONGS_EQUAL(5, to_new);
}

}  // namespace hickorystand
