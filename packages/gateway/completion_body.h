// Parses the body of a completion request: validates it, extracts what routing
// needs, and rewrites it for the engine.
//
// Index
//   kBodyLimits           limits on the JSON of a caller
//   CompletionBody        the parsed body
//   ParseCompletionBody   validates, parses and rewrites a body

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/json.h"

namespace hickorystand {

// Limits on a caller's body. U+0000 is refused because an endpoint may end a
// string there and would get less than the caller sent.
inline constexpr JsonLimits kBodyLimits = {.max_depth = 32,
                                           .max_values = 100'000,
                                           .allow_nul = false};

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
