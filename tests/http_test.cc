// Tests of the HTTP client and server on real loopback sockets.

#include <CppUTest/TestHarness.h>

#include <future>
#include <string>

#include "http/http_client.h"
#include "http/http_server.h"

namespace hickorystand {
namespace {

// How one exchange ended, as a test looks at it.
struct Outcome {
  HttpEnd end = HttpEnd::kNotSent;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// A server and a client, each on a task of its own.
struct Pair {
  explicit Pair(HttpServer::Handler handler, HttpServerOptions options = {}) {
    this->server_task.Call([&] {
      this->server = std::make_unique<HttpServer>(options, std::move(handler));
      this->address = this->server->Start().value();
    });
    this->client_task.Call(
        [&] { this->client = std::make_unique<HttpClient>(); });
  }
  ~Pair() {
    this->client_task.Call([&] { this->client.reset(); });
    this->server_task.Call([&] { this->server.reset(); });
  }

  Outcome Send(HttpOutgoing outgoing) {
    std::promise<Outcome> done;
    auto outcome = std::make_shared<Outcome>();
    outgoing.address = this->address;
    this->client_task.Post([&] {
      this->client->Send(
          std::move(outgoing),
          {.on_head =
               [outcome](const HttpAnswerHead& head) {
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
  CHECK(outcome.end == HttpEnd::kWhole);
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
  CHECK(outcome.end == HttpEnd::kWhole);
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

}  // namespace hickorystand
