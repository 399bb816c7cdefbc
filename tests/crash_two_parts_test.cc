// Tests of what crashes are put down to while two parts of prompts crash
// endpoints, over simulated fleets (crash_fleet_model.h).

#include "crash_fleet_checks.h"

namespace hickorystand {

TEST_GROUP(CrashTwoParts){};

// Guards against two bad parts that shield each other.
TEST(CrashTwoParts, FindsTwoBadPartsAtOnce) {
  CheckContained({.report_delay = 0.3, .bad_share = 0.08, .bad_parts = 2});
}

}  // namespace hickorystand
