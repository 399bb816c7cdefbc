#include "decisions/placement.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>
#include <set>
#include <utility>

#include "decisions/configuration_records.h"

namespace hickorystand {
namespace {

constexpr double kLevelGain = 0.5;
constexpr double kTrendGain = 0.2;
constexpr double kShareGain = 0.01;
constexpr double kTrendDamping = 0.8;
constexpr size_t kSamplesBeforePlans = 20;
constexpr size_t kSamplesKept = 120;
constexpr size_t kRecentSamples = 20;
constexpr double kMaxCapacityRatio = 100;  // upper limit, for demand near zero

constexpr std::array kLanguageRoles = {
    EndpointRole::kMixed, EndpointRole::kPrefill, EndpointRole::kDecode};

// Time that one endpoint needs for one second of demand, in seconds.
double Load(const WorkRate& work, const RoleRates& rates) {
  const double prompts = work.prefill / rates.prefill;
  return std::max(prompts + work.decode / rates.decode,
                  prompts / rates.prefill_share);
}

std::map<EndpointRole, double> CountRoles(
    const std::vector<EndpointState>& endpoints) {
  std::map<EndpointRole, double> counts;
  for (const EndpointState& state : endpoints) {
    if (state.up || state.changing) {
      counts[state.role] += 1;
    }
  }
  return counts;
}

}  // namespace

void WorkForecast::Add(double rate) {
  if (!this->started) {
    this->started = true;
    this->level = rate;
    return;
  }
  const double before = this->level;
  this->level += kLevelGain * (rate - this->level);
  this->trend += kTrendGain * (this->level - before - this->trend);
}

// The trend is damped, since a ramp does not continue indefinitely.
double WorkForecast::After(double samples) const {
  double ahead = 0;
  double step = this->trend;
  for (; samples > 0; samples -= 1) {
    ahead += step * std::min(1.0, samples);
    step *= kTrendDamping;
  }
  return std::max(0.0, this->level + ahead);
}

// Roles are sorted by their relative advantage for prompt-heavy over
// output-heavy work. In the optimal division prompt-heavy work is assigned from
// the front of that order and output-heavy work from its end. The split point
// is where both classes reach the same ratio.
double CapacityRatio(const WorkRate& prompt_heavy,
                     const WorkRate& output_heavy,
                     const std::map<EndpointRole, double>& count,
                     const RoleRatesTable& rates) {
  struct Group {
    double count, prompts, answers;  // Load() of each class
  };
  std::vector<Group> groups;
  for (const auto& [role, number] : count) {
    const auto known = rates.find(role);
    if (known != rates.end() && number > 0) {
      groups.push_back({number, Load(prompt_heavy, known->second),
                        Load(output_heavy, known->second)});
    }
  }
  constexpr double kNothing = 1e-9;
  const auto all = [&](double Group::* load) {
    double share = 0;
    for (const Group& group : groups) {
      share += group.count / std::max(kNothing, group.*load);
    }
    return std::min(share, kMaxCapacityRatio);
  };
  if (groups.empty() || Load(prompt_heavy, {1, 1}) < kNothing) {
    return groups.empty() ? 0 : all(&Group::answers);
  }
  if (Load(output_heavy, {1, 1}) < kNothing) {
    return all(&Group::prompts);
  }
  std::ranges::sort(groups, {}, [](const Group& group) {
    return group.prompts / group.answers;
  });
  double carried_prompts = 0;
  double carried_answers = std::transform_reduce(
      groups.begin(), groups.end(), 0.0, std::plus(),
      [](const Group& group) { return group.count / group.answers; });
  for (const Group& group : groups) {
    const double rest = carried_answers - group.count / group.answers;
    const double full = carried_prompts + group.count / group.prompts;
    if (full >= rest) {
      // carried_prompts + f n/p = rest + (1 - f) n/a
      const double f =
          (rest + group.count / group.answers - carried_prompts) /
          (group.count / group.prompts + group.count / group.answers);
      return std::min(kMaxCapacityRatio,
                      carried_prompts + f * group.count / group.prompts);
    }
    carried_prompts = full;
    carried_answers = rest;
  }
  return std::min(kMaxCapacityRatio, carried_prompts);
}

Planner::Planner(ServiceId service,
                 RoleRatesTable rates,
                 const PlannerOptions& options)
    : service(std::move(service)), rates(std::move(rates)), options(options) {
  assert(std::ranges::all_of(this->rates,
                             [](const auto& entry) {
                               return entry.second.prefill > 0 &&
                                      entry.second.decode > 0;
                             }) &&
         "rates of roles must be positive");
}

Planner::TrafficClass& Planner::TrafficClassOf(int64_t prompt_tokens,
                                               int64_t output_tokens) {
  const WorkRate work{static_cast<double>(prompt_tokens),
                      static_cast<double>(output_tokens)};
  const auto load = [&](EndpointRole role) {
    const auto found = this->rates.find(role);
    return found == this->rates.end() ? 0 : Load(work, found->second);
  };
  const bool is_prompt_heavy =
      load(EndpointRole::kPrefill) < load(EndpointRole::kDecode);
  return is_prompt_heavy ? this->prompt_heavy : this->output_heavy;
}

void Planner::OnRequest(int64_t prompt_tokens, int64_t output_tokens) {
  TrafficClass& traffic_class =
      this->TrafficClassOf(prompt_tokens, output_tokens);
  traffic_class.prompt_tokens +=
      static_cast<double>(prompt_tokens) * traffic_class.computed_share;
  traffic_class.output_tokens +=
      static_cast<double>(output_tokens) * traffic_class.generated_share;
}

void Planner::OnAnswer(int64_t prompt_tokens,
                       int64_t output_tokens,
                       int64_t cached_tokens,
                       int64_t generated_tokens) {
  TrafficClass& traffic_class =
      this->TrafficClassOf(prompt_tokens, output_tokens);
  const auto correct = [](double& share, int64_t part, int64_t whole) {
    if (whole > 0) {
      const double measured =
          static_cast<double>(part) / static_cast<double>(whole);
      share += kShareGain * (std::clamp(measured, 0.0, 1.0) - share);
    }
  };
  correct(traffic_class.computed_share, prompt_tokens - cached_tokens,
          prompt_tokens);
  correct(traffic_class.generated_share, generated_tokens, output_tokens);
}

void Planner::OnTick(Instant now) {
  const Duration elapsed = now - this->sample_began;
  if (elapsed < this->options.sample) {
    return;
  }
  const double seconds = ToSeconds(elapsed);
  const auto close = [seconds](TrafficClass& traffic_class) {
    const WorkRate work{traffic_class.prompt_tokens / seconds,
                        traffic_class.output_tokens / seconds};
    traffic_class.prefill.Add(work.prefill);
    traffic_class.decode.Add(work.decode);
    traffic_class.prompt_tokens = 0;
    traffic_class.output_tokens = 0;
    return work;
  };
  this->history.push_front(
      {close(this->prompt_heavy), close(this->output_heavy)});
  this->history.resize(std::min(this->history.size(), kSamplesKept));
  this->sample_began = now;
}

WorkRate Planner::Forecast(const TrafficClass& traffic_class) const {
  const double ahead =
      ToSeconds(this->options.horizon) / ToSeconds(this->options.sample);
  return {traffic_class.prefill.After(ahead),
          traffic_class.decode.After(ahead)};
}

Planner::Mix Planner::ForecastMix() const {
  return {this->Forecast(this->prompt_heavy),
          this->Forecast(this->output_heavy)};
}

// The weighted mean of the capacity ratio over the forecast and all past mixes.
// Capacity beyond the headroom has no value.
double Planner::RatePlan(const Counts& counts) const {
  const auto carried = [&](const Mix& mix) {
    return std::min(
        this->options.headroom,
        CapacityRatio(mix.prompt_heavy, mix.output_heavy, counts, this->rates));
  };
  double sum = 0;
  double weights = 0;
  double weight = 1;
  for (const Mix& mix : this->history) {
    sum += weight * carried(mix);
    weights += weight;
    weight *= std::exp2(-1 / this->options.half_life_samples);
  }
  const double forecast_weight = this->options.forecast_share;
  return forecast_weight * carried(this->ForecastMix()) +
         (1 - forecast_weight) * sum / weights;
}

double Planner::WorstCapacityRatio(
    const std::vector<EndpointState>& endpoints) const {
  const Counts counts = CountRoles(endpoints);
  const auto carried = [&](const Mix& mix) {
    return CapacityRatio(mix.prompt_heavy, mix.output_heavy, counts,
                         this->rates);
  };
  double least = carried(this->ForecastMix());
  for (const Mix& mix : this->history | std::views::take(kRecentSamples)) {
    least = std::min(least, carried(mix));
  }
  return least;
}

std::optional<PlacementProposal> Planner::BestRoleChange(
    const std::vector<EndpointState>& endpoints,
    const DataCentreId& data_centre) const {
  const Counts counts = CountRoles(endpoints);
  const double rating = this->RatePlan(counts);
  const double change_seconds = ToSeconds(this->options.change);
  const double dwell_seconds = ToSeconds(this->options.role_dwell_time);
  double best_gain = 0;
  std::optional<std::pair<EndpointRole, EndpointRole>> best;
  for (const auto& [from, number] : counts) {
    for (const EndpointRole to : kLanguageRoles) {
      if (from == to || number < 1 || !this->rates.contains(to)) {
        continue;
      }
      Counts during = counts;
      during[from] -= 1;
      Counts after = during;
      after[to] += 1;
      const double benefit = (this->RatePlan(after) - rating) * dwell_seconds;
      const double required = (rating - this->RatePlan(during)) *
                              change_seconds * this->options.hysteresis;
      const double gain =
          benefit - std::max(required, this->options.min_gain * dwell_seconds);
      if (gain > best_gain) {
        best_gain = gain;
        best = {from, to};
      }
    }
  }
  if (!best) {
    return {};
  }
  const EndpointState* chosen = nullptr;
  for (const EndpointState& state : endpoints) {
    const bool fits = state.up && !state.changing &&
                      state.role == best->first &&
                      state.endpoint.data_centre == data_centre;
    if (fits && (chosen == nullptr || state.running < chosen->running)) {
      chosen = &state;
    }
  }
  if (chosen == nullptr) {
    return {};
  }
  return PlacementProposal{.endpoint = chosen->endpoint.id,
                           .kind = "set_role",
                           .argument = NameOfRole(best->second),
                           .reason = "carries more of the forecast work"};
}

std::vector<PlacementProposal> Planner::ProposeRoleChanges(
    Instant now,
    const std::vector<EndpointState>& endpoints) {
  if (this->history.size() < kSamplesBeforePlans) {
    return {};
  }
  std::set<DataCentreId> data_centres;
  std::set<DataCentreId> busy;
  for (const EndpointState& state : endpoints) {
    data_centres.insert(state.endpoint.data_centre);
    if (state.changing) {
      busy.insert(state.endpoint.data_centre);
    }
  }
  std::vector<PlacementProposal> proposals;
  std::vector<EndpointState> planned = endpoints;
  for (const DataCentreId& data_centre : data_centres) {
    if (busy.contains(data_centre)) {
      continue;
    }
    const auto proposal = this->BestRoleChange(planned, data_centre);
    if (!proposal) {
      continue;
    }
    // The next data centre plans on the basis of this change, so that the data
    // centres do not overshoot together.
    for (EndpointState& state : planned) {
      if (state.endpoint.id == proposal->endpoint) {
        const auto* role =
            std::ranges::find(kLanguageRoles, proposal->argument, &NameOfRole);
        state.role = *role;
        state.changing = true;
      }
    }
    this->last_change[data_centre] = now;
    proposals.push_back(*proposal);
  }
  return proposals;
}

// Whether the loss of the spot endpoints of any single zone would leave each
// data centre with its floor and the fleet with zone_loss_share of the demand.
bool Planner::SurvivesZoneLoss(const std::vector<EndpointState>& endpoints,
                               int64_t floor) const {
  std::set<ZoneId> zones;
  std::map<DataCentreId, int64_t> all;
  for (const EndpointState& state : endpoints) {
    if (state.endpoint.cheap) {
      zones.insert(state.endpoint.zone);
    }
    all[state.endpoint.data_centre] += 1;
  }
  return std::ranges::all_of(zones, [&](const ZoneId& zone) {
    std::vector<EndpointState> remaining = endpoints;
    std::erase_if(remaining, [&](const EndpointState& state) {
      return state.endpoint.cheap && state.endpoint.zone == zone;
    });
    std::map<DataCentreId, int64_t> counts;
    for (const EndpointState& state : remaining) {
      counts[state.endpoint.data_centre] += 1;
    }
    const bool floors = std::ranges::all_of(all, [&](const auto& entry) {
      return counts[entry.first] >= std::min(floor, entry.second);
    });
    return floors &&
           this->WorstCapacityRatio(remaining) >= this->options.zone_loss_share;
  });
}

std::optional<CapacityProposal> Planner::BestRelease(
    const std::vector<EndpointState>& endpoints,
    int64_t floor) const {
  std::map<DataCentreId, int64_t> counts;
  for (const EndpointState& state : endpoints) {
    counts[state.endpoint.data_centre] += state.up ? 1 : 0;
  }
  const EndpointState* chosen = nullptr;
  for (const EndpointState& state : endpoints) {
    if (!state.up || state.changing ||
        counts[state.endpoint.data_centre] <= floor) {
      continue;
    }
    std::vector<EndpointState> remaining = endpoints;
    std::erase(remaining, state);
    if (this->WorstCapacityRatio(remaining) < this->options.release_ratio ||
        !this->SurvivesZoneLoss(remaining, floor)) {
      continue;
    }
    const auto rank = [](const EndpointState& one) {
      return std::pair(-one.endpoint.cost_per_hour, one.running);
    };
    if (chosen == nullptr || rank(state) < rank(*chosen)) {
      chosen = &state;
    }
  }
  if (chosen == nullptr) {
    return {};
  }
  return CapacityProposal{.service = this->service,
                          .data_centre = chosen->endpoint.data_centre,
                          .zone = chosen->endpoint.zone,
                          .cheap = chosen->endpoint.cheap,
                          .change = -1,
                          .endpoint = chosen->endpoint.id,
                          .reason = "the rest carries the forecast work"};
}

std::optional<CapacityProposal> Planner::ProposeCapacityChange(
    Instant now,
    const std::vector<EndpointState>& endpoints,
    int64_t min_per_data_centre,
    int64_t max_endpoints) {
  if (this->history.size() < kSamplesBeforePlans) {
    return {};
  }
  const double carried = this->WorstCapacityRatio(endpoints);
  const auto since = [&](std::optional<Instant>& mark, bool holds) {
    if (!holds) {
      mark.reset();
      return false;
    }
    mark = mark.value_or(now);
    return now - *mark >= this->options.capacity_delay;
  };
  const bool is_short =
      since(this->shortfall_since, carried < this->options.headroom);
  const bool in_surplus =
      since(this->surplus_since, carried > this->options.release_ratio);
  if (is_short && static_cast<int64_t>(endpoints.size()) < max_endpoints) {
    // Add where there are fewest endpoints; a spot one if the loss of any zone
    // can still be absorbed.
    std::map<DataCentreId, int64_t> counts;
    for (const EndpointState& state : endpoints) {
      counts[state.endpoint.data_centre] += 1;
    }
    const auto fewest = std::ranges::min_element(
        counts, {}, [](const auto& entry) { return entry.second; });
    if (fewest == counts.end()) {
      return {};
    }
    return CapacityProposal{
        .service = this->service,
        .data_centre = fewest->first,
        .cheap = this->SurvivesZoneLoss(endpoints, min_per_data_centre),
        .change = 1,
        .reason = "forecast work exceeds what is carried"};
  }
  if (in_surplus) {
    return this->BestRelease(endpoints, min_per_data_centre);
  }
  return {};
}

bool Planner::TryStartModelLoad(Instant now) {
  if (this->last_load &&
      now - *this->last_load < this->options.model_load_interval) {
    return false;
  }
  this->last_load = now;
  return true;
}

}  // namespace hickorystand
