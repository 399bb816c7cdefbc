#include "endpoints/order_client.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <memory>
#include <string_view>
#include <utility>

#include "kernel/json.h"

namespace hickorystand {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusServerError = 500;
constexpr uint64_t kMaxAnswerBytes = uint64_t{1} << 20;

struct StateName {
  OrderState state;
  std::string_view name;
};

constexpr std::array kStateNames = {
    StateName{OrderState::kAccepted, "accepted"},
    StateName{OrderState::kRunning, "running"},
    StateName{OrderState::kDone, "done"},
};

OrderState ReadState(const std::string& name) {
  const auto* row = std::ranges::find(kStateNames, name, &StateName::name);
  return row == kStateNames.end() ? OrderState::kUnknown : row->state;
}

std::string WriteOrder(const EndpointOrder& order) {
  return JsonWriter()
      .BeginObject()
      .Member("id", order.id)
      .Member("fencing", order.fencing)
      .Member("kind", order.kind)
      .Member("argument", order.argument)
      .EndObject()
      .Text();
}

EndpointOrders ReadOrders(const Json& json) {
  EndpointOrders orders{.highest_fencing =
                            json.At("highest_fencing").Integer()};
  std::ranges::transform(
      json.At("orders").Items(), std::back_inserter(orders.orders),
      [](const Json& order) {
        return OrderAtEndpoint{.id = order.At("id").Text(),
                               .fencing = order.At("fencing").Integer(),
                               .state = ReadState(order.At("state").Text())};
      });
  return orders;
}

}  // namespace

// An endpoint's answer, or how the exchange ended if there is none.
struct OrderClient::Answer {
  HttpEnd end = HttpEnd::kNotSent;
  int status = 0;
  std::string body;
  std::string detail;

  bool Whole() const { return this->end == HttpEnd::kComplete; }
};

OrderClient::OrderClient(Metrics* metrics, HttpTimeouts timeouts)
    : timeouts(timeouts), http({.timeouts = timeouts, .metrics = metrics}) {}

// If the answer is neither a success nor a refusal, the endpoint may have
// accepted the order. Its state is then kUnknown, and the coordinator lists the
// endpoint's orders and looks for the order's id.
void OrderClient::Send(const SocketAddress& address,
                       const EndpointOrder& order,
                       std::function<bool()> may_send,
                       std::function<void(const OrderAnswer&)> done) {
  this->Exchange({.address = address,
                  .method = "POST",
                  .target = "/v1/orders",
                  .content_type = "application/json",
                  .body = WriteOrder(order),
                  .once = true,
                  .may_send = std::move(may_send)},
                 [done = std::move(done)](const Answer& answer) {
                   OrderAnswer reply{.detail = answer.detail};
                   const Json json = Json::Parse(answer.body).value_or(Json());
                   reply.highest_fencing = json.At("highest").Integer();
                   if (answer.end == HttpEnd::kNotSent) {
                     reply.state = OrderState::kNotSent;
                   } else if (!answer.Whole()) {
                     reply.state = OrderState::kUnknown;
                   } else if (answer.status == kStatusOk) {
                     reply.state = ReadState(json.At("state").Text());
                   } else if (answer.status == kStatusConflict &&
                              json.At("error").Text() == "stale_fencing") {
                     reply.state = OrderState::kStale;
                   } else if (answer.status >= kStatusBadRequest &&
                              answer.status < kStatusServerError) {
                     reply.state = OrderState::kRefused;
                   }
                   done(reply);
                 });
}

void OrderClient::List(
    const SocketAddress& address,
    std::function<void(const Result<EndpointOrders>&)> done) {
  this->Exchange(
      {.address = address, .target = "/v1/orders"},
      [done = std::move(done)](const Answer& answer) {
        const Result<Json> json = Json::Parse(answer.body);
        if (!answer.Whole() || answer.status != kStatusOk || !json) {
          done(Fail(ErrorKind::kEndpointFailed,
                    "The endpoint doesn't list its orders: " + answer.detail));
          return;
        }
        done(ReadOrders(*json));
      });
}

void OrderClient::Exchange(HttpClientRequest outgoing,
                           std::function<void(const Answer&)> done) {
  const auto answer = std::make_shared<Answer>();
  outgoing.answer_limits = {.stated = kMaxAnswerBytes,
                            .other = kMaxAnswerBytes};
  this->http.Send(
      std::move(outgoing),
      {.on_head =
           [answer](const HttpResponseHead& head) {
             answer->status = head.status;
           },
       .on_bytes = [answer](std::string_view bytes) { answer->body += bytes; },
       .on_end =
           [answer, done = std::move(done)](HttpEnd end,
                                            const std::string& detail) {
             answer->end = end;
             answer->detail = detail;
             done(*answer);
           }});
}

}  // namespace hickorystand
