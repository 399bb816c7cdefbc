// One piece of a completion as an engine sends it, in the OpenAI shape.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/error.h"

namespace hickorystand {

// The token counts that an engine reports.
struct CompletionUsage {
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  int64_t completion_tokens = 0;  // of the whole answer, over all resumptions

  bool operator==(const CompletionUsage&) const = default;
};

// What one event of a stream, or a whole answer, says.
struct CompletionChunk {
  std::string id;
  std::string model;
  int64_t created = 0;
  std::string content;        // text generated, of the first choice
  std::string finish_reason;  // empty: not finished
  bool has_output = false;    // counts as one token
  bool has_usage = false;
  CompletionUsage usage;
  bool is_error = false;

  bool operator==(const CompletionChunk&) const = default;
};

// Reads an event's data, or the body of a whole answer.
Result<CompletionChunk> ParseCompletionChunk(std::string_view data);

}  // namespace hickorystand
