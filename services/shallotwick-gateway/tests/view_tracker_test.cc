#include "../view_tracker.h"

#include <CppUTest/TestHarness.h>

namespace base = shallotwick::base;
namespace control = shallotwick::control;
namespace gateway = shallotwick::gateway;
namespace routing = shallotwick::routing;

using std::chrono::seconds;

namespace {

routing::RoutingView MakeView(uint64_t version) {
  routing::RoutingView view;
  view.version = version;
  view.document_version = version;
  for (const char* member : {"g0", "g1", "g2"}) {
    view.members[member] = routing::MemberRoute{member, "127.0.0.1:1"};
  }
  return view;
}

}  // namespace

TEST_GROUP(ViewTracker) {
  routing::Dispatcher m_dispatcher{"g0", routing::DispatcherLimits{}};
  gateway::ViewTracker m_views{"g0", m_dispatcher,
                               routing::ConfirmationLimits{}};

  void setup() override {
    base::RuntimeClock::Pause();
    m_views.ConfirmMembership(base::RuntimeClock::now(), true);
  }
  void teardown() override { base::RuntimeClock::Resume(); }
  bool IsReady() { return m_views.IsReady(base::RuntimeClock::now()); }
};

TEST(ViewTracker, IsNotReadyWithoutAViewConfirmedAsTheNewest) {
  m_views.ConfirmByStore(0, base::RuntimeClock::now());
  CHECK_FALSE(IsReady());
  m_views.ReplaceViewIfNewer(MakeView(3), "test");
  base::RuntimeClock::Advance(seconds(6));
  CHECK_FALSE(IsReady());
  m_views.ConfirmByStore(3, base::RuntimeClock::now());
  CHECK_TRUE(IsReady());
  // A newer view exists, so the current one is not confirmed.
  base::RuntimeClock::Advance(seconds(4));
  m_views.ConfirmByStore(4, base::RuntimeClock::now());
  base::RuntimeClock::Advance(seconds(2));
  CHECK_FALSE(IsReady());
}

TEST(ViewTracker, IsNotReadyWhenResumedAfterAPause) {
  m_views.ReplaceViewIfNewer(MakeView(3), "test");
  const base::TimePoint sent_at = base::RuntimeClock::now();
  // The responses arrive before the pause and are processed after it.
  base::RuntimeClock::Advance(seconds(60));
  m_views.ConfirmByStore(3, sent_at);
  control::Digest digest;
  digest.gateway = "g1";
  digest.view_version = 3;
  digest.confirmed_age_milliseconds = 100;
  m_views.MergeDigest(digest, sent_at);
  CHECK_FALSE(IsReady());
}

TEST(ViewTracker, IgnoresOlderViews) {
  m_views.ReplaceViewIfNewer(MakeView(5), "test");
  m_views.ReplaceViewIfNewer(MakeView(4), "peer");
  LONGS_EQUAL(5, m_views.GetVersion());
  control::ViewPush push;
  push.view = MakeView(3);
  m_views.ApplyPush(push);
  LONGS_EQUAL(5, m_views.GetVersion());
}

TEST(ViewTracker, RefusesADeltaFromAnotherVersion) {
  m_views.ReplaceViewIfNewer(MakeView(5), "test");
  control::ViewPush push;
  push.delta = routing::MakeDelta(MakeView(6), MakeView(7));
  CHECK_FALSE(m_views.ApplyPush(push));
  LONGS_EQUAL(5, m_views.GetVersion());
  push.delta = routing::MakeDelta(MakeView(5), MakeView(7));
  CHECK_TRUE(m_views.ApplyPush(push));
  LONGS_EQUAL(7, m_views.GetVersion());
  // A duplicate that arrives late has no effect.
  CHECK_TRUE(m_views.ApplyPush(push));
  LONGS_EQUAL(7, m_views.GetVersion());
}

TEST(ViewTracker,
     StaysReadyWithItsLastViewWhileMostMembersCannotReachTheStore) {
  m_views.ReplaceViewIfNewer(MakeView(3), "test");
  m_views.ConfirmByStore(3, base::RuntimeClock::now());
  base::RuntimeClock::Advance(seconds(20));
  m_views.RecordStoreUnreachable();
  CHECK_FALSE(IsReady());
  control::Digest digest;
  digest.gateway = "g1";
  digest.view_version = 3;
  digest.confirmed_age_milliseconds = 20'000;
  digest.reports["g1"] = {0, false};
  m_views.MergeDigest(digest, base::RuntimeClock::now());
  CHECK_TRUE(IsReady());
}
