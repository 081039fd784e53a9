// Two systems on one network: what one sends must not change the other.
#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "harness/sections.h"
#include "harness/system.h"
#include "harness/wait.h"

namespace harness = shallotwick::harness;
namespace http = shallotwick::http;

TEST_GROUP(ForeignPush){};

// A controller pushes views to a killed gateway until its membership lapses.
TEST(ForeignPush, AGatewayDoesNotTakeTheViewsOfAnotherSystem) {
  harness::System other({});
  LONGS_EQUAL(200,
              other.Submit("office", harness::MakeOfficeSection(0, 1)).status);
  LONGS_EQUAL(
      200, other.Submit("dye", harness::MakeTeamSection("dye", 4, 1)).status);
  CHECK_TRUE(other.WaitUntilInForce());
  const std::string link_address =
      other.GetGateways()[1]->FindEvents("started").back().at("link");
  other.GetGateways()[1]->Kill();
  harness::SystemOptions options;
  options.gateways = 1;
  options.gateway_flags = {"--link-listen", link_address};
  harness::System system(options);
  LONGS_EQUAL(200,
              system.Submit("office", harness::MakeOfficeSection(0, 1)).status);
  LONGS_EQUAL(
      200,
      system.Submit("quotes", harness::MakeTeamSection("quotes", 4, 1)).status);
  CHECK_TRUE(system.WaitUntilInForce());
  http::Request request;
  request.target = "/s/quotes/shade";
  int status = 0;
  const bool serves = harness::WaitFor([&] {
    status = system.Send(0, request).response.status;
    return status == 200;
  });
  CHECK_TRUE_TEXT(serves, ("last status " + std::to_string(status)).c_str());
}
