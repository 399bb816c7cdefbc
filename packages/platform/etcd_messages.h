// The messages of the published etcd v3 JSON gateway: how transactions are
// written and how answers are read. No I/O.
//
// Keys and values travel in base64, 64-bit integers as text, and members that
// hold their default are left out.
//
// Index
//   WriteTransaction, WriteRange, ReadReply     /v3/kv/txn and /v3/kv/range
//   WriteWatch, WriteProbe, ReadWatchMessage    /v3/watch

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decisions/store.h"
#include "kernel/error.h"
#include "kernel/json.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// Base64, as the gateway wants bytes.
std::string ToBase64(const std::string& bytes);
std::string FromBase64(const std::string& text);

// The first key after all those with a prefix; "\0" for the empty prefix.
std::string EndOfPrefix(const std::string& prefix);

// Whether a transaction only reads, so that it may be sent twice.
bool OnlyReads(const StoreTransaction& transaction);

// Whether a transaction is one plain read, for which /v3/kv/range is enough.
bool IsSingleRead(const StoreTransaction& transaction);

// The request bodies.
std::string WriteTransaction(const StoreTransaction& transaction);
std::string WriteRange(const StoreOperation& read);

// Asks for the keys, without values, that changed above a revision.
std::string WriteProbe(const std::string& prefix, int64_t above_revision);

// Asks for a watch on a prefix from above a revision.
std::string WriteWatch(const std::string& prefix, int64_t after_revision);

// An answer to either request body. Anything that isn't one is no reply: the
// transaction may have run, whatever came back.
std::optional<StoreReply> ReadTransactionReply(const std::string& body);
std::optional<StoreReply> ReadRangeReply(const std::string& body);

// One message of a watch's stream.
struct WatchMessage {
  int64_t revision = 0;
  bool created = false;
  bool cancelled = false;  // compacted away, or ended by the service
  std::string reason;
  std::vector<StoreChange> changes;
};

// Reads one line of the stream.
Result<WatchMessage> ReadWatchMessage(const std::string& line);

}  // namespace hickorystand
