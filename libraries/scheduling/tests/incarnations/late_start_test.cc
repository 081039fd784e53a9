#include <CppUTest/TestHarness.h>

#include "seeded_play.h"

using shallotwick::scheduling::testing::CheckSeeds;
using shallotwick::scheduling::testing::MakeRestartOptions;
using shallotwick::scheduling::testing::PoolModelOptions;

TEST_GROUP(LateStart){};

TEST(LateStart, StartActingBeforeFirstReportAfterRestartRunsNoTaskTwice) {
  PoolModelOptions options = MakeRestartOptions();
  options.lost_share = 0.1;
  options.late_share = 0.7;
  options.late_orders_precede_reports = true;
  options.late_reports_precede_reports = true;
  CheckSeeds(options, 10);
}

TEST(LateStart, StartOfFormerOwnerActingBeforeFirstReportRunsNoTaskTwice) {
  PoolModelOptions options = MakeRestartOptions();
  options.lost_share = 0.1;
  options.late_share = 0.7;
  options.late_orders_precede_reports = true;
  options.takeover_chance = 0.02;
  CheckSeeds(options, 10);
}
