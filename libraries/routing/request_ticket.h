#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

#include "base/runtime_clock.h"

namespace shallotwick::routing {

// Requests with a lower value leave the queue first.
enum class Urgency { kUrgent, kNormal, kBatch };

// The properties of a request that the dispatcher needs.
struct RequestTicket {
  std::string service;
  std::string team;
  Urgency urgency = Urgency::kNormal;
  base::TimePoint deadline;
  // Hosts to which the request has already been sent.
  std::set<std::string> tried_hosts;

  auto operator<=>(const RequestTicket&) const = default;
};

}  // namespace shallotwick::routing
