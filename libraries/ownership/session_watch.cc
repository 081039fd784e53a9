#include "ownership/session_watch.h"

namespace shallotwick::ownership {
namespace {

// Readings further apart than this fraction of the time to live leave a gap in
// which nobody may have been able to renew; the gap is not counted.
constexpr int kLongestGapDivisor = 2;

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

SessionWatch::SessionWatch(base::Duration time_to_live)
    : m_time_to_live(time_to_live) {}

void SessionWatch::Observe(const std::map<std::string, SessionRow>& rows,
                           base::TimePoint now) {
  const base::Duration since = now - m_last_reading;
  const bool is_gap = m_last_reading == base::TimePoint{} ||
                      since > m_time_to_live / kLongestGapDivisor;
  const base::Duration counted = is_gap ? base::Duration(0) : since;
  m_last_reading = now;
  m_watched += counted;
  std::map<std::string, Seen> seen;
  for (const auto& [host, row] : rows) {
    Seen entry{row, base::Duration(0), now};
    const auto before = m_seen.find(host);
    if (before != m_seen.end() && before->second.row == row) {
      entry.still = before->second.still + counted;
      entry.changed = before->second.changed;
    }
    seen[host] = entry;
  }
  m_seen = std::move(seen);
}

std::map<Incarnation, double> SessionWatch::GetLive() const {
  std::map<Incarnation, double> live;
  for (const auto& [host, seen] : m_seen) {
    if (seen.still < m_time_to_live) {
      live[seen.row.holder] = seen.row.cores;
    }
  }
  return live;
}

bool SessionWatch::IsLive(const Incarnation& incarnation) const {
  const auto found = m_seen.find(incarnation.host);
  return found != m_seen.end() && found->second.row.holder == incarnation &&
         found->second.still < m_time_to_live;
}

bool SessionWatch::IsSuspect(const Incarnation& incarnation) const {
  const auto found = m_seen.find(incarnation.host);
  return found == m_seen.end() || !(found->second.row.holder == incarnation) ||
         m_last_reading - found->second.changed >= m_time_to_live / 2;
}

std::vector<int64_t> SessionWatch::GetClockOffsets() const {
  std::vector<int64_t> offsets;
  for (const auto& [host, seen] : m_seen) {
    if (seen.still < m_time_to_live && seen.row.clock_offset_ms) {
      offsets.push_back(*seen.row.clock_offset_ms);
    }
  }
  return offsets;
}

bool SessionWatch::HasWatchedLongEnough() const {
  return m_watched >= m_time_to_live / kLongestGapDivisor;
}

}  // namespace shallotwick::ownership
