// Transactions of the platform's key-value service, as plain values.
//
// The types follow the etcd v3 API: transactions compare and then write, leases
// expire, and revisions only increase. Decision code emits a StoreTransaction;
// the daemon executes it and returns the StoreReply.
//
// Index
//   StoreRecord                                 a stored record
//   StoreCompare, StoreOperation                parts of a transaction
//   StoreGet, StorePut, StoreDelete             make operations
//   StoreTransaction, StoreOutcome, StoreReply  a transaction and its result
//   FindRecord                                  a record of a reply, by key

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

// Functions that make operations.
StoreOperation StoreGet(std::string key);
StoreOperation StorePut(std::string key, std::string value, int64_t lease = 0);
StoreOperation StoreDelete(std::string key);

// Executes `then` if every condition holds, else `otherwise`, atomically.
struct StoreTransaction {
  std::vector<StoreCompare> conditions;
  std::vector<StoreOperation> then;
  std::vector<StoreOperation> otherwise;
  // A transaction that only reads may return data that is seconds old. A
  // service for which such reads are no cheaper may ignore this.
  bool allow_stale = false;

  auto operator<=>(const StoreTransaction&) const = default;
};

// The result of a transaction. After kUnknown the caller has to read the record
// back, as a reply can be lost after the write took effect.
enum class StoreOutcome {
  kThen,        // the conditions held
  kOtherwise,   // they did not
  kNotApplied,  // refused or never sent
  kUnknown,     // sent, but no reply came: it may have taken effect
};

// The reply to a transaction.
struct StoreReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  int64_t revision = 0;              // of the service at the time of the reply
  std::vector<StoreRecord> records;  // of all kGet and kGetPrefix, in order

  auto operator<=>(const StoreReply&) const = default;
};

// Returns the record with this key in a reply, or nullptr if it is absent.
const StoreRecord* FindRecord(const StoreReply& reply, std::string_view key);

}  // namespace hickorystand
