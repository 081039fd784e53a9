#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/job.h"

namespace shallotwick::scheduling {

// Tells failures that are a target's fault from those that are a job's. A
// target is to blame for work that does well elsewhere, and for failures of
// several jobs; a job for runs that fail on several targets.
class FailureEvidence {
 public:
  // The targets whose points may have changed.
  using Affected = std::set<std::string>;

  // A run has failed. `weight`: the points of this kind of failure. `has_done`:
  // whether a task of the step is done.
  Affected OnFailed(const std::string& target, const TaskName& task, int weight,
                    bool has_done);
  // A run on the target has done the task, or all tasks of a gang.
  Affected OnDone(const std::string& target,
                  const std::vector<TaskName>& tasks);
  // Failures that were not explained by then are no evidence.
  Affected OnJobEnded(const std::string& job);
  void RemoveTarget(const std::string& target) { m_targets.erase(target); }

  // Returns whether runs of the step fail by the job's own fault.
  bool IsOwnFault(const std::string& job, int step) const;
  bool IsFailing(const std::string& job) const;
  // Returns how much speaks against the target since it last did a task: the
  // points of each failure of work that was done elsewhere since, and once for
  // each job whose failures nothing explains.
  int CountPoints(const std::string& target) const;

 private:
  using StepKey = std::pair<std::string, int>;

  struct StepRecord {
    // The targets of the failed runs of tasks that are not done since.
    std::map<TaskName, std::set<std::string>> failed_on;
    std::set<std::string> targets;
    bool has_done = false;
  };
  struct Failure {
    TaskName task;
    int weight = 1;
    bool is_done_elsewhere = false;
  };

  static StepKey GetStep(const TaskName& task) { return {task.job, task.step}; }
  static bool IsOwnFault(const StepRecord& record);

  std::map<StepKey, StepRecord> m_steps;
  // Failures on each target since it last did a task.
  std::map<std::string, std::vector<Failure>> m_targets;
};

}  // namespace shallotwick::scheduling
