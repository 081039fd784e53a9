#include <CppUTest/TestHarness.h>

#include "seeded_play.h"

using shallotwick::scheduling::testing::CheckLongRunningSeeds;
using shallotwick::scheduling::testing::LongRunningPlay;

namespace {

// A seed takes many times longer with sanitizers.
constexpr uint32_t kSeedsInCi = 2;

LongRunningPlay MakePlay() {
  LongRunningPlay play;
  play.options.targets = 8;
  play.options.has_host_lists = true;
  play.options.checks_long_running = true;
  play.options.gone_chance = 0.1;
  play.options.owner_loss_chance = 0.05;
  play.options.min_takeover_delay = std::chrono::milliseconds(2'400);
  play.options.max_takeover_delay = std::chrono::milliseconds(3'400);
  return play;
}

}  // namespace

TEST_GROUP(LongRunningPlay){};

TEST(LongRunningPlay, TasksRunAgainAfterTakeoverWithTargetsGone) {
  CheckLongRunningSeeds(MakePlay(), kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunAgainAfterTakeoverWithEntriesThatNeverAnswer) {
  LongRunningPlay play = MakePlay();
  play.options.silent_entries = 2;
  CheckLongRunningSeeds(play, kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunAgainAfterCutsCrashesAndRestarts) {
  LongRunningPlay play = MakePlay();
  play.options.partition_chance = 0.1;
  play.options.crash_chance = 0.05;
  play.options.restart_chance = 0.1;
  play.options.max_registry_delay = std::chrono::milliseconds(1'500);
  CheckLongRunningSeeds(play, kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunAgainAfterHostListsCouldNotBeRead) {
  LongRunningPlay play = MakePlay();
  play.options.host_list_outage_chance = 0.1;
  play.options.partition_chance = 0.05;
  CheckLongRunningSeeds(play, kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunAgainAfterUnansweredStarts) {
  LongRunningPlay play = MakePlay();
  play.options.lost_share = 0.2;
  play.options.late_share = 0.3;
  CheckLongRunningSeeds(play, kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunBesideJobsThatFailEverywhere) {
  LongRunningPlay play = MakePlay();
  play.poison_jobs = 100;
  CheckLongRunningSeeds(play, kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunBesideLongRunningJobsWithoutRoom) {
  LongRunningPlay play = MakePlay();
  play.unplaceable_jobs = 45;
  CheckLongRunningSeeds(play, kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunAgainAfterLossOfSeveralOwnersInARow) {
  LongRunningPlay play = MakePlay();
  play.options.owner_loss_chance = 0.3;
  play.options.partition_chance = 0.05;
  CheckLongRunningSeeds(play, kSeedsInCi);
}

TEST(LongRunningPlay, TasksRunAgainAfterAllKindsOfFaults) {
  LongRunningPlay play = MakePlay();
  play.options.silent_entries = 2;
  play.options.owner_loss_chance = 0.2;
  play.options.partition_chance = 0.1;
  play.options.crash_chance = 0.05;
  play.options.restart_chance = 0.1;
  play.options.max_registry_delay = std::chrono::milliseconds(1'500);
  play.options.host_list_outage_chance = 0.05;
  play.options.lost_share = 0.1;
  play.options.failure_share = 0.05;
  play.poison_jobs = 60;
  play.unplaceable_jobs = 45;
  CheckLongRunningSeeds(play, kSeedsInCi);
}
