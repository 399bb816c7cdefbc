// Asks the entry hosts' administration interface, all hosts at once.

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

// What one host answered.
struct AdminAnswer {
  SocketAddress address;
  Result<Json> body;
};

// How a host stands, as far as every command needs it.
struct FleetHost {
  SocketAddress address;
  HostId host;
  DataCentreId data_centre;
  int64_t revision = 0;
  bool draining = false;
  Json whole;  // all that it answered
};

// What all hosts together said.
struct FleetStatus {
  std::vector<FleetHost> hosts;            // by data centre and id
  std::vector<SocketAddress> unreachable;  // no answer, or none that counts
  std::vector<std::string> reasons;        // why, one for each of them

  // The highest revision in force anywhere; 0 if no host answered.
  int64_t HighestRevision() const;
};

// Client of all hosts' interfaces. Each call waits for all answers.
class AdminClient {
 public:
  AdminClient(std::vector<SocketAddress> hosts,
              std::string token,
              Duration timeout);
  ~AdminClient();
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;

  // Asks every host; one answer for each, in the order of the addresses.
  std::vector<AdminAnswer> AskAll(const std::string& method,
                                  const std::string& target);

  // Asks one host.
  Result<Json> Ask(const SocketAddress& address,
                   const std::string& method,
                   const std::string& target);

  // GET /admin/status of every host.
  FleetStatus Status();

  bool HasHosts() const { return !this->hosts.empty(); }

 private:
  std::vector<SocketAddress> hosts;
  std::string token;
  Duration timeout;
  Task task{"admin"};
  std::unique_ptr<JsonClient> client;
};

// IP:PORT, as in settings.
std::string AddressText(const SocketAddress& address);

}  // namespace hickorystand
