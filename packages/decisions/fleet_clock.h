// True time as agreed by the hosts of a fleet. The time of day of a few hosts
// may be wrong by seconds, also when one of them starts; counts per window of
// true time would then go into the wrong windows for the lifetime of that
// process. Each host therefore uses the median of the times that all hosts
// report.
//
// Times are Unix milliseconds, and milliseconds of the clock since boot, which
// continues while a host is suspended and is never adjusted.

#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "kernel/ids.h"

namespace hickorystand {

class FleetClock {
 public:
  // The host's time of day at its start.
  FleetClock(int64_t unix_ms, int64_t boot_ms)
      : own_offset(unix_ms - boot_ms) {}

  // Records the time of day that another host has just reported.
  void OnPeer(const HostId& host, int64_t unix_ms, int64_t boot_ms);

  // True time at a reading of this host's clock since boot.
  int64_t UnixAt(int64_t boot_ms) const { return boot_ms + this->Offset(); }

 private:
  int64_t Offset() const;

  int64_t own_offset = 0;  // Unix time when the clock since boot was 0
  std::map<HostId, std::deque<int64_t>>
      reported_offsets;  // latest reported offsets
};

}  // namespace hickorystand
