#include "policy_scenarios.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hickorystand {
namespace {

constexpr double kMixSeconds = 180;  // duration of each mix
constexpr double kRampSeconds = 30;

// Constant moderate load.
TrafficRate Steady(double) {
  return {.requests_per_second = 10, .prompt_share = 0.5};
}

// Constant load near the capacity of the fleet.
TrafficRate Busy(double) {
  return {.requests_per_second = 16, .prompt_share = 0.5};
}

// Alternates between prompt-heavy and answer-heavy traffic, each at about the
// capacity of the fleet if every request ran where it costs least.
TrafficRate AlternatingMix(double second) {
  const double phase = std::fmod(second, 2 * kMixSeconds);
  const double into = std::fmod(phase, kMixSeconds);
  const double ramp = std::clamp(into / kRampSeconds, 0.0, 1.0);
  const double answers = phase < kMixSeconds ? 1 - ramp : ramp;
  return {.requests_per_second = 38 - 10 * answers,
          .prompt_share = 0.85 - 0.7 * answers};
}

// The smallest account sends twice as much as all others together.
TrafficRate Flooded(double second) {
  TrafficRate rate = {.requests_per_second = 12, .prompt_share = 0.5};
  rate.flood_per_second = second >= 120 && second < 420 ? 24 : 0;
  return rate;
}

constexpr std::array kScenarios = {
    Scenario{
        .name = "steady",
        .description = "an even load, about half of what the fleet carries",
        .rate = &Steady},
    Scenario{.name = "shift",
             .description = "the mix alternates every three minutes",
             .seconds = 900,
             .rate = &AlternatingMix,
             .has_shift = true},
    Scenario{
        .name = "flood",
        .description = "the smallest account sends twice what all others do",
        .rate = &Flooded},
    Scenario{.name = "zone-lost",
             .description = "a zone of cheap endpoints is reclaimed",
             .rate = &Busy,
             .zone_lost = {200, 320}},
    Scenario{.name = "replace",
             .description = "engines are replaced one by one",
             .rate = &Busy,
             .replace = true},
    Scenario{.name = "lagging",
             .description = "reports lag by 5 s",
             .rate = &Busy,
             .report_lag = 5},
    Scenario{.name = "cut-off",
             .description =
                 "a data centre is partitioned from the others for two minutes",
             .rate = &Busy,
             .partitioned = {200, 320}},
    Scenario{
        .name = "platform-down",
        .description = "no claims and no orders for an hour of alternating mix",
        .seconds = 4200,
        .rate = &AlternatingMix,
        .platform_down = {300, 3900},
        .has_shift = true},
    Scenario{.name = "shift+zone",
             .description = "a zone is lost in the middle of a shift",
             .seconds = 900,
             .rate = &AlternatingMix,
             .zone_lost = {190, 400},
             .has_shift = true},
};

}  // namespace

std::span<const Scenario> AllScenarios() {
  return kScenarios;
}

}  // namespace hickorystand
