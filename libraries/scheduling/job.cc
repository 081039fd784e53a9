#include "scheduling/job.h"

#include <algorithm>
#include <utility>

namespace shallotwick::scheduling {
namespace {

class JobChecker {
 public:
  explicit JobChecker(const JobSpec& job) : m_job(job) {}

  std::vector<base::Finding> Check() {
    if (m_job.payload.size() > kMaxPayloadBytes) {
      Report("payload", "has more than 4000 bytes");
    }
    if (m_job.steps.empty()) {
      Report("steps", "has no steps");
    }
    if (m_job.steps.size() > kMaxSteps) {
      Report("steps", "has more than 100 steps");
      return std::move(m_findings);
    }
    if (m_job.occurrences < 0 || m_job.occurrences > kMaxTasks) {
      Report("occurrences", "is not between 0 and 20000");
      return std::move(m_findings);
    }
    if (m_job.occurrences > 1 && m_job.interval_ms < 0) {
      Report("interval", "is negative");
    }
    int64_t tasks = 0;
    for (size_t step = 0; step < m_job.steps.size(); ++step) {
      CheckStep(static_cast<int>(step));
      tasks += std::clamp<int64_t>(m_job.steps[step].count, 0, kMaxTasks);
    }
    if (tasks * m_job.GetOccurrenceCount() > kMaxTasks) {
      Report("steps", "has more than 20000 tasks in total");
    }
    return std::move(m_findings);
  }

 private:
  void CheckStep(int index) {
    const StepSpec& step = m_job.steps[static_cast<size_t>(index)];
    const std::string path = "steps[" + std::to_string(index) + "]";
    if (step.count < 1 || step.count > kMaxTasks) {
      Report(path + ".count", "is not between 1 and 20000");
    }
    const bool is_negative =
        step.demand.cpu_milli < 0 || step.demand.memory_mb < 0 ||
        step.demand.accelerators < 0 || step.estimate_ms < 0 ||
        step.most_per_target < 0 || step.disruption_budget < 0;
    if (is_negative) {
      Report(path, "has a negative value");
    }
    for (int dependency : step.after) {
      if (dependency < 0 || dependency >= index) {
        Report(path + ".after",
               std::to_string(dependency) + " is not an earlier step");
      }
    }
  }

  void Report(const std::string& path, const std::string& fault) {
    m_findings.push_back(base::Finding{path, fault, ""});
  }

  const JobSpec& m_job;
  std::vector<base::Finding> m_findings;
};

}  // namespace

std::vector<base::Finding> CheckJob(const JobSpec& job) {
  return JobChecker(job).Check();
}

void RequireValidJob(const JobSpec& job) {
  std::vector<base::Finding> findings = CheckJob(job);
  if (!findings.empty()) {
    throw base::InvalidInput(std::move(findings));
  }
}

double EstimateCoreSeconds(const JobSpec& job,
                           const RunTimeCorrection& correction) {
  constexpr double kMilliPerUnit = 1'000;
  double work = 0;
  for (const StepSpec& step : job.steps) {
    const bool counts =
        job.occurrences == 0 && !step.long_running && !step.best_effort;
    if (counts) {
      work += step.count *
              (static_cast<double>(step.demand.cpu_milli) / kMilliPerUnit) *
              (correction.Apply(static_cast<double>(step.estimate_ms)) /
               kMilliPerUnit);
    }
  }
  return work;
}

Chain FindLongestChain(const JobSpec& job, const std::vector<bool>& done) {
  std::vector<Chain> chains(job.steps.size());
  Chain longest;
  for (size_t step = 0; step < job.steps.size(); ++step) {
    Chain& chain = chains[step];
    for (int dependency : job.steps[step].after) {
      chain = std::max(chain, chains[static_cast<size_t>(dependency)]);
    }
    const bool is_done = step < done.size() && done[step];
    if (!is_done) {
      chain.estimate_ms += job.steps[step].estimate_ms;
      ++chain.tasks;
    }
    longest = std::max(longest, chain);
  }
  return longest;
}

}  // namespace shallotwick::scheduling
