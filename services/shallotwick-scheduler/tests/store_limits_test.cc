// What a pool stores stays within the limits of the table service.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <set>

#include "../job_tables.h"
#include "../pool_runner.h"
#include "../submission_batcher.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"
#include "scheduling/job_record.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
namespace storage = shallotwick::storage;
using scheduler::JobCallOutcome;
using std::chrono::milliseconds;

namespace {

constexpr char kService[] = "quotes";
constexpr char kLarge[] = "00000000000000aa";
constexpr char kSmall[] = "00000000000000bb";
constexpr size_t kMaxListedEnds = 500;

scheduling::JobSpec MakeJob(const std::string& id, int tasks) {
  scheduling::JobSpec job;
  job.id = id;
  job.route = "quote";
  job.max_attempts = 4;
  job.steps.resize(1);
  job.steps[0].count = tasks;
  job.steps[0].demand = {100, 10, 0};
  return job;
}

// Targets on which each run ends at once: the first of a task as stopped with a
// checkpoint if there is one, all others as done.
class InstantTargets : public scheduling::TargetOrders {
 public:
  explicit InstantTargets(base::EventLoop& loop) : m_loop(loop) {}

  void Start(const scheduling::StartOrder& order,
             std::function<void(scheduling::OrderResult)> on_end) override {
    Target& target = m_targets[order.target];
    ++m_starts[order.task];
    const bool is_stopped = !m_checkpoint.empty() && m_starts[order.task] == 1;
    target.ended.push_back({++target.last_number, order.task, order.run,
                            is_stopped ? scheduling::RunOutcome::kStopped
                                       : scheduling::RunOutcome::kDone,
                            is_stopped ? m_checkpoint : ""});
    m_loop.Post([on_end] {
      on_end({scheduling::OrderOutcome::kAccepted, {}});
    });
  }
  void Stop(const scheduling::StopOrder&,
            std::function<void(scheduling::OrderResult)> on_end) override {
    m_loop.Post([on_end] {
      on_end({scheduling::OrderOutcome::kAccepted, {}});
    });
  }
  void Pace(const scheduling::PaceOrder&,
            std::function<void(scheduling::OrderResult)>) override {}
  void Report(const scheduling::ReportOrder& order,
              std::function<void(scheduling::ReportResult)> on_end) override {
    Target& target = m_targets[order.target];
    std::erase_if(target.ended, [&order](const auto& end) {
      return end.number <= order.last_acknowledged_completion;
    });
    scheduling::ReportResult result;
    result.outcome = scheduling::OrderOutcome::kAccepted;
    result.report.clock_ms = 1'000;
    result.report.ended = target.ended;
    if (result.report.ended.size() > kMaxListedEnds) {
      result.report.ended.resize(kMaxListedEnds);
      result.report.lists_all_completions = false;
    }
    m_loop.RunAfter(milliseconds(target.ended.empty() ? 20 : 1),
                    [on_end, result] { on_end(result); });
  }

  size_t CountUnacknowledged() const {
    size_t count = 0;
    for (const auto& [id, target] : m_targets) {
      count += target.ended.size();
    }
    return count;
  }

  std::string m_checkpoint;
  std::map<scheduling::TaskName, int> m_starts;

 private:
  struct Target {
    std::vector<scheduling::ReportedCompletion> ended;
    int64_t last_number = 0;
  };

  base::EventLoop& m_loop;
  std::map<std::string, Target> m_targets;
};

// Never takes the progress of one job.
class PickyStore : public fakes::FakeRowStore {
 public:
  using FakeRowStore::FakeRowStore;

  void Commit(storage::RowTransaction transaction,
              std::function<void(storage::RowCommitResult)> on_end) override {
    for (const storage::RowWrite& write : transaction.writes) {
      if (write.key == m_rejected_row) {
        m_faults = {{storage::RowCommitStatus::kRejected, false}};
      }
    }
    FakeRowStore::Commit(std::move(transaction), std::move(on_end));
  }

  std::optional<storage::RowKey> m_rejected_row;
};

}  // namespace

TEST_GROUP(StoreLimits) {
  base::EventLoop m_loop;
  PickyStore m_store{m_loop};
  base::MetricRegistry m_metrics;
  InstantTargets m_targets{m_loop};
  std::unique_ptr<scheduler::PoolRunner> m_pool;
  int m_target_count = 4;
  int64_t m_term = 0;

  void setup() override { base::RuntimeClock::Pause(); }
  void teardown() override {
    m_pool.reset();
    base::RuntimeClock::Resume();
  }

  void Advance(base::Duration by) {
    constexpr auto kStep = milliseconds(4);
    for (auto left = by; left > base::Duration(0); left -= kStep) {
      fakes::AdvanceTimers(m_loop, kStep);
    }
  }

  void Store(const scheduling::JobSpec& job) {
    storage::RowTransaction transaction;
    scheduler::JobService::AddSubmission(kService, job, {}, transaction);
    m_store.Commit(transaction, [](const storage::RowCommitResult&) {});
  }

  // Replaces the owner of the pool, if there is one.
  void StartPool() {
    m_pool.reset();
    scheduler::PoolRunnerOptions options;
    options.service = kService;
    options.term = ++m_term;
    options.owner_version =
        m_store.Put(scheduler::MakeOwnerKey(kService), std::to_string(m_term));
    m_pool = std::make_unique<scheduler::PoolRunner>(m_loop, m_store, m_targets,
                                                     m_metrics, options);
    m_pool->m_on_lost = [] {};
    for (int i = 0; i < m_target_count; ++i) {
      scheduling::TargetEntry target;
      target.id = "target-with-a-name-of-some-length-" + std::to_string(i);
      target.service = kService;
      target.address = "10.0.0.1:" + std::to_string(1'000 + i);
      target.capacity = {32'000, 65'536, 0};
      m_pool->m_targets_at_start[target.id] = target;
    }
    m_pool->Start();
    Advance(milliseconds(200));
  }

  bool IsCompleted(const std::string& job) const {
    const auto row = m_store.Get(scheduler::MakeProgressKey(kService, job));
    return row.version != storage::kNoVersion &&
           scheduling::DecodeSummary(row.value).state ==
               scheduling::JobState::kCompleted;
  }

  // Advances until the job is completed; fails after `limit`.
  void WaitFor(const char* job, base::Duration limit) {
    for (base::Duration passed(0); passed < limit && !IsCompleted(job);
         passed += milliseconds(100)) {
      Advance(milliseconds(100));
    }
    CHECK_TRUE(IsCompleted(job));
  }
};

// LOST: the progress of a large job outgrew its row and stopped its service.
TEST(StoreLimits, LargestJobIsCompletedBesideASmallOne) {
  Store(MakeJob(kLarge, 20'000));
  Store(MakeJob(kSmall, 10));
  StartPool();
  WaitFor(kLarge, std::chrono::seconds(300));
  CHECK_TRUE(IsCompleted(kSmall));
  Advance(std::chrono::seconds(1));
  LONGS_EQUAL(0, m_targets.CountUnacknowledged());
  LONGS_EQUAL(0, m_store.m_rejections);
}

// The same with a checkpoint for each task, over a change of owner.
TEST(StoreLimits, CheckpointsOfALargeJobAreTakenOver) {
  m_targets.m_checkpoint = std::string(200, 'c');
  Store(MakeJob(kLarge, 3'000));
  StartPool();
  Advance(std::chrono::seconds(4));
  StartPool();
  WaitFor(kLarge, std::chrono::seconds(300));
  LONGS_EQUAL(0, m_store.m_rejections);
  for (const auto& [task, starts] : m_targets.m_starts) {
    CHECK_TRUE(starts == 2);
  }
  // No part is left after the retention time.
  Advance(std::chrono::seconds(152));
  std::optional<size_t> rows;
  storage::ReadPartition(m_store, scheduler::GetProgressTable(kService),
                         kService,
                         [&rows](const storage::RowReadResult& result) {
                           rows = result.rows.size();
                         });
  fakes::ProcessDueEvents(m_loop);
  LONGS_EQUAL(0, rows.value());
}

// LOST: a transaction that the store never takes was repeated with other jobs
// in it.
TEST(StoreLimits, JobThatTheStoreNeverTakesHoldsUpNoOther) {
  m_target_count = 40;
  Store(MakeJob(kLarge, 2));
  m_store.m_rejected_row = scheduler::MakeProgressKey(kService, kLarge);
  StartPool();
  for (int i = 0; i < 30; ++i) {
    Store(MakeJob("00000000000001" + std::to_string(10 + i), 4));
  }
  Advance(std::chrono::seconds(2));
  for (int i = 0; i < 30; ++i) {
    CHECK_TRUE(IsCompleted("00000000000001" + std::to_string(10 + i)));
  }
  CHECK_FALSE(IsCompleted(kLarge));
  m_store.m_rejected_row.reset();
  WaitFor(kLarge, std::chrono::seconds(6));
}

TEST(StoreLimits, LargeSubmissionsAreStoredInSeveralTransactions) {
  scheduler::JobService jobs{m_loop, m_store};
  scheduler::SubmissionBatcher batcher{m_loop, m_store, jobs, kService};
  int stored = 0;
  for (int i = 0; i < 60; ++i) {
    auto job = MakeJob("00000000000001" + std::to_string(10 + i), 1);
    job.steps.resize(100, job.steps[0]);
    job.payload = std::string(4'000, '\x01');
    batcher.Submit(job, [&stored](JobCallOutcome outcome) {
      stored += outcome == JobCallOutcome::kDone ? 1 : 0;
    });
  }
  Advance(milliseconds(100));
  LONGS_EQUAL(60, stored);
  LONGS_EQUAL(0, m_store.m_rejections);
}

TEST(StoreLimits, SubmissionThatTheStoreNeverTakesIsRefusedAlone) {
  scheduler::JobService jobs{m_loop, m_store};
  scheduler::SubmissionBatcher batcher{m_loop, m_store, jobs, kService};
  m_store.m_rejected_row = scheduler::MakeProgressKey(kService, kLarge);
  int stored = 0;
  std::optional<JobCallOutcome> rejected;
  for (int i = 0; i < 30; ++i) {
    batcher.Submit(MakeJob("00000000000001" + std::to_string(10 + i), 1),
                   [&stored](JobCallOutcome outcome) {
                     stored += outcome == JobCallOutcome::kDone ? 1 : 0;
                   });
    if (i == 15) {
      batcher.Submit(MakeJob(kLarge, 1),
                     [&](JobCallOutcome outcome) { rejected = outcome; });
    }
  }
  Advance(milliseconds(100));
  LONGS_EQUAL(30, stored);
  CHECK_TRUE(rejected == JobCallOutcome::kRejected);
}

// A pool may have all 1,200 targets of the fleet.
TEST(StoreLimits, RosterOfTheWholeFleetIsStoredAndTakenOver) {
  m_target_count = 1'200;
  Store(MakeJob(kSmall, 2'000));
  StartPool();
  WaitFor(kSmall, std::chrono::seconds(30));
  StartPool();
  LONGS_EQUAL(0, m_store.m_rejections);
  LONGS_EQUAL(1'200, m_pool->GetScheduler().GetTargets().size());
}
