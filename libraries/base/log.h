#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace shallotwick::base {

enum class Severity { kDebug, kInfo, kWarning, kError };

// A kind of log event. The number never changes meaning; docs/LOGS.md lists
// all of them.
struct LogEvent {
  int number;
  std::string_view name;
  Severity severity;
  std::string_view meaning;
};

struct LogField {
  std::string_view key;
  std::string value;
};

enum class LogFormat { kText, kJson };

std::string_view NameOf(Severity severity);

// Sets up the process's log on standard error. Call once, before any thread.
void OpenLog(const std::string& process, LogFormat format,
             Severity least_severity);

// Writes one line: time, severity, number, name, fields as key=value.
void Log(const LogEvent& event, std::initializer_list<LogField> fields = {});

// Formats one line; `time` as it will be printed.
std::string FormatLogLine(const LogEvent& event,
                          std::initializer_list<LogField> fields,
                          LogFormat format, const std::string& process,
                          const std::string& time);

}  // namespace shallotwick::base
