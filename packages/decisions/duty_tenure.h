// When a new holder of the fleet's duties may act.
//
// The platform and the engines don't compare fencing numbers, so no call of an
// earlier holder may arrive once a new one acts. Calls that weren't answered
// may still be in the network; a lease's length after their connections were
// reset they are taken for gone. A holder that leaves without a release may
// have such calls, so its successor waits that long. One that releases the
// lease has stopped sending, and knows which of its calls were answered: it
// passes on the longest wait that is left, its own included. A tenure shorter
// than a lease's length passes on the rest of it, so that hosts don't alternate
// within that time.
//
//   DutyTenure tenure(lease_length);
//   tenure.OnTaken(now, wait);
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
  kAnswered,    // or no byte of it left this host
  kUnanswered,  // it may still arrive
};

class DutyTenure {
 public:
  explicit DutyTenure(Duration lease_length) : lease_length(lease_length) {}

  // This host holds the lease, and calls of earlier holders may arrive for
  // `wait` from now.
  void OnTaken(Instant now, Duration wait);

  // A call is about to be sent; returns its number.
  uint64_t OnCallStarted(Instant now);
  void OnCallEnded(Instant now, uint64_t call, CallEnd end);

  // The connections of all calls under way were reset.
  void OnCallsCancelled(Instant now);

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
  std::set<uint64_t> calls;  // under way
  uint64_t last_call = 0;
};

}  // namespace hickorystand
