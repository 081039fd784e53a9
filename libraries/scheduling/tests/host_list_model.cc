#include "host_list_model.h"

#include <utility>

namespace shallotwick::scheduling::testing {
namespace {

// A started target appears in the list within this time.
constexpr int64_t kMaxListingDelayMs = 3'000;

}  // namespace

void HostListModel::Apply(PoolScheduler& owner,
                          const std::set<std::string>& live,
                          base::TimePoint requested_at, int64_t wall_ms) {
  std::map<std::string, base::TimePoint> missing;
  for (const std::string& id : owner.ListUnresponsiveTargets(requested_at)) {
    const TargetLedger& target = owner.GetTargets().at(id);
    const bool is_new =
        target.GetEntry().incarnation_started_ms > wall_ms - kMaxListingDelayMs;
    if (live.count(id) > 0 || is_new) {
      continue;
    }
    const auto before = m_missing.find(id);
    if (before == m_missing.end() ||
        target.m_last_report_received >= before->second) {
      missing[id] = requested_at;
      continue;
    }
    owner.OnTargetEnded(id, "missing from the host lists");
  }
  m_missing = std::move(missing);
}

}  // namespace shallotwick::scheduling::testing
