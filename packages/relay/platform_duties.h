// Interface to the platform calls that one host at a time makes for the whole
// fleet: usage reports, endpoint orders and role orders. Implemented by a
// plug-in.
//
// Index
//   DutyAuthority         permission to send, checked before each write
//   UsageReport           requests begun in one window, by client account
//   EndpointCountOrder    target number of endpoints of a service in a zone
//   RoleOrder             target role of an engine
//   DutyOutcome           outcome of a call
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

// Permission to send a call. `may_send` is evaluated in the step that hands
// bytes to a socket, because a process that was paused between deciding and
// sending may have lost the lease.
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

// Target number of endpoints of a service in a zone.
struct EndpointCountOrder {
  ServiceId service;
  ZoneId zone;
  int64_t count = 0;
  bool spot = false;

  auto operator<=>(const EndpointCountOrder&) const = default;
};

// Target role of an engine.
struct RoleOrder {
  EndpointRun run;
  SocketAddress address;
  EndpointRole role = EndpointRole::kPrefill;

  auto operator<=>(const RoleOrder&) const = default;
};

// Outcome of a call.
enum class DutyOutcome {
  kAccepted,
  kRefused,  // the call has no effect
  kNotSent,  // no byte left this host
  kUnknown,  // the call may have been received
};

// Sends the calls to the platform and to engines. Each call reports its outcome
// through `done`.
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

  // Orders a role. Reads the number of orders that the engine has carried out,
  // and sends this order with the next number. The engine ignores any other
  // number, so a duplicate that arrives late has no effect.
  virtual void ChangeRole(const RoleOrder& order,
                          const DutyAuthority& authority,
                          Done done) = 0;

  // Aborts the calls under way by closing their connections, so that none of
  // them can arrive after the authority has ended.
  virtual void CancelAll() = 0;
};

}  // namespace hickorystand
