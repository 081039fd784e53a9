#include "process_benches.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

#include "harness/sections.h"
#include "harness/system.h"
#include "harness/wait.h"
#include "http/blocking_client.h"

namespace shallotwick::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kHosts = 16;
constexpr auto kRunTime = std::chrono::seconds(4);

struct Latencies {
  std::vector<double> milliseconds;
  double seconds = 0;

  double GetQuantile(double part) const {
    return milliseconds[static_cast<size_t>(
        part * static_cast<double>(milliseconds.size() - 1))];
  }
};

// Sends requests on so many threads, one at a time each, for the run's time.
Latencies Run(int threads, const std::function<std::string(int)>& make_url,
              const http::Request& request) {
  Latencies all;
  std::mutex mutex;
  std::vector<std::thread> callers;
  const auto started = Clock::now();
  for (int number = 0; number < threads; ++number) {
    callers.emplace_back([&, number] {
      std::vector<double> own;
      for (int count = number; Clock::now() - started < kRunTime; ++count) {
        const auto sent = Clock::now();
        http::Request message = request;
        if (message.method == "POST") {
          message.headers.emplace_back(
              "Idempotency-Key",
              std::to_string(number) + "-" + std::to_string(count));
        }
        const auto result = http::SendAndWait(make_url(count), message);
        if (result.response.status == 200) {
          own.push_back(
              std::chrono::duration<double, std::milli>(Clock::now() - sent)
                  .count());
        }
      }
      std::lock_guard<std::mutex> lock(mutex);
      all.milliseconds.insert(all.milliseconds.end(), own.begin(), own.end());
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  all.seconds = std::chrono::duration<double>(Clock::now() - started).count();
  std::sort(all.milliseconds.begin(), all.milliseconds.end());
  return all;
}

void AddLatencies(BenchReport* report, int threads, const std::string& what,
                  const Latencies& latencies) {
  if (latencies.milliseconds.empty()) {
    throw std::runtime_error(what + ": no request was answered");
  }
  report->Add(
      "path", "threads", threads, what + ", requests a second",
      static_cast<double>(latencies.milliseconds.size()) / latencies.seconds,
      "1/s");
  report->Add("path", "threads", threads, what + ", p50",
              latencies.GetQuantile(0.5), "ms");
  report->Add("path", "threads", threads, what + ", p99",
              latencies.GetQuantile(0.99), "ms");
}

void FillPool(harness::System& system) {
  system.Submit("office", harness::MakeOfficeSection(0, 4));
  system.Submit("quotes", harness::MakeTeamSection("quotes", kHosts - 2, 4));
  const bool is_filled = harness::WaitFor([&system] {
    const std::string hosts = system.GetAdmin("/v1/hosts?pool=quotes");
    size_t count = 0;
    for (size_t at = hosts.find("\"serving\""); at != std::string::npos;
         at = hosts.find("\"serving\"", at + 1)) {
      ++count;
    }
    return count >= kHosts - 2;
  });
  if (!is_filled || !system.WaitUntilInForce()) {
    throw std::runtime_error("the pool was not filled");
  }
}

double ReadMetric(const std::string& address, const std::string& name) {
  const std::string text =
      http::SendAndWait("http://" + address + "/metrics", {}).response.body;
  const size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0
                                 : std::stod(text.substr(at + name.size() + 2));
}

double ReadStat(const std::string& platform, const std::string& name) {
  const std::string text =
      http::SendAndWait("http://" + platform + "/standin/stats", {})
          .response.body;
  return nlohmann::json::parse(text).at(name).get<double>();
}

// Totals at one moment, to take differences of.
struct Totals {
  double gateway_cpu = 0;
  double controller_cpu = 0;
  double reads = 0;
  double commits = 0;
  double link_bytes = 0;
  double platform_bytes = 0;
};

Totals ReadTotals(harness::System& system) {
  Totals totals;
  for (const auto& gateway : system.GetGateways()) {
    totals.gateway_cpu += harness::ReadUsage(gateway->GetPid()).cpu_seconds;
  }
  for (const auto& controller : system.GetControllers()) {
    totals.controller_cpu +=
        harness::ReadUsage(controller->GetPid()).cpu_seconds;
  }
  totals.reads = ReadStat(system.GetPlatformAddress(), "reads");
  totals.commits = ReadStat(system.GetPlatformAddress(), "commits");
  for (size_t gateway = 0; gateway < system.GetGateways().size(); ++gateway) {
    const std::string& address = system.GetGatewayAddress(gateway);
    totals.link_bytes += ReadMetric(address, "shallotwick_link_bytes");
    totals.platform_bytes += ReadMetric(address, "shallotwick_platform_bytes");
  }
  return totals;
}

void MeasureIdle(BenchReport* report, harness::System& system, int gateways) {
  constexpr double kSeconds = 8;
  const Totals before = ReadTotals(system);
  std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
  const Totals after = ReadTotals(system);
  const auto add = [&](const std::string& figure, double value,
                       const std::string& unit) {
    report->Add("control", "gateways", gateways, figure, value, unit);
  };
  add("gateway, processor",
      (after.gateway_cpu - before.gateway_cpu) / kSeconds / gateways * 100,
      "% of a core");
  add("controllers together, processor",
      (after.controller_cpu - before.controller_cpu) / kSeconds * 100,
      "% of a core");
  add("gateway, link",
      (after.link_bytes - before.link_bytes) / kSeconds / gateways, "bytes/s");
  add("gateway, platform",
      (after.platform_bytes - before.platform_bytes) / kSeconds / gateways,
      "bytes/s");
  add("table service, reads", (after.reads - before.reads) / kSeconds, "1/s");
  add("table service, commits", (after.commits - before.commits) / kSeconds,
      "1/s");
  double resident = 0;
  for (const auto& gateway : system.GetGateways()) {
    resident = std::max(resident,
                        harness::ReadUsage(gateway->GetPid()).resident_bytes);
  }
  add("gateway, resident memory", resident / 1e6, "MB");
  add("controller, resident memory",
      harness::ReadUsage(system.GetControllers()[0]->GetPid()).resident_bytes /
          1e6,
      "MB");
}

// Time from an edit's submission until every gateway holds its version.
void MeasureInForce(BenchReport* report, harness::System& system,
                    int gateways) {
  constexpr int kEdits = 8;
  std::vector<double> seconds;
  for (int edit = 0; edit < kEdits; ++edit) {
    const auto started = Clock::now();
    const auto answer = system.Submit(
        "quotes", harness::MakeTeamSection("quotes", kHosts - 2, 4) +
                      "quota: " + std::to_string(100 + edit) + "\n");
    const auto version = nlohmann::json::parse(answer.body).at("version");
    const std::string wanted =
        "\"document_version\":\"" + version.dump() + "\"";
    harness::WaitFor([&] {
      return std::all_of(system.GetGateways().begin(),
                         system.GetGateways().end(), [&](const auto& gateway) {
                           return gateway->ReadLog().find(wanted) !=
                                  std::string::npos;
                         });
    });
    seconds.push_back(
        std::chrono::duration<double>(Clock::now() - started).count());
  }
  std::sort(seconds.begin(), seconds.end());
  report->Add("control", "gateways", gateways, "edit in force, median",
              seconds[kEdits / 2], "s");
  report->Add("control", "gateways", gateways, "edit in force, longest",
              seconds.back(), "s");
}

}  // namespace

void RunPathBench(BenchReport* report) {
  harness::SystemOptions options;
  options.hosts = kHosts;
  harness::System system(options);
  FillPool(system);
  std::vector<std::string> targets;
  for (const auto& [host, address] : system.GetHostAddresses()) {
    targets.push_back(address);
  }
  const http::Request get{
      "GET", "/", {{"Standin-Request", "b"}, {"Standin-Work-Ms", "2"}}, ""};
  http::Request post = get;
  post.method = "POST";
  post.body = "body";
  for (int threads : {1, 4, 16}) {
    AddLatencies(
        report, threads, "direct",
        Run(
            threads,
            [&](int count) {
              return "http://" +
                     targets[static_cast<size_t>(count) % targets.size()] +
                     "/item";
            },
            get));
    const auto through_gateway = [&](int) {
      return "http://" + system.GetGatewayAddress(0) + "/s/quotes/item";
    };
    AddLatencies(report, threads, "gateway, GET",
                 Run(threads, through_gateway, get));
    AddLatencies(report, threads, "gateway, POST with claim",
                 Run(threads, through_gateway, post));
  }
}

void RunControlBench(BenchReport* report) {
  for (int gateways : {3, 9, 18, 27}) {
    harness::SystemOptions options;
    options.hosts = kHosts;
    options.gateways = gateways;
    options.controllers = 3;
    harness::System system(options);
    FillPool(system);
    MeasureIdle(report, system, gateways);
    MeasureInForce(report, system, gateways);
  }
}

void RunLendingBench(BenchReport* report) {
  constexpr int kCallers = 160;
  constexpr double kSeconds = 5;
  for (int gateways : {3, 6, 9}) {
    harness::SystemOptions options;
    options.hosts = kHosts;
    options.gateways = gateways;
    harness::System system(options);
    FillPool(system);
    std::atomic<bool> stopping{false};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      // Three quarters of the load at one gateway.
      const size_t gateway =
          caller % 4 != 0 ? 0 : static_cast<size_t>(caller / 4 % gateways);
      callers.emplace_back([&, gateway] {
        while (!stopping.load()) {
          system.Send(gateway,
                      {"GET",
                       "/s/quotes/item",
                       {{"Standin-Request", "b"}, {"Standin-Work-Ms", "50"}},
                       ""});
        }
      });
    }
    // Past the delay of new owners.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const Totals before = ReadTotals(system);
    std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
    const Totals after = ReadTotals(system);
    const std::string hosts = system.GetExecutorHosts();
    stopping.store(true);
    for (std::thread& caller : callers) {
      caller.join();
    }
    double running = 0;
    const auto listed = nlohmann::json::parse(hosts);
    for (const auto& [name, host] : listed.items()) {
      running += host.at("running").get<double>();
    }
    const auto record = nlohmann::json::parse(system.GetRecord(false));
    report->Add("lending", "gateways", gateways, "gateway, link",
                (after.link_bytes - before.link_bytes) / kSeconds / gateways,
                "bytes/s");
    report->Add("lending", "gateways", gateways, "slots in use",
                100 * running / ((kHosts - 2) * 8), "%");
    report->Add("lending", "gateways", gateways, "sends refused by a target",
                100 * record.at("refusals").get<double>() /
                    (record.at("refusals").get<double>() +
                     record.at("started").get<double>()),
                "%");
  }
}

}  // namespace shallotwick::bench
