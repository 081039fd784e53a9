#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "fleet/drain_tracker.h"
#include "fleet/lease_monitor.h"
#include "fleet/transition_transaction.h"

namespace base = shallotwick::base;
namespace fleet = shallotwick::fleet;
namespace storage = shallotwick::storage;
namespace records = shallotwick::records;

using fleet::LeaseAction;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(std::chrono::hours(1) + since_start);
}

records::HostRecord MakeHost(const std::string& name,
                             records::HostState state) {
  records::HostRecord host;
  host.name = name;
  host.pool = "dye";
  host.state = state;
  host.view_version = 5;
  return host;
}

records::MemberRecord MakeMember(const std::string& gateway, uint64_t renewal,
                                 const std::string& incarnation = "i") {
  records::MemberRecord member;
  member.gateway = gateway;
  member.incarnation = incarnation;
  member.renewal = renewal;
  return member;
}

}  // namespace

TEST_GROUP(LeaseMonitor){};

TEST(LeaseMonitor, AcquiresFreeLeaseAndRenewsOwnLease) {
  fleet::LeaseMonitor monitor("mine");
  CHECK_TRUE(monitor.Observe(std::nullopt, At(seconds(0))) ==
             LeaseAction::kAcquire);
  CHECK_TRUE(monitor.Observe(records::LeaseRecord{"a", "mine", 1, 3000},
                             At(seconds(0))) == LeaseAction::kRenew);
  // Released by its holder.
  CHECK_TRUE(monitor.Observe(records::LeaseRecord{"", "other", 1, 3000},
                             At(seconds(0))) == LeaseAction::kAcquire);
}

TEST(LeaseMonitor, AcquiresOnlyAfterNoRenewalForTimeToLive) {
  fleet::LeaseMonitor monitor("mine");
  records::LeaseRecord row{"b", "other", 1, 3000};
  CHECK_TRUE(monitor.Observe(row, At(seconds(0))) == LeaseAction::kWait);
  CHECK_TRUE(monitor.Observe(row, At(seconds(3))) == LeaseAction::kWait);
  row.renewal = 2;
  CHECK_TRUE(monitor.Observe(row, At(seconds(4))) == LeaseAction::kWait);
  CHECK_TRUE(monitor.Observe(row, At(seconds(7))) == LeaseAction::kWait);
  CHECK_TRUE(monitor.Observe(row, At(milliseconds(7001))) ==
             LeaseAction::kAcquire);
}

TEST_GROUP(DrainTracker) {
  fleet::DrainTracker m_tracker{seconds(30)};
  const std::map<std::string, records::HostRecord> m_hosts = {
      {"h1", MakeHost("h1", records::HostState::kDraining)},
      {"h2", MakeHost("h2", records::HostState::kServing)}};

  bool IsDrained(base::Duration at = seconds(0)) {
    return m_tracker.FindDrainedHosts(m_hosts, At(at)).count("h1") == 1;
  }
};

TEST(DrainTracker,
     HostIsDrainedWhenEveryMemberAcknowledgesWithNothingInFlight) {
  m_tracker.ObserveMembers({MakeMember("g1", 1), MakeMember("g2", 1)},
                           At(seconds(0)));
  CHECK_FALSE(IsDrained());
  m_tracker.ObserveAcknowledgement({"g1", "i", 5, {}});
  CHECK_FALSE(IsDrained());
  m_tracker.ObserveAcknowledgement({"g2", "i", 5, {{"h1", 2}}});
  CHECK_FALSE(IsDrained());
  m_tracker.ObserveAcknowledgement({"g2", "i", 5, {}});
  CHECK_TRUE(IsDrained());
  LONGS_EQUAL(0,
              m_tracker.FindDrainedHosts(m_hosts, At(seconds(0))).count("h2"));
}

TEST(DrainTracker, AcknowledgementOfOlderViewIsIgnored) {
  m_tracker.ObserveMembers({MakeMember("g1", 1)}, At(seconds(0)));
  m_tracker.ObserveAcknowledgement({"g1", "i", 4, {}});
  CHECK_FALSE(IsDrained());
  m_tracker.ObserveAcknowledgement({"g1", "i", 6, {{"h1", 1}}});
  // A delayed acknowledgement of an older view does not replace the newer one.
  m_tracker.ObserveAcknowledgement({"g1", "i", 5, {}});
  CHECK_FALSE(IsDrained());
}

TEST(DrainTracker, NewIncarnationMustAcknowledgeAgain) {
  m_tracker.ObserveMembers({MakeMember("g1", 1)}, At(seconds(0)));
  m_tracker.ObserveAcknowledgement({"g1", "i", 5, {}});
  m_tracker.ObserveMembers({MakeMember("g1", 1, "new")}, At(seconds(1)));
  CHECK_FALSE(IsDrained());
  m_tracker.ObserveAcknowledgement({"g1", "i", 5, {}});
  CHECK_FALSE(IsDrained());
  m_tracker.ObserveAcknowledgement({"g1", "new", 5, {}});
  CHECK_TRUE(IsDrained());
}

TEST(DrainTracker, UnresponsiveMemberBlocksDrainUntilExpiryLimit) {
  m_tracker.ObserveMembers({MakeMember("g1", 1)}, At(seconds(0)));
  for (int second = 10; second <= 40; ++second) {
    m_tracker.ObserveMembers({MakeMember("g1", 2)}, At(seconds(second)));
    CHECK_FALSE(IsDrained(seconds(second)));
  }
  CHECK_TRUE(IsDrained(seconds(41)));
  LONGS_EQUAL(1, m_tracker.FindExpiredMembers(At(seconds(41))).size());
}

// A member may send requests until the limit that it declares itself, so it
// must not expire earlier even if the controller's expiry limit is shorter.
TEST(DrainTracker, MemberDoesNotExpireBeforeItsDeclaredLimit) {
  const auto make_member = [] {
    records::MemberRecord member = MakeMember("g1", 1);
    member.limit_milliseconds = 60'000;
    return member;
  };
  for (int second = 0; second <= 60; ++second) {
    m_tracker.ObserveMembers({make_member()}, At(seconds(second)));
    CHECK_FALSE(IsDrained(seconds(second)));
    LONGS_EQUAL(0, m_tracker.FindExpiredMembers(At(seconds(second))).size());
  }
  m_tracker.ObserveMembers({make_member()}, At(seconds(61)));
  CHECK_TRUE(IsDrained(seconds(61)));
}

TEST(DrainTracker, MissingDeclaredLimitIsReadAsZero) {
  const auto member = nlohmann::json::parse(
                          R"({"gateway":"g1","incarnation":"i",
    "link_address":"","http_address":"","data_centre":"","renewal":1,
    "view_version":0,"document_version":0,"ready":true})")
                          .get<records::MemberRecord>();
  LONGS_EQUAL(0, member.limit_milliseconds);
}

TEST(DrainTracker, TimeWithoutReadsDoesNotExpireMembers) {
  m_tracker.ObserveMembers({MakeMember("g1", 1)}, At(seconds(0)));
  // The table service is down for an hour, so the gateway can't renew its row.
  m_tracker.ObserveMembers({MakeMember("g1", 1)}, At(seconds(3'600)));
  CHECK_FALSE(IsDrained(seconds(3'600)));
  LONGS_EQUAL(0, m_tracker.FindExpiredMembers(At(seconds(3'600))).size());
}

TEST(DrainTracker, RemovedMemberDoesNotBlockDrain) {
  m_tracker.ObserveMembers({MakeMember("g1", 1)}, At(seconds(0)));
  m_tracker.ObserveMembers({}, At(seconds(1)));
  CHECK_TRUE(IsDrained());
}

TEST_GROUP(TransitionTransaction){};

TEST(TransitionTransaction, ChecksLeaseTokenAndEveryWrittenRow) {
  const records::HostRecord before =
      MakeHost("h1", records::HostState::kServing);
  records::HostRecord after = before;
  after.state = records::HostState::kDraining;
  const auto effect = fleet::ComputeTransitionEffect(
      {{"h1", before, after, "wave"}}, {7, 3}, {{"dye", {"dye", {"h9"}}}});
  LONGS_EQUAL(8, effect.view_head.version);
  LONGS_EQUAL(8, effect.hosts.at("h1")->view_version);
  CHECK_TRUE(effect.pools.at("dye").unavailable ==
             (std::vector<std::string>{"h1", "h9"}));
  const auto transaction = fleet::MakeTransitionTransaction(
      effect, {{"host/h1", 4}, {"pool/dye", 5}, {"view/head", 6}},
      {"token", "w1"});
  CHECK_TRUE(transaction.conditions.at(0) ==
             storage::Condition::FieldIs("lease/controller", "token", "token"));
  for (const storage::Write& write : transaction.writes) {
    bool is_guarded = false;
    for (const storage::Condition& condition : transaction.conditions) {
      is_guarded = is_guarded || condition.key == write.key;
    }
    CHECK_TRUE(is_guarded);
  }
}

TEST(TransitionTransaction, MoveUpdatesHostAndBothPools) {
  records::HostRecord before = MakeHost("h1", records::HostState::kDraining);
  before.move_to = "quotes";
  records::HostRecord after = before;
  after.pool = "quotes";
  after.state = records::HostState::kServing;
  const auto effect = fleet::ComputeTransitionEffect(
      {{"h1", before, after, "move"}}, {7, 3}, {{"dye", {"dye", {"h1"}}}});
  CHECK_TRUE(effect.pools.at("dye").unavailable.empty());
  CHECK_TRUE(effect.pools.at("quotes").unavailable.empty());
  LONGS_EQUAL(1, effect.hosts.size());
}
