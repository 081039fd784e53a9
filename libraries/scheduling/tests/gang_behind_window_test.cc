// Gangs in the queue of an owner that limits its starts.
#include <CppUTest/TestHarness.h>

#include <map>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kBornMs = 1'000'000;
constexpr int kTargets = 40;
constexpr int kMembers = 40;

scheduling::JobSpec MakeJob(const std::string& id, int count, bool gang) {
  scheduling::JobSpec job;
  job.id = id;
  job.route = "quote";
  job.steps.resize(1);
  job.steps[0].count = count;
  job.steps[0].demand = {10, 10, 0};
  job.steps[0].estimate_ms = 60'000;
  job.steps[0].gang = gang;
  return job;
}

}  // namespace

TEST_GROUP(GangBehindWindow) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};
  std::map<std::string, std::vector<scheduling::StartOrder>> m_running;
  std::multimap<base::TimePoint, scheduling::StartOrder> m_sent;
  int m_gang_starts = 0;
  int m_other_starts = 0;

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1'000;
    options.last_fence = 1'999;
    return options;
  }

  void AnswerReports() {
    for (const auto& order : m_pool.CreateReportOrders(m_now)) {
      scheduling::TargetReport report;
      report.clock_ms = 5'000 + m_now.time_since_epoch() / milliseconds(1);
      report.incarnation_started_ms = kBornMs;
      report.lists_all_completions = true;
      for (const auto& start : m_running[order.target]) {
        report.running.push_back({start.task, start.run, "", 10, 0});
      }
      m_pool.OnReport(order, m_now, m_now, report);
    }
  }

  // Starts are answered 70 to 130 ms later, as on a link that is well used.
  void Advance(base::Duration time) {
    for (const auto end = m_now + time; m_now < end;) {
      m_now += milliseconds(10);
      while (!m_sent.empty() && m_sent.begin()->first <= m_now) {
        const auto start = m_sent.extract(m_sent.begin()).mapped();
        m_running[start.target].push_back(start);
        m_pool.OnStartResult(start, {scheduling::OrderOutcome::kAccepted, {}},
                             m_now);
      }
      AnswerReports();
      for (const auto& start : m_pool.Decide(m_now, kBornMs + 60'000).starts) {
        ++(start.task.job == "gang" ? m_gang_starts : m_other_starts);
        const int number = m_gang_starts + m_other_starts;
        m_sent.emplace(m_now + milliseconds(70 + number * 37 % 60), start);
      }
    }
  }
};

TEST(GangBehindWindow, GangIsNotOvertakenForGoodByJobsBehindIt) {
  for (int i = 0; i < kTargets; ++i) {
    scheduling::TargetEntry entry;
    entry.id = "t" + std::to_string(i);
    entry.address = "10.0.0.1:1";
    entry.capacity = {64'000, 65'536, 0};
    entry.incarnation_started_ms = kBornMs;
    m_pool.UpdateTarget(entry, m_now);
  }
  for (int i = 0; i < 1'200; ++i) {
    const auto job = MakeJob("job" + std::to_string(i), 8, false);
    m_pool.AddJob(job, MakeInitialProgress(job), false);
  }
  AnswerReports();
  m_pool.ConfirmRoster(m_pool.GetRoster());
  Advance(milliseconds(500));
  CHECK_TRUE(m_other_starts > 0);
  // Ranks first: the shortest chain.
  auto gang = MakeJob("gang", kMembers, true);
  gang.steps[0].estimate_ms = 10;
  m_pool.AddJob(gang, MakeInitialProgress(gang), false);
  Advance(std::chrono::seconds(3));
  CHECK_TRUE(m_other_starts > 1'000);
  LONGS_EQUAL(kMembers, m_gang_starts);
}
