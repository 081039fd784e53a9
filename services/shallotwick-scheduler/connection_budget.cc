#include "connection_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <limits>
#include <system_error>

namespace shallotwick::scheduler {
namespace {

// Without files for these, an owner loses its session or refuses its callers.
// Listening sockets, event loops, timers, standard streams and the log.
constexpr uint64_t kFilesOfProcess = 32;
// Long polls and calls to the store, and one relayed call for each of them.
constexpr uint64_t kFilesForStore = 64;
// Callers and the balancer open connections as they like.
constexpr uint64_t kFilesForCallers = 256;
// Each other host has a few connections to this one, and this one to it.
constexpr uint64_t kFilesForPeers = 128;
constexpr uint64_t kReservedFiles =
    kFilesOfProcess + kFilesForStore + kFilesForCallers + kFilesForPeers;

// With a low limit, targets and the rest get half each: neither works without
// the other.
size_t GetShareOfTargets(uint64_t max_open_files) {
  const uint64_t reserved = std::min(kReservedFiles, max_open_files / 2);
  return static_cast<size_t>(std::clamp<uint64_t>(
      max_open_files - reserved, 1, std::numeric_limits<size_t>::max()));
}

}  // namespace

ConnectionBudget::ConnectionBudget(uint64_t max_open_files)
    : m_max_open_files(max_open_files),
      m_target_connections(GetShareOfTargets(max_open_files)) {}

uint64_t ConnectionBudget::ReadMaxOpenFiles() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<uint64_t>::max();
  }
  return limit.rlim_cur;
}

size_t ConnectionBudget::CountOpenFiles() {
  std::error_code error;
  std::filesystem::directory_iterator entry("/proc/self/fd", error);
  size_t count = 0;
  while (!error && entry != std::filesystem::directory_iterator()) {
    ++count;
    entry.increment(error);
  }
  // The listing itself has one file open.
  return count == 0 ? 0 : count - 1;
}

bool ConnectionBudget::UpdateTargets(size_t targets) {
  const bool is_short = targets > m_target_connections;
  const bool has_changed = is_short != m_is_short;
  m_is_short = is_short;
  return has_changed;
}

}  // namespace shallotwick::scheduler
