#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "scheduling/pool_scheduler.h"
#include "scheduling/wait_log.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::OrderOutcome;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kWallMs = 1'000'000;

scheduling::PoolSchedulerOptions MakeOptions() {
  scheduling::PoolSchedulerOptions options;
  options.first_fence = 1'000;
  options.last_fence = 1'999;
  return options;
}

scheduling::TargetEntry MakeTarget(const std::string& id) {
  scheduling::TargetEntry entry;
  entry.id = id;
  entry.address = "10.0.0.1:1";
  entry.capacity = {4'000, 65'536, 0};
  return entry;
}

scheduling::JobSpec MakeLongRunningJob(const std::string& id, int count) {
  scheduling::JobSpec job;
  job.id = id;
  job.steps.resize(1);
  job.steps[0].count = count;
  job.steps[0].demand = {1'000, 1'000, 0};
  job.steps[0].long_running = true;
  return job;
}

}  // namespace

TEST_GROUP(LongRunning) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};
  std::vector<std::string> m_waits;
  // What the targets report.
  std::map<std::string, std::vector<scheduling::ReportedRun>> m_running;

  void setup() override {
    m_pool.m_on_decision = [this](const scheduling::SchedulingDecision& note) {
      if (note.what == "task-waits") {
        m_waits.push_back(note.target.empty()
                              ? note.reason
                              : note.target + " " + note.reason);
      }
    };
  }

  void Register(const std::string& id) {
    m_pool.UpdateTarget(MakeTarget(id), m_now);
  }

  void AddJob(const scheduling::JobSpec& job, bool predates_ownership = false) {
    m_pool.AddJob(job, MakeInitialProgress(job), predates_ownership);
  }

  // Answers all reports but those of the target `silent`.
  void AnswerReports(const std::string& silent = "") {
    const auto sent = m_now;
    m_now += milliseconds(2);
    for (const auto& order : m_pool.CreateReportOrders(sent)) {
      if (order.target == silent) {
        m_pool.OnReportFailed(order, OrderOutcome::kUnknown, m_now);
        continue;
      }
      scheduling::TargetReport report;
      report.clock_ms = 5'000;
      report.running = m_running[order.target];
      m_pool.OnReport(order, sent, m_now, report);
    }
    m_pool.ConfirmRoster(m_pool.GetRoster());
  }

  // Starts what fits; the targets report that it works.
  void StartAll() {
    for (const auto& start : DecideAfter(milliseconds(60)).starts) {
      m_pool.OnStartResult(start, {OrderOutcome::kAccepted, 5'000}, m_now);
      m_running[start.target].push_back({start.task, start.run, "", 100, 0});
    }
    AnswerReports();
  }

  scheduling::PoolOrders DecideAfter(base::Duration duration) {
    m_now += duration;
    return m_pool.Decide(m_now, kWallMs);
  }
};

TEST(LongRunning, ReasonOfWaitIsLoggedAtEachChange) {
  m_pool.AddRosterTarget(MakeTarget("t0"), m_now);
  Register("t1");
  AnswerReports("t0");
  AddJob(MakeLongRunningJob("job", 5), true);
  for (int i = 0; i < 10; ++i) {
    DecideAfter(milliseconds(250));
  }
  LONGS_EQUAL(1, m_waits.size());
  STRCMP_EQUAL("t0 runs of a former owner are not known there",
               m_waits[0].c_str());
  // The bound of the former owner's leases has passed; four tasks fit on t1.
  LONGS_EQUAL(4, DecideAfter(milliseconds(5'000)).starts.size());
  LONGS_EQUAL(2, m_waits.size());
  STRCMP_EQUAL("no room on the targets that can be used", m_waits[1].c_str());
  m_pool.CancelJob("job");
  DecideAfter(milliseconds(1'100));
  LONGS_EQUAL(3, m_waits.size());
  STRCMP_EQUAL("waits no more", m_waits[2].c_str());
}

TEST(LongRunning, WaitsWithoutTargetSessionOrBackOffNameTheirReason) {
  AddJob(MakeLongRunningJob("job", 1));
  DecideAfter(milliseconds(250));
  STRCMP_EQUAL("no target can be used", m_waits.back().c_str());
  m_pool.SetLeaseLimit(m_now + milliseconds(3'000));
  Register("t0");
  AnswerReports();
  DecideAfter(milliseconds(1'000));
  STRCMP_EQUAL("session too short for a lease", m_waits.back().c_str());
  m_pool.SetLeaseLimit(base::TimePoint::max());
  const auto starts = DecideAfter(milliseconds(60)).starts;
  LONGS_EQUAL(1, starts.size());
  m_pool.OnStartResult(starts[0], {OrderOutcome::kInvalid, std::nullopt},
                       m_now);
  DecideAfter(milliseconds(1'000));
  STRCMP_EQUAL("back-off after a refused start", m_waits.back().c_str());
}

TEST(LongRunning, WaitBesideTargetThatHasRoomAndTakesNoTasksNamesIt) {
  Register("t0");
  Register("t1");
  AnswerReports();
  m_pool.SetCordoned("t1", true);
  m_pool.SetLeaving("t1", true);
  AddJob(MakeLongRunningJob("job", 5));
  LONGS_EQUAL(4, DecideAfter(milliseconds(250)).starts.size());
  DecideAfter(milliseconds(1'100));
  STRCMP_EQUAL("t1 room only on a cordoned target", m_waits.back().c_str());
  m_pool.SetCordoned("t1", false);
  LONGS_EQUAL(1, DecideAfter(milliseconds(60)).starts.size());
}

TEST(LongRunning, WaitLogIsBounded) {
  scheduling::WaitLog log;
  std::map<scheduling::TaskName, scheduling::TaskWait> waits;
  for (int i = 0; i < 1'000; ++i) {
    const scheduling::TaskName step{"job" + std::to_string(i), 0, 0, 0};
    waits[step] = {step, "", "a"};
  }
  LONGS_EQUAL(20, log.Update(waits, m_now).size());
  // A reason that keeps changing is logged once a second.
  std::map<scheduling::TaskName, scheduling::TaskWait> changing;
  const scheduling::TaskName step{"changing", 0, 0, 0};
  scheduling::WaitLog fresh;
  size_t lines = 0;
  for (int i = 0; i < 101; ++i) {
    changing[step] = {step, "", i % 2 == 0 ? "a" : "b"};
    lines += fresh.Update(changing, m_now).size();
    m_now += milliseconds(50);
  }
  CHECK_TRUE(lines >= 3 && lines <= 6);
}

TEST(LongRunning, EvacuationStopsNoTaskThatHasNoPlaceElsewhere) {
  Register("t0");
  Register("t1");
  AnswerReports();
  AddJob(MakeLongRunningJob("job", 8));
  StartAll();
  m_pool.SetCordoned("t0", true);
  m_pool.Evacuate("t0", m_now);
  LONGS_EQUAL(0, DecideAfter(milliseconds(60)).stops.size());
  Register("t2");
  AnswerReports();
  m_pool.Evacuate("t0", m_now);
  LONGS_EQUAL(1, DecideAfter(milliseconds(60)).stops.size());
}

TEST(LongRunning, EvacuationStopsNoMoreTasksThanHavePlacesElsewhere) {
  Register("t0");
  Register("t1");
  AnswerReports();
  scheduling::JobSpec job = MakeLongRunningJob("job", 7);
  job.steps[0].disruption_budget = 7;
  AddJob(job);
  StartAll();
  m_pool.SetCordoned("t0", true);
  m_pool.Evacuate("t0", m_now);
  const auto stops = DecideAfter(milliseconds(60)).stops;
  LONGS_EQUAL(4 - static_cast<long>(m_pool.CountRuns("t1")), stops.size());
  CHECK_TRUE(stops.size() <= 1);
}

TEST(LongRunning, TaskWithoutOtherPlaceStartsOnCordonedTarget) {
  Register("t0");
  Register("t1");
  AnswerReports();
  AddJob(MakeLongRunningJob("job", 4));
  StartAll();
  LONGS_EQUAL(2, m_pool.CountRuns("t0"));
  m_pool.SetCordoned("t0", true);
  m_pool.OnTargetEnded("t1", "test");
  m_pool.SetLeaving("t0", true);
  LONGS_EQUAL(0, DecideAfter(milliseconds(60)).starts.size());
  m_pool.SetLeaving("t0", false);
  LONGS_EQUAL(2, DecideAfter(milliseconds(60)).starts.size());
}

TEST(LongRunning, TaskPrefersTargetThatIsNotCordoned) {
  Register("t0");
  Register("t1");
  AnswerReports();
  m_pool.SetCordoned("t0", true);
  AddJob(MakeLongRunningJob("job", 2));
  const auto starts = DecideAfter(milliseconds(60)).starts;
  LONGS_EQUAL(2, starts.size());
  STRCMP_EQUAL("t1", starts[0].target.c_str());
  STRCMP_EQUAL("t1", starts[1].target.c_str());
}

TEST(LongRunning, ShortTaskStartsOnNoCordonedTarget) {
  Register("t0");
  AnswerReports();
  m_pool.SetCordoned("t0", true);
  scheduling::JobSpec job = MakeLongRunningJob("job", 1);
  job.steps[0].long_running = false;
  AddJob(job);
  LONGS_EQUAL(0, DecideAfter(milliseconds(60)).starts.size());
}

TEST(LongRunning, PoolOfCordonedTargetsStartsShortTasksWithin3Seconds) {
  Register("t0");
  Register("t1");
  AnswerReports();
  m_pool.SetCordoned("t0", true);
  m_pool.SetCordoned("t1", true);
  m_pool.SetLeaving("t1", true);
  scheduling::JobSpec job = MakeLongRunningJob("job", 1);
  job.steps[0].long_running = false;
  AddJob(job);
  std::vector<scheduling::StartOrder> starts;
  for (int i = 0; i < 49 && starts.empty(); ++i) {
    starts = DecideAfter(milliseconds(60)).starts;
  }
  LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("t0", starts[0].target.c_str());
}

TEST(LongRunning, TargetThatRestartsWhileLeavingTakesNoTask) {
  Register("t0");
  AnswerReports();
  m_pool.SetCordoned("t0", true);
  m_pool.SetLeaving("t0", true);
  m_pool.OnTargetEnded("t0", "test");
  AnswerReports();
  AddJob(MakeLongRunningJob("job", 1));
  LONGS_EQUAL(0, DecideAfter(milliseconds(60)).starts.size());
}

TEST(LongRunning, LoadCountsCoresOfLongRunningTasks) {
  Register("t0");
  AnswerReports();
  AddJob(MakeLongRunningJob("running", 3));
  StartAll();
  AddJob(MakeLongRunningJob("waiting", 2));
  scheduling::JobSpec short_job = MakeLongRunningJob("short", 5);
  short_job.steps[0].long_running = false;
  AddJob(short_job);
  scheduling::JobSpec filling = MakeLongRunningJob("filling", 5);
  filling.steps[0].best_effort = true;
  AddJob(filling);
  DOUBLES_EQUAL(5.0, m_pool.EstimateLoad(m_now, kWallMs).long_running_cores,
                0.001);
}

TEST(LongRunning, EntryThatNeverAnsweredIsNotInRoster) {
  Register("odd");
  Register("t0");
  AnswerReports("odd");
  const auto roster = m_pool.GetRoster();
  LONGS_EQUAL(1, roster.size());
  CHECK_TRUE(roster.count("t0") > 0);
}

TEST(LongRunning, RosterTargetThatNeverAnsweredIsKeptUntilItsLeasesEnd) {
  m_pool.AddRosterTarget(MakeTarget("odd"), m_now);
  Register("odd");
  DecideAfter(milliseconds(5'500));
  LONGS_EQUAL(1, m_pool.GetRoster().size());
  DecideAfter(milliseconds(1'000));
  LONGS_EQUAL(0, m_pool.GetRoster().size());
  // A start needs a roster that names the target.
  AddJob(MakeLongRunningJob("job", 1));
  const auto sent = m_now;
  for (const auto& order : m_pool.CreateReportOrders(sent)) {
    scheduling::TargetReport report;
    report.clock_ms = 5'000;
    m_pool.OnReport(order, sent, m_now, report);
  }
  LONGS_EQUAL(0, DecideAfter(milliseconds(60)).starts.size());
  m_pool.ConfirmRoster(m_pool.GetRoster());
  LONGS_EQUAL(1, DecideAfter(milliseconds(60)).starts.size());
}

TEST(LongRunning, TaskWhoseOtherRunIsBeingStoppedHoldsNoOtherTaskOfItsStep) {
  Register("t0");
  AnswerReports();
  AddJob(MakeLongRunningJob("job", 2));
  LONGS_EQUAL(2, DecideAfter(milliseconds(60)).starts.size());
  // t1 has another run of task 0, which is stopped; then t0 ends.
  Register("t1");
  const auto sent = m_now;
  for (const auto& order : m_pool.CreateReportOrders(sent)) {
    if (order.target == "t1") {
      scheduling::TargetReport report;
      report.clock_ms = 5'000;
      report.running = {{{"job", 0, 0, 0}, 7, "", 0, 0}};
      m_pool.OnReport(order, sent, m_now, report);
    }
  }
  m_pool.ConfirmRoster(m_pool.GetRoster());
  m_pool.OnTargetEnded("t0", "test");
  const auto starts = DecideAfter(milliseconds(60)).starts;
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, starts[0].task.index);
}

TEST(LongRunning, TaskStartsBehindManyStepsThatFitOnNoTarget) {
  Register("t0");
  AnswerReports();
  for (int i = 0; i < 50; ++i) {
    scheduling::JobSpec job = MakeLongRunningJob("a" + std::to_string(i), 1);
    job.steps[0].demand.cpu_milli = 100'000;
    AddJob(job);
  }
  AddJob(MakeLongRunningJob("b", 1));
  const auto starts = DecideAfter(milliseconds(60)).starts;
  LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("b", starts[0].task.job.c_str());
}

TEST(LongRunning, TaskPrecedesQueueOfShortJobs) {
  Register("t0");
  AnswerReports();
  for (int i = 0; i < 100; ++i) {
    scheduling::JobSpec job = MakeLongRunningJob("a" + std::to_string(i), 200);
    job.steps[0].long_running = false;
    AddJob(job);
  }
  AddJob(MakeLongRunningJob("b", 1));
  const auto starts = DecideAfter(milliseconds(60)).starts;
  LONGS_EQUAL(4, starts.size());
  STRCMP_EQUAL("b", starts[0].task.job.c_str());
}

// The quarantine of targets on which other jobs fail grows up to 6 s.
TEST(LongRunning, QuarantineOfAllTargetsHoldsTaskForAtMostTwoSeconds) {
  m_pool.SetRoutes({{"", {0, 100, 1.0, 0}}});
  Register("t0");
  AnswerReports();
  scheduling::JobSpec poison = MakeLongRunningJob("poison", 1);
  poison.steps[0].long_running = false;
  AddJob(poison);
  for (int number = 1; number <= 5; ++number) {
    std::vector<scheduling::StartOrder> starts;
    for (int i = 0; i < 200 && starts.empty(); ++i) {
      starts = DecideAfter(milliseconds(60)).starts;
    }
    LONGS_EQUAL(1, starts.size());
    m_pool.OnStartResult(starts[0], {OrderOutcome::kAccepted, 6'000}, m_now);
    const auto sent = m_now;
    for (const auto& order : m_pool.CreateReportOrders(sent)) {
      scheduling::TargetReport report;
      report.clock_ms = 6'000;
      report.ended = {{number, starts[0].task, starts[0].run,
                       scheduling::RunOutcome::kFailed, ""}};
      m_pool.OnReport(order, sent, m_now, report);
    }
    m_pool.OnCommitted(m_pool.DequeueChanges(10));
  }
  AddJob(MakeLongRunningJob("job", 1));
  const auto failed = m_now;
  std::vector<std::string> started;
  while (started.empty() && m_now < failed + std::chrono::seconds(10)) {
    for (const auto& start : DecideAfter(milliseconds(60)).starts) {
      started.push_back(start.task.job);
    }
  }
  const auto waited_ms =
      std::chrono::duration_cast<milliseconds>(m_now - failed).count();
  CHECK_TRUE(std::count(started.begin(), started.end(), "job") == 1);
  if (waited_ms > 2'000) {
    FAIL(("waited " + std::to_string(waited_ms) + " ms").c_str());
  }
}

TEST(LongRunning, TargetWithRunOfUnknownJobTakesTaskOnceThatRunIsStopped) {
  Register("t0");
  const auto sent = m_now;
  for (const auto& order : m_pool.CreateReportOrders(sent)) {
    scheduling::TargetReport report;
    report.clock_ms = 5'000;
    report.running = {{{"unknown", 0, 0, 0}, 7, "", 0, 0}};
    m_pool.OnReport(order, sent, m_now, report);
  }
  m_pool.ConfirmRoster(m_pool.GetRoster());
  AddJob(MakeLongRunningJob("job", 1));
  const auto orders = DecideAfter(milliseconds(60));
  LONGS_EQUAL(0, orders.starts.size());
  LONGS_EQUAL(1, orders.stops.size());
  m_pool.OnStopResult(orders.stops[0], {OrderOutcome::kAccepted, std::nullopt},
                      m_now);
  m_now += milliseconds(10);
  AnswerReports();
  LONGS_EQUAL(1, DecideAfter(milliseconds(60)).starts.size());
}
