// Writes errors to callers in the OpenAI format, so that an unmodified OpenAI
// client library raises the matching exception and retries only requests that
// may be retried.
//
// Example:
//   AnswerError(call, request_id, {ErrorKind::kBadKey, "..."});

#pragma once

#include <string>

#include "http/http_server.h"
#include "http/http_types.h"
#include "kernel/error.h"
#include "kernel/ids.h"

namespace hickorystand {

// The JSON error object: {"error":{"message","type","param","code"}}.
std::string ErrorBody(const Error& error);

// The headers of an error response: Content-Type, x-should-retry and, for a
// retryable error with a known delay, Retry-After in whole seconds (rounded up,
// at least 1).
HttpHeaders ErrorHeaders(const Error& error);

// Answers a call with an error. Must not be used once a response was started:
// its status and headers can no longer be changed.
void AnswerError(const HttpCallPtr& call,
                 const RequestId& request,
                 const Error& error);

}  // namespace hickorystand
