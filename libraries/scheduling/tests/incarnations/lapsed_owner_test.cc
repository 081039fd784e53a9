#include <CppUTest/TestHarness.h>

#include "seeded_play.h"

using shallotwick::scheduling::testing::CheckSeeds;
using shallotwick::scheduling::testing::MakeRestartOptions;
using shallotwick::scheduling::testing::PoolModelOptions;

TEST_GROUP(LapsedOwner){};

// A new incarnation has not seen the successor's fencing token.
TEST(LapsedOwner, TargetThatForgotSuccessorRunsNoTaskTwice) {
  PoolModelOptions options = MakeRestartOptions();
  options.restart_chance = 0.4;
  options.takeover_chance = 0.05;
  options.lapsed_owner_chance = 1;
  options.max_lapsed_owner_pause = std::chrono::seconds(3);
  CheckSeeds(options, 10);
}
