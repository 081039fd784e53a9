#pragma once

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotwick::ctl {

// Exit codes, for scripts.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadUsage = 2;
inline constexpr int kExitRejected = 3;
inline constexpr int kExitDisputed = 4;
inline constexpr int kExitStale = 5;
inline constexpr int kExitNotOwner = 6;

// A command line taken apart: words and --name value pairs.
struct CommandLine {
  std::vector<std::string> words;
  std::map<std::string, std::string> options;
  bool help = false;

  std::optional<std::string> FindOption(const std::string& name) const;
  auto operator<=>(const CommandLine&) const = default;
};

// Throws base::InvalidInput with all faults together. Options not given on the
// command line are looked up by `read_environment`.
CommandLine ParseCommandLine(
    const std::vector<std::string>& arguments,
    const std::function<std::optional<std::string>(const std::string&)>&
        read_environment);

std::string FormatUsage();

}  // namespace shallotwick::ctl
