#include "../host_listing.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

#include "../host_ledger.h"
#include "../job_tables.h"
#include "../pool_runner.h"
#include "fakes/fake_row_store.h"
#include "fakes/unresponsive_targets.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace hosts = shallotwick::hosts;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;

namespace {

constexpr char kPool[] = "quotes";

hosts::FleetHost MakeHost(const std::string& name, const std::string& target) {
  hosts::FleetHost host;
  host.name = name;
  host.pool = kPool;
  host.target = target;
  return host;
}

class ScriptedHosts : public hosts::HostOperations {
 public:
  explicit ScriptedHosts(base::EventLoop& loop) : m_loop(loop) {}

  void List(OnHosts on_done) override {
    m_loop.Post([on_done, listed = m_hosts] { on_done(true, listed); });
  }
  void Move(const std::string&, const std::string&, const hosts::HostFence&,
            OnOutcome) override {}
  void Maintain(const std::string&, int64_t, const hosts::HostFence&,
                OnOutcome) override {}

  std::vector<hosts::FleetHost> m_hosts;

 private:
  base::EventLoop& m_loop;
};

}  // namespace

// A pool with the silent target i-1 on the host m-1, which may have runs.
TEST_GROUP(HostListing) {
  const hosts::FleetHost m_own = MakeHost("m-1", "i-1");
  const hosts::FleetHost m_second = MakeHost("m-2", "i-2");
  const hosts::FleetHost m_third = MakeHost("m-3", "i-3");
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};
  base::MetricRegistry m_metrics;
  fakes::UnresponsiveTargets m_targets;
  ScriptedHosts m_hosts{m_loop};
  std::unique_ptr<scheduler::PoolRunner> m_pool;
  std::unique_ptr<scheduler::HostLedger> m_ledger;

  void setup() override {
    base::RuntimeClock::Pause();
    m_store.Put(scheduler::MakeRosterKey(kPool), R"({"i-1":""})");
    scheduler::PoolRunnerOptions options;
    options.service = kPool;
    options.owner_version = m_store.Put(scheduler::MakeOwnerKey(kPool), "{}");
    m_pool = std::make_unique<scheduler::PoolRunner>(m_loop, m_store, m_targets,
                                                     m_metrics, options);
    m_pool->m_on_lost = [] {};
    m_pool->Start();
    ProcessDueEvents();
    CHECK_TRUE(m_pool->IsLoaded());
    scheduling::TargetEntry entry;
    entry.id = "i-1";
    entry.service = kPool;
    entry.host = "m-1";
    m_pool->OnTargetChanged(entry);
    m_pool->OnTargetRemoved("i-1");
    m_ledger = std::make_unique<scheduler::HostLedger>(
        m_loop, m_store, m_hosts, "self/1", std::chrono::seconds(3));
    m_ledger->m_is_holder_live = [](const std::string&) { return false; };
    m_ledger->m_on_change = [] {};
    m_hosts.m_hosts = {m_own, m_second, m_third};
    m_ledger->Start();
    ProcessDueEvents();
    ApplyList();
  }

  void teardown() override {
    m_ledger.reset();
    m_pool.reset();
    base::RuntimeClock::Resume();
  }

  void ProcessDueEvents() {
    m_loop.GetContext().restart();
    m_loop.GetContext().poll();
  }

  void ApplyList() { m_pool->EndUnlistedTargets(m_ledger->GetListing()); }

  // Passes the time until the list has been read again.
  void ReadList(const std::vector<hosts::FleetHost>& listed) {
    m_hosts.m_hosts = listed;
    const auto previous = m_ledger->GetListTime();
    while (m_ledger->GetListTime() == previous) {
      base::RuntimeClock::Advance(std::chrono::milliseconds(100));
      // The loop reads the clock only when an earlier timer is added.
      m_loop.RunAfter(-std::chrono::hours(1), [] {});
      ProcessDueEvents();
    }
    ApplyList();
  }

  bool IsKept() const {
    return m_pool->GetScheduler().GetTargets().count("i-1") == 1;
  }
};

// A host that moves to a later page is listed twice, and another one is
// skipped.
TEST(HostListing, TargetSkippedByTwoListsWithRepeatedHostIsKept) {
  ReadList({m_second, m_third, m_second});
  ReadList({m_second, m_third, m_second});
  CHECK_TRUE(IsKept());
}

TEST(HostListing, TargetSkippedByTwoListsOfDifferentHostsIsKept) {
  ReadList({m_second, m_third});
  ReadList({m_third});
  CHECK_TRUE(IsKept());
}

TEST(HostListing, TargetMissingFromTwoSettledListsIsEnded) {
  ReadList({m_second, m_third});
  CHECK_TRUE(IsKept());
  ReadList({m_second, m_third});
  CHECK_FALSE(IsKept());
}

TEST(HostListing, TargetMissingFromSettledListsAfterUnsettledOnesIsEnded) {
  ReadList({m_second, m_third, m_second});
  ReadList({m_second, m_third});
  CHECK_TRUE(IsKept());
  ReadList({m_second, m_third});
  CHECK_FALSE(IsKept());
}

TEST(HostListing, TargetWhoseHostHasAnotherTargetIsEndedByUnsettledLists) {
  const hosts::FleetHost replaced = MakeHost("m-1", "i-9");
  ReadList({replaced, m_second, m_second});
  CHECK_TRUE(IsKept());
  ReadList({replaced, m_third, m_third});
  CHECK_FALSE(IsKept());
}

TEST(HostListing, TargetWhoseHostMovesIsEndedByUnsettledLists) {
  hosts::FleetHost moving = m_own;
  moving.state = hosts::HostState::kMoving;
  ReadList({moving, m_second, m_second});
  CHECK_TRUE(IsKept());
  ReadList({moving, m_third, m_third});
  CHECK_FALSE(IsKept());
}

TEST(HostListing, TargetSkippedOnceAfterItsHostWasListedWithoutItIsKept) {
  ReadList({MakeHost("m-1", ""), m_second});
  ReadList({m_second, m_third, m_second});
  CHECK_TRUE(IsKept());
}

TEST(HostListing, TargetWhoseHostHasMalformedRowIsKept) {
  const hosts::FleetHost malformed{"m-1", "", hosts::HostState::kUnknown, "",
                                   0};
  ReadList({malformed, m_second, m_third});
  ReadList({malformed, m_second, m_third});
  CHECK_TRUE(IsKept());
}

TEST(HostListing, TargetMissingBesideMalformedRowWithoutNameIsKept) {
  const hosts::FleetHost malformed{"", "", hosts::HostState::kUnknown, "", 0};
  ReadList({malformed, m_second, m_third});
  ReadList({malformed, m_second, m_third});
  CHECK_TRUE(IsKept());
}
