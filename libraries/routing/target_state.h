#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "base/runtime_clock.h"
#include "routing/slot_counter.h"

namespace shallotwick::routing {

// The state that one gateway holds for one target host, across all views that
// contain the host. Safe to use from several threads.
class TargetState : public SlotCounter {
 public:
  explicit TargetState(std::string host) : m_host(std::move(host)) {}

  const std::string& GetHost() const { return m_host; }

  // After a failure, marks the target as a last resort for new requests until
  // the given time.
  void AvoidUntil(base::TimePoint until);
  bool IsAvoided(base::TimePoint now) const;

  // Records that the target itself has reported that it is leaving. Applies
  // until the view shows the host's next state.
  void SetLeaving(bool leaving) { m_leaving.store(leaving); }
  bool IsLeaving() const { return m_leaving.load(); }

  // Records that a connection became unresponsive at `now`: connections opened
  // before that time are not used any more.
  void SetUnresponsiveAt(base::TimePoint now);
  // Returns the seconds since then, rounded down, or -1 if no connection ever
  // became unresponsive.
  int64_t GetSecondsSinceUnresponsive(base::TimePoint now) const;

 private:
  static constexpr int64_t kNever = -1;

  std::string m_host;
  std::atomic<int64_t> m_avoid_until{0};
  std::atomic<int64_t> m_unresponsive_at{kNever};
  std::atomic<bool> m_leaving{false};
};

}  // namespace shallotwick::routing
