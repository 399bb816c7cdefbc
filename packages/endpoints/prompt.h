// The text of a prompt, its estimated tokens, and the hashes of its prefixes.
// Gateway and engines must compute the same hashes, since engines report the
// contents of their prefix caches by hash.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/json.h"

namespace hickorystand {

// Bytes of UTF-8 text that are estimated as one token. A tokenizer would be
// exact, but each model has its own; the engine's count replaces the estimate
// when the request ends. 4 bytes are about right for English. For languages
// with several bytes per letter they are too many, and the cost at admission is
// underestimated by up to a half.
inline constexpr int64_t kBytesPerToken = 4;

// Bytes of prompt text in one piece (block) of a prefix cache's index.
inline constexpr int64_t kPieceBytes = 1024;

// The text of a chat request's messages (role and content of each, in order) or
// of a text completion's prompt.
std::string PromptText(const Json& body);

// The estimated number of tokens of a text, rounded up.
int64_t EstimateTokens(std::string_view text);

// The XXH3-64 hash of each prefix that consists of whole pieces, shortest
// first. A remainder shorter than kPieceBytes is not hashed.
std::vector<uint64_t> PrefixHashes(std::string_view text);

}  // namespace hickorystand
