// Parses one chunk of a completion, or a whole one, as sent by an engine in the
// OpenAI format.
//
// Example:
//   const Result<CompletionChunk> chunk = ParseCompletionChunk(event_data);

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/error.h"

namespace hickorystand {

// Token counts reported by an engine.
struct CompletionUsage {
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  int64_t completion_tokens = 0;  // of the whole answer, across resumptions

  bool operator==(const CompletionUsage&) const = default;
};

// The content of one stream event or of a whole answer.
struct CompletionChunk {
  std::string id;
  std::string model;
  int64_t created = 0;
  std::string content;        // generated text of the first choice
  std::string finish_reason;  // empty: not finished
  bool has_output = false;    // counts as one token
  bool has_usage = false;
  CompletionUsage usage;
  bool is_error = false;

  bool operator==(const CompletionChunk&) const = default;
};

// Parses an event's data or the body of a whole answer. Fails if it is not a
// JSON object; missing members keep their defaults.
Result<CompletionChunk> ParseCompletionChunk(std::string_view data);

}  // namespace hickorystand
