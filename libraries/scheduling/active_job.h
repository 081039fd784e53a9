#pragma once

#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "scheduling/progress.h"
#include "scheduling/queue_order.h"

namespace shallotwick::scheduling {

// A task of a job that has not ended, with its current run, if any.
struct ActiveTask {
  TaskProgress progress;
  // The target of the current run; empty if the task has no run.
  std::string target;
  int64_t run = 0;
  // The highest run number that was ever assigned to this task.
  int64_t last_run = 0;
  // The run that the checkpoint in `progress` is from; 0 if it was stored.
  int64_t checkpoint_run = 0;
  // No run starts before, as earlier ones have failed.
  base::TimePoint not_before;
  // The number of runs that failed one after the other, each soon.
  int failures_in_a_row = 0;
  // The target of the last failed or stalled run; placement avoids it if
  // another target is suitable.
  std::string avoided_target;
};

// The scheduling state of a job that has not ended, as held by the owner of its
// pool.
class ActiveJob {
 public:
  ActiveJob(JobSpec spec, const JobProgress& progress, bool predates_ownership);

  const JobSpec& GetSpec() const { return m_spec; }
  ActiveTask* FindTask(const TaskName& name);
  std::vector<ActiveTask>& GetStep(int occurrence, int step) {
    return m_tasks[static_cast<size_t>(occurrence)][static_cast<size_t>(step)];
  }

  // Returns the number of tasks of the step that are not done.
  int CountUnfinished(int occurrence, int step) const;
  // Returns whether all steps that this step depends on are done.
  bool IsStepReady(int occurrence, int step) const;
  // Returns whether all tasks of all occurrences are done.
  bool IsDone() const;
  bool HasLongRunningStep() const { return m_has_long_running_step; }
  int64_t GetDueMs(int occurrence) const;
  const Chain& GetFullChain() const { return m_full_chain; }
  // The chain of the steps that are not done in the first unfinished
  // occurrence.
  const Chain& GetRemainingChain() const { return m_remaining_chain; }
  int GetFirstUnfinishedOccurrence() const;

  // Returns the number of tasks that are neither done nor assigned to a target,
  // including those whose steps are not ready yet.
  int CountUnassigned() const { return m_unassigned; }
  void AssignRun(ActiveTask& task, const std::string& target, int64_t run);
  void ReleaseRun(ActiveTask& task);
  // Sets the checkpoint from which the task resumes, unless it has one from a
  // later run. The tasks of a gang share one. Returns whether it has changed.
  bool SetCheckpoint(const TaskName& name, int64_t run,
                     const std::string& checkpoint);
  bool IsGang(const TaskName& name) const {
    return m_spec.steps[static_cast<size_t>(name.step)].gang;
  }
  // Marks a task as done. If its step runs as a gang, marks all tasks of the
  // step as done.
  void MarkDone(const TaskName& name);
  JobProgress MakeProgress() const;
  // Returns the highest run number of all tasks.
  int64_t GetLastRun() const;

  JobState m_state = JobState::kQueued;
  bool m_predates_ownership = false;
  // The number of the customer in the CustomerBudget.
  int m_customer = 0;
  // Beyond what the customer is owed.
  bool m_is_excess = false;
  // Whether the log says that a step fits on no target of the pool.
  bool m_is_misfit_logged = false;
  // No task of this job starts before this time. Set as a backoff after a
  // target refused a start order as invalid or for lack of a ticket.
  base::TimePoint m_not_before;

 private:
  void RecomputeChain();
  // Gives all tasks of a gang the checkpoint of the first that has one.
  static void ShareCheckpoint(std::vector<ActiveTask>& tasks);

  JobSpec m_spec;
  std::vector<std::vector<std::vector<ActiveTask>>> m_tasks;
  std::vector<std::vector<int>> m_unfinished;
  int m_unassigned = 0;
  bool m_has_long_running_step = false;
  Chain m_full_chain;
  Chain m_remaining_chain;
};

}  // namespace shallotwick::scheduling
