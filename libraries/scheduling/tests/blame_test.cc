// Failures are blamed on targets or on jobs, and blame is bounded.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "scheduling/failure_evidence.h"
#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::TaskName;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int64_t kBornMs = 1'000'000;
constexpr auto kRunTime = milliseconds(640);

scheduling::JobSpec MakeJob(const std::string& id, int count) {
  scheduling::JobSpec job;
  job.id = id;
  job.route = "quote";
  job.steps.resize(1);
  job.steps[0].count = count;
  job.steps[0].demand = {2'300, 100, 0};
  job.steps[0].estimate_ms = 640;
  return job;
}

}  // namespace

TEST_GROUP(Blame) {
  base::TimePoint m_now{seconds(1'000)};
  std::unique_ptr<scheduling::PoolScheduler> m_pool;
  std::set<std::string> m_targets;
  // Those on which every run fails at once.
  std::set<std::string> m_bad_targets;
  std::map<std::string, scheduling::TargetEntry> m_entries;
  struct Target {
    std::map<TaskName, std::pair<int64_t, base::TimePoint>> running;
    std::vector<scheduling::ReportedCompletion> ended;
    int64_t last_number = 0;
    int failures = 0;
  };
  std::map<std::string, Target> m_states;
  std::map<std::string, base::TimePoint> m_last_start;
  int m_added = 0;
  uint64_t m_term = 0;

  void setup() override { StartOwner(); }

  // A new owner knows what the targets report.
  void StartOwner() {
    scheduling::PoolSchedulerOptions options;
    ++m_term;
    options.first_fence = uint64_t{1'000} * m_term;
    options.last_fence = options.first_fence + 999;
    options.first_run = static_cast<int64_t>(options.first_fence);
    m_pool = std::make_unique<scheduling::PoolScheduler>(options);
    m_pool->SetRoutes({{"quote", {0, 4, 1.6, 600}}});
    for (const auto& [id, entry] : m_entries) {
      m_pool->UpdateTarget(entry, m_now);
    }
  }

  void AddTargets(int count, const std::string& label = "") {
    for (int i = 0; i < count; ++i) {
      scheduling::TargetEntry entry;
      entry.id = "t" + std::to_string(m_entries.size());
      entry.address = "10.0.0.1:1";
      entry.capacity = {32'000, 65'536, 0};
      entry.labels = {"kind", "r1", label};
      entry.incarnation_started_ms = kBornMs;
      m_entries[entry.id] = entry;
      m_pool->UpdateTarget(entry, m_now);
    }
  }

  // Ids that begin with "poison" fail wherever they run.
  void AddJob(const scheduling::JobSpec& job) {
    m_pool->AddJob(job, MakeInitialProgress(job), false);
    m_last_start[job.id] = m_now;
  }

  void EndRuns(const std::string& id, Target& target) {
    const bool is_bad = m_bad_targets.count(id) > 0;
    std::erase_if(target.running, [&](const auto& entry) {
      const auto& [task, run] = entry;
      const bool fails = is_bad || task.job.rfind("poison", 0) == 0 ||
                         (task.job.rfind("half", 0) == 0 && task.index % 2 > 0);
      if (m_now < run.second + (is_bad ? milliseconds(20) : kRunTime)) {
        return false;
      }
      target.failures += fails ? 1 : 0;
      target.ended.push_back({++target.last_number, task, run.first,
                              fails ? scheduling::RunOutcome::kFailed
                                    : scheduling::RunOutcome::kDone,
                              ""});
      return true;
    });
  }

  void Step() {
    m_now += milliseconds(20);
    for (const auto& order : m_pool->CreateReportOrders(m_now)) {
      Target& target = m_states[order.target];
      EndRuns(order.target, target);
      std::erase_if(target.ended, [&order](const auto& end) {
        return end.number <= order.last_acknowledged_completion;
      });
      scheduling::TargetReport report;
      report.clock_ms = 5'000 + m_now.time_since_epoch() / milliseconds(1);
      report.incarnation_started_ms = kBornMs;
      report.ended = target.ended;
      for (const auto& [task, run] : target.running) {
        report.running.push_back({task, run.first, "", 50, 0});
      }
      m_pool->OnReport(order, m_now, m_now, report);
    }
    m_pool->ConfirmRoster(m_pool->GetRoster());
    m_pool->OnCommitted(m_pool->DequeueChanges(100));
    const auto wall_ms = kBornMs + m_now.time_since_epoch() / milliseconds(1);
    for (const auto& start : m_pool->Decide(m_now, wall_ms).starts) {
      m_states[start.target].running[start.task] = {start.run, m_now};
      m_last_start[start.task.job] = m_now;
      m_pool->OnStartResult(start, {scheduling::OrderOutcome::kAccepted, {}},
                            m_now);
    }
  }

  void Advance(base::Duration by) {
    for (const auto end = m_now + by; m_now < end;) {
      Step();
    }
  }

  // Adds a sound job every 100 ms. Returns the longest time for which an
  // unfinished one had nothing running.
  base::Duration PlayTraffic(base::Duration length) {
    base::Duration longest(0);
    for (const auto end = m_now + length; m_now < end;) {
      AddJob(MakeJob("sound" + std::to_string(m_added++), 6));
      for (int i = 0; i < 5; ++i) {
        Step();
        longest = std::max(longest, FindLongestWait());
      }
    }
    return longest;
  }

  base::Duration FindLongestWait() {
    std::set<std::string> running;
    for (const auto& [id, target] : m_states) {
      for (const auto& [task, run] : target.running) {
        running.insert(task.job);
      }
    }
    base::Duration longest(0);
    for (auto& [job, since] : m_last_start) {
      if (running.count(job) > 0) {
        since = m_now;
      } else if (job.rfind("sound", 0) == 0 && m_pool->IsActive(job)) {
        longest = std::max(longest, m_now - since);
      }
    }
    return longest;
  }
};

// LOST: three jobs that always fail quarantined a pool of nine targets.
TEST(Blame, HopelessJobsQuarantineNoTarget) {
  AddTargets(9);
  PlayTraffic(seconds(2));
  for (int i = 0; i < 3; ++i) {
    AddJob(MakeJob("poison" + std::to_string(i), 24));
  }
  CHECK_TRUE(PlayTraffic(seconds(6)) < seconds(1));
  // They are shown as failed without delay.
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(m_pool->IsActive("poison" + std::to_string(i)));
  }
}

TEST(Blame, ManyNarrowHopelessJobsDelayNoSoundJob) {
  AddTargets(9);
  base::Duration longest(0);
  for (int i = 0; i < 60; ++i) {
    AddJob(MakeJob("poison" + std::to_string(i), 1));
    longest = std::max(longest, PlayTraffic(milliseconds(200)));
  }
  CHECK_TRUE(longest < seconds(1));
}

// Some tasks of a job may fail by their own fault while others are done.
TEST(Blame, HalfSoundJobsDelayNoSoundJob) {
  AddTargets(9);
  for (int i = 0; i < 4; ++i) {
    AddJob(MakeJob("half" + std::to_string(i), 24));
  }
  CHECK_TRUE(PlayTraffic(seconds(6)) < seconds(1));
}

TEST(Blame, HopelessJobsDelayNoSoundJobOnOneTarget) {
  AddTargets(1);
  for (int i = 0; i < 3; ++i) {
    AddJob(MakeJob("poison" + std::to_string(i), 3));
  }
  Advance(milliseconds(800));
  AddJob(MakeJob("sound", 2));
  Advance(milliseconds(1'500));
  CHECK_FALSE(m_pool->IsActive("sound"));
}

// The only target with a label must not be kept from the work that needs it.
TEST(Blame, HopelessJobsOfALabelDelayNoSoundJobOfIt) {
  AddTargets(8);
  AddTargets(1, "gpu");
  for (int i = 0; i < 4; ++i) {
    auto poison = MakeJob("poison" + std::to_string(i), 2);
    poison.steps[0].required_label = "gpu";
    AddJob(poison);
  }
  Advance(milliseconds(800));
  auto sound = MakeJob("sound", 2);
  sound.steps[0].required_label = "gpu";
  AddJob(sound);
  Advance(milliseconds(1'500));
  CHECK_FALSE(m_pool->IsActive("sound"));
}

TEST(Blame, TargetThatFailsEverythingIsFoundInAFewRuns) {
  AddTargets(9);
  m_bad_targets = {"t0"};
  CHECK_TRUE(PlayTraffic(seconds(10)) < seconds(1));
  // Some in the beginning, and one after each quarantine.
  CHECK_TRUE(m_states["t0"].failures > 0);
  CHECK_TRUE(m_states["t0"].failures <= 16);
}

TEST(Blame, BadTargetIsFoundBesideHopelessJobs) {
  AddTargets(9);
  m_bad_targets = {"t0"};
  for (int i = 0; i < 10; ++i) {
    AddJob(MakeJob("poison" + std::to_string(i), 6));
    CHECK_TRUE(PlayTraffic(seconds(1)) < seconds(1));
  }
  CHECK_TRUE(m_states["t0"].failures > 0);
  CHECK_TRUE(m_states["t0"].failures <= 24);
}

TEST(Blame, BadTargetIsFoundAgainAfterAChangeOfOwner) {
  AddTargets(9);
  m_bad_targets = {"t0"};
  PlayTraffic(seconds(3));
  const int before = m_states["t0"].failures;
  StartOwner();
  m_last_start.clear();
  CHECK_TRUE(PlayTraffic(seconds(5)) < seconds(1));
  CHECK_TRUE(m_states["t0"].failures - before <= 16);
}

TEST(Blame, SoundTargetIsUsedAgainAtOnceAfterARunIsDone) {
  AddTargets(2);
  m_bad_targets = {"t0"};
  PlayTraffic(seconds(4));
  m_bad_targets.clear();
  Advance(seconds(7));
  PlayTraffic(seconds(2));
  LONGS_EQUAL(0, m_pool->GetTargets().at("t0").m_failure_points);
}

// All targets fail everything for a while.
TEST(Blame, AtMostHalfOfThePoolIsQuarantined) {
  AddTargets(9);
  m_bad_targets = {"t0", "t1", "t2", "t3", "t0", "t5", "t6", "t7", "t8"};
  PlayTraffic(seconds(2));
  m_bad_targets.clear();
  AddJob(MakeJob("sound", 6));
  Advance(milliseconds(1'000));
  CHECK_FALSE(m_pool->IsActive("sound"));
}

TEST(Blame, EvidenceOfATargetIsWorkThatDoesWellElsewhere) {
  scheduling::FailureEvidence evidence;
  evidence.OnFailed("t0", {"a", 0, 0, 0}, 1, false);
  evidence.OnFailed("t0", {"a", 0, 0, 1}, 1, false);
  LONGS_EQUAL(1, evidence.CountPoints("t0"));
  evidence.OnDone("t1", {{"a", 0, 0, 0}});
  evidence.OnDone("t1", {{"a", 0, 0, 1}});
  evidence.OnJobEnded("a");
  LONGS_EQUAL(2, evidence.CountPoints("t0"));
  evidence.OnDone("t0", {{"b", 0, 0, 0}});
  LONGS_EQUAL(0, evidence.CountPoints("t0"));
}

TEST(Blame, EvidenceOfAJobIsFailuresOnSeveralTargets) {
  scheduling::FailureEvidence evidence;
  evidence.OnFailed("t0", {"a", 0, 0, 0}, 1, false);
  CHECK_FALSE(evidence.IsFailing("a"));
  evidence.OnFailed("t1", {"a", 0, 0, 0}, 1, false);
  CHECK_TRUE(evidence.IsFailing("a"));
  LONGS_EQUAL(0, evidence.CountPoints("t0"));
  // Two bad targets had met it.
  evidence.OnDone("t2", {{"a", 0, 0, 0}});
  CHECK_FALSE(evidence.IsFailing("a"));
  LONGS_EQUAL(1, evidence.CountPoints("t0"));
  LONGS_EQUAL(1, evidence.CountPoints("t1"));
}
