// Tests of the request path: a caller, a gateway and stand-in endpoints on
// loopback sockets.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <string>

#include "broken_answers.h"
#include "gateway_bed.h"
#include "kernel/json.h"
#include "raw_socket.h"

namespace hickorystand {
namespace {

using fakes::EngineFault;
using fakes::FakeEngine;
using fakes::FakePlainService;
using fakes::PlainFault;
using fakes::RunRecord;

// The text of a stream's events, and whether the stream ended with [DONE].
struct StreamText {
  std::string text;
  bool done = false;
  std::string error_code;
};

StreamText ReadStream(const std::string& body) {
  StreamText result;
  SseParser parser([&](std::string_view data) {
    if (data == kSseDone) {
      result.done = true;
      return;
    }
    const Json json = Json::ParseObject(data).value_or(Json());
    result.error_code += json.At("error").At("code").Text();
    for (const Json& choice : json.At("choices").Items()) {
      result.text += choice.At("delta").At("content").Text();
    }
  });
  parser.Feed(body);
  return result;
}

std::string WholeText(const std::string& body) {
  const auto choices =
      Json::ParseObject(body).value_or(Json()).At("choices").Items();
  return choices.empty() ? ""
                         : choices.front().At("message").At("content").Text();
}

std::string ErrorCode(const CallerAnswer& answer) {
  return Json::ParseObject(answer.body)
      .value_or(Json())
      .At("error")
      .At("code")
      .Text();
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A request's head as bytes, for callers that send or read slowly.
std::string RawHead(const std::string& method,
                    const std::string& target,
                    size_t body_bytes = 0,
                    const std::string& more = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: a\r\n" + more +
         "Authorization: Bearer " + GatewayBed::kKey + "\r\n" +
         "Content-Type: application/json\r\n" +
         "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

// Stands in a broken answer where the request's id is added.
constexpr const char* kFirstField = "X-A: 1\r\n";

}  // namespace

// Run with every dispatcher.
TEST_GROUP(Gateway){};

// Run with the round-robin dispatcher only, which queues requests even when no
// endpoint serves them; the policy dispatcher refuses those at once.
TEST_GROUP(GatewayQueue){};

// Run with every dispatcher.
TEST_GROUP(GatewayLimits){};

TEST(Gateway, StreamsAChatAnswer) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  const CallerAnswer answer = bed.caller.Send(bed.Chat("hello", true));
  LONGS_EQUAL(200, answer.status);
  const StreamText stream = ReadStream(answer.body);
  STRCMP_EQUAL(GatewayBed::ChatText("hello").c_str(), stream.text.c_str());
  CHECK(stream.done);
  CHECK(answer.Header("X-Request-Id").starts_with("req-"));
}

TEST(Gateway, PutsAWholeAnswerTogether) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  const CallerAnswer answer = bed.caller.Send(bed.Chat("hello", false));
  LONGS_EQUAL(200, answer.status);
  STRCMP_EQUAL(GatewayBed::ChatText("hello").c_str(),
               WholeText(answer.body).c_str());
  const Json json = Json::ParseObject(answer.body).value_or(Json());
  LONGS_EQUAL(8, json.At("usage").At("completion_tokens").Integer());
}

// -- Broken answers ----------------------------------------------------------

// After three words the connection to the engine is reset, as when its host is
// reclaimed. The stream must continue without a visible break.
TEST(Gateway, ResumesAStreamThatCrashed) {
  FakeEngine first;
  FakeEngine second;
  GatewayBed bed;
  bed.AddEngine("e1", first.Address());
  bed.AddEngine("e2", second.Address());
  first.SetFault({.kind = EngineFault::kCrashStream, .after_tokens = 3});
  const StreamText stream =
      ReadStream(bed.caller.Send(bed.Chat("leaflet", true)).body);
  STRCMP_EQUAL(GatewayBed::ChatText("leaflet").c_str(), stream.text.c_str());
  CHECK(stream.done);
  LONGS_EQUAL(3, second.Runs().at(0).resume_from);
}

// Guards against an answer that goes on at another software version: at the
// engine that resumes one while both have the same.
TEST(Gateway, ResumesAStreamAtItsSoftwareVersion) {
  FakeEngine first;
  FakeEngine second;
  GatewayBed bed({}, std::chrono::milliseconds(20));
  bed.AddEngine("e1", first.Address());
  bed.AddEngine("e2", second.Address());
  const auto wait_for_reports = [&] {
    for (FakeEngine* engine : {&first, &second}) {
      const int64_t before = engine->LoadReports();
      CHECK(Eventually([&] { return engine->LoadReports() > before + 2; }));
    }
  };
  first.SetSoftware("v1");
  second.SetSoftware("v1");
  wait_for_reports();
  first.SetFault({.kind = EngineFault::kTruncate, .after_tokens = 3});
  CHECK(ReadStream(bed.caller.Send(bed.Chat("leaflet", true)).body).done);
  LONGS_EQUAL(3, second.Runs().at(0).resume_from);
  second.SetSoftware("v2");
  wait_for_reports();
  const StreamText stream =
      ReadStream(bed.caller.Send(bed.Chat("form", true)).body);
  STRCMP_EQUAL(GatewayBed::ChatText("form").c_str(), stream.text.c_str());
  LONGS_EQUAL(1, second.Runs().size());
  LONGS_EQUAL(6, first.Runs().back().resume_from);
}

// Guards against a truncated answer taken as whole: an engine closes its answer
// in order, but early and without the end marker.
TEST(Gateway, ResumesATruncatedStream) {
  FakeEngine first;
  FakeEngine second;
  GatewayBed bed;
  bed.AddEngine("e1", first.Address());
  bed.AddEngine("e2", second.Address());
  first.SetFault({.kind = EngineFault::kTruncate, .after_tokens = 2});
  const StreamText stream =
      ReadStream(bed.caller.Send(bed.Chat("form", true)).body);
  STRCMP_EQUAL(GatewayBed::ChatText("form").c_str(), stream.text.c_str());
  CHECK(stream.done);
}

// The same for an answer that is not streamed.
TEST(Gateway, ResumesAWholeAnswer) {
  FakeEngine first;
  FakeEngine second;
  GatewayBed bed;
  bed.AddEngine("e1", first.Address());
  bed.AddEngine("e2", second.Address());
  first.SetFault({.kind = EngineFault::kErrorEvent, .after_tokens = 5});
  const CallerAnswer answer = bed.caller.Send(bed.Chat("form", false));
  STRCMP_EQUAL(GatewayBed::ChatText("form").c_str(),
               WholeText(answer.body).c_str());
  LONGS_EQUAL(5, second.Runs().at(0).resume_from);
}

// Every engine breaks the stream. What the caller has must not look like a
// short but whole answer: an error event follows, and no [DONE].
TEST(Gateway, EndsAStreamThatCannotBeResumedWithAnError) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  engine.SetFault({.kind = EngineFault::kTruncate, .after_tokens = 1});
  const CallerAnswer answer = bed.caller.Send(bed.Chat("form", true));
  const StreamText stream = ReadStream(answer.body);
  CHECK(!stream.done);
  STRCMP_EQUAL("broken_answer", stream.error_code.c_str());
  LONGS_EQUAL(bed.MaxAttempts(), engine.Runs().size());
}

// A connection to an engine stops passing data because a device on the path has
// dropped its state; new connections work. The caller must get its answer over
// a new one, and connections of the same age must not be used again.
TEST(Gateway, LeavesASilentConnection) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  engine.SetFault(
      {.kind = EngineFault::kSilent, .after_tokens = 2, .times = 1});
  const StreamText stream =
      ReadStream(bed.caller.Send(bed.Chat("lookup", true)).body);
  STRCMP_EQUAL(GatewayBed::ChatText("lookup").c_str(), stream.text.c_str());
  CHECK(stream.done);
  LONGS_EQUAL(2, engine.Runs().at(1).resume_from);
}

// An engine mixes up two answers: one stream carries a chunk of another
// request. The caller must receive everything but that chunk.
TEST(Gateway, DropsACrossedChunk) {
  FakeEngine first;
  FakeEngine second;
  GatewayBed bed;
  bed.AddEngine("e1", first.Address());
  bed.AddEngine("e2", second.Address());
  first.SetFault({.kind = EngineFault::kWrongChunk, .after_tokens = 2});
  const CallerAnswer answer = bed.caller.Send(bed.Chat("mine", true));
  CHECK(!Contains(answer.body, "secret"));
  STRCMP_EQUAL(GatewayBed::ChatText("mine").c_str(),
               ReadStream(answer.body).text.c_str());
  DOUBLES_EQUAL(1, bed.metrics.Value("hickorystand_wrong_answers_total"), 0);
}

// An answer that carries another request's id from its first event on.
TEST(Gateway, DropsAnAnswerToAnotherRequest) {
  FakeEngine first;
  FakeEngine second;
  GatewayBed bed;
  bed.AddEngine("e1", first.Address());
  bed.AddEngine("e2", second.Address());
  first.SetFault({.kind = EngineFault::kWrongHead});
  const CallerAnswer answer = bed.caller.Send(bed.Chat("mine", false));
  STRCMP_EQUAL(GatewayBed::ChatText("mine").c_str(),
               WholeText(answer.body).c_str());
  DOUBLES_EQUAL(1, bed.metrics.Value("hickorystand_wrong_answers_total"), 0);
}

// Counter-check of the two tests above: without the identity check, the other
// request's text passes.
TEST(Gateway, WithoutTheIdentityCheckCrossedAnswersPass) {
  FakeEngine first;
  GatewayOptions options;
  options.driver.endpoints.check_identity = false;
  GatewayBed bed(options);
  bed.AddEngine("e1", first.Address());
  first.SetFault({.kind = EngineFault::kWrongChunk, .after_tokens = 2});
  CHECK(Contains(bed.caller.Send(bed.Chat("mine", true)).body, "secret"));
}

TEST(Gateway, PassesOnWhatAnEngineRejects) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  engine.SetFault({.kind = EngineFault::kReject});
  const CallerAnswer answer = bed.caller.Send(bed.Chat("bad", true));
  LONGS_EQUAL(400, answer.status);
  STRCMP_EQUAL("bad_request", ErrorCode(answer).c_str());
  LONGS_EQUAL(1, engine.Runs().size());
}

// -- Non-idempotent calls ----------------------------------------------------

TEST(Gateway, FilesAPetition) {
  FakePlainService service;
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  const CallerAnswer answer = bed.caller.Send(
      bed.Outgoing("POST", "/services/filing/petitions?a=b", "{\"p\":1}"));
  LONGS_EQUAL(201, answer.status);
  CHECK(Contains(answer.body, "\"path\":\"/petitions\""));
  CHECK(Contains(answer.body, "\"query\":\"a=b\""));
  LONGS_EQUAL(1, service.Petitions().size());
}

// Guards against fees due twice: a service takes a filing and its connection is
// reset, so whether it was filed is unknown. The filing is not sent again, and
// the answer says where to look.
TEST(Gateway, CrashAfterAFilingIsAnsweredAsUnknown) {
  FakePlainService first;
  FakePlainService second;
  GatewayBed bed;
  bed.AddPlain("p1", first.Address());
  bed.AddPlain("p2", second.Address());
  first.SetFault(PlainFault::kCrashAfterRun);
  const HttpClientRequest call =
      bed.Outgoing("POST", "/services/filing/petitions", "{\"p\":1}");
  const CallerAnswer answer = bed.caller.Send(call);
  LONGS_EQUAL(504, answer.status);
  STRCMP_EQUAL("outcome_unknown", ErrorCode(answer).c_str());
  STRCMP_EQUAL("false", answer.Header("x-should-retry").c_str());
  CHECK(Contains(answer.body, "/services/filing/petitions"));
  LONGS_EQUAL(1, first.Petitions().size());
  LONGS_EQUAL(0, second.Petitions().size());
  // The caller sends the filing again.
  STRCMP_EQUAL("duplicate_request", ErrorCode(bed.caller.Send(call)).c_str());
  LONGS_EQUAL(0, second.Petitions().size());
}

// The same for a service that never answers, or stops in the middle of its
// answer.
TEST(Gateway, SilenceOrHalfAnAnswerAfterAFilingIsAnsweredAsUnknown) {
  for (const PlainFault fault :
       {PlainFault::kSilentAfterRun, PlainFault::kHalfAnswer,
        PlainFault::kWrongId}) {
    FakePlainService first;
    FakePlainService second;
    GatewayBed bed;
    bed.AddPlain("p1", first.Address());
    bed.AddPlain("p2", second.Address());
    first.SetFault(fault);
    const CallerAnswer answer = bed.caller.Send(
        bed.Outgoing("POST", "/services/filing/petitions", "{\"p\":1}"));
    STRCMP_EQUAL("outcome_unknown", ErrorCode(answer).c_str());
    LONGS_EQUAL(1, first.Petitions().size() + second.Petitions().size());
  }
}

// A service reports that it did not run a filing; the next endpoint gets it.
TEST(Gateway, ARefusedFilingGoesElsewhere) {
  FakePlainService first;
  FakePlainService second;
  GatewayBed bed;
  bed.AddPlain("p1", first.Address());
  bed.AddPlain("p2", second.Address());
  first.SetFault(PlainFault::kNotRun);
  const CallerAnswer answer = bed.caller.Send(
      bed.Outgoing("POST", "/services/filing/petitions", "{\"p\":1}"));
  LONGS_EQUAL(201, answer.status);
  LONGS_EQUAL(0, first.Petitions().size());
  LONGS_EQUAL(1, second.Petitions().size());
}

// No endpoint of the service can be reached. The answer says that nothing was
// filed, and the same filing sent again must be filed.
TEST(Gateway, AFilingThatWasNotRunMayBeSentAgain) {
  SocketAddress unreachable{"127.0.0.1", 1};
  FakePlainService service;
  GatewayBed bed;
  bed.AddPlain("p1", unreachable);
  const HttpClientRequest call =
      bed.Outgoing("POST", "/services/filing/petitions", "{\"p\":1}");
  const CallerAnswer answer = bed.caller.Send(call);
  LONGS_EQUAL(503, answer.status);
  STRCMP_EQUAL("no_endpoint", ErrorCode(answer).c_str());
  STRCMP_EQUAL("true", answer.Header("x-should-retry").c_str());
  CHECK(std::stoi(answer.Header("Retry-After")) >= 1);
  bed.AddPlain("p1", service.Address());
  LONGS_EQUAL(201, bed.caller.Send(call).status);
  LONGS_EQUAL(1, service.Petitions().size());
}

// The key-value service is down, so no claim can be made. The filing must not
// run unclaimed; the answer says so, with a retry time.
TEST(Gateway, WithoutAClaimAFilingIsRefusedAsNotRun) {
  FakePlainService service;
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  bed.claim_answer = ClaimResult::kUnavailable;
  const CallerAnswer answer = bed.caller.Send(
      bed.Outgoing("POST", "/services/filing/petitions", "{\"p\":1}"));
  STRCMP_EQUAL("claim_unavailable", ErrorCode(answer).c_str());
  CHECK(std::stoi(answer.Header("Retry-After")) >= 1);
  LONGS_EQUAL(0, service.Runs().size());
}

TEST(Gateway, TheIdempotencyKeySaysWhatIsTheSame) {
  FakePlainService service;
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  HttpClientRequest one =
      bed.Outgoing("POST", "/services/filing/petitions", "{\"p\":1}");
  HttpClientRequest two = one;
  one.headers.push_back({"Idempotency-Key", "a"});
  two.headers.push_back({"Idempotency-Key", "b"});
  LONGS_EQUAL(201, bed.caller.Send(one).status);
  LONGS_EQUAL(201, bed.caller.Send(two).status);
  STRCMP_EQUAL("duplicate_request", ErrorCode(bed.caller.Send(two)).c_str());
  LONGS_EQUAL(2, service.Petitions().size());
}

// A caller disconnects while its filing runs. Cancelling would leave its
// outcome unknown, so the filing runs to its end.
TEST(Gateway, AFilingOutlivesItsCaller) {
  FakePlainService service({.delay = std::chrono::milliseconds(50)});
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  bed.caller.Start(
      bed.Outgoing("POST", "/services/filing/petitions", "{\"p\":1}"));
  CHECK(Eventually([&] { return service.Petitions().size() == 1; }));
  bed.caller.HangUp();
  CHECK(Eventually([&] {
    return bed.metrics.Value("hickorystand_attempts_total",
                             {{"outcome", "complete"}}) == 1;
  }));
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Running(); }) == 0;
  }));
}

TEST(Gateway, PassesOnALargeAnswerInFull) {
  constexpr size_t kBytes = 5'000'000;
  FakePlainService service;
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  const CallerAnswer answer = bed.caller.Send(bed.Outgoing(
      "GET", "/services/filing/large?bytes=" + std::to_string(kBytes)));
  CHECK(answer.end == HttpEnd::kComplete);
  LONGS_EQUAL(kBytes, answer.body.size());
}

// Guards against a counted length around an answer whose end proves nothing.
TEST(Gateway, ForwardsAnAnswerThatEndsByCloseAsSuch) {
  FakePlainService service;
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  service.SetFault(PlainFault::kUntilClose);
  const CallerAnswer answer =
      bed.caller.Send(bed.Outgoing("GET", "/services/filing/petitions/1"));
  CHECK(answer.end == HttpEnd::kNoEndMarker);
  LONGS_EQUAL(200, answer.status);
  STRCMP_EQUAL("{\"whole\":true}", answer.body.c_str());
  STRCMP_EQUAL("", answer.Header("Content-Length").c_str());
}

// Guards against a 200 without a body for an answer whose head was cut.
TEST(Gateway, AnswersNoSuccessForAHeadThatEndsEarly) {
  RawServer service([](RawSocket& socket, int) {
    const std::string request = socket.ReadUntil("\r\n\r\n");
    const std::string name = "X-Request-Id: ";
    const size_t from = request.find(name);
    socket.Write("HTTP/1.1 200 OK\r\n" +
                 request.substr(from, request.find("\r\n", from) + 2 - from));
  });
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  const CallerAnswer answer =
      bed.caller.Send(bed.Outgoing("GET", "/services/filing/petitions/1"));
  LONGS_EQUAL(502, answer.status);
}

// Guards against a broken answer that reaches its caller as a whole one, with
// the line that breaks it or with a body that is not the endpoint's.
TEST(Gateway, PassesNoBrokenAnswerOn) {
  BrokenAnswer broken;
  RawServer service([&broken](RawSocket& socket, int) {
    const std::string request = socket.ReadUntil("\r\n\r\n");
    const std::string name = "X-Request-Id: ";
    const size_t from = request.find(name);
    std::string answer = broken.bytes;
    answer.insert(answer.find(kFirstField),
                  request.substr(from, request.find("\r\n", from) + 2 - from));
    socket.Write(answer);
  });
  const auto get = [&](const BrokenAnswer& answer) {
    broken = answer;
    GatewayBed bed;
    bed.AddPlain("p1", service.Address());
    return bed.caller.Send(bed.Outgoing("GET", "/services/filing/petitions/1"));
  };
  for (const BrokenAnswer& answer : BrokenHeads(kFirstField)) {
    LONGS_EQUAL_TEXT(502, get(answer).status, answer.name.c_str());
  }
  for (const BrokenAnswer& answer : BrokenBodies(kFirstField)) {
    const CallerAnswer got = get(answer);
    CHECK_TEXT(got.status == 502 || got.end == HttpEnd::kReset,
               answer.name.c_str());
  }
}

// Guards against an orderly close after such an answer was truncated.
TEST(Gateway, ResetsACallerWhoseAnswerWithoutLengthIsTruncated) {
  FakePlainService service;
  GatewayBed bed;
  bed.AddPlain("p1", service.Address());
  service.SetFault(PlainFault::kUntilCloseReset);
  const CallerAnswer answer =
      bed.caller.Send(bed.Outgoing("GET", "/services/filing/petitions/1"));
  LONGS_EQUAL(200, answer.status);
  CHECK(answer.end == HttpEnd::kReset);
}

// A lookup fails at one endpoint; it is idempotent, so another one answers it.
TEST(Gateway, ALookupGoesElsewhere) {
  for (const PlainFault fault :
       {PlainFault::kCrashAfterRun, PlainFault::kHalfAnswer,
        PlainFault::kWrongId, PlainFault::kNotRun}) {
    FakePlainService first;
    FakePlainService second;
    GatewayBed bed;
    bed.AddPlain("p1", first.Address());
    bed.AddPlain("p2", second.Address());
    first.SetFault(fault);
    const CallerAnswer answer =
        bed.caller.Send(bed.Outgoing("GET", "/services/filing/petitions/1"));
    LONGS_EQUAL(200, answer.status);
    CHECK(!Contains(answer.body, "secret"));
  }
}

// -- Keys --------------------------------------------------------------------

TEST(Gateway, RefusesBadKeysAsAnOpenAiServerDoes) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  HttpClientRequest unknown = bed.Chat("x", true);
  unknown.headers = {{"Authorization", "Bearer sk-unknown"}};
  HttpClientRequest none = bed.Chat("x", true);
  none.headers = {};
  for (const HttpClientRequest& call : {unknown, none}) {
    const CallerAnswer answer = bed.caller.Send(call);
    LONGS_EQUAL(401, answer.status);
    STRCMP_EQUAL("invalid_api_key", ErrorCode(answer).c_str());
    STRCMP_EQUAL("false", answer.Header("x-should-retry").c_str());
    CHECK(!answer.Header("X-Request-Id").empty());
  }
  LONGS_EQUAL(0, engine.Runs().size());
}

// A caller's key must not reach an endpoint's log or memory, whichever header
// the caller sent it in.
TEST(Gateway, NoEndpointSeesTheKey) {
  FakeEngine engine;
  FakePlainService service;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.AddPlain("p1", service.Address());
  const std::string key = GatewayBed::kKey;
  HttpClientRequest get = bed.Outgoing("GET", "/services/filing/petitions");
  get.headers.push_back({"Cookie", "session=" + key});
  get.headers.push_back({"X-Api-Key", key});
  get.headers.push_back({"X-Something", "t " + key});
  get.headers.push_back({"X-Harmless", "passes"});
  get.headers.push_back({"X-Request-Id", "forged"});
  LONGS_EQUAL(200, bed.caller.Send(get).status);
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat("x", true)).status);
  std::vector<RunRecord> runs = service.Runs();
  std::ranges::copy(engine.Runs(), std::back_inserter(runs));
  LONGS_EQUAL(2, runs.size());
  for (const RunRecord& run : runs) {
    CHECK(!Contains(run.body + run.target, key));
    CHECK(std::ranges::none_of(run.headers, [&](const HttpHeader& header) {
      return Contains(header.value, key);
    }));
    CHECK(run.request.starts_with("req-"));
  }
  STRCMP_EQUAL("passes",
               FindHeader(runs[0].headers, "X-Harmless").value_or("").c_str());
  LONGS_EQUAL(
      400, bed.caller
               .Send(bed.Outgoing("GET", "/services/filing/petitions?k=" + key))
               .status);
}

// A key is withdrawn while requests that use it are queued. They must not run;
// the requests of other client accounts must.
TEST(GatewayQueue, AKeyWithdrawnWhileQueuedRunsNothing) {
  FakeEngine engine;
  GatewayBed bed;
  auto withdrawn = bed.caller.Start(bed.Chat("late", true));
  HttpClientRequest other = bed.Chat("fine", true);
  other.headers = {
      {"Authorization", std::string("Bearer ") + GatewayBed::kOtherKey}};
  auto kept = bed.caller.Start(other);
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Queued(); }) == 2;
  }));
  std::erase_if(bed.configuration.keys, [](const auto& each) {
    return each.second.account == AccountId("alpha");
  });
  bed.AddEngine("e1", engine.Address());
  const CallerAnswer refused = withdrawn.get();
  LONGS_EQUAL(401, refused.status);
  STRCMP_EQUAL("invalid_api_key", ErrorCode(refused).c_str());
  LONGS_EQUAL(200, kept.get().status);
  LONGS_EQUAL(1, engine.Runs().size());
}

// Counter-check of the test above: without the second key check the request
// runs.
TEST(GatewayQueue, WithoutTheSecondCheckAWithdrawnKeyRuns) {
  FakeEngine engine;
  GatewayOptions options;
  options.driver.recheck_keys = false;
  GatewayBed bed(options);
  auto withdrawn = bed.caller.Start(bed.Chat("late", true));
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Queued(); }) == 1;
  }));
  bed.configuration.keys.clear();
  bed.AddEngine("e1", engine.Address());
  LONGS_EQUAL(200, withdrawn.get().status);
}

// Guards against a delayed older configuration in which a withdrawn key is
// still valid.
TEST(Gateway, AnOlderConfigurationDoesNotRevive) {
  GatewayBed bed;
  const auto older = std::make_shared<Configuration>(bed.configuration);
  bed.configuration.keys.clear();
  bed.configuration.revision += 5;
  bed.Apply();
  bed.task.Call([&] { bed.gateway->ApplyConfiguration(older); });
  LONGS_EQUAL(401, bed.caller.Send(bed.Outgoing("GET", "/v1/models")).status);
}

// -- Planned stops and hang-ups ----------------------------------------------

// A host drains while a stream runs. The stream must finish, new requests must
// be refused as not run, and only then may the host stop.
TEST(Gateway, ADrainFinishesRunningStreams) {
  FakeEngine engine({.step = std::chrono::milliseconds(5)});
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  auto running = bed.caller.Start(bed.Chat("long", true, 40));
  CHECK(Eventually([&] { return engine.Runs().size() == 1; }));
  std::promise<void> drained;
  bed.task.Call([&] { bed.gateway->StartDrain([&] { drained.set_value(); }); });
  const CallerAnswer refused = bed.caller.Send(bed.Chat("new", true));
  STRCMP_EQUAL("shutting_down", ErrorCode(refused).c_str());
  CHECK(std::stoi(refused.Header("Retry-After")) >= 1);
  LONGS_EQUAL(503, bed.caller.Send(bed.Outgoing("GET", "/readyz")).status);
  LONGS_EQUAL(200, bed.caller.Send(bed.Outgoing("GET", "/healthz")).status);
  drained.get_future().wait();
  const StreamText stream = ReadStream(running.get().body);
  STRCMP_EQUAL(GatewayBed::ChatText("long", 40).c_str(), stream.text.c_str());
  CHECK(stream.done);
}

// Guards against a caller that sends its next request on a connection that the
// host is about to close, and cannot know whether the request ran.
TEST(Gateway, AStoppingHostClosesEachConnectionWithItsAnswer) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  STRCMP_EQUAL(
      "", bed.caller.Send(bed.Chat("x", true)).Header("Connection").c_str());
  bed.task.Call([&] {
    bed.gateway->AnnounceLeaving(bed.clock.Now() + std::chrono::hours(1));
  });
  for (const bool stream : {true, false}) {
    const CallerAnswer answer = bed.caller.Send(bed.Chat("x", stream));
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("close", answer.Header("Connection").c_str());
  }
}

// Guards against a host that stops while a slow caller still reads its answer.
TEST(Gateway, ADrainWaitsForACallerThatReadsSlowly) {
  constexpr size_t kBytes = 24'000'000;
  FakePlainService service;
  GatewayOptions options;
  options.max_buffered_bytes = 2 * kBytes;
  GatewayBed bed(options);
  bed.AddPlain("p1", service.Address());
  RawSocket slow(bed.address);
  slow.Write(RawHead("GET",
                     "/services/filing/large?bytes=" + std::to_string(kBytes),
                     0, "Connection: close\r\n"));
  CHECK(Eventually([&] {
    return bed.metrics.Value("hickorystand_requests_total",
                             {{"service", "filing"}}) == 1;
  }));
  std::promise<void> drained;
  const auto done = drained.get_future();
  bed.task.Call([&] { bed.gateway->StartDrain([&] { drained.set_value(); }); });
  CHECK(done.wait_for(std::chrono::milliseconds(100)) ==
        std::future_status::timeout);
  CHECK(slow.ReadAll().size() > kBytes);
  done.wait();
}

// Guards against a request that gets no answer because the drain begins while
// its body arrives.
TEST(Gateway, ADrainAnswersARequestThatIsHalfRead) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  RawSocket half(bed.address);
  const HttpClientRequest call = bed.Chat("late", true);
  half.Write(RawHead(call.method, call.target, call.body.size(),
                     "Expect: 100-continue\r\n"));
  STRCMP_CONTAINS("100 Continue", half.ReadUntil("\r\n\r\n").c_str());
  half.Write(call.body.substr(0, 10));
  std::promise<void> drained;
  const auto done = drained.get_future();
  bed.task.Call([&] { bed.gateway->StartDrain([&] { drained.set_value(); }); });
  CHECK(done.wait_for(std::chrono::milliseconds(100)) ==
        std::future_status::timeout);
  half.Write(call.body.substr(10));
  const std::string answer = half.ReadAll();
  CHECK(Contains(answer, "HTTP/1.1 503"));
  CHECK(Contains(answer, "shutting_down"));
  CHECK(Contains(answer, "Retry-After: 1"));
  done.wait();
  LONGS_EQUAL(0, engine.Runs().size());
}

// Guards against callers that wait in the queue of a draining host while other
// hosts have free capacity.
TEST(Gateway, ALeavingHostSendsCallersElsewhereWhateverItsQueue) {
  constexpr int kRequests = 60;
  FakeEngine engine(
      {.step = std::chrono::milliseconds(5), .batch = {.capacity = 1}});
  GatewayOptions options;
  options.dispatcher = "hickorystand";
  GatewayBed bed(options);
  bed.AddEngine("e1", engine.Address());
  HttpClientRequest batch = bed.Chat("long", true, 40);
  batch.body.insert(1, R"("service_tier":"flex",)");
  for (int i = 0; i < kRequests; ++i) {
    bed.caller.Start(batch);
  }
  // The queue's rate is known a second after its first start.
  g_usleep(2'500'000);
  const auto queued = bed.Ask<int64_t>([](Gateway& g) { return g.Queued(); });
  CHECK(queued > 0);
  bed.task.Call([&] { bed.gateway->StartDrain([] {}); });
  const CallerAnswer refused = bed.caller.Send(bed.Chat("new", true));
  STRCMP_EQUAL("shutting_down", ErrorCode(refused).c_str());
  STRCMP_EQUAL("1", refused.Header("Retry-After").c_str());
}

// Guards against a client account billed for more, or less, than was delivered.
TEST(Gateway, BillsWhatWasDeliveredBeforeRequestsEnd) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  engine.SetFault({.kind = EngineFault::kSilent, .after_tokens = 3});
  auto whole = bed.caller.Start(bed.Chat("whole", false));
  auto stream = bed.caller.Start(bed.Chat("stream", true));
  CHECK(Eventually([&] { return engine.Runs().size() == 2; }));
  CHECK(Eventually([&] {
    return ReadStream(bed.caller.Arrived().body).text ==
           GatewayBed::ChatText("stream", 3);
  }));
  bed.task.Call([&] { bed.gateway->EndRequests([] {}); });
  STRCMP_EQUAL("outcome_unknown", ErrorCode(whole.get()).c_str());
  STRCMP_EQUAL("broken_answer",
               ReadStream(stream.get().body).error_code.c_str());
  const auto usage =
      bed.Ask<std::vector<UsageRecord>>([&](Gateway&) { return bed.usage; });
  LONGS_EQUAL(1, usage.size());
  LONGS_EQUAL(3, usage[0].generated_tokens);
}

// Guards against a petition that was never sent being answered as unknown.
TEST(Gateway, AFilingThatStillConnectsIsEndedAsNotRun) {
  GatewayBed bed;
  const ObjectPtr<GSocketAddress> any(
      g_inet_socket_address_new_from_string("127.0.0.1", 0));
  const ObjectPtr<GSocket> full(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                             G_SOCKET_TYPE_STREAM,
                                             G_SOCKET_PROTOCOL_TCP, nullptr));
  g_socket_set_listen_backlog(full.get(), 0);
  g_socket_bind(full.get(), any.get(), FALSE, nullptr);
  g_socket_listen(full.get(), nullptr);
  const ObjectPtr<GSocketAddress> taken(
      g_socket_get_local_address(full.get(), nullptr));
  const SocketAddress at{"127.0.0.1", g_inet_socket_address_get_port(
                                          G_INET_SOCKET_ADDRESS(taken.get()))};
  const RawSocket first(at);  // later ones wait
  bed.AddPlain("p1", at);
  auto filing = bed.caller.Start(
      bed.Outgoing("POST", "/services/filing/petitions", "{}"));
  CHECK(Eventually([&] {
    return bed.Ask<size_t>([&](Gateway&) { return bed.claims.size(); }) == 1;
  }));
  bed.task.Call([&] { bed.gateway->EndRequests([] {}); });
  STRCMP_EQUAL("shutting_down", ErrorCode(filing.get()).c_str());
  LONGS_EQUAL(0, bed.Ask<size_t>([&](Gateway&) { return bed.claims.size(); }));
}

// Guards against engines kept busy by streams whose callers disconnected.
TEST(Gateway, AHangUpCancelsTheStream) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.caller.Start(bed.Chat("long", true, 100'000 / 4));
  CHECK(Eventually([&] { return engine.Runs().size() == 1; }));
  bed.caller.HangUp();
  CHECK(Eventually([&] { return engine.Runs().at(0).cancelled; }));
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Running(); }) == 0;
  }));
}

// The same for a caller that disconnects while queued, when nothing is written
// to its connection.
TEST(GatewayQueue, AHangUpInTheQueueIsNoticed) {
  GatewayBed bed;
  bed.caller.Start(bed.Chat("waits", true));
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Queued(); }) == 1;
  }));
  bed.caller.HangUp();
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Queued(); }) == 0;
  }));
}

// -- Limits of accounts ------------------------------------------------------

// A client account exceeds its limit: no engine works for it, its callers
// receive a retry time, and other accounts are not affected.
TEST(GatewayLimits, AnAccountOverItsLimitIsRefusedAtOnce) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.Limit();
  bed.token_answer = {
      .verdict = {.retry_after = std::chrono::milliseconds(1500),
                  .reason = "used up"},
      .share = 0.5,
      .share_age = std::chrono::milliseconds(70),
      .holders_revision = 12};
  const CallerAnswer answer = bed.caller.Send(bed.Chat("x", false));
  LONGS_EQUAL(429, answer.status);
  STRCMP_EQUAL("rate_limit_exceeded", ErrorCode(answer).c_str());
  STRCMP_EQUAL("2", answer.Header("Retry-After").c_str());
  STRCMP_EQUAL("true", answer.Header("x-should-retry").c_str());
  LONGS_EQUAL(0, engine.Runs().size());
  const auto decisions = bed.Ask<std::vector<Decision>>([&](Gateway& g) {
    return g.RecentDecisions(RequestId(answer.Header("X-Request-Id")));
  });
  STRCMP_EQUAL("Over the account's limit.", decisions.at(0).message.c_str());
  const auto& fields = decisions.at(0).fields;
  for (const auto& field : std::vector<std::pair<std::string, std::string>>{
           {"why", "used up"},
           {"share", "0.500000"},
           {"share_ms", "70"},
           {"holders_revision", "12"},
           {"retry_after_ms", "1500"}}) {
    CHECK(std::ranges::count(fields, field) == 1);
  }
  HttpClientRequest other = bed.Chat("x", false);
  other.headers = {
      {"Authorization", std::string("Bearer ") + GatewayBed::kOtherKey}};
  LONGS_EQUAL(200, bed.caller.Send(other).status);
  const double refused =
      bed.metrics.Value("limit_tokens_refused_total", {{"account", "alpha"}});
  CHECK(refused > 8);
}

TEST(GatewayLimits, CountsThePromptAndTheMostOutput) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.Limit();
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat("x", false, 8)).status);
  const int64_t small = bed.Charged();
  CHECK(small > 8);
  DOUBLES_EQUAL(
      static_cast<double>(small),
      bed.metrics.Value("limit_tokens_admitted_total", {{"account", "alpha"}}),
      0);
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat("x", false, 108)).status);
  LONGS_EQUAL(2 * small + 100, bed.Charged());
}

TEST(GatewayLimits, BatchRequestsLeaveTokensToOthers) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.Limit();
  const auto priority_of = [&](const std::string& more) {
    bed.caller.Send(bed.Outgoing(
        "POST", "/v1/completions",
        R"({"model":"m","max_tokens":1,)" + more + R"("prompt":"x"})"));
    return bed.Ask<int64_t>(
        [&](Gateway&) { return bed.last_limit_request.priority; });
  };
  CHECK(priority_of("") < priority_of(R"("service_tier":"batch",)"));
}

// An endpoint's crash is not charged to the client account: the repeated
// attempt is not counted again.
TEST(GatewayLimits, CountsAResumedStreamOnce) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.Limit();
  bed.caller.Send(bed.Chat("x", true));
  const int64_t once = bed.Charged();
  engine.SetFault(
      {.kind = EngineFault::kTruncate, .after_tokens = 3, .times = 1});
  LONGS_EQUAL(200, bed.caller.Send(bed.Chat("x", true)).status);
  LONGS_EQUAL(3, engine.Runs().size());
  LONGS_EQUAL(2 * once, bed.Charged());
}

TEST(GatewayLimits, DoesNotChargeWhatNoEndpointRan) {
  GatewayBed bed;
  bed.AddEngine("e1", {"127.0.0.1", 1});
  bed.Limit();
  LONGS_EQUAL(503, bed.caller.Send(bed.Chat("x", false)).status);
  LONGS_EQUAL(0, bed.Charged());
}

// Tokens generated before the caller disconnected are charged.
TEST(GatewayLimits, ChargesWhatRanUntilItsCallerHungUp) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.Limit();
  bed.caller.Start(bed.Chat("long", true, 100'000 / 4));
  CHECK(Eventually([&] { return engine.Runs().size() == 1; }));
  bed.caller.HangUp();
  CHECK(Eventually([&] { return engine.Runs().at(0).cancelled; }));
  CHECK(bed.Charged() > 25'000);
}

// Guards against tokens lost to the client account because they are granted
// after its caller disconnected.
TEST(GatewayLimits, GivesBackTokensThatComeTooLate) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.Limit();
  bed.hold_tokens = true;
  bed.caller.Start(bed.Chat("x", true));
  CHECK(Eventually([&] {
    return bed.Ask<size_t>(
               [&](Gateway&) { return bed.held_token_answers.size(); }) == 1;
  }));
  bed.caller.HangUp();
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>(
               [&](Gateway&) { return bed.cancelled_limit_requests; }) == 1;
  }));
  bed.task.Call([&] { bed.held_token_answers.front()(); });
  LONGS_EQUAL(0, bed.Charged());
  LONGS_EQUAL(0, engine.Runs().size());
}

// A stopping host refuses the requests that still wait for tokens, and charges
// nothing.
TEST(GatewayLimits, EndsWhatWaitsForTokens) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  bed.Limit();
  bed.hold_tokens = true;
  auto answer = bed.caller.Start(bed.Chat("x", false));
  CHECK(Eventually([&] {
    return bed.Ask<size_t>(
               [&](Gateway&) { return bed.held_token_answers.size(); }) == 1;
  }));
  bed.task.Call([&] { bed.gateway->EndRequests([] {}); });
  STRCMP_EQUAL("shutting_down", ErrorCode(answer.get()).c_str());
  bed.task.Call([&] { bed.held_token_answers.front()(); });
  LONGS_EQUAL(0, bed.Charged());
}

TEST(GatewayQueue, AHangUpInTheQueueGivesTokensBackOnce) {
  GatewayBed bed;
  bed.Limit();
  bed.caller.Start(bed.Chat("waits", true));
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Queued(); }) == 1;
  }));
  CHECK(bed.Charged() > 8);
  bed.caller.HangUp();
  CHECK(Eventually([&] {
    return bed.Ask<int64_t>([](Gateway& g) { return g.Queued(); }) == 0;
  }));
  LONGS_EQUAL(0, bed.Charged());
}

// -- Other answers -----------------------------------------------------------

TEST(Gateway, ListsModelsAndReportsItself) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  const CallerAnswer models =
      bed.caller.Send(bed.Outgoing("GET", "/v1/models"));
  CHECK(Contains(models.body, R"("id":"m")"));
  CHECK(!Contains(models.body, "filing"));
  const CallerAnswer model =
      bed.caller.Send(bed.Outgoing("GET", "/v1/models/m"));
  LONGS_EQUAL(200, model.status);
  CHECK(Contains(model.body, R"("id":"m")"));
  LONGS_EQUAL(404,
              bed.caller.Send(bed.Outgoing("GET", "/v1/models/filing")).status);
  LONGS_EQUAL(200, bed.caller.Send(bed.Outgoing("GET", "/readyz")).status);
  bed.caller.Send(bed.Chat("x", true));
  const std::string metrics =
      bed.caller.Send(bed.Outgoing("GET", "/metrics")).body;
  CHECK(Contains(metrics, "hickorystand_requests_total{service=\"m\"} 1"));
  LONGS_EQUAL(404, bed.caller.Send(bed.Outgoing("GET", "/nothing")).status);
}

TEST(Gateway, RecordsDecisions) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  const RequestId id(
      bed.caller.Send(bed.Chat("x", true)).Header("X-Request-Id"));
  const auto decisions = bed.Ask<std::vector<Decision>>(
      [&](Gateway& g) { return g.RecentDecisions(id); });
  LONGS_EQUAL(3, decisions.size());
  STRCMP_EQUAL("Endpoint chosen.", decisions[0].message.c_str());
  STRCMP_EQUAL("Attempt ended.", decisions[1].message.c_str());
  STRCMP_EQUAL("Request finished.", decisions[2].message.c_str());
}

// A stream breaks and is resumed. The client account is billed once for the
// prompt and once for each token delivered.
TEST(Gateway, BillsWhatWasDelivered) {
  FakeEngine first;
  FakeEngine second;
  GatewayBed bed;
  bed.AddEngine("e1", first.Address());
  bed.AddEngine("e2", second.Address());
  first.SetFault({.kind = EngineFault::kCrashStream, .after_tokens = 3});
  bed.caller.Send(bed.Chat("leaflet", true));
  const auto usage =
      bed.Ask<std::vector<UsageRecord>>([&](Gateway&) { return bed.usage; });
  LONGS_EQUAL(2, usage.size());
  LONGS_EQUAL(3, usage[0].generated_tokens);
  LONGS_EQUAL(5, usage[1].generated_tokens);
  CHECK(usage[0].prompt_tokens > 0);
  LONGS_EQUAL(0, usage[1].prompt_tokens);
  CHECK(usage[0].account == AccountId("alpha"));
}

// -- Bad input ---------------------------------------------------------------

// Each malformed body is refused with a clear error, none reaches an engine,
// and the next valid call is answered.
TEST(Gateway, RefusesBadBodies) {
  FakeEngine engine;
  GatewayBed bed;
  bed.AddEngine("e1", engine.Address());
  const std::string head =
      R"({"model":"m","messages":[{"role":"user","content":)";
  const std::vector<std::string> bad = {
      "",
      "[]",
      "{",
      "nonsense",
      R"({"model":7,"messages":[{}]})",
      R"({"model":"m","messages":[]})",
      R"({"model":"m","messages":[{}],"stream":"yes"})",
      // Guards against a body that is forwarded and then gets no answer for ten
      // seconds.
      R"({"model":"m","max_tokens":0,"messages":[{}]})",
      R"({"model":"m","max_completion_tokens":-4,"messages":[{}]})",
      head + "\"\xff\xfe\"}]}",
      head + R"("a\u0000b"}]})",
      head + R"("a"}]} trailing)",
      head + R"("a"}],"seed":1e999})",
      head + R"("a"}],"seed":)" + std::string(500, '9') + "}",
      std::string(1'000'000, '['),
      // A quote in a comment must not hide the nesting depth.
      "/* \" */" + std::string(1'000'000, '['),
      "'\"'" + std::string(1'000'000, '['),
      "{\"model\":\"m\",\"x\":[" + std::string(500'000, ',') + "]}",
  };
  for (const std::string& body : bad) {
    const CallerAnswer answer =
        bed.caller.Send(bed.Outgoing("POST", "/v1/chat/completions", body));
    LONGS_EQUAL(400, answer.status);
    STRCMP_EQUAL("bad_request", ErrorCode(answer).c_str());
  }
  LONGS_EQUAL(0, engine.Runs().size());
  // An escaped backslash before u0000 is harmless text.
  LONGS_EQUAL(200, bed.caller
                       .Send(bed.Outgoing("POST", "/v1/chat/completions",
                                          head + R"("a\\u0000b"}]})"))
                       .status);
  STRCMP_EQUAL(
      "model_not_found",
      ErrorCode(
          bed.caller.Send(bed.Outgoing(
              "POST", "/v1/chat/completions",
              R"({"model":"x","messages":[{"role":"a","content":"b"}]})")))
          .c_str());
}

// Bodies damaged under a fixed seed must be parsed or refused without a crash.
TEST(Gateway, SurvivesDamagedBodies) {
  constexpr int kRounds = 30'000;
  const std::string whole =
      R"({"model":"m","stream":true,"stream_options":{"include_usage":true},)"
      R"("max_tokens":1e3,"messages":[{"role":"user","content":[{"type":"text",)"
      R"("text":"caf\u00e9 \ud83d\ude00"}]},{"role":"x","content":"\"\\"}],)"
      R"("service_tier":"flex","n":1,"tools":null})";
  std::mt19937_64 random(11);
  int read = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = whole;
    if (round % 3 == 0) {
      text.resize(random() % (text.size() + 1));
    }
    for (uint64_t hits = random() % 3; hits > 0 && !text.empty(); --hits) {
      text[random() % text.size()] = static_cast<char>(random() % 128);
    }
    const auto body =
        ParseCompletionBody(text, CompletionKind::kChat, kBodyLimits);
    read += body ? 1 : 0;
    const bool writable = !body || Json::Parse(body->engine_body).has_value();
    if (!writable) {
      FAIL(("read " + text + " and wrote " + body->engine_body).c_str());
    }
  }
  CHECK(read > kRounds / 10);
  CHECK(read < kRounds);
}

}  // namespace hickorystand
