#include "document/yaml_guard.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <set>
#include <sstream>
#include <vector>

namespace shallotwick::document {
namespace {

// Checks the parser's events before a node tree is built, because building the
// tree would expand aliases and silently drop duplicate keys.
class SafetyCheckHandler : public YAML::EventHandler {
 public:
  SafetyCheckHandler(std::string team, base::Findings* findings)
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
    ProcessNode(mark, "");
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    Add(mark, "aliases are not taken", "write the value in full");
    ProcessNode(mark, "");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    ProcessNode(mark, value);
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    ProcessNode(mark, "");
    OpenContainer(mark, false);
  }

  void OnSequenceEnd() override { m_open_containers.pop_back(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    ProcessNode(mark, "");
    OpenContainer(mark, true);
  }

  void OnMapEnd() override { m_open_containers.pop_back(); }

 private:
  struct Container {
    bool is_map = false;
    bool expects_key = true;
    std::set<std::string> keys;
  };

  void Add(const YAML::Mark& mark, const std::string& message,
           const std::string& remedy) {
    m_findings->push_back(
        {FormatLocation(m_team, mark.line + 1, mark.column + 1), message,
         remedy});
  }

  void CheckAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor) {
      Add(mark, "anchors are not taken", "write the value in full");
    }
  }

  // The parser reports "?" for plain scalars and "!" for quoted scalars.
  void CheckTag(const YAML::Mark& mark, const std::string& tag) {
    if (!tag.empty() && tag != "?" && tag != "!") {
      Add(mark, "tags are not taken", "remove '" + tag + "'");
    }
  }

  void ProcessNode(const YAML::Mark& mark, const std::string& value) {
    if (m_open_containers.empty() || !m_open_containers.back().is_map) {
      return;
    }
    Container& map = m_open_containers.back();
    if (map.expects_key && !map.keys.insert(value).second) {
      Add(mark, "the key '" + value + "' is given a second time",
          "keep one of them");
    }
    map.expects_key = !map.expects_key;
  }

  void OpenContainer(const YAML::Mark& mark, bool is_map) {
    m_open_containers.push_back(Container{is_map, true, {}});
    if (m_open_containers.size() == static_cast<size_t>(kMaxNestingDepth) + 1) {
      Add(mark,
          "nested deeper than " + std::to_string(kMaxNestingDepth) + " levels",
          "a section needs at most five");
    }
  }

  std::string m_team;
  base::Findings* m_findings;
  std::vector<Container> m_open_containers;
  int m_documents = 0;
};

}  // namespace

std::string FormatLocation(const std::string& team, int line, int column) {
  return "section " + team + ", line " + std::to_string(line) + ", column " +
         std::to_string(column);
}

base::Findings CheckYaml(const std::string& team, const std::string& text) {
  base::Findings findings;
  if (text.size() > kMaxSectionBytes) {
    findings.push_back(
        {"section " + team, "has " + std::to_string(text.size()) + " bytes",
         "at most " + std::to_string(kMaxSectionBytes) + " are accepted"});
    return findings;
  }
  std::istringstream stream(text);
  SafetyCheckHandler handler(team, &findings);
  try {
    YAML::Parser parser(stream);
    while (parser.HandleNextDocument(handler)) {
    }
  } catch (const YAML::Exception& error) {
    findings.push_back(
        {FormatLocation(team, error.mark.line + 1, error.mark.column + 1),
         "is not YAML: " + error.msg, "correct the syntax"});
  }
  return findings;
}

}  // namespace shallotwick::document
