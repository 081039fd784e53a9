// Rows that other writers got wrong, as real processes meet them.
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "harness/process.h"
#include "harness/wait.h"
#include "http/blocking_client.h"
#include "standin-cluster/cluster_standin.h"

namespace harness = shallotwick::harness;
namespace http = shallotwick::http;
namespace standin = shallotwick::standin;
using shallotwick::standin::ClusterStandin;

namespace {

constexpr auto kLimit = std::chrono::seconds(30);
// A target that never answers holds tasks back for the lease of 5 s.
constexpr auto kLongestTakeover = std::chrono::seconds(5);

std::string MakeId(int number) {
  const std::string digits = std::to_string(number);
  return std::string("5c0e7a21d94b36f8").substr(0, 16 - digits.size()) + digits;
}

std::string MakeJob(int tasks) {
  return R"({"spec":"text","steps":[{"count":)" + std::to_string(tasks) +
         R"(,"cpu":500,"memMb":100,"estMs":4000}]})";
}

std::string MakeEntry(const std::string& service, const std::string& address,
                      const std::string& capacity,
                      const std::string& more = "") {
  return R"({"service":)" + service + R"(,"addr":)" + address +
         R"(,"zone":"z","state":"ready","capacity":)" + capacity + more + "}";
}

// Entries of the registry that name no target.
std::vector<std::string> ListOddEntries() {
  const std::string service = R"("quotes")";
  const std::string address = R"("127.0.0.1:9")";
  const std::string capacity = R"({"cpu":4000,"memMb":8192})";
  std::vector<std::string> entries = {
      "",
      "\xff\xfe{",
      "7",
      "[]",
      "null",
      R"({"service":7})",
      std::string(30'000, '['),
      std::string(15'000, '[') + std::string(15'000, ']'),
      MakeEntry(service, address,
                std::string(10'000, '[') + std::string(10'000, ']')),
      MakeEntry(R"("nowhere")", address, capacity),
      MakeEntry(R"("quotes\n")", address, capacity),
      MakeEntry(service, address, capacity, R"(,"state":"asleep")"),
      MakeEntry(service, address, capacity, R"(,"labels":"a")"),
      MakeEntry(service, address, "{}"),
      MakeEntry(service, address, R"({"cpu":0})")};
  for (const char* number :
       {"1e300", "9223372036854775808",
        "1606938044258990275541962092341162602522202993782792", "-5", "1.5",
        "1e400", "\"4000\"", "null"}) {
    entries.push_back(
        MakeEntry(service, address, std::string(R"({"cpu":)") + number + "}"));
    entries.push_back(MakeEntry(service, address, capacity,
                                std::string(R"(,"born":)") + number));
  }
  for (const char* odd :
       {R"("")", R"("127.0.0.1:99999")", R"("127.0.0.1:0")",
        R"("127.0.0.1:-1")", R"("127.0.0.1:9/x")", R"("127.0.0.1:9 ")",
        R"("127.0.0.1:9\r\nX: y")", R"("nowhere.example:9")", "7"}) {
    entries.push_back(MakeEntry(service, odd, capacity));
  }
  return entries;
}

}  // namespace

TEST_GROUP(OddRows) {
  std::string m_directory;
  std::unique_ptr<ClusterStandin> m_cluster;
  std::vector<std::unique_ptr<harness::Process>> m_hosts;
  std::vector<std::string> m_addresses;
  std::vector<std::string> m_ready_addresses;
  // Hosts that the test has killed.
  std::set<size_t> m_killed;
  int m_last_job = 100;
  int m_last_log = 0;

  void setup() override { m_directory = harness::MakeLogDirectory(); }

  void teardown() override {
    m_hosts.clear();
    m_cluster.reset();
    std::filesystem::remove_all(m_directory);
  }

  void StartHosts(int hosts) {
    for (int i = 0; i < hosts; ++i) {
      const std::string name = "host-" + std::to_string(i);
      m_hosts.push_back(std::make_unique<harness::Process>(
          "services/shallotwick-scheduler/shallotwick-scheduler",
          std::vector<std::string>{"--name", name, "--listen", "127.0.0.1:0",
                                   "--ready-listen", "127.0.0.1:0",
                                   "--platform", m_cluster->GetAddress(),
                                   "--hosts", m_cluster->GetAddress()},
          m_directory + "/" + std::to_string(++m_last_log) + ".log"));
      m_addresses.push_back(m_hosts.back()->WaitForStarted("http"));
      m_ready_addresses.push_back(m_hosts.back()->WaitForStarted("ready"));
    }
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      CHECK_TRUE(harness::WaitFor([this, i] { return IsReady(i); }, kLimit));
    }
  }

  bool IsReady(size_t host) {
    const auto answer = http::SendAndWait(
        "http://" + m_ready_addresses[host] + "/readyz", http::Request{});
    return answer.response.status == 200;
  }

  http::Response Call(size_t host, const std::string& method,
                      const std::string& path, const std::string& body = "") {
    http::Request request;
    request.method = method;
    request.target = path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    return http::SendAndWait("http://" + m_addresses[host] + path, request)
        .response;
  }

  std::string Submit(size_t host, int tasks) {
    const std::string id = MakeId(++m_last_job);
    LONGS_EQUAL(200, Call(host, "POST", "/quote/" + id, MakeJob(tasks)).status);
    return id;
  }

  bool WaitForState(size_t host, const std::string& id,
                    const std::string& state) {
    return harness::WaitFor(
        [&] {
          const auto answer = Call(host, "GET", "/quote/" + id);
          return answer.body.find("\"" + state + "\"") != std::string::npos;
        },
        kLimit);
  }

  void RunJob(size_t host) {
    CHECK_TRUE(WaitForState(host, Submit(host, 6), "completed"));
  }

  // The running host that loaded the pool.
  size_t FindOwner() {
    size_t owner = m_hosts.size();
    CHECK_TRUE(harness::WaitFor(
        [this, &owner] {
          for (size_t i = 0; i < m_hosts.size(); ++i) {
            if (m_killed.count(i) == 0 &&
                !m_hosts[i]->FindEvents("pool-loaded").empty()) {
              owner = i;
            }
          }
          return owner < m_hosts.size();
        },
        kLimit));
    return owner;
  }

  size_t CountRefusals(size_t host, const std::string& row) {
    size_t count = 0;
    for (const auto& event :
         m_hosts[host]->FindEvents("registry-entry-refused")) {
      count += event.at("row") == row ? 1 : 0;
    }
    return count;
  }

  void PutOddEntries(const std::string& prefix) {
    int number = 0;
    for (const std::string& entry : ListOddEntries()) {
      m_cluster->PutRow("servers", prefix + std::to_string(++number), entry);
    }
  }

  // The targets of which a next owner would wait for an answer.
  std::set<std::string> GetRoster() {
    std::set<std::string> ids;
    const auto roster = nlohmann::json::parse(
        m_cluster->GetRow("rosters", "quotes", "pool"), nullptr, false);
    if (roster.is_object()) {
      for (const auto& [id, address] : roster.items()) {
        ids.insert(id);
      }
    }
    return ids;
  }

  size_t CountStarts(const std::string& executor) {
    size_t count = 0;
    for (const standin::RunEvent& event : m_cluster->GetEvents()) {
      count += event.what == "start" && event.executor == executor ? 1 : 0;
    }
    return count;
  }

  void CheckNothingFailed() {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      LONGS_EQUAL(0, m_hosts[i]->FindEvents("handler-failed").size());
      CHECK_TRUE(m_killed.count(i) > 0 || IsReady(i));
    }
    LONGS_EQUAL(0, m_cluster->GetDoubledTasks().size());
  }

  void CheckEachTaskStartedOnce() {
    std::map<std::string, int> starts;
    for (const standin::RunEvent& event : m_cluster->GetEvents()) {
      starts[event.task] += event.what == "start" ? 1 : 0;
    }
    for (const auto& [task, count] : starts) {
      LONGS_EQUAL_TEXT(1, count, task.c_str());
    }
  }
};

TEST(OddRows, EntriesUnderTheirOwnKeysGetIntoNoRosterAndDelayNoTakeover) {
  m_cluster = std::make_unique<ClusterStandin>(3, 100);
  PutOddEntries("before-");
  StartHosts(3);
  const size_t owner = FindOwner();
  const size_t other = (owner + 1) % m_hosts.size();
  RunJob(other);
  PutOddEntries("feed-");
  RunJob(other);
  PutOddEntries("read-");
  m_cluster->DropHistory();
  RunJob(other);
  CHECK_TRUE(GetRoster() == (std::set<std::string>{"i-0", "i-1", "i-2"}));
  LONGS_EQUAL(1, CountRefusals(owner, "before-1"));
  LONGS_EQUAL(1, CountRefusals(owner, "i-broken"));
  m_cluster->SetRunTime(2'000, 2'000);
  const std::string id = Submit(other, 36);
  CHECK_TRUE(WaitForState(other, id, "running"));
  m_hosts[owner]->Kill();
  m_killed.insert(owner);
  PutOddEntries("takeover-");
  FindOwner();
  const auto loaded_at = std::chrono::steady_clock::now();
  CHECK_TRUE(WaitForState(other, id, "completed"));
  CHECK_TRUE(std::chrono::steady_clock::now() - loaded_at < kLongestTakeover);
  CheckEachTaskStartedOnce();
  CheckNothingFailed();
}

TEST(OddRows, EntryOverThatOfLiveTargetEndsNoRunAndIsUndoneByItsOwn) {
  m_cluster = std::make_unique<ClusterStandin>(3, 4'000);
  StartHosts(2);
  const size_t owner = FindOwner();
  const std::string id = Submit(owner, 24);
  CHECK_TRUE(
      harness::WaitFor([this] { return CountStarts("i-0") == 8; }, kLimit));
  for (const std::string& entry : ListOddEntries()) {
    m_cluster->PutRow("servers", "i-0", entry);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK_TRUE(harness::WaitFor(
      [this, owner] { return CountRefusals(owner, "i-0") >= 3; }, kLimit));
  CHECK_TRUE(WaitForState(owner, id, "completed"));
  CheckEachTaskStartedOnce();
  m_cluster->SetRunTime(100, 100);
  RunJob(owner);
  LONGS_EQUAL(8, CountStarts("i-0"));
  m_cluster->DropHistory();
  RunJob(owner);
  LONGS_EQUAL(8, CountStarts("i-0"));
  m_cluster->RestoreEntry(0);
  CHECK_TRUE(harness::WaitFor(
      [this, owner] {
        RunJob(owner);
        return CountStarts("i-0") > 8;
      },
      kLimit));
  CheckNothingFailed();
}

TEST(OddRows, EntryOverThatOfLiveTargetDuringTakeoverEndsNoRun) {
  m_cluster = std::make_unique<ClusterStandin>(3, 4'000);
  StartHosts(2);
  const size_t owner = FindOwner();
  const size_t other = 1 - owner;
  const std::string id = Submit(owner, 24);
  CHECK_TRUE(
      harness::WaitFor([this] { return CountStarts("i-0") == 8; }, kLimit));
  m_hosts[owner]->Kill();
  m_killed.insert(owner);
  m_cluster->PutRow(
      "servers", "i-0",
      MakeEntry(R"("quotes")", R"("127.0.0.1:99999")", R"({"cpu":1e300})"));
  LONGS_EQUAL(other, FindOwner());
  CHECK_TRUE(WaitForState(other, id, "completed"));
  CheckEachTaskStartedOnce();
  m_cluster->RestoreEntry(0);
  m_cluster->SetRunTime(100, 100);
  CHECK_TRUE(harness::WaitFor(
      [this, other] {
        RunJob(other);
        return CountStarts("i-0") > 8;
      },
      kLimit));
  CheckNothingFailed();
}

TEST(OddRows, RowsOfOperatorAreLeftAsideUntilTrueOnesCome) {
  m_cluster = std::make_unique<ClusterStandin>(2, 100);
  StartHosts(2);
  const std::string routes =
      R"("routes":[{"name":"quote","host":"127.0.0.1","prefix":"/quote/",)"
      R"("service":"quotes","attempts":2},{"name":"new","host":"127.0.0.1",)"
      R"("prefix":"/new/","service":"quotes","attempts":%}],)"
      R"("services":[{"name":"quotes"}]})";
  std::vector<std::string> configs = {"",
                                      "7",
                                      "[]",
                                      "\xff",
                                      std::string(30'000, '['),
                                      R"({"version":1e300,"routes":[]})"};
  for (const char* number : {"1e300", "-1", "9223372036854775808", "\"2\""}) {
    std::string text = routes;
    configs.push_back(R"({"version":5,)" +
                      text.replace(text.find('%'), 1, number));
  }
  for (const std::string& config : configs) {
    m_cluster->PutRow("op", "config", config);
    m_cluster->PutRow("op", "wave/7", config);
    m_cluster->PutRow("op", "wave/", config);
  }
  m_cluster->PutRow("op", "wave/8",
                    R"({"wave":1e300,"machines":["m-0"],"completeByS":1e300})");
  RunJob(0);
  RunJob(1);
  LONGS_EQUAL(404, Call(0, "POST", "/new/" + MakeId(1), MakeJob(1)).status);
  std::string config = routes;
  m_cluster->PutRow(
      "op", "config",
      R"({"version":6,)" + config.replace(config.find('%'), 1, "2"));
  for (size_t host = 0; host < m_hosts.size(); ++host) {
    CHECK_TRUE(harness::WaitFor(
        [this, host] {
          return Call(host, "POST", "/new/" + MakeId(2), MakeJob(1)).status ==
                 200;
        },
        kLimit));
  }
  CheckNothingFailed();
}

TEST(OddRows, RowOfHostListDoesNotMakeItsCutOffTargetLookEnded) {
  const std::vector<nlohmann::json> rows = {
      {{"machine", "m-0"},
       {"pool", "quotes"},
       {"state", "asleep"},
       {"id", "i-0"}},
      {{"machine", "m-0"}, {"pool", 7}, {"state", "up"}, {"id", "i-0"}},
      {{"machine", 7}, {"pool", "quotes"}, {"state", "up"}, {"id", 7}},
      {{"machine", "m-0"}, {"pool", "quotes"}, {"state", "up"}, {"id", 7}},
      7};
  for (const nlohmann::json& row : rows) {
    m_cluster = std::make_unique<ClusterStandin>(2, 3'500);
    StartHosts(1);
    FindOwner();
    m_cluster->SetHostRow(0, row);
    const std::string id = Submit(0, 12);
    CHECK_TRUE(
        harness::WaitFor([this] { return CountStarts("i-0") > 0; }, kLimit));
    m_cluster->SetCutOff(0, true, true);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    m_cluster->SetCutOff(0, false, true);
    CHECK_TRUE(WaitForState(0, id, "completed"));
    LONGS_EQUAL_TEXT(0, m_cluster->GetDoubledTasks().size(),
                     row.dump().c_str());
    CheckNothingFailed();
    m_hosts.clear();
    m_addresses.clear();
    m_ready_addresses.clear();
  }
}
