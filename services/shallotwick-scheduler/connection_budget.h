#pragma once

#include <cstddef>
#include <cstdint>

namespace shallotwick::scheduler {

// Shares the files that the process may open between the connections to targets
// and everything else.
class ConnectionBudget {
 public:
  // `max_open_files` includes all files and connections of the process.
  explicit ConnectionBudget(uint64_t max_open_files);

  // Returns the limit on open files of this process.
  static uint64_t ReadMaxOpenFiles();
  // Returns the number of files that this process has open, 0 if unknown.
  static size_t CountOpenFiles();

  uint64_t GetMaxOpenFiles() const { return m_max_open_files; }
  // The maximum number of connections to all targets, at least 1.
  size_t GetTargetConnections() const { return m_target_connections; }
  // Whether there are more targets than connections to them, as of the last
  // update.
  bool IsShort() const { return m_is_short; }
  // Returns whether a shortage has begun or ended. `targets` is the number of
  // targets of the pools that this host owns.
  bool UpdateTargets(size_t targets);

 private:
  uint64_t m_max_open_files;
  size_t m_target_connections;
  bool m_is_short = false;
};

}  // namespace shallotwick::scheduler
