#include "routing/slot_owner.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace base = shallotwick::base;
namespace routing = shallotwick::routing;

using routing::SlotReport;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> kMembers = {"g0", "g1", "g2", "g3"};
constexpr int kCapacity = 8;

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(std::chrono::hours(1) + since_start);
}

// Simulates a gateway that applies its allowances and starts requests only
// within them.
struct SimulatedGateway {
  int in_use = 0;
  int allowance = 2;
  int demand = 0;

  SlotReport Report() const { return {in_use, allowance, demand}; }
  void UpdateInUse() {
    in_use = std::max(in_use, std::min(demand, allowance));
    in_use = std::min(in_use, std::max(demand, 0));
  }
};

}  // namespace

TEST_GROUP(SlotOwner) {
  routing::SlotOwner m_owner{"h1", kCapacity, kMembers, {}};
  std::map<std::string, SimulatedGateway> m_gateways;

  void setup() override {
    for (const std::string& member : kMembers) {
      m_gateways[member] = SimulatedGateway{};
    }
  }
  // Exchanges an allowance and a report with each member once.
  void ExchangeWithAllMembers(base::Duration at) {
    for (auto& [member, gateway] : m_gateways) {
      gateway.allowance = m_owner.GrantAllowance(member, At(at));
      gateway.UpdateInUse();
      m_owner.ProcessSlotReport(member, gateway.Report(), At(at));
    }
  }
  int GetTotalInUse() const {
    int total = 0;
    for (const auto& [member, gateway] : m_gateways) {
      total += gateway.in_use;
    }
    return total;
  }
};

TEST(SlotOwner, NeedsNoRebalancingWhileSharesCoverDemand) {
  CHECK_FALSE(m_owner.NeedsRebalancing(At(seconds(0))));
  m_owner.RecordDemand("g0", 2, At(seconds(0)));
  CHECK_FALSE(m_owner.NeedsRebalancing(At(seconds(0))));
  m_owner.RecordDemand("g0", 3, At(seconds(0)));
  CHECK_TRUE(m_owner.NeedsRebalancing(At(seconds(0))));
}

TEST(SlotOwner, SoleDemandingGatewayGetsAllSlotsInThreeCycles) {
  m_gateways["g2"].demand = 100;
  m_owner.RecordDemand("g2", 100, At(seconds(0)));
  for (int cycle = 0; cycle < 3; ++cycle) {
    ExchangeWithAllMembers(milliseconds(200 * cycle));
  }
  LONGS_EQUAL(kCapacity, m_gateways["g2"].allowance);
  LONGS_EQUAL(kCapacity, GetTotalInUse());
}

TEST(SlotOwner, EqualDemandsGetEqualSlots) {
  for (auto& [member, gateway] : m_gateways) {
    gateway.demand = 50;
  }
  ExchangeWithAllMembers(seconds(0));
  ExchangeWithAllMembers(milliseconds(200));
  for (const auto& [member, gateway] : m_gateways) {
    LONGS_EQUAL(2, gateway.allowance);
  }
}

TEST(SlotOwner, MembersReturnToTheirSharesAfterDemandEnds) {
  m_gateways["g2"].demand = 100;
  m_owner.RecordDemand("g2", 100, At(seconds(0)));
  for (int cycle = 0; cycle < 5; ++cycle) {
    ExchangeWithAllMembers(milliseconds(200 * cycle));
  }
  m_gateways["g2"].demand = 0;
  m_gateways["g2"].in_use = 0;
  for (int cycle = 0; cycle < 4; ++cycle) {
    ExchangeWithAllMembers(seconds(4 + cycle));
  }
  for (const auto& [member, gateway] : m_gateways) {
    LONGS_EQUAL(2, gateway.allowance);
  }
  CHECK_FALSE(m_owner.NeedsRebalancing(At(seconds(9))));
}

// Uses random demands, and allowances and reports that are lost, late or
// repeated. The oracle: the total number of slots in use by all gateways never
// exceeds the capacity.
TEST(SlotOwner, SlotsInUseNeverExceedCapacity) {
  CHECK_TRUE(rc::check("lending slots", [] {
    routing::SlotOwner owner("h1", kCapacity, kMembers, {});
    std::map<std::string, SimulatedGateway> gateways;
    for (const std::string& member : kMembers) {
      gateways[member] = SimulatedGateway{};
    }
    base::Duration now = seconds(0);
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const std::string member = *rc::gen::elementOf(kMembers);
      SimulatedGateway& gateway = gateways[member];
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          gateway.demand = *rc::gen::inRange(0, 20);
          break;
        case 1:
          // Some requests end.
          gateway.in_use = *rc::gen::inRange(0, gateway.in_use + 1);
          break;
        case 2:
          // The allowance is lost in transit.
          owner.GrantAllowance(member, At(now));
          break;
        case 3:
          // A delayed demand arrives.
          owner.RecordDemand(member, *rc::gen::inRange(0, 20), At(now));
          break;
        default:
          gateway.allowance = owner.GrantAllowance(member, At(now));
          break;
      }
      while (gateway.in_use < std::min(gateway.allowance, gateway.demand)) {
        ++gateway.in_use;
      }
      if (*rc::gen::inRange(0, 4) != 0) {
        owner.ProcessSlotReport(member, gateway.Report(), At(now));
      }
      int in_use = 0;
      for (const auto& [name, other] : gateways) {
        in_use += other.in_use;
      }
      RC_ASSERT(in_use <= kCapacity);
    }
  }));
}
