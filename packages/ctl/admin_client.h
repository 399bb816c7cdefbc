// Client of the hosts' administration interface (HTTP). Sends a request to one
// host, or to all hosts of a fleet in parallel.
//
//   AdminClient admin(addresses, token, std::chrono::seconds(2));
//   const FleetStatus fleet = admin.Status();
//
// Index
//   AdminAnswer   the answer of one host
//   FleetHost     the status of one host
//   FleetStatus   the status of all hosts
//   AdminClient   sends the requests

#pragma once

#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "kernel/error.h"
#include "kernel/json.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "platform/json_client.h"

namespace hickorystand {

// The answer of one host, or the reason why there is none.
struct AdminAnswer {
  SocketAddress address;
  Result<Json> body;
};

// The status of one host: the fields that several commands use, and the
// complete answer.
struct FleetHost {
  SocketAddress address;
  HostId host;
  DataCentreId data_centre;
  int64_t revision = 0;
  bool draining = false;
  Json status;  // the complete /admin/status answer
};

// The status of all hosts.
struct FleetStatus {
  std::vector<FleetHost> hosts;            // sorted by data centre, id
  std::vector<SocketAddress> unreachable;  // no answer, or an invalid one
  std::vector<std::string> reasons;        // one for each of `unreachable`

  // The highest configuration revision in force at any host; 0 if no host
  // answered.
  int64_t HighestRevision() const;
};

// Sends requests to the hosts' administration interface. Calls block until
// every host that was asked has answered or `timeout` has passed. Errors:
// kTimeout if a host did not answer, kUnauthenticated if it refused the token,
// kNotFound for status 404, and kInternal for any other status.
class AdminClient {
 public:
  AdminClient(std::vector<SocketAddress> hosts,
              std::string token,
              Duration timeout);
  ~AdminClient();
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;

  // Sends a request to every host. The answers are in the order of the
  // addresses.
  std::vector<AdminAnswer> SendToAll(const std::string& method,
                                     const std::string& target);

  // Sends a request to one host. It may be sent more than once, so it must be
  // idempotent.
  Result<Json> Send(const SocketAddress& address,
                    const std::string& method,
                    const std::string& target);

  // Reads /admin/status of every host.
  FleetStatus Status();

  bool HasHosts() const { return !this->hosts.empty(); }

 private:
  std::vector<SocketAddress> hosts;
  std::string token;
  Duration timeout;
  Task task{"admin"};
  std::unique_ptr<JsonClient> client;
};

// Formats an address as IP:PORT, or [IP]:PORT for IPv6, as in settings.
std::string AddressText(const SocketAddress& address);

}  // namespace hickorystand
