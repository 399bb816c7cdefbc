// Tests of the dispatch policy. Each test states the failure that its rule
// prevents. A filing is a request that must not be repeated
// (RequestClass::kOnce).

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include "kernel/registry.h"
#include "policy_fixture.h"

namespace hickorystand {

using Outcome = AttemptOutcome;

namespace {

// Submits a filing, grants its claim and returns its only attempt.
AttemptId SendFiling(Dispatcher& dispatcher) {
  const Request filing = MakeRequest("f", RequestClass::kAtMostOnce);
  CHECK(Only(dispatcher.OnArrival(At(0), filing), DispatchKind::kClaim));
  const DispatchList sent =
      dispatcher.OnClaim(At(0), filing.id, ClaimResult::kGranted);
  CHECK(Only(sent, DispatchKind::kSend));
  return sent.front().attempt;
}

ErrorKind RefusalOf(const DispatchList& list) {
  return RefusalIn(list).value_or(ErrorKind::kInternal);
}

}  // namespace

TEST_GROUP(Policy){};

TEST(Policy, IsAPlugIn) {
  CHECK(Registry<Dispatcher>::Find("hickorystand") != nullptr);
}

TEST(Policy, SendsAndFinishes) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(2).Build());
  const DispatchList sent = dispatcher->OnArrival(At(0), MakeRequest("r"));
  CHECK(Only(sent, DispatchKind::kSend));
  LONGS_EQUAL(1, dispatcher->Running());
  const DispatchList done = dispatcher->OnResult(
      At(1), MakeResult(sent.front().attempt, Outcome::kComplete));
  CHECK(Only(done, DispatchKind::kFinish));
  LONGS_EQUAL(0, dispatcher->Running());
}

// A filing's connection breaks after its bytes were sent. The endpoint may have
// filed it; a retry could file it twice and charge the user twice.
TEST(Policy, FilingIsNeverSentAgainOnceBytesMayHaveLeft) {
  for (const Outcome outcome : {Outcome::kBroken, Outcome::kCrashed,
                                Outcome::kStalled, Outcome::kWrongAnswer}) {
    auto dispatcher = MakeDispatcher(FleetBuilder()
                                         .WithAccount("a")
                                         .WithEndpoint("f1", kFilings)
                                         .WithEndpoint("f2", kFilings)
                                         .Build());
    const AttemptId attempt = SendFiling(*dispatcher);
    const DispatchList out =
        dispatcher->OnResult(At(1), MakeResult(attempt, outcome));
    LONGS_EQUAL(0, Count(out, DispatchKind::kSend));
    CHECK(ErrorKind::kOutcomeUnknown == RefusalOf(out));
    LONGS_EQUAL(0, Count(dispatcher->OnTick(At(2)), DispatchKind::kSend));
  }
}

// A filing's first endpoint refuses the connection, so no byte was sent.
// Failing the filing would lose work that another endpoint can accept.
TEST(Policy, FilingMovesOnWhenNothingLeft) {
  for (const Outcome outcome : {Outcome::kNotSent, Outcome::kRefused}) {
    auto dispatcher = MakeDispatcher(FleetBuilder()
                                         .WithAccount("a")
                                         .WithEndpoint("f1", kFilings)
                                         .WithEndpoint("f2", kFilings)
                                         .Build());
    const AttemptId attempt = SendFiling(*dispatcher);
    const DispatchList out =
        dispatcher->OnResult(At(1), MakeResult(attempt, outcome));
    CHECK(Only(out, DispatchKind::kSend));
    CHECK(out.front().attempt != attempt);
  }
}

// A caller sends a filing to two hosts. The second host's claim finds the
// first's, so it must neither send the filing nor answer "not run".
TEST(Policy, FilingClaimedElsewhereIsADuplicate) {
  auto dispatcher = MakeDispatcher(
      FleetBuilder().WithAccount("a").WithEndpoint("f1", kFilings).Build());
  const Request filing = MakeRequest("f", RequestClass::kAtMostOnce);
  dispatcher->OnArrival(At(0), filing);
  const DispatchList out =
      dispatcher->OnClaim(At(0), filing.id, ClaimResult::kTaken);
  CHECK(ErrorKind::kDuplicate == RefusalOf(out));
}

// Cheap endpoints are reclaimed without notice. A filing that runs on one would
// end with an unknown outcome.
TEST(Policy, FilingsStayOffCheapEndpoints) {
  auto dispatcher = MakeDispatcher(FleetBuilder()
                                       .WithAccount("a")
                                       .WithEndpoint("f1", kFilings, "z1", true)
                                       .Build());
  const DispatchList out =
      dispatcher->OnArrival(At(0), MakeRequest("f", RequestClass::kAtMostOnce));
  LONGS_EQUAL(0, Count(out, DispatchKind::kClaim));
  CHECK(ErrorKind::kDeadlineUnmeetable ==
        RefusalOf(dispatcher->OnTick(At(31))));
}

// An operator drains an endpoint and a peer learns of it first. Requests that
// this host still sends there are interrupted when the endpoint stops.
TEST(Policy, PeerDigestStopsWorkForALeavingEndpoint) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(2).Build());
  dispatcher->OnDigest(At(0),
                       {.host = HostId("h2"),
                        .incarnation = 1,
                        .sequence = 1,
                        .endpoints = {{EndpointId("e1"), 1, true, false}}});
  for (int i = 0; i < 3; ++i) {
    const DispatchList out =
        dispatcher->OnArrival(At(0), MakeRequest("r" + std::to_string(i)));
    CHECK(Only(out, DispatchKind::kSend));
    STRCMP_EQUAL("e2", out.front().endpoint.Text().c_str());
  }
}

// A delayed report of an endpoint's previous incarnation says that it is
// leaving. Applied to the current incarnation, it would keep a restarted
// endpoint without work permanently.
TEST(Policy, LateReportOfAnOldIncarnationIsIgnored) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(1).Build());
  LoadReport leaving = MakeReport("e1", 1, 2);
  leaving.leaving = true;
  dispatcher->OnLoad(At(1), leaving);
  CHECK(ErrorKind::kNoEndpoint ==
        RefusalOf(dispatcher->OnArrival(At(1), MakeRequest("r1"))));
  dispatcher->OnLoad(At(2), MakeReport("e1", 2, 1));
  leaving.sequence = 3;
  dispatcher->OnLoad(At(2), leaving);
  CHECK(Only(dispatcher->OnArrival(At(2), MakeRequest("r2")),
             DispatchKind::kSend));
}

// An engine crashes in the middle of a stream. The caller gets a truncated
// answer unless another engine resumes it at the first missing token.
TEST(Policy, BrokenStreamIsResumedElsewhere) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(2).Build());
  const DispatchList sent = dispatcher->OnArrival(At(0), MakeRequest("r"));
  dispatcher->OnProgress(At(1), sent.front().attempt, 1);
  dispatcher->OnProgress(At(1.5), sent.front().attempt, 39);
  const DispatchList out = dispatcher->OnResult(
      At(2), MakeResult(sent.front().attempt, Outcome::kCrashed));
  CHECK(Only(out, DispatchKind::kSend));
  LONGS_EQUAL(40, out.front().resume_from);
  CHECK(out.front().endpoint != sent.front().endpoint);
}

// Where a request of three endpoints is sent first, and where it is resumed.
std::pair<EndpointId, EndpointId> BeginAndResume(
    const std::map<EndpointId, SoftwareVersion>& software) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(3).Build());
  for (const auto& [endpoint, version] : software) {
    LoadReport report = MakeReport(endpoint.Text(), 1, 2);
    report.software = version;
    dispatcher->OnLoad(At(0), report);
  }
  const DispatchList sent = dispatcher->OnArrival(At(1), MakeRequest("r"));
  CHECK(Only(sent, DispatchKind::kSend));
  dispatcher->OnProgress(At(2), sent.front().attempt, 40);
  const DispatchList out = dispatcher->OnResult(
      At(3), MakeResult(sent.front().attempt, Outcome::kBroken));
  CHECK(Only(out, DispatchKind::kSend));
  return {sent.front().endpoint, out.front().endpoint};
}

// Guards against an answer that goes on at another software version: without
// versions, another endpoint is chosen.
TEST(Policy, BrokenStreamIsResumedAtItsVersion) {
  const SoftwareVersion first("v1");
  const SoftwareVersion other("v2");
  std::map<EndpointId, SoftwareVersion> software{{EndpointId("e1"), first},
                                                 {EndpointId("e2"), first},
                                                 {EndpointId("e3"), first}};
  const auto [begun, resumed] = BeginAndResume(software);
  CHECK(resumed != begun);
  software[resumed] = other;
  const auto [begun_again, resumed_again] = BeginAndResume(software);
  CHECK(begun_again == begun);
  CHECK(resumed_again != resumed && resumed_again != begun);
}

// Guards against an answer that waits, or goes on elsewhere, after the last
// endpoint of its version has crashed or left.
TEST(Policy, BrokenStreamEndsWithItsVersion) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(2).Build());
  for (const char* endpoint : {"e1", "e2"}) {
    LoadReport report = MakeReport(endpoint, 1, 2);
    report.software = SoftwareVersion(endpoint);
    dispatcher->OnLoad(At(0), report);
  }
  const DispatchList sent = dispatcher->OnArrival(At(1), MakeRequest("r"));
  dispatcher->OnProgress(At(2), sent.front().attempt, 40);
  const DispatchList out = dispatcher->OnResult(
      At(3), MakeResult(sent.front().attempt, Outcome::kCrashed));
  CHECK(Only(out, DispatchKind::kRefuse));
  const auto& error = out.front().error;
  CHECK(error && error->kind == ErrorKind::kBrokenAnswer);
}

// One request crashes every engine that runs it, and its caller keeps retrying.
// Without a limit it takes down the whole fleet. It may crash at most two
// engines, and the requests that ran beside it must still be answered.
TEST(Policy, RequestThatCrashesEndpointsCostsTwo) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(6).Build());
  std::map<AttemptId, Dispatch> running;
  std::set<EndpointId> lost;
  const auto record_sends = [&](const DispatchList& list) {
    for (const Dispatch& one : list) {
      if (one.kind == DispatchKind::kSend) {
        running[one.attempt] = one;
      }
    }
  };
  for (int i = 0; i < 12; ++i) {
    record_sends(
        dispatcher->OnArrival(At(0), MakeRequest("r" + std::to_string(i))));
  }
  int64_t refused_as_suspect = 0;
  for (int resend = 0; resend < 5; ++resend) {
    Request killer = MakeRequest("killer" + std::to_string(resend));
    killer.fingerprint = 666;
    const DispatchList out = dispatcher->OnArrival(At(resend), killer);
    refused_as_suspect += RefusalIn(out) == ErrorKind::kSuspectRequest;
    record_sends(out);
    for (bool crashed = true; crashed;) {
      const auto found = std::ranges::find_if(running, [](const auto& one) {
        return one.second.request.Text().starts_with("killer");
      });
      crashed = found != running.end();
      if (!crashed) {
        break;
      }
      const EndpointId endpoint = found->second.endpoint;
      lost.insert(endpoint);
      std::vector<AttemptId> victims;
      for (const auto& [attempt, one] : running) {
        if (one.endpoint == endpoint) {
          victims.push_back(attempt);
        }
      }
      for (const AttemptId attempt : victims) {
        running.erase(attempt);
        record_sends(dispatcher->OnResult(
            At(resend + 0.5), MakeResult(attempt, Outcome::kCrashed)));
      }
    }
  }
  LONGS_EQUAL(2, lost.size());
  LONGS_EQUAL(4, refused_as_suspect);
  std::set<RequestId> unrelated;
  for (const auto& [attempt, one] : running) {
    unrelated.insert(one.request);
  }
  LONGS_EQUAL(12, unrelated.size());
}

// Every endpoint fails every attempt. Unbounded retries would multiply the load
// that caused the failures.
TEST(Policy, RetryBudgetCapsARetryStorm) {
  auto dispatcher =
      MakeDispatcher(FleetBuilder().WithAccount("a").WithEndpoints(8).Build());
  int64_t sends = 0;
  for (int i = 0; i < 500; ++i) {
    DispatchList out = dispatcher->OnArrival(
        At(i * 0.01), MakeRequest("r" + std::to_string(i),
                                  RequestClass::kInteractive, "a", i * 0.01));
    for (const Dispatch* send = First(out, DispatchKind::kSend);
         send != nullptr; send = First(out, DispatchKind::kSend)) {
      ++sends;
      const AttemptId attempt = send->attempt;
      dispatcher->OnLoad(At(i * 0.01),
                         MakeReport(send->endpoint.Text(), sends + 1));
      out = dispatcher->OnResult(At(i * 0.01),
                                 MakeResult(attempt, Outcome::kBroken));
    }
  }
  CHECK(sends >= 500);
  CHECK(sends <= 500 + 20 + 2 * 5 + 1);
}

}  // namespace hickorystand
