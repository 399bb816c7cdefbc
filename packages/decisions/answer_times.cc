#include "decisions/answer_times.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace hickorystand {
namespace {

namespace acc = boost::accumulators;

constexpr Duration kPeriod = std::chrono::seconds(10);
constexpr double kQuantile = 0.95;

// With fewer samples, the maximum is used instead of the quantile.
constexpr size_t kSamplesForQuantile = 20;

// A size class is the number of bits of a 64-bit token count.
constexpr int kSizeClasses = 64;

}  // namespace

AnswerKind AnswerKind::Of(const std::string& route, int64_t output_tokens) {
  const auto tokens =
      static_cast<uint64_t>(std::max<int64_t>(output_tokens, 0));
  return {.route = route,
          .size_class = static_cast<int>(std::bit_width(tokens))};
}

AnswerTimes::Samples AnswerTimes::EmptySamples() {
  return Samples(acc::quantile_probability = kQuantile);
}

AnswerTimes::Recent::Recent()
    : current(EmptySamples()), previous(EmptySamples()) {}

void AnswerTimes::Recent::RollTo(Instant now) {
  const Duration passed = now - this->begun;
  if (passed < kPeriod) {
    return;
  }
  this->previous = passed < 2 * kPeriod ? this->current : EmptySamples();
  this->current = EmptySamples();
  this->begun = now;
}

double AnswerTimes::SamplesP95(const Samples& samples) {
  const size_t count = acc::count(samples);
  if (count == 0) {
    return 0;
  }
  return count < kSamplesForQuantile ? acc::max(samples)
                                     : acc::p_square_quantile(samples);
}

void AnswerTimes::Add(Instant now, const AnswerKind& kind, Duration took) {
  Recent& times = this->recent[kind];
  times.RollTo(now);
  times.current(ToSeconds(took));
  this->RemoveExpired(now);
}

std::optional<double> AnswerTimes::SecondsOf(Instant now,
                                             const AnswerKind& kind) const {
  const auto found = this->recent.find(kind);
  if (found == this->recent.end() || now - found->second.begun > 2 * kPeriod) {
    return std::nullopt;
  }
  return std::max(SamplesP95(found->second.current),
                  SamplesP95(found->second.previous));
}

std::optional<Duration> AnswerTimes::P95(Instant now,
                                         const AnswerKind& kind) const {
  for (int distance = 0; distance < kSizeClasses; ++distance) {
    AnswerKind near = kind;
    near.size_class = kind.size_class + distance;
    if (const auto longer = this->SecondsOf(now, near)) {
      return FromSeconds(*longer);
    }
    near.size_class = kind.size_class - distance;
    if (const auto shorter = this->SecondsOf(now, near)) {
      return FromSeconds(std::ldexp(*shorter, distance));
    }
  }
  return std::nullopt;
}

void AnswerTimes::RemoveExpired(Instant now) {
  if (now - this->forgot_at < kPeriod) {
    return;
  }
  this->forgot_at = now;
  std::erase_if(this->recent, [now](const auto& entry) {
    return now - entry.second.begun > 2 * kPeriod;
  });
}

}  // namespace hickorystand
