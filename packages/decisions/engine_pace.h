// Estimates of how fast a service's engines are, from the requests that ran on
// them.
//
// Prefill rates differ tenfold between fleets, and a wrong estimate distorts
// every decision that compares queueing with recomputing. The estimates start
// from a default and follow the measurements. Each measurement moves an
// estimate by a bounded step, up or down, so that a few slow, frozen or
// misreporting engines can't shift it far. The steps are large at first, so
// that a default that is off by a factor of eight is corrected within about 20
// measurements.
//
// Index
//   TypicalTime         one estimate
//   EnginePaceOptions   the defaults
//   PaceFigures         the estimates as hosts exchange them
//   EnginePace          the estimates for one service

#pragma once

#include <cstdint>

#include "decisions/configuration.h"
#include "kernel/time.h"

namespace hickorystand {

// Estimates the 40 % quantile of a duration, in seconds. Queueing that the host
// has no record of makes single measurements too long, never too short, so the
// estimate lies below the median.
class TypicalTime {
 public:
  explicit TypicalTime(double seconds) : seconds(seconds) {}

  // Adds a measurement with a weight between 0 (ignored) and 1.
  void Add(double measured, double weight = 1);

  // Replaces the estimate by another host's, if that is based on more
  // measurements.
  void Adopt(double figure, int64_t measurements);

  double Seconds() const { return this->seconds; }
  int64_t Measurements() const { return this->measurements; }

 private:
  double seconds;
  int64_t measurements = 0;
};

// The values used until the first measurement.
struct EnginePaceOptions {
  double prefill_tokens_per_second = 37900;  // per second, in the prefill role
  double decode_role_share = 0.5;            // of that rate, in the decode role
  double transfer_tokens_per_second =
      2.5e6;  // per second, transferred from another engine
  Duration first_token = std::chrono::milliseconds(24);  // without prefill
  Duration first_token_after_handover = std::chrono::milliseconds(44);
  Duration copy_setup = std::chrono::milliseconds(6);

  auto operator<=>(const EnginePaceOptions&) const = default;
};

// A service's estimates, each with the number of its measurements.
struct PaceFigures {
  struct Figure {
    double seconds = 0;
    int64_t measurements = 0;

    auto operator<=>(const Figure&) const = default;
  };
  Figure token_prefill;  // per prompt token
  Figure token_decode;
  Figure first_token;
  Figure first_token_after_handover;
  Figure copy_setup;

  auto operator<=>(const PaceFigures&) const = default;
};

// A measured prefill.
struct PrefillMeasurement {
  EndpointRole role = EndpointRole::kPrefill;
  int64_t tokens = 0;  // of the request itself
  int64_t queued_tokens_before =
      0;                      // recorded as queued there before the request
  int64_t copied_tokens = 0;  // transferred from another engine first
  Duration took{};            // until the first event of the response

  auto operator<=>(const PrefillMeasurement&) const = default;
};

// The estimates for one service's engines.
class EnginePace {
 public:
  explicit EnginePace(const EnginePaceOptions& guess);

  // Sets the transfer rate between engines, where the configuration specifies
  // it.
  void SetTransferRate(double tokens_per_second) {
    this->transfer_rate = tokens_per_second;
  }

  void OnPrefill(const PrefillMeasurement& measurement);

  // Records the time to the first token of an answer whose prompt another
  // engine had prefilled.
  void OnFirstTokenAfterHandover(Duration took);

  // Prompt tokens per second that a typical engine prefills.
  double PrefillTokensPerSecond(EndpointRole role) const;

  // Seconds to the first token, without prefill.
  double FirstToken() const { return this->first_token.Seconds(); }

  // Seconds to the first token of an answer whose prompt another engine has
  // prefilled.
  double FirstTokenAfterHandover() const {
    return this->first_token_after_handover.Seconds();
  }

  // Seconds to transfer tokens from an engine in the same zone.
  double TransferSeconds(int64_t tokens) const;

  PaceFigures Figures() const;

  // Adopts each estimate for which the other host has more measurements.
  void Adopt(const PaceFigures& received);

 private:
  EnginePaceOptions guess;
  double transfer_rate;
  TypicalTime token_prefill;
  TypicalTime token_decode;
  TypicalTime first_token;
  TypicalTime first_token_after_handover;
  TypicalTime copy_setup;
};

}  // namespace hickorystand
