// Tests of the platform's clients against stand-ins on real sockets. Each
// expectation is polled with a long timeout, so the results do not depend on
// the speed of the machine.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "decisions/configuration_codec.h"
#include "http/http_server.h"
#include "kernel/json.h"
#include "kernel/metrics.h"
#include "key_value.h"
#include "platform.h"
#include "platform/blocking_store.h"
#include "platform/etcd_messages.h"
#include "platform/platform_client.h"

namespace hickorystand {
namespace {

using fakes::FakeKeyValue;
using fakes::KeyValueFault;

constexpr auto kWaitTimeout = std::chrono::seconds(30);

// Polls until a condition holds; false after a long timeout.
bool Eventually(const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

StoreTransaction Put(const std::string& key, const std::string& value) {
  return {
      .then = {
          {.kind = StoreOperation::Kind::kPut, .key = key, .value = value}}};
}

StoreTransaction Get(const std::string& key) {
  return {.then = {{.kind = StoreOperation::Kind::kGet, .key = key}}};
}

StoreTransaction CreateOnce(const std::string& key, const std::string& value) {
  return {.conditions = {{.key = key,
                          .field = StoreCompare::Field::kCreateRevision}},
          .then = {{.kind = StoreOperation::Kind::kPut,
                    .key = key,
                    .value = value}},
          .otherwise = {{.kind = StoreOperation::Kind::kGet, .key = key}}};
}

// A key-value service and a client with a short timeout.
struct Fixture {
  FakeKeyValue service;
  Metrics metrics;
  std::unique_ptr<BlockingStore> store = this->Connect();

  std::unique_ptr<BlockingStore> Connect(
      std::vector<SocketAddress> addresses = {}) {
    if (addresses.empty()) {
      addresses = {this->service.Address()};
    }
    return std::make_unique<BlockingStore>(
        "etcd-json",
        KeyValueStoreOptions{.addresses = addresses,
                             .timeout = std::chrono::milliseconds(500),
                             .metrics = &this->metrics});
  }
};

// HTTP server that streams the same body in response to every call, one part
// every 150 ms.
class SlowService {
 public:
  SlowService(const std::string& body, size_t part_size) {
    this->task.Call([&] {
      this->server = std::make_unique<HttpServer>(
          HttpServerOptions{},
          [this, body, part_size](const HttpCallPtr& call) {
            this->Answer(call, body, part_size);
          });
      this->address = this->server->Start().value();
    });
  }
  ~SlowService() {
    this->task.Call([this] {
      this->timers.clear();
      this->server.reset();
    });
  }

  const SocketAddress& Address() const { return this->address; }

 private:
  void Answer(const HttpCallPtr& call,
              const std::string& body,
              size_t part_size) {
    call->StartStream(200, {});
    this->timers.push_back(Timer::Every(
        std::chrono::milliseconds(150),
        [call, part_size, remaining = std::make_shared<std::string>(body)] {
          if (remaining->empty()) {
            return;
          }
          call->Write(remaining->substr(0, part_size));
          remaining->erase(0, part_size);
          if (remaining->empty()) {
            call->EndStream();
          }
        }));
  }

  Task task{"slow service"};
  std::unique_ptr<HttpServer> server;
  std::vector<std::unique_ptr<Timer>> timers;
  SocketAddress address;
};

// A watch on the store's task, and a record of what it reported.
class WatchLog {
 public:
  WatchLog(BlockingStore& store, const std::string& prefix, int64_t after)
      : store(store) {
    this->store.StoreTask().Call([&] {
      this->watch = this->store.Store().Watch(
          prefix, after,
          [this](int64_t, const std::vector<StoreChange>& changes) {
            const std::lock_guard lock(this->mutex);
            std::ranges::copy(changes, std::back_inserter(this->changes));
          },
          [this](const Error&) {
            const std::lock_guard lock(this->mutex);
            ++this->losses;
          });
    });
  }
  ~WatchLog() {
    this->store.StoreTask().Call([this] { this->watch.reset(); });
  }
  WatchLog(const WatchLog&) = delete;
  WatchLog& operator=(const WatchLog&) = delete;

  std::vector<StoreChange> Changes() {
    const std::lock_guard lock(this->mutex);
    return this->changes;
  }
  int Losses() {
    const std::lock_guard lock(this->mutex);
    return this->losses;
  }

 private:
  BlockingStore& store;
  std::mutex mutex;
  std::vector<StoreChange> changes;
  int losses = 0;
  std::unique_ptr<StoreWatch> watch;
};

// A loopback address on which nothing listens.
SocketAddress DeadAddress() {
  return {"127.0.0.1", 9};
}

}  // namespace

TEST_GROUP(EtcdStore){};

TEST(EtcdStore, WritesAndReadsBack) {
  Fixture f;
  CHECK(f.store->Transact(CreateOnce("/a", "bytes\n\"")).outcome ==
        StoreOutcome::kThen);
  const StoreReply read = f.store->Transact(Get("/a"));
  LONGS_EQUAL(1, read.records.size());
  STRCMP_EQUAL("bytes\n\"", read.records.front().value.c_str());
  CHECK(read.records.front().create_revision > 0);
  const StoreReply again = f.store->Transact(CreateOnce("/a", "other"));
  CHECK(again.outcome == StoreOutcome::kOtherwise);
  STRCMP_EQUAL("bytes\n\"", again.records.front().value.c_str());
}

TEST(EtcdStore, ReadsByPrefixOnly) {
  Fixture f;
  f.store->Transact(Put("/a/1", "x"));
  f.store->Transact(Put("/a/2", "y"));
  f.store->Transact(Put("/b", "z"));
  const StoreReply read = f.store->Transact(
      {.then = {{.kind = StoreOperation::Kind::kGetPrefix, .key = "/a/"}}});
  LONGS_EQUAL(2, read.records.size());
}

TEST(EtcdStore, RevokedLeaseRemovesItsRecords) {
  Fixture f;
  const auto lease = f.store->GrantLease(std::chrono::seconds(60));
  CHECK(lease.has_value());
  StoreTransaction put = Put("/lease", "me");
  put.then.front().lease = *lease;
  f.store->Transact(put);
  CHECK(f.store->RenewLease(*lease).has_value());
  CHECK(f.store->RevokeLease(*lease).has_value());
  CHECK(f.store->Transact(Get("/lease")).records.empty());
  CHECK(f.store->RenewLease(*lease).error().kind == ErrorKind::kNotFound);
}

TEST(EtcdStore, TriesTheNextAddress) {
  Fixture f;
  const auto store = f.Connect({DeadAddress(), f.service.Address()});
  CHECK(store->Transact(Put("/a", "x")).outcome == StoreOutcome::kThen);
}

TEST(EtcdStore, RefusedConnectionChangedNothing) {
  Fixture f;
  const auto store = f.Connect({DeadAddress()});
  CHECK(store->Transact(Put("/a", "x")).outcome == StoreOutcome::kNotApplied);
}

// Guards against a filing that runs twice: the connection breaks after its
// claim was written, and a client that reports "not recorded" would have it
// claimed again elsewhere.
TEST(EtcdStore, LostReplyIsUnknownAndWrittenOnce) {
  Fixture f;
  f.store->Transact(Put("/warm", "x"));  // a connection is kept open
  const int64_t before = f.service.Calls().writes;
  f.service.SetFault(KeyValueFault::kReplyLost);
  CHECK(f.store->Transact(CreateOnce("/claim", "me")).outcome ==
        StoreOutcome::kUnknown);
  LONGS_EQUAL(before + 1, f.service.Calls().writes);
  f.service.SetFault(KeyValueFault::kNone);
  const StoreReply read = f.store->Transact(Get("/claim"));
  STRCMP_EQUAL("me", read.records.at(0).value.c_str());
}

// The service answers 503 because its members lost each other during the write.
// The write may still take effect, so it must not be reported as refused.
TEST(EtcdStore, UnavailableIsUnknown) {
  Fixture f;
  f.service.SetFault(KeyValueFault::kUnavailable);
  CHECK(f.store->Transact(Put("/a", "x")).outcome == StoreOutcome::kUnknown);
}

// No answer arrives in time. The write may still take effect afterwards, so it
// must not be reported as refused.
TEST(EtcdStore, SlowAnswerIsUnknown) {
  Fixture f;
  f.service.SetFault(KeyValueFault::kSlow, std::chrono::seconds(2));
  CHECK(f.store->Transact(Put("/a", "x")).outcome == StoreOutcome::kUnknown);
  STRCMP_EQUAL("x", f.service.Transact(Get("/a")).records.at(0).value.c_str());
}

// One of the service's members does not answer. Reads must go to the other
// member within the same call; a write must not be sent to both.
TEST(EtcdStore, ReadsPassOverAMemberThatIsSlow) {
  Fixture f;
  FakeKeyValue slow;
  f.service.Transact(Put("/a", "x"));
  slow.SetFault(KeyValueFault::kSlow, std::chrono::seconds(20));
  const auto reader = f.Connect({slow.Address(), f.service.Address()});
  STRCMP_EQUAL("x", reader->Transact(Get("/a")).records.at(0).value.c_str());
  const auto writer = f.Connect({slow.Address(), f.service.Address()});
  CHECK(writer->Transact(Put("/b", "y")).outcome == StoreOutcome::kUnknown);
  CHECK(f.service.Transact(Get("/b")).records.empty());
}

// A read must not time out while the response is still arriving, even if the
// whole transfer takes longer than the timeout.
TEST(EtcdStore, ReadsALargeAnswerOverASlowLink) {
  const std::string body =
      R"({"header":{"revision":"3"},"kvs":[{"key":"L2E=","value":"eA==",)"
      R"("create_revision":"2","mod_revision":"3"}],"count":"1"})";
  constexpr size_t kParts = 6;
  SlowService service(body, body.size() / kParts + 1);
  Fixture f;
  const StoreReply read = f.Connect({service.Address()})->Transact(Get("/a"));
  CHECK(read.outcome == StoreOutcome::kThen);
  LONGS_EQUAL(1, read.records.size());
  STRCMP_EQUAL("x", read.records.front().value.c_str());
}

// Guards against a read that never times out because each part of the response
// restarts its timeout.
TEST(EtcdStore, GivesUpOnAnEndlessAnswer) {
  SlowService service(std::string(1000, ' '), 1);
  Fixture f;
  const auto started = std::chrono::steady_clock::now();
  const StoreReply read = f.Connect({service.Address()})->Transact(Get("/a"));
  CHECK(read.outcome != StoreOutcome::kThen);
  const auto took = std::chrono::steady_clock::now() - started;
  CHECK(took > std::chrono::seconds(1));
  CHECK(took < kWaitTimeout);
}

// In an outage every filing needs a claim that cannot be made. Guards against
// each one waiting for its whole time limit: once the outage is known, refusals
// are immediate, and the service is not flooded when it recovers.
TEST(EtcdStore, RefusesAtOnceInAKnownOutageAndRecovers) {
  Fixture f;
  f.service.SetFault(KeyValueFault::kDown);
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    refused +=
        f.store->Transact(Put("/a", "x")).outcome == StoreOutcome::kNotApplied
            ? 1
            : 0;
  }
  CHECK(refused > 100);
  CHECK(f.metrics.Value("store_writes_total") < 100);
  f.service.SetFault(KeyValueFault::kNone);
  CHECK(Eventually([&] {
    return f.store->Transact(Put("/a", "x")).outcome == StoreOutcome::kThen;
  }));
}

TEST(EtcdStore, CountsItsCalls) {
  Fixture f;
  f.store->Transact(Put("/a", "x"));
  f.store->Transact(Get("/a"));
  f.store->Transact({.then = {StoreGet("/a"), StoreGet("/b")}});
  DOUBLES_EQUAL(1, f.metrics.Value("store_writes_total"), 0);
  DOUBLES_EQUAL(2, f.metrics.Value("store_reads_total"), 0);
  LONGS_EQUAL(2, f.service.Calls().reads);
  LONGS_EQUAL(1, f.service.Calls().writes);
}

TEST_GROUP(EtcdWatch){};

TEST(EtcdWatch, SeesWhatChangesAfterItsRevision) {
  Fixture f;
  f.store->Transact(Put("/c/old", "x"));
  const int64_t after = f.store->Transact(Put("/c/a", "1")).revision;
  WatchLog log(*f.store, "/c/", after);
  f.store->Transact(Put("/c/b", "2"));
  f.store->Transact(Put("/d", "3"));
  f.store->Transact(
      {.then = {{.kind = StoreOperation::Kind::kDelete, .key = "/c/old"}}});
  CHECK(Eventually([&] { return log.Changes().size() == 2; }));
  STRCMP_EQUAL("/c/b", log.Changes().at(0).record.key.c_str());
  STRCMP_EQUAL("2", log.Changes().at(0).record.value.c_str());
  CHECK(log.Changes().at(1).deleted);
  LONGS_EQUAL(0, log.Losses());
}

// The service stops while the watch is open. The watch must report its end
// exactly once, so that its owner reads the records again.
TEST(EtcdWatch, ReportsItsEndOnce) {
  Fixture f;
  WatchLog log(*f.store, "/c/", 1);
  CHECK(Eventually([&] { return f.service.Calls().watches_waiting == 1; }));
  DOUBLES_EQUAL(1, f.metrics.Value("store_watches_waiting"), 0);
  f.service.SetFault(KeyValueFault::kDown);
  CHECK(Eventually([&] { return log.Losses() == 1; }));
}

// Guards against a withdrawn key that is served for minutes: a device between
// host and service drops the state of the watch's connection, so neither an
// event nor an error arrives. The check of idle watches must detect it.
TEST(EtcdWatch, NoticesThatItHasGoneSilent) {
  Fixture f;
  f.service.SetFault(KeyValueFault::kSilentWatch);
  WatchLog log(*f.store, "/c/", 1);
  f.store->Transact(Put("/c/a", "withdrawn"));
  CHECK(Eventually([&] { return log.Losses() == 1; }));
  CHECK(log.Changes().empty());
}

// The service bills each waiting watch as a call. A watch without an owner must
// not stay open, whether it was dropped or had become silent.
TEST(EtcdWatch, LeavesNothingWaitingWhenItEnds) {
  Fixture f;
  {
    const WatchLog log(*f.store, "/c/", 1);
    CHECK(Eventually([&] { return f.service.Calls().watches_waiting == 1; }));
  }
  CHECK(Eventually([&] { return f.service.Calls().watches_waiting == 0; }));
  f.service.SetFault(KeyValueFault::kSilentWatch);
  WatchLog silent(*f.store, "/c/", 1);
  f.store->Transact(Put("/c/a", "x"));
  CHECK(Eventually([&] { return silent.Losses() == 1; }));
  CHECK(Eventually([&] { return f.service.Calls().watches_waiting == 0; }));
}

TEST_GROUP(PlatformClient){};

namespace {

// A platform and a client on its own task.
struct PlatformBench {
  fakes::FakePlatform platform;
  Task task{"client"};
  std::unique_ptr<PlatformClient> client;

  PlatformBench() {
    this->task.Call([this] {
      this->client = std::make_unique<PlatformClient>(
          PlatformClientOptions{.address = this->platform.Address(),
                                .timeout = std::chrono::seconds(5)});
    });
  }
  ~PlatformBench() {
    this->task.Call([this] { this->client.reset(); });
  }
  PlatformBench(const PlatformBench&) = delete;
  PlatformBench& operator=(const PlatformBench&) = delete;

  PlatformOutcome Order(
      const std::string& id,
      int64_t change,
      int64_t fencing,
      const PlatformClient::MaySend& may_send = [] { return true; }) {
    std::promise<PlatformOutcome> outcome;
    this->task.Post([&] {
      this->client->OrderEndpoints(
          DataCentreId("dc1"),
          {.id = OrderId(id),
           .kind = OrderKind::kChangeEndpoints,
           .service = ServiceId("chat"),
           .change = change},
          fencing, may_send,
          [&outcome](PlatformOutcome answer) { outcome.set_value(answer); });
    });
    return outcome.get_future().get();
  }

  PlatformOutcome Report(int64_t window, int64_t requests, int64_t fencing) {
    std::promise<PlatformOutcome> outcome;
    this->task.Post([&] {
      this->client->ReportUsage(
          DataCentreId("dc1"), window, fencing,
          {{AccountId("acme"), UsageCount{.requests = requests}}},
          [] { return true; },
          [&outcome](PlatformOutcome answer) { outcome.set_value(answer); });
    });
    return outcome.get_future().get();
  }

  Result<std::vector<PlatformHost>> Hosts() {
    std::promise<Result<std::vector<PlatformHost>>> hosts;
    this->task.Post([&] {
      this->client->ListHosts(
          [&hosts](const auto& answer) { hosts.set_value(answer); });
    });
    return hosts.get_future().get();
  }
};

}  // namespace

TEST(PlatformClient, OrdersOnceHoweverOftenItIsSent) {
  PlatformBench bench;
  CHECK(bench.Order("o1", 2, 7) == PlatformOutcome::kAccepted);
  CHECK(bench.Order("o1", 2, 8) == PlatformOutcome::kAccepted);
  LONGS_EQUAL(1, bench.platform.Orders().size());
  LONGS_EQUAL(0, bench.platform.Violations().Sum());
}

// Guards against two holders' orders side by side: a coordinator is paused
// while it sends, and resumes after its lease expired. The lease is checked in
// the step that writes bytes to the socket.
TEST(PlatformClient, SendsNothingOnceTheLeaseIsGone) {
  PlatformBench bench;
  CHECK(bench.Order("o1", 2, 7, [] { return false; }) ==
        PlatformOutcome::kNotSent);
  LONGS_EQUAL(0, bench.platform.Received());
}

TEST(PlatformClient, LostReplyIsUnknownAndSentOnce) {
  PlatformBench bench;
  bench.Order("o0", 1, 7);  // a connection may be kept open
  bench.platform.SetFault(fakes::PlatformFault::kReplyLost);
  CHECK(bench.Order("o1", 2, 7) == PlatformOutcome::kUnknown);
  LONGS_EQUAL(2, bench.platform.Received());
  LONGS_EQUAL(2, bench.platform.Orders().size());
}

TEST(PlatformClient, RefusalIsForGood) {
  PlatformBench bench;
  bench.platform.SetFault(fakes::PlatformFault::kRefusing);
  CHECK(bench.Order("o1", 2, 7) == PlatformOutcome::kRefused);
  CHECK(bench.Report(1, 5, 7) == PlatformOutcome::kRefused);
}

TEST(PlatformClient, StandInCountsWhatShouldNeverCome) {
  PlatformBench bench;
  bench.Order("o1", 2, 7);
  bench.Order("o1", 3, 7);
  bench.Order("o2", 1, 6);
  bench.Report(1, 5, 7);
  bench.Report(1, 5, 8);
  bench.Report(1, 6, 8);
  bench.Report(2, 1, 6);
  CHECK((fakes::PlatformViolations{.conflicting_orders = 1,
                                   .stale_orders = 1,
                                   .conflicting_reports = 1,
                                   .stale_reports = 1}) ==
        bench.platform.Violations());
}

TEST(PlatformClient, ReadsTheHostList) {
  PlatformBench bench;
  bench.platform.SetHosts({{.host = HostId("h1"),
                            .data_centre = DataCentreId("dc1"),
                            .address = {"127.0.0.1", 5},
                            .leaving = true}});
  CHECK(Eventually([&] {
    const auto hosts = bench.Hosts();
    return hosts && hosts->size() == 1 && hosts->front().leaving;
  }));
  bench.platform.SetFault(fakes::PlatformFault::kDown);
  CHECK(!bench.Hosts().has_value());
}

TEST_GROUP(EtcdMessages){};

TEST(EtcdMessages, EndOfPrefixIsTheNextKey) {
  STRCMP_EQUAL("/b", PrefixRangeEnd("/a").c_str());
  STRCMP_EQUAL("b", PrefixRangeEnd("a\xff").c_str());
  CHECK(PrefixRangeEnd("") == std::string(1, '\0'));
}

TEST(EtcdMessages, GarbageIsNoReply) {
  for (const char* text :
       {"", "{}", "[]", "{\"header\":{}}", "\xff", "{\"succeeded\":true}"}) {
    CHECK(!ReadTransactionReply(text).has_value());
    CHECK(!ReadRangeReply(text).has_value());
  }
}

}  // namespace hickorystand
