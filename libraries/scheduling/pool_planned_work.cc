// Support for planned work on hosts: whether the runs on a target may be
// interrupted, and the load that the pool's jobs create.

#include <algorithm>
#include <tuple>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

// A long-running task is ready once it reports this percentage.
constexpr int kReadyPercent = 100;

// A step without a disruption budget is treated as if it had a budget of one
// task.
int GetDisruptionBudget(const StepSpec& step) {
  return std::max(1, step.disruption_budget);
}

}  // namespace

void PoolScheduler::SetCordoned(const std::string& id, bool cordoned) {
  TargetLedger* target = FindTarget(id);
  if (target != nullptr) {
    target->m_is_cordoned = cordoned;
    m_may_start_more = true;
  }
}

void PoolScheduler::SetLeaving(const std::string& id, bool leaving) {
  TargetLedger* target = FindTarget(id);
  if (target != nullptr) {
    target->m_is_leaving = leaving;
  }
}

int PoolScheduler::CountUnavailable(const ActiveJob& job, int occurrence,
                                    int step, const std::string& id) const {
  const JobSpec& spec = job.GetSpec();
  int present = 0;
  for (int i = 0; i < spec.steps[static_cast<size_t>(step)].count; ++i) {
    const TaskName name{spec.id, occurrence, step, i};
    for (const auto& [target_id, target] : m_targets) {
      const auto run = target.GetRuns().find(name);
      if (run == target.GetRuns().end()) {
        continue;
      }
      const bool is_ready = run->second.state == RunState::kPresent &&
                            run->second.percent >= kReadyPercent &&
                            target.m_is_responsive && !target.m_is_leaving;
      if (target_id == id || is_ready) {
        ++present;
        break;
      }
    }
  }
  return spec.steps[static_cast<size_t>(step)].count - present;
}

bool PoolScheduler::AreRunsKnown(const std::string& id) const {
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.m_has_accepted_token &&
         found->second.m_is_responsive;
}

bool PoolScheduler::AreCompletionsStored(const std::string& id) const {
  const auto found = m_targets.find(id);
  return found == m_targets.end() ||
         found->second.m_processed_completion <=
             found->second.m_acknowledged_completion;
}

bool PoolScheduler::CanInterrupt(const std::string& id) const {
  for (const auto& [key, names] : GroupLongRunningRuns(id)) {
    const ActiveJob& job = m_jobs.at(std::get<0>(key));
    const auto step = std::get<2>(key);
    const int unavailable = CountUnavailable(job, std::get<1>(key), step, id);
    if (unavailable + static_cast<int>(names.size()) >
        GetDisruptionBudget(job.GetSpec().steps[static_cast<size_t>(step)])) {
      return false;
    }
  }
  return true;
}

void PoolScheduler::Evacuate(const std::string& id, base::TimePoint now) {
  TargetLedger* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  std::vector<Candidate> candidates = MakeCandidates(now);
  std::erase_if(candidates, [](const Candidate& candidate) {
    return candidate.is_cordoned;
  });
  for (const auto& [key, names] : GroupLongRunningRuns(id)) {
    ActiveJob& job = m_jobs.at(std::get<0>(key));
    const auto step = std::get<2>(key);
    int stopping = 0;
    for (const TaskName& name : names) {
      const Run& run = target->GetRuns().at(name);
      stopping += run.state != RunState::kPresent || run.percent < kReadyPercent
                      ? 1
                      : 0;
    }
    int left =
        GetDisruptionBudget(job.GetSpec().steps[static_cast<size_t>(step)]) -
        CountUnavailable(job, std::get<1>(key), step, id) - stopping;
    PlacementRequest request =
        MakePlacementRequest(job, {std::get<1>(key), step});
    for (const TaskName& name : names) {
      const bool is_ready =
          target->GetRuns().at(name).state == RunState::kPresent;
      if (left <= 0 || !is_ready) {
        continue;
      }
      const auto place = PlaceTask(request, candidates);
      if (!place) {
        break;
      }
      Candidate& chosen = candidates[*place];
      chosen.room =
          chosen.room -
          GetReservedResources(request.step->demand, request.step->best_effort);
      ++request.sibling_counts[chosen.id];
      LogDecision("run-moved", name, target->GetRuns().at(name).number, id,
                  "host maintenance");
      RequestStop(*target, name);
      --left;
    }
  }
}

// A run of an unknown job counts as short-running.
bool PoolScheduler::IsLongRunning(const TaskName& name) const {
  const auto job = m_jobs.find(name.job);
  return job != m_jobs.end() && job->second.GetSpec()
                                    .steps[static_cast<size_t>(name.step)]
                                    .long_running;
}

std::map<std::tuple<std::string, int, int>, std::vector<TaskName>>
PoolScheduler::GroupLongRunningRuns(const std::string& id) const {
  std::map<std::tuple<std::string, int, int>, std::vector<TaskName>> groups;
  const auto found = m_targets.find(id);
  if (found == m_targets.end()) {
    return groups;
  }
  for (const auto& [name, run] : found->second.GetRuns()) {
    if (IsLongRunning(name)) {
      groups[{name.job, name.occurrence, name.step}].push_back(name);
    }
  }
  return groups;
}

size_t PoolScheduler::CountRuns(const std::string& id) const {
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? 0 : found->second.GetRuns().size();
}

bool PoolScheduler::CouldRun(const StepSpec& step) const {
  return m_fleet_fit.CouldRun(step) ||
         (m_pool_fit.HasTargets() && m_pool_fit.CouldRun(step));
}

double PoolScheduler::PredictCoreSeconds(const JobSpec& job) const {
  JobSpec possible = job;
  for (StepSpec& step : possible.steps) {
    step.best_effort = step.best_effort || !CouldRun(step);
  }
  return EstimateCoreSeconds(possible, m_run_times.GetCorrection(job.route));
}

hosts::PoolLoad PoolScheduler::EstimateLoad(base::TimePoint now,
                                            int64_t wall_ms) const {
  constexpr double kMilliPerCore = 1'000;
  hosts::PoolLoad load;
  for (const auto& [id, job] : m_jobs) {
    const JobSpec& spec = job.GetSpec();
    const int k = job.GetFirstUnfinishedOccurrence();
    const RunTimeCorrection correction = m_run_times.GetCorrection(spec.route);
    const bool is_on_schedule = Rank(job, correction, wall_ms).IsOnSchedule();
    int open_tasks = 0;
    int ready_tasks = 0;
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      open_tasks += job.CountUnfinished(k, step);
      ready_tasks +=
          job.IsStepReady(k, step) ? job.CountUnfinished(k, step) : 0;
    }
    // Only tasks of ready steps run, and a running task is half done on
    // average.
    const double running_share =
        ready_tasks == 0
            ? 0
            : std::clamp(
                  static_cast<double>(open_tasks - job.CountUnassigned()) /
                      ready_tasks,
                  0.0, 1.0);
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      const StepSpec& step_spec = spec.steps[static_cast<size_t>(step)];
      const int open =
          IsTerminal(job.m_state) ? 0 : job.CountUnfinished(k, step);
      if (open == 0 || step_spec.best_effort || !CouldRun(step_spec)) {
        continue;
      }
      const double cores =
          static_cast<double>(step_spec.demand.cpu_milli) / kMilliPerCore;
      if (step_spec.long_running) {
        const int per_target = step_spec.most_per_target > 0
                                   ? step_spec.most_per_target
                                   : step_spec.count;
        load.min_hosts = std::max(
            load.min_hosts, (step_spec.count + per_target - 1) / per_target);
        load.long_running_cores += open * cores;
      } else {
        const double left =
            job.IsStepReady(k, step) ? 1 - running_share / 2 : 1;
        const double work =
            left * open * cores *
            correction.Apply(static_cast<double>(step_spec.estimate_ms)) /
            kMilliPerCore;
        load.remaining_core_seconds += work;
        load.on_schedule_core_seconds += is_on_schedule ? work : 0;
      }
      if (job.IsStepReady(k, step)) {
        load.waiting_cores += open * cores;
        load.on_schedule_waiting_cores += is_on_schedule ? open * cores : 0;
      }
    }
  }
  for (const auto& [id, target] : m_targets) {
    if (IsUsable(target, now)) {
      load.usable_cores +=
          static_cast<double>(target.GetEntry().capacity.cpu_milli) /
          kMilliPerCore;
    }
    for (const auto& [name, run] : target.GetRuns()) {
      if (!run.best_effort) {
        const double cores =
            static_cast<double>(run.demand.cpu_milli) / kMilliPerCore;
        load.running_cores += cores;
        load.short_running_cores += IsLongRunning(name) ? 0 : cores;
      }
    }
  }
  // Running tasks were counted both as waiting and as running.
  load.waiting_cores = std::max(0.0, load.waiting_cores - load.running_cores);
  return load;
}

size_t PoolScheduler::CountShortRuns(const std::string& id) const {
  const auto found = m_targets.find(id);
  if (found == m_targets.end()) {
    return 0;
  }
  size_t count = 0;
  for (const auto& [name, run] : found->second.GetRuns()) {
    count += IsLongRunning(name) ? 0 : 1;
  }
  return count;
}

}  // namespace shallotwick::scheduling
