// Which tasks start where.

#include <algorithm>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

constexpr auto kUnhealthyPause = std::chrono::milliseconds(1'000);
constexpr auto kUnreachablePause = std::chrono::milliseconds(500);
constexpr auto kNoRoomPause = std::chrono::milliseconds(300);
constexpr auto kInvalidOrderPause = std::chrono::milliseconds(2'000);
constexpr auto kNoTicketPause = std::chrono::milliseconds(1'000);
// Steps in a row that found no place, after which the pool counts as full.
constexpr int kMostFutileSteps = 40;
constexpr auto kStallCheckPeriod = std::chrono::milliseconds(200);
constexpr auto kPlacementPeriod = std::chrono::milliseconds(50);
// Schedules start no earlier than this before the host's clock says so.
constexpr int64_t kClockMarginMs = 20;

int64_t PredictChainMs(const RunTimeCorrection& correction,
                       const Chain& chain) {
  return static_cast<int64_t>(
      correction.Apply(static_cast<double>(chain.estimate_ms), chain.tasks));
}

}  // namespace

PoolOrders PoolScheduler::Decide(base::TimePoint now, int64_t wall_ms) {
  PoolOrders orders;
  LoseExpiredTargets(now);
  if (now >= m_last_stall_check + kStallCheckPeriod) {
    m_last_stall_check = now;
    StopStalledRuns(now);
  }
  // Pauses of targets and due times pass without an event.
  if (m_may_start_more || now >= m_last_placement + kPlacementPeriod) {
    m_may_start_more = false;
    m_last_placement = now;
    StartWaitingTasks(now, wall_ms, orders);
  }
  SendStops(now, orders);
  PaceBestEffortRuns(now, orders);
  return orders;
}

bool PoolScheduler::IsUsable(const TargetLedger& target,
                             base::TimePoint now) const {
  const bool is_known_incarnation =
      target.m_entry.born_ms == 0 || target.m_reported_born_ms == 0 ||
      target.m_entry.born_ms == target.m_reported_born_ms;
  return target.m_is_registered && !target.m_entry.draining &&
         target.m_is_fenced && target.m_is_in_roster &&
         target.m_is_responsive && !target.m_is_cordoned && target.HasClock() &&
         is_known_incarnation && now >= target.m_suspended_until &&
         !target.HasUnknownDemand();
}

bool PoolScheduler::IsAnyUnfenced(base::TimePoint now) const {
  return std::any_of(
      m_targets.begin(), m_targets.end(), [now](const auto& entry) {
        return !entry.second.m_is_fenced && entry.second.m_lease_bound > now;
      });
}

std::vector<Candidate> PoolScheduler::MakeCandidates(
    base::TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, target] : m_targets) {
    if (!IsUsable(target, now)) {
      continue;
    }
    Candidate candidate;
    candidate.id = id;
    candidate.rack = FindRack(target.m_entry.labels);
    candidate.labels = target.m_entry.labels;
    candidate.room = target.GetRoom();
    candidate.failure_streak = target.m_failure_streak;
    for (const auto& [name, run] : target.GetRuns()) {
      candidate.latency_bound_runs += run.latency_target_ms > 0 ? 1 : 0;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

QueueRank PoolScheduler::Rank(const ActiveJob& job,
                              const RunTimeCorrection& correction,
                              int64_t wall_ms) const {
  QueueInput input;
  const auto route = m_routes.find(job.GetSpec().route);
  if (route != m_routes.end()) {
    input.policy = route->second;
  }
  input.long_running = job.HasLongRunningStep();
  input.due_since_ms = job.GetDueMs(job.GetFirstOpenOccurrence());
  input.whole_chain_ms = PredictChainMs(correction, job.GetWholeChain());
  input.remaining_chain_ms =
      PredictChainMs(correction, job.GetRemainingChain());
  return RankJob(input, wall_ms);
}

std::vector<ActiveJob*> PoolScheduler::RankWaitingJobs(base::TimePoint now,
                                                       int64_t wall_ms) {
  const bool may_run_elsewhere = IsAnyUnfenced(now);
  std::vector<std::pair<QueueRank, ActiveJob*>> ranked;
  for (auto& [id, job] : m_jobs) {
    const bool is_held_back = IsTerminal(job.m_state) || job.CountIdle() == 0 ||
                              now < job.m_not_before ||
                              (job.m_predates_ownership && may_run_elsewhere);
    if (is_held_back) {
      continue;
    }
    const RunTimeCorrection correction =
        m_run_times.GetCorrection(job.GetSpec().route);
    ranked.emplace_back(Rank(job, correction, wall_ms), &job);
  }
  std::sort(
      ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.first != right.first
                   ? left.first < right.first
                   : left.second->GetSpec().id < right.second->GetSpec().id;
      });
  std::vector<ActiveJob*> jobs;
  jobs.reserve(ranked.size());
  for (const auto& [rank, job] : ranked) {
    jobs.push_back(job);
  }
  return jobs;
}

void PoolScheduler::StartWaitingTasks(base::TimePoint now, int64_t wall_ms,
                                      PoolOrders& orders) {
  std::vector<Candidate> candidates = MakeCandidates(now);
  if (candidates.empty() || m_jobs.empty()) {
    return;
  }
  int futile_steps = 0;
  for (ActiveJob* job : RankWaitingJobs(now, wall_ms)) {
    const JobSpec& spec = job->GetSpec();
    for (int k = 0; k < spec.GetOccurrenceCount(); ++k) {
      if (spec.occurrences > 0 && job->GetDueMs(k) + kClockMarginMs > wall_ms) {
        break;
      }
      for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
        if (job->CountOpen(k, step) == 0 || !job->IsStepReady(k, step)) {
          continue;
        }
        if (!StartStep(*job, {k, step}, candidates, now, orders) &&
            ++futile_steps >= kMostFutileSteps) {
          return;
        }
      }
    }
  }
}

// Starts what it can of one step. Returns false if a task found no place.
bool PoolScheduler::StartStep(ActiveJob& job, Position position,
                              std::vector<Candidate>& candidates,
                              base::TimePoint now, PoolOrders& orders) {
  const auto [occurrence, step_index] = position;
  const StepSpec& step = job.GetSpec().steps[static_cast<size_t>(step_index)];
  auto& tasks = job.GetStep(occurrence, step_index);
  PlacementRequest request;
  request.step = &step;
  request.preferred_rack = step.data_rack;
  std::vector<int> waiting;
  int64_t last_run = 0;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    const ActiveTask& task = tasks[static_cast<size_t>(i)];
    last_run = std::max(last_run, task.last_run);
    if (task.progress.done) {
      continue;
    }
    if (!task.target.empty()) {
      ++request.siblings[task.target];
      continue;
    }
    waiting.push_back(i);
  }
  if (waiting.empty()) {
    return true;
  }
  // A gang starts again only as a whole, under one run number.
  if (step.gang && waiting.size() < tasks.size()) {
    return true;
  }
  const Resources demand = GetReserved(step.demand, step.best_effort);
  std::vector<std::pair<int, size_t>> placed;
  for (int i : waiting) {
    const ActiveTask& task = tasks[static_cast<size_t>(i)];
    const TaskName name{job.GetSpec().id, occurrence, step_index, i};
    request.avoided = {task.avoided_target};
    request.excluded = FindTargetsOf(name);
    const std::optional<size_t> place = PlaceTask(request, candidates);
    if (!place) {
      break;
    }
    Candidate& chosen = candidates[*place];
    chosen.room = chosen.room - demand;
    chosen.latency_bound_runs += step.latency_target_ms > 0 ? 1 : 0;
    ++request.siblings[chosen.id];
    if (step.same_rack && request.preferred_rack.empty()) {
      request.preferred_rack = chosen.rack;
    }
    placed.emplace_back(i, *place);
  }
  const bool is_whole = placed.size() == waiting.size();
  if (step.gang && !is_whole) {
    for (const auto& [i, place] : placed) {
      candidates[place].room = candidates[place].room + demand;
    }
    return false;
  }
  for (const auto& [i, place] : placed) {
    const int64_t before =
        step.gang ? last_run : tasks[static_cast<size_t>(i)].last_run;
    orders.starts.push_back(
        StartTask(job, TaskName{job.GetSpec().id, occurrence, step_index, i},
                  m_targets.at(candidates[place].id),
                  std::max(before + 1, m_options.first_run), now));
  }
  return is_whole;
}

// The targets on which an earlier run of a task is still being stopped.
std::set<std::string> PoolScheduler::FindTargetsOf(const TaskName& name) const {
  std::set<std::string> ids;
  for (const auto& [id, stopping] : m_stopping) {
    if (stopping == name) {
      ids.insert(id);
    }
  }
  return ids;
}

StartOrder PoolScheduler::StartTask(ActiveJob& job, const TaskName& name,
                                    TargetLedger& target, int64_t run,
                                    base::TimePoint now) {
  const StepSpec& step = job.GetSpec().steps[static_cast<size_t>(name.step)];
  ActiveTask& task = *job.FindTask(name);
  job.AssignRun(task, target.m_entry.id, run);
  Run entry = MakeRun(run, &step, now);
  entry.checkpoint = task.progress.checkpoint;
  entry.is_resumed = !task.progress.checkpoint.empty();
  target.GetRuns()[name] = entry;
  StartOrder order;
  order.target = target.m_entry.id;
  order.address = target.m_entry.address;
  order.task = name;
  order.run = run;
  order.payload = job.GetSpec().payload;
  order.checkpoint = task.progress.checkpoint;
  order.fence = m_options.fence;
  order.lease_until_ms = GrantLease(target, now);
  return order;
}

void PoolScheduler::OnStartResult(const StartOrder& order,
                                  const OrderResult& result,
                                  base::TimePoint now) {
  if (result.outcome == OrderOutcome::kFenced) {
    m_is_superseded = true;
    return;
  }
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr) {
    return;
  }
  if (result.clock_ms) {
    target->ObserveClock(*result.clock_ms, now);
  }
  if (result.outcome == OrderOutcome::kOtherIncarnation) {
    OnTargetDead(order.target);
    return;
  }
  const auto found = target->GetRuns().find(order.task);
  if (found == target->GetRuns().end() || found->second.number != order.run) {
    return;
  }
  Run& run = found->second;
  if (result.outcome == OrderOutcome::kAccepted) {
    if (run.state == RunState::kStarting) {
      run.state = RunState::kPresent;
      run.changed = now;
    }
    ActiveJob* job = FindJob(order.task.job);
    if (job != nullptr && job->m_state == JobState::kQueued) {
      job->m_state = JobState::kRunning;
      m_changes.MarkBegun(job->GetSpec().id);
    }
    return;
  }
  if (result.outcome == OrderOutcome::kUnknown) {
    if (run.state == RunState::kStarting) {
      run.state = RunState::kUncertain;
      run.changed = now;
    }
    return;
  }
  Note("start-refused", order.task, order.run, order.target,
       result.outcome == OrderOutcome::kNoRoom         ? "no room"
       : result.outcome == OrderOutcome::kOutdated     ? "outdated run"
       : result.outcome == OrderOutcome::kUnhealthy    ? "unhealthy"
       : result.outcome == OrderOutcome::kNotSent      ? "unreachable"
       : result.outcome == OrderOutcome::kNoTicket     ? "no ticket"
       : result.outcome == OrderOutcome::kLeaseExpired ? "lease expired"
                                                       : "invalid");
  DropRun(*target, order.task);
  ActiveJob* job = FindJob(order.task.job);
  switch (result.outcome) {
    case OrderOutcome::kNoRoom:
      target->m_suspended_until = now + kNoRoomPause;
      break;
    case OrderOutcome::kUnhealthy:
      target->m_suspended_until = now + kUnhealthyPause;
      break;
    case OrderOutcome::kNotSent:
      target->m_suspended_until = now + kUnreachablePause;
      break;
    case OrderOutcome::kLeaseExpired:
      target->m_is_fenced = false;
      break;
    case OrderOutcome::kInvalid:
    case OrderOutcome::kNoTicket:
      if (job != nullptr) {
        job->m_not_before =
            now + (result.outcome == OrderOutcome::kInvalid ? kInvalidOrderPause
                                                            : kNoTicketPause);
      }
      break;
    default:
      break;
  }
}

}  // namespace shallotwick::scheduling
