// What targets report, and how the ledger follows it.

#include <algorithm>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

// Between two tries to reach a target that gave no report.
constexpr auto kRetryReportAfter = std::chrono::milliseconds(250);
// A report waits so long for the store, so that it can acknowledge the ends
// that the one before it brought.
constexpr auto kLongestWaitForCommit = std::chrono::milliseconds(150);
// A target answers at the first end or after this time; the bound keeps its
// lease renewed several times over.
constexpr int64_t kReportWaitMs = 500;
// Missing reports in a row after which a target gets no new runs. A single one
// may just have been lost; then it is asked again at once.
constexpr int kSilentMisses = 2;
// While a stop or an unanswered start waits to be settled.
constexpr int64_t kSettlingWaitMs = 150;
// Failures in a row after which a target gets no new runs for a while.
constexpr int kSickFailureStreak = 2;
constexpr auto kSickPause = std::chrono::milliseconds(1'500);
constexpr int kLongestSickPauseFactor = 4;

// Clocks of targets may run 2% slow; one more covers rounding.
constexpr double kSlowestClockFactor = 1.03;

bool HasUnsettledRun(const TargetLedger& target) {
  return std::any_of(target.GetRuns().begin(), target.GetRuns().end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kStopping ||
                              entry.second.state == RunState::kUncertain;
                     });
}

}  // namespace

bool PoolScheduler::NeedsReport(const TargetLedger& target,
                                base::TimePoint now) const {
  if (m_reporting.count(target.m_entry.id) > 0) {
    return false;
  }
  if (!target.m_is_responsive) {
    return now >= target.m_last_report + kRetryReportAfter;
  }
  if (!target.m_is_fenced) {
    return true;
  }
  if (target.m_processed_end > target.m_acknowledged_end) {
    return now >= target.m_last_report + kLongestWaitForCommit;
  }
  return !target.GetRuns().empty() || target.m_has_unsent_acknowledgement;
}

std::vector<ReportOrder> PoolScheduler::TakeReportOrders(base::TimePoint now) {
  std::vector<ReportOrder> orders;
  for (auto& [id, target] : m_targets) {
    if (!NeedsReport(target, now)) {
      continue;
    }
    ReportOrder order;
    order.target = id;
    order.address = target.m_entry.address;
    order.fence = m_options.fence;
    order.acknowledged_end = target.m_acknowledged_end;
    const bool is_known = target.m_is_fenced && target.m_is_responsive;
    if (is_known) {
      order.wait_ms = target.GetRuns().empty()  ? 0
                      : HasUnsettledRun(target) ? kSettlingWaitMs
                                                : kReportWaitMs;
    }
    // An unreachable target's lease has to end, so that its tasks can run
    // elsewhere.
    if (is_known && target.HasClock() && !target.GetRuns().empty()) {
      order.lease_until_ms = GrantLease(target, now);
    }
    target.m_has_unsent_acknowledgement = false;
    m_reporting.insert(id);
    orders.push_back(std::move(order));
  }
  return orders;
}

void PoolScheduler::ExtendLeaseBound(TargetLedger& target,
                                     base::TimePoint now) {
  const auto lease = base::Duration(static_cast<int64_t>(
      static_cast<double>(m_options.lease.count()) * kSlowestClockFactor));
  target.m_lease_bound =
      std::max(target.m_lease_bound, now + lease + m_options.longest_stop);
}

int64_t PoolScheduler::GrantLease(TargetLedger& target, base::TimePoint now) {
  ExtendLeaseBound(target, now);
  const auto lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_options.lease);
  return target.EstimateClockMs(now) + lease.count();
}

void PoolScheduler::OnReportFailed(const ReportOrder& order,
                                   OrderOutcome outcome, base::TimePoint now) {
  m_reporting.erase(order.target);
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kFenced) {
    m_is_superseded = true;
    return;
  }
  if (outcome == OrderOutcome::kOtherIncarnation) {
    OnTargetDead(order.target);
    target = FindTarget(order.target);
    if (target == nullptr) {
      return;
    }
  }
  ++target->m_missed_reports;
  const bool is_silent = target->m_missed_reports >= kSilentMisses ||
                         outcome != OrderOutcome::kUnknown ||
                         !target->m_is_fenced;
  if (is_silent) {
    target->m_is_responsive = false;
  }
  target->m_has_unsent_acknowledgement = true;
  target->m_last_report = now;
}

void PoolScheduler::OnReport(const ReportOrder& order, base::TimePoint sent,
                             base::TimePoint now, const TargetReport& report) {
  m_reporting.erase(order.target);
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr) {
    return;
  }
  const bool is_reborn = target->m_reported_born_ms != 0 &&
                         report.born_ms > target->m_reported_born_ms;
  if (is_reborn) {
    LoseRuns(*target);
    ForgetIncarnation(*target);
  }
  if (!target->m_is_responsive || !target->m_is_fenced) {
    m_may_start_more = true;
  }
  target->m_reported_born_ms = report.born_ms;
  target->m_is_responsive = true;
  target->m_missed_reports = 0;
  target->m_is_fenced = true;
  target->m_last_report = now;
  target->m_last_heard = now;
  target->ObserveClock(report.clock_ms, now);
  ApplyEnds(*target, report, now);
  for (const ReportedRun& reported : report.running) {
    ApplyRunning(*target, reported, now);
  }
  SettleMissingRuns(*target, report, sent);
}

void PoolScheduler::ApplyEnds(TargetLedger& target, const TargetReport& report,
                              base::TimePoint now) {
  std::vector<ReportedEnd> ends = report.ended;
  std::sort(ends.begin(), ends.end());
  for (const ReportedEnd& end : ends) {
    if (end.number > target.m_processed_end) {
      m_changes.NoteEnd({target.m_entry.id, target.m_generation, end.number});
      ApplyEnd(target, end, now);
      target.m_processed_end = end.number;
      // Also where no job changed, the end waits to be acknowledged.
      m_has_urgent_change = true;
    }
  }
}

void PoolScheduler::ApplyEnd(TargetLedger& target, const ReportedEnd& end,
                             base::TimePoint now) {
  const auto run = target.GetRuns().find(end.task);
  if (run != target.GetRuns().end() && run->second.number == end.run) {
    const ActiveJob* ended = FindJob(end.task.job);
    if (ended != nullptr && end.how == RunEnd::kDone) {
      LearnRunTime(*ended, end.task.step, run->second, now);
    }
    run->second.checkpoint.clear();
    DropRun(target, end.task);
  }
  const bool is_failure = end.how == RunEnd::kFailed;
  if (end.how == RunEnd::kDone) {
    target.m_failure_streak = 0;
  } else if (is_failure) {
    ++target.m_failure_streak;
    if (target.m_failure_streak >= kSickFailureStreak) {
      target.m_suspended_until =
          now + kSickPause *
                    std::min(target.m_failure_streak, kLongestSickPauseFactor);
    }
  }
  ActiveJob* job = FindJob(end.task.job);
  ActiveTask* task = FindTask(end.task);
  if (job == nullptr || task == nullptr || IsTerminal(job->m_state)) {
    return;
  }
  task->last_run = std::max(task->last_run, end.run);
  const StepSpec& step =
      job->GetSpec().steps[static_cast<size_t>(end.task.step)];
  if (end.how == RunEnd::kDone && !step.long_running) {
    MarkDone(*job, end.task);
    return;
  }
  if (task->progress.done) {
    return;
  }
  if (!end.checkpoint.empty()) {
    task->progress.checkpoint = end.checkpoint;
  }
  Note("run-ended", end.task, end.run, target.m_entry.id,
       is_failure ? "failed" : "interrupted");
  if (is_failure) {
    ApplyFailure(target, end, *job, *task);
  }
}

void PoolScheduler::ApplyFailure(TargetLedger& target, const ReportedEnd& end,
                                 ActiveJob& job, ActiveTask& task) {
  task.avoided_target = target.m_entry.id;
  const StepSpec& step =
      job.GetSpec().steps[static_cast<size_t>(end.task.step)];
  if (step.long_running) {
    return;
  }
  // After a takeover the ends of a task come from several targets, in any
  // order.
  std::vector<int64_t>& failed = task.progress.failed_runs;
  const auto place = std::lower_bound(failed.begin(), failed.end(), end.run);
  if (place != failed.end() && *place == end.run) {
    return;
  }
  failed.insert(place, end.run);
  m_changes.Mark(job.GetSpec().id, false);
  const auto route = m_routes.find(job.GetSpec().route);
  const int most =
      route == m_routes.end() ? 1 : std::max(1, route->second.most_attempts);
  if (static_cast<int>(failed.size()) >= most) {
    EndJob(job, JobState::kFailed);
  }
}

void PoolScheduler::ApplyRunning(TargetLedger& target,
                                 const ReportedRun& reported,
                                 base::TimePoint now) {
  const auto found = target.GetRuns().find(reported.task);
  if (found == target.GetRuns().end() || found->second.number < reported.run) {
    AdoptRun(target, reported, now);
    return;
  }
  Run& run = found->second;
  if (run.number != reported.run) {
    return;
  }
  if (run.state == RunState::kStarting || run.state == RunState::kUncertain) {
    run.state = RunState::kPresent;
    run.changed = now;
  }
  if (reported.percent > run.percent || reported.checkpoint != run.checkpoint) {
    run.progressed = now;
  }
  run.percent = reported.percent;
  run.load = reported.load;
  if (!reported.checkpoint.empty()) {
    run.checkpoint = reported.checkpoint;
  }
}

void PoolScheduler::AdoptRun(TargetLedger& target, const ReportedRun& reported,
                             base::TimePoint now) {
  ActiveJob* job = FindJob(reported.task.job);
  ActiveTask* task = FindTask(reported.task);
  const StepSpec* step =
      task == nullptr
          ? nullptr
          : &job->GetSpec().steps[static_cast<size_t>(reported.task.step)];
  Run run = MakeRun(reported.run, step, now);
  run.state = RunState::kPresent;
  run.checkpoint = reported.checkpoint;
  run.is_resumed = true;
  run.percent = reported.percent;
  run.load = reported.load;
  bool is_wanted = false;
  if (task != nullptr) {
    is_wanted = !IsTerminal(job->m_state) && !task->progress.done &&
                (task->target.empty() || task->target == target.m_entry.id);
    task->last_run = std::max(task->last_run, reported.run);
  }
  target.GetRuns()[reported.task] = run;
  if (!is_wanted) {
    Note("run-unwanted", reported.task, reported.run, target.m_entry.id,
         "its task is done, ended or elsewhere");
    RequestStop(target, reported.task);
    return;
  }
  Note("run-adopted", reported.task, reported.run, target.m_entry.id,
       "reported by the target");
  job->AssignRun(*task, target.m_entry.id, reported.run);
}

void PoolScheduler::SettleMissingRuns(TargetLedger& target,
                                      const TargetReport& report,
                                      base::TimePoint sent) {
  std::set<std::pair<TaskName, int64_t>> listed;
  for (const ReportedRun& reported : report.running) {
    listed.insert({reported.task, reported.run});
  }
  std::vector<TaskName> settled;
  std::vector<TaskName> missing;
  for (const auto& [name, run] : target.GetRuns()) {
    if (listed.count({name, run.number}) > 0) {
      continue;
    }
    if (run.state == RunState::kStopping) {
      if (run.stop_accepted && *run.stop_accepted < sent) {
        settled.push_back(name);
      }
    } else if (run.state != RunState::kStarting && run.changed < sent) {
      missing.push_back(name);
    }
  }
  for (const TaskName& name : settled) {
    Note("run-settled", name, target.GetRuns()[name].number, target.m_entry.id,
         "stopped and not listed");
    DropRun(target, name);
  }
  // A start without an answer may still be carried out; the stop's mark makes
  // the target refuse it.
  for (const TaskName& name : missing) {
    Note("run-missing", name, target.GetRuns()[name].number, target.m_entry.id,
         "not listed");
    RequestStop(target, name);
  }
}

}  // namespace shallotwick::scheduling
