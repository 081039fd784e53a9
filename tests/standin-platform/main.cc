#include "base/log_catalogue.h"
#include "base/program.h"
#include "base/stop_signal.h"
#include "http/server.h"
#include "standin-platform/platform_standin.h"

namespace {

namespace base = shallotwick::base;
namespace http = shallotwick::http;
namespace standin = shallotwick::standin;

constexpr int kMaxMilliseconds = 600'000;
constexpr int kThreads = 4;

std::vector<base::SettingDeclaration> GetSettings() {
  std::vector<base::SettingDeclaration> settings = {
      {"listen", "IP:PORT", "address; port 0 takes a free one", "127.0.0.1:0",
       base::CheckAddress},
      {"executor-control", "IP:PORT", "control address of standin-executor", "",
       base::AcceptAnyValue},
      {"reboot-ms", "MILLISECONDS", "time that a reboot takes", "500",
       base::CheckInteger(1, kMaxMilliseconds)}};
  const auto log_settings = base::GetLogSettings();
  settings.insert(settings.end(), log_settings.begin(), log_settings.end());
  return settings;
}

int RunStandin(const base::Settings& settings) {
  standin::PlatformStandin platform(
      settings.GetString("executor-control"),
      std::chrono::milliseconds(settings.GetInteger("reboot-ms")));
  http::ServerOptions options;
  options.listen = base::ParseEndpoint(settings.GetString("listen"));
  options.threads = kThreads;
  options.largest_body_bytes = size_t{64} * 1024 * 1024;
  http::Server server(options, [&platform](const http::Request& request,
                                           http::Respond respond) {
    platform.Handle(request, std::move(respond));
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
      {"standin-platform", "Stands in for the platform's services in tests.",
       GetSettings()},
      argc, argv, RunStandin);
}
