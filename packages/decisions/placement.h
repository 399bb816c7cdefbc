// Which role each endpoint should have, and how many endpoints there should be.
//
// Work is forecast from what arrives: prompt tokens to compute and tokens to
// generate, apart for requests that lean to prompts and those that lean to
// answers. A plan's worth is the share of that work which the endpoints can
// carry, were each request sent where it costs least. A role change is wished
// for only if what it wins over the time that the mix is expected to stay
// exceeds what is lost while the endpoint is away.
//
// Mixes swing within minutes and a change takes an engine away for most of one,
// so roles are chosen for all mixes of the last minutes, the latest counting
// most, and not for the present one alone.
//
// The planner is pure and wishes only. The data centre's coordinator, which
// holds the lease, turns wishes into orders.
//
// Index
//   PlacementOptions             margins and times
//   PlacementWish, CapacityWish  what comes out
//   EndpointState                what goes in, per endpoint
//   WorkForecast                 level and trend of one kind of work
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

// How the planner is set.
struct PlacementOptions {
  Duration sample = std::chrono::seconds(15);   // of the forecast
  Duration horizon = std::chrono::seconds(30);  // looked ahead
  Duration dwell = std::chrono::seconds(300);   // a role is taken to last
  Duration change = std::chrono::seconds(30);   // away, with the drain
  double half_life = 40;         // samples after which a mix counts half
  double forecast_share = 0.25;  // of the weight, for what is to come
  Duration capacity_wait = std::chrono::seconds(60);  // shortfall or surplus
  double hysteresis = 1.5;   // a change must win this many times its loss
  double least_gain = 0.02;  // of the work, even if a change loses nothing
  double headroom = 1.25;    // capacity over forecast work that is worth it
  double surplus = 1.6;      // capacity over which an endpoint is given back
  double zone_loss_share = 0.7;  // of the work that a zone's loss must leave
  Duration load_interval = std::chrono::seconds(30);  // weight store's rate

  auto operator<=>(const PlacementOptions&) const = default;
};

// An order that the planner would have the coordinator give.
struct PlacementWish {
  EndpointId endpoint;
  std::string kind;      // as in endpoint orders: set_role, drain, load_model
  std::string argument;  // the role or the model
  std::string reason;

  auto operator<=>(const PlacementWish&) const = default;
};

// Endpoints to be had from the platform or given back to it.
struct CapacityWish {
  ServiceId service;
  DataCentreId data_centre;
  ZoneId zone;
  bool cheap = false;
  int64_t change = 0;   // +1 or -1
  EndpointId endpoint;  // the one to be drained and given back
  std::string reason;

  auto operator<=>(const CapacityWish&) const = default;
};

// One endpoint as the planner sees it.
struct EndpointState {
  Endpoint endpoint;
  EndpointRole role = EndpointRole::kMixed;
  bool up = true;         // takes work
  bool changing = false;  // drains, changes its role or loads a model
  int64_t running = 0;

  auto operator<=>(const EndpointState&) const = default;
};

// What an endpoint of a role can do alone with one kind of work, as measured.
struct RoleRates {
  double prefill = 0;  // prompt tokens a second
  double decode = 0;   // generated tokens a second, whole batch
  // The most of its time that goes to prompts while answers are generated. It
  // bounds the prompts that an answer-leaning endpoint can take in, however
  // few its answers are.
  double prefill_share = 1;

  auto operator<=>(const RoleRates&) const = default;
};

using RoleRatesTable = std::map<EndpointRole, RoleRates>;

// Level and trend of a rate (Holt's double exponential smoothing).
class WorkForecast {
 public:
  // The rate seen over one sample.
  void Add(double rate);

  // The rate expected so many samples from now, never below zero.
  double After(double samples) const;

 private:
  double level = 0;
  double trend = 0;
  bool started = false;
};

// Work a second of requests that lean one way.
struct LeaningWork {
  double prefill = 0;
  double decode = 0;

  auto operator<=>(const LeaningWork&) const = default;
};

// How many times the forecast work a fleet could carry. `prompts` and
// `answers` are the two leanings; `count` says how many endpoints of each role.
double CarriedShare(const LeaningWork& prompts,
                    const LeaningWork& answers,
                    const std::map<EndpointRole, double>& count,
                    const RoleRatesTable& rates);

// Plans one service.
class Planner {
 public:
  Planner(ServiceId service,
          RoleRatesTable rates,
          const PlacementOptions& options = {});

  // A request came in, with the tokens that its caller names.
  void OnRequest(int64_t prompt_tokens, int64_t output_tokens);

  // A request was answered. What it really took, without what was found in a
  // prefix cache, corrects what is expected of others that lean the same way.
  void OnAnswer(int64_t prompt_tokens,
                int64_t output_tokens,
                int64_t cached_tokens,
                int64_t generated_tokens);

  // Closes samples; call it often.
  void OnTick(Instant now);

  // Role changes that pay, at most one for each data centre.
  std::vector<PlacementWish> RoleWishes(
      Instant now,
      const std::vector<EndpointState>& endpoints);

  // At most one endpoint more or less for the service.
  std::optional<CapacityWish> NextCapacityWish(
      Instant now,
      const std::vector<EndpointState>& endpoints,
      int64_t floor_per_data_centre,
      int64_t most);

  // Whether the weight store may be asked for a model now; counts as asking.
  bool MayLoadModel(Instant now);

  // Capacity over the most work that is forecast or was seen lately.
  double Carried(const std::vector<EndpointState>& endpoints) const;

 private:
  // Prompt and output tokens since the sample began, and their forecasts.
  struct Leaning {
    double prompt_tokens = 0;
    double output_tokens = 0;
    double computed_share = 1;   // of prompt tokens; the rest is cached
    double generated_share = 1;  // of the output tokens that callers name
    WorkForecast prefill;
    WorkForecast decode;
  };

  using Counts = std::map<EndpointRole, double>;

  // Both leanings over one sample.
  struct Mix {
    LeaningWork prompts;
    LeaningWork answers;
  };

  Leaning& LeaningOf(int64_t prompt_tokens, int64_t output_tokens);
  Mix ForecastMix() const;
  LeaningWork Forecast(const Leaning& leaning) const;
  double Worth(const Counts& counts) const;
  std::optional<PlacementWish> BestChange(
      const std::vector<EndpointState>& endpoints,
      const DataCentreId& data_centre) const;
  std::optional<CapacityWish> GiveBack(
      const std::vector<EndpointState>& endpoints,
      int64_t floor) const;
  bool SurvivesZones(const std::vector<EndpointState>& endpoints,
                     int64_t floor) const;

  ServiceId service;
  RoleRatesTable rates;
  PlacementOptions options;
  Leaning prompts;
  Leaning answers;
  Instant sample_began{};
  std::deque<Mix> history;  // latest first
  std::map<DataCentreId, Instant> last_change;
  std::optional<Instant> short_since;
  std::optional<Instant> surplus_since;
  std::optional<Instant> last_load;
};

}  // namespace hickorystand
