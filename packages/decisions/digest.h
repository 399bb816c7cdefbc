// Digest: the state that a host sends to the other hosts periodically.
//
// A digest is soft state: a lost one needs no retransmission, because the next
// one repeats everything that still applies. Receivers drop a digest whose
// (incarnation, sequence) is not above the last one accepted from the same
// host.
//
// Index
//   EndpointOutstanding   a host's work in progress at an endpoint
//   AccountServed         the service that an account received from a host
//   Suspicion             a request suspected of crashing endpoints
//   EndpointStatus        an endpoint's state as observed by a host
//   Digest                all of it

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/ids.h"

namespace hickorystand {

// Work that this host has sent to an endpoint and that is still in progress.
struct EndpointOutstanding {
  EndpointId endpoint;
  int64_t prompt_tokens = 0;
  int64_t requests = 0;

  auto operator<=>(const EndpointOutstanding&) const = default;
};

// The service that a client account received from this host since its start.
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

// An endpoint's state as observed by this host itself.
struct EndpointStatus {
  EndpointId endpoint;
  uint64_t incarnation = 0;
  bool leaving = false;
  bool down = false;

  auto operator<=>(const EndpointStatus&) const = default;
};

struct Digest {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;  // of the host; increases with each start
  uint64_t sequence = 0;     // increases with each digest of an incarnation
  int64_t configuration_revision = 0;
  bool leaving = false;
  std::vector<EndpointOutstanding> outstanding;
  std::vector<AccountServed> served;
  std::vector<Suspicion> suspicions;
  std::vector<EndpointStatus> endpoints;

  bool operator==(const Digest&) const = default;
};

}  // namespace hickorystand
