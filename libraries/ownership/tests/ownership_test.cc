#include <CppUTest/TestHarness.h>

#include "ownership/fleet_clock.h"
#include "ownership/pool_assignment.h"
#include "ownership/session_monitor.h"

namespace base = shallotwick::base;
namespace ownership = shallotwick::ownership;
using ownership::Incarnation;
using std::chrono::milliseconds;

namespace {

constexpr auto kTimeToLive = milliseconds(2'000);
const Incarnation kAnna{"anna", "1"};
const Incarnation kBert{"bert", "1"};
const Incarnation kCora{"cora", "1"};

base::TimePoint At(int64_t ms) {
  return base::TimePoint(std::chrono::seconds(100)) + milliseconds(ms);
}

}  // namespace

TEST_GROUP(Ownership){};

TEST(Ownership, SessionExpiresWhenItsRowIsUnchangedForItsTimeToLive) {
  ownership::SessionMonitor monitor(kTimeToLive);
  uint64_t anna_version = 1;
  for (int64_t ms = 0; ms <= 1'600; ms += 400) {
    monitor.Observe({{"anna", {kAnna, ++anna_version}}, {"bert", {kBert, 7}}},
                    At(ms));
  }
  CHECK_TRUE(monitor.IsLive(kBert));
  monitor.Observe({{"anna", {kAnna, ++anna_version}}, {"bert", {kBert, 7}}},
                  At(2'000));
  CHECK_FALSE(monitor.IsLive(kBert));
  CHECK_TRUE(monitor.IsLive(kAnna));
  LONGS_EQUAL(1, monitor.GetLiveHosts().size());
}

// Guards against expiring all sessions because no host can renew its session
// while the store is unavailable.
TEST(Ownership, TimeWithoutReadingsIsNotCounted) {
  ownership::SessionMonitor monitor(kTimeToLive);
  monitor.Observe({{"bert", {kBert, 7}}}, At(0));
  monitor.Observe({{"bert", {kBert, 7}}}, At(400));
  monitor.Observe({{"bert", {kBert, 7}}}, At(60'000));
  CHECK_TRUE(monitor.IsLive(kBert));
}

TEST(Ownership, NewBootOfHostIsNewIncarnation) {
  ownership::SessionMonitor monitor(kTimeToLive);
  monitor.Observe({{"bert", {{"bert", "2"}, 7}}}, At(0));
  CHECK_FALSE(monitor.IsLive(kBert));
  CHECK_TRUE(monitor.IsLive({"bert", "2"}));
  CHECK_FALSE(monitor.IsLive(kCora));
}

TEST(Ownership, UnownedPoolsAreAssignedToHostsWithFewestPools) {
  const std::set<std::string> pools = {"p1", "p2", "p3", "p4", "p5"};
  const std::map<std::string, ownership::OwnerRecord> owners = {
      {"p1", {kAnna, 1}}, {"p2", {kAnna, 1}}, {"p3", {{"gone", "1"}, 4}}};
  const auto ranks = ownership::RankCandidates(
      pools, owners, {{kAnna, 1}, {kBert, 1}, {kCora, 1}});
  LONGS_EQUAL(3, ranks.size());
  std::map<std::string, int> first_ranked_counts;
  for (const auto& [pool, hosts] : ranks) {
    ++first_ranked_counts[hosts.at(0).host];
    LONGS_EQUAL(3, hosts.size());
  }
  LONGS_EQUAL(0, first_ranked_counts["anna"]);
  CHECK_TRUE(first_ranked_counts["bert"] + first_ranked_counts["cora"] == 3);
  CHECK_TRUE(first_ranked_counts["bert"] >= 1 &&
             first_ranked_counts["cora"] >= 1);
}

TEST(Ownership, PoolsOfLiveOwnersAreNotReassigned) {
  const auto ranks = ownership::RankCandidates(
      {"p1", "p2"}, {{"p1", {kAnna, 1}}, {"p2", {kAnna, 1}}},
      {{kAnna, 1}, {kBert, 1}});
  LONGS_EQUAL(0, ranks.size());
  LONGS_EQUAL(0, ownership::RankCandidates({"p1"}, {}, {}).at("p1").size());
}

// The owner of a busy pool needs more processor time than a small host has.
TEST(Ownership, UnownedPoolsAreAssignedToHostsWithMostCoresPerPool) {
  const auto ranks = ownership::RankCandidates(
      {"p1", "p2", "p3"}, {}, {{kAnna, 0.12}, {kBert, 0.5}, {kCora, 0.5}});
  for (const auto& [pool, hosts] : ranks) {
    CHECK_FALSE(hosts.at(0) == kAnna);
  }
  // With its third and fourth pool the large host still has more cores per pool
  // than the small host; only the fifth pool is assigned to the small host.
  const auto ranks_with_owned_pools =
      ownership::RankCandidates({"p1", "p2", "p3", "p4", "p5"},
                                {{"p1", {kBert, 1}},
                                 {"p2", {kBert, 1}},
                                 {"p3", {kBert, 1}},
                                 {"p4", {kBert, 1}}},
                                {{kAnna, 0.12}, {kBert, 0.5}});
  CHECK_TRUE(ranks_with_owned_pools.at("p5").at(0) == kAnna);
}

TEST(Ownership, WatchersAreHostsWithMostCores) {
  std::map<Incarnation, double> live;
  for (int i = 0; i < 97; ++i) {
    live[{"host-" + std::to_string(i), "1"}] = i < 15 ? 0.5 : 0.12;
  }
  const auto watchers = ownership::SelectWatchers(live, 5);
  LONGS_EQUAL(12, watchers.size());
  for (const Incarnation& watcher : watchers) {
    DOUBLES_EQUAL(0.5, live.at(watcher), 0.001);
  }
  // At least one watcher is selected for each pool.
  LONGS_EQUAL(97, ownership::SelectWatchers(live, 164).size());
  // A pool without an owner is assigned to a watcher, as only watchers detect
  // the loss of the owner without delay.
  for (const auto& [pool, hosts] :
       ownership::RankCandidates({"p1", "p2", "p3"}, {}, live)) {
    LONGS_EQUAL(97, hosts.size());
    for (size_t rank = 0; rank < watchers.size(); ++rank) {
      CHECK_TRUE(watchers.count(hosts[rank]) == 1);
    }
  }
}

// A host that reads rarely can't detect an expired session, but it detects
// which sessions need frequent readings.
TEST(Ownership, SessionUnchangedBetweenDistantReadingsIsSuspect) {
  ownership::SessionMonitor monitor(kTimeToLive);
  CHECK_TRUE(monitor.IsSuspect(kAnna));
  monitor.Observe({{"anna", {kAnna, 1}}, {"bert", {kBert, 1}}}, At(0));
  CHECK_FALSE(monitor.IsSuspect(kAnna));
  monitor.Observe({{"anna", {kAnna, 2}}, {"bert", {kBert, 1}}}, At(3'000));
  CHECK_FALSE(monitor.IsSuspect(kAnna));
  CHECK_TRUE(monitor.IsSuspect(kBert));
  CHECK_TRUE(monitor.IsLive(kBert));
  monitor.Observe({{"anna", {kAnna, 2}}, {"bert", {kBert, 2}}}, At(3'400));
  CHECK_FALSE(monitor.IsSuspect(kAnna));
  CHECK_FALSE(monitor.IsSuspect(kBert));
}

TEST(Ownership, ClockOffsetsOfExpiredSessionsAreIgnored) {
  ownership::SessionMonitor monitor(kTimeToLive);
  uint64_t anna_version = 1;
  for (int64_t ms = 0; ms <= 2'000; ms += 400) {
    monitor.Observe({{"anna", {kAnna, ++anna_version, 1, 70}},
                     {"bert", {kBert, 7, 1, 9'000}},
                     {"cora", {kCora, ++anna_version}}},
                    At(ms));
  }
  CHECK_TRUE(monitor.GetClockOffsets() == std::vector<int64_t>{70});
}

TEST_GROUP(FleetClock) {
  ownership::FleetClock m_clock;

  // Simulates a response of the store, whose clock shows 5 s at the start of
  // the test.
  void ReceiveResponse(int64_t received_ms, int64_t delay_ms) {
    m_clock.ObserveStoreClock(5'000 + received_ms - delay_ms, At(received_ms));
  }
};

TEST(FleetClock, OwnClockIsUsedOnlyUntilStoreClockIsKnown) {
  CHECK_FALSE(m_clock.GetStoreMs(At(0)).has_value());
  LONGS_EQUAL(77, m_clock.GetUnixMs(At(0), 77));
  ReceiveResponse(0, 3);
  LONGS_EQUAL(77, m_clock.GetUnixMs(At(0), 77));
  m_clock.ObserveOffsets({1'000'000}, At(0));
  LONGS_EQUAL(1'004'997, m_clock.GetUnixMs(At(0), 77));
}

TEST(FleetClock, StoreClockIsTakenFromFastestResponse) {
  ReceiveResponse(0, 40);
  ReceiveResponse(500, 2);
  ReceiveResponse(600, 900);
  LONGS_EQUAL(5'998, *m_clock.GetStoreMs(At(1'000)));
  // The estimate is never ahead of the store's clock, also after many
  // responses.
  for (int64_t ms = 1'000; ms < 60'000; ms += 300) {
    ReceiveResponse(ms, 5 + ms % 7);
    CHECK_TRUE(*m_clock.GetStoreMs(At(ms)) <= 5'000 + ms);
    CHECK_TRUE(*m_clock.GetStoreMs(At(ms)) >= 5'000 + ms - 40);
  }
}

TEST(FleetClock, FollowsSlowerStoreClock) {
  for (int64_t ms = 0; ms <= 100'000; ms += 400) {
    m_clock.ObserveStoreClock(ms * 98 / 100, At(ms));
  }
  // Tolerance: two windows of 10 s at a rate difference of 2 %.
  CHECK_TRUE(*m_clock.GetStoreMs(At(100'000)) <= 98'000 + 400);
}

TEST(FleetClock, JumpsOfMinorityOfClocksDoNotChangeFleetTime) {
  struct Case {
    const char* name;
    // The jumps of the clocks of two hosts out of five, and of this host's own
    // clock.
    int64_t others_jump_ms;
    int64_t own_ms;
  } cases[] = {{"ahead", 2'400, 0},
               {"back", -6'000, 0},
               {"own ahead", 0, 6'000},
               {"own and others back", -3'000, -3'000},
               {"days", 86'400'000, -86'400'000}};
  for (const Case& test_case : cases) {
    m_clock = {};
    ReceiveResponse(0, 0);
    m_clock.ObserveOffsets({99'990, 100'000, 100'010, 100'020, 99'980}, At(0));
    for (int64_t ms = 400; ms <= 120'000; ms += 400) {
      const bool has_jumped = ms > 10'000 && ms < 50'000;
      const int64_t others_jump_ms = has_jumped ? test_case.others_jump_ms : 0;
      m_clock.ObserveOffsets({99'990, 100'000 + others_jump_ms, 100'010,
                              100'020 + others_jump_ms, 99'980},
                             At(ms));
      const int64_t own_ms = 105'000 + ms + (has_jumped ? test_case.own_ms : 0);
      ReceiveResponse(ms, 0);
      const int64_t error_ms = m_clock.GetUnixMs(At(ms), own_ms) - 105'000 - ms;
      CHECK_TEXT(error_ms >= -20 && error_ms <= 20, test_case.name);
    }
  }
}

TEST(FleetClock, JumpOfMostClocksCountsOnlyIfItPersists) {
  ReceiveResponse(0, 0);
  m_clock.ObserveOffsets({100'000, 100'000, 100'000}, At(0));
  m_clock.ObserveOffsets({100'000, 102'400, 102'400}, At(10'000));
  m_clock.ObserveOffsets({100'000, 102'400, 102'400}, At(16'000));
  LONGS_EQUAL(121'000, m_clock.GetUnixMs(At(16'000), 0));
  m_clock.ObserveOffsets({100'000, 100'000, 100'000}, At(16'400));
  m_clock.ObserveOffsets({102'400, 102'400, 102'400}, At(20'000));
  m_clock.ObserveOffsets({102'400, 102'400, 102'400}, At(49'000));
  LONGS_EQUAL(154'000, m_clock.GetUnixMs(At(49'000), 0));
  m_clock.ObserveOffsets({102'400, 102'400, 102'400}, At(50'000));
  LONGS_EQUAL(157'400, m_clock.GetUnixMs(At(50'000), 0));
}
