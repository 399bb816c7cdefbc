// Tests of what crashes are put down to, over simulated fleets
// (crash_fleet_model.h).

#include <CppUTest/TestHarness.h>

#include "crash_fleet_checks.h"

namespace hickorystand {
namespace {

// Crashes without a bad part: sound requests are served as before, but for one
// in 20 while endpoints crash.
void CheckNothingRefused(const CrashFleetOptions& options) {
  ForSeeds(options, [](const CrashFleetResult& result) {
    return result.refused * 20 <= result.sound && result.late_refused == 0;
  });
}

}  // namespace

TEST_GROUP(CrashCauses){};

// Guards against a bad part that goes on crashing endpoints, and against
// refusing the parts beside it.
TEST(CrashCauses, FindsABadPart) {
  CheckContained({.bad_share = 0.12});
  CheckContained({.report_delay = 0.3, .bad_share = 0.03});
  CheckContained({.report_delay = 0.3, .bad_share = 0.5});
  CheckContained({.report_delay = 0.3, .bad_share = 0.12, .bad_first = true});
}

// Guards against answers of runs from before the part turned bad.
TEST(CrashCauses, FindsAPartThatTurnsBad) {
  CheckContained({.report_delay = 0.3, .bad_share = 0.12, .bad_from = 15});
  CheckContained({.report_delay = 0.3, .bad_share = 0.5, .bad_from = 15});
}

// Guards against hosts that never hear of some crashes.
TEST(CrashCauses, FindsABadPartDespiteLostReports) {
  CheckContained({.report_delay = 0.3, .lost_reports = 0.2, .bad_share = 0.12});
}

// Guards against a bad part that is hidden by crashes of another cause.
TEST(CrashCauses, FindsABadPartAmongOtherCrashes) {
  CheckContained(
      {.report_delay = 0.3, .bad_share = 0.12, .random_crash = 0.003});
  CheckContained({.report_delay = 0.3, .bad_share = 0.12, .lost_zone_at = 6});
  CheckContained({.report_delay = 0.3, .bad_share = 0.12, .broken_share = 0.3});
}

// Guards against a caller that gets the part of others refused by sending it
// beside its own bad one.
TEST(CrashCauses, SparesThePartsOfOtherAccounts) {
  const CrashFleetOptions options{.report_delay = 0.3,
                                  .bad_share = 0.12,
                                  .one_account = true,
                                  .victim_part = true};
  CheckContained(options);
  ForSeeds(options, [](const CrashFleetResult& result) {
    return result.victims_refused == 0;
  });
}

// Guards against a caller that pushes evidence out by many parts of its own.
TEST(CrashCauses, FindsABadPartInAFloodOfParts) {
  CheckContained({.report_delay = 0.3,
                  .bad_share = 0.12,
                  .one_account = true,
                  .flood_share = 0.3});
}

// Guards against refusing sound parts while a software version crashes half of
// the endpoints, or all of them for some time.
TEST(CrashCauses, BlocksNothingWhileEndpointsAreBroken) {
  CheckNothingRefused(
      {.report_delay = 0.3, .broken_share = 0.5, .broken_until = 15});
  CheckNothingRefused({.report_delay = 0.3,
                       .broken_share = 1,
                       .broken_from = 10,
                       .broken_until = 20});
}

// Guards against refusing sound parts after crashes that have no common cause.
TEST(CrashCauses, BlocksNothingAfterUnrelatedCrashes) {
  CheckNothingRefused({.report_delay = 0.3, .random_crash = 0.01});
  CheckNothingRefused({.report_delay = 0.3, .lost_zone_at = 10});
}

}  // namespace hickorystand
