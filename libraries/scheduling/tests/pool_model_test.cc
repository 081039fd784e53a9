#include "pool_model.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::testing::PoolModel;
using scheduling::testing::PoolModelOptions;

namespace {

// Returns a job with two steps, of which the second depends on the first.
scheduling::JobSpec MakeJob(const PoolModel& pool, int number, int width,
                            int64_t estimate_ms) {
  scheduling::JobSpec job;
  job.id = "job" + std::to_string(10'000 + number);
  job.route = "route";
  job.accepted_ms = pool.GetWallMs();
  scheduling::StepSpec step;
  step.count = width;
  step.demand = {1'800, 2'500, 0};
  step.estimate_ms = estimate_ms;
  job.steps = {step, step};
  job.steps[1].after = {0};
  job.steps[1].count = width / 2 + 1;
  return job;
}

scheduling::JobSpec MakeServingJob(const PoolModel& pool, int number) {
  scheduling::JobSpec job = MakeJob(pool, 90'000 + number, 5, 0);
  job.steps.resize(1);
  job.steps[0].long_running = true;
  job.steps[0].most_per_target = 1;
  job.steps[0].disruption_budget = 1;
  return job;
}

PoolModelOptions DrawFaultOptions(uint32_t seed) {
  std::mt19937 random(seed);
  const auto draw = [&random](double max) {
    const bool is_off = std::uniform_int_distribution<int>(0, 2)(random) == 0;
    return is_off ? 0.0
                  : std::uniform_real_distribution<double>(0, max)(random);
  };
  PoolModelOptions options;
  options.lost_share = draw(0.15);
  options.late_share = draw(1.0);
  options.crash_chance = draw(0.06);
  options.partition_chance = draw(0.06);
  options.takeover_chance = draw(0.04);
  options.cancel_chance = draw(0.1);
  options.failure_share = draw(0.05);
  options.drain_chance = draw(0.02);
  options.max_changes = seed % 3 == 0 ? 2 : 30;
  options.lapsed_owner_chance = draw(1.0);
  return options;
}

int64_t RunWithFaults(uint32_t seed, std::vector<std::string>* violations) {
  PoolModel pool(DrawFaultOptions(seed), seed);
  pool.Submit(MakeServingJob(pool, 1));
  for (int i = 0; i < 60; ++i) {
    pool.Submit(MakeJob(pool, i, 1 + static_cast<int>(seed + i) % 9, 400));
    pool.RunFor(std::chrono::milliseconds(100));
  }
  pool.RunFor(std::chrono::seconds(10));
  pool.StopFaults();
  pool.RunFor(std::chrono::seconds(25));
  *violations = pool.GetViolations();
  // All jobs must have ended except for the serving job, which runs until it is
  // cancelled.
  if (pool.CountUnfinishedJobs() > 1) {
    violations->push_back(std::to_string(pool.CountUnfinishedJobs()) +
                          " jobs have not ended");
  }
  return pool.GetSteps();
}

std::string JoinViolations(const std::vector<std::string>& violations) {
  std::string text;
  for (size_t i = 0; i < violations.size() && i < 5; ++i) {
    text += violations[i] + "\n";
  }
  return text;
}

}  // namespace

TEST_GROUP(PoolModel){};

TEST(PoolModel, RunsEachTaskOnceWithoutFaults) {
  PoolModel pool(PoolModelOptions{}, 1);
  for (int i = 0; i < 20; ++i) {
    pool.Submit(MakeJob(pool, i, 6, 400));
    pool.RunFor(std::chrono::milliseconds(50));
  }
  pool.RunFor(std::chrono::seconds(10));
  STRCMP_EQUAL("", JoinViolations(pool.GetViolations()).c_str());
  LONGS_EQUAL(20, pool.CountCompleted());
  LONGS_EQUAL(20 * (6 + 4), pool.GetStarts());
}

TEST(PoolModel, FaultsViolateNoInvariant) {
  // A step is about thirty times slower with sanitizers, so each run ends after
  // a fixed number of steps instead of test cases. SHALLOTWICK_MODEL_STEPS sets
  // a larger number for manual runs.
  const char* requested = std::getenv("SHALLOTWICK_MODEL_STEPS");
  const int64_t required_steps =
      requested == nullptr ? 200'000 : std::atoll(requested);
  int64_t steps = 0;
  const bool holds =
      rc::check("faults of targets, orders and owners violate no invariant",
                [&steps, required_steps] {
                  const auto seed = *rc::gen::inRange<uint32_t>(0, 1'000'000);
                  std::vector<std::string> violations;
                  if (steps >= required_steps) {
                    return;
                  }
                  steps += RunWithFaults(seed, &violations);
                  if (!violations.empty()) {
                    RC_FAIL("seed " + std::to_string(seed) + "\n" +
                            JoinViolations(violations));
                  }
                });
  CHECK_TRUE(holds);
  // The minimum number of steps for a run in CI.
  CHECK_TRUE(steps >= 100'000);
}

TEST(PoolModel, LapsedOwnersViolateNoInvariant) {
  for (uint32_t seed = 1; seed <= 6; ++seed) {
    PoolModelOptions options;
    options.takeover_chance = 0.04;
    options.lapsed_owner_chance = 1;
    options.lost_share = 0.05;
    options.late_share = 0.5;
    options.partition_chance = 0.06;
    PoolModel pool(options, seed);
    for (int i = 0; i < 60; ++i) {
      pool.Submit(MakeJob(pool, i, 1 + i % 9, 400));
      pool.RunFor(std::chrono::milliseconds(100));
    }
    pool.StopFaults();
    pool.RunFor(std::chrono::seconds(25));
    STRCMP_EQUAL("", JoinViolations(pool.GetViolations()).c_str());
    LONGS_EQUAL(0, pool.CountUnfinishedJobs());
  }
}

// The store accepts far fewer changes than arrive. Completions must still be
// acknowledged and jobs completed, regardless of the order of the job names.
TEST(PoolModel, CompletesAllJobsDespiteABacklogOfChanges) {
  PoolModelOptions options;
  options.targets = 40;
  options.max_changes = 3;
  PoolModel pool(options, 1);
  constexpr int kJobs = 150;
  for (int i = 0; i < kJobs; ++i) {
    pool.Submit(MakeJob(pool, i, 6, 400));
    pool.RunFor(std::chrono::milliseconds(10));
  }
  pool.RunFor(std::chrono::seconds(8));
  STRCMP_EQUAL("", JoinViolations(pool.GetViolations()).c_str());
  LONGS_EQUAL(kJobs, pool.CountCompleted());
}
