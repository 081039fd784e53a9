#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotwick::harness {

// Makes a directory for logs. Throws std::runtime_error if it can't.
std::string MakeLogDirectory();

// What a process has used so far.
struct ProcessUsage {
  double cpu_seconds = 0;
  double resident_bytes = 0;
};

ProcessUsage ReadUsage(pid_t process);

// One process under test. Its log goes to a file and is read from there. Killed
// when this object goes.
class Process {
 public:
  // Starts a program of this build by its path below the build directory, or
  // another one by its absolute path.
  Process(const std::string& program, std::vector<std::string> arguments,
          const std::string& log_path,
          const std::map<std::string, std::string>& environment = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Waits for the event "started" and returns one of its fields. Throws
  // std::runtime_error if the process ends first.
  std::string WaitForStarted(const std::string& field);

  // Fields of all log events of that name so far.
  std::vector<std::map<std::string, std::string>> FindEvents(
      const std::string& name) const;

  void Signal(int signal);
  // Returns the exit code, or minus the signal that ended it.
  int Wait();
  // Asks for a graceful stop and waits for it.
  int Stop();
  void Kill();

  pid_t GetPid() const { return m_pid; }
  std::string ReadLog() const;

 private:
  pid_t m_pid = -1;
  std::string m_log_path;
  std::optional<int> m_exit_code;
};

// What a program that ends by itself printed and returned.
struct ProgramResult {
  int exit_code = 0;
  std::string output;
};

ProgramResult RunProgram(const std::string& program,
                         const std::vector<std::string>& arguments,
                         const std::string& directory,
                         const std::map<std::string, std::string>& environment);

}  // namespace shallotwick::harness
