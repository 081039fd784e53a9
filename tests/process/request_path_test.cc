// Requests through real processes while gateways, targets and the platform
// fail.
#include <CppUTest/TestHarness.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

#include "harness/load.h"
#include "harness/sections.h"
#include "harness/system.h"
#include "harness/wait.h"

namespace harness = shallotwick::harness;
namespace http = shallotwick::http;

using http::TransferOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string OutcomeOf(const http::Response& response) {
  return http::FindHeader(response.headers, "Shallotwick-Outcome")
      .value_or("none");
}

std::string ReasonOf(const http::Response& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("title", "none") : "none";
}

http::Request MakePost(const std::string& name, int work_milliseconds = 2) {
  return {"POST",
          "/s/quotes/order",
          {{"Idempotency-Key", name},
           {"Standin-Request", name},
           {"Standin-Work-Ms", std::to_string(work_milliseconds)}},
          "body of " + name};
}

http::Request MakeGet(const std::string& name, int work_milliseconds = 2) {
  return {"GET",
          "/s/quotes/shade",
          {{"Standin-Request", name},
           {"Standin-Work-Ms", std::to_string(work_milliseconds)}},
          ""};
}

// The system with one service on four hosts.
std::unique_ptr<harness::System> StartSystem(
    const harness::SystemOptions& options) {
  auto system = std::make_unique<harness::System>(options);
  LONGS_EQUAL(
      200, system->Submit("office", harness::MakeOfficeSection(0, 1)).status);
  LONGS_EQUAL(200,
              system->Submit("quotes", harness::MakeTeamSection("quotes", 4, 1))
                  .status);
  if (!system->WaitUntilInForce()) {
    FAIL(("not in force: " + system->Describe()).c_str());
  }
  int statuses[2] = {};
  const bool serves = harness::WaitFor([&] {
    const auto hosts = nlohmann::json::parse(
        system->GetAdmin("/v1/hosts?pool=quotes"), nullptr, false);
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      statuses[gateway] =
          system->Send(gateway, MakeGet("probe")).response.status;
    }
    return hosts.is_object() && hosts["hosts"].size() == 4 &&
           statuses[0] == 200 && statuses[1] == 200;
  });
  if (!serves) {
    FAIL(("statuses " + std::to_string(statuses[0]) + " and " +
          std::to_string(statuses[1]) + ": " + system->Describe())
             .c_str());
  }
  return system;
}

int CountStarts(harness::System& system, const std::string& request) {
  const auto record = nlohmann::json::parse(system.GetRecord(true));
  return record.at("starts").value(request, 0);
}

uint64_t ReadCounter(harness::System& system, size_t gateway,
                     const std::string& series) {
  http::Request request;
  request.target = "/metrics";
  const std::string text = system.Send(gateway, request).response.body;
  const size_t at = text.find("\n" + series + " ");
  return at == std::string::npos
             ? 0
             : std::stoull(text.substr(at + series.size() + 2));
}

}  // namespace

TEST_GROUP(RequestPath) { std::unique_ptr<harness::System> m_system; };

TEST(RequestPath, RefusalsHaveAReasonAnOutcomeAndACounter) {
  m_system = StartSystem({});
  struct Case {
    http::Request request;
    int status;
    const char* reason;
  };
  http::Request urgency = MakeGet("x");
  urgency.headers.emplace_back("Shallotwick-Urgency", "soon");
  http::Request deadline = MakeGet("x");
  deadline.headers.emplace_back("Shallotwick-Deadline-Ms", "-5");
  http::Request late = MakeGet("x", 500);
  late.headers.emplace_back("Shallotwick-Deadline-Ms", "50");
  http::Request keyless = MakePost("x");
  keyless.headers.erase(keyless.headers.begin());
  http::Request unknown = MakeGet("x");
  unknown.target = "/s/nothing/here";
  http::Request outside = MakeGet("x");
  outside.target = "/elsewhere";
  http::Request doubled = MakeGet("x");
  doubled.target = "//s/quotes/shade";
  const Case cases[] = {{urgency, 400, "bad-request"},
                        {doubled, 404, "unknown-service"},
                        {deadline, 400, "bad-request"},
                        {keyless, 400, "idempotency-key-missing"},
                        {unknown, 404, "unknown-service"},
                        {outside, 404, "unknown-service"}};
  for (const Case& test : cases) {
    const auto response = m_system->Send(0, test.request).response;
    LONGS_EQUAL(test.status, response.status);
    STRCMP_EQUAL(test.reason, ReasonOf(response).c_str());
    STRCMP_EQUAL("not-run", OutcomeOf(response).c_str());
    CHECK_TRUE(ReadCounter(*m_system, 0,
                           "shallotwick_gateway_refusals_total{reason=\"" +
                               std::string(test.reason) + "\"}") > 0);
  }
  const auto response = m_system->Send(0, late).response;
  STRCMP_EQUAL("unknown", OutcomeOf(response).c_str());
}

TEST(RequestPath, ARepeatAtAnotherGatewayGetsTheKeptAnswer) {
  m_system = StartSystem({});
  const auto first = m_system->Send(0, MakePost("order-1")).response;
  LONGS_EQUAL(200, first.status);
  const auto repeat = m_system->Send(1, MakePost("order-1")).response;
  STRCMP_EQUAL(first.body.c_str(), repeat.body.c_str());
  STRCMP_EQUAL("true",
               http::FindHeader(repeat.headers, "Shallotwick-Repeat")->c_str());
  http::Request other = MakePost("order-1");
  other.body = "another body";
  const auto reused = m_system->Send(1, other).response;
  LONGS_EQUAL(409, reused.status);
  STRCMP_EQUAL("idempotency-key-reused", ReasonOf(reused).c_str());
  LONGS_EQUAL(1, CountStarts(*m_system, "order-1"));
}

TEST(RequestPath, TheSameKeyAtBothGatewaysAtOnceRunsOnce) {
  m_system = StartSystem({});
  for (int round = 0; round < 10; ++round) {
    const std::string name = "both-" + std::to_string(round);
    http::TransferResult results[2];
    std::thread other(
        [&] { results[1] = m_system->Send(1, MakePost(name, 30)); });
    results[0] = m_system->Send(0, MakePost(name, 30));
    other.join();
    LONGS_EQUAL(1, CountStarts(*m_system, name));
    int complete = 0;
    for (const auto& result : results) {
      complete += OutcomeOf(result.response) == "complete" ? 1 : 0;
    }
    CHECK_TRUE(complete >= 1);
  }
}

TEST(RequestPath,
     AGatewayKilledAfterTheSendLeavesAnUnknownOutcomeThatNobodyRepeats) {
  m_system = StartSystem({});
  std::thread caller([&] {
    const auto result = m_system->Send(0, MakePost("killed", 1500));
    CHECK_TRUE(result.outcome != TransferOutcome::kComplete);
  });
  CHECK_TRUE(
      harness::WaitFor([&] { return CountStarts(*m_system, "killed") == 1; }));
  m_system->GetGateways()[0]->Kill();
  caller.join();
  const auto running = m_system->Send(1, MakePost("killed", 1500)).response;
  STRCMP_EQUAL("claim-in-progress", ReasonOf(running).c_str());
  STRCMP_EQUAL("unknown", OutcomeOf(running).c_str());
  // After the service's deadline it can't be running any more.
  CHECK_TRUE(harness::WaitFor([&] {
    return ReasonOf(m_system->Send(1, MakePost("killed", 1500)).response) ==
           "claim-outcome-unknown";
  }));
  LONGS_EQUAL(1, CountStarts(*m_system, "killed"));
}

TEST(RequestPath, BrokenAnswersOfTargetsNeverReachACallerAsComplete) {
  m_system = StartSystem({});
  for (const char* fault : {"short-body", "broken-chunks", "close-after-run"}) {
    for (const auto& [host, address] : m_system->GetHostAddresses()) {
      m_system->Control("/fault/" + host + "/" + fault);
    }
    const std::string post = std::string("post-") + fault;
    const auto result = m_system->Send(0, MakePost(post)).response;
    STRCMP_EQUAL("unknown", OutcomeOf(result).c_str());
    STRCMP_EQUAL("target-answer-lost", ReasonOf(result).c_str());
    LONGS_EQUAL(1, CountStarts(*m_system, post));
    STRCMP_EQUAL("unknown",
                 OutcomeOf(m_system->Send(0, MakeGet("get")).response).c_str());
  }
  for (const auto& [host, address] : m_system->GetHostAddresses()) {
    m_system->Control("/fault/" + host + "/none");
  }
  STRCMP_EQUAL("complete",
               OutcomeOf(m_system->Send(0, MakeGet("after")).response).c_str());
}

TEST(RequestPath, SilentConnectionsCostOneBoundAndTheTargetStaysInUse) {
  m_system = StartSystem({});
  for (int request = 0; request < 40; ++request) {
    m_system->Send(0, MakeGet("warm-" + std::to_string(request)));
  }
  for (const auto& [host, address] : m_system->GetHostAddresses()) {
    m_system->Control("/silence/" + host);
  }
  int complete = 0;
  constexpr int kRequests = 12;
  for (int request = 0; request < kRequests; ++request) {
    http::Request get = MakeGet("silent-" + std::to_string(request));
    get.headers.emplace_back("Shallotwick-Deadline-Ms", "1000");
    complete += OutcomeOf(m_system->Send(0, get).response) == "complete";
  }
  // Each of the four targets can cost one request its two tries at the most.
  CHECK_TRUE(complete >= kRequests - 4);
  const auto record = nlohmann::json::parse(m_system->GetRecord(false));
  std::set<std::string> used;
  for (const auto& [host, starts] : record.at("starts_by_host").items()) {
    used.insert(host);
  }
  LONGS_EQUAL(4, used.size());
}

TEST(RequestPath, WithTheStoreDownReadsGoOnAndOrdersAreRefusedAsNotRun) {
  m_system = StartSystem({});
  for (const char* faults : {R"({"mode":"down"})", R"({"mode":"freeze"})"}) {
    m_system->SetPlatformFaults(faults);
    const std::string name = std::string("down-") + faults;
    const auto refused = m_system->Send(0, MakePost(name)).response;
    STRCMP_EQUAL("claim-store-unavailable", ReasonOf(refused).c_str());
    STRCMP_EQUAL("not-run", OutcomeOf(refused).c_str());
    LONGS_EQUAL(0, CountStarts(*m_system, name));
    // Far longer than the limit for a view that nobody confirms.
    const auto end = std::chrono::steady_clock::now() + seconds(7);
    while (std::chrono::steady_clock::now() < end) {
      STRCMP_EQUAL(
          "complete",
          OutcomeOf(m_system->Send(1, MakeGet("read")).response).c_str());
    }
    m_system->SetPlatformFaults("{}");
    CHECK_TRUE(harness::WaitFor([&] {
      return OutcomeOf(m_system->Send(0, MakePost(name)).response) ==
             "complete";
    }));
    LONGS_EQUAL(1, CountStarts(*m_system, name));
  }
}

TEST(RequestPath, LostAnswersOfTheStoreAreSettled) {
  m_system = StartSystem({});
  m_system->SetPlatformFaults(R"({"mode":"lose-answers"})");
  for (int request = 0; request < 10; ++request) {
    const std::string name = "lost-" + std::to_string(request);
    STRCMP_EQUAL("complete",
                 OutcomeOf(m_system->Send(0, MakePost(name)).response).c_str());
    LONGS_EQUAL(1, CountStarts(*m_system, name));
  }
}

TEST(RequestPath, AGatewayStopsWithoutCuttingARequestOff) {
  m_system = StartSystem({});
  harness::LoadOptions options;
  options.service = "quotes";
  options.gateway_addresses = {m_system->GetGatewayAddress(0),
                               m_system->GetGatewayAddress(1)};
  options.work_milliseconds = 20;
  harness::Load load(options);
  CHECK_TRUE(harness::WaitFor([&] { return load.GetSent() > 100; }));
  LONGS_EQUAL(0, m_system->GetGateways()[0]->Stop());
  const harness::LoadResult result = load.Stop();
  LONGS_EQUAL(0, result.unknown);
  LONGS_EQUAL(0, result.wrong_answers);
  // What the callers said was refused did not run; what was cut off by a closed
  // listener never reached the gateway.
  const auto record = nlohmann::json::parse(m_system->GetRecord(true));
  for (const std::string& request : result.not_run_requests) {
    LONGS_EQUAL(0, record.at("starts").value(request, 0));
  }
  LONGS_EQUAL(result.complete, record.at("started").get<uint64_t>() -
                                   record.at("starts").value("probe", 0U));
}

TEST(RequestPath, AGatewayWithAllTheLoadIsLentTheOthersSlots) {
  harness::SystemOptions options;
  options.gateway_flags = {"--connections-per-target", "32"};
  m_system = StartSystem(options);
  // 4 hosts of 8 slots, of which half are this gateway's share.
  constexpr int kSlots = 32;
  constexpr int kCallers = 48;
  const auto count_running = [this] {
    int running = 0;
    const auto hosts = nlohmann::json::parse(m_system->GetExecutorHosts());
    for (const auto& [name, host] : hosts.items()) {
      running += host.at("running").get<int>();
    }
    return running;
  };
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      while (!stopping.load()) {
        m_system->Send(0, MakeGet("lent", 100));
      }
    });
  }
  CHECK_TRUE(harness::WaitFor([&] { return count_running() >= kSlots - 1; }));
  stopping.store(true);
  for (std::thread& thread : callers) {
    thread.join();
  }
  const auto record = nlohmann::json::parse(m_system->GetRecord(false));
  LONGS_EQUAL(0, record.at("refusals").get<int>());
  // Afterwards the other gateway has its share again.
  CHECK_TRUE(harness::WaitFor([&] {
    std::vector<std::thread> others;
    std::atomic<int> complete{0};
    for (int caller = 0; caller < kSlots / 2; ++caller) {
      others.emplace_back([&] {
        complete +=
            OutcomeOf(m_system->Send(1, MakeGet("back", 20)).response) ==
            "complete";
      });
    }
    for (std::thread& thread : others) {
      thread.join();
    }
    return complete.load() == kSlots / 2;
  }));
}

TEST(RequestPath, ATeamsQuotaHoldsOverAllGatewaysAndGoesWhereItsRequestsAre) {
  m_system = StartSystem({});
  constexpr int kQuota = 6;
  LONGS_EQUAL(
      200, m_system
               ->Submit("quotes", harness::MakeTeamSection("quotes", 4, 1) +
                                      "quota: " + std::to_string(kQuota) + "\n")
               .status);
  CHECK_TRUE(m_system->WaitUntilInForce());
  const auto count_running = [this] {
    int running = 0;
    const auto hosts = nlohmann::json::parse(m_system->GetExecutorHosts());
    for (const auto& [name, host] : hosts.items()) {
      running += host.at("running").get<int>();
    }
    return running;
  };
  std::atomic<bool> stopping{false};
  // All at one gateway first, then at both.
  std::atomic<bool> at_both{false};
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < 16; ++caller) {
    callers.emplace_back([&, caller] {
      while (!stopping.load()) {
        http::Request request = MakeGet("quota", 80);
        request.headers.emplace_back("Shallotwick-Team", "quotes");
        m_system->Send(at_both.load() ? caller % 2 : 0, request);
      }
    });
  }
  bool kept = true;
  CHECK_TRUE(harness::WaitFor([&] {
    const int running = count_running();
    kept = kept && running <= kQuota;
    return running == kQuota;
  }));
  at_both.store(true);
  for (int look = 0; look < 100; ++look) {
    kept = kept && count_running() <= kQuota;
  }
  stopping.store(true);
  for (std::thread& thread : callers) {
    thread.join();
  }
  CHECK_TRUE(kept);
}

// Kills, freezes, cuts and store faults together, with thousands of requests.
TEST(RequestPath, UnderFaultsTogetherEachOutcomeIsTrue) {
  harness::SystemOptions system_options;
  system_options.gateways = 3;
  m_system = StartSystem(system_options);
  harness::LoadOptions options;
  options.service = "quotes";
  options.threads = 6;
  options.post_every = 2;
  options.gateway_addresses = {m_system->GetGatewayAddress(0),
                               m_system->GetGatewayAddress(1),
                               m_system->GetGatewayAddress(2)};
  harness::Load load(options);
  const auto wait_for_more = [&load] {
    const uint64_t sent = load.GetSent();
    CHECK_TRUE(harness::WaitFor([&] { return load.GetSent() > sent + 300; }));
  };
  const char* target_faults[] = {"short-body", "close-after-run",
                                 "broken-chunks", "close-on-second"};
  int round = 0;
  for (const char* fault : target_faults) {
    m_system->Control("/fault/h" + std::to_string(round) + "/" + fault);
    m_system->Control("/silence/h" + std::to_string(3 - round));
    m_system->SetPlatformFaults(round % 2 == 0 ? R"({"mode":"lose-answers"})"
                                               : R"({"delay_ms":60})");
    wait_for_more();
    m_system->GetGateways()[1]->Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(300));
    m_system->GetGateways()[1]->Signal(SIGCONT);
    m_system->Control("/fault/h" + std::to_string(round) + "/none");
    m_system->SetPlatformFaults("{}");
    wait_for_more();
    ++round;
  }
  m_system->GetGateways()[2]->Kill();
  wait_for_more();
  const harness::LoadResult result = load.Stop();
  LONGS_EQUAL(0, result.wrong_answers);
  CHECK_TRUE(result.complete > 1'000);
  const auto starts =
      nlohmann::json::parse(m_system->GetRecord(true)).at("starts");
  for (const std::string& request : result.not_run_requests) {
    CHECK_EQUAL_TEXT(0, starts.value(request, 0), request.c_str());
  }
  for (const auto& [request, count] : starts.items()) {
    // The harness makes every second request a POST: even numbers.
    const size_t dash = request.rfind('-');
    const bool is_post = request.compare(0, 2, "r-") == 0 &&
                         std::stoi(request.substr(dash + 1)) % 2 == 0;
    if (is_post) {
      CHECK_EQUAL_TEXT(1, count.get<int>(), request.c_str());
    }
  }
}
