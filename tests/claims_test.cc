// Tests of claims: lost replies, a store that is down or slow, duplicates, and
// the number of store calls per request.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "decisions/claims.h"
#include "protocol_simulation.h"

namespace hickorystand {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Instant At(double seconds) {
  return Instant(FromSeconds(1000 + seconds));
}

// A claim manager and a store that answers at once, unless a fault is set.
struct Bench {
  explicit Bench(const std::string& host, ModelStore& store)
      : store(store), manager({.host = HostId(host), .incarnation = 1}) {}

  void Settle(Instant now, ClaimActions actions) {
    while (!actions.empty()) {
      ClaimActions next;
      for (const ClaimAction& action : actions) {
        this->Handle(now, action, next);
      }
      actions = next;
    }
  }

  void Handle(Instant now, const ClaimAction& action, ClaimActions& next) {
    if (const auto* answer = std::get_if<AnswerClaim>(&action)) {
      this->answers[answer->request.Text()] = answer->result;
    } else if (const auto* grant = std::get_if<GrantLease>(&action)) {
      if (this->down) {
        this->manager.OnLeaseGranted(
            now, grant->tag, Fail(ErrorKind::kPlatformDown, "down"), next);
      } else {
        this->manager.OnLeaseGranted(
            now, grant->tag, this->store.Grant(now, grant->length), next);
      }
    } else if (const auto* run = std::get_if<RunTransaction>(&action)) {
      StoreReply reply{.outcome = StoreOutcome::kNotApplied};
      if (!this->down) {
        reply = this->store.Transact(now, run->transaction);
      }
      if (this->lose_replies) {
        reply = {.outcome = StoreOutcome::kUnknown};
      }
      this->manager.OnStoreReply(now, run->tag, reply, next);
    }
  }

  void Claim(double at, const std::string& request, const std::string& key) {
    ClaimActions actions;
    this->manager.Claim(At(at),
                        {.request = RequestId(request),
                         .key = key,
                         .window = seconds(600),
                         .deadline = At(at + 2)},
                        actions);
    this->Settle(At(at), actions);
  }

  void Tick(double at) {
    ClaimActions actions;
    this->manager.OnTick(At(at), actions);
    this->Settle(At(at), actions);
  }

  bool Answered(const std::string& request, ClaimResult result) const {
    const auto found = this->answers.find(request);
    return found != this->answers.end() && found->second == result;
  }

  ModelStore& store;
  ClaimManager manager;
  std::map<std::string, ClaimResult> answers;
  bool down = false;
  bool lose_replies = false;
};

}  // namespace

TEST_GROUP(Claims) {
  ModelStore store;
  Bench first{"a", store};
  Bench second{"b", store};
};

// A client library retries a request through another host because the first
// response was slow. Without a claim, both would be run and the fees be paid
// twice.
TEST(Claims, RepeatThroughAnotherHostIsADuplicate) {
  first.Claim(0, "r1", "k");
  second.Claim(0.1, "r2", "k");
  CHECK(first.Answered("r1", ClaimResult::kGranted));
  CHECK(second.Answered("r2", ClaimResult::kTaken));
}

// The store records the claim and its reply is lost. If the request were
// answered as "not run", the caller's retry would be rejected as a duplicate
// and the request be lost. The unique token in the record identifies the host's
// own claim.
TEST(Claims, LostReplyIsReadBack) {
  first.lose_replies = true;
  first.Claim(0, "r1", "k");
  first.lose_replies = false;
  CHECK(first.answers.empty());
  first.Tick(0.5);
  CHECK(first.Answered("r1", ClaimResult::kGranted));
}

TEST(Claims, StoreThatRefusesMeansCertainlyNotRecorded) {
  first.down = true;
  first.Claim(0, "r1", "k");
  CHECK(first.Answered("r1", ClaimResult::kUnavailable));
  second.Claim(0.1, "r2", "k");
  CHECK(second.Answered("r2", ClaimResult::kGranted));
}

// The reply is lost, and then the store is down until the request's deadline.
// The outcome must be reported as unknown, not as "not run", since a retry may
// be refused. The unused record must be removed once the store answers, so that
// the caller may send the request again.
TEST(Claims, UnknownOutcomeIsReportedAndLaterCleanedUp) {
  first.lose_replies = true;
  first.Claim(0, "r1", "k");
  first.lose_replies = false;
  first.down = true;
  for (double at = 0.1; at < 2.5; at += 0.1) {
    first.Tick(at);
  }
  CHECK(first.Answered("r1", ClaimResult::kUnknown));
  second.Claim(2.6, "r2", "k");
  CHECK(second.Answered("r2", ClaimResult::kTaken));
  first.down = false;
  for (double at = 3; at < 10; at += 0.1) {
    first.Tick(at);
  }
  CHECK(!first.manager.Busy());
  second.Claim(10, "r3", "k");
  CHECK(second.Answered("r3", ClaimResult::kGranted));
}

// A host that was granted a claim finds no endpoint and answers "not run". The
// caller's retry must then be allowed, and only the host's own claim be
// removed.
TEST(Claims, WithdrawnClaimFreesItsKeyAndNoOther) {
  first.Claim(0, "r1", "k");
  ClaimActions actions;
  first.manager.Withdraw(At(0.1), RequestId("r1"), actions);
  first.Settle(At(0.1), actions);
  second.Claim(0.2, "r2", "k");
  CHECK(second.Answered("r2", ClaimResult::kGranted));
  first.Tick(1);
  first.Claim(1.1, "r3", "k");
  CHECK(first.Answered("r3", ClaimResult::kTaken));
}

// A host is paused between the grant and the send, so long that its record may
// have expired and another host may have claimed the request.
TEST(Claims, MayNotSendLongAfterTheGrant) {
  first.Claim(0, "r1", "k");
  CHECK(first.manager.MaySend(At(1), RequestId("r1")));
  CHECK(!first.manager.MaySend(At(301), RequestId("r1")));
}

TEST(Claims, OneTakenKeyDoesNotHoldUpTheOthersOfItsBatch) {
  second.Claim(0, "r0", "k3");
  first.Claim(0.1, "warm", "k0");  // obtains the store lease
  ClaimActions actions;
  for (int i = 1; i < 6; ++i) {
    first.manager.Claim(At(0.101),
                        {.request = RequestId("r" + std::to_string(i)),
                         .key = "k" + std::to_string(i),
                         .window = seconds(600),
                         .deadline = At(3)},
                        actions);
  }
  CHECK(actions.empty());  // wait for their common transaction
  first.Tick(0.2);
  first.Tick(0.3);
  CHECK(first.Answered("r3", ClaimResult::kTaken));
  for (const std::string request : {"r1", "r2", "r4", "r5"}) {
    CHECK(first.Answered(request, ClaimResult::kGranted));
  }
}

TEST(Claims, KeyDependsOnAccountAndHeaderOrBody) {
  const auto key = [](const char* account, const char* header,
                      const char* body) {
    return ClaimKey(ServiceId("s"), AccountId(account), header, "/file", body);
  };
  CHECK(key("a", "", "x") == key("a", "", "x"));
  CHECK(key("a", "", "x") != key("a", "", "y"));
  CHECK(key("a", "", "x") != key("b", "", "x"));
  CHECK(key("a", "1", "x") == key("a", "1", "y"));
  CHECK(key("a", "1", "x") != key("a", "2", "x"));
  CHECK(key("a", "1", "x") != key("a", "", "x"));
}

// Store calls per request, for one host whose store answers within 2 ms. A
// single request costs one call; at high rates requests share transactions.
TEST(Claims, CallsGrowSlowerThanFilings) {
  for (const int64_t rate : {1, 20, 100, 1000, 3000}) {
    ModelStore counted;
    ClaimManager manager({.host = HostId("a"), .incarnation = 1});
    std::queue<std::pair<Instant, RunTransaction>> asked;
    int64_t granted = 0;
    int64_t filed = 0;
    const auto take = [&](Instant now, const ClaimActions& actions) {
      for (const ClaimAction& action : actions) {
        if (const auto* grant = std::get_if<GrantLease>(&action)) {
          ClaimActions next;
          manager.OnLeaseGranted(now, grant->tag,
                                 counted.Grant(now, grant->length), next);
          for (const ClaimAction& each : next) {
            if (const auto* run = std::get_if<RunTransaction>(&each)) {
              asked.emplace(now + milliseconds(2), *run);
            }
          }
        } else if (const auto* run = std::get_if<RunTransaction>(&action)) {
          asked.emplace(now + milliseconds(2), *run);
        } else if (const auto* answer = std::get_if<AnswerClaim>(&action)) {
          manager.OnSent(answer->request);
          ++granted;
        }
      }
    };
    constexpr int64_t kSeconds = 10;
    for (int64_t at = 0; at < kSeconds * 1000 + 100; ++at) {
      const Instant now = At(static_cast<double>(at) / 1000);
      ClaimActions actions;
      for (; at < kSeconds * 1000 && filed * 1000 < at * rate; ++filed) {
        const std::string name = std::to_string(filed);
        manager.Claim(now,
                      {.request = RequestId(name),
                       .key = name,
                       .deadline = now + seconds(2)},
                      actions);
      }
      while (!asked.empty() && asked.front().first <= now) {
        const RunTransaction run = asked.front().second;
        asked.pop();
        manager.OnStoreReply(now, run.tag,
                             counted.Transact(now, run.transaction), actions);
      }
      manager.OnTick(now, actions);
      take(now, actions);
    }
    LONGS_EQUAL(filed, granted);
    const double calls =
        static_cast<double>(counted.Calls()) / static_cast<double>(kSeconds);
    std::printf("claims: %ld filings/s, %.1f store calls/s\n",
                static_cast<long>(rate), calls);
    CHECK(calls <= static_cast<double>(std::min<int64_t>(rate, 100)) + 2);
  }
}

}  // namespace hickorystand
