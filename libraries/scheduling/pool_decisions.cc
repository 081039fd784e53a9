// Task placement: decides which tasks start on which targets.

#include <algorithm>
#include <utility>

#include "scheduling/placement_pass.h"
#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

constexpr auto kUnhealthyBackoff = std::chrono::milliseconds(1'000);
constexpr auto kUnreachableBackoff = std::chrono::milliseconds(500);
constexpr auto kNoRoomBackoff = std::chrono::milliseconds(300);
constexpr auto kInvalidOrderBackoff = std::chrono::milliseconds(2'000);
constexpr auto kNoTicketBackoff = std::chrono::milliseconds(1'000);
// Long-running tasks have no time to wait for the end of a long quarantine.
constexpr auto kSuspensionTime = std::chrono::milliseconds(1'500);
constexpr auto kStallCheckPeriod = std::chrono::milliseconds(200);
// A lapsed owner starts tasks on targets that have reported within this time. A
// target with runs reports as soon as one ends.
constexpr auto kMaxLapsedReportAge = std::chrono::milliseconds(300);
constexpr auto kPlacementPeriod = std::chrono::milliseconds(50);
// Longer than hosts are prepared for maintenance unless something holds it up.
constexpr auto kMaxCordonOfWholePool = std::chrono::milliseconds(2'000);
// More starts would wait for a connection to the target, and their answers for
// each other. Gangs start as a whole.
constexpr int kMaxStartsPerTarget = 8;
// Occurrences start no earlier than this long after their due time on the
// host's clock.
constexpr int64_t kClockMarginMs = 20;

int64_t PredictChainMs(const RunTimeCorrection& correction,
                       const Chain& chain) {
  return static_cast<int64_t>(
      correction.Apply(static_cast<double>(chain.estimate_ms), chain.tasks));
}

const char* ExplainRefusal(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kNoCapacity:
      return "no room";
    case OrderOutcome::kOutdated:
      return "outdated run";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kNotSent:
      return "unreachable";
    case OrderOutcome::kNoTicket:
      return "no ticket";
    case OrderOutcome::kLeaseExpired:
      return "lease expired";
    case OrderOutcome::kFenced:
      return "overtaken by a higher fencing token";
    case OrderOutcome::kOtherIncarnation:
      return "another process is at the address";
    default:
      return "invalid";
  }
}

}  // namespace

PoolOrders PoolScheduler::Decide(base::TimePoint now, int64_t wall_ms) {
  PoolOrders orders;
  DropExpiredTargets(now);
  if (now >= m_last_stall_check + kStallCheckPeriod) {
    m_last_stall_check = now;
    StopStalledRuns(now);
  }
  // Backoffs expire and occurrences fall due without an event, so placement
  // also runs periodically.
  if (m_may_start_more || now >= m_last_placement + kPlacementPeriod) {
    m_may_start_more = false;
    m_last_placement = now;
    StartWaitingTasks(now, wall_ms, orders);
    LogWaitingTasks(now, wall_ms);
  }
  AddStopOrders(now, orders);
  PaceBestEffortRuns(now, orders);
  return orders;
}

bool PoolScheduler::IsUsable(const TargetLedger& target,
                             base::TimePoint now) const {
  return !target.m_is_cordoned && ExplainUnusable(target, now) == nullptr;
}

const char* PoolScheduler::ExplainUnusable(const TargetLedger& target,
                                           base::TimePoint now) const {
  if (!target.m_is_registered) {
    return "room only on a target that has left the registry";
  }
  if (target.m_entry.draining) {
    return "room only on a target that drains";
  }
  if (!target.m_is_responsive || !target.m_has_accepted_token ||
      !target.HasClock()) {
    return "room only on a target that has not answered";
  }
  if (!target.m_is_in_roster) {
    return "room only on a target that the stored roster lacks";
  }
  const bool is_known_incarnation =
      target.m_entry.incarnation_started_ms == 0 ||
      target.m_reported_born_ms == 0 ||
      target.m_entry.incarnation_started_ms == target.m_reported_born_ms;
  if (!is_known_incarnation) {
    return "room only on a target whose restart the registry does not show";
  }
  // Idle targets are not asked for reports, and an owner that was suspended has
  // not noticed a restart yet.
  const bool is_met =
      m_is_ownership_confirmed ||
      (target.m_was_met_by_confirmed_owner && target.m_missed_reports == 0 &&
       target.HasReportWithin(kMaxLapsedReportAge, now));
  if (!is_met) {
    return "room only on a target that another owner may have";
  }
  if (m_may_host_be_leaving(target.m_entry.host)) {
    return "room only on a target whose host a former owner may move";
  }
  if (now < target.m_suspended_until) {
    return "room only on a target in back-off";
  }
  if (target.HasUnknownDemand()) {
    return "room only on a target with runs of unknown jobs";
  }
  return nullptr;
}

const TargetLedger* PoolScheduler::FindTargetPendingToken(
    base::TimePoint now) const {
  for (const auto& [id, target] : m_targets) {
    if (!target.m_has_answered_owner && target.GetLeaseBound() > now) {
      return &target;
    }
  }
  return nullptr;
}

Candidate PoolScheduler::MakeCandidate(const TargetLedger& target,
                                       base::TimePoint now) {
  Candidate candidate;
  candidate.id = target.m_entry.id;
  candidate.rack = FindRack(target.m_entry.labels);
  candidate.labels = target.m_entry.labels;
  candidate.room = target.GetFreeCapacity();
  candidate.capacity = target.m_entry.capacity;
  candidate.failure_points = target.m_failure_points;
  candidate.is_quarantined = now < target.m_quarantined_until;
  candidate.is_suspended = candidate.is_quarantined &&
                           now < target.m_quarantined_since + kSuspensionTime;
  candidate.is_cordoned = target.m_is_cordoned;
  candidate.starts_left = kMaxStartsPerTarget;
  for (const auto& [name, run] : target.GetRuns()) {
    candidate.latency_bound_runs += run.latency_target_ms > 0 ? 1 : 0;
    candidate.starts_left -= run.state == RunState::kStarting ? 1 : 0;
  }
  return candidate;
}

std::vector<Candidate> PoolScheduler::MakeCandidates(
    base::TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, target] : m_targets) {
    const bool is_leaving = target.m_is_cordoned && target.m_is_leaving;
    if (!is_leaving && ExplainUnusable(target, now) == nullptr) {
      candidates.push_back(MakeCandidate(target, now));
    }
  }
  BoundQuarantine(candidates);
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
  input.is_failing = m_failures.IsFailing(job.GetSpec().id);
  input.is_excess = job.m_is_excess;
  input.is_over_share = m_customer_budget.IsOverShare(job.m_customer);
  input.due_since_ms = job.GetDueMs(job.GetFirstUnfinishedOccurrence());
  input.full_chain_ms = PredictChainMs(correction, job.GetFullChain());
  input.remaining_chain_ms =
      PredictChainMs(correction, job.GetRemainingChain());
  return RankJob(input, wall_ms);
}

std::vector<ActiveJob*> PoolScheduler::RankWaitingJobs(base::TimePoint now,
                                                       int64_t wall_ms) {
  const bool may_have_unknown_runs = FindTargetPendingToken(now) != nullptr;
  std::vector<std::pair<QueueRank, ActiveJob*>> ranked;
  for (auto& [id, job] : m_jobs) {
    const bool is_blocked =
        IsTerminal(job.m_state) || job.CountUnassigned() == 0 ||
        m_moving_jobs.count(id) > 0 || now < job.m_not_before ||
        (job.m_predates_ownership && may_have_unknown_runs);
    if (is_blocked) {
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

void PoolScheduler::LiftCordonsOfWholePool(std::vector<Candidate>& candidates,
                                           base::TimePoint now) {
  const bool are_all_cordoned =
      !candidates.empty() &&
      std::all_of(candidates.begin(), candidates.end(),
                  [](const Candidate& each) { return each.is_cordoned; });
  if (!are_all_cordoned) {
    m_all_cordoned_since.reset();
    return;
  }
  const auto since = m_all_cordoned_since.value_or(now);
  m_all_cordoned_since = since;
  if (now < since + kMaxCordonOfWholePool) {
    return;
  }
  for (Candidate& candidate : candidates) {
    candidate.is_cordoned = false;
  }
}

void PoolScheduler::StartWaitingTasks(base::TimePoint now, int64_t wall_ms,
                                      PoolOrders& orders) {
  CountArrivals();
  CountCustomerUse(now);
  m_start_window.OnPass(now);
  if (m_start_window.GetRoom() == 0) {
    m_start_window.OnLimited();
    m_customer_budget.EndPass({});
    return;
  }
  UpdatePoolFit();
  const bool has_cordons =
      std::any_of(m_targets.begin(), m_targets.end(),
                  [](const auto& entry) { return entry.second.m_is_cordoned; });
  // The room is needed by nobody. Its sum takes long while the runs of large
  // jobs are stopped.
  if (m_jobs.empty() && !has_cordons && !m_customer_budget.IsNeeded()) {
    m_all_cordoned_since.reset();
    m_customer_budget.EndPass({});
    return;
  }
  std::vector<Candidate> candidates = MakeCandidates(now);
  LiftCordonsOfWholePool(candidates, now);
  if (!candidates.empty() && !m_jobs.empty()) {
    StartOnCandidates(candidates, now, wall_ms, orders);
  }
  Resources room;
  for (const Candidate& candidate : candidates) {
    room = room + candidate.room;
  }
  m_customer_budget.EndPass(room);
}

void PoolScheduler::StartOnCandidates(std::vector<Candidate>& candidates,
                                      base::TimePoint now, int64_t wall_ms,
                                      PoolOrders& orders) {
  PlacementPass pass(candidates);
  const std::vector<ActiveJob*> jobs = RankWaitingJobs(now, wall_ms);
  // The jobs of customers that have come to use more than their share in this
  // pass.
  std::vector<ActiveJob*> deferred;
  const auto start = [&](ActiveJob& job) {
    if (m_customer_budget.IsOverShare(job.m_customer)) {
      deferred.push_back(&job);
      return true;
    }
    return StartJob(job, pass, candidates, now, wall_ms, orders);
  };
  size_t next = 0;
  for (; next < jobs.size() && !pass.HasSpentHalf(); ++next) {
    if (!start(*jobs[next])) {
      return;
    }
  }
  // Goes on where the last pass has ended.
  if (m_next_rank > next && m_next_rank < jobs.size()) {
    next = m_next_rank;
  }
  m_next_rank = 0;
  for (; next < jobs.size(); ++next) {
    if (pass.HasSpentAll()) {
      m_next_rank = next;
      m_may_start_more = true;
      return;
    }
    if (!start(*jobs[next])) {
      return;
    }
  }
  for (ActiveJob* job : deferred) {
    if (pass.HasSpentAll() ||
        !StartJob(*job, pass, candidates, now, wall_ms, orders)) {
      return;
    }
  }
}

bool PoolScheduler::StartJob(ActiveJob& job, PlacementPass& pass,
                             std::vector<Candidate>& candidates,
                             base::TimePoint now, int64_t wall_ms,
                             PoolOrders& orders) {
  const JobSpec& spec = job.GetSpec();
  for (int k = 0; k < spec.GetOccurrenceCount(); ++k) {
    if (spec.occurrences > 0 && job.GetDueMs(k) + kClockMarginMs > wall_ms) {
      break;
    }
    for (int i = 0; i < static_cast<int>(spec.steps.size()); ++i) {
      const StepSpec& step = spec.steps[static_cast<size_t>(i)];
      const bool is_waiting = job.CountUnfinished(k, i) > 0 &&
                              !pass.HasNoRoom(step) && job.IsStepReady(k, i);
      if (!is_waiting || !CanRunInPool(job, {k, i}) ||
          StartStep(job, {k, i}, pass, candidates, now, orders)) {
        continue;
      }
      pass.AddFailure(step, candidates);
      // The steps behind a gang that waits for room in the window would take
      // it for good.
      const bool is_gang_held_back = step.gang && m_start_window.HoldsBack();
      if (is_gang_held_back || m_start_window.GetRoom() == 0) {
        return false;
      }
    }
  }
  return true;
}

void PoolScheduler::UpdatePoolFit() {
  if (!std::exchange(m_has_pool_changed, false)) {
    return;
  }
  StepFit::Shapes shapes;
  for (const auto& [id, target] : m_targets) {
    if (target.m_is_registered) {
      ++shapes[{target.m_entry.capacity, target.m_entry.labels}];
    }
  }
  m_pool_fit.SetTargets(shapes);
}

bool PoolScheduler::CanRunInPool(ActiveJob& job, StepPosition position) {
  const auto [occurrence, index] = position;
  const JobSpec& spec = job.GetSpec();
  if (m_pool_fit.CouldRun(spec.steps[static_cast<size_t>(index)])) {
    return true;
  }
  if (!std::exchange(job.m_is_misfit_logged, true)) {
    LogDecision("task-waits", {spec.id, occurrence, index, 0}, 0, "",
                kFitsNowhere);
  }
  return false;
}

std::vector<int> PoolScheduler::ListWaitingTasks(ActiveJob& job,
                                                 StepPosition position) {
  const auto& tasks = job.GetStep(position.first, position.second);
  std::vector<int> waiting;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    const ActiveTask& task = tasks[static_cast<size_t>(i)];
    if (!task.progress.done && task.target.empty()) {
      waiting.push_back(i);
    }
  }
  return waiting;
}

PlacementRequest PoolScheduler::MakePlacementRequest(ActiveJob& job,
                                                     StepPosition position) {
  PlacementRequest request;
  request.step = &job.GetSpec().steps[static_cast<size_t>(position.second)];
  request.preferred_rack = request.step->data_rack;
  for (const ActiveTask& task : job.GetStep(position.first, position.second)) {
    if (!task.progress.done && !task.target.empty()) {
      ++request.sibling_counts[task.target];
    }
  }
  return request;
}

// Starts as many tasks of a step as possible. Returns false if a task could not
// be placed.
bool PoolScheduler::StartStep(ActiveJob& job, StepPosition position,
                              PlacementPass& pass,
                              std::vector<Candidate>& candidates,
                              base::TimePoint now, PoolOrders& orders) {
  const auto [occurrence, step_index] = position;
  const StepSpec& step = job.GetSpec().steps[static_cast<size_t>(step_index)];
  auto& tasks = job.GetStep(occurrence, step_index);
  std::vector<int> waiting = ListWaitingTasks(job, position);
  // A gang is started as a whole.
  const auto is_in_backoff = [&tasks, now](int i) {
    return now < tasks[static_cast<size_t>(i)].not_before;
  };
  if (step.gang && std::any_of(waiting.begin(), waiting.end(), is_in_backoff)) {
    return true;
  }
  std::erase_if(waiting, is_in_backoff);
  if (waiting.empty() || !FitsLeaseLimit(job, step_index, now)) {
    return true;
  }
  // A gang is restarted only as a whole, under one run number.
  if (step.gang && waiting.size() < tasks.size()) {
    return true;
  }
  // A gang waits for room for all of its starts, or for all orders in flight.
  const size_t start_room = m_start_window.GetRoom();
  const bool must_wait =
      start_room == 0 || (step.gang && start_room < waiting.size() &&
                          m_start_window.GetInFlight() > 0);
  if (must_wait) {
    m_start_window.OnLimited();
    return false;
  }
  if (step.gang &&
      !m_customer_budget.Allows(job.m_customer, step.demand,
                                static_cast<int>(waiting.size()))) {
    m_customer_budget.AddBlocked(job.m_customer, step.demand,
                                 static_cast<int>(waiting.size()));
    return true;
  }
  PlacementRequest request = MakePlacementRequest(job, position);
  const Resources demand = GetReservedResources(step.demand, step.best_effort);
  std::vector<std::pair<int, size_t>> placements;
  bool is_limited = false;
  for (int i : waiting) {
    if (!step.gang && placements.size() == start_room) {
      m_start_window.OnLimited();
      break;
    }
    is_limited =
        !step.gang && !m_customer_budget.Allows(job.m_customer, step.demand, 1);
    if (is_limited) {
      m_customer_budget.AddBlocked(
          job.m_customer, step.demand,
          static_cast<int>(waiting.size() - placements.size()));
      break;
    }
    const ActiveTask& task = tasks[static_cast<size_t>(i)];
    const TaskName name{job.GetSpec().id, occurrence, step_index, i};
    request.avoided = {task.avoided_target};
    // An earlier run of the task is still being stopped there.
    request.excluded = m_stops.FindTargets(name);
    pass.AddSearch();
    const std::optional<size_t> candidate_index =
        PlaceTask(request, candidates);
    if (!candidate_index) {
      // The others have the same needs, but not the same earlier runs.
      if (request.excluded.empty() || step.gang) {
        break;
      }
      continue;
    }
    Candidate& chosen = candidates[*candidate_index];
    chosen.room = chosen.room - demand;
    chosen.starts_left -= step.gang ? 0 : 1;
    chosen.latency_bound_runs += step.latency_target_ms > 0 ? 1 : 0;
    ++request.sibling_counts[chosen.id];
    if (step.same_rack && request.preferred_rack.empty()) {
      request.preferred_rack = chosen.rack;
    }
    placements.emplace_back(i, *candidate_index);
    if (!step.gang) {
      m_customer_budget.AddUse(job.m_customer, step.demand);
    }
  }
  const bool is_complete = placements.size() == waiting.size();
  if (step.gang && !is_complete) {
    for (const auto& [i, candidate_index] : placements) {
      candidates[candidate_index].room =
          candidates[candidate_index].room + demand;
    }
    return false;
  }
  int64_t last_run = 0;
  for (const ActiveTask& task : tasks) {
    last_run = std::max(last_run, task.last_run);
  }
  for (const auto& [i, candidate_index] : placements) {
    const int64_t previous_run =
        step.gang ? last_run : tasks[static_cast<size_t>(i)].last_run;
    orders.starts.push_back(StartTask(
        job, TaskName{job.GetSpec().id, occurrence, step_index, i},
        m_targets.at(candidates[candidate_index].id),
        std::max(previous_run + 1,
                 job.GetSpec().last_earlier_run + m_options.first_run),
        now));
    if (step.gang) {
      m_customer_budget.AddUse(job.m_customer, step.demand);
    }
  }
  // A task behind its customer's limit says nothing of the room on targets.
  return is_complete || is_limited;
}

StartOrder PoolScheduler::StartTask(ActiveJob& job, const TaskName& name,
                                    TargetLedger& target, int64_t run,
                                    base::TimePoint now) {
  const StepSpec& step = job.GetSpec().steps[static_cast<size_t>(name.step)];
  ActiveTask& task = *job.FindTask(name);
  job.AssignRun(task, target.m_entry.id, run);
  Run entry = MakeRun(run, &step, now);
  entry.customer = job.m_customer;
  entry.fence = target.m_fence;
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
  order.fence = target.m_fence;
  order.lease_until_ms = GrantLease(target, now);
  order.decided = now;
  m_start_window.OnSent();
  return order;
}

void PoolScheduler::OnStartResult(const StartOrder& order,
                                  const OrderResult& result,
                                  base::TimePoint now) {
  m_start_window.OnResult(result.outcome, now - order.decided);
  m_may_start_more = m_may_start_more || m_start_window.HasRoomForNextPass();
  if (result.outcome == OrderOutcome::kFenced) {
    OnFenced(order.target, order.fence);
  }
  TargetLedger* target = FindTarget(order.target);
  if (target == nullptr) {
    return;
  }
  const bool is_of_current_incarnation =
      order.fence >= target->m_required_fence;
  if (result.clock_ms && is_of_current_incarnation) {
    target->ObserveClock(*result.clock_ms, now);
  }
  if (result.outcome == OrderOutcome::kOtherIncarnation &&
      EndIfReplaced(order.target, order.address, order.fence,
                    "another incarnation answered a start order")) {
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
      run.last_state_change = now;
    }
    ActiveJob* job = FindJob(order.task.job);
    if (job != nullptr && job->m_state == JobState::kQueued) {
      job->m_state = JobState::kRunning;
      m_changes.MarkStarted(job->GetSpec().id);
    }
    return;
  }
  if (result.outcome == OrderOutcome::kUnknown) {
    if (run.state == RunState::kStarting) {
      run.state = RunState::kUncertain;
      run.last_state_change = now;
      LogDecision("start-unanswered", order.task, order.run, order.target,
                  "no response");
      ShutOutStart(*target, order.task);
    }
    return;
  }
  LogDecision("start-refused", order.task, order.run, order.target,
              ExplainRefusal(result.outcome));
  // Another run of the task may be present; the next report lists it.
  if (result.outcome == OrderOutcome::kOutdated) {
    if (run.state == RunState::kStarting) {
      run.state = RunState::kUncertain;
      run.last_state_change = now;
      ShutOutStart(*target, order.task);
    }
    return;
  }
  DropRun(*target, order.task);
  ActiveJob* job = FindJob(order.task.job);
  switch (result.outcome) {
    case OrderOutcome::kNoCapacity:
      target->m_suspended_until = now + kNoRoomBackoff;
      break;
    case OrderOutcome::kUnhealthy:
      target->m_suspended_until = now + kUnhealthyBackoff;
      break;
    case OrderOutcome::kNotSent:
      target->m_suspended_until = now + kUnreachableBackoff;
      break;
    case OrderOutcome::kLeaseExpired:
      target->m_has_accepted_token = false;
      break;
    case OrderOutcome::kInvalid:
    case OrderOutcome::kNoTicket:
      if (job != nullptr) {
        job->m_not_before = now + (result.outcome == OrderOutcome::kInvalid
                                       ? kInvalidOrderBackoff
                                       : kNoTicketBackoff);
      }
      break;
    default:
      break;
  }
}

}  // namespace shallotwick::scheduling
