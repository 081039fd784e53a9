#include "scheduling/pool_scheduler.h"

#include <algorithm>
#include <utility>

namespace shallotwick::scheduling {

PoolScheduler::PoolScheduler(const PoolSchedulerOptions& options)
    : m_options(options), m_first_fence(options.first_fence) {}

void PoolScheduler::SetRoutes(std::map<std::string, RoutePolicy> routes) {
  m_routes = std::move(routes);
}

void PoolScheduler::AddJob(JobSpec spec, const JobProgress& progress,
                           bool predates_ownership) {
  const std::string id = spec.id;
  if (IsTerminal(progress.state) || HasJob(id)) {
    return;
  }
  const int customer = m_customer_budget.GetNumber(spec.customer);
  ActiveJob job(std::move(spec), progress, predates_ownership);
  job.m_customer = customer;
  if (customer != CustomerBudget::kNobody) {
    m_uncounted_jobs.push_back(id);
  }
  m_jobs.emplace(id, std::move(job));
}

void PoolScheduler::CancelJob(const std::string& id) {
  ActiveJob* job = FindJob(id);
  if (job == nullptr) {
    return;
  }
  EndJob(*job, JobState::kCancelled);
  // The process that cancelled the job has already stored that state.
  m_changes.Remove(id);
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

std::optional<JobState> PoolScheduler::FindState(const std::string& id) const {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return std::nullopt;
  }
  return found->second.m_state;
}

void PoolScheduler::AddRosterTarget(const TargetEntry& entry,
                                    base::TimePoint now,
                                    bool may_have_restarted) {
  TargetLedger ledger(entry);
  ledger.m_is_registered = false;
  ledger.m_is_in_roster = true;
  ledger.m_fence = m_first_fence;
  ledger.m_required_fence = m_first_fence;
  ledger.m_generation = ++m_last_generation;
  // The lease may have been granted for the clock of the incarnation before.
  ledger.ExtendLeaseBound(GetLeaseBound(
      may_have_restarted ? m_options.max_lease : m_options.lease, now));
  m_targets.emplace(entry.id, std::move(ledger));
}

void PoolScheduler::UpdateTarget(const TargetEntry& entry,
                                 base::TimePoint now) {
  auto [found, is_new] = m_targets.try_emplace(entry.id, entry);
  TargetLedger& target = found->second;
  m_has_pool_changed = m_has_pool_changed || is_new ||
                       !target.m_is_registered ||
                       target.m_entry.capacity != entry.capacity ||
                       target.m_entry.labels != entry.labels;
  if (is_new) {
    target.ExtendLeaseBound(now);
    target.m_fence = m_first_fence;
    target.m_required_fence = m_first_fence;
    target.m_generation = ++m_last_generation;
    return;
  }
  const bool is_restarted =
      target.m_reported_born_ms != 0 && entry.incarnation_started_ms != 0 &&
      entry.incarnation_started_ms != target.m_reported_born_ms &&
      entry.incarnation_started_ms != target.m_entry.incarnation_started_ms;
  const bool has_moved = !target.m_entry.address.empty() &&
                         entry.address != target.m_entry.address;
  m_may_start_more = true;
  target.m_entry = entry;
  target.m_is_registered = true;
  // The new incarnation may have executed orders that were meant for the
  // previous one; only its own report tells which runs it has.
  if (is_restarted || has_moved) {
    LogDecision("target-restarted", {}, 0, entry.id, "shown by the registry");
    RequireNewReport(target);
  }
}

void PoolScheduler::RemoveTarget(const std::string& id, base::TimePoint now) {
  TargetLedger* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  target->m_is_registered = false;
  m_has_pool_changed = true;
  // A report in flight would count for an entry that returns under this id.
  const bool is_unused =
      target->GetRuns().empty() && target->GetLeaseBound() <= now &&
      m_reports_in_flight.count(id) == 0 &&
      target->m_processed_completion == target->m_acknowledged_completion;
  if (is_unused) {
    EraseTarget(id);
  }
}

void PoolScheduler::OnTargetEnded(const std::string& id, const char* reason) {
  TargetLedger* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  TargetEnd end = MakeTargetEnd(*target, reason);
  DropLostRuns(*target, reason);
  ResetIncarnation(*target);
  target->CopyLeaseBounds(TargetLedger(target->m_entry));
  RequireNewReport(*target);
  end.since_fence = target->m_fence;
  m_ended_targets.Add(std::move(end));
  if (!target->m_is_registered) {
    EraseTarget(id);
  }
}

std::vector<std::string> PoolScheduler::ListUnresponsiveTargets(
    base::TimePoint since) const {
  std::vector<std::string> unresponsive;
  for (const auto& [id, target] : m_targets) {
    const bool is_unresponsive =
        !target.m_has_accepted_token || !target.m_is_responsive;
    const bool may_have_runs =
        !target.GetRuns().empty() || target.GetLeaseBound() > since;
    if (is_unresponsive && may_have_runs &&
        target.m_last_report_received < since) {
      unresponsive.push_back(id);
    }
  }
  return unresponsive;
}

std::map<std::string, std::string> PoolScheduler::GetRoster() const {
  std::map<std::string, std::string> roster;
  for (const auto& [id, target] : m_targets) {
    // Tasks start only on targets that have answered this owner.
    if (target.m_has_answered_owner || target.m_is_in_roster) {
      roster[id] = target.m_entry.address;
    }
  }
  return roster;
}

void PoolScheduler::ConfirmRoster(
    const std::map<std::string, std::string>& roster) {
  for (auto& [id, target] : m_targets) {
    target.m_is_in_roster = roster.count(id) > 0;
  }
}

bool PoolScheduler::NeedsRoster() const {
  return std::any_of(m_targets.begin(), m_targets.end(), [](const auto& entry) {
    return entry.second.m_has_answered_owner && !entry.second.m_is_in_roster;
  });
}

void PoolScheduler::ResetIncarnation(TargetLedger& target) {
  TargetLedger reset(target.m_entry);
  reset.m_is_registered = target.m_is_registered;
  reset.m_is_in_roster = target.m_is_in_roster;
  reset.m_is_cordoned = target.m_is_cordoned;
  reset.m_is_leaving = target.m_is_leaving;
  reset.CopyLeaseBounds(target);
  reset.m_has_answered_owner = target.m_has_answered_owner;
  reset.m_fence = target.m_fence;
  reset.m_watched_until = target.m_watched_until;
  reset.m_required_fence = target.m_required_fence;
  reset.m_failure_points = target.m_failure_points;
  reset.m_generation = ++m_last_generation;
  target = std::move(reset);
}

void PoolScheduler::RestartIncarnation(TargetLedger& target) {
  constexpr char kReason[] = "a report is from a new incarnation";
  TargetEnd end = MakeTargetEnd(target, kReason);
  std::vector<TaskName> lost;
  std::map<TaskName, Run> unresolved;
  for (const auto& [name, run] : target.GetRuns()) {
    if (run.is_listed) {
      lost.push_back(name);
      continue;
    }
    Run& kept = unresolved[name] = run;
    kept.state =
        run.state == RunState::kPresent ? RunState::kUncertain : run.state;
    kept.stop_accepted.reset();
  }
  for (const TaskName& name : lost) {
    LogDecision("run-lost", name, target.GetRuns()[name].number,
                target.m_entry.id, kReason);
    DropRun(target, name);
  }
  ResetIncarnation(target);
  target.GetRuns() = std::move(unresolved);
  RequireNewReport(target);
  end.since_fence = target.m_fence;
  m_ended_targets.Add(std::move(end));
  for (const auto& [name, run] : target.GetRuns()) {
    // The new incarnation has not accepted the stop.
    if (run.state == RunState::kStopping) {
      m_stops.Add(target.m_entry.id, name);
    }
    ShutOutStart(target, name);
  }
}

void PoolScheduler::RequireNewReport(TargetLedger& target) {
  RaiseFence(target);
  target.m_required_fence = target.m_fence;
  target.m_has_accepted_token = false;
}

void PoolScheduler::RaiseFence(TargetLedger& target) {
  target.m_fence = std::min(target.m_fence + 1, m_options.last_fence);
}

void PoolScheduler::ShutOutStart(TargetLedger& target, const TaskName& name) {
  if (target.GetRuns().at(name).fence < target.m_fence) {
    return;
  }
  RaiseFence(target);
  // Without a higher token, a stop has to do: the target records it and then
  // refuses the start.
  if (target.GetRuns().at(name).fence == target.m_fence) {
    RequestStop(target, name);
  }
}

void PoolScheduler::EraseTarget(const std::string& id) {
  m_first_fence = std::max(m_first_fence, m_targets.at(id).m_fence);
  m_targets.erase(id);
  m_stops.RemoveTarget(id);
  m_failures.RemoveTarget(id);
}

bool PoolScheduler::EndIfReplaced(const std::string& id,
                                  const std::string& address, uint64_t fence,
                                  const char* reason) {
  const TargetLedger* target = FindTarget(id);
  if (target == nullptr || address.empty() ||
      target->m_answered_address != address ||
      fence < target->m_required_fence) {
    return false;
  }
  OnTargetEnded(id, reason);
  return true;
}

void PoolScheduler::OnFenced(const std::string& id, uint64_t fence) {
  const TargetLedger* target = FindTarget(id);
  const uint64_t current = target == nullptr ? m_first_fence : target->m_fence;
  m_is_superseded = m_is_superseded || fence >= current;
}

void PoolScheduler::DropLostRuns(TargetLedger& target, const char* reason) {
  std::vector<TaskName> names;
  for (const auto& [name, run] : target.GetRuns()) {
    names.push_back(name);
  }
  for (const TaskName& name : names) {
    LogDecision("run-lost", name, target.GetRuns()[name].number,
                target.m_entry.id, reason);
    DropRun(target, name);
  }
}

void PoolScheduler::DropExpiredTargets(base::TimePoint now) {
  std::vector<std::string> expired;
  for (auto& [id, target] : m_targets) {
    if (target.GetLeaseBound() > now) {
      continue;
    }
    // A roster that is stored from now on need not name it until it answers.
    target.m_is_in_roster =
        target.m_is_in_roster && target.m_has_answered_owner;
    if (!target.GetRuns().empty()) {
      constexpr char kReason[] = "the lease has expired";
      TargetEnd end = MakeTargetEnd(target, kReason);
      end.is_incarnation_ended = false;
      end.since = now;
      m_ended_targets.Add(std::move(end));
      DropLostRuns(target, kReason);
    }
    if (!target.m_is_registered && m_reports_in_flight.count(id) == 0) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    EraseTarget(id);
  }
}

void PoolScheduler::DropRun(TargetLedger& target, const TaskName& name) {
  const auto found = target.GetRuns().find(name);
  if (found == target.GetRuns().end()) {
    return;
  }
  const Run run = found->second;
  target.GetRuns().erase(found);
  m_stops.Remove(target.m_entry.id, name);
  ActiveJob* job = FindJob(name.job);
  const ActiveTask* task = FindTask(name);
  // That of a gang is taken from each report: other members may have reported a
  // later one since.
  if (task != nullptr && !task->progress.done && !job->IsGang(name)) {
    job->SetCheckpoint(name, run.number, run.checkpoint);
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
    m_stops.Add(target.m_entry.id, name);
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
  m_changes.MarkChanged(job.GetSpec().id, false);
  m_has_urgent_change = true;
  if (job.IsDone()) {
    EndJob(job, JobState::kCompleted);
  }
}

void PoolScheduler::EndJob(ActiveJob& job, JobState state) {
  job.m_state = state;
  // Nothing is added to the evidence.
  AssessTargets(m_failures.OnJobEnded(job.GetSpec().id), {}, "");
  m_changes.MarkChanged(job.GetSpec().id, true);
  m_has_urgent_change = true;
  LogDecision("job-ended", TaskName{job.GetSpec().id, 0, 0, 0}, 0, "",
              state == JobState::kCompleted   ? "completed"
              : state == JobState::kCancelled ? "cancelled"
                                              : "attempts used up");
  StopRuns(job);
}

void PoolScheduler::StopRuns(ActiveJob& job) {
  const JobSpec& spec = job.GetSpec();
  for (int k = 0; k < spec.GetOccurrenceCount(); ++k) {
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      const auto& tasks = job.GetStep(k, step);
      for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
        const std::string& target_id = tasks[static_cast<size_t>(i)].target;
        TargetLedger* target =
            target_id.empty() ? nullptr : FindTarget(target_id);
        if (target != nullptr) {
          RequestStop(*target, TaskName{spec.id, k, step, i});
        }
      }
    }
  }
}

std::vector<ProgressChange> PoolScheduler::DequeueChanges(size_t max_count) {
  std::vector<ProgressChange> batch;
  for (const std::string& id : m_changes.PopBatch(max_count)) {
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
      m_changes.Remove(change.job);
      m_jobs.erase(change.job);
    }
  }
  AcknowledgeStoredCompletions();
}

void PoolScheduler::OnCommitFailed(const std::vector<ProgressChange>& batch) {
  std::vector<std::string> failed;
  for (const ProgressChange& change : batch) {
    failed.push_back(change.job);
  }
  m_changes.OnFailed(failed);
  m_has_urgent_change = m_has_urgent_change || !m_changes.IsEmpty();
}

void PoolScheduler::ReleaseChanges(const std::string& job) {
  m_changes.Release(job);
  m_has_urgent_change = m_has_urgent_change || !m_changes.IsEmpty();
}

void PoolScheduler::AcknowledgeStoredCompletions() {
  for (const RunCompletion& completion : m_changes.PopStoredCompletions()) {
    TargetLedger* target = FindTarget(completion.target);
    const bool is_new = target != nullptr &&
                        target->m_generation == completion.generation &&
                        completion.number > target->m_acknowledged_completion;
    if (is_new) {
      target->m_acknowledged_completion = completion.number;
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

void PoolScheduler::LogDecision(const char* what, const TaskName& task,
                                int64_t run, const std::string& target,
                                const char* reason) const {
  if (!m_on_decision) {
    return;
  }
  SchedulingDecision decision;
  decision.what = what;
  decision.task = task;
  decision.run = run;
  decision.target = target;
  decision.reason = reason;
  const auto found = m_targets.find(target);
  if (found != m_targets.end()) {
    const TargetLedger& ledger = found->second;
    decision.incarnation_started_ms = std::max(
        ledger.m_entry.incarnation_started_ms, ledger.m_reported_born_ms);
    const auto known = ledger.GetRuns().find(task);
    if (known != ledger.GetRuns().end() && known->second.number == run) {
      decision.state = NameOf(known->second.state);
    }
  }
  m_on_decision(decision);
}

}  // namespace shallotwick::scheduling
