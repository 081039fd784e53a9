#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/runtime_clock.h"
#include "host_ledger.h"
#include "hosts/host_operations.h"

namespace shallotwick::scheduler {

// Operations on hosts that the platform has accepted. It also accepts a
// repetition of an operation that is already done, which ends nothing, so only
// a newer host list shows whether an operation has ended the host's target.
class AcceptedOperations {
 public:
  // `host`: as it was listed when the operation was requested.
  using OnResolved =
      std::function<void(const hosts::FleetHost& host, bool has_target_ended)>;

  void Add(const hosts::FleetHost& host, base::TimePoint accepted_at);
  // Calls `on_resolved` once for each operation that the current host list
  // resolves.
  void Resolve(const HostLedger& ledger, const OnResolved& on_resolved);

 private:
  struct Accepted {
    hosts::FleetHost host;
    base::TimePoint accepted_at;
  };

  std::map<std::string, Accepted> m_accepted;
};

}  // namespace shallotwick::scheduler
