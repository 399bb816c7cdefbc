#include "relay/shared_store_read.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorystand {

SharedStoreRead::SharedStoreRead(const Clock& clock,
                                 KeyValueStore& store,
                                 std::vector<StoreOperation> operations,
                                 Duration timeout,
                                 OnReply on_reply)
    : clock(&clock),
      store(&store),
      operations(std::move(operations)),
      timeout(timeout),
      on_reply(std::move(on_reply)) {}

SharedStoreRead::~SharedStoreRead() {
  *this->alive = false;
  if (this->open) {
    this->open->timeout.reset();
  }
}

void SharedStoreRead::Await(OnEnd on_end) {
  const bool silent = this->open && !this->open->timeout;
  if (silent) {
    on_end(false);
    return;
  }
  this->waiters.push_back(std::move(on_end));
  this->Read();
}

void SharedStoreRead::Read() {
  if (this->open) {
    return;
  }
  const auto read = std::make_shared<OpenRead>();
  read->waiters = std::exchange(this->waiters, {});
  read->timeout = Timer::After(this->timeout, [this, read] {
    std::ranges::move(std::exchange(this->waiters, {}),
                      std::back_inserter(read->waiters));
    Finish(*read, false);
  });
  this->open = read;
  this->store->Transact(
      {.then = this->operations},
      [this, alive = this->alive, read,
       asked_at = this->clock->Now()](const StoreReply& reply) {
        if (*alive) {
          this->OnReplied(read, asked_at, reply);
        }
      });
}

void SharedStoreRead::OnReplied(const std::shared_ptr<OpenRead>& read,
                                Instant asked_at,
                                const StoreReply& reply) {
  if (this->open == read) {
    this->open.reset();
  }
  const bool answered = reply.outcome == StoreOutcome::kThen;
  if (answered) {
    this->on_reply(asked_at, reply);
  }
  Finish(*read, answered);
  if (!this->waiters.empty()) {
    this->Read();
  }
}

void SharedStoreRead::Finish(OpenRead& read, bool answered) {
  // It may have called this, and keeps `read` alive.
  const std::unique_ptr<Timer> timeout = std::move(read.timeout);
  for (const OnEnd& waiter : std::exchange(read.waiters, {})) {
    waiter(answered);
  }
}

}  // namespace hickorystand
