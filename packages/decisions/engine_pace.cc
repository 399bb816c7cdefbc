#include "decisions/engine_pace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hickorystand {
namespace {

// The share of measurements below an estimate.
constexpr double kTargetQuantile = 0.4;

// The step of the first measurement, as a power of e, and the smallest step,
// after many measurements. In between it falls as
// 1 / (1 + measurements / kStepHalvingCount).
constexpr double kFirstStep = 0.5;
constexpr double kMinStep = 0.03;
constexpr double kStepHalvingCount = 10;

// Below the first bound, a prefill time depends more on other delays than on
// the rate; up to the second bound, only on those.
constexpr int64_t kMinTokensForRate = 2000;
constexpr int64_t kMaxTokensForDelay = 600;

constexpr double kMinSeconds = 1e-9;  // seconds; keeps measurements positive

double SecondsPerToken(double tokens_per_second) {
  return 1 / tokens_per_second;
}

}  // namespace

void TypicalTime::Add(double measured, double weight) {
  const double step = std::max(
      kMinStep, kFirstStep / (1 + static_cast<double>(this->measurements) /
                                      kStepHalvingCount));
  const double direction =
      measured > this->seconds ? kTargetQuantile : kTargetQuantile - 1;
  this->seconds *= std::exp(weight * step * direction);
  ++this->measurements;
}

void TypicalTime::Adopt(double figure, int64_t measurements) {
  if (measurements > this->measurements && std::isfinite(figure) &&
      figure > kMinSeconds) {
    this->seconds = figure;
    this->measurements = measurements;
  }
}

EnginePace::EnginePace(const EnginePaceOptions& guess)
    : guess(guess),
      transfer_rate(guess.transfer_tokens_per_second),
      token_prefill(SecondsPerToken(guess.prefill_tokens_per_second)),
      token_decode(SecondsPerToken(guess.prefill_tokens_per_second *
                                   guess.decode_role_share)),
      first_token(ToSeconds(guess.first_token)),
      first_token_after_handover(ToSeconds(guess.first_token_after_handover)),
      copy_setup(ToSeconds(guess.copy_setup)) {}

double EnginePace::PrefillTokensPerSecond(EndpointRole role) const {
  const bool is_prefill = role == EndpointRole::kPrefill;
  const TypicalTime& own =
      is_prefill ? this->token_prefill : this->token_decode;
  const TypicalTime& other =
      is_prefill ? this->token_decode : this->token_prefill;
  if (own.Measurements() > 0 || other.Measurements() == 0) {
    return 1 / own.Seconds();
  }
  // Only the other role has measurements.
  const double share = this->guess.decode_role_share;
  return (is_prefill ? 1 / share : share) / other.Seconds();
}

double EnginePace::TransferSeconds(int64_t tokens) const {
  return this->copy_setup.Seconds() +
         static_cast<double>(tokens) / this->transfer_rate;
}

void EnginePace::OnPrefill(const PrefillMeasurement& measurement) {
  const bool is_prefill = measurement.role == EndpointRole::kPrefill;
  const auto tokens = static_cast<double>(measurement.tokens);
  const auto all = static_cast<double>(measurement.tokens +
                                       measurement.queued_tokens_before);
  const double rate = this->PrefillTokensPerSecond(measurement.role);
  const double delay = is_prefill ? 0 : this->FirstToken();
  const double took = ToSeconds(measurement.took);
  if (measurement.copied_tokens > 0) {
    if (measurement.queued_tokens_before == 0) {
      const double setup =
          took - delay - tokens / rate -
          static_cast<double>(measurement.copied_tokens) / this->transfer_rate;
      this->copy_setup.Add(std::max(setup, kMinSeconds));
    }
    return;
  }
  if (measurement.tokens >= kMinTokensForRate) {
    // Other hosts report the queued tokens late; the larger their share, the
    // less the measurement says about the rate.
    (is_prefill ? this->token_prefill : this->token_decode)
        .Add(std::max(took - delay, kMinSeconds) / all, tokens / all);
  } else if (measurement.tokens <= kMaxTokensForDelay && !is_prefill) {
    this->first_token.Add(std::max(took - all / rate, kMinSeconds));
  }
}

void EnginePace::OnFirstTokenAfterHandover(Duration took) {
  this->first_token_after_handover.Add(std::max(ToSeconds(took), kMinSeconds));
}

PaceFigures EnginePace::Figures() const {
  const auto figure = [](const TypicalTime& time) {
    return PaceFigures::Figure{.seconds = time.Seconds(),
                               .measurements = time.Measurements()};
  };
  return {
      .token_prefill = figure(this->token_prefill),
      .token_decode = figure(this->token_decode),
      .first_token = figure(this->first_token),
      .first_token_after_handover = figure(this->first_token_after_handover),
      .copy_setup = figure(this->copy_setup)};
}

void EnginePace::Adopt(const PaceFigures& received) {
  const std::array pairs = {
      std::pair(&this->token_prefill, &received.token_prefill),
      std::pair(&this->token_decode, &received.token_decode),
      std::pair(&this->first_token, &received.first_token),
      std::pair(&this->first_token_after_handover,
                &received.first_token_after_handover),
      std::pair(&this->copy_setup, &received.copy_setup)};
  for (const auto& [own, figure] : pairs) {
    own->Adopt(figure->seconds, figure->measurements);
  }
}

}  // namespace hickorystand
