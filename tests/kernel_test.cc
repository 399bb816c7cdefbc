// Tests of the kernel: settings, errors, tasks, logs and metrics.

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/dropping_buffer.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/settings.h"
#include "kernel/stop_signal.h"
#include "kernel/task.h"
#include "kernel/turn_queue.h"

namespace hickorystand {
namespace {

const std::vector<SettingRule> kRules = {
    {.section = "host", .key = "id", .required = true, .help = "the id"},
    {.section = "host",
     .key = "streams",
     .type = SettingType::kInteger,
     .fallback = "10",
     .minimum = 1,
     .maximum = 100},
    {.section = "peers", .key = "listen", .type = SettingType::kAddress},
    {.section = "peers",
     .key = "period",
     .type = SettingType::kDuration,
     .fallback = "250ms"},
};

std::string FaultsOf(const std::string& text) {
  const auto settings = Settings::Parse(text, "f.ini", kRules);
  return settings ? "" : settings.error().message;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsValuesAndFallbacks) {
  const auto settings =
      Settings::Parse("[host]\nid = a\nstreams=7\n", "f.ini", kRules);
  CHECK(settings.has_value());
  STRCMP_EQUAL("a", settings->Text("host", "id").c_str());
  LONGS_EQUAL(7, settings->Integer("host", "streams"));
  CHECK(std::chrono::milliseconds(250) == settings->Length("peers", "period"));
}

TEST(Settings, NamesFileLineKeyAndWhatIsAllowed) {
  const std::string faults = FaultsOf("[host]\nid=a\nstreams=0\n");
  CHECK(Contains(faults, "f.ini:3: [host] streams: '0' is not allowed"));
  CHECK(Contains(faults, "from 1 to 100"));
}

TEST(Settings, RefusesUnknownKeysAndSections) {
  const std::string faults = FaultsOf("[host]\nid=a\nstream=1\n[extra]\nx=1\n");
  CHECK(Contains(faults, "f.ini:3: [host] stream: unknown key"));
  CHECK(Contains(faults, "f.ini:4: [extra]: unknown section"));
}

TEST(Settings, RefusesDuplicates) {
  const std::string faults = FaultsOf("[host]\nid=a\nid=b\n[host]\nid=c\n");
  CHECK(Contains(faults, "f.ini:3: [host] id: duplicate key"));
  CHECK(Contains(faults, "f.ini:4: [host]: duplicate section"));
}

TEST(Settings, RefusesMissingRequiredKey) {
  CHECK(Contains(FaultsOf("[host]\nstreams=1\n"), "id: is missing"));
}

TEST(Settings, RefusesHostNamesAndBadPorts) {
  CHECK(ParseAddress("127.0.0.1:80").has_value());
  CHECK(ParseAddress("[::1]:80").has_value());
  CHECK(!ParseAddress("localhost:80").has_value());
  CHECK(!ParseAddress("::1:80").has_value());
  CHECK(!ParseAddress("127.0.0.1:0").has_value());
  CHECK(!ParseAddress("127.0.0.1:65536").has_value());
}

// The platform writes durations with fractions: 38.5 s, 1200.25 ms.
TEST(Settings, TakesDurationsWithFractions) {
  CHECK(ParseDuration("38.5s").value() == std::chrono::milliseconds(38500));
  CHECK(ParseDuration("1200.25ms").value() ==
        std::chrono::microseconds(1200250));
  CHECK(ParseDuration("0.5m").value() == std::chrono::seconds(30));
  for (const char* wrong : {"1.2.3s", ".", "-1s", "1e3s", "nans", "1,5s"}) {
    CHECK(!ParseDuration(wrong).has_value());
  }
}

TEST(Settings, RefusesDurationsThatOverflow) {
  CHECK(!ParseDuration("9223372036854775807h").has_value());
  CHECK(!ParseDuration("5").has_value());
  CHECK(!ParseDuration("s").has_value());
}

TEST_GROUP(ErrorTable){};

TEST(ErrorTable, HasOneRowForEachKind) {
  const auto rows = AllErrorAnswers();
  for (size_t i = 0; i < rows.size(); ++i) {
    LONGS_EQUAL(i, static_cast<size_t>(rows[i].kind));
  }
  LONGS_EQUAL(static_cast<size_t>(ErrorKind::kInternal) + 1, rows.size());
}

// Guards against fees due twice because a client library retries a filing that
// an endpoint may have run. No error kind that may have run is marked for a
// retry.
TEST(ErrorTable, NeverInvitesARetryOfWhatMayHaveRun) {
  CHECK(std::ranges::all_of(AllErrorAnswers(), [](const ErrorAnswer& answer) {
    return answer.not_run || !answer.retry;
  }));
}

TEST_GROUP(Task){};

TEST(Task, RunsPostedWorkInOrder) {
  Task task("test");
  std::vector<int> seen;
  for (int i = 0; i < 100; ++i) {
    task.Post([&seen, i] { seen.push_back(i); });
  }
  task.Call([] {});
  LONGS_EQUAL(100, seen.size());
  CHECK(std::ranges::is_sorted(seen));
}

TEST(Task, FinishesPostedWorkBeforeItStops) {
  std::atomic<int> ran = 0;
  {
    Task task("test");
    for (int i = 0; i < 50; ++i) {
      task.Post([&ran] { ++ran; });
    }
  }
  LONGS_EQUAL(50, ran);
}

TEST(Task, CancelledTimerNeverFires) {
  std::atomic<int> fired = 0;
  Task task("test");
  task.Call([&] {
    const auto timer = Timer::After(Duration::zero(), [&fired] { ++fired; });
  });
  task.Call([] {});
  task.Stop();
  LONGS_EQUAL(0, fired);
}

TEST_GROUP(TurnQueue){};

TEST(TurnQueue, GivesTurnsInOrderOfArrival) {
  TurnQueue queue;
  std::string given;
  const auto first = queue.Wait([&given] { given += "1"; });
  auto left = queue.Wait([&given] { given += "2"; });
  const auto third = queue.Wait([&given] { given += "3"; });
  left.reset();
  while (given.size() < 2) {
    g_main_context_iteration(nullptr, TRUE);
  }
  STRCMP_EQUAL("13", given.c_str());
}

// Guards against one connection's work that keeps the loop from all others.
TEST(TurnQueue, OthersAreServedBesideEndlessWork) {
  constexpr int kMostIterations = 3;
  TurnQueue queue;
  std::unique_ptr<Turn> turn;
  const std::function<void()> work = [&] { turn = queue.Wait(work); };
  work();
  CHECK_FALSE(queue.MayGoOn());
  bool served = false;
  const auto other = Timer::After(Duration{}, [&served] { served = true; });
  for (int i = 0; i < kMostIterations && !served; ++i) {
    g_main_context_iteration(nullptr, TRUE);
  }
  CHECK_TRUE(served);
}

TEST_GROUP(LogLimiter){};

TEST(LogLimiter, AllowsABurstAndThenOneEachInterval) {
  LogLimiter limiter(2, std::chrono::seconds(1));
  const Instant start = Instant(std::chrono::seconds(10));
  CHECK(limiter.Allow(start));
  CHECK(limiter.Allow(start));
  CHECK(!limiter.Allow(start));
  LONGS_EQUAL(1, limiter.Suppressed());
  CHECK(limiter.Allow(start + std::chrono::seconds(1)));
  CHECK(!limiter.Allow(start + std::chrono::seconds(1)));
}

TEST_GROUP(Metrics){};

TEST(Metrics, PrintsCountersAndDistributions) {
  Metrics metrics;
  metrics.Add("requests_total", 2, {{"kind", "chat"}});
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("seconds", i);
  }
  CHECK(
      Contains(metrics.PrometheusText(), "requests_total{kind=\"chat\"} 2\n"));
  DOUBLES_EQUAL(500, metrics.Summary("seconds").median, 10);
  DOUBLES_EQUAL(990, metrics.Summary("seconds").p99, 10);
}

TEST_GROUP(DroppingBuffer){};

// The reader of the log has stopped and the pipe is full. Writing must not
// block; lines that do not fit are dropped and counted, and none is truncated.
TEST(DroppingBuffer, DropsLinesRatherThanWait) {
  std::array<int, 2> ends{};
  LONGS_EQUAL(0, pipe(ends.data()));
  DroppingBuffer buffer(ends[1]);
  std::ostream out(&buffer);
  const std::string line(999, 'x');
  for (int i = 0; i < 200; ++i) {
    out << line << '\n' << std::flush;
  }
  CHECK(buffer.Dropped() > 100);
  std::array<char, 1 << 18> read_back;
  const ssize_t got = read(ends[0], read_back.data(), read_back.size());
  LONGS_EQUAL((200 - buffer.Dropped()) * 1000, got);
  close(ends[0]);
  close(ends[1]);
}

TEST_GROUP(StopSignal){};

// Guards against a stop whose time limit starts only when a busy event loop
// handles the signal.
TEST(StopSignal, TellsWhenTheFirstSignalArrived) {
  const BootClock clock;
  std::vector<Instant> arrivals;
  const StopSignal signal(
      [&arrivals](Instant arrived) { arrivals.push_back(arrived); });
  const Instant before = clock.Now();
  std::raise(SIGTERM);
  const Instant after = clock.Now();
  g_usleep(50000);
  while (arrivals.empty()) {
    g_main_context_iteration(nullptr, TRUE);
  }
  CHECK(arrivals.front() >= before && arrivals.front() <= after);
  std::raise(SIGINT);
  while (arrivals.size() < 2) {
    g_main_context_iteration(nullptr, TRUE);
  }
  CHECK(arrivals.back() == arrivals.front());
}

}  // namespace hickorystand
