// Moves, waves and versions through real processes that are killed and paused.
#include <CppUTest/TestHarness.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "harness/load.h"
#include "harness/sections.h"
#include "harness/system.h"
#include "harness/wait.h"

namespace harness = shallotwick::harness;
namespace http = shallotwick::http;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kPromise = 4;

nlohmann::json Get(harness::System& system, const std::string& path) {
  return nlohmann::json::parse(system.GetAdmin(path), nullptr, false);
}

int CountServing(harness::System& system, const std::string& pool) {
  const auto body = Get(system, "/v1/hosts?pool=" + pool);
  int serving = 0;
  if (body.is_object() && body.contains("hosts")) {
    for (const auto& host : body["hosts"]) {
      serving += host["state"] == "serving" ? 1 : 0;
    }
  }
  return serving;
}

bool IsWaveDone(harness::System& system, const std::string& wave) {
  const auto body = Get(system, "/v1/waves");
  if (!body.is_object() || !body.contains("waves")) {
    return false;
  }
  for (const auto& entry : body["waves"]) {
    if (entry["wave"] == wave) {
      return entry["left"] == 0 && entry["in_maintenance"] == 0;
    }
  }
  return false;
}

int CountInMaintenance(harness::System& system) {
  const auto body = Get(system, "/v1/waves");
  int count = 0;
  if (body.is_object() && body.contains("waves")) {
    for (const auto& entry : body["waves"]) {
      count += entry["in_maintenance"].get<int>();
    }
  }
  return count;
}

std::unique_ptr<harness::System> StartSystem(harness::SystemOptions options) {
  options.hosts = 8;
  options.reboot_milliseconds = 150;
  auto system = std::make_unique<harness::System>(options);
  const http::Response office =
      system->Submit("office", harness::MakeOfficeSection(1, 1));
  LONGS_EQUAL_TEXT(200, office.status, office.body.c_str());
  const http::Response quotes =
      system->Submit("quotes", harness::MakeTeamSection("quotes", kPromise, 1));
  LONGS_EQUAL_TEXT(200, quotes.status, quotes.body.c_str());
  if (!system->WaitUntilInForce()) {
    FAIL(("not in force: " + system->Describe()).c_str());
  }
  if (!harness::WaitFor(
          [&] { return CountServing(*system, "quotes") == kPromise; })) {
    FAIL(("not all hosts serve: " + system->Describe()).c_str());
  }
  return system;
}

harness::LoadOptions MakeLoad(harness::System& system, int gateways) {
  harness::LoadOptions options;
  options.service = "quotes";
  options.work_milliseconds = 10;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    options.gateway_addresses.push_back(
        system.GetGatewayAddress(static_cast<size_t>(gateway)));
  }
  return options;
}

std::string MakeWaveSection(const std::string& wave) {
  return harness::WithWave(harness::MakeTeamSection("quotes", kPromise, 1),
                           wave, "quotes", 3);
}

// The process of the controller that holds the lease.
size_t FindActing(harness::System& system) {
  size_t acting = 0;
  std::string newest;
  for (size_t number = 0; number < system.GetControllers().size(); ++number) {
    const auto events =
        system.GetControllers()[number]->FindEvents("lease-acquired");
    if (!events.empty() && events.back().at("time") > newest) {
      newest = events.back().at("time");
      acting = number;
    }
  }
  return acting;
}

// What must hold after any wave under load.
void CheckNothingWasCutOff(harness::System& system,
                           const harness::LoadResult& result) {
  const auto record = nlohmann::json::parse(system.GetRecord(false));
  LONGS_EQUAL(0, record.at("cut_by_reboot").get<int>());
  LONGS_EQUAL(0, result.wrong_answers);
  LONGS_EQUAL(0, result.unknown);
}

}  // namespace

TEST_GROUP(Fleet) {
  std::unique_ptr<harness::System> m_system;

  // The store goes away for longer than the lapse while each host of a pool
  // holds a request; a wave waits for all of them.
  void CheckOutageCutsOffNothing(const harness::SystemOptions& options) {
    m_system = StartSystem(options);
    std::string section = MakeWaveSection("w1");
    const std::string deadline = "deadline_ms: 5000";
    section.replace(section.find(deadline), deadline.size(),
                    "deadline_ms: 30000");
    std::string without_wave = section.substr(0, section.find("waves:"));
    LONGS_EQUAL(200, m_system->Submit("quotes", without_wave).status);
    CHECK_TRUE(m_system->WaitUntilInForce());
    // One request on each host, longer than the outage.
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kPromise; ++caller) {
      callers.emplace_back([&] {
        m_system->Send(
            0,
            {"GET",
             "/s/quotes/slow",
             {{"Standin-Request", "slow"}, {"Standin-Work-Ms", "12000"}},
             ""},
            {milliseconds(1'000), seconds(30), seconds(30)});
      });
    }
    CHECK_TRUE(harness::WaitFor([&] {
      const auto record = nlohmann::json::parse(m_system->GetRecord(true));
      return record.at("starts").value("slow", 0) == kPromise;
    }));
    LONGS_EQUAL(200, m_system->Submit("quotes", section).status);
    CHECK_TRUE(
        harness::WaitFor([&] { return CountInMaintenance(*m_system) > 0; }));
    m_system->SetPlatformFaults(R"({"mode":"down"})");
    std::this_thread::sleep_for(seconds(6));
    m_system->SetPlatformFaults("{}");
    for (std::thread& thread : callers) {
      thread.join();
    }
    CHECK_TRUE(harness::WaitFor([&] { return IsWaveDone(*m_system, "w1"); }));
    const auto record = nlohmann::json::parse(m_system->GetRecord(false));
    const int cut = record.at("cut_by_reboot").get<int>();
    if (cut != 0) {
      FAIL(("cut by reboot: " + std::to_string(cut) + m_system->Describe())
               .c_str());
    }
  }
};

TEST(Fleet, AWaveSurvivesTheDeathOfItsControllerAndCutsNothingOff) {
  harness::SystemOptions options;
  options.controllers = 3;
  m_system = StartSystem(options);
  harness::Load load(MakeLoad(*m_system, 2));
  LONGS_EQUAL(200, m_system->Submit("quotes", MakeWaveSection("w1")).status);
  for (int kill = 0; kill < 2; ++kill) {
    CHECK_TRUE(
        harness::WaitFor([&] { return CountInMaintenance(*m_system) > 0; }));
    m_system->GetControllers()[FindActing(*m_system)]->Kill();
  }
  bool kept_budget = true;
  CHECK_TRUE(harness::WaitFor([&] {
    kept_budget = kept_budget && CountServing(*m_system, "quotes") >= 3;
    return IsWaveDone(*m_system, "w1");
  }));
  CHECK_TRUE(kept_budget);
  CheckNothingWasCutOff(*m_system, load.Stop());
}

TEST(Fleet, AControllerPausedThroughATakeOverChangesNothingWhenItResumes) {
  m_system = StartSystem({});
  harness::Load load(MakeLoad(*m_system, 2));
  LONGS_EQUAL(200, m_system->Submit("quotes", MakeWaveSection("w1")).status);
  CHECK_TRUE(
      harness::WaitFor([&] { return CountInMaintenance(*m_system) > 0; }));
  const size_t paused = FindActing(*m_system);
  m_system->GetControllers()[paused]->Signal(SIGSTOP);
  CHECK_TRUE(harness::WaitFor([&] { return FindActing(*m_system) != paused; }));
  m_system->GetControllers()[paused]->Signal(SIGCONT);
  bool kept_budget = true;
  CHECK_TRUE(harness::WaitFor([&] {
    kept_budget = kept_budget && CountServing(*m_system, "quotes") >= 3;
    return IsWaveDone(*m_system, "w1");
  }));
  CHECK_TRUE(kept_budget);
  CHECK_TRUE(harness::WaitFor([&] {
    return !m_system->GetControllers()[paused]
                ->FindEvents("lease-lost")
                .empty();
  }));
  CheckNothingWasCutOff(*m_system, load.Stop());
}

TEST(Fleet, APausedGatewayHoldsADrainUpAndItsRequestsAreNotCutOff) {
  m_system = StartSystem({});
  std::thread slow([&] {
    // In flight at gateway-0 on one of the hosts while it is paused.
    for (int request = 0; request < 4; ++request) {
      m_system->Send(
          0, {"GET",
              "/s/quotes/slow",
              {{"Standin-Request", "slow"}, {"Standin-Work-Ms", "1000"}},
              ""});
    }
  });
  CHECK_TRUE(harness::WaitFor([&] {
    const auto record = nlohmann::json::parse(m_system->GetRecord(true));
    return record.at("starts").value("slow", 0) > 0;
  }));
  m_system->GetGateways()[0]->Signal(SIGSTOP);
  LONGS_EQUAL(200, m_system->Submit("quotes", MakeWaveSection("w1")).status);
  CHECK_TRUE(
      harness::WaitFor([&] { return CountInMaintenance(*m_system) > 0; }));
  std::this_thread::sleep_for(seconds(2));
  auto record = nlohmann::json::parse(m_system->GetRecord(false));
  LONGS_EQUAL(0, record.at("reboots").get<int>());
  m_system->GetGateways()[0]->Signal(SIGCONT);
  CHECK_TRUE(harness::WaitFor([&] { return IsWaveDone(*m_system, "w1"); }));
  slow.join();
  record = nlohmann::json::parse(m_system->GetRecord(false));
  LONGS_EQUAL(0, record.at("cut_by_reboot").get<int>());
}

TEST(Fleet, AKilledGatewayHoldsADrainUpOnlyUntilItsMembershipHasLapsed) {
  harness::SystemOptions options;
  options.controller_flags = {"--member-lapse-ms", "4000"};
  m_system = StartSystem(options);
  m_system->GetGateways()[1]->Kill();
  LONGS_EQUAL(200, m_system->Submit("quotes", MakeWaveSection("w1")).status);
  CHECK_TRUE(harness::WaitFor([&] { return IsWaveDone(*m_system, "w1"); }));
  const auto gateways = Get(*m_system, "/v1/gateways").at("gateways");
  LONGS_EQUAL(1, gateways.size());
}

TEST(Fleet, AHostThatIsListedAsLeavingGetsNoNewWork) {
  m_system = StartSystem({});
  const auto hosts = Get(*m_system, "/v1/hosts?pool=quotes").at("hosts");
  const std::string leaving = hosts.at(0).at("name");
  m_system->SetHostStatus(leaving, "leaving");
  CHECK_TRUE(harness::WaitFor([&] {
    return CountServing(*m_system, "quotes") >= kPromise &&
           Get(*m_system, "/v1/hosts").dump().find("leave") !=
               std::string::npos;
  }));
  CHECK_TRUE(m_system->WaitUntilInForce());
  const auto starts_on = [&](const std::string& host) {
    return nlohmann::json::parse(m_system->GetRecord(false))
        .at("starts_by_host")
        .value(host, 0);
  };
  // Each gateway has acknowledged a view without it by now or soon.
  CHECK_TRUE(harness::WaitFor([&] {
    const int before = starts_on(leaving);
    for (int request = 0; request < 40; ++request) {
      m_system->Send(static_cast<size_t>(request % 2),
                     {"GET", "/s/quotes/x", {{"Standin-Request", "x"}}, ""});
    }
    return starts_on(leaving) == before;
  }));
}

TEST(Fleet, GatewaysReplacedWithNothingKeptComeBackWithTheAcceptedVersion) {
  m_system = StartSystem({});
  const auto version =
      Get(*m_system, "/v1/document").at("version").get<uint64_t>();
  for (auto& gateway : m_system->GetGateways()) {
    gateway->Kill();
  }
  for (int number = 0; number < 2; ++number) {
    m_system->GetGateways()[static_cast<size_t>(number)] =
        m_system->StartGateway("gateway-" + std::to_string(number));
  }
  CHECK_TRUE(m_system->WaitUntilInForce());
  for (auto& gateway : m_system->GetGateways()) {
    for (const auto& event : gateway->FindEvents("view-in-force")) {
      CHECK_TEXT(std::stoull(event.at("document_version")) >= version,
                 gateway->ReadLog().c_str());
    }
    CHECK_TRUE(gateway->FindEvents("view-refused").empty());
  }
}

TEST(Fleet, TheStoreDownStartsNothingUnsafeAndTheWaveGoesOnAfterwards) {
  m_system = StartSystem({});
  harness::LoadOptions load_options = MakeLoad(*m_system, 2);
  load_options.post_every = 0;
  harness::Load load(load_options);
  LONGS_EQUAL(200, m_system->Submit("quotes", MakeWaveSection("w1")).status);
  CHECK_TRUE(
      harness::WaitFor([&] { return CountInMaintenance(*m_system) > 0; }));
  m_system->SetPlatformFaults(R"({"mode":"down"})");
  const uint64_t sent = load.GetSent();
  std::this_thread::sleep_for(seconds(8));
  CHECK_TRUE(load.GetSent() > sent + 500);
  m_system->SetPlatformFaults("{}");
  CHECK_TRUE(harness::WaitFor([&] { return IsWaveDone(*m_system, "w1"); }));
  const harness::LoadResult result = load.Stop();
  CheckNothingWasCutOff(*m_system, result);
  LONGS_EQUAL(0, result.not_run);
}

TEST(Fleet, AnOutageOfTheStoreCountsNoGatewayOut) {
  harness::SystemOptions options;
  options.controller_flags = {"--member-lapse-ms", "4000"};
  CheckOutageCutsOffNothing(options);
}

TEST(Fleet, AnOutageOfTheStoreCountsNoGatewayOutThatRenewsOften) {
  harness::SystemOptions options;
  options.gateway_flags = {"--membership-limit-ms", "2000"};
  options.controller_flags = {"--member-lapse-ms", "4000"};
  CheckOutageCutsOffNothing(options);
}

TEST(Fleet, ARackThatFailsWithinAWaveStopsItUntilTheBudgetIsFreeAgain) {
  m_system = StartSystem({});
  LONGS_EQUAL(200, m_system->Submit("quotes", MakeWaveSection("w1")).status);
  CHECK_TRUE(
      harness::WaitFor([&] { return CountInMaintenance(*m_system) > 0; }));
  const std::vector<std::string> rack = {"h0", "h1", "h2", "h3"};
  for (const std::string& host : rack) {
    m_system->SetHostStatus(host, "dead");
  }
  // What was begun comes to its end, and then nothing new is begun: hosts of
  // the rack are in the pool, and its budget is 1.
  CHECK_TRUE(harness::WaitFor([&] {
    const std::string hosts = m_system->GetAdmin("/v1/hosts");
    return hosts.find("failed") != std::string::npos &&
           CountInMaintenance(*m_system) == 0;
  }));
  const auto reboots =
      nlohmann::json::parse(m_system->GetRecord(false)).at("reboots");
  CHECK_FALSE(IsWaveDone(*m_system, "w1"));
  std::this_thread::sleep_for(seconds(3));
  CHECK_TRUE(reboots ==
             nlohmann::json::parse(m_system->GetRecord(false)).at("reboots"));
  for (const std::string& host : rack) {
    m_system->SetHostStatus(host, "live");
  }
  CHECK_TRUE(harness::WaitFor([&] { return IsWaveDone(*m_system, "w1"); }));
}

TEST(Fleet, EditsRacingOnOneSectionExactlyOneWins) {
  m_system = StartSystem({});
  const std::string revision =
      Get(*m_system, "/v1/sections/quotes").at("revision").dump();
  std::atomic<int> accepted{0};
  std::atomic<int> stale{0};
  std::vector<std::thread> operators;
  for (int number = 0; number < 6; ++number) {
    operators.emplace_back([&, number] {
      const std::string path = m_system->GetDirectory() + "/edit-" +
                               std::to_string(number) + ".yaml";
      const std::string text = harness::MakeTeamSection("quotes", kPromise, 1) +
                               "quota: " + std::to_string(number + 1) + "\n";
      FILE* file = std::fopen(path.c_str(), "w");
      std::fputs(text.c_str(), file);
      std::fclose(file);
      const auto result = m_system->RunCtl(
          "quotes",
          {"section", "submit", "quotes", path, "--revision", revision});
      accepted += result.exit_code == 0 ? 1 : 0;
      stale += result.exit_code == 5 ? 1 : 0;
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  LONGS_EQUAL(1, accepted.load());
  LONGS_EQUAL(5, stale.load());
}
