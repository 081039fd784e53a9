#include <CppUTest/TestHarness.h>

#include "scheduling/tests/incarnations/target_end_pool.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::testing::kFirstBornMs;
using std::chrono::milliseconds;

// A target answers a report order and restarts while its answer waits.
TEST_GROUP(LateAnswer) {
  scheduling::testing::TargetEndPool m_pool;

  std::vector<scheduling::ReportOrder> CreateReportOrders() {
    const auto orders = m_pool.m_pool.CreateReportOrders(m_pool.m_now);
    LONGS_EQUAL(1, orders.size());
    return orders;
  }

  // Returns the next report order after a report with a completion, which
  // is handled `delay` after its order was sent and then stored.
  scheduling::ReportOrder StoreCompletion(base::Duration delay) {
    const auto orders = CreateReportOrders();
    const auto sent = m_pool.m_now;
    scheduling::TargetReport report;
    report.clock_ms = 5'000;
    report.incarnation_started_ms = kFirstBornMs;
    report.ended.push_back({1, m_pool.m_start.task, m_pool.m_start.run,
                            scheduling::RunOutcome::kDone, ""});
    m_pool.m_now += delay;
    m_pool.m_pool.OnReport(orders[0], sent, m_pool.m_now, report);
    m_pool.m_pool.OnCommitted(m_pool.m_pool.DequeueChanges(10));
    return CreateReportOrders()[0];
  }
};

TEST(LateAnswer, PromptReportIsAcknowledged) {
  LONGS_EQUAL(1,
              StoreCompletion(milliseconds(20)).last_acknowledged_completion);
}

TEST(LateAnswer, ReportThatWaitedIsNotAcknowledgedToNextIncarnation) {
  const auto order = StoreCompletion(milliseconds(3'000));
  LONGS_EQUAL(0, order.last_acknowledged_completion);
  LONGS_EQUAL(0, order.wait_ms);
  // A prompt report shows that the incarnation is the same.
  scheduling::TargetReport report;
  report.clock_ms = 8'000;
  report.incarnation_started_ms = kFirstBornMs;
  const auto sent = m_pool.m_now;
  m_pool.m_now += milliseconds(2);
  m_pool.m_pool.OnReport(order, sent, m_pool.m_now, report);
  LONGS_EQUAL(1, CreateReportOrders()[0].last_acknowledged_completion);
}

TEST(LateAnswer, LapsedOwnerStartsNothingAfterReportThatWaited) {
  m_pool.m_pool.SetCordoned(m_pool.m_start.target == "t0" ? "t1" : "t0", true);
  m_pool.m_pool.SetOwnershipConfirmed(false);
  scheduling::JobSpec job;
  job.id = "job2";
  job.steps.resize(1);
  job.steps[0].demand = {1'000, 1'000, 0};
  m_pool.m_pool.AddJob(job, MakeInitialProgress(job), false);
  const auto orders = CreateReportOrders();
  const auto sent = m_pool.m_now;
  scheduling::TargetReport report;
  report.clock_ms = 5'000;
  report.incarnation_started_ms = kFirstBornMs;
  report.running = {m_pool.GetRun()};
  m_pool.m_now += milliseconds(3'000);
  m_pool.m_pool.OnReport(orders[0], sent, m_pool.m_now, report);
  LONGS_EQUAL(0, m_pool.Decide().starts.size());
}

TEST(LateAnswer, TargetThatLeftAndReturnedIsNotKnownByEarlierAnswer) {
  const std::string idle = m_pool.m_start.target == "t0" ? "t1" : "t0";
  scheduling::TargetEntry entry =
      m_pool.m_pool.GetTargets().at(idle).GetEntry();
  // The clock of an idle target is read again after this time.
  m_pool.m_now += std::chrono::seconds(31);
  const auto sent = m_pool.m_now;
  scheduling::ReportOrder order;
  for (const auto& created : m_pool.m_pool.CreateReportOrders(sent)) {
    order = created.target == idle ? created : order;
  }
  STRCMP_EQUAL(idle.c_str(), order.target.c_str());
  m_pool.m_pool.RemoveTarget(idle, m_pool.m_now);
  entry.incarnation_started_ms = scheduling::testing::kSecondBornMs;
  m_pool.m_pool.UpdateTarget(entry, m_pool.m_now);
  scheduling::TargetReport report;
  report.clock_ms = 40'000;
  report.incarnation_started_ms = kFirstBornMs;
  m_pool.m_now += milliseconds(500);
  m_pool.m_pool.OnReport(order, sent, m_pool.m_now, report);
  CHECK_FALSE(m_pool.m_pool.AreRunsKnown(idle));
}
