// The queue of one entry host: which waiting request starts next, and which
// shouldn't wait at all.
//
// Each client account has a virtual counter of the work it was served, divided
// by its weight; the account with the lowest counter goes next. Work counts as
// prompt tokens to compute plus generated tokens at their measured cost. What
// the account was served by other hosts comes in by digests and counts alike,
// so hosts agree without talking about single requests. An account that was
// idle comes back level with the others, less a capped credit.
//
// Within an account the earliest due request goes first. Batch work yields to
// all that a person waits for, but only until it has aged; from then on it is
// due, so it always arrives.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/digest.h"
#include "decisions/request.h"
#include "kernel/time.h"

namespace hickorystand {

// How admission is set. The switches exist for benches and mutation tests.
struct AdmissionOptions {
  uint64_t seed = 1;
  bool fair = true;               // false: first come, first served
  bool refuse_unmeetable = true;  // false: wait until the deadline has passed
  bool age_batch = true;
  double idle_credit = 20000;    // tokens an idle account may be ahead
  double batch_age_share = 0.6;  // of its time to the deadline, then it is due
  Duration longest_batch_age = std::chrono::minutes(10);
  double wait_share = 0.8;  // of the time left that may go on waiting

  auto operator<=>(const AdmissionOptions&) const = default;
};

// One request in the queue.
struct Waiting {
  RequestId request;
  AccountId account;
  ServiceId service;
  RequestClass request_class = RequestClass::kInteractive;
  double cost = 0;
  Instant due{};  // order within the account
  uint64_t order = 0;

  bool operator==(const Waiting&) const = default;
};

// The queue of all services at one host.
class Admission {
 public:
  explicit Admission(const AdmissionOptions& options);

  void OnConfiguration(const Configuration& configuration);

  // Puts a request into the queue. `again`: it was started before and goes to
  // the front.
  void Enqueue(Instant now, const Request& request, double cost, bool again);

  // Takes a request out; false if it isn't there.
  bool Remove(const RequestId& request);

  // The first requests of each account, in the order they should start: all
  // of one account, then all of the next.
  std::vector<Waiting> Heads(Instant now,
                             const ServiceId& service,
                             size_t per_account) const;

  // A waiting request starts: it leaves the queue and is charged for.
  void Start(Instant now, const RequestId& request);

  // The cost turned out different, or the request never ran.
  void Correct(const AccountId& account, double difference);

  // A started request ended.
  void Ended(const AccountId& account);

  // What a peer has served so far.
  void OnDigest(const Digest& digest);
  void OnHostGone(const HostId& host);

  // How long a new request would wait here, by the drain rate and its share.
  double ExpectedWaitSeconds(const Request& request, double cost) const;

  // When to come back: the time the queue takes to drain, spread by jitter.
  Duration RetryAfter(const ServiceId& service);

  // Whether a request may still be in time if it waits so long.
  bool Meetable(Instant now, const Request& request, double seconds) const;

  std::vector<ServiceId> Services() const;
  int64_t Size() const { return static_cast<int64_t>(this->index.size()); }
  void FillDigest(Digest& digest) const;
  double Counter(const AccountId& account) const;

 private:
  struct Before {
    bool operator()(const Waiting& a, const Waiting& b) const {
      return std::tie(a.due, a.order) < std::tie(b.due, b.order);
    }
  };
  using Line = std::set<Waiting, Before>;
  struct Lines {
    Line urgent;
    Line batch;
    double urgent_cost = 0;
    double batch_cost = 0;
    bool Empty() const { return this->urgent.empty() && this->batch.empty(); }
  };
  struct Counted {
    double weight = 1;
    int64_t max_in_flight = 0;
    double counter = 0;  // weighted work served anywhere, lifted when idle
    double served = 0;   // work served here since the start
    int64_t waiting = 0;
    int64_t in_flight = 0;
  };
  struct Pool {
    std::map<AccountId, Lines> lines;
    double drain = 0;  // cost a second, smoothed
    Instant drained_at{};
    double drained = 0;  // cost since then
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    std::map<AccountId, AccountServed> served;
  };

  double Lifted(const Counted& account) const;
  std::vector<const Waiting*> FirstOf(Instant now,
                                      const Lines& lines,
                                      size_t count) const;
  bool AtLimit(const Counted& account) const;

  AdmissionOptions options;
  std::mt19937_64 random;
  std::map<AccountId, Counted> accounts;
  std::map<ServiceId, Pool> pools;
  std::map<RequestId, Waiting> index;
  std::map<HostId, Peer> peers;
  double virtual_time = 0;
  uint64_t next_order = 0;
};

}  // namespace hickorystand
