#include "command_line.h"

#include "base/finding.h"
#include "base/settings.h"

namespace shallotwick::ctl {
namespace {

struct OptionDeclaration {
  const char* name;
  const char* value_name;
  const char* description;
};

constexpr OptionDeclaration kOptions[] = {
    {"admin", "IP:PORT", "address of shallotwick-admin"},
    {"token", "TOKEN", "the team's token; better given by the environment"},
    {"author", "NAME", "who edits, for the history"},
    {"revision", "NUMBER", "revision that the edit started from"},
    {"from", "VERSION", "first version of the history to show"},
    {"pool", "POOL", "show only this pool's hosts"},
    {"output", "FORMAT", "text or json"},
};

bool IsKnownOption(const std::string& name) {
  for (const OptionDeclaration& option : kOptions) {
    if (name == option.name) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::optional<std::string> CommandLine::FindOption(
    const std::string& name) const {
  const auto found = options.find(name);
  return found == options.end() ? std::nullopt
                                : std::optional<std::string>(found->second);
}

CommandLine ParseCommandLine(
    const std::vector<std::string>& arguments,
    const std::function<std::optional<std::string>(const std::string&)>&
        read_environment) {
  CommandLine line;
  base::Findings findings;
  for (size_t at = 0; at < arguments.size(); ++at) {
    const std::string& argument = arguments[at];
    if (argument == "--help" || argument == "-h") {
      line.help = true;
      continue;
    }
    if (argument.compare(0, 2, "--") != 0) {
      line.words.push_back(argument);
      continue;
    }
    const size_t equals = argument.find('=');
    const std::string name = argument.substr(2, equals - 2);
    if (!IsKnownOption(name)) {
      findings.push_back({argument, "unknown option", "see --help"});
      continue;
    }
    if (equals != std::string::npos) {
      line.options[name] = argument.substr(equals + 1);
    } else if (at + 1 < arguments.size()) {
      line.options[name] = arguments[++at];
    } else {
      findings.push_back({argument, "has no value", "see --help"});
    }
  }
  for (const OptionDeclaration& option : kOptions) {
    const auto value = read_environment(base::EnvironmentNameOf(option.name));
    if (value && line.options.count(option.name) == 0) {
      line.options[option.name] = *value;
    }
  }
  const std::string output = line.FindOption("output").value_or("text");
  if (output != "text" && output != "json") {
    findings.push_back(
        {"--output", "'" + output + "' is no format", "use text or json"});
  }
  if (!findings.empty()) {
    throw base::InvalidInput(findings);
  }
  return line;
}

std::string FormatUsage() {
  std::string text =
      "Usage: shallotwickctl [OPTION]... COMMAND [ARGUMENT]...\n\n"
      "Commands:\n"
      "  document show               the accepted version and its sections\n"
      "  section show TEAM           a section with its revision\n"
      "  section get TEAM            the section's text, to edit and submit\n"
      "  section check TEAM FILE     what would be said to an edit\n"
      "  section submit TEAM FILE    submit an edit (FILE may be -)\n"
      "  disputes list               edits that wait for a ruling\n"
      "  disputes withdraw ID        take a waiting edit back\n"
      "  history list                accepted versions, who and why\n"
      "  history show VERSION        the text that a version brought\n"
      "  history diff VERSION        what a version changed in its section\n"
      "  gateways list               the version in force on each gateway\n"
      "  pools list                  promised and serving hosts\n"
      "  hosts list                  each host's pool and state\n"
      "  waves list                  maintenance done and left\n\n"
      "Options (or SHALLOTWICK_NAME in the environment):\n";
  for (const OptionDeclaration& option : kOptions) {
    text += std::string("  --") + option.name + " " + option.value_name +
            "\n      " + option.description + "\n";
  }
  text +=
      "\nExit codes: 0 done, 1 failed, 2 bad usage, 3 edit rejected, 4 edit\n"
      "disputed, 5 edit stale, 6 not the section's owner.\n";
  return text;
}

}  // namespace shallotwick::ctl
