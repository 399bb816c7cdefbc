#include "kernel/error.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace hickorystand {
namespace {

using K = ErrorKind;
constexpr std::string_view kInvalid = "invalid_request_error";
constexpr std::string_view kServer = "server_error";
constexpr std::string_view kLimit = "rate_limit_error";

// clang-format off
constexpr std::array kAnswers = {
    // kind                         status type                    code                   retry  not_run exit
    ErrorAnswer{K::kBadRequest,         400, kInvalid,               "bad_request",         false, true,  2},
    ErrorAnswer{K::kTooLarge,           413, kInvalid,               "too_large",           false, true,  2},
    ErrorAnswer{K::kBadKey,             401, "authentication_error", "invalid_api_key",     false, true,  3},
    ErrorAnswer{K::kUnknownModel,       404, kInvalid,               "model_not_found",     false, true,  4},
    ErrorAnswer{K::kNotFound,           404, kInvalid,               "not_found",           false, true,  4},
    ErrorAnswer{K::kConflict,           409, kInvalid,               "conflict",            false, true,  5},
    ErrorAnswer{K::kDuplicate,          409, kInvalid,               "duplicate_request",   false, false, 5},
    ErrorAnswer{K::kOverloaded,         429, kLimit,                 "overloaded",          true,  true,  6},
    ErrorAnswer{K::kRateLimited,        429, kLimit,                 "rate_limit_exceeded", true,  true,  6},
    ErrorAnswer{K::kDeadlineUnmeetable, 503, kServer,                "deadline_unmeetable", true,  true,  6},
    ErrorAnswer{K::kNoEndpoint,         503, kServer,                "no_endpoint",         true,  true,  6},
    ErrorAnswer{K::kSuspectRequest,     422, kInvalid,               "suspect_request",     false, true,  6},
    ErrorAnswer{K::kClaimUnavailable,   503, kServer,                "claim_unavailable",   true,  true,  6},
    ErrorAnswer{K::kShuttingDown,       503, kServer,                "shutting_down",       true,  true,  6},
    ErrorAnswer{K::kOutcomeUnknown,     504, kServer,                "outcome_unknown",     false, false, 7},
    ErrorAnswer{K::kEndpointFailed,     502, kServer,                "endpoint_failed",     false, false, 7},
    ErrorAnswer{K::kBrokenAnswer,       502, kServer,                "broken_answer",       false, false, 7},
    ErrorAnswer{K::kTimeout,            504, kServer,                "timeout",             false, false, 7},
    ErrorAnswer{K::kPlatformDown,       503, kServer,                "platform_down",       true,  true,  8},
    ErrorAnswer{K::kNotHolder,          503, kServer,                "not_holder",          true,  true,  8},
    ErrorAnswer{K::kStale,              409, kInvalid,               "stale",               false, true,  5},
    ErrorAnswer{K::kBadSetting,         400, kInvalid,               "bad_setting",         false, true,  2},
    ErrorAnswer{K::kUnauthenticated,    403, "permission_error",     "unauthenticated",     false, true,  3},
    ErrorAnswer{K::kInternal,           500, kServer,                "internal",            false, false, 1},
};
// clang-format on

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  const auto* row = std::ranges::find(kAnswers, kind, &ErrorAnswer::kind);
  assert(row != kAnswers.end() && "a new ErrorKind needs its row in kAnswers");
  return *row;
}

std::span<const ErrorAnswer> AllErrorAnswers() {
  return kAnswers;
}

tl::unexpected<Error> Fail(ErrorKind kind,
                           std::string message,
                           std::optional<Duration> retry_after) {
  return tl::unexpected(Error{kind, std::move(message), retry_after});
}

}  // namespace hickorystand
