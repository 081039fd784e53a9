#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::ownership {

// One life of one host of the system.
struct Incarnation {
  std::string host;
  std::string boot;

  auto operator<=>(const Incarnation&) const = default;
};

// The name under which it holds locks: its host and its boot, with a slash
// between them.
std::string FormatHolder(const Incarnation& incarnation);
// Nothing if the text is no such name.
std::optional<Incarnation> ParseHolder(const std::string& text);

// A session row as it was read: `version` changes with each renewal.
struct SessionRow {
  Incarnation holder;
  uint64_t version = 0;
  // Cores that the holder may use.
  double cores = 1;
  // The holder's time of day less the store's clock; nothing if it did not say.
  std::optional<int64_t> clock_offset_ms = std::nullopt;

  auto operator<=>(const SessionRow&) const = default;
};

// Tells which hosts renew their sessions, by this host's own clock: a session
// has lapsed when its row stood still for the time to live while rows could be
// read.
class SessionWatch {
 public:
  explicit SessionWatch(base::Duration time_to_live);

  // Takes one reading of all rows.
  void Observe(const std::map<std::string, SessionRow>& rows,
               base::TimePoint now);

  // The live hosts and the cores that each may use.
  std::map<Incarnation, double> GetLive() const;
  bool IsLive(const Incarnation& incarnation) const;
  // Whether a session is unknown, or stood still for half its time to live,
  // also between readings that are far apart. Such a one may have lapsed.
  bool IsSuspect(const Incarnation& incarnation) const;
  // The clock offsets that the live hosts see.
  std::vector<int64_t> GetClockOffsets() const;
  // Whether the rows were watched for long enough to tell a lapsed session.
  bool HasWatchedLongEnough() const;

 private:
  struct Seen {
    SessionRow row;
    // How long it stood still in readings that were not far apart.
    base::Duration still{0};
    // The first reading that showed it as it is.
    base::TimePoint changed;
  };

  base::Duration m_time_to_live;
  std::map<std::string, Seen> m_seen;
  base::TimePoint m_last_reading;
  base::Duration m_watched{0};
};

}  // namespace shallotwick::ownership
