// Messages of the public etcd v3 JSON gateway: encoding of requests and
// decoding of responses. No I/O.
//
// The gateway encodes keys and values in base64 and 64-bit integers as text,
// and omits members that have their default value.
//
// Index
//   WriteTransaction, ReadTransactionReply   /v3/kv/txn
//   WriteRange, WriteProbe, ReadRangeReply   /v3/kv/range
//   WriteWatch, ReadWatchMessage             /v3/watch

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

// Base64, the gateway's encoding of bytes.
std::string ToBase64(const std::string& bytes);
std::string FromBase64(const std::string& text);

// The end (exclusive) of the key range of a prefix; "\0", which means no end,
// for the empty prefix.
std::string PrefixRangeEnd(const std::string& prefix);

// Whether a transaction only reads, and so may be sent twice.
bool IsReadOnly(const StoreTransaction& transaction);

// Whether a transaction is one unconditional read, which /v3/kv/range can
// serve.
bool IsSingleRead(const StoreTransaction& transaction);

// The request bodies.
std::string WriteTransaction(const StoreTransaction& transaction);
std::string WriteRange(const StoreOperation& read);

// A range request for the keys, without values, that changed after a revision.
std::string WriteProbe(const std::string& prefix, int64_t above_revision);

// A request for a watch on a prefix that starts after a revision.
std::string WriteWatch(const std::string& prefix, int64_t after_revision);

// Decode a response; nullopt if it is invalid, in which case the transaction
// may still have been applied.
std::optional<StoreReply> ReadTransactionReply(const std::string& body);
std::optional<StoreReply> ReadRangeReply(const std::string& body);

// One message of a watch stream.
struct WatchMessage {
  int64_t revision = 0;
  bool created = false;
  bool cancelled = false;  // revision compacted, or ended by the service
  std::string reason;
  std::vector<StoreChange> changes;
};

// Decodes one line of the stream; kPlatformDown if the service reports an error
// or the line has no revision.
Result<WatchMessage> ReadWatchMessage(const std::string& line);

}  // namespace hickorystand
