#include "decisions/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace hickorystand {
namespace {

// What a host said last, of which the highest counts: a message that was held
// up says a time that is past, never one that is to come. At two messages a
// second this forgets within four seconds that a host was wrong.
constexpr size_t kSaid = 8;

// Hosts that are remembered. More would make no better median.
constexpr size_t kMostHosts = 64;

}  // namespace

void FleetClock::OnPeer(const HostId& host, int64_t unix_ms, int64_t boot_ms) {
  if (!this->others.contains(host) && this->others.size() >= kMostHosts) {
    return;
  }
  std::deque<int64_t>& said = this->others[host];
  said.push_back(unix_ms - boot_ms);
  if (said.size() > kSaid) {
    said.pop_front();
  }
}

// Hosts that stay say what they agreed on before, and this host may have just
// started with a wrong time of day. So with two opinions the other one counts.
int64_t FleetClock::Offset() const {
  if (this->others.empty()) {
    return this->own;
  }
  std::vector<int64_t> offsets;
  for (const auto& [host, said] : this->others) {
    offsets.push_back(std::ranges::max(said));
  }
  if (offsets.size() % 2 == 0) {
    offsets.push_back(this->own);
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::ranges::nth_element(offsets, middle);
  return *middle;
}

}  // namespace hickorystand
