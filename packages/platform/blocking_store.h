// A blocking client of the key-value service, for sequential programs such as
// the operators' command-line client.
//
//   BlockingStore store("etcd-json", {.addresses = {address}});
//   const StoreReply reply = store.Transact(transaction);

#pragma once

#include <memory>
#include <string>

#include "kernel/error.h"
#include "kernel/task.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// Runs a KeyValueStore on its own task. Each call blocks until the reply or the
// client's timeout, with the results and errors of KeyValueStore.
class BlockingStore {
 public:
  // `plugin` is the name of a registered KeyValueStore (asserted).
  BlockingStore(const std::string& plugin, const KeyValueStoreOptions& options);
  ~BlockingStore();
  BlockingStore(const BlockingStore&) = delete;
  BlockingStore& operator=(const BlockingStore&) = delete;

  StoreReply Transact(const StoreTransaction& transaction);
  Result<int64_t> GrantLease(Duration length);
  Result<Duration> RenewLease(int64_t lease);
  Result<int64_t> RevokeLease(int64_t lease);

  // The asynchronous client and its task, for example for watches. The client
  // must be used on the task only.
  Task& StoreTask() { return this->task; }
  KeyValueStore& Store() { return *this->store; }

 private:
  template <typename Answer, typename Start>
  Answer Wait(Start start);

  Task task{"store"};
  std::unique_ptr<KeyValueStore> store;
};

}  // namespace hickorystand
