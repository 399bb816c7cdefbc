// How a failure is written to a caller, so that an ordinary OpenAI client
// library raises the right exception and retries only what may be retried.

#pragma once

#include <string>

#include "http/http_server.h"
#include "http/http_types.h"
#include "kernel/error.h"
#include "kernel/ids.h"

namespace hickorystand {

// The JSON error object: {"error":{"message","type","param","code"}}.
std::string ErrorBody(const Error& error);

// Content-Type, x-should-retry and, when the time is known, Retry-After in
// whole seconds, at least 1.
HttpHeaders ErrorHeaders(const Error& error);

// Answers a call with an error. An answer that has begun can't be turned into
// another; the caller of this function must not have begun one.
void AnswerError(const HttpCallPtr& call,
                 const RequestId& request,
                 const Error& error);

}  // namespace hickorystand
