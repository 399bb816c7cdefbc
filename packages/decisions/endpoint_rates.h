// Request rates that endpoints state in their answers.
//
// An endpoint that is short of capacity states how many requests per second it
// takes from all hosts together. The rate holds until the endpoint answers a
// later request without stating one.
//
// Hosts tell each other what endpoints stated, and each sends at its part of
// the rate. The parts are derived from the list of hosts alone: an endpoint's
// rate is split evenly among a few holders, which all hosts choose alike by
// rendezvous hashing. There are at most as many holders as requests that may
// arrive at once without exceeding the tolerance, so that the sum also holds
// for low rates in large fleets. Hosts with different lists choose mostly the
// same holders. A holder's tokens start at zero, so a host that restarts has
// nothing left to spend twice.
//
//   EndpointRates rates;
//   rates.SetHosts(self, schedulers);
//   rates.SetEndpoints(listed);
//   rates.OnAnswer(now, {.endpoint = run, .sent = sent, .per_second = 7.5});
//   Send(rates.TakeUpdate(now));      // to the other hosts, if not empty
//   rates.OnUpdate(now, received);    // from another host
//   if (rates.MaySend(now, id)) { rates.OnSent(now, id); ... }
//
// Index
//   EndpointRatesOptions    shares and intervals
//   RateAnswer              what an answer states
//   RateReport              what hosts tell each other
//   EndpointRatesUpdate     a message of such reports
//   RateShare               an endpoint's rate, and this host's part of it
//   EndpointRates           the rates in force

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decisions/fleet_endpoint.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Shares and intervals.
struct EndpointRatesOptions {
  // Shares of a stated rate for requests and for polls of cache changes.
  double request_share = 0.9;
  double poll_share = 0.1;
  // Holders of an endpoint's rate: at least this many, and one more for each
  // request per second.
  double min_holders = 2;
  // A lower rate, or zero, is treated as this rate, since only an answer shows
  // that it no longer holds.
  double min_per_second = 0.2;
  // Relative change of a rate that is reported to other hosts at once.
  double reported_change = 0.02;
  // Reports of a rate that still holds are repeated after this time.
  Duration repeat = std::chrono::seconds(5);
  // A host that holds no part sends one request when it has heard nothing of a
  // rate for this time, in case the report of its end was lost.
  Duration probe_after = std::chrono::seconds(30);

  auto operator<=>(const EndpointRatesOptions&) const = default;
};

// What an endpoint's answer states about its rate.
struct RateAnswer {
  EndpointRun endpoint;
  Instant sent{};  // when the request was sent
  std::optional<double> per_second;

  auto operator<=>(const RateAnswer&) const = default;
};

// A rate that an endpoint stated; nullopt: it no longer states one.
struct RateReport {
  EndpointRun endpoint;
  std::optional<double> per_second;
  Duration age{};  // since the answer

  auto operator<=>(const RateReport&) const = default;
};

// Reports from one host to another.
struct EndpointRatesUpdate {
  std::vector<RateReport> rates;

  bool Empty() const { return this->rates.empty(); }
  bool operator==(const EndpointRatesUpdate&) const = default;
};

// An endpoint's stated rate, and this host's part of it.
struct RateShare {
  double per_second = 0;
  double own_per_second = 0;  // 0: other hosts hold it
  int64_t holders = 0;
  Duration age{};  // since it was last stated to any host

  auto operator<=>(const RateShare&) const = default;
};

// The rates in force, and this host's tokens for them. All calls take the
// current time.
class EndpointRates {
 public:
  explicit EndpointRates(const EndpointRatesOptions& options = {})
      : options(options) {}

  // Sets the hosts that send to endpoints, this one included. Without hosts,
  // this host holds no part of any rate.
  void SetHosts(const HostId& own, const std::set<HostId>& all);

  // Drops the rates of endpoint runs that are not listed.
  void SetEndpoints(const FleetEndpoints& listed);

  // Records an answer of an endpoint to a request of this host. Returns whether
  // the rate in force has changed.
  bool OnAnswer(Instant now, const RateAnswer& answer);

  // Records the reports of another host. Returns the endpoints whose rate in
  // force has changed.
  std::vector<EndpointRun> OnUpdate(Instant now,
                                    const EndpointRatesUpdate& update);

  // What the other hosts have to be told since the last call.
  EndpointRatesUpdate TakeUpdate(Instant now);

  // All that is known here, for a host that has just been linked.
  EndpointRatesUpdate Snapshot(Instant now) const;

  // Whether a request may be sent to the endpoint now.
  bool MaySend(Instant now, const EndpointId& endpoint) const;

  // Records that a request was sent. Calls that can't wait may be recorded
  // without a token; the next requests then wait for longer.
  void OnSent(Instant now, const EndpointId& endpoint);

  // Returns the token of a request that was not sent.
  void Refund(Instant now, const EndpointId& endpoint);

  // Time until MaySend() can be true; zero if it is true now, and nullopt if
  // this host holds no part of the rate.
  std::optional<Duration> UntilAllowed(Instant now,
                                       const EndpointId& endpoint) const;

  // The shortest interval between polls of an endpoint; zero if it states no
  // rate.
  Duration PollInterval(const EndpointId& endpoint) const;

  // The endpoint's rate; nullopt if it states none.
  std::optional<RateShare> Find(Instant now, const EndpointId& endpoint) const;

  // Endpoints that state a rate.
  size_t Limited() const;

 private:
  struct Rate {
    EndpointRun endpoint;
    std::optional<double> per_second;  // nullopt: no longer stated
    Instant stated_at{};    // of the newest answer known, at any host
    Instant reported_at{};  // to or by other hosts
    double tokens = 0;
    Instant refilled_at{};
    int64_t holders = 0;
    bool holds = false;  // this host is a holder
    Instant probed_at{};
  };

  bool Apply(Instant now,
             const EndpointRun& endpoint,
             Instant stated_at,
             std::optional<double> per_second);
  void ChooseHolders(Rate& rate) const;
  double OwnPerSecond(const Rate& rate) const;
  double TokensAt(const Rate& rate, Instant now) const;
  const Rate* FindLimited(const EndpointId& endpoint) const;

  EndpointRatesOptions options;
  HostId self;
  std::set<HostId> hosts;
  std::map<EndpointId, Rate> rates;
  std::set<EndpointId> unreported;
};

}  // namespace hickorystand
