// RelayedRequest's wait for room at an endpoint, in the order of the admission
// gate. Only requests of contended services wait, and only before they are sent
// for the first time.

#include <algorithm>
#include <utility>

#include "relay/relayed_request.h"

namespace hickorystand {
namespace {

// What a waiting request holds besides its body.
constexpr int64_t kStateBytes = 4096;

}  // namespace

void RelayedRequest::TakeTicket() {
  const bool fresh = !this->origin.resent && this->origin.earlier_sends == 0 &&
                     !this->progress.Begun() && !this->StreamBegun();
  if (!fresh || !this->relay->placement.IsContended(this->service)) {
    return;
  }
  this->ordered = true;
  this->ticket = this->relay->admission.OnArrival(
      {.service = this->service,
       .account = this->account,
       .route = this->route->name,
       .priority = this->priority.value_or(0),
       .target = this->route->target_latency > Duration{}
                     ? this->route->target_latency
                     : this->route->timeout,
       .arrived = this->arrived,
       .time_left = this->request.timeout,
       .cost = this->relay->placement.WorkMilliseconds(this->shape),
       .bytes = std::ssize(*this->body) + kStateBytes});
}

bool RelayedRequest::MayQueue() const {
  return this->ordered && !this->queued && !this->admission_counted &&
         this->arrivals == 0 && !this->caller->MayHaveRun() &&
         !this->StreamBegun();
}

// Whether requests that wait go before this one.
bool RelayedRequest::MustWaitInOrder() const {
  return this->MayQueue() && this->relay->admission.MustWait(this->ticket);
}

// Waits until an endpoint has room, which is expected after `until_room`, or
// refuses the request.
void RelayedRequest::WaitForRoom(Duration until_room) {
  const auto keep = this->shared_from_this();
  this->until_room = until_room;
  this->queued = true;
  this->queued_at = this->relay->clock->Now();
  const auto weak = this->weak_from_this();
  const auto refused = this->relay->admission.Wait(
      this->ticket, {.start =
                         [weak] {
                           if (const auto keep = weak.lock()) {
                             keep->StartFromQueue();
                           }
                         },
                     .refuse =
                         [weak](std::string_view why) {
                           if (const auto keep = weak.lock()) {
                             keep->RefuseFromQueue(why);
                           }
                         }});
  if (refused) {
    this->RefuseFromQueue(*refused);
    return;
  }
  // The refusal of a displaced request may have ended this one.
  if (!this->queued) {
    return;
  }
  this->relay->Log(
      LogLevel::kDebug, this->request.id, "Waits for room.",
      {{"service", this->service.Text()},
       {"account", this->account.Text()},
       {"class", std::to_string(this->ticket.entry.priority)},
       {"waiting", std::to_string(this->relay->admission.Waiting())},
       {"caller_age_ms", MillisecondsText(this->ticket.caller_age)},
       {"max_wait_ms", MillisecondsText(this->ticket.max_wait)}});
}

void RelayedRequest::EndWait() {
  if (std::exchange(this->queued, false)) {
    const Instant now = this->relay->clock->Now();
    this->waited += now - this->queued_at.value_or(now);
  }
}

// Milliseconds that the request has spent in the gate, for logs; empty if it
// never waited.
std::string RelayedRequest::WaitedText() const {
  if (!this->queued_at) {
    return "";
  }
  return MillisecondsText(this->waited +
                          (this->queued
                               ? this->relay->clock->Now() - *this->queued_at
                               : Duration{}));
}

// Interrupts the wait until the endpoint's run is known. The rest of it is left
// in case that there is no room then.
void RelayedRequest::LeaveQueue() {
  if (!this->queued) {
    return;
  }
  const Duration before = this->waited;
  this->EndWait();
  this->relay->admission.Leave(this->ticket);
  this->ticket.max_wait =
      std::max(this->ticket.max_wait - (this->waited - before), Duration{});
}

// Charges a send to the account.
void RelayedRequest::CountAdmission() {
  if (!this->ordered) {
    return;
  }
  const bool again = std::exchange(this->charged_again, false);
  if (!std::exchange(this->admission_counted, true)) {
    this->EndWait();
    this->relay->admission.OnStarted(this->ticket);
  } else if (again) {
    this->relay->admission.OnSentAgain(this->ticket);
  }
}

// Sends the request if an endpoint has room for it.
void RelayedRequest::StartFromQueue() {
  const auto keep = this->shared_from_this();
  if (!this->queued || this->EndIfCutOff()) {
    return;
  }
  const PlacementResult verdict = this->relay->placement.Place(
      this->relay->clock->Now(), this->Profile(), this->tried);
  const auto* refused = std::get_if<PlacementRefusal>(&verdict);
  if (refused != nullptr && refused->reason == kOverloaded) {
    this->until_room = refused->retry_after;
    return;
  }
  if (refused != nullptr) {
    this->OnNoPlacement(*refused);
  } else {
    this->SendTo(std::get<PlacementTarget>(verdict));
  }
}

void RelayedRequest::RefuseFromQueue(std::string_view why) {
  const auto keep = this->shared_from_this();
  if (!this->queued) {
    return;
  }
  this->EndWait();
  this->relay->Log(
      LogLevel::kInfo, this->request.id, "Refused by the admission queue.",
      {{"service", this->service.Text()},
       {"account", this->account.Text()},
       {"class", std::to_string(this->ticket.entry.priority)},
       {"why", std::string(why)},
       {"waited_ms", this->WaitedText()},
       {"waiting", std::to_string(this->relay->admission.Waiting())},
       {"caller_age_ms", MillisecondsText(this->ticket.caller_age)},
       {"until_room_ms", MillisecondsText(this->until_room)}});
  this->RefusePlacement(kOverloaded, this->until_room);
}

}  // namespace hickorystand
