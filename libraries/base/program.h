#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/settings.h"

namespace shallotwick::base {

// Exit codes of every process.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;

// Name, purpose and settings of a program, as --help prints them.
struct ProgramDescription {
  std::string name;
  std::string purpose;
  std::vector<SettingDeclaration> settings;
};

// Returns the settings common to all server processes: log-format and
// log-level.
std::vector<SettingDeclaration> GetLogSettings();

std::string FormatHelp(const ProgramDescription& program);

// Handles --help, parses the settings, opens the log and calls `run`, whose
// result is the exit code. If any settings are invalid, writes all their errors
// to standard error and returns kExitBadSettings. Returns kExitFailure if `run`
// throws.
int RunProgram(const ProgramDescription& program, int argc, char** argv,
               const std::function<int(const Settings&)>& run);

}  // namespace shallotwick::base
