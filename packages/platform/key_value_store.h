// Interface of clients of the platform's key-value service; implementations are
// plug-ins.
//
// All calls return immediately and report their result through a callback on
// the task that made the call. A call without an answer within the timeout ends
// as StoreOutcome::kUnknown, or kNotApplied if it certainly had no effect.
//
//   auto store = (*Registry<KeyValueStore>::Find("etcd-json"))(options);
//   store->Transact(transaction, [](const StoreReply& reply) { ... });
//
// Index
//   KeyValueStoreOptions      options of a client
//   KeyValueStore             transactions, leases and watches
//   StoreWatch, StoreChange   a watch and the changes that it reports

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

// One change reported by a watch. A deleted record has an empty value.
struct StoreChange {
  StoreRecord record;
  bool deleted = false;

  bool operator==(const StoreChange&) const = default;
};

// Handle of a watch; destroying it ends the watch.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
};

// Options of a store client.
struct KeyValueStoreOptions {
  std::vector<SocketAddress> addresses;  // for failover, in order
  Duration timeout = std::chrono::seconds(2);
  // Receives store_reads_total, store_writes_total and store_watches_waiting:
  // the service bills each call, and an open watch as one. May be null.
  Metrics* metrics = nullptr;
  uint64_t seed = 1;  // of the retry jitter
};

// Client of the key-value service. It may be used only on the task that created
// it.
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

  // Creates a lease and returns its id.
  virtual void GrantLease(Duration length,
                          std::function<void(Result<int64_t>)> done) = 0;

  // Renews a lease. Returns its remaining length, or kNotFound if it has
  // expired.
  virtual void RenewLease(int64_t lease,
                          std::function<void(Result<Duration>)> done) = 0;

  // Revokes a lease, which deletes the records attached to it.
  virtual void RevokeLease(int64_t lease,
                           std::function<void(Result<int64_t>)> done) = 0;

  // Watches all keys with a prefix for changes after `after_revision`. Every
  // batch of changes has the service's revision. `on_lost` is called once if
  // the connection fails, the watch is silent for too long or it falls behind.
  // The watch has then ended, and the caller must read the state again before
  // it starts another watch.
  virtual std::unique_ptr<StoreWatch> Watch(
      const std::string& prefix,
      int64_t after_revision,
      std::function<void(int64_t revision, std::vector<StoreChange>)> on_change,
      std::function<void(Error)> on_lost) = 0;
};

}  // namespace hickorystand
