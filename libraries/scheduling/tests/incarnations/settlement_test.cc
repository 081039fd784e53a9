#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::OrderOutcome;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kBorn1 = 1'000'000;
constexpr int64_t kBorn2 = 1'002'000;

scheduling::TargetEntry MakeTarget(const std::string& id, int64_t born_ms) {
  scheduling::TargetEntry entry;
  entry.id = id;
  entry.address = "10.0.0.1:1";
  entry.capacity = {32'000, 65'536, 0};
  entry.incarnation_started_ms = born_ms;
  return entry;
}

}  // namespace

TEST_GROUP(Settlement) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolSchedulerOptions m_options = MakeOptions();
  std::unique_ptr<scheduling::PoolScheduler> m_pool;
  scheduling::PoolOrders m_orders;

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1000;
    options.last_fence = 1999;
    return options;
  }

  void Begin(bool predates = false) {
    m_pool = std::make_unique<scheduling::PoolScheduler>(m_options);
    for (const char* id : {"t0", "t1"}) {
      m_pool->UpdateTarget(MakeTarget(id, kBorn1), m_now);
    }
    AddJob("job", 1, predates);
    AnswerReports(kBorn1, {});
    m_pool->ConfirmRoster(m_pool->GetRoster());
    m_orders = Decide();
    LONGS_EQUAL(1, m_orders.starts.size());
  }

  void AddJob(const std::string& id, int count, bool predates) {
    scheduling::JobSpec job;
    job.id = id;
    job.steps.resize(1);
    job.steps[0].count = count;
    job.steps[0].demand = {1'000, 1'000, 0};
    job.steps[0].estimate_ms = 100'000;
    m_pool->AddJob(job, MakeInitialProgress(job), predates);
  }

  scheduling::PoolOrders Decide() {
    m_now += milliseconds(60);
    return m_pool->Decide(m_now, kBorn1 + 60'000);
  }

  scheduling::TargetReport MakeReport(
      const std::string& target, int64_t born_ms,
      const std::vector<scheduling::ReportedRun>& running) {
    scheduling::TargetReport report;
    report.clock_ms = 5'000;
    report.incarnation_started_ms = kBorn1;
    if (IsOfStartedTask(target)) {
      report.incarnation_started_ms = born_ms;
      report.running = running;
    }
    return report;
  }

  void AnswerReports(int64_t born_ms,
                     const std::vector<scheduling::ReportedRun>& running) {
    const auto sent = m_now;
    m_now += milliseconds(2);
    for (const auto& order : m_pool->CreateReportOrders(sent)) {
      m_pool->OnReport(order, sent, m_now,
                       MakeReport(order.target, born_ms, running));
    }
  }

  // All reports of the started task's target get no response.
  void FailReportsOfStartedTarget() {
    const auto sent = m_now;
    for (const auto& order : m_pool->CreateReportOrders(sent)) {
      if (IsOfStartedTask(order.target)) {
        m_pool->OnReportFailed(order, OrderOutcome::kUnknown, m_now);
      } else {
        m_pool->OnReport(order, sent, m_now,
                         MakeReport(order.target, kBorn1, {}));
      }
    }
  }

  bool IsOfStartedTask(const std::string& target) const {
    return !m_orders.starts.empty() && m_orders.starts[0].target == target;
  }

  scheduling::ReportedRun GetStartedRun() const {
    return {m_orders.starts[0].task, m_orders.starts[0].run, "", 10, 0};
  }

  void AnswerStart(OrderOutcome outcome) {
    m_now += milliseconds(2);
    m_pool->OnStartResult(m_orders.starts[0], {outcome, std::nullopt}, m_now);
  }
};

TEST(Settlement, LeaseGrantedForEarlierIncarnationsClockCountsInFull) {
  Begin();
  AnswerStart(OrderOutcome::kAccepted);
  const auto granted = m_now;
  // Accepted by incarnation 2: untilMs is far ahead of its clock, so the lease
  // lasts max_lease (10 s). Cut off from now on.
  while (m_now < granted + milliseconds(9'500)) {
    FailReportsOfStartedTarget();
    const auto orders = Decide();
    if (!orders.starts.empty()) {
      FAIL(("started elsewhere " +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(m_now - granted)
                    .count()) +
            " ms after the grant")
               .c_str());
    }
  }
}

TEST(Settlement, LeaseGrantedForEarlierIncarnationsClockOutlastsFirstReport) {
  Begin();
  AnswerStart(OrderOutcome::kAccepted);
  // Incarnation 2 has taken the lease of an order that was sent before.
  AnswerReports(kBorn2, {GetStartedRun()});
  AnswerReports(kBorn2, {GetStartedRun()});
  const auto listed = m_now;
  while (m_now < listed + milliseconds(9'500)) {
    FailReportsOfStartedTarget();
    LONGS_EQUAL(0, Decide().starts.size());
  }
}

TEST(Settlement, AcceptedStartThatOvertakesEarlierReportWithHigherTokenIsKept) {
  Begin();
  const std::string t = m_orders.starts[0].target;
  // A second start on the same target gets no response: the token is raised.
  AddJob("other", 64, false);
  const auto more = Decide().starts;
  const scheduling::StartOrder* lost = nullptr;
  for (const auto& start : more) {
    if (start.target == t) {
      lost = &start;
      break;
    }
  }
  CHECK_TRUE(lost != nullptr);
  // Ends the report round in flight.
  m_pool->OnStartResult(*lost, {OrderOutcome::kUnknown, std::nullopt}, m_now);
  const auto sent = m_now;
  const auto orders = m_pool->CreateReportOrders(sent);
  // Incarnation 1 executes the report here, without the run, then restarts.
  // Incarnation 2 executes the start; its answer arrives first.
  AnswerStart(OrderOutcome::kAccepted);
  for (const auto& order : orders) {
    if (order.target == t) {
      CHECK_TRUE(order.fence > m_orders.starts[0].fence);
      m_pool->OnReport(order, sent, m_now, MakeReport(t, kBorn1, {}));
    }
  }
  for (const auto& start : Decide().starts) {
    CHECK_FALSE(start.task == m_orders.starts[0].task);
  }
}

TEST(Settlement, RunAbsentFromCutListOfEndsIsNotSettled) {
  Begin();
  AnswerStart(OrderOutcome::kUnknown);
  const auto sent = m_now;
  m_now += milliseconds(2);
  for (const auto& order : m_pool->CreateReportOrders(sent)) {
    auto report = MakeReport(order.target, kBorn1, {});
    if (IsOfStartedTask(order.target)) {
      report.lists_all_completions = false;
      for (int i = 1; i <= 500; ++i) {
        report.ended.push_back(
            {i, {"gone", 0, 0, i}, 1, scheduling::RunOutcome::kDone, ""});
      }
    }
    m_pool->OnReport(order, sent, m_now, report);
  }
  // The end of the run is number 501, in the next report.
  LONGS_EQUAL(0, Decide().starts.size());
}

TEST(Settlement, ReportAfterIdleTimeAcknowledgesNothing) {
  Begin();
  AnswerStart(OrderOutcome::kAccepted);
  const auto sent = m_now;
  for (const auto& order : m_pool->CreateReportOrders(sent)) {
    auto report = MakeReport(order.target, kBorn1, {});
    if (IsOfStartedTask(order.target)) {
      report.ended.push_back(
          {1, m_orders.starts[0].task, 1, scheduling::RunOutcome::kDone, ""});
    }
    m_pool->OnReport(order, sent, m_now, report);
  }
  m_pool->OnCommitted(m_pool->DequeueChanges(10));
  AnswerReports(kBorn1, {});
  LONGS_EQUAL(0, m_pool->CreateReportOrders(m_now).size());
  // Idle for a minute; the target restarts unnoticed.
  m_now += milliseconds(60'000);
  AddJob("next", 2, false);
  LONGS_EQUAL(2, Decide().starts.size());
  for (const auto& order : m_pool->CreateReportOrders(m_now)) {
    LONGS_EQUAL(0, order.last_acknowledged_completion);
  }
}

TEST(Settlement, OtherIncarnationAtEarlierAddressEndsNoRunAtNewAddress) {
  Begin();
  const std::string t = m_orders.starts[0].target;
  AnswerStart(OrderOutcome::kAccepted);
  AnswerReports(kBorn1, {GetStartedRun()});
  // A report order to the first address is in flight; the target restarts under
  // its id at another address.
  const auto sent = m_now;
  scheduling::ReportOrder old_report;
  for (const auto& order : m_pool->CreateReportOrders(sent)) {
    if (order.target == t) {
      old_report = order;
    } else {
      m_pool->OnReport(order, sent, m_now,
                       MakeReport(order.target, kBorn1, {}));
    }
  }
  scheduling::StopOrder old_stop{t, "10.0.0.1:1", m_orders.starts[0].task, 999,
                                 old_report.fence};
  auto entry = MakeTarget(t, kBorn2);
  entry.address = "10.0.0.9:1";
  m_pool->UpdateTarget(entry, m_now);
  // No answer to the old report; reports to the new address show no run.
  m_pool->OnReportFailed(old_report, OrderOutcome::kUnknown, m_now);
  m_now += milliseconds(300);
  AnswerReports(kBorn2, {});
  AnswerReports(kBorn2, {});
  // The task starts again. Make it start on t: cordon the other target.
  m_pool->SetCordoned(t == "t0" ? "t1" : "t0", true);
  m_now += milliseconds(3000);
  const auto again = Decide();
  LONGS_EQUAL(1, again.starts.size());
  STRCMP_EQUAL("10.0.0.9:1", again.starts[0].address.c_str());
  m_pool->SetCordoned(t == "t0" ? "t1" : "t0", false);
  m_pool->OnStartResult(again.starts[0], {OrderOutcome::kAccepted, {}}, m_now);
  // The answer of another target at the old address to an old order.
  m_pool->OnStopResult(old_stop, {OrderOutcome::kOtherIncarnation, {}}, m_now);
  LONGS_EQUAL(1, m_pool->CountRuns(t));
  LONGS_EQUAL(0, Decide().starts.size());
}

TEST(Settlement, ReportOrderedBeforeErasureDoesNotMakeReturningTargetUsable) {
  Begin();
  AnswerStart(OrderOutcome::kUnknown);
  const std::string t = m_orders.starts[0].target;
  const auto sent = m_now;
  const auto orders = m_pool->CreateReportOrders(sent);
  m_pool->RemoveTarget(t, m_now);
  m_pool->OnTargetEnded(t, "missing from host lists");
  CHECK_TRUE(m_pool->GetTargets().count(t) == 0);
  m_pool->UpdateTarget(MakeTarget(t, kBorn1), m_now);
  for (const auto& order : orders) {
    m_pool->OnReport(order, sent, m_now, MakeReport(order.target, kBorn1, {}));
  }
  CHECK_FALSE(m_pool->GetTargets().at(t).m_has_accepted_token);
}

TEST(Settlement, RunIsSettledAfterRestartWhenTokensAreUsedUp) {
  m_options.last_fence = 1000;
  Begin();
  AnswerStart(OrderOutcome::kAccepted);
  AnswerReports(kBorn2, {});
  int starts = 0;
  for (int i = 0; i < 1'000 && starts == 0; ++i) {
    const auto orders = Decide();
    starts += static_cast<int>(orders.starts.size());
    for (const auto& stop : orders.stops) {
      m_pool->OnStopResult(stop, {OrderOutcome::kAccepted, {}}, m_now);
    }
    AnswerReports(kBorn2, {});
  }
  LONGS_EQUAL(1, starts);
}

TEST(Settlement, RestartOfOneTargetHoldsNoOtherJobBack) {
  Begin(true);
  AnswerStart(OrderOutcome::kAccepted);
  AnswerReports(kBorn1, {GetStartedRun()});
  m_pool->UpdateTarget(MakeTarget(m_orders.starts[0].target, kBorn2), m_now);
  AddJob("other", 1, true);
  const auto began = m_now;
  while (m_now < began + milliseconds(20'000)) {
    FailReportsOfStartedTarget();
    if (!Decide().starts.empty()) {
      break;
    }
  }
  const auto waited =
      std::chrono::duration_cast<milliseconds>(m_now - began).count();
  if (waited > 500) {
    FAIL(("waited " + std::to_string(waited) + " ms").c_str());
  }
}

TEST(Settlement, CompletionIsNotStoredBeforeItsChangeIsCommitted) {
  Begin();
  AnswerStart(OrderOutcome::kAccepted);
  const std::string t = m_orders.starts[0].target;
  for (const auto& order : m_pool->CreateReportOrders(m_now)) {
    auto report = MakeReport(order.target, kBorn1, {});
    if (order.target == t) {
      report.ended.push_back(
          {1, m_orders.starts[0].task, 1, scheduling::RunOutcome::kDone, ""});
    }
    m_pool->OnReport(order, m_now, m_now, report);
  }
  LONGS_EQUAL(0, m_pool->CountRuns(t));
  const auto batch = m_pool->DequeueChanges(10);
  CHECK_FALSE(m_pool->AreCompletionsStored(t));
  m_pool->OnCommitFailed(batch);
  CHECK_FALSE(m_pool->AreCompletionsStored(t));
  m_pool->OnCommitted(m_pool->DequeueChanges(10));
  CHECK_TRUE(m_pool->AreCompletionsStored(t));
}
