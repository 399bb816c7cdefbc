// What decisions may ask of the platform's key-value service, as plain values.
//
// The shapes follow the published etcd v3 interface: transactions compare and
// then write, leases expire, and revisions only rise. A decision emits a
// StoreTransaction; the daemon carries it out and hands back the StoreReply.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorystand {

// One stored record.
struct StoreRecord {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t lease = 0;  // 0: none

  auto operator<=>(const StoreRecord&) const = default;
};

// A condition on one record. A record that is absent has revision 0.
struct StoreCompare {
  enum class Field { kCreateRevision, kModRevision, kValue };

  std::string key;
  Field field = Field::kModRevision;
  int64_t revision = 0;  // for the revision fields
  std::string value;     // for kValue

  auto operator<=>(const StoreCompare&) const = default;
};

// One step of a transaction.
struct StoreOperation {
  enum class Kind { kPut, kGet, kGetPrefix, kDelete };

  Kind kind = Kind::kGet;
  std::string key;
  std::string value;  // kPut only
  int64_t lease = 0;  // kPut only; 0: none

  auto operator<=>(const StoreOperation&) const = default;
};

// Steps, written short.
StoreOperation StoreGet(std::string key);
StoreOperation StorePut(std::string key, std::string value, int64_t lease = 0);
StoreOperation StoreDelete(std::string key);

// Does `then` if every condition holds, else `otherwise`; all at once.
struct StoreTransaction {
  std::vector<StoreCompare> conditions;
  std::vector<StoreOperation> then;
  std::vector<StoreOperation> otherwise;
  // Its reads, if it does nothing else, may be seconds old. A service for which
  // such reads are no cheaper may ignore it.
  bool stale = false;

  auto operator<=>(const StoreTransaction&) const = default;
};

// How a transaction ended. The third case is why decisions read back: a reply
// can be lost after its write took effect.
enum class StoreOutcome {
  kThen,        // the conditions held
  kOtherwise,   // they did not
  kNotApplied,  // refused or never sent
  kUnknown,     // sent, but no reply came: it may have taken effect
};

// What came back.
struct StoreReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  int64_t revision = 0;              // of the service when it answered
  std::vector<StoreRecord> records;  // of all kGet and kGetPrefix, in order

  auto operator<=>(const StoreReply&) const = default;
};

// The record with a key among those of a reply, or nullptr if it was absent.
const StoreRecord* FindRecord(const StoreReply& reply, std::string_view key);

}  // namespace hickorystand
