#include "decisions/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace hickorystand {
namespace {

// The number of a host's latest reports, the highest of which counts: a delayed
// message reports a past time, never a future one. At two messages per second,
// a wrong report is dropped within four seconds.
constexpr size_t kReportsPerHost = 8;

// The number of hosts that are tracked. More would not improve the median.
constexpr size_t kMaxHosts = 64;

}  // namespace

void FleetClock::OnPeer(const HostId& host, int64_t unix_ms, int64_t boot_ms) {
  if (!this->reported_offsets.contains(host) &&
      this->reported_offsets.size() >= kMaxHosts) {
    return;
  }
  std::deque<int64_t>& reports = this->reported_offsets[host];
  reports.push_back(unix_ms - boot_ms);
  if (reports.size() > kReportsPerHost) {
    reports.pop_front();
  }
}

// Other hosts report the time that they agreed on before, while this host may
// have started with a wrong time of day. With two hosts, the other one's time
// is therefore used.
int64_t FleetClock::Offset() const {
  if (this->reported_offsets.empty()) {
    return this->own_offset;
  }
  std::vector<int64_t> offsets;
  for (const auto& [host, reports] : this->reported_offsets) {
    offsets.push_back(std::ranges::max(reports));
  }
  if (offsets.size() % 2 == 0) {
    offsets.push_back(this->own_offset);
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::ranges::nth_element(offsets, middle);
  return *middle;
}

}  // namespace hickorystand
