#include "decisions/orders.h"

#include <algorithm>
#include <array>

#include "kernel/json.h"

namespace hickorystand {
namespace {

struct KindName {
  OrderKind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    KindName{OrderKind::kSetRole, "set_role"},
    KindName{OrderKind::kLoadModel, "load_model"},
    KindName{OrderKind::kUnloadModel, "unload_model"},
    KindName{OrderKind::kDrain, "drain"},
    KindName{OrderKind::kResume, "resume"},
    KindName{OrderKind::kChangeEndpoints, "change_endpoints"},
};

void WriteOrder(JsonWriter& out, const Order& order) {
  out.BeginObject()
      .Member("id", order.id.Text())
      .Member("kind", std::string(OrderKindName(order.kind)))
      .Member("endpoint", order.endpoint.Text())
      .Member("argument", order.argument)
      .Member("service", order.service.Text())
      .Member("cheap", order.cheap)
      .Member("change", order.change)
      .Member("fences", order.fences)
      .Member("fencing", order.fencing)
      .Member("holder", order.holder.Text())
      .Member("incarnation", static_cast<int64_t>(order.incarnation))
      .EndObject();
}

Result<Order> ReadOrder(const Json& in) {
  const Result<OrderKind> kind = ParseOrderKind(in.At("kind").Text());
  if (!kind) {
    return tl::unexpected(kind.error());
  }
  return Order{
      .id = OrderId(in.At("id").Text()),
      .kind = *kind,
      .endpoint = EndpointId(in.At("endpoint").Text()),
      .argument = in.At("argument").Text(),
      .service = ServiceId(in.At("service").Text()),
      .cheap = in.At("cheap").Flag(),
      .change = in.At("change").Integer(),
      .fences = in.At("fences").Flag(),
      .fencing = in.At("fencing").Integer(),
      .holder = HostId(in.At("holder").Text()),
      .incarnation = static_cast<uint64_t>(in.At("incarnation").Integer())};
}

void WriteWindow(JsonWriter& out, const OpenWindow& window) {
  out.BeginObject()
      .Member("window", window.window)
      .Member("fencing", window.fencing)
      .Member("holder", window.holder.Text())
      .Member("incarnation", static_cast<int64_t>(window.incarnation))
      .EndObject();
}

OpenWindow ReadWindow(const Json& in) {
  return {.window = in.At("window").Integer(),
          .fencing = in.At("fencing").Integer(),
          .holder = HostId(in.At("holder").Text()),
          .incarnation = static_cast<uint64_t>(in.At("incarnation").Integer())};
}

}  // namespace

std::string_view OrderKindName(OrderKind kind) {
  return std::ranges::find(kKindNames, kind, &KindName::kind)->name;
}

Result<OrderKind> ParseOrderKind(std::string_view name) {
  const auto found = std::ranges::find(kKindNames, name, &KindName::name);
  if (found == kKindNames.end()) {
    return Fail(ErrorKind::kBadRequest,
                "unknown order kind '" + std::string(name) + "'");
  }
  return found->kind;
}

std::string OrderRecordKey(const DataCentreId& data_centre) {
  return "/hickorystand/orders/" + data_centre.Text();
}

std::string EncodeOrderRecord(const OrderRecord& record) {
  JsonWriter out;
  out.BeginObject().Member("last_window", record.last_window);
  out.Name("orders").BeginArray();
  for (const Order& order : record.orders) {
    WriteOrder(out, order);
  }
  out.EndArray().Name("windows").BeginArray();
  for (const OpenWindow& window : record.windows) {
    WriteWindow(out, window);
  }
  out.EndArray().EndObject();
  return out.Text();
}

Result<OrderRecord> DecodeOrderRecord(const std::string& text) {
  if (text.empty()) {
    return OrderRecord{};
  }
  const Result<Json> in = Json::ParseObject(text);
  if (!in) {
    return tl::unexpected(in.error());
  }
  OrderRecord record{.last_window = in->At("last_window").Integer()};
  for (const Json& item : in->At("orders").Items()) {
    Result<Order> order = ReadOrder(item);
    if (!order) {
      return tl::unexpected(order.error());
    }
    record.orders.push_back(*std::move(order));
  }
  std::ranges::transform(in->At("windows").Items(),
                         std::back_inserter(record.windows), &ReadWindow);
  return record;
}

}  // namespace hickorystand
