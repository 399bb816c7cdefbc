// Client of the platform's interfaces other than the key-value service: orders
// for endpoints, usage reports and the list of hosts. JSON over HTTP;
// docs/ENDPOINTS.md describes the bodies.
//
//   PlatformClient platform({.address = address});
//   platform.ListHosts([](const auto& hosts) { ... });

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

// Address of the platform and the timeout of a call.
struct PlatformClientOptions {
  SocketAddress address;
  Duration timeout = std::chrono::seconds(2);
  Metrics* metrics = nullptr;
};

// An entry of the platform's host list, which may be out of date.
struct PlatformHost {
  HostId host;
  DataCentreId data_centre;
  SocketAddress address;  // for connections from peers
  bool leaving = false;

  auto operator<=>(const PlatformHost&) const = default;
};

// The result of an order or a report.
enum class PlatformOutcome {
  kAccepted,
  kRefused,  // permanently; it has no effect
  kNotSent,  // no byte was sent
  kUnknown,  // it may have been received
};

// Calls the platform. Callbacks run on the task that created the client.
class PlatformClient {
 public:
  using MaySend = std::function<bool()>;
  using Done = std::function<void(PlatformOutcome)>;

  explicit PlatformClient(const PlatformClientOptions& options)
      : options(options), client(options.metrics) {}

  // Orders endpoints. The order's id is the token that makes repeating the
  // order idempotent. `may_send` is called immediately before bytes are written
  // to the socket; returning false prevents the write.
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
