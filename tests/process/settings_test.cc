// What each program does with bad settings and with an unreachable platform.
#include <CppUTest/TestHarness.h>

#include <filesystem>

#include "harness/process.h"
#include "harness/system.h"
#include "harness/wait.h"
#include "http/blocking_client.h"

namespace harness = shallotwick::harness;
namespace http = shallotwick::http;

namespace {

const char* const kServers[] = {
    "services/shallotwick-gateway/shallotwick-gateway",
    "services/shallotwick-controller/shallotwick-controller",
    "services/shallotwick-admin/shallotwick-admin",
    "services/shallotwick-scheduler/shallotwick-scheduler"};

}  // namespace

TEST_GROUP(ProgramSettings) {
  std::string m_directory;

  void setup() override { m_directory = harness::MakeLogDirectory(); }
  void teardown() override { std::filesystem::remove_all(m_directory); }
};

TEST(ProgramSettings, AllFaultsAreReportedTogetherWithExitCodeTwo) {
  for (const char* program : kServers) {
    const auto result = harness::RunProgram(
        program, {"--platform", "nowhere", "--colour", "red"}, m_directory,
        {{"SHALLOTWICK_LISTEN", "localhost"}});
    LONGS_EQUAL(2, result.exit_code);
    for (const char* part : {"--platform", "SHALLOTWICK_LISTEN", "--colour"}) {
      CHECK_TEXT(result.output.find(part) != std::string::npos, part);
    }
  }
}

TEST(ProgramSettings, HelpListsEverySettingAndItsVariable) {
  for (const char* program : kServers) {
    const auto result =
        harness::RunProgram(program, {"--help"}, m_directory, {});
    LONGS_EQUAL(0, result.exit_code);
    CHECK_TRUE(result.output.find("SHALLOTWICK_PLATFORM") != std::string::npos);
  }
}

TEST(ProgramSettings, AnAddressInUseIsAFailureThatNamesIt) {
  harness::Process first(kServers[2],
                         {"--platform", "127.0.0.1:1", "--team-tokens", ""},
                         m_directory + "/first.log");
  const std::string address = first.WaitForStarted("http");
  const auto result = harness::RunProgram(
      kServers[2],
      {"--platform", "127.0.0.1:1", "--team-tokens", "", "--listen", address},
      m_directory, {});
  LONGS_EQUAL(1, result.exit_code);
  CHECK_TRUE(result.output.find("in use") != std::string::npos);
}

TEST(ProgramSettings, WithoutThePlatformAGatewayIsUpButNotReady) {
  harness::Process gateway(
      kServers[0],
      {"--name", "g", "--platform", "127.0.0.1:1", "--data-centre", "dc-0"},
      m_directory + "/gateway.log");
  const std::string address = gateway.WaitForStarted("http");
  LONGS_EQUAL(
      200,
      http::SendAndWait("http://" + address + "/healthz", {}).response.status);
  LONGS_EQUAL(
      503,
      http::SendAndWait("http://" + address + "/readyz", {}).response.status);
  CHECK_TRUE(harness::WaitFor([&] {
    const auto events = gateway.FindEvents("store-unreachable");
    return !events.empty() && events[0].at("address") == "127.0.0.1:1";
  }));
  LONGS_EQUAL(0, gateway.Stop());
}
