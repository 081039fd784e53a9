#include "base/log.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <set>
#include <sstream>

#include "base/log_catalogue.h"

namespace base = shallotwick::base;

namespace {

constexpr base::LogEvent kEvent{999, "sample", base::Severity::kWarning, "A."};

// Returns the table row that docs/LOGS.md must contain for an event.
std::string MakeCatalogueLine(const base::LogEvent& event) {
  return "| " + std::to_string(event.number) + " | " + std::string(event.name) +
         " | " + std::string(base::NameOf(event.severity)) + " | " +
         std::string(event.meaning) + " |";
}

std::set<std::string> ReadCatalogueLines() {
  std::ifstream file(std::string(SHALLOTWICK_SOURCE_DIR) + "/docs/LOGS.md");
  std::set<std::string> lines;
  std::string line;
  while (std::getline(file, line)) {
    const bool is_event =
        line.size() > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9';
    if (is_event) {
      lines.insert(line);
    }
  }
  return lines;
}

}  // namespace

TEST_GROUP(Log){};

TEST(Log, FormatsTextWithQuotedValues) {
  STRCMP_EQUAL("T warning gateway 999 sample a=1 b=\"two words\" c=\"x\\\"y\"",
               base::FormatLogLine(
                   kEvent, {{"a", "1"}, {"b", "two words"}, {"c", "x\"y"}},
                   base::LogFormat::kText, "gateway", "T")
                   .c_str());
}

TEST(Log, EscapesLineBreaksInValues) {
  const std::string line = base::FormatLogLine(
      kEvent, {{"a", "x\ny"}}, base::LogFormat::kJson, "gateway", "T");
  CHECK(line.find('\n') == std::string::npos);
  CHECK(line.find("\"a\":\"x\\u000ay\"") != std::string::npos);
}

TEST(Log, DocumentedCatalogueMatchesTheCode) {
  std::set<std::string> expected;
  std::set<int> numbers;
  for (const base::LogEvent& event : base::events::kAll) {
    expected.insert(MakeCatalogueLine(event));
    CHECK_TRUE(numbers.insert(event.number).second);
  }
  const std::set<std::string> documented = ReadCatalogueLines();
  for (const std::string& line : expected) {
    CHECK_TEXT(documented.count(line) == 1,
               ("missing in docs/LOGS.md: " + line).c_str());
  }
  LONGS_EQUAL(expected.size(), documented.size());
}
