// Logs every routing and limit decision about a request, one line each, and
// keeps the most recent ones in memory for `hickoryctl why REQUEST-ID`.
//
// Index
//   Decision        one logged decision
//   LimitDecision   the outcome of a token request against an account's limit
//   DecisionLog     writes and keeps decisions
//   OutcomeName     the name of an attempt's outcome in logs and metrics

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/dispatcher.h"
#include "kernel/ids.h"

namespace hickorystand {

// One decision, as it was logged.
struct Decision {
  RequestId request;
  int64_t wall_milliseconds = 0;
  std::string part;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;

  bool operator==(const Decision&) const = default;
};

// The outcome of a token request against an account's limit, with the share of
// the limit that this host held when it was decided.
struct LimitDecision {
  LimitVerdict verdict;
  double share = 0;                   // fraction of each limit held here
  std::optional<Duration> share_age;  // since last confirmed; empty: none
  int64_t holders_revision = 0;       // revision of the share holders record

  bool operator==(const LimitDecision&) const = default;
};

// Writes decisions to the log and keeps the last `capacity` of them. Each
// Record() overload logs one line.
class DecisionLog {
 public:
  explicit DecisionLog(size_t capacity) : capacity(capacity) {}

  // Records an action of the dispatcher.
  void Record(int64_t wall_milliseconds, const Dispatch& action);

  // Records the end of an attempt. `detail` is the reason in plain text.
  void Record(int64_t wall_milliseconds,
              const RequestId& request,
              const EndpointId& endpoint,
              const AttemptResult& result,
              const std::string& detail);

  // Records that a request was refused because its account is over its limit.
  void Record(int64_t wall_milliseconds,
              const RequestId& request,
              const LimitRequest& ask,
              const LimitDecision& decision);

  // The decisions about a request that are still in memory, oldest first.
  std::vector<Decision> ForRequest(const RequestId& request) const;

 private:
  void Append(Decision decision);

  size_t capacity;
  std::deque<Decision> kept;  // oldest first
};

std::string_view OutcomeName(AttemptOutcome outcome);

}  // namespace hickorystand
