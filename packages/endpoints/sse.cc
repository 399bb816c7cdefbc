#include "endpoints/sse.h"

#include <cassert>
#include <utility>

namespace hickorystand {

SseParser::SseParser(OnData on_data, size_t max_event_bytes)
    : on_data(std::move(on_data)), max_event_bytes(max_event_bytes) {}

bool SseParser::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    if (std::exchange(this->after_carriage_return, false) &&
        bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const size_t end = bytes.find_first_of("\r\n");
    if (end == std::string_view::npos) {
      this->line.append(bytes);
      break;
    }
    this->after_carriage_return = bytes[end] == '\r';
    if (this->line.empty()) {
      this->TakeLine(bytes.substr(0, end));
    } else {
      this->line.append(bytes.substr(0, end));
      this->TakeLine(std::exchange(this->line, {}));
    }
    bytes.remove_prefix(end + 1);
    if (this->data.size() > this->max_event_bytes) {
      return false;
    }
  }
  return this->line.size() + this->data.size() <= this->max_event_bytes;
}

// Ignores fields other than "data", and comments, which begin with a colon:
// neither is needed here.
void SseParser::TakeLine(std::string_view text) {
  constexpr std::string_view kField = "data:";
  if (text.empty()) {
    this->Dispatch();
    return;
  }
  if (!text.starts_with(kField)) {
    return;
  }
  text.remove_prefix(kField.size());
  if (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  if (this->has_data) {
    this->data += '\n';
  }
  this->has_data = true;
  this->data += text;
}

void SseParser::Dispatch() {
  if (std::exchange(this->has_data, false)) {
    const std::string event = std::exchange(this->data, {});
    this->on_data(event);
  }
}

std::string SseEvent(std::string_view data) {
  assert(data.find_first_of("\r\n") == std::string_view::npos &&
         "an event's data is one line");
  std::string event = "data: ";
  return event.append(data).append("\n\n");
}

}  // namespace hickorystand
