#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "base/runtime_clock.h"
#include "routing/slot_counter.h"

namespace shallotwick::routing {

// What one gateway keeps of one target host, over all views that name it.
// Safe to use from several threads.
class TargetState : public SlotCounter {
 public:
  explicit TargetState(std::string host) : m_host(std::move(host)) {}

  const std::string& GetHost() const { return m_host; }

  // Keeps new work away until the given time, after a failure.
  void AvoidUntil(base::TimePoint until);
  bool IsAvoided(base::TimePoint now) const;

  // The target said itself that it is leaving. Holds until the host's next
  // state in the view.
  void SetLeaving(bool leaving) { m_leaving.store(leaving); }
  bool IsLeaving() const { return m_leaving.load(); }

  // Remembers that a connection fell silent: those that are older than that are
  // not used any more.
  void SetSilentAt(base::TimePoint now);
  // Seconds since then, rounded down, or -1 if it never was.
  int64_t GetSecondsSinceSilent(base::TimePoint now) const;

 private:
  static constexpr int64_t kNever = -1;

  std::string m_host;
  std::atomic<int64_t> m_avoid_until{0};
  std::atomic<int64_t> m_silent_at{kNever};
  std::atomic<bool> m_leaving{false};
};

}  // namespace shallotwick::routing
