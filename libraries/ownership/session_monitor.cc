#include "ownership/session_monitor.h"

namespace shallotwick::ownership {
namespace {

// Readings further apart than this fraction of the time to live leave a gap in
// which the hosts may have been unable to renew their sessions, so the gap is
// not counted.
constexpr int kMaxGapDivisor = 2;

}  // namespace

std::string FormatHolder(const Incarnation& incarnation) {
  return incarnation.host + "/" + incarnation.boot;
}

std::optional<Incarnation> ParseHolder(const std::string& text) {
  const size_t slash = text.find('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  return Incarnation{text.substr(0, slash), text.substr(slash + 1)};
}

SessionMonitor::SessionMonitor(base::Duration time_to_live)
    : m_time_to_live(time_to_live) {}

void SessionMonitor::Observe(const std::map<std::string, SessionRow>& rows,
                             base::TimePoint now) {
  const base::Duration elapsed = now - m_last_reading;
  const bool is_gap = m_last_reading == base::TimePoint{} ||
                      elapsed > m_time_to_live / kMaxGapDivisor;
  const base::Duration counted_time = is_gap ? base::Duration(0) : elapsed;
  m_last_reading = now;
  m_observed_time += counted_time;
  std::map<std::string, ObservedSession> sessions;
  for (const auto& [host, row] : rows) {
    ObservedSession entry{row, base::Duration(0), now};
    const auto previous = m_sessions.find(host);
    if (previous != m_sessions.end() && previous->second.row == row) {
      entry.unchanged_time = previous->second.unchanged_time + counted_time;
      entry.last_changed = previous->second.last_changed;
    }
    sessions[host] = entry;
  }
  m_sessions = std::move(sessions);
}

std::map<Incarnation, double> SessionMonitor::GetLiveHosts() const {
  std::map<Incarnation, double> live;
  for (const auto& [host, session] : m_sessions) {
    if (session.unchanged_time < m_time_to_live) {
      live[session.row.holder] = session.row.cores;
    }
  }
  return live;
}

bool SessionMonitor::IsLive(const Incarnation& incarnation) const {
  const auto found = m_sessions.find(incarnation.host);
  return found != m_sessions.end() && found->second.row.holder == incarnation &&
         found->second.unchanged_time < m_time_to_live;
}

bool SessionMonitor::IsSuspect(const Incarnation& incarnation) const {
  const auto found = m_sessions.find(incarnation.host);
  return found == m_sessions.end() ||
         !(found->second.row.holder == incarnation) ||
         m_last_reading - found->second.last_changed >= m_time_to_live / 2;
}

std::string SessionMonitor::GetPeerAddress(
    const Incarnation& incarnation) const {
  const auto found = m_sessions.find(incarnation.host);
  return found != m_sessions.end() && found->second.row.holder == incarnation
             ? found->second.row.peer_address
             : std::string();
}

std::vector<int64_t> SessionMonitor::GetClockOffsets() const {
  std::vector<int64_t> offsets;
  for (const auto& [host, session] : m_sessions) {
    if (session.unchanged_time < m_time_to_live &&
        session.row.clock_offset_ms) {
      offsets.push_back(*session.row.clock_offset_ms);
    }
  }
  return offsets;
}

bool SessionMonitor::HasObservedLongEnough() const {
  return m_observed_time >= m_time_to_live / kMaxGapDivisor;
}

}  // namespace shallotwick::ownership
