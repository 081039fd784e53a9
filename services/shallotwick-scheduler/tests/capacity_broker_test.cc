#include "../capacity_broker.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <utility>
#include <vector>

#include "../job_tables.h"
#include "fakes/fake_row_store.h"
#include "fakes/unresponsive_targets.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace hosts = shallotwick::hosts;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;

namespace {

constexpr char kPool[] = "quotes";
constexpr char kOtherPool[] = "orders";
constexpr char kTarget[] = "i-m-1";

// A fleet of two hosts in one pool, whose moves the test answers.
class HeldMoves : public hosts::HostOperations {
 public:
  explicit HeldMoves(base::EventLoop& loop) : m_loop(loop) {
    for (const char* name : {"m-1", "m-2"}) {
      hosts::FleetHost host;
      host.name = name;
      host.pool = kPool;
      host.target = std::string("i-") + name;
      host.cpu_milli = 32'000;
      m_hosts.push_back(host);
    }
  }

  void List(OnHosts on_done) override {
    m_loop.Post([on_done, listed = m_hosts] { on_done(true, listed); });
  }
  void Move(const std::string& host, const std::string&,
            const hosts::HostFence&, OnOutcome on_done) override {
    m_moves.emplace_back(host, std::move(on_done));
  }
  void Maintain(const std::string&, int64_t, const hosts::HostFence&,
                OnOutcome) override {}

  std::vector<hosts::FleetHost> m_hosts;
  std::vector<std::pair<std::string, OnOutcome>> m_moves;

 private:
  base::EventLoop& m_loop;
};

}  // namespace

// A pool of two idle hosts, one of which it has ordered to move to another pool
// when its target lists a run.
TEST_GROUP(CapacityBroker) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};
  base::MetricRegistry m_metrics;
  fakes::UnresponsiveTargets m_targets;
  HeldMoves m_hosts{m_loop};
  std::unique_ptr<scheduler::PoolRunner> m_pool;
  std::unique_ptr<scheduler::HostLedger> m_ledger;
  std::unique_ptr<scheduler::CapacityBroker> m_broker;

  void setup() override {
    base::RuntimeClock::Pause();
    hosts::CapacityDemand demand;
    demand.timely = 1;
    demand.wanted = 1;
    m_store.Put({scheduler::kHostsTable, scheduler::kSinglePartition,
                 std::string("need/") + kOtherPool},
                hosts::EncodeCapacityDemand(demand));
    StartPool();
    for (const char* target : {kTarget, "i-m-2"}) {
      Report(target, {});
    }
    m_ledger = std::make_unique<scheduler::HostLedger>(
        m_loop, m_store, m_hosts, "self/1", std::chrono::seconds(3));
    m_ledger->m_is_holder_live = [](const std::string&) { return false; };
    m_ledger->m_on_change = [] {};
    m_ledger->Start();
    ProcessDueEvents();
    StartBroker();
    for (int i = 0; i < 3; ++i) {
      Rebalance();
    }
    LONGS_EQUAL(1, m_hosts.m_moves.size());
    STRCMP_EQUAL("m-1", m_hosts.m_moves[0].first.c_str());
    Report(kTarget, {{{"job1", 0, 0, 0}, 1, "", 10, 0}});
    LONGS_EQUAL(1, CountRuns());
  }

  void teardown() override {
    m_broker.reset();
    m_ledger.reset();
    m_pool.reset();
    base::RuntimeClock::Resume();
  }

  void StartBroker() {
    m_broker = std::make_unique<scheduler::CapacityBroker>(
        m_hosts, *m_ledger, std::chrono::seconds(1));
    m_broker->m_get_pools = [this] {
      return std::map<std::string, scheduler::PoolRunner*>{
          {kPool, m_pool.get()}};
    };
    m_broker->m_is_reserved = [](const std::string&) { return false; };
    m_broker->SetStandbyPools({"standby"});
  }

  void StartPool() {
    scheduler::PoolRunnerOptions options;
    options.service = kPool;
    options.owner_version = m_store.Put(scheduler::MakeOwnerKey(kPool), "{}");
    m_pool = std::make_unique<scheduler::PoolRunner>(m_loop, m_store, m_targets,
                                                     m_metrics, options);
    m_pool->m_on_lost = [] {};
    m_pool->Start();
    ProcessDueEvents();
    CHECK_TRUE(m_pool->IsLoaded());
  }

  void Report(const std::string& target,
              const std::vector<scheduling::ReportedRun>& running) {
    scheduling::TargetEntry entry;
    entry.id = target;
    entry.service = kPool;
    entry.capacity = {32'000, 65'536, 0};
    m_pool->OnTargetChanged(entry);
    scheduling::ReportOrder order;
    order.target = target;
    order.fence = m_pool->GetScheduler().GetTargets().at(target).m_fence;
    scheduling::TargetReport report;
    report.running = running;
    const auto now = base::RuntimeClock::now();
    m_pool->GetScheduler().OnReport(order, now, now, report);
  }

  void ProcessDueEvents() {
    m_loop.GetContext().restart();
    m_loop.GetContext().poll();
  }

  void Rebalance() {
    m_broker->RebalanceHosts(base::RuntimeClock::now());
    ProcessDueEvents();
  }

  // Passes the time until another host list has been read.
  void ReadHostList() {
    const auto previous = m_ledger->GetListTime();
    while (m_ledger->GetListTime() == previous) {
      base::RuntimeClock::Advance(std::chrono::milliseconds(100));
      // The loop reads the clock only when an earlier timer is added.
      m_loop.RunAfter(-std::chrono::hours(1), [] {});
      ProcessDueEvents();
    }
  }

  void AnswerMove(hosts::HostOperationOutcome outcome =
                      hosts::HostOperationOutcome::kDone) {
    m_hosts.m_moves[0].second(outcome);
    ProcessDueEvents();
  }

  size_t CountRuns() const { return m_pool->GetScheduler().CountRuns(kTarget); }
  bool IsCordoned() const {
    return m_pool->GetScheduler().GetTargets().at(kTarget).m_is_cordoned;
  }
};

// The platform also accepts a move that was done before the target started.
TEST(CapacityBroker, AcceptedMoveEndsNoRunWhileHostListShowsSameTarget) {
  AnswerMove();
  Rebalance();
  LONGS_EQUAL(1, CountRuns());
  CHECK_TRUE(IsCordoned());
  for (int i = 0; i < 2; ++i) {
    ReadHostList();
    Rebalance();
  }
  LONGS_EQUAL(1, CountRuns());
  CHECK_FALSE(IsCordoned());
}

TEST(CapacityBroker, AcceptedMoveEndsRunsOnceHostListShowsIt) {
  AnswerMove();
  m_hosts.m_hosts[0].state = hosts::HostState::kMoving;
  m_hosts.m_hosts[0].pool = kOtherPool;
  ReadHostList();
  Rebalance();
  LONGS_EQUAL(0, CountRuns());
}

TEST(CapacityBroker, AcceptedMoveEndsNoRunWhileHostListLacksHost) {
  AnswerMove();
  m_hosts.m_hosts.erase(m_hosts.m_hosts.begin());
  ReadHostList();
  Rebalance();
  LONGS_EQUAL(1, CountRuns());
}

TEST(CapacityBroker, RefusedMoveWhileHostListLacksHostLeavesNoCordon) {
  const hosts::FleetHost host = m_hosts.m_hosts[0];
  m_hosts.m_hosts.erase(m_hosts.m_hosts.begin());
  ReadHostList();
  Rebalance();
  CHECK_TRUE(IsCordoned());
  AnswerMove(hosts::HostOperationOutcome::kBusy);
  Rebalance();
  m_hosts.m_hosts.push_back(host);
  for (int i = 0; i < 3; ++i) {
    ReadHostList();
    Rebalance();
  }
  CHECK_FALSE(IsCordoned());
}

TEST(CapacityBroker, TargetIsLeavingWhileItsTransferIsUnderWay) {
  const auto is_leaving = [this] {
    return m_pool->GetScheduler().GetTargets().at(kTarget).m_is_leaving;
  };
  CHECK_TRUE(is_leaving());
  AnswerMove(hosts::HostOperationOutcome::kBusy);
  CHECK_FALSE(is_leaving());
}

// The row of a former owner stays until this owner has rewritten it.
TEST(CapacityBroker, TransferOfFormerOwnerLeavesNoCordon) {
  const auto report_runs = [this](const std::string& target, int runs) {
    std::vector<scheduling::ReportedRun> running;
    for (int i = 0; i < runs; ++i) {
      running.push_back({{target, 0, 0, i}, 1, "", 10, 0});
    }
    Report(target, running);
  };
  hosts::CapacityDemand demand;
  demand.timely = 2;
  demand.wanted = 2;
  m_store.Put({scheduler::kHostsTable, scheduler::kSinglePartition,
               std::string("need/") + kOtherPool},
              hosts::EncodeCapacityDemand(demand));
  m_hosts.m_hosts.push_back(m_hosts.m_hosts[1]);
  m_hosts.m_hosts.back().name = "m-3";
  m_hosts.m_hosts.back().target = "i-m-3";
  report_runs("i-m-2", 2);
  report_runs("i-m-3", 2);
  m_pool->GetScheduler().SetCordoned(kTarget, false);
  ReadHostList();
  StartBroker();
  m_broker->RebalanceHosts(base::RuntimeClock::now());
  CHECK_TRUE(IsCordoned());
  report_runs(kTarget, 3);
  m_broker->RebalanceHosts(base::RuntimeClock::now());
  for (int i = 0; i < 3; ++i) {
    ReadHostList();
    Rebalance();
  }
  CHECK_FALSE(IsCordoned());
}
