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

// A gateway's side: it obeys allowances, and uses at most what it is allowed.
struct Holder {
  int in_use = 0;
  int allowance = 2;
  int demand = 0;

  SlotReport Report() const { return {in_use, allowance, demand}; }
  void Work() {
    in_use = std::max(in_use, std::min(demand, allowance));
    in_use = std::min(in_use, std::max(demand, 0));
  }
};

}  // namespace

TEST_GROUP(SlotOwner) {
  routing::SlotOwner m_owner{"h1", kCapacity, kMembers, {}};
  std::map<std::string, Holder> m_holders;

  void setup() override {
    for (const std::string& member : kMembers) {
      m_holders[member] = Holder{};
    }
  }
  // Asks and tells every member once.
  void Round(base::Duration at) {
    for (auto& [member, holder] : m_holders) {
      holder.allowance = m_owner.Allow(member, At(at));
      holder.Work();
      m_owner.TakeReport(member, holder.Report(), At(at));
    }
  }
  int SumInUse() const {
    int sum = 0;
    for (const auto& [member, holder] : m_holders) {
      sum += holder.in_use;
    }
    return sum;
  }
};

TEST(SlotOwner, IsQuietWhileEveryoneHasEnough) {
  CHECK_FALSE(m_owner.IsHot(At(seconds(0))));
  m_owner.TakeWant("g0", 2, At(seconds(0)));
  CHECK_FALSE(m_owner.IsHot(At(seconds(0))));
  m_owner.TakeWant("g0", 3, At(seconds(0)));
  CHECK_TRUE(m_owner.IsHot(At(seconds(0))));
}

TEST(SlotOwner, OneGatewayWithAllTheDemandGetsAllTheSlotsInThreeRounds) {
  m_holders["g2"].demand = 100;
  m_owner.TakeWant("g2", 100, At(seconds(0)));
  for (int round = 0; round < 3; ++round) {
    Round(milliseconds(200 * round));
  }
  LONGS_EQUAL(kCapacity, m_holders["g2"].allowance);
  LONGS_EQUAL(kCapacity, SumInUse());
}

TEST(SlotOwner, EqualDemandsGetEqualSlots) {
  for (auto& [member, holder] : m_holders) {
    holder.demand = 50;
  }
  Round(seconds(0));
  Round(milliseconds(200));
  for (const auto& [member, holder] : m_holders) {
    LONGS_EQUAL(2, holder.allowance);
  }
}

TEST(SlotOwner, AfterTheDemandAllReturnToTheirShares) {
  m_holders["g2"].demand = 100;
  m_owner.TakeWant("g2", 100, At(seconds(0)));
  for (int round = 0; round < 5; ++round) {
    Round(milliseconds(200 * round));
  }
  m_holders["g2"].demand = 0;
  m_holders["g2"].in_use = 0;
  for (int round = 0; round < 4; ++round) {
    Round(seconds(4 + round));
  }
  for (const auto& [member, holder] : m_holders) {
    LONGS_EQUAL(2, holder.allowance);
  }
  CHECK_FALSE(m_owner.IsHot(At(seconds(9))));
}

// Random demands; allowances and reports lost, late or repeated. The oracle:
// the slots in use of all gateways never exceed the capacity.
TEST(SlotOwner, NoMoreThanTheCapacityIsEverInUse) {
  CHECK_TRUE(rc::check("lending slots", [] {
    routing::SlotOwner owner("h1", kCapacity, kMembers, {});
    std::map<std::string, Holder> holders;
    for (const std::string& member : kMembers) {
      holders[member] = Holder{};
    }
    base::Duration now = seconds(0);
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const std::string member = *rc::gen::elementOf(kMembers);
      Holder& holder = holders[member];
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          holder.demand = *rc::gen::inRange(0, 20);
          break;
        case 1:
          // Requests end.
          holder.in_use = *rc::gen::inRange(0, holder.in_use + 1);
          break;
        case 2:
          // An allowance that is lost on its way.
          owner.Allow(member, At(now));
          break;
        case 3:
          // A want that was sent long ago.
          owner.TakeWant(member, *rc::gen::inRange(0, 20), At(now));
          break;
        default:
          holder.allowance = owner.Allow(member, At(now));
          break;
      }
      while (holder.in_use < std::min(holder.allowance, holder.demand)) {
        ++holder.in_use;
      }
      if (*rc::gen::inRange(0, 4) != 0) {
        owner.TakeReport(member, holder.Report(), At(now));
      }
      int in_use = 0;
      for (const auto& [name, other] : holders) {
        in_use += other.in_use;
      }
      RC_ASSERT(in_use <= kCapacity);
    }
  }));
}
