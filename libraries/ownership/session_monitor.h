#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::ownership {

// One boot of one host of the system.
struct Incarnation {
  std::string host;
  std::string boot;

  auto operator<=>(const Incarnation&) const = default;
};

// Returns the name under which an incarnation holds locks: its host and its
// boot, separated by a slash.
std::string FormatHolder(const Incarnation& incarnation);
// Returns std::nullopt if the text is not such a name.
std::optional<Incarnation> ParseHolder(const std::string& text);

// A session row as read from the store. `version` changes with each renewal.
struct SessionRow {
  Incarnation holder;
  uint64_t version = 0;
  // Number of cores that the holder may use.
  double cores = 1;
  // The holder's time of day minus the store's clock; std::nullopt if the
  // holder did not report it.
  std::optional<int64_t> clock_offset_ms = std::nullopt;
  // Where other hosts reach the holder; empty if it did not report it.
  std::string peer_address = {};

  auto operator<=>(const SessionRow&) const = default;
};

// Detects which hosts renew their sessions, by this host's own clock: a session
// has expired when its row has not changed for the time to live while rows
// could be read.
class SessionMonitor {
 public:
  explicit SessionMonitor(base::Duration time_to_live);

  // Processes one reading of all session rows.
  void Observe(const std::map<std::string, SessionRow>& rows,
               base::TimePoint now);

  // Returns the live hosts and the number of cores that each may use.
  std::map<Incarnation, double> GetLiveHosts() const;
  bool IsLive(const Incarnation& incarnation) const;
  // Returns whether a session may have expired: it is unknown, or its row has
  // not changed for half its time to live, also between readings that are far
  // apart.
  bool IsSuspect(const Incarnation& incarnation) const;
  // Returns where other hosts reach the holder, as last observed; empty if not
  // known.
  std::string GetPeerAddress(const Incarnation& incarnation) const;
  // Returns the clock offsets that the live hosts report.
  std::vector<int64_t> GetClockOffsets() const;
  // Returns whether the rows have been observed for long enough to detect an
  // expired session.
  bool HasObservedLongEnough() const;

 private:
  struct ObservedSession {
    SessionRow row;
    // How long the row has not changed, counted over readings that were not far
    // apart.
    base::Duration unchanged_time{0};
    // Time of the first reading that showed the current row.
    base::TimePoint last_changed;
  };

  base::Duration m_time_to_live;
  std::map<std::string, ObservedSession> m_sessions;
  base::TimePoint m_last_reading;
  base::Duration m_observed_time{0};
};

}  // namespace shallotwick::ownership
