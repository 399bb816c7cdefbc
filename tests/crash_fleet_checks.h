// Checks of simulated fleets whose endpoints crash. CRASH_SEEDS sets the number
// of runs of each.
//
// Index
//   ForSeeds         checks the result of each run
//   CheckContained   checks that a bad part is found, and nothing else refused

#pragma once

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <string>

#include "crash_fleet_model.h"

namespace hickorystand {

inline constexpr int64_t kMaxLateSends = 3;
inline constexpr uint64_t kUsualSeeds = 6;

inline uint64_t Seeds() {
  const char* given = std::getenv("CRASH_SEEDS");
  return given == nullptr ? kUsualSeeds : std::strtoull(given, nullptr, 10);
}

template <typename Check>
void ForSeeds(const CrashFleetOptions& options, Check check) {
  for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
    CrashFleetOptions seeded = options;
    seeded.seed = seed;
    CrashFleetModel model(seeded);
    const CrashFleetResult result = model.Run();
    const std::string text =
        "seed " + std::to_string(seed) + ": " +
        std::to_string(result.late_sends) + " late sends, " +
        std::to_string(result.late_refused) + " of " +
        std::to_string(result.late_sound) + " sound requests refused late";
    CHECK_TEXT(check(result), text.c_str());
  }
}

// No more requests with a bad part than may be sent, and sound requests begin
// more than half as often as before.
inline void CheckContained(const CrashFleetOptions& options) {
  ForSeeds(options, [](const CrashFleetResult& result) {
    return result.late_sends <= kMaxLateSends &&
           result.late_refused * 2 <= result.late_sound &&
           result.refused * 2 < result.sound;
  });
}

}  // namespace hickorystand
