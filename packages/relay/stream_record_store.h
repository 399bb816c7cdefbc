// StreamRecordStore: keeps the origins of streams in the key-value service
// while their service has several software versions, and finds them there
// (decisions/stream_records.h).
//
// Records are written some times a second and end with their lease, after the
// callers have given up. A failed call is repeated later; meanwhile the origins
// are known to the hosts alone.
//
//   StreamRecordStore records(clock, store, metrics, handlers);
//   records.Start();                   // this host is a scheduler
//   records.Find(stream, on_found);
//
// Index
//   StreamRecordHandlers   callbacks
//   StreamRecordStore      the records' reader and writer, one per host

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "decisions/stream_records.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "platform/key_value_store.h"
#include "relay/shared_store_read.h"

namespace hickorystand {

// Callbacks of StreamRecordStore.
struct StreamRecordHandlers {
  // The services whose streams are to be written.
  std::function<std::set<ServiceId>()> services;
  // Takes the streams of services that this host has to write, each once.
  std::function<std::vector<StreamReport>(const std::set<ServiceId>&)> take;
  // The hosts that write records.
  std::function<size_t()> writers;
};

// Runs on the main loop.
class StreamRecordStore {
 public:
  using OnFound = std::function<void(const std::optional<StreamProgress>&)>;

  StreamRecordStore(const Clock& clock,
                    KeyValueStore& store,
                    Metrics& metrics,
                    StreamRecordHandlers handlers);
  ~StreamRecordStore();
  StreamRecordStore(const StreamRecordStore&) = delete;
  StreamRecordStore& operator=(const StreamRecordStore&) = delete;

  // Call when this host becomes a scheduler, and when it stops to be one.
  void Start();
  void Stop() { this->timer.reset(); }

  // Reads the records and calls back with the stream's progress; nullopt if no
  // record has it or the service doesn't answer.
  void Find(StreamKey stream, OnFound on_found);

 private:
  void ArmTimer();
  void Write();
  void Fail();
  void GrantLease();
  void OnWritten(size_t streams, const StoreReply& reply);
  void OnRead(const StoreReply& reply);

  const Clock* clock;
  KeyValueStore* store;
  Metrics* metrics;
  StreamRecordHandlers handlers;
  SharedStoreRead read;
  StreamRecord found;  // as last read
  StreamRecordWriter writer;
  int64_t lease = 0;  // 0: none
  Instant lease_asked_at{};
  bool calling = false;
  Instant next_call{};  // after a failed one
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
