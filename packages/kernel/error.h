// The closed list of error kinds, and the answer that each one gets.
//
// Every refusal and failure in the system is one of these kinds. What a caller
// is told (HTTP status, type, code, whether to retry, whether it ran) is looked
// up in one table, so that two parts can't answer the same failure differently.

#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "kernel/time.h"

namespace hickorystand {

// What went wrong. Add a kind here and its row in error.cc together.
enum class ErrorKind {
  kBadRequest,          // the caller's request can't be understood
  kTooLarge,            // a body, header or field is over its limit
  kBadKey,              // no key, an unknown one or a revoked one
  kUnknownModel,        // no such service for this account
  kNotFound,            // no such path or record
  kConflict,            // somebody else changed the record first
  kDuplicate,           // this non-idempotent request was sent before
  kOverloaded,          // refused by admission; not run
  kRateLimited,         // over the client account's limit; not run
  kDeadlineUnmeetable,  // would be too late; not run
  kNoEndpoint,          // no endpoint can take it now; not run
  kSuspectRequest,      // crashed the endpoints that ran it; not run
  kClaimUnavailable,    // a claim can't be made now; not run
  kShuttingDown,        // this host is leaving; not run
  kOutcomeUnknown,      // may have run: neither success nor failure is known
  kEndpointFailed,      // failed at the endpoint, which may have run it
  kBrokenAnswer,        // the answer was cut short and can't be resumed
  kTimeout,             // no progress in time
  kPlatformDown,        // the platform's service can't be reached
  kNotHolder,           // this process doesn't hold the data centre's lease
  kStale,               // older than what is already in force
  kBadSetting,          // settings or configuration are wrong
  kUnauthenticated,     // a peer's message bears no valid signature
  kInternal,            // a fault of this program
};

// How a kind is answered.
struct ErrorAnswer {
  ErrorKind kind;
  int status;             // HTTP status
  std::string_view type;  // "type" of the JSON error object
  std::string_view code;  // "code" of the JSON error object; also for metrics
  bool retry;             // the same request may be sent again
  bool not_run;           // it is certain that no endpoint ran the request
  int exit_code;          // of hickoryctl

  bool operator==(const ErrorAnswer&) const = default;
};

// One failure: its kind, what a person should read, and when to come back.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::optional<Duration> retry_after;

  bool operator==(const Error&) const = default;
};

// A value, or the error why there is none.
template <typename T>
using Result = tl::expected<T, Error>;

// The answer for a kind.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// The whole table, in the order of the kinds.
std::span<const ErrorAnswer> AllErrorAnswers();

// Makes the error side of a Result.
tl::unexpected<Error> Fail(ErrorKind kind,
                           std::string message,
                           std::optional<Duration> retry_after = {});

}  // namespace hickorystand
