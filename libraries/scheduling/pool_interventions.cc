// Stopping and throttling of runs, and the expected run times on which these
// decisions depend.

#include <algorithm>
#include <iterator>
#include <utility>

#include "scheduling/fill_pacing.h"
#include "scheduling/pool_scheduler.h"
#include "scheduling/stall_detection.h"

namespace shallotwick::scheduling {
namespace {

// A run is stopped as stalled only after far more than its expected time, so
// one is enough for a quarantine.
constexpr int kStallPoints = 2;
// Reported loads are up to half a second old.
constexpr auto kPacePeriod = std::chrono::milliseconds(500);

}  // namespace

// Returns at least the estimate, because a run that is stopped too early loses
// its work.
base::Duration PoolScheduler::GetExpectedTime(const ActiveJob& job,
                                              int step) const {
  const auto estimate = static_cast<double>(
      job.GetSpec().steps[static_cast<size_t>(step)].estimate_ms);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(
          std::max(estimate, m_run_times.GetMeanMs(job.GetSpec().route))));
}

void PoolScheduler::RecordRunTime(const ActiveJob& job, int step,
                                  const Run& run, base::TimePoint now) {
  if (run.is_resumed) {
    return;
  }
  const double run_time_ms =
      std::chrono::duration<double, std::milli>(now - run.started).count();
  const auto estimate = static_cast<double>(
      job.GetSpec().steps[static_cast<size_t>(step)].estimate_ms);
  m_run_times.AddSample(job.GetSpec().route, estimate, run_time_ms);
}

// Runs can stall on a target that appears healthy. Stops them so that their
// tasks start on another target.
void PoolScheduler::StopStalledRuns(base::TimePoint now) {
  for (auto& [id, target] : m_targets) {
    if (!target.m_is_responsive) {
      continue;
    }
    std::vector<TaskName> stalled;
    for (const auto& [name, run] : target.GetRuns()) {
      ActiveJob* job = FindJob(name.job);
      const bool may_be_stalled =
          run.state == RunState::kPresent && job != nullptr &&
          !IsTerminal(job->m_state) &&
          !job->GetSpec().steps[static_cast<size_t>(name.step)].long_running &&
          !job->GetSpec().steps[static_cast<size_t>(name.step)].gang;
      if (!may_be_stalled) {
        continue;
      }
      RunPace pace;
      pace.elapsed = now - run.started;
      pace.since_progress = now - run.last_progress;
      pace.percent = run.percent;
      pace.expected = GetExpectedTime(*job, name.step);
      if (IsStalled(pace)) {
        stalled.push_back(name);
      }
    }
    for (const TaskName& name : stalled) {
      const Run& run = target.GetRuns().at(name);
      LogDecision("run-stalled", name, run.number, id,
                  run.percent == 0 ? "no progress" : "slow");
      FindTask(name)->avoided_target = id;
      RequestStop(target, name);
      AssessTargets(m_failures.OnFailed(id, name, kStallPoints,
                                        HasDoneTask(*FindJob(name.job), name)),
                    now, id);
    }
  }
}

void PoolScheduler::AddStopOrders(base::TimePoint now, PoolOrders& orders) {
  for (const std::string& id : m_stops.ListTargets()) {
    std::vector<StopOrder> stops = CreateStopOrders(id, now);
    orders.stops.insert(orders.stops.end(),
                        std::make_move_iterator(stops.begin()),
                        std::make_move_iterator(stops.end()));
  }
}

std::vector<StopOrder> PoolScheduler::CreateStopOrders(const std::string& id,
                                                       base::TimePoint now) {
  std::vector<StopOrder> stops;
  TargetLedger* target = FindTarget(id);
  if (target == nullptr || !target->m_is_responsive) {
    return stops;
  }
  while (const std::optional<TaskName> name = m_stops.Pop(id, now)) {
    const auto found = target->GetRuns().find(*name);
    const bool must_stop = found != target->GetRuns().end() &&
                           found->second.state == RunState::kStopping &&
                           !found->second.is_stop_in_flight;
    if (!must_stop) {
      continue;
    }
    found->second.is_stop_in_flight = true;
    m_stops.OnSent(id);
    stops.push_back(StopOrder{id, target->m_entry.address, *name,
                              found->second.number, target->m_fence});
  }
  return stops;
}

void PoolScheduler::OnStopResult(const StopOrder& order,
                                 const OrderResult& result,
                                 base::TimePoint now) {
  const bool is_accepted = result.outcome == OrderOutcome::kAccepted ||
                           result.outcome == OrderOutcome::kOutdated;
  if (is_accepted) {
    m_stops.OnAccepted(order.target, order.task, now);
  } else {
    m_stops.OnNotAccepted(order.target, order.task, now);
  }
  if (result.outcome == OrderOutcome::kFenced) {
    OnFenced(order.target, order.fence);
  }
  if (result.outcome == OrderOutcome::kOtherIncarnation &&
      EndIfReplaced(order.target, order.address, order.fence,
                    "another incarnation answered a stop order")) {
    return;
  }
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr) {
    return;
  }
  const auto found = target->GetRuns().find(order.task);
  if (found == target->GetRuns().end() || found->second.number != order.run) {
    return;
  }
  found->second.is_stop_in_flight = false;
  if (is_accepted) {
    found->second.stop_accepted = now;
  }
}

void PoolScheduler::PaceBestEffortRuns(base::TimePoint now,
                                       PoolOrders& orders) {
  for (auto& [id, target] : m_targets) {
    double max_tail_ratio = 0;
    std::vector<const TaskName*> best_effort_runs;
    for (const auto& [name, run] : target.GetRuns()) {
      if (run.state != RunState::kPresent) {
        continue;
      }
      if (run.best_effort) {
        best_effort_runs.push_back(&name);
      } else if (run.latency_target_ms > 0) {
        max_tail_ratio = std::max(
            max_tail_ratio, static_cast<double>(run.load) /
                                static_cast<double>(run.latency_target_ms));
      }
    }
    const bool is_due =
        !best_effort_runs.empty() && target.m_is_responsive &&
        target.m_last_report_attempt >= target.m_last_paced + kPacePeriod &&
        now >= target.m_last_paced + kPacePeriod;
    if (!is_due) {
      continue;
    }
    target.m_last_paced = now;
    for (const TaskName* name : best_effort_runs) {
      Run& run = target.GetRuns()[*name];
      const int percent = DecideBestEffortPercent(
          max_tail_ratio, std::max(0, run.paced_percent));
      if (percent != run.paced_percent) {
        run.paced_percent = percent;
        orders.paces.push_back(PaceOrder{id, target.m_entry.address, *name,
                                         run.number, percent, target.m_fence});
      }
    }
  }
}

void PoolScheduler::OnPaceResult(const PaceOrder& order,
                                 const OrderResult& result) {
  if (result.outcome == OrderOutcome::kFenced) {
    OnFenced(order.target, order.fence);
  }
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr || result.outcome == OrderOutcome::kAccepted) {
    return;
  }
  const auto found = target->GetRuns().find(order.task);
  if (found != target->GetRuns().end() && found->second.number == order.run) {
    // The share in force is unknown; an invalid value makes the next decision
    // send it again.
    found->second.paced_percent = -1;
  }
}

}  // namespace shallotwick::scheduling
