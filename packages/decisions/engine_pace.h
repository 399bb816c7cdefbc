// How fast a service's engines are, learned from the requests that ran there.
//
// Engines of different fleets differ tenfold in how fast they read prompts, and
// a wrong figure spoils every decision that compares waiting with reading. So
// the figures start from a guess and follow what is measured. Each measurement
// moves a figure by a bounded step, up or down, so that a few engines that are
// slow, frozen or lying can't lead it far off; the steps are large at first, so
// that a guess eight times off is corrected within about 20 measurements.
//
// Index
//   TypicalTime         one figure that follows what is usual
//   EnginePaceOptions   the guesses to start from
//   PaceFigures         what one host tells another
//   EnginePace          the figures of one service

#pragma once

#include <cstdint>

#include "decisions/configuration.h"
#include "kernel/time.h"

namespace hickorystand {

// A length of time that two fifths of what is measured stay below. Waiting
// that nobody knew of makes single measurements too long, never too short, so
// the figure lies below the middle.
class TypicalTime {
 public:
  explicit TypicalTime(double seconds) : seconds(seconds) {}

  // Takes a measurement; `weight` is from 0 (worth nothing) to 1.
  void Add(double measured, double weight = 1);

  // Takes the figure of another host that has measured more.
  void Adopt(double figure, int64_t measurements);

  double Seconds() const { return this->seconds; }
  int64_t Measurements() const { return this->measurements; }

 private:
  double seconds;
  int64_t measurements = 0;
};

// What is taken for true until it was measured.
struct EnginePaceOptions {
  double prompt_tokens = 37900;    // a second, in the role that reads prompts
  double decode_role_share = 0.5;  // of that rate, in the role that generates
  double copied_tokens = 2.5e6;    // a second, from another engine's memory
  Duration first_token = std::chrono::milliseconds(24);  // beside reading
  Duration after_reading = std::chrono::milliseconds(44);
  Duration copy_setup = std::chrono::milliseconds(6);

  auto operator<=>(const EnginePaceOptions&) const = default;
};

// All figures of a service, with how often each was measured.
struct PaceFigures {
  struct Figure {
    double seconds = 0;
    int64_t measurements = 0;

    auto operator<=>(const Figure&) const = default;
  };
  Figure token_prefill;  // to read one prompt token
  Figure token_decode;
  Figure first_token;
  Figure after_reading;
  Figure copy_setup;

  auto operator<=>(const PaceFigures&) const = default;
};

// A prompt that was read.
struct ReadingMeasured {
  EndpointRole role = EndpointRole::kPrefill;
  int64_t tokens = 0;         // of the request itself
  int64_t tokens_before = 0;  // that were known to wait there before it
  int64_t copied_tokens = 0;  // fetched from another engine first
  Duration took{};            // until the first sign of it

  auto operator<=>(const ReadingMeasured&) const = default;
};

// The figures of one service's engines.
class EnginePace {
 public:
  explicit EnginePace(const EnginePaceOptions& guess);

  // The links between engines, where the configuration tells of them.
  void SetCopiedTokens(double a_second) { this->copied_tokens = a_second; }

  void OnRead(const ReadingMeasured& reading);

  // The first token of an answer whose prompt another engine had read.
  void OnAnswerAfterReading(Duration took);

  // Prompt tokens that an engine of usual speed reads in a second.
  double PromptTokens(EndpointRole role) const;

  // To the first token, beside reading.
  double FirstToken() const { return this->first_token.Seconds(); }

  // To the first token of an answer whose prompt another engine has read.
  double AfterReading() const { return this->after_reading.Seconds(); }

  // To fetch tokens from an engine of the same zone.
  double Copying(int64_t tokens) const;

  PaceFigures Figures() const;

  // Takes each figure that the other host has measured more often.
  void Adopt(const PaceFigures& told);

 private:
  EnginePaceOptions guess;
  double copied_tokens;
  TypicalTime token_prefill;
  TypicalTime token_decode;
  TypicalTime first_token;
  TypicalTime after_reading;
  TypicalTime copy_setup;
};

}  // namespace hickorystand
