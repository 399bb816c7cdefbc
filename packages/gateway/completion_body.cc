#include "gateway/completion_body.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "endpoints/prompt.h"
#include "kernel/json.h"

namespace hickorystand {
namespace {

// Assumed length of an answer if the caller sets no limit, in tokens.
constexpr int64_t kDefaultOutputTokens = 256;
constexpr int64_t kMaxOutputTokens = int64_t{1} << 20;

constexpr std::string_view kZeroEscape = "\\u0000";
// The bytes allowed outside of strings: white space, punctuation, numbers, and
// the letters of true, false and null.
constexpr std::string_view kJsonBytes = " \t\r\n{}[]:,+-.0123456789eEtrufalsn";

// Limits on the length and value of a number. Beyond them the parser may read
// infinity, which can't be written back as JSON.
constexpr std::string_view kNumberBytes = "0123456789.eE+-";
constexpr size_t kMaxNumberBytes = 40;
constexpr double kMaxNumber = 1e300;

// Request members whose answers consist of more than one text that grows, so
// that they can't be assembled from a stream.
constexpr std::array<std::string_view, 6> kUnstreamableMembers = {
    "tools", "functions", "logprobs", "best_of", "echo", "audio"};

Result<void> BadBody(std::string message) {
  return Fail(ErrorKind::kBadRequest, std::move(message));
}

bool IsUtf8(std::string_view text) {
  return g_utf8_validate(text.data(), static_cast<gssize>(text.size()),
                         nullptr) != FALSE;
}

// Advances `at` from the opening to the closing quote of a string. Fails if the
// string is unterminated or contains "\u0000".
Result<void> SkipString(std::string_view text, size_t& at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] != '\\') {
      continue;
    }
    if (text.substr(at).starts_with(kZeroEscape)) {
      return BadBody("The body contains the character \\u0000.");
    }
    ++at;
  }
  return at < text.size() ? Result<void>()
                          : BadBody("The body ends within a string.");
}

// Advances `at` from the first to the last byte of a number. Fails if the
// number is out of range.
Result<void> SkipNumber(std::string_view text, size_t& at) {
  const size_t end =
      std::min(text.find_first_not_of(kNumberBytes, at), text.size());
  const std::string number(text.substr(at, end - at));
  if (number.size() > kMaxNumberBytes ||
      std::abs(g_ascii_strtod(number.c_str(), nullptr)) > kMaxNumber) {
    return BadBody("The body contains a number out of range.");
  }
  at = end - 1;
  return {};
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

Result<void> CheckJsonShape(std::string_view text, const JsonLimits& limits) {
  if (!IsUtf8(text)) {
    return BadBody("The body is not valid UTF-8.");
  }
  int depth = 0;
  int64_t values = 0;
  for (size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (c == '"') {
      const Result<void> skipped = SkipString(text, at);
      if (!skipped) {
        return skipped;
      }
    } else if (c == '-' || g_ascii_isdigit(c)) {
      const Result<void> skipped = SkipNumber(text, at);
      if (!skipped) {
        return skipped;
      }
    } else if (c == '{' || c == '[') {
      ++values;
      if (++depth > limits.max_depth) {
        return BadBody("The body nests too deep.");
      }
    } else if (c == '}' || c == ']') {
      --depth;
    } else if (c == ',') {
      ++values;
    } else if (kJsonBytes.find(c) == std::string_view::npos) {
      return BadBody("The body is not JSON.");
    }
    if (values > limits.max_values) {
      return BadBody("The body has too many values.");
    }
  }
  return {};
}

Result<CompletionBody> ParseCompletionBody(std::string_view text,
                                           CompletionKind kind,
                                           const JsonLimits& limits) {
  const Result<Json> json =
      CheckJsonShape(text, limits).and_then([&] { return Json::Parse(text); });
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
  // The parser converts an unpaired surrogate into bytes that are not UTF-8.
  if (!IsUtf8(body.engine_body) || !IsUtf8(prompt)) {
    return Fail(ErrorKind::kBadRequest,
                "The body contains half a surrogate pair.");
  }
  return body;
}

}  // namespace hickorystand
