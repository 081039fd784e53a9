#include "base/program.h"

#include <exception>
#include <iostream>

#include "base/log.h"

namespace shallotwick::base {
namespace {

Severity ParseSeverity(const std::string& name) {
  for (Severity severity : {Severity::kDebug, Severity::kInfo,
                            Severity::kWarning, Severity::kError}) {
    if (name == NameOf(severity)) {
      return severity;
    }
  }
  return Severity::kInfo;
}

}  // namespace

std::vector<SettingDeclaration> GetLogSettings() {
  return {{"log-format", "FORMAT", "form of the log lines: text or json",
           "text", CheckOneOf({"text", "json"})},
          {"log-level", "LEVEL",
           "least severity to log: debug, info, warning or error", "info",
           CheckOneOf({"debug", "info", "warning", "error"})}};
}

std::string FormatHelp(const ProgramDescription& program) {
  std::string text = "Usage: " + program.name + " [--SETTING VALUE]...\n\n" +
                     program.purpose + "\n\nSettings:\n";
  for (const SettingDeclaration& setting : program.settings) {
    text += "  --" + setting.name + " " + setting.value_name + "\n      " +
            setting.description +
            "\n      environment: " + EnvironmentNameOf(setting.name);
    if (setting.default_value) {
      text += ", default: '" + *setting.default_value + "'";
    } else {
      text += ", required";
    }
    text += "\n";
  }
  return text;
}

int RunProgram(const ProgramDescription& program, int argc, char** argv,
               const std::function<int(const Settings&)>& run) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  for (const std::string& argument : arguments) {
    if (argument == "--help") {
      std::cout << FormatHelp(program);
      return kExitSuccess;
    }
  }
  try {
    const Settings settings =
        Settings::Parse(program.settings, arguments, ReadProcessEnvironment);
    OpenLog(program.name,
            settings.GetString("log-format") == "json" ? LogFormat::kJson
                                                       : LogFormat::kText,
            ParseSeverity(settings.GetString("log-level")));
    return run(settings);
  } catch (const InvalidInput& error) {
    std::cerr << program.name << ": invalid settings\n" << error.what();
    return kExitBadSettings;
  } catch (const std::exception& error) {
    std::cerr << program.name << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace shallotwick::base
