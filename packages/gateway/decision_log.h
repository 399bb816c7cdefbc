// One log line per decision about a request, and the last of them kept in
// memory for `hickoryctl why REQUEST-ID`.

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

// What was decided about a request's tokens, and the share that it rests on.
struct LimitDecision {
  LimitVerdict verdict;
  double share = 0;                   // of each limit, held by this host
  std::optional<Duration> share_age;  // since it was confirmed; nothing: none
  int64_t holders_revision = 0;       // of the record of share holders

  bool operator==(const LimitDecision&) const = default;
};

// Writes and remembers decisions.
class DecisionLog {
 public:
  explicit DecisionLog(size_t capacity) : capacity(capacity) {}

  // What the dispatcher decided.
  void Record(int64_t wall_milliseconds, const Dispatch& action);

  // How an attempt ended.
  void Record(int64_t wall_milliseconds,
              const RequestId& request,
              const EndpointId& endpoint,
              const AttemptResult& result,
              const std::string& detail);

  // A request was over its account's limit.
  void Record(int64_t wall_milliseconds,
              const RequestId& request,
              const LimitAsk& ask,
              const LimitDecision& decision);

  // All that is remembered about a request, oldest first.
  std::vector<Decision> About(const RequestId& request) const;

 private:
  void Keep(Decision decision);

  size_t capacity;
  std::deque<Decision> kept;  // oldest first
};

// The outcome's name in logs and metrics.
std::string_view OutcomeName(AttemptOutcome outcome);

}  // namespace hickorystand
