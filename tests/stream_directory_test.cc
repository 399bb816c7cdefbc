// Tests of StreamDirectory, alone and in simulated fleets of hosts that fail.

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decisions/fleet_placement.h"
#include "decisions/stream_directory.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ZoneId kZone("z1");
const ZoneId kOtherZone("z2");
const StreamOrigin kFirst{.service = ServiceId("s"),
                          .software = SoftwareVersion("v1")};
const StreamOrigin kSecond{.service = ServiceId("s"),
                           .software = SoftwareVersion("v2")};
constexpr StreamKey kStream = 7;
constexpr Duration kPatience = seconds(6);

Instant At(double time) {
  return Instant(FromSeconds(time));
}

StreamPeer Peer(const std::string& id, const ZoneId& zone = kZone) {
  return {.id = HostId(id), .zone = zone, .linked = true};
}

std::set<HostId> Receivers(const StreamMails& mails) {
  std::set<HostId> receivers;
  for (const StreamMail& mail : mails) {
    receivers.insert(mail.to);
  }
  return receivers;
}

StreamDirectory Linked(const std::vector<StreamPeer>& peers) {
  StreamDirectory directory(HostId("self"), kZone);
  directory.SetPeers(At(1), peers);
  return directory;
}

StreamReport ReportOf(const StreamOrigin& origin) {
  return {.stream = kStream, .origin = origin, .remaining = kPatience};
}

}  // namespace

TEST_GROUP(StreamDirectory){};

// Guards against records that are lost with a host or with a zone.
TEST(StreamDirectory, TellsHostsOfTwoZones) {
  StreamDirectory directory =
      Linked({Peer("a"), Peer("b"), Peer("c"), Peer("x", kOtherZone),
              Peer("y", kOtherZone)});
  const auto told =
      Receivers(directory.Record(At(1), kStream, kFirst, kPatience));
  LONGS_EQUAL(3, told.size());
  LONGS_EQUAL(1, told.contains(HostId("x")) + told.contains(HostId("y")));
}

// Guards against fewer copies where a zone has few hosts.
TEST(StreamDirectory, FillsUpFromTheOtherZone) {
  StreamDirectory few_here =
      Linked({Peer("a"), Peer("x", kOtherZone), Peer("y", kOtherZone),
              Peer("z", kOtherZone)});
  LONGS_EQUAL(3, few_here.Copies().size());
  CHECK(few_here.Copies().contains(HostId("a")));
  StreamDirectory one_zone =
      Linked({Peer("a"), Peer("b"), Peer("c"), Peer("d")});
  LONGS_EQUAL(3, one_zone.Copies().size());
}

// Guards against copies at hosts that are about to exit or can't be reached.
TEST(StreamDirectory, TellsNeitherDrainingNorUnlinkedHosts) {
  StreamPeer draining = Peer("a");
  draining.draining = true;
  StreamPeer unlinked = Peer("b");
  unlinked.linked = false;
  StreamDirectory directory = Linked({draining, unlinked, Peer("c")});
  CHECK(directory.Copies() == std::set<HostId>{HostId("c")});
}

// Guards against streams that nobody remembers after a rolling restart: a host
// that has just been linked gets the records of this host.
TEST(StreamDirectory, TellsANewHostAllOwnRecords) {
  StreamDirectory directory = Linked({Peer("a")});
  directory.Record(At(1), kStream, kFirst, kPatience);
  directory.OnMessage(
      At(1), HostId("a"),
      StreamReports{{{.stream = 8, .origin = kFirst, .remaining = kPatience}}});
  StreamPeer lost = Peer("a");
  lost.linked = false;
  CHECK(directory.SetPeers(At(2), {lost}).empty());
  const StreamMails again = directory.SetPeers(At(3), {Peer("a")});
  LONGS_EQUAL(1, again.size());
  const auto& reports = std::get<StreamReports>(again.front().message);
  LONGS_EQUAL(1, reports.streams.size());
  CHECK(reports.streams.front().stream == kStream);
  CHECK(reports.streams.front().remaining < kPatience + seconds(1));
}

// Guards against records that are lost with a host that drains, also those that
// it is told while it drains.
TEST(StreamDirectory, ADrainingHostPassesItsRecordsOn) {
  StreamDirectory directory = Linked({Peer("a"), Peer("b")});
  directory.OnMessage(At(1), HostId("a"), StreamReports{{ReportOf(kFirst)}});
  CHECK(Receivers(directory.StartDrain(At(2))) ==
        (std::set<HostId>{HostId("a"), HostId("b")}));
  const StreamReports late{
      {{.stream = 8, .origin = kFirst, .remaining = kPatience}}};
  LONGS_EQUAL(2, directory.OnMessage(At(2), HostId("a"), late).size());
  CHECK(directory.OnMessage(At(2), HostId("b"), late).empty());
}

// Guards against a choice between two origins that hosts have reported.
TEST(StreamDirectory, ContradictoryReportsLeaveTheOriginUnknown) {
  StreamDirectory directory = Linked({Peer("a")});
  directory.OnMessage(At(1), HostId("a"), StreamReports{{ReportOf(kFirst)}});
  CHECK(directory.Find(At(1), kStream) == StreamProgress::BegunAt(kFirst));
  directory.OnMessage(At(1), HostId("a"), StreamReports{{ReportOf(kSecond)}});
  directory.OnMessage(At(1), HostId("a"), StreamReports{{ReportOf(kSecond)}});
  CHECK(directory.Find(At(1), kStream) ==
        StreamProgress::BegunAtUnknownOrigin());
}

// Guards against records that pile up.
TEST(StreamDirectory, ForgetsStreamsWhoseCallersHaveGivenUp) {
  StreamDirectory directory = Linked({});
  directory.Record(At(1), kStream, kFirst, kPatience);
  CHECK(directory.Find(At(6.9), kStream).has_value());
  CHECK(!directory.Find(At(9.1), kStream).has_value());
  directory.Record(At(9.1), 8, kFirst, kPatience);
  LONGS_EQUAL(1, directory.Records());
  StreamDirectory small(HostId("self"), kZone, {.max_records = 3});
  for (StreamKey stream = 1; stream <= 5; ++stream) {
    small.Record(At(1 + 0.1 * static_cast<double>(stream)), stream, kFirst,
                 kPatience);
  }
  LONGS_EQUAL(3, small.Records());
  CHECK(!small.Find(At(2), 2).has_value());
  CHECK(small.Find(At(2), 3).has_value());
}

// Guards against callers that wait although all hosts have answered.
TEST(StreamDirectory, DecidesOnceAllHostsHaveAnswered) {
  StreamDirectory directory = Linked({Peer("a"), Peer("b")});
  CHECK(Receivers(directory.Ask(At(1), kStream)) ==
        (std::set<HostId>{HostId("a"), HostId("b")}));
  const StreamAnswer unknown{.unknown = {kStream}};
  directory.OnMessage(At(1), HostId("a"), unknown);
  CHECK(directory.TakeDecisions(At(1)).empty());
  directory.OnMessage(At(1), HostId("b"), unknown);
  const auto decided = directory.TakeDecisions(At(1));
  LONGS_EQUAL(1, decided.size());
  CHECK(decided.front().progress.OriginUnknown());
  LONGS_EQUAL(2, decided.front().asked);
  LONGS_EQUAL(0, decided.front().silent);
  CHECK(!directory.Asking());
}

// Guards against waiting for the other hosts after one has the record.
TEST(StreamDirectory, TheFirstRecordDecides) {
  StreamDirectory directory = Linked({Peer("a"), Peer("b")});
  directory.Ask(At(1), kStream);
  directory.OnMessage(At(1), HostId("b"),
                      StreamAnswer{.known = {ReportOf(kSecond)}});
  const auto decided = directory.TakeDecisions(At(1));
  LONGS_EQUAL(1, decided.size());
  CHECK(decided.front().progress == StreamProgress::BegunAt(kSecond));
  CHECK(decided.front().source == HostId("b"));
}

// Guards against callers that wait for a host that is frozen or not linked.
TEST(StreamDirectory, ASilentHostDelaysTheDecisionByTheTimeoutOnly) {
  StreamPeer unlinked = Peer("b");
  unlinked.linked = false;
  StreamDirectory directory = Linked({Peer("a"), unlinked});
  directory.Ask(At(1), kStream);
  CHECK(directory.TakeDecisions(At(1.19)).empty());
  const auto decided = directory.TakeDecisions(At(1.2));
  LONGS_EQUAL(1, decided.size());
  CHECK(decided.front().progress.OriginUnknown());
  LONGS_EQUAL(2, decided.front().silent);
}

// Guards against refusing streams whose record is at a host that is linked just
// now, as after a restart.
TEST(StreamDirectory, AsksAHostThatIsLinkedMeanwhile) {
  StreamPeer unlinked = Peer("a");
  unlinked.linked = false;
  StreamDirectory directory = Linked({unlinked});
  CHECK(directory.Ask(At(1), kStream).empty());
  const StreamMails asked = directory.SetPeers(At(1.1), {Peer("a")});
  LONGS_EQUAL(1, asked.size());
  CHECK(std::get<StreamQuestion>(asked.front().message).streams ==
        std::vector<StreamKey>{kStream});
}

// -- Simulated fleets ---------------------------------------------------------

namespace {

constexpr size_t kHosts = 5;
constexpr int kSteps = 220;
constexpr uint32_t kFleetsPerSeed = 10;

// How a stream was continued.
struct Attempt {
  StreamKey stream = 0;
  size_t host = 0;
  int step = 0;
  bool record_in_reach =
      false;  // the host or one that it is linked with has it
};

// Hosts with their real directories and placements, over links that are cut,
// delayed or lost, while hosts are killed, restarted, frozen and drained and
// endpoints are replaced by ones of another version. Host lists of endpoints
// differ. Callers begin streams and continue them anywhere.
class StreamFleet {
 public:
  explicit StreamFleet(uint32_t seed) : random(seed) {
    for (size_t i = 0; i < kHosts; ++i) {
      this->hosts.emplace_back();
      this->Start(i);
    }
    this->UpdateLinks();
  }

  void Run() {
    for (; this->step < kSteps; ++this->step) {
      this->now += 0.001 * static_cast<double>(this->Random(120));
      this->Step();
      this->Decide();
    }
  }

  int64_t mixed = 0;  // continued at another version than began them
  int64_t continued = 0;
  int64_t refused = 0;
  int64_t refused_known = 0;  // though a record was in reach

 private:
  struct Host {
    std::unique_ptr<StreamDirectory> directory;  // null: not running
    std::unique_ptr<FleetPlacement> placement;
    bool frozen = false;
    bool draining = false;
  };

  size_t Random(size_t below) { return this->random() % below; }
  Instant Now() const { return At(this->now); }
  static HostId NameOf(size_t host) {
    return HostId("h" + std::to_string(host));
  }
  static ZoneId ZoneOf(size_t host) {
    return host < kHosts / 2 ? kZone : kOtherZone;
  }

  bool Running(size_t host) const {
    return this->hosts[host].directory != nullptr;
  }
  bool LinkedWith(size_t one, size_t other) const {
    return one != other && this->Running(one) && this->Running(other) &&
           !this->cuts.contains(std::minmax(one, other));
  }

  // The endpoints as they are now. Version v1 is "e0" to "e2" at first.
  FleetEndpoints Endpoints() const {
    FleetEndpoints listed;
    for (size_t i = 0; i < this->versions.size(); ++i) {
      const EndpointId id("e" + std::to_string(i));
      listed[id] = {.run = {.id = id, .started = this->versions[i].first},
                    .service = kFirst.service,
                    .software = SoftwareVersion(
                        "v" + std::to_string(this->versions[i].second)),
                    .slots = 64};
    }
    return listed;
  }

  void Start(size_t host) {
    Host& started = this->hosts[host];
    started = {};
    started.directory =
        std::make_unique<StreamDirectory>(NameOf(host), ZoneOf(host));
    started.placement = std::make_unique<FleetPlacement>(PlacementOptions{});
    started.placement->SetEndpoints(this->Endpoints());
  }

  void Kill(size_t host) {
    this->hosts[host] = {};
    std::erase_if(this->attempts, [host](const Attempt& attempt) {
      return attempt.host == host;
    });
  }

  // Tells each host whom it is linked with. Messages on lost links are lost.
  void UpdateLinks() {
    for (auto& [link, queue] : this->queues) {
      if (!this->LinkedWith(link.first, link.second)) {
        queue.clear();
      }
    }
    for (size_t host = 0; host < kHosts; ++host) {
      if (!this->Running(host)) {
        continue;
      }
      std::vector<StreamPeer> peers;
      for (size_t other = 0; other < kHosts; ++other) {
        if (other != host) {
          peers.push_back({.id = NameOf(other),
                           .zone = ZoneOf(other),
                           .linked = this->LinkedWith(host, other),
                           .draining = this->hosts[other].draining});
        }
      }
      this->Send(host,
                 this->hosts[host].directory->SetPeers(this->Now(), peers));
    }
  }

  void Send(size_t from, const StreamMails& mails) {
    for (const StreamMail& mail : mails) {
      const size_t to = static_cast<size_t>(mail.to.Text().back() - '0');
      if (this->LinkedWith(from, to)) {
        this->queues[{from, to}].push_back(mail.message);
      }
    }
  }

  // Delivers messages on links in random order, in order on each link.
  void Deliver(size_t most) {
    for (size_t i = 0; i < most; ++i) {
      std::vector<std::pair<size_t, size_t>> ready;
      for (const auto& [link, queue] : this->queues) {
        if (!queue.empty() && !this->hosts[link.second].frozen) {
          ready.push_back(link);
        }
      }
      if (ready.empty()) {
        return;
      }
      const auto link = ready[this->Random(ready.size())];
      const StreamMessage message = this->queues[link].front();
      this->queues[link].pop_front();
      this->Send(link.second, this->hosts[link.second].directory->OnMessage(
                                  this->Now(), NameOf(link.first), message));
    }
  }

  void Begin(size_t host) {
    Host& at = this->hosts[host];
    const auto placed =
        at.placement->Place(this->Now(), {.service = kFirst.service}, {});
    const auto* target = std::get_if<PlacementTarget>(&placed);
    if (target == nullptr) {
      return;
    }
    const FleetEndpoint endpoint = this->Endpoints().at(target->endpoint);
    if (!at.placement->IsListed(endpoint.run)) {
      return;  // the endpoint is another process by now, and refuses the call
    }
    const StreamKey stream = this->truth.size() + 1;
    this->truth[stream] = endpoint.Origin();
    this->Send(host, at.directory->Record(this->Now(), stream,
                                          endpoint.Origin(), kPatience));
  }

  void Continue(size_t host) {
    if (this->truth.empty()) {
      return;
    }
    const StreamKey newest = this->truth.size();
    const StreamKey stream = newest - this->Random(std::min<size_t>(newest, 6));
    Attempt attempt{.stream = stream, .host = host, .step = this->step};
    for (size_t other = 0; other < kHosts; ++other) {
      const bool reached = other == host || (this->LinkedWith(host, other) &&
                                             !this->hosts[other].frozen);
      attempt.record_in_reach =
          attempt.record_in_reach ||
          (reached && this->hosts[other].directory->Find(this->Now(), stream));
    }
    StreamDirectory& directory = *this->hosts[host].directory;
    if (const auto found = directory.Find(this->Now(), stream)) {
      this->Finish(attempt, *found);
      return;
    }
    this->Send(host, directory.Ask(this->Now(), stream));
    this->attempts.push_back(attempt);
    if (this->Random(2) == 0) {
      this->Deliver(1000);  // links are usually faster than callers
    }
  }

  void Decide() {
    for (size_t host = 0; host < kHosts; ++host) {
      if (!this->Running(host) || this->hosts[host].frozen) {
        continue;
      }
      for (const StreamDecision& decision :
           this->hosts[host].directory->TakeDecisions(this->Now())) {
        std::erase_if(this->attempts, [&](const Attempt& attempt) {
          const bool ours =
              attempt.host == host && attempt.stream == decision.stream;
          if (ours) {
            this->Finish(attempt, decision.progress);
          }
          return ours;
        });
      }
    }
  }

  void Finish(const Attempt& attempt, const StreamProgress& progress) {
    if (progress.OriginUnknown()) {
      ++this->refused;
      this->refused_known +=
          attempt.record_in_reach && attempt.step == this->step ? 1 : 0;
      return;
    }
    Host& at = this->hosts[attempt.host];
    const auto placed = at.placement->Place(
        this->Now(), {.service = kFirst.service, .progress = progress}, {});
    const auto* target = std::get_if<PlacementTarget>(&placed);
    if (target == nullptr) {
      return;
    }
    const FleetEndpoint endpoint = this->Endpoints().at(target->endpoint);
    if (!at.placement->IsListed(endpoint.run)) {
      return;
    }
    ++this->continued;
    this->mixed += endpoint.Origin() == this->truth.at(attempt.stream) ? 0 : 1;
    this->Send(attempt.host,
               at.directory->Record(this->Now(), attempt.stream,
                                    progress.Origin(), kPatience));
  }

  void Step() {
    const size_t host = this->Random(kHosts);
    const size_t other = this->Random(kHosts);
    Host& at = this->hosts[host];
    const bool acts = this->Running(host) && !at.frozen;
    switch (this->Random(16)) {
      case 0:
        this->Kill(host);
        break;
      case 1:
        if (!this->Running(host)) {
          this->Start(host);
        }
        break;
      case 2:
        if (host != other) {
          this->cuts.insert(std::minmax(host, other));
        }
        break;
      case 3:
        this->cuts.clear();
        break;
      case 4:
        at.frozen = this->Running(host) && !at.frozen;
        break;
      case 5:
        if (acts && !at.draining) {
          at.draining = true;
          this->Send(host, at.directory->StartDrain(this->Now()));
        }
        break;
      case 6: {
        auto& [started, version] =
            this->versions[this->Random(this->versions.size())];
        ++started;
        version = 1 + static_cast<int64_t>(this->Random(3));
        break;
      }
      case 7:
      case 8:
        if (acts) {
          at.placement->SetEndpoints(this->Endpoints());
        }
        break;
      case 9:
      case 10:
        this->Deliver(this->Random(20));
        break;
      case 11:
      case 12:
      case 13:
        if (acts) {
          this->Begin(host);
        }
        break;
      default:
        if (acts) {
          this->Continue(host);
        }
    }
    this->UpdateLinks();
  }

  std::mt19937 random;
  int step = 0;
  double now = 100;
  std::vector<Host> hosts;
  std::set<std::pair<size_t, size_t>> cuts;
  std::map<std::pair<size_t, size_t>, std::deque<StreamMessage>> queues;
  std::vector<std::pair<int64_t, int64_t>> versions{
      {1, 1},
      {2, 1},
      {3, 1},
      {4, 2},
      {5, 2}};  // start and version
  std::map<StreamKey, StreamOrigin> truth;
  std::vector<Attempt> attempts;
};

}  // namespace

// Guards against any series of failures after which a stream goes on at another
// version than the one that began it.
TEST(StreamDirectory, NoFailureMixesVersions) {
  int64_t continued = 0;
  int64_t refused = 0;
  CHECK(rc::check("versions are kept", [&](uint32_t seed) {
    for (uint32_t i = 0; i < kFleetsPerSeed; ++i) {
      StreamFleet fleet(seed + i);
      fleet.Run();
      continued += fleet.continued;
      refused += fleet.refused;
      RC_ASSERT(fleet.mixed == 0);
      RC_ASSERT(fleet.refused_known == 0);
    }
  }));
  CHECK(continued > refused);
}

}  // namespace hickorystand
