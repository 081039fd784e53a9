#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/finding.h"
#include "scheduling/resources.h"
#include "scheduling/run_time_model.h"

namespace shallotwick::scheduling {

// One step of a job: `count` tasks that are alike.
struct StepSpec {
  int count = 1;
  Resources demand;
  // The submitter's rough guess of one task's run time.
  int64_t estimate_ms = 0;
  // Indexes of earlier steps that must be done first.
  std::vector<int> after;
  bool checkpointing = false;
  // All tasks run together or not at all.
  bool gang = false;
  bool same_rack = false;
  // A label that the target must carry; empty for none.
  std::string required_label;
  // The rack that holds the data; empty for none.
  std::string data_rack;
  // Bound on this step's tasks on one target; 0 for none.
  int most_per_target = 0;
  bool speculative = false;
  // Runs until the job is cancelled, and is restarted however it ends.
  bool long_running = false;
  std::string image;
  // Bound on the tail latency of what the tasks serve; 0 for none.
  int64_t latency_target_ms = 0;
  // Uses capacity that other tasks leave; its cpu is not counted.
  bool best_effort = false;
  // Tasks that planned work may make unavailable at a time; 0 if not given.
  int disruption_budget = 0;

  auto operator<=>(const StepSpec&) const = default;
};

// A job as its submitter handed it in. Never changes.
struct JobSpec {
  std::string id;
  std::string route;
  // Handed to each run as it is.
  std::string payload;
  std::vector<StepSpec> steps;
  // 0: the steps run once, now. Otherwise this many occurrences.
  int occurrences = 0;
  // When occurrence 0 is due, in milliseconds since the Unix epoch.
  int64_t first_due_ms = 0;
  int64_t interval_ms = 0;
  // When the job was accepted, in milliseconds since the Unix epoch.
  int64_t accepted_ms = 0;

  int GetOccurrenceCount() const { return occurrences > 0 ? occurrences : 1; }

  auto operator<=>(const JobSpec&) const = default;
};

// Bounds on one job, so that none can fill a host's memory.
inline constexpr int kMostSteps = 100;
inline constexpr int64_t kMostTasks = 20'000;
inline constexpr size_t kLongestPayloadBytes = 4'000;

// Returns what is wrong with a job, all faults together.
std::vector<base::Finding> CheckJob(const JobSpec& job);

// Names one task of a job.
struct TaskName {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskName&) const = default;
};

// The estimated work of a job's short tasks that are due now or have no due
// time, in core-seconds.
double EstimateCoreSeconds(const JobSpec& job,
                           const RunTimeCorrection& correction);

// A chain of tasks that wait for each other.
struct Chain {
  // The sum of the estimates.
  int64_t estimate_ms = 0;
  int tasks = 0;

  auto operator<=>(const Chain&) const = default;
};

// The longest chain by estimates through the steps that are not in `done`.
Chain FindLongestChain(const JobSpec& job, const std::vector<bool>& done);

}  // namespace shallotwick::scheduling
