// Jobs whose route another service serves now.

#include <algorithm>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {

std::vector<std::string> PoolScheduler::ListMovableJobs(
    const std::set<std::string>& routes, size_t max_count,
    base::TimePoint now) const {
  const bool may_have_unknown_runs = FindTargetPendingToken(now) != nullptr;
  std::set<std::string> movable;
  for (const auto& [id, job] : m_jobs) {
    const bool may_have_unknown_run =
        job.m_predates_ownership && may_have_unknown_runs;
    if (!IsTerminal(job.m_state) && routes.count(job.GetSpec().route) > 0 &&
        m_moving_jobs.count(id) == 0 && !may_have_unknown_run &&
        !m_changes.HasChanges(id)) {
      movable.insert(id);
    }
  }
  if (movable.empty()) {
    return {};
  }
  for (const auto& [id, target] : m_targets) {
    for (const auto& [name, run] : target.GetRuns()) {
      movable.erase(name.job);
    }
  }
  std::vector<std::string> jobs(movable.begin(), movable.end());
  jobs.resize(std::min(jobs.size(), max_count));
  return jobs;
}

MovedJob PoolScheduler::BeginMove(const std::string& id) {
  m_moving_jobs.insert(id);
  m_changes.Hold(id);
  const ActiveJob& job = m_jobs.at(id);
  MovedJob moved{job.GetSpec(), job.MakeProgress()};
  // Run numbers of former owners are below the first one of this ownership.
  moved.spec.last_earlier_run = std::max(
      moved.spec.last_earlier_run + m_options.first_run, job.GetLastRun());
  moved.spec.has_earlier_progress =
      moved.progress != MakeInitialProgress(moved.spec);
  return moved;
}

void PoolScheduler::EndMove(const std::string& id, bool has_left) {
  m_moving_jobs.erase(id);
  ActiveJob* job = FindJob(id);
  if (job == nullptr) {
    m_changes.Remove(id);
    return;
  }
  if (!has_left) {
    ReleaseChanges(id);
    m_may_start_more = true;
    return;
  }
  LogDecision("job-moved", TaskName{id, 0, 0, 0}, 0, "",
              "another service serves its route");
  AssessTargets(m_failures.OnJobEnded(id), {}, "");
  // A run may have been reported meanwhile that counted as gone.
  StopRuns(*job);
  m_changes.Remove(id);
  m_jobs.erase(id);
}

}  // namespace shallotwick::scheduling
