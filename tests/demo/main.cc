#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "base/stop_signal.h"
#include "harness/load.h"
#include "harness/sections.h"
#include "harness/system.h"
#include "harness/wait.h"

namespace {

namespace harness = shallotwick::harness;
namespace http = shallotwick::http;

void Say(const std::string& line) { std::cout << line << std::endl; }

void Require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::runtime_error(what);
  }
}

nlohmann::json Parse(const std::string& text) {
  return nlohmann::json::parse(text);
}

// Hosts of a pool that serve.
int CountServing(harness::System& system, const std::string& pool) {
  int serving = 0;
  const auto hosts = Parse(system.GetAdmin("/v1/hosts?pool=" + pool));
  for (const auto& host : hosts.at("hosts")) {
    serving += host.at("state") == "serving" ? 1 : 0;
  }
  return serving;
}

bool IsWaveDone(harness::System& system, const std::string& wave) {
  const auto waves = Parse(system.GetAdmin("/v1/waves"));
  for (const auto& entry : waves.at("waves")) {
    if (entry.at("wave") == wave) {
      return entry.at("left") == 0 && entry.at("in_maintenance") == 0;
    }
  }
  return false;
}

void Submit(harness::System& system, const std::string& team,
            const std::string& text) {
  const http::Response answer = system.Submit(team, text);
  Require(answer.status == 200,
          "the edit of " + team + " was not accepted: " + answer.body);
  Say("  edit of section '" + team + "': accepted as version " +
      Parse(answer.body).at("version").dump());
  Require(system.WaitUntilInForce(), "the version did not come into force");
  Say("  in force on every gateway");
}

void ShowRequest(harness::System& system, const std::string& method) {
  http::Request request{method,
                        "/s/quotes/shade",
                        {{"Standin-Request", "demo-" + method},
                         {"Idempotency-Key", "demo-" + method}},
                        method == "POST" ? "silk" : ""};
  const auto first = system.Send(0, request).response;
  Require(first.status == 200, method + " failed: " + first.body);
  Say("  " + method + " /s/quotes/shade at gateway-0: 200, run on " +
      http::FindHeader(first.headers, "Standin-Host").value_or("?"));
  if (method != "POST") {
    return;
  }
  const auto again = system.Send(1, request).response;
  Require(again.body == first.body, "the repeat got another answer");
  Say("  the same POST and key again at gateway-1: the kept answer, not run "
      "again");
}

void RunDemo(harness::System& system) {
  Say("1. Two teams write their sections");
  Submit(system, "office", harness::MakeOfficeSection(1, 1));
  Submit(system, "quotes", harness::MakeTeamSection("quotes", 4, 1));
  Require(harness::WaitFor(
              [&system] { return CountServing(system, "quotes") == 4; }),
          "the pool was not filled");
  Say("  4 hosts moved from the spare pool to 'quotes'");

  Say("2. Requests of both kinds");
  ShowRequest(system, "GET");
  ShowRequest(system, "POST");

  Say("3. A wave reboots every host of 'quotes' under load, and the pool "
      "grows");
  harness::LoadOptions options;
  options.service = "quotes";
  options.gateway_addresses = {system.GetGatewayAddress(0),
                               system.GetGatewayAddress(1)};
  harness::Load load(options);
  Submit(system, "quotes",
         harness::WithWave(harness::MakeTeamSection("quotes", 5, 1), "kernel-1",
                           "quotes", 1));
  Require(harness::WaitFor([&system] {
            return CountServing(system, "quotes") >= 4 &&
                   IsWaveDone(system, "kernel-1");
          }),
          "the wave did not end");
  const harness::LoadResult result = load.Stop();
  const auto record = Parse(system.GetRecord(false));
  Say("  hosts rebooted: " + record.at("reboots").dump() +
      ", requests cut off by a reboot: " + record.at("cut_by_reboot").dump());
  Say("  requests: " + std::to_string(result.sent) + " sent, " +
      std::to_string(result.complete) + " complete, " +
      std::to_string(result.not_run) + " refused as not run, " +
      std::to_string(result.unknown) + " unknown, " +
      std::to_string(result.wrong_answers) + " wrong answers");
  Require(record.at("cut_by_reboot") == 0, "a reboot cut requests off");
  Require(result.wrong_answers == 0 && result.no_answer == 0,
          "a caller got no answer or a wrong one");

  Say("4. What an operator sees");
  for (const char* what : {"gateways", "pools", "waves"}) {
    Say(system.RunCtl("quotes", {what, "list"}).output);
  }
}

void KeepRunning(harness::System& system) {
  Say("Running. Try, in another terminal:");
  Say("  export SHALLOTWICK_ADMIN=" + system.GetAdminAddress() +
      " SHALLOTWICK_TOKEN=" + harness::TokenOf("quotes"));
  Say("  build/tools/shallotwickctl/shallotwickctl pools list");
  Say("  build/tools/shallotwickctl/shallotwickctl section get quotes");
  Say("  curl http://" + system.GetGatewayAddress(0) + "/s/quotes/shade");
  Say("Logs are in " + system.GetDirectory() + ". Stop with Ctrl-C.");
  shallotwick::base::WaitForStopSignal();
}

}  // namespace

int main(int argc, char** argv) {
  const bool keep = argc > 1 && std::string(argv[1]) == "--keep";
  try {
    harness::SystemOptions options;
    options.hosts = 12;
    harness::System system(options);
    Say("shallotwick on loopback: 2 gateways, 2 controllers, 1 admin, 12 "
        "stand-in hosts in 3 racks");
    RunDemo(system);
    if (keep) {
      shallotwick::base::BlockStopSignals();
      KeepRunning(system);
    }
  } catch (const std::exception& error) {
    std::cerr << "demo failed: " << error.what() << "\n";
    return 1;
  }
  Say("Done.");
  return 0;
}
