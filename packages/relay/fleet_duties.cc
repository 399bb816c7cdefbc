#include "relay/fleet_duties.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "duties";
constexpr std::string_view kUsagePrefix = "hickorystand/usage/";

constexpr Duration kTick = std::chrono::milliseconds(100);

// The holder stops acting this long before the lease expires in the store.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(600);

// Minimum time between the end of a window and closing it. Other hosts send
// their counts every half second, and the window is closed once all hosts have
// sent theirs.
constexpr Duration kMinCloseDelay = std::chrono::milliseconds(700);

// Delay after a report that was not accepted. Each call is billed and the
// platform accepts 50 calls a second from all hosts together, while a report is
// due within 10 s.
constexpr Duration kReportRetry = std::chrono::milliseconds(700);

// Replaces `report_reserve` on a host that has just become a scheduler. It is
// still receiving the counts of other hosts, so it waits for them until this
// long before a report is due.
constexpr Duration kNewHostReserve = std::chrono::milliseconds(1000);

// How long a stopping host waits for the answers to its calls.
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(1200);

// Smallest correction of the fleet time that is logged, in milliseconds.
constexpr int64_t kLoggedTimeChangeMs = 50;

// Number of usage windows whose records are kept in the store. Each new record
// deletes the oldest one.
constexpr int64_t kKeptWindowRecords = 12;

// All hosts of the fleet compete for the same lease.
const DataCentreId& Group() {
  static const DataCentreId kGroup("fleet");
  return kGroup;
}

std::string UsageKey(int64_t window) {
  return std::string(kUsagePrefix) + std::to_string(window);
}

}  // namespace

FleetDuties::FleetDuties(FleetDutiesOptions options,
                         const Clock& clock,
                         KeyValueStore& store,
                         PlatformDuties& platform,
                         FleetDutiesInputs inputs)
    : options(std::move(options)),
      clock(&clock),
      store(&store),
      platform(&platform),
      inputs(std::move(inputs)),
      lease({.data_centre = Group(),
             .host = this->options.host,
             .incarnation = this->options.incarnation,
             .length = this->options.lease,
             .margin = kLeaseMargin,
             .renew_every = this->options.lease / 4,
             .poll_every = std::chrono::milliseconds(1500),
             .call_timeout = std::chrono::milliseconds(1600)}),
      usage({.host = this->options.host,
             .incarnation = this->options.incarnation},
            this->options.window),
      fleet_time(clock.WallMilliseconds(),
                 ToMilliseconds(clock.Now().time_since_epoch())),
      tenure(this->options.lease) {}

FleetDuties::~FleetDuties() = default;

int64_t FleetDuties::UnixMilliseconds() const {
  return this->fleet_time.UnixAt(
      ToMilliseconds(this->clock->Now().time_since_epoch()));
}

void FleetDuties::OnPeerTime(const HostId& host, int64_t unix_ms) {
  const int64_t before = this->UnixMilliseconds();
  this->fleet_time.OnPeer(
      host, unix_ms, ToMilliseconds(this->clock->Now().time_since_epoch()));
  const int64_t change = this->UnixMilliseconds() - before;
  if (std::abs(change) >= kLoggedTimeChangeMs) {
    LogInfo(kPart, "Fleet time corrected.",
            {{"change_ms", std::to_string(change)},
             {"told_by", host.Text()},
             {"told_ms", std::to_string(unix_ms - before)}});
  }
}

void FleetDuties::Start() {
  this->started = this->clock->Now();
  this->timer = Timer::Every(kTick, [this] { this->Tick(); });
}

void FleetDuties::Retire() {
  const Instant now = this->clock->Now();
  this->release_by = now + kReleaseTimeout;
  if (this->MayAct()) {
    this->ReportDue();
  }
  this->ReleaseWhenIdle(now);
}

std::vector<EndpointId> FleetDuties::ChangingRole() const {
  std::vector<EndpointId> changing;
  for (const auto& [id, order] : this->role_orders) {
    if (!order.refused) {
      changing.push_back(id);
    }
  }
  return changing;
}

bool FleetDuties::MayAct() const {
  const Instant now = this->clock->Now();
  return this->lease.MayAct(now) && this->tenure.MayAct(now);
}

DutyAuthority FleetDuties::Authority() const {
  return {.holder = this->options.host,
          .fencing = this->lease.Fencing(),
          .may_send = [this, fencing = this->lease.Fencing()] {
            return this->MayAct() && this->lease.Fencing() == fencing;
          }};
}

void FleetDuties::Tick() {
  const Instant now = this->clock->Now();
  std::vector<LeaseAction> actions;
  this->lease.SetRank(static_cast<int64_t>(this->inputs.rank()));
  this->lease.OnTick(now, actions);
  this->NoteHolding(now);
  this->Run(actions);
  if (this->MayAct()) {
    this->ReportDue();
    if (!this->release_by && now >= this->orders_start) {
      this->PlanRoles(now);
      this->PlanEngines(now);
    }
  }
  this->ReleaseWhenIdle(now);
}

void FleetDuties::ReleaseWhenIdle(Instant now) {
  const bool idle = this->tenure.Idle() && this->under_way.empty();
  const bool waits =
      this->lease.Held() && !idle && now < this->release_by.value_or(now);
  if (!this->release_by || waits) {
    return;
  }
  std::vector<LeaseAction> actions;
  if (this->lease.Held()) {
    const Duration successor_wait = this->tenure.SuccessorWait(now);
    LogInfo(kPart, "Releasing the duties.",
            {{"fencing", std::to_string(this->lease.Fencing())},
             {"idle", idle ? "true" : "false"},
             {"successor_wait_ms", MillisecondsText(successor_wait)}});
    this->lease.Release(now, successor_wait, actions);
  } else {
    this->lease.Retire(actions);
  }
  this->release_by.reset();
  // Resets connections, so it must precede sending the release record.
  this->NoteHolding(now);
  this->Run(actions);
}

void FleetDuties::NoteHolding(Instant now) {
  const bool held = this->lease.Held();
  if (held == this->holding) {
    return;
  }
  this->holding = held;
  if (held) {
    this->NoteTaken(now);
    return;
  }
  LogInfo(kPart, "Let go of the duties.",
          {{"fencing", std::to_string(this->lease.Fencing())}});
  // An unanswered call could otherwise still arrive after the next holder has
  // started to act.
  this->platform->CancelAll();
  this->tenure.OnCallsCancelled(now);
  this->under_way.clear();
  this->role_orders.clear();
  this->scale_orders.clear();
  this->spot_unavailable_until.clear();
  this->initial_engines.clear();
  this->planned.clear();
  this->live_counts.clear();
  this->reported.clear();
}

void FleetDuties::NoteTaken(Instant now) {
  this->first_tenure =
      this->options.first_start && now - this->started < this->options.lease;
  const std::optional<LeaseRelease>& released = this->lease.Released();
  Duration wait = this->options.lease;
  std::string_view reason = "no release";
  if (this->first_tenure) {
    wait = Duration{};
    reason = "first start";
  } else if (released) {
    wait = released->wait;
    reason = "released";
  }
  this->tenure.OnLeaseAcquired(now, wait);
  this->orders_start =
      this->first_tenure ? now : now + std::max(wait, this->options.lease);
  LogInfo(kPart, "Took the duties.",
          {{"fencing", std::to_string(this->lease.Fencing())},
           {"wait_ms", MillisecondsText(wait)},
           {"reason", std::string(reason)},
           {"earlier_holder", released ? released->host.Text() : ""}});
}

// Wraps `done` so that the tenure records the start and end of the call.
PlatformDuties::Done FleetDuties::TrackCall(PlatformDuties::Done done) {
  return [this, call = this->tenure.OnCallStarted(this->clock->Now()),
          done = std::move(done)](DutyOutcome outcome) {
    this->tenure.OnCallEnded(this->clock->Now(), call,
                             outcome == DutyOutcome::kUnknown
                                 ? CallEnd::kUnanswered
                                 : CallEnd::kAnswered);
    done(outcome);
  };
}

void FleetDuties::ApplyLeaseStep(
    Instant now,
    const std::function<bool(std::vector<LeaseAction>&)>& step) {
  std::vector<LeaseAction> actions;
  step(actions);
  this->NoteHolding(now);
  this->Run(actions);
}

void FleetDuties::Run(const std::vector<LeaseAction>& actions) {
  for (const LeaseAction& action : actions) {
    if (const auto* run = std::get_if<RunTransaction>(&action)) {
      this->store->Transact(
          run->transaction, [this, tag = run->tag](const StoreReply& reply) {
            const Instant now = this->clock->Now();
            this->ApplyLeaseStep(now, [&](std::vector<LeaseAction>& out) {
              return this->lease.OnStoreReply(now, tag, reply, out);
            });
          });
    } else if (const auto* grant = std::get_if<GrantLease>(&action)) {
      this->store->GrantLease(
          grant->length, [this, tag = grant->tag](Result<int64_t> granted) {
            const Instant now = this->clock->Now();
            this->ApplyLeaseStep(now, [&](std::vector<LeaseAction>& out) {
              return this->lease.OnLeaseGranted(now, tag, granted, out);
            });
          });
    } else if (const auto* renew = std::get_if<RenewLease>(&action)) {
      this->store->RenewLease(
          renew->lease, [this, tag = renew->tag](Result<Duration> left) {
            const Instant now = this->clock->Now();
            this->ApplyLeaseStep(now, [&](std::vector<LeaseAction>& out) {
              return this->lease.OnLeaseRenewed(now, tag, left, out);
            });
          });
    } else if (const auto* revoke = std::get_if<RevokeLease>(&action)) {
      this->store->RevokeLease(revoke->lease, [](const Result<int64_t>&) {});
    }
  }
}

Duration FleetDuties::ReportReserve() const {
  const bool just_started =
      this->clock->Now() - this->started < this->options.lease;
  return just_started ? std::min(kNewHostReserve, this->options.report_reserve)
                      : this->options.report_reserve;
}

// Closes each finished window for which all hosts have sent their counts, or
// whose report is due soon.
void FleetDuties::ReportDue() {
  if (this->clock->Now() < this->next_report) {
    return;
  }
  const int64_t now = this->UnixMilliseconds();
  const int64_t current = this->usage.WindowAt(now);
  const int64_t oldest = this->usage.WindowAt(
      now - ToMilliseconds(this->options.report_due + this->options.window));
  const std::vector<HostId> hosts = this->inputs.other_hosts();
  for (int64_t window = oldest; window < current; ++window) {
    const int64_t passed = now - this->usage.EndOf(window);
    const bool complete =
        std::ranges::all_of(hosts, [this, window](const HostId& host) {
          return this->usage.HasCompleteCounts(host, window);
        });
    const bool urgent = passed >= ToMilliseconds(this->options.report_due -
                                                 this->ReportReserve());
    if (!this->reported.contains(window) && !this->under_way.contains(window) &&
        passed >= ToMilliseconds(kMinCloseDelay) && (complete || urgent)) {
      LogInfo(kPart, "Usage window closed.",
              {{"window", std::to_string(window)},
               {"reason", complete ? "counts complete" : "report due"},
               {"after_end_ms", std::to_string(passed)}});
      this->WriteWindow(window);
    }
  }
}

// Stores a window's counts before they are reported. A repeated report of the
// window, possibly by another holder, must not differ from the first, so it
// uses the stored counts.
void FleetDuties::WriteWindow(int64_t window) {
  this->under_way.insert(window);
  const WindowCounts counts = this->usage.Total(window);
  const std::string key = UsageKey(window);
  this->store->Transact(
      {.conditions = {{.key = key, .revision = 0}},
       .then = {StorePut(key, EncodeWindowCounts(counts)),
                StoreDelete(UsageKey(window - kKeptWindowRecords))},
       .otherwise = {StoreGet(key)}},
      [this, window, counts](const StoreReply& reply) {
        if (reply.outcome == StoreOutcome::kThen) {
          this->ReportWindow(window, counts);
          return;
        }
        const auto found =
            reply.outcome == StoreOutcome::kOtherwise && !reply.records.empty()
                ? DecodeWindowCounts(reply.records.front().value)
                : Result<WindowCounts>(
                      Fail(ErrorKind::kPlatformDown, "not written"));
        if (found) {
          this->ReportWindow(window, *found);
        } else {
          this->under_way.erase(window);  // retried on the next tick
        }
      });
}

void FleetDuties::ReportWindow(int64_t window, const WindowCounts& counts) {
  if (!this->MayAct()) {
    this->under_way.erase(window);
    return;
  }
  this->platform->ReportUsage(
      {.window = window, .counts = counts}, this->Authority(),
      this->TrackCall([this, window](DutyOutcome outcome) {
        this->under_way.erase(window);
        if (outcome == DutyOutcome::kAccepted) {
          this->reported.insert(window);
        } else {
          this->next_report = this->clock->Now() + kReportRetry;
        }
        LogInfo(
            kPart, "Usage reported.",
            {{"window", std::to_string(window)},
             {"accepted", outcome == DutyOutcome::kAccepted ? "true" : "false"},
             {"fencing", std::to_string(this->lease.Fencing())}});
      }));
}

}  // namespace hickorystand
