#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "command_line.h"
#include "http/transfer.h"

namespace shallotwick::ctl {

// What the commands use of the world outside; tests give their own.
struct CommandEnvironment {
  std::function<http::TransferResult(const std::string& url, http::Request)>
      send;
  // Reads a file; throws std::runtime_error if it can't be read.
  std::function<std::string(const std::string& path)> read_file;
  std::ostream& out;
  std::ostream& error;
};

// Runs one command and returns the exit code.
int RunCommand(const CommandLine& line, const CommandEnvironment& environment);

}  // namespace shallotwick::ctl
