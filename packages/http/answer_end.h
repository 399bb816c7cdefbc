// Decides whether an answer from an endpoint is complete, from how its body is
// delimited and how it ended.
//
// A length and a last chunk prove that nothing is missing. A body that has
// neither ends when the connection is closed, and the connection of a process
// that dies is closed in the same way. Such an end proves nothing, so it must
// not be forwarded as a last chunk or under a Content-Length.
//
//   end of the body                        completeness
//   length reached, last chunk received    kComplete
//   orderly close, no length, no chunks    kUnproven
//   any of these within an event           kTruncated
//   orderly close before the first event   kTruncated
//   close before the marker, reset, other  kTruncated
//
// Index
//   AnswerEnding     how an answer ended
//   Completeness     what is known of it then
//   ClassifyAnswer   the decision
//   MayEndNormally   how the caller's answer may end

#pragma once

#include <string_view>

#include "http/http_types.h"

namespace hickorystand {

// How an answer ended.
struct AnswerEnding {
  HttpEnd end = HttpEnd::kReset;
  bool within_event = false;  // of a stream of server-sent events
  bool no_event = false;      // a stream in which none has arrived

  auto operator<=>(const AnswerEnding&) const = default;
};

// What is known of an answer that ended.
enum class Completeness {
  kComplete,
  kUnproven,   // complete, or its sender died
  kTruncated,  // certainly incomplete
};

// The name of a completeness, as used in logs.
constexpr std::string_view NameOf(Completeness completeness) {
  switch (completeness) {
    case Completeness::kComplete:
      return "complete";
    case Completeness::kUnproven:
      return "unproven";
    case Completeness::kTruncated:
      break;
  }
  return "truncated";
}

constexpr Completeness ClassifyAnswer(const AnswerEnding& ending) {
  const bool ended =
      ending.end == HttpEnd::kComplete || ending.end == HttpEnd::kNoEndMarker;
  if (!ended || ending.within_event) {
    return Completeness::kTruncated;
  }
  if (ending.end == HttpEnd::kComplete) {
    return Completeness::kComplete;
  }
  return ending.no_event ? Completeness::kTruncated : Completeness::kUnproven;
}

// Whether the answer to the caller may end normally. `until_close`: it has
// neither length nor chunks, so its end doesn't state more than an orderly
// close does. Otherwise it is broken off.
constexpr bool MayEndNormally(Completeness completeness, bool until_close) {
  return completeness == Completeness::kComplete ||
         (completeness == Completeness::kUnproven && until_close);
}

}  // namespace hickorystand
