// Tests of a whole host: settings, operators' page, usage from the caller to
// the platform, and planned stop.

#include <CppUTest/TestHarness.h>
#include <sched.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <future>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

#include "host_bed.h"
#include "raw_socket.h"

namespace hickorystand {
namespace {

constexpr int kBadKeyStatus = 401;
// The tries take over a second; on an idle machine a host is ready 30 ms after
// its start.
constexpr int kReadyTries = 1000;

// A settings file and the secrets it names, removed by the destructor.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& extra,
                        const std::string& secret = "0123456789abcdef",
                        const std::string& gateway = "") {
    std::ofstream(this->secret_path) << secret << '\n';
    std::ofstream(this->path)
        << "[host]\nid = h1\ndata_centre = dc1\n"
        << "[gateway]\nlisten = 127.0.0.1:1\n"
        << gateway
        << "[admin]\nlisten = 127.0.0.1:2\ntoken_file = " << this->secret_path
        << "\n[peers]\nlisten = 127.0.0.1:3\nsecret_file = "
        << this->secret_path << "\n[platform]\nstore_addresses = 127.0.0.1:4\n"
        << "address = 127.0.0.1:5\n"
        << extra;
  }
  ~SettingsFile() {
    std::remove(this->path.c_str());
    std::remove(this->secret_path.c_str());
  }

  Result<HostSettings> Load() const { return LoadHostSettings(this->path); }

 private:
  std::string path = "daemon_test_" + std::to_string(getpid()) + ".ini";
  std::string secret_path = this->path + ".secret";
};

// A CPU core kept busy by spinning threads. A thread bound to it is scheduled
// one time slice late after each wait; destroying the object releases the core.
class BusyCore {
 public:
  BusyCore() {
    sched_getaffinity(0, sizeof this->before, &this->before);
    CPU_ZERO(&this->core);
    CPU_SET(sched_getcpu(), &this->core);
    constexpr int kThreads = 8;
    for (int i = 0; i < kThreads; ++i) {
      this->threads.emplace_back([this](const std::stop_token& over) {
        this->BindThread();
        while (!over.stop_requested()) {
        }
      });
    }
  }
  ~BusyCore() { sched_setaffinity(0, sizeof this->before, &this->before); }
  BusyCore(const BusyCore&) = delete;
  BusyCore& operator=(const BusyCore&) = delete;

  void BindThread() const {
    sched_setaffinity(0, sizeof this->core, &this->core);
  }

 private:
  cpu_set_t before{};
  cpu_set_t core{};
  std::vector<std::jthread> threads;
};

int64_t GeneratedBy(const std::vector<fakes::RunRecord>& runs) {
  return std::accumulate(runs.begin(), runs.end(), int64_t{0},
                         [](int64_t sum, const fakes::RunRecord& run) {
                           return sum + run.generated;
                         });
}

// Sum of the generated tokens in all usage windows reported to the platform.
int64_t GeneratedInReports(fakes::FakePlatform& platform) {
  int64_t sum = 0;
  for (const auto& report : platform.Reports()) {
    for (const auto& [account, count] : report.figures) {
      sum += count.generated_tokens;
    }
  }
  return sum;
}

}  // namespace

TEST_GROUP(HostSettings){};

TEST(HostSettings, ReadsAFileWithItsSecrets) {
  const auto settings = SettingsFile("").Load();
  CHECK(settings.has_value());
  STRCMP_EQUAL("0123456789abcdef", settings->peers.secret.c_str());
  STRCMP_EQUAL("hickorystand", settings->gateway.dispatcher.c_str());
}

TEST(HostSettings, RefusesAShortSecret) {
  const auto settings = SettingsFile("", "short").Load();
  CHECK(!settings.has_value());
  STRCMP_CONTAINS("shorter than 16 bytes", settings.error().message.c_str());
}

// A margin as long as the lease would end each lease as it begins, and a zero
// margin would allow two holders at once.
TEST(HostSettings, RefusesAMarginThatLeavesNoLease) {
  const auto settings =
      SettingsFile("lease_length = 4s\nlease_margin = 2s\n").Load();
  CHECK(!settings.has_value());
  STRCMP_CONTAINS("under half", settings.error().message.c_str());
}

TEST(HostSettings, RefusesAnUnknownDispatcherAndNamesTheKnownOnes) {
  const auto settings =
      SettingsFile("", "0123456789abcdef", "dispatcher = random\n").Load();
  CHECK(!settings.has_value());
  STRCMP_CONTAINS("one of hickorystand, round-robin",
                  settings.error().message.c_str());
}

TEST(HostSettings, RefusesASectionThatStandsTwice) {
  const auto settings = SettingsFile("[gateway]\n").Load();
  CHECK(!settings.has_value());
  STRCMP_CONTAINS("duplicate section", settings.error().message.c_str());
}

TEST_GROUP(Host){};
TEST_GROUP(HostLimits){};

TEST(Host, AnswersOperatorsOnlyWithTheirToken) {
  HostBed bed(1);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  const auto answer = bed.caller.Send(
      bed.Admin(0, "GET", "/admin/status", "operators-token-x"));
  LONGS_EQUAL(kBadKeyStatus, answer.status);
  STRCMP_EQUAL("h1", bed.Status(0).At("host").Text().c_str());
}

TEST(Host, TellsWhyARequestWentWhereItWent) {
  HostBed bed(1);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  const auto answer = bed.caller.Send(bed.Chat(0, 3));
  LONGS_EQUAL(200, answer.status);
  const auto why = bed.caller.Send(bed.Admin(
      0, "GET", "/admin/why?request=" + answer.Header("X-Request-Id")));
  STRCMP_CONTAINS("\"endpoint\":\"e1\"", why.body.c_str());
}

// Guards against a host that answers 503 for hours although it has read the
// configuration. On a busy machine the control task reads it before the
// starting thread has created the gateway, and a configuration is delivered
// only once. Here the starting thread shares a core with spinning threads.
TEST(Host, IsReadyHoweverSoonTheStoreAnswers) {
  constexpr int kHosts = 24;
  int ready = 0;
  for (int i = 0; i < kHosts; ++i) {
    const BusyCore core;
    HostBed bed(0);
    bed.StartHost("h1", [&core] { core.BindThread(); });
    ready += Eventually([&] { return bed.InForce(1); }, kReadyTries) ? 1 : 0;
  }
  LONGS_EQUAL(kHosts, ready);
}

// Guards against counts that are lost or doubled between the gateway, the
// host's meter, its copies at other hosts, the window and the report: a client
// account would be billed for tokens that no engine generated, or work would
// not be billed.
TEST(Host, ReportsTheTokensThatEnginesGenerated) {
  HostBed bed(2);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  for (int i = 0; i < 10; ++i) {
    LONGS_EQUAL(200, bed.caller.Send(bed.Chat(i % 2, 3 + i)).status);
  }
  const int64_t generated = GeneratedBy(bed.engine.Runs());
  LONGS_EQUAL(75, generated);
  CHECK(Eventually(
      [&] { return GeneratedInReports(bed.platform) >= generated; }));
  LONGS_EQUAL(generated, GeneratedInReports(bed.platform));
  LONGS_EQUAL(0, bed.platform.Violations().Sum());
}

// A stream breaks after three tokens and is resumed. The client account is
// billed for one request and the tokens delivered, not for each attempt.
TEST(Host, ReportsAResumedStreamAsOneRequest) {
  HostBed bed(1);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  bed.engine.SetFault(
      {.kind = fakes::EngineFault::kTruncate, .after_tokens = 3, .times = 1});
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat(0, 8)).status);
  LONGS_EQUAL(2, bed.engine.Runs().size());
  CHECK(Eventually([&] { return GeneratedInReports(bed.platform) >= 8; }));
  LONGS_EQUAL(8, GeneratedInReports(bed.platform));
  int64_t requests = 0;
  for (const auto& report : bed.platform.Reports()) {
    for (const auto& [account, count] : report.figures) {
      requests += count.requests;
    }
  }
  LONGS_EQUAL(1, requests);
}

// Guards against fees due twice: two callers, or one client library that
// retries, file the same petition at two hosts at the same moment.
TEST(Host, RunsAFilingOnceThoughTwoHostsGetIt) {
  HostBed bed(2);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  Caller other;
  const std::string body = R"({"claim":"deposit"})";
  auto first =
      bed.caller.Start(bed.Call(0, "POST", "/services/filing/petitions", body));
  auto second =
      other.Start(bed.Call(1, "POST", "/services/filing/petitions", body));
  const int statuses[] = {first.get().status, second.get().status};
  LONGS_EQUAL(201 + 409, statuses[0] + statuses[1]);
  LONGS_EQUAL(1, bed.plain.Petitions().size());
}

// A data centre loses its connection to the key-value service, but not to the
// other data centres. A host that starts there must get the configuration from
// one of those. Guards against a host without a configuration, and against a
// key withdrawn meanwhile that goes on working there.
TEST(Host, GetsTheConfigurationFromAnotherDataCentre) {
  HostBed bed(1);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  bed.StartCutOffHost();
  CHECK(Eventually([&] { return bed.InForce(1); }));
}

// All requests of a client account arrive at one of two hosts. That host must
// admit the whole limit, and not one request more.
TEST(HostLimits, OneHostServesTheWholeLimit) {
  HostBed bed(2);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  CHECK(Eventually([&] {
    const auto peers = bed.Status(0).At("peers").Items();
    return !peers.empty() && peers.front().At("incarnation").Integer() > 0;
  }));
  bed.Limit(100, 20);
  // Of 25 requests (250 ms of the rate) each host keeps a quarter and the home
  // host the rest. A single sample may show the same figures before that state
  // is stable.
  constexpr int kSamples = 50;
  int samples = 0;
  CHECK(Eventually([&] {
    const bool full =
        bed.LimitShare(0) == 0.5 && bed.LimitShare(1) == 0.5 &&
        std::minmax({bed.LimitOf(0, "left"), bed.LimitOf(1, "left")}) ==
            std::pair<int64_t, int64_t>(6, 18);
    samples = full ? samples + 1 : 0;
    return samples == kSamples;
  }));
  const int64_t revision = bed.Limit(0.01, 20);
  CHECK(Eventually([&] { return bed.InForce(revision); }));
  LONGS_EQUAL(20, bed.LimitSum("left"));
  int served = 0;
  for (int i = 0; i < 40; ++i) {
    const auto answer = bed.caller.Send(bed.Chat(0, 1));
    CHECK(answer.status == 200 || answer.status == 429);
    served += answer.status == 200 ? 1 : 0;
  }
  LONGS_EQUAL(20, served);
  LONGS_EQUAL(20, bed.engine.Runs().size());
  LONGS_EQUAL(20, bed.LimitSum("used"));
  LONGS_EQUAL(0, bed.LimitSum("left"));
  const auto metrics = [&] {
    return bed.caller.Send(bed.Call(0, "GET", "/metrics")).body;
  };
  STRCMP_CONTAINS("limit_tokens_admitted_total{account=\"alpha\"} 20",
                  metrics().c_str());
  CHECK(Eventually(
      [&] { return metrics().find("limit_share 0.5") != std::string::npos; }));
}

// A host that cannot know how many hosts share the limit admits nothing.
TEST(HostLimits, AHostWithoutAShareRefuses) {
  HostBed bed(1);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  const int64_t revision = bed.Limit(100, 20);
  bed.StartCutOffHost();
  CHECK(Eventually([&] { return bed.InForce(revision); }));
  const auto answer = bed.caller.Send(bed.Chat(1, 1));
  LONGS_EQUAL(429, answer.status);
  const auto why = bed.caller.Send(bed.Admin(
      1, "GET", "/admin/why?request=" + answer.Header("X-Request-Id")));
  STRCMP_CONTAINS("\"share\":\"0.000000\"", why.body.c_str());
  CHECK(Eventually(
      [&] { return bed.caller.Send(bed.Chat(0, 1)).status == 200; }));
}

// A host drains while a long answer streams through it. The caller gets the
// whole answer before the host stops.
TEST(Host, FinishesAStreamBeforeItStops) {
  HostBed bed(1);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  auto answer = bed.caller.Start(bed.Chat(0, 200));
  CHECK(Eventually([&] { return bed.engine.Runs().size() == 1; }));
  Caller operators;
  LONGS_EQUAL(202, operators.Send(bed.Admin(0, "POST", "/admin/drain")).status);
  LONGS_EQUAL(200, answer.get().status);
  CHECK(Eventually([&] { return bed.stopped == 1; }));
  LONGS_EQUAL(200, bed.engine.Runs().at(0).generated);
  CHECK(bed.engine.Runs().at(0).finished);
}

TEST_GROUP(HostStop) {
  // Starts one request of each kind that can be in progress: queued, running
  // without a byte received, and half streamed. All of them last until the host
  // stops.
  void StartRequests() {
    CHECK(Eventually([&] { return this->bed.InForce(1); }));
    this->queued = this->bed.caller.Start(
        this->bed.Chat(0, 8, R"("service_tier":"flex",)", "unserved"));
    this->bed.engine.SetFault(
        {.kind = fakes::EngineFault::kSilent, .after_tokens = 3});
    this->running = this->bed.caller.Start(this->bed.Chat(0, 8));
    this->streamed = ReadRaw(this->bed.Chat(0, 8, R"("stream":true,)"));
    this->filing = this->bed.caller.Start(
        this->bed.Call(0, "POST", "/services/filing/petitions", "{}"));
    CHECK(Eventually([&] {
      return this->bed.engine.Runs().size() == 2 &&
             this->bed.plain.Runs().size() == 1 && this->stream_begun &&
             this->bed.Status(0).At("queued").Integer() == 1;
    }));
  }

  // Reads the stream from a plain socket: HttpClient cannot distinguish a
  // chunked answer whose connection closes after the last chunk from a
  // truncated one.
  std::future<std::string> ReadRaw(const HttpClientRequest& call) {
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : call.headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Host: h1\r\nContent-Type: " + call.content_type +
            "\r\nContent-Length: " + std::to_string(call.body.size()) +
            "\r\n\r\n" + call.body;
    return std::async(std::launch::async, [this, address = call.address, text] {
      RawSocket socket(address);
      if (!socket.Write(text)) {
        return std::string();
      }
      const std::string begin = socket.ReadUntil("data: ");
      this->stream_begun = true;
      return begin + socket.ReadAll();
    });
  }

  // Checks the answer to each of these requests.
  void CheckAnswers() {
    const CallerAnswer refused = this->queued.get();
    LONGS_EQUAL(503, refused.status);
    STRCMP_CONTAINS("shutting_down", refused.body.c_str());
    STRCMP_EQUAL("1", refused.Header("Retry-After").c_str());
    for (auto* answer : {&this->running, &this->filing}) {
      const CallerAnswer unknown = answer->get();
      LONGS_EQUAL(504, unknown.status);
      STRCMP_CONTAINS("outcome_unknown", unknown.body.c_str());
      STRCMP_EQUAL("close", unknown.Header("Connection").c_str());
    }
    const std::string broken = this->streamed.get();
    CHECK(broken.starts_with("HTTP/1.1 200"));
    STRCMP_CONTAINS("broken_answer", broken.c_str());
    CHECK(broken.ends_with("\r\n0\r\n\r\n"));
    CHECK(broken.find("[DONE]") == std::string::npos);
  }

  HostBed bed{1, std::chrono::milliseconds(300)};
  std::future<CallerAnswer> queued;
  std::future<CallerAnswer> running;
  std::atomic<bool> stream_begun = false;
  std::future<std::string> streamed;
  std::future<CallerAnswer> filing;
};

// Guards against connections that close without an answer at the drain limit.
TEST(HostStop, AnswersEveryRequestAtTheDrainLimit) {
  this->bed.plain.SetFault(fakes::PlainFault::kSilentAfterRun);
  this->StartRequests();
  this->bed.hosts[0]->Drain();
  CHECK(Eventually([&] { return this->bed.stopped == 1; }));
  this->bed.hosts[0]->Stop();
  this->CheckAnswers();
}

// Guards against connections that close without an answer when a host stops
// without a drain, as after a second signal.
TEST(HostStop, AnswersEveryRequestBeforeAnImmediateStop) {
  this->bed.plain.SetFault(fakes::PlainFault::kSilentAfterRun);
  this->StartRequests();
  this->bed.hosts[0]->Stop();
  this->CheckAnswers();
}

// Guards against a petition that is refused as not run and then, when sent
// again to another host, refused as a duplicate.
TEST(Host, WithdrawsAClaimBeforeItStops) {
  HostBed bed(2, std::chrono::milliseconds(100));
  CHECK(Eventually([&] { return bed.InForce(1); }));
  const auto file = [&](int host, const std::string& body) {
    return bed.Call(host, "POST", "/services/filing/petitions", body);
  };
  LONGS_EQUAL(201, bed.caller.Send(file(1, "{\"p\":1}")).status);
  bed.store.SetFault(fakes::KeyValueFault::kSlow, std::chrono::seconds(1));
  auto refused = bed.caller.Start(file(1, "{\"p\":2}"));
  CHECK(Eventually([&] { return bed.Status(1).At("running").Integer() == 1; }));
  bed.hosts[1]->Drain();
  CHECK(Eventually([&] { return bed.stopped == 1; }));
  bed.hosts[1]->Stop();
  const CallerAnswer answer = refused.get();
  LONGS_EQUAL(503, answer.status);
  STRCMP_EQUAL("true", answer.Header("x-should-retry").c_str());
  bed.store.SetFault(fakes::KeyValueFault::kNone);
  LONGS_EQUAL(201, bed.caller.Send(file(0, "{\"p\":2}")).status);
  LONGS_EQUAL(2, bed.plain.Petitions().size());
}

// Guards against a stopping host that accepts a request and then truncates its
// answer.
TEST(Host, RefusesWhatItCannotFinishBeforeItStops) {
  constexpr int kLongTokens = 1500;
  HostBed bed(1, std::chrono::milliseconds(100),
              std::chrono::milliseconds(1500));
  CHECK(Eventually([&] { return bed.InForce(1); }));
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat(0, kLongTokens)).status);
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat(0, 8)).status);
  bed.hosts[0]->Drain();
  CHECK(Eventually([&] {
    return bed.caller.Send(bed.Call(0, "GET", "/readyz")).status == 503;
  }));
  const CallerAnswer refused =
      bed.caller.Send(bed.Chat(0, kLongTokens, R"("stream":true,)"));
  LONGS_EQUAL(503, refused.status);
  STRCMP_CONTAINS("shutting_down", refused.body.c_str());
  STRCMP_EQUAL("1", refused.Header("Retry-After").c_str());
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat(0, 8)).status);
  LONGS_EQUAL(3, bed.engine.Runs().size());
}

// Guards against a request that stays queued until the drain limit although it
// can no longer finish in time.
TEST(Host, RefusesWhatIsQueuedAsSoonAsItCannotBeFinished) {
  HostBed bed(1);
  CHECK(Eventually([&] { return bed.InForce(1); }));
  auto queued =
      bed.caller.Start(bed.Chat(0, 8, R"("service_tier":"flex",)", "unserved"));
  CHECK(Eventually([&] { return bed.Status(0).At("queued").Integer() == 1; }));
  bed.hosts[0]->Drain();
  CHECK(queued.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  STRCMP_CONTAINS("shutting_down", queued.get().body.c_str());
}

}  // namespace hickorystand
