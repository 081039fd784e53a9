#include <CppUTest/TestHarness.h>

#include <sstream>

#include "../command_line.h"
#include "../commands.h"
#include "../line_diff.h"
#include "base/finding.h"

namespace base = shallotwick::base;
namespace ctl = shallotwick::ctl;
namespace http = shallotwick::http;

namespace {

std::optional<std::string> ReadNothing(const std::string& /*name*/) {
  return std::nullopt;
}

}  // namespace

// Runs commands against answers given by the test.
TEST_GROUP(Ctl) {
  std::ostringstream m_out;
  std::ostringstream m_error;
  std::vector<http::Request> m_requests;
  http::Response m_answer;
  std::string m_file;

  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--admin", "127.0.0.1:1"});
    const ctl::CommandEnvironment environment{
        [this](const std::string&, http::Request request) {
          m_requests.push_back(std::move(request));
          return http::TransferResult{http::TransferOutcome::kComplete,
                                      m_answer, "", false};
        },
        [this](const std::string&) { return m_file; }, m_out, m_error};
    return ctl::RunCommand(ctl::ParseCommandLine(arguments, ReadNothing),
                           environment);
  }
  bool Printed(const std::string& text) {
    return m_out.str().find(text) != std::string::npos;
  }
};

TEST(Ctl, FaultsOfTheCommandLineComeTogether) {
  try {
    ctl::ParseCommandLine({"--colour", "--output=xml", "--token"}, ReadNothing);
    FAIL("no fault was found");
  } catch (const base::InvalidInput& error) {
    LONGS_EQUAL(3, error.GetFindings().size());
  }
}

TEST(Ctl, UnknownCommandsAndMissingWordsAreBadUsage) {
  LONGS_EQUAL(ctl::kExitBadUsage, Run({"fly", "away"}));
  LONGS_EQUAL(ctl::kExitBadUsage, Run({"section", "show"}));
  LONGS_EQUAL(ctl::kExitBadUsage, Run({"history", "show", "x"}));
  CHECK(m_error.str().find("see --help") != std::string::npos);
  LONGS_EQUAL(0, m_requests.size());
}

TEST(Ctl, GetAndSubmitCarryTheRevisionInTheText) {
  m_answer = {200, {}, R"({"team":"dye","revision":7,"text":"quota: 1\n"})"};
  LONGS_EQUAL(ctl::kExitSuccess, Run({"section", "get", "dye"}));
  m_file = m_out.str();
  m_answer = {200, {}, R"({"verdict":"accepted","version":8,"findings":[]})"};
  LONGS_EQUAL(ctl::kExitSuccess, Run({"section", "submit", "dye", "file"}));
  STRCMP_EQUAL("7",
               http::FindHeader(m_requests.at(1).headers, "If-Match")->c_str());
  STRCMP_EQUAL("quota: 1\n", m_requests[1].body.c_str());
}

TEST(Ctl, ASubmissionWithoutARevisionIsNotSent) {
  m_file = "quota: 1\n";
  LONGS_EQUAL(ctl::kExitBadUsage, Run({"section", "submit", "dye", "file"}));
  LONGS_EQUAL(0, m_requests.size());
}

TEST(Ctl, ExitCodesTellTheVerdicts) {
  struct Case {
    int status;
    const char* body;
    int exit_code;
  };
  const Case cases[] = {
      {200, R"({"verdict":"accepted","version":2,"findings":[]})",
       ctl::kExitSuccess},
      {202,
       R"({"verdict":"disputed","version":2,"findings":[],
           "dispute":{"id":"d-1"}})",
       ctl::kExitDisputed},
      {422,
       R"({"verdict":"rejected","version":2,"findings":[
           {"place":"line 1","message":"m","remedy":"r"}]})",
       ctl::kExitRejected},
      {412, R"({"verdict":"stale","version":2,"findings":[],"text":"x"})",
       ctl::kExitStale},
      {403, R"({"detail":"not yours"})", ctl::kExitNotOwner},
      {503, R"({"detail":"down"})", ctl::kExitFailure},
  };
  m_file = "# revision: 1\nquota: 1\n";
  for (const Case& test : cases) {
    m_answer = {test.status, {}, test.body};
    LONGS_EQUAL(test.exit_code, Run({"section", "submit", "dye", "file"}));
  }
  CHECK_TRUE(Printed("line 1: m; r"));
  CHECK_TRUE(Printed("dispute d-1"));
}

TEST(Ctl, ListsAreTablesOrJson) {
  m_answer = {200,
              {},
              R"({"waves":[{"wave":"w1","pools":["a","b"],"done":1,
                  "in_maintenance":0,"left":2}]})"};
  Run({"waves", "list"});
  CHECK_TRUE(Printed("w1    a,b    1     0               2"));
  Run({"waves", "list", "--output", "json"});
  CHECK_TRUE(Printed("\"in_maintenance\": 0"));
}

TEST(Ctl, AnAnswerOfTheWrongFormIsAFailureWithAMessage) {
  for (const char* body : {"", "no json", "{}", "[]"}) {
    m_answer = {200, {}, body};
    LONGS_EQUAL(ctl::kExitFailure, Run({"waves", "list"}));
  }
  CHECK_FALSE(m_error.str().empty());
}

TEST(Ctl, DiffsLines) {
  STRCMP_EQUAL("  a\n- b\n+ x\n  c\n+ d\n",
               ctl::DiffLines("a\nb\nc\n", "a\nx\nc\nd\n").c_str());
  STRCMP_EQUAL("+ a\n", ctl::DiffLines("", "a\n").c_str());
}
