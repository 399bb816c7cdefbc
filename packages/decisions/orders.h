// Orders to endpoints and to the platform, and the record per data centre in
// which an order is stored before it is sent.
//
// Index
//   Order             one order, as recorded and as sent
//   OpenWindow        a usage window that was closed and not yet reported
//   OrderRecord       the contents of the data centre's record
//   Encode, Decode    the record as JSON in the key-value service

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/ids.h"

namespace hickorystand {

// Never reused. The format is FENCING-NUMBER, numbered by the holder that
// created the order.
using OrderId = Id<struct OrderTag>;

// The action of an order. kChangeEndpoints goes to the platform's endpoint
// interface, all others go to an endpoint.
enum class OrderKind {
  kSetRole,
  kLoadModel,
  kUnloadModel,
  kDrain,
  kResume,
  kChangeEndpoints,
};

// Conversion between a kind and its name on the wire.
std::string_view OrderKindName(OrderKind kind);
Result<OrderKind> ParseOrderKind(std::string_view name);

// One order. Immutable once recorded: a successor repeats it unchanged.
struct Order {
  OrderId id;
  OrderKind kind = OrderKind::kSetRole;
  EndpointId endpoint;       // of the first five kinds, or the one to withdraw
  std::string argument;      // role or model
  ServiceId service;         // kChangeEndpoints
  bool cheap = false;        // kChangeEndpoints
  int64_t change = 0;        // kChangeEndpoints: how many more (or, < 0, fewer)
  bool fences = false;       // the endpoint refuses older fencing numbers
  int64_t fencing = 0;       // of the holder that created it
  HostId holder;             // that created it
  uint64_t incarnation = 0;  // of that holder's process

  // Whether the order goes to the platform rather than to an endpoint.
  bool ToPlatform() const { return this->kind == OrderKind::kChangeEndpoints; }

  auto operator<=>(const Order&) const = default;
};

// A usage window whose figures are recorded and whose report is not confirmed.
struct OpenWindow {
  int64_t window = 0;
  int64_t fencing = 0;
  HostId holder;
  uint64_t incarnation = 0;

  auto operator<=>(const OpenWindow&) const = default;
};

// The contents of the data centre's record.
struct OrderRecord {
  std::vector<Order> orders;
  std::vector<OpenWindow> windows;
  int64_t last_window = 0;  // highest closed window; 0: none

  bool operator==(const OrderRecord&) const = default;
};

// The record's key in the key-value service.
std::string OrderRecordKey(const DataCentreId& data_centre);

// The record as JSON. An empty text decodes to an empty record.
std::string EncodeOrderRecord(const OrderRecord& record);
Result<OrderRecord> DecodeOrderRecord(const std::string& text);

}  // namespace hickorystand
