#include "promises.h"

#include <map>

namespace shallotwick::soak {
namespace {

using standin::RunEvent;

// From the confirmation of a cancellation until nothing more is ordered, not
// counting time without the store, from which owners learn of it, and time in
// which the owner is stopped.
constexpr auto kCancellationLimit = std::chrono::seconds(1);

// From the time at which a job is shown as completed until nothing of it is
// ordered any more.
constexpr auto kCompletionLimit = std::chrono::seconds(1);

std::string Describe(const RunEvent& event) {
  return event.task + " run " + std::to_string(event.run) + " on " +
         event.executor;
}

class Checker {
 public:
  Checker(const std::vector<CalledJob>& jobs,
          const standin::ClusterStandin& cluster, const PauseLog& pauses)
      : m_cluster(cluster), m_pauses(pauses) {
    for (const CalledJob& job : jobs) {
      m_jobs[job.id] = &job;
    }
    for (const RunEvent& end : cluster.GetNotedEnds()) {
      const auto known = m_noted.find(end.task);
      if (known == m_noted.end() || end.at < known->second) {
        m_noted[end.task] = end.at;
      }
    }
    for (const std::string& task : cluster.GetDoubledTasks()) {
      m_broken.push_back("two runs at the same time: " + task);
    }
    for (const RunEvent& event : cluster.GetEvents()) {
      if (event.what == "start") {
        CheckStart(event);
        CheckCapacity(event);
      } else {
        --m_present[event.executor];
      }
      if (event.what == "done") {
        m_done.emplace(event.task, event.at);
      }
    }
    for (const CalledJob& job : jobs) {
      CheckEnd(job);
    }
  }

  std::vector<std::string> m_broken;

 private:
  void CheckStart(const RunEvent& start) {
    const size_t dot = start.task.find('.');
    const auto found = m_jobs.find(start.task.substr(0, dot));
    if (found == m_jobs.end()) {
      m_broken.push_back("start of a job that nobody handed in: " +
                         Describe(start));
      return;
    }
    const CalledJob& job = *found->second;
    if (!job.is_accepted && !job.is_unknown) {
      m_broken.push_back("start of a refused job: " + Describe(start));
    }
    const auto noted = m_noted.find(start.task);
    if (noted != m_noted.end() && start.at > noted->second) {
      m_broken.push_back("start after its end was taken note of: " +
                         Describe(start));
    }
    if (job.is_cancel_confirmed && start.ordered > job.cancel_confirmed_at &&
        m_pauses.GetActiveTime(start.fence, job.cancel_confirmed_at,
                               start.ordered, m_cluster) > kCancellationLimit) {
      m_broken.push_back("start after a confirmed cancellation: " +
                         Describe(start));
    }
    if (job.shown_completed_at &&
        start.ordered > *job.shown_completed_at + kCompletionLimit) {
      m_broken.push_back("start after its job was shown as completed by host-" +
                         std::to_string(job.shown_completed_by) + ": " +
                         Describe(start));
    }
    CheckOrder(job, start);
  }

  // Executors start whatever they are told to. A run that is being stopped is
  // present until it has ended.
  void CheckCapacity(const RunEvent& start) {
    const int64_t used = ++m_present[start.executor] * kTaskCpuMilli;
    if (used > standin::kMachineCpuMilli) {
      m_broken.push_back("start beyond the capacity: " + Describe(start) +
                         ", in use " + std::to_string(used));
    }
  }

  void CheckOrder(const CalledJob& job, const RunEvent& start) {
    // ID.0.STEP.INDEX
    const size_t from = job.id.size() + 3;
    const size_t step = std::stoul(start.task.substr(from));
    for (int i = 0; step > 0 && i < job.counts[step - 1]; ++i) {
      const std::string before = MakeTaskName(job, step - 1, i);
      if (m_done.count(before) == 0) {
        m_broken.push_back("start before " + before +
                           " was done: " + Describe(start));
      }
    }
  }

  void CheckEnd(const CalledJob& job) {
    if (!job.is_accepted) {
      return;
    }
    const bool may_be_cancelled = job.is_cancel_asked;
    if (job.state != "completed" &&
        !(may_be_cancelled && job.state == "cancelled")) {
      m_broken.push_back("accepted job " + job.id + " is \"" + job.state +
                         "\"");
    }
    for (size_t step = 0; job.shown_completed_at && step < job.counts.size();
         ++step) {
      for (int i = 0; i < job.counts[step]; ++i) {
        const std::string task = MakeTaskName(job, step, i);
        const auto done = m_done.find(task);
        if (done == m_done.end() || done->second > *job.shown_completed_at) {
          m_broken.push_back("completed without its task " + task);
        }
      }
    }
  }

  const standin::ClusterStandin& m_cluster;
  const PauseLog& m_pauses;
  std::map<std::string, const CalledJob*> m_jobs;
  std::map<std::string, std::chrono::steady_clock::time_point> m_noted;
  // When a run of a task first ended as done.
  std::map<std::string, std::chrono::steady_clock::time_point> m_done;
  // The runs that are present on each executor.
  std::map<std::string, int64_t> m_present;
};

}  // namespace

std::vector<std::string> FindBrokenPromises(
    const std::vector<CalledJob>& jobs, const standin::ClusterStandin& cluster,
    const PauseLog& pauses) {
  return Checker(jobs, cluster, pauses).m_broken;
}

}  // namespace shallotwick::soak
