// Cuts a stream of events at whole events, without reading what they say.
//
// An endpoint may stop in the middle of an event. A caller that was sent half
// of one couldn't go on with the rest from another endpoint.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorystand {

class EventCutter {
 public:
  // Takes the next bytes and answers the whole events that are complete now,
  // as they came; empty if none is.
  std::string Feed(std::string_view bytes);

  // What is left behind the last whole event.
  std::string TakeRest();

  // Forgets the begun event: a new run repeats it.
  void DropRest() { this->rest.clear(); }

  // The caller has all events up to this one.
  void ResumeAfter(int64_t id) { this->last_id = id; }

  // Whether bytes of an event that hasn't ended are held.
  bool HoldsRest() const { return !this->rest.empty(); }

  // The id of the last whole event, if any bore one.
  std::optional<int64_t> LastId() const { return this->last_id; }

 private:
  void NoteIds(std::string_view events);

  std::string rest;
  std::optional<int64_t> last_id;
};

}  // namespace hickorystand
