// Tests of the configuration: its records, their storage in the key-value
// service, and changes.

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "decisions/configuration_codec.h"
#include "key_value_state.h"

namespace hickorystand {
namespace {

using fakes::KeyValueState;

Configuration Sample() {
  Configuration sample;
  const auto put = [&](const Record& record) {
    CHECK(PutRecord(sample, record).has_value());
  };
  put({.kind = "account", .id = "acme", .fields = {{"weight", "2.5"}}});
  put({.kind = "service", .id = "chat"});
  put({.kind = "service", .id = "filing", .fields = {{"kind", "plain"}}});
  put({.kind = "site", .id = "dc1"});
  put({.kind = "endpoint",
       .id = "e1",
       .fields = {{"service", "chat"},
                  {"data_centre", "dc1"},
                  {"address", "127.0.0.1:9000"},
                  {"zone", "z1"}}});
  put({.kind = "key",
       .id = std::string(64, 'a'),
       .fields = {{"account", "acme"}}});
  return sample;
}

ConfigurationChange::Edit Replace(Configuration wanted) {
  return [wanted = std::move(wanted)](const Configuration&) {
    return Result<Configuration>(wanted);
  };
}

// Runs a change against the store until it ends, without faults.
Result<ConfigurationChange::Applied> RunChange(ConfigurationChange& change,
                                               KeyValueState& store) {
  StoreTransaction next = change.Start();
  while (true) {
    auto step = change.OnReply(store.Transact(next));
    if (auto* end = std::get_if<Result<ConfigurationChange::Applied>>(&step)) {
      return std::move(*end);
    }
    next = std::get<StoreTransaction>(std::move(step));
  }
}

StoredConfiguration ReadAll(KeyValueState& store) {
  auto stored =
      ReadStoredConfiguration(store.Transact(ReadConfigurationTransaction()));
  CHECK(stored.has_value());
  return *stored;
}

using ApplyResult = Result<ConfigurationChange::Applied>;

// Whether a transaction loses nothing, its reply, or the request itself.
enum class Loss { kNone, kReply, kRequest };

// Runs a change whose i-th transaction suffers `losses[i]`. Calls `between`
// with the index after each transaction, for example to apply another change.
ApplyResult RunWithLosses(ConfigurationChange& change,
                          KeyValueState& store,
                          const std::vector<Loss>& losses,
                          const std::function<void(size_t)>& between = {}) {
  StoreTransaction next = change.Start();
  for (size_t i = 0;; ++i) {
    const Loss loss = i < losses.size() ? losses[i] : Loss::kNone;
    StoreReply reply{.outcome = StoreOutcome::kUnknown};
    if (loss != Loss::kRequest) {
      reply = store.Transact(next);
    }
    if (loss == Loss::kReply) {
      reply = {.outcome = StoreOutcome::kUnknown};
    }
    if (between) {
      between(i);
    }
    auto step = change.OnReply(reply);
    if (auto* end = std::get_if<ApplyResult>(&step)) {
      return std::move(*end);
    }
    next = std::get<StoreTransaction>(std::move(step));
  }
}

ConfigurationChange MakeAddAccount(const std::string& id,
                                   const std::string& author = "maria") {
  return {{.name = author, .token = "token-" + id},
          [id](const Configuration& in_force) {
            return AddRecord(in_force, {.kind = "account", .id = id});
          }};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string ValidationError(const Record& record) {
  const auto added = AddRecord(Sample(), record);
  return added ? "" : added.error().message;
}

}  // namespace

TEST_GROUP(ConfigurationChange){};

TEST(ConfigurationChange, AppliesAndReadsBackTheSame) {
  KeyValueState store;
  ConfigurationChange change({"maria", "t1"}, Replace(Sample()));
  const auto applied = RunChange(change, store);
  CHECK(applied.has_value());
  LONGS_EQUAL(1, applied->revision);
  Configuration expected = Sample();
  expected.revision = 1;
  CHECK(expected == *ReadAll(store).configuration);
}

TEST(ConfigurationChange, WritesOnlyTheBucketsThatDiffer) {
  KeyValueState store;
  ConfigurationChange first({"maria", "t1"}, Replace(Sample()));
  CHECK(RunChange(first, store).has_value());
  const StoredConfiguration stored = ReadAll(store);
  Configuration wanted = *stored.configuration;
  wanted.accounts.begin()->second.weight = 9;
  const auto transaction = MakeApplyTransaction(stored, wanted, {"m", "t2"});
  CHECK(transaction.has_value());
  LONGS_EQUAL(2, transaction->then.size());
}

// Two operators change the configuration at the same time. The second must get
// an error that names the first one's change, and neither change may be lost or
// partly applied.
TEST(ConfigurationChange, SecondOfTwoOperatorsIsToldWhatTheFirstChanged) {
  KeyValueState store;
  ConfigurationChange late = MakeAddAccount("late", "tuan");
  auto late_write = late.OnReply(store.Transact(late.Start()));
  ConfigurationChange early = MakeAddAccount("early", "maria");
  CHECK(RunChange(early, store).has_value());
  const auto end =
      late.OnReply(store.Transact(std::get<StoreTransaction>(late_write)));
  const auto& result = std::get<ApplyResult>(end);
  CHECK(result.error().kind == ErrorKind::kConflict);
  CHECK(Contains(result.error().message,
                 "revision 1 by maria: added account/early"));
  CHECK(!Contains(result.error().message, "late"));
  const auto in_force = ReadAll(store).configuration;
  CHECK(in_force->accounts.contains(AccountId("early")));
  CHECK(!in_force->accounts.contains(AccountId("late")));
}

// The reply to a change is lost after it took effect. Reported as failed, the
// change would be repeated or assumed absent; reported as a conflict, it would
// conflict with itself.
TEST(ConfigurationChange, LostReplyIsKnownByItsToken) {
  KeyValueState store;
  ConfigurationChange change = MakeAddAccount("a");
  const auto result =
      RunWithLosses(change, store, {Loss::kNone, Loss::kReply, Loss::kReply});
  CHECK(result.has_value());
  LONGS_EQUAL(1, result->revision);
  LONGS_EQUAL(1, ReadAll(store).head.revision);
}

// As above, but another operator's change is applied before the retry. The
// first change is still in force and must be reported as applied.
TEST(ConfigurationChange, LostReplyIsKnownUnderALaterChange) {
  KeyValueState store;
  ConfigurationChange change = MakeAddAccount("a");
  const auto result = RunWithLosses(
      change, store, {Loss::kNone, Loss::kReply}, [&](size_t tries) {
        if (tries == 1) {
          ConfigurationChange other = MakeAddAccount("b", "tuan");
          CHECK(RunChange(other, store).has_value());
        }
      });
  CHECK(result.has_value());
  LONGS_EQUAL(1, result->revision);
  LONGS_EQUAL(2, ReadAll(store).configuration->accounts.size());
}

// The request itself is lost and another operator's change is applied first. It
// is then certain that nothing was applied, so the result must be a conflict
// and not "unknown".
TEST(ConfigurationChange, LostRequestBeforeAnotherChangeIsAConflict) {
  KeyValueState store;
  ConfigurationChange change = MakeAddAccount("a");
  const auto result = RunWithLosses(
      change, store, {Loss::kNone, Loss::kRequest}, [&](size_t tries) {
        if (tries == 1) {
          ConfigurationChange other = MakeAddAccount("b", "tuan");
          CHECK(RunChange(other, store).has_value());
        }
      });
  CHECK(result.error().kind == ErrorKind::kConflict);
  CHECK(!ReadAll(store).configuration->accounts.contains(AccountId("a")));
}

TEST(ConfigurationChange, UnreachableServiceGivesUnknownOutcome) {
  KeyValueState store;
  const std::vector<Loss> dead(20, Loss::kRequest);
  ConfigurationChange unread = MakeAddAccount("a");
  CHECK(RunWithLosses(unread, store, dead).error().kind ==
        ErrorKind::kPlatformDown);
  std::vector<Loss> after_read = dead;
  after_read.front() = Loss::kNone;
  ConfigurationChange unknown = MakeAddAccount("a");
  CHECK(RunWithLosses(unknown, store, after_read).error().kind ==
        ErrorKind::kOutcomeUnknown);
}

TEST(ConfigurationChange, HeadRemembersABoundedNumberOfChanges) {
  KeyValueState store;
  for (int i = 0; i < 50; ++i) {
    ConfigurationChange change = MakeAddAccount("a" + std::to_string(i));
    CHECK(RunChange(change, store).has_value());
  }
  LONGS_EQUAL(kMaxRecentChanges, ReadAll(store).head.recent.size());
  LONGS_EQUAL(50, ReadAll(store).head.revision);
}

// Several operators make changes at once through a service that loses requests
// and replies. Each result must match the final state.
TEST(ConfigurationChange, ResultsOfRacingOperatorsAreTrue) {
  CHECK(rc::check("racing operators", [](uint32_t seed) {
    std::mt19937 random(seed);
    KeyValueState store;
    struct Operator {
      std::string account;
      ConfigurationChange change;
      StoreTransaction next;
      std::optional<ApplyResult> end;
    };
    std::vector<Operator> operators;
    for (int i = 0; i < 4; ++i) {
      const std::string account = "a" + std::to_string(i);
      operators.push_back({account, MakeAddAccount(account), {}, {}});
      operators.back().next = operators.back().change.Start();
    }
    while (std::ranges::any_of(
        operators, [](const Operator& each) { return !each.end; })) {
      Operator& each = operators[random() % operators.size()];
      if (each.end) {
        continue;
      }
      const auto loss = random() % 4;
      StoreReply reply{.outcome = StoreOutcome::kUnknown};
      if (loss != 0) {
        reply = store.Transact(each.next);
      }
      if (loss == 1) {
        reply = {.outcome = StoreOutcome::kUnknown};
      }
      auto step = each.change.OnReply(reply);
      if (auto* end = std::get_if<ApplyResult>(&step)) {
        each.end = std::move(*end);
      } else {
        each.next = std::get<StoreTransaction>(std::move(step));
      }
    }
    const auto in_force = ReadAll(store).configuration;
    size_t applied = 0;
    for (const Operator& each : operators) {
      const bool there = in_force->accounts.contains(AccountId(each.account));
      applied += there ? 1 : 0;
      if (each.end->has_value()) {
        RC_ASSERT(there);
      } else if (each.end->error().kind != ErrorKind::kOutcomeUnknown) {
        RC_ASSERT(!there);
      }
    }
    RC_ASSERT(static_cast<int64_t>(applied) == in_force->revision);
  }));
}

TEST_GROUP(ConfigurationRecords){};

TEST(ConfigurationRecords, SaysWhatIsAllowed) {
  CHECK(Contains(ValidationError({"account", "b", {{"weight", "0"}}}),
                 "account/b: weight: '0' is not allowed; a number from 0.01 "
                 "to 1000 is"));
  CHECK(Contains(ValidationError({"account", "b", {{"weight", "nan"}}}),
                 "a number"));
  CHECK(Contains(ValidationError({"service", "s", {{"deadline", "5"}}}),
                 "a length of time from 100ms to 1h"));
  CHECK(Contains(ValidationError({"service", "s", {{"kind", "odd"}}}),
                 "one of language, plain"));
  CHECK(
      Contains(ValidationError({"endpoint", "e", {}}), "service: is missing"));
  CHECK(Contains(ValidationError({"account", "a b", {}}),
                 "an id of up to 64 letters"));
  CHECK(Contains(ValidationError({"key", "abc", {{"account", "acme"}}}),
                 "SHA-256"));
  CHECK(Contains(ValidationError({"moon", "m", {}}), "no such kind"));
}

TEST(ConfigurationRecords, PassesOverFieldsOfNewerPrograms) {
  CHECK(ValidationError({"account", "b", {{"colour", "red"}}}).empty());
}

TEST(ConfigurationRecords, ARecordWithoutALimitSetsNone) {
  const auto read = AddRecord({}, {"account", "b", {{"weight", "2"}}});
  CHECK(read.has_value());
  CHECK(LimitsOf(*read).empty());
}

TEST(ConfigurationRecords, ReadsALimit) {
  const auto read = AddRecord(
      {}, {"account",
           "b",
           {{"rate", "500"}, {"burst", "2000"}, {"unit", "requests"}}});
  CHECK(read.has_value());
  CHECK(LimitsOf(*read) ==
        (AccountLimits{
            {AccountId("b"),
             {.rate = 500, .burst = 2000, .unit = LimitUnit::kRequests}}}));
}

TEST(ConfigurationRecords, FindsReferencesThatLeadNowhere) {
  Configuration broken = Sample();
  broken.accounts.clear();
  broken.sites.clear();
  const auto faults = CheckReferences(broken);
  LONGS_EQUAL(2, faults.size());
  CHECK(Contains(faults[0].Text(), "account: there is no account 'acme'"));
  CHECK(Contains(faults[1].Text(), "data_centre: there is no site 'dc1'"));
}

TEST(ConfigurationRecords, DiffNamesFieldsThatChanged) {
  Configuration other = Sample();
  other.accounts.begin()->second.weight = 3;
  other.sites[DataCentreId("dc2")] = {.id = DataCentreId("dc2")};
  const auto changes = DiffConfigurations(Sample(), other);
  LONGS_EQUAL(2, changes.size());
  STRCMP_EQUAL("changed account/acme: weight 2.5 -> 3",
               changes[0].Text().c_str());
  STRCMP_EQUAL("added site/dc2: cut_off_key_limit 24h",
               changes[1].Text().c_str());
}

// Any configuration must be read back from the service as it was written: the
// diff between the two must be empty.
TEST(ConfigurationRecords, AnyConfigurationSurvivesTheService) {
  CHECK(rc::check("round trip", [](uint32_t seed) {
    std::mt19937 random(seed);
    Configuration any = Sample();
    for (int i = static_cast<int>(random() % 40); i > 0; --i) {
      const std::string id = "r" + std::to_string(random() % 1000);
      const auto put = PutRecord(
          any, {"account",
                id,
                {{"weight", std::to_string(1 + random() % 900) + "." +
                                std::to_string(random() % 1000)},
                 {"rate", std::to_string(1 + random() % 900)},
                 {"burst", std::to_string(random() % 900)},
                 {"unit", random() % 2 == 0 ? "requests" : "tokens"}}});
      RC_ASSERT(put.has_value());
    }
    KeyValueState store;
    ConfigurationChange change({"m", "t"}, Replace(any));
    RC_ASSERT(RunChange(change, store).has_value());
    RC_ASSERT(DiffConfigurations(*ReadAll(store).configuration, any).empty());
  }));
}

// Corrupted values in the service must be refused; they must neither crash a
// host nor be applied in part.
TEST(ConfigurationRecords, DamagedValuesAreRefused) {
  KeyValueState store;
  ConfigurationChange change({"m", "t"}, Replace(Sample()));
  CHECK(RunChange(change, store).has_value());
  const std::string head = store.Read(kHeadKey, false).front().value;
  const std::string bucket =
      store.Read("/hickorystand/config/bucket/", true).front().value;
  CHECK(rc::check("damage", [&](uint32_t seed) {
    std::mt19937 random(seed);
    for (std::string text : {head, bucket}) {
      for (int i = 0; i < 3; ++i) {
        text[random() % text.size()] = static_cast<char>(random());
      }
      text.resize(random() % (text.size() + 1));
      const auto read_head = ReadHead(text);
      RC_ASSERT(!read_head || read_head->revision > 0);
      const auto read_bucket = ReadBucket(text);
      RC_ASSERT(!read_bucket || read_bucket->revision >= 0);
    }
  }));
}

}  // namespace hickorystand
