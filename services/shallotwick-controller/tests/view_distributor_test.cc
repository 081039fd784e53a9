#include "../view_distributor.h"

#include <CppUTest/TestHarness.h>

#include <thread>

#include "control/message_codec.h"
#include "control/messages.h"

namespace base = shallotwick::base;
namespace control = shallotwick::control;
namespace controller = shallotwick::controller;
namespace fleet = shallotwick::fleet;
namespace routing = shallotwick::routing;
namespace wire = shallotwick::link;

using std::chrono::milliseconds;

// A gateway that names no identity on the link and acknowledges every push.
TEST_GROUP(ViewDistributor) {
  control::LinkThread m_gateway;
  controller::ViewDistributor m_distributor;
  std::mutex m_mutex;
  std::vector<control::ViewPush> m_pushes;
  fleet::GatewayAcknowledgement m_acknowledgement{"g0", "i0", 5, {}};
  routing::RoutingView m_view;

  void setup() override {
    const uint16_t port = m_gateway.Listen(
        base::ParseEndpoint("127.0.0.1:0"),
        [this](const wire::Call& call, const wire::OnReply& reply) {
          std::lock_guard<std::mutex> lock(m_mutex);
          m_pushes.push_back(*control::Decode<control::ViewPush>(call.body));
          reply({wire::ReplyStatus::kOk, control::Encode(m_acknowledgement)});
        });
    m_view.version = 5;
    m_view.members["g0"] = {"g0", "127.0.0.1:" + std::to_string(port), "i0"};
  }
  void teardown() override {
    m_distributor.Stop();
    m_gateway.Stop();
  }

  // Distributes the view until the gateway has got `count` pushes of it.
  bool DistributeUntil(size_t count) {
    constexpr int kAttempts = 500;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      m_distributor.Distribute(m_view);
      std::this_thread::sleep_for(milliseconds(10));
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_pushes.size() >= count) {
        return true;
      }
    }
    return false;
  }
};

TEST(ViewDistributor, AGatewayThatAcknowledgedTheViewIsNotSentItAgain) {
  CHECK_TRUE(DistributeUntil(2));
  std::lock_guard<std::mutex> lock(m_mutex);
  CHECK_TRUE(m_pushes[0].view.has_value());
  CHECK_FALSE(m_pushes[1].view.has_value());
  CHECK_TRUE(m_distributor.DrainAcknowledgements().front() ==
             m_acknowledgement);
}

TEST(ViewDistributor, AnAcknowledgementOfAnotherIncarnationIsNotTaken) {
  m_acknowledgement.incarnation = "i9";
  CHECK_TRUE(DistributeUntil(2));
  std::lock_guard<std::mutex> lock(m_mutex);
  CHECK_TRUE(m_pushes[1].view.has_value());
  CHECK_TRUE(m_distributor.DrainAcknowledgements().empty());
}
