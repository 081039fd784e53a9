// What the stand-in of the platform tells of executors that come and go.
#include "standin-cluster/cluster_standin.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <nlohmann/json.hpp>
#include <restinio/utils/base64.hpp>
#include <set>
#include <string>

#include "harness/wait.h"
#include "http/blocking_client.h"

using nlohmann::json;
using shallotwick::harness::WaitFor;
using shallotwick::standin::ClusterStandin;
namespace http = shallotwick::http;

TEST_GROUP(ClusterStandin) {
  ClusterStandin m_cluster{5, 100};

  json Get(const std::string& path) const {
    const auto result =
        http::SendAndWait("http://" + m_cluster.GetAddress() + path, {});
    LONGS_EQUAL(200, result.response.status);
    return json::parse(result.response.body);
  }

  // The entries of the registry that can be read, by their ids.
  std::map<std::string, json> ReadRegistry() const {
    std::map<std::string, json> entries;
    const json rows = Get("/v1/rows-get?table=servers").at("rows");
    for (const json& row : rows) {
      const json entry = json::parse(
          restinio::utils::base64::decode(row.at("value").get<std::string>()),
          nullptr, false);
      if (entry.is_object()) {
        entries[row.at("key").get<std::string>()] = entry;
      }
    }
    return entries;
  }

  // The executors of all pages of the host list; those that are down as "".
  std::multiset<std::string> ListExecutors() const {
    std::multiset<std::string> executors;
    json page = Get("/v1/machines");
    for (;;) {
      for (const json& machine : page.at("machines")) {
        CHECK_EQUAL(machine.contains("id"), machine.at("state") == "up");
        executors.insert(machine.value("id", ""));
      }
      if (page.at("nextToken").is_null()) {
        return executors;
      }
      page = Get("/v1/machines?pageToken=" +
                 page.at("nextToken").get<std::string>());
    }
  }

  static int Hold(const std::string& address, const std::string& id) {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/hold";
    request.headers = {{"X-Shallotwick-Expect-Instance", id}};
    request.body = R"({"fence":1})";
    return http::SendAndWait("http://" + address + request.target, request)
        .response.status;
  }
};

TEST(ClusterStandin, HostListComesInPagesAndNamesNoExecutorThatIsDown) {
  CHECK(!Get("/v1/machines").at("nextToken").is_null());
  CHECK((ListExecutors() ==
         std::multiset<std::string>{"i-0", "i-1", "i-2", "i-3", "i-4"}));
  m_cluster.CrashExecutor(3, false);
  CHECK((ListExecutors() ==
         std::multiset<std::string>{"", "i-0", "i-1", "i-2", "i-4"}));
  m_cluster.BootExecutor(3, true, std::chrono::milliseconds(0));
  CHECK((ListExecutors() ==
         std::multiset<std::string>{"i-0", "i-1", "i-2", "i-3-2", "i-4"}));
}

TEST(ClusterStandin, ExecutorWithNewIdRejectsOrdersForFormerOne) {
  const auto address = ReadRegistry().at("i-1").at("addr").get<std::string>();
  LONGS_EQUAL(200, Hold(address, "i-1"));
  m_cluster.CrashExecutor(1, true);
  m_cluster.BootExecutor(1, true, std::chrono::milliseconds(0));
  LONGS_EQUAL(421, Hold(address, "i-1"));
  LONGS_EQUAL(200, Hold(address, "i-1-2"));
  CHECK(WaitFor([this] { return ReadRegistry().count("i-1-2") == 1; }));
  CHECK(address == ReadRegistry().at("i-1-2").at("addr"));
  // The former entry expires.
  CHECK(WaitFor([this] { return ReadRegistry().count("i-1") == 0; }));
}

TEST(ClusterStandin, ExecutorThatLeavesTakesItsEntryAlong) {
  m_cluster.DrainExecutor(2);
  CHECK(WaitFor(
      [this] { return ReadRegistry().at("i-2").at("state") == "draining"; }));
  m_cluster.RemoveExecutor(2);
  CHECK(WaitFor([this] { return ReadRegistry().count("i-2") == 0; },
                std::chrono::seconds(2)));
}

TEST(ClusterStandin, StoreTurnsOneHostAwayAndServesTheOther) {
  ClusterStandin cluster(1, 100, 2);
  const auto read = [&cluster](size_t host) {
    return http::SendAndWait(
        "http://" + cluster.GetStoreAddress(host) +
            "/v1/rows-get?table=servers",
        {}, http::TransferOptions::WithTimeout(std::chrono::milliseconds(300)));
  };
  using Rejection = ClusterStandin::Rejection;
  const std::map<Rejection, int> statuses = {
      {Rejection::kUnavailable, 503}, {Rejection::kTooManyRequests, 429}};
  for (const auto& [rejection, status] : statuses) {
    cluster.SetRejection(0, rejection);
    LONGS_EQUAL(status, read(0).response.status);
    LONGS_EQUAL(200, read(1).response.status);
  }
  cluster.SetRejection(0, Rejection::kSilent);
  CHECK(http::TransferOutcome::kUnknown == read(0).outcome);
  LONGS_EQUAL(200, read(1).response.status);
  cluster.SetRejection(0, Rejection::kNone);
  LONGS_EQUAL(200, read(0).response.status);
}
