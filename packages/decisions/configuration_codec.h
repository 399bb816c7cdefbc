// Layout of the configuration in the key-value service, and the protocol for
// changing it.
//
// Records are hashed by name into 64 buckets. Each bucket is one value that
// carries the revision at which it last changed. `head` holds the revision in
// force and the revision of every bucket, so that a reader can verify that it
// has a complete state. A change is one compare-and-swap transaction on head;
// it writes head and the buckets that differ: 65 writes at most, below the
// service's limit of 128. A change of one record therefore costs each host one
// bucket, and no history has to be stored.
//
// Index
//   ConfigurationHead, StoredConfiguration   the stored state
//   AssembleConfiguration                    builds and checks a configuration
//   ConfigurationChange                      one operator's change

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/configuration_records.h"
#include "decisions/store.h"
#include "kernel/error.h"

namespace hickorystand {

inline constexpr int kBucketCount = 64;
inline constexpr const char* kConfigurationPrefix = "/hickorystand/config/";
inline constexpr const char* kHeadKey = "/hickorystand/config/head";

// Maximum size of a stored value in bytes. The service's limit is higher by its
// framing.
inline constexpr size_t kMaxStoredValueBytes = 1'000'000;

// /hickorystand/config/bucket/NN
std::string BucketKey(int bucket);

// The bucket number of a bucket's key; nullopt for any other key.
std::optional<int> BucketOfKey(const std::string& key);

// The bucket that stores the record of a name (KIND/ID).
int BucketOfRecord(const std::string& name);

// One accepted change, as listed in head.
struct AcceptedChange {
  int64_t revision = 0;
  std::string token;    // unique per ConfigurationChange; shared by its retries
  std::string author;   // for display
  std::string summary;  // of the changed records, for display

  auto operator<=>(const AcceptedChange&) const = default;
};

// How many accepted changes head lists. A writer whose reply was lost looks for
// its change among them, so the number exceeds the changes that can be accepted
// while one write is being retried.
inline constexpr size_t kMaxRecentChanges = 32;

// The content of head.
struct ConfigurationHead {
  int64_t revision = 0;  // increases with every accepted change
  std::array<int64_t, kBucketCount> buckets{};  // revision of each; 0: empty
  std::vector<AcceptedChange> recent;           // newest first

  bool operator==(const ConfigurationHead&) const = default;
};

std::string WriteHead(const ConfigurationHead& head);
Result<ConfigurationHead> ReadHead(const std::string& text);

// The records of one bucket, with the revision at which it last changed.
struct ConfigurationBucket {
  int64_t revision = 0;
  std::vector<Record> records;

  bool operator==(const ConfigurationBucket&) const = default;
};

std::string WriteBucket(const ConfigurationBucket& bucket);
Result<ConfigurationBucket> ReadBucket(const std::string& text);

// The stored configuration with what a change to it needs.
struct StoredConfiguration {
  ConfigurationHead head;
  int64_t head_mod_revision = 0;  // mod revision of kHeadKey; 0: none stored
  ConfigurationPtr configuration = std::make_shared<Configuration>();
};

// Values by key, as received from the service or from peers.
using ConfigurationValues = std::map<std::string, std::string>;

// Builds a configuration from head and its buckets, and validates it. Fails
// with kStale if a bucket isn't at the revision that head lists for it, which
// happens when values were read at different times; with kBadSetting if a
// record is invalid.
Result<ConfigurationPtr> AssembleConfiguration(
    const ConfigurationHead& head,
    const std::map<int, ConfigurationBucket>& buckets);

// The transaction that reads the whole stored state.
StoreTransaction ReadConfigurationTransaction();

// Parses the reply to ReadConfigurationTransaction(). Without a head nothing
// has been stored yet, and the result is revision 0.
Result<StoredConfiguration> ReadStoredConfiguration(const StoreReply& reply);

// Identifies the author of a change.
struct ChangeAuthor {
  std::string name;   // such as maria@10.0.0.7
  std::string token;  // unique per ConfigurationChange
  // The change also gets a revision above this one. After the service was
  // restored from a backup, hosts hold a higher revision than the service, and
  // would ignore a change that is numbered from the backup's revision.
  int64_t above_revision = 0;
};

// The transaction that replaces the stored configuration by `wanted`, on
// condition that head is unchanged. Its else branch reads the conflicting
// state. Writes only the buckets whose records differ. Fails with kBadSetting
// if `wanted` is invalid, and with kTooLarge if a bucket exceeds
// kMaxStoredValueBytes.
Result<StoreTransaction> MakeApplyTransaction(
    const StoredConfiguration& current,
    const Configuration& wanted,
    const ChangeAuthor& author);

// A state machine for one operator's change, from the first read to a final
// result. The caller runs the transactions.
//
//   ConfigurationChange change(author, edit);
//   StoreTransaction next = change.Start();
//   while (true) {
//     const auto step = change.OnReply(Run(next));
//     ...  // run another transaction, or stop
//   }
class ConfigurationChange {
 public:
  // Returns the wanted configuration, given the stored one, or an error.
  using Edit = std::function<Result<Configuration>(const Configuration&)>;

  // Result of a successful change.
  struct Applied {
    int64_t revision = 0;
    std::vector<RecordChange> changes;  // empty: nothing to change

    bool operator==(const Applied&) const = default;
  };

  // The next step: a transaction to run, or the final result.
  using Step = std::variant<StoreTransaction, Result<Applied>>;

  ConfigurationChange(ChangeAuthor author, Edit edit);

  // The first transaction, a read.
  StoreTransaction Start();

  // Handles the reply to the last transaction. If a reply was lost, the same
  // transaction is sent again: its condition lets it take effect at most once,
  // and its token in head shows that it did. If another operator's change was
  // accepted first, the result is kConflict with a list of those changes; the
  // other change stays in force and nothing of this one is applied. The result
  // is kOutcomeUnknown only if the service stays unreachable after a write was
  // sent, or if head no longer lists enough changes to tell. Callers should
  // back off between retries.
  Step OnReply(const StoreReply& reply);

 private:
  enum class Phase { kReading, kWriting, kDone };

  Step OnReadReply(const StoreReply& reply);
  Step OnWriteReply(const StoreReply& reply);
  Result<Applied> ResolveConflict(const StoreReply& reply) const;
  Step Finish(Result<Applied> result);

  ChangeAuthor author;
  Edit edit;
  Phase phase = Phase::kReading;
  StoredConfiguration base;
  StoreTransaction transaction;
  Applied applied;
  bool in_doubt = false;  // a write was sent and its reply was lost
  int failures = 0;       // consecutive
};

}  // namespace hickorystand
