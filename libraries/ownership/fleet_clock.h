#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::ownership {

// The time on which all hosts of the system agree, though the time of day of
// some of them may jump by seconds.
//
// Intervals between hosts are measured on the store's steady clock. The time of
// day is that clock plus the offset that the median of the hosts sees; a host's
// own clock counts only until the store's is known.
class FleetClock {
 public:
  // `store_ms`: the store's steady clock in an answer that came at `received`.
  void ObserveStore(int64_t store_ms, base::TimePoint received);
  // `offsets_ms`: of the live hosts, each one's time of day less the store's
  // clock.
  void ObserveOffsets(std::vector<int64_t> offsets_ms, base::TimePoint now);

  // The store's clock, or less by at most the time that an answer takes.
  // Nothing before the first answer.
  std::optional<int64_t> GetStoreMs(base::TimePoint now) const;
  // Milliseconds since the Unix epoch. `own_ms`: by this host's own clock.
  int64_t GetUnixMs(base::TimePoint now, int64_t own_ms) const;

 private:
  // The store's clock less this process's, at its largest: answers on their way
  // only make it look smaller.
  std::optional<int64_t> m_largest_offset_ms;
  std::optional<int64_t> m_previous_offset_ms;
  base::TimePoint m_window_began;
  std::optional<int64_t> m_agreed_offset_ms;
  base::TimePoint m_agreed_since;
  // Another offset that the hosts see by now.
  std::optional<int64_t> m_proposed_offset_ms;
  base::TimePoint m_proposed_since;
};

}  // namespace shallotwick::ownership
