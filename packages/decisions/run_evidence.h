// RunEvidence: whether the process at an endpoint's address is the run that the
// endpoint list names.
//
// An endpoint that restarts may keep its id and its address, and have another
// software version. It accepts connections before this host reads its new entry
// in the list: within about a second, or much later while the store is away. A
// call names the id only, so the restarted process would take it.
//
// A connection leads to one process for as long as it is open. A process states
// when it started, in its answer to a call that this host sends when it needs
// to know. The connection that carried the answer surely leads to the listed
// run if the list names the same start, and so do connections that are opened
// while it is open.
//
// Without such a connection the run is not sure, and it is in doubt if the
// other side has closed or refused a connection since, or if the list is old.
// An endpoint with another id at the same address starts without doubt, since
// calls name the id.
//
// One case is not seen: a connection whose other side has lost power counts as
// open until that is noticed, so a connection that is opened meanwhile counts
// as one to the same process.
//
//   RunEvidence evidence;
//   evidence.OnOpened(address, connection);
//   evidence.OnStated(address, connection, started);
//   evidence.OnClosed(address, connection, by_peer);
//   evidence.OnListed(asked_at, endpoints);
//   if (evidence.IsSure(address, connection, endpoint.run)) { ... }
//
// Index
//   RunEvidenceOptions   times
//   RunEvidence          the connections of this host

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "decisions/fleet_endpoint.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

struct RunEvidenceOptions {
  // An older list may name runs that have ended.
  Duration max_list_age = std::chrono::milliseconds(2500);

  auto operator<=>(const RunEvidenceOptions&) const = default;
};

// The connections of this host, by address.
class RunEvidence {
 public:
  explicit RunEvidence(const RunEvidenceOptions& options = {})
      : options(options) {}

  // A connection was opened, or closed by either side, or a connect was
  // refused.
  void OnOpened(const SocketAddress& address, ConnectionId connection);
  void OnClosed(const SocketAddress& address,
                ConnectionId connection,
                bool by_peer);
  void OnRefused(const SocketAddress& address);

  // The process to which a connection leads has stated when it started.
  void OnStated(const SocketAddress& address,
                ConnectionId connection,
                int64_t started);

  // A list of endpoints that was requested at that time.
  void OnListed(Instant asked_at, const FleetEndpoints& endpoints);

  // Whether a connection, or any open one, leads to this run.
  bool IsSure(const SocketAddress& address,
              ConnectionId connection,
              const EndpointRun& run) const;
  bool IsSure(const SocketAddress& address, const EndpointRun& run) const;

  // Whether there are signs that the process at an address may not be the
  // listed run.
  bool InDoubt(Instant now, const SocketAddress& address) const;

  // Listed addresses at which a process has ended, or seems to have ended. A
  // statement of the listed run removes the doubt.
  std::vector<SocketAddress> Doubted() const;

 private:
  struct Address {
    // When the process of each open connection started, as stated.
    std::map<ConnectionId, std::optional<int64_t>> connections;
    EndpointRun run;
    bool listed = false;
    bool doubted = false;  // the other side ended or refused a connection

    std::optional<int64_t> Started() const;
    bool Sure() const { return this->Started() == this->run.started; }
  };

  void Doubt(const SocketAddress& address);

  RunEvidenceOptions options;
  std::map<SocketAddress, Address> addresses;
  Instant listed_at{};  // when the newest list was requested
};

}  // namespace hickorystand
