// Jobs that fit on no target, now or ever, ahead of others in the queue.
#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kBornMs = 1'000'000;

scheduling::JobSpec MakeJob(const std::string& id, int64_t cpu_milli) {
  scheduling::JobSpec job;
  job.id = id;
  job.route = "quote";
  job.steps.resize(1);
  job.steps[0].demand = {cpu_milli, 100, 0};
  job.steps[0].estimate_ms = 640;
  return job;
}

}  // namespace

TEST_GROUP(HopelessNeeds) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};
  std::set<std::string> m_started;
  std::map<std::string, std::vector<scheduling::StartOrder>> m_running;
  std::vector<scheduling::SchedulingDecision> m_waits;

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1'000;
    options.last_fence = 1'999;
    return options;
  }

  void setup() override {
    m_pool.SetRoutes(
        {{"quote", {1, 4, 1.6, 600}}, {"first", {0, 4, 1.6, 600}}});
    m_pool.m_on_decision = [this](const scheduling::SchedulingDecision& note) {
      if (note.what == "task-waits") {
        m_waits.push_back(note);
      }
    };
  }

  void AddTarget(const std::string& id, int64_t cpu_milli = 32'000) {
    scheduling::TargetEntry entry;
    entry.id = id;
    entry.address = "10.0.0.1:1";
    entry.capacity = {cpu_milli, 65'536, 0};
    entry.labels = {"kind", "r1"};
    entry.incarnation_started_ms = kBornMs;
    m_pool.UpdateTarget(entry, m_now);
  }

  // Jobs are long past their objective, the first one most.
  void AddJob(const scheduling::JobSpec& spec) {
    scheduling::JobSpec job = spec;
    job.accepted_ms = m_added++;
    m_pool.AddJob(job, MakeInitialProgress(job), false);
  }

  void Pass(int count) {
    for (int i = 0; i < count; ++i) {
      m_now += milliseconds(60);
      for (const auto& order : m_pool.CreateReportOrders(m_now)) {
        scheduling::TargetReport report;
        report.clock_ms = 5'000 + m_now.time_since_epoch() / milliseconds(1);
        report.incarnation_started_ms = kBornMs;
        for (const auto& start : m_running[order.target]) {
          report.running.push_back({start.task, start.run, "", 10, 0});
        }
        m_pool.OnReport(order, m_now, m_now, report);
      }
      m_pool.ConfirmRoster(m_pool.GetRoster());
      for (const auto& start : m_pool.Decide(m_now, kBornMs).starts) {
        m_started.insert(start.task.job);
        m_running[start.target].push_back(start);
        m_pool.OnStartResult(start, {scheduling::OrderOutcome::kAccepted, {}},
                             m_now);
      }
    }
  }

  int m_added = 0;
};

// LOST: 46 jobs larger than any target kept late jobs from starting for good.
TEST(HopelessNeeds, JobsLargerThanAnyTargetHoldUpNoOther) {
  AddTarget("t0");
  for (int i = 0; i < 100; ++i) {
    AddJob(MakeJob("large" + std::to_string(i), 32'100 + 10 * i));
  }
  AddJob(MakeJob("sound", 1'000));
  Pass(3);
  LONGS_EQUAL(1, m_started.count("sound"));
}

// The same with distinct labels that no target has.
TEST(HopelessNeeds, JobsWithUnknownLabelsHoldUpNoOther) {
  AddTarget("t0");
  for (int i = 0; i < 600; ++i) {
    auto job = MakeJob("label" + std::to_string(i), 1'000 + i);
    job.steps[0].required_label = "label" + std::to_string(i);
    AddJob(job);
  }
  AddJob(MakeJob("sound", 1'000));
  Pass(3);
  LONGS_EQUAL(1, m_started.count("sound"));
}

TEST(HopelessNeeds, GangsLargerThanThePoolHoldUpNoOther) {
  AddTarget("t0");
  for (int i = 0; i < 600; ++i) {
    auto job = MakeJob("gang" + std::to_string(i), 1'000 + i);
    job.steps[0].gang = true;
    job.steps[0].count = 40;
    AddJob(job);
  }
  AddJob(MakeJob("sound", 1'000));
  Pass(3);
  LONGS_EQUAL(1, m_started.count("sound"));
}

TEST(HopelessNeeds, QueueOfBetterPriorityHoldsUpNoOther) {
  AddTarget("t0");
  for (int i = 0; i < 60; ++i) {
    auto job = MakeJob("large" + std::to_string(i), 33'000 + i);
    job.route = "first";
    job.accepted_ms = kBornMs;
    m_pool.AddJob(job, MakeInitialProgress(job), false);
  }
  auto punctual = MakeJob("punctual", 1'000);
  punctual.accepted_ms = kBornMs;
  m_pool.AddJob(punctual, MakeInitialProgress(punctual), false);
  Pass(3);
  LONGS_EQUAL(1, m_started.count("punctual"));
}

// They fit on a target that is busy for long.
TEST(HopelessNeeds, JobsThatWaitForOneBusyTargetHoldUpNoOther) {
  AddTarget("large", 64'000);
  AddTarget("t0", 8'000);
  AddJob(MakeJob("long", 60'000));
  Pass(3);
  for (int i = 0; i < 500; ++i) {
    AddJob(MakeJob("waiting" + std::to_string(i), 20'000 - 10 * i));
  }
  AddJob(MakeJob("sound", 6'000));
  Pass(3);
  LONGS_EQUAL(1, m_started.count("sound"));
}

// Each gang fails for a reason of its own, and costs a search for each member.
TEST(HopelessNeeds, JobBehindManyCostlyFailuresStartsInItsTurn) {
  for (int i = 0; i < 40; ++i) {
    AddTarget("t" + std::to_string(i));
  }
  for (int i = 0; i < 1'200; ++i) {
    auto gang = MakeJob("gang" + std::to_string(i), 16'000 + i % 7);
    gang.steps[0].gang = true;
    gang.steps[0].count = 79;
    AddJob(gang);
    if (i == 0) {
      AddJob(MakeJob("long", 30'000));
      Pass(3);
      CHECK_TRUE(m_started.size() == 1);
    }
  }
  AddJob(MakeJob("sound", 1'000));
  Pass(40);
  LONGS_EQUAL(1, m_started.count("sound"));
}

TEST(HopelessNeeds, LargeJobStartsOnceATargetForItJoins) {
  AddTarget("t0");
  AddJob(MakeJob("large", 40'000));
  Pass(3);
  CHECK_TRUE(m_started.empty());
  AddTarget("t1", 48'000);
  Pass(3);
  LONGS_EQUAL(1, m_started.count("large"));
}

TEST(HopelessNeeds, EachJobIsLoggedOnce) {
  AddTarget("t0");
  for (int i = 0; i < 60; ++i) {
    AddJob(MakeJob("large" + std::to_string(i), 33'000));
  }
  Pass(100);
  LONGS_EQUAL(60, m_waits.size());
}

// Hosts would be moved to the pool for nothing.
TEST(HopelessNeeds, NeedThatNoHostCanMeetIsNoLoad) {
  AddTarget("t0");
  AddJob(MakeJob("large", 40'000));
  Pass(1);
  m_pool.SetFleet({{{{32'000, 65'536, 0}, {"kind", "r1"}}, 20}});
  DOUBLES_EQUAL(0, m_pool.EstimateLoad(m_now, kBornMs).waiting_cores, 0.01);
  DOUBLES_EQUAL(0, m_pool.PredictCoreSeconds(MakeJob("next", 40'000)), 0.01);
  m_pool.SetFleet({{{{48'000, 65'536, 0}, {"kind", "r2"}}, 1}});
  DOUBLES_EQUAL(40, m_pool.EstimateLoad(m_now, kBornMs).waiting_cores, 0.01);
}

// A pool without targets knows nothing of its own.
TEST(HopelessNeeds, EmptyPoolAsksForHostsThatCanHelp) {
  AddJob(MakeJob("large", 40'000));
  AddJob(MakeJob("sound", 2'000));
  m_pool.SetFleet({{{{32'000, 65'536, 0}, {"kind", "r1"}}, 20}});
  DOUBLES_EQUAL(2, m_pool.EstimateLoad(m_now, kBornMs).waiting_cores, 0.01);
}
