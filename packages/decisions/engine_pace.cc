#include "decisions/engine_pace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hickorystand {
namespace {

// The share of measurements below an estimate.
constexpr double kBelow = 0.4;

// The step of the first measurement, as a power of e, and the smallest step,
// after many measurements. In between it falls as
// 1 / (1 + measurements / kStepHalved).
constexpr double kFirstStep = 0.5;
constexpr double kLastStep = 0.03;
constexpr double kStepHalved = 10;

// Below the first bound, a prefill time depends more on other delays than on
// the rate; up to the second bound, only on those.
constexpr int64_t kLeastForRate = 2000;
constexpr int64_t kMostForDelay = 600;

constexpr double kShortest = 1e-9;  // seconds; keeps measurements positive

double SecondsAToken(double tokens_a_second) {
  return 1 / tokens_a_second;
}

}  // namespace

void TypicalTime::Add(double measured, double weight) {
  const double step = std::max(
      kLastStep,
      kFirstStep / (1 + static_cast<double>(this->measurements) / kStepHalved));
  const double direction = measured > this->seconds ? kBelow : kBelow - 1;
  this->seconds *= std::exp(weight * step * direction);
  ++this->measurements;
}

void TypicalTime::Adopt(double figure, int64_t measurements) {
  if (measurements > this->measurements && std::isfinite(figure) &&
      figure > kShortest) {
    this->seconds = figure;
    this->measurements = measurements;
  }
}

EnginePace::EnginePace(const EnginePaceOptions& guess)
    : guess(guess),
      copied_tokens(guess.copied_tokens),
      token_prefill(SecondsAToken(guess.prompt_tokens)),
      token_decode(
          SecondsAToken(guess.prompt_tokens * guess.decode_role_share)),
      first_token(ToSeconds(guess.first_token)),
      after_reading(ToSeconds(guess.after_reading)),
      copy_setup(ToSeconds(guess.copy_setup)) {}

double EnginePace::PromptTokens(EndpointRole role) const {
  const bool reads = role == EndpointRole::kPrefill;
  const TypicalTime& own = reads ? this->token_prefill : this->token_decode;
  const TypicalTime& other = reads ? this->token_decode : this->token_prefill;
  if (own.Measurements() > 0 || other.Measurements() == 0) {
    return 1 / own.Seconds();
  }
  // Only the other role has measurements.
  const double share = this->guess.decode_role_share;
  return (reads ? 1 / share : share) / other.Seconds();
}

double EnginePace::Copying(int64_t tokens) const {
  return this->copy_setup.Seconds() +
         static_cast<double>(tokens) / this->copied_tokens;
}

void EnginePace::OnRead(const ReadingMeasured& reading) {
  const bool reads = reading.role == EndpointRole::kPrefill;
  const auto tokens = static_cast<double>(reading.tokens);
  const auto all = static_cast<double>(reading.tokens + reading.tokens_before);
  const double rate = this->PromptTokens(reading.role);
  const double delay = reads ? 0 : this->FirstToken();
  const double took = ToSeconds(reading.took);
  if (reading.copied_tokens > 0) {
    if (reading.tokens_before == 0) {
      const double rest =
          took - delay - tokens / rate -
          static_cast<double>(reading.copied_tokens) / this->copied_tokens;
      this->copy_setup.Add(std::max(rest, kShortest));
    }
    return;
  }
  if (reading.tokens >= kLeastForRate) {
    // Other hosts report the queued tokens late; the larger their share, the
    // less the measurement says about the rate.
    (reads ? this->token_prefill : this->token_decode)
        .Add(std::max(took - delay, kShortest) / all, tokens / all);
  } else if (reading.tokens <= kMostForDelay && !reads) {
    this->first_token.Add(std::max(took - all / rate, kShortest));
  }
}

void EnginePace::OnAnswerAfterReading(Duration took) {
  this->after_reading.Add(std::max(ToSeconds(took), kShortest));
}

PaceFigures EnginePace::Figures() const {
  const auto figure = [](const TypicalTime& time) {
    return PaceFigures::Figure{.seconds = time.Seconds(),
                               .measurements = time.Measurements()};
  };
  return {.token_prefill = figure(this->token_prefill),
          .token_decode = figure(this->token_decode),
          .first_token = figure(this->first_token),
          .after_reading = figure(this->after_reading),
          .copy_setup = figure(this->copy_setup)};
}

void EnginePace::Adopt(const PaceFigures& told) {
  const std::array pairs = {
      std::pair(&this->token_prefill, &told.token_prefill),
      std::pair(&this->token_decode, &told.token_decode),
      std::pair(&this->first_token, &told.first_token),
      std::pair(&this->after_reading, &told.after_reading),
      std::pair(&this->copy_setup, &told.copy_setup)};
  for (const auto& [own, figure] : pairs) {
    own->Adopt(figure->seconds, figure->measurements);
  }
}

}  // namespace hickorystand
