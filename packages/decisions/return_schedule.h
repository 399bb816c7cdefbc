// ReturnSchedule: when refused callers may come back.
//
// Callers that are refused at one moment and get the same Retry-After return at
// one moment, and are mostly refused again. A host spreads them at the rate at
// which its service has started requests lately. A more urgent class doesn't
// wait for returns that were promised to less urgent ones.
//
//   ReturnSchedule returns;
//   returns.OnStarted(now, service);
//   retry_after = returns.Next(now, {.service = service, .priority = 0,
//                                    .left = left, .until_room = until_room});
//
// Index
//   ReturnScheduleOptions   rates and bounds
//   ReturnRequest           a request that is refused
//   ReturnSchedule          the promised returns of one host

#pragma once

#include <map>

#include "decisions/decaying_rate.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

struct ReturnScheduleOptions {
  // Bounds of the interval between two returns of a service.
  Duration min_interval = std::chrono::milliseconds(1);
  Duration max_interval = std::chrono::milliseconds(200);
  // Averaging time of the rate of started requests.
  Duration rate_memory = std::chrono::seconds(1);
  // Callers don't come back later than after this share of the time they have.
  double max_share_of_left = 0.33;

  auto operator<=>(const ReturnScheduleOptions&) const = default;
};

// A request that is refused. It has not run.
struct ReturnRequest {
  ServiceId service;
  int64_t priority = 0;   // its class; 0 is the most urgent
  Duration left{};        // that the caller has
  Duration until_room{};  // until endpoints are expected to have room

  auto operator<=>(const ReturnRequest&) const = default;
};

// The promised returns of one host. All calls take the current time.
class ReturnSchedule {
 public:
  explicit ReturnSchedule(const ReturnScheduleOptions& options = {})
      : options(options) {}

  // Records that a request of the service was sent to an endpoint.
  void OnStarted(Instant now, const ServiceId& service);

  // Returns the Retry-After delay, and keeps the place for the caller.
  Duration Next(Instant now, const ReturnRequest& refused);

 private:
  struct Service {
    DecayingRate started;
    std::map<int64_t, Instant> last_return;  // by priority
  };

  Service& Of(const ServiceId& service);
  Duration IntervalOf(Instant now, const Service& service) const;

  ReturnScheduleOptions options;
  std::map<ServiceId, Service> services;
};

}  // namespace hickorystand
