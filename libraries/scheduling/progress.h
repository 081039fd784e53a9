#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/job.h"

namespace shallotwick::scheduling {

enum class JobState {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
  // Cancelled before it was stored: the row keeps a submission that is still
  // under way from being stored. No such job exists for callers.
  kWithdrawn,
  // Another service has the job now. Only the rows of the former one say so.
  kMoved,
};

bool IsTerminal(JobState state);
const char* NameOf(JobState state);

// Longer checkpoints are not kept: they may not fit into a row, also escaped.
inline constexpr size_t kMaxCheckpointBytes = 6'000;

// The stored state of a task.
struct TaskProgress {
  bool done = false;
  // The numbers of the failed runs, in ascending order, so that a failure that
  // is reported again is not counted twice. Not recorded for tasks of
  // long-running steps, which are always restarted.
  std::vector<int64_t> failed_runs;
  // The checkpoint from which the next run resumes; empty to start from the
  // beginning.
  std::string checkpoint;

  auto operator<=>(const TaskProgress&) const = default;
};

// The stored state of a job in addition to its specification. It does not
// include current runs, which are learned from the reports of the targets.
struct JobProgress {
  JobState state = JobState::kQueued;
  // The route through which the job was submitted.
  std::string route;
  // Indexed by occurrence, step and task.
  std::vector<std::vector<std::vector<TaskProgress>>> tasks;

  auto operator<=>(const JobProgress&) const = default;
};

// Returns the progress of a job that has not started.
JobProgress MakeInitialProgress(const JobSpec& job);

// Returns the stored form. The record of a job that has ended contains only its
// state.
std::string EncodeProgress(const JobProgress& progress);

// Returns the stored form of a job that was cancelled before it was stored, for
// both its progress row and its job row.
std::string EncodeWithdrawal();

// Returns the stored form, for the progress row of the former service, of a job
// that another service has now.
std::string EncodeMove(const std::string& service);

// The part of a progress record that can be decoded without the job's
// specification.
struct ProgressSummary {
  JobState state = JobState::kQueued;
  std::string route;
  // The service that has the job now, if its state is kMoved.
  std::string moved_to;

  auto operator<=>(const ProgressSummary&) const = default;
};

// Throws std::runtime_error if the text is not a valid progress record.
ProgressSummary DecodeSummary(const std::string& text);

// Throws std::runtime_error if the text is not a valid progress record of the
// job.
JobProgress DecodeProgress(const JobSpec& job, const std::string& text);

}  // namespace shallotwick::scheduling
