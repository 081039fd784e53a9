#include "../admin_api.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "fakes/fake_table_service.h"
#include "records/host_record.h"
#include "records/keys.h"

namespace admin = shallotwick::admin;
namespace control = shallotwick::control;
namespace fakes = shallotwick::fakes;
namespace http = shallotwick::http;
namespace records = shallotwick::records;

namespace {

constexpr char kDye[] =
    "section: dye\npools:\n  - {name: dye, promise: {dc-0: 2}, budget: 1}\n";
constexpr char kDyeLarger[] =
    "section: dye\npools:\n  - {name: dye, promise: {dc-0: 3}, budget: 1}\n";
constexpr char kShop[] =
    "section: shop\npools:\n  - {name: shop, promise: {dc-0: 4}, budget: 1}\n";

}  // namespace

TEST_GROUP(AdminApi) {
  fakes::FakeTableService m_table;
  control::StoreReachability m_store_reachability{"127.0.0.1:1"};
  admin::AdminApi m_api{
      m_table, m_store_reachability,
      admin::AdminApiOptions{"arbiter", 0,
                             "dye:secret-of-dye,shop:secret-of-shop"}};

  void setup() override {
    for (int number = 0; number < 5; ++number) {
      records::HostRecord host;
      host.name = "h" + std::to_string(number);
      host.pool = "office";
      host.data_centre = "dc-0";
      m_table.Commit(
          {"w",
           {},
           {{records::HostKey(host.name), nlohmann::json(host).dump()}}});
    }
  }

  http::Response Submit(const std::string& team, const std::string& text,
                        const std::string& revision, const std::string& token) {
    return m_api.Handle(
        {"PUT",
         "/v1/sections/" + team,
         {{"If-Match", revision}, {"Authorization", "Bearer " + token}},
         text});
  }
  nlohmann::json Get(const std::string& path) {
    return nlohmann::json::parse(m_api.Handle({"GET", path, {}, ""}).body);
  }
};

TEST(AdminApi, OnlyTheOwnersEditASection) {
  LONGS_EQUAL(403, Submit("dye", kDye, "0", "secret-of-shop").status);
  LONGS_EQUAL(403, Submit("dye", kDye, "0", "").status);
  LONGS_EQUAL(403, Submit("dye", kDye, "0", "secret-of-dye-and-more").status);
  LONGS_EQUAL(403, Submit("nobody", kDye, "0", "secret-of-dye").status);
  LONGS_EQUAL(0, Get("/v1/document").at("version").get<int>());
  const http::Response answer = Submit("dye", kDye, "0", "secret-of-shop");
  CHECK(answer.body.find("secret") == std::string::npos);
  LONGS_EQUAL(200, Submit("dye", kDye, "0", "secret-of-dye").status);
}

TEST(AdminApi, ASubmissionNamesTheRevisionThatItEdits) {
  Submit("dye", kDye, "0", "secret-of-dye");
  LONGS_EQUAL(428, Submit("dye", kDyeLarger, "", "secret-of-dye").status);
  const http::Response stale = Submit("dye", kDyeLarger, "0", "secret-of-dye");
  LONGS_EQUAL(412, stale.status);
  STRCMP_EQUAL(
      kDye,
      nlohmann::json::parse(stale.body).at("text").get<std::string>().c_str());
  LONGS_EQUAL(200, Submit("dye", kDyeLarger, "\"1\"", "secret-of-dye").status);
  LONGS_EQUAL(2, Get("/v1/history").at("history").size());
}

TEST(AdminApi, FindingsComeTogetherAndChangeNothing) {
  const http::Response answer = Submit(
      "dye", "section: dye\nquota: many\npools: 5\n", "0", "secret-of-dye");
  LONGS_EQUAL(422, answer.status);
  LONGS_EQUAL(2, nlohmann::json::parse(answer.body).at("findings").size());
  LONGS_EQUAL(0, Get("/v1/document").at("version").get<int>());
}

TEST(AdminApi, ADisputeIsKeptShownAndWithdrawnByItsOwner) {
  Submit("dye", kDye, "0", "secret-of-dye");
  LONGS_EQUAL(202, Submit("shop", kShop, "0", "secret-of-shop").status);
  const auto disputes = Get("/v1/disputes").at("disputes");
  LONGS_EQUAL(1, disputes.size());
  const std::string id = disputes[0].at("id");
  const auto withdraw = [&](const std::string& token) {
    return m_api
        .Handle({"DELETE",
                 "/v1/disputes/" + id,
                 {{"Authorization", "Bearer " + token}},
                 ""})
        .status;
  };
  LONGS_EQUAL(403, withdraw("secret-of-dye"));
  LONGS_EQUAL(200, withdraw("secret-of-shop"));
  LONGS_EQUAL(0, Get("/v1/disputes").at("disputes").size());
}

TEST(AdminApi, AnEditOfAnotherSectionInBetweenNeedsNoRetryByHand) {
  int commits = 0;
  m_table.SetBeforeCommit([&] {
    if (++commits != 1) {
      return;
    }
    // Another admin process takes another team's edit first.
    admin::AdminApi other{
        m_table, m_store_reachability,
        admin::AdminApiOptions{"arbiter", 0, "shop:secret-of-shop"}};
    LONGS_EQUAL(200, other
                         .Handle({"PUT",
                                  "/v1/sections/shop",
                                  {{"If-Match", "0"},
                                   {"Authorization", "Bearer secret-of-shop"}},
                                  "section: shop\nquota: 3\n"})
                         .status);
  });
  LONGS_EQUAL(200, Submit("dye", kDye, "0", "secret-of-dye").status);
  LONGS_EQUAL(2, Get("/v1/document").at("version").get<int>());
}

TEST(AdminApi, ALostAnswerOfTheStoreIsSettled) {
  int calls = 0;
  m_table.SetChooseFault([&calls](bool is_commit) {
    return is_commit && ++calls == 1 ? fakes::TableFault::kAnswerLost
                                     : fakes::TableFault::kNone;
  });
  LONGS_EQUAL(200, Submit("dye", kDye, "0", "secret-of-dye").status);
  LONGS_EQUAL(1, Get("/v1/document").at("version").get<int>());
}

TEST(AdminApi, WithTheStoreDownItSaysSo) {
  m_table.SetChooseFault([](bool) { return fakes::TableFault::kDown; });
  LONGS_EQUAL(503, m_api.Handle({"GET", "/v1/document", {}, ""}).status);
  LONGS_EQUAL(200, m_api.Handle({"GET", "/healthz", {}, ""}).status);
  LONGS_EQUAL(503, m_api.Handle({"GET", "/readyz", {}, ""}).status);
}

TEST(AdminApi, BadRequestTable) {
  struct Case {
    const char* method;
    const char* target;
    int status;
  };
  const Case cases[] = {
      {"GET", "/", 404},
      {"GET", "/v1", 404},
      {"GET", "/v1/nothing", 404},
      {"POST", "/v1/document", 405},
      {"GET", "/v1/sections/none", 404},
      {"PATCH", "/v1/sections/dye", 405},
      {"GET", "/v1/sections/dye/check", 405},
      {"GET", "/v1/hosts/h1/more", 404},
      {"PUT", "/v1/sections/..%2f..", 403},
      {"DELETE", "/v1/disputes/d-1", 403},
      {"GET", "/v1/history?from=x", 200},
  };
  for (const Case& test : cases) {
    const int status = m_api.Handle({test.method, test.target, {}, ""}).status;
    CHECK_EQUAL_TEXT(test.status, status, test.target);
  }
}
