// Which runs are stopped or slowed down, and how long runs are expected to
// take.

#include <algorithm>
#include <utility>

#include "scheduling/fill_pacing.h"
#include "scheduling/pool_scheduler.h"
#include "scheduling/stall_detection.h"

namespace shallotwick::scheduling {
namespace {

// A stop that was taken and has no effect yet is sent again after this time.
constexpr auto kRepeatStopAfter = std::chrono::milliseconds(1'500);
// A target on which a run stalled gets no new ones for this time.
constexpr auto kStalledTargetPause = std::chrono::milliseconds(2'000);
// Reports of the load are half a second old.
constexpr auto kPacePeriod = std::chrono::milliseconds(500);

}  // namespace

// At least the estimate: a stop that comes too early loses work.
base::Duration PoolScheduler::GetExpectedTime(const ActiveJob& job,
                                              int step) const {
  const auto estimate = static_cast<double>(
      job.GetSpec().steps[static_cast<size_t>(step)].estimate_ms);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(
          std::max(estimate, m_run_times.GetMeanMs(job.GetSpec().route))));
}

void PoolScheduler::LearnRunTime(const ActiveJob& job, int step, const Run& run,
                                 base::TimePoint now) {
  if (run.is_resumed) {
    return;
  }
  const double took_ms =
      std::chrono::duration<double, std::milli>(now - run.started).count();
  const auto estimate = static_cast<double>(
      job.GetSpec().steps[static_cast<size_t>(step)].estimate_ms);
  m_run_times.Learn(job.GetSpec().route, estimate, took_ms);
}

// A target can look sound while what runs there stands still; its tasks are
// stopped, so that they start elsewhere.
void PoolScheduler::StopStalledRuns(base::TimePoint now) {
  for (auto& [id, target] : m_targets) {
    if (!target.m_is_responsive) {
      continue;
    }
    std::vector<TaskName> stalled;
    for (const auto& [name, run] : target.GetRuns()) {
      ActiveJob* job = FindJob(name.job);
      const bool is_candidate =
          run.state == RunState::kPresent && job != nullptr &&
          !IsTerminal(job->m_state) &&
          !job->GetSpec().steps[static_cast<size_t>(name.step)].long_running &&
          !job->GetSpec().steps[static_cast<size_t>(name.step)].gang;
      if (!is_candidate) {
        continue;
      }
      RunPace pace;
      pace.elapsed = now - run.started;
      pace.since_progress = now - run.progressed;
      pace.percent = run.percent;
      pace.expected = GetExpectedTime(*job, name.step);
      if (IsStalled(pace)) {
        stalled.push_back(name);
      }
    }
    for (const TaskName& name : stalled) {
      const Run& run = target.GetRuns().at(name);
      Note("run-stalled", name, run.number, id,
           run.percent == 0 ? "no progress" : "slow");
      FindTask(name)->avoided_target = id;
      RequestStop(target, name);
    }
    if (!stalled.empty()) {
      ++target.m_failure_streak;
      target.m_suspended_until = now + kStalledTargetPause;
    }
  }
}

void PoolScheduler::SendStops(base::TimePoint now, PoolOrders& orders) {
  for (const auto& [id, name] : m_stopping) {
    TargetLedger* target = FindTarget(id);
    if (target == nullptr || !target->m_is_responsive) {
      continue;
    }
    const auto found = target->GetRuns().find(name);
    if (found == target->GetRuns().end()) {
      continue;
    }
    Run& run = found->second;
    const bool is_waiting =
        run.is_stop_in_flight ||
        (run.stop_accepted && now < *run.stop_accepted + kRepeatStopAfter);
    if (is_waiting) {
      continue;
    }
    run.is_stop_in_flight = true;
    orders.stops.push_back(StopOrder{id, target->m_entry.address, name,
                                     run.number, m_options.fence});
  }
}

void PoolScheduler::OnStopResult(const StopOrder& order,
                                 const OrderResult& result,
                                 base::TimePoint now) {
  if (result.outcome == OrderOutcome::kFenced) {
    m_is_superseded = true;
    return;
  }
  if (result.outcome == OrderOutcome::kOtherIncarnation) {
    OnTargetDead(order.target);
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
  const bool is_taken = result.outcome == OrderOutcome::kAccepted ||
                        result.outcome == OrderOutcome::kOutdated;
  if (is_taken) {
    found->second.stop_accepted = now;
  }
}

void PoolScheduler::PaceBestEffortRuns(base::TimePoint now,
                                       PoolOrders& orders) {
  for (auto& [id, target] : m_targets) {
    double worst = 0;
    std::vector<const TaskName*> fills;
    for (const auto& [name, run] : target.GetRuns()) {
      if (run.state != RunState::kPresent) {
        continue;
      }
      if (run.best_effort) {
        fills.push_back(&name);
      } else if (run.latency_target_ms > 0) {
        worst = std::max(worst, static_cast<double>(run.load) /
                                    static_cast<double>(run.latency_target_ms));
      }
    }
    const bool is_due =
        !fills.empty() && target.m_is_responsive &&
        target.m_last_report >= target.m_last_paced + kPacePeriod &&
        now >= target.m_last_paced + kPacePeriod;
    if (!is_due) {
      continue;
    }
    target.m_last_paced = now;
    for (const TaskName* name : fills) {
      Run& run = target.GetRuns()[*name];
      const int percent =
          DecideFillPercent(worst, std::max(0, run.paced_percent));
      if (percent != run.paced_percent) {
        run.paced_percent = percent;
        orders.paces.push_back(PaceOrder{id, target.m_entry.address, *name,
                                         run.number, percent, m_options.fence});
      }
    }
  }
}

void PoolScheduler::OnPaceResult(const PaceOrder& order,
                                 const OrderResult& result) {
  if (result.outcome == OrderOutcome::kFenced) {
    m_is_superseded = true;
    return;
  }
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr || result.outcome == OrderOutcome::kAccepted) {
    return;
  }
  const auto found = target->GetRuns().find(order.task);
  if (found != target->GetRuns().end() && found->second.number == order.run) {
    // Unknown from here on; the next decision sets it again.
    found->second.paced_percent = -1;
  }
}

}  // namespace shallotwick::scheduling
