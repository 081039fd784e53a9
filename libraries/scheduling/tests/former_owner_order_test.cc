// Orders for hosts that a former owner may have left behind.
#include <CppUTest/TestHarness.h>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;

namespace {

scheduling::PoolSchedulerOptions MakeOptions() {
  scheduling::PoolSchedulerOptions options;
  options.first_fence = 1'000;
  options.last_fence = 1'999;
  return options;
}

}  // namespace

TEST_GROUP(FormerOwnerOrder) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};

  // Returns the number of tasks that a pass starts.
  size_t Pass() {
    m_now += std::chrono::milliseconds(60);
    for (const auto& order : m_pool.CreateReportOrders(m_now)) {
      scheduling::TargetReport report;
      report.clock_ms = 5'000;
      m_pool.OnReport(order, m_now, m_now, report);
    }
    m_pool.ConfirmRoster(m_pool.GetRoster());
    return m_pool.Decide(m_now, 60'000).starts.size();
  }
};

// AVAIL: a long-running step was started on a host that an order of the former
// owner then took away.
TEST(FormerOwnerOrder, TaskWaitsUntilNoOrderCanTakeItsHostAway) {
  bool may_be_leaving = true;
  m_pool.m_may_host_be_leaving = [&may_be_leaving](const std::string& host) {
    return may_be_leaving && host == "m-1";
  };
  scheduling::TargetEntry entry;
  entry.id = "i-1";
  entry.host = "m-1";
  entry.address = "10.0.0.1:1";
  entry.capacity = {32'000, 65'536, 0};
  m_pool.UpdateTarget(entry, m_now);
  scheduling::JobSpec job;
  job.id = "job";
  job.steps.resize(1);
  job.steps[0].demand = {1'000, 100, 0};
  job.steps[0].long_running = true;
  m_pool.AddJob(job, MakeInitialProgress(job), false);
  for (int i = 0; i < 10; ++i) {
    LONGS_EQUAL(0, Pass());
  }
  may_be_leaving = false;
  LONGS_EQUAL(1, Pass());
}
