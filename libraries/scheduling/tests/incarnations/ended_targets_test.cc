#include "scheduling/ended_targets.h"

#include <CppUTest/TestHarness.h>

#include "scheduling/tests/incarnations/target_end_pool.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::OrderOutcome;
using scheduling::testing::kFirstAddress;
using scheduling::testing::kFirstBornMs;
using scheduling::testing::kSecondBornMs;
using std::chrono::milliseconds;

TEST_GROUP(EndedTargets) {
  scheduling::testing::TargetEndPool m_pool;

  void EndTarget() {
    m_pool.m_pool.OnTargetEnded(m_pool.m_start.target, "its host is moved");
    LONGS_EQUAL(0, m_pool.CountRuns());
  }
};

TEST(EndedTargets, ReportOfIncarnationThatCountedAsEndedNamesWrongReason) {
  EndTarget();
  m_pool.AnswerReports(kFirstBornMs, {m_pool.GetRun()});
  LONGS_EQUAL(1, m_pool.m_wrong_ends.size());
  const scheduling::WrongTargetEnd& wrong = m_pool.m_wrong_ends[0];
  STRCMP_EQUAL("its host is moved", wrong.end.reason.c_str());
  STRCMP_EQUAL(m_pool.m_start.target.c_str(), wrong.end.target.c_str());
  LONGS_EQUAL(kFirstBornMs, wrong.end.incarnation_started_ms);
  LONGS_EQUAL(kFirstBornMs, wrong.incarnation_started_ms);
  LONGS_EQUAL(1, wrong.end.lost_runs.size());
  LONGS_EQUAL(1, wrong.present_runs);
  m_pool.AnswerReports(kFirstBornMs, {m_pool.GetRun()});
  LONGS_EQUAL(1, m_pool.m_wrong_ends.size());
}

TEST(EndedTargets, ReportOfErasedTargetThatReturnsNamesWrongReason) {
  m_pool.m_pool.RemoveTarget(m_pool.m_start.target, m_pool.m_now);
  EndTarget();
  CHECK_TRUE(m_pool.m_pool.GetTargets().count(m_pool.m_start.target) == 0);
  m_pool.m_pool.UpdateTarget(m_pool.MakeEntry(kFirstAddress, kFirstBornMs),
                             m_pool.m_now);
  m_pool.AnswerReports(kFirstBornMs, {});
  LONGS_EQUAL(1, m_pool.m_wrong_ends.size());
}

TEST(EndedTargets, ReportOfLaterIncarnationContradictsNothing) {
  EndTarget();
  m_pool.AnswerReports(kSecondBornMs, {});
  LONGS_EQUAL(0, m_pool.m_wrong_ends.size());
}

TEST(EndedTargets, ReportOrderedBeforeConclusionContradictsNothing) {
  const auto sent = m_pool.m_now;
  const auto orders = m_pool.m_pool.CreateReportOrders(sent);
  LONGS_EQUAL(1, orders.size());
  EndTarget();
  scheduling::TargetReport report;
  report.incarnation_started_ms = kFirstBornMs;
  report.running = {m_pool.GetRun()};
  m_pool.m_pool.OnReport(orders[0], sent, m_pool.m_now, report);
  LONGS_EQUAL(0, m_pool.m_wrong_ends.size());
}

TEST(EndedTargets, ReportOfIncarnationBeforeRestartNamesWrongReason) {
  m_pool.AnswerReports(kSecondBornMs, {});
  m_pool.AnswerReports(kFirstBornMs, {m_pool.GetRun()});
  LONGS_EQUAL(1, m_pool.m_wrong_ends.size());
  STRCMP_EQUAL("a report is from a new incarnation",
               m_pool.m_wrong_ends[0].end.reason.c_str());
}

// The lease ends the runs of a target but not the target.
TEST(EndedTargets, OnlyRunThatOutlivesItsLeaseContradictsExpiry) {
  for (int i = 0; i < 3; ++i) {
    m_pool.FailReports(OrderOutcome::kUnknown);
  }
  m_pool.Decide(std::chrono::seconds(20));
  LONGS_EQUAL(0, m_pool.CountRuns());
  m_pool.AnswerReports(kFirstBornMs, {});
  LONGS_EQUAL(0, m_pool.m_wrong_ends.size());
  // An idle target is asked again after some time.
  m_pool.m_now += std::chrono::seconds(31);
  m_pool.AnswerReports(kFirstBornMs, {m_pool.GetRun()});
  LONGS_EQUAL(1, m_pool.m_wrong_ends.size());
  STRCMP_EQUAL("the lease has expired",
               m_pool.m_wrong_ends[0].end.reason.c_str());
}

TEST(EndedTargets, NumberOfRememberedEndsIsBounded) {
  scheduling::EndedTargets ends;
  for (int i = 0; i < 5'000; ++i) {
    scheduling::TargetEnd end;
    end.target = "t" + std::to_string(i);
    ends.Add(end);
  }
  LONGS_EQUAL(1'024, ends.GetSize());
  scheduling::ReportOrder order;
  order.target = "t4999";
  CHECK_TRUE(ends.TakeContradicted(order, base::TimePoint(), {}).has_value());
  order.target = "t0";
  CHECK_FALSE(ends.TakeContradicted(order, base::TimePoint(), {}).has_value());
}
