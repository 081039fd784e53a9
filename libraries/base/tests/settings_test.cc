#include "base/settings.h"

#include <CppUTest/TestHarness.h>

namespace base = shallotwick::base;

namespace {

const std::vector<base::SettingDeclaration> kDeclarations = {
    {"name", "NAME", "a name", std::nullopt, base::CheckNotEmpty},
    {"listen", "IP:PORT", "an address", "127.0.0.1:0", base::CheckAddress},
    {"threads", "COUNT", "a count", "2", base::CheckInteger(1, 8)}};

base::Settings Parse(const std::vector<std::string>& arguments,
                     const std::map<std::string, std::string>& environment) {
  return base::Settings::Parse(
      kDeclarations, arguments,
      [&environment](const std::string& name) -> std::optional<std::string> {
        const auto found = environment.find(name);
        return found == environment.end()
                   ? std::nullopt
                   : std::optional<std::string>(found->second);
      });
}

base::Findings CollectFindings(
    const std::vector<std::string>& arguments,
    const std::map<std::string, std::string>& environment = {}) {
  try {
    Parse(arguments, environment);
  } catch (const base::InvalidInput& error) {
    return error.GetFindings();
  }
  return {};
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, CommandLineOverridesEnvironmentAndEnvironmentOverridesDefault) {
  const base::Settings settings = Parse(
      {"--name", "g1", "--threads=4"},
      {{"SHALLOTWICK_THREADS", "3"}, {"SHALLOTWICK_LISTEN", "127.0.0.2:80"}});
  STRCMP_EQUAL("g1", settings.GetString("name").c_str());
  LONGS_EQUAL(4, settings.GetInteger("threads"));
  STRCMP_EQUAL("127.0.0.2:80", settings.GetString("listen").c_str());
}

TEST(Settings, ReportsAllErrorsTogether) {
  const base::Findings findings =
      CollectFindings({"--threads", "9", "--colour", "red"},
                      {{"SHALLOTWICK_LISTEN", "localhost:80"}});
  const std::string text = base::FormatFindings(findings);
  CHECK(text.find("--name: is required") != std::string::npos);
  CHECK(text.find("--threads: '9'") != std::string::npos);
  CHECK(text.find("SHALLOTWICK_LISTEN: 'localhost:80'") != std::string::npos);
  CHECK(text.find("--colour: unknown flag") != std::string::npos);
}

TEST(Settings, RejectsMalformedAddresses) {
  for (const char* address : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x",
                              "127.0.0.1:65536", "host:80", "127.0.0.1:-1"}) {
    CHECK_FALSE(base::CheckAddress(address).empty());
  }
  for (const char* address : {"127.0.0.1:0", "[::1]:80", "10.1.2.3:65535"}) {
    CHECK(base::CheckAddress(address).empty());
  }
}

TEST(Settings, FormattingReversesParsingOfAnAddress) {
  for (const char* address : {"127.0.0.1:8080", "[::1]:80"}) {
    STRCMP_EQUAL(address,
                 base::FormatEndpoint(base::ParseEndpoint(address)).c_str());
  }
}
