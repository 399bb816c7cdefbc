// Simulates in virtual time a fleet of hosts that enforce the rate limits of
// client accounts. It runs the daemon's decision classes over a network that
// delays, loses and duplicates messages, with partitions and a key-value store
// whose answers may be lost.
//
//   LimitWorld world({.hosts = 6, .limits = {{AccountId("a"), limit}}});
//   world.Start();
//   world.Offer(host, account, cost);
//   world.Run(seconds);
//   world.MaxCostInWindow(account, window);
//
// Index
//   LimitWorldOptions   fleet, network and store settings
//   LimitTally          request counts of one account
//   CountingLimiter     baseline: hosts exchange counts instead of tokens
//   LimitWorld          the simulated fleet

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/limit_shares.h"

namespace hickorystand {

struct LimitWorldOptions {
  int hosts = 6;
  AccountLimits limits;
  LimitOptions how;
  bool counting = false;  // use CountingLimiter for admission
  LimitSharesOptions shares;
  Duration delay = std::chrono::milliseconds(2);        // of a message
  Duration store_delay = std::chrono::milliseconds(8);  // of a store call
  Duration silence = std::chrono::milliseconds(2600);   // link timeout
  Duration lease = std::chrono::seconds(10);  // of a host's membership record
  Duration tick = std::chrono::milliseconds(20);
  double lost = 0;      // fraction of messages
  double repeated = 0;  // fraction of messages
  double late = 0;      // fraction of messages, delayed by up to 1 s
  uint32_t seed = 1;
};

// Request counts of one account, and the total cost of the admitted requests.
struct LimitTally {
  int64_t offered = 0;
  int64_t admitted = 0;
  int64_t refused = 0;
  double admitted_cost = 0;

  auto operator<=>(const LimitTally&) const = default;
};

// Baseline limiter. Every host counts the cost that it admits, and the cost
// that other hosts report as admitted, against the full limit. While some hosts
// are unreachable it uses only the share of the limit of the reachable ones.
class CountingLimiter {
 public:
  explicit CountingLimiter(const AccountLimits& limits) : limits(limits) {}

  bool Take(Instant now, const LimitRequest& ask, double reachable_share);
  void OnCounts(Instant now, const std::map<AccountId, double>& admitted);
  std::map<AccountId, double> TakeCounts();

 private:
  struct Bucket {
    double tokens = 0;
    Instant at{};
  };
  Bucket& Count(Instant now, const AccountId& account, double reachable_share);

  AccountLimits limits;
  std::map<AccountId, Bucket> buckets;
  std::map<AccountId, double> unsent_counts;
};

class LimitWorld {
 public:
  explicit LimitWorld(LimitWorldOptions options);

  // Starts all hosts as schedulers and runs until each of them has a share.
  void Start();

  void Run(double seconds);

  // Submits a request to a host at the current time.
  void Offer(int host,
             const AccountId& account,
             int64_t cost,
             int64_t priority = 0);

  // Partitions two hosts from each other, or a host from the store.
  void Cut(int one, int other);
  void CutStore(int host);
  void HealAll();

  void Kill(int host);
  void Restart(int host);
  void Freeze(int host);
  void Thaw(int host);
  void SetScheduler(int host, bool schedules);
  void SetLimits(int host, const AccountLimits& limits);
  void Refund(int host, const AccountId& account, int64_t cost);

  // The store doesn't answer, or applies writes but loses the answers.
  void SetStoreDown(bool down) { this->store_down = down; }
  void SetAnswersLost(bool lost) { this->answers_lost = lost; }
  // Delays the effect of writes by this much after they are sent.
  void SetWritesLate(Duration late) { this->write_delay = late; }

  bool IsUp(int host) const { return this->At(host).up; }
  double Own(int host) const;

  // Sum of the shares of the limits over all hosts.
  double OwnSum() const;

  // Highest cost admitted in any window of `window` seconds.
  double MaxCostInWindow(const AccountId& account, double window) const;

  const LimitTally& Tally(const AccountId& account) {
    return this->tallies[account];
  }
  void ResetTallies() { this->tallies.clear(); }

  int64_t Messages() const { return this->messages; }
  int64_t Entries() const { return this->entries; }
  Instant Now() const { return this->now; }

  // From now on `pick` selects which of the `due` events runs next; 0 is the
  // first, as by default. Used to search through all event orders.
  void SetOrder(std::function<size_t(size_t due)> pick) {
    this->pick = std::move(pick);
  }

 private:
  struct Host {
    HostId id;
    bool up = false;
    bool frozen = false;
    bool scheduler = false;
    std::optional<Instant> store_cut;  // start of the partition from the store
    int64_t process = 0;
    AccountLimits limits;
    std::unique_ptr<LimitShares> shares;
    std::unique_ptr<AccountLimiter> limiter;
    std::unique_ptr<CountingLimiter> counter;
    std::map<int, Instant> unreachable_since;
    std::map<int64_t, LimitRequest> waiting;
    std::map<int, int64_t> told;
    std::vector<std::function<void()>>
        deferred_while_frozen;  // events deferred while frozen
  };

  Host& At(int host) { return this->hosts[static_cast<size_t>(host)]; }
  const Host& At(int host) const {
    return this->hosts[static_cast<size_t>(host)];
  }
  void Later(Duration delay, std::function<void()> happen);
  void RunOnHost(int host, int64_t process, std::function<void()> happen);
  bool CanReach(int one, int other) const;
  std::vector<HostId> Linked(int host);
  std::set<HostId> Present(int host);
  void Begin(int host);
  void Tick(int host);
  void CallStore(int host);
  StoreReply Carry(const StoreTransaction& transaction);
  void Send(int from,
            const HostId& to,
            const std::function<void(int)>& deliver);
  void SendRevision(int host);
  void Flush(int host);
  void Admit(const AccountId& account, int64_t cost);
  double Random() {
    return std::uniform_real_distribution<double>()(this->random);
  }

  LimitWorldOptions options;
  std::mt19937 random;
  std::vector<Host> hosts;
  std::set<std::pair<int, int>> cuts;
  std::multimap<Instant, std::function<void()>> events;
  int64_t last_process = 0;
  int64_t last_ask = 0;
  Instant now = Instant(std::chrono::seconds(1000));
  std::optional<StoreRecord> record;
  int64_t revision = 100;
  bool store_down = false;
  bool answers_lost = false;
  Duration write_delay{};
  int64_t messages = 0;
  int64_t entries = 0;
  std::map<AccountId, LimitTally> tallies;
  std::map<AccountId, std::vector<std::pair<Instant, double>>> admitted;
  std::function<size_t(size_t)> pick;
};

}  // namespace hickorystand
