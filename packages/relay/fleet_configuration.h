// The configuration of a fleet behind a relay: routes to services, the client
// accounts with their keys, and bounds on callers. One immutable value for
// each version; readers hold it by a shared pointer to const.
//
// Index
//   Repeatability, Route, RouteTarget   where requests go and what may repeat
//   EngineShape                         what a service of engines looks like
//   FleetService, CallerLimits          the other records
//   FleetConfiguration                  all of them at one version

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/account_limiter.h"
#include "decisions/scale_plan.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// What may be done again with a request.
enum class Repeatability {
  kIdempotent,       // may run any number of times
  kOnce,             // at most once
  kStreamOnce,       // a stream of events, at most once
  kStreamResumable,  // a stream that another endpoint can go on with
};

constexpr bool IsStream(Repeatability kind) {
  return kind == Repeatability::kStreamOnce ||
         kind == Repeatability::kStreamResumable;
}

constexpr bool MayRunAgain(Repeatability kind) {
  return kind == Repeatability::kIdempotent ||
         kind == Repeatability::kStreamResumable;
}

// A service that takes a part of a route's requests.
struct RouteTarget {
  ServiceId service;
  int64_t weight = 1;

  auto operator<=>(const RouteTarget&) const = default;
};

// Which requests go where, and what they may expect.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  Repeatability kind = Repeatability::kOnce;
  Duration timeout{};         // the longest that a caller is kept waiting
  Duration target_latency{};  // to the first byte, for a good answer
  Duration gap_target{};      // between two events, for a good answer
  int64_t priority = 0;       // 0 is the most urgent
  std::vector<RouteTarget> targets;
  int64_t max_attempts = 1;
  bool keyless = false;
  bool prefix_sharing = false;  // prompts share parts with each other

  auto operator<=>(const Route&) const = default;
};

// The engines of a service.
struct EngineShape {
  int64_t slots = 0;
  int64_t cache_tokens = 0;
  double copied_tokens = 0;  // a second, between engines of a zone
  int64_t event_polls = 0;   // cache event calls an engine keeps waiting
  Duration handle_life{};    // how long a prompt that was read is kept
  Duration role_change{};    // how long an engine is away for it

  auto operator<=>(const EngineShape&) const = default;
};

// A group of endpoints that do the same.
struct FleetService {
  ServiceId id;
  std::string health_path;
  int64_t max_connections = 0;  // of one endpoint, from all hosts together
  std::optional<EngineShape> engine;
  std::optional<ScaleBounds> scaling;

  bool operator==(const FleetService&) const = default;
};

// What callers may send, and how long they may take.
struct CallerLimits {
  int64_t head_bytes = 16384;
  int64_t body_bytes = int64_t{4} << 20;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  auto operator<=>(const CallerLimits&) const = default;
};

// A client account as far as the relay knows it.
struct RelayAccount {
  AccountId id;
  std::optional<int64_t> priority;  // goes before the route's

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

  // The route of a host whose prefix is the longest that begins a path, or
  // nullptr if there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // The shortest pause that any route allows in a stream of a service, or
  // nothing if no route says.
  Duration ShortestPause(const ServiceId& service) const;

  // The account that holds a key, or nullptr.
  const RelayAccount* FindAccount(std::string_view key) const;

  bool operator==(const FleetConfiguration&) const = default;
};

using FleetConfigurationPtr = std::shared_ptr<const FleetConfiguration>;

// The service that takes a request: the share of each target is its weight,
// and the same request always gets the same one.
const ServiceId& PickService(const Route& route, const RequestId& request);

}  // namespace hickorystand
