#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/finding.h"

namespace shallotwick::base {

// One setting: `--name` on the command line, SHALLOTWICK_NAME in the
// environment (dashes become underscores). The command line takes precedence.
struct SettingDeclaration {
  std::string name;
  std::string value_name;
  std::string description;
  // The setting is required if it has no default.
  std::optional<std::string> default_value;
  // Returns an error message for an invalid value, an empty string otherwise.
  std::function<std::string(const std::string&)> check;
};

// Check functions for use in declarations.
std::string AcceptAnyValue(const std::string& value);
std::string CheckNotEmpty(const std::string& value);
// Accepts an IP address and port, such as 127.0.0.1:8080 or [::1]:8080.
std::string CheckAddress(const std::string& value);
std::string CheckAddressList(const std::string& value);
std::function<std::string(const std::string&)> CheckInteger(int64_t min_value,
                                                            int64_t max_value);
// Accepts a decimal number, such as 2 or 1.5.
std::function<std::string(const std::string&)> CheckNumber(double min_value,
                                                           double max_value);
std::function<std::string(const std::string&)> CheckOneOf(
    std::vector<std::string> choices);
// Accepts what the check accepts, or an empty value.
std::function<std::string(const std::string&)> CheckOptional(
    std::function<std::string(const std::string&)> check);

// The validated settings of a process.
class Settings {
 public:
  using ReadEnvironment =
      std::function<std::optional<std::string>(const std::string&)>;

  // Throws InvalidInput with the errors of all settings.
  static Settings Parse(const std::vector<SettingDeclaration>& declarations,
                        const std::vector<std::string>& arguments,
                        const ReadEnvironment& read_environment);

  const std::string& GetString(const std::string& name) const;
  int64_t GetInteger(const std::string& name) const;
  double GetNumber(const std::string& name) const;
  std::vector<std::string> GetList(const std::string& name) const;

 private:
  std::map<std::string, std::string> m_values;
};

std::optional<std::string> ReadProcessEnvironment(const std::string& name);
std::string EnvironmentNameOf(const std::string& setting_name);

// An IP address and port.
struct Endpoint {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// Throws InvalidInput unless CheckAddress accepts the value.
Endpoint ParseEndpoint(const std::string& address);
std::string FormatEndpoint(const Endpoint& endpoint);

// Splits a comma-separated list and omits empty elements.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace shallotwick::base
