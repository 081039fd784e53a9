#pragma once

#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "scheduling/progress.h"
#include "scheduling/queue_order.h"

namespace shallotwick::scheduling {

// One task of a job that has not ended, with its run if it has one.
struct ActiveTask {
  TaskProgress progress;
  // Where its run is; empty while it waits.
  std::string target;
  int64_t run = 0;
  // The highest run number that was ever used for it.
  int64_t last_run = 0;
  // Where it failed last.
  std::string avoided_target;
};

// A job that has not ended, as its pool's owner holds it.
class ActiveJob {
 public:
  ActiveJob(JobSpec spec, const JobProgress& progress, bool predates_ownership);

  const JobSpec& GetSpec() const { return m_spec; }
  ActiveTask* FindTask(const TaskName& name);
  std::vector<ActiveTask>& GetStep(int occurrence, int step) {
    return m_tasks[static_cast<size_t>(occurrence)][static_cast<size_t>(step)];
  }

  // Tasks of a step that are not done.
  int CountOpen(int occurrence, int step) const;
  // Whether all steps that this one waits for are done.
  bool IsStepReady(int occurrence, int step) const;
  // Whether all tasks of all occurrences are done.
  bool IsDone() const;
  bool HasLongRunningStep() const { return m_has_long_running_step; }
  int64_t GetDueMs(int occurrence) const;
  const Chain& GetWholeChain() const { return m_whole_chain; }
  // Of the earliest occurrence that has not ended.
  const Chain& GetRemainingChain() const { return m_remaining_chain; }
  int GetFirstOpenOccurrence() const;

  // Tasks that are not done and have no run, those of later steps included.
  int CountIdle() const { return m_idle; }
  void AssignRun(ActiveTask& task, const std::string& target, int64_t run);
  void ReleaseRun(ActiveTask& task);
  // Marks one task as done; a step that runs as a gang is done as a whole.
  void MarkDone(const TaskName& name);
  JobProgress MakeProgress() const;

  JobState m_state = JobState::kQueued;
  bool m_predates_ownership = false;
  // Not to be started before; after an order was refused as invalid.
  base::TimePoint m_not_before;

 private:
  void RecomputeChain();

  JobSpec m_spec;
  std::vector<std::vector<std::vector<ActiveTask>>> m_tasks;
  std::vector<std::vector<int>> m_open;
  int m_idle = 0;
  bool m_has_long_running_step = false;
  Chain m_whole_chain;
  Chain m_remaining_chain;
};

}  // namespace shallotwick::scheduling
