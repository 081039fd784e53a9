#include "scheduling/ended_targets.h"

#include <algorithm>

namespace shallotwick::scheduling {
namespace {

constexpr size_t kMaxEnds = 1'024;

int64_t CountPresent(const TargetEnd& end, const TargetReport& report) {
  return std::count_if(report.running.begin(), report.running.end(),
                       [&end](const ReportedRun& run) {
                         return end.lost_runs.count({run.task, run.run}) > 0;
                       });
}

}  // namespace

TargetEnd MakeTargetEnd(const TargetLedger& target, const char* reason) {
  TargetEnd end;
  end.target = target.m_entry.id;
  end.incarnation_started_ms = target.m_reported_born_ms != 0
                                   ? target.m_reported_born_ms
                                   : target.m_entry.incarnation_started_ms;
  end.reason = reason;
  for (const auto& [name, run] : target.GetRuns()) {
    end.lost_runs.insert({name, run.number});
  }
  return end;
}

void EndedTargets::Add(TargetEnd end) {
  Entry& entry = m_ends[end.target];
  entry.sequence = ++m_last_sequence;
  entry.end = std::move(end);
  if (m_ends.size() > kMaxEnds) {
    m_ends.erase(std::min_element(
        m_ends.begin(), m_ends.end(), [](const auto& left, const auto& right) {
          return left.second.sequence < right.second.sequence;
        }));
  }
}

std::optional<WrongTargetEnd> EndedTargets::TakeContradicted(
    const ReportOrder& order, base::TimePoint sent,
    const TargetReport& report) {
  const auto found = m_ends.find(order.target);
  if (found == m_ends.end()) {
    return std::nullopt;
  }
  const TargetEnd& end = found->second.end;
  WrongTargetEnd wrong{end, report.incarnation_started_ms,
                       CountPresent(end, report)};
  const bool is_same_incarnation =
      end.incarnation_started_ms == 0 ||
      end.incarnation_started_ms == report.incarnation_started_ms;
  const bool is_contradicted =
      sent >= end.since && order.fence >= end.since_fence &&
      is_same_incarnation &&
      (end.is_incarnation_ended || wrong.present_runs > 0);
  if (!is_contradicted) {
    return std::nullopt;
  }
  m_ends.erase(found);
  return wrong;
}

}  // namespace shallotwick::scheduling
