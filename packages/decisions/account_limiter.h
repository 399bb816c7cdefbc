// How much of each client account's limit this host may let through.
//
// An account has one token bucket for the whole fleet: a rate and a burst. The
// bucket is split among the hosts, each of which fills its part at its share of
// the rate (limit_shares.h). Tokens are only ever moved: a host that gives some
// away has them no longer, and what is lost on the way is lost. So all hosts
// together never let through more than the account's bucket allows, whichever
// messages are late, lost or repeated and whoever is cut off from whom.
//
// To let any host serve an account's whole demand, tokens are pooled: the
// account's home, one of the linked hosts by rendezvous hashing, pulls the
// tokens of the others when it runs low, and they ask it for what a request
// needs. Hosts that disagree about the home only pool less well.
//
//   AccountLimiter limiter(self, options);
//   limiter.SetLimits(now, limits); limiter.SetShare(now, own, each);
//   limiter.SetPeers(now, linked);
//   if (const auto verdict = limiter.Take(now, ask)) { ... }
//   else ...                       // TakeEffects() tells it later
//   limiter.OnWant / OnGrant;      // messages of other hosts
//   limiter.Tick(now);             // every 20 ms or so
//
// Index
//   TokenWant, TokenGrant         what hosts tell each other
//   LimitAsk, LimitVerdict        a request, and whether it may go on
//   LimitEffects                  what to send and to tell
//   LimitOptions, LimitPooling    how tokens move
//   AccountLimiter                one host's part

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "decisions/account_limit.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Asks another host for tokens.
struct TokenWant {
  int64_t number = 0;  // of the asking process, never used twice
  AccountId account;
  int64_t tokens = 0;
  int64_t priority = 0;
  bool pull = false;  // the sender pools tokens; any number of them will do

  auto operator<=>(const TokenWant&) const = default;
};

// The answer: the tokens are the receiver's from now on.
struct TokenGrant {
  int64_t number = 0;  // of the want
  AccountId account;
  int64_t tokens = 0;
  Duration retry_after{};  // where there are none

  auto operator<=>(const TokenGrant&) const = default;
};

// A request that is to run.
struct LimitAsk {
  int64_t number = 0;  // chosen by the caller
  AccountId account;
  int64_t cost = 0;
  int64_t priority = 0;  // 0 is the most urgent

  auto operator<=>(const LimitAsk&) const = default;
};

// Whether a request may run, and what decided it.
struct LimitVerdict {
  bool granted = false;
  Duration retry_after{};
  std::string_view reason;
  HostId home;
  double held = 0;  // tokens at this host

  bool operator==(const LimitVerdict&) const = default;
};

// What is to be sent to whom, and which waiting requests are decided.
struct LimitEffects {
  std::vector<std::pair<HostId, TokenWant>> wants;
  std::vector<std::pair<HostId, TokenGrant>> grants;
  std::vector<std::pair<int64_t, LimitVerdict>> decided;

  bool Empty() const {
    return this->wants.empty() && this->grants.empty() && this->decided.empty();
  }
};

// How hosts share an account's bucket.
enum class LimitPooling {
  kNone,   // equal parts, never moved
  kPeers,  // a host that runs low asks all others
  kHome,   // one host for each account pools the tokens
};

struct LimitOptions {
  LimitPooling pooling = LimitPooling::kHome;
  // What the operator tolerates beyond rate x window + burst in any window: a
  // part of that, and units of each account.
  Duration window = std::chrono::seconds(8);
  double overage = 0;
  double slack = 0;
  // Part of the tolerance that buckets hold beside the burst, so that demand
  // that swings around the rate isn't refused. The rest is left for hosts that
  // are cut off from each other.
  double tolerance_used = 0.4;
  // Part of the burst that hosts hold by themselves; the home holds the rest.
  double local_part = 0.5;
  // A burst is at least so much of the rate, so that no tokens are lost
  // between two pulls.
  Duration least_burst = std::chrono::milliseconds(250);
  // The longest that a request waits for the home's answer, and there for
  // tokens of other hosts.
  Duration wait = std::chrono::milliseconds(80);
  Duration home_wait = std::chrono::milliseconds(40);
  // Between two pulls: most of the time in which the others' parts fill, within
  // bounds; while requests wait, at least so much for each host that is asked.
  double pull_part = 0.8;
  Duration shortest_pull = std::chrono::milliseconds(100);
  Duration longest_pull = std::chrono::seconds(1);
  Duration hasty_pull = std::chrono::milliseconds(30);
  Duration hasty_pull_per_peer = std::chrono::milliseconds(2);
  // Tokens are pulled below this part of the bucket, and a request that needs
  // more than it passes there and leaves a debt.
  double low_part = 0.75;
  // While an account runs short, a request leaves tokens to more urgent ones:
  // so many times its own cost for each step of priority, up to a part of the
  // bucket.
  double kept_per_step = 2;
  double most_kept = 0.2;
  Duration shortage_memory = std::chrono::seconds(1);
  Duration idle_after = std::chrono::seconds(2);  // no pulls without demand
  Duration pull_timeout = std::chrono::seconds(1);
  Duration longest_retry = std::chrono::seconds(2);
  Duration shortest_retry = std::chrono::milliseconds(50);
  // A host that was refused asks the home no more for so long, and one that
  // gave all its tokens away is taken to have none.
  Duration refusal_memory = std::chrono::milliseconds(50);
  int64_t first_number = 1;

  auto operator<=>(const LimitOptions&) const = default;
};

class AccountLimiter {
 public:
  explicit AccountLimiter(HostId self, const LimitOptions& options = {});

  // The limits in force; an account without one is not limited. One that comes
  // with the first call starts empty, since an earlier process of this host may
  // have spent its tokens.
  void SetLimits(Instant now, const AccountLimits& limits);

  // The parts of each limit that this host and each holder may let through.
  void SetShare(Instant now, double own, double each);

  // The hosts that take part and are linked.
  void SetPeers(Instant now, const std::vector<HostId>& linked);

  // Takes a request's tokens. Nothing: the verdict follows as an effect.
  std::optional<LimitVerdict> Take(Instant now, const LimitAsk& ask);

  // A request that waits for its verdict is over.
  void Cancel(int64_t number);

  // Tokens of a request that surely hasn't run.
  void GiveBack(Instant now, const AccountId& account, int64_t cost);

  void OnWant(Instant now, const HostId& from, const TokenWant& want);
  void OnGrant(Instant now, const HostId& from, const TokenGrant& grant);

  // Ends waits that are over and pulls tokens that are needed.
  void Tick(Instant now);

  LimitEffects TakeEffects() { return std::exchange(this->effects, {}); }

  // Tokens of an account at this host; negative: a debt.
  double Held(Instant now, const AccountId& account) const;
  const HostId& HomeOf(const AccountId& account) const;

 private:
  // A request that waits for tokens, of this host or another one.
  struct Waiting {
    LimitAsk ask;
    HostId from;  // empty: of this host
    Instant until{};
    int64_t want = 0;  // asked of the home
  };

  struct Bucket {
    AccountId account;
    AccountLimit limit;
    double tokens = 0;
    Instant at{};  // when the tokens were counted
    HostId home;
    Instant demanded{};       // last
    Instant short_until{};    // tokens ran out lately
    Instant refused_until{};  // by the home
    Instant backlog_until{};  // refused requests come back until then
    Instant pulled{};
    std::map<HostId, Instant> emptied;  // peers that gave all they had, when
    std::deque<Waiting> queue;
  };

  struct Pending {
    HostId to;
    TokenWant want;
    Instant sent{};
  };

  bool IsHome(const Bucket& bucket) const { return bucket.home == this->self; }
  double Full(const AccountLimit& limit) const;
  double Capacity(const Bucket& bucket) const;
  double Linked() const;
  double CountedAt(const Bucket& bucket, Instant now) const;
  void Count(Bucket& bucket, Instant now) const;
  HostId ChooseHome(const AccountId& account) const;
  double Needed(const Bucket& bucket, const LimitAsk& ask, Instant now) const;
  bool Spend(Bucket& bucket, const LimitAsk& ask, Instant now) const;
  bool WorthWaiting(const Bucket& bucket,
                    const LimitAsk& ask,
                    Instant now) const;
  std::optional<LimitVerdict> Serve(Bucket& bucket,
                                    Waiting waiting,
                                    Instant now);
  void AskHome(Bucket& bucket, Waiting& waiting, Instant now);
  LimitVerdict Granted(const Bucket& bucket) const;
  LimitVerdict Refused(Bucket& bucket,
                       const LimitAsk& ask,
                       std::string_view reason,
                       Instant now) const;
  void Decide(const Waiting& waiting, const LimitVerdict& verdict);
  void Advance(Bucket& bucket, Instant now);
  Duration PullPeriod(const Bucket& bucket) const;
  bool PullDue(const Bucket& bucket, Instant now, double part) const;
  void Pull(Bucket& bucket, Instant now);
  void Send(const HostId& to, TokenWant want, Instant now);
  double Spare(const Bucket& bucket, Instant now) const;

  HostId self;
  LimitOptions options;
  bool configured = false;
  double own = 0;
  double each = 0;
  std::vector<HostId> peers;
  std::map<AccountId, Bucket> buckets;
  std::map<int64_t, Pending> pending;  // by number of the want
  int64_t last_number = 0;
  LimitEffects effects;
};

}  // namespace hickorystand
