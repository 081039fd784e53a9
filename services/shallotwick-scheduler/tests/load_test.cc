// How an owner reads its pool after a takeover.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <set>

#include "../job_tables.h"
#include "../ownership_manager.h"
#include "../pool_runner.h"
#include "../session_renewer.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"
#include "fakes/unresponsive_targets.h"
#include "scheduling/job_record.h"
#include "storage/partition_reader.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
namespace storage = shallotwick::storage;
using std::chrono::milliseconds;

namespace {

constexpr char kService[] = "quotes";
// A transfer of the store that is given up as a whole.
constexpr auto kTimeout = milliseconds(900);

// A store that is reached over a slow link: rows of jobs take their time, and a
// page that takes too long is not received at all.
class SlowLinkStore : public fakes::FakeRowStore {
 public:
  explicit SlowLinkStore(base::EventLoop& loop)
      : FakeRowStore(loop), m_loop(loop) {}

  void Read(const storage::RowRange& range,
            std::function<void(storage::RowReadResult)> on_end) override {
    ++m_reads[range.table];
    m_last_limit = range.limit;
    if (m_fail_after > base::Duration(0)) {
      storage::RowReadResult failed;
      failed.error = "timeout";
      m_loop.RunAfter(m_fail_after, [failed, on_end] { on_end(failed); });
      return;
    }
    if (m_is_away || (m_fail_nth > 0 && ++m_calls % m_fail_nth == 0)) {
      storage::RowReadResult failed;
      failed.error = "status 503";
      m_loop.Post([failed, on_end = std::move(on_end)] { on_end(failed); });
      return;
    }
    FakeRowStore::Read(range, [this, range, on_end = std::move(on_end)](
                                  storage::RowReadResult result) {
      const auto limit = static_cast<size_t>(range.limit);
      if (result.rows.size() > limit) {
        result.rows.resize(limit);
        result.is_truncated = true;
      }
      m_rows_sent += result.rows.size();
      const auto time = m_time_per_read +
                        m_time_per_row * static_cast<int>(result.rows.size());
      if (time > m_timeout) {
        result = {};
        result.error = "timeout";
      }
      m_loop.RunAfter(std::min<base::Duration>(time, m_timeout),
                      [result, on_end] { on_end(result); });
    });
  }

  milliseconds m_time_per_row{0};
  // The store is slow, however small the page.
  milliseconds m_time_per_read{0};
  bool m_is_away = false;
  // Each n-th read fails; 0 for none.
  int m_fail_nth = 0;
  std::map<std::string, int> m_reads;
  size_t m_rows_sent = 0;
  base::Duration m_timeout = kTimeout;
  int m_last_limit = 0;
  // From a change of the store until the feed has delivered it.
  milliseconds m_feed_time{0};
  // The feed delivers nothing although changes are made.
  bool m_is_feed_silent = false;
  // Each read takes this long and fails.
  base::Duration m_fail_after{0};

  void ReadChanges(
      const std::string& table, uint64_t after, milliseconds wait,
      std::function<void(storage::ChangeFeedResult)> on_end) override {
    if (!m_is_feed_silent) {
      FakeRowStore::ReadChanges(
          table, after, wait,
          [this, on_end = std::move(on_end)](
              const storage::ChangeFeedResult& result) {
            m_loop.RunAfter(m_feed_time, [result, on_end] { on_end(result); });
          });
      return;
    }
    storage::ChangeFeedResult nothing;
    nothing.status = storage::ChangeFeedStatus::kRead;
    nothing.version = after;
    m_loop.RunAfter(wait, [nothing, on_end] { on_end(nothing); });
  }

 private:
  base::EventLoop& m_loop;
  int m_calls = 0;
};

// A host that claims pools.
struct Host {
  Host(base::EventLoop& loop, storage::RowStore& store, const char* name,
       double cores)
      : session(loop, store, {name, "b"}, cores), owners(loop, store, session) {
    session.m_on_sessions_read = [this] { owners.ClaimOrphanedPools(); };
    session.m_on_replaced = [] {};
    owners.m_on_gained = [this](const std::string&, uint64_t, int64_t) {
      ++gained;
    };
    owners.m_on_lost = [](const std::string&) {};
    owners.SetPools({kService});
    session.Start();
  }

  scheduler::SessionRenewer session;
  scheduler::OwnershipManager owners;
  // How often it has gained the pool.
  int gained = 0;
};

}  // namespace

TEST_GROUP(Load) {
  base::EventLoop m_loop;
  SlowLinkStore m_store{m_loop};
  base::MetricRegistry m_metrics;
  fakes::UnresponsiveTargets m_targets;
  int m_load_failures = 0;

  void setup() override { base::RuntimeClock::Pause(); }
  void teardown() override { base::RuntimeClock::Resume(); }

  void Advance(base::Duration by) {
    constexpr auto kStep = milliseconds(50);
    for (auto left = by; left > base::Duration(0); left -= kStep) {
      fakes::AdvanceTimers(m_loop, kStep);
    }
  }

  void PutJobs(int count) {
    for (int i = 0; i < count; ++i) {
      PutJob("job" + std::to_string(i));
    }
  }

  void PutJob(const std::string& id) {
    scheduling::JobSpec job;
    job.id = id;
    job.route = "quote";
    job.steps.resize(1);
    job.steps[0].count = 1;
    m_store.Put(scheduler::MakeJobKey(kService, id),
                scheduling::EncodeJobRecord(job));
  }

  std::unique_ptr<scheduler::PoolRunner> StartPool() {
    scheduler::PoolRunnerOptions options;
    options.service = kService;
    options.owner_version =
        m_store.Put(scheduler::MakeOwnerKey(kService), "{}");
    auto pool = std::make_unique<scheduler::PoolRunner>(
        m_loop, m_store, m_targets, m_metrics, options);
    pool->m_on_lost = [] {};
    pool->m_on_load_failed = [this] { ++m_load_failures; };
    pool->Start();
    return pool;
  }
};

TEST(Load, OwnerOnSlowLinkLoadsPoolWhosePageExceedsTheStoreTimeout) {
  constexpr int kJobs = 1'400;
  PutJobs(kJobs);
  m_store.m_time_per_row = milliseconds(2);
  const auto pool = StartPool();
  Advance(std::chrono::seconds(6));
  CHECK_TRUE(pool->IsLoaded());
  LONGS_EQUAL(kJobs, pool->GetScheduler().GetJobCount());
}

TEST(Load, OwnerOnNarrowLinkLoadsPoolWhoseWholePageTakesLongerThanItMayWait) {
  PutJobs(200);
  // As long as the adapter waits for an answer that makes progress.
  m_store.m_timeout = std::chrono::seconds(10);
  m_store.m_time_per_row = milliseconds(60);
  const auto pool = StartPool();
  Advance(std::chrono::seconds(14));
  LONGS_EQUAL(0, m_load_failures);
  CHECK_TRUE(pool->IsLoaded());
}

TEST(Load, RunnerMayBeRemovedByTheCallbackThatGivesItsPoolUp) {
  m_store.m_is_away = true;
  auto pool = StartPool();
  std::string given_up;
  pool->m_on_load_failed = [&pool, &given_up, name = std::string(100, 'p')] {
    pool.reset();
    given_up = name;
  };
  Advance(std::chrono::seconds(8));
  STRCMP_EQUAL(std::string(100, 'p').c_str(), given_up.c_str());
}

TEST(Load, FailedPageDoesNotDiscardThePagesBeforeIt) {
  PutJobs(3'000);
  m_store.m_fail_nth = 3;
  const auto pool = StartPool();
  for (int i = 0; i < 100 && !pool->IsLoaded(); ++i) {
    Advance(milliseconds(50));
  }
  CHECK_TRUE(pool->IsLoaded());
  LONGS_EQUAL(3'000, m_store.m_rows_sent);
}

TEST(Load, OwnerThatCannotReadItsPoolGivesItUpInsteadOfHoldingItSilently) {
  m_store.m_is_away = true;
  const auto pool = StartPool();
  Advance(std::chrono::seconds(5));
  LONGS_EQUAL(0, m_load_failures);
  Advance(std::chrono::seconds(2));
  LONGS_EQUAL(1, m_load_failures);
  CHECK_FALSE(pool->IsLoaded());
  const std::string metrics = m_metrics.FormatExposition();
  STRCMP_CONTAINS("shallotwick_pool_load_pages_total", metrics.c_str());
  STRCMP_CONTAINS("roster", metrics.c_str());
}

TEST(Load, ChecksOfIdleFeedTakeSmallShareOfSlowLink) {
  PutJobs(400);
  m_store.m_time_per_row = milliseconds(2);
  const auto pool = StartPool();
  Advance(std::chrono::seconds(3));
  CHECK_TRUE(pool->IsLoaded());
  m_store.m_rows_sent = 0;
  constexpr int kSeconds = 24;
  Advance(std::chrono::seconds(kSeconds));
  const auto busy = m_store.m_time_per_row * m_store.m_rows_sent;
  CHECK_TRUE(m_store.m_rows_sent > 0);
  CHECK_TRUE(busy <= std::chrono::seconds(kSeconds) / 6);
}

TEST(Load, PoolThatWasGivenUpIsClaimedByAnotherHostFirst) {
  Host one(m_loop, m_store, "edge-1", 4);
  Host other(m_loop, m_store, "edge-2", 1);
  Advance(std::chrono::seconds(6));
  LONGS_EQUAL(1, one.gained + other.gained);
  Host& holder = one.gained == 1 ? one : other;
  holder.owners.GiveUp(kService);
  Advance(std::chrono::seconds(6));
  LONGS_EQUAL(1, one.gained);
  LONGS_EQUAL(1, other.gained);
}

TEST(Load, PoolWhoseReleaseIsRefusedIsLoadedAnew) {
  Host host(m_loop, m_store, "edge-1", 4);
  Advance(std::chrono::seconds(6));
  LONGS_EQUAL(1, host.gained);
  m_store.m_faults = {{storage::RowCommitStatus::kRefused, false}};
  host.owners.GiveUp(kService);
  fakes::ProcessDueEvents(m_loop);
  LONGS_EQUAL(2, host.gained);
}

TEST(Load, OnlyFarStrongerHostIsCandidateForOverloadedPool) {
  Host host(m_loop, m_store, "edge-1", 1);
  Host alike(m_loop, m_store, "edge-2", 1.5);
  Advance(std::chrono::seconds(5));
  CHECK_FALSE(host.owners.HasStrongerCandidate(kService));
  Host stronger(m_loop, m_store, "edge-3", 4);
  Advance(std::chrono::seconds(5));
  CHECK_TRUE(host.owners.HasStrongerCandidate(kService));
}

TEST(Load, PoolOfAnotherOwnerIsNotGivenUp) {
  const uint64_t version =
      m_store.Put(scheduler::MakeOwnerKey(kService),
                  R"({"host":"edge-2","boot":"b","term":1})");
  Host host(m_loop, m_store, "edge-1", 1);
  host.session.m_on_sessions_read = [] {};
  Advance(std::chrono::seconds(1));
  host.owners.GiveUp(kService);
  Advance(std::chrono::seconds(1));
  LONGS_EQUAL(version, m_store.Get(scheduler::MakeOwnerKey(kService)).version);
}

// The adapter waits up to 10.9 s for a page that makes progress.
TEST(Load, PageThatIsUnderWayIsNotGivenUpAsStalled) {
  PutJobs(1'400);
  m_store.m_timeout = milliseconds(10'900);
  m_store.m_time_per_row = milliseconds(14);
  const auto pool = StartPool();
  Advance(std::chrono::seconds(40));
  LONGS_EQUAL(0, m_load_failures);
  CHECK_TRUE(pool->IsLoaded());
}

TEST(Load, PageThatFailsAtOnceDoesNotEnlargeTheNext) {
  PutJobs(1'400);
  m_store.m_time_per_row = milliseconds(2);
  storage::PartitionReader reader(m_loop, m_store);
  reader.Read(scheduler::MakeJobKey(kService, "").table, kService,
              [](const storage::RowReadResult&) {});
  Advance(milliseconds(2'000));
  const int limit = m_store.m_last_limit;
  CHECK_TRUE(limit < 500);
  m_store.m_is_away = true;
  Advance(milliseconds(3'000));
  CHECK_TRUE(m_store.m_last_limit <= limit);
}

TEST(Load, JobIsFoundWithin3SecondsAfterCheckOfIdleFeedTimedOut) {
  PutJobs(10);
  const auto pool = StartPool();
  Advance(std::chrono::seconds(1));
  CHECK_TRUE(pool->IsLoaded());
  m_store.m_is_feed_silent = true;
  PutJobs(11);
  Advance(std::chrono::seconds(1));
  LONGS_EQUAL(11, pool->GetScheduler().GetJobCount());
  m_store.m_fail_after = kTimeout;
  Advance(milliseconds(1'300));
  m_store.m_fail_after = milliseconds(0);
  PutJobs(12);
  Advance(std::chrono::seconds(3));
  LONGS_EQUAL(12, pool->GetScheduler().GetJobCount());
}

TEST(Load, SlowStoreIsNotReadInEverSmallerPages) {
  constexpr int kJobs = 1'400;
  PutJobs(kJobs);
  m_store.m_time_per_read = milliseconds(400);
  const auto pool = StartPool();
  Advance(std::chrono::seconds(6));
  CHECK_TRUE(pool->IsLoaded());
}

TEST(Load, JobThatIsCancelledDuringLoadIsNotDeliveredWithIt) {
  PutJobs(600);
  m_store.m_time_per_row = milliseconds(4);
  m_store.m_feed_time = milliseconds(300);
  const auto pool = StartPool();
  Advance(std::chrono::seconds(1));
  storage::RowTransaction cancellation;
  cancellation.removals = {scheduler::MakeJobKey(kService, "job0")};
  m_store.Commit(cancellation, [](const storage::RowCommitResult&) {});
  PutJob("late");
  for (int i = 0; i < 200 && !pool->IsLoaded(); ++i) {
    Advance(milliseconds(10));
  }
  CHECK_TRUE(pool->IsLoaded());
  CHECK_FALSE(pool->GetScheduler().HasJob("job0"));
  CHECK_TRUE(pool->GetScheduler().HasJob("late"));
  LONGS_EQUAL(600, pool->GetScheduler().GetJobCount());
}
