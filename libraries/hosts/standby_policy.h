#pragma once

#include <deque>
#include <utility>

#include "base/runtime_clock.h"

namespace shallotwick::hosts {

// Decides how many hosts of a fleet stay on when its pools need fewer.
//
// Answers demand that comes in turns: a host that is switched off serves a
// queue whose turn begins only after a move, and by then the queue has a
// backlog that it carries through most of its turn. So the fleet stays as large
// as its busiest moment of late, and one that has seen no work yet stays as it
// was set up.
class StandbyPolicy {
 public:
  // `busy`: hosts that the work of all pools keeps busy at this moment.
  void Observe(int busy, base::TimePoint now);

  // How many of the hosts that are on are to stay so.
  int CountKept(int on, base::TimePoint now) const;

 private:
  // The largest value within a time to remember.
  class Peak {
   public:
    explicit Peak(base::Duration memory) : m_memory(memory) {}
    void Add(int value, base::TimePoint now);
    int Get(base::TimePoint now) const;

   private:
    base::Duration m_memory;
    // Falling values, each with its time.
    std::deque<std::pair<base::TimePoint, int>> m_falling;
  };

  static constexpr auto kRecentMemory = std::chrono::seconds(20);
  static constexpr auto kLongMemory = std::chrono::hours(1);

  Peak m_recent{kRecentMemory};
  Peak m_long{kLongMemory};
  bool m_has_seen_work = false;
  base::TimePoint m_first_work;
};

}  // namespace shallotwick::hosts
