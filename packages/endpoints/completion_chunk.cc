#include "endpoints/completion_chunk.h"

#include <vector>

#include "kernel/json.h"

namespace hickorystand {
namespace {

CompletionUsage ReadUsage(const Json& usage) {
  return {.prompt_tokens = usage.At("prompt_tokens").Integer(),
          .cached_tokens =
              usage.At("prompt_tokens_details").At("cached_tokens").Integer(),
          .completion_tokens = usage.At("completion_tokens").Integer()};
}

// The generated text of a choice, from a chat stream (delta.content), a whole
// chat answer (message.content) or a text completion (text).
Json TextOf(const Json& choice) {
  Json delta = choice.At("delta").At("content");
  if (delta.Exists()) {
    return delta;
  }
  Json message = choice.At("message").At("content");
  return message.Exists() ? message : choice.At("text");
}

void ReadChoice(const Json& choice, CompletionChunk& chunk) {
  chunk.content = TextOf(choice).Text();
  chunk.finish_reason = choice.At("finish_reason").Text();
  chunk.has_output =
      !chunk.content.empty() || choice.At("delta").At("tool_calls").Exists();
}

}  // namespace

Result<CompletionChunk> ParseCompletionChunk(std::string_view data) {
  const Result<Json> json = Json::Parse(data);
  if (!json) {
    return tl::unexpected(json.error());
  }
  if (!json->IsObject()) {
    return Fail(ErrorKind::kBadRequest, "The chunk is not an object.");
  }
  CompletionChunk chunk;
  chunk.id = json->At("id").Text();
  chunk.model = json->At("model").Text();
  chunk.created = json->At("created").Integer();
  chunk.is_error = json->At("error").Exists();
  chunk.has_usage = json->At("usage").IsObject();
  if (chunk.has_usage) {
    chunk.usage = ReadUsage(json->At("usage"));
  }
  const std::vector<Json> choices = json->At("choices").Items();
  if (!choices.empty()) {
    ReadChoice(choices.front(), chunk);
  }
  return chunk;
}

}  // namespace hickorystand
