#include <CppUTest/TestHarness.h>

#include "scheduling/tests/incarnations/target_end_pool.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::OrderOutcome;
using scheduling::testing::kFirstAddress;
using scheduling::testing::kFirstBornMs;
using scheduling::testing::kSecondBornMs;
using std::chrono::milliseconds;

namespace {

constexpr char kOtherAddress[] = "10.0.0.9:1";

}  // namespace

// Answers of other processes at the addresses of targets.
TEST_GROUP(OtherProcess) {
  scheduling::testing::TargetEndPool m_pool;

  void SetAddress(const std::string& address) {
    m_pool.m_pool.UpdateTarget(m_pool.MakeEntry(address, kFirstBornMs),
                               m_pool.m_now);
  }
};

TEST(OtherProcess, AtAddressOfTargetEndsIt) {
  m_pool.FailReports(OrderOutcome::kOtherIncarnation);
  LONGS_EQUAL(0, m_pool.CountRuns());
  LONGS_EQUAL(1, m_pool.Decide().starts.size());
}

TEST(OtherProcess, AtAddressThatNeverAnsweredForTargetEndsNoRun) {
  SetAddress(kOtherAddress);
  m_pool.FailReports(OrderOutcome::kOtherIncarnation);
  LONGS_EQUAL(1, m_pool.CountRuns());
  LONGS_EQUAL(0, m_pool.Decide().starts.size());
}

TEST(OtherProcess, AtAddressThatNeverAnsweredForTargetEndsNoRunByItsStop) {
  SetAddress(kOtherAddress);
  m_pool.m_pool.CancelJob("job");
  const auto stops = m_pool.Decide().stops;
  LONGS_EQUAL(1, stops.size());
  m_pool.m_pool.OnStopResult(stops[0], {OrderOutcome::kOtherIncarnation, {}},
                             m_pool.m_now);
  LONGS_EQUAL(1, m_pool.CountRuns());
}

TEST(OtherProcess, AtFormerAddressOfRestartedTargetEndsNoRunOfIt) {
  SetAddress(kOtherAddress);
  m_pool.AnswerReports(kSecondBornMs, {m_pool.GetRun()});
  LONGS_EQUAL(1, m_pool.CountRuns());
  SetAddress(kFirstAddress);
  m_pool.FailReports(OrderOutcome::kOtherIncarnation);
  LONGS_EQUAL(1, m_pool.CountRuns());
}

// Its target may have restarted at another address under the former owner.
TEST(OtherProcess, AtAddressOfRosterLetsNoTaskOfFormerOwnerStart) {
  scheduling::PoolSchedulerOptions options;
  options.first_fence = 2'000;
  options.last_fence = 2'999;
  m_pool.m_pool = scheduling::PoolScheduler(options);
  m_pool.m_pool.AddRosterTarget(m_pool.MakeEntry(kFirstAddress, 0),
                                m_pool.m_now);
  scheduling::TargetEntry other = m_pool.MakeEntry(kOtherAddress, kFirstBornMs);
  other.id = "other";
  m_pool.m_pool.UpdateTarget(other, m_pool.m_now);
  scheduling::JobSpec job;
  job.id = "job";
  job.steps.resize(1);
  job.steps[0].demand = {1'000, 1'000, 0};
  m_pool.m_pool.AddJob(job, MakeInitialProgress(job), true);
  m_pool.FailReports(OrderOutcome::kOtherIncarnation);
  m_pool.m_pool.ConfirmRoster(m_pool.m_pool.GetRoster());
  LONGS_EQUAL(0, m_pool.Decide().starts.size());
  // The wait ends by the host lists or by the lease.
  m_pool.m_pool.OnTargetEnded(m_pool.m_start.target, "host lists");
  LONGS_EQUAL(1, m_pool.Decide().starts.size());
}
