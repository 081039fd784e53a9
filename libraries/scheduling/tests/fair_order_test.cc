// One customer that sends many times its usual, while a pool is full.
#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "scheduling/pool_scheduler.h"

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr int kTargets = 10;
constexpr int64_t kCores = 8;
constexpr int kTaskMs = 800;
constexpr int kPassMs = 50;
constexpr int kPlayMs = 30'000;
constexpr int64_t kStartMs = 1'000'000;
// 1.6 times the run time and 600 ms.
constexpr int64_t kObjectiveMs = 1'880;
constexpr const char* kHot = "hot";
constexpr const char* kOthers[] = {"a", "b", "c", "d"};
// Jobs a second of each customer; a job takes 3.2 core-seconds.
constexpr double kUsualRate = 4;

// Plays arrivals of jobs against a pool whose targets run every task for the
// same time, and tells how many jobs of a customer end in time.
class FairPlay {
 public:
  // `weight`: that of each customer, in jobs a second.
  FairPlay(double hot_factor, double weight) : m_hot_factor(hot_factor) {
    scheduling::RoutePolicy policy;
    policy.stretch = 1.6;
    policy.allowance_ms = 600;
    m_pool.SetRoutes({{"quote", policy}});
    std::vector<customers::Customer> listed = {{kHot, {}, weight, {}}};
    for (const char* name : kOthers) {
      listed.push_back({name, {}, weight, {}});
    }
    base::Findings findings;
    m_pool.SetCustomers({listed, findings});
    for (int i = 0; i < kTargets; ++i) {
      scheduling::TargetEntry entry;
      entry.id = "t" + std::to_string(i);
      entry.address = "10.0.0.1:1";
      entry.capacity = {kCores * 1'000, 65'536, 0};
      m_pool.UpdateTarget(entry, m_now);
    }
  }

  // Returns the share of the other customers' jobs that end in time, of all
  // that had the time.
  double Play() {
    for (int ms = 0; ms < kPlayMs; ms += kPassMs) {
      m_now += milliseconds(kPassMs);
      m_wall_ms += kPassMs;
      Arrive(kHot, kUsualRate * m_hot_factor);
      for (const char* name : kOthers) {
        Arrive(name, kUsualRate);
      }
      Pass();
    }
    int owed = 0;
    for (const auto& [job, accepted_ms] : m_accepted) {
      owed += IsCounted(job) ? 1 : 0;
    }
    return static_cast<double>(m_in_time) / owed;
  }

 private:
  struct Running {
    scheduling::StartOrder order;
    base::TimePoint ends;
  };

  void Arrive(const std::string& customer, double rate) {
    m_credit[customer] += rate * kPassMs / 1'000;
    for (; m_credit[customer] >= 1; m_credit[customer] -= 1) {
      scheduling::JobSpec job;
      job.id = customer + std::to_string(++m_last_job);
      job.route = "quote";
      job.customer = customer;
      job.accepted_ms = m_wall_ms;
      job.steps.resize(1);
      job.steps[0].count = 4;
      job.steps[0].demand = {1'000, 100, 0};
      job.steps[0].estimate_ms = kTaskMs;
      m_accepted[job.id] = m_wall_ms;
      m_pool.AddJob(job, MakeInitialProgress(job), false);
    }
  }

  void Pass() {
    for (const auto& order : m_pool.CreateReportOrders(m_now)) {
      m_pool.OnReport(order, m_now, m_now, MakeReport(order.target));
    }
    m_pool.ConfirmRoster(m_pool.GetRoster());
    for (const auto& start : m_pool.Decide(m_now, m_wall_ms).starts) {
      m_pool.OnStartResult(start, {scheduling::OrderOutcome::kAccepted, {}},
                           m_now);
      m_running[start.target].push_back({start, m_now + milliseconds(kTaskMs)});
    }
    const auto changes = m_pool.DequeueChanges(1'000);
    m_pool.OnCommitted(changes);
    for (const auto& change : changes) {
      if (change.progress.state == scheduling::JobState::kCompleted) {
        CountEnd(change.job);
      }
    }
  }

  scheduling::TargetReport MakeReport(const std::string& target) {
    scheduling::TargetReport report;
    report.clock_ms = m_wall_ms;
    report.lists_all_completions = true;
    std::vector<Running> running;
    for (const Running& run : m_running[target]) {
      if (run.ends <= m_now) {
        report.ended.push_back({++m_ends[target], run.order.task, run.order.run,
                                scheduling::RunOutcome::kDone, ""});
      } else {
        report.running.push_back({run.order.task, run.order.run, "", 0, 0});
        running.push_back(run);
      }
    }
    m_running[target] = std::move(running);
    return report;
  }

  // Returns whether the job is another customer's and was accepted early enough
  // to end within the play.
  bool IsCounted(const std::string& job) {
    return job.compare(0, 3, kHot) != 0 &&
           m_accepted[job] + kObjectiveMs <= kStartMs + kPlayMs;
  }

  void CountEnd(const std::string& job) {
    if (IsCounted(job)) {
      m_in_time += m_wall_ms <= m_accepted[job] + kObjectiveMs ? 1 : 0;
    }
  }

  static scheduling::PoolSchedulerOptions MakeOptions() {
    scheduling::PoolSchedulerOptions options;
    options.first_fence = 1'000;
    options.last_fence = 1'999;
    return options;
  }

  double m_hot_factor;
  base::TimePoint m_now{std::chrono::seconds(1'000)};
  int64_t m_wall_ms = kStartMs;
  scheduling::PoolScheduler m_pool{MakeOptions()};
  std::map<std::string, double> m_credit;
  std::map<std::string, int64_t> m_accepted;
  std::map<std::string, std::vector<Running>> m_running;
  std::map<std::string, int64_t> m_ends;
  int m_last_job = 0;
  int m_in_time = 0;
};

}  // namespace

TEST_GROUP(FairOrder){
    void Check(double weight){const double calm = FairPlay(1, weight).Play();
CHECK_TRUE(calm > 0.9);
for (const double factor : {8.0, 20.0}) {
  const double beside = FairPlay(factor, weight).Play();
  CHECK_TEXT(beside >= calm - 0.02, ("in time " + std::to_string(beside) +
                                     ", calm " + std::to_string(calm))
                                        .c_str());
}
}
}
;

TEST(FairOrder, ACustomersExcessCostsTheOthersNothing) { Check(kUsualRate); }

// Weights may be far above what customers usually send.
TEST(FairOrder, UseBeyondACustomersShareCostsTheOthersNothing) {
  Check(11 * kUsualRate);
}
