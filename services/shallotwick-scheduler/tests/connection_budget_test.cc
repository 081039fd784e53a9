// How the files that the process may open are shared.
#include "../connection_budget.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <limits>

namespace scheduler = shallotwick::scheduler;

TEST_GROUP(ConnectionBudget){};

TEST(ConnectionBudget, TargetsDoNotTakeTheFilesOfStoreCallersAndPeers) {
  const scheduler::ConnectionBudget budget(1'024);
  CHECK(budget.GetTargetConnections() > 0);
  CHECK(budget.GetTargetConnections() <= 1'024 - 32 - 64 - 256 - 128);
}

TEST(ConnectionBudget, LowLimitLeavesFilesToBothSides) {
  for (const uint64_t files : {0, 1, 2, 100, 479, 480, 481}) {
    const scheduler::ConnectionBudget budget(files);
    CHECK(budget.GetTargetConnections() >= 1);
    CHECK(budget.GetTargetConnections() <= files / 2 + 1);
  }
}

TEST(ConnectionBudget, NoLimitDoesNotOverflow) {
  const scheduler::ConnectionBudget budget(
      std::numeric_limits<uint64_t>::max());
  CHECK(budget.GetTargetConnections() > 1'000'000'000);
}

TEST(ConnectionBudget, ShortageIsReportedOnceForEachChange) {
  scheduler::ConnectionBudget budget(1'024);
  const size_t available = budget.GetTargetConnections();
  CHECK_FALSE(budget.UpdateTargets(available));
  CHECK_TRUE(budget.UpdateTargets(available + 1));
  CHECK_TRUE(budget.IsShort());
  CHECK_FALSE(budget.UpdateTargets(available + 2));
  CHECK_TRUE(budget.UpdateTargets(available));
  CHECK_FALSE(budget.IsShort());
  CHECK_FALSE(budget.UpdateTargets(0));
}

TEST(ConnectionBudget, OpenFilesOfThisProcessAreCounted) {
  const size_t before = scheduler::ConnectionBudget::CountOpenFiles();
  const std::ifstream file("/proc/self/status");
  LONGS_EQUAL(before + 1, scheduler::ConnectionBudget::CountOpenFiles());
  CHECK(scheduler::ConnectionBudget::ReadMaxOpenFiles() > before);
}
