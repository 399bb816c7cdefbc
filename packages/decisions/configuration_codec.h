// How the configuration lies in the key-value service, and how it is changed
// there.
//
// Records are spread by a hash of their name over 64 buckets, each one value
// that carries the revision at which it last changed. `head` holds the revision
// in force and that of every bucket, so a state is known to be whole. A change
// is one transaction on condition that head is still the one it was made from;
// it writes the buckets that differ and head: 65 writes at most, below the
// service's limit of 128. So a change of one record costs each host one bucket,
// and no history has to be kept.
//
// Index
//   ConfigurationHead, StoredConfiguration   what lies there
//   AssembleConfiguration                    from values to a checked whole
//   ConfigurationChange                      one operator's change, to its end

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

// The longest value that the service holds, with room for its framing.
inline constexpr size_t kMaxStoredValue = 1'000'000;

// /hickorystand/config/bucket/NN
std::string BucketKey(int bucket);

// The bucket of a key; nothing if it is the key of none.
std::optional<int> BucketOfKey(const std::string& key);

// The bucket in which a record lies.
int BucketOfRecord(const std::string& name);

// One accepted change, for whoever comes after it.
struct AcceptedChange {
  int64_t revision = 0;
  std::string token;    // unique to the try that made it
  std::string author;   // for people
  std::string summary;  // what it changed, for people

  auto operator<=>(const AcceptedChange&) const = default;
};

// How many accepted changes head remembers. A change whose reply was lost must
// be found among them, so it is more than can follow within one try's time.
inline constexpr size_t kRememberedChanges = 32;

// What head says.
struct ConfigurationHead {
  int64_t revision = 0;  // rises by one with every accepted change
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

// The configuration with what must be known to change it.
struct StoredConfiguration {
  ConfigurationHead head;
  int64_t head_mod_revision = 0;  // of the service; 0: nothing is stored yet
  ConfigurationPtr configuration = std::make_shared<Configuration>();
};

// Values by key, as they come from the service or from peers.
using ConfigurationValues = std::map<std::string, std::string>;

// Puts a whole configuration together: every bucket must be at the revision
// that head gives for it, and every record must be right. kStale if a bucket
// doesn't belong to head, which happens when values of two moments meet.
Result<ConfigurationPtr> AssembleConfiguration(
    const ConfigurationHead& head,
    const std::map<int, ConfigurationBucket>& buckets);

// Reads the whole state.
StoreTransaction ReadConfigurationTransaction();

// What was read. No head means that nothing was ever stored: revision 0.
Result<StoredConfiguration> ReadStoredConfiguration(const StoreReply& reply);

// Who changes the configuration.
struct ChangeAuthor {
  std::string name;   // such as maria@10.0.0.7
  std::string token;  // unique to this try
  // The change gets a revision above this one as well. After the service was
  // put back to a backup, hosts hold a higher revision than it does, and would
  // ignore a change that merely counts on from the backup.
  int64_t above_revision = 0;
};

// The transaction that turns the stored configuration into the one wanted. Its
// other branch reads the state that stood in the way. Both configurations must
// be right; records that don't differ are left alone.
Result<StoreTransaction> MakeApplyTransaction(
    const StoredConfiguration& current,
    const Configuration& wanted,
    const ChangeAuthor& author);

// One operator's change, from the first read to a certain end.
//
//   ConfigurationChange change(author, edit);
//   StoreTransaction next = change.Start();
//   while (true) {
//     const auto step = change.OnReply(Run(next));
//     ...  // another transaction, or the end
//   }
class ConfigurationChange {
 public:
  // Makes the wanted configuration from the one in force, or says why not.
  using Edit = std::function<Result<Configuration>(const Configuration&)>;

  // How the change ended well.
  struct Applied {
    int64_t revision = 0;
    std::vector<RecordChange> changes;  // empty: nothing was to be changed

    bool operator==(const Applied&) const = default;
  };

  // What to do next: run a transaction, or stop with a result.
  using Step = std::variant<StoreTransaction, Result<Applied>>;

  ConfigurationChange(ChangeAuthor author, Edit edit);

  // The first read.
  StoreTransaction Start();

  // Takes the reply to the transaction asked for last. When a reply was lost
  // the same transaction goes out again: its condition lets it take effect once
  // at most, and head remembers by its token that it did. A change that another
  // operator's came before ends as kConflict that says who changed what, and
  // nothing of either is lost. kOutcomeUnknown is the end only when the service
  // stays out of reach; whoever waits between two steps backs off.
  Step OnReply(const StoreReply& reply);

 private:
  enum class Phase { kReading, kWriting, kDone };

  Step Write(const StoreReply& reply);
  Step StepAfter(const StoreReply& reply);
  Result<Applied> Conclude(const StoreReply& reply) const;
  Step Finish(Result<Applied> result);

  ChangeAuthor author;
  Edit edit;
  Phase phase = Phase::kReading;
  StoredConfiguration base;
  StoreTransaction transaction;
  Applied applied;
  bool in_doubt = false;  // a try was sent whose reply never came
  int failures = 0;       // in a row
};

}  // namespace hickorystand
