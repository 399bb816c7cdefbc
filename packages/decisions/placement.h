// Capacity planning of one service: which role each endpoint should have, and
// how many endpoints there should be.
//
// Demand is forecast from arriving requests, as prompt tokens to compute and
// tokens to generate per second. Prompt-heavy and output-heavy requests are
// forecast separately. A plan is rated by its capacity ratio: the capacity of
// the endpoints divided by the demand, with each request sent to the role where
// it costs least. A role change is proposed only if its gain over the expected
// duration of the workload mix exceeds the loss while the endpoint is out of
// service.
//
// The mix varies within minutes, and a role change takes an engine out of
// service for most of a minute. Roles are therefore chosen for all mixes of the
// last minutes, weighted by recency, and not for the current mix alone.
//
// The planner has no side effects and only makes proposals. The coordinator of
// the data centre, which holds the lease, turns them into orders.
//
// Index
//   PlannerOptions                        thresholds and durations
//   PlacementProposal, CapacityProposal   output
//   EndpointState                         input, per endpoint
//   RoleRates                             throughput of a role
//   WorkForecast                          level and trend of a rate
//   Planner

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "kernel/time.h"

namespace hickorystand {

// Parameters of the planner.
struct PlannerOptions {
  // Interval of the samples, and how far ahead of them the forecast looks.
  Duration sample = std::chrono::seconds(15);
  Duration horizon = std::chrono::seconds(30);
  // How long a role is expected to last, and how long a role change takes the
  // endpoint out of service, drain included.
  Duration role_dwell_time = std::chrono::seconds(300);
  Duration change = std::chrono::seconds(30);
  // Half-life of the weight of a past mix, in samples.
  double half_life_samples = 40;
  // Weight of the forecast mix in the rating of a plan; past mixes have the
  // rest.
  double forecast_share = 0.25;
  // How long a shortfall or surplus must last before it is acted on.
  Duration capacity_delay = std::chrono::seconds(60);
  // The gain of a role change must exceed its loss by this factor, and in any
  // case be at least this share of the demand.
  double hysteresis = 1.5;
  double min_gain = 0.02;
  // Capacity ratio to aim for. More capacity than that has no value.
  double headroom = 1.25;
  // Capacity ratio above which an endpoint is released.
  double release_ratio = 1.6;
  // Capacity ratio that must remain after the loss of any single zone.
  double zone_loss_share = 0.7;
  // Least time between two model loads, by the rate of the weight store.
  Duration model_load_interval = std::chrono::seconds(30);

  auto operator<=>(const PlannerOptions&) const = default;
};

// An endpoint order that the planner proposes to the coordinator.
struct PlacementProposal {
  EndpointId endpoint;
  std::string kind;      // kind of the order: set_role, drain, load_model
  std::string argument;  // the role or the model
  std::string reason;

  auto operator<=>(const PlacementProposal&) const = default;
};

// A proposal to request one endpoint from the platform or to release one.
struct CapacityProposal {
  ServiceId service;
  DataCentreId data_centre;
  ZoneId zone;
  bool cheap = false;
  int64_t change = 0;   // +1 or -1
  EndpointId endpoint;  // -1: the endpoint to drain and release
  std::string reason;

  auto operator<=>(const CapacityProposal&) const = default;
};

// The state of one endpoint, as input of the planner.
struct EndpointState {
  Endpoint endpoint;
  EndpointRole role = EndpointRole::kMixed;
  bool up = true;         // accepts requests
  bool changing = false;  // draining, changing its role or loading a model
  int64_t running = 0;

  auto operator<=>(const EndpointState&) const = default;
};

// Measured throughput of one endpoint in a role, with either kind of work
// alone.
struct RoleRates {
  double prefill = 0;  // prompt tokens per second
  double decode = 0;   // generated tokens per second, whole batch
  // The largest share of its time that the engine spends on prefill while it
  // decodes. It limits the prompt throughput of a decode endpoint even if there
  // is little to decode.
  double prefill_share = 1;

  auto operator<=>(const RoleRates&) const = default;
};

using RoleRatesTable = std::map<EndpointRole, RoleRates>;

// Level and trend of a rate (Holt's double exponential smoothing).
class WorkForecast {
 public:
  // Adds the rate measured over one sample.
  void Add(double rate);

  // The rate expected `samples` samples from now; not negative.
  double After(double samples) const;

 private:
  double level = 0;
  double trend = 0;
  bool started = false;
};

// Demand of one traffic class, in tokens per second.
struct WorkRate {
  double prefill = 0;
  double decode = 0;

  auto operator<=>(const WorkRate&) const = default;
};

// Capacity of a fleet divided by demand. `prompt_heavy` and `output_heavy` are
// the demand of the two traffic classes, `count` the number of endpoints of
// each role. Zero if no role in `count` has rates.
double CapacityRatio(const WorkRate& prompt_heavy,
                     const WorkRate& output_heavy,
                     const std::map<EndpointRole, double>& count,
                     const RoleRatesTable& rates);

// Plans one service. Requests and answers are reported as they come; OnTick()
// closes the samples. Proposes nothing until 20 samples have been taken.
class Planner {
 public:
  Planner(ServiceId service,
          RoleRatesTable rates,
          const PlannerOptions& options = {});

  // A request arrived, with the token counts stated by its caller.
  void OnRequest(int64_t prompt_tokens, int64_t output_tokens);

  // A request was answered. The tokens actually computed, without those found
  // in a prefix cache, correct the estimates for later requests of the class.
  void OnAnswer(int64_t prompt_tokens,
                int64_t output_tokens,
                int64_t cached_tokens,
                int64_t generated_tokens);

  // Closes a sample whenever its interval has passed. To be called at least
  // once per interval.
  void OnTick(Instant now);

  // Role changes whose gain exceeds their loss, at most one per data centre.
  std::vector<PlacementProposal> ProposeRoleChanges(
      Instant now,
      const std::vector<EndpointState>& endpoints);

  // A proposal to add or release one endpoint, or none. No data centre is taken
  // below the floor, and endpoints are not added beyond the maximum.
  std::optional<CapacityProposal> ProposeCapacityChange(
      Instant now,
      const std::vector<EndpointState>& endpoints,
      int64_t min_per_data_centre,
      int64_t max_endpoints);

  // Rate limit for the weight store: returns whether a model may be loaded now,
  // and if so, counts this load.
  bool TryStartModelLoad(Instant now);

  // Capacity divided by the highest demand, forecast or recently measured.
  double WorstCapacityRatio(const std::vector<EndpointState>& endpoints) const;

 private:
  // Tokens since the start of the sample, and forecasts, of one traffic class.
  struct TrafficClass {
    double prompt_tokens = 0;
    double output_tokens = 0;
    double computed_share = 1;   // of prompt tokens; the rest is cached
    double generated_share = 1;  // of the output tokens that callers state
    WorkForecast prefill;
    WorkForecast decode;
  };

  using Counts = std::map<EndpointRole, double>;

  // Demand of both traffic classes over one sample.
  struct Mix {
    WorkRate prompt_heavy;
    WorkRate output_heavy;
  };

  TrafficClass& TrafficClassOf(int64_t prompt_tokens, int64_t output_tokens);
  Mix ForecastMix() const;
  WorkRate Forecast(const TrafficClass& traffic_class) const;
  double RatePlan(const Counts& counts) const;
  std::optional<PlacementProposal> BestRoleChange(
      const std::vector<EndpointState>& endpoints,
      const DataCentreId& data_centre) const;
  std::optional<CapacityProposal> BestRelease(
      const std::vector<EndpointState>& endpoints,
      int64_t floor) const;
  bool SurvivesZoneLoss(const std::vector<EndpointState>& endpoints,
                        int64_t floor) const;

  ServiceId service;
  RoleRatesTable rates;
  PlannerOptions options;
  TrafficClass prompt_heavy;
  TrafficClass output_heavy;
  Instant sample_began{};
  std::deque<Mix> history;  // latest first
  std::map<DataCentreId, Instant> last_change;
  std::optional<Instant> shortfall_since;
  std::optional<Instant> surplus_since;
  std::optional<Instant> last_load;
};

}  // namespace hickorystand
