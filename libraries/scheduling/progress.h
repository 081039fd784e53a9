#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/job.h"

namespace shallotwick::scheduling {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

bool IsTerminal(JobState state);

// What is kept of one task.
struct TaskProgress {
  bool done = false;
  // Runs that ended in failure, rising; a failure that is reported again is not
  // counted again. Not kept for tasks that are restarted however they end.
  std::vector<int64_t> failed_runs;
  // Where the next run resumes; empty for the beginning.
  std::string checkpoint;

  auto operator<=>(const TaskProgress&) const = default;
};

// What is kept of a job beside its specification. A run that is under way is
// not part of it: the targets say what runs.
struct JobProgress {
  JobState state = JobState::kQueued;
  // The queue that the job was handed to.
  std::string route;
  // By occurrence, step and index.
  std::vector<std::vector<std::vector<TaskProgress>>> tasks;

  auto operator<=>(const JobProgress&) const = default;
};

// Returns the progress of a job of which nothing has run.
JobProgress MakeInitialProgress(const JobSpec& job);

// The stored form. A terminal record holds the state only.
std::string EncodeProgress(const JobProgress& progress);

// What a record says without the job's specification.
struct ProgressSummary {
  JobState state = JobState::kQueued;
  std::string route;

  auto operator<=>(const ProgressSummary&) const = default;
};

// Throws std::runtime_error if the text is not a record.
ProgressSummary DecodeSummary(const std::string& text);

// Throws std::runtime_error if the text is not a record of that job.
JobProgress DecodeProgress(const JobSpec& job, const std::string& text);

}  // namespace shallotwick::scheduling
