// EndpointStatusTable: the merged reports of all hosts on endpoints that are
// leaving or down.
//
// "Leaving" belongs to one incarnation of an endpoint: reported by any host, it
// applies to all hosts until the endpoint restarts. "Down" is the observation
// of one host and may be caused by that host's own network: a host that can't
// reach any endpoint would otherwise take the whole fleet out of service. So a
// "down" report applies only until this host itself gets a response from the
// endpoint, or until the reporting host withdraws it or leaves.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "decisions/digest.h"
#include "kernel/ids.h"

namespace hickorystand {

// The state of each endpoint that any host, including this one, has reported.
class EndpointStatusTable {
 public:
  // Sets all current reports of a host. An earlier "down" report that is
  // missing now is withdrawn.
  void OnReport(const HostId& from, const std::vector<EndpointStatus>& reports);

  // Handles a single report of a host, ahead of its next digest.
  void OnReport(const HostId& from, const EndpointStatus& report);

  // Call when this host got a response from an endpoint.
  void OnAlive(const EndpointId& endpoint, uint64_t incarnation);

  // Withdraws the "down" reports of a host that has left.
  void OnHostLost(const HostId& host);

  // Removes endpoints that are no longer in the configuration.
  void Keep(const std::set<EndpointId>& endpoints);

  // Whether an endpoint must get no new work.
  bool IsUnavailable(const EndpointId& endpoint) const;

  // The endpoints that are leaving, to be reported to other data centres.
  std::vector<EndpointStatus> Leaving() const;

 private:
  struct State {
    uint64_t incarnation = 0;
    bool leaving = false;
    std::set<HostId> down;     // hosts that report the endpoint as down
    std::set<HostId> refuted;  // of these, hosts whose report was disproved
  };

  State* Current(const EndpointId& endpoint, uint64_t incarnation);

  std::map<EndpointId, State> states;
};

}  // namespace hickorystand
