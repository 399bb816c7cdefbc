// Exhaustive search over short sequences of events at three hosts that share
// one account's limit: messages are delivered, lost or repeated, hosts restart
// and change their roles, writes to the store take effect late, and time
// passes.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/limit_shares.h"

namespace hickorystand {
namespace {

constexpr size_t kHosts = 3;
constexpr Duration kPause = std::chrono::milliseconds(50);
constexpr Duration kLongPause = std::chrono::seconds(32);
constexpr double kRounding = 1e-6;

const AccountId kAccount("account");
const AccountLimit kLimit{.rate = 1000, .burst = 1000};

HostId Name(size_t host) {
  return HostId(std::string(1, static_cast<char>('a' + host)));
}

std::vector<HostId> Others(size_t host) {
  std::vector<HostId> others;
  for (size_t i = 0; i < kHosts; ++i) {
    if (i != host) {
      others.push_back(Name(i));
    }
  }
  return others;
}

size_t IndexOf(const HostId& host) {
  return static_cast<size_t>(host.Text().front() - 'a');
}

// The tokens at three hosts and in messages between them. No step may create
// tokens.
struct TokenModel {
  struct Message {
    size_t from = 0;
    size_t to = 0;
    std::optional<TokenWant> want;
    std::optional<TokenGrant> grant;
    bool repeated = false;
  };

  std::vector<AccountLimiter> hosts;
  std::vector<Message> messages;
  Instant now{std::chrono::seconds(100)};
  Instant started = now;
  double admitted = 0;
  int64_t processes = 0;
  int64_t asks = 0;

  TokenModel() {
    for (size_t i = 0; i < kHosts; ++i) {
      this->hosts.push_back(this->Make(i));
    }
    this->now += std::chrono::seconds(2);  // their buckets fill
    this->started = this->now;
  }

  AccountLimiter Make(size_t host) {
    AccountLimiter limiter(Name(host),
                           {.first_number = ++this->processes * 1000});
    limiter.SetLimits(this->now, {{kAccount, kLimit}});
    limiter.SetPeers(this->now, Others(host));
    limiter.SetShare(this->now, 1.0 / kHosts, 1.0 / kHosts);
    return limiter;
  }

  void Collect(size_t host) {
    const LimitEffects effects = this->hosts[host].TakeEffects();
    for (const auto& [to, want] : effects.wants) {
      this->messages.push_back({.from = host, .to = IndexOf(to), .want = want});
    }
    for (const auto& [to, grant] : effects.grants) {
      this->messages.push_back(
          {.from = host, .to = IndexOf(to), .grant = grant});
    }
    for (const auto& [ask, verdict] : effects.decided) {
      this->admitted += verdict.granted ? kCost : 0;
    }
  }

  void Offer(size_t host) {
    const auto verdict = this->hosts[host].Take(
        this->now,
        {.number = ++this->asks, .account = kAccount, .cost = kCost});
    this->admitted += verdict && verdict->granted ? kCost : 0;
    this->Collect(host);
  }

  void Deliver(size_t which, bool keep) {
    const Message message = this->messages[which];
    if (keep) {
      this->messages[which].repeated = true;
    } else {
      this->messages.erase(this->messages.begin() +
                           static_cast<std::ptrdiff_t>(which));
    }
    AccountLimiter& to = this->hosts[message.to];
    if (message.want) {
      to.OnWant(this->now, Name(message.from), *message.want);
    } else if (message.grant) {
      to.OnGrant(this->now, Name(message.from), *message.grant);
    }
    this->Collect(message.to);
  }

  // All existing tokens, and those that were spent.
  double Sum() const {
    double sum = this->admitted;
    for (const AccountLimiter& host : this->hosts) {
      sum += host.TokensHeld(this->now, kAccount);
    }
    for (const Message& message : this->messages) {
      sum += message.grant && !message.repeated
                 ? static_cast<double>(message.grant->tokens)
                 : 0;
    }
    return sum;
  }

  static constexpr int64_t kCost = 450;
};

// Searches all continuations of a state and returns the number of visited
// states.
int64_t SearchTokens(const TokenModel& state, double most, int depth) {
  const double allowed =
      most + kLimit.rate * ToSeconds(state.now - state.started);
  CHECK(state.Sum() <= allowed + kRounding);
  if (depth == 0) {
    return 1;
  }
  int64_t seen = 1;
  const auto step = [&](const std::function<void(TokenModel&)>& play) {
    TokenModel next = state;
    play(next);
    seen += SearchTokens(next, most, depth - 1);
  };
  for (size_t host = 0; host < kHosts; ++host) {
    step([host](TokenModel& next) { next.Offer(host); });
    step([host](TokenModel& next) { next.hosts[host] = next.Make(host); });
    step([host](TokenModel& next) {
      next.hosts[host].SetPeers(next.now, {});
      next.Collect(host);
    });
  }
  for (size_t i = 0; i < state.messages.size(); ++i) {
    step([i](TokenModel& next) { next.Deliver(i, false); });
    if (!state.messages[i].repeated) {
      step([i](TokenModel& next) { next.Deliver(i, true); });
    }
  }
  step([](TokenModel& next) {
    next.now += kPause;
    for (size_t host = 0; host < kHosts; ++host) {
      next.hosts[host].Tick(next.now);
      next.Collect(host);
    }
  });
  return seen;
}

// The record of share holders, three hosts and their store calls.
struct ShareModel {
  struct Call {
    size_t host = 0;
    int64_t process = 0;
    Instant asked{};
    StoreTransaction transaction;
    std::optional<StoreReply> reply;  // set once the call has taken effect
  };

  std::vector<LimitShares> hosts;
  std::array<int64_t, kHosts> processes{};
  std::array<bool, kHosts> schedules{};
  std::vector<Call> calls;
  std::optional<StoreRecord> record;
  int64_t revision = 10;
  Instant now{std::chrono::seconds(100)};

  ShareModel() {
    for (size_t i = 0; i < kHosts; ++i) {
      this->hosts.emplace_back(Name(i));
    }
  }

  std::set<HostId> Present() const {
    std::set<HostId> present;
    for (size_t i = 0; i < kHosts; ++i) {
      if (this->schedules[i]) {
        present.insert(Name(i));
      }
    }
    return present;
  }

  void Start(size_t host) {
    this->schedules[host] = true;
    this->hosts[host].Start();
  }

  void Stop(size_t host) {
    this->schedules[host] = false;
    this->hosts[host].Stop();
  }

  // Ends the host's process and starts a new one without state.
  void Restart(size_t host) {
    ++this->processes[host];
    this->hosts[host] = LimitShares(Name(host));
    if (this->schedules[host]) {
      this->hosts[host].Start();
    }
  }

  bool Ask(size_t host) {
    const auto due =
        this->hosts[host].Next(this->now, this->Present(), host == 0);
    if (due) {
      this->calls.push_back({.host = host,
                             .process = this->processes[host],
                             .asked = this->now,
                             .transaction = *due});
    }
    return due.has_value();
  }

  void ApplyCall(size_t which) {
    Call& call = this->calls[which];
    const int64_t has = this->record ? this->record->mod_revision : 0;
    const bool holds = std::ranges::all_of(
        call.transaction.conditions,
        [has](const auto& one) { return one.revision == has; });
    StoreReply reply{.outcome = holds ? StoreOutcome::kThen
                                      : StoreOutcome::kOtherwise};
    for (const StoreOperation& one :
         holds ? call.transaction.then : call.transaction.otherwise) {
      if (one.kind == StoreOperation::Kind::kPut) {
        this->record = {.key = one.key,
                        .value = one.value,
                        .mod_revision = ++this->revision};
      } else if (this->record) {
        reply.records.push_back(*this->record);
      }
    }
    reply.revision = this->revision;
    call.reply = reply;
  }

  void Answer(size_t which, bool lost) {
    const Call call = this->calls[which];
    if (call.reply || !lost) {
      this->calls.erase(this->calls.begin() +
                        static_cast<std::ptrdiff_t>(which));
    } else {
      this->calls[which].process = -1;  // may still take effect later
    }
    if (call.process != this->processes[call.host]) {
      return;
    }
    this->hosts[call.host].OnReply(
        this->now, call.asked,
        lost || !call.reply ? StoreReply{} : *call.reply);
  }

  void Acknowledge(size_t from, size_t to) {
    this->hosts[to].OnPeerRevision(Name(from), this->hosts[from].Revision());
  }

  // Runs all calls that a host has due, without a fault.
  void Settle(size_t host) {
    while (this->Ask(host)) {
      this->ApplyCall(this->calls.size() - 1);
      this->Answer(this->calls.size() - 1, false);
    }
  }

  double Sum() const {
    double sum = 0;
    for (const LimitShares& host : this->hosts) {
      sum += host.OwnShare(this->now);
    }
    return sum;
  }
};

int64_t SearchShares(const ShareModel& state, int depth) {
  CHECK(state.Sum() <= 1 + kRounding);
  if (depth == 0) {
    return 1;
  }
  int64_t seen = 1;
  const auto step = [&](const std::function<void(ShareModel&)>& play) {
    ShareModel next = state;
    play(next);
    seen += SearchShares(next, depth - 1);
  };
  for (size_t host = 0; host < kHosts; ++host) {
    ShareModel asked = state;
    if (asked.Ask(host)) {
      seen += SearchShares(asked, depth - 1);
    }
    step([host](ShareModel& next) { next.Settle(host); });
    step([host](ShareModel& next) { next.Restart(host); });
    step([host](ShareModel& next) {
      if (next.schedules[host]) {
        next.Stop(host);
      } else {
        next.Start(host);
      }
    });
    step([host](ShareModel& next) {
      for (size_t other = 0; other < kHosts; ++other) {
        if (other != host) {
          next.Acknowledge(other, host);
        }
      }
    });
  }
  for (size_t i = 0; i < state.calls.size(); ++i) {
    if (!state.calls[i].reply) {
      step([i](ShareModel& next) { next.ApplyCall(i); });
    }
    if (state.calls[i].process >= 0) {
      step([i](ShareModel& next) { next.Answer(i, false); });
      step([i](ShareModel& next) { next.Answer(i, true); });
    }
  }
  step([](ShareModel& next) { next.now += std::chrono::seconds(4); });
  step([](ShareModel& next) { next.now += kLongPause; });
  return seen;
}

}  // namespace

TEST_GROUP(LimitSearch){};

TEST(LimitSearch, NoOrderOfSixStepsMakesTokens) {
  const TokenModel start;
  const int64_t seen = SearchTokens(start, start.Sum(), 6);
  CHECK(seen > 100000);
}

TEST(LimitSearch, NoOrderOfFiveStepsAfterAJoinMakesSharesOverlap) {
  ShareModel start;
  start.Start(0);
  start.Settle(0);
  start.Start(1);
  start.Settle(1);
  start.Settle(0);
  start.Acknowledge(0, 1);
  start.Settle(1);
  DOUBLES_EQUAL(1.0, start.Sum(), kRounding);
  start.Start(2);
  start.Settle(2);
  CHECK(SearchShares(start, 5) > 500000);
}

TEST(LimitSearch, NoOrderOfFiveStepsAroundAStoppedHostMakesSharesOverlap) {
  ShareModel start;
  for (size_t host = 0; host < kHosts; ++host) {
    start.Start(host);
    start.Settle(host);
  }
  for (size_t host = 0; host < kHosts; ++host) {
    start.Settle(host);
    for (size_t other = 0; other < kHosts; ++other) {
      if (other != host) {
        start.now += std::chrono::seconds(4);
        start.Settle(other);
        start.Acknowledge(other, host);
      }
    }
    start.Settle(host);
  }
  DOUBLES_EQUAL(1.0, start.Sum(), kRounding);
  start.Stop(1);
  start.Ask(1);
  CHECK(SearchShares(start, 5) > 500000);
}

}  // namespace hickorystand
