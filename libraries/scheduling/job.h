#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/finding.h"
#include "scheduling/resources.h"
#include "scheduling/run_time_model.h"

namespace shallotwick::scheduling {

// A step of a job, which consists of `count` identical tasks.
struct StepSpec {
  int count = 1;
  Resources demand;
  // The submitter's rough estimate of the run time of one task.
  int64_t estimate_ms = 0;
  // Indexes of earlier steps that must be done before this step starts.
  std::vector<int> after;
  bool checkpointing = false;
  // All tasks of the step run together or not at all.
  bool gang = false;
  bool same_rack = false;
  // A label that the target must have; empty for none.
  std::string required_label;
  // The rack that holds the input data; empty for none.
  std::string data_rack;
  // The maximum number of tasks of this step on one target; 0 for no limit.
  int most_per_target = 0;
  bool speculative = false;
  // The step runs until the job is cancelled; its tasks are restarted whenever
  // a run ends, with any outcome.
  bool long_running = false;
  std::string image;
  // The target for the tail latency of the requests that the tasks serve; 0 for
  // none.
  int64_t latency_target_ms = 0;
  // The tasks use processor time that other tasks leave unused; their CPU
  // demand is not reserved.
  bool best_effort = false;
  // The maximum number of tasks that planned work may make unavailable at a
  // time; 0 if not specified.
  int disruption_budget = 0;

  auto operator<=>(const StepSpec&) const = default;
};

// A job as submitted. Immutable.
struct JobSpec {
  std::string id;
  std::string route;
  // Passed to each run unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  // The number of occurrences of a scheduled job; 0 if the steps run once,
  // immediately.
  int occurrences = 0;
  // When occurrence 0 is due, in milliseconds since the Unix epoch.
  int64_t first_due_ms = 0;
  int64_t interval_ms = 0;
  // When the job was accepted, in milliseconds since the Unix epoch.
  int64_t accepted_ms = 0;
  // The route's limit on failed runs of one task when the job was accepted; 0
  // if not recorded. A later configuration may lack the route.
  int max_attempts = 0;
  // Whose job it is; empty if no customer's key was needed.
  std::string customer;
  // For a job that another service had before: the run numbers up to this one
  // may be used up. 0 for others.
  int64_t last_earlier_run = 0;
  // Whether the job came with progress that it had made there.
  bool has_earlier_progress = false;

  int GetOccurrenceCount() const { return occurrences > 0 ? occurrences : 1; }

  auto operator<=>(const JobSpec&) const = default;
};

// Limits per job, so that no single job can exhaust a host's memory.
inline constexpr int kMaxSteps = 100;
inline constexpr int64_t kMaxTasks = 20'000;
inline constexpr size_t kMaxPayloadBytes = 4'000;

// Validates a job and returns all errors.
std::vector<base::Finding> CheckJob(const JobSpec& job);
// Throws base::InvalidInput with all errors unless the job is valid.
void RequireValidJob(const JobSpec& job);

// Identifies a task of a job.
struct TaskName {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskName&) const = default;
};

// Returns the estimated work of a job's tasks that are due immediately, in
// core-seconds. Scheduled jobs, long-running steps and best-effort steps are
// excluded.
double EstimateCoreSeconds(const JobSpec& job,
                           const RunTimeCorrection& correction);

// A chain of steps of which each depends on the previous one.
struct Chain {
  // The sum of the run-time estimates.
  int64_t estimate_ms = 0;
  int tasks = 0;

  auto operator<=>(const Chain&) const = default;
};

// Returns the longest chain, by estimated run time, of the steps that are not
// in `done`.
Chain FindLongestChain(const JobSpec& job, const std::vector<bool>& done);

}  // namespace shallotwick::scheduling
