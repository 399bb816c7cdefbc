#include "decisions/fleet_share.h"

#include <algorithm>

namespace hickorystand {

void FleetShare::OnRegistered(Instant now) {
  this->registered_at = now;
  this->lease_end = now;  // unknown until the first renewal
}

void FleetShare::OnRenewed(Instant requested_at, Duration length) {
  this->lease_end = std::max(this->lease_end, requested_at + length);
}

void FleetShare::OnUnregistered() {
  this->registered_at.reset();
}

bool FleetShare::OnListed(Instant requested_at,
                          const std::set<HostId>& listed) {
  this->listed_at = requested_at;
  this->hosts = listed.size();
  const bool missing = this->registered_at &&
                       *this->registered_at < requested_at &&
                       !listed.contains(this->self);
  if (missing) {
    this->OnUnregistered();
  }
  return !missing;
}

ShareTerm FleetShare::Term(Instant now) const {
  const Duration margin = this->options.clock_margin;
  const Instant until =
      std::min(this->listed_at + this->options.settle_time - margin,
               this->lease_end - margin);
  const bool holds = this->spending && this->hosts > 0 && this->registered_at &&
                     now - *this->registered_at >= this->options.settle_time &&
                     now < until;
  return holds ? ShareTerm{.part = 1 / static_cast<double>(this->hosts),
                           .until = until}
               : ShareTerm{};
}

}  // namespace hickorystand
