// Sends orders to endpoints, under the fencing number of whoever holds the
// data centre's lease.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "kernel/error.h"

namespace hickorystand {

// One order as it goes over the wire; see docs/ENDPOINTS.md for the kinds.
struct EndpointOrder {
  std::string id;  // the same order sent again bears the same id
  int64_t fencing = 0;
  std::string kind;
  std::string argument;

  auto operator<=>(const EndpointOrder&) const = default;
};

// What is known about an order after it was sent.
enum class OrderState {
  kAccepted,  // the endpoint has it, and will carry it out
  kRunning,
  kDone,
  kStale,    // refused: the endpoint has seen a higher fencing number
  kRefused,  // refused for another reason; has no effect
  kNotSent,  // no byte of it left this process
  kUnknown,  // sent, and no answer came: it may take effect
};

// The answer to an order.
struct OrderAnswer {
  OrderState state = OrderState::kUnknown;
  int64_t highest_fencing = 0;  // that the endpoint has seen, if it said so
  std::string detail;

  bool operator==(const OrderAnswer&) const = default;
};

// One order as an endpoint remembers it.
struct OrderAtEndpoint {
  std::string id;
  int64_t fencing = 0;
  OrderState state = OrderState::kUnknown;

  auto operator<=>(const OrderAtEndpoint&) const = default;
};

// All that an endpoint remembers of its orders.
struct EndpointOrders {
  int64_t highest_fencing = 0;
  std::vector<OrderAtEndpoint> orders;

  bool operator==(const EndpointOrders&) const = default;
};

// Talks to endpoints about orders, on one task.
class OrderClient {
 public:
  explicit OrderClient(HttpTimeouts timeouts = {
                           .connect = std::chrono::seconds(1),
                           .first_byte = std::chrono::seconds(3),
                           .between_bytes = std::chrono::seconds(3)});

  // Sends an order once, on a connection of its own. `may_send` is asked in
  // the same step that hands the bytes to the socket; if it says no, the reply
  // is kNotSent. The holder of a lease passes the check that it still holds it.
  void Send(const SocketAddress& address,
            const EndpointOrder& order,
            std::function<bool()> may_send,
            std::function<void(const OrderAnswer&)> done);

  // Asks an endpoint which orders it has.
  void List(const SocketAddress& address,
            std::function<void(const Result<EndpointOrders>&)> done);

 private:
  struct Answer;

  void Exchange(HttpOutgoing outgoing, std::function<void(const Answer&)> done);

  HttpTimeouts timeouts;
  HttpClient http;
};

}  // namespace hickorystand
