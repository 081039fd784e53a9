#include "scheduling/tests/incarnations/target_end_pool.h"

#include <CppUTest/TestHarness.h>

namespace shallotwick::scheduling::testing {
namespace {

constexpr auto kResponseTime = std::chrono::milliseconds(2);

PoolSchedulerOptions MakeOptions() {
  PoolSchedulerOptions options;
  options.first_fence = 1'000;
  options.last_fence = 1'999;
  return options;
}

TargetEntry MakeTarget(const std::string& id) {
  TargetEntry entry;
  entry.id = id;
  entry.address = kFirstAddress;
  entry.capacity = {32'000, 65'536, 0};
  entry.incarnation_started_ms = kFirstBornMs;
  return entry;
}

}  // namespace

TargetEndPool::TargetEndPool() : m_pool(MakeOptions()) {
  m_pool.m_on_wrong_target_end = [this](const WrongTargetEnd& wrong) {
    m_wrong_ends.push_back(wrong);
  };
  for (const char* id : {"t0", "t1"}) {
    m_pool.UpdateTarget(MakeTarget(id), m_now);
  }
  JobSpec job;
  job.id = "job";
  job.steps.resize(1);
  job.steps[0].demand = {1'000, 1'000, 0};
  job.steps[0].estimate_ms = 100'000;
  m_pool.AddJob(job, MakeInitialProgress(job), false);
  AnswerReports(kFirstBornMs, {});
  m_pool.ConfirmRoster(m_pool.GetRoster());
  const auto starts = Decide().starts;
  LONGS_EQUAL(1, starts.size());
  m_start = starts[0];
  m_pool.OnStartResult(m_start, {OrderOutcome::kAccepted, {}}, m_now);
  m_now += kResponseTime;
  AnswerReports(kFirstBornMs, {GetRun()});
  LONGS_EQUAL(1, CountRuns());
}

TargetEntry TargetEndPool::MakeEntry(const std::string& address,
                                     int64_t born_ms) const {
  TargetEntry entry = MakeTarget(m_start.target);
  entry.address = address;
  entry.incarnation_started_ms = born_ms;
  return entry;
}

PoolOrders TargetEndPool::Decide(base::Duration passed) {
  m_now += passed;
  return m_pool.Decide(m_now, kFirstBornMs + 60'000);
}

TargetReport TargetEndPool::MakeReport() const {
  TargetReport report;
  report.clock_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        m_now.time_since_epoch())
                        .count();
  report.incarnation_started_ms = kFirstBornMs;
  return report;
}

void TargetEndPool::AnswerReports(int64_t born_ms,
                                  const std::vector<ReportedRun>& running) {
  const auto sent = m_now;
  m_now += kResponseTime;
  for (const ReportOrder& order : m_pool.CreateReportOrders(sent)) {
    TargetReport report = MakeReport();
    if (order.target == m_start.target) {
      report.incarnation_started_ms = born_ms;
      report.running = running;
    }
    m_pool.OnReport(order, sent, m_now, report);
  }
}

void TargetEndPool::FailReports(OrderOutcome outcome) {
  const auto sent = m_now;
  m_now += kResponseTime;
  for (const ReportOrder& order : m_pool.CreateReportOrders(sent)) {
    if (order.target == m_start.target) {
      m_pool.OnReportFailed(order, outcome, m_now);
    } else {
      m_pool.OnReport(order, sent, m_now, MakeReport());
    }
  }
}

}  // namespace shallotwick::scheduling::testing
