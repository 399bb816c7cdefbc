// LimitGate: enforces the limits of client accounts. It drives AccountLimiter
// and LimitShares (decisions/account_limiter.h, decisions/limit_shares.h) over
// the links between hosts and the key-value service.
//
// While no account has a limit, it sends no messages and makes no store calls.
//
//   LimitGate gate(options, clock, store, metrics, handlers);
//   gate.SetLimits(limits);
//   gate.Start();                      // this host accepts requests
//   if (const auto verdict = gate.Take(request, on_verdict)) { ... }
//
// Index
//   LimitGateOptions, LimitGateHandlers   options and callbacks
//   LimitUsage                            an account's usage at this host
//   LimitGate                             the gate, one per host

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/limit_shares.h"
#include "decisions/window_sum.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "peers/message.h"
#include "platform/key_value_store.h"

namespace hickorystand {

struct LimitGateOptions {
  HostId self;
  LimitSharesOptions shares;
  LimitOptions limits;
  // Timer interval while requests wait, and while none do.
  Duration busy_tick = std::chrono::milliseconds(20);
  Duration tick = std::chrono::milliseconds(100);
};

// Callbacks of LimitGate.
struct LimitGateHandlers {
  // Sends a message to a linked host; false if it could not be sent.
  std::function<bool(const HostId&, const LimitTokens&)> send;
  // The hosts that accept requests: those linked, and those listed.
  std::function<std::vector<HostId>()> linked;
  std::function<std::vector<HostId>()> listed;
  // Whether this host removes absent share holders.
  std::function<bool()> cleans_up;
};

// An account's recent usage at this host, and the tokens left here.
struct LimitUsage {
  AccountId account;
  AccountLimit limit;
  int64_t used = 0;       // units within LimitOptions::window
  int64_t available = 0;  // units; negative if in debt

  auto operator<=>(const LimitUsage&) const = default;
};

// Admits requests under the accounts' limits and keeps this host's share of the
// limits up to date. Runs on one event loop, on timers of its own.
class LimitGate {
 public:
  using VerdictCallback = std::function<void(const LimitVerdict&)>;

  LimitGate(LimitGateOptions options,
            const Clock& clock,
            KeyValueStore& store,
            Metrics& metrics,
            LimitGateHandlers handlers);
  ~LimitGate();
  LimitGate(const LimitGate&) = delete;
  LimitGate& operator=(const LimitGate&) = delete;

  // Sets the limits in force.
  void SetLimits(const AccountLimits& changed);

  // Call when this host starts or stops accepting requests.
  void Start();
  void Stop();

  // Call when the linked hosts have changed.
  void RefreshPeers();

  // Takes a request's tokens and sets the request's number. Returns nothing if
  // the request has to wait; `on_verdict` is then called with the decision,
  // unless the wait is cancelled.
  std::optional<LimitVerdict> Take(LimitRequest& request,
                                   VerdictCallback on_verdict);
  void Cancel(int64_t number);

  // Returns the tokens of a request that certainly did not run.
  void Refund(const AccountId& account, int64_t cost);

  // As above, but does nothing if the limit's unit has changed since.
  void Refund(const AccountId& account, LimitUnit unit, int64_t cost);

  void OnMessage(const HostId& from, const LimitTokens& message);

  // The revision of the newest record of share holders that was read.
  int64_t Revision() const { return this->shares.Revision(); }

  // This host's fraction of each limit, and the time since it was confirmed.
  double Share() const { return this->shares.OwnShare(this->clock->Now()); }
  std::optional<Duration> ShareAge() const {
    return this->shares.Age(this->clock->Now());
  }

  // The usage of each account that has a limit.
  std::vector<LimitUsage> AccountUsage() const;
  Duration Window() const { return this->options.limits.window; }

  // Sets the gauges of this host's share and tokens.
  void SetMetrics();

 private:
  struct Waiting {
    LimitRequest request;
    VerdictCallback on_verdict;
  };

  void Tick();
  void CallStore();
  void OnStoreReply(Instant requested_at, const StoreReply& reply);
  void SendRevision();
  void Flush();
  void RecordUsage(const AccountId& account, int64_t cost);

  LimitGateOptions options;
  const Clock* clock;
  KeyValueStore* store;
  Metrics* metrics;
  LimitGateHandlers handlers;
  LimitShares shares;
  AccountLimiter limiter;
  bool limited = false;  // some account has a limit
  bool started = false;
  bool holding = false;  // `shares` is started
  double logged_share = 0;
  AccountLimits limits;
  int64_t last_number = 0;
  std::map<AccountId, WindowSum> used;
  std::map<int64_t, Waiting> waiting;  // by number of the request
  std::map<HostId, int64_t>
      sent_revisions;  // last revision sent to a linked host
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> busy_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
