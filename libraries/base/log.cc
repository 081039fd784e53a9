#include "base/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <ctime>
#include <iostream>

namespace shallotwick::base {
namespace {

namespace logging = boost::log;

BOOST_LOG_INLINE_GLOBAL_LOGGER_DEFAULT(ProcessLogger,
                                       logging::sources::logger_mt)

struct LogState {
  std::string process = "shallotwick";
  LogFormat format = LogFormat::kText;
  Severity min_severity = Severity::kInfo;
};

LogState& GetState() {
  static LogState state;
  return state;
}

std::string FormatWallClock() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count() %
      1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  char fraction[8];
  std::snprintf(fraction, sizeof(fraction), ".%03dZ",
                static_cast<int>(milliseconds));
  return std::string(text, length) + fraction;
}

// Returns a value as a quoted and escaped JSON string.
std::string Quote(std::string_view value) {
  std::string text = "\"";
  for (char character : value) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      text.push_back('\\');
      text.push_back(character);
    } else if (code < 0x20) {
      char escape[8];
      std::snprintf(escape, sizeof(escape), "\\u%04x", code);
      text += escape;
    } else {
      text.push_back(character);
    }
  }
  return text + "\"";
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

}  // namespace

std::string_view NameOf(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

std::string FormatLogLine(const LogEvent& event,
                          std::initializer_list<LogField> fields,
                          LogFormat format, const std::string& process,
                          const std::string& time) {
  const std::string number = std::to_string(event.number);
  std::string line;
  if (format == LogFormat::kJson) {
    line = "{\"time\":" + Quote(time) +
           ",\"severity\":" + Quote(NameOf(event.severity)) +
           ",\"process\":" + Quote(process) + ",\"event\":" + number +
           ",\"event_name\":" + Quote(event.name);
    for (const LogField& field : fields) {
      line += "," + Quote(field.key) + ":" + Quote(field.value);
    }
    return line + "}";
  }
  line = time + " " + std::string(NameOf(event.severity)) + " " + process +
         " " + number + " " + std::string(event.name);
  for (const LogField& field : fields) {
    line += " " + std::string(field.key) + "=";
    line += NeedsQuotes(field.value) ? Quote(field.value) : field.value;
  }
  return line;
}

void OpenLog(const std::string& process, LogFormat format,
             Severity min_severity) {
  GetState() = LogState{process, format, min_severity};
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  using Sink = logging::sinks::synchronous_sink<Backend>;
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

void Log(const LogEvent& event, std::initializer_list<LogField> fields) {
  const LogState& state = GetState();
  if (event.severity < state.min_severity) {
    return;
  }
  BOOST_LOG(ProcessLogger::get()) << FormatLogLine(
      event, fields, state.format, state.process, FormatWallClock());
}

}  // namespace shallotwick::base
