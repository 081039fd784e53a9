// What a pool starts while its customers' limits are in use.
#include <CppUTest/TestHarness.h>

#include <string>

#include "scheduling/job_record.h"
#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

namespace {

scheduling::JobSpec MakeJob(const std::string& id, const std::string& customer,
                            int count, int64_t cpu_milli = 1'000) {
  scheduling::JobSpec job;
  job.id = id;
  job.route = "quote";
  job.customer = customer;
  job.steps.resize(1);
  job.steps[0].count = count;
  job.steps[0].demand = {cpu_milli, 100, 0};
  job.steps[0].estimate_ms = 5'000;
  return job;
}

customers::Allowance Allow(int64_t cpu_milli) {
  constexpr int64_t kPlenty = 1'000'000;
  return {{cpu_milli, kPlenty, kPlenty}, false};
}

}  // namespace

TEST_GROUP(CustomerLimit) {
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  scheduling::PoolScheduler m_pool{MakeOptions()};
  // The starts of each job so far.
  std::map<std::string, int> m_started;
  std::vector<scheduling::StartOrder> m_starts;

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1'000;
    options.last_fence = 1'999;
    return options;
  }

  void setup() override {
    for (const char* id : {"t1", "t2"}) {
      scheduling::TargetEntry entry;
      entry.id = id;
      entry.address = "10.0.0.1:1";
      entry.capacity = {8'000, 65'536, 0};
      m_pool.UpdateTarget(entry, m_now);
    }
  }

  void AddJob(const scheduling::JobSpec& job, bool predates_ownership = false) {
    m_pool.AddJob(job, MakeInitialProgress(job), predates_ownership);
  }

  // The targets accept all starts; what runs on them does not end.
  void Pass() {
    m_now += milliseconds(60);
    for (const auto& order : m_pool.CreateReportOrders(m_now)) {
      scheduling::TargetReport report;
      report.clock_ms = 1'000;
      report.lists_all_completions = true;
      for (const scheduling::StartOrder& start : m_starts) {
        if (start.target == order.target) {
          report.running.push_back({start.task, start.run, "", 0, 0});
        }
      }
      m_pool.OnReport(order, m_now, m_now, report);
    }
    m_pool.ConfirmRoster(m_pool.GetRoster());
    for (const auto& start : m_pool.Decide(m_now, 0).starts) {
      m_pool.OnStartResult(start, {scheduling::OrderOutcome::kAccepted, {}},
                           m_now);
      ++m_started[start.task.job];
      m_starts.push_back(start);
    }
  }
  customers::CustomerNeed GetNeed(const std::string& customer) {
    const auto& needs = m_pool.GetCustomerBudget().GetNeeds();
    const auto found = needs.find(customer);
    return found == needs.end() ? customers::CustomerNeed{} : found->second;
  }
};

TEST(CustomerLimit, ACustomerStartsNoMoreThanItsAllowance) {
  m_pool.SetCustomerAllowances({{"a", Allow(3'000)}});
  AddJob(MakeJob("j1", "a", 5));
  AddJob(MakeJob("j2", "b", 4));
  Pass();
  Pass();
  LONGS_EQUAL(3, m_started["j1"]);
  LONGS_EQUAL(4, m_started["j2"]);
  LONGS_EQUAL(3'000, GetNeed("a").used.cpu_milli);
  LONGS_EQUAL(2'000, GetNeed("a").blocked.cpu_milli);
  LONGS_EQUAL(1'000, GetNeed("a").first_blocked.cpu_milli);
}

TEST(CustomerLimit, ARaisedAllowanceStartsTheRest) {
  m_pool.SetCustomerAllowances({{"a", Allow(0)}});
  AddJob(MakeJob("j1", "a", 5));
  Pass();
  Pass();
  LONGS_EQUAL(0, m_started["j1"]);
  m_pool.SetCustomerAllowances({{"a", Allow(5'000)}});
  Pass();
  LONGS_EQUAL(5, m_started["j1"]);
}

TEST(CustomerLimit, ALowerAllowanceStopsNothing) {
  m_pool.SetCustomerAllowances({{"a", Allow(4'000)}});
  AddJob(MakeJob("j1", "a", 6));
  Pass();
  Pass();
  LONGS_EQUAL(4, m_started["j1"]);
  m_pool.SetCustomerAllowances({{"a", Allow(1'000)}});
  m_now += milliseconds(60);
  LONGS_EQUAL(0, m_pool.Decide(m_now, 0).stops.size());
  LONGS_EQUAL(4, m_started["j1"]);
}

TEST(CustomerLimit, AGangStartsOnlyAsAWhole) {
  m_pool.SetCustomerAllowances({{"a", Allow(3'000)}});
  scheduling::JobSpec job = MakeJob("j1", "a", 4);
  job.steps[0].gang = true;
  AddJob(job);
  Pass();
  Pass();
  LONGS_EQUAL(0, m_started["j1"]);
  LONGS_EQUAL(4'000, GetNeed("a").blocked.cpu_milli);
  m_pool.SetCustomerAllowances({{"a", Allow(4'000)}});
  Pass();
  LONGS_EQUAL(4, m_started["j1"]);
}

TEST(CustomerLimit, OnlyWhatThereIsRoomForWaitsForTheLimit) {
  m_pool.SetCustomerAllowances({{"a", Allow(14'000)}});
  AddJob(MakeJob("j1", "a", 100));
  Pass();
  Pass();
  LONGS_EQUAL(14, m_started["j1"]);
  // The targets have 16 cores.
  LONGS_EQUAL(2'000, GetNeed("a").blocked.cpu_milli);
}

TEST(CustomerLimit, TasksBehindALimitHoldUpNoOther) {
  m_pool.SetCustomerAllowances({{"a", Allow(0)}});
  for (int i = 0; i < 50; ++i) {
    AddJob(MakeJob("a" + std::to_string(i), "a", 20));
  }
  AddJob(MakeJob("b", "b", 16));
  Pass();
  Pass();
  LONGS_EQUAL(16, m_started["b"]);
}

TEST(CustomerLimit, RunsThatAFormerOwnerMayHaveStartedCountUntilTheyAreKnown) {
  scheduling::TargetEntry silent;
  silent.id = "t3";
  silent.address = "10.0.0.3:1";
  silent.capacity = {2'000, 65'536, 0};
  scheduling::PoolScheduler pool{MakeOptions()};
  pool.AddRosterTarget(silent, m_now);
  pool.UpdateTarget(silent, m_now);
  pool.SetCustomerAllowances({{"a", Allow(5'000)}});
  const scheduling::JobSpec old_job = MakeJob("j1", "a", 10);
  pool.AddJob(old_job, MakeInitialProgress(old_job), true);
  pool.Decide(m_now, 0);
  // Two of the ten tasks fit on the silent target.
  LONGS_EQUAL(2'000,
              pool.GetCustomerBudget().GetNeeds().at("a").used.cpu_milli);
  CHECK_FALSE(pool.AreFormerRunsKnown(m_now));
}

TEST(CustomerLimit, TheLargestCustomersAreListedBesideTheirShares) {
  base::Findings findings;
  m_pool.SetCustomers(
      {{{"a", {}, 30, {}}, {"b", {}, 10, {}}, {"idle", {}, 60, {}}}, findings});
  AddJob(MakeJob("j1", "a", 2));
  AddJob(MakeJob("j2", "b", 4));
  Pass();
  Pass();
  Pass();
  const auto largest = m_pool.GetCustomerBudget().ListLargest(1);
  LONGS_EQUAL(1, largest.size());
  STRCMP_EQUAL("b", largest[0].customer.c_str());
  LONGS_EQUAL(4'000, largest[0].used.cpu_milli);
  DOUBLES_EQUAL(0.25, largest[0].used_share, 0.001);
  DOUBLES_EQUAL(0.25, largest[0].fair_share, 0.001);
  LONGS_EQUAL(2, m_pool.GetCustomerBudget().ListLargest(5).size());
}

TEST(CustomerLimit, TheCustomerIsKeptInTheJobsRecord) {
  const scheduling::JobSpec job = MakeJob("j1", "a", 1);
  CHECK_TRUE(scheduling::DecodeJobRecord(scheduling::EncodeJobRecord(job)) ==
             job);
  // A record of an earlier version has no customer.
  const scheduling::JobSpec old_job = MakeJob("j1", "", 1);
  CHECK_TRUE(scheduling::EncodeJobRecord(old_job).find("customer") ==
             std::string::npos);
  CHECK_TRUE(scheduling::DecodeJobRecord(
                 scheduling::EncodeJobRecord(old_job)) == old_job);
}
