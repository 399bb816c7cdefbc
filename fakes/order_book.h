// The orders of one stand-in endpoint, with or without a check of the fencing
// number.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "kernel/json.h"

namespace hickorystand::fakes {

// One order that was accepted.
struct BookedOrder {
  std::string id;
  int64_t fencing = 0;
  std::string kind;
  std::string argument;
  std::string state = "done";

  bool operator==(const BookedOrder&) const = default;
};

// Accepts orders and lists them.
class OrderBook {
 public:
  // Whether an order with an older fencing number is refused.
  bool fences = true;

  // POST /v1/orders; returns the order if it is new.
  const BookedOrder* Take(const HttpCallPtr& call);

  // GET /v1/orders
  void List(const HttpCallPtr& call) const;

  const std::vector<BookedOrder>& Orders() const { return this->orders; }

 private:
  int64_t highest_fencing = 0;
  std::vector<BookedOrder> orders;
};

// Answers with a JSON document, echoing the ids of the request.
void AnswerJson(const HttpCallPtr& call, int status, const JsonWriter& out);

// The headers that an endpoint must send back.
HttpHeaders EchoHeaders(const HttpRequest& request);

}  // namespace hickorystand::fakes
