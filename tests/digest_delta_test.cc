// Tests of digest deltas and of digest summaries.

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decisions/digest_delta.h"
#include "decisions/digest_summary.h"

namespace hickorystand {
namespace {

const HostId kReceiver("r");
// Drops removed entries so soon that every random history contains dropped
// ones.
constexpr DigestSenderOptions kShortRetention{.removed_retention = 1,
                                              .max_removed = 4};
constexpr int64_t kUnits = kSummaryUnit / kServedUnit;

EndpointOutstanding Sent(const std::string& endpoint, int64_t requests) {
  return {.endpoint = EndpointId(endpoint),
          .prompt_tokens = requests * kOutstandingUnit,
          .requests = requests};
}

AccountServed Served(const std::string& account,
                     int64_t units,
                     int64_t waiting = 0) {
  return {.account = AccountId(account),
          .cost = units * kServedUnit,
          .waiting = waiting};
}

Digest MakeDigest(const std::string& host, uint64_t incarnation = 1) {
  Digest digest;
  digest.host = HostId(host);
  digest.data_centre = DataCentreId("dc1");
  digest.incarnation = incarnation;
  return digest;
}

// A small random digest: few ids, so that entries are added, changed and
// removed.
Digest RandomDigest(uint64_t incarnation) {
  Digest digest = MakeDigest("s", incarnation);
  const auto some = [](int most) { return *rc::gen::inRange(0, most); };
  digest.configuration_revision = some(5);
  digest.leaving = some(2) == 1;
  for (int i = 0; i < 6; ++i) {
    if (some(2) == 1) {
      digest.outstanding.push_back(Sent("e" + std::to_string(i), some(4)));
    }
    if (some(2) == 1) {
      digest.served.push_back(
          Served("a" + std::to_string(i), some(4), some(3)));
    }
    if (some(4) == 1) {
      digest.endpoints.push_back({.endpoint = EndpointId(std::to_string(i)),
                                  .incarnation = 1,
                                  .leaving = some(2) == 1,
                                  .down = some(2) == 1});
    }
  }
  if (some(3) == 1) {
    digest.suspicions.push_back({.fingerprint = 5, .crashes = some(3)});
  }
  return digest;
}

// One sender and one receiver, connected by an unreliable link.
class UnreliableLink {
 public:
  // Runs one random step: the state changes, a digest or an ack is delivered or
  // lost, a connection is replaced, or the sender or the receiver restarts.
  void Step() {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
      case 1:
      case 2:
        this->Change();
        break;
      case 3:
        this->Round(false, true);
        break;
      case 4:
        this->Round(true, false);
        break;
      case 5:
        this->sender.OnConnected(kReceiver, this->receiver_incarnation);
        break;
      case 6:
        this->receiver = {};
        this->sender.OnConnected(kReceiver, ++this->receiver_incarnation);
        break;
      case 7:
        ++this->incarnation;
        this->sender = DigestSender(kShortRetention);
        this->Change();
        this->sender.OnConnected(kReceiver, this->receiver_incarnation);
        break;
      default:
        this->Round(true, true);
    }
  }

  void Change() {
    this->state = RandomDigest(this->incarnation);
    this->sender.Update(this->state);
  }

  // Sends the next digest and its ack.
  void Round(bool digest_passes, bool ack_passes) {
    this->sender.Update(this->state);
    const DigestDelta delta = this->sender.Next(kReceiver);
    if (digest_passes) {
      const auto outcome = this->receiver.Apply(delta);
      RC_ASSERT(outcome != DeltaOutcome::kMalformed);
    }
    if (ack_passes) {
      this->sender.OnAck(kReceiver, this->receiver.Ack());
    }
  }

  void CheckAgree() const {
    Digest expected = NormaliseDigest(this->state);
    expected.sequence = this->sender.Sequence();
    RC_ASSERT(this->receiver.Current() == expected);
  }

 private:
  uint64_t incarnation = 1;
  uint64_t receiver_incarnation = 1;
  Digest state = MakeDigest("s");
  DigestSender sender{kShortRetention};
  DigestReceiver receiver;
};

}  // namespace

TEST_GROUP(DigestDelta){};

// Hosts lose connections, digests and acks, and are restarted, in any order. A
// receiver that kept an outdated value would use it for routing and shares for
// as long as the sender runs. After any such history, three rounds without a
// loss must leave the receiver with exactly the sender's state.
TEST(DigestDelta, BothSidesAgreeAfterAnyLosses) {
  CHECK(rc::check("agree", [] {
    UnreliableLink line;
    line.Change();
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      line.Step();
    }
    for (int i = 0; i < 3; ++i) {
      line.Round(true, true);
    }
    line.CheckAgree();
  }));
}

TEST(DigestDelta, SendsWhatChangedAndIdsOnlyOnce) {
  DigestSender sender;
  Digest digest = MakeDigest("s");
  digest.outstanding = {Sent("e1", 1), Sent("e2", 2)};
  sender.Update(digest);
  LONGS_EQUAL(2, sender.Next(kReceiver).outstanding.size());
  digest.outstanding.back() = Sent("e2", 3);
  sender.Update(digest);
  const DigestDelta second = sender.Next(kReceiver);
  LONGS_EQUAL(1, second.outstanding.size());
  CHECK(second.outstanding.front().id.empty());
  LONGS_EQUAL(3, second.outstanding.front().second);
  sender.Update(digest);
  CHECK(sender.Next(kReceiver).outstanding.empty());
}

// A delayed digest arrives after newer ones. Its lower counts would make a full
// endpoint appear free.
TEST(DigestDelta, DropsWhatIsStale) {
  DigestSender sender;
  DigestReceiver receiver;
  Digest digest = MakeDigest("s");
  sender.Update(digest);
  const DigestDelta late = sender.Next(kReceiver);
  digest.outstanding = {Sent("e1", 9)};
  sender.Update(digest);
  CHECK(receiver.Apply(sender.Next(HostId("other"))) == DeltaOutcome::kApplied);
  CHECK(receiver.Apply(late) == DeltaOutcome::kStale);
  LONGS_EQUAL(9, receiver.Current().outstanding.front().requests);
}

// Endpoints are replaced all the time and get new ids. A sender that kept every
// id would grow without limit, also when one of its receivers has stopped
// answering.
TEST(DigestDelta, ForgetsIdsThatAreGone) {
  DigestSender sender({.removed_retention = 100, .max_removed = 1000});
  DigestReceiver receiver;
  const HostId silent_host("deaf");
  sender.OnConnected(kReceiver, 1);
  sender.OnConnected(silent_host, 1);
  int32_t highest = 0;
  for (int i = 0; i < 20000; ++i) {
    Digest digest = MakeDigest("s");
    digest.outstanding = {Sent("e" + std::to_string(i), 1)};
    sender.Update(digest);
    const DigestDelta delta = sender.Next(kReceiver);
    for (const auto& entry : delta.outstanding) {
      highest = std::max(highest, entry.index);
    }
    CHECK(receiver.Apply(delta) == DeltaOutcome::kApplied);
    sender.OnAck(kReceiver, receiver.Ack());
    if (i == 0) {
      sender.Next(silent_host);
      sender.OnAck(silent_host, receiver.Ack());
    }
  }
  CHECK(highest < 2000);
  LONGS_EQUAL(1, receiver.Current().outstanding.size());
}

// A peer of another release, or a faulty one, uses an index that it never
// assigned to an id. Its delta must be rejected and a full digest be requested.
TEST(DigestDelta, RequestsAFullDigestForAnUnknownIndex) {
  DigestReceiver receiver;
  DigestDelta delta;
  delta.incarnation = delta.sequence = 1;
  delta.outstanding = {{.index = 3, .id = {}, .first = 1, .second = 1}};
  CHECK(receiver.Apply(delta) == DeltaOutcome::kMalformed);
  CHECK(receiver.Ack().gap);
  CHECK(receiver.Current().outstanding.empty());
}

TEST_GROUP(DigestSummary){};

TEST(DigestSummary, AddsUpHosts) {
  DigestSummary summary;
  for (const std::string id : {"h1", "h2"}) {
    Digest digest = MakeDigest(id);
    digest.sequence = 1;
    digest.outstanding = {Sent("e1", 2)};
    digest.served = {Served("a1", 100 * kUnits)};
    summary.OnDigest(digest);
    digest.sequence = 2;
    digest.served = {Served("a1", 107 * kUnits)};
    summary.OnDigest(digest);
    summary.OnDigest(digest);  // received twice, counted once
  }
  const Digest sum = summary.Make(HostId("h1"), DataCentreId("dc1"), 1);
  LONGS_EQUAL(4, sum.outstanding.front().requests);
  LONGS_EQUAL(14 * kSummaryUnit, sum.served.front().cost);
}

// A host restarts and its counters start at zero; another is disconnected for a
// while and returns. An account's total must neither fall nor count the same
// work twice, since its share at other hosts would jump.
TEST(DigestSummary, TotalsNeitherFallNorDouble) {
  DigestSummary summary;
  const auto total = [&] {
    return summary.Make(HostId("x"), DataCentreId("dc1"), 1)
        .served.front()
        .cost;
  };
  const auto add_digest = [&](uint64_t incarnation, uint64_t sequence,
                              int64_t units) {
    Digest digest = MakeDigest("h1", incarnation);
    digest.sequence = sequence;
    digest.served = {Served("a1", units * kUnits)};
    summary.OnDigest(digest);
  };
  add_digest(1, 1, 50);
  add_digest(1, 2, 60);
  LONGS_EQUAL(10 * kSummaryUnit, total());
  summary.OnGone(HostId("h1"));
  LONGS_EQUAL(10 * kSummaryUnit, total());
  add_digest(1, 3, 65);
  LONGS_EQUAL(15 * kSummaryUnit, total());
  add_digest(2, 1, 4);
  LONGS_EQUAL(19 * kSummaryUnit, total());
}

}  // namespace hickorystand
