#include <CppUTest/TestHarness.h>

#include <memory>

#include "fakes/fake_table_service.h"
#include "http/server.h"
#include "standin-platform/platform_standin.h"
#include "storage/http_platform.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace http = shallotwick::http;
namespace storage = shallotwick::storage;
namespace standin = shallotwick::standin;

using storage::CommitStatus;
using storage::Condition;

namespace {

storage::Transaction MakeTransaction(const std::string& write_id,
                                     std::vector<Condition> conditions,
                                     std::vector<storage::Write> writes) {
  return {write_id, std::move(conditions), std::move(writes)};
}

// Checks the contract of TableService. Runs against each implementation.
void CheckContract(storage::TableService& table) {
  const auto first = table.Commit(MakeTransaction(
      "w1", {Condition::GenerationIs("a/1", storage::kAbsent)},
      {{"a/1", R"({"holder":"x"})"}, {"a/2", "{}"}, {"b/1", "{}"}}));
  CHECK_TRUE(first.status == CommitStatus::kCommitted);

  const auto by_prefix = table.Read({{}, {"a/"}});
  LONGS_EQUAL(2, by_prefix.size());
  STRCMP_EQUAL("a/1", by_prefix[0].key.c_str());
  STRCMP_EQUAL("w1", by_prefix[0].write_id.c_str());
  LONGS_EQUAL(first.generation, by_prefix[0].generation);
  LONGS_EQUAL(2, table.Read({{"a/1", "missing"}, {"b/"}}).size());

  // If any condition is not met, no write is applied.
  const auto conflict = table.Commit(
      MakeTransaction("w2",
                      {Condition::GenerationIs("a/1", storage::kAbsent),
                       Condition::FieldIs("a/1", "holder", "x")},
                      {{"a/2", R"({"changed":true})"}}));
  CHECK_TRUE(conflict.status == CommitStatus::kConflict);
  LONGS_EQUAL(1, conflict.conflicting_keys.size());
  STRCMP_EQUAL("{}", table.Read({{"a/2"}, {}})[0].value.c_str());

  const auto fenced = table.Commit(
      MakeTransaction("w3", {Condition::FieldIs("a/1", "holder", "y")},
                      {{"a/2", std::nullopt}}));
  CHECK_TRUE(fenced.status == CommitStatus::kConflict);

  const auto deleted = table.Commit(
      MakeTransaction("w4", {Condition::FieldIs("a/1", "holder", "x")},
                      {{"a/2", std::nullopt}}));
  CHECK_TRUE(deleted.status == CommitStatus::kCommitted);
  CHECK_TRUE(table.Read({{"a/2"}, {}}).empty());

  // A generation is not reused, not even after the row is deleted.
  const auto again = table.Commit(
      MakeTransaction("w5", {Condition::GenerationIs("a/2", storage::kAbsent)},
                      {{"a/2", "{}"}}));
  CHECK_TRUE(again.generation > deleted.generation);
}

}  // namespace

TEST_GROUP(TableContract) {
  standin::PlatformStandin m_standin{"", std::chrono::milliseconds(1)};
  std::unique_ptr<http::Server> m_server;

  storage::HttpPlatform MakeClient(std::chrono::milliseconds timeout =
                                       std::chrono::seconds(5)) {
    http::ServerOptions options;
    options.listen = base::ParseEndpoint("127.0.0.1:0");
    m_server = std::make_unique<http::Server>(
        options, [this](const http::Request& request, http::Respond respond) {
          m_standin.Handle(request, std::move(respond));
        });
    return storage::HttpPlatform(
        "127.0.0.1:" + std::to_string(m_server->GetPort()), timeout);
  }

  void SetFaults(const std::string& json) {
    m_standin.Handle({"POST", "/standin/faults", {}, json},
                     [](const http::Response&) {});
  }
};

TEST(TableContract, FakeFulfilsContract) {
  fakes::FakeTableService table;
  CheckContract(table);
}

TEST(TableContract, HttpClientFulfilsContract) {
  storage::HttpPlatform table = MakeClient();
  CheckContract(table);
}

TEST(TableContract, FaultsThrowUnavailable) {
  storage::HttpPlatform table = MakeClient(std::chrono::milliseconds(80));
  for (const char* faults :
       {R"({"mode":"down"})", R"({"mode":"freeze"})", R"({"delay_ms":400})"}) {
    SetFaults(faults);
    CHECK_THROWS(storage::Unavailable, table.Read({{"a"}, {}}));
    CHECK_THROWS(storage::Unavailable, table.Commit({"w", {}, {}}));
    CHECK_THROWS(storage::Unavailable, table.List());
    SetFaults("{}");
  }
}

TEST(TableContract, CommitTakesEffectThoughResponseIsLost) {
  storage::HttpPlatform table = MakeClient();
  SetFaults(R"({"mode":"lose-answers"})");
  CHECK_THROWS(storage::Unavailable,
               table.Commit(MakeTransaction("w1", {}, {{"a", "{}"}})));
  SetFaults("{}");
  STRCMP_EQUAL("w1", table.Read({{"a"}, {}}).at(0).write_id.c_str());
}

TEST(TableContract, ObjectsAndHostsRoundTrip) {
  storage::HttpPlatform client = MakeClient();
  const std::string bytes("\0\xff\r\n bytes", 10);
  client.Put("claim-body/1", bytes);
  CHECK_TRUE(client.Get("claim-body/1") == bytes);
  CHECK_FALSE(client.Get("claim-body/2").has_value());

  const storage::ListedHost host{"h1",    "127.0.0.1:80",
                                 "dc-0",  "rack-0",
                                 32,      64,
                                 2,       storage::ListedStatus::kLeaving,
                                 "boot-1"};
  m_standin.Handle(
      {"POST",
       "/standin/hosts",
       {},
       R"({"hosts":[{"name":"h1","address":"127.0.0.1:80","data_centre":"dc-0",
         "rack":"rack-0","processors":32,"memory_gigabytes":64,
         "accelerators":2,"status":"leaving","boot_id":"boot-1"}]})"},
      [](const http::Response&) {});
  CHECK_TRUE(client.List() == std::vector<storage::ListedHost>{host});
}

TEST(TableContract, RebootAffectsOnlyTheGivenBoot) {
  fakes::FakeHostList hosts;
  hosts.Put({"h1", "127.0.0.1:80", "dc-0", "rack-0", 1, 1, 0,
             storage::ListedStatus::kLive, "boot-1"});
  hosts.Reboot("h1", "boot-1");
  hosts.FinishReboot("h1");
  const std::string boot_id = hosts.List()[0].boot_id;
  // A repeated request for the previous boot has no effect.
  hosts.Reboot("h1", "boot-1");
  CHECK_TRUE(hosts.List()[0].status == storage::ListedStatus::kLive);
  STRCMP_EQUAL(boot_id.c_str(), hosts.List()[0].boot_id.c_str());
}
