// What one entry host tells the others about itself, in small and often.
//
// A digest is soft state: losing one does no harm, because the next repeats
// what still matters. Receivers drop a digest whose (incarnation, sequence) is
// not above the last one that they took from the same host.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/ids.h"

namespace hickorystand {

// Work that this host has sent to an endpoint and that still runs there.
struct EndpointOutstanding {
  EndpointId endpoint;
  int64_t prompt_tokens = 0;
  int64_t requests = 0;

  auto operator<=>(const EndpointOutstanding&) const = default;
};

// What a client account has been served by this host, since it started.
struct AccountServed {
  AccountId account;
  int64_t cost = 0;     // weighted tokens, cumulative
  int64_t waiting = 0;  // requests queued now

  auto operator<=>(const AccountServed&) const = default;
};

// A request suspected of crashing endpoints.
struct Suspicion {
  uint64_t fingerprint = 0;
  int64_t crashes = 0;

  auto operator<=>(const Suspicion&) const = default;
};

// An endpoint's state as this host learned it at first hand.
struct EndpointNews {
  EndpointId endpoint;
  uint64_t incarnation = 0;
  bool leaving = false;
  bool down = false;

  auto operator<=>(const EndpointNews&) const = default;
};

// One digest.
struct Digest {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;  // of the host; rises with each start
  uint64_t sequence = 0;     // rises with each digest of one incarnation
  int64_t configuration_revision = 0;
  bool leaving = false;
  std::vector<EndpointOutstanding> outstanding;
  std::vector<AccountServed> served;
  std::vector<Suspicion> suspicions;
  std::vector<EndpointNews> endpoints;

  bool operator==(const Digest&) const = default;
};

}  // namespace hickorystand
