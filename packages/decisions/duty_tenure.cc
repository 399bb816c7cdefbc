#include "decisions/duty_tenure.h"

#include <algorithm>

namespace hickorystand {

void DutyTenure::OnLeaseAcquired(Instant now, Duration wait) {
  this->act_from = now + wait;
  this->first_call.reset();
}

uint64_t DutyTenure::OnCallStarted(Instant now) {
  this->first_call = this->first_call.value_or(now);
  this->calls.insert(++this->last_call);
  return this->last_call;
}

void DutyTenure::OnCallEnded(Instant now, uint64_t call, CallEnd end) {
  if (this->calls.erase(call) != 0 && end == CallEnd::kUnanswered) {
    this->last_unanswered = now;
  }
}

void DutyTenure::OnCallsCancelled(Instant now) {
  if (!this->calls.empty()) {
    this->last_unanswered = now;
    this->calls.clear();
  }
}

Duration DutyTenure::SuccessorWait(Instant now) const {
  if (!this->Idle()) {
    return this->lease_length;
  }
  Instant clear_at = std::max(now, this->act_from);
  for (const auto& since : {this->first_call, this->last_unanswered}) {
    if (since) {
      clear_at = std::max(clear_at, *since + this->lease_length);
    }
  }
  return clear_at - now;
}

}  // namespace hickorystand
