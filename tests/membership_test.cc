// Tests of membership and of the hosts' reports about endpoints.

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
  // Each host has a different port, unless the test sets one.
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

  void ReceiveMessage(const std::string& id, uint64_t incarnation = 1,
                      bool leaving = false) {
    this->members.OnHostMessage(this->now, HostId(id), kHere, incarnation,
                                leaving);
  }

  HostState State(const std::string& id) {
    return this->members.StateOf(this->now, HostId(id));
  }
};

TEST(Membership, SilenceMakesSuspectedThenGone) {
  this->ReceiveMessage("a");
  CHECK(this->State("a") == HostState::kLive);
  this->now += seconds(4);
  CHECK(this->State("a") == HostState::kSuspected);
  this->now += seconds(12);
  CHECK(this->State("a") == HostState::kGone);
  CHECK(this->members.Members(this->now).empty());
}

// The platform's list still contains a host that died a minute ago. It must not
// hold a watch or be a deputy, though links to it are still attempted.
TEST(Membership, AListedSilentHostIsNotEligible) {
  this->members.OnHostList(this->now, List({Host("a"), Host("c")}));
  CHECK((Ids(this->members.EligibleHosts(this->now, kHere)) ==
         Texts{"a", "b", "c"}));
  this->now += seconds(60);
  this->ReceiveMessage("c");
  CHECK(this->State("a") == HostState::kSuspected);
  CHECK(
      (Ids(this->members.EligibleHosts(this->now, kHere)) == Texts{"b", "c"}));
  CHECK((Ids(this->members.Links(this->now)) == Texts{"a", "c"}));
}

// A host announces that it leaves. Then an older message arrives in which it is
// live, and the outdated list agrees. If it became live again, new work would
// be sent to a process that is about to end.
TEST(Membership, LeavingIsFinalWithinAnIncarnation) {
  this->members.OnHostList(this->now, List({Host("a")}));
  this->ReceiveMessage("a", 1, true);
  this->ReceiveMessage("a", 1, false);
  this->members.OnHostList(this->now, List({Host("a")}));
  CHECK(this->State("a") == HostState::kLeaving);
  this->ReceiveMessage("a", 2, false);
  CHECK(this->State("a") == HostState::kLive);
}

// With the rule disabled, the late message makes the host live again.
TEST(Membership, WithoutTheRuleALateMessageUndoesLeaving) {
  Membership without{
      {.self = Host("b"), .incarnation = 5, .leaving_is_final = false}};
  without.OnHostMessage(this->now, HostId("a"), kHere, 1, true);
  without.OnHostMessage(this->now, HostId("a"), kHere, 1, false);
  CHECK(without.StateOf(this->now, HostId("a")) == HostState::kLive);
}

// The list marks a host as leaving, but refers to its previous process: the
// host was restarted under the same id and sends messages. The list stays
// outdated for a while, which must not exclude the new process.
TEST(Membership, ALaggingListDoesNotMarkTheNextIncarnation) {
  this->members.OnHostList(this->now, List({Host("a")}));
  this->ReceiveMessage("a", 1);
  auto list = List({Host("a")});
  list.front().leaving = true;
  this->members.OnHostList(this->now, list);
  CHECK(this->State("a") == HostState::kLeaving);
  this->ReceiveMessage("a", 2);
  this->members.OnHostList(this->now, list);
  CHECK(this->State("a") == HostState::kLive);
}

// A host is replaced by another one at the same address. The old one can't
// return there, so it is gone as soon as it is silent.
TEST(Membership, AHostReplacedUnderItsAddressIsForgotten) {
  this->members.OnHostList(this->now, List({Host("a", kHere, 7000)}));
  this->ReceiveMessage("a");
  this->now += seconds(4);
  this->members.OnHostList(this->now, List({Host("z", kHere, 7000)}));
  CHECK(this->State("a") == HostState::kGone);
  CHECK((Ids(this->members.Links(this->now)) == Texts{"z"}));
}

// Two processes have the same id: the previous one resumes after a long pause.
// Its messages must be dropped, since its old counters would otherwise count as
// the new process's.
TEST(Membership, TheHigherIncarnationWins) {
  const auto receive = [&](uint64_t incarnation) {
    return this->members.OnHostMessage(this->now, HostId("a"), kHere,
                                       incarnation, false);
  };
  CHECK(receive(7) == SenderStatus::kCurrent);
  CHECK(receive(6) == SenderStatus::kSuperseded);
  CHECK(receive(7) == SenderStatus::kCurrent);
}

// This host itself was replaced while it was paused: a newer process has its
// id. It must detect this, so that it can drain.
TEST(Membership, NoticesThatItWasReplaced) {
  this->members.OnHostMessage(this->now, HostId("b"), kHere, 4, false);
  CHECK(!this->members.Superseded());
  CHECK(this->members.OnHostMessage(this->now, HostId("b"), kHere, 6, false) ==
        SenderStatus::kSelf);
  CHECK(this->members.Superseded());
}

// A host whose link fails repeatedly would become representative and lose the
// rank again each time, and watches would move back and forth with it.
TEST(Membership, AFlappingHostIsNotEligible) {
  for (int i = 0; i < 3; ++i) {
    this->ReceiveMessage("a");
    this->members.OnLinkDown(this->now, HostId("a"));
    this->now += seconds(2);
  }
  this->ReceiveMessage("a");
  CHECK(this->State("a") == HostState::kLive);
  CHECK((Ids(this->members.EligibleHosts(this->now, kHere)) == Texts{"b"}));
  this->now += seconds(60);
  this->ReceiveMessage("a");
  CHECK(
      (Ids(this->members.EligibleHosts(this->now, kHere)) == Texts{"a", "b"}));
}

// A and B can't reach each other, but C receives messages of both. Then B and C
// both hold what A should share with B. A redundant watch does no harm, but
// there must never be none.
TEST(Membership, AOneWayCutLeavesWatchersOnEverySide) {
  std::vector<Membership> hosts;
  for (const std::string id : {"a", "b", "c"}) {
    hosts.emplace_back(MembershipOptions{.self = Host(id), .incarnation = 1});
    hosts.back().OnHostList(this->now, List({Host("a"), Host("b"), Host("c")}));
  }
  const auto receive = [&](int to, const std::string& from) {
    hosts[to].OnHostMessage(this->now, HostId(from), kHere, 1, false);
  };
  for (int i = 0; i < 20; ++i) {
    this->now += seconds(1);
    receive(0, "c");
    receive(1, "c");
    receive(2, "a");
    receive(2, "b");
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

// The representative of another data centre is dead, but the list still
// contains it. The data centres would stay disconnected until the list is
// updated. Instead the next host must be tried after a few seconds, and the
// first one again later.
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
  EndpointStatusTable table;
  const EndpointId endpoint{"e1"};
  const HostId a{"a"};
  const HostId b{"b"};

  EndpointStatus MakeStatus(uint64_t incarnation, bool leaving, bool down) {
    return {.endpoint = this->endpoint,
            .incarnation = incarnation,
            .leaving = leaving,
            .down = down};
  }
};

// An endpoint leaves, and another host's older report still says that it is
// available. It must receive no new work until it restarts.
TEST(EndpointStatusTable, LeavingIsFinalWithinAnIncarnation) {
  this->table.OnReport(this->a, this->MakeStatus(3, true, false));
  this->table.OnReport(this->b, this->MakeStatus(3, false, false));
  this->table.OnReport(this->a, std::vector<EndpointStatus>{});
  this->table.OnHostLost(this->a);
  this->table.OnAlive(this->endpoint, 3);
  CHECK(this->table.IsUnavailable(this->endpoint));
  this->table.OnReport(this->b, this->MakeStatus(2, false, false));
  CHECK(this->table.IsUnavailable(this->endpoint));
  this->table.OnAlive(this->endpoint, 4);
  CHECK(!this->table.IsUnavailable(this->endpoint));
}

// A host loses its connections to all endpoints and reports them as down. If
// that report were final, the whole fleet would refuse requests. Each host must
// accept it only until the endpoint itself responds.
TEST(EndpointStatusTable, OneHostsBadViewDoesNotStopTheOthers) {
  this->table.OnReport(this->a, this->MakeStatus(3, false, true));
  CHECK(this->table.IsUnavailable(this->endpoint));
  this->table.OnAlive(this->endpoint, 3);
  CHECK(!this->table.IsUnavailable(this->endpoint));
  this->table.OnReport(this->a, this->MakeStatus(3, false, true));
  CHECK(!this->table.IsUnavailable(this->endpoint));
  this->table.OnReport(this->b, this->MakeStatus(3, false, true));
  CHECK(this->table.IsUnavailable(this->endpoint));
}

TEST(EndpointStatusTable, DownEndsWhenItIsWithdrawnOrItsReporterIsLost) {
  this->table.OnReport(this->a, this->MakeStatus(3, false, true));
  this->table.OnReport(this->b, this->MakeStatus(3, false, true));
  this->table.OnReport(this->a, std::vector<EndpointStatus>{});
  CHECK(this->table.IsUnavailable(this->endpoint));
  this->table.OnHostLost(this->b);
  CHECK(!this->table.IsUnavailable(this->endpoint));
}

// One host detects that an endpoint leaves, and its digest is lost on the way
// to some of the other hosts. All hosts must stop sending new work to the
// endpoint after the second digest.
TEST(EndpointStatusTable, AllKnowWithinTwoDigests) {
  constexpr int kHosts = 16;
  DigestSender sender;
  std::vector<DigestReceiver> receivers(kHosts);
  std::vector<EndpointStatusTable> tables(kHosts);
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
      tables[i].OnReport(this->a, receivers[i].Current().endpoints);
      sender.OnAck(to, receivers[i].Ack());
    }
  };
  const auto out = [&] {
    return std::ranges::count_if(tables, [&](const EndpointStatusTable& one) {
      return one.IsUnavailable(this->endpoint);
    });
  };
  round(false);
  LONGS_EQUAL(0, out());
  digest.endpoints = {this->MakeStatus(1, true, false)};
  round(true);
  CHECK(out() < kHosts);
  round(false);
  LONGS_EQUAL(kHosts, out());
}

}  // namespace hickorystand
