// Logging of why tasks wait.

#include <algorithm>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

constexpr auto kWaitCheckPeriod = std::chrono::milliseconds(200);
// A job of which nothing runs for longer is logged, unless the targets are
// full.
constexpr auto kMaxIdleTime = std::chrono::milliseconds(3'000);
// Bounds the time of a check.
constexpr size_t kMaxIdleJobs = 20;
constexpr const char* kNoRoom = "no room on the targets that can be used";

bool HasAssignedTask(const ActiveJob& job) {
  int unfinished = 0;
  for (int step = 0; step < static_cast<int>(job.GetSpec().steps.size());
       ++step) {
    unfinished += job.CountUnfinished(0, step);
  }
  return job.CountUnassigned() < unfinished;
}

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
  AddIdleJobs(candidates, now, waits);
  for (const TaskWait& wait : m_wait_log.Update(waits, now)) {
    LogDecision("task-waits", wait.task, 0, wait.target, wait.reason);
  }
}

void PoolScheduler::AddIdleJobs(const std::vector<Candidate>& candidates,
                                base::TimePoint now,
                                std::map<TaskName, TaskWait>& waits) {
  std::map<std::string, base::TimePoint> idle_since;
  size_t explained = 0;
  const bool is_half_idle = IsHalfIdle();
  for (auto& [id, job] : m_jobs) {
    const bool may_run = !IsTerminal(job.m_state) &&
                         !job.HasLongRunningStep() &&
                         job.GetSpec().occurrences == 0;
    if (!may_run || HasAssignedTask(job)) {
      continue;
    }
    const auto known = m_idle_since.find(id);
    const auto since = known == m_idle_since.end() ? now : known->second;
    idle_since[id] = since;
    if (now < since + kMaxIdleTime || explained == kMaxIdleJobs) {
      continue;
    }
    for (int step = 0; step < static_cast<int>(job.GetSpec().steps.size());
         ++step) {
      const std::vector<int> waiting = ListWaitingTasks(job, {0, step});
      if (waiting.empty() || !job.IsStepReady(0, step)) {
        continue;
      }
      // One line says it all.
      if (job.m_is_misfit_logged &&
          !m_pool_fit.CouldRun(
              job.GetSpec().steps[static_cast<size_t>(step)])) {
        break;
      }
      ++explained;
      const TaskWait wait =
          ExplainWait(job, {id, 0, step, waiting.front()}, candidates, now);
      const bool is_allowed =
          wait.reason == kNoRoom || (wait.is_without_room && !is_half_idle);
      if (!is_allowed) {
        waits[{id, 0, step, 0}] = wait;
      }
      break;
    }
  }
  m_idle_since = std::move(idle_since);
}

bool PoolScheduler::IsHalfIdle() const {
  int64_t free_cpu_milli = 0;
  int64_t cpu_milli = 0;
  for (const auto& [id, target] : m_targets) {
    if (target.m_is_registered) {
      free_cpu_milli += target.GetFreeCapacity().cpu_milli;
      cpu_milli += target.m_entry.capacity.cpu_milli;
    }
  }
  return 2 * free_cpu_milli >= cpu_milli;
}

TaskWait PoolScheduler::ExplainNoRoom(const TaskName& name,
                                      const PlacementRequest& request,
                                      const std::vector<Candidate>& candidates,
                                      base::TimePoint now) const {
  for (const auto& [id, target] : m_targets) {
    const char* reason = target.m_is_cordoned ? "room only on a cordoned target"
                                              : ExplainUnusable(target, now);
    Candidate candidate = MakeCandidate(target, now);
    candidate.is_cordoned = false;
    // A target without an entry may be gone.
    if (reason != nullptr && target.m_is_registered &&
        PlaceTask(request, {candidate})) {
      return {name, id, reason, true};
    }
  }
  const bool is_any_usable =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const Candidate& each) { return !each.is_cordoned; });
  return {name, "", is_any_usable ? kNoRoom : "no target can be used", true};
}

TaskWait PoolScheduler::ExplainWait(ActiveJob& job, const TaskName& name,
                                    const std::vector<Candidate>& candidates,
                                    base::TimePoint now) const {
  if (!candidates.empty() &&
      !m_pool_fit.CouldRun(
          job.GetSpec().steps[static_cast<size_t>(name.step)])) {
    return {name, "", kFitsNowhere};
  }
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
  const StepPosition position{name.occurrence, name.step};
  PlacementRequest request = MakePlacementRequest(job, position);
  if (!m_customer_budget.Allows(job.m_customer, request.step->demand, 1)) {
    return {name, "", "its customer's limit is in use"};
  }
  if (!PlaceTask(request, candidates)) {
    return ExplainNoRoom(name, request, candidates, now);
  }
  request.excluded = m_stops.FindTargets(name);
  if (!PlaceTask(request, candidates)) {
    return {name, *request.excluded.begin(), "an earlier run is stopped there"};
  }
  const size_t step_size = job.GetStep(name.occurrence, name.step).size();
  if (request.step->gang &&
      ListWaitingTasks(job, position).size() < step_size) {
    return {name, "", "runs of its gang have not ended"};
  }
  if (m_start_window.HoldsBack()) {
    return {name, "", "starts are limited"};
  }
  return {name, "", "the pass ended before its turn"};
}

}  // namespace shallotwick::scheduling
