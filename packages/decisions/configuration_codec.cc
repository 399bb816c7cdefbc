#include "decisions/configuration_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <ranges>
#include <utility>

#include "kernel/json.h"

namespace hickorystand {
namespace {

constexpr const char* kBucketPrefix = "/hickorystand/config/bucket/";
constexpr size_t kMaxNamedChanges = 5;  // in a summary
constexpr int kMaxFailures = 5;         // consecutive, of reads or of writes

Error InvalidStoredConfiguration(const std::string& what) {
  return {ErrorKind::kBadSetting,
          "the stored configuration is invalid: " + what,
          {}};
}

// A summary of changed records for display. Keys are shown by the first digits
// of their hash only, as the whole hash is of no use to a reader.
std::string Summarise(const std::vector<RecordChange>& changes) {
  std::string text;
  for (const RecordChange& change :
       changes | std::views::take(kMaxNamedChanges)) {
    text += (text.empty() ? "" : "; ") +
            (change.name.starts_with("key/")
                 ? change.Text().substr(0, change.Text().find('/') + 9)
                 : change.Text());
  }
  if (changes.size() > kMaxNamedChanges) {
    text +=
        "; and " + std::to_string(changes.size() - kMaxNamedChanges) + " more";
  }
  return text;
}

// Whether a field of any of the changes equals a value.
template <typename Value>
bool ContainsChange(const std::vector<AcceptedChange>& changes,
                    Value AcceptedChange::* field,
                    const Value& value) {
  return std::ranges::find(changes, value, field) != changes.end();
}

std::map<int, ConfigurationBucket> GroupByBucket(
    const Configuration& configuration) {
  std::map<int, ConfigurationBucket> buckets;
  for (Record& record : ListRecords(configuration)) {
    const int bucket = BucketOfRecord(record.Name());
    buckets[bucket].records.push_back(std::move(record));
  }
  return buckets;
}

// All faults of a configuration as one error; nullopt if it is valid.
std::optional<Error> ValidateConfiguration(const Configuration& configuration) {
  const std::vector<RecordFault> faults = CheckReferences(configuration);
  if (faults.empty()) {
    return std::nullopt;
  }
  std::string text;
  for (const RecordFault& fault : faults) {
    text += (text.empty() ? "" : "\n") + fault.Text();
  }
  return Error{ErrorKind::kBadSetting, text, {}};
}

}  // namespace

std::string BucketKey(int bucket) {
  assert(bucket >= 0 && bucket < kBucketCount);
  const std::string number = std::to_string(bucket);
  return kBucketPrefix + (number.size() < 2 ? "0" + number : number);
}

std::optional<int> BucketOfKey(const std::string& key) {
  const std::string_view prefix = kBucketPrefix;
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  int bucket = -1;
  std::from_chars(key.data() + prefix.size(), key.data() + key.size(), bucket);
  const bool known =
      bucket >= 0 && bucket < kBucketCount && BucketKey(bucket) == key;
  return known ? std::optional(bucket) : std::nullopt;
}

int BucketOfRecord(const std::string& name) {
  return static_cast<int>(XXH64(name.data(), name.size(), 0) % kBucketCount);
}

std::string WriteHead(const ConfigurationHead& head) {
  JsonWriter out;
  out.BeginObject()
      .Member("revision", head.revision)
      .Name("buckets")
      .BeginArray();
  for (const int64_t revision : head.buckets) {
    out.Value(revision);
  }
  out.EndArray().Name("recent").BeginArray();
  for (const AcceptedChange& change : head.recent) {
    out.BeginObject()
        .Member("revision", change.revision)
        .Member("token", change.token)
        .Member("author", change.author)
        .Member("summary", change.summary)
        .EndObject();
  }
  return out.EndArray().EndObject().Text();
}

Result<ConfigurationHead> ReadHead(const std::string& text) {
  const auto json = Json::Parse(text);
  const auto buckets = json ? json->At("buckets").Items() : std::vector<Json>();
  if (!json || !json->At("revision").IsInteger() ||
      buckets.size() != kBucketCount ||
      !std::ranges::all_of(buckets, &Json::IsInteger)) {
    return tl::unexpected(InvalidStoredConfiguration("head can't be parsed"));
  }
  ConfigurationHead head{.revision = json->At("revision").Integer()};
  std::ranges::transform(buckets, head.buckets.begin(),
                         [](const Json& item) { return item.Integer(); });
  const bool revisions_valid =
      std::ranges::all_of(head.buckets, [&](int64_t revision) {
        return revision >= 0 && revision <= head.revision;
      });
  if (!revisions_valid || head.revision < 1) {
    return tl::unexpected(
        InvalidStoredConfiguration("the revisions in head are inconsistent"));
  }
  for (const Json& item : json->At("recent").Items()) {
    head.recent.push_back({.revision = item.At("revision").Integer(),
                           .token = item.At("token").Text(),
                           .author = item.At("author").Text(),
                           .summary = item.At("summary").Text()});
  }
  return head;
}

std::string WriteBucket(const ConfigurationBucket& bucket) {
  JsonWriter out;
  out.BeginObject()
      .Member("revision", bucket.revision)
      .Name("records")
      .BeginObject();
  for (const Record& record : bucket.records) {
    out.Name(record.Name()).BeginObject();
    for (const auto& [field, text] : record.fields) {
      out.Member(field, text);
    }
    out.EndObject();
  }
  return out.EndObject().EndObject().Text();
}

Result<ConfigurationBucket> ReadBucket(const std::string& text) {
  const auto json = Json::Parse(text);
  if (!json || !json->At("revision").IsInteger() ||
      !json->At("records").IsObject()) {
    return tl::unexpected(
        InvalidStoredConfiguration("a bucket can't be parsed"));
  }
  ConfigurationBucket bucket{.revision = json->At("revision").Integer()};
  const Json records = json->At("records");
  for (const std::string& name : records.Names()) {
    auto record = RecordFromName(name);
    if (!record) {
      return tl::unexpected(InvalidStoredConfiguration(record.error().message));
    }
    const Json fields = records.At(name);
    for (const std::string& field : fields.Names()) {
      if (!fields.At(field).IsText()) {
        return tl::unexpected(InvalidStoredConfiguration(name + ": " + field +
                                                         " is not a string"));
      }
      record->fields[field] = fields.At(field).Text();
    }
    bucket.records.push_back(std::move(*record));
  }
  return bucket;
}

Result<ConfigurationPtr> AssembleConfiguration(
    const ConfigurationHead& head,
    const std::map<int, ConfigurationBucket>& buckets) {
  Configuration configuration{.revision = head.revision};
  for (int i = 0; i < kBucketCount; ++i) {
    const auto found = buckets.find(i);
    const int64_t bucket_revision =
        found == buckets.end() ? 0 : found->second.revision;
    if (bucket_revision != head.buckets.at(i)) {
      return Fail(ErrorKind::kStale,
                  "bucket " + std::to_string(i) + " is at revision " +
                      std::to_string(bucket_revision) + ", head lists " +
                      std::to_string(head.buckets.at(i)));
    }
    if (found == buckets.end()) {
      continue;
    }
    for (const Record& record : found->second.records) {
      if (BucketOfRecord(record.Name()) != i) {
        return tl::unexpected(InvalidStoredConfiguration(
            record.Name() + " is in the wrong bucket"));
      }
      if (const auto put = PutRecord(configuration, record); !put) {
        return tl::unexpected(InvalidStoredConfiguration(put.error().message));
      }
    }
  }
  if (auto fault = ValidateConfiguration(configuration)) {
    return tl::unexpected(InvalidStoredConfiguration(fault->message));
  }
  return std::make_shared<const Configuration>(std::move(configuration));
}

StoreTransaction ReadConfigurationTransaction() {
  return {.then = {{.kind = StoreOperation::Kind::kGetPrefix,
                    .key = kConfigurationPrefix}}};
}

Result<StoredConfiguration> ReadStoredConfiguration(const StoreReply& reply) {
  StoredConfiguration stored;
  std::map<int, ConfigurationBucket> buckets;
  for (const StoreRecord& record : reply.records) {
    if (record.key == kHeadKey) {
      auto head = ReadHead(record.value);
      if (!head) {
        return tl::unexpected(head.error());
      }
      stored.head = std::move(*head);
      stored.head_mod_revision = record.mod_revision;
    } else if (const auto bucket = BucketOfKey(record.key)) {
      auto read = ReadBucket(record.value);
      if (!read) {
        return tl::unexpected(read.error());
      }
      buckets[*bucket] = std::move(*read);
    }
  }
  auto configuration = AssembleConfiguration(stored.head, buckets);
  if (!configuration) {
    return tl::unexpected(configuration.error());
  }
  stored.configuration = std::move(*configuration);
  return stored;
}

Result<StoreTransaction> MakeApplyTransaction(
    const StoredConfiguration& current,
    const Configuration& wanted,
    const ChangeAuthor& author) {
  assert(!author.token.empty() && "a lost reply is read back by its token");
  if (auto fault = ValidateConfiguration(wanted)) {
    return tl::unexpected(*fault);
  }
  ConfigurationHead head = current.head;
  head.revision = std::max(current.head.revision, author.above_revision) + 1;
  head.recent.insert(head.recent.begin(),
                     {.revision = head.revision,
                      .token = author.token,
                      .author = author.name,
                      .summary = Summarise(
                          DiffConfigurations(*current.configuration, wanted))});
  head.recent.resize(std::min(head.recent.size(), kMaxRecentChanges));
  StoreTransaction transaction{
      .conditions = {{.key = kHeadKey,
                      .field = StoreCompare::Field::kModRevision,
                      .revision = current.head_mod_revision}},
      .otherwise = ReadConfigurationTransaction().then};
  auto before = GroupByBucket(*current.configuration);
  auto after = GroupByBucket(wanted);
  for (int i = 0; i < kBucketCount; ++i) {
    if (before[i].records == after[i].records) {
      continue;
    }
    after[i].revision = head.revision;
    head.buckets.at(i) = head.revision;
    transaction.then.push_back({.kind = StoreOperation::Kind::kPut,
                                .key = BucketKey(i),
                                .value = WriteBucket(after[i])});
    if (transaction.then.back().value.size() > kMaxStoredValueBytes) {
      return Fail(ErrorKind::kTooLarge,
                  "a bucket of the configuration exceeds the value size limit");
    }
  }
  transaction.then.push_back({.kind = StoreOperation::Kind::kPut,
                              .key = kHeadKey,
                              .value = WriteHead(head)});
  return transaction;
}

ConfigurationChange::ConfigurationChange(ChangeAuthor author, Edit edit)
    : author(std::move(author)), edit(std::move(edit)) {}

StoreTransaction ConfigurationChange::Start() {
  return ReadConfigurationTransaction();
}

ConfigurationChange::Step ConfigurationChange::OnReply(
    const StoreReply& reply) {
  assert(this->phase != Phase::kDone && "the change has already ended");
  return this->phase == Phase::kReading ? this->OnReadReply(reply)
                                        : this->OnWriteReply(reply);
}

ConfigurationChange::Step ConfigurationChange::OnReadReply(
    const StoreReply& reply) {
  if (reply.outcome != StoreOutcome::kThen) {
    return ++this->failures < kMaxFailures
               ? Step(ReadConfigurationTransaction())
               : this->Finish(Fail(ErrorKind::kPlatformDown,
                                   "the key-value service can't be read; "
                                   "nothing was changed"));
  }
  auto stored = ReadStoredConfiguration(reply);
  if (!stored) {
    return this->Finish(tl::unexpected(stored.error()));
  }
  this->base = std::move(*stored);
  const auto wanted = this->edit(*this->base.configuration);
  if (!wanted) {
    return this->Finish(tl::unexpected(wanted.error()));
  }
  this->applied = {
      .revision = this->base.head.revision,
      .changes = DiffConfigurations(*this->base.configuration, *wanted)};
  if (this->applied.changes.empty()) {
    return this->Finish(this->applied);
  }
  auto write = MakeApplyTransaction(this->base, *wanted, this->author);
  if (!write) {
    return this->Finish(tl::unexpected(write.error()));
  }
  this->transaction = std::move(*write);
  this->applied.revision =
      std::max(this->applied.revision, this->author.above_revision) + 1;
  this->failures = 0;
  this->phase = Phase::kWriting;
  return this->transaction;
}

ConfigurationChange::Step ConfigurationChange::OnWriteReply(
    const StoreReply& reply) {
  if (reply.outcome == StoreOutcome::kThen) {
    return this->Finish(this->applied);
  }
  if (reply.outcome == StoreOutcome::kOtherwise) {
    return this->Finish(this->ResolveConflict(reply));
  }
  this->in_doubt |= reply.outcome == StoreOutcome::kUnknown;
  if (++this->failures < kMaxFailures) {
    return this->transaction;
  }
  return this->Finish(
      this->in_doubt
          ? Fail(ErrorKind::kOutcomeUnknown,
                 "the change was sent, but no answer came: it may have taken "
                 "effect; look at the revision in force before you repeat it")
          : Fail(ErrorKind::kPlatformDown,
                 "the key-value service can't be reached; nothing was "
                 "changed"));
}

// The result of a write whose condition failed, as head had changed. The new
// head may contain this very change, if an earlier attempt took effect and its
// reply was lost; other changes may have followed since.
Result<ConfigurationChange::Applied> ConfigurationChange::ResolveConflict(
    const StoreReply& reply) const {
  const auto stored = ReadStoredConfiguration(reply);
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  const auto& recent = stored->head.recent;
  if (ContainsChange(recent, &AcceptedChange::token, this->author.token)) {
    return this->applied;
  }
  // If head still lists the change that this one was based on, it also lists
  // all later ones, and so this one did not take effect.
  const auto& before = this->base.head.recent;
  const bool history_complete =
      before.empty() ||
      ContainsChange(recent, &AcceptedChange::token, before.front().token);
  if (this->in_doubt && !history_complete &&
      stored->head.revision > this->base.head.revision) {
    return Fail(ErrorKind::kOutcomeUnknown,
                "too many changes came after this one to tell whether it took "
                "effect; look at what is in force before you repeat it");
  }
  std::string text =
      "the configuration was changed meanwhile; nothing of "
      "yours was applied";
  for (const AcceptedChange& change : recent) {
    if (change.revision > this->base.head.revision) {
      text += "\n  revision " + std::to_string(change.revision) + " by " +
              change.author + ": " + change.summary;
    }
  }
  return Fail(ErrorKind::kConflict, text);
}

ConfigurationChange::Step ConfigurationChange::Finish(Result<Applied> result) {
  this->phase = Phase::kDone;
  return result;
}

}  // namespace hickorystand
