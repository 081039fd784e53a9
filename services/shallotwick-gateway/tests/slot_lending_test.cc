#include "../slot_lending.h"

#include <CppUTest/TestHarness.h>

#include <thread>

#include "routing/slot_shares.h"

namespace control = shallotwick::control;
namespace gateway = shallotwick::gateway;
namespace records = shallotwick::records;
namespace routing = shallotwick::routing;

using std::chrono::milliseconds;

namespace {

constexpr int kSlots = 8;

// Returns the name of a host whose slots g0 owns.
std::string FindHostOwnedByPeer() {
  std::string host = "h";
  while (routing::OrderByRendezvous(host, {"g0", "g1"}).front() != "g0") {
    host += "h";
  }
  return host;
}

}  // namespace

// The borrower is g1; g0 owns the slots of the only host.
TEST_GROUP(SlotLending) {
  const std::string m_host = FindHostOwnedByPeer();
  control::LinkThread m_links;
  routing::Dispatcher m_dispatcher{"g1", routing::DispatcherLimits{}};
  std::unique_ptr<gateway::SlotLending> m_lending;

  void setup() override {
    ActivateView(1, "a");
    gateway::SlotLendingOptions options;
    // The share is not restored while a test runs.
    options.borrower_timeout = std::chrono::hours(1);
    options.lender_timeout = std::chrono::hours(1);
    m_lending = std::make_unique<gateway::SlotLending>(
        gateway::SlotLender{"g1", "b"}, m_links, m_dispatcher, options);
  }
  void teardown() override {
    m_lending->Stop();
    m_links.Stop();
  }

  void ActivateView(uint64_t version, const std::string& owner_incarnation) {
    routing::RoutingView view;
    view.version = version;
    view.hosts[m_host] = routing::HostRoute{
        m_host, "127.0.0.1:1", "p", "dc-0", records::HostState::kServing,
        version};
    view.services["s"] =
        routing::ServiceRoute{"s", "p", kSlots, 64, 1000, {"GET"}};
    view.members["g0"] =
        routing::MemberRoute{"g0", "127.0.0.1:1", owner_incarnation};
    view.members["g1"] = routing::MemberRoute{"g1", "127.0.0.1:2", "b"};
    m_dispatcher.ReplaceView(view);
  }

  // Returns the allowance after the message.
  int Allow(const std::string& incarnation, uint64_t sequence, int slots) {
    const control::SlotReports reports = m_lending->ApplyAllowances(
        {"g0", incarnation, sequence, {{m_host, slots}}});
    return reports.reports.at(m_host).allowance;
  }

  // Repeats a message until it is applied, which it is as soon as the lending
  // has seen the view.
  bool WaitUntilAllowed(const std::string& incarnation, uint64_t* sequence,
                        int slots) {
    constexpr int kAttempts = 500;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      if (Allow(incarnation, ++*sequence, slots) == slots) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }
};

TEST(SlotLending, AnOwnerThatHasRestartedIsHeardBeforeItsSequenceCatchesUp) {
  uint64_t sequence = 100'000;
  CHECK_TRUE(WaitUntilAllowed("a", &sequence, 6));
  ActivateView(2, "c");
  uint64_t restarted_sequence = 0;
  CHECK_TRUE(WaitUntilAllowed("c", &restarted_sequence, 2));
}

TEST(SlotLending, ALateMessageOfAnOwnersFormerIncarnationIsNotApplied) {
  uint64_t sequence = 100'000;
  CHECK_TRUE(WaitUntilAllowed("a", &sequence, 6));
  ActivateView(2, "c");
  uint64_t restarted_sequence = 0;
  CHECK_TRUE(WaitUntilAllowed("c", &restarted_sequence, 2));
  LONGS_EQUAL(2, Allow("a", sequence + 1, 7));
  LONGS_EQUAL(2, Allow("c", restarted_sequence, 7));
  LONGS_EQUAL(7, Allow("c", restarted_sequence + 1, 7));
}
