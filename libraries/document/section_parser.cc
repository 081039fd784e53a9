#include "document/section_parser.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <optional>
#include <set>

#include "document/yaml_guard.h"

namespace shallotwick::document {
namespace {

constexpr size_t kMaxNameLength = 63;
constexpr int kMaxHosts = 100'000;
constexpr int kMaxSlots = 10'000;
constexpr int kMaxDeadlineMs = 600'000;
constexpr int kMaxConcurrentRequests = 1'000'000;
constexpr int kMinutesPerHour = 60;
constexpr int kHoursPerDay = 24;

// Reads the YAML nodes of one section and collects a finding for each error.
class SectionReader {
 public:
  SectionReader(std::string team, ParsedSection* result)
      : m_team(std::move(team)), m_result(result) {}

  void Read(const YAML::Node& root) {
    Section& section = m_result->section;
    section.team = m_team;
    if (!CheckMap(root, "the section",
                  {"section", "pools", "services", "waves", "quota", "rulings",
                   "limits"})) {
      return;
    }
    const std::string section_name = ReadName(root, "section");
    if (!section_name.empty() && section_name != m_team) {
      Add(root["section"], "names the section '" + section_name + "'",
          "this section is '" + m_team + "'");
    }
    ForEach(root, "pools", [&](const YAML::Node& node) {
      section.pools.push_back(ReadPool(node));
    });
    ForEach(root, "services", [&](const YAML::Node& node) {
      section.services.push_back(ReadService(node));
    });
    ForEach(root, "waves", [&](const YAML::Node& node) {
      section.waves.push_back(ReadWave(node));
    });
    ForEach(root, "rulings", [&](const YAML::Node& node) {
      section.rulings.push_back(ReadRuling(node));
    });
    ForEach(root, "limits", [&](const YAML::Node& node) {
      section.limits.push_back(ReadLimit(node));
    });
    if (root["quota"].IsDefined()) {
      section.quota = ReadInteger(root, "quota", 0, kMaxConcurrentRequests);
    }
    CheckDistinctNames();
  }

 private:
  void Add(const YAML::Node& node, const std::string& message,
           const std::string& remedy) {
    const YAML::Mark mark = node.Mark();
    m_result->findings.push_back(
        {FormatLocation(m_team, std::max(mark.line, 0) + 1,
                        std::max(mark.column, 0) + 1),
         message, remedy});
  }

  bool CheckMap(const YAML::Node& node, const std::string& description,
                const std::set<std::string>& known_keys) {
    if (!node.IsMap()) {
      Add(node, description + " is not a map",
          "write it as 'key: value' lines");
      return false;
    }
    for (const auto& entry : node) {
      const std::string key =
          entry.first.IsScalar() ? entry.first.Scalar() : "";
      if (known_keys.count(key) == 0) {
        Add(entry.first, "unknown key '" + key + "' in " + description,
            "known keys are " + JoinNames(known_keys));
      }
    }
    return true;
  }

  static std::string JoinNames(const std::set<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
      text += (text.empty() ? "" : ", ") + name;
    }
    return text;
  }

  template <typename Visit>
  void ForEach(const YAML::Node& parent, const char* key, const Visit& visit) {
    const YAML::Node list = parent[key];
    if (!list.IsDefined() || list.IsNull()) {
      return;
    }
    if (!list.IsSequence()) {
      Add(list, std::string(key) + " is not a list",
          "write each entry as '- name: ...'");
      return;
    }
    for (const YAML::Node& node : list) {
      visit(node);
    }
  }

  std::optional<YAML::Node> Require(const YAML::Node& parent, const char* key) {
    const YAML::Node node = parent[key];
    if (!node.IsDefined()) {
      Add(parent, std::string("'") + key + "' is missing", "add it");
      return std::nullopt;
    }
    return node;
  }

  std::string ReadText(const YAML::Node& parent, const char* key) {
    const auto node = Require(parent, key);
    if (!node) {
      return "";
    }
    if (!node->IsScalar() || node->Scalar().empty()) {
      Add(*node, std::string("'") + key + "' is not a text", "write one value");
      return "";
    }
    return node->Scalar();
  }

  std::string ReadName(const YAML::Node& parent, const char* key) {
    const std::string name = ReadText(parent, key);
    if (!name.empty() && !IsValidName(name)) {
      Add(parent[key], "'" + name + "' is not a valid name",
          "use lower case letters, digits and dashes, at most 63");
    }
    return name;
  }

  int ReadInteger(const YAML::Node& parent, const char* key, int min, int max) {
    const auto node = Require(parent, key);
    if (!node) {
      return min;
    }
    return ReadIntegerNode(*node, key, min, max);
  }

  int ReadIntegerNode(const YAML::Node& node, const std::string& name, int min,
                      int max) {
    int value = 0;
    if (!node.IsScalar() || !YAML::convert<int>::decode(node, value) ||
        value < min || value > max) {
      Add(node, "'" + name + "' is not an integer in the allowed range",
          "write an integer from " + std::to_string(min) + " to " +
              std::to_string(max));
      return min;
    }
    return value;
  }

  PoolPlan ReadPool(const YAML::Node& node) {
    PoolPlan pool;
    if (!CheckMap(node, "a pool", {"name", "promise", "budget", "survive"})) {
      return pool;
    }
    pool.name = ReadName(node, "name");
    pool.budget = ReadInteger(node, "budget", 0, kMaxHosts);
    if (node["survive"].IsDefined()) {
      pool.survive = ReadSurvivedFailure(node);
    }
    const auto promise = Require(node, "promise");
    if (!promise) {
      return pool;
    }
    if (!promise->IsMap()) {
      Add(*promise, "'promise' is not a map",
          "write 'data-centre: hosts' lines");
      return pool;
    }
    for (const auto& entry : *promise) {
      const std::string data_centre =
          entry.first.IsScalar() ? entry.first.Scalar() : "";
      if (!IsValidName(data_centre)) {
        Add(entry.first, "'" + data_centre + "' is not a valid name",
            "name a data centre");
        continue;
      }
      pool.promise[data_centre] =
          ReadIntegerNode(entry.second, data_centre, 0, kMaxHosts);
    }
    return pool;
  }

  SurvivedFailure ReadSurvivedFailure(const YAML::Node& parent) {
    const std::string name = ReadText(parent, "survive");
    if (name == "host") {
      return SurvivedFailure::kHost;
    }
    if (name == "rack") {
      return SurvivedFailure::kRack;
    }
    if (name != "none") {
      Add(parent["survive"],
          "'" + name + "' is not a failure that a pool can survive",
          "write none, host or rack");
    }
    return SurvivedFailure::kNone;
  }

  ServicePlan ReadService(const YAML::Node& node) {
    ServicePlan service;
    if (!CheckMap(node, "a service",
                  {"name", "pool", "slots", "connections", "deadline_ms",
                   "idempotent"})) {
      return service;
    }
    service.name = ReadName(node, "name");
    service.pool = ReadName(node, "pool");
    service.slots = ReadInteger(node, "slots", 1, kMaxSlots);
    service.connections = ReadInteger(node, "connections", 1, kMaxSlots);
    service.deadline_milliseconds =
        ReadInteger(node, "deadline_ms", 1, kMaxDeadlineMs);
    ForEach(node, "idempotent", [&](const YAML::Node& method) {
      const std::string name = method.IsScalar() ? method.Scalar() : "";
      const bool is_upper_case =
          !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
            return c >= 'A' && c <= 'Z';
          });
      if (!is_upper_case) {
        Add(method, "'" + name + "' is not an HTTP method",
            "write it in upper case, such as GET");
        return;
      }
      service.idempotent_methods.push_back(name);
    });
    return service;
  }

  WavePlan ReadWave(const YAML::Node& node) {
    WavePlan wave;
    if (!CheckMap(node, "a wave", {"name", "pools", "at_once", "window"})) {
      return wave;
    }
    wave.name = ReadName(node, "name");
    wave.at_once = ReadInteger(node, "at_once", 1, kMaxHosts);
    ForEach(node, "pools", [&](const YAML::Node& pool) {
      const std::string name = pool.IsScalar() ? pool.Scalar() : "";
      if (!IsValidName(name)) {
        Add(pool, "'" + name + "' is not a valid name", "name a pool");
        return;
      }
      wave.pools.push_back(name);
    });
    if (wave.pools.empty()) {
      Add(node, "the wave names no pool", "add 'pools: [...]'");
    }
    const YAML::Node window = node["window"];
    if (window.IsDefined() && CheckMap(window, "a window", {"from", "until"})) {
      wave.window.from_minute = ReadTime(window, "from");
      wave.window.until_minute = ReadTime(window, "until");
    }
    return wave;
  }

  // Reads a time of day such as "22:30" and returns it in minutes.
  int ReadTime(const YAML::Node& parent, const char* key) {
    const std::string text = ReadText(parent, key);
    if (text.empty()) {
      return 0;
    }
    const bool has_form = text.size() == 5 && text[2] == ':' &&
                          std::all_of(text.begin(), text.end(), [](char c) {
                            return c == ':' || (c >= '0' && c <= '9');
                          });
    const int hour = has_form ? std::stoi(text.substr(0, 2)) : kHoursPerDay;
    const int minute = has_form ? std::stoi(text.substr(3)) : 0;
    if (hour >= kHoursPerDay || minute >= kMinutesPerHour) {
      Add(parent[key], "'" + text + "' is not a time of day",
          "write it in quotes, such as \"22:30\"");
      return 0;
    }
    return hour * kMinutesPerHour + minute;
  }

  Ruling ReadRuling(const YAML::Node& node) {
    Ruling ruling;
    if (!CheckMap(node, "a ruling", {"dispute", "digest", "decision"})) {
      return ruling;
    }
    ruling.dispute = ReadText(node, "dispute");
    ruling.digest = ReadText(node, "digest");
    ruling.line = node.Mark().line + 1;
    ruling.column = node.Mark().column + 1;
    const std::string decision = ReadText(node, "decision");
    if (decision == "accept") {
      ruling.decision = RulingDecision::kAccept;
    } else if (!decision.empty() && decision != "reject") {
      Add(node["decision"], "'" + decision + "' is not a decision",
          "write accept or reject");
    }
    return ruling;
  }

  PromiseLimit ReadLimit(const YAML::Node& node) {
    PromiseLimit limit;
    if (!CheckMap(node, "a limit", {"pool", "data_centre", "hosts"})) {
      return limit;
    }
    limit.pool = ReadName(node, "pool");
    limit.data_centre = ReadName(node, "data_centre");
    limit.hosts = ReadInteger(node, "hosts", 0, kMaxHosts);
    return limit;
  }

  void CheckDistinctNames() {
    CheckDistinct(m_result->section.pools, "pool");
    CheckDistinct(m_result->section.services, "service");
    CheckDistinct(m_result->section.waves, "wave");
  }

  template <typename Plan>
  void CheckDistinct(const std::vector<Plan>& plans, const std::string& kind) {
    std::set<std::string> seen;
    for (const Plan& plan : plans) {
      if (!plan.name.empty() && !seen.insert(plan.name).second) {
        m_result->findings.push_back(
            {"section " + m_team,
             "the " + kind + " '" + plan.name + "' is planned twice",
             "keep one of them"});
      }
    }
  }

  std::string m_team;
  ParsedSection* m_result;
};

}  // namespace

bool IsValidName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength || name.front() == '-') {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](char character) {
    return (character >= 'a' && character <= 'z') ||
           (character >= '0' && character <= '9') || character == '-';
  });
}

ParsedSection ParseSection(const std::string& team, const std::string& text) {
  ParsedSection result;
  result.section.team = team;
  result.findings = CheckYaml(team, text);
  if (!result.findings.empty()) {
    return result;
  }
  try {
    SectionReader(team, &result).Read(YAML::Load(text));
  } catch (const YAML::Exception& error) {
    result.findings.push_back(
        {FormatLocation(team, error.mark.line + 1, error.mark.column + 1),
         "can't be parsed: " + error.msg, "correct the syntax"});
  }
  return result;
}

}  // namespace shallotwick::document
