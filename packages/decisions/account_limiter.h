// AccountLimiter: this host's part of the fleet-wide limit of each client
// account.
//
// An account has one token bucket for the whole fleet: a rate and a burst. The
// bucket is split among the hosts, and each refills its part at its share of
// the rate (limit_shares.h). Tokens are moved between hosts, never copied: the
// sender subtracts them before it sends the grant, and tokens in a lost message
// are lost. So all hosts together never admit more than the account's bucket
// allows, even if messages are delayed, lost or repeated or the network is
// partitioned.
//
// Tokens are pooled so that any host can serve an account's whole demand. The
// account's home, one of the linked hosts chosen by rendezvous hashing, pulls
// tokens from the others when it runs low; the others request from it what a
// request needs. If hosts disagree about the home, pooling is less effective,
// but the limit still holds.
//
//   AccountLimiter limiter(self, options);
//   limiter.SetLimits(now, limits);
//   limiter.SetShare(now, own_share, holder_share);
//   limiter.SetPeers(now, linked);
//   if (const auto verdict = limiter.Take(now, request)) { ... }
//   else ...                       // TakeEffects() returns it later
//   limiter.OnWant / OnGrant;      // messages from other hosts
//   limiter.Tick(now);             // about every 20 ms
//
// Index
//   TokenWant, TokenGrant          messages between hosts
//   LimitRequest, LimitVerdict     a request and its admission decision
//   LimitEffects                   messages to send and decisions to deliver
//   LimitOptions, LimitPooling     how tokens are pooled
//   AccountLimiter                 one host's buckets

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

// Requests tokens from another host.
struct TokenWant {
  int64_t number = 0;  // chosen by the sending process, never reused
  AccountId account;
  int64_t tokens = 0;
  int64_t priority = 0;
  bool pull = false;  // the sender pools tokens; any part may be granted

  auto operator<=>(const TokenWant&) const = default;
};

// The reply to a TokenWant. The tokens now belong to the receiver.
struct TokenGrant {
  int64_t number = 0;  // of the want
  AccountId account;
  int64_t tokens = 0;
  Duration retry_after{};  // if no tokens were granted

  auto operator<=>(const TokenGrant&) const = default;
};

// A request that needs tokens.
struct LimitRequest {
  int64_t number = 0;  // chosen by the caller
  AccountId account;
  int64_t cost = 0;
  int64_t priority = 0;  // 0 is the most urgent

  auto operator<=>(const LimitRequest&) const = default;
};

// Whether a request is admitted, and the data behind the decision.
struct LimitVerdict {
  bool granted = false;
  Duration retry_after{};
  std::string_view reason;
  HostId home;
  double held = 0;  // tokens at this host

  bool operator==(const LimitVerdict&) const = default;
};

// Messages to send, by receiver, and decisions for waiting requests, by number
// of the request.
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
  kNone,   // equal parts; tokens are not moved
  kPeers,  // a host that runs low pulls tokens from all others
  kHome,   // one host per account pools the tokens
};

struct LimitOptions {
  LimitPooling pooling = LimitPooling::kHome;
  // Tolerance beyond rate x window + burst in any window: `overage` is a
  // fraction of that amount, `slack` a number of units per account.
  Duration window = std::chrono::seconds(8);
  double overage = 0;
  double slack = 0;
  // Fraction of the tolerance that is added to the bucket size, so that demand
  // that fluctuates around the rate isn't refused. The rest covers hosts that
  // are partitioned from each other.
  double tolerance_fraction = 0.4;
  // Fraction of the bucket that is split among all hosts; the home holds the
  // rest.
  double local_fraction = 0.5;
  // The bucket holds at least this time's worth of the rate, so that it does
  // not overflow and lose tokens between two pulls.
  Duration min_burst_duration = std::chrono::milliseconds(250);
  // Maximum wait of a request for the home's reply, and maximum wait at the
  // home for tokens from other hosts.
  Duration max_wait = std::chrono::milliseconds(80);
  Duration max_home_wait = std::chrono::milliseconds(40);
  // The interval between pulls is `pull_fill_fraction` of the time in which
  // the other hosts' parts fill, clamped to the minimum and maximum. While
  // requests wait or the bucket is in debt, it is the urgent interval per peer
  // times the number of peers, at least the urgent interval and at most the
  // usual one.
  double pull_fill_fraction = 0.8;
  Duration min_pull_interval = std::chrono::milliseconds(100);
  Duration max_pull_interval = std::chrono::seconds(1);
  Duration urgent_pull_interval = std::chrono::milliseconds(30);
  Duration urgent_pull_interval_per_peer = std::chrono::milliseconds(2);
  // The home pulls tokens while it holds less than this fraction of its bucket.
  // At the home, a request that costs more than this fraction needs only this
  // much to be admitted, and leaves the bucket in debt.
  double low_watermark = 0.75;
  // During a shortage, a request must leave a reserve for more urgent requests:
  // this multiple of its own cost per priority step, up to a fraction of the
  // bucket.
  double reserve_per_step = 2;
  double max_reserve = 0.2;
  Duration shortage_period = std::chrono::seconds(1);
  // No pulls for an account that had no demand for this long.
  Duration idle_period = std::chrono::seconds(2);
  Duration pull_timeout = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::seconds(2);
  Duration min_retry_after = std::chrono::milliseconds(50);
  // For this long a host sends no requests to a home that refused it, and a
  // peer that granted less than was pulled counts as empty.
  Duration refusal_period = std::chrono::milliseconds(50);
  int64_t first_number = 1;

  auto operator<=>(const LimitOptions&) const = default;
};

// Decides which requests this host admits under the accounts' limits. All calls
// take the current time. After each call the caller carries out TakeEffects().
class AccountLimiter {
 public:
  explicit AccountLimiter(HostId self, const LimitOptions& options = {});

  // Sets the limits in force; an account without one is not limited. The
  // buckets of the first call start empty, since an earlier process of this
  // host may have spent their tokens.
  void SetLimits(Instant now, const AccountLimits& limits);

  // Sets the fractions of each limit that this host and each holder may admit.
  // `holder_share` is 0 while the number of holders is unknown.
  void SetShare(Instant now, double own_share, double holder_share);

  // Sets the linked hosts that take part.
  void SetPeers(Instant now, const std::vector<HostId>& linked);

  // Takes a request's tokens. Returns nothing if the request has to wait; the
  // decision then follows in LimitEffects::decided.
  std::optional<LimitVerdict> Take(Instant now, const LimitRequest& request);

  // Drops a waiting request; no decision follows for it.
  void Cancel(int64_t number);

  // Returns the tokens of a request that certainly did not run.
  void Refund(Instant now, const AccountId& account, int64_t cost);

  void OnWant(Instant now, const HostId& from, const TokenWant& want);
  void OnGrant(Instant now, const HostId& from, const TokenGrant& grant);

  // Ends expired waits and pulls tokens that are needed.
  void Tick(Instant now);

  LimitEffects TakeEffects() { return std::exchange(this->effects, {}); }

  // Tokens of an account at this host; negative if in debt.
  double TokensHeld(Instant now, const AccountId& account) const;
  const HostId& HomeOf(const AccountId& account) const;

 private:
  // A request of this or another host that waits for tokens.
  struct Waiting {
    LimitRequest request;
    HostId from;  // empty: this host
    Instant deadline{};
    int64_t want_number =
        0;  // number of the TokenWant sent to the home; 0: none
  };

  struct Bucket {
    AccountId account;
    AccountLimit limit;
    double tokens = 0;
    Instant refilled_at{};  // when `tokens` was last brought up to date
    HostId home;
    Instant last_demand{};    // last request for tokens
    Instant short_until{};    // end of the shortage after a refusal
    Instant refused_until{};  // no requests to the home until then
    Instant backlog_until{};  // retries of refused requests are spread to it
    Instant last_pull{};
    std::map<HostId, Instant>
        emptied_at;  // when a peer last granted all it had
    std::deque<Waiting> queue;
  };

  // A TokenWant without a reply yet.
  struct Pending {
    HostId to;
    TokenWant want;
    Instant sent{};
  };

  bool IsHome(const Bucket& bucket) const { return bucket.home == this->self; }
  double BucketSize(const AccountLimit& limit) const;
  double Capacity(const Bucket& bucket) const;
  double LinkedShare() const;
  double TokensAt(const Bucket& bucket, Instant now) const;
  void Refill(Bucket& bucket, Instant now) const;
  HostId ChooseHome(const AccountId& account) const;
  double TokensNeeded(const Bucket& bucket,
                      const LimitRequest& request,
                      Instant now) const;
  bool Spend(Bucket& bucket, const LimitRequest& request, Instant now) const;
  bool MayServeInTime(const Bucket& bucket,
                      const LimitRequest& request,
                      Instant now) const;
  std::optional<LimitVerdict> Serve(Bucket& bucket,
                                    Waiting waiting,
                                    Instant now);
  void RequestTokens(Bucket& bucket, Waiting& waiting, Instant now);
  LimitVerdict Granted(const Bucket& bucket) const;
  LimitVerdict Refused(Bucket& bucket,
                       const LimitRequest& request,
                       std::string_view reason,
                       Instant now) const;
  void Decide(const Waiting& waiting, const LimitVerdict& verdict);
  void ServeQueue(Bucket& bucket, Instant now);
  Duration PullInterval(const Bucket& bucket) const;
  bool PullDue(const Bucket& bucket, Instant now, double part) const;
  void Pull(Bucket& bucket, Instant now);
  void Send(const HostId& to, TokenWant want, Instant now);
  double SpareTokens(const Bucket& bucket, Instant now) const;

  HostId self;
  LimitOptions options;
  bool configured = false;
  double own_share = 0;
  double holder_share = 0;
  std::vector<HostId> peers;
  std::map<AccountId, Bucket> buckets;
  std::map<int64_t, Pending> pending;  // by number of the want
  int64_t last_number = 0;
  LimitEffects effects;
};

}  // namespace hickorystand
