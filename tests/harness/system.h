#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "harness/process.h"
#include "harness/relay.h"
#include "http/transfer.h"

namespace shallotwick::harness {

struct SystemOptions {
  int hosts = 8;
  int hosts_per_rack = 4;
  int data_centres = 1;
  int gateways = 2;
  int controllers = 2;
  int slots = 8;
  int reboot_milliseconds = 300;
  std::vector<std::string> gateway_flags;
  // Gateway 0 reaches the platform through a relay that can be cut.
  bool relay_gateway_0 = false;
  std::vector<std::string> controller_flags;
};

// The whole system on loopback: stand-ins, gateways, controllers, admin. All
// addresses are free ones. Stops what it started when it goes.
class System {
 public:
  explicit System(const SystemOptions& options);
  ~System();
  System(const System&) = delete;
  System& operator=(const System&) = delete;

  // Submits a new section or an edit on its present text. Returns the answer;
  // without a complete one, status 0 and the error.
  http::Response Submit(const std::string& team, const std::string& text);
  // Runs shallotwickctl as an operator of the team would.
  ProgramResult RunCtl(const std::string& team,
                       const std::vector<std::string>& arguments);

  // Waits until all gateways are ready under the document's accepted version.
  bool WaitUntilInForce();

  http::TransferResult Send(size_t gateway, http::Request request,
                            const http::TransferOptions& options = {});
  // Where gateway 0 goes through a relay.
  Relay& GetRelay() { return *m_relay; }
  std::string GetAdmin(const std::string& path);
  // The hosts' addresses and running requests, as JSON.
  std::string GetExecutorHosts();
  // What admin says of gateways and hosts, and the ends of the logs: the text
  // of a test's failure, since the logs go with the system.
  std::string Describe();
  // What the executors did: the JSON of their record.
  std::string GetRecord(bool with_requests);
  void Control(const std::string& executor_path);
  void SetPlatformFaults(const std::string& json);
  void SetHostStatus(const std::string& host, const std::string& status);

  // `platform` is the address to reach the platform by, if not its own.
  std::shared_ptr<Process> StartGateway(const std::string& name,
                                        const std::string& platform = "");
  // Adds to the flags of gateways that are started from now on.
  void SetExtraGatewayFlags(const std::vector<std::string>& flags) {
    m_options.gateway_flags = flags;
  }
  std::shared_ptr<Process> StartController(const std::string& name);

  std::vector<std::shared_ptr<Process>>& GetGateways() { return m_gateways; }
  std::vector<std::shared_ptr<Process>>& GetControllers() {
    return m_controllers;
  }
  const std::string& GetGatewayAddress(size_t gateway) const {
    return m_gateway_addresses.at(gateway);
  }
  const std::string& GetAdminAddress() const { return m_admin_address; }
  const std::string& GetPlatformAddress() const { return m_platform_address; }
  const std::string& GetDirectory() const { return m_directory; }
  const std::map<std::string, std::string>& GetHostAddresses() const {
    return m_host_addresses;
  }

 private:
  std::string LogPath(const std::string& name) const;
  void StartStandins();
  void ListHosts();
  std::string ReadLogEnds() const;
  // Returns the number of hosts that the controllers have recorded.
  int CountKnownHosts();

  SystemOptions m_options;
  std::string m_directory;
  // Counts process starts: each has a log file of its own.
  int m_starts = 0;
  std::unique_ptr<Relay> m_relay;
  std::shared_ptr<Process> m_executor;
  std::shared_ptr<Process> m_platform;
  std::shared_ptr<Process> m_admin;
  std::vector<std::shared_ptr<Process>> m_gateways;
  std::vector<std::shared_ptr<Process>> m_controllers;
  std::vector<std::string> m_gateway_addresses;
  std::string m_executor_control;
  std::string m_platform_address;
  std::string m_admin_address;
  std::map<std::string, std::string> m_host_addresses;
};

// The token of a team in the harness's settings.
std::string TokenOf(const std::string& team);

// Teams that have a token.
inline constexpr const char* kTeams[] = {"arbiter", "office", "quotes",
                                         "dye",     "shop",   "cutting"};

}  // namespace shallotwick::harness
