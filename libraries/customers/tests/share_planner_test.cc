// How owners of pools divide a customer's limit: queues take turns, owners are
// replaced, answers are lost, limits fall.
#include "customers/share_planner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;
using base::Resources;
using std::chrono::milliseconds;

namespace {

constexpr char kCustomer[] = "a";

customers::CustomerRegistry MakeRegistry(const Resources& limit) {
  base::Findings findings;
  return {{{kCustomer, {}, 1, limit}}, findings};
}

customers::CustomerNeed MakeNeed(int64_t used, int64_t blocked) {
  return {{used, 0, 0}, {blocked, 0, 0}, {std::min<int64_t>(blocked, 1), 0, 0}};
}

// The stored division, with transactions whose answers are lost or that are
// carried out late.
struct ModelStore {
  uint64_t version = 0;
  uint64_t counter = 0;
  customers::LimitShares shares;
  // Transactions that may still be carried out.
  std::vector<customers::ShareChange> late;

  bool Apply(const customers::ShareChange& change) {
    if (change.expected_version != version) {
      return false;
    }
    version = ++counter;
    shares = change.shares;
    return true;
  }
};

}  // namespace

TEST_GROUP(SharePlanner) {
  base::TimePoint m_now{std::chrono::seconds(100)};
  ModelStore m_store;

  std::unique_ptr<customers::SharePlanner> MakePlanner(const char* pool,
                                                       int64_t limit) {
    auto planner = std::make_unique<customers::SharePlanner>(pool);
    planner->SetCustomers(MakeRegistry({limit, 0, 0}));
    return planner;
  }
  int64_t GetAllowed(const customers::SharePlanner& planner) {
    return planner.GetAllowances().at(kCustomer).most.cpu_milli;
  }
  void Answer(customers::SharePlanner & planner,
              const std::vector<customers::ShareChange>& changes) {
    for (const customers::ShareChange& change : changes) {
      if (m_store.Apply(change)) {
        planner.OnCommitted(m_store.version);
      } else {
        planner.OnConflict({{kCustomer, m_store.version, m_store.shares}});
      }
    }
  }
  // Lets the planner act, once for a conflict and once for its change.
  void Run(customers::SharePlanner & planner,
           const customers::CustomerNeed& need, bool may_reduce = true) {
    for (int i = 0; i < 2; ++i) {
      Answer(planner, planner.Plan({{kCustomer, need}}, may_reduce, m_now));
      if (!planner.ListToRead(m_now).empty()) {
        planner.OnRead({kCustomer, m_store.version, m_store.shares});
      }
    }
  }
  void Wait(int ms) { m_now += milliseconds(ms); }
};

TEST(SharePlanner, StartsNothingBeforeItHasAShare) {
  const auto planner = MakePlanner("p", 100);
  LONGS_EQUAL(0, GetAllowed(*planner));
  Run(*planner, MakeNeed(0, 40));
  LONGS_EQUAL(50, GetAllowed(*planner));
}

TEST(SharePlanner, TakesNoMoreThanOtherPoolsLeave) {
  const auto first = MakePlanner("p", 100);
  const auto second = MakePlanner("q", 100);
  Run(*first, MakeNeed(0, 64));
  Run(*second, MakeNeed(0, 64));
  LONGS_EQUAL(80, GetAllowed(*first));
  LONGS_EQUAL(20, GetAllowed(*second));
}

TEST(SharePlanner, TheNextQueueHasItsShareSoonAfterItsTurnBegins) {
  const auto first = MakePlanner("p", 100);
  const auto second = MakePlanner("q", 100);
  Run(*first, MakeNeed(0, 80));
  // The first queue's turn ends.
  for (int ms = 0; ms < 400; ms += 50) {
    Run(*first, MakeNeed(4, 0));
    Run(*second, MakeNeed(GetAllowed(*second), 80));
    Wait(50);
  }
  LONGS_EQUAL(5, GetAllowed(*first));
  CHECK_TRUE(GetAllowed(*second) >= 80);
}

TEST(SharePlanner, AReductionCountsAsSoonAsItIsSent) {
  const auto planner = MakePlanner("p", 100);
  Run(*planner, MakeNeed(0, 80));
  std::vector<customers::ShareChange> changes;
  while (changes.empty()) {
    changes = planner->Plan({{kCustomer, MakeNeed(8, 0)}}, true, m_now);
    Wait(50);
  }
  LONGS_EQUAL(10, GetAllowed(*planner));
  // It may be carried out later.
  planner->OnFailed(m_now);
  LONGS_EQUAL(10, GetAllowed(*planner));
  Wait(200);
  Run(*planner, MakeNeed(10, 40));
  LONGS_EQUAL(62, GetAllowed(*planner));
}

TEST(SharePlanner, ARaiseWithoutAnAnswerDoesNotCountAndIsSettled) {
  const auto planner = MakePlanner("p", 100);
  Run(*planner, MakeNeed(0, 8));
  const auto changes =
      planner->Plan({{kCustomer, MakeNeed(10, 30)}}, true, m_now);
  LONGS_EQUAL(1, changes.size());
  m_store.Apply(changes.front());
  planner->OnFailed(m_now);
  LONGS_EQUAL(10, GetAllowed(*planner));
  // Nothing is needed any more, and the stored share is returned.
  for (int i = 0; i < 40; ++i) {
    Wait(50);
    Run(*planner, MakeNeed(0, 0));
  }
  LONGS_EQUAL(0, m_store.shares.GetTotal().cpu_milli);
}

TEST(SharePlanner, AFirstRaiseWithoutAnAnswerIsReturned) {
  const auto planner = MakePlanner("p", 100);
  // The customer has no share anywhere, and this is known.
  Run(*planner, MakeNeed(0, 0));
  const auto changes =
      planner->Plan({{kCustomer, MakeNeed(0, 30)}}, true, m_now);
  m_store.Apply(changes.at(0));
  planner->OnFailed(m_now);
  for (int i = 0; i < 40; ++i) {
    Wait(50);
    Run(*planner, MakeNeed(0, 0));
  }
  LONGS_EQUAL(0, m_store.shares.GetTotal().cpu_milli);
}

TEST(SharePlanner, ASuccessorReturnsNothingWhileFormerRunsAreUnknown) {
  const auto former = MakePlanner("p", 100);
  Run(*former, MakeNeed(0, 80));
  const auto successor = MakePlanner("p", 100);
  for (int i = 0; i < 20; ++i) {
    Run(*successor, MakeNeed(0, 0), false);
    Wait(50);
  }
  LONGS_EQUAL(100, m_store.shares.GetTotal().cpu_milli);
  for (int i = 0; i < 20; ++i) {
    Run(*successor, MakeNeed(0, 0), true);
    Wait(50);
  }
  LONGS_EQUAL(0, m_store.shares.GetTotal().cpu_milli);
}

TEST(SharePlanner, AFallenLimitHoldsBeforeSharesAreReturned) {
  const auto first = MakePlanner("p", 100);
  const auto second = MakePlanner("q", 100);
  Run(*first, MakeNeed(0, 48));
  Run(*second, MakeNeed(0, 32));
  first->SetCustomers(MakeRegistry({20, 0, 0}));
  second->SetCustomers(MakeRegistry({20, 0, 0}));
  // Until the division has been read.
  LONGS_EQUAL(0, GetAllowed(*first));
  Run(*first, MakeNeed(48, 10));
  Run(*second, MakeNeed(32, 10));
  CHECK_TRUE(GetAllowed(*first) + GetAllowed(*second) <= 20);
  // The runs end.
  Run(*first, MakeNeed(0, 10));
  Run(*second, MakeNeed(0, 10));
  Run(*first, MakeNeed(0, 10));
  const int64_t together = GetAllowed(*first) + GetAllowed(*second);
  CHECK_TRUE(together >= 18 && together <= 20);
}

TEST(SharePlanner, ATaskLargerThanTheLimitRunsAlone) {
  const auto planner = MakePlanner("p", 10);
  const customers::CustomerNeed need{{}, {40, 0, 0}, {20, 0, 0}};
  Run(*planner, need);
  const customers::Allowance allowance = planner->GetAllowances().at(kCustomer);
  CHECK_TRUE(allowance.Allows({}, {20, 0, 0}, 1));
  CHECK_FALSE(allowance.Allows({20, 0, 0}, {20, 0, 0}, 1));
  CHECK_FALSE(allowance.Allows({}, {40, 0, 0}, 2));
}

TEST(SharePlanner, ATaskLargerThanTheLimitWaitsForOtherPools) {
  const auto first = MakePlanner("p", 10);
  const auto second = MakePlanner("q", 10);
  Run(*first, MakeNeed(0, 4));
  Run(*second, {{}, {20, 0, 0}, {20, 0, 0}});
  CHECK_FALSE(second->GetAllowances().at(kCustomer).Allows({}, {20, 0, 0}, 1));
}

TEST(SharePlanner, ResourcesWithoutALimitAreNotDivided) {
  const auto planner = MakePlanner("p", 100);
  Run(*planner, {{}, {40, 1'000'000, 8}, {1, 1, 0}});
  const customers::Allowance allowance = planner->GetAllowances().at(kCustomer);
  CHECK_TRUE(allowance.Allows({1, 500'000, 4}, {1, 500'000, 4}, 1));
  LONGS_EQUAL(0, m_store.shares.GetTotal().memory_mb);
}

TEST(SharePlanner, EachCustomerGetsItsTurn) {
  customers::SharePlanner planner("p");
  base::Findings findings;
  std::vector<customers::Customer> listed;
  std::map<std::string, customers::CustomerNeed> needs;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "c" + std::to_string(10 + i);
    listed.push_back({name, {}, 1, {1'000, 0, 0}});
    needs[name] = MakeNeed(0, 10);
  }
  planner.SetCustomers({listed, findings});
  std::set<std::string> planned;
  for (int i = 0; i < 20; ++i) {
    for (const auto& change : planner.Plan(needs, true, m_now)) {
      planned.insert(change.customer);
    }
    // Others change the same divisions all the time.
    planner.OnConflict({});
  }
  LONGS_EQUAL(20, planned.size());
}

TEST(SharePlanner, CustomersWithoutALimitAreLeftAlone) {
  customers::SharePlanner planner("p");
  planner.SetCustomers(MakeRegistry({}));
  CHECK_FALSE(planner.HasLimits());
  CHECK_TRUE(planner.GetAllowances().empty());
}

namespace {

// Pools with owners that come and go, and what their runs use.
class LimitPlay {
 public:
  explicit LimitPlay(uint32_t seed) : m_random(seed) {
    for (int i = 0; i < kPools; ++i) {
      m_pools.push_back({"pool" + std::to_string(i), nullptr, 0, 0, {}});
      Replace(m_pools.back());
    }
  }

  // Returns the first violation, or an empty text.
  std::string Play(int steps, bool has_faults) {
    for (Pool& pool : m_pools) {
      pool.planner->SetCustomers(MakeRegistry({m_limit, 0, 0}));
    }
    for (int step = 0; step < steps; ++step) {
      m_now += milliseconds(20);
      if (has_faults) {
        Disturb();
      }
      for (Pool& pool : m_pools) {
        RunPool(pool, has_faults);
      }
      const std::string fault = Check(has_faults);
      if (!fault.empty()) {
        return "step " + std::to_string(step) + ": " + fault;
      }
    }
    return "";
  }

 private:
  static constexpr int kPools = 4;
  static constexpr int64_t kTask = 4;

  struct Pool {
    std::string name;
    std::unique_ptr<customers::SharePlanner> planner;
    int64_t used = 0;
    int64_t wanted = 0;
    // Since when it wants more and the customer uses less than half its limit.
    std::optional<base::TimePoint> waits_since;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
  }
  int64_t Draw(int64_t most) {
    return std::uniform_int_distribution<int64_t>(0, most)(m_random);
  }

  void Replace(Pool& pool) {
    pool.planner = std::make_unique<customers::SharePlanner>(pool.name);
    pool.planner->SetCustomers(MakeRegistry({m_limit, 0, 0}));
  }

  void Disturb() {
    if (Chance(0.01)) {
      Replace(m_pools[static_cast<size_t>(Draw(kPools - 1))]);
    }
    if (Chance(0.005)) {
      m_highest_limit = std::max(m_highest_limit, m_limit);
      m_limit = 20 + Draw(180);
      m_limit_since = m_now;
    }
    if (Chance(0.05) && !m_store.late.empty()) {
      m_store.Apply(m_store.late.back());
      m_store.late.pop_back();
    }
    // Owners learn of limits one after another.
    m_pools[static_cast<size_t>(Draw(kPools - 1))].planner->SetCustomers(
        MakeRegistry({m_limit, 0, 0}));
  }

  void RunPool(Pool& pool, bool has_faults) {
    // Queues take turns.
    if (Chance(0.02)) {
      pool.wanted = Chance(0.3) ? Draw(200) : Draw(10);
    }
    for (int64_t runs = pool.used / kTask; runs > 0; --runs) {
      pool.used -= Chance(0.05) ? kTask : 0;
    }
    const customers::Allowance allowance =
        pool.planner->GetAllowances().at(kCustomer);
    while (pool.used < pool.wanted &&
           allowance.Allows({pool.used, 0, 0}, {kTask, 0, 0}, 1)) {
      pool.used += kTask;
    }
    const int64_t blocked = std::max<int64_t>(0, pool.wanted - pool.used);
    const auto changes =
        pool.planner->Plan({{kCustomer,
                             {{pool.used, 0, 0},
                              {blocked, 0, 0},
                              {blocked > 0 ? kTask : 0, 0, 0}}}},
                           true, m_now);
    for (const customers::ShareChange& change : changes) {
      if (has_faults && Chance(0.2)) {
        if (Chance(0.5)) {
          m_store.Apply(change);
        } else {
          m_store.late.push_back(change);
        }
        pool.planner->OnFailed(m_now);
      } else if (m_store.Apply(change)) {
        pool.planner->OnCommitted(m_store.version);
      } else {
        pool.planner->OnConflict(
            {{kCustomer, m_store.version, m_store.shares}});
      }
    }
    if (!pool.planner->ListToRead(m_now).empty()) {
      pool.planner->OnRead({kCustomer, m_store.version, m_store.shares});
    }
  }

  std::string Describe() const {
    std::string text;
    for (const Pool& pool : m_pools) {
      text += " " + pool.name + " uses " + std::to_string(pool.used) + " of " +
              std::to_string(pool.planner->GetShare(kCustomer).cpu_milli) +
              ", wants " + std::to_string(pool.wanted) + ", sees " +
              std::to_string(pool.planner->GetTotal(kCustomer).cpu_milli) + ";";
    }
    return text + " stored " + m_store.shares.Format();
  }

  std::string Check(bool has_faults) {
    int64_t used = 0;
    for (const Pool& pool : m_pools) {
      used += pool.used;
    }
    // Runs go on after a limit has fallen, and some owners have not learnt it.
    if (m_now >= m_limit_since + std::chrono::seconds(10)) {
      m_highest_limit = m_limit;
    }
    if (used > std::max(m_highest_limit, m_limit)) {
      return "the runs use " + std::to_string(used) + " of " +
             std::to_string(m_limit);
    }
    for (Pool& pool : m_pools) {
      const bool waits =
          !has_faults && pool.used + kTask <= pool.wanted && 2 * used < m_limit;
      if (!waits) {
        pool.waits_since.reset();
        continue;
      }
      pool.waits_since = pool.waits_since.value_or(m_now);
      if (m_now >= *pool.waits_since + std::chrono::seconds(1)) {
        return pool.name + " waits although half of the limit of " +
               std::to_string(m_limit) + " is free:" + Describe();
      }
    }
    return "";
  }

  std::mt19937 m_random;
  base::TimePoint m_now{std::chrono::seconds(100)};
  ModelStore m_store;
  int64_t m_limit = 100;
  int64_t m_highest_limit = 100;
  base::TimePoint m_limit_since = m_now;
  std::vector<Pool> m_pools;
};

}  // namespace

TEST(SharePlanner, RunsStayWithinTheLimitAndNobodyWaitsBesideIt) {
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    LimitPlay play(seed);
    for (const bool has_faults : {true, false, true, false}) {
      const std::string fault = play.Play(500, has_faults);
      CHECK_TEXT(fault.empty(),
                 ("seed " + std::to_string(seed) + ", " + fault).c_str());
    }
  }
}
