// The status of one host as JSON: what `hickoryctl status` puts together.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/digest.h"
#include "decisions/membership.h"
#include "decisions/request.h"

namespace hickorystand {

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
};

// The page.
std::string WriteStatus(const HostStatus& status);

}  // namespace hickorystand
