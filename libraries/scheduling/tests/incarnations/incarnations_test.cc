#include <CppUTest/TestHarness.h>

#include "seeded_play.h"

using shallotwick::scheduling::testing::CheckSeeds;
using shallotwick::scheduling::testing::MakeRestartOptions;
using shallotwick::scheduling::testing::PoolModelOptions;

TEST_GROUP(Incarnations){};

TEST(Incarnations, RunAcceptedByNewIncarnationIsNotCountedAsLost) {
  CheckSeeds(MakeRestartOptions(), 10);
}

TEST(Incarnations, UnansweredStartActingAfterRestartRunsNoTaskTwice) {
  PoolModelOptions options = MakeRestartOptions();
  options.lost_share = 0.1;
  options.late_share = 0.7;
  CheckSeeds(options, 10);
}

TEST(Incarnations, CompletionDiscardedAfterRestartRunsNoTaskTwice) {
  PoolModelOptions options = MakeRestartOptions();
  options.lost_share = 0.1;
  options.max_response_delay = std::chrono::milliseconds(700);
  CheckSeeds(options, 5);
}

TEST(Incarnations, LeaseOfEarlierClockOnCutOffTargetRunsNoTaskTwice) {
  PoolModelOptions options = MakeRestartOptions();
  options.targets = 16;
  options.initial_age = std::chrono::seconds(100);
  options.restart_chance = 0.4;
  options.cut_after_restart_chance = 0.7;
  options.reports_wait = true;
  CheckSeeds(options, 5, 8'000);
}
