#include <asio.hpp>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/log_catalogue.h"
#include "base/program.h"
#include "base/stop_signal.h"
#include "executor_host.h"
#include "http/server.h"

namespace {

namespace base = shallotwick::base;
namespace http = shallotwick::http;
namespace standin = shallotwick::standin;

constexpr int kMostHosts = 2'000;
constexpr int kMostSlots = 10'000;

const std::map<std::string, standin::ExecutorFault> kFaults = {
    {"none", standin::ExecutorFault::kNone},
    {"short-body", standin::ExecutorFault::kShortBody},
    {"broken-chunks", standin::ExecutorFault::kBrokenChunks},
    {"close-after-run", standin::ExecutorFault::kCloseAfterRun},
    {"close-on-second", standin::ExecutorFault::kCloseOnSecond}};

std::vector<base::SettingDeclaration> GetSettings() {
  std::vector<base::SettingDeclaration> settings = {
      {"control", "IP:PORT", "address for switching faults", "127.0.0.1:0",
       base::CheckAddress},
      {"hosts", "COUNT", "hosts to stand in for, named h0, h1, ...", "4",
       base::CheckInteger(1, kMostHosts)},
      {"slots", "COUNT", "slots of each host", "8",
       base::CheckInteger(1, kMostSlots)}};
  const auto log_settings = base::GetLogSettings();
  settings.insert(settings.end(), log_settings.begin(), log_settings.end());
  return settings;
}

// All hosts of the process and the thread they live on.
class Fleet {
 public:
  Fleet(int hosts, int slots) : m_work(asio::make_work_guard(m_context)) {
    for (int number = 0; number < hosts; ++number) {
      const std::string name = "h" + std::to_string(number);
      m_hosts[name] = std::make_unique<standin::ExecutorHost>(
          m_context, name,
          asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
          slots, m_record);
      m_hosts[name]->Start();
    }
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~Fleet() {
    m_context.stop();
    m_thread.join();
  }

  http::Response Handle(const http::Request& request) {
    const auto path = http::SplitPath(http::GetPath(request.target));
    if (path.empty()) {
      return http::MakeProblem(404, "not-found", "No such path.");
    }
    if (path[0] == "record") {
      return http::MakeJsonResponse(200, m_record.FormatJson(path.size() > 1));
    }
    if (path[0] == "clear") {
      m_record.Clear();
      return http::MakeJsonResponse(200, "{}");
    }
    if (path[0] == "hosts") {
      return http::MakeJsonResponse(200, ListHosts());
    }
    if (path.size() < 2 || m_hosts.count(path[1]) == 0) {
      return http::MakeProblem(404, "not-found", "No such host.");
    }
    return ChangeHost(path);
  }

 private:
  template <typename Function>
  auto RunOnThread(const Function& function) -> decltype(function()) {
    std::promise<decltype(function())> result;
    asio::post(m_context, [&] { result.set_value(function()); });
    return result.get_future().get();
  }

  std::string ListHosts() {
    return RunOnThread([this] {
      nlohmann::json json = nlohmann::json::object();
      for (const auto& [name, host] : m_hosts) {
        json[name] = {
            {"address", "127.0.0.1:" + std::to_string(host->GetPort())},
            {"running", host->GetRunning()}};
      }
      return json.dump();
    });
  }

  http::Response ChangeHost(const std::vector<std::string>& path) {
    const bool is_known = RunOnThread([&] {
      standin::ExecutorHost& host = *m_hosts.at(path[1]);
      if (path[0] == "reboot") {
        host.Reboot();
      } else if (path[0] == "start") {
        host.Start();
      } else if (path[0] == "silence") {
        host.SilenceOpenConnections();
      } else if (path[0] == "leaving" && path.size() == 3) {
        host.SetLeaving(path[2] == "on");
      } else if (path[0] == "fault" && path.size() == 3 &&
                 kFaults.count(path[2]) != 0) {
        host.SetFault(kFaults.at(path[2]));
      } else {
        return false;
      }
      return true;
    });
    return is_known ? http::MakeJsonResponse(200, "{}")
                    : http::MakeProblem(404, "not-found", "No such change.");
  }

  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  standin::ExecutorRecord m_record;
  std::map<std::string, std::unique_ptr<standin::ExecutorHost>> m_hosts;
  std::thread m_thread;
};

int RunStandin(const base::Settings& settings) {
  Fleet fleet(static_cast<int>(settings.GetInteger("hosts")),
              static_cast<int>(settings.GetInteger("slots")));
  http::ServerOptions options;
  options.listen = base::ParseEndpoint(settings.GetString("control"));
  options.threads = 1;
  http::Server server(options, [&fleet](const http::Request& request,
                                        const http::Respond& respond) {
    respond(fleet.Handle(request));
  });
  base::Log(base::events::kStarted,
            {{"http",
              base::FormatEndpoint({options.listen.host, server.GetPort()})}});
  base::WaitForStopSignal();
  server.Stop();
  return base::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  base::BlockStopSignals();
  return base::RunProgram(
      {"standin-executor", "Stands in for target hosts in tests.",
       GetSettings()},
      argc, argv, RunStandin);
}
