// The orders accepted by a stand-in endpoint, with an optional check of the
// fencing number; and helpers to answer an endpoint's requests.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "kernel/json.h"

namespace hickorystand::fakes {

// An accepted order.
struct AcceptedOrder {
  std::string id;
  int64_t fencing = 0;
  std::string kind;
  std::string argument;
  std::string state = "done";

  bool operator==(const AcceptedOrder&) const = default;
};

// Handles the requests that send and list orders. Resending an order has no
// further effect.
class OrderHandler {
 public:
  // Whether an order whose fencing number is below the highest accepted one is
  // refused with 409.
  bool fences = true;

  // POST /v1/orders. Returns the order if it is accepted and new, else nullptr.
  // The pointer is valid until the next call.
  const AcceptedOrder* Take(const HttpCallPtr& call);

  // GET /v1/orders
  void List(const HttpCallPtr& call) const;

  const std::vector<AcceptedOrder>& Orders() const { return this->orders; }

 private:
  int64_t highest_fencing = 0;
  std::vector<AcceptedOrder> orders;
};

// Answers with a JSON document and the headers of EchoHeaders().
void AnswerJson(const HttpCallPtr& call, int status, const JsonWriter& out);

// Returns the request and attempt ids, which an endpoint must send back.
HttpHeaders EchoHeaders(const HttpRequest& request);

}  // namespace hickorystand::fakes
