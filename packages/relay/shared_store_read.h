// SharedStoreRead: one read of the key-value service for all that wait for it.
//
// A waiter is answered by a read that was sent after it asked, so that it sees
// everything that was acknowledged before. One read is open at a time.
//
//   SharedStoreRead read(clock, store, {StoreGet(key)}, timeout, on_reply);
//   read.Await([](bool answered) { ... });  // `on_reply` has seen the reply
//
// Index
//   SharedStoreRead   the read

#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "kernel/task.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// Runs on the main loop.
class SharedStoreRead {
 public:
  // Whether the service answered. If so, the reply was passed on before.
  using OnEnd = std::function<void(bool answered)>;
  // The reply, and when the read was sent.
  using OnReply = std::function<void(Instant asked_at, const StoreReply&)>;

  SharedStoreRead(const Clock& clock,
                  KeyValueStore& store,
                  std::vector<StoreOperation> operations,
                  Duration timeout,
                  OnReply on_reply);
  ~SharedStoreRead();
  SharedStoreRead(const SharedStoreRead&) = delete;
  SharedStoreRead& operator=(const SharedStoreRead&) = delete;

  // Reads, unless a read is open.
  void Read();

  // Reads and calls back, after the timeout at the latest, and at once while
  // the service is known not to answer.
  void Await(OnEnd on_end);

 private:
  // An open read, and the waiters that asked before it was sent.
  struct OpenRead {
    std::vector<OnEnd> waiters;
    std::unique_ptr<Timer> timeout;  // null after it has fired
  };

  void OnReplied(const std::shared_ptr<OpenRead>& read,
                 Instant asked_at,
                 const StoreReply& reply);
  static void Finish(OpenRead& read, bool answered);

  const Clock* clock;
  KeyValueStore* store;
  std::vector<StoreOperation> operations;
  Duration timeout;
  OnReply on_reply;
  std::vector<OnEnd> waiters;  // for the next read
  std::shared_ptr<OpenRead> open;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
