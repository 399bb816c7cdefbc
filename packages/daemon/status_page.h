// The status of one host as JSON: what `hickoryctl status` puts together.

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

// This host's part in the limits of client accounts.
struct LimitsStatus {
  Duration window{};                  // over which use is counted
  double share = 0;                   // of each limit
  std::optional<Duration> share_age;  // since it was confirmed; nothing: none
  int64_t holders_revision = 0;       // of the record of share holders
  std::vector<LimitUse> accounts;
};

// Everything that the page shows.
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
  std::map<HostId, Digest> digests;  // the last of each host, this one included
  std::map<EndpointId, LoadReport> loads;
  std::map<std::string, int64_t> refusals;
  int64_t queued = 0;
  int64_t running = 0;
  int64_t open_orders = 0;
  LimitsStatus limits;
};

// The page.
std::string WriteStatus(const HostStatus& status);

}  // namespace hickorystand
