#include "harness/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "base/random_identifier.h"
#include "harness/wait.h"

extern char** environ;

namespace shallotwick::harness {
namespace {

std::string ReadWholeFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

pid_t Spawn(const std::string& program, std::vector<std::string> arguments,
            const std::string& output_path,
            const std::map<std::string, std::string>& environment) {
  const std::string path =
      (std::filesystem::path(SHALLOTWICK_BINARY_DIR) / program).string();
  arguments.insert(arguments.begin(), path);
  std::vector<char*> argument_pointers;
  for (std::string& argument : arguments) {
    argument_pointers.push_back(argument.data());
  }
  argument_pointers.push_back(nullptr);
  std::vector<std::string> variables;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.emplace_back(*variable);
  }
  for (const auto& [name, value] : environment) {
    variables.push_back(name + "=" + value);
  }
  std::vector<char*> variable_pointers;
  for (std::string& variable : variables) {
    variable_pointers.push_back(variable.data());
  }
  variable_pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // An inherited socket would stay open when this process closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = -1;
  const int error =
      posix_spawn(&pid, path.c_str(), &actions, nullptr,
                  argument_pointers.data(), variable_pointers.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("can't start " + path);
  }
  return pid;
}

int DecodeStatus(int status) {
  return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

}  // namespace

std::string MakeLogDirectory() {
  std::string path =
      (std::filesystem::temp_directory_path() / "shallotwick-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("can't make a directory for logs");
  }
  return path;
}

ProcessUsage ReadUsage(pid_t process) {
  std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  // Fields of proc(5) after the command: state is the third of all.
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;
  constexpr int kResidentPages = 24;
  ProcessUsage usage;
  std::string field;
  for (int number = 3; number <= kResidentPages; ++number) {
    fields >> field;
    if (number == kUserTime || number == kSystemTime) {
      usage.cpu_seconds +=
          std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
    } else if (number == kResidentPages) {
      usage.resident_bytes =
          std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
  }
  return usage;
}

Process::Process(const std::string& program, std::vector<std::string> arguments,
                 const std::string& log_path,
                 const std::map<std::string, std::string>& environment)
    : m_log_path(log_path) {
  arguments.insert(arguments.end(), {"--log-format", "json"});
  m_pid = Spawn(program, std::move(arguments), log_path, environment);
}

Process::~Process() {
  if (!m_exit_code) {
    Kill();
  }
}

std::string Process::WaitForStarted(const std::string& field) {
  std::string value;
  const bool has_started = WaitFor([&] {
    const auto events = FindEvents("started");
    if (events.empty()) {
      int status = 0;
      if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exit_code = DecodeStatus(status);
        throw std::runtime_error("the process ended: " + ReadLog());
      }
      return false;
    }
    value = events.back().at(field);
    return true;
  });
  if (!has_started) {
    throw std::runtime_error("the process did not start: " + ReadLog());
  }
  return value;
}

std::vector<std::map<std::string, std::string>> Process::FindEvents(
    const std::string& name) const {
  std::vector<std::map<std::string, std::string>> events;
  std::ifstream file(m_log_path);
  std::string line;
  while (std::getline(file, line)) {
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object() || json.value("event_name", "") != name) {
      continue;
    }
    std::map<std::string, std::string> fields;
    for (const auto& [key, value] : json.items()) {
      fields[key] = value.is_string() ? value.get<std::string>() : value.dump();
    }
    events.push_back(std::move(fields));
  }
  return events;
}

void Process::Signal(int signal) { kill(m_pid, signal); }

int Process::Wait() {
  if (!m_exit_code) {
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exit_code = DecodeStatus(status);
  }
  return *m_exit_code;
}

int Process::Stop() {
  if (!m_exit_code) {
    Signal(SIGTERM);
  }
  return Wait();
}

void Process::Kill() {
  if (!m_exit_code) {
    Signal(SIGKILL);
  }
  Wait();
}

std::string Process::ReadLog() const { return ReadWholeFile(m_log_path); }

ProgramResult RunProgram(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::string& directory,
    const std::map<std::string, std::string>& environment) {
  const std::string path =
      directory + "/output-" + base::MakeRandomIdentifier();
  const pid_t pid = Spawn(program, arguments, path, environment);
  int status = 0;
  waitpid(pid, &status, 0);
  return ProgramResult{DecodeStatus(status), ReadWholeFile(path)};
}

}  // namespace shallotwick::harness
