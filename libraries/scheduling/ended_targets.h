#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/runtime_clock.h"
#include "scheduling/target_ledger.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

// What an owner has concluded about a target.
struct TargetEnd {
  std::string target;
  // The incarnation that was counted as ended; 0 if its start is not known.
  int64_t incarnation_started_ms = 0;
  std::string reason;
  // False if only the target's lease was counted as expired.
  bool is_incarnation_ended = true;
  // A report contradicts the conclusion only if it was ordered after it: at
  // this time or later, with this token or a higher one.
  base::TimePoint since;
  uint64_t since_fence = 0;
  std::set<std::pair<TaskName, int64_t>> lost_runs;

  auto operator<=>(const TargetEnd&) const = default;
};

// A conclusion that a later report has shown to be wrong.
struct WrongTargetEnd {
  TargetEnd end;
  // The incarnation that has reported.
  int64_t incarnation_started_ms = 0;
  // The number of runs that were counted as lost and are present.
  int64_t present_runs = 0;

  auto operator<=>(const WrongTargetEnd&) const = default;
};

// Returns what is concluded about a target that counts as ended.
TargetEnd MakeTargetEnd(const TargetLedger& target, const char* reason);

// Remembers the latest conclusions of an owner that targets have ended, and
// recognises those that a report contradicts.
class EndedTargets {
 public:
  void Add(TargetEnd end);
  // Returns the conclusion that the report contradicts and forgets it.
  std::optional<WrongTargetEnd> TakeContradicted(const ReportOrder& order,
                                                 base::TimePoint sent,
                                                 const TargetReport& report);
  size_t GetSize() const { return m_ends.size(); }

 private:
  struct Entry {
    uint64_t sequence = 0;
    TargetEnd end;
  };

  // By the target's id.
  std::map<std::string, Entry> m_ends;
  uint64_t m_last_sequence = 0;
};

}  // namespace shallotwick::scheduling
