#include "gateway/caller_error.h"

#include <algorithm>
#include <chrono>

#include "kernel/json.h"

namespace hickorystand {

std::string ErrorBody(const Error& error) {
  static const Json kNull = Json::Parse("null").value();
  const ErrorAnswer& answer = AnswerFor(error.kind);
  JsonWriter out;
  out.BeginObject().Name("error").BeginObject();
  out.Member("message", error.message).Member("type", answer.type);
  out.Member("param", kNull).Member("code", answer.code);
  return out.EndObject().EndObject().Text();
}

HttpHeaders ErrorHeaders(const Error& error) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  HttpHeaders headers = {
      {"Content-Type", "application/json"},
      {"x-should-retry", answer.retry ? "true" : "false"},
  };
  if (error.retry_after && answer.retry) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    headers.push_back(
        {"Retry-After", std::to_string(std::max<int64_t>(1, seconds))});
  }
  return headers;
}

void AnswerError(const HttpCallPtr& call,
                 const RequestId& request,
                 const Error& error) {
  HttpHeaders headers = ErrorHeaders(error);
  headers.push_back({"X-Request-Id", request.Text()});
  call->Answer(AnswerFor(error.kind).status, headers, ErrorBody(error));
}

}  // namespace hickorystand
