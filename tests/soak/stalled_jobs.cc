#include "stalled_jobs.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace shallotwick::soak {
namespace {

using Time = std::chrono::steady_clock::time_point;
using standin::RunEvent;

class StallFinder {
 public:
  StallFinder(const std::vector<CalledJob>& jobs,
              const std::vector<RunEvent>& events, int64_t slots)
      : m_events(events), m_slots(slots) {
    for (const CalledJob& job : jobs) {
      if (job.is_accepted) {
        m_jobs[job.id].called = &job;
      }
    }
    for (size_t i = 0; i < events.size(); ++i) {
      if (events[i].what == "start") {
        m_last_starts[events[i].task] = i;
      }
    }
  }

  void Check(const CalmInterval& interval) {
    for (auto& [id, job] : m_jobs) {
      job = {job.called, 0, {}, std::nullopt};
    }
    m_present.clear();
    size_t next = 0;
    for (; next < m_events.size() && m_events[next].at <= interval.from;
         ++next) {
      Apply(next);
    }
    UpdateAll(interval.from);
    for (; next < m_events.size() && m_events[next].at < interval.until;
         ++next) {
      const bool had_room = HasRoom();
      JobState* job = Apply(next);
      if (HasRoom() != had_room) {
        UpdateAll(m_events[next].at);
      } else if (job != nullptr) {
        Update(*job, m_events[next].at);
      }
    }
    for (auto& [id, job] : m_jobs) {
      EndStall(job, interval.until);
    }
  }

  std::vector<StalledJob> m_stalled;

 private:
  struct JobState {
    const CalledJob* called = nullptr;
    int64_t present = 0;
    std::set<std::string> done;
    // Since when a task could run and none did.
    std::optional<Time> stalled_since;
  };

  // Returns the job of the event, if it was accepted.
  JobState* Apply(size_t number) {
    const RunEvent& event = m_events[number];
    const auto found = m_jobs.find(event.task.substr(0, event.task.find('.')));
    JobState* job = found == m_jobs.end() ? nullptr : &found->second;
    const auto run = std::make_pair(event.executor, event.task);
    if (event.what == "start") {
      m_present.insert(run);
    } else {
      m_present.erase(run);
    }
    if (job == nullptr) {
      return nullptr;
    }
    job->present += event.what == "start" ? 1 : -1;
    // An end that nobody has taken note of is lost with its executor; the task
    // then starts again.
    if (event.what == "done" && m_last_starts[event.task] < number) {
      job->done.insert(event.task);
    }
    return job;
  }

  bool HasRoom() const {
    const auto used = static_cast<int64_t>(m_present.size());
    return 2 * used < m_slots && m_slots - used >= 2;
  }

  static bool IsTurnOfTask(const JobState& job) {
    for (size_t step = 0; step < job.called->counts.size(); ++step) {
      for (int i = 0; i < job.called->counts[step]; ++i) {
        if (job.done.count(MakeTaskName(*job.called, step, i)) == 0) {
          return true;
        }
      }
    }
    return false;
  }

  void UpdateAll(Time at) {
    for (auto& [id, job] : m_jobs) {
      Update(job, at);
    }
  }

  void Update(JobState& job, Time at) {
    if (job.present > 0 || !HasRoom() || !IsTurnOfTask(job)) {
      EndStall(job, at);
    } else if (!job.stalled_since) {
      job.stalled_since = std::max(at, job.called->accepted_at);
    }
  }

  void EndStall(JobState& job, Time at) {
    if (!job.stalled_since) {
      return;
    }
    const Time from = *std::exchange(job.stalled_since, std::nullopt);
    const Time until = job.called->is_cancel_asked
                           ? std::min(at, job.called->cancel_asked_at)
                           : at;
    if (until - from >= kStallLimit && m_reported.insert(job.called).second) {
      m_stalled.push_back({job.called->id, from, until});
    }
  }

  const std::vector<RunEvent>& m_events;
  int64_t m_slots;
  std::map<std::string, JobState> m_jobs;
  std::map<std::string, size_t> m_last_starts;
  // Executors and the tasks that run there.
  std::set<std::pair<std::string, std::string>> m_present;
  std::set<const CalledJob*> m_reported;
};

}  // namespace

std::vector<StalledJob> FindStalledJobs(const std::vector<CalledJob>& jobs,
                                        const std::vector<RunEvent>& events,
                                        const std::vector<CalmInterval>& calm,
                                        std::chrono::milliseconds recovery,
                                        int64_t slots) {
  StallFinder finder(jobs, events, slots);
  for (const CalmInterval& interval : calm) {
    if (interval.from + recovery + kStallLimit <= interval.until) {
      finder.Check({interval.from + recovery, interval.until});
    }
  }
  return finder.m_stalled;
}

}  // namespace shallotwick::soak
