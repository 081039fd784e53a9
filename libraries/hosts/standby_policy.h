#pragma once

#include <deque>
#include <utility>

#include "base/runtime_clock.h"

namespace shallotwick::hosts {

// Decides how many hosts of a fleet stay switched on when its pools need fewer.
//
// Designed for workloads of bursts: a standby host serves a queue only after a
// move, and by then the queue has a backlog that lasts for most of its burst.
// The fleet therefore retains as many hosts as its recent peak load kept busy,
// and a fleet that has not had any work yet retains all of its hosts.
class StandbyPolicy {
 public:
  // Records that the work of all pools keeps `busy` hosts busy at this moment.
  void Observe(int busy, base::TimePoint now);

  // Returns how many of the `on` hosts that are switched on should stay on.
  int CountRetainedHosts(int on, base::TimePoint now) const;

 private:
  // Maximum of the values observed within a sliding window.
  class WindowMax {
   public:
    explicit WindowMax(base::Duration window) : m_window(window) {}
    void Add(int value, base::TimePoint now);
    int Get(base::TimePoint now) const;

   private:
    base::Duration m_window;
    // Strictly decreasing values, each with the time of its observation.
    std::deque<std::pair<base::TimePoint, int>> m_descending;
  };

  static constexpr auto kRecentWindow = std::chrono::seconds(20);
  static constexpr auto kLongWindow = std::chrono::hours(1);

  WindowMax m_recent_max{kRecentWindow};
  WindowMax m_long_max{kLongWindow};
  bool m_has_seen_work = false;
  base::TimePoint m_first_work_at;
};

}  // namespace shallotwick::hosts
