// The key-value service for programs that do one thing at a time, such as the
// operators' client: each call waits for its answer.

#pragma once

#include <memory>
#include <string>

#include "kernel/error.h"
#include "kernel/task.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// A store client on a task of its own.
class BlockingStore {
 public:
  // `plugin` names the KeyValueStore; asserts that there is one.
  BlockingStore(const std::string& plugin, const KeyValueStoreOptions& options);
  ~BlockingStore();
  BlockingStore(const BlockingStore&) = delete;
  BlockingStore& operator=(const BlockingStore&) = delete;

  StoreReply Transact(const StoreTransaction& transaction);
  Result<int64_t> GrantLease(Duration length);
  Result<Duration> RenewLease(int64_t lease);
  Result<int64_t> RevokeLease(int64_t lease);

  // The client and its task, for what needs no waiting, such as watches.
  Task& StoreTask() { return this->task; }
  KeyValueStore& Store() { return *this->store; }

 private:
  template <typename Answer, typename Start>
  Answer Wait(Start start);

  Task task{"store"};
  std::unique_ptr<KeyValueStore> store;
};

}  // namespace hickorystand
