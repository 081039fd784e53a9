#include "seeded_play.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

namespace shallotwick::scheduling::testing {
namespace {

JobSpec MakeJob(const PoolModel& pool, int number, int64_t task_ms) {
  JobSpec job;
  job.id = "job" + std::to_string(10'000 + number);
  job.route = "route";
  job.accepted_ms = pool.GetWallMs();
  StepSpec step;
  step.count = 1 + number % 9;
  step.demand = {1'800, 2'500, 0};
  step.estimate_ms = task_ms;
  job.steps = {step, step};
  job.steps[1].after = {0};
  return job;
}

// Returns the number of seeds to play; a manual run may ask for more.
uint32_t GetSeedCount(uint32_t in_ci) {
  const char* requested = std::getenv("SHALLOTWICK_MODEL_SEEDS");
  return requested == nullptr ? in_ci
                              : static_cast<uint32_t>(std::atoi(requested));
}

void TraceIfRequested(PoolModel& pool) {
  if (std::getenv("SHALLOTWICK_MODEL_TRACE") == nullptr) {
    return;
  }
  pool.m_on_event = [](const std::string& what, const TaskName& task,
                       int64_t run, const std::string& where) {
    std::printf("%s %s.%d.%d run %ld %s\n", what.c_str(), task.job.c_str(),
                task.step, task.index, static_cast<long>(run), where.c_str());
  };
}

std::string ListViolations(const PoolModel& pool, uint32_t seed) {
  std::string violations;
  for (const std::string& violation : pool.GetViolations()) {
    violations += "seed " + std::to_string(seed) + ", " + violation + "\n";
  }
  return violations;
}

JobSpec MakeLongRunningJob(const PoolModel& pool, int number, int count) {
  JobSpec job = MakeJob(pool, number, 0);
  job.steps.resize(1);
  job.steps[0].count = count;
  job.steps[0].long_running = true;
  return job;
}

void SubmitLongRunningJobs(PoolModel& pool, const LongRunningPlay& play) {
  for (int i = 0; i < play.unplaceable_jobs; ++i) {
    JobSpec job = MakeLongRunningJob(pool, 10'000 + i, 2);
    job.steps[0].required_label = "none";
    pool.Submit(job);
  }
  pool.RunFor(std::chrono::milliseconds(20));
  for (int i = 0; i < 4; ++i) {
    JobSpec job = MakeLongRunningJob(pool, 90'000 + i, 3);
    job.steps[0].most_per_target = i % 2;
    pool.Submit(job);
  }
}

std::string PlayLongRunning(const LongRunningPlay& play, uint32_t seed) {
  PoolModel pool(play.options, seed);
  TraceIfRequested(pool);
  SubmitLongRunningJobs(pool, play);
  int number = 0;
  for (int round = 0; round < 3; ++round) {
    pool.SetFaultsPaused(false);
    for (int i = 0; i < 40; ++i) {
      pool.Submit(MakeJob(pool, number++, 400));
      pool.RunFor(std::chrono::milliseconds(100));
    }
    pool.SetFaultsPaused(true);
    for (int i = 0; i < 200; ++i) {
      if (i < play.poison_jobs) {
        JobSpec job = MakeJob(pool, number++, 40);
        job.payload = "poison";
        pool.Submit(job);
      }
      pool.RunFor(std::chrono::milliseconds(100));
    }
  }
  return ListViolations(pool, seed);
}

// Plays one seed and returns its violations.
std::string Play(const PoolModelOptions& options, uint32_t seed,
                 int64_t task_ms) {
  PoolModel pool(options, seed);
  TraceIfRequested(pool);
  pool.RunFor(options.calm_time);
  JobSpec serving = MakeJob(pool, 90'000, task_ms);
  serving.steps.resize(1);
  serving.steps[0].count = 5;
  serving.steps[0].long_running = true;
  pool.Submit(serving);
  for (int i = 0; i < 60; ++i) {
    pool.Submit(MakeJob(pool, i, task_ms));
    pool.RunFor(std::chrono::milliseconds(100));
  }
  pool.RunFor(std::chrono::seconds(6));
  pool.StopFaults();
  pool.RunFor(std::chrono::seconds(25) +
              std::chrono::milliseconds(2 * task_ms));
  std::string violations = ListViolations(pool, seed);
  // The serving job does not end.
  if (pool.CountUnfinishedJobs() > 1) {
    violations += "seed " + std::to_string(seed) + ": " +
                  std::to_string(pool.CountUnfinishedJobs() - 1) +
                  " jobs have not ended\n";
  }
  return violations;
}

void CheckAll(uint32_t in_ci,
              const std::function<std::string(uint32_t)>& play) {
  std::string violations;
  int failed = 0;
  for (uint32_t seed = 1; seed <= GetSeedCount(in_ci); ++seed) {
    const std::string found = play(seed);
    failed += found.empty() ? 0 : 1;
    violations += found;
  }
  if (failed > 0) {
    FAIL((std::to_string(failed) + " seeds\n" + violations).c_str());
  }
}

}  // namespace

void CheckSeeds(const PoolModelOptions& options, uint32_t in_ci,
                int64_t task_ms) {
  CheckAll(in_ci, [&options, task_ms](uint32_t seed) {
    return Play(options, seed, task_ms);
  });
}

void CheckLongRunningSeeds(const LongRunningPlay& play, uint32_t in_ci) {
  CheckAll(in_ci,
           [&play](uint32_t seed) { return PlayLongRunning(play, seed); });
}

PoolModelOptions MakeRestartOptions() {
  PoolModelOptions options;
  options.restart_chance = 0.1;
  options.max_registry_delay = std::chrono::milliseconds(1'500);
  return options;
}

}  // namespace shallotwick::scheduling::testing
