#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "records/host_record.h"

namespace shallotwick::fleet {

// A change of one host's state or pool.
struct Transition {
  std::string host;
  // std::nullopt if the host is new.
  std::optional<records::HostRecord> before;
  // std::nullopt if the host's record is removed.
  std::optional<records::HostRecord> after;
  std::string reason;

  auto operator<=>(const Transition&) const = default;
};

// Number of promised hosts that a pool lacks and that the surplus of other
// pools can't provide.
struct Shortfall {
  std::string pool;
  std::string data_centre;
  int missing = 0;
  std::string remedy;

  auto operator<=>(const Shortfall&) const = default;
};

struct FleetPlan {
  std::vector<Transition> transitions;
  // Hosts in state rebooting that still run the boot from before the reboot.
  std::vector<std::string> reboots;
  std::vector<Shortfall> shortfalls;

  auto operator<=>(const FleetPlan&) const = default;
};

}  // namespace shallotwick::fleet
