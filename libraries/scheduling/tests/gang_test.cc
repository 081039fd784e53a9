// Gangs that checkpoint their progress. All members of a run have to carry the
// same checkpoint, or they wait for each other until they end alone.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using scheduling::RunOutcome;
using std::chrono::milliseconds;

namespace {

constexpr int kMembers = 3;
constexpr int64_t kBornMs = 1'000'000;

scheduling::TargetEntry MakeTarget(const std::string& id) {
  scheduling::TargetEntry entry;
  entry.id = id;
  entry.address = "10.0.0.1:1";
  entry.capacity = {32'000, 65'536, 0};
  entry.incarnation_started_ms = kBornMs;
  return entry;
}

scheduling::JobSpec MakeGang() {
  scheduling::JobSpec job;
  job.id = "job";
  job.steps.resize(1);
  job.steps[0].count = kMembers;
  job.steps[0].demand = {20'000, 1'000, 0};
  job.steps[0].estimate_ms = 9'000;
  job.steps[0].gang = true;
  job.steps[0].checkpointing = true;
  return job;
}

}  // namespace

// Five targets, each with room for one member of the gang, which runs.
TEST_GROUP(Gang) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};
  std::vector<scheduling::StartOrder> m_starts;
  std::map<std::string, std::vector<scheduling::ReportedCompletion>> m_ended;
  // The checkpoints that members list, by target.
  std::map<std::string, std::string> m_saved;
  std::set<std::string> m_crashed;

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1'000;
    options.last_fence = 1'999;
    return options;
  }

  void setup() override { StartPool(MakeInitialProgress(MakeGang())); }

  void StartPool(const scheduling::JobProgress& progress) {
    m_pool = scheduling::PoolScheduler(MakeOptions());
    m_starts.clear();
    for (const char* id : {"t0", "t1", "t2", "t3", "t4"}) {
      m_pool.UpdateTarget(MakeTarget(id), m_now);
    }
    m_pool.AddJob(MakeGang(), progress, false);
    AnswerReports();
    m_pool.ConfirmRoster(m_pool.GetRoster());
    Decide();
    LONGS_EQUAL(kMembers, m_starts.size());
  }

  void Decide() {
    m_now += milliseconds(60);
    const auto starts = m_pool.Decide(m_now, kBornMs + 60'000).starts;
    if (starts.empty()) {
      return;
    }
    m_starts = starts;
    m_saved.clear();
    for (const scheduling::StartOrder& start : starts) {
      m_saved[start.target] = start.checkpoint;
      m_pool.OnStartResult(start, {scheduling::OrderOutcome::kAccepted, {}},
                           m_now);
    }
    m_now += milliseconds(5);
  }

  void AnswerReports() {
    const auto sent = m_now;
    m_now += milliseconds(2);
    for (const auto& order : m_pool.CreateReportOrders(sent)) {
      if (m_crashed.count(order.target) > 0) {
        m_pool.OnReportFailed(order, scheduling::OrderOutcome::kUnknown, m_now);
        continue;
      }
      scheduling::TargetReport report;
      report.clock_ms = 5'000;
      report.incarnation_started_ms = kBornMs;
      report.lists_all_completions = true;
      report.ended = m_ended[order.target];
      for (const scheduling::StartOrder& start : m_starts) {
        if (start.target == order.target && !HasEnded(start)) {
          report.running.push_back(
              {start.task, start.run, m_saved[order.target], 10, 0});
        }
      }
      m_pool.OnReport(order, sent, m_now, report);
    }
  }

  bool HasEnded(const scheduling::StartOrder& start) {
    const auto& ended = m_ended[start.target];
    return std::any_of(ended.begin(), ended.end(), [&](const auto& end) {
      return end.task == start.task && end.run == start.run;
    });
  }

  // Lets the pool ask for reports again.
  void WaitForReports() {
    m_now += milliseconds(1'500);
    AnswerReports();
  }

  void EndMember(size_t member, RunOutcome how, const std::string& saved) {
    const scheduling::StartOrder& start = m_starts[member];
    auto& ended = m_ended[start.target];
    ended.push_back({static_cast<int64_t>(ended.size()) + 1, start.task,
                     start.run, how, saved});
  }

  void CrashMember(size_t member) {
    m_crashed.insert(m_starts[member].target);
    m_pool.OnTargetEnded(m_starts[member].target, "crashed");
    m_pool.RemoveTarget(m_starts[member].target, m_now);
  }

  std::set<std::string> ListCheckpoints() const {
    std::set<std::string> checkpoints;
    for (const scheduling::StartOrder& start : m_starts) {
      checkpoints.insert(start.checkpoint);
    }
    return checkpoints;
  }

  void WaitForRestart() {
    const int64_t run = m_starts[0].run;
    for (int i = 0; i < 50 && m_starts[0].run == run; ++i) {
      WaitForReports();
      Decide();
    }
    LONGS_EQUAL(kMembers, m_starts.size());
    CHECK_TRUE(m_starts[0].run > run);
  }
};

// The owner knows an earlier checkpoint of the member whose target crashed.
TEST(Gang, MembersResumeFromOneCheckpointAfterCrashOfATarget) {
  for (const scheduling::StartOrder& start : m_starts) {
    m_saved[start.target] = "c1";
  }
  WaitForReports();
  CrashMember(0);
  EndMember(1, RunOutcome::kBroken, "c2");
  EndMember(2, RunOutcome::kBroken, "c2");
  WaitForRestart();
  LONGS_EQUAL(1, ListCheckpoints().size());
  STRCMP_EQUAL("c2", ListCheckpoints().begin()->c_str());
}

TEST(Gang, MembersResumeFromOneCheckpointIfOnlyOneSavedAny) {
  EndMember(0, RunOutcome::kBroken, "c1");
  EndMember(1, RunOutcome::kBroken, "");
  EndMember(2, RunOutcome::kExpired, "");
  WaitForRestart();
  LONGS_EQUAL(1, ListCheckpoints().size());
  STRCMP_EQUAL("c1", ListCheckpoints().begin()->c_str());
}

TEST(Gang, CrashOfTheLastToReportDoesNotBringBackAnEarlierCheckpoint) {
  for (const scheduling::StartOrder& start : m_starts) {
    m_saved[start.target] = "c1";
  }
  WaitForReports();
  EndMember(1, RunOutcome::kBroken, "c2");
  EndMember(2, RunOutcome::kBroken, "c2");
  WaitForReports();
  CrashMember(0);
  WaitForRestart();
  LONGS_EQUAL(1, ListCheckpoints().size());
  STRCMP_EQUAL("c2", ListCheckpoints().begin()->c_str());
}

// As stored by earlier versions.
TEST(Gang, MembersResumeFromOneCheckpointAfterTakeoverWithDifferentOnes) {
  scheduling::JobProgress progress = MakeInitialProgress(MakeGang());
  progress.state = scheduling::JobState::kRunning;
  progress.tasks[0][0][1].checkpoint = "c1";
  progress.tasks[0][0][2].checkpoint = "c2";
  StartPool(progress);
  LONGS_EQUAL(1, ListCheckpoints().size());
  STRCMP_EQUAL("c1", ListCheckpoints().begin()->c_str());
}

// An end is forgotten by its target once it is acknowledged.
TEST(Gang, CheckpointOfAnEndIsStoredBeforeTheEndIsAcknowledged) {
  EndMember(0, RunOutcome::kBroken, "c1");
  WaitForReports();
  const auto changes = m_pool.DequeueChanges(10);
  LONGS_EQUAL(1, changes.size());
  for (const auto& task : changes[0].progress.tasks[0][0]) {
    STRCMP_EQUAL("c1", task.checkpoint.c_str());
  }
}
