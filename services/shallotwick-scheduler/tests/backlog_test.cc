// An owner with a backlog and many targets behind a narrow link.

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>

#include "../job_tables.h"
#include "../pool_runner.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"
#include "scheduling/job_record.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
using scheduling::OrderOutcome;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr char kService[] = "quotes";
constexpr int kTargets = 320;
constexpr int kConnectionsPerTarget = 4;
constexpr auto kOrderTimeout = milliseconds(400);
constexpr auto kRunTime = milliseconds(1'000);

// Targets that are reached over one link, which carries one order after the
// other, and over a few connections each. An order that is not answered in time
// is carried out all the same, unless it still waited for a connection.
class TargetsBehindLink : public scheduling::TargetOrders {
 public:
  explicit TargetsBehindLink(base::EventLoop& loop) : m_loop(loop) {}

  void Start(const scheduling::StartOrder& order,
             std::function<void(scheduling::OrderResult)> on_end) override {
    Send(order.target, m_start_time,
         [this, order, on_end](OrderOutcome outcome) {
           if (outcome != OrderOutcome::kNotSent) {
             m_targets[order.target].running[order.task] = {
                 order.run, base::RuntimeClock::now()};
             ++m_started;
           }
           m_unanswered += outcome == OrderOutcome::kAccepted ? 0 : 1;
           on_end({outcome, std::nullopt});
         });
  }
  void Stop(const scheduling::StopOrder& order,
            std::function<void(scheduling::OrderResult)> on_end) override {
    Send(order.target, m_other_time, [on_end](OrderOutcome outcome) {
      on_end({outcome, std::nullopt});
    });
  }
  void Pace(const scheduling::PaceOrder&,
            std::function<void(scheduling::OrderResult)>) override {}
  void Report(const scheduling::ReportOrder& order,
              std::function<void(scheduling::ReportResult)> on_end) override {
    m_loop.RunAfter(milliseconds(std::min<int64_t>(order.wait_ms, 100)),
                    [this, order, on_end] {
                      Send(
                          order.target, m_other_time,
                          [this, order, on_end](OrderOutcome outcome) {
                            scheduling::ReportResult result;
                            result.outcome = outcome;
                            if (outcome == OrderOutcome::kAccepted) {
                              result.report = MakeReport(order);
                            }
                            on_end(result);
                          },
                          true);
                    });
  }

  // Time that an order takes on the link.
  base::Duration m_start_time = microseconds(1'600);
  base::Duration m_other_time = microseconds(100);
  int m_started = 0;
  int m_unanswered = 0;

 private:
  using OnEnd = std::function<void(OrderOutcome)>;
  struct Transfer {
    base::Duration time;
    base::TimePoint deadline;
    OnEnd on_end;
  };
  struct Target {
    struct RunningTask {
      int64_t run = 0;
      base::TimePoint started;
    };
    std::map<scheduling::TaskName, RunningTask> running;
    std::vector<scheduling::ReportedCompletion> ended;
    int64_t last_number = 0;
    int open = 0;
    std::deque<Transfer> waiting;
  };

  static int64_t GetClockMs() {
    return std::chrono::duration_cast<milliseconds>(
               base::RuntimeClock::now().time_since_epoch())
        .count();
  }

  void Send(const std::string& id, base::Duration time, OnEnd on_end,
            bool is_urgent = false) {
    Target& target = m_targets[id];
    Transfer transfer{time, base::RuntimeClock::now() + kOrderTimeout,
                      std::move(on_end)};
    if (is_urgent) {
      target.waiting.push_front(std::move(transfer));
    } else {
      target.waiting.push_back(std::move(transfer));
    }
    m_loop.Post([this, id] { UseConnections(id); });
  }

  void UseConnections(const std::string& id) {
    Target& target = m_targets[id];
    const auto now = base::RuntimeClock::now();
    while (!target.waiting.empty() && target.open < kConnectionsPerTarget) {
      Transfer transfer = std::move(target.waiting.front());
      target.waiting.pop_front();
      if (now >= transfer.deadline) {
        transfer.on_end(OrderOutcome::kNotSent);
        continue;
      }
      ++target.open;
      m_link_free_at = std::max(m_link_free_at, now) + transfer.time;
      const auto arrives = m_link_free_at;
      // The bytes are under way whether or not the owner still waits.
      const bool is_late = arrives > transfer.deadline;
      m_loop.RunAfter(
          std::min(arrives, transfer.deadline) - now,
          [this, id, is_late, on_end = transfer.on_end] {
            --m_targets[id].open;
            on_end(is_late ? OrderOutcome::kUnknown : OrderOutcome::kAccepted);
            UseConnections(id);
          });
    }
  }

  scheduling::TargetReport MakeReport(const scheduling::ReportOrder& order) {
    Target& target = m_targets[order.target];
    const auto now = base::RuntimeClock::now();
    for (auto run = target.running.begin(); run != target.running.end();) {
      if (now < run->second.started + kRunTime) {
        ++run;
        continue;
      }
      target.ended.push_back({++target.last_number, run->first, run->second.run,
                              scheduling::RunOutcome::kDone, ""});
      run = target.running.erase(run);
    }
    std::erase_if(target.ended, [&order](const auto& end) {
      return end.number <= order.last_acknowledged_completion;
    });
    scheduling::TargetReport report;
    report.clock_ms = GetClockMs();
    report.ended = target.ended;
    for (const auto& [task, run] : target.running) {
      report.running.push_back({task, run.run, "", 0, 0});
    }
    return report;
  }

  base::EventLoop& m_loop;
  std::map<std::string, Target> m_targets;
  base::TimePoint m_link_free_at;
};

}  // namespace

TEST_GROUP(Backlog) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};
  base::MetricRegistry m_metrics;
  TargetsBehindLink m_targets{m_loop};

  void setup() override { base::RuntimeClock::Pause(); }
  void teardown() override { base::RuntimeClock::Resume(); }

  void Advance(base::Duration by) {
    constexpr auto kStep = milliseconds(2);
    for (auto left = by; left > base::Duration(0); left -= kStep) {
      fakes::AdvanceTimers(m_loop, kStep);
    }
  }

  // Nine tenths of what the link carries beside reports.
  static constexpr int kSteadyStarts = 1'012;

  int CountStarts(base::Duration time) {
    m_targets.m_started = 0;
    m_targets.m_unanswered = 0;
    Advance(time);
    return m_targets.m_started;
  }

  std::unique_ptr<scheduler::PoolRunner> StartPoolWithBacklog(int jobs) {
    for (int i = 0; i < jobs; ++i) {
      scheduling::JobSpec job;
      job.id = "job" + std::to_string(i);
      job.route = "quote";
      job.steps.resize(1);
      job.steps[0].count = 8;
      job.steps[0].demand = {1'500, 100, 0};
      job.steps[0].estimate_ms = 1'000;
      m_store.Put(scheduler::MakeProgressKey(kService, job.id),
                  scheduling::EncodeProgress(scheduling::JobProgress{}));
      m_store.Put(scheduler::MakeJobKey(kService, job.id),
                  scheduling::EncodeJobRecord(job));
    }
    scheduler::PoolRunnerOptions options;
    options.service = kService;
    options.owner_version =
        m_store.Put(scheduler::MakeOwnerKey(kService), "{}");
    auto pool = std::make_unique<scheduler::PoolRunner>(
        m_loop, m_store, m_targets, m_metrics, options);
    pool->m_on_lost = [] {};
    for (int i = 0; i < kTargets; ++i) {
      scheduling::TargetEntry target;
      target.id = "t" + std::to_string(i);
      target.service = kService;
      target.address = "10.0.0.1:" + std::to_string(1'000 + i);
      target.capacity = {16'000, 32'768, 0};
      pool->m_targets_at_start[target.id] = target;
    }
    pool->Start();
    return pool;
  }
};

// Backlogs that are sent at once time out, and are sent again at once.
TEST(Backlog, OwnerWithBacklogStartsAsMuchAsItsLinkCarries) {
  const auto pool = StartPoolWithBacklog(1'500);
  Advance(std::chrono::seconds(3));
  const int most = CountStarts(std::chrono::seconds(3));
  CHECK_TRUE(most >= kSteadyStarts);
  CHECK_TRUE(m_targets.m_unanswered * 20 <= most);
}

TEST(Backlog, OwnerRecoversWithin3SecondsAfterItsLinkWasSlow) {
  const auto pool = StartPoolWithBacklog(3'000);
  const auto usual = m_targets.m_start_time;
  m_targets.m_start_time = 20 * usual;
  Advance(std::chrono::seconds(6));
  m_targets.m_start_time = usual;
  Advance(std::chrono::seconds(3));
  CHECK_TRUE(CountStarts(std::chrono::seconds(3)) >= kSteadyStarts);
}

TEST(Backlog, OwnerWhoseLinkIsTooNarrowForItsPoolSaysSo) {
  const auto pool = StartPoolWithBacklog(4'000);
  Advance(std::chrono::seconds(2));
  CHECK_FALSE(pool->IsOverloaded());
  Advance(std::chrono::seconds(4));
  CHECK_TRUE(pool->IsOverloaded());
}

TEST(Backlog, OwnerWithWideLinkIsNotOverloaded) {
  m_targets.m_start_time = microseconds(10);
  m_targets.m_other_time = microseconds(10);
  const auto pool = StartPoolWithBacklog(4'000);
  for (int i = 0; i < 60; ++i) {
    Advance(milliseconds(100));
    CHECK_FALSE(pool->IsOverloaded());
  }
}

TEST(Backlog, OwnerThatCannotHandItsPoolOverSendsOrdersAgain) {
  const auto pool = StartPoolWithBacklog(1'500);
  Advance(std::chrono::seconds(3));
  bool is_quiesced = false;
  pool->Quiesce([&is_quiesced] { is_quiesced = true; });
  pool->Resume();
  CHECK_TRUE(CountStarts(std::chrono::seconds(3)) >= kSteadyStarts);
  CHECK_FALSE(is_quiesced);
}

TEST(Backlog, OwnerThatCannotHandItsPoolOverDoesNotStopAgainAtOnce) {
  const auto pool = StartPoolWithBacklog(4'000);
  Advance(std::chrono::seconds(5));
  CHECK_TRUE(pool->IsOverloaded());
  pool->Quiesce([] {});
  pool->Resume();
  for (int i = 0; i < 50; ++i) {
    CHECK_FALSE(pool->IsOverloaded());
    Advance(milliseconds(100));
  }
}
