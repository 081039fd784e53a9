#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::ownership {

// A clock on which all hosts of the system agree, although the time of day of
// some hosts may jump by seconds.
//
// Intervals between hosts are measured on the store's steady clock. The time of
// day is that clock plus the median of the offsets that the hosts observe; a
// host's own time of day is used only until the store's clock is known.
class FleetClock {
 public:
  // Records the store's steady clock `store_ms` from a response that arrived at
  // `received`.
  void ObserveStoreClock(int64_t store_ms, base::TimePoint received);
  // Records, for each live host, the difference between its time of day and the
  // store's clock.
  void ObserveOffsets(std::vector<int64_t> offsets_ms, base::TimePoint now);

  // Returns the store's clock, or an earlier value by at most the transit time
  // of a response; std::nullopt before the first response.
  std::optional<int64_t> GetStoreMs(base::TimePoint now) const;
  // Returns milliseconds since the Unix epoch. `own_ms` is the time by this
  // host's own clock.
  int64_t GetUnixMs(base::TimePoint now, int64_t own_ms) const;

 private:
  // Maximum of the store's clock minus this process's clock. The maximum is the
  // best estimate, as the transit time of a response only lowers the observed
  // offset.
  std::optional<int64_t> m_max_offset_ms;
  std::optional<int64_t> m_previous_max_offset_ms;
  base::TimePoint m_window_start;
  std::optional<int64_t> m_agreed_offset_ms;
  base::TimePoint m_agreed_since;
  // A differing offset that the hosts currently observe.
  std::optional<int64_t> m_proposed_offset_ms;
  base::TimePoint m_proposed_since;
};

}  // namespace shallotwick::ownership
