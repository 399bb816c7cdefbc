// The platform's key-value service, as the rest of the program uses it.
//
// All calls return at once and answer later by calling back on the task that
// made the call. A call that can't be answered in time ends as
// StoreOutcome::kUnknown, or kNotApplied when it surely took no effect.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "decisions/store.h"
#include "kernel/error.h"
#include "kernel/metrics.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// One change that a watch saw. `deleted` leaves the record's value empty.
struct StoreChange {
  StoreRecord record;
  bool deleted = false;

  bool operator==(const StoreChange&) const = default;
};

// A watch that ends when this handle is destroyed.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
};

// How a store client is made.
struct KeyValueStoreOptions {
  std::vector<SocketAddress> addresses;  // tried in turn
  Duration timeout = std::chrono::seconds(2);
  // Counts store_reads_total, store_writes_total and store_watches_waiting:
  // the service bills each call, a waiting watch as one. May be null.
  Metrics* metrics = nullptr;
  uint64_t seed = 1;  // of the jitter in retries
};

// Client of the key-value service. Belongs to the task that made it.
class KeyValueStore {
 public:
  static constexpr const char* kPluginKind = "key-value store";
  using Factory = std::function<std::unique_ptr<KeyValueStore>(
      const KeyValueStoreOptions&)>;

  virtual ~KeyValueStore() = default;

  // Runs a transaction.
  virtual void Transact(const StoreTransaction& transaction,
                        std::function<void(StoreReply)> done) = 0;

  // Runs a transaction whose answer may be large. `on_progress` is called for
  // each part of the answer that arrives; implementations may ignore it.
  virtual void TransactWithProgress(
      const StoreTransaction& transaction,
      [[maybe_unused]] const std::function<void()>& on_progress,
      std::function<void(StoreReply)> done) {
    this->Transact(transaction, std::move(done));
  }

  // Asks for a new lease; answers its id.
  virtual void GrantLease(Duration length,
                          std::function<void(Result<int64_t>)> done) = 0;

  // Renews a lease; answers the length left, or kNotFound when it has expired.
  virtual void RenewLease(int64_t lease,
                          std::function<void(Result<Duration>)> done) = 0;

  // Gives a lease up, which deletes the records bound to it.
  virtual void RevokeLease(int64_t lease,
                           std::function<void(Result<int64_t>)> done) = 0;

  // Watches all keys with a prefix for changes above `after_revision`. Every
  // batch comes with the service's revision. `on_lost` is called once when the
  // watch broke, was silent for too long or fell behind; it is then dead, and
  // the caller reads anew before it watches again.
  virtual std::unique_ptr<StoreWatch> Watch(
      const std::string& prefix,
      int64_t after_revision,
      std::function<void(int64_t revision, std::vector<StoreChange>)> on_change,
      std::function<void(Error)> on_lost) = 0;
};

}  // namespace hickorystand
