#include <CppUTest/TestHarness.h>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kFirstBornMs = 1'000'000;
constexpr int64_t kSecondBornMs = 1'002'000;

scheduling::TargetEntry MakeTarget(const std::string& id, int64_t born_ms) {
  scheduling::TargetEntry entry;
  entry.id = id;
  entry.address = "10.0.0.1:1";
  entry.capacity = {32'000, 65'536, 0};
  entry.incarnation_started_ms = born_ms;
  return entry;
}

}  // namespace

// A pool of two targets and a job of one task, which starts on the first one.
TEST_GROUP(Restart) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};
  scheduling::PoolOrders m_orders;
  // The token of the last report order to the target of the started task.
  uint64_t m_report_fence = 0;

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1000;
    options.last_fence = 1999;
    return options;
  }

  void setup() override {
    for (const char* id : {"t0", "t1"}) {
      m_pool.UpdateTarget(MakeTarget(id, kFirstBornMs), m_now);
    }
    scheduling::JobSpec job;
    job.id = "job";
    job.steps.resize(1);
    job.steps[0].demand = {1'000, 1'000, 0};
    job.steps[0].estimate_ms = 1'000;
    m_pool.AddJob(job, MakeInitialProgress(job), false);
    AnswerReports(kFirstBornMs, {});
    m_pool.ConfirmRoster(m_pool.GetRoster());
    m_orders = Decide();
    LONGS_EQUAL(1, m_orders.starts.size());
  }

  scheduling::PoolOrders Decide() {
    m_now += milliseconds(60);
    return m_pool.Decide(m_now, kFirstBornMs + 60'000);
  }

  // Answers all report orders; the target of the started task lists `running`.
  void AnswerReports(int64_t born_ms,
                     const std::vector<scheduling::ReportedRun>& running) {
    const auto sent = m_now;
    m_now += milliseconds(2);
    for (const auto& order : m_pool.CreateReportOrders(sent)) {
      scheduling::TargetReport report;
      report.clock_ms = 5'000;
      report.incarnation_started_ms = kFirstBornMs;
      if (IsOfStartedTask(order.target)) {
        report.incarnation_started_ms = born_ms;
        report.running = running;
        m_report_fence = order.fence;
      }
      m_pool.OnReport(order, sent, m_now, report);
    }
  }

  bool IsOfStartedTask(const std::string& target) const {
    return !m_orders.starts.empty() && m_orders.starts[0].target == target;
  }

  scheduling::ReportedRun GetStartedRun() const {
    return {m_orders.starts[0].task, m_orders.starts[0].run, "", 10, 0};
  }

  void AnswerStart(scheduling::OrderOutcome outcome) {
    m_now += milliseconds(2);
    m_pool.OnStartResult(m_orders.starts[0], {outcome, std::nullopt}, m_now);
  }
};

TEST(Restart, RunListedByNewIncarnationIsNotStartedElsewhere) {
  AnswerStart(scheduling::OrderOutcome::kAccepted);
  AnswerReports(kSecondBornMs, {GetStartedRun()});
  LONGS_EQUAL(0, Decide().starts.size());
  LONGS_EQUAL(1, m_pool.CountRuns(m_orders.starts[0].target));
}

TEST(Restart, RestartShownByRegistryDropsNoRunBeforeReport) {
  AnswerStart(scheduling::OrderOutcome::kAccepted);
  m_pool.UpdateTarget(MakeTarget(m_orders.starts[0].target, kSecondBornMs),
                      m_now);
  LONGS_EQUAL(0, Decide().starts.size());
  AnswerReports(kSecondBornMs, {GetStartedRun()});
  LONGS_EQUAL(0, Decide().starts.size());
}

TEST(Restart, UnansweredStartIsRepeatedOnlyAfterReportThatShutsItOut) {
  AnswerStart(scheduling::OrderOutcome::kUnknown);
  m_pool.UpdateTarget(MakeTarget(m_orders.starts[0].target, kSecondBornMs),
                      m_now);
  LONGS_EQUAL(0, Decide().starts.size());
  AnswerReports(kSecondBornMs, {});
  const auto starts = Decide().starts;
  LONGS_EQUAL(1, starts.size());
  CHECK_TRUE(m_report_fence > m_orders.starts[0].fence);
}

TEST(Restart, EarlierRunListedInsteadOfUnlistedOneIsNotStartedBesideIt) {
  const std::vector<scheduling::ReportedRun> earlier{GetStartedRun()};
  AnswerStart(scheduling::OrderOutcome::kUnknown);
  AnswerReports(kFirstBornMs, {});
  m_orders = Decide();
  LONGS_EQUAL(1, m_orders.starts.size());
  AnswerStart(scheduling::OrderOutcome::kAccepted);
  // The next incarnation has executed the first start only.
  for (int i = 0; i < 5; ++i) {
    AnswerReports(kSecondBornMs, earlier);
    m_pool.UpdateTarget(MakeTarget(m_orders.starts[0].target, kSecondBornMs),
                        m_now);
    LONGS_EQUAL(0, Decide().starts.size());
  }
}

TEST(Restart, TaskOfOutdatedStartWaitsForReportOfItsOtherRun) {
  const std::vector<scheduling::ReportedRun> earlier{GetStartedRun()};
  AnswerStart(scheduling::OrderOutcome::kUnknown);
  AnswerReports(kFirstBornMs, {});
  const std::string target = m_orders.starts[0].target;
  m_orders = Decide();
  LONGS_EQUAL(1, m_orders.starts.size());
  CHECK_EQUAL(target, m_orders.starts[0].target);
  // The next incarnation has executed the first start.
  AnswerStart(scheduling::OrderOutcome::kOutdated);
  for (int i = 0; i < 5; ++i) {
    LONGS_EQUAL(0, Decide().starts.size());
    AnswerReports(kSecondBornMs, earlier);
  }
}

TEST(Restart, StopAcceptedByEarlierIncarnationSettlesNothing) {
  AnswerStart(scheduling::OrderOutcome::kUnknown);
  m_pool.CancelJob("job");
  const auto stops = Decide().stops;
  LONGS_EQUAL(1, stops.size());
  m_pool.OnStopResult(stops[0], {scheduling::OrderOutcome::kAccepted, {}},
                      m_now);
  m_now += milliseconds(2);
  AnswerReports(kSecondBornMs, {GetStartedRun()});
  LONGS_EQUAL(1, m_pool.CountRuns(m_orders.starts[0].target));
  const auto again = Decide().stops;
  LONGS_EQUAL(1, again.size());
  m_pool.OnStopResult(again[0], {scheduling::OrderOutcome::kAccepted, {}},
                      m_now);
  m_now += milliseconds(2);
  AnswerReports(kSecondBornMs, {});
  LONGS_EQUAL(0, m_pool.CountRuns(m_orders.starts[0].target));
}

TEST(Restart, FirstReportAfterMissedOneAcknowledgesNothing) {
  AnswerStart(scheduling::OrderOutcome::kAccepted);
  const auto sent = m_now;
  for (const auto& order : m_pool.CreateReportOrders(sent)) {
    scheduling::TargetReport report;
    report.clock_ms = 5'000;
    report.incarnation_started_ms = kFirstBornMs;
    report.ended.push_back(
        {1, m_orders.starts[0].task, 1, scheduling::RunOutcome::kStopped, ""});
    m_pool.OnReport(order, sent, m_now, report);
  }
  m_pool.OnCommitted(m_pool.DequeueChanges(10));
  auto orders = m_pool.CreateReportOrders(m_now);
  LONGS_EQUAL(1, orders.size());
  LONGS_EQUAL(1, orders[0].last_acknowledged_completion);
  m_pool.OnReportFailed(orders[0], scheduling::OrderOutcome::kUnknown, m_now);
  orders = m_pool.CreateReportOrders(m_now);
  LONGS_EQUAL(1, orders.size());
  LONGS_EQUAL(0, orders[0].last_acknowledged_completion);
}

// Another owner's token is unknown to it.
TEST(Restart, LapsedOwnerStartsNothingOnLaterIncarnation) {
  AnswerStart(scheduling::OrderOutcome::kAccepted);
  AnswerReports(kFirstBornMs, {GetStartedRun()});
  const std::string& started_on = m_orders.starts[0].target;
  m_pool.RemoveTarget(started_on == "t0" ? "t1" : "t0", m_now);
  m_pool.SetOwnershipConfirmed(false);
  m_pool.UpdateTarget(MakeTarget(started_on, kSecondBornMs), m_now);
  AnswerReports(kSecondBornMs, {});
  AnswerReports(kSecondBornMs, {});
  LONGS_EQUAL(0, m_pool.CountRuns(started_on));
  LONGS_EQUAL(0, Decide().starts.size());
  m_pool.SetOwnershipConfirmed(true);
  LONGS_EQUAL(1, Decide().starts.size());
}

TEST(Restart, OrderOvertakenByHigherTokenOfItsOwnerDoesNotSupersedeOwner) {
  m_pool.UpdateTarget(MakeTarget(m_orders.starts[0].target, kSecondBornMs),
                      m_now);
  AnswerStart(scheduling::OrderOutcome::kFenced);
  CHECK_FALSE(m_pool.IsSuperseded());
  LONGS_EQUAL(1, Decide().starts.size());
}

TEST(Restart, OrderRefusedForAnotherOwnersTokenSupersedesOwner) {
  AnswerStart(scheduling::OrderOutcome::kFenced);
  CHECK_TRUE(m_pool.IsSuperseded());
}

TEST(Restart, AnswerFromFormerAddressEndsNoIncarnation) {
  AnswerStart(scheduling::OrderOutcome::kAccepted);
  AnswerReports(kFirstBornMs, {GetStartedRun()});
  const auto orders = m_pool.CreateReportOrders(m_now);
  LONGS_EQUAL(1, orders.size());
  auto moved = MakeTarget(m_orders.starts[0].target, kSecondBornMs);
  moved.address = "10.0.0.9:1";
  m_pool.UpdateTarget(moved, m_now);
  m_pool.OnReportFailed(orders[0], scheduling::OrderOutcome::kOtherIncarnation,
                        m_now);
  LONGS_EQUAL(0, Decide().starts.size());
}
