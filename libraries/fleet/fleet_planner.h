#pragma once

#include "fleet/fleet_input.h"
#include "fleet/fleet_plan.h"

namespace shallotwick::fleet {

// Decides what to do next with the fleet: takes in new hosts, records failures,
// fills pools up to their promise, and drains and reboots hosts for waves, as
// far as every pool's availability budget allows. Pure: the same input gives
// the same plan. Each transition holds by itself in the order given.
FleetPlan PlanFleet(const FleetInput& input, const PlannerSettings& settings);

}  // namespace shallotwick::fleet
