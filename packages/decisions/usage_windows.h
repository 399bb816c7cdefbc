// Counts of started requests by time window and client account, of this host
// and, from their copies, of the other hosts. Windows are aligned to the time
// that the hosts agree on (see FleetClock), not to one host's time of day.
//
// Counters of one run of a host only grow, so merging a copy is idempotent: a
// copy that arrives late, twice or out of order changes nothing, as the higher
// count wins.
//
// Index
//   WindowCounts, WindowCopy   counts, and their form in messages
//   UsageWindows               the counts of all hosts
//
//   UsageWindows windows(self, std::chrono::seconds(5));
//   windows.OnRequestStarted(unix_ms, account);
//   windows.Merge(copy_of_other_host);
//   if (windows.HasCompleteCounts(host, window)) {
//     Report(window, windows.Total(window));
//   }

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/usage.h"
#include "kernel/error.h"
#include "kernel/ids.h"

namespace hickorystand {

// Requests by account.
using WindowCounts = std::map<AccountId, int64_t>;

// The counts of one run of a host.
struct WindowCopy {
  UsageSource source;
  int64_t until_ms = 0;  // Unix time up to which the counts are complete
  std::map<int64_t, WindowCounts> windows;

  bool operator==(const WindowCopy&) const = default;
};

// The copy as JSON.
std::string EncodeWindowCopy(const WindowCopy& copy);
Result<WindowCopy> DecodeWindowCopy(const std::string& text);

// Counts as JSON, as in the stored record of a window.
std::string EncodeWindowCounts(const WindowCounts& counts);
Result<WindowCounts> DecodeWindowCounts(const std::string& text);

// Keeps the counts of the windows that may still be reported. Times are Unix
// milliseconds; a window's number is its start divided by its length.
class UsageWindows {
 public:
  UsageWindows(UsageSource self, Duration window)
      : self(std::move(self)), window(window) {}

  // A request of an account started on this host.
  void OnRequestStarted(int64_t unix_ms, const AccountId& account);

  // This host's counts, complete up to `unix_ms`. Drops windows that are too
  // old to be reported.
  WindowCopy OwnCopy(int64_t unix_ms);

  // The counts of all hosts, including their earlier runs. Sent to a host that
  // has just started: it may become the one that reports, and the counts of
  // runs that have ended aren't stored anywhere else.
  std::vector<WindowCopy> AllCopies() const;

  // Merges the counts of another host.
  void Merge(const WindowCopy& copy);

  // The sum over all hosts.
  WindowCounts Total(int64_t window) const;

  // Whether a host's counts are complete up to the end of a window.
  bool HasCompleteCounts(const HostId& host, int64_t window) const;

  int64_t WindowAt(int64_t unix_ms) const;
  int64_t EndOf(int64_t window) const;  // Unix milliseconds

 private:
  void DropOldWindows(int64_t oldest);

  UsageSource self;
  Duration window;
  std::map<UsageSource, WindowCopy> copies;
};

}  // namespace hickorystand
