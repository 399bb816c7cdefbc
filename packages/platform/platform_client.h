// Client of the platform's interfaces beside its key-value service: orders for
// endpoints, usage reports, and the list of hosts. JSON over HTTP; the bodies
// stand in docs/ENDPOINTS.md.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "decisions/orders.h"
#include "decisions/usage.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "platform/json_client.h"

namespace hickorystand {

// Where the platform is.
struct PlatformClientOptions {
  SocketAddress address;
  Duration timeout = std::chrono::seconds(2);
};

// A line of the platform's host list, which lags.
struct PlatformHost {
  HostId host;
  DataCentreId data_centre;
  SocketAddress address;  // towards peers
  bool leaving = false;

  auto operator<=>(const PlatformHost&) const = default;
};

// What became of an order or a report.
enum class PlatformOutcome {
  kAccepted,
  kRefused,  // for good; it has no effect
  kNotSent,  // no byte left this host
  kUnknown,  // it may have been received
};

// Calls the platform. Lives on the task that made it.
class PlatformClient {
 public:
  using MaySend = std::function<bool()>;
  using Done = std::function<void(PlatformOutcome)>;

  explicit PlatformClient(const PlatformClientOptions& options)
      : options(options) {}

  // Orders endpoints. The order's id is the token that makes a repeat of it
  // harmless. `may_send` is asked in the step that hands bytes to the socket.
  void OrderEndpoints(const DataCentreId& data_centre,
                      const Order& order,
                      int64_t fencing,
                      MaySend may_send,
                      Done done);

  // Reports the usage of a closed window.
  void ReportUsage(const DataCentreId& data_centre,
                   int64_t window,
                   int64_t fencing,
                   const AccountUsage& figures,
                   MaySend may_send,
                   Done done);

  // Reads the list of live and leaving hosts.
  void ListHosts(
      std::function<void(const Result<std::vector<PlatformHost>>&)> done);

 private:
  void Post(std::string target, std::string body, MaySend may_send, Done done);

  PlatformClientOptions options;
  JsonClient client;
};

}  // namespace hickorystand
