// Where streams began, as records in the key-value service for callers that
// continue a stream after the loss of all hosts (decisions/stream_directory.h).
//
// A host writes the streams of up to a second into one record, and adds to it
// until it is closed. A record is never changed after a call without an answer,
// since that call may still take effect. Streams whose records disagree are of
// unknown origin.
//
//   StreamRecordWriter writer(options);
//   writer.Add(now, reports);
//   if (const auto wanted = writer.Next(now)) { /* write wanted->text */ }
//   writer.OnWritten(now, true);
//
// Index
//   StreamRecord                             origins of streams
//   EncodeStreamRecord, DecodeStreamRecord   its text
//   StreamRecordOptions                      sizes and times
//   StreamRecordWriter                       decides what a host writes

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decisions/stream_directory.h"
#include "kernel/error.h"
#include "kernel/time.h"

namespace hickorystand {

// Origins of streams.
class StreamRecord {
 public:
  using Origins = std::map<StreamKey, std::optional<StreamOrigin>>;

  // Adds the origin of a stream; nullopt if it is certainly unknown, which it
  // also is if this and an earlier one differ.
  void Add(StreamKey stream, const std::optional<StreamOrigin>& origin);
  void Add(const StreamRecord& other);

  // The stream's progress; nullopt if it isn't in the record.
  std::optional<StreamProgress> Find(StreamKey stream) const;

  const Origins& All() const { return this->origins; }
  size_t Size() const { return this->origins.size(); }

  auto operator<=>(const StreamRecord&) const = default;

 private:
  Origins origins;
};

// The record's text. Decoding ignores members that it doesn't know.
std::string EncodeStreamRecord(const StreamRecord& record);
Result<StreamRecord> DecodeStreamRecord(const std::string& text);

// Sizes and times.
struct StreamRecordOptions {
  // A record is closed when it is this old or has this many streams: with each
  // stream that is added, all of it is written again.
  Duration max_open = std::chrono::seconds(1);
  size_t close_at = 64;
  size_t max_streams = 4000;  // of a record
  // Streams that wait to be written; the oldest are dropped.
  size_t max_waiting = 20000;

  auto operator<=>(const StreamRecordOptions&) const = default;
};

// A record to be written, under a key that ends in this number.
struct StreamRecordWrite {
  int64_t number = 0;
  std::string text;

  auto operator<=>(const StreamRecordWrite&) const = default;
};

// What one host writes. One write may be open at a time.
class StreamRecordWriter {
 public:
  explicit StreamRecordWriter(const StreamRecordOptions& options = {})
      : options(options) {}

  // Adds origins to be written before their callers have given up.
  void Add(Instant now, const std::vector<StreamReport>& reports);

  // The next write; nullopt if nothing waits.
  std::optional<StreamRecordWrite> Next(Instant now);

  // The last write was acknowledged, or it failed or got no answer.
  void OnWritten(Instant now, bool acknowledged);

  // From now on the streams are written under other keys.
  void CloseRecord() { this->record.reset(); }

  size_t Waiting() const { return this->waiting.size(); }

  // The streams that the open write adds.
  size_t Sending() const { return this->sending; }

  // Returns how many streams were dropped or expired before they were written,
  // since the last call.
  int64_t TakeLost() { return std::exchange(this->lost, 0); }

 private:
  struct WaitingStream {
    StreamKey stream = 0;
    std::optional<StreamOrigin> origin;
    Instant expires{};
  };
  struct OpenRecord {
    int64_t number = 0;
    Instant since{};
    StreamRecord written;
  };

  void DropExpired(Instant now);

  StreamRecordOptions options;
  std::vector<WaitingStream> waiting;
  std::optional<OpenRecord> record;
  StreamRecord writing;  // contents of the open write
  size_t sending = 0;    // how many of `waiting` it adds
  int64_t last_number = 0;
  int64_t lost = 0;
};

}  // namespace hickorystand
