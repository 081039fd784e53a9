#include <algorithm>

#include "../admin_api.h"
#include "base/log_catalogue.h"
#include "base/program.h"
#include "base/stop_signal.h"
#include "http/server.h"

namespace {

namespace admin = shallotwick::admin;
namespace base = shallotwick::base;
namespace control = shallotwick::control;
namespace http = shallotwick::http;
namespace storage = shallotwick::storage;

constexpr int kMaxMilliseconds = 600'000;
constexpr int kMostHosts = 100'000;
constexpr int kThreads = 4;

std::vector<base::SettingDeclaration> GetSettings() {
  std::vector<base::SettingDeclaration> settings = {
      {"listen", "IP:PORT", "address for operators; port 0 takes a free one",
       "127.0.0.1:0", base::CheckAddress},
      {"platform", "IP:PORT", "address of the platform's services",
       std::nullopt, base::CheckAddress},
      {"platform-timeout-ms", "MILLISECONDS",
       "wait for an answer of the platform", "2000",
       base::CheckInteger(1, kMaxMilliseconds)},
      {"arbiter", "TEAM", "team whose section rules on disputes", "arbiter",
       base::CheckNotEmpty},
      {"reserve-per-data-centre", "HOSTS",
       "hosts of each data centre that may not be promised", "0",
       base::CheckInteger(0, kMostHosts)},
      {"team-tokens", "TEAM:TOKEN,...",
       "secret of each team; better given by the environment", std::nullopt,
       admin::TeamTokens::Check},
  };
  const auto log_settings = base::GetLogSettings();
  settings.insert(settings.end(), log_settings.begin(), log_settings.end());
  return settings;
}

int RunAdmin(const base::Settings& settings) {
  storage::HttpPlatform table(
      settings.GetString("platform"),
      std::chrono::milliseconds(settings.GetInteger("platform-timeout-ms")));
  control::StoreReachability store_reachability(settings.GetString("platform"));
  admin::AdminApi api(
      table, store_reachability,
      admin::AdminApiOptions{
          settings.GetString("arbiter"),
          static_cast<int>(settings.GetInteger("reserve-per-data-centre")),
          settings.GetString("team-tokens")});
  http::ServerOptions options;
  options.listen = base::ParseEndpoint(settings.GetString("listen"));
  options.threads = kThreads;
  http::Server server(options, [&api](const http::Request& request,
                                      const http::Respond& respond) {
    respond(api.Handle(request));
  });
  base::Log(base::events::kStarted,
            {{"http",
              base::FormatEndpoint({options.listen.host, server.GetPort()})}});
  base::WaitForStopSignal();
  base::Log(base::events::kStopping);
  server.CloseConnectionsAfterAnswers();
  server.Stop();
  base::Log(base::events::kStopped);
  return base::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  base::BlockStopSignals();
  const base::ProgramDescription program{
      "shallotwick-admin",
      "The operators' API on the planning document and the fleet's state.",
      GetSettings()};
  return base::RunProgram(program, argc, argv, RunAdmin);
}
