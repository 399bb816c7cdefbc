#include "order_handler.h"

#include <algorithm>

namespace hickorystand::fakes {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;

void AnswerState(const HttpCallPtr& call, const AcceptedOrder& order) {
  AnswerJson(
      call, kStatusOk,
      JsonWriter().BeginObject().Member("state", order.state).EndObject());
}

}  // namespace

void AnswerJson(const HttpCallPtr& call, int status, const JsonWriter& out) {
  HttpHeaders headers = EchoHeaders(call->Request());
  headers.push_back({"Content-Type", "application/json"});
  call->Answer(status, headers, out.Text());
}

HttpHeaders EchoHeaders(const HttpRequest& request) {
  HttpHeaders headers;
  for (const char* name : {"X-Request-Id", "X-Attempt"}) {
    if (const auto value = FindHeader(request.headers, name)) {
      headers.push_back({name, *value});
    }
  }
  return headers;
}

const AcceptedOrder* OrderHandler::Take(const HttpCallPtr& call) {
  const Result<Json> json = Json::ParseObject(call->Request().body);
  if (!json) {
    AnswerJson(call, kStatusBadRequest,
               JsonWriter().BeginObject().Member("error", "bad").EndObject());
    return nullptr;
  }
  const std::string id = json->At("id").Text();
  const auto known = std::ranges::find(this->orders, id, &AcceptedOrder::id);
  if (known != this->orders.end()) {
    AnswerState(call, *known);
    return nullptr;
  }
  const int64_t fencing = json->At("fencing").Integer();
  if (this->fences && fencing < this->highest_fencing) {
    AnswerJson(call, kStatusConflict,
               JsonWriter()
                   .BeginObject()
                   .Member("error", "stale_fencing")
                   .Member("highest", this->highest_fencing)
                   .EndObject());
    return nullptr;
  }
  this->highest_fencing = std::max(this->highest_fencing, fencing);
  this->orders.push_back({.id = id,
                          .fencing = fencing,
                          .kind = json->At("kind").Text(),
                          .argument = json->At("argument").Text()});
  AnswerState(call, this->orders.back());
  return &this->orders.back();
}

void OrderHandler::List(const HttpCallPtr& call) const {
  JsonWriter out;
  out.BeginObject().Member("highest_fencing", this->highest_fencing);
  out.Name("orders").BeginArray();
  for (const AcceptedOrder& order : this->orders) {
    out.BeginObject().Member("id", order.id);
    out.Member("fencing", order.fencing).Member("state", order.state);
    out.EndObject();
  }
  AnswerJson(call, kStatusOk, out.EndArray().EndObject());
}

}  // namespace hickorystand::fakes
