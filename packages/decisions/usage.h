// Usage accounting per client account: counted at each host, copied to
// other hosts, and closed into windows by the data centre's coordinator.
//
// Counters only grow and belong to one incarnation of one host, so merging a
// copy is idempotent: a copy that arrives twice, late or out of order changes
// nothing, as the higher count wins. A window's figures are the growth of the
// counters since the last window. Usage that arrives late is part of a later
// window.
//
// Index
//   UsageCount, UsageCopy   cumulative counters, and their form in messages
//   UsageMeter              counts on one host
//   UsageLedger             the highest counts received, of all hosts
//   UsageWindow             a closed window and the counts it reached
//
//   UsageMeter meter({.host = host, .incarnation = incarnation});
//   meter.Add(account, {.prompt_tokens = 100, .requests = 1});
//   ledger.Merge(meter.Copy());
//   window = CloseUsageWindow(last, ledger, last.window + 1, fencing);

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/error.h"
#include "kernel/ids.h"

namespace hickorystand {

// Counters of one account.
struct UsageCount {
  int64_t prompt_tokens = 0;
  int64_t generated_tokens = 0;
  int64_t requests = 0;

  // Each counter's sum, difference or higher value.
  UsageCount Plus(const UsageCount& other) const;
  UsageCount Minus(const UsageCount& other) const;
  UsageCount Highest(const UsageCount& other) const;

  bool operator==(const UsageCount&) const = default;
};

using AccountUsage = std::map<AccountId, UsageCount>;

// The origin of counters: one run of one host's process.
struct UsageSource {
  HostId host;
  uint64_t incarnation = 0;

  auto operator<=>(const UsageSource&) const = default;
};

using SourceUsage = std::map<UsageSource, AccountUsage>;

// One source's cumulative counters, as sent from host to host.
struct UsageCopy {
  UsageSource source;
  AccountUsage counts;

  bool operator==(const UsageCopy&) const = default;
};

// The copy as JSON.
std::string EncodeUsageCopy(const UsageCopy& copy);
Result<UsageCopy> DecodeUsageCopy(const std::string& text);

// Counts the usage served by this host. Send a Copy() to the coordinator and to
// one other host about every second: a crash loses the usage since the last
// copy.
class UsageMeter {
 public:
  explicit UsageMeter(UsageSource source);

  // Adds a request's usage, which must not be negative.
  void Add(const AccountId& account, const UsageCount& used);

  // Everything counted so far.
  const UsageCopy& Copy() const { return this->copy; }

 private:
  UsageCopy copy;
};

// The highest counts received, by source. Every host keeps one, so that the
// next coordinator has the usage that it received before.
class UsageLedger {
 public:
  // Merges a copy from its source or from another host, in any order.
  void Merge(const UsageCopy& copy);

  // All counts, to be sent to a new coordinator.
  std::vector<UsageCopy> Copies() const;

  // Erases a source that no window needs any more.
  void Remove(const UsageSource& source);

  const SourceUsage& Sources() const { return this->sources; }

 private:
  SourceUsage sources;
};

// A closed window, as written once to the key-value service.
struct UsageWindow {
  int64_t window = 0;
  int64_t fencing = 0;   // of the coordinator that closed it
  AccountUsage figures;  // the usage to report
  SourceUsage counted;   // each source's counts in this and earlier windows
  // The highest ended incarnation of each host. Copies of it and of earlier
  // incarnations are ignored: otherwise a source that was dropped, but that
  // another host still sends, would be counted again from zero.
  std::map<HostId, uint64_t> ended;

  bool operator==(const UsageWindow&) const = default;
};

// Closes the window after `last`: its figures are the ledger's counts beyond
// those already counted. With a ledger that lags behind, nothing is counted
// twice. Sources in `ending`, and earlier incarnations of their hosts, are
// counted for the last time.
UsageWindow CloseUsageWindow(const UsageWindow& last,
                             const UsageLedger& ledger,
                             int64_t window,
                             int64_t fencing,
                             const std::vector<UsageSource>& ending = {});

// The key of a data centre's window in the store.
std::string UsageWindowKey(const DataCentreId& data_centre, int64_t window);

// The window as JSON.
std::string EncodeUsageWindow(const UsageWindow& window);
Result<UsageWindow> DecodeUsageWindow(const std::string& text);

}  // namespace hickorystand
