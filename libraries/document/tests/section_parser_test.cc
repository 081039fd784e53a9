#include "document/section_parser.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace base = shallotwick::base;
namespace document = shallotwick::document;

namespace {

constexpr char kCompleteSection[] = R"(section: dye
pools:
  - name: dye
    promise: {dc-0: 4, dc-1: 2}
    budget: 1
    survive: rack
services:
  - name: plan
    pool: dye
    slots: 8
    connections: 64
    deadline_ms: 2000
    idempotent: [GET, HEAD]
waves:
  - name: kernel-1
    pools: [dye]
    at_once: 2
    window: {from: "22:30", until: "05:00"}
quota: 40
)";

bool HasFinding(const base::Findings& findings, const std::string& location,
                const std::string& message) {
  for (const base::Finding& finding : findings) {
    if (finding.place.find(location) != std::string::npos &&
        finding.message.find(message) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_GROUP(SectionParser){};

TEST(SectionParser, ParsesCompleteSection) {
  const auto parsed = document::ParseSection("dye", kCompleteSection);
  STRCMP_EQUAL("", base::FormatFindings(parsed.findings).c_str());
  const document::Section& section = parsed.section;
  LONGS_EQUAL(4, section.pools.at(0).promise.at("dc-0"));
  CHECK_TRUE(section.pools[0].survive == document::SurvivedFailure::kRack);
  LONGS_EQUAL(2000, section.services.at(0).deadline_milliseconds);
  LONGS_EQUAL(22 * 60 + 30, section.waves.at(0).window.from_minute);
  LONGS_EQUAL(40, section.quota);
}

TEST(SectionParser, ReportsAllErrorsWithLocations) {
  const auto parsed = document::ParseSection("dye", R"(section: quotes
colour: red
pools:
  - name: Dye_1
    promise: {dc-0: many}
    budget: -1
services:
  - name: plan
    pool: dye
    slots: 0
)");
  const base::Findings& findings = parsed.findings;
  CHECK_TRUE(HasFinding(findings, "line 1, column 10", "names the section"));
  CHECK_TRUE(HasFinding(findings, "line 2, column 1", "unknown key 'colour'"));
  CHECK_TRUE(HasFinding(findings, "line 4, column 11", "not a valid name"));
  CHECK_TRUE(HasFinding(findings, "line 5", "'dc-0' is not an integer"));
  CHECK_TRUE(HasFinding(findings, "line 6, column 13", "'budget'"));
  CHECK_TRUE(HasFinding(findings, "line 8", "'deadline_ms' is missing"));
  CHECK_TRUE(HasFinding(findings, "line 10, column 12", "'slots'"));
  for (const base::Finding& finding : findings) {
    CHECK_FALSE(finding.remedy.empty());
  }
}

TEST(SectionParser, RejectsUnsafeOrAmbiguousYaml) {
  struct Case {
    const char* text;
    const char* message;
  };
  std::string deep = "pools: ";
  deep.append(200, '[');
  std::string large(size_t{300} * 1024, '#');
  const Case cases[] = {
      {"pools: &p []\nwaves: *p\n", "aliases are not taken"},
      {"pools: &p []\n", "anchors are not taken"},
      {"pools: !!binary x\n", "tags are not taken"},
      {"quota: 1\nquota: 2\n", "a second time"},
      {"section: a\n---\nsection: b\n", "second YAML document"},
      {"pools: [\n", "is not YAML"},
      {deep.c_str(), ""},
      {large.c_str(), "bytes"},
      {"", "is not a map"},
      {"- a\n- b\n", "is not a map"},
      {"just text", "is not a map"},
      {"pools: {a: b}\n", "pools is not a list"},
      {"pools: [5]\n", "a pool is not a map"},
      {"section: [a]\n", "is not a text"},
  };
  for (const Case& test : cases) {
    const auto parsed = document::ParseSection("a", test.text);
    CHECK_TEXT(!parsed.findings.empty(), test.message);
    CHECK_TEXT(HasFinding(parsed.findings, "section a", test.message),
               test.message);
  }
}

TEST(SectionParser, ParsesMutatedTextWithoutCrashing) {
  CHECK_TRUE(rc::check("mutated sections", [] {
    std::string text = kCompleteSection;
    const int changes = *rc::gen::inRange(1, 12);
    for (int change = 0; change < changes; ++change) {
      const auto at =
          *rc::gen::inRange<size_t>(0, std::max<size_t>(text.size(), 1));
      text[at] = *rc::gen::arbitrary<char>();
    }
    const auto parsed = document::ParseSection("dye", text);
    RC_ASSERT(parsed.section.team == "dye");
  }));
}

TEST(SectionParser, WindowsMaySpanMidnight) {
  const document::Window night{22 * 60, 5 * 60};
  CHECK_TRUE(document::Contains(night, 23 * 60));
  CHECK_TRUE(document::Contains(night, 4 * 60));
  CHECK_FALSE(document::Contains(night, 5 * 60));
  CHECK_FALSE(document::Contains(night, 12 * 60));
  CHECK_TRUE(document::Contains({0, 0}, 12 * 60));
  CHECK_TRUE(document::Overlaps(night, {60, 120}));
  CHECK_FALSE(document::Overlaps(night, {5 * 60, 22 * 60}));
}
