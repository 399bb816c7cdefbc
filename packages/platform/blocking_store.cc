#include "platform/blocking_store.h"

#include <cassert>
#include <functional>
#include <future>
#include <utility>

#include "kernel/registry.h"

namespace hickorystand {

BlockingStore::BlockingStore(const std::string& plugin,
                             const KeyValueStoreOptions& options) {
  const auto* factory = Registry<KeyValueStore>::Find(plugin);
  assert(factory != nullptr && "no key-value store bears that name");
  this->task.Call([&] { this->store = (*factory)(options); });
}

BlockingStore::~BlockingStore() {
  this->task.Call([this] { this->store.reset(); });
}

// Starts a call on the task and blocks until its callback was called.
template <typename Answer, typename Start>
Answer BlockingStore::Wait(Start start) {
  std::promise<Answer> promise;
  this->task.Post([&] {
    start([&promise](Answer answer) { promise.set_value(std::move(answer)); });
  });
  return promise.get_future().get();
}

StoreReply BlockingStore::Transact(const StoreTransaction& transaction) {
  return this->Wait<StoreReply>([&](std::function<void(StoreReply)> done) {
    this->store->Transact(transaction, std::move(done));
  });
}

Result<int64_t> BlockingStore::GrantLease(Duration length) {
  return this->Wait<Result<int64_t>>(
      [&](std::function<void(Result<int64_t>)> done) {
        this->store->GrantLease(length, std::move(done));
      });
}

Result<Duration> BlockingStore::RenewLease(int64_t lease) {
  return this->Wait<Result<Duration>>(
      [&](std::function<void(Result<Duration>)> done) {
        this->store->RenewLease(lease, std::move(done));
      });
}

Result<int64_t> BlockingStore::RevokeLease(int64_t lease) {
  return this->Wait<Result<int64_t>>(
      [&](std::function<void(Result<int64_t>)> done) {
        this->store->RevokeLease(lease, std::move(done));
      });
}

}  // namespace hickorystand
