#include "harness/system.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "harness/wait.h"
#include "http/blocking_client.h"

namespace shallotwick::harness {
namespace {

std::string MakeTokens() {
  std::string tokens;
  for (const char* team : kTeams) {
    tokens +=
        std::string(tokens.empty() ? "" : ",") + team + ":" + TokenOf(team);
  }
  return tokens;
}

}  // namespace

std::string TokenOf(const std::string& team) { return "token-of-" + team; }

System::System(const SystemOptions& options)
    : m_options(options), m_directory(MakeLogDirectory()) {
  StartStandins();
  ListHosts();
  m_admin = std::make_shared<Process>(
      "services/shallotwick-admin/shallotwick-admin",
      std::vector<std::string>{"--platform", m_platform_address},
      LogPath("admin"),
      std::map<std::string, std::string>{
          {"SHALLOTWICK_TEAM_TOKENS", MakeTokens()}});
  m_admin_address = m_admin->WaitForStarted("http");
  for (int number = 0; number < options.controllers; ++number) {
    m_controllers.push_back(
        StartController("controller-" + std::to_string(number)));
  }
  for (int number = 0; number < options.gateways; ++number) {
    const bool is_relayed = number == 0 && options.relay_gateway_0;
    m_gateways.push_back(StartGateway("gateway-" + std::to_string(number),
                                      is_relayed ? m_relay->GetAddress() : ""));
    m_gateway_addresses.push_back(m_gateways.back()->WaitForStarted("http"));
  }
  // A section is rejected if it promises more hosts than are known.
  if (options.controllers > 0 &&
      !WaitFor([this] { return CountKnownHosts() == m_options.hosts; })) {
    throw std::runtime_error("the controller has not listed all hosts");
  }
}

int System::CountKnownHosts() {
  const auto body =
      nlohmann::json::parse(GetAdmin("/v1/hosts"), nullptr, false);
  return body.is_object() ? static_cast<int>(body["hosts"].size()) : 0;
}

System::~System() {
  m_gateways.clear();
  m_controllers.clear();
  m_admin.reset();
  m_platform.reset();
  m_executor.reset();
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

std::string System::LogPath(const std::string& name) const {
  return m_directory + "/" + name + ".log";
}

void System::StartStandins() {
  m_executor = std::make_shared<Process>(
      "tests/standin-executor/standin-executor",
      std::vector<std::string>{"--hosts", std::to_string(m_options.hosts),
                               "--slots", std::to_string(m_options.slots)},
      LogPath("executor"));
  m_executor_control = m_executor->WaitForStarted("http");
  m_platform = std::make_shared<Process>(
      "tests/standin-platform/standin-platform",
      std::vector<std::string>{"--executor-control", m_executor_control,
                               "--reboot-ms",
                               std::to_string(m_options.reboot_milliseconds)},
      LogPath("platform"));
  m_platform_address = m_platform->WaitForStarted("http");
  m_relay = std::make_unique<Relay>(m_platform_address);
}

void System::ListHosts() {
  const http::TransferResult answer =
      http::SendAndWait("http://" + m_executor_control + "/hosts", {});
  const nlohmann::json hosts = nlohmann::json::parse(answer.response.body);
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, host] : hosts.items()) {
    const int number = std::stoi(name.substr(1));
    const int rack = number / m_options.hosts_per_rack;
    m_host_addresses[name] = host.at("address");
    list.push_back(
        {{"name", name},
         {"address", host.at("address")},
         {"data_centre", "dc-" + std::to_string(rack % m_options.data_centres)},
         {"rack", "rack-" + std::to_string(rack)},
         {"processors", 32},
         {"memory_gigabytes", 64},
         {"accelerators", 0},
         {"status", "live"},
         {"boot_id", "boot-1"}});
  }
  http::SendAndWait(
      "http://" + m_platform_address + "/standin/hosts",
      {"POST", "/", {}, nlohmann::json({{"hosts", list}}).dump()});
}

std::shared_ptr<Process> System::StartController(const std::string& name) {
  std::vector<std::string> flags = {"--name", name, "--platform",
                                    m_platform_address};
  flags.insert(flags.end(), m_options.controller_flags.begin(),
               m_options.controller_flags.end());
  auto process = std::make_shared<Process>(
      "services/shallotwick-controller/shallotwick-controller", flags,
      LogPath(name + "-" + std::to_string(++m_starts)));
  process->WaitForStarted("port");
  return process;
}

std::shared_ptr<Process> System::StartGateway(const std::string& name,
                                              const std::string& platform) {
  std::vector<std::string> flags = {
      "--name",          name,
      "--platform",      platform.empty() ? m_platform_address : platform,
      "--data-centre",   "dc-0",
      "--stop-delay-ms", "200"};
  flags.insert(flags.end(), m_options.gateway_flags.begin(),
               m_options.gateway_flags.end());
  auto process = std::make_shared<Process>(
      "services/shallotwick-gateway/shallotwick-gateway", flags,
      LogPath(name + "-" + std::to_string(++m_starts)));
  process->WaitForStarted("http");
  return process;
}

http::Response System::Submit(const std::string& team,
                              const std::string& text) {
  const std::string url = "http://" + m_admin_address + "/v1/sections/" + team;
  const http::TransferResult present = http::SendAndWait(url, {});
  if (present.outcome != http::TransferOutcome::kComplete) {
    return {0, {}, present.error};
  }
  std::string revision = "0";
  if (present.response.status == 200) {
    revision =
        nlohmann::json::parse(present.response.body).at("revision").dump();
  }
  http::TransferResult result = http::SendAndWait(
      url,
      {"PUT",
       "/",
       {{"If-Match", revision}, {"Authorization", "Bearer " + TokenOf(team)}},
       text});
  // Without a complete answer the status is that of an empty response, 200.
  if (result.outcome != http::TransferOutcome::kComplete) {
    return {0, {}, result.error};
  }
  return result.response;
}

ProgramResult System::RunCtl(const std::string& team,
                             const std::vector<std::string>& arguments) {
  return RunProgram("tools/shallotwickctl/shallotwickctl", arguments,
                    m_directory,
                    {{"SHALLOTWICK_ADMIN", m_admin_address},
                     {"SHALLOTWICK_TOKEN", TokenOf(team)}});
}

bool System::WaitUntilInForce() {
  const size_t expected = m_gateways.size();
  return WaitFor([this, expected] {
    const nlohmann::json body =
        nlohmann::json::parse(GetAdmin("/v1/gateways"), nullptr, false);
    if (body.is_discarded() || !body.contains("gateways")) {
      return false;
    }
    size_t in_force = 0;
    for (const auto& gateway : body["gateways"]) {
      in_force += gateway["ready"] && gateway["in_force"] ? 1 : 0;
    }
    return in_force == expected;
  });
}

http::TransferResult System::Send(size_t gateway, http::Request request,
                                  const http::TransferOptions& options) {
  const std::string url =
      "http://" + m_gateway_addresses.at(gateway) + request.target;
  return http::SendAndWait(url, std::move(request), options);
}

std::string System::GetAdmin(const std::string& path) {
  return http::SendAndWait("http://" + m_admin_address + path, {})
      .response.body;
}

std::string System::Describe() {
  std::string text;
  for (const char* path : {"/v1/gateways", "/v1/hosts"}) {
    text += std::string("\n") + path + ": " + GetAdmin(path);
  }
  return text + ReadLogEnds();
}

std::string System::ReadLogEnds() const {
  constexpr size_t kMaxBytes = 6'000;
  std::string text;
  for (const auto& entry : std::filesystem::directory_iterator(m_directory)) {
    if (entry.path().extension() != ".log") {
      continue;
    }
    std::ifstream file(entry.path());
    const std::string log{std::istreambuf_iterator<char>(file),
                          std::istreambuf_iterator<char>()};
    text += "\n" + entry.path().filename().string() + ":\n" +
            log.substr(log.size() - std::min(log.size(), kMaxBytes));
  }
  return text;
}

std::string System::GetExecutorHosts() {
  return http::SendAndWait("http://" + m_executor_control + "/hosts", {})
      .response.body;
}

std::string System::GetRecord(bool with_requests) {
  const std::string path = with_requests ? "/record/requests" : "/record";
  return http::SendAndWait("http://" + m_executor_control + path, {})
      .response.body;
}

void System::Control(const std::string& executor_path) {
  http::SendAndWait("http://" + m_executor_control + executor_path,
                    {"POST", "/", {}, ""});
}

void System::SetPlatformFaults(const std::string& json) {
  http::SendAndWait("http://" + m_platform_address + "/standin/faults",
                    {"POST", "/", {}, json});
}

void System::SetHostStatus(const std::string& host, const std::string& status) {
  http::SendAndWait(
      "http://" + m_platform_address + "/standin/status/" + host,
      {"POST", "/", {}, nlohmann::json({{"status", status}}).dump()});
}

}  // namespace shallotwick::harness
