#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace shallotwick::base {

enum class Severity { kDebug, kInfo, kWarning, kError };

// A type of log event. The meaning of a number never changes. docs/LOGS.md
// lists all event types.
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

// Configures the log of the process, which is written to standard error. Must
// be called once, before any thread is started. Events below `min_severity`
// are dropped.
void OpenLog(const std::string& process, LogFormat format,
             Severity min_severity);

// Writes one line with time, severity, process, event number, event name and
// fields, as text or JSON.
void Log(const LogEvent& event, std::initializer_list<LogField> fields = {});

// Formats one line. `time` is the formatted timestamp.
std::string FormatLogLine(const LogEvent& event,
                          std::initializer_list<LogField> fields,
                          LogFormat format, const std::string& process,
                          const std::string& time);

}  // namespace shallotwick::base
