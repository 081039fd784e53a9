// Runs that have ended while their owner counts them as lost.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "scheduling/pool_scheduler.h"
#include "seeded_play.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::OrderOutcome;
using scheduling::testing::CheckSeeds;
using scheduling::testing::PoolModelOptions;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kBornMs = 1'000'000;

}  // namespace

TEST_GROUP(GivenUpRun) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  std::unique_ptr<scheduling::PoolScheduler> m_pool;

  void setup() override {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1'000;
    options.last_fence = 1'999;
    m_pool = std::make_unique<scheduling::PoolScheduler>(options);
    for (const char* id : {"t0", "t1"}) {
      scheduling::TargetEntry entry;
      entry.id = id;
      entry.address = "10.0.0.1:1";
      entry.capacity = {32'000, 65'536, 0};
      entry.incarnation_started_ms = kBornMs;
      m_pool->UpdateTarget(entry, m_now);
    }
    scheduling::JobSpec job;
    job.id = "job";
    job.steps.resize(1);
    job.steps[0].count = 1;
    job.steps[0].demand = {1'000, 1'000, 0};
    job.steps[0].estimate_ms = 2'000;
    m_pool->AddJob(job, MakeInitialProgress(job), false);
  }

  scheduling::PoolOrders Decide() {
    m_now += milliseconds(60);
    return m_pool->Decide(m_now, kBornMs + 60'000);
  }

  // The target `id` answers with `report`, or not at all; others have no runs.
  // Returns the highest completion that it is told to discard.
  int64_t RequestReports(const std::string& id,
                         const scheduling::TargetReport* report) {
    const auto sent = m_now;
    m_now += milliseconds(2);
    int64_t acknowledged = 0;
    for (const auto& order : m_pool->CreateReportOrders(sent)) {
      if (order.target == id) {
        acknowledged = order.last_acknowledged_completion;
      }
      if (order.target == id && report == nullptr) {
        m_pool->OnReportFailed(order, OrderOutcome::kNotSent, m_now);
        continue;
      }
      scheduling::TargetReport answer;
      if (order.target == id) {
        answer = *report;
      }
      answer.clock_ms = 5'000 + (m_now.time_since_epoch() / milliseconds(1));
      answer.incarnation_started_ms = kBornMs;
      m_pool->OnReport(order, sent, m_now, answer);
    }
    return acknowledged;
  }

  void Store() {
    const auto batch = m_pool->DequeueChanges(30);
    m_pool->OnCommitted(batch);
  }
};

TEST(GivenUpRun, EndOfRunThatWasStartedAgainElsewhereIsNotAcknowledged) {
  RequestReports("", nullptr);
  m_pool->ConfirmRoster(m_pool->GetRoster());
  const auto starts = Decide().starts;
  LONGS_EQUAL(1, starts.size());
  const scheduling::StartOrder& first = starts[0];
  m_pool->OnStartResult(first, {OrderOutcome::kUnknown, std::nullopt}, m_now);
  scheduling::TargetReport report;
  report.running = {{first.task, first.run, "", 10, 0}};
  RequestReports(first.target, &report);
  std::vector<scheduling::StartOrder> again;
  for (int i = 0; i < 300 && again.empty(); ++i) {
    RequestReports(first.target, nullptr);
    again = Decide().starts;
  }
  LONGS_EQUAL(1, again.size());
  CHECK_FALSE(again[0].target == first.target);
  report.running.clear();
  report.ended = {
      {1, first.task, first.run, scheduling::RunOutcome::kDone, ""}};
  for (int i = 0; i < 20; ++i) {
    m_now += milliseconds(60);
    LONGS_EQUAL(0, RequestReports(first.target, &report));
    Store();
  }
}

TEST(GivenUpRun, CutOffTargetThatRunsNothingRunsNoTaskTwice) {
  PoolModelOptions options;
  options.partition_chance = 0.2;
  options.idle_leases_expire = false;
  CheckSeeds(options, 20);
}
