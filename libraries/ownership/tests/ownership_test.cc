#include <CppUTest/TestHarness.h>

#include "ownership/pool_assignment.h"
#include "ownership/session_watch.h"

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

TEST(Ownership, SessionLapsesWhenItsRowStoodStillForItsTimeToLive) {
  ownership::SessionWatch watch(kTimeToLive);
  uint64_t anna = 1;
  for (int64_t ms = 0; ms <= 1'600; ms += 400) {
    watch.Observe({{"anna", {kAnna, ++anna}}, {"bert", {kBert, 7}}}, At(ms));
  }
  CHECK_TRUE(watch.IsLive(kBert));
  watch.Observe({{"anna", {kAnna, ++anna}}, {"bert", {kBert, 7}}}, At(2'000));
  CHECK_FALSE(watch.IsLive(kBert));
  CHECK_TRUE(watch.IsLive(kAnna));
  LONGS_EQUAL(1, watch.GetLive().size());
}

// Nobody can renew while the store is away; that must not make all lapse.
TEST(Ownership, TimeWithoutReadingsIsNotCounted) {
  ownership::SessionWatch watch(kTimeToLive);
  watch.Observe({{"bert", {kBert, 7}}}, At(0));
  watch.Observe({{"bert", {kBert, 7}}}, At(400));
  watch.Observe({{"bert", {kBert, 7}}}, At(60'000));
  CHECK_TRUE(watch.IsLive(kBert));
}

TEST(Ownership, AnotherBootOfAHostIsAnotherIncarnation) {
  ownership::SessionWatch watch(kTimeToLive);
  watch.Observe({{"bert", {{"bert", "2"}, 7}}}, At(0));
  CHECK_FALSE(watch.IsLive(kBert));
  CHECK_TRUE(watch.IsLive({"bert", "2"}));
  CHECK_FALSE(watch.IsLive(kCora));
}

TEST(Ownership, OrphansGoToTheHostsWithTheFewestPools) {
  const std::set<std::string> pools = {"p1", "p2", "p3", "p4", "p5"};
  const std::map<std::string, ownership::OwnerRecord> owners = {
      {"p1", {kAnna, 1}}, {"p2", {kAnna, 1}}, {"p3", {{"gone", "1"}, 4}}};
  const auto ranks = ownership::RankCandidates(
      pools, owners, {{kAnna, 1}, {kBert, 1}, {kCora, 1}});
  LONGS_EQUAL(3, ranks.size());
  std::map<std::string, int> first;
  for (const auto& [pool, hosts] : ranks) {
    ++first[hosts.at(0).host];
    LONGS_EQUAL(3, hosts.size());
  }
  LONGS_EQUAL(0, first["anna"]);
  CHECK_TRUE(first["bert"] + first["cora"] == 3);
  CHECK_TRUE(first["bert"] >= 1 && first["cora"] >= 1);
}

TEST(Ownership, PoolsOfLiveOwnersStayWhereTheyAre) {
  const auto ranks = ownership::RankCandidates(
      {"p1", "p2"}, {{"p1", {kAnna, 1}}, {"p2", {kAnna, 1}}},
      {{kAnna, 1}, {kBert, 1}});
  LONGS_EQUAL(0, ranks.size());
  LONGS_EQUAL(0, ownership::RankCandidates({"p1"}, {}, {}).at("p1").size());
}

// The owner of a busy pool needs more processor time than a small host has.
TEST(Ownership, OrphansGoToHostsWithTheMostCoresForEachPool) {
  const auto ranks = ownership::RankCandidates(
      {"p1", "p2", "p3"}, {}, {{kAnna, 0.12}, {kBert, 0.5}, {kCora, 0.5}});
  for (const auto& [pool, hosts] : ranks) {
    CHECK_FALSE(hosts.at(0) == kAnna);
  }
  // A third and fourth pool of a large host still leave more than a small one.
  const auto crowded = ownership::RankCandidates({"p1", "p2", "p3", "p4", "p5"},
                                                 {{"p1", {kBert, 1}},
                                                  {"p2", {kBert, 1}},
                                                  {"p3", {kBert, 1}},
                                                  {"p4", {kBert, 1}}},
                                                 {{kAnna, 0.12}, {kBert, 0.5}});
  CHECK_TRUE(crowded.at("p5").at(0) == kAnna);
}
