#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

#include "../command_line.h"
#include "../commands.h"
#include "base/finding.h"
#include "base/settings.h"
#include "http/blocking_client.h"

namespace {

namespace base = shallotwick::base;
namespace ctl = shallotwick::ctl;
namespace http = shallotwick::http;

std::string ReadStream(std::istream& stream) {
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

std::string ReadFile(const std::string& path) {
  if (path == "-") {
    return ReadStream(std::cin);
  }
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("can't read the file '" + path + "'");
  }
  return ReadStream(file);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const ctl::CommandLine line =
        ctl::ParseCommandLine(std::vector<std::string>(argv + 1, argv + argc),
                              base::ReadProcessEnvironment);
    if (line.help || line.words.empty()) {
      std::cout << ctl::FormatUsage();
      return line.help ? ctl::kExitSuccess : ctl::kExitBadUsage;
    }
    const ctl::CommandEnvironment environment{
        [](const std::string& url, http::Request request) {
          return http::SendAndWait(url, std::move(request));
        },
        ReadFile, std::cout, std::cerr};
    return ctl::RunCommand(line, environment);
  } catch (const base::InvalidInput& error) {
    std::cerr << "shallotwickctl: the command line can't be used\n"
              << error.what();
    return ctl::kExitBadUsage;
  }
}
