// Gateways that are cut off from the platform, from their peers, or from both.
#include <CppUTest/TestHarness.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "harness/sections.h"
#include "harness/system.h"
#include "harness/wait.h"

namespace harness = shallotwick::harness;
namespace http = shallotwick::http;

using std::chrono::seconds;

namespace {

constexpr int kPromise = 3;

std::unique_ptr<harness::System> StartSystem(int gateways) {
  harness::SystemOptions options;
  options.gateways = gateways;
  options.relay_gateway_0 = true;
  options.reboot_milliseconds = 150;
  options.gateway_flags = {"--membership-limit-ms", "4000"};
  auto system = std::make_unique<harness::System>(options);
  LONGS_EQUAL(
      200, system->Submit("office", harness::MakeOfficeSection(1, 1)).status);
  LONGS_EQUAL(
      200,
      system->Submit("quotes", harness::MakeTeamSection("quotes", kPromise, 1))
          .status);
  CHECK_TRUE(system->WaitUntilInForce());
  return system;
}

bool IsReady(harness::System& system, size_t gateway) {
  http::Request request;
  request.target = "/readyz";
  return system.Send(gateway, request).response.status == 200;
}

std::string Read(harness::System& system, size_t gateway,
                 const std::string& header) {
  const auto result = system.Send(
      gateway, {"GET", "/s/quotes/x", {{"Standin-Request", "x"}}, ""});
  return http::FindHeader(result.response.headers, header).value_or("none");
}

uint64_t GetViewVersion(harness::System& system, size_t gateway) {
  http::Request request;
  request.target = "/readyz";
  return nlohmann::json::parse(system.Send(gateway, request).response.body)
      .at("view_version")
      .get<uint64_t>();
}

}  // namespace

TEST_GROUP(CutOff) { std::unique_ptr<harness::System> m_system; };

TEST(CutOff, FromTheStoreAloneItServesOnAndGetsNewVersionsThroughOthers) {
  m_system = StartSystem(2);
  m_system->GetRelay().Cut();
  CHECK_TRUE(harness::WaitFor([&] {
    return !m_system->GetGateways()[0]->FindEvents("store-unreachable").empty();
  }));
  const uint64_t version = GetViewVersion(*m_system, 0);
  LONGS_EQUAL(200, m_system
                       ->Submit("quotes", harness::MakeTeamSection(
                                              "quotes", kPromise, 1, 7))
                       .status);
  CHECK_TRUE(
      harness::WaitFor([&] { return GetViewVersion(*m_system, 0) > version; }));
  // Far longer than a view may go without word that it is the newest.
  const auto end = std::chrono::steady_clock::now() + seconds(8);
  while (std::chrono::steady_clock::now() < end) {
    CHECK_TRUE(IsReady(*m_system, 0));
    STRCMP_EQUAL("complete", Read(*m_system, 0, "Shallotwick-Outcome").c_str());
  }
}

TEST(CutOff, FromStoreAndPeersItStopsSendingAndComesBackWithTheNewestView) {
  m_system = StartSystem(2);
  m_system->GetRelay().Cut();
  m_system->GetGateways()[1]->Signal(SIGSTOP);
  CHECK_TRUE(
      harness::WaitFor([&] { return !IsReady(*m_system, 0); }, seconds(15)));
  STRCMP_EQUAL("not-run", Read(*m_system, 0, "Shallotwick-Outcome").c_str());
  m_system->GetRelay().Mend();
  m_system->GetGateways()[1]->Signal(SIGCONT);
  CHECK_TRUE(harness::WaitFor([&] { return IsReady(*m_system, 0); }));
  CHECK_TRUE(harness::WaitFor([&] { return IsReady(*m_system, 1); }));
  for (const auto& gateway : m_system->GetGateways()) {
    uint64_t newest = 0;
    for (const auto& event : gateway->FindEvents("view-in-force")) {
      const uint64_t version = std::stoull(event.at("version"));
      CHECK_TRUE(version > newest);
      newest = version;
    }
  }
}

TEST(CutOff, AHostIsNotRebootedUnderAGatewayThatIsCutOffAndMayStillSend) {
  m_system = StartSystem(2);
  // Paused: it can neither acknowledge nor renew, and may have sent.
  m_system->GetGateways()[0]->Signal(SIGSTOP);
  LONGS_EQUAL(
      200, m_system
               ->Submit("quotes", harness::WithWave(harness::MakeTeamSection(
                                                        "quotes", kPromise, 1),
                                                    "w1", "quotes", 1))
               .status);
  CHECK_TRUE(harness::WaitFor([&] {
    return m_system->GetAdmin("/v1/hosts").find("draining") !=
           std::string::npos;
  }));
  // A lease of the gateway would have ended by then.
  std::this_thread::sleep_for(seconds(8));
  const auto record = nlohmann::json::parse(m_system->GetRecord(false));
  LONGS_EQUAL(0, record.at("reboots").get<int>());
  m_system->GetGateways()[0]->Signal(SIGCONT);
  CHECK_TRUE(harness::WaitFor([&] {
    return nlohmann::json::parse(m_system->GetRecord(false))
               .at("reboots")
               .get<int>() == kPromise;
  }));
}

TEST(CutOff, WithTheStoreDownForAllAReplacedGatewayGetsItsViewFromAPeer) {
  m_system = StartSystem(3);
  const uint64_t version = GetViewVersion(*m_system, 1);
  const auto events = m_system->GetGateways()[1]->FindEvents("started");
  m_system->SetPlatformFaults(R"({"mode":"down"})");
  m_system->GetGateways()[2]->Kill();
  m_system->SetExtraGatewayFlags({"--peers", events.back().at("link")});
  m_system->GetGateways()[2] = m_system->StartGateway("gateway-2");
  CHECK_TRUE(harness::WaitFor([&] {
    const auto held = m_system->GetGateways()[2]->FindEvents("view-in-force");
    return !held.empty() && std::stoull(held.back().at("version")) >= version;
  }));
  CHECK_TRUE(harness::WaitFor([&] {
    return !m_system->GetGateways()[2]->FindEvents("ready").empty();
  }));
}
