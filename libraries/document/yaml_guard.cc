#include "document/yaml_guard.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <set>
#include <sstream>
#include <vector>

namespace shallotwick::document {
namespace {

// Looks at the events of the parser, before any tree is built: a tree would
// follow aliases and drop duplicate keys without a word.
class GuardHandler : public YAML::EventHandler {
 public:
  GuardHandler(std::string team, base::Findings* findings)
      : m_team(std::move(team)), m_findings(findings) {}

  void OnDocumentStart(const YAML::Mark& mark) override {
    ++m_documents;
    if (m_documents > 1) {
      Add(mark, "a second YAML document starts here", "keep one");
    }
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    CheckAnchor(mark, anchor);
    NextNode(mark, "");
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    Add(mark, "aliases are not taken", "write the value out");
    NextNode(mark, "");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    NextNode(mark, value);
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    NextNode(mark, "");
    Open(mark, false);
  }

  void OnSequenceEnd() override { m_open.pop_back(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    NextNode(mark, "");
    Open(mark, true);
  }

  void OnMapEnd() override { m_open.pop_back(); }

 private:
  struct Container {
    bool is_map = false;
    bool expects_key = true;
    std::set<std::string> keys;
  };

  void Add(const YAML::Mark& mark, const std::string& message,
           const std::string& remedy) {
    m_findings->push_back(
        {FormatPlace(m_team, mark.line + 1, mark.column + 1), message, remedy});
  }

  void CheckAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor) {
      Add(mark, "anchors are not taken", "write the value out");
    }
  }

  // "?" and "!" are what the parser reports for plain and for quoted scalars.
  void CheckTag(const YAML::Mark& mark, const std::string& tag) {
    if (!tag.empty() && tag != "?" && tag != "!") {
      Add(mark, "tags are not taken", "leave '" + tag + "' out");
    }
  }

  void NextNode(const YAML::Mark& mark, const std::string& value) {
    if (m_open.empty() || !m_open.back().is_map) {
      return;
    }
    Container& map = m_open.back();
    if (map.expects_key && !map.keys.insert(value).second) {
      Add(mark, "the key '" + value + "' stands here a second time",
          "keep one of them");
    }
    map.expects_key = !map.expects_key;
  }

  void Open(const YAML::Mark& mark, bool is_map) {
    m_open.push_back(Container{is_map, true, {}});
    if (m_open.size() == static_cast<size_t>(kDeepestNesting) + 1) {
      Add(mark,
          "nested deeper than " + std::to_string(kDeepestNesting) + " levels",
          "a section needs at most five");
    }
  }

  std::string m_team;
  base::Findings* m_findings;
  std::vector<Container> m_open;
  int m_documents = 0;
};

}  // namespace

std::string FormatPlace(const std::string& team, int line, int column) {
  return "section " + team + ", line " + std::to_string(line) + ", column " +
         std::to_string(column);
}

base::Findings CheckYaml(const std::string& team, const std::string& text) {
  base::Findings findings;
  if (text.size() > kLargestSectionBytes) {
    findings.push_back(
        {"section " + team, "has " + std::to_string(text.size()) + " bytes",
         "at most " + std::to_string(kLargestSectionBytes) + " are taken"});
    return findings;
  }
  std::istringstream stream(text);
  GuardHandler handler(team, &findings);
  try {
    YAML::Parser parser(stream);
    while (parser.HandleNextDocument(handler)) {
    }
  } catch (const YAML::Exception& error) {
    findings.push_back(
        {FormatPlace(team, error.mark.line + 1, error.mark.column + 1),
         "is not YAML: " + error.msg, "mend the syntax"});
  }
  return findings;
}

}  // namespace shallotwick::document
