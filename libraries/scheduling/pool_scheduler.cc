#include "scheduling/pool_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace shallotwick::scheduling {
namespace {

// A long-running task is at work once it reports this share.
constexpr int kAtWorkPercent = 100;

// A step that names no budget is treated with the same care as one that allows
// a single task to be away.
int GetBudget(const StepSpec& step) {
  return std::max(1, step.disruption_budget);
}

}  // namespace

PoolScheduler::PoolScheduler(const PoolSchedulerOptions& options)
    : m_options(options) {}

void PoolScheduler::SetRoutes(std::map<std::string, RoutePolicy> routes) {
  m_routes = std::move(routes);
}

void PoolScheduler::AddJob(JobSpec spec, const JobProgress& progress,
                           bool predates_ownership) {
  const std::string id = spec.id;
  if (IsTerminal(progress.state) || HasJob(id)) {
    return;
  }
  m_jobs.emplace(id, ActiveJob(std::move(spec), progress, predates_ownership));
}

void PoolScheduler::CancelJob(const std::string& id) {
  ActiveJob* job = FindJob(id);
  if (job == nullptr) {
    return;
  }
  EndJob(*job, JobState::kCancelled);
  // Whoever cancelled the job has stored that already.
  m_dirty.erase(id);
  m_committing.erase(id);
  m_jobs.erase(id);
}

bool PoolScheduler::IsActive(const std::string& id) const {
  const auto found = m_jobs.find(id);
  return found != m_jobs.end() && !IsTerminal(found->second.m_state);
}

void PoolScheduler::ExpectTarget(const TargetEntry& entry,
                                 base::TimePoint now) {
  TargetLedger ledger(entry);
  ledger.m_is_registered = false;
  ledger.m_is_in_roster = true;
  ExtendLeaseBound(ledger, now);
  m_targets.emplace(entry.id, std::move(ledger));
}

void PoolScheduler::UpdateTarget(const TargetEntry& entry,
                                 base::TimePoint now) {
  auto [found, is_new] = m_targets.try_emplace(entry.id, entry);
  TargetLedger& target = found->second;
  if (is_new) {
    target.m_lease_bound = now;
    return;
  }
  const bool is_reborn = target.m_entry.born_ms > 0 &&
                         entry.born_ms > target.m_entry.born_ms &&
                         entry.born_ms > target.m_reported_born_ms;
  m_may_start_more = true;
  target.m_entry = entry;
  target.m_is_registered = true;
  if (is_reborn) {
    LoseRuns(target);
    ForgetIncarnation(target);
  }
}

void PoolScheduler::RemoveTarget(const std::string& id, base::TimePoint now) {
  TargetLedger* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  target->m_is_registered = false;
  const bool holds_nothing =
      target->GetRuns().empty() && target->m_lease_bound <= now &&
      target->m_processed_end == target->m_acknowledged_end;
  if (holds_nothing) {
    m_targets.erase(id);
  }
}

void PoolScheduler::OnTargetDead(const std::string& id) {
  TargetLedger* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  LoseRuns(*target);
  ForgetIncarnation(*target);
  target->m_lease_bound = base::TimePoint{};
  if (!target->m_is_registered) {
    m_targets.erase(id);
  }
}

std::vector<std::string> PoolScheduler::ListSilentTargets(
    base::TimePoint since) const {
  std::vector<std::string> silent;
  for (const auto& [id, target] : m_targets) {
    const bool is_silent = !target.m_is_fenced || !target.m_is_responsive;
    const bool may_run_something =
        !target.GetRuns().empty() || target.m_lease_bound > since;
    if (is_silent && may_run_something && target.m_last_heard < since) {
      silent.push_back(id);
    }
  }
  return silent;
}

std::map<std::string, std::string> PoolScheduler::GetRoster() const {
  std::map<std::string, std::string> roster;
  for (const auto& [id, target] : m_targets) {
    roster[id] = target.m_entry.address;
  }
  return roster;
}

void PoolScheduler::ConfirmRoster(
    const std::map<std::string, std::string>& roster) {
  for (auto& [id, target] : m_targets) {
    target.m_is_in_roster = roster.count(id) > 0;
  }
}

void PoolScheduler::ForgetIncarnation(TargetLedger& target) {
  TargetLedger fresh(target.m_entry);
  fresh.m_is_registered = target.m_is_registered;
  fresh.m_is_in_roster = target.m_is_in_roster;
  fresh.m_is_cordoned = target.m_is_cordoned;
  fresh.m_failure_streak = target.m_failure_streak;
  target = std::move(fresh);
}

void PoolScheduler::LoseRuns(TargetLedger& target) {
  std::vector<TaskName> names;
  for (const auto& [name, run] : target.GetRuns()) {
    names.push_back(name);
  }
  for (const TaskName& name : names) {
    Note("run-lost", name, target.GetRuns()[name].number, target.m_entry.id,
         "target ended");
    DropRun(target, name);
  }
}

void PoolScheduler::LoseExpiredTargets(base::TimePoint now) {
  std::vector<std::string> gone;
  for (auto& [id, target] : m_targets) {
    if (target.m_lease_bound > now) {
      continue;
    }
    if (!target.GetRuns().empty()) {
      LoseRuns(target);
    }
    if (!target.m_is_registered && m_reporting.count(id) == 0) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    m_targets.erase(id);
  }
}

void PoolScheduler::DropRun(TargetLedger& target, const TaskName& name) {
  const auto found = target.GetRuns().find(name);
  if (found == target.GetRuns().end()) {
    return;
  }
  const Run run = found->second;
  target.GetRuns().erase(found);
  m_stopping.erase({target.m_entry.id, name});
  ActiveTask* task = FindTask(name);
  if (task != nullptr && !run.checkpoint.empty() && !task->progress.done) {
    task->progress.checkpoint = run.checkpoint;
  }
  ReleaseTask(name, target.m_entry.id, run.number);
}

void PoolScheduler::ReleaseTask(const TaskName& name, const std::string& target,
                                int64_t run) {
  ActiveJob* job = FindJob(name.job);
  ActiveTask* task = job == nullptr ? nullptr : job->FindTask(name);
  if (task != nullptr && task->target == target && task->run == run) {
    job->ReleaseRun(*task);
  }
  m_may_start_more = true;
}

void PoolScheduler::RequestStop(TargetLedger& target, const TaskName& name) {
  const auto found = target.GetRuns().find(name);
  if (found == target.GetRuns().end()) {
    return;
  }
  if (found->second.state != RunState::kStopping) {
    found->second.state = RunState::kStopping;
    m_stopping.insert({target.m_entry.id, name});
  }
}

void PoolScheduler::MarkDirty(ActiveJob& job, bool urgent) {
  m_dirty.insert(job.GetSpec().id);
  m_has_urgent_change = m_has_urgent_change || urgent;
}

void PoolScheduler::MarkDone(ActiveJob& job, const TaskName& name) {
  ActiveTask* task = job.FindTask(name);
  if (!task->target.empty()) {
    TargetLedger* other = FindTarget(task->target);
    if (other != nullptr) {
      RequestStop(*other, name);
    }
  }
  job.MarkDone(name);
  m_may_start_more = true;
  MarkDirty(job, true);
  if (job.IsDone()) {
    EndJob(job, JobState::kCompleted);
  }
}

void PoolScheduler::EndJob(ActiveJob& job, JobState state) {
  job.m_state = state;
  MarkDirty(job, true);
  const JobSpec& spec = job.GetSpec();
  Note("job-ended", TaskName{spec.id, 0, 0, 0}, 0, "",
       state == JobState::kCompleted   ? "completed"
       : state == JobState::kCancelled ? "cancelled"
                                       : "attempts used up");
  for (int k = 0; k < spec.GetOccurrenceCount(); ++k) {
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      const auto& tasks = job.GetStep(k, step);
      for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
        const std::string& where = tasks[static_cast<size_t>(i)].target;
        TargetLedger* target = where.empty() ? nullptr : FindTarget(where);
        if (target != nullptr) {
          RequestStop(*target, TaskName{spec.id, k, step, i});
        }
      }
    }
  }
}

std::vector<ProgressChange> PoolScheduler::TakeChanges(size_t most) {
  std::vector<ProgressChange> batch;
  for (const std::string& id : m_dirty) {
    if (batch.size() >= most) {
      break;
    }
    batch.push_back(ProgressChange{id, m_jobs.at(id).MakeProgress()});
  }
  for (const ProgressChange& change : batch) {
    m_dirty.erase(change.job);
    m_committing.insert(change.job);
  }
  // With changes left over, an end among them could be forgotten too early.
  m_ends_in_batch.clear();
  if (m_dirty.empty()) {
    m_has_urgent_change = false;
    for (const auto& [id, target] : m_targets) {
      m_ends_in_batch[id] = target.m_processed_end;
    }
  }
  return batch;
}

void PoolScheduler::OnCommitted(const std::vector<ProgressChange>& batch) {
  for (const ProgressChange& change : batch) {
    m_committing.erase(change.job);
    if (IsTerminal(change.progress.state)) {
      m_dirty.erase(change.job);
      m_jobs.erase(change.job);
    }
  }
  for (const auto& [id, end] : m_ends_in_batch) {
    TargetLedger* target = FindTarget(id);
    // A new incarnation counts its ends anew.
    const bool is_new = target != nullptr && end <= target->m_processed_end &&
                        end > target->m_acknowledged_end;
    if (is_new) {
      target->m_acknowledged_end = end;
      target->m_has_unsent_acknowledgement = true;
    }
  }
  m_ends_in_batch.clear();
}

void PoolScheduler::OnCommitFailed(const std::vector<ProgressChange>& batch) {
  for (const ProgressChange& change : batch) {
    if (m_committing.erase(change.job) > 0 && HasJob(change.job)) {
      m_dirty.insert(change.job);
    }
  }
  m_has_urgent_change = m_has_urgent_change || !m_dirty.empty();
  m_ends_in_batch.clear();
}

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

int PoolScheduler::CountAway(const ActiveJob& job, int occurrence, int step,
                             const std::string& id) const {
  const JobSpec& spec = job.GetSpec();
  int present = 0;
  for (int i = 0; i < spec.steps[static_cast<size_t>(step)].count; ++i) {
    const TaskName name{spec.id, occurrence, step, i};
    for (const auto& [target_id, target] : m_targets) {
      const auto run = target.GetRuns().find(name);
      if (run == target.GetRuns().end()) {
        continue;
      }
      const bool is_at_work = run->second.state == RunState::kPresent &&
                              run->second.percent >= kAtWorkPercent &&
                              target.m_is_responsive && !target.m_is_leaving;
      if (target_id == id || is_at_work) {
        ++present;
        break;
      }
    }
  }
  return spec.steps[static_cast<size_t>(step)].count - present;
}

bool PoolScheduler::IsAccountedFor(const std::string& id) const {
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.m_is_fenced &&
         found->second.m_is_responsive;
}

bool PoolScheduler::CanInterrupt(const std::string& id) const {
  for (const auto& [key, names] : GroupLongRuns(id)) {
    const ActiveJob& job = m_jobs.at(std::get<0>(key));
    const auto step = std::get<2>(key);
    const int away = CountAway(job, std::get<1>(key), step, id);
    if (away + static_cast<int>(names.size()) >
        GetBudget(job.GetSpec().steps[static_cast<size_t>(step)])) {
      return false;
    }
  }
  return true;
}

void PoolScheduler::Evacuate(const std::string& id) {
  TargetLedger* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  for (const auto& [key, names] : GroupLongRuns(id)) {
    const ActiveJob& job = m_jobs.at(std::get<0>(key));
    const auto step = std::get<2>(key);
    int stopping = 0;
    for (const TaskName& name : names) {
      const Run& run = target->GetRuns().at(name);
      stopping +=
          run.state != RunState::kPresent || run.percent < kAtWorkPercent ? 1
                                                                          : 0;
    }
    int left = GetBudget(job.GetSpec().steps[static_cast<size_t>(step)]) -
               CountAway(job, std::get<1>(key), step, id) - stopping;
    for (const TaskName& name : names) {
      const bool is_at_work =
          target->GetRuns().at(name).state == RunState::kPresent;
      if (left > 0 && is_at_work) {
        Note("run-moved", name, target->GetRuns().at(name).number, id,
             "maintenance of the host");
        RequestStop(*target, name);
        --left;
      }
    }
  }
}

std::map<std::tuple<std::string, int, int>, std::vector<TaskName>>
PoolScheduler::GroupLongRuns(const std::string& id) const {
  std::map<std::tuple<std::string, int, int>, std::vector<TaskName>> groups;
  const auto found = m_targets.find(id);
  if (found == m_targets.end()) {
    return groups;
  }
  for (const auto& [name, run] : found->second.GetRuns()) {
    const auto job = m_jobs.find(name.job);
    const bool is_long =
        job != m_jobs.end() && job->second.GetSpec()
                                   .steps[static_cast<size_t>(name.step)]
                                   .long_running;
    if (is_long) {
      groups[{name.job, name.occurrence, name.step}].push_back(name);
    }
  }
  return groups;
}

size_t PoolScheduler::CountRuns(const std::string& id) const {
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? 0 : found->second.GetRuns().size();
}

hosts::PoolLoad PoolScheduler::EstimateLoad(base::TimePoint now,
                                            int64_t wall_ms) const {
  constexpr double kMilliPerCore = 1'000;
  hosts::PoolLoad load;
  for (const auto& [id, job] : m_jobs) {
    const JobSpec& spec = job.GetSpec();
    const int k = job.GetFirstOpenOccurrence();
    const bool is_timely = Rank(job, wall_ms).IsTimely();
    const RunTimeCorrection correction = m_run_times.GetCorrection(spec.route);
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      const StepSpec& shape = spec.steps[static_cast<size_t>(step)];
      const int open = IsTerminal(job.m_state) ? 0 : job.CountOpen(k, step);
      if (open == 0 || shape.best_effort) {
        continue;
      }
      const double cores =
          static_cast<double>(shape.demand.cpu_milli) / kMilliPerCore;
      if (shape.long_running) {
        const int per_target =
            shape.most_per_target > 0 ? shape.most_per_target : shape.count;
        load.least_hosts = std::max(
            load.least_hosts, (shape.count + per_target - 1) / per_target);
      } else {
        const double work =
            open * cores *
            correction.Apply(static_cast<double>(shape.estimate_ms)) /
            kMilliPerCore;
        load.open_core_seconds += work;
        load.timely_core_seconds += is_timely ? work : 0;
      }
      if (job.IsStepReady(k, step)) {
        load.waiting_cores += open * cores;
        load.timely_waiting_cores += is_timely ? open * cores : 0;
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
        load.running_cores +=
            static_cast<double>(run.demand.cpu_milli) / kMilliPerCore;
      }
    }
  }
  // Ready tasks that run already were counted among both.
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
    const auto job = m_jobs.find(name.job);
    const bool is_long =
        job != m_jobs.end() && job->second.GetSpec()
                                   .steps[static_cast<size_t>(name.step)]
                                   .long_running;
    count += is_long ? 0 : 1;
  }
  return count;
}

TargetLedger* PoolScheduler::FindTarget(const std::string& id) {
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? nullptr : &found->second;
}

ActiveJob* PoolScheduler::FindJob(const std::string& id) {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : &found->second;
}

ActiveTask* PoolScheduler::FindTask(const TaskName& name) {
  ActiveJob* job = FindJob(name.job);
  return job == nullptr ? nullptr : job->FindTask(name);
}

void PoolScheduler::Note(const char* what, const TaskName& task, int64_t run,
                         const std::string& target, const char* reason) const {
  if (m_on_note) {
    m_on_note(SchedulingNote{what, task, run, target, reason});
  }
}

}  // namespace shallotwick::scheduling
