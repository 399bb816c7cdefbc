// The body of a completion request: checked, understood as far as routing
// needs it, and rewritten for the engine.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace hickorystand {

// What a caller's JSON may cost to read.
struct JsonLimits {
  int max_depth = 32;
  int64_t max_values = 100'000;  // each takes some hundred bytes once parsed

  auto operator<=>(const JsonLimits&) const = default;
};

// Checks a text before it is parsed: UTF-8, nothing outside of strings that
// JSON doesn't know, no deeper and no more values than the limits say. The
// parser recurses by depth and skips comments, so depth can only be counted
// where comments are refused; and it ends strings at a zero character, so that
// an engine would be sent less than the caller wrote.
Result<void> CheckJsonShape(std::string_view text, const JsonLimits& limits);

// Which of the two completion calls.
enum class CompletionKind { kChat, kText };

// What a completion request asks for.
struct CompletionBody {
  std::string model;
  bool stream = false;
  bool include_usage = false;  // the caller's stream ends with the token counts
  bool batch = false;          // service_tier "flex" or "batch": may wait
  int64_t prompt_tokens = 0;   // estimated, see endpoints/prompt.h
  int64_t output_tokens = 0;   // asked for, or a guess
  std::vector<uint64_t> prefix_hashes;
  // A whole answer is put together from a stream of the engine, so that its
  // progress is seen and it can be resumed; false for what a stream can't be
  // put together from (several choices, log probabilities, tools).
  bool by_chunks = true;
  std::string engine_body;  // what the engine is sent

  bool operator==(const CompletionBody&) const = default;
};

// Reads a body. The error names what is wrong with it.
Result<CompletionBody> ParseCompletionBody(std::string_view text,
                                           CompletionKind kind,
                                           const JsonLimits& limits);

}  // namespace hickorystand
