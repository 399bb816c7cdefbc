// Holds requests to the limits of client accounts: carries out what
// decisions/account_limiter.h and decisions/limit_shares.h decide, over the
// links between hosts and the key-value service.
//
// As long as no account has a limit, nothing is sent, read or written.
//
//   LimitGate gate(options, clock, store, metrics, handlers);
//   gate.SetLimits(limits);
//   gate.Start();                      // this host takes requests
//   if (const auto verdict = gate.Take(ask, later)) { ... }
//
// Index
//   LimitGateOptions, LimitGateHandlers
//   LimitUse                             what an account used at this host
//   LimitGate

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
  // Between two looks at what is due, while requests wait and while none do.
  Duration hasty_tick = std::chrono::milliseconds(20);
  Duration tick = std::chrono::milliseconds(100);
};

// Callbacks of LimitGate.
struct LimitGateHandlers {
  std::function<bool(const HostId&, const LimitTokens&)> send;
  // The hosts that take requests: those linked, and those listed.
  std::function<std::vector<HostId>()> linked;
  std::function<std::vector<HostId>()> listed;
  // Whether this host removes share holders that are gone.
  std::function<bool()> cleans_up;
};

// What an account used at this host, and may use here without tokens of others.
struct LimitUse {
  AccountId account;
  AccountLimit limit;
  int64_t used = 0;  // units within LimitOptions::window
  int64_t left = 0;  // units; negative: a debt

  auto operator<=>(const LimitUse&) const = default;
};

class LimitGate {
 public:
  using Later = std::function<void(const LimitVerdict&)>;

  LimitGate(LimitGateOptions options,
            const Clock& clock,
            KeyValueStore& store,
            Metrics& metrics,
            LimitGateHandlers handlers);
  ~LimitGate();
  LimitGate(const LimitGate&) = delete;
  LimitGate& operator=(const LimitGate&) = delete;

  // The limits in force.
  void SetLimits(const AccountLimits& changed);

  // This host takes requests, or does so no longer.
  void Start();
  void Stop();

  // The linked hosts have changed.
  void RefreshPeers();

  // Takes a request's tokens. Nothing: `later` is told the verdict, unless the
  // wait is cancelled. The number in the ask is set here.
  std::optional<LimitVerdict> Take(LimitAsk& ask, Later later);
  void Cancel(int64_t number);

  // Tokens of a request that surely hasn't run.
  void GiveBack(const AccountId& account, int64_t cost);

  // As above, unless the account's limit counts in another unit by now.
  void GiveBack(const AccountId& account, LimitUnit unit, int64_t cost);

  void OnMessage(const HostId& from, const LimitTokens& message);

  // Of the newest record of share holders that was read.
  int64_t Revision() const { return this->shares.Revision(); }

  // This host's part of each limit, and the time since it was confirmed.
  double Share() const { return this->shares.Own(this->clock->Now()); }
  std::optional<Duration> ShareAge() const {
    return this->shares.Age(this->clock->Now());
  }

  // Of each account that has a limit.
  std::vector<LimitUse> Uses() const;
  Duration Window() const { return this->options.limits.window; }

  // Sets the gauges of what this host holds.
  void SetMetrics();

 private:
  struct Waiting {
    LimitAsk ask;
    Later later;
  };

  void Tick();
  void CallStore();
  void OnStoreReply(Instant asked, const StoreReply& reply);
  void TellRevision();
  void Flush();
  void CountUse(const AccountId& account, int64_t cost);

  LimitGateOptions options;
  const Clock* clock;
  KeyValueStore* store;
  Metrics* metrics;
  LimitGateHandlers handlers;
  LimitShares shares;
  AccountLimiter limiter;
  bool limited = false;  // some account has a limit
  bool started = false;
  bool holding = false;  // or is about to
  double logged_share = 0;
  AccountLimits limits;
  int64_t last_number = 0;
  std::map<AccountId, WindowSum> used;
  std::map<int64_t, Waiting> waiting;  // by number of the ask
  std::map<HostId, int64_t> told;      // the newest revision, by linked host
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> hasty_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
