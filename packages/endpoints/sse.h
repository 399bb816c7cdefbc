// Parses and writes server-sent events.
//
// Index
//   SseParser   incremental parser
//   SseEvent    writes one event
//   kSseDone    the end marker of a completion stream

#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace hickorystand {

// Splits a byte stream, which may arrive in pieces of any size, into events and
// calls `on_data` with the data of each.
class SseParser {
 public:
  using OnData = std::function<void(std::string_view data)>;

  explicit SseParser(OnData on_data, size_t max_event_bytes = size_t{1} << 20);

  // Parses the next bytes. Returns false if an event exceeds its size limit;
  // parsing can't continue then. Without the limit, a sender that never ends an
  // event would exhaust the memory.
  bool Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line);
  void Dispatch();

  OnData on_data;
  size_t max_event_bytes;
  std::string line;  // incomplete line
  std::string data;  // of the incomplete event
  bool has_data = false;
  bool after_carriage_return = false;  // a line feed now completes a CR LF
};

// Formats one event. The data must not contain a line break.
std::string SseEvent(std::string_view data);

// The data of the event that ends a completion stream.
inline constexpr std::string_view kSseDone = "[DONE]";

}  // namespace hickorystand
