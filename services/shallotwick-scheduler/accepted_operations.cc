#include "accepted_operations.h"

#include <utility>
#include <vector>

namespace shallotwick::scheduler {

void AcceptedOperations::Add(const hosts::FleetHost& host,
                             base::TimePoint accepted_at) {
  m_accepted[host.name] = {host, accepted_at};
}

void AcceptedOperations::Resolve(const HostLedger& ledger,
                                 const OnResolved& on_resolved) {
  std::vector<std::pair<hosts::FleetHost, bool>> resolved;
  for (const auto& [name, accepted] : m_accepted) {
    const auto listed = ledger.GetHosts().find(name);
    // A host that moves while the list is read may be missing from it.
    if (ledger.GetListTime() <= accepted.accepted_at ||
        listed == ledger.GetHosts().end() ||
        listed->second.state == hosts::HostState::kUnknown) {
      continue;
    }
    const bool is_unchanged = listed->second.state == hosts::HostState::kUp &&
                              listed->second.target == accepted.host.target;
    const bool may_be_too_old =
        ledger.GetListTime() <= accepted.accepted_at + kHostListMargin;
    if (is_unchanged && may_be_too_old) {
      continue;
    }
    resolved.emplace_back(accepted.host, !is_unchanged);
  }
  for (const auto& [host, has_target_ended] : resolved) {
    m_accepted.erase(host.name);
    on_resolved(host, has_target_ended);
  }
}

}  // namespace shallotwick::scheduler
