// Stand-in for the platform's key-value service: implements the etcd v3 JSON
// gateway on a loopback port, with injectable faults and counters of calls.
//
//   FakeKeyValue store;
//   store.SetFault(KeyValueFault::kReplyLost);
//
// Faults can also be set, and counters read, over HTTP:
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

// Faults that can be injected into the service.
enum class KeyValueFault {
  kNone,
  kDown,         // resets connections before a call is handled
  kSlow,         // delays every answer by `slow_by`
  kReplyLost,    // resets the connection after a write took effect
  kUnavailable,  // answers 503 without executing the call
  kSilentWatch,  // confirms watches, but sends no events
};

// Numbers of calls since the start; the real service bills each call.
struct KeyValueCalls {
  int64_t reads = 0;
  int64_t writes = 0;
  int64_t watches = 0;          // opened
  int64_t watches_waiting = 0;  // open now; each is billed as a call

  bool operator==(const KeyValueCalls&) const = default;
};

// The service. It runs on its own task; public functions may be called from any
// thread.
class FakeKeyValue {
 public:
  // Listens on a loopback address; port 0 picks a free port.
  explicit FakeKeyValue(const SocketAddress& listen = {"127.0.0.1", 0});
  ~FakeKeyValue();
  FakeKeyValue(const FakeKeyValue&) = delete;
  FakeKeyValue& operator=(const FakeKeyValue&) = delete;

  SocketAddress Address() const;

  // Sets the fault of later calls. kDown also resets the open watches;
  // kSilentWatch silences them for good; the other faults do not affect them.
  void SetFault(KeyValueFault fault,
                Duration slow_by = std::chrono::milliseconds(200));

  KeyValueCalls Calls();

  // Copies the state, for inspection or to restore it later as an old backup.
  KeyValueState Backup();
  void Restore(const KeyValueState& state);

  // Executes a transaction directly, bypassing the network and all faults.
  StoreReply Transact(const StoreTransaction& transaction);

 private:
  class Server;

  Task task{"fake-kv"};
  std::unique_ptr<Server> server;
};

}  // namespace hickorystand::fakes
