#include "decisions/orders.h"

#include <algorithm>
#include <array>

#include "decisions/json.h"

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
      .Text("id", order.id.Text())
      .Text("kind", std::string(OrderKindName(order.kind)))
      .Text("endpoint", order.endpoint.Text())
      .Text("argument", order.argument)
      .Text("service", order.service.Text())
      .Flag("cheap", order.cheap)
      .Integer("change", order.change)
      .Flag("fences", order.fences)
      .Integer("fencing", order.fencing)
      .Text("holder", order.holder.Text())
      .Integer("incarnation", static_cast<int64_t>(order.incarnation))
      .EndObject();
}

Result<Order> ReadOrder(const JsonReader& in) {
  const Result<OrderKind> kind = ParseOrderKind(in.Text("kind"));
  if (!kind) {
    return tl::unexpected(kind.error());
  }
  return Order{.id = OrderId(in.Text("id")),
               .kind = *kind,
               .endpoint = EndpointId(in.Text("endpoint")),
               .argument = in.Text("argument"),
               .service = ServiceId(in.Text("service")),
               .cheap = in.Flag("cheap"),
               .change = in.Integer("change"),
               .fences = in.Flag("fences"),
               .fencing = in.Integer("fencing"),
               .holder = HostId(in.Text("holder")),
               .incarnation = static_cast<uint64_t>(in.Integer("incarnation"))};
}

void WriteWindow(JsonWriter& out, const OpenWindow& window) {
  out.BeginObject()
      .Integer("window", window.window)
      .Integer("fencing", window.fencing)
      .Text("holder", window.holder.Text())
      .Integer("incarnation", static_cast<int64_t>(window.incarnation))
      .EndObject();
}

OpenWindow ReadWindow(const JsonReader& in) {
  return {.window = in.Integer("window"),
          .fencing = in.Integer("fencing"),
          .holder = HostId(in.Text("holder")),
          .incarnation = static_cast<uint64_t>(in.Integer("incarnation"))};
}

}  // namespace

std::string_view OrderKindName(OrderKind kind) {
  return std::ranges::find(kKindNames, kind, &KindName::kind)->name;
}

Result<OrderKind> ParseOrderKind(std::string_view name) {
  const auto found = std::ranges::find(kKindNames, name, &KindName::name);
  if (found == kKindNames.end()) {
    return Fail(ErrorKind::kBadRequest,
                "no order is of kind '" + std::string(name) + "'");
  }
  return found->kind;
}

std::string OrderRecordKey(const DataCentreId& data_centre) {
  return "/hickorystand/orders/" + data_centre.Text();
}

std::string EncodeOrderRecord(const OrderRecord& record) {
  JsonWriter out;
  out.BeginObject().Integer("last_window", record.last_window);
  out.BeginArray("orders");
  for (const Order& order : record.orders) {
    WriteOrder(out, order);
  }
  out.EndArray().BeginArray("windows");
  for (const OpenWindow& window : record.windows) {
    WriteWindow(out, window);
  }
  out.EndArray().EndObject();
  return out.Take();
}

Result<OrderRecord> DecodeOrderRecord(const std::string& text) {
  if (text.empty()) {
    return OrderRecord{};
  }
  const Result<JsonReader> in = JsonReader::Parse(text);
  if (!in) {
    return tl::unexpected(in.error());
  }
  OrderRecord record{.last_window = in->Integer("last_window")};
  for (const JsonReader& item : in->Items("orders")) {
    Result<Order> order = ReadOrder(item);
    if (!order) {
      return tl::unexpected(order.error());
    }
    record.orders.push_back(*std::move(order));
  }
  std::ranges::transform(in->Items("windows"),
                         std::back_inserter(record.windows), &ReadWindow);
  return record;
}

}  // namespace hickorystand
