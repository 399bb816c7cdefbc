// Server-sent events, read from bytes that come in pieces of any size.

#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace hickorystand {

// Splits a byte stream into events and hands out the data of each.
class SseParser {
 public:
  using OnData = std::function<void(std::string_view data)>;

  explicit SseParser(OnData on_data, size_t max_event_bytes = size_t{1} << 20);

  // Takes the next bytes. False when an event is over its limit; then the
  // stream can't be read on. A sender that never ends its event would
  // otherwise fill the memory.
  bool Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line);
  void Dispatch();

  OnData on_data;
  size_t max_event_bytes;
  std::string line;  // begun but not ended
  std::string data;  // of the event so far
  bool has_data = false;
  bool after_return = false;  // a line feed now belongs to the last line's end
};

// The data as one event in the wire format. It must not hold a line feed.
std::string SseEvent(std::string_view data);

// The data of the event that ends a stream of completions.
inline constexpr std::string_view kSseDone = "[DONE]";

}  // namespace hickorystand
