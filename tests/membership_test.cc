// Tests of membership and of what hosts say about endpoints.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "decisions/digest_delta.h"
#include "decisions/endpoint_status_table.h"
#include "decisions/membership.h"

namespace hickorystand {
namespace {

using std::chrono::seconds;

const DataCentreId kHere("dc1");
const DataCentreId kThere("dc2");

PeerHost Host(const std::string& id,
              const DataCentreId& data_centre = kHere,
              uint16_t port = 0) {
  // A port of its own for each host, unless two shall share one.
  const auto own =
      static_cast<uint16_t>(1000 + std::hash<std::string>()(id) % 50000);
  return {.host = HostId(id),
          .data_centre = data_centre,
          .address = {.host = "127.0.0.1", .port = port == 0 ? own : port}};
}

std::vector<ListedHost> List(const std::vector<PeerHost>& hosts) {
  std::vector<ListedHost> list;
  std::ranges::transform(
      hosts, std::back_inserter(list),
      [](const PeerHost& host) { return ListedHost{.peer = host}; });
  return list;
}

std::vector<std::string> Ids(const std::vector<HostId>& hosts) {
  std::vector<std::string> ids;
  std::ranges::transform(hosts, std::back_inserter(ids), &HostId::Text);
  return ids;
}

std::vector<std::string> Ids(const std::vector<PeerHost>& hosts) {
  std::vector<std::string> ids;
  std::ranges::transform(hosts, std::back_inserter(ids),
                         [](const PeerHost& host) { return host.host.Text(); });
  return ids;
}

using Texts = std::vector<std::string>;

}  // namespace

TEST_GROUP(Membership) {
  Instant now{seconds(1000)};
  Membership members{{.self = Host("b"), .incarnation = 5}};

  void Hear(const std::string& id, uint64_t incarnation = 1,
            bool leaving = false) {
    this->members.OnHostMessage(this->now, HostId(id), kHere, incarnation,
                                leaving);
  }

  HostState State(const std::string& id) {
    return this->members.StateOf(this->now, HostId(id));
  }
};

TEST(Membership, SilenceMakesSuspectedThenGone) {
  this->Hear("a");
  CHECK(this->State("a") == HostState::kLive);
  this->now += seconds(4);
  CHECK(this->State("a") == HostState::kSuspected);
  this->now += seconds(12);
  CHECK(this->State("a") == HostState::kGone);
  CHECK(this->members.Members(this->now).empty());
}

// The platform's list still names a host that died a minute ago. It must not
// hold a watch or be anybody's deputy, though links to it go on being tried.
TEST(Membership, AListedHostThatIsSilentIsTrustedWithNothing) {
  this->members.OnHostList(this->now, List({Host("a"), Host("c")}));
  CHECK((Ids(this->members.EligibleHosts(this->now, kHere)) ==
         Texts{"a", "b", "c"}));
  this->now += seconds(60);
  this->Hear("c");
  CHECK(this->State("a") == HostState::kSuspected);
  CHECK(
      (Ids(this->members.EligibleHosts(this->now, kHere)) == Texts{"b", "c"}));
  CHECK((Ids(this->members.Links(this->now)) == Texts{"a", "c"}));
}

// A host says that it leaves; then an older message of it arrives in which it
// still lives, and the lagging list says the same. If it were taken for live
// again, new work would be handed to a process that is about to end.
TEST(Membership, LeavingIsFinalWithinAnIncarnation) {
  this->members.OnHostList(this->now, List({Host("a")}));
  this->Hear("a", 1, true);
  this->Hear("a", 1, false);
  this->members.OnHostList(this->now, List({Host("a")}));
  CHECK(this->State("a") == HostState::kLeaving);
  this->Hear("a", 2, false);
  CHECK(this->State("a") == HostState::kLive);
}

// With the rule switched off, the late message brings the host back to life.
TEST(Membership, WithoutTheRuleALateMessageUndoesLeaving) {
  Membership without{
      {.self = Host("b"), .incarnation = 5, .leaving_is_final = false}};
  without.OnHostMessage(this->now, HostId("a"), kHere, 1, true);
  without.OnHostMessage(this->now, HostId("a"), kHere, 1, false);
  CHECK(without.StateOf(this->now, HostId("a")) == HostState::kLive);
}

// The list says that a host leaves, but means the process before: the host was
// restarted under its id and is heard from. The list lags and stays so for a
// while, which mustn't keep the new process out.
TEST(Membership, ALaggingListDoesNotMarkTheNextIncarnation) {
  this->members.OnHostList(this->now, List({Host("a")}));
  this->Hear("a", 1);
  auto list = List({Host("a")});
  list.front().leaving = true;
  this->members.OnHostList(this->now, list);
  CHECK(this->State("a") == HostState::kLeaving);
  this->Hear("a", 2);
  this->members.OnHostList(this->now, list);
  CHECK(this->State("a") == HostState::kLive);
}

// A host is replaced by another one at the same address. The old one can't
// come back there, so it goes as soon as it is silent.
TEST(Membership, AHostReplacedUnderItsAddressIsForgotten) {
  this->members.OnHostList(this->now, List({Host("a", kHere, 7000)}));
  this->Hear("a");
  this->now += seconds(4);
  this->members.OnHostList(this->now, List({Host("z", kHere, 7000)}));
  CHECK(this->State("a") == HostState::kGone);
  CHECK((Ids(this->members.Links(this->now)) == Texts{"z"}));
}

// Two processes bear one id: the one before wakes up after a long pause. What
// it says is dropped, or its old counters would stand for the new process.
TEST(Membership, TheHigherIncarnationWins) {
  const auto hear = [&](uint64_t incarnation) {
    return this->members.OnHostMessage(this->now, HostId("a"), kHere,
                                       incarnation, false);
  };
  CHECK(hear(7) == Heard::kCurrent);
  CHECK(hear(6) == Heard::kSuperseded);
  CHECK(hear(7) == Heard::kCurrent);
}

// This host itself was replaced while it was paused: a newer process bears its
// id. It finds out and can drain.
TEST(Membership, NoticesThatItWasReplaced) {
  this->members.OnHostMessage(this->now, HostId("b"), kHere, 4, false);
  CHECK(!this->members.Superseded());
  CHECK(this->members.OnHostMessage(this->now, HostId("b"), kHere, 6, false) ==
        Heard::kSelf);
  CHECK(this->members.Superseded());
}

// A host whose link breaks over and over would be made representative and lose
// it again each time, and watches would move to and fro with it.
TEST(Membership, AFlappingHostIsTrustedWithNothing) {
  for (int i = 0; i < 3; ++i) {
    this->Hear("a");
    this->members.OnLinkDown(this->now, HostId("a"));
    this->now += seconds(2);
  }
  this->Hear("a");
  CHECK(this->State("a") == HostState::kLive);
  CHECK((Ids(this->members.EligibleHosts(this->now, kHere)) == Texts{"b"}));
  this->now += seconds(60);
  this->Hear("a");
  CHECK(
      (Ids(this->members.EligibleHosts(this->now, kHere)) == Texts{"a", "b"}));
}

// A and B can't hear each other, but C hears both. Then B and C both hold what
// A should share with B. That is a watch too many and no harm: there must
// never be none.
TEST(Membership, AOneWayCutLeavesWatchersOnEverySide) {
  std::vector<Membership> hosts;
  for (const std::string id : {"a", "b", "c"}) {
    hosts.emplace_back(MembershipOptions{.self = Host(id), .incarnation = 1});
    hosts.back().OnHostList(this->now, List({Host("a"), Host("b"), Host("c")}));
  }
  const auto hear = [&](int to, const std::string& from) {
    hosts[to].OnHostMessage(this->now, HostId(from), kHere, 1, false);
  };
  for (int i = 0; i < 20; ++i) {
    this->now += seconds(1);
    hear(0, "c");
    hear(1, "c");
    hear(2, "a");
    hear(2, "b");
    const auto watchers = std::ranges::count_if(
        hosts,
        [&](const Membership& host) { return host.Rank(now) != kNoRank; });
    CHECK(watchers >= 2);
  }
  LONGS_EQUAL(0, hosts[0].Rank(this->now));
  LONGS_EQUAL(0, hosts[1].Rank(this->now));
  LONGS_EQUAL(kNoRank, hosts[2].Rank(this->now));
}

TEST(Membership, RepresentativesOfOneRankAreLinked) {
  const auto list = List({Host("a"), Host("b"), Host("c"), Host("p", kThere),
                          Host("q", kThere), Host("r", kThere)});
  const auto links = [&](const std::string& self, const DataCentreId& where) {
    Membership host{{.self = Host(self, where), .incarnation = 1}};
    host.OnHostList(this->now, list);
    return Ids(host.Links(this->now));
  };
  CHECK((links("a", kHere) == Texts{"b", "c", "p"}));
  CHECK((links("b", kHere) == Texts{"a", "c", "q"}));
  CHECK((links("c", kHere) == Texts{"a", "b"}));
  CHECK((links("q", kThere) == Texts{"b", "p", "r"}));
}

// The distant representative is dead, but the list still names it. The data
// centres would stay apart until the list catches up; instead the next one is
// asked after a few seconds, and the first one again later.
TEST(Membership, AsksTheNextHostWhenADistantOneIsSilent) {
  Membership host{{.self = Host("a"), .incarnation = 1}};
  host.OnHostList(this->now, List({Host("p", kThere), Host("q", kThere)}));
  CHECK((Ids(host.Links(this->now)) == Texts{"p"}));
  this->now += seconds(4);
  CHECK((Ids(host.Links(this->now)) == Texts{"q"}));
  bool again = false;
  for (int i = 0; i < 30; ++i) {
    this->now += seconds(1);
    again |= Ids(host.Links(this->now)) == Texts{"p"};
  }
  CHECK(again);
}

TEST(Membership, TheDeputyIsNeverTheCoordinator) {
  this->members.OnHostList(this->now, List({Host("a"), Host("c")}));
  STRCMP_EQUAL("a",
               this->members.Deputy(this->now, HostId("c")).Text().c_str());
  STRCMP_EQUAL("b",
               this->members.Deputy(this->now, HostId("a")).Text().c_str());
}

TEST(Membership, ADrainingHostGivesUpItsRank) {
  this->members.OnHostList(this->now, List({Host("c")}));
  LONGS_EQUAL(0, this->members.Rank(this->now));
  this->members.StartDrain();
  LONGS_EQUAL(kNoRank, this->members.Rank(this->now));
}

TEST_GROUP(EndpointStatusTable) {
  EndpointStatusTable board;
  const EndpointId endpoint{"e1"};
  const HostId a{"a"};
  const HostId b{"b"};

  EndpointNews News(uint64_t incarnation, bool leaving, bool down) {
    return {.endpoint = this->endpoint,
            .incarnation = incarnation,
            .leaving = leaving,
            .down = down};
  }
};

// An endpoint leaves. Another host, whose report of it is older, still says
// that it is fine. It gets no new work until it starts anew.
TEST(EndpointStatusTable, LeavingIsFinalWithinAnIncarnation) {
  this->board.OnNews(this->a, this->News(3, true, false));
  this->board.OnNews(this->b, this->News(3, false, false));
  this->board.OnNews(this->a, std::vector<EndpointNews>{});
  this->board.OnHostLost(this->a);
  this->board.OnAlive(this->endpoint, 3);
  CHECK(this->board.Out(this->endpoint));
  this->board.OnNews(this->b, this->News(2, false, false));
  CHECK(this->board.Out(this->endpoint));
  this->board.OnAlive(this->endpoint, 4);
  CHECK(!this->board.Out(this->endpoint));
}

// A host loses its way to every endpoint and says that they are all down. Were
// it believed for good, the whole fleet would refuse its callers. Each host
// believes it only until it hears from the endpoint itself.
TEST(EndpointStatusTable, OneHostsBadViewDoesNotStopTheOthers) {
  this->board.OnNews(this->a, this->News(3, false, true));
  CHECK(this->board.Out(this->endpoint));
  this->board.OnAlive(this->endpoint, 3);
  CHECK(!this->board.Out(this->endpoint));
  this->board.OnNews(this->a, this->News(3, false, true));
  CHECK(!this->board.Out(this->endpoint));
  this->board.OnNews(this->b, this->News(3, false, true));
  CHECK(this->board.Out(this->endpoint));
}

TEST(EndpointStatusTable, DownEndsWhenItIsTakenBackOrItsTellerIsGone) {
  this->board.OnNews(this->a, this->News(3, false, true));
  this->board.OnNews(this->b, this->News(3, false, true));
  this->board.OnNews(this->a, std::vector<EndpointNews>{});
  CHECK(this->board.Out(this->endpoint));
  this->board.OnHostLost(this->b);
  CHECK(!this->board.Out(this->endpoint));
}

// One host sees that an endpoint leaves, and the digest that says so is lost
// on the way to some of the others. They must all keep new work away from it
// after the second digest.
TEST(EndpointStatusTable, AllKnowWithinTwoDigests) {
  constexpr int kHosts = 16;
  DigestSender sender;
  std::vector<DigestReceiver> receivers(kHosts);
  std::vector<EndpointStatusTable> boards(kHosts);
  Digest digest;
  digest.host = this->a;
  digest.incarnation = 1;
  const auto round = [&](bool lossy) {
    sender.Update(digest);
    for (int i = 0; i < kHosts; ++i) {
      const HostId to("h" + std::to_string(i));
      const DigestDelta delta = sender.Next(to);
      if (lossy && i % 3 == 0) {
        sender.OnDropped(to);
        continue;
      }
      receivers[i].Apply(delta);
      boards[i].OnNews(this->a, receivers[i].Current().endpoints);
      sender.OnAck(to, receivers[i].Ack());
    }
  };
  const auto out = [&] {
    return std::ranges::count_if(boards, [&](const EndpointStatusTable& one) {
      return one.Out(this->endpoint);
    });
  };
  round(false);
  LONGS_EQUAL(0, out());
  digest.endpoints = {this->News(1, true, false)};
  round(true);
  CHECK(out() < kHosts);
  round(false);
  LONGS_EQUAL(kHosts, out());
}

}  // namespace hickorystand
