// Processing of target reports and the resulting updates to the ledger.

#include <algorithm>
#include <tuple>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

// The interval between attempts to get a report from an unresponsive target.
constexpr auto kReportRetryInterval = std::chrono::milliseconds(250);
// The maximum time that a report request waits for the store, so that it can
// acknowledge the completions from the previous report.
constexpr auto kMaxCommitWait = std::chrono::milliseconds(150);
// A target responds at the first completion or after this time. The limit lets
// its lease be renewed several times before it expires.
constexpr int64_t kReportWaitMs = 500;
// A target receives no new runs after this number of consecutive missed
// reports. A single missed report may be due to a lost message; the request is
// then repeated at once.
constexpr int kUnresponsiveAfterMisses = 2;
// The wait of a report request while a stop or a start without a response is
// unresolved.
constexpr int64_t kUnresolvedReportWaitMs = 150;
// The evidence on which a target is quarantined, see FailureEvidence.
constexpr int kQuarantinePoints = 2;
constexpr auto kQuarantineDuration = std::chrono::milliseconds(1'500);
constexpr int kMaxQuarantineFactor = 4;
// The back-off of a task after its second failure in a row; it doubles with
// each further one.
constexpr auto kMinFailureBackoff = std::chrono::milliseconds(100);
constexpr int kMaxDoublings = 4;
// A run that fails after a longer time is not one of a row.
constexpr auto kMaxTimeToFailure = std::chrono::milliseconds(2'000);

// Completions are acknowledged within this time of the last report.
constexpr auto kMaxAcknowledgementDelay = std::chrono::milliseconds(100);
// The longest time for which an order without a response is assumed to be
// outstanding; the platform gives no bound, just "seconds".
constexpr auto kMaxOrderDelay = std::chrono::seconds(15);

// The clock of a target without runs is read again after this time. Leases are
// shorter by the uncertainty that it adds, less than a second.
constexpr auto kMaxClockAge = std::chrono::seconds(30);

// A report lists all runs of its target. Those of targets with many runs are
// requested less often, so that the processor time for them stays bounded.
constexpr auto kReportIntervalPerRun = std::chrono::microseconds(150);
constexpr size_t kManyRuns = 100;
constexpr auto kMaxReportInterval = std::chrono::milliseconds(400);

base::Duration GetReportInterval(const TargetLedger& target) {
  const size_t runs = target.GetRuns().size();
  return runs < kManyRuns
             ? base::Duration(0)
             : std::min<base::Duration>(
                   kReportIntervalPerRun * static_cast<int64_t>(runs),
                   kMaxReportInterval);
}

bool HasUnresolvedRun(const TargetLedger& target) {
  return std::any_of(target.GetRuns().begin(), target.GetRuns().end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kStopping ||
                              entry.second.state == RunState::kUncertain;
                     });
}

bool HasRecentReport(const TargetLedger& target, base::TimePoint now) {
  return target.HasReportWithin(kMaxAcknowledgementDelay, now);
}

// Returns whether the target has hardly had the time to restart and to complete
// a run since its last report. A new incarnation must not discard completions
// that an earlier one has numbered alike.
bool IsIncarnationCertain(const TargetLedger& target, base::TimePoint now) {
  const bool may_have_restarted =
      target.m_missed_reports > 0 || !HasRecentReport(target, now);
  return !may_have_restarted &&
         std::none_of(target.GetRuns().begin(), target.GetRuns().end(),
                      [now](const auto& entry) {
                        return !entry.second.is_listed &&
                               entry.second.started + kMaxAcknowledgementDelay <
                                   now;
                      });
}

// Returns whether the next report order settles a start without a response.
bool ShutsOutStart(const TargetLedger& target) {
  return std::any_of(target.GetRuns().begin(), target.GetRuns().end(),
                     [&target](const auto& entry) {
                       return entry.second.state == RunState::kUncertain &&
                              entry.second.fence < target.m_fence;
                     });
}

}  // namespace

bool PoolScheduler::NeedsReport(const TargetLedger& target,
                                base::TimePoint now) const {
  if (m_reports_in_flight.count(target.m_entry.id) > 0) {
    return false;
  }
  if (!target.m_is_responsive) {
    return now >= target.m_last_report_attempt + kReportRetryInterval;
  }
  if (!target.m_has_accepted_token) {
    return true;
  }
  // After a pause, a first report shows that the incarnation is the same, and
  // the next order acknowledges what is stored.
  if (!target.m_lacks_acknowledgement &&
      now < target.m_last_report_received + GetReportInterval(target)) {
    return false;
  }
  if (target.m_processed_completion > target.m_acknowledged_completion) {
    return now >= target.m_last_report_attempt + kMaxCommitWait;
  }
  return !target.GetRuns().empty() || target.m_has_unsent_acknowledgement ||
         now < target.m_watched_until ||
         now >= target.m_last_report_received + kMaxClockAge;
}

std::vector<ReportOrder> PoolScheduler::CreateReportOrders(
    base::TimePoint now) {
  std::vector<ReportOrder> orders;
  for (auto& [id, target] : m_targets) {
    if (!NeedsReport(target, now)) {
      continue;
    }
    ReportOrder order;
    order.target = id;
    order.address = target.m_entry.address;
    order.fence = target.m_fence;
    const bool is_known = target.m_has_accepted_token && target.m_is_responsive;
    if (is_known && IsIncarnationCertain(target, now)) {
      order.last_acknowledged_completion = target.m_acknowledged_completion;
    }
    if (is_known) {
      const bool must_respond_at_once =
          ShutsOutStart(target) || !HasRecentReport(target, now) ||
          (target.GetRuns().empty() && now >= target.m_watched_until);
      order.wait_ms = must_respond_at_once       ? 0
                      : HasUnresolvedRun(target) ? kUnresolvedReportWaitMs
                                                 : kReportWaitMs;
    }
    // The lease of an unresponsive target is not renewed: it has to expire
    // before the target's tasks can run elsewhere.
    if (is_known && target.HasClock() && !target.GetRuns().empty()) {
      order.lease_until_ms = GrantLease(target, now);
    }
    target.m_has_unsent_acknowledgement =
        order.last_acknowledged_completion < target.m_acknowledged_completion;
    target.m_lacks_acknowledgement = target.m_has_unsent_acknowledgement;
    m_reports_in_flight.insert(id);
    orders.push_back(std::move(order));
  }
  return orders;
}

base::TimePoint PoolScheduler::GetLeaseBound(base::Duration lease,
                                             base::TimePoint now) const {
  const auto duration = base::Duration(static_cast<int64_t>(
      static_cast<double>(lease.count()) * kMaxClockSlownessFactor));
  return now + duration + m_options.max_stop_time;
}

int64_t PoolScheduler::GrantLease(TargetLedger& target, base::TimePoint now) {
  target.ExtendLeaseBound(GetLeaseBound(m_options.lease, now));
  target.ExtendUnlistedLeaseBound(GetLeaseBound(m_options.max_lease, now));
  const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::min(m_options.lease, m_lease_limit - now));
  return target.EstimateClockMs(now) + lease.count();
}

bool PoolScheduler::FitsLeaseLimit(const ActiveJob& job, int step,
                                   base::TimePoint now) const {
  if (m_lease_limit - now >= m_options.lease) {
    return true;
  }
  return !job.GetSpec().steps[static_cast<size_t>(step)].long_running &&
         now + GetExpectedTime(job, step) <= m_lease_limit;
}

void PoolScheduler::OnReportFailed(const ReportOrder& order,
                                   OrderOutcome outcome, base::TimePoint now) {
  m_reports_in_flight.erase(order.target);
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kFenced) {
    OnFenced(order.target, order.fence);
    target->m_has_unsent_acknowledgement = true;
    return;
  }
  if (outcome == OrderOutcome::kOtherIncarnation &&
      EndIfReplaced(order.target, order.address, order.fence,
                    "another incarnation answered a report order")) {
    target = FindTarget(order.target);
    if (target == nullptr) {
      return;
    }
  }
  ++target->m_missed_reports;
  const bool is_unresponsive =
      target->m_missed_reports >= kUnresponsiveAfterMisses ||
      outcome != OrderOutcome::kUnknown || !target->m_has_accepted_token;
  if (is_unresponsive) {
    target->m_is_responsive = false;
  }
  target->m_has_unsent_acknowledgement = true;
  target->m_last_report_attempt = now;
}

void PoolScheduler::OnReport(const ReportOrder& order, base::TimePoint sent,
                             base::TimePoint now, const TargetReport& report) {
  m_reports_in_flight.erase(order.target);
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr) {
    return;
  }
  const auto wrong = m_ended_targets.TakeContradicted(order, sent, report);
  if (wrong && m_on_wrong_target_end) {
    m_on_wrong_target_end(*wrong);
  }
  const bool is_restarted =
      target->m_reported_born_ms != 0 && report.incarnation_started_ms != 0 &&
      report.incarnation_started_ms != target->m_reported_born_ms;
  if (is_restarted) {
    LogDecision("target-restarted", {}, 0, order.target,
                "shown by a report from a new incarnation");
    RestartIncarnation(*target);
  }
  // Until it is shut out, an order that was sent before may grant a lease on
  // the earlier incarnation's clock. Such a lease lasts for the maximum.
  const bool may_have_earlier_lease =
      target->m_has_answered_owner && !target->m_has_accepted_token;
  if (may_have_earlier_lease) {
    target->ExtendLeaseBound(GetLeaseBound(m_options.max_lease, now));
  }
  if (!target->m_is_responsive || !target->m_has_accepted_token) {
    m_may_start_more = true;
  }
  target->m_reported_born_ms = report.incarnation_started_ms;
  target->m_answered_address = order.address;
  target->m_is_responsive = true;
  target->m_missed_reports = 0;
  target->m_has_answered_owner = true;
  target->m_has_accepted_token = order.fence >= target->m_required_fence;
  target->m_was_met_by_confirmed_owner =
      target->m_was_met_by_confirmed_owner || m_is_ownership_confirmed;
  target->m_last_report_attempt = now;
  target->m_last_report_received = now;
  target->m_last_report_ordered = sent;
  target->ObserveClock(report.clock_ms, now);
  ApplyCompletions(*target, report, now);
  for (const ReportedRun& reported : report.running) {
    ApplyRunning(*target, reported, now);
  }
  ResolveUnlistedRuns(*target, report, order.fence, sent);
  // A later incarnation may have executed an earlier start of a task than the
  // one that has just been resolved.
  for (const ReportedRun& reported : report.running) {
    if (target->GetRuns().count(reported.task) == 0) {
      AdoptRun(*target, reported, now);
    }
  }
}

void PoolScheduler::ApplyCompletions(TargetLedger& target,
                                     const TargetReport& report,
                                     base::TimePoint now) {
  std::vector<ReportedCompletion> completions = report.ended;
  std::sort(completions.begin(), completions.end());
  for (const ReportedCompletion& completion : completions) {
    if (completion.number > target.m_processed_completion) {
      m_changes.RecordCompletion(
          {target.m_entry.id, target.m_generation, completion.number},
          completion.task.job);
      ApplyCompletion(target, completion, now);
      target.m_processed_completion = completion.number;
      // The completion has to be acknowledged even if it changes no job.
      m_has_urgent_change = true;
    }
  }
}

void PoolScheduler::ApplyCompletion(TargetLedger& target,
                                    const ReportedCompletion& completion,
                                    base::TimePoint now) {
  const auto run = target.GetRuns().find(completion.task);
  if (run != target.GetRuns().end() && run->second.number == completion.run) {
    const ActiveJob* ended = FindJob(completion.task.job);
    if (ended != nullptr && completion.how == RunOutcome::kDone) {
      RecordRunTime(*ended, completion.task.step, run->second, now);
    }
    ActiveTask* task = FindTask(completion.task);
    if (task != nullptr && now >= run->second.started + kMaxTimeToFailure) {
      task->failures_in_a_row = 0;
    }
    run->second.checkpoint.clear();
    DropRun(target, completion.task);
  }
  const bool is_failure = completion.how == RunOutcome::kFailed;
  RecordEvidence(target, completion, now);
  ActiveJob* job = FindJob(completion.task.job);
  ActiveTask* task = FindTask(completion.task);
  if (job == nullptr || task == nullptr || IsTerminal(job->m_state)) {
    return;
  }
  task->last_run = std::max(task->last_run, completion.run);
  const StepSpec& step =
      job->GetSpec().steps[static_cast<size_t>(completion.task.step)];
  if (completion.how == RunOutcome::kDone && !step.long_running) {
    MarkDone(*job, completion.task);
    return;
  }
  if (task->progress.done) {
    return;
  }
  if (job->SetCheckpoint(completion.task, completion.run,
                         completion.checkpoint)) {
    m_changes.MarkChanged(job->GetSpec().id, false);
  }
  LogDecision("run-ended", completion.task, completion.run, target.m_entry.id,
              is_failure ? "failed" : "interrupted");
  if (is_failure) {
    ApplyFailure(target, completion, *job, *task, now);
  }
}

void PoolScheduler::RecordEvidence(const TargetLedger& target,
                                   const ReportedCompletion& completion,
                                   base::TimePoint now) {
  const TaskName& task = completion.task;
  ActiveJob* job = FindJob(task.job);
  if (completion.how == RunOutcome::kDone) {
    std::vector<TaskName> tasks = {task};
    if (job != nullptr && job->FindTask(task) != nullptr && job->IsGang(task)) {
      const auto& step = job->GetStep(task.occurrence, task.step);
      tasks.clear();
      for (int i = 0; i < static_cast<int>(step.size()); ++i) {
        tasks.push_back({task.job, task.occurrence, task.step, i});
      }
    }
    AssessTargets(m_failures.OnDone(target.m_entry.id, tasks), now, "");
  } else if (completion.how == RunOutcome::kFailed && job != nullptr &&
             job->FindTask(task) != nullptr && !IsTerminal(job->m_state)) {
    AssessTargets(m_failures.OnFailed(target.m_entry.id, task, 1,
                                      HasDoneTask(*job, task)),
                  now, target.m_entry.id);
  }
}

bool PoolScheduler::HasDoneTask(const ActiveJob& job, const TaskName& task) {
  const StepSpec& step = job.GetSpec().steps[static_cast<size_t>(task.step)];
  return job.CountUnfinished(task.occurrence, task.step) < step.count;
}

void PoolScheduler::AssessTargets(const FailureEvidence::Affected& targets,
                                  base::TimePoint now,
                                  const std::string& failed) {
  for (const std::string& id : targets) {
    TargetLedger* target = FindTarget(id);
    if (target == nullptr) {
      continue;
    }
    const int points = m_failures.CountPoints(id);
    const int before = std::exchange(target->m_failure_points, points);
    const bool is_worse =
        before < kQuarantinePoints ||
        (id == failed && (points > before || points >= kMaxQuarantineFactor));
    if (points < kQuarantinePoints) {
      target->m_quarantined_until = {};
    } else if (is_worse) {
      target->m_quarantined_since = now;
      target->m_quarantined_until =
          now + kQuarantineDuration * std::min(points, kMaxQuarantineFactor);
    }
  }
}

void PoolScheduler::ApplyFailure(TargetLedger& target,
                                 const ReportedCompletion& completion,
                                 ActiveJob& job, ActiveTask& task,
                                 base::TimePoint now) {
  task.avoided_target = target.m_entry.id;
  ++task.failures_in_a_row;
  if (task.failures_in_a_row > 1) {
    const int doublings = std::min(task.failures_in_a_row - 2, kMaxDoublings);
    task.not_before = now + kMinFailureBackoff * (1 << doublings);
  }
  const StepSpec& step =
      job.GetSpec().steps[static_cast<size_t>(completion.task.step)];
  if (step.long_running) {
    return;
  }
  // After a change of ownership, the completions of one task arrive from
  // several targets in any order.
  std::vector<int64_t>& failed = task.progress.failed_runs;
  const auto position =
      std::lower_bound(failed.begin(), failed.end(), completion.run);
  if (position != failed.end() && *position == completion.run) {
    return;
  }
  failed.insert(position, completion.run);
  m_changes.MarkChanged(job.GetSpec().id, false);
  const auto route = m_routes.find(job.GetSpec().route);
  const int attempt_limit = route == m_routes.end()
                                ? job.GetSpec().max_attempts
                                : route->second.max_attempts;
  if (static_cast<int>(failed.size()) >= std::max(1, attempt_limit)) {
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
    run.last_state_change = now;
  }
  if (reported.percent > run.percent || reported.checkpoint != run.checkpoint) {
    run.last_progress = now;
  }
  run.is_listed = true;
  run.percent = reported.percent;
  run.load = reported.load;
  if (!reported.checkpoint.empty()) {
    run.checkpoint = reported.checkpoint;
    ShareGangCheckpoint(reported);
  }
}

void PoolScheduler::ShareGangCheckpoint(const ReportedRun& reported) {
  ActiveJob* job = FindJob(reported.task.job);
  const ActiveTask* task = FindTask(reported.task);
  if (task != nullptr && !task->progress.done && job->IsGang(reported.task)) {
    job->SetCheckpoint(reported.task, reported.run, reported.checkpoint);
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
  target.ExtendLeaseBound(GetLeaseBound(m_options.max_lease, now));
  Run run = MakeRun(reported.run, step, now);
  run.customer = job == nullptr ? CustomerBudget::kNobody : job->m_customer;
  run.state = RunState::kPresent;
  run.checkpoint = reported.checkpoint;
  run.is_resumed = true;
  run.is_listed = true;
  run.percent = reported.percent;
  run.load = reported.load;
  bool is_wanted = false;
  if (task != nullptr) {
    is_wanted = !IsTerminal(job->m_state) && !task->progress.done &&
                (task->target.empty() || task->target == target.m_entry.id);
    task->last_run = std::max(task->last_run, reported.run);
  }
  target.GetRuns()[reported.task] = run;
  ShareGangCheckpoint(reported);
  if (!is_wanted) {
    LogDecision("run-unwanted", reported.task, reported.run, target.m_entry.id,
                "task is done, job has ended or task runs elsewhere");
    RequestStop(target, reported.task);
    return;
  }
  LogDecision("run-adopted", reported.task, reported.run, target.m_entry.id,
              "reported by the target");
  job->AssignRun(*task, target.m_entry.id, reported.run);
}

void PoolScheduler::ResolveUnlistedRuns(TargetLedger& target,
                                        const TargetReport& report,
                                        uint64_t fence, base::TimePoint sent) {
  if (!report.lists_all_completions) {
    return;
  }
  // Reports of thousands of runs are not rare while a large job is stopped.
  std::vector<const ReportedRun*> listed;
  for (const ReportedRun& reported : report.running) {
    listed.push_back(&reported);
  }
  const auto precedes = [](const ReportedRun* left, const ReportedRun* right) {
    return std::tie(left->task, left->run) < std::tie(right->task, right->run);
  };
  std::sort(listed.begin(), listed.end(), precedes);
  std::vector<TaskName> stopped;
  std::vector<TaskName> shut_out;
  std::vector<TaskName> unlisted;
  for (const auto& [name, run] : target.GetRuns()) {
    const auto found = std::lower_bound(
        listed.begin(), listed.end(), std::tie(name, run.number),
        [](const ReportedRun* reported, const auto& key) {
          return std::tie(reported->task, reported->run) < key;
        });
    if (found != listed.end() && (*found)->task == name &&
        (*found)->run == run.number) {
      continue;
    }
    // The answer of a later incarnation to a start may overtake the report.
    const bool is_newer_than_report =
        run.state == RunState::kPresent && run.last_state_change >= sent;
    if (run.state == RunState::kStopping && run.stop_accepted &&
        *run.stop_accepted < sent) {
      stopped.push_back(name);
    } else if (run.state != RunState::kStarting && !run.is_listed &&
               run.fence < fence && !is_newer_than_report) {
      shut_out.push_back(name);
    } else if (run.state == RunState::kPresent && !is_newer_than_report) {
      unlisted.push_back(name);
    }
  }
  for (const TaskName& name : shut_out) {
    LogDecision("run-settled", name, target.GetRuns()[name].number,
                target.m_entry.id,
                "absent from a report with a higher fencing token");
    target.m_watched_until = sent + kMaxOrderDelay;
    DropRun(target, name);
  }
  for (const TaskName& name : stopped) {
    LogDecision("run-settled", name, target.GetRuns()[name].number,
                target.m_entry.id,
                "absent from the report after an accepted stop");
    DropRun(target, name);
  }
  for (const TaskName& name : unlisted) {
    LogDecision("run-missing", name, target.GetRuns()[name].number,
                target.m_entry.id, "absent from the report");
    RequestStop(target, name);
  }
}

}  // namespace shallotwick::scheduling
