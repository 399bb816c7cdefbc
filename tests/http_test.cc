// Tests of the HTTP client and server on real loopback sockets.

#include <CppUTest/TestHarness.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <future>
#include <optional>
#include <string>

#include "broken_answers.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "http/stream_socket.h"
#include "raw_socket.h"

namespace hickorystand {
namespace {

// The result of one exchange.
struct Outcome {
  HttpEnd end = HttpEnd::kNotSent;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// Heads of answers that end with their connections.
const std::array<std::string, 2> kAnswersWithoutLength = {
    "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Type: text/plain\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-B: "
    "1\r\n\r\n"};

// Sends a request to a server with a client of its own.
Outcome SendTo(const SocketAddress& address,
               HttpClientRequest outgoing,
               Metrics* metrics = nullptr) {
  Task task("client");
  std::unique_ptr<HttpClient> client;
  task.Call([&] {
    client =
        std::make_unique<HttpClient>(HttpClientOptions{.metrics = metrics});
  });
  outgoing.address = address;
  Outcome outcome;
  std::promise<void> done;
  task.Post([&] {
    client->Send(
        std::move(outgoing),
        {.on_head =
             [&](const HttpResponseHead& head) {
               outcome.status = head.status;
               outcome.headers = head.headers;
             },
         .on_bytes = [&](std::string_view bytes) { outcome.body += bytes; },
         .on_end =
             [&](HttpEnd end, const std::string&) {
               outcome.end = end;
               done.set_value();
             }});
  });
  done.get_future().wait();
  task.Call([&] { client.reset(); });
  return outcome;
}

// A server and a client, each on its own task.
struct Pair {
  explicit Pair(HttpServer::Handler handler,
                HttpServerOptions options = {},
                const ResourceLimits& limits = {}) {
    this->server_task.Call([&] {
      this->budget =
          std::make_unique<ResourceBudget>(limits, this->clock, this->metrics);
      this->server = std::make_unique<HttpServer>(options, std::move(handler),
                                                  HttpServer::RefusalHandler(),
                                                  this->budget.get());
      this->address = this->server->Start().value();
    });
    this->client_task.Call(
        [&] { this->client = std::make_unique<HttpClient>(); });
  }
  ~Pair() {
    this->client_task.Call([&] { this->client.reset(); });
    this->server_task.Call([&] {
      this->server.reset();
      this->budget.reset();
    });
  }

  Outcome Send(HttpClientRequest outgoing) {
    std::promise<Outcome> done;
    auto outcome = std::make_shared<Outcome>();
    outgoing.address = this->address;
    this->client_task.Post([&] {
      this->client->Send(
          std::move(outgoing),
          {.on_head =
               [outcome](const HttpResponseHead& head) {
                 outcome->status = head.status;
                 outcome->headers = head.headers;
               },
           .on_bytes =
               [outcome](std::string_view bytes) { outcome->body += bytes; },
           .on_end =
               [outcome, &done](HttpEnd end, const std::string&) {
                 outcome->end = end;
                 done.set_value(*outcome);
               }});
    });
    return done.get_future().get();
  }

  Task server_task{"server"};
  Task client_task{"client"};
  BootClock clock;
  Metrics metrics;
  std::unique_ptr<ResourceBudget> budget;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  SocketAddress address;
};

}  // namespace

TEST_GROUP(Http){};

TEST(Http, AnswersAtOnce) {
  Pair pair([](const HttpCallPtr& call) {
    call->Answer(201, {{"X-A", "b"}}, call->Request().body + "!");
  });
  const Outcome outcome = pair.Send({.method = "POST", .body = "hello"});
  CHECK(outcome.end == HttpEnd::kComplete);
  LONGS_EQUAL(201, outcome.status);
  STRCMP_EQUAL("hello!", outcome.body.c_str());
  STRCMP_EQUAL("b", FindHeader(outcome.headers, "x-a").value_or("").c_str());
}

TEST(Http, AnswersAsAStream) {
  Pair pair([](const HttpCallPtr& call) {
    call->StartStream(200, {});
    call->Write("one ");
    call->Write("two");
    call->EndStream();
  });
  const Outcome outcome = pair.Send({});
  CHECK(outcome.end == HttpEnd::kComplete);
  STRCMP_EQUAL("one two", outcome.body.c_str());
}

TEST(Http, AnswersLater) {
  std::vector<std::unique_ptr<Timer>> timers;
  Pair pair([&](const HttpCallPtr& call) {
    timers.push_back(Timer::After(std::chrono::milliseconds(5), [call] {
      call->StartStream(200, {});
      call->Write("late");
      call->EndStream();
    }));
  });
  STRCMP_EQUAL("late", pair.Send({}).body.c_str());
  pair.server_task.Call([&] { timers.clear(); });
}

TEST(Http, AbortedStreamIsSeenAsReset) {
  Pair pair([](const HttpCallPtr& call) {
    call->StartStream(200, {});
    call->Write("half");
    call->Abort();
  });
  CHECK(pair.Send({}).end == HttpEnd::kReset);
}

// Guards against a head that ends early with its connection and passes for a
// whole answer without a body.
TEST(Http, AHeadThatEndsEarlyIsNoAnswer) {
  for (const std::string& answer : kAnswersWithoutLength) {
    for (size_t size = 0; size < answer.size(); ++size) {
      RawServer server([&](RawSocket& socket, int) {
        socket.ReadUntil("\r\n\r\n");
        socket.Write(answer.substr(0, size));
      });
      const Outcome outcome = SendTo(server.Address(), {});
      CHECK(outcome.end != HttpEnd::kComplete);
      CHECK(outcome.end != HttpEnd::kNoEndMarker);
      LONGS_EQUAL(0, outcome.status);
    }
    RawServer server([&](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Write(answer + "body");
    });
    const Outcome whole = SendTo(server.Address(), {});
    CHECK(whole.end == HttpEnd::kNoEndMarker);
    LONGS_EQUAL(200, whole.status);
    STRCMP_EQUAL("body", whole.body.c_str());
  }
}

// Guards against an answer that is not valid HTTP, or whose end is missing, and
// that is reported as a whole one.
TEST(Http, ABrokenAnswerIsNoAnswer) {
  for (const BrokenAnswer& answer : BrokenAnswers("X-A: 1\r\n")) {
    RawServer server([&](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Write(answer.bytes);
    });
    const Outcome outcome = SendTo(server.Address(), {});
    CHECK_TEXT(
        outcome.end == HttpEnd::kProtocol || outcome.end == HttpEnd::kReset,
        answer.name.c_str());
    LONGS_EQUAL_TEXT(1, server.Connections(), answer.name.c_str());
  }
}

// Guards against reporting the head of such an answer, which may be passed on
// before the answer's end is known.
TEST(Http, ABrokenHeadIsNotReported) {
  for (const BrokenAnswer& answer : BrokenHeads("X-A: 1\r\n")) {
    RawServer server([&](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Write(answer.bytes);
    });
    const Outcome outcome = SendTo(server.Address(), {});
    CHECK_TEXT(outcome.end == HttpEnd::kProtocol, answer.name.c_str());
    LONGS_EQUAL_TEXT(0, outcome.status, answer.name.c_str());
    STRCMP_EQUAL_TEXT("", outcome.body.c_str(), answer.name.c_str());
  }
}

// Guards against a broken answer that operators can't see.
TEST(Http, ABrokenAnswerIsCounted) {
  RawServer server([](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n");
  });
  Metrics metrics;
  SendTo(server.Address(), {}, &metrics);
  DOUBLES_EQUAL(
      1, metrics.Value("http_answers_broken_total", {{"reason", "header"}}), 0);
}

// Guards against a part of an answer without length that passes for a whole
// one, because its connection is reset while the request's body is written.
TEST(Http, AnAnswerThatIsResetDuringTheUploadIsNoAnswer) {
  for (int i = 0; i < 20; ++i) {
    RawServer server([](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Write("HTTP/1.1 200 OK\r\n\r\npart");
      socket.Reset();
    });
    const Outcome outcome =
        SendTo(server.Address(),
               {.method = "POST", .body = std::string(size_t{8} << 20, 'u')});
    CHECK(outcome.end == HttpEnd::kReset);
  }
}

// Guards against a reset that a write notices first, and that reading then
// reports as an orderly close.
TEST(Http, AResetThatAWriteNoticesIsNoClose) {
  std::promise<void> blocked;
  RawServer server([&blocked](RawSocket& socket, int) {
    blocked.get_future().wait();
    socket.Write("part");
    socket.Reset();
  });
  std::string got;
  std::optional<StreamEnd> end;
  const auto socket = StreamSocket::Connect(
      server.Address(), std::chrono::seconds(5),
      {.on_bytes = [&got](std::string_view bytes) { got += bytes; },
       .on_end = [&end](StreamEnd seen) { end = seen; }});
  const auto run_until = [](const std::function<bool()>& holds) {
    while (!holds()) {
      g_main_context_iteration(nullptr, TRUE);
    }
  };
  run_until([&socket] { return socket->Open(); });
  socket->Pause();
  socket->Write(std::string(size_t{32} << 20, 'u'));
  CHECK(socket->Unsent() > 0);
  blocked.set_value();
  run_until([&socket] { return socket->Unsent() == 0; });
  CHECK(!socket->Open());
  socket->Resume();
  run_until([&end] { return end.has_value(); });
  STRCMP_EQUAL("part", got.c_str());
  CHECK(end == StreamEnd::kReset);
}

// -- Limits ------------------------------------------------------------------

namespace {

HttpServerOptions SmallLimits() {
  HttpServerOptions options;
  options.max_body_bytes = 1000;
  options.max_headers = 20;
  options.max_header_bytes = 2000;
  options.head_timeout = std::chrono::milliseconds(200);
  options.body_timeout = std::chrono::milliseconds(200);
  options.write_timeout = std::chrono::milliseconds(200);
  return options;
}

void AnswerLength(const HttpCallPtr& call) {
  call->Answer(200, {}, std::to_string(call->Request().body.size()));
}

// The answer of a server with small limits to raw bytes.
std::string RawAnswer(const std::string& bytes) {
  Pair pair(&AnswerLength, SmallLimits());
  RawSocket socket(pair.address);
  socket.Write(bytes);
  const std::string answer = socket.ReadAll();
  // A misbehaving client does not affect others.
  STRCMP_EQUAL("5",
               pair.Send({.method = "POST", .body = "hello"}).body.c_str());
  return answer;
}

bool Begins(const std::string& text, const std::string& part) {
  return text.starts_with(part);
}

const std::string kPost = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";

}  // namespace

// Guards against a connection that stays open while the exchange object exists,
// because the exchange is cancelled with no read in progress.
TEST(Http, CancellingAPausedAnswerClosesItsConnection) {
  std::promise<void> gone;
  Pair pair([&gone](const HttpCallPtr& call) {
    call->OnGone([&gone] { gone.set_value(); });
    call->StartStream(200, {});
    call->Write("begun");
  });
  HttpExchangePtr exchange;
  std::promise<void> bytes_received;
  pair.client_task.Call([&] {
    exchange = pair.client->Send({.address = pair.address},
                                 {.on_bytes = [&](std::string_view) {
                                   exchange->Pause();
                                   bytes_received.set_value();
                                 }});
  });
  bytes_received.get_future().wait();
  pair.client_task.Call([&] { exchange->Cancel(); });
  CHECK(gone.get_future().wait_for(std::chrono::seconds(5)) ==
        std::future_status::ready);
  pair.client_task.Call([&] { exchange.reset(); });
}

TEST(Http, RefusesABodyThatIsTooLong) {
  CHECK(Begins(RawAnswer(kPost + "Content-Length: 1000\r\n\r\n" +
                         std::string(1000, 'x')),
               "HTTP/1.1 200"));
  CHECK(Begins(RawAnswer(kPost + "Content-Length: 1001\r\n\r\n" +
                         std::string(1001, 'x')),
               "HTTP/1.1 413"));
}

// A chunked body has no length that could be checked in advance.
TEST(Http, RefusesAChunkedBodyThatIsTooLong) {
  CHECK(Begins(RawAnswer(kPost + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                         std::string(2000, 'x') + "\r\n0\r\n\r\n"),
               "HTTP/1.1 413"));
}

// Guards against memory that grows with a body that never ends: the connection
// is closed and nothing of the body is kept.
TEST(Http, CutsOffABodyWithoutEnd) {
  Pair pair(&AnswerLength, SmallLimits());
  RawSocket socket(pair.address);
  socket.Write(kPost + "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "3e8\r\n" + std::string(1000, 'x') + "\r\n";
  constexpr int kChunks = 100'000;
  int written = 0;
  while (written < kChunks && socket.Write(chunk)) {
    ++written;
  }
  CHECK(written < kChunks);
}

TEST(Http, RefusesAHeaderFlood) {
  std::string many;
  for (int i = 0; i < 30; ++i) {
    many += "X-" + std::to_string(i) + ": y\r\n";
  }
  CHECK(Begins(RawAnswer(kPost + many + "\r\n"), "HTTP/1.1 413"));
  CHECK(Begins(
      RawAnswer(kPost + "X-Long: " + std::string(3000, 'y') + "\r\n\r\n"),
      "HTTP/1.1 413"));
  // A header that never ends.
  const std::string endless =
      RawAnswer(kPost + "X-Long: " + std::string(1'000'000, 'y'));
  CHECK(!Begins(endless, "HTTP/1.1 200"));
}

// Guards against callers that hold all connections by sending a head or body a
// byte at a time and never finishing it.
TEST(Http, CutsOffSlowSenders) {
  CHECK(RawAnswer("POST / HT").empty());
  CHECK(!Begins(RawAnswer(kPost + "Content-Length: 100\r\n\r\nslow"),
                "HTTP/1.1 200"));
}

// Guards against memory exhausted by many concurrent bodies, each of them
// within its own limit.
TEST(Http, RefusesMoreBodiesThanItMayHold) {
  HttpServerOptions options = SmallLimits();
  options.max_body_bytes = 100'000;
  const ResourceLimits limits{.bytes = 800'000};  // 600,000 in work
  std::promise<void> arrived;
  HttpCallPtr held;
  bool any = false;
  Pair pair(
      [&](const HttpCallPtr& call) {
        if (!std::exchange(any, true)) {
          held = call;
          arrived.set_value();
        } else {
          AnswerLength(call);
        }
      },
      options, limits);
  const auto status = [&pair](size_t bytes) {
    return pair.Send({.method = "POST", .body = std::string(bytes, 'y')})
        .status;
  };
  // A body in work counts four times.
  RawSocket first(pair.address);
  first.Write(kPost + "Content-Length: 100000\r\n\r\n" +
              std::string(100'000, 'x'));
  arrived.get_future().wait();
  LONGS_EQUAL(429, status(90'000));
  LONGS_EQUAL(200, status(40'000));
  pair.server_task.Call([&] {
    AnswerLength(held);
    held.reset();
  });
  CHECK(Begins(first.ReadAll(), "HTTP/1.1 200"));
  LONGS_EQUAL(200, status(90'000));
}

// Guards against callers that stall just short of the end of their bodies and
// keep all others out.
TEST(Http, BodiesThatStallMakeRoomForOthers) {
  HttpServerOptions options = SmallLimits();
  options.max_body_bytes = 100'000;
  options.body_timeout = std::chrono::seconds(60);
  const ResourceLimits limits{.bytes = 800'000};
  Pair pair(&AnswerLength, options, limits);
  std::vector<std::unique_ptr<RawSocket>> crowd;
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(std::make_unique<RawSocket>(pair.address));
    crowd.back()->Write(kPost + "Content-Length: 100000\r\n\r\n" +
                        std::string(99'999, 'x'));
  }
  const Outcome outcome =
      pair.Send({.method = "POST", .body = std::string(90'000, 'y')});
  LONGS_EQUAL(200, outcome.status);
  pair.server_task.Call([&] {
    CHECK(pair.budget->Bytes() <= limits.bytes);
    CHECK(pair.metrics.Value(
              "budget_yields_total",
              {{"resource", "memory"}, {"state", "receiving"}}) >= 10);
  });
}

// Guards against callers that read none of their answers and take all memory.
TEST(Http, AnswersThatNobodyReadsMakeRoomForOthers) {
  HttpServerOptions options = SmallLimits();
  options.write_timeout = std::chrono::seconds(60);
  const ResourceLimits limits{.bytes = 40'000'000};
  Pair pair(
      [](const HttpCallPtr& call) {
        call->Answer(
            200, {},
            std::string(call->Request().path == "/big" ? 8'000'000 : 5, 'a'));
      },
      options, limits);
  std::vector<std::unique_ptr<RawSocket>> crowd;
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(std::make_unique<RawSocket>(pair.address));
    crowd.back()->Write("GET /big HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  // What one turn of the main loop adds may exceed the limit until the next.
  const auto made_room = [&pair, &limits] {
    bool made = false;
    pair.server_task.Call([&] {
      made = pair.metrics.Value(
                 "budget_yields_total",
                 {{"resource", "memory"}, {"state", "sending"}}) >= 5 &&
             pair.budget->Bytes() <= limits.bytes;
    });
    return made;
  };
  int waits = 0;
  while (!made_room() && ++waits < 5000) {
    g_usleep(1000);
  }
  CHECK(made_room());
  STRCMP_EQUAL("aaaaa", pair.Send({.target = "/small"}).body.c_str());
}

// Guards against silent connections that keep all others out.
TEST(Http, SilentConnectionsMakeRoomForOthers) {
  HttpServerOptions options = SmallLimits();
  options.head_timeout = std::chrono::seconds(60);
  const ResourceLimits limits{.descriptors = 40};
  Pair pair(&AnswerLength, options, limits);
  std::vector<std::unique_ptr<RawSocket>> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(std::make_unique<RawSocket>(pair.address));
  }
  STRCMP_EQUAL("5",
               pair.Send({.method = "POST", .body = "hello"}).body.c_str());
  pair.server_task.Call(
      [&] { CHECK(pair.budget->Descriptors() <= limits.ForClients()); });
}

// Guards against readers that leave the last byte of each block, whose memory
// then counts as free.
TEST(Http, ABlockCountsUntilItIsFreed) {
  constexpr size_t kBytes = 200'000;
  OutputQueue queue;
  queue.Append(std::string(kBytes, 'a'));
  const size_t first = queue.Front().size();
  CHECK(first < kBytes);
  queue.Consume(first - 1);
  LONGS_EQUAL(kBytes, queue.OwnBytes());
  LONGS_EQUAL(kBytes - first + 1, queue.Size());
  queue.Consume(1);
  LONGS_EQUAL(kBytes - first, queue.OwnBytes());
  queue.Append(std::make_shared<const std::string>(kBytes, 's'));
  while (queue.Size() > 0) {
    queue.Consume(queue.Front().size());
  }
  LONGS_EQUAL(0, queue.OwnBytes());
}

// Guards against a loop that only accepts, in vain, while the process has no
// descriptors.
TEST(Http, AcceptingPausesWithoutDescriptors) {
  const BootClock clock;
  Metrics metrics;
  ResourceBudget budget({}, clock, metrics);
  std::vector<ObjectPtr<GSocket>> accepted;
  const SocketAddress address{.host = "127.0.0.1", .port = 20460};
  const auto listener = Listener::Open(
      address,
      [&accepted](ObjectPtr<GSocket> socket) {
        accepted.push_back(std::move(socket));
      },
      &budget);
  CHECK(listener.has_value());
  const RawSocket caller(address);
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int lowest_free = dup(STDERR_FILENO);
  close(lowest_free);
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(lowest_free);
  setrlimit(RLIMIT_NOFILE, &none);
  const auto run_until = [](const std::function<bool()>& holds) {
    while (!holds()) {
      g_main_context_iteration(nullptr, TRUE);
    }
  };
  bool over = false;
  const auto end =
      Timer::After(std::chrono::milliseconds(450), [&over] { over = true; });
  run_until([&over] { return over; });
  setrlimit(RLIMIT_NOFILE, &before);
  const double failures = metrics.Value("accept_failures_total");
  CHECK(failures >= 1);
  CHECK(failures <= 5);
  run_until([&accepted] { return !accepted.empty(); });
}

// Guards against a buffer held without end for a caller that opens a stream and
// never reads it.
TEST(Http, CutsOffACallerThatDoesNotRead) {
  std::promise<void> gone;
  Pair pair(
      [&](const HttpCallPtr& call) {
        call->OnGone([&gone] { gone.set_value(); });
        call->StartStream(200, {});
        const std::string block(4'000'000, 'x');
        for (int i = 0; i < 8; ++i) {
          call->Write(block);
        }
      },
      SmallLimits());
  RawSocket socket(pair.address);
  socket.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  gone.get_future().wait();
}

}  // namespace hickorystand
