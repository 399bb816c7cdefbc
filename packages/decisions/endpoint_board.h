// What hosts have said of endpoints that leave or are down, merged.
//
// Leaving is a fact about one incarnation of an endpoint: whoever saw it, it
// holds for all until the endpoint starts anew. Down is one host's experience
// and may be that host's own fault: a host that lost its way to every endpoint
// would otherwise take the whole fleet out of service. So "down" is believed
// until this host itself is answered by the endpoint, or until the one who said
// so takes it back or is gone.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "decisions/digest.h"
#include "kernel/ids.h"

namespace hickorystand {

class EndpointBoard {
 public:
  // All that a host says of endpoints at present, itself included. A claim
  // that it made before and that is missing now is taken back.
  void OnNews(const HostId& from, const std::vector<EndpointNews>& news);

  // A host's one piece of news, ahead of its next digest.
  void OnNews(const HostId& from, const EndpointNews& news);

  // This host got an answer from an endpoint.
  void OnAlive(const EndpointId& endpoint, uint64_t incarnation);

  // A host is gone; its experience of endpoints went with it.
  void OnHostGone(const HostId& host);

  // Forgets endpoints that no longer stand in the configuration.
  void Keep(const std::set<EndpointId>& endpoints);

  // Whether new work must stay away from an endpoint.
  bool Out(const EndpointId& endpoint) const;

  // What is known to be leaving, to be told to other data centres.
  std::vector<EndpointNews> Leaving() const;

 private:
  struct State {
    uint64_t incarnation = 0;
    bool leaving = false;
    std::set<HostId> down;     // who says so
    std::set<HostId> refuted;  // of those, whom this host found to be wrong
  };

  State* Current(const EndpointId& endpoint, uint64_t incarnation);

  std::map<EndpointId, State> states;
};

}  // namespace hickorystand
