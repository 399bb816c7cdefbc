// How long whole answers take, learned from the answers of the last seconds.
//
// Answers of one route differ by their length, and the same length takes
// several times as long while endpoints are busy. So times are kept by route
// and by size of the answer, and only recent ones count.
//
//   AnswerTimes times;
//   times.Add(now, AnswerKind::Of("r1", output_tokens), took);
//   const auto longest = times.Longest(now, AnswerKind::Of("r1", 300));
//
// Index
//   AnswerKind    answers that take about as long
//   AnswerTimes   the times of all kinds

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
  int size_class = 0;  // bits of the most tokens that may be generated

  static AnswerKind Of(const std::string& route, int64_t output_tokens);

  auto operator<=>(const AnswerKind&) const = default;
};

class AnswerTimes {
 public:
  // An answer of the kind took so long to be whole.
  void Add(Instant now, const AnswerKind& kind, Duration took);

  // A time that 19 of 20 answers of the kind don't exceed. Where none of the
  // kind is known, it follows from the route's nearest size; nullopt if nothing
  // is known of the route.
  std::optional<Duration> Longest(Instant now, const AnswerKind& kind) const;

 private:
  using Samples = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::p_square_quantile>>;

  // The times of one period and of the one before, in seconds.
  struct Recent {
    Recent();

    // Begins new periods for those that are over.
    void RollTo(Instant now);

    Instant begun{};
    Samples current;
    Samples previous;
  };

  static Samples Empty();
  static double LongestOf(const Samples& samples);

  // nullopt if nothing of the kind itself is known.
  std::optional<double> SecondsOf(Instant now, const AnswerKind& kind) const;

  void ForgetOld(Instant now);

  std::map<AnswerKind, Recent> recent;
  Instant forgot_at{};
};

}  // namespace hickorystand
