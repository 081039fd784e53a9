#include "../membership.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "fakes/fake_table_service.h"
#include "records/keys.h"

namespace base = shallotwick::base;
namespace control = shallotwick::control;
namespace fakes = shallotwick::fakes;
namespace gateway = shallotwick::gateway;
namespace records = shallotwick::records;
namespace routing = shallotwick::routing;
namespace storage = shallotwick::storage;
namespace wire = shallotwick::link;

using std::chrono::milliseconds;

namespace {

records::MemberRecord MakeMember(const std::string& name,
                                 const std::string& incarnation) {
  records::MemberRecord member;
  member.gateway = name;
  member.incarnation = incarnation;
  return member;
}

}  // namespace

// The membership of g0 in the system "ours".
TEST_GROUP(Membership) {
  fakes::FakeTableService m_table;
  control::StoreReachability m_reachability{"127.0.0.1:1"};
  routing::Dispatcher m_dispatcher{"g0", routing::DispatcherLimits{}};
  gateway::ViewTracker m_views{"g0", m_dispatcher,
                               routing::ConfirmationLimits{}};
  control::LinkThread m_links{"i0"};
  std::unique_ptr<gateway::Membership> m_membership;

  void teardown() override {
    if (m_membership) {
      m_membership->Leave();
    }
    m_links.Stop();
  }

  void StartMembership() {
    gateway::MembershipOptions options;
    options.period = milliseconds(20);
    m_membership = std::make_unique<gateway::Membership>(
        m_table, m_reachability, m_views, m_links,
        [] { return MakeMember("g0", "i0"); }, options);
  }

  void Store(const std::string& key, const nlohmann::json& record) {
    storage::Transaction transaction;
    transaction.write_id = key;
    transaction.writes = {{key, record.dump()}};
    m_table.Commit(transaction);
  }

  wire::ReplyStatus RenewForPeer(const records::MemberRecord& member,
                                 bool may_join) {
    std::promise<wire::ReplyStatus> status;
    m_membership->RenewForPeer({member, may_join},
                               [&status](const wire::Reply& reply) {
                                 status.set_value(reply.status);
                               });
    return status.get_future().get();
  }

  static bool WaitFor(const std::function<bool()>& condition) {
    constexpr int kAttempts = 500;
    for (int attempt = 0; attempt < kAttempts && !condition(); ++attempt) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return condition();
  }
};

TEST(Membership, ALostRenewalLeavesTimeForASecondOne) {
  for (const milliseconds limit :
       {milliseconds(1'000), milliseconds(4'000), milliseconds(20'000)}) {
    const gateway::MembershipOptions options =
        gateway::MakeMembershipOptions(limit);
    CHECK_TRUE(2 * (options.max_retry_delay + options.peer_timeout) <= limit);
    CHECK_TRUE(2 * options.periods_per_renewal * options.period <= limit);
  }
}

TEST(Membership, APeerThatNamesNoSystemIsRenewedButDoesNotJoin) {
  StartMembership();
  Store(records::MemberKey("g1"), MakeMember("g1", "i1"));
  CHECK_TRUE(RenewForPeer(MakeMember("g2", "i2"), false) ==
             wire::ReplyStatus::kRefused);
  CHECK_TRUE(RenewForPeer(MakeMember("g1", "i9"), false) ==
             wire::ReplyStatus::kRefused);
  CHECK_FALSE(m_table.Find(records::MemberKey("g2")).has_value());
  CHECK_TRUE(RenewForPeer(MakeMember("g1", "i1"), false) ==
             wire::ReplyStatus::kOk);
  CHECK_TRUE(RenewForPeer(MakeMember("g2", "i2"), true) ==
             wire::ReplyStatus::kOk);
}

TEST(Membership, AViewOfAnotherSystemIsDiscardedOnceTheStoreNamesOurs) {
  std::promise<void> adopted;
  m_links.Post([&] {
    m_links.AdoptSystem("theirs");
    adopted.set_value();
  });
  adopted.get_future().get();
  routing::RoutingView view;
  view.version = 9;
  m_views.ReplaceViewIfNewer(view, "peer");
  Store(records::kSystemKey, records::SystemRecord{"ours"});
  Store(records::kViewHeadKey, records::ViewHeadRecord{3, 1});
  StartMembership();
  CHECK_TRUE(WaitFor([&] { return m_views.GetVersion() == 3; }));
  CHECK_TRUE(
      WaitFor([&] { return m_views.IsReady(base::RuntimeClock::now()); }));
  STRCMP_EQUAL("ours", m_links.SetSystem("ours").c_str());
}
