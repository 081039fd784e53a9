// Two systems on one network: what one sends must not change the other.
#include <CppUTest/TestHarness.h>

#include <future>
#include <nlohmann/json.hpp>

#include "control/link_thread.h"
#include "control/message_codec.h"
#include "control/messages.h"
#include "harness/sections.h"
#include "harness/system.h"
#include "harness/wait.h"

namespace control = shallotwick::control;
namespace fleet = shallotwick::fleet;
namespace harness = shallotwick::harness;
namespace http = shallotwick::http;
namespace wire = shallotwick::link;
namespace routing = shallotwick::routing;

namespace {

// Starts a team's service on a system.
void StartService(harness::System& system, const std::string& team) {
  LONGS_EQUAL(200,
              system.Submit("office", harness::MakeOfficeSection(0, 1)).status);
  LONGS_EQUAL(200,
              system.Submit(team, harness::MakeTeamSection(team, 4, 1)).status);
  CHECK_TRUE(system.WaitUntilInForce());
}

// Makes the system's view versions higher than those of one that was just
// started.
void RaiseVersions(harness::System& system, const std::string& team) {
  for (int quota = 1; quota <= 8; ++quota) {
    LONGS_EQUAL(200,
                system
                    .Submit(team, harness::MakeTeamSection(team, 4, 1) +
                                      "quota: " + std::to_string(quota) + "\n")
                    .status);
    CHECK_TRUE(system.WaitUntilInForce());
  }
}

int GetStatus(harness::System& system, const std::string& team) {
  http::Request request;
  request.target = "/s/" + team + "/shade";
  return system.Send(0, request).response.status;
}

std::string GetLinkAddress(const harness::Process& gateway) {
  return gateway.FindEvents("started").back().at("link");
}

}  // namespace

TEST_GROUP(ForeignPush){};

// A controller pushes views to a killed gateway until its membership lapses.
TEST(ForeignPush, AGatewayDoesNotTakeTheViewsOfAnotherSystem) {
  harness::System other({});
  StartService(other, "dye");
  RaiseVersions(other, "dye");
  const std::string link_address = GetLinkAddress(*other.GetGateways()[1]);
  other.GetGateways()[1]->Kill();
  harness::SystemOptions options;
  options.gateways = 1;
  options.gateway_flags = {"--link-listen", link_address};
  harness::System system(options);
  StartService(system, "quotes");
  int status = 0;
  const bool serves = harness::WaitFor([&] {
    status = GetStatus(system, "quotes");
    return status == 200;
  });
  CHECK_TRUE_TEXT(serves, ("last status " + std::to_string(status)).c_str());
}

// A gateway goes on to ask a killed peer for its view until the controllers
// count that one out.
TEST(ForeignPush, AGatewayDoesNotFetchTheViewsOfAnotherSystem) {
  harness::System other({});
  StartService(other, "dye");
  const std::string link_address = GetLinkAddress(*other.GetGateways()[1]);
  harness::SystemOptions options;
  options.gateways = 1;
  harness::System system(options);
  StartService(system, "quotes");
  RaiseVersions(system, "quotes");
  CHECK_TRUE(harness::WaitFor([&] { return GetStatus(other, "dye") == 200; }));
  other.GetGateways()[1]->Kill();
  system.SetExtraGatewayFlags({"--link-listen", link_address});
  const auto taker = system.StartGateway("gateway-9");
  CHECK_TRUE(
      harness::WaitFor([&] { return !taker->FindEvents("ready").empty(); }));
  CHECK_FALSE(
      harness::WaitFor([&] { return GetStatus(other, "quotes") != 404; },
                       std::chrono::seconds(5)));
  LONGS_EQUAL(200, GetStatus(other, "dye"));
  CHECK_FALSE(other.GetGateways()[0]->FindEvents("recipient-replaced").empty());
}

// Builds that name neither system nor incarnation push views like this.
TEST(ForeignPush, APushWithoutIdentityIsAcknowledgedButItsViewIsNotTaken) {
  harness::SystemOptions options;
  options.gateways = 1;
  harness::System system(options);
  StartService(system, "quotes");
  control::ViewPush push;
  push.view = routing::RoutingView{};
  push.view->version = 1'000'000;
  control::LinkThread sender;
  std::promise<wire::Reply> reply;
  sender.Send(
      {GetLinkAddress(*system.GetGateways()[0])},
      {control::kViewPath, control::Encode(push)}, std::chrono::seconds(5),
      [&reply](wire::Reply received) { reply.set_value(std::move(received)); });
  const auto acknowledgement = control::Decode<fleet::GatewayAcknowledgement>(
      reply.get_future().get().body);
  sender.Stop();
  CHECK_TRUE(acknowledgement.has_value());
  STRCMP_EQUAL("gateway-0", acknowledgement->gateway.c_str());
  CHECK_TRUE(acknowledgement->view_version > 0);
  CHECK_TRUE(acknowledgement->view_version < push.view->version);
  CHECK_TRUE(
      harness::WaitFor([&] { return GetStatus(system, "quotes") == 200; }));
}
