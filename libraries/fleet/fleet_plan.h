#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "records/host_record.h"

namespace shallotwick::fleet {

// One host's change of state or pool.
struct Transition {
  std::string host;
  // Without a value the host is new.
  std::optional<records::HostRecord> before;
  // Without a value the host is forgotten.
  std::optional<records::HostRecord> after;
  std::string reason;

  auto operator<=>(const Transition&) const = default;
};

// Promised hosts that a pool does not have and that no other host can fill.
struct Shortfall {
  std::string pool;
  std::string data_centre;
  int missing = 0;
  std::string remedy;

  auto operator<=>(const Shortfall&) const = default;
};

struct FleetPlan {
  std::vector<Transition> transitions;
  // Hosts in state rebooting that still run the boot to be ended.
  std::vector<std::string> reboots;
  std::vector<Shortfall> shortfalls;

  auto operator<=>(const FleetPlan&) const = default;
};

}  // namespace shallotwick::fleet
