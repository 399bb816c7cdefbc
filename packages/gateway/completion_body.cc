#include "gateway/completion_body.h"

#include <algorithm>
#include <array>
#include <string>

#include "endpoints/prompt.h"

namespace hickorystand {
namespace {

// Assumed length of an answer if the caller sets no limit, in tokens.
constexpr int64_t kDefaultOutputTokens = 256;
constexpr int64_t kMaxOutputTokens = int64_t{1} << 20;

// Request members whose answers consist of more than one text that grows, so
// that they can't be assembled from a stream.
constexpr std::array<std::string_view, 6> kUnstreamableMembers = {
    "tools", "functions", "logprobs", "best_of", "echo", "audio"};

Result<void> BadBody(std::string message) {
  return Fail(ErrorKind::kBadRequest, std::move(message));
}

bool NeedsWholeAnswer(const Json& json) {
  if (json.At("n").Integer(1) != 1) {
    return true;
  }
  return std::ranges::any_of(kUnstreamableMembers, [&](std::string_view name) {
    const Json member = json.At(name);
    return member.Exists() && !(member.IsFlag() && !member.Flag());
  });
}

Result<void> CheckTypes(const Json& json, CompletionKind kind) {
  if (!json.IsObject()) {
    return BadBody("The body must be a JSON object.");
  }
  if (!json.At("model").IsText()) {
    return BadBody("'model' must be a string.");
  }
  if (kind == CompletionKind::kChat &&
      (!json.At("messages").IsArray() || json.At("messages").Items().empty())) {
    return BadBody("'messages' must be a list that is not empty.");
  }
  const Json prompt = json.At("prompt");
  if (kind == CompletionKind::kText && !prompt.IsText() && !prompt.IsArray()) {
    return BadBody("'prompt' must be a string or a list.");
  }
  // An engine that is asked for 0 tokens sends no stream, and the caller would
  // wait for one until its deadline.
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    if (json.At(name).IsNumber() && json.At(name).Number() < 1) {
      return BadBody(std::string("'") + name + "' must be at least 1.");
    }
  }
  if (json.At("stream").Exists() && !json.At("stream").IsFlag()) {
    return BadBody("'stream' must be true or false.");
  }
  return {};
}

int64_t OutputTokens(const Json& json) {
  const Json newer = json.At("max_completion_tokens");
  const Json limit = newer.IsInteger() ? newer : json.At("max_tokens");
  return std::clamp<int64_t>(limit.Integer(kDefaultOutputTokens), 1,
                             kMaxOutputTokens);
}

// The caller's body, changed to request a stream that ends with the token
// counts.
std::string StreamingBody(const Json& json) {
  JsonWriter out;
  out.BeginObject();
  for (const std::string& name : json.Names()) {
    if (name != "stream" && name != "stream_options") {
      out.Member(name, json.At(name));
    }
  }
  out.Member("stream", true);
  out.Name("stream_options").BeginObject();
  out.Member("include_usage", true).EndObject();
  return out.EndObject().Text();
}

}  // namespace

Result<CompletionBody> ParseCompletionBody(std::string_view text,
                                           CompletionKind kind,
                                           const JsonLimits& limits) {
  const Result<Json> json = Json::Parse(text, limits);
  if (!json) {
    return tl::unexpected(json.error());
  }
  const Result<void> checked = CheckTypes(*json, kind);
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  const std::string prompt = PromptText(*json);
  const std::string tier = json->At("service_tier").Text();
  CompletionBody body;
  body.model = json->At("model").Text();
  body.stream = json->At("stream").Flag();
  body.include_usage = json->At("stream_options").At("include_usage").Flag();
  body.batch = tier == "flex" || tier == "batch";
  body.prompt_tokens = EstimateTokens(prompt);
  body.output_tokens = OutputTokens(*json);
  body.prefix_hashes = PrefixHashes(prompt);
  body.use_engine_stream = body.stream || !NeedsWholeAnswer(*json);
  body.engine_body =
      body.use_engine_stream ? StreamingBody(*json) : std::string(text);
  return body;
}

}  // namespace hickorystand
