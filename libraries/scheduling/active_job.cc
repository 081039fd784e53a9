#include "scheduling/active_job.h"

#include <algorithm>
#include <utility>

namespace shallotwick::scheduling {

ActiveJob::ActiveJob(JobSpec spec, const JobProgress& progress,
                     bool predates_ownership)
    : m_state(progress.state),
      m_predates_ownership(predates_ownership),
      m_spec(std::move(spec)) {
  for (const auto& stored_steps : progress.tasks) {
    auto& steps = m_tasks.emplace_back();
    auto& unfinished = m_unfinished.emplace_back();
    for (const auto& stored_tasks : stored_steps) {
      auto& tasks = steps.emplace_back();
      int unfinished_count = 0;
      for (const TaskProgress& stored : stored_tasks) {
        ActiveTask task;
        task.progress = stored;
        task.last_run =
            stored.failed_runs.empty() ? 0 : stored.failed_runs.back();
        unfinished_count += stored.done ? 0 : 1;
        tasks.push_back(std::move(task));
      }
      if (m_spec.steps[steps.size() - 1].gang) {
        ShareCheckpoint(tasks);
      }
      unfinished.push_back(unfinished_count);
      m_unassigned += unfinished_count;
    }
  }
  for (const StepSpec& step : m_spec.steps) {
    m_has_long_running_step = m_has_long_running_step || step.long_running;
  }
  m_full_chain = FindLongestChain(m_spec, {});
  RecomputeChain();
}

ActiveTask* ActiveJob::FindTask(const TaskName& name) {
  const auto occurrence = static_cast<size_t>(name.occurrence);
  const auto step = static_cast<size_t>(name.step);
  const auto index = static_cast<size_t>(name.index);
  const bool exists = occurrence < m_tasks.size() &&
                      step < m_tasks[occurrence].size() &&
                      index < m_tasks[occurrence][step].size();
  return exists ? &m_tasks[occurrence][step][index] : nullptr;
}

int ActiveJob::CountUnfinished(int occurrence, int step) const {
  return m_unfinished[static_cast<size_t>(occurrence)]
                     [static_cast<size_t>(step)];
}

bool ActiveJob::IsStepReady(int occurrence, int step) const {
  for (int dependency : m_spec.steps[static_cast<size_t>(step)].after) {
    if (CountUnfinished(occurrence, dependency) > 0) {
      return false;
    }
  }
  return true;
}

bool ActiveJob::IsDone() const {
  for (const auto& steps : m_unfinished) {
    for (int unfinished : steps) {
      if (unfinished > 0) {
        return false;
      }
    }
  }
  return true;
}

int64_t ActiveJob::GetDueMs(int occurrence) const {
  if (m_spec.occurrences == 0) {
    return m_spec.accepted_ms;
  }
  return m_spec.first_due_ms + occurrence * m_spec.interval_ms;
}

int ActiveJob::GetFirstUnfinishedOccurrence() const {
  for (size_t k = 0; k < m_unfinished.size(); ++k) {
    for (int unfinished : m_unfinished[k]) {
      if (unfinished > 0) {
        return static_cast<int>(k);
      }
    }
  }
  return 0;
}

void ActiveJob::AssignRun(ActiveTask& task, const std::string& target,
                          int64_t run) {
  m_unassigned -= !task.progress.done && task.target.empty() ? 1 : 0;
  task.target = target;
  task.run = run;
  task.last_run = std::max(task.last_run, run);
}

void ActiveJob::ReleaseRun(ActiveTask& task) {
  m_unassigned += !task.progress.done && !task.target.empty() ? 1 : 0;
  task.target.clear();
  task.run = 0;
}

bool ActiveJob::SetCheckpoint(const TaskName& name, int64_t run,
                              const std::string& checkpoint) {
  ActiveTask& named = *FindTask(name);
  const bool is_known =
      checkpoint.empty() || checkpoint.size() > kMaxCheckpointBytes ||
      run < named.checkpoint_run || checkpoint == named.progress.checkpoint;
  if (is_known) {
    return false;
  }
  const auto set = [&](ActiveTask& task) {
    task.progress.checkpoint = checkpoint;
    task.checkpoint_run = run;
  };
  if (IsGang(name)) {
    // Members that resume from different checkpoints do not work together.
    for (ActiveTask& task : GetStep(name.occurrence, name.step)) {
      set(task);
    }
  } else {
    set(named);
  }
  return true;
}

// Earlier versions stored a checkpoint for each member.
void ActiveJob::ShareCheckpoint(std::vector<ActiveTask>& tasks) {
  const auto first = std::find_if(
      tasks.begin(), tasks.end(),
      [](const ActiveTask& task) { return !task.progress.checkpoint.empty(); });
  if (first == tasks.end()) {
    return;
  }
  const std::string checkpoint = first->progress.checkpoint;
  for (ActiveTask& task : tasks) {
    task.progress.checkpoint = checkpoint;
  }
}

void ActiveJob::MarkDone(const TaskName& name) {
  auto& tasks = GetStep(name.occurrence, name.step);
  int& unfinished = m_unfinished[static_cast<size_t>(name.occurrence)]
                                [static_cast<size_t>(name.step)];
  if (m_spec.steps[static_cast<size_t>(name.step)].gang) {
    for (ActiveTask& task : tasks) {
      m_unassigned -= !task.progress.done && task.target.empty() ? 1 : 0;
      task.progress.done = true;
    }
    unfinished = 0;
  } else if (!tasks[static_cast<size_t>(name.index)].progress.done) {
    ActiveTask& task = tasks[static_cast<size_t>(name.index)];
    m_unassigned -= task.target.empty() ? 1 : 0;
    task.progress.done = true;
    --unfinished;
  }
  if (unfinished == 0) {
    RecomputeChain();
  }
}

void ActiveJob::RecomputeChain() {
  std::vector<bool> done;
  for (int unfinished :
       m_unfinished[static_cast<size_t>(GetFirstUnfinishedOccurrence())]) {
    done.push_back(unfinished == 0);
  }
  m_remaining_chain = FindLongestChain(m_spec, done);
}

int64_t ActiveJob::GetLastRun() const {
  int64_t last = 0;
  for (const auto& steps : m_tasks) {
    for (const auto& tasks : steps) {
      for (const ActiveTask& task : tasks) {
        last = std::max(last, task.last_run);
      }
    }
  }
  return last;
}

JobProgress ActiveJob::MakeProgress() const {
  JobProgress progress;
  progress.state = m_state;
  progress.route = m_spec.route;
  if (IsTerminal(m_state)) {
    return progress;
  }
  for (const auto& steps : m_tasks) {
    auto& stored_steps = progress.tasks.emplace_back();
    for (const auto& tasks : steps) {
      auto& stored = stored_steps.emplace_back();
      for (const ActiveTask& task : tasks) {
        stored.push_back(task.progress);
      }
    }
  }
  return progress;
}

}  // namespace shallotwick::scheduling
