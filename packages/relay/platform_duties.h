// What one host at a time does for all: reports what client accounts used, and
// orders endpoints. A plug-in speaks to the platform.
//
// Index
//   DutyAuthority         the right to act, checked as the bytes leave
//   UsageReport           requests that began in one window
//   EndpointCountOrder    how many endpoints a service shall have in a zone
//   RoleOrder             which role an engine shall have
//   DutyOutcome           what became of a call
//   PlatformDuties        the interface

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decisions/fleet_endpoint.h"
#include "kernel/ids.h"
#include "kernel/settings.h"

namespace hickorystand {

// The right to act. `may_send` is asked in the step that hands bytes to a
// socket: a process that was paused between deciding and sending has lost it.
struct DutyAuthority {
  HostId holder;
  int64_t fencing = 0;
  std::function<bool()> may_send;
};

// Requests that began in one window, by client account.
struct UsageReport {
  int64_t window = 0;
  std::map<AccountId, int64_t> counts;

  bool operator==(const UsageReport&) const = default;
};

// How many endpoints a service shall have in a zone.
struct EndpointCountOrder {
  ServiceId service;
  ZoneId zone;
  int64_t count = 0;
  bool spot = false;

  auto operator<=>(const EndpointCountOrder&) const = default;
};

// Which role an engine shall have.
struct RoleOrder {
  EndpointRun run;
  SocketAddress address;
  EndpointRole role = EndpointRole::kPrefill;

  auto operator<=>(const RoleOrder&) const = default;
};

// What became of a call.
enum class DutyOutcome {
  kAccepted,
  kRefused,  // it has no effect
  kNotSent,  // no byte left this host
  kUnknown,  // it may have been received
};

class PlatformDuties {
 public:
  static constexpr const char* kPluginKind = "platform duties";
  using Factory =
      std::function<std::unique_ptr<PlatformDuties>(const SocketAddress&)>;
  using Done = std::function<void(DutyOutcome)>;

  virtual ~PlatformDuties() = default;

  virtual void ReportUsage(const UsageReport& report,
                           const DutyAuthority& authority,
                           Done done) = 0;
  virtual void OrderEndpoints(const EndpointCountOrder& order,
                              const DutyAuthority& authority,
                              Done done) = 0;

  // Orders a role. The engine is asked first how many orders it has taken, and
  // takes this one only if it is the next: a copy that is carried out late
  // finds another number and does nothing.
  virtual void ChangeRole(const RoleOrder& order,
                          const DutyAuthority& authority,
                          Done done) = 0;

  // Ends the calls under way by closing their connections, so that nothing of
  // them can still arrive once the authority is gone.
  virtual void CancelAll() = 0;
};

}  // namespace hickorystand
