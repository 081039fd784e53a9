#include "scheduling/failure_evidence.h"

#include <algorithm>

namespace shallotwick::scheduling {
namespace {

// More say nothing new about a target.
constexpr size_t kMaxFailuresPerTarget = 32;

}  // namespace

FailureEvidence::Affected FailureEvidence::OnFailed(const std::string& target,
                                                    const TaskName& task,
                                                    int weight, bool has_done) {
  StepRecord& record = m_steps[GetStep(task)];
  record.has_done = record.has_done || has_done;
  record.failed_on[task].insert(target);
  record.targets.insert(target);
  std::vector<Failure>& failures = m_targets[target];
  if (failures.size() == kMaxFailuresPerTarget) {
    failures.erase(failures.begin());
  }
  failures.push_back({task, weight, false});
  return record.targets;
}

FailureEvidence::Affected FailureEvidence::OnDone(
    const std::string& target, const std::vector<TaskName>& tasks) {
  Affected affected;
  if (m_targets.erase(target) > 0) {
    affected.insert(target);
  }
  const auto step = m_steps.find(GetStep(tasks.front()));
  if (step == m_steps.end()) {
    return affected;
  }
  StepRecord& record = step->second;
  record.has_done = true;
  affected.insert(record.targets.begin(), record.targets.end());
  for (const TaskName& task : tasks) {
    const auto failed_on = record.failed_on.find(task);
    if (failed_on == record.failed_on.end()) {
      continue;
    }
    for (const std::string& other : failed_on->second) {
      const auto failures = m_targets.find(other);
      if (failures == m_targets.end()) {
        continue;
      }
      for (Failure& failure : failures->second) {
        failure.is_done_elsewhere |= failure.task == task;
      }
    }
    record.failed_on.erase(failed_on);
  }
  return affected;
}

FailureEvidence::Affected FailureEvidence::OnJobEnded(const std::string& job) {
  Affected affected;
  auto step = m_steps.lower_bound({job, 0});
  while (step != m_steps.end() && step->first.first == job) {
    for (const std::string& target : step->second.targets) {
      const auto failures = m_targets.find(target);
      if (failures == m_targets.end()) {
        continue;
      }
      affected.insert(target);
      std::erase_if(failures->second, [&job](const Failure& failure) {
        return failure.task.job == job && !failure.is_done_elsewhere;
      });
      if (failures->second.empty()) {
        m_targets.erase(failures);
      }
    }
    step = m_steps.erase(step);
  }
  return affected;
}

// A task that fails on one target may have met a bad one, and so may several
// tasks while none of them is done.
bool FailureEvidence::IsOwnFault(const StepRecord& record) {
  const bool has_repeated =
      std::any_of(record.failed_on.begin(), record.failed_on.end(),
                  [](const auto& entry) { return entry.second.size() > 1; });
  return has_repeated || (!record.has_done && record.targets.size() > 1);
}

bool FailureEvidence::IsOwnFault(const std::string& job, int step) const {
  const auto found = m_steps.find({job, step});
  return found != m_steps.end() && IsOwnFault(found->second);
}

bool FailureEvidence::IsFailing(const std::string& job) const {
  if (m_steps.empty()) {
    return false;
  }
  for (auto step = m_steps.lower_bound({job, 0});
       step != m_steps.end() && step->first.first == job; ++step) {
    if (IsOwnFault(step->second)) {
      return true;
    }
  }
  return false;
}

int FailureEvidence::CountPoints(const std::string& target) const {
  const auto failures = m_targets.find(target);
  if (failures == m_targets.end()) {
    return 0;
  }
  int points = 0;
  std::map<std::string, int> unexplained;
  for (const Failure& failure : failures->second) {
    if (failure.is_done_elsewhere) {
      points += failure.weight;
    } else if (!IsOwnFault(failure.task.job, failure.task.step)) {
      int& known = unexplained[failure.task.job];
      known = std::max(known, failure.weight);
    }
  }
  for (const auto& [job, weight] : unexplained) {
    points += weight;
  }
  return points;
}

}  // namespace shallotwick::scheduling
