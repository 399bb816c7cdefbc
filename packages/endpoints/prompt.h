// The text of a prompt, as both sides of the engine protocol see it: how many
// tokens it will cost, and by which hashes its prefixes are known.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/json.h"

namespace hickorystand {

// Bytes of UTF-8 text that count as one token. A tokenizer would be exact, but
// each model has its own; a request's cost is corrected by the engine's count
// when it ends. Four bytes are about right for English, and too many for
// languages written with several bytes a letter, whose cost is so guessed low
// by up to a half at admission.
inline constexpr int64_t kBytesPerToken = 4;

// Bytes of prompt text in one piece of a prefix cache's index.
inline constexpr int64_t kPieceBytes = 1024;

// The text of a chat's messages (role and text of each) or of a completion's
// prompt, in order.
std::string PromptText(const Json& body);

// The estimated tokens of a text.
int64_t EstimateTokens(std::string_view text);

// XXH3-64 of each prefix that ends at a whole piece, shortest first.
std::vector<uint64_t> PrefixHashes(std::string_view text);

}  // namespace hickorystand
