// How long a new holder of the duties lease must wait before it may send calls
// to the platform and the engines.
//
// The platform and the engines don't compare fencing numbers, so no call of an
// earlier holder may arrive after a new holder has begun to act. Unanswered
// calls may still be in the network; they are assumed to be lost one lease
// length after their connections were reset. A holder that stops without a
// release may have such calls, so its successor waits that long. A holder that
// releases the lease has stopped sending and has recorded which of its calls
// were answered, so it passes on the longest remaining wait, including its own.
// A tenure shorter than the lease length passes on the remainder of it, so that
// hosts don't alternate within that time.
//
//   DutyTenure tenure(lease_length);
//   tenure.OnLeaseAcquired(now, wait);
//   const uint64_t call = tenure.OnCallStarted(now);
//   tenure.OnCallEnded(now, call, CallEnd::kAnswered);
//   if (tenure.Idle()) {
//     lease.Release(now, tenure.SuccessorWait(now), actions);
//   }

#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "kernel/time.h"

namespace hickorystand {

// How a call of the holder ended.
enum class CallEnd {
  kAnswered,    // answered, or no byte of it was sent
  kUnanswered,  // it may still arrive
};

// Tracks the calls of one host while it holds the lease, and computes the wait
// before its own first call and before those of its successor. Calls in flight
// are counted across tenures of the same host.
class DutyTenure {
 public:
  explicit DutyTenure(Duration lease_length) : lease_length(lease_length) {}

  // This host has acquired the lease; calls of earlier holders may arrive for
  // `wait` from now.
  void OnLeaseAcquired(Instant now, Duration wait);

  // A call is about to be sent; returns its number.
  uint64_t OnCallStarted(Instant now);
  void OnCallEnded(Instant now, uint64_t call, CallEnd end);

  // The connections of all calls in flight were reset.
  void OnCallsCancelled(Instant now);

  // Whether calls may be sent now. Holding the lease is checked separately.
  bool MayAct(Instant now) const { return now >= this->act_from; }

  // Whether each call has ended.
  bool Idle() const { return this->calls.empty(); }

  // How long the next holder has to wait if this one sends nothing from now on.
  Duration SuccessorWait(Instant now) const;

 private:
  Duration lease_length;
  Instant act_from{};
  std::optional<Instant> first_call;  // of this tenure
  std::optional<Instant> last_unanswered;
  std::set<uint64_t> calls;  // in flight
  uint64_t last_call = 0;
};

}  // namespace hickorystand
