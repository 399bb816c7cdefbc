// Parses the body of a completion request: validates it, extracts what routing
// needs, and rewrites it for the engine.
//
// Index
//   JsonLimits            limits on the JSON of a caller
//   CheckJsonShape        validation before the JSON is parsed
//   CompletionBody        the parsed body
//   ParseCompletionBody   validates, parses and rewrites a body

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace hickorystand {

// Limits on the memory and stack that parsing a caller's JSON may take.
struct JsonLimits {
  int max_depth = 32;
  int64_t max_values = 100'000;  // a parsed value takes a few hundred bytes

  auto operator<=>(const JsonLimits&) const = default;
};

// Validates a text before it is parsed: it must be UTF-8, contain only JSON
// characters outside of strings, and stay within the limits on nesting depth
// and number of values. Depth is limited because the parser recurses. Comments
// are rejected because the parser skips them, which would make the depth
// counted here wrong. "\u0000" is rejected because the parser ends a string
// there, and the engine would receive less than the caller sent.
Result<void> CheckJsonShape(std::string_view text, const JsonLimits& limits);

// The two completion calls: /v1/chat/completions and /v1/completions.
enum class CompletionKind { kChat, kText };

// A parsed completion request.
struct CompletionBody {
  std::string model;
  bool stream = false;
  bool include_usage = false;  // the caller's stream ends with token counts
  bool batch = false;          // service_tier "flex" or "batch": low priority
  int64_t prompt_tokens = 0;   // estimated, see endpoints/prompt.h
  int64_t output_tokens = 0;   // requested limit, or a default
  std::vector<uint64_t> prefix_hashes;
  // Whether the engine is asked to stream. An answer that the caller wants
  // whole is then assembled from the stream, so that progress is visible and
  // the answer can be resumed at another endpoint. False where a whole answer
  // can't be assembled from a stream (several choices, log probabilities,
  // tools).
  bool use_engine_stream = true;
  std::string engine_body;  // the body sent to the engine

  bool operator==(const CompletionBody&) const = default;
};

// Validates and parses a body. Fails with kBadRequest and a message for the
// caller that names the first problem.
Result<CompletionBody> ParseCompletionBody(std::string_view text,
                                           CompletionKind kind,
                                           const JsonLimits& limits);

}  // namespace hickorystand
