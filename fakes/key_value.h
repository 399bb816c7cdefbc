// Stand-in for the platform's key-value service: the etcd v3 JSON gateway on a
// loopback port, with switches for its faults and counters of its calls.
//
//   FakeKeyValue store;
//   store.SetFault(KeyValueFault::kReplyLost);
//
// As a program it takes faults over HTTP too:
//   POST /fake/fault {"fault":"none|down|slow|reply_lost|unavailable|
//                              silent_watch","slow_by_ms":200}
//   GET /fake/calls

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "kernel/settings.h"
#include "kernel/task.h"
#include "key_value_state.h"

namespace hickorystand::fakes {

// What is wrong with the service just now.
enum class KeyValueFault {
  kNone,
  kDown,         // connections are cut before any call is handled
  kSlow,         // every answer comes `slow_by` late
  kReplyLost,    // after a write took effect its connection is cut
  kUnavailable,  // answers 503 and does nothing
  kSilentWatch,  // watches are confirmed and then never say anything
};

// Calls since the start. The real service bills them.
struct KeyValueCalls {
  int64_t reads = 0;
  int64_t writes = 0;
  int64_t watches = 0;          // opened
  int64_t watches_waiting = 0;  // open now; each counts as a call

  bool operator==(const KeyValueCalls&) const = default;
};

// The service, on a task of its own. Its calls may come from any thread.
class FakeKeyValue {
 public:
  // Listens on an address of loopback; port 0 picks a free one.
  explicit FakeKeyValue(const SocketAddress& listen = {"127.0.0.1", 0});
  ~FakeKeyValue();
  FakeKeyValue(const FakeKeyValue&) = delete;
  FakeKeyValue& operator=(const FakeKeyValue&) = delete;

  SocketAddress Address() const;

  // Sets what is wrong from now on. Watches open now are cut by kDown only.
  void SetFault(KeyValueFault fault,
                Duration slow_by = std::chrono::milliseconds(200));

  KeyValueCalls Calls();

  // The state, to be put back later as an old backup, or to be looked at.
  KeyValueState Backup();
  void Restore(const KeyValueState& state);

  // Runs a transaction past the network and all faults.
  StoreReply Transact(const StoreTransaction& transaction);

 private:
  class Server;

  Task task{"fake-kv"};
  std::unique_ptr<Server> server;
};

}  // namespace hickorystand::fakes
