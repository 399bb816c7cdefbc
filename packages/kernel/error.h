// Error kinds, and the response that a caller receives for each of them.
//
// Every refusal and failure in the system has one of these kinds. The HTTP
// status, type, code, whether to retry and whether the request ran are looked
// up in one table, so that all parts report the same failure the same way.
//
//   return Fail(ErrorKind::kNotFound, "no such account");
//
// Index
//   ErrorKind              what went wrong
//   ErrorAnswer            how a kind is reported to callers
//   Error, Result, Fail    an error, a value or an error, and making an error
//   AnswerFor              the answer for a kind
//   AllErrorAnswers        the answers for all kinds

#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "kernel/time.h"

namespace hickorystand {

// What went wrong. A new kind also needs a row in kAnswers in error.cc.
enum class ErrorKind {
  kBadRequest,          // the caller's request is malformed
  kTooLarge,            // a body, header or field is over its limit
  kBadKey,              // the API key is missing, unknown or revoked
  kUnknownModel,        // no such service for this account
  kNotFound,            // no such path or record
  kConflict,            // the record was changed concurrently
  kDuplicate,           // this non-idempotent request was sent before
  kOverloaded,          // refused by admission control; not run
  kRateLimited,         // over the client account's limit; not run
  kDeadlineUnmeetable,  // can't finish before its deadline; not run
  kNoEndpoint,          // no endpoint can accept it now; not run
  kSuspectRequest,      // crashed the endpoints that ran it; not run
  kClaimUnavailable,    // a claim can't be made now; not run
  kShuttingDown,        // this host is shutting down; not run
  kOutcomeUnknown,      // may have run: neither success nor failure is known
  kEndpointFailed,      // failed at the endpoint, which may have run it
  kBrokenAnswer,        // the answer was truncated and can't be resumed
  kTimeout,             // no progress within the time limit
  kPlatformDown,        // the platform's service can't be reached
  kNotHolder,           // this process doesn't hold the data centre's lease
  kStale,               // older than the state already in effect
  kBadSetting,          // settings or configuration are wrong
  kUnauthenticated,     // a peer's message has no valid signature
  kInternal,            // a bug in this program
};

// How a kind is reported to callers.
struct ErrorAnswer {
  ErrorKind kind;
  int status;             // HTTP status
  std::string_view type;  // "type" of the JSON error object
  std::string_view code;  // "code" of the JSON error object; also for metrics
  bool retry;             // the same request may be sent again
  bool not_run;           // no endpoint can have run the request
  int exit_code;          // of hickoryctl

  bool operator==(const ErrorAnswer&) const = default;
};

// One failure: its kind, a message for people, and optionally the delay after
// which the caller may retry.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::optional<Duration> retry_after;

  bool operator==(const Error&) const = default;
};

// A value, or the error that explains its absence.
template <typename T>
using Result = tl::expected<T, Error>;

// Looks up the answer for a kind.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// The whole table, in the order of the kinds.
std::span<const ErrorAnswer> AllErrorAnswers();

// Returns an error that converts to any Result.
tl::unexpected<Error> Fail(ErrorKind kind,
                           std::string message,
                           std::optional<Duration> retry_after = {});

}  // namespace hickorystand
