#include "relay/admission_gate.h"

#include <array>
#include <ranges>
#include <utility>
#include <vector>

namespace hickorystand {
namespace {

// How a wait ends.
constexpr std::string_view kStarted = "started";
constexpr std::string_view kExpired = "expired";
constexpr std::string_view kDisplaced = "displaced";
constexpr std::string_view kHopeless = "hopeless";
constexpr std::string_view kLeft = "left";
constexpr std::array kOutcomes = {kStarted, kExpired, kDisplaced, kHopeless,
                                  kLeft};

// Requests that were sent to an endpoint for the first time, and requests that
// were refused for lack of room, by service and class.
constexpr const char* kStartedTotal = "admission_started_total";
constexpr const char* kRefusedTotal = "admission_refused_total";

constexpr std::string_view kNoRoom = "overloaded: no room within the wait";
constexpr std::string_view kDisplacedByOthers =
    "overloaded: the admission queue is full";

}  // namespace

AdmissionGate::AdmissionGate(const Clock& clock,
                             Metrics& metrics,
                             const AdmissionGateOptions& options)
    : clock(&clock),
      metrics(&metrics),
      options(options),
      admission(options.admission),
      reserve(options.reserve),
      returns(options.returns) {
  for (const std::string_view outcome : kOutcomes) {
    this->metrics->Add("admission_waits_total", 0,
                       {{"outcome", std::string(outcome)}});
  }
}

AdmissionTicket AdmissionGate::OnArrival(const AdmissionArrival& arrival) {
  const Instant now = this->clock->Now();
  this->admission.OnAsked(now, arrival.service, arrival.priority,
                          arrival.account);
  this->reserve.OnAsked(now, arrival.service, arrival.priority, arrival.target);
  // Counters exist before the first request is counted, so that their first
  // increase shows in rates.
  if (this->counted.emplace(arrival.service, arrival.priority).second) {
    for (const bool most_urgent : {false, true}) {
      for (const char* counter : {kStartedTotal, kRefusedTotal}) {
        this->CountByClass(counter, arrival.service, arrival.priority,
                           most_urgent, 0);
      }
    }
  }
  const Duration age =
      this->ages.Observe(now, arrival.route, arrival.time_left);
  // Callers choose the ids of their requests and may repeat them.
  const RequestId id(std::to_string(++this->last_number));
  return {.entry = {.request = id,
                    .account = arrival.account,
                    .service = arrival.service,
                    .priority = arrival.priority,
                    .cost = arrival.cost,
                    .bytes = arrival.bytes,
                    .due = arrival.arrived - age + arrival.target},
          .caller_age = age,
          .max_wait = FromSeconds(ToSeconds(arrival.target) *
                                  this->options.max_wait_share)};
}

bool AdmissionGate::MustWait(const AdmissionTicket& ticket) const {
  return this->admission.GoesBefore(ticket.entry.service,
                                    ticket.entry.priority);
}

std::optional<std::string_view> AdmissionGate::Wait(
    const AdmissionTicket& ticket,
    AdmissionWaiter waiter) {
  const Instant now = this->clock->Now();
  const RequestId& id = ticket.entry.request;
  this->lacked_room_at = now;
  if (this->admission.ExpectedWaitSeconds(now, ticket.entry) >
      ToSeconds(ticket.max_wait)) {
    this->Count(kHopeless, {.since = now});
    return kNoRoom;
  }
  this->waiting.emplace(id, Entry{.waiter = std::move(waiter),
                                  .since = now,
                                  .until = now + ticket.max_wait});
  // All leave the queue before the first of them is refused, since a refusal
  // may end other requests or bring new ones.
  bool queued = true;
  std::vector<AdmissionWaiter> displaced;
  for (const RequestId& last : this->admission.Enqueue(now, ticket.entry)) {
    const auto entry = this->waiting.extract(last);
    this->Count(kDisplaced, entry.mapped());
    if (last == id) {
      queued = false;
    } else {
      displaced.push_back(entry.mapped().waiter);
    }
  }
  if (!this->timer && !this->waiting.empty()) {
    this->timer =
        Timer::Every(this->options.retry_interval, [this] { this->Turn(); });
  }
  for (const AdmissionWaiter& refused : displaced) {
    refused.refuse(kDisplacedByOthers);
  }
  return queued ? std::nullopt : std::optional(kDisplacedByOthers);
}

void AdmissionGate::Leave(const AdmissionTicket& ticket) {
  if (const auto left = this->waiting.extract(ticket.entry.request)) {
    this->admission.Remove(ticket.entry.request);
    this->Count(kLeft, left.mapped());
  }
}

void AdmissionGate::OnStarted(const AdmissionTicket& ticket) {
  const Instant now = this->clock->Now();
  const AdmissionEntry& entry = ticket.entry;
  if (const auto waited = this->waiting.extract(entry.request)) {
    this->admission.Start(now, entry.request);
    this->admission.OnEnded(entry.account);
    this->Count(kStarted, waited.mapped());
  } else {
    this->admission.StartDirectly(now, entry);
  }
  this->returns.OnStarted(now, entry.service);
  this->CountByClass(kStartedTotal, entry.service, entry.priority);
}

void AdmissionGate::OnSentAgain(const AdmissionTicket& ticket) {
  this->admission.AdjustCost(ticket.entry.account, ticket.entry.cost);
}

Duration AdmissionGate::OnRefused(const AdmissionTicket& ticket,
                                  Duration until_room,
                                  Duration left) {
  const Instant now = this->clock->Now();
  const AdmissionEntry& entry = ticket.entry;
  this->lacked_room_at = now;
  this->reserve.OnRefused(now, entry.service, entry.priority);
  this->CountByClass(kRefusedTotal, entry.service, entry.priority);
  return this->returns.Next(now, {.service = entry.service,
                                  .priority = entry.priority,
                                  .left = left,
                                  .until_room = until_room});
}

std::vector<AccountServed> AdmissionGate::Served() {
  const Instant now = this->clock->Now();
  if (this->lacked_room_at == Instant{} ||
      now - this->lacked_room_at > this->options.report_after) {
    this->reported.clear();
  } else if (this->reported.empty() ||
             now - this->reported_at >= this->options.report_interval) {
    this->reported =
        this->admission.TakeServed(this->options.max_reported_accounts);
    this->reported_at = now;
  }
  return this->reported;
}

std::optional<Duration> AdmissionGate::MaxQueueWait(
    const AdmissionTicket& ticket) const {
  const AdmissionEntry& entry = ticket.entry;
  const Instant now = this->clock->Now();
  return this->reserve.MaxQueueWait(
      now, entry.service, entry.priority,
      {.urgent_waits =
           this->admission.MoreUrgentWaits(entry.service, entry.priority),
       .starved = this->admission.IsStarved(entry.service, entry.priority)});
}

void AdmissionGate::SetAccounts(const std::set<AccountId>& accounts) {
  this->admission.RetainAccounts(accounts);
  this->ages.Clear();
  this->reserve.Clear();
}

void AdmissionGate::Turn() {
  for (const ServiceId& service : this->admission.Services()) {
    this->TryHeads(service);
  }
  this->RefuseExpired();
  if (this->waiting.empty()) {
    this->timer.reset();
  }
}

void AdmissionGate::TryHeads(const ServiceId& service) {
  constexpr size_t kHeadsOfAccount = 2;
  const Instant now = this->clock->Now();
  for (const QueuedRequest& head :
       this->admission.Heads(now, service, kHeadsOfAccount) |
           std::views::take(this->options.tried_per_turn)) {
    const auto found = this->waiting.find(head.request);
    // The callback may end this request or others.
    if (found != this->waiting.end()) {
      const AdmissionWaiter waiter = found->second.waiter;
      waiter.start();
    }
  }
}

void AdmissionGate::RefuseExpired() {
  const Instant now = this->clock->Now();
  std::vector<RequestId> expired;
  for (const auto& [id, entry] : this->waiting) {
    // No request is held longer than its wait, so not until the next turn.
    if (entry.until < now + this->options.retry_interval) {
      expired.push_back(id);
    }
  }
  for (const RequestId& id : expired) {
    this->Refuse(id, kExpired, kNoRoom);
  }
}

void AdmissionGate::Refuse(const RequestId& request,
                           std::string_view outcome,
                           std::string_view why) {
  if (const auto refused = this->waiting.extract(request)) {
    this->admission.Remove(request);
    this->Count(outcome, refused.mapped());
    refused.mapped().waiter.refuse(why);
  }
}

void AdmissionGate::Count(std::string_view outcome, const Entry& ended) {
  this->metrics->Add("admission_waits_total", 1,
                     {{"outcome", std::string(outcome)}});
  this->metrics->Observe("admission_wait_seconds",
                         ToSeconds(this->clock->Now() - ended.since), {});
}

// `most_urgent`: no request of a more urgent class arrived lately.
void AdmissionGate::CountByClass(const std::string& counter,
                                 const ServiceId& service,
                                 int64_t priority,
                                 bool most_urgent,
                                 double requests) {
  this->metrics->Add(counter, requests,
                     {{"service", service.Text()},
                      {"class", std::to_string(priority)},
                      {"most_urgent", most_urgent ? "true" : "false"}});
}

void AdmissionGate::CountByClass(const std::string& counter,
                                 const ServiceId& service,
                                 int64_t priority) {
  this->CountByClass(
      counter, service, priority,
      this->reserve.IsMostUrgent(this->clock->Now(), service, priority), 1);
}

}  // namespace hickorystand
