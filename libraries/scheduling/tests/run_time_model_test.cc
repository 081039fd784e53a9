#include "scheduling/run_time_model.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

namespace scheduling = shallotwick::scheduling;

namespace {

constexpr char kRoute[] = "quote";
constexpr int kTasks = 400;
constexpr double kMeanMs = 600;

// Returns run times that vary deterministically between tasks.
double GetTrueMs(int task) { return kMeanMs * (0.6 + 0.2 * (task % 5)); }

}  // namespace

TEST_GROUP(RunTimeModel) { scheduling::RunTimeModel m_model; };

TEST(RunTimeModel, EstimatesAreUnchangedUntilEnoughTasksHaveCompleted) {
  m_model.AddSample(kRoute, 100, 900);
  CHECK_TRUE(m_model.GetCorrection(kRoute) == scheduling::RunTimeCorrection{});
  CHECK_TRUE(m_model.GetCorrection("other") == scheduling::RunTimeCorrection{});
}

TEST(RunTimeModel, ProportionalEstimatesAreScaled) {
  for (int i = 0; i < kTasks; ++i) {
    m_model.AddSample(kRoute, GetTrueMs(i) / 3, GetTrueMs(i));
  }
  const auto correction = m_model.GetCorrection(kRoute);
  for (int i = 0; i < 5; ++i) {
    DOUBLES_EQUAL(GetTrueMs(i), correction.Apply(GetTrueMs(i) / 3),
                  0.1 * kMeanMs);
  }
}

TEST(RunTimeModel, UnrelatedEstimatesAreReplacedByTheMean) {
  for (int i = 0; i < kTasks; ++i) {
    // Estimates between a tenth of the mean and twice the mean, independent of
    // the task's run time.
    const double estimate = kMeanMs * (i % 7 == 0 ? 2.0 : 0.1 + 0.3 * (i % 3));
    m_model.AddSample(kRoute, estimate, GetTrueMs(i));
  }
  const auto correction = m_model.GetCorrection(kRoute);
  DOUBLES_EQUAL(kMeanMs, correction.Apply(0.1 * kMeanMs), 0.35 * kMeanMs);
  DOUBLES_EQUAL(kMeanMs, correction.Apply(2.0 * kMeanMs), 0.35 * kMeanMs);
}

TEST(RunTimeModel, StalledTaskHasLittleEffectOnTheMean) {
  for (int i = 0; i < kTasks; ++i) {
    m_model.AddSample(kRoute, kMeanMs, kMeanMs);
  }
  m_model.AddSample(kRoute, kMeanMs, 1'000 * kMeanMs);
  DOUBLES_EQUAL(kMeanMs, m_model.GetMeanMs(kRoute), 0.1 * kMeanMs);
}
