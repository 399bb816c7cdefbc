// Tests of the links between entry hosts, over loopback.

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "kernel/task.h"
#include "kernel/time.h"
#include "peers/peer_links.h"

namespace hickorystand {
namespace {

constexpr Duration kGenerous = std::chrono::seconds(30);

// One host with a task of its own, and what it was told.
class TestHost {
 public:
  explicit TestHost(const std::string& id,
                    const std::vector<std::string>& secrets = {"secret"},
                    uint64_t incarnation = 1,
                    uint16_t port = 0)
      : id(id), incarnation(incarnation), task("host-" + id) {
    PeerLinksOptions options;
    options.session.host = HostId(id);
    options.session.data_centre = DataCentreId("dc1");
    options.session.incarnation = incarnation;
    options.session.secrets = secrets;
    options.listen = {.host = "127.0.0.1", .port = port};
    options.clock = &this->clock;
    options.tick = std::chrono::milliseconds(20);
    options.dial_grace = std::chrono::milliseconds(100);
    options.longest_backoff = std::chrono::milliseconds(500);
    this->task.Call([&] {
      this->links = std::make_unique<PeerLinks>(options, this->Handlers());
      this->address = this->links->Listen().value();
    });
  }
  ~TestHost() {
    this->task.Call([&] { this->links.reset(); });
  }

  PeerHost AsPeer() const {
    return {.host = HostId(this->id),
            .data_centre = DataCentreId("dc1"),
            .address = this->address};
  }

  void SetHosts(const std::vector<PeerHost>& hosts) {
    this->task.Call([&] { this->links->SetHosts(hosts); });
  }

  void SendDigest(int64_t revision) {
    Digest digest;
    digest.host = HostId(this->id);
    digest.data_centre = DataCentreId("dc1");
    digest.incarnation = this->incarnation;
    digest.configuration_revision = revision;
    digest.outstanding = {{.endpoint = EndpointId("e1"),
                           .prompt_tokens = revision * kOutstandingUnit,
                           .requests = revision}};
    this->task.Call([&] { this->links->SendDigest(digest); });
  }

  bool Send(const std::string& host, const PeerMessage& message) {
    bool sent = false;
    this->task.Call([&] { sent = this->links->Send(HostId(host), message); });
    return sent;
  }

  // As Send(), from within `answer`.
  void SendHere(const HostId& host, const PeerMessage& message) {
    this->links->Send(host, message);
  }

  PeerStats Stats() {
    PeerStats stats;
    this->task.Call([&] { stats = this->links->Stats(); });
    return stats;
  }

  // Waits until something holds of what this host was told.
  bool WaitFor(const std::function<bool()>& holds) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, kGenerous, holds);
  }

  bool WaitForLink(const std::string& host) {
    return this->WaitFor([&] { return this->up.contains(HostId(host)); });
  }

  const std::string id;
  const uint64_t incarnation;
  std::mutex mutex;  // guards what follows
  std::condition_variable changed;
  std::map<HostId, uint64_t> up;
  std::map<HostId, Digest> digests;
  std::vector<PeerMessage> messages;
  std::function<void(const HostId&, const PeerMessage&)> answer;

 private:
  template <typename Change>
  void Note(Change change) {
    const std::lock_guard lock(this->mutex);
    change();
    this->changed.notify_all();
  }

  PeerHandlers Handlers() {
    return {.on_digest =
                [this](const Digest& digest) {
                  this->Note([&] { this->digests[digest.host] = digest; });
                },
            .on_message =
                [this](const HostId& from, const PeerMessage& message) {
                  this->Note([&] { this->messages.push_back(message); });
                  if (this->answer) {
                    this->answer(from, message);
                  }
                },
            .on_up =
                [this](const HostId& host, uint64_t peer_incarnation) {
                  this->Note([&] { this->up[host] = peer_incarnation; });
                },
            .on_down =
                [this](const HostId& host) {
                  this->Note([&] { this->up.erase(host); });
                }};
  }

  BootClock clock;
  Task task;
  std::unique_ptr<PeerLinks> links;
  SocketAddress address;
};

void Link(TestHost& a, TestHost& b) {
  a.SetHosts({b.AsPeer()});
  b.SetHosts({a.AsPeer()});
  CHECK(a.WaitForLink(b.id));
  CHECK(b.WaitForLink(a.id));
}

}  // namespace

TEST_GROUP(PeerLinks){};

TEST(PeerLinks, DeliversDigestsWhole) {
  TestHost a("a");
  TestHost b("b");
  Link(a, b);
  for (const int64_t revision : {7, 8, 8, 9}) {
    a.SendDigest(revision);
    CHECK(b.WaitFor([&] {
      const Digest& digest = b.digests[HostId("a")];
      return digest.configuration_revision == revision &&
             digest.outstanding.front().requests == revision;
    }));
  }
}

TEST(PeerLinks, CarriesBucketsBothWays) {
  TestHost a("a");
  TestHost b("b");
  const std::string value(300UL * 1024, 'x');
  b.answer = [&](const HostId& from, const PeerMessage& message) {
    const auto above = std::get<BucketsRequest>(message).above_revision;
    const BucketsReply reply{
        .head_revision = above + 2,
        .buckets = {{.name = "00", .revision = above + 1, .value = value},
                    {.name = "01", .revision = above + 2, .value = value}}};
    // On the task of b itself, so Send(), which waits for that task, would
    // hang.
    b.SendHere(from, reply);
  };
  Link(a, b);
  CHECK(a.Send("b", BucketsRequest{.above_revision = 5}));
  CHECK(a.WaitFor([&] { return a.messages.size() == 2; }));
  const auto& last = std::get<BucketsReply>(a.messages.back());
  LONGS_EQUAL(7, last.head_revision);
  CHECK(value == last.buckets.front().value);
}

}  // namespace hickorystand
