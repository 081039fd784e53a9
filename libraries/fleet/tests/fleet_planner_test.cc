#include "fleet/fleet_planner.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "fleet/buffer_sizing.h"

namespace base = shallotwick::base;
namespace document = shallotwick::document;
namespace fleet = shallotwick::fleet;
namespace storage = shallotwick::storage;
namespace records = shallotwick::records;

using records::DrainPurpose;
using records::HostState;
using std::chrono::minutes;
using std::chrono::seconds;
using storage::ListedStatus;

namespace {

// An in-memory fleet that plans are applied to without any I/O.
class PlannedFleet {
 public:
  PlannedFleet() {
    m_settings.spare_pool = "office";
    m_input.now = base::TimePoint(std::chrono::hours(1));
  }

  void AddHosts(int count, const std::string& data_centre = "dc-0") {
    for (int number = 0; number < count; ++number) {
      storage::ListedHost host;
      host.name = data_centre + "-h" + std::to_string(number);
      host.address = "127.0.0.1:1";
      host.data_centre = data_centre;
      host.rack = data_centre + "-r" + std::to_string(number / 4);
      host.boot_id = "1";
      m_input.listed[host.name] = host;
    }
  }

  void SetPool(const std::string& name, int promise, int budget,
               const std::string& data_centre = "dc-0") {
    for (document::PoolPlan& pool : m_input.plan.pools) {
      if (pool.name == name) {
        pool.promise[data_centre] = promise;
        pool.budget = budget;
        return;
      }
    }
    m_input.plan.pools.push_back({name, {{data_centre, promise}}, budget, {}});
  }

  void SetWave(const std::string& name, const std::vector<std::string>& pools,
               int at_once) {
    m_input.plan.waves = {{name, pools, at_once, {}}};
  }

  // Runs one planning pass and applies the plan.
  fleet::FleetPlan RunPass() {
    const fleet::FleetPlan plan = fleet::PlanFleet(m_input, m_settings);
    for (const fleet::Transition& transition : plan.transitions) {
      if (!transition.after) {
        m_input.hosts.erase(transition.host);
        continue;
      }
      const auto before = m_input.hosts.find(transition.host);
      if (before == m_input.hosts.end() ||
          before->second.state != transition.after->state) {
        m_input.state_entered_at[transition.host] = m_input.now;
      }
      m_moves += before != m_input.hosts.end() &&
                         before->second.pool != transition.after->pool
                     ? 1
                     : 0;
      m_input.hosts[transition.host] = *transition.after;
    }
    for (const std::string& host : plan.reboots) {
      m_input.listed.at(host).status = ListedStatus::kDead;
      m_rebooting.insert(host);
    }
    m_input.drained.clear();
    return plan;
  }

  void DrainAll() {
    for (const auto& [name, host] : m_input.hosts) {
      if (host.state == HostState::kDraining) {
        m_input.drained.insert(name);
      }
    }
  }

  void FinishReboots() {
    for (const std::string& host : m_rebooting) {
      m_input.listed.at(host).status = ListedStatus::kLive;
      m_input.listed.at(host).boot_id += "+";
      ++m_reboots;
    }
    m_rebooting.clear();
  }

  // Applies plans, drains and reboots until nothing changes.
  int RunUntilStable() {
    int steps = 0;
    for (bool changed = true; changed && steps < 500; ++steps) {
      DrainAll();
      FinishReboots();
      changed = !RunPass().transitions.empty() || !m_rebooting.empty();
    }
    return steps;
  }

  int CountServing(const std::string& pool,
                   const std::string& data_centre = "dc-0") const {
    int serving = 0;
    for (const auto& [name, host] : m_input.hosts) {
      serving += host.pool == pool && host.data_centre == data_centre &&
                         host.state == HostState::kServing
                     ? 1
                     : 0;
    }
    return serving;
  }

  int CountState(HostState state) const {
    int count = 0;
    for (const auto& [name, host] : m_input.hosts) {
      count += host.state == state ? 1 : 0;
    }
    return count;
  }

  void SetStatus(const std::string& host, ListedStatus status) {
    m_input.listed.at(host).status = status;
  }

  fleet::FleetInput m_input;
  fleet::PlannerSettings m_settings;
  std::set<std::string> m_rebooting;
  int m_moves = 0;
  int m_reboots = 0;
};

}  // namespace

TEST_GROUP(FleetPlanner) { PlannedFleet m_fleet; };

TEST(FleetPlanner, NewHostsJoinSparePoolAndFillPromises) {
  m_fleet.AddHosts(12);
  m_fleet.SetPool("office", 2, 1);
  m_fleet.SetPool("dye", 5, 1);
  m_fleet.RunUntilStable();
  LONGS_EQUAL(5, m_fleet.CountServing("dye"));
  LONGS_EQUAL(7, m_fleet.CountServing("office"));
  LONGS_EQUAL(5, m_fleet.m_moves);
}

TEST(FleetPlanner, MovedHostStaysInOldPoolUntilDrained) {
  m_fleet.AddHosts(4);
  m_fleet.SetPool("dye", 1, 1);
  m_fleet.RunPass();
  m_fleet.RunPass();
  LONGS_EQUAL(1, m_fleet.CountState(HostState::kDraining));
  for (const auto& [name, host] : m_fleet.m_input.hosts) {
    STRCMP_EQUAL("office", host.pool.c_str());
  }
  // Further planning passes change nothing until the host is drained.
  CHECK_TRUE(m_fleet.RunPass().transitions.empty());
  m_fleet.DrainAll();
  m_fleet.RunPass();
  LONGS_EQUAL(1, m_fleet.CountServing("dye"));
}

TEST(FleetPlanner, FailedHostIsReplacedOnlyAfterReplacementDelay) {
  m_fleet.AddHosts(6);
  m_fleet.SetPool("dye", 3, 1);
  m_fleet.RunUntilStable();
  const int moves = m_fleet.m_moves;
  std::string failed;
  for (const auto& [name, host] : m_fleet.m_input.hosts) {
    failed = host.pool == "dye" ? name : failed;
  }
  m_fleet.SetStatus(failed, ListedStatus::kDead);
  m_fleet.RunUntilStable();
  LONGS_EQUAL(2, m_fleet.CountServing("dye"));
  // A failure that is shorter than the replacement delay moves no hosts.
  m_fleet.m_input.now += seconds(30);
  m_fleet.SetStatus(failed, ListedStatus::kLive);
  m_fleet.RunUntilStable();
  LONGS_EQUAL(moves, m_fleet.m_moves);
  LONGS_EQUAL(3, m_fleet.CountServing("dye"));

  m_fleet.SetStatus(failed, ListedStatus::kDead);
  m_fleet.RunUntilStable();
  m_fleet.m_input.now += minutes(3);
  m_fleet.RunUntilStable();
  LONGS_EQUAL(3, m_fleet.CountServing("dye"));
  LONGS_EQUAL(moves + 1, m_fleet.m_moves);
  // A replaced host that recovers stays in its pool, without a needless move.
  m_fleet.SetStatus(failed, ListedStatus::kLive);
  m_fleet.RunUntilStable();
  LONGS_EQUAL(moves + 1, m_fleet.m_moves);
}

TEST(FleetPlanner, UnmetPromiseIsReportedAsShortfall) {
  m_fleet.AddHosts(4);
  m_fleet.SetPool("dye", 6, 1);
  m_fleet.SetPool("shop", 1, 1);
  m_fleet.RunUntilStable();
  const auto plan = m_fleet.RunPass();
  int missing = 0;
  for (const fleet::Shortfall& shortfall : plan.shortfalls) {
    missing += shortfall.missing;
    CHECK_FALSE(shortfall.remedy.empty());
  }
  LONGS_EQUAL(3, missing);
}

TEST(FleetPlanner, WaveMaintainsEveryHostOnceWithinBudget) {
  m_fleet.AddHosts(10);
  m_fleet.SetPool("dye", 6, 2);
  m_fleet.RunUntilStable();
  m_fleet.SetWave("w1", {"dye", "office"}, 4);
  for (int step = 0; step < 100; ++step) {
    m_fleet.RunPass();
    CHECK_TRUE(m_fleet.CountServing("dye") >= 4);
    m_fleet.DrainAll();
    m_fleet.FinishReboots();
  }
  LONGS_EQUAL(10, m_fleet.m_reboots);
  for (const auto& [name, host] : m_fleet.m_input.hosts) {
    STRCMP_EQUAL("w1", host.maintained_by.c_str());
  }
}

TEST(FleetPlanner, WaveStartsOnlyWithinItsWindow) {
  m_fleet.AddHosts(4);
  m_fleet.SetPool("office", 2, 1);
  m_fleet.RunUntilStable();
  m_fleet.m_input.plan.waves = {{"w1", {"office"}, 1, {60, 120}}};
  m_fleet.m_input.minute_of_day = 30;
  CHECK_TRUE(m_fleet.RunPass().transitions.empty());
  m_fleet.m_input.minute_of_day = 60;
  LONGS_EQUAL(1, m_fleet.RunPass().transitions.size());
}

TEST(FleetPlanner, FailedHostCountsAgainstBudgetOfWave) {
  m_fleet.AddHosts(6);
  m_fleet.SetPool("dye", 6, 1);
  m_fleet.RunUntilStable();
  m_fleet.SetStatus("dc-0-h0", ListedStatus::kDead);
  m_fleet.RunPass();
  m_fleet.SetWave("w1", {"dye"}, 3);
  CHECK_TRUE(m_fleet.RunPass().transitions.empty());
  m_fleet.SetStatus("dc-0-h0", ListedStatus::kLive);
  m_fleet.RunPass();
  LONGS_EQUAL(1, m_fleet.CountState(HostState::kDraining));
}

TEST(FleetPlanner, HostFailsAfterRebootTimeout) {
  m_fleet.AddHosts(4);
  m_fleet.SetPool("office", 2, 2);
  m_fleet.RunUntilStable();
  m_fleet.SetWave("w1", {"office"}, 1);
  m_fleet.RunPass();
  m_fleet.DrainAll();
  m_fleet.RunPass();
  LONGS_EQUAL(1, m_fleet.CountState(HostState::kRebooting));
  m_fleet.m_input.now += minutes(16);
  m_fleet.RunPass();
  LONGS_EQUAL(1, m_fleet.CountState(HostState::kFailed));
}

TEST(FleetPlanner, LeavingHostIsDrainedRegardlessOfBudget) {
  m_fleet.AddHosts(3);
  m_fleet.SetPool("office", 3, 0);
  m_fleet.RunUntilStable();
  m_fleet.SetStatus("dc-0-h1", ListedStatus::kLeaving);
  m_fleet.RunPass();
  CHECK_TRUE(m_fleet.m_input.hosts.at("dc-0-h1").state == HostState::kDraining);
  // The host stays draining until the platform reports it as live.
  m_fleet.RunUntilStable();
  LONGS_EQUAL(2, m_fleet.CountServing("office"));
  m_fleet.SetStatus("dc-0-h1", ListedStatus::kLive);
  m_fleet.RunUntilStable();
  LONGS_EQUAL(3, m_fleet.CountServing("office"));
}

TEST(FleetPlanner, UnlistedFailedHostIsRemovedAfterDelay) {
  m_fleet.AddHosts(3);
  m_fleet.SetPool("office", 2, 1);
  m_fleet.RunUntilStable();
  m_fleet.m_input.listed.erase("dc-0-h1");
  m_fleet.RunPass();
  CHECK_TRUE(m_fleet.m_input.hosts.at("dc-0-h1").state == HostState::kFailed);
  m_fleet.m_input.now += minutes(31);
  m_fleet.RunPass();
  LONGS_EQUAL(2, m_fleet.m_input.hosts.size());
}

TEST(FleetPlanner, DonorComesFromRackWithFewestHostsOfPool) {
  m_fleet.AddHosts(12);
  m_fleet.SetPool("dye", 3, 1);
  m_fleet.RunUntilStable();
  std::set<std::string> racks;
  for (const auto& [name, host] : m_fleet.m_input.hosts) {
    if (host.pool == "dye") {
      racks.insert(host.rack);
    }
  }
  LONGS_EQUAL(3, racks.size());
}

TEST(FleetPlanner, SharedBufferIsSmallerThanBuffersPerPool) {
  std::vector<document::PoolPlan> pools;
  for (int number = 0; number < 5; ++number) {
    pools.push_back({"p" + std::to_string(number),
                     {{"dc-0", 4}, {"dc-1", 3}},
                     1,
                     document::SurvivedFailure::kRack});
  }
  const fleet::FleetShape shape;
  const auto shared = fleet::ComputeSharedBuffer(pools, shape);
  const auto per_pool = fleet::ComputeBufferPerPool(pools, shape);
  LONGS_EQUAL(4, shared.at("dc-0"));
  LONGS_EQUAL(20, per_pool.at("dc-0"));
  LONGS_EQUAL(3, shared.at("dc-1"));
  LONGS_EQUAL(15, per_pool.at("dc-1"));
}

// Applies random failures, recoveries, wave edits, drains and time steps, and
// checks that no planned drain takes a pool below its promise minus its budget.
TEST(FleetPlanner, NoTransitionExceedsBudget) {
  CHECK_TRUE(rc::check("fleet under faults", [] {
    PlannedFleet fleet;
    fleet.AddHosts(16);
    const std::vector<std::string> pools = {"office", "dye", "quotes"};
    for (const std::string& pool : pools) {
      fleet.SetPool(pool, *rc::gen::inRange(1, 6), *rc::gen::inRange(0, 3));
    }
    fleet.RunUntilStable();
    for (int step = 0; step < 80; ++step) {
      const std::string host =
          "dc-0-h" + std::to_string(*rc::gen::inRange(0, 16));
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          if (fleet.m_rebooting.count(host) == 0) {
            fleet.SetStatus(host, ListedStatus::kDead);
          }
          break;
        case 1:
          if (fleet.m_rebooting.count(host) == 0) {
            fleet.SetStatus(host, ListedStatus::kLive);
          }
          break;
        case 2:
          fleet.DrainAll();
          break;
        case 3:
          fleet.FinishReboots();
          break;
        case 4:
          fleet.m_input.now += seconds(*rc::gen::inRange(1, 400));
          break;
        case 5:
          fleet.SetWave("w" + std::to_string(*rc::gen::inRange(0, 3)), pools,
                        *rc::gen::inRange(1, 5));
          break;
        default:
          break;
      }
      const auto hosts_before = fleet.m_input.hosts;
      const fleet::FleetPlan plan =
          fleet::PlanFleet(fleet.m_input, fleet.m_settings);
      // Checks after each single transition, since a controller may be
      // interrupted between any two of them.
      auto hosts = hosts_before;
      for (const fleet::Transition& transition : plan.transitions) {
        RC_ASSERT(transition.after.has_value());
        const auto previous = hosts.find(transition.host);
        const bool drains_serving_host =
            previous != hosts.end() &&
            previous->second.state == HostState::kServing &&
            transition.after->state == HostState::kDraining &&
            transition.after->purpose != DrainPurpose::kLeave;
        hosts[transition.host] = *transition.after;
        if (!drains_serving_host) {
          continue;
        }
        int serving = 0;
        for (const auto& [name, record] : hosts) {
          serving += record.pool == transition.after->pool &&
                             record.state == HostState::kServing
                         ? 1
                         : 0;
        }
        for (const document::PoolPlan& pool : fleet.m_input.plan.pools) {
          if (pool.name == transition.after->pool) {
            RC_ASSERT(serving >= pool.promise.at("dc-0") - pool.budget);
          }
        }
      }
      // A reboot is requested only after the drain was acknowledged.
      for (const std::string& rebooted : plan.reboots) {
        const auto before = hosts_before.find(rebooted);
        RC_ASSERT(before->second.state == HostState::kRebooting ||
                  fleet.m_input.drained.count(rebooted) == 1);
      }
      fleet.RunPass();
    }
  }));
}
