// Requests that began, counted by window of true time and client account, on
// one host and as other hosts tell of it.
//
// Counters of one run of a host only grow, so a copy that comes late, twice or
// out of order changes nothing: the higher count wins.

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

// What one run of a host counted, and up to when.
struct WindowCopy {
  UsageSource source;
  int64_t until_ms = 0;  // Unix time up to which it is complete
  std::map<int64_t, WindowCounts> windows;

  bool operator==(const WindowCopy&) const = default;
};

// The copy as JSON.
std::string EncodeWindowCopy(const WindowCopy& copy);
Result<WindowCopy> DecodeWindowCopy(const std::string& text);

// Counts as JSON, as they stand in the record of a window.
std::string EncodeWindowCounts(const WindowCounts& counts);
Result<WindowCounts> DecodeWindowCounts(const std::string& text);

class UsageWindows {
 public:
  UsageWindows(UsageSource self, Duration window)
      : self(std::move(self)), window(window) {}

  // A request of an account began here.
  void OnBegun(int64_t unix_ms, const AccountId& account);

  // What this host counted in the windows that may still be reported.
  WindowCopy OwnCopy(int64_t unix_ms);

  // Everything known, of all hosts and also of their earlier runs. A host that
  // has just started is told it: it may be the one that reports, and what was
  // counted by runs that have ended stands nowhere else.
  std::vector<WindowCopy> AllCopies() const;

  // What another host counted.
  void Merge(const WindowCopy& copy);

  // The sum over all hosts.
  WindowCounts Total(int64_t window) const;

  // Whether a host's counts up to the end of a window are known.
  bool Knows(const HostId& host, int64_t window) const;

  int64_t WindowAt(int64_t unix_ms) const;
  int64_t EndOf(int64_t window) const;  // Unix milliseconds

 private:
  void Forget(int64_t oldest);

  UsageSource self;
  Duration window;
  std::map<UsageSource, WindowCopy> copies;
};

}  // namespace hickorystand
