// BlockRecordStore: keeps the requests and parts of prompts that are refused
// because endpoints crash (decisions/suspects.h) in the key-value service, for
// hosts that start when no other is left and for hosts without links.
//
// It calls the service at the start, when something is blocked, and while a
// host isn't linked.
//
//   BlockRecordStore blocks(clock, store, handlers);
//   blocks.Start();      // this host is a scheduler
//   blocks.OnBlocked();  // something was blocked, or released
//
// Index
//   EncodeBlocks, DecodeBlocks   the record's text
//   BlockRecordHandlers          callbacks
//   BlockRecordStore             the record's reader and writer, one per host

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "decisions/suspects.h"
#include "kernel/error.h"
#include "kernel/task.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// The text of a record with these blocks and their crashes, and what a record
// says. Ages are relative to `unix_ms`.
std::string EncodeBlocks(const SuspectsUpdate& blocks, int64_t unix_ms);
Result<SuspectsUpdate> DecodeBlocks(const std::string& text, int64_t unix_ms);

// Callbacks of BlockRecordStore.
struct BlockRecordHandlers {
  // The blocks that this host knows.
  std::function<SuspectsUpdate()> known;
  // The record has been read.
  std::function<void(const SuspectsUpdate&)> on_read;
  std::function<int64_t()> unix_ms;  // the fleet's time
  // Whether a listed host isn't linked and may have written the record.
  std::function<bool()> misses_links;
  // Position among the schedulers; the first one writes first.
  std::function<size_t()> rank;
};

// Runs on the main loop. Failed calls are repeated by a timer.
class BlockRecordStore {
 public:
  BlockRecordStore(const Clock& clock,
                   KeyValueStore& store,
                   BlockRecordHandlers handlers);
  ~BlockRecordStore();
  BlockRecordStore(const BlockRecordStore&) = delete;
  BlockRecordStore& operator=(const BlockRecordStore&) = delete;

  // Call when this host becomes a scheduler, and when it stops to be one.
  void Start();
  void Stop() { this->timer.reset(); }

  void OnBlocked();

 private:
  void Tick();
  void Read();
  void Write();
  void OnWritten(const std::set<CrashCause>& written, const StoreReply& reply);
  void Apply(const StoreReply& reply);
  bool IsComplete() const;

  const Clock* clock;
  KeyValueStore* store;
  BlockRecordHandlers handlers;
  std::optional<int64_t> revision;  // of the record as last read; 0: absent
  std::set<CrashCause> recorded;    // in the record as last read or written
  bool calling = false;
  bool read_needed = false;
  Instant next_read{};
  Instant write_at{};
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
