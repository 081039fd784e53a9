// Logging of why long-running tasks wait.

#include <algorithm>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

constexpr auto kWaitCheckPeriod = std::chrono::milliseconds(200);

}  // namespace

void PoolScheduler::LogWaitingTasks(base::TimePoint now, int64_t wall_ms) {
  if (!m_on_decision || now < m_last_wait_check + kWaitCheckPeriod) {
    return;
  }
  m_last_wait_check = now;
  const std::vector<Candidate> candidates = MakeCandidates(now);
  std::map<TaskName, TaskWait> waits;
  for (auto& [id, job] : m_jobs) {
    if (IsTerminal(job.m_state) || !job.HasLongRunningStep() ||
        job.CountUnassigned() == 0) {
      continue;
    }
    const JobSpec& spec = job.GetSpec();
    for (int k = 0; k < spec.GetOccurrenceCount(); ++k) {
      if (spec.occurrences > 0 && job.GetDueMs(k) > wall_ms) {
        break;
      }
      for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
        const std::vector<int> waiting = ListWaitingTasks(job, {k, step});
        if (spec.steps[static_cast<size_t>(step)].long_running &&
            !waiting.empty() && job.IsStepReady(k, step)) {
          waits[{id, k, step, 0}] =
              ExplainWait(job, {id, k, step, waiting.front()}, candidates, now);
        }
      }
    }
  }
  for (const TaskWait& wait : m_wait_log.Update(waits, now)) {
    LogDecision("task-waits", wait.task, 0, wait.target, wait.reason);
  }
}

TaskWait PoolScheduler::ExplainWait(ActiveJob& job, const TaskName& name,
                                    const std::vector<Candidate>& candidates,
                                    base::TimePoint now) const {
  const TargetLedger* unknown =
      job.m_predates_ownership ? FindTargetPendingToken(now) : nullptr;
  if (unknown != nullptr) {
    return {name, unknown->m_entry.id,
            "runs of a former owner are not known there"};
  }
  if (now < job.m_not_before) {
    return {name, "", "back-off after a refused start"};
  }
  if (!FitsLeaseLimit(job, name.step, now)) {
    return {name, "", "session too short for a lease"};
  }
  if (candidates.empty()) {
    return {name, "", "no target can be used"};
  }
  const StepPosition position{name.occurrence, name.step};
  PlacementRequest request = MakePlacementRequest(job, position);
  if (!PlaceTask(request, candidates)) {
    return {name, "", "no room on the targets that can be used"};
  }
  request.excluded = FindStoppingTargets(name);
  if (!PlaceTask(request, candidates)) {
    return {name, *request.excluded.begin(), "an earlier run is stopped there"};
  }
  const size_t step_size = job.GetStep(name.occurrence, name.step).size();
  if (request.step->gang &&
      ListWaitingTasks(job, position).size() < step_size) {
    return {name, "", "runs of its gang have not ended"};
  }
  return {name, "", "the pass ended before its turn"};
}

}  // namespace shallotwick::scheduling
