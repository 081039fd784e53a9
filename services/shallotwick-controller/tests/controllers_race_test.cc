#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <set>

#include "../fleet_mirror.h"
#include "../lease_holder.h"
#include "control/row_set.h"
#include "fakes/fake_table_service.h"
#include "fleet/fleet_planner.h"
#include "records/keys.h"

namespace base = shallotwick::base;
namespace control = shallotwick::control;
namespace controller = shallotwick::controller;
namespace document = shallotwick::document;
namespace fakes = shallotwick::fakes;
namespace fleet = shallotwick::fleet;
namespace storage = shallotwick::storage;
namespace records = shallotwick::records;

using records::HostState;
using std::chrono::seconds;

namespace {

constexpr int kHosts = 10;
constexpr int kPromise = 6;
constexpr int kBudget = 2;

document::EffectivePlan MakePlan() {
  document::EffectivePlan plan;
  plan.version = 1;
  plan.pools = {{"office", {{"dc-0", 1}}, 1, {}},
                {"dye", {{"dc-0", kPromise}}, kBudget, {}}};
  plan.waves = {{"w1", {"dye", "office"}, 9, {}}};
  return plan;
}

std::map<std::string, storage::ListedHost> MakeList() {
  std::map<std::string, storage::ListedHost> list;
  for (int number = 0; number < kHosts; ++number) {
    storage::ListedHost host;
    host.name = "h" + std::to_string(number);
    host.data_centre = "dc-0";
    host.rack = "r" + std::to_string(number / 4);
    host.boot_id = "1";
    list[host.name] = host;
  }
  return list;
}

// Runs a controller's decisions and commits step by step. It can be paused
// between any two steps and then resumes with the state it had before.
class SteppedController {
 public:
  SteppedController(fakes::FakeTableService& table, const std::string& name)
      : m_table(table),
        m_lease(table, name, seconds(3), base::Duration::zero()) {}

  void Step(int step, base::TimePoint now,
            std::map<std::string, storage::ListedHost>& listed, bool drained) {
    try {
      switch (step) {
        case 0:
          if (!m_lease.AcquireOrRenew(now)) {
            m_mirror.reset();
            m_plan.reset();
          }
          return;
        case 1:
          if (m_lease.IsHeld() && !m_mirror) {
            m_mirror = controller::FleetMirror::Load(m_table);
          }
          return;
        case 2:
          MakeFleetPlan(now, listed, drained);
          return;
        default:
          ExecutePlan(listed);
          return;
      }
    } catch (const storage::Unavailable&) {
      m_mirror.reset();
      m_plan.reset();
    }
  }

 private:
  void MakeFleetPlan(base::TimePoint now,
                     const std::map<std::string, storage::ListedHost>& listed,
                     bool drained) {
    if (!m_mirror) {
      return;
    }
    fleet::FleetInput input;
    input.plan = MakePlan();
    input.hosts = m_mirror->GetHosts();
    input.listed = listed;
    input.now = now;
    for (const auto& [name, host] : input.hosts) {
      if (drained && host.state == HostState::kDraining) {
        input.drained.insert(name);
      }
    }
    m_plan = fleet::PlanFleet(input, {});
  }

  void ExecutePlan(std::map<std::string, storage::ListedHost>& listed) {
    if (!m_plan || !m_mirror) {
      return;
    }
    const fleet::FleetPlan plan = *std::exchange(m_plan, std::nullopt);
    for (const fleet::Transition& transition : plan.transitions) {
      if (!m_mirror->CommitTransitions(m_table, m_lease.GetToken(),
                                       {transition})) {
        m_mirror.reset();
        return;
      }
    }
    for (const std::string& host : plan.reboots) {
      // Like the platform, reboots the host only if its boot is still the one
      // that the request names.
      storage::ListedHost& entry = listed.at(host);
      if (entry.boot_id == m_mirror->GetHosts().at(host).boot_id) {
        entry.boot_id += "+";
      }
    }
  }

  fakes::FakeTableService& m_table;
  controller::LeaseHolder m_lease;
  std::optional<controller::FleetMirror> m_mirror;
  std::optional<fleet::FleetPlan> m_plan;
};

std::map<std::string, records::HostRecord> ReadHosts(
    fakes::FakeTableService& table) {
  return control::RowSet(table.Read({{}, {records::kHostPrefix}}))
      .FindAll<records::HostRecord>(records::kHostPrefix);
}

}  // namespace

TEST_GROUP(ControllersRace){};

// The steps of two controllers interleave in random order and with random
// pauses, while responses of the table service are lost or the service is down.
// The invariants are checked on the stored rows alone.
TEST(ControllersRace, TwoControllersNeverSpendADisruptionBudgetTwice) {
  CHECK_TRUE(rc::check("controllers", [] {
    fakes::FakeTableService table;
    auto listed = MakeList();
    SteppedController controllers[] = {{table, "c0"}, {table, "c1"}};
    base::TimePoint now(std::chrono::hours(1));
    bool faulty = false;
    std::set<std::string> drawn_pools;
    table.SetChooseFault([&](bool is_commit) {
      if (!faulty) {
        return fakes::TableFault::kNone;
      }
      return is_commit ? fakes::TableFault::kAnswerLost
                       : fakes::TableFault::kDown;
    });
    uint64_t last_version = 0;
    bool was_promise_met = false;
    for (int step = 0; step < 250; ++step) {
      faulty = *rc::gen::inRange(0, 12) == 0;
      const int controller_index = *rc::gen::inRange(0, 2);
      const int action = *rc::gen::inRange(0, 4);
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
      // A commit that fails is retried with real delays, so faults are not
      // injected into this step.
      if (faulty && action == 3) {
        faulty = false;
      }
      controllers[controller_index].Step(action, now, listed,
                                         *rc::gen::inRange(0, 2) == 0);
      faulty = false;
      const auto hosts = ReadHosts(table);
      int serving = 0;
      for (const auto& [name, host] : hosts) {
        serving += host.pool == "dye" && host.state == HostState::kServing;
      }
      was_promise_met = was_promise_met || serving >= kPromise;
      if (was_promise_met) {
        RC_ASSERT(serving >= kPromise - kBudget);
      }
      const control::RowSet rows(table.Read({{records::kViewHeadKey}, {}}));
      const auto head =
          rows.Find<records::ViewHeadRecord>(records::kViewHeadKey);
      if (head) {
        RC_ASSERT(head->version >= last_version);
        last_version = head->version;
      }
    }
  }));
}

TEST(ControllersRace, CommitFailsIfTheLeaseExpiredDuringAPause) {
  fakes::FakeTableService table;
  base::TimePoint now(std::chrono::hours(1));
  controller::LeaseHolder first(table, "c0", seconds(3), seconds(1));
  CHECK_TRUE(first.AcquireOrRenew(now));
  controller::FleetMirror mirror = controller::FleetMirror::Load(table);
  controller::LeaseHolder second(table, "c1", seconds(3), seconds(1));
  CHECK_FALSE(second.AcquireOrRenew(now));
  now += seconds(4);
  CHECK_TRUE(second.AcquireOrRenew(now));
  // The first controller resumes with the state it had before its pause.
  records::HostRecord host;
  host.name = "h1";
  host.pool = "office";
  CHECK_FALSE(mirror.CommitTransitions(table, first.GetToken(),
                                       {{"h1", std::nullopt, host, "test"}}));
  CHECK_TRUE(ReadHosts(table).empty());
  CHECK_FALSE(first.AcquireOrRenew(now + seconds(2)));
}

TEST(ControllersRace, AReleasedLeaseCanBeAcquiredImmediately) {
  fakes::FakeTableService table;
  const base::TimePoint now(std::chrono::hours(1));
  controller::LeaseHolder first(table, "c0", seconds(3), seconds(1));
  CHECK_TRUE(first.AcquireOrRenew(now));
  first.ReleaseLease();
  controller::LeaseHolder second(table, "c1", seconds(3), seconds(1));
  CHECK_TRUE(second.AcquireOrRenew(now));
}
