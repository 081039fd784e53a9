#include "base/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <set>
#include <sstream>
#include <utility>

namespace shallotwick::base {
namespace {

namespace options = boost::program_options;

constexpr int64_t kMaxPort = 65535;

std::optional<double> ParseNumber(const std::string& text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<int64_t> ParseInteger(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<Endpoint> SplitEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  unsigned char binary[sizeof(in6_addr)];
  if (inet_pton(AF_INET, host.c_str(), binary) != 1 &&
      inet_pton(AF_INET6, host.c_str(), binary) != 1) {
    return std::nullopt;
  }
  const std::optional<int64_t> port = ParseInteger(address.substr(colon + 1));
  if (!port || *port < 0 || *port > kMaxPort) {
    return std::nullopt;
  }
  return Endpoint{host, static_cast<uint16_t>(*port)};
}

// Parses `--name value` and `--name=value`. Appends errors to `findings`.
std::map<std::string, std::string> ParseArguments(
    const std::vector<SettingDeclaration>& declarations,
    const std::vector<std::string>& arguments, Findings* findings) {
  options::options_description description;
  for (const SettingDeclaration& declaration : declarations) {
    description.add_options()(declaration.name.c_str(),
                              options::value<std::string>());
  }
  std::map<std::string, std::string> flag_values;
  try {
    const options::parsed_options parsed =
        options::command_line_parser(arguments)
            .options(description)
            .style(options::command_line_style::unix_style &
                   ~options::command_line_style::allow_guessing)
            .allow_unregistered()
            .run();
    for (const options::option& option : parsed.options) {
      if (option.unregistered || option.position_key != -1) {
        const std::string text = option.original_tokens.empty()
                                     ? option.string_key
                                     : option.original_tokens.front();
        findings->push_back({text, "unknown flag", "see --help"});
        continue;
      }
      if (flag_values.count(option.string_key) != 0) {
        findings->push_back({"--" + option.string_key,
                             "specified more than once", "specify it once"});
      }
      flag_values[option.string_key] =
          option.value.empty() ? "" : option.value[0];
    }
  } catch (const options::error& error) {
    findings->push_back({"command line", error.what(), "see --help"});
  }
  return flag_values;
}

}  // namespace

std::string AcceptAnyValue(const std::string& /*value*/) { return ""; }

std::string CheckNotEmpty(const std::string& value) {
  return value.empty() ? "is empty" : "";
}

std::string CheckAddress(const std::string& value) {
  return SplitEndpoint(value) ? ""
                              : "'" + value + "' is not an IP address and port";
}

std::string CheckAddressList(const std::string& value) {
  for (const std::string& address : SplitList(value)) {
    const std::string message = CheckAddress(address);
    if (!message.empty()) {
      return message;
    }
  }
  return "";
}

std::function<std::string(const std::string&)> CheckNumber(double min_value,
                                                           double max_value) {
  return [min_value, max_value](const std::string& value) -> std::string {
    const std::optional<double> number = ParseNumber(value);
    if (number && *number >= min_value && *number <= max_value) {
      return "";
    }
    return "'" + value + "' is not a number from " + std::to_string(min_value) +
           " to " + std::to_string(max_value);
  };
}

std::function<std::string(const std::string&)> CheckInteger(int64_t min_value,
                                                            int64_t max_value) {
  return [min_value, max_value](const std::string& value) -> std::string {
    const std::optional<int64_t> number = ParseInteger(value);
    if (number && *number >= min_value && *number <= max_value) {
      return "";
    }
    return "'" + value + "' is not an integer from " +
           std::to_string(min_value) + " to " + std::to_string(max_value);
  };
}

std::function<std::string(const std::string&)> CheckOneOf(
    std::vector<std::string> choices) {
  return
      [choices = std::move(choices)](const std::string& value) -> std::string {
        if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
          return "";
        }
        std::string list;
        for (const std::string& choice : choices) {
          list += (list.empty() ? "" : ", ") + choice;
        }
        return "'" + value + "' is not one of " + list;
      };
}

std::function<std::string(const std::string&)> CheckOptional(
    std::function<std::string(const std::string&)> check) {
  return [check = std::move(check)](const std::string& value) -> std::string {
    return value.empty() ? "" : check(value);
  };
}

Settings Settings::Parse(const std::vector<SettingDeclaration>& declarations,
                         const std::vector<std::string>& arguments,
                         const ReadEnvironment& read_environment) {
  Findings findings;
  const std::map<std::string, std::string> flag_values =
      ParseArguments(declarations, arguments, &findings);
  Settings settings;
  for (const SettingDeclaration& declaration : declarations) {
    std::string place = "--" + declaration.name;
    std::optional<std::string> value = declaration.default_value;
    const std::string variable = EnvironmentNameOf(declaration.name);
    if (const auto from_environment = read_environment(variable)) {
      value = from_environment;
      place = variable;
    }
    if (const auto found = flag_values.find(declaration.name);
        found != flag_values.end()) {
      value = found->second;
      place = "--" + declaration.name;
    }
    if (!value) {
      findings.push_back({place, "is required",
                          "specify --" + declaration.name + " " +
                              declaration.value_name + " or set " + variable});
      continue;
    }
    const std::string message = declaration.check(*value);
    if (!message.empty()) {
      findings.push_back({place, message, declaration.description});
    }
    settings.m_values[declaration.name] = *value;
  }
  if (!findings.empty()) {
    throw InvalidInput(findings);
  }
  return settings;
}

const std::string& Settings::GetString(const std::string& name) const {
  return m_values.at(name);
}

double Settings::GetNumber(const std::string& name) const {
  return ParseNumber(m_values.at(name)).value();
}

int64_t Settings::GetInteger(const std::string& name) const {
  return ParseInteger(m_values.at(name)).value();
}

std::vector<std::string> Settings::GetList(const std::string& name) const {
  return SplitList(m_values.at(name));
}

std::optional<std::string> ReadProcessEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) {
    return std::nullopt;
  }
  return std::string(value);
}

std::string EnvironmentNameOf(const std::string& setting_name) {
  std::string name = "SHALLOTWICK_";
  for (char character : setting_name) {
    name.push_back(character == '-'
                       ? '_'
                       : static_cast<char>(std::toupper(
                             static_cast<unsigned char>(character))));
  }
  return name;
}

Endpoint ParseEndpoint(const std::string& address) {
  const std::optional<Endpoint> endpoint = SplitEndpoint(address);
  if (!endpoint) {
    throw InvalidInput({{address, "is not an IP address and port",
                         "write it as 127.0.0.1:8080"}});
  }
  return *endpoint;
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  const bool is_version_6 = endpoint.host.find(':') != std::string::npos;
  const std::string host =
      is_version_6 ? "[" + endpoint.host + "]" : endpoint.host;
  return host + ":" + std::to_string(endpoint.port);
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> elements;
  std::istringstream stream(text);
  std::string element;
  while (std::getline(stream, element, ',')) {
    if (!element.empty()) {
      elements.push_back(element);
    }
  }
  return elements;
}

}  // namespace shallotwick::base
