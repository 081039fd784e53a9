#include "scheduling/pool_scheduler.h"

#include <algorithm>
#include <utility>

namespace shallotwick::scheduling {

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
  m_changes.Forget(id);
  m_jobs.erase(id);
}

std::map<std::string, int64_t> PoolScheduler::CountQueuedByRoute() const {
  std::map<std::string, int64_t> queued;
  for (const auto& [id, job] : m_jobs) {
    if (job.m_state == JobState::kQueued) {
      ++queued[job.GetSpec().route];
    }
  }
  return queued;
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
  ledger.m_generation = ++m_generations;
  ExtendLeaseBound(ledger, now);
  m_targets.emplace(entry.id, std::move(ledger));
}

void PoolScheduler::UpdateTarget(const TargetEntry& entry,
                                 base::TimePoint now) {
  auto [found, is_new] = m_targets.try_emplace(entry.id, entry);
  TargetLedger& target = found->second;
  if (is_new) {
    target.m_lease_bound = now;
    target.m_generation = ++m_generations;
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
  fresh.m_generation = ++m_generations;
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
  m_changes.Mark(job.GetSpec().id, false);
  m_has_urgent_change = true;
  if (job.IsDone()) {
    EndJob(job, JobState::kCompleted);
  }
}

void PoolScheduler::EndJob(ActiveJob& job, JobState state) {
  job.m_state = state;
  m_changes.Mark(job.GetSpec().id, true);
  m_has_urgent_change = true;
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
  for (const std::string& id : m_changes.Take(most)) {
    batch.push_back(ProgressChange{id, m_jobs.at(id).MakeProgress()});
  }
  if (m_changes.IsEmpty()) {
    m_has_urgent_change = false;
  }
  return batch;
}

void PoolScheduler::OnCommitted(const std::vector<ProgressChange>& batch) {
  std::vector<std::string> stored;
  for (const ProgressChange& change : batch) {
    stored.push_back(change.job);
  }
  m_changes.OnStored(stored);
  for (const ProgressChange& change : batch) {
    if (IsTerminal(change.progress.state)) {
      m_changes.Forget(change.job);
      m_jobs.erase(change.job);
    }
  }
  AcknowledgeStoredEnds();
}

void PoolScheduler::OnCommitFailed(const std::vector<ProgressChange>& batch) {
  std::vector<std::string> failed;
  for (const ProgressChange& change : batch) {
    failed.push_back(change.job);
  }
  m_changes.OnFailed(failed);
  m_has_urgent_change = m_has_urgent_change || !m_changes.IsEmpty();
}

void PoolScheduler::AcknowledgeStoredEnds() {
  for (const NotedEnd& end : m_changes.TakeStoredEnds()) {
    TargetLedger* target = FindTarget(end.target);
    const bool is_new = target != nullptr &&
                        target->m_generation == end.generation &&
                        end.number > target->m_acknowledged_end;
    if (is_new) {
      target->m_acknowledged_end = end.number;
      target->m_has_unsent_acknowledgement = true;
    }
  }
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
