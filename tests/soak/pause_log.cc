#include "pause_log.h"

#include <algorithm>

namespace shallotwick::soak {
namespace {

// A fencing token is the version of the owner's row times this, plus a counter.
constexpr uint64_t kFencesPerOwnership = 16'384;

}  // namespace

void PauseLog::Pause(size_t host, Time at) {
  std::vector<Interval>& pauses = m_pauses[host];
  if (pauses.empty() || pauses.back().until != Time::max()) {
    pauses.push_back({at, Time::max()});
  }
}

void PauseLog::Resume(size_t host, Time at) {
  std::vector<Interval>& pauses = m_pauses[host];
  if (!pauses.empty() && pauses.back().until == Time::max()) {
    pauses.back().until = at;
  }
}

void PauseLog::AddOwner(uint64_t version, size_t host) {
  m_owners[version] = host;
}

std::chrono::steady_clock::duration PauseLog::GetActiveTime(
    uint64_t fence, Time from, Time until,
    const standin::ClusterStandin& cluster) const {
  auto active = cluster.GetStoreUpTime(from, until);
  const auto owner = m_owners.find(fence / kFencesPerOwnership);
  const auto pauses =
      owner == m_owners.end() ? m_pauses.end() : m_pauses.find(owner->second);
  if (pauses == m_pauses.end()) {
    return active;
  }
  for (const Interval& pause : pauses->second) {
    const Time begin = std::max(pause.from, from);
    const Time end = std::min(pause.until, until);
    if (begin < end) {
      active -= cluster.GetStoreUpTime(begin, end);
    }
  }
  return active;
}

}  // namespace shallotwick::soak
