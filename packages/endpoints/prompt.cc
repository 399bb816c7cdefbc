#include "endpoints/prompt.h"

#include <xxhash.h>

#include <memory>

namespace hickorystand {
namespace {

// The text of a message's content, which is either a string or a list of parts.
std::string ContentText(const Json& content) {
  if (content.IsText()) {
    return content.Text();
  }
  std::string text;
  for (const Json& part : content.Items()) {
    text += part.IsText() ? part.Text() : part.At("text").Text();
  }
  return text;
}

struct HashStateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

}  // namespace

std::string PromptText(const Json& body) {
  if (body.At("prompt").Exists()) {
    return ContentText(body.At("prompt"));
  }
  std::string text;
  for (const Json& message : body.At("messages").Items()) {
    text += message.At("role").Text() + "\n" +
            ContentText(message.At("content")) + "\n";
  }
  return text;
}

int64_t EstimateTokens(std::string_view text) {
  return (std::ssize(text) + kBytesPerToken - 1) / kBytesPerToken;
}

std::vector<uint64_t> PrefixHashes(std::string_view text) {
  const std::unique_ptr<XXH3_state_t, HashStateDeleter> state(
      XXH3_createState());
  XXH3_64bits_reset(state.get());
  std::vector<uint64_t> hashes;
  while (std::ssize(text) >= kPieceBytes) {
    XXH3_64bits_update(state.get(), text.data(), kPieceBytes);
    hashes.push_back(XXH3_64bits_digest(state.get()));
    text.remove_prefix(kPieceBytes);
  }
  return hashes;
}

}  // namespace hickorystand
