// True time as the hosts of a fleet agree on it. The time of day of a few hosts
// may be wrong by seconds, also at the moment when one of them starts; counts
// by window of true time would then land in the wrong windows for as long as
// that process lives. So each host takes the median of what all hosts say.
//
// Times are Unix milliseconds and milliseconds of the clock since boot, which
// goes on while a host is suspended and is never set.

#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "kernel/ids.h"

namespace hickorystand {

class FleetClock {
 public:
  // This host's time of day at its start.
  FleetClock(int64_t unix_ms, int64_t boot_ms) : own(unix_ms - boot_ms) {}

  // Another host has just said which time it has.
  void OnPeer(const HostId& host, int64_t unix_ms, int64_t boot_ms);

  // True time at a moment of this host's clock since boot.
  int64_t UnixAt(int64_t boot_ms) const { return boot_ms + this->Offset(); }

 private:
  int64_t Offset() const;

  int64_t own = 0;  // Unix time when the clock since boot was 0
  std::map<HostId, std::deque<int64_t>> others;  // the same, as they said last
};

}  // namespace hickorystand
