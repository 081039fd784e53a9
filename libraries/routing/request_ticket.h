#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

#include "base/runtime_clock.h"

namespace shallotwick::routing {

// Least value first in a queue.
enum class Urgency { kUrgent, kNormal, kBatch };

// What the dispatcher needs to know of a request.
struct RequestTicket {
  std::string service;
  std::string team;
  Urgency urgency = Urgency::kNormal;
  base::TimePoint deadline;
  // Hosts that have been tried already.
  std::set<std::string> tried_hosts;

  auto operator<=>(const RequestTicket&) const = default;
};

}  // namespace shallotwick::routing
