#pragma once

#include "fleet/fleet_input.h"
#include "fleet/fleet_plan.h"

namespace shallotwick::fleet {

// Plans the next transitions of the fleet: adds new hosts, records failures,
// fills pools up to their promises, and drains and reboots hosts for waves, as
// far as every pool's availability budget allows. The function is pure: the
// same input gives the same plan. If the transitions are applied in order, the
// state after each one is valid.
FleetPlan PlanFleet(const FleetInput& input, const PlannerSettings& settings);

}  // namespace shallotwick::fleet
