#include "scheduler_settings.h"

#include "base/program.h"

namespace shallotwick::scheduler {
namespace {

// Exceeds the number of processors of any host.
constexpr int64_t kMaxProcessors = 4'096;

}  // namespace

std::vector<base::SettingDeclaration> GetSettings() {
  const auto milliseconds = base::CheckNumber(1, 600'000);
  std::vector<base::SettingDeclaration> settings = {
      {"name", "NAME", "name of this host", std::nullopt, base::CheckNotEmpty},
      {"listen", "IP:PORT", "where callers hand in jobs", std::nullopt,
       base::CheckAddress},
      {"ready-listen", "IP:PORT", "where the balancer asks for readiness",
       std::nullopt, base::CheckAddress},
      {"peer-listen", "IP:PORT", "address for the other hosts", "127.0.0.1:0",
       base::CheckAddress},
      {"platform", "IP:PORT", "address of the platform's store", std::nullopt,
       base::CheckAddress},
      {"platform-timeout-ms", "MILLISECONDS", "wait for an answer of the store",
       "900", milliseconds},
      {"hosts", "IP:PORT", "address of the platform's host operations",
       std::nullopt, base::CheckAddress},
      {"maintenance-s", "SECONDS", "how long a host is away for maintenance",
       "2", base::CheckNumber(0, 86'400)},
      {"move-s", "SECONDS", "how long the move of a host takes", "1.5",
       base::CheckNumber(0, 86'400)},
      {"holder-pause-ms", "MILLISECONDS",
       "pause between operations of two holders on one host", "3000",
       milliseconds},
      {"order-timeout-ms", "MILLISECONDS",
       "wait for a target's answer to an order", "400", milliseconds},
      {"longest-lease-ms", "MILLISECONDS",
       "the longest lease that targets grant", "10000", milliseconds},
      {"longest-stop-ms", "MILLISECONDS",
       "the longest time that a target takes to stop a run", "1000",
       milliseconds},
      {"retention-s", "SECONDS",
       "how long the state of an ended job can be read", "120",
       base::CheckNumber(1, 86'400)},
      {"strict-revocation", "true|false",
       "whether a revoked key may open nothing after revocation-ms", "false",
       base::CheckOptional(base::CheckOneOf({"true", "false"}))},
      {"revocation-ms", "MILLISECONDS",
       "how long a revoked key may still open calls, at most", "",
       base::CheckOptional(milliseconds)},
      {"processor-share", "SHARE",
       "the part of each processor that this host may use", "1",
       base::CheckNumber(0, 1)},
      {"processors", "COUNT", "processors of this host", "1",
       base::CheckInteger(1, kMaxProcessors)},
      {"stop-grace-s", "SECONDS", "time from SIGTERM to SIGKILL", "6",
       base::CheckNumber(1, 600)}};
  for (const base::SettingDeclaration& setting : base::GetLogSettings()) {
    settings.push_back(setting);
  }
  return settings;
}

customers::AdmissionPolicy MakeAdmissionPolicy(const base::Settings& settings) {
  customers::AdmissionPolicy policy;
  const bool is_bounded = settings.GetString("strict-revocation") == "true" &&
                          !settings.GetString("revocation-ms").empty();
  if (is_bounded) {
    policy.max_revocation_time = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double, std::milli>(
            settings.GetNumber("revocation-ms")));
  }
  return policy;
}

}  // namespace shallotwick::scheduler
