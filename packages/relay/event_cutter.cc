#include "relay/event_cutter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hickorystand {
namespace {

constexpr std::string_view kIdField = "id:";

constexpr size_t kLongestMark = 4;

// The position after the last empty line, which ends an event; 0 if there is
// none. None ends within the first `searched` bytes, which are not searched
// again: a long event that arrives in small pieces would cost quadratic time.
size_t EndOfEvents(std::string_view text, size_t searched) {
  const size_t from = searched - std::min(searched, kLongestMark - 1);
  size_t end = 0;
  for (const std::string_view mark : {"\n\n", "\r\n\r\n", "\r\r"}) {
    const size_t at = text.substr(from).rfind(mark);
    if (at != std::string_view::npos) {
      end = std::max(end, from + at + mark.size());
    }
  }
  return end;
}

}  // namespace

std::string EventCutter::Feed(std::string_view bytes) {
  const size_t searched = this->rest.size();
  this->rest += bytes;
  const size_t end = EndOfEvents(this->rest, searched);
  std::string whole = this->rest.substr(0, end);
  this->rest.erase(0, end);
  this->NoteIds(whole);
  return whole;
}

std::string EventCutter::TakePartialEvent() {
  return std::exchange(this->rest, {});
}

void EventCutter::NoteIds(std::string_view events) {
  while (!events.empty()) {
    const size_t end = std::min(events.find_first_of("\r\n"), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(end + 1, events.size()));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    int64_t id = 0;
    const auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc()) {
      this->last_id = id;
    }
  }
}

}  // namespace hickorystand
