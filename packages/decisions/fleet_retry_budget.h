// FleetRetryBudget: how many retries this host may add to a service's load.
//
// The fleet's budget: in any window, a service gets at most `retry_ratio`
// retries for each request for it, and `slack` besides. Requests may be those
// of the window or of the one before it, whichever has more. Each host decides
// alone, by what it earns:
//
//   - a request that it received earns `retry_ratio`;
//   - time earns the host's part of the slack (decisions/fleet_share.h), evenly
//     over a window.
//
// The retries since any time u, up to a window ago, must be at most half of
// what was earned since a window before u. Then the retries of all hosts in any
// window are at most half of what they earned in that window and the one before
// it together: `retry_ratio` times the mean of the two windows' requests, and
// `slack`. The sum doesn't depend on which host or process received a request,
// so neither restarts nor changes of roles add to it: a process begins with
// nothing earned, and the time of a host is earned by one process at a time.
//
//   FleetRetryBudget budget(options);
//   budget.SetShare(now, share.Term(now));
//   budget.OnRequest(now, arrived, service);
//   if (budget.Take(now, service).granted) { ... }
//
// Index
//   FleetRetryBudgetOptions   window, ratio and slack
//   RetryVerdict              a decision, and what it was based on
//   FleetRetryBudget          this host's part of the budget

#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "decisions/fleet_share.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

struct FleetRetryBudgetOptions {
  Duration window = std::chrono::seconds(10);
  double retry_ratio = 0.2;  // retries per request
  double slack = 0;          // additional retries of all hosts per window

  auto operator<=>(const FleetRetryBudgetOptions&) const = default;
};

// The part of the slack that is spent. The rest is for retries that reach their
// endpoints later than they were decided, in another window: of a host or an
// endpoint that stood still in between.
constexpr double kSpentSlackShare = 0.5;

// What a decision on a retry was based on.
struct RetryVerdict {
  bool granted = false;
  int64_t requests = 0;  // for the service, in the last two windows
  int64_t retries = 0;   // in the last window, with this one if granted
  double left = 0;       // retries that could be granted after this decision
  double share = 0;      // of the slack, now

  auto operator<=>(const RetryVerdict&) const = default;
};

// Counts requests and retries by service.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryBudgetOptions& options = {})
      : options(options) {}

  // Changed options hold for what is earned from now on; the ratio also for the
  // requests so far.
  void SetOptions(Instant now, const FleetRetryBudgetOptions& changed);

  // Sets this host's part of the slack from now on.
  void SetShare(Instant now, const ShareTerm& share);

  // Counts a caller's request for a service, received at `arrived`.
  void OnRequest(Instant now, Instant arrived, const ServiceId& service);

  // Takes one retry from the budget, unless it is exhausted.
  RetryVerdict Take(Instant now, const ServiceId& service);

  // This host's part of the slack; 0 if its term has ended.
  double Share(Instant now) const {
    return now < this->share.until ? this->share.part : 0;
  }

  // Returns a retry that was taken at a time and not sent.
  void Return(Instant taken, const ServiceId& service);

 private:
  struct Count {
    std::deque<Instant> requests;  // of the last two windows, oldest first
    std::deque<Instant> retries;   // of the last window, oldest first
  };

  // A time in which this host earned slack at a constant rate.
  struct SlackTerm {
    Instant from{};
    Instant until{};
    double per_second = 0;
  };

  void BeginTerm(Instant now, const ShareTerm& share);
  void RemoveExpired(Instant now, Count& count);
  double Earned(const Count& count, Instant since, Instant now) const;
  double Left(const Count& count, Instant now) const;

  FleetRetryBudgetOptions options;
  ShareTerm share;
  std::deque<SlackTerm> terms;  // oldest first, without overlap
  std::map<ServiceId, Count> counts;
};

}  // namespace hickorystand
