// The admission queue of a relay host: requests of contended services wait here
// for a short time until an endpoint has room for them, in the order of
// decisions/admission.h.
//
// A request waits for at most a share of its target, and is then refused: it
// has not run. Most requests find room at once and never wait, but the queue is
// told of them, so that it knows what each class and account was served.
//
//   AdmissionGate gate(clock, metrics, options);
//   const AdmissionTicket ticket = gate.OnArrival(request);
//   if (gate.MustWait(ticket)) {
//     const auto refused = gate.Wait(ticket, {.start = ..., .refuse = ...});
//     ...                     // if not refused, `start` is called repeatedly
//   }
//   gate.OnStarted(ticket);   // it is sent, with or without waiting before
//
// Index
//   AdmissionGateOptions   bounds and intervals
//   AdmissionArrival       what the gate is told of a request
//   AdmissionTicket        a request in the gate's terms
//   AdmissionWaiter        callbacks of a request that waits
//   AdmissionGate

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "decisions/admission.h"
#include "decisions/caller_age.h"
#include "decisions/digest.h"
#include "decisions/return_schedule.h"
#include "decisions/urgent_reserve.h"
#include "kernel/metrics.h"
#include "kernel/task.h"

namespace hickorystand {

// Bounds and intervals.
struct AdmissionGateOptions {
  AdmissionOptions admission = {.idle_credit_tokens = 200,  // milliseconds
                                .by_class = true,
                                .max_entries = 512,
                                .max_bytes = int64_t{7} << 19};
  UrgentReserveOptions reserve;
  // Longest wait, as a share of the request's target.
  double max_wait_share = 0.125;
  // While requests wait, the first of them are tried at this interval.
  Duration retry_interval = std::chrono::milliseconds(5);
  // Requests tried in one turn, which must not take long.
  size_t tried_per_turn = 8;
  ReturnScheduleOptions returns;
  // Served work is reported while a request lacked room within `report_after`,
  // for the accounts that were served most since the last report.
  Duration report_interval = std::chrono::seconds(1);
  Duration report_after = std::chrono::seconds(3);
  size_t max_reported_accounts = 10;

  auto operator<=>(const AdmissionGateOptions&) const = default;
};

// What the gate is told of a request when it arrives.
struct AdmissionArrival {
  ServiceId service;
  AccountId account;
  std::string route;
  int64_t priority = 0;
  Duration target{};
  Instant arrived{};
  std::optional<Duration> time_left;  // as the caller states
  double cost = 0;                    // milliseconds of an endpoint's time
  int64_t bytes = 0;                  // of the body
};

// A request in the gate's terms.
struct AdmissionTicket {
  AdmissionEntry entry;
  Duration caller_age{};  // since the caller first asked, before the arrival
  Duration max_wait{};

  bool operator==(const AdmissionTicket&) const = default;
};

// Callbacks of a request that waits.
struct AdmissionWaiter {
  // Sends the request if there is room for it, and then calls OnStarted(). May
  // also end the request, or others.
  std::function<void()> start;
  // Refuses the request.
  std::function<void(std::string_view why)> refuse;
};

// The requests of one host that wait.
class AdmissionGate {
 public:
  AdmissionGate(const Clock& clock,
                Metrics& metrics,
                const AdmissionGateOptions& options = {});

  // Records the arrival of a request of a contended service.
  AdmissionTicket OnArrival(const AdmissionArrival& arrival);

  // Whether queued requests go before this one.
  bool MustWait(const AdmissionTicket& ticket) const;

  // Queues the request until OnStarted(), Leave() or its refusal. If it can't
  // start within its longest wait, returns why it is to be refused.
  std::optional<std::string_view> Wait(const AdmissionTicket& ticket,
                                       AdmissionWaiter waiter);

  // Removes a waiting request, whose callbacks are not called any more.
  void Leave(const AdmissionTicket& ticket);

  // Records that a request is sent to an endpoint, which ends its wait, or that
  // one that had started is sent again.
  void OnStarted(const AdmissionTicket& ticket);
  void OnSentAgain(const AdmissionTicket& ticket);

  // Records that a request is refused for lack of room, which is expected after
  // `until_room`, and returns its Retry-After delay. `left`: of the caller's
  // time.
  Duration OnRefused(const AdmissionTicket& ticket,
                     Duration until_room,
                     Duration left);

  // The longest queue at an endpoint that the request may join, if more urgent
  // ones lack room.
  std::optional<Duration> MaxQueueWait(const AdmissionTicket& ticket) const;

  // Puts the accounts of a configuration in force.
  void SetAccounts(const std::set<AccountId>& accounts);

  // Requests that wait now.
  int64_t Waiting() const { return this->admission.Size(); }

  // What the accounts were served here, for the digest: those that were served
  // most, while requests lack room.
  std::vector<AccountServed> Served();

  // Charges what another host has served, and forgets a host.
  void OnDigest(const Digest& digest) { this->admission.OnDigest(digest); }
  void OnHostLost(const HostId& host) { this->admission.OnHostLost(host); }

 private:
  struct Entry {
    AdmissionWaiter waiter;
    Instant since{};
    Instant until{};
  };

  void Turn();
  void TryHeads(const ServiceId& service);
  void RefuseExpired();
  void Refuse(const RequestId& request,
              std::string_view outcome,
              std::string_view why);
  void Count(std::string_view outcome, const Entry& ended);
  void CountByClass(const std::string& counter,
                    const ServiceId& service,
                    int64_t priority,
                    bool most_urgent,
                    double requests);
  void CountByClass(const std::string& counter,
                    const ServiceId& service,
                    int64_t priority);

  const Clock* clock;
  Metrics* metrics;
  AdmissionGateOptions options;
  Admission admission;
  CallerAge ages;
  UrgentReserve reserve;
  ReturnSchedule returns;
  Instant lacked_room_at{};
  Instant reported_at{};
  std::vector<AccountServed> reported;
  std::map<RequestId, Entry> waiting;
  std::set<std::pair<ServiceId, int64_t>> counted;  // services and classes
  int64_t last_number = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
