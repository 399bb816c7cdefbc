// Orders to endpoints and to the platform, and the one record per data centre
// in which their intent stands before they leave.
//
// Index
//   Order             one order, as recorded and as sent
//   OpenWindow        a usage window that was closed and not yet reported
//   OrderRecord       everything in the data centre's record
//   Encode, Decode    the record as JSON in the key-value service

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/ids.h"

namespace hickorystand {

// Unique for ever: FENCING-NUMBER, numbered by the holder that first meant it.
using OrderId = Id<struct OrderTag>;

// What an order asks for. The first five go to an endpoint; the last goes to
// the platform's interface for endpoints.
enum class OrderKind {
  kSetRole,
  kLoadModel,
  kUnloadModel,
  kDrain,
  kResume,
  kChangeEndpoints,
};

// The kind's name on the wire, and back.
std::string_view OrderKindName(OrderKind kind);
Result<OrderKind> ParseOrderKind(std::string_view name);

// One order. Never changed once meant: a successor repeats it as it stands.
struct Order {
  OrderId id;
  OrderKind kind = OrderKind::kSetRole;
  EndpointId endpoint;       // of the first five kinds, or the one to withdraw
  std::string argument;      // role or model
  ServiceId service;         // kChangeEndpoints
  bool cheap = false;        // kChangeEndpoints
  int64_t change = 0;        // kChangeEndpoints: how many more (or, < 0, fewer)
  bool fences = false;       // the endpoint refuses older fencing numbers
  int64_t fencing = 0;       // of the holder that meant it
  HostId holder;             // who meant it
  uint64_t incarnation = 0;  // of that holder's process

  // Whether it goes to the platform rather than to an endpoint.
  bool ToPlatform() const { return this->kind == OrderKind::kChangeEndpoints; }

  auto operator<=>(const Order&) const = default;
};

// A usage window whose figures are written and whose report isn't confirmed.
struct OpenWindow {
  int64_t window = 0;
  int64_t fencing = 0;
  HostId holder;
  uint64_t incarnation = 0;

  auto operator<=>(const OpenWindow&) const = default;
};

// The data centre's record.
struct OrderRecord {
  std::vector<Order> orders;
  std::vector<OpenWindow> windows;
  int64_t last_window = 0;  // highest number closed; 0: none yet

  bool operator==(const OrderRecord&) const = default;
};

// The record's key.
std::string OrderRecordKey(const DataCentreId& data_centre);

// The record as JSON. An empty text is an empty record.
std::string EncodeOrderRecord(const OrderRecord& record);
Result<OrderRecord> DecodeOrderRecord(const std::string& text);

}  // namespace hickorystand
