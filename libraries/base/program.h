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

// What a process is called and can be told.
struct ProgramDescription {
  std::string name;
  std::string purpose;
  std::vector<SettingDeclaration> settings;
};

// Settings that every server process has: log-format and log-level.
std::vector<SettingDeclaration> GetLogSettings();

std::string FormatHelp(const ProgramDescription& program);

// Handles --help, parses the settings, opens the log and calls `run`. Faults of
// the settings go to standard error all together, with exit code 2; an
// exception that leaves `run` gives exit code 1.
int RunProgram(const ProgramDescription& program, int argc, char** argv,
               const std::function<int(const Settings&)>& run);

}  // namespace shallotwick::base
