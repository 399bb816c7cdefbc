// The configuration of a relay's fleet: routes to services, client accounts
// with their keys, and limits on callers. One immutable value per version;
// readers hold it by a shared pointer to const.
//
// Index
//   Repeatability, Route, RouteTarget   routing and retry safety of requests
//   EngineSpec                          properties of a service's engines
//   FleetService, CallerLimits          services, limits on callers
//   RelayAccount                        a client account
//   FleetConfiguration                  all records at one version

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/scale_plan.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Whether a request may be executed again after a failure.
enum class Repeatability {
  kIdempotent,       // may be executed any number of times
  kOnce,             // executed at most once
  kStreamOnce,       // a stream of events, executed at most once
  kStreamResumable,  // a stream that another endpoint can continue
};

constexpr bool IsStream(Repeatability kind) {
  return kind == Repeatability::kStreamOnce ||
         kind == Repeatability::kStreamResumable;
}

constexpr bool IsRepeatable(Repeatability kind) {
  return kind == Repeatability::kIdempotent ||
         kind == Repeatability::kStreamResumable;
}

// A service that receives a weighted share of a route's requests.
struct RouteTarget {
  ServiceId service;
  int64_t weight = 1;

  auto operator<=>(const RouteTarget&) const = default;
};

// Which requests are routed to which services, with their timeouts and latency
// targets.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  Repeatability kind = Repeatability::kOnce;
  Duration timeout{};         // maximum time until the caller is answered
  Duration target_latency{};  // to the first byte, to meet the target
  Duration gap_target{};      // between two events, to meet the target
  int64_t priority = 0;       // 0 is the most urgent
  std::vector<RouteTarget> targets;
  int64_t max_attempts = 1;
  bool keyless = false;
  bool prefix_sharing = false;  // its prompts share parts with each other

  // What the route matches, which identifies it.
  std::string Pattern() const { return this->host + this->path_prefix; }

  auto operator<=>(const Route&) const = default;
};

// Properties of the engines of a service.
struct EngineSpec {
  int64_t slots = 0;
  int64_t cache_tokens = 0;
  double transfer_tokens_per_second =
      0;  // per second, between engines of a zone
  int64_t max_event_polls =
      0;                       // cache event polls that an engine holds at once
  Duration handle_lifetime{};  // how long a prefilled prompt is kept
  Duration role_change_time{};  // unavailability during a role change

  auto operator<=>(const EngineSpec&) const = default;
};

// A group of interchangeable endpoints.
struct FleetService {
  ServiceId id;
  std::string health_path;
  int64_t max_connections = 0;  // to one endpoint, over all hosts
  std::optional<EngineSpec> engine;
  std::optional<ScaleBounds> scaling;

  bool operator==(const FleetService&) const = default;
};

// Size limits and timeouts for callers' requests.
struct CallerLimits {
  int64_t head_bytes = 16384;
  int64_t body_bytes = int64_t{4} << 20;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  auto operator<=>(const CallerLimits&) const = default;
};

// The relay's settings of a client account.
struct RelayAccount {
  AccountId id;
  std::optional<int64_t> priority;  // overrides the route's

  auto operator<=>(const RelayAccount&) const = default;
};

// All records at one version.
struct FleetConfiguration {
  int64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, FleetService> services;
  std::map<std::string, RelayAccount, std::less<>> accounts_by_key;
  bool keys_required = false;
  AccountLimits account_limits;  // an account without one is not limited
  CallerLimits limits;

  // The route for `host` with the longest prefix of `path`, or nullptr if there
  // is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // The smallest gap_target of the routes to a service, or zero if none of them
  // sets one.
  Duration ShortestGapTarget(const ServiceId& service) const;

  // The account that holds a key, or nullptr.
  const RelayAccount* FindAccount(std::string_view key) const;

  bool operator==(const FleetConfiguration&) const = default;
};

using FleetConfigurationPtr = std::shared_ptr<const FleetConfiguration>;

// Selects the target of a request by a hash of its id: targets receive requests
// in proportion to their weights, and the same request always gets the same
// target.
const ServiceId& PickService(const Route& route, const RequestId& request);

// The services to which a route sends requests.
std::set<ServiceId> ServicesOf(const Route& route);

}  // namespace hickorystand
