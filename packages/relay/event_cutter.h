// Splits a stream of server-sent events at event boundaries, without parsing
// their data.
//
// An endpoint may fail in the middle of an event. A stream that is resumed at
// another endpoint continues with a complete event, so a caller must never
// receive part of one.
//
//   EventCutter cutter;
//   caller->Send(cutter.Feed(bytes));
//   ... resume after cutter.LastId() ...

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorystand {

// Buffers the incomplete event at the end of the stream, and records the id of
// the last complete one.
class EventCutter {
 public:
  // Adds bytes of the stream and returns the events that are complete now,
  // unchanged; empty if there is none.
  std::string Feed(std::string_view bytes);

  // Removes and returns the bytes after the last complete event.
  std::string TakePartialEvent();

  // Discards the incomplete event, since a new run repeats it.
  void DropPartialEvent() { this->rest.clear(); }

  // Sets the id of the last event that the caller received.
  void ResumeAfter(int64_t id) { this->last_id = id; }

  // Whether bytes of an incomplete event are buffered.
  bool HasPartialEvent() const { return !this->rest.empty(); }

  // How many bytes of an incomplete event are buffered.
  size_t PartialEventBytes() const { return this->rest.size(); }

  // The id of the last complete event that had one.
  std::optional<int64_t> LastId() const { return this->last_id; }

 private:
  void NoteIds(std::string_view events);

  std::string rest;
  std::optional<int64_t> last_id;
};

}  // namespace hickorystand
