// Calls of customers, and of others.
#include <CppUTest/TestHarness.h>

#include <optional>

#include "../job_api.h"
#include "../scheduler_settings.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;
namespace fakes = shallotwick::fakes;
namespace http = shallotwick::http;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

TEST_GROUP(JobApiCustomers) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};
  base::MetricRegistry m_metrics;
  scheduler::JobService m_jobs{m_loop, m_store};
  scheduler::JobStateLookup m_states{m_loop, m_jobs};
  scheduler::JobApi m_api{m_jobs, m_states, m_metrics};
  scheduling::ServingConfig m_config;
  base::Duration m_config_age{0};
  std::vector<scheduling::JobSpec> m_submitted;

  void setup() override {
    base::Findings findings;
    m_config.customers = {{{"a", {"a1"}, 1, {}}}, findings};
    m_config.routes = {{"keyed", "x", "/k/", "pool", {}, false},
                       {"public", "x", "/p/", "pool", {}, true}};
    m_api.m_get_config = [this] { return &m_config; };
    m_api.m_get_config_age = [this] { return m_config_age; };
    m_api.m_admission_policy = {milliseconds(5'000)};
    m_api.m_is_store_reachable = [] { return true; };
    m_api.m_can_submit = [](const std::string&) { return true; };
    m_api.m_submit = [this](const std::string&, const scheduling::JobSpec& job,
                            const scheduler::JobService::OnOutcome& on_done) {
      m_submitted.push_back(job);
      on_done(scheduler::JobCallOutcome::kDone);
    };
  }

  http::Response Call(const char* method, const std::string& target,
                      const char* key = nullptr) {
    http::Request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "x"}};
    if (key != nullptr) {
      request.headers.emplace_back("Authorization",
                                   std::string("Bearer ") + key);
    }
    request.body = R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";
    std::optional<http::Response> received;
    m_api.Handle(request, [&received](const http::Response& response) {
      received = response;
    });
    fakes::ProcessDueEvents(m_loop);
    return received.value();
  }
};

TEST(JobApiCustomers, EveryCallOfARouteThatIsNotPublicNeedsAKey) {
  const std::string job = "/k/5c0e7a21d94b36f8";
  for (const char* method : {"POST", "GET", "DELETE"}) {
    for (const char* key : {static_cast<const char*>(nullptr), "b1"}) {
      const http::Response response = Call(method, job, key);
      LONGS_EQUAL(401, response.status);
      STRCMP_EQUAL("Bearer",
                   http::FindHeader(response.headers, "WWW-Authenticate")
                       .value()
                       .c_str());
    }
  }
  LONGS_EQUAL(401, Call("GET", "/k/").status);
  LONGS_EQUAL(200, Call("GET", "/k/", "a1").status);
  CHECK_TRUE(m_submitted.empty());
  LONGS_EQUAL(4, m_metrics
                     .GetCounter("shallotwick_unauthorized_calls_total",
                                 {{"reason", "key-missing"}})
                     .GetValue());
}

TEST(JobApiCustomers, AJobIsItsCustomers) {
  LONGS_EQUAL(200, Call("POST", "/k/5c0e7a21d94b36f8", "a1").status);
  STRCMP_EQUAL("a", m_submitted.at(0).customer.c_str());
  LONGS_EQUAL(200, Call("POST", "/p/5c0e7a21d94b36f9").status);
  STRCMP_EQUAL("", m_submitted.at(1).customer.c_str());
}

TEST(JobApiCustomers, AHostWithoutAProofRefusesKeysAndUnknownPaths) {
  m_config_age = milliseconds(6'000);
  for (const char* target : {"/k/5c0e7a21d94b36f8", "/k/", "/unknown/"}) {
    const http::Response response = Call("GET", target, "a1");
    LONGS_EQUAL(503, response.status);
    CHECK_TRUE(http::FindHeader(response.headers, "Retry-After").has_value());
  }
  LONGS_EQUAL(503, Call("GET", "/k/", "new").status);
  CHECK_FALSE(m_api.CanAdmitCalls());
  LONGS_EQUAL(200, Call("GET", "/p/").status);
  m_config_age = milliseconds(0);
  LONGS_EQUAL(404, Call("GET", "/unknown/").status);
  CHECK_TRUE(m_api.CanAdmitCalls());
}

TEST(JobApiCustomers, RevocationIsBoundedOnlyWhereTheSettingsSaySo) {
  const auto make = [](const std::string& strict, const std::string& bound) {
    return scheduler::MakeAdmissionPolicy(base::Settings::Parse(
        scheduler::GetSettings(),
        {"--name", "n", "--listen", "127.0.0.1:1", "--ready-listen",
         "127.0.0.1:2", "--platform", "127.0.0.1:3", "--hosts", "127.0.0.1:4"},
        [&](const std::string& name) -> std::optional<std::string> {
          if (name == "SHALLOTWICK_STRICT_REVOCATION") {
            return strict;
          }
          if (name == "SHALLOTWICK_REVOCATION_MS") {
            return bound;
          }
          return std::nullopt;
        }));
  };
  CHECK_TRUE(make("true", "5000").max_revocation_time == milliseconds(5'000));
  // As on deployments without keys.
  CHECK_TRUE(make("", "").max_revocation_time == base::Duration(0));
  CHECK_TRUE(make("false", "5000").max_revocation_time == base::Duration(0));
}
