// Sends orders to endpoints, with the fencing number of the holder of the data
// centre's lease.
//
// Index
//   EndpointOrder     an order
//   OrderState        the state of an order
//   OrderAnswer       the answer to an order
//   OrderAtEndpoint   an order in an endpoint's list
//   EndpointOrders    an endpoint's list of orders
//   OrderClient       sends and lists orders
//
// Example:
//   OrderClient client;
//   client.Send(address, {.id = id, .fencing = fencing, .kind = kind},
//               [&] { return lease_is_held; },
//               [](const OrderAnswer& answer) { ... });

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "kernel/error.h"

namespace hickorystand {

// One order as sent over the wire; docs/ENDPOINTS.md lists the kinds.
struct EndpointOrder {
  std::string id;  // a repeated order keeps its id
  int64_t fencing = 0;
  std::string kind;
  std::string argument;

  auto operator<=>(const EndpointOrder&) const = default;
};

// The known state of an order.
enum class OrderState {
  kAccepted,  // the endpoint has recorded it and will execute it
  kRunning,
  kDone,
  kStale,    // refused: the endpoint has received a higher fencing number
  kRefused,  // refused for another reason, without effect
  kNotSent,  // no byte of it was sent
  kUnknown,  // sent, but no usable answer was received: it may take effect
};

// The answer to an order.
struct OrderAnswer {
  OrderState state = OrderState::kUnknown;
  int64_t highest_fencing = 0;  // received by the endpoint; 0 if not reported
  std::string detail;

  bool operator==(const OrderAnswer&) const = default;
};

// One order in an endpoint's list.
struct OrderAtEndpoint {
  std::string id;
  int64_t fencing = 0;
  OrderState state = OrderState::kUnknown;

  auto operator<=>(const OrderAtEndpoint&) const = default;
};

// An endpoint's list of orders and the highest fencing number it has received.
struct EndpointOrders {
  int64_t highest_fencing = 0;
  std::vector<OrderAtEndpoint> orders;

  bool operator==(const EndpointOrders&) const = default;
};

// Sends orders to endpoints and lists them. Not thread-safe: use it on one
// task. Send() never retries; the caller lists the orders to resolve kUnknown.
class OrderClient {
 public:
  // Broken answers are counted in `metrics`, which may be null.
  explicit OrderClient(Metrics* metrics = nullptr,
                       HttpTimeouts timeouts = {
                           .connect = std::chrono::seconds(1),
                           .first_byte = std::chrono::seconds(3),
                           .between_bytes = std::chrono::seconds(3)});

  // Sends an order once, on a connection of its own. `may_send` is called
  // immediately before the bytes are handed to the socket, in the same step; if
  // it returns false, the order ends as kNotSent. The lease holder passes a
  // check that it still holds the lease.
  void Send(const SocketAddress& address,
            const EndpointOrder& order,
            std::function<bool()> may_send,
            std::function<void(const OrderAnswer&)> done);

  // Fetches an endpoint's list of orders.
  void List(const SocketAddress& address,
            std::function<void(const Result<EndpointOrders>&)> done);

 private:
  struct Answer;

  void Exchange(HttpClientRequest outgoing,
                std::function<void(const Answer&)> done);

  HttpTimeouts timeouts;
  HttpClient http;
};

}  // namespace hickorystand
