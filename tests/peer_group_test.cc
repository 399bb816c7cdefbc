// Tests of the peer groups of hosts in two data centres, over loopback.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "kernel/task.h"
#include "kernel/time.h"
#include "peers/peer_group.h"

namespace hickorystand {
namespace {

constexpr Duration kWaitTimeout = std::chrono::seconds(30);

// One host, which sends its digest periodically.
class GroupHost {
 public:
  GroupHost(const std::string& id, const std::string& data_centre)
      : id(id), task(id) {
    PeerGroupOptions options;
    options.links.session.host = HostId(id);
    options.links.session.data_centre = DataCentreId(data_centre);
    options.links.session.incarnation = 1;
    options.links.session.secrets = {"secret"};
    options.links.listen = {.host = "127.0.0.1", .port = 0};
    options.links.clock = &this->clock;
    options.links.tick = std::chrono::milliseconds(20);
    options.links.dial_grace = std::chrono::milliseconds(100);
    options.summary_period = std::chrono::milliseconds(50);
    this->task.Call([&] {
      this->group = std::make_unique<PeerGroup>(options, this->Handlers());
      this->peer = {.host = HostId(id),
                    .data_centre = DataCentreId(data_centre),
                    .address = this->group->Listen().value()};
    });
  }
  ~GroupHost() {
    this->task.Call([&] {
      this->timer.reset();
      this->group.reset();
    });
  }
  GroupHost(const GroupHost&) = delete;
  GroupHost& operator=(const GroupHost&) = delete;

  void Start(const std::vector<ListedHost>& list) {
    this->task.Call([&] {
      this->group->OnHostList(list);
      this->timer = Timer::Every(std::chrono::milliseconds(50), [this] {
        this->group->SendDigest(this->own);
      });
    });
  }

  // Runs a function on the host's task.
  void Do(const std::function<void(PeerGroup&)>& work) {
    this->task.Call([&] { work(*this->group); });
  }

  // Waits until a condition on the host's task holds.
  bool WaitFor(const std::function<bool(PeerGroup&)>& holds) {
    const Instant end = this->clock.Now() + kWaitTimeout;
    bool held = false;
    while (!held && this->clock.Now() < end) {
      this->Do([&](PeerGroup& group) { held = holds(group); });
      std::this_thread::yield();
    }
    return held;
  }

  const std::string id;
  PeerHost peer;
  Digest own;  // that it sends; change only in Do()
  std::map<HostId, Digest> received_digests;  // read only in Do()

 private:
  PeerGroupHandlers Handlers() {
    return {
        .on_digest =
            [this](const Digest& digest) {
              this->received_digests[digest.host] = digest;
            },
        .on_gone =
            [this](const HostId& host) { this->received_digests.erase(host); },
        .on_message = {}};
  }

  BootClock clock;
  Task task;
  std::unique_ptr<PeerGroup> group;
  std::unique_ptr<Timer> timer;
};

// Three hosts in one data centre, two in another.
struct Fleet {
  Fleet() {
    for (const std::string id : {"a1", "a2", "a3"}) {
      this->hosts[id] = std::make_unique<GroupHost>(id, "dc-a");
    }
    for (const std::string id : {"b1", "b2"}) {
      this->hosts[id] = std::make_unique<GroupHost>(id, "dc-b");
    }
    for (const auto& [id, host] : this->hosts) {
      this->list.push_back({.peer = host->peer});
    }
    for (const auto& [id, host] : this->hosts) {
      host->Start(this->list);
    }
  }

  GroupHost& operator[](const std::string& id) { return *this->hosts.at(id); }

  std::map<std::string, std::unique_ptr<GroupHost>> hosts;
  std::vector<ListedHost> list;
};

// The summary digest that a host has of all other data centres, under whichever
// id; null if none.
const Digest* RemoteSummary(const GroupHost& host) {
  for (const auto& [id, digest] : host.received_digests) {
    if (id.Text().starts_with("elsewhere/")) {
      return &digest;
    }
  }
  return nullptr;
}

int64_t RemoteRequests(const GroupHost& host) {
  const Digest* digest = RemoteSummary(host);
  return digest == nullptr || digest->outstanding.empty()
             ? 0
             : digest->outstanding.front().requests;
}

}  // namespace

TEST_GROUP(PeerGroup){};

TEST(PeerGroup, EveryHostReceivesDistantWork) {
  Fleet fleet;
  for (const std::string id : {"b1", "b2"}) {
    fleet[id].Do([&](PeerGroup&) {
      fleet[id].own.outstanding = {
          {.endpoint = EndpointId("e1"), .prompt_tokens = 640, .requests = 2}};
    });
  }
  for (const std::string id : {"a1", "a2", "a3"}) {
    CHECK(fleet[id].WaitFor(
        [&](PeerGroup&) { return RemoteRequests(fleet[id]) == 4; }));
  }
}

// Guards against requests routed to an endpoint that is about to stop and would
// cut them off. Only one host has seen that it leaves, and that host has no
// link to the other data centre; the update passes through the representatives.
TEST(PeerGroup, ALeavingEndpointIsOutInAllDataCentres) {
  Fleet fleet;
  for (const auto& [id, host] : fleet.hosts) {
    CHECK(host->WaitFor(
        [&](PeerGroup&) { return RemoteSummary(*host) != nullptr; }));
  }
  const EndpointStatus news{
      .endpoint = EndpointId("e7"), .incarnation = 1, .leaving = true};
  fleet["a3"].Do([&](PeerGroup& group) { group.Announce(news); });
  for (const auto& [id, host] : fleet.hosts) {
    CHECK(host->WaitFor([&](PeerGroup& group) {
      return group.IsUnavailable(EndpointId("e7"));
    }));
  }
}

// Guards against a data centre that receives no digests from the others because
// its first representative is lost: the next host takes its rank, and distant
// work is counted once, not under two ids.
TEST(PeerGroup, AnotherHostTakesTheRankOfALostOne) {
  Fleet fleet;
  fleet["b1"].Do([&](PeerGroup&) {
    fleet["b1"].own.outstanding = {
        {.endpoint = EndpointId("e1"), .prompt_tokens = 64, .requests = 3}};
  });
  CHECK(fleet["a3"].WaitFor(
      [&](PeerGroup&) { return RemoteRequests(fleet["a3"]) == 3; }));
  fleet.hosts.erase("a1");
  CHECK(
      fleet["a2"].WaitFor([](PeerGroup& group) { return group.Rank() == 0; }));
  CHECK(fleet["a3"].WaitFor([&](PeerGroup&) {
    return fleet["a3"].received_digests.contains(HostId("elsewhere/a2")) &&
           !fleet["a3"].received_digests.contains(HostId("elsewhere/a1")) &&
           RemoteRequests(fleet["a3"]) == 3;
  }));
}

}  // namespace hickorystand
