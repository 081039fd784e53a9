// Jobs behind others that wait for targets with a label.
#include <CppUTest/TestHarness.h>

#include <string>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kBornMs = 1'000'000;

scheduling::JobSpec MakeJob(const std::string& id, const std::string& label) {
  scheduling::JobSpec job;
  job.id = id;
  job.route = "quote";
  job.steps.resize(1);
  job.steps[0].count = 1;
  job.steps[0].demand = {1'000, 100, 0};
  job.steps[0].estimate_ms = label.empty() ? 500 : 10;
  job.steps[0].required_label = label;
  return job;
}

}  // namespace

TEST_GROUP(RoomBehindFullLabel) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};
  bool m_has_started = false;
  std::vector<scheduling::SchedulingDecision> m_waits;

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1'000;
    options.last_fence = 1'999;
    return options;
  }

  void AddTarget(const std::string& id, int cpu_milli,
                 const std::vector<std::string>& labels) {
    scheduling::TargetEntry entry;
    entry.id = id;
    entry.address = "10.0.0.1:1";
    entry.capacity = {cpu_milli, 65'536, 0};
    entry.labels = labels;
    entry.incarnation_started_ms = kBornMs;
    m_pool.UpdateTarget(entry, m_now);
  }

  void AddJob(const scheduling::JobSpec& job) {
    m_pool.AddJob(job, MakeInitialProgress(job), false);
  }

  void Pass() {
    m_now += milliseconds(60);
    for (const auto& order : m_pool.CreateReportOrders(m_now)) {
      scheduling::TargetReport report;
      report.clock_ms = 5'000 + m_now.time_since_epoch() / milliseconds(1);
      report.incarnation_started_ms = kBornMs;
      report.lists_all_completions = true;
      m_pool.OnReport(order, m_now, m_now, report);
    }
    m_pool.ConfirmRoster(m_pool.GetRoster());
    for (const auto& start : m_pool.Decide(m_now, kBornMs + 60'000).starts) {
      m_has_started = m_has_started || start.task.job == "plain";
      m_pool.OnStartResult(start, {scheduling::OrderOutcome::kAccepted, {}},
                           m_now);
    }
  }
};

TEST(RoomBehindFullLabel, JobWithRoomStartsWithin3Seconds) {
  AddTarget("t0", 100, {"gpu"});
  AddTarget("t1", 16'000, {"plain"});
  for (int i = 0; i < 45; ++i) {
    AddJob(MakeJob("a" + std::to_string(i), "gpu"));
  }
  AddJob(MakeJob("plain", ""));
  for (int i = 0; i < 50; ++i) {
    Pass();
  }
  CHECK_TRUE(m_has_started);
}

TEST(RoomBehindFullLabel, WaitOfJobWithRoomIsLoggedAfter3Seconds) {
  m_pool.m_on_decision = [this](const scheduling::SchedulingDecision& note) {
    if (note.what == "task-waits") {
      m_waits.push_back(note);
    }
  };
  AddTarget("t1", 16'000, {"plain"});
  AddJob(MakeJob("unlabelled", ""));
  AddJob(MakeJob("labelled", "gpu"));
  m_pool.SetCordoned("t1", true);
  m_pool.SetLeaving("t1", true);
  for (int i = 0; i < 45; ++i) {
    Pass();
  }
  LONGS_EQUAL(0, m_waits.size());
  for (int i = 0; i < 10; ++i) {
    Pass();
  }
  LONGS_EQUAL(2, m_waits.size());
  STRCMP_EQUAL("no target can be used", m_waits[0].reason.c_str());
}
