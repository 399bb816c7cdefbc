// What client accounts have used: counted at each entry host, copied to
// others, and closed into windows by the data centre's coordinator.
//
// Counters only grow and belong to one incarnation of one host, so a copy that
// is heard twice, late or out of order changes nothing: the higher count wins.
// A window's figures are what the counters have grown by since the last window.
// Usage that is heard of late falls into a later window.
//
// Index
//   UsageCount, UsageCopy   cumulative counters and how they travel
//   UsageMeter              counts on one host
//   UsageLedger             the highest counts heard of, of all hosts
//   UsageWindow             a closed window and what it counted up to

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

// Who counted: one run of one host's process.
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

// Counts what this host served. Send a Copy() to the coordinator and to one
// other host every second or so: what is lost when the host dies is what it
// served since.
class UsageMeter {
 public:
  explicit UsageMeter(UsageSource source);

  // Adds a request's share. Counters never shrink, which is asserted.
  void Add(const AccountId& account, const UsageCount& used);

  // Everything counted so far.
  const UsageCopy& Copy() const { return this->copy; }

 private:
  UsageCopy copy;
};

// The highest counts heard of, by source. Every host keeps one, so that
// whoever becomes coordinator next starts from what it heard.
class UsageLedger {
 public:
  // Takes a copy in, at first or second hand, in any order.
  void Merge(const UsageCopy& copy);

  // Everything known, to be sent on to a new coordinator.
  std::vector<UsageCopy> Copies() const;

  // Drops sources that no window needs any more.
  void Forget(const UsageSource& source);

  const SourceUsage& Sources() const { return this->sources; }

 private:
  SourceUsage sources;
};

// A closed window, as written once to the key-value service.
struct UsageWindow {
  int64_t window = 0;
  int64_t fencing = 0;   // of the coordinator that closed it
  AccountUsage figures;  // what is reported
  SourceUsage counted;   // up to where each source is in this or an earlier one
  // The highest incarnation of each host that counts no more. What is heard of
  // it, or of earlier ones, is too late: without this a forgotten source that
  // somebody still tells of would be counted a second time from the start.
  std::map<HostId, uint64_t> ended;

  bool operator==(const UsageWindow&) const = default;
};

// Closes the window after `last`: figures are what the ledger has beyond what
// was counted already. A ledger that lags behind counts nothing twice. Sources
// in `ending` are counted for the last time, with earlier ones of their hosts.
UsageWindow CloseUsageWindow(const UsageWindow& last,
                             const UsageLedger& ledger,
                             int64_t window,
                             int64_t fencing,
                             const std::vector<UsageSource>& ending = {});

// Where a data centre's windows stand.
std::string UsageWindowKey(const DataCentreId& data_centre, int64_t window);

// The window as JSON.
std::string EncodeUsageWindow(const UsageWindow& window);
Result<UsageWindow> DecodeUsageWindow(const std::string& text);

}  // namespace hickorystand
