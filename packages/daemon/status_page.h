// The status of one host as JSON, served at /admin/status. `hickoryctl status`
// combines the status of several hosts.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/digest.h"
#include "decisions/membership.h"
#include "decisions/request.h"
#include "limits/limit_gate.h"

namespace hickorystand {

// State of this host's share of the client accounts' limits.
struct LimitsStatus {
  Duration window{};                  // in which usage is counted
  double share = 0;                   // fraction of each limit, 0 to 1
  std::optional<Duration> share_age;  // since last confirmed; empty: no share
  int64_t holders_revision = 0;       // of the record of share holders
  std::vector<LimitUsage> accounts;
};

// The content of the status page.
struct HostStatus {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  bool draining = false;
  bool keys_trusted = true;
  ConfigurationPtr configuration;
  std::string lease_holder;
  int64_t fencing = 0;
  bool lease_held = false;
  std::vector<Member> members;
  std::map<HostId, Digest> digests;  // latest of each host, including this one
  std::map<EndpointId, LoadReport> loads;
  std::map<std::string, int64_t> refusals;
  int64_t queued = 0;
  int64_t running = 0;
  int64_t open_orders = 0;
  LimitsStatus limits;
};

// Returns the status as JSON.
std::string WriteStatus(const HostStatus& status);

}  // namespace hickorystand
