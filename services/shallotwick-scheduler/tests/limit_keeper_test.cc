// How an owner keeps its pool's shares of limits in the store.
#include "../limit_keeper.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "../job_tables.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;
namespace fakes = shallotwick::fakes;
namespace scheduler = shallotwick::scheduler;
namespace storage = shallotwick::storage;
using std::chrono::milliseconds;

TEST_GROUP(LimitKeeper) {
  base::EventLoop m_loop;
  base::MetricRegistry m_metrics;
  fakes::FakeRowStore m_store{m_loop};

  void setup() override { base::RuntimeClock::Pause(); }
  void teardown() override { base::RuntimeClock::Resume(); }

  uint64_t Claim(const char* pool) {
    return m_store.Put(scheduler::MakeOwnerKey(pool), "owner");
  }
  std::unique_ptr<scheduler::LimitKeeper> MakeKeeper(const char* pool,
                                                     uint64_t owner_version) {
    auto keeper = std::make_unique<scheduler::LimitKeeper>(m_store, m_metrics,
                                                           pool, owner_version);
    base::Findings findings;
    keeper->SetCustomers({{{"a", {}, 1, {100, 0, 0}}}, findings});
    return keeper;
  }
  void Update(scheduler::LimitKeeper & keeper, int64_t used, int64_t blocked,
              int times = 6) {
    for (int i = 0; i < times; ++i) {
      fakes::AdvanceTimers(m_loop, milliseconds(50));
      keeper.Update({{"a", {{used, 0, 0}, {blocked, 0, 0}, {blocked, 0, 0}}}},
                    true, base::RuntimeClock::now());
      fakes::ProcessDueEvents(m_loop);
    }
  }
  static int64_t GetAllowed(const scheduler::LimitKeeper& keeper) {
    return keeper.GetAllowances().at("a").most.cpu_milli;
  }
  int64_t GetStoredTotal() {
    return customers::LimitShares::Parse(
               m_store.Get(scheduler::MakeLimitKey("a")).value)
        .GetTotal()
        .cpu_milli;
  }
};

TEST(LimitKeeper, PoolsTakeAndReturnShares) {
  const auto first = MakeKeeper("p", Claim("p"));
  const auto second = MakeKeeper("q", Claim("q"));
  Update(*first, 0, 80);
  Update(*second, 0, 80);
  LONGS_EQUAL(100, GetAllowed(*first));
  LONGS_EQUAL(0, GetAllowed(*second));
  Update(*first, 0, 0, 30);
  Update(*second, 0, 80, 20);
  LONGS_EQUAL(0, GetAllowed(*first));
  LONGS_EQUAL(100, GetAllowed(*second));
}

TEST(LimitKeeper, AReplacedOwnerChangesNothing) {
  const auto former = MakeKeeper("p", Claim("p"));
  Update(*former, 0, 80);
  const auto successor = MakeKeeper("p", Claim("p"));
  Update(*former, 0, 0, 40);
  LONGS_EQUAL(100, GetStoredTotal());
  Update(*successor, 40, 0, 40);
  LONGS_EQUAL(50, GetStoredTotal());
}

TEST(LimitKeeper, ASuccessorReturnsWhatItsPoolNoLongerNeeds) {
  const auto former = MakeKeeper("p", Claim("p"));
  Update(*former, 0, 80);
  const auto successor = MakeKeeper("p", Claim("p"));
  Update(*successor, 0, 0, 40);
  LONGS_EQUAL(0, GetStoredTotal());
}

TEST(LimitKeeper, ALostAnswerIsSettled) {
  const auto keeper = MakeKeeper("p", Claim("p"));
  Update(*keeper, 0, 0);
  m_store.m_faults = {{storage::RowCommitStatus::kUnknown, true, false}};
  Update(*keeper, 0, 40, 1);
  LONGS_EQUAL(0, GetAllowed(*keeper));
  Update(*keeper, 0, 40, 20);
  LONGS_EQUAL(50, GetAllowed(*keeper));
  LONGS_EQUAL(50, GetStoredTotal());
}

TEST(LimitKeeper, AMalformedDivisionGivesNoShare) {
  m_store.Put(scheduler::MakeLimitKey("a"), "{");
  const auto keeper = MakeKeeper("p", Claim("p"));
  Update(*keeper, 0, 40, 10);
  LONGS_EQUAL(0, GetAllowed(*keeper));
}

TEST(LimitKeeper, WithoutLimitsTheStoreIsLeftAlone) {
  scheduler::LimitKeeper keeper(m_store, m_metrics, "p", Claim("p"));
  const uint64_t before = Claim("q");
  keeper.SetCustomers({});
  Update(keeper, 10, 40, 10);
  LONGS_EQUAL(before + 1, Claim("q"));
}
