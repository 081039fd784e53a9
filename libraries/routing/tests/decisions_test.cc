#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <set>

#include "routing/answer_decision.h"
#include "routing/claim_decision.h"
#include "routing/retry_budget.h"
#include "routing/routing_view.h"
#include "routing/slot_shares.h"
#include "routing/view_confirmation.h"

namespace base = shallotwick::base;
namespace records = shallotwick::records;
namespace routing = shallotwick::routing;

using routing::Reason;
using routing::RequestOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(std::chrono::hours(1) + since_start);
}

routing::RoutingView MakeView(uint64_t version, int hosts, int shift) {
  routing::RoutingView view;
  view.version = version;
  for (int number = 0; number < hosts; ++number) {
    routing::HostRoute host;
    host.name = "h" + std::to_string(number + shift);
    host.pool = "p" + std::to_string((number * shift) % 3);
    view.hosts[host.name] = host;
  }
  if (shift % 2 == 0) {
    view.services["s"] = routing::ServiceRoute{"s", "p0", 8, 64, 1000, {"GET"}};
    view.members["g"] = routing::MemberRoute{"g", "127.0.0.1:1"};
  }
  return view;
}

}  // namespace

TEST_GROUP(Decisions){};

TEST(Decisions, DecisionsAfterSend) {
  struct Case {
    routing::SendResult report;
    bool is_idempotent;
    routing::SendDecision expected;
  };
  const Case cases[] = {
      {{RequestOutcome::kComplete, "", false},
       false,
       routing::DeliverResponse{}},
      {{RequestOutcome::kComplete, "no-slot", false},
       false,
       routing::RetrySend{Reason::kTargetRefusedNoSlot, false}},
      {{RequestOutcome::kComplete, "leaving", false},
       true,
       routing::RetrySend{Reason::kTargetRefusedLeaving, false}},
      {{RequestOutcome::kComplete, "no-word-of-ours", false},
       false,
       routing::DeliverResponse{}},
      {{RequestOutcome::kNotRun, "", false},
       false,
       routing::RetrySend{Reason::kTargetConnectFailed, false}},
      {{RequestOutcome::kUnknown, "", false},
       true,
       routing::RetrySend{Reason::kTargetAnswerLost, true}},
      {{RequestOutcome::kUnknown, "", true},
       true,
       routing::RetrySend{Reason::kTargetUnresponsive, true}},
      {{RequestOutcome::kUnknown, "", false},
       false,
       routing::GiveUp{Reason::kTargetAnswerLost, true}},
      {{RequestOutcome::kUnknown, "", true},
       false,
       routing::GiveUp{Reason::kTargetUnresponsive, true}},
  };
  for (const Case& test : cases) {
    CHECK_TRUE(routing::DecideAfterSend(test.report, test.is_idempotent) ==
               test.expected);
  }
}

TEST(Decisions, DecisionsOnClaims) {
  records::ClaimRecord claim;
  claim.request_digest = "digest";
  claim.claimed_at_milliseconds = 1000;
  const auto decide = [&claim](records::ClaimState state, const char* digest,
                               int64_t now) {
    claim.state = state;
    return routing::DecideOnClaim(claim, digest, now, 500);
  };
  CHECK_TRUE(routing::DecideOnClaim(std::nullopt, "digest", 0, 500) ==
             routing::ClaimDecision(routing::ClaimAllowed{}));
  CHECK_TRUE(decide(records::ClaimState::kClaimed, "digest", 1100) ==
             routing::ClaimDecision(Reason::kClaimInProgress));
  CHECK_TRUE(decide(records::ClaimState::kClaimed, "digest", 1600) ==
             routing::ClaimDecision(Reason::kClaimOutcomeUnknown));
  CHECK_TRUE(decide(records::ClaimState::kUnknown, "digest", 1100) ==
             routing::ClaimDecision(Reason::kClaimOutcomeUnknown));
  for (const auto state :
       {records::ClaimState::kClaimed, records::ClaimState::kFinished,
        records::ClaimState::kUnknown}) {
    CHECK_TRUE(decide(state, "other", 1100) ==
               routing::ClaimDecision(Reason::kIdempotencyKeyReused));
  }
  CHECK_TRUE(std::holds_alternative<routing::StoredResponse>(
      decide(records::ClaimState::kFinished, "digest", 99'999)));
}

TEST(Decisions, EveryReasonHasNameStatusAndDocumentation) {
  std::ifstream file(std::string(SHALLOTWICK_SOURCE_DIR) + "/docs/REFUSALS.md");
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  std::set<std::string> names;
  for (Reason reason : routing::kAllReasons) {
    const std::string name(routing::NameOf(reason));
    CHECK_TRUE(names.insert(name).second);
    CHECK_TRUE(routing::StatusOf(reason) >= 400);
    CHECK_TEXT(text.find("| " + name + " |") != std::string::npos,
               name.c_str());
  }
}

TEST(Decisions, RetriesAreLimitedToATenthOfFirstSends) {
  routing::RetryBudget budget;
  int retries = 0;
  constexpr int kSends = 10'000;
  for (int send = 0; send < kSends; ++send) {
    budget.RecordFirstSend();
    retries += budget.TrySpend() ? 1 : 0;
    retries += budget.TrySpend() ? 1 : 0;
  }
  CHECK_TRUE(retries <= kSends / 10 + 10);
  CHECK_TRUE(retries >= kSends / 10);
}

TEST(Decisions, SharesOfAllMembersAddUpToTheCapacity) {
  CHECK_TRUE(rc::check("shares", [] {
    const int count = *rc::gen::inRange(1, 30);
    const int capacity = *rc::gen::inRange(0, 70);
    const std::string resource = "h" + std::to_string(*rc::gen::inRange(0, 99));
    std::vector<std::string> members;
    for (int number = 0; number < count; ++number) {
      members.push_back("gateway-" + std::to_string(number));
    }
    int sum = 0;
    for (const std::string& member : members) {
      const int share =
          routing::ComputeShare(resource, capacity, members, member);
      RC_ASSERT(share >= capacity / count);
      RC_ASSERT(share <= capacity / count + 1);
      sum += share;
    }
    RC_ASSERT(sum == capacity);
    RC_ASSERT(routing::ComputeShare(resource, capacity, members, "other") == 0);
  }));
}

TEST(Decisions, SpreadDemandIsCompleteAndCoversSlotsInUse) {
  CHECK_TRUE(rc::check("wants", [] {
    std::map<std::string, int> in_use;
    const int hosts = *rc::gen::inRange(1, 12);
    int total_in_use = 0;
    for (int host = 0; host < hosts; ++host) {
      const int count = *rc::gen::inRange(0, 9);
      in_use["h" + std::to_string(host)] = count;
      total_in_use += count;
    }
    const int additional = *rc::gen::inRange(0, 100);
    const auto demand_by_host =
        routing::SpreadDemand(total_in_use + additional, in_use, "g");
    int wanted = 0;
    int min_demand = 1'000;
    int max_raised_demand = 0;
    for (const auto& [host, demand] : demand_by_host) {
      RC_ASSERT(demand >= in_use.at(host));
      wanted += demand;
      if (demand > in_use.at(host)) {
        max_raised_demand = std::max(max_raised_demand, demand);
      }
      min_demand = std::min(min_demand, demand);
    }
    RC_ASSERT(wanted == total_in_use + additional);
    RC_ASSERT(max_raised_demand <= min_demand + 1);
  }));
}

TEST(Decisions, RendezvousDistributesFirstRankEvenly) {
  std::map<std::string, int> first_counts;
  const std::vector<std::string> members = {"g0", "g1", "g2", "g3",
                                            "g4", "g5", "g6", "g7"};
  constexpr int kResources = 1'600;
  for (int number = 0; number < kResources; ++number) {
    ++first_counts[routing::OrderByRendezvous("host-" + std::to_string(number),
                                              members)[0]];
  }
  for (const std::string& member : members) {
    CHECK_TRUE(first_counts[member] > kResources / 8 / 2);
    CHECK_TRUE(first_counts[member] < kResources / 8 * 2);
  }
}

TEST(Decisions, DeltaTransformsOneViewIntoTheOther) {
  CHECK_TRUE(rc::check("view deltas", [] {
    const auto from =
        MakeView(3, *rc::gen::inRange(0, 20), *rc::gen::inRange(0, 9));
    const auto to =
        MakeView(4, *rc::gen::inRange(0, 20), *rc::gen::inRange(0, 9));
    RC_ASSERT(routing::ApplyDelta(from, routing::MakeDelta(from, to)) == to);
  }));
}

TEST_GROUP(ViewConfirmation) {
  void setup() override {
    m_confirmation.ConfirmMembership(At(seconds(0)), true);
  }

  routing::ViewConfirmation m_confirmation{
      "g0", routing::ConfirmationLimits{seconds(5), seconds(20), seconds(3)}};
  const std::set<std::string> m_members = {"g0", "g1", "g2", "g3", "g4"};

  bool IsReady(base::Duration at) {
    return At(at) <= m_confirmation.GetReadyUntil(m_members);
  }
  void ReportStoreDown(const std::string& member, base::Duration at) {
    m_confirmation.RecordMemberReport(member, {At(at), false});
  }
};

TEST(ViewConfirmation, StoreConfirmationCountsFromSendTimeOfRequest) {
  CHECK_FALSE(IsReady(seconds(0)));
  m_confirmation.ConfirmByStore(At(seconds(0)));
  CHECK_TRUE(IsReady(seconds(5)));
  CHECK_FALSE(IsReady(seconds(6)));
}

TEST(ViewConfirmation, PeerConfirmationCountsFromItsAge) {
  m_confirmation.ConfirmByPeer(At(seconds(10)), seconds(4));
  CHECK_TRUE(IsReady(seconds(11)));
  CHECK_FALSE(IsReady(seconds(12)));
  // An older confirmation does not shorten a newer one.
  m_confirmation.ConfirmByPeer(At(seconds(10)), seconds(9));
  CHECK_TRUE(IsReady(seconds(11)));
}

TEST(ViewConfirmation, GatewayWithoutStoreAndPeersBecomesNotReady) {
  m_confirmation.ConfirmByStore(At(seconds(0)));
  m_confirmation.RecordStoreUnreachable(At(seconds(4)));
  CHECK_TRUE(IsReady(seconds(5)));
  m_confirmation.RecordStoreUnreachable(At(seconds(8)));
  CHECK_FALSE(IsReady(seconds(8)));
}

TEST(ViewConfirmation,
     GatewayWithoutRenewedMembershipBecomesNotReadyDespitePeers) {
  for (int second = 1; second <= 30; ++second) {
    m_confirmation.ConfirmByPeer(At(seconds(second)), milliseconds(100));
    CHECK_EQUAL(second <= 20, IsReady(seconds(second)));
  }
  m_confirmation.ConfirmMembership(At(seconds(30)), false);
  CHECK_TRUE(IsReady(seconds(30)));
}

TEST(ViewConfirmation, ViewMustBeConfirmedAfterGatewayHasJoined) {
  m_confirmation.ConfirmByStore(At(seconds(9)));
  m_confirmation.ConfirmMembership(At(seconds(10)), true);
  CHECK_FALSE(IsReady(seconds(10)));
  m_confirmation.ConfirmByStore(At(seconds(10)));
  CHECK_TRUE(IsReady(seconds(10)));
}

TEST(ViewConfirmation, GatewayStaysReadyWhileStoreIsDownForMajority) {
  m_confirmation.RecordStoreUnreachable(At(seconds(60)));
  ReportStoreDown("g1", seconds(59));
  CHECK_FALSE(IsReady(seconds(60)));
  ReportStoreDown("g2", seconds(58));
  CHECK_TRUE(IsReady(seconds(60)));
  // The oldest report that the majority needs is valid for the report limit.
  CHECK_TRUE(IsReady(seconds(61)));
  CHECK_FALSE(IsReady(seconds(62)));
}

TEST(ViewConfirmation, OnlyMembersCountTowardsMajority) {
  m_confirmation.RecordStoreUnreachable(At(seconds(60)));
  ReportStoreDown("stranger-1", seconds(60));
  ReportStoreDown("stranger-2", seconds(60));
  CHECK_FALSE(IsReady(seconds(60)));
}

TEST(ViewConfirmation, ReportsOfOthersAboutThisGatewayAreIgnored) {
  m_confirmation.RecordMemberReport("g0", {At(seconds(99)), false});
  CHECK_TRUE(m_confirmation.GetReports().empty());
}
