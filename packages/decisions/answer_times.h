// Estimates how long complete answers take, from the answers of the last
// seconds.
//
// Answers of one route differ in length, and an answer of the same length takes
// several times as long while endpoints are busy. Durations are therefore kept
// by route and by size of the answer, and only recent ones count.
//
//   AnswerTimes times;
//   times.Add(now, AnswerKind::Of("r1", output_tokens), took);
//   const auto p95 = times.P95(now, AnswerKind::Of("r1", 300));
//
// Index
//   AnswerKind    answers of similar duration
//   AnswerTimes   the durations of all kinds

#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "kernel/time.h"

namespace hickorystand {

// Answers of one route whose lengths differ by less than a factor of two.
struct AnswerKind {
  std::string route;
  int size_class = 0;  // bits of the maximum number of output tokens

  static AnswerKind Of(const std::string& route, int64_t output_tokens);

  auto operator<=>(const AnswerKind&) const = default;
};

class AnswerTimes {
 public:
  // Records the duration of a complete answer.
  void Add(Instant now, const AnswerKind& kind, Duration took);

  // The duration that 19 of 20 answers of the kind don't exceed. If the kind
  // has no samples, it is estimated from the route's nearest size; nullopt if
  // the route has none.
  std::optional<Duration> P95(Instant now, const AnswerKind& kind) const;

 private:
  using Samples = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::p_square_quantile>>;

  // The durations of the current and the previous period, in seconds.
  struct Recent {
    Recent();

    // Starts a new period if the current one is over.
    void RollTo(Instant now);

    Instant begun{};
    Samples current;
    Samples previous;
  };

  static Samples EmptySamples();
  static double SamplesP95(const Samples& samples);

  // nullopt if the kind itself has no samples.
  std::optional<double> SecondsOf(Instant now, const AnswerKind& kind) const;

  void RemoveExpired(Instant now);

  std::map<AnswerKind, Recent> recent;
  Instant forgot_at{};
};

}  // namespace hickorystand
