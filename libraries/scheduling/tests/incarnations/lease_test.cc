#include <CppUTest/TestHarness.h>

#include "seeded_play.h"

using shallotwick::scheduling::testing::CheckSeeds;
using shallotwick::scheduling::testing::PoolModelOptions;

TEST_GROUP(Lease){};

TEST(Lease, LeaseAfterIdleTimeOnSlowClockEndsByItsBound) {
  PoolModelOptions options;
  options.clock_slowness = 0.02;
  options.partition_chance = 0.2;
  options.calm_time = std::chrono::seconds(120);
  CheckSeeds(options, 3);
}

TEST(Lease, TaskStartsElsewhereOnlyAfterLeaseOfCutOffTargetHasEnded) {
  PoolModelOptions options;
  options.partition_chance = 0.2;
  CheckSeeds(options, 10);
}
