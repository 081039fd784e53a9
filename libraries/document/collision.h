#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "document/planning_document.h"

namespace shallotwick::document {

// Capacity of the fleet that the document plans for.
struct FleetCapacity {
  // Hosts by data centre.
  std::map<std::string, int> hosts;
  // Hosts reserved in each data centre for the failures that pools must
  // survive.
  int reserve_per_data_centre = 0;

  auto operator<=>(const FleetCapacity&) const = default;
};

// A contradiction between sections, or between them and the fleet.
struct Collision {
  // Identifies the contradiction; stays the same in every document version that
  // contains it.
  std::string subject;
  std::set<std::string> teams;
  // Amount by which a limit is exceeded; 1 if that can't be counted.
  int excess = 1;
  std::string message;
  std::string remedy;

  auto operator<=>(const Collision&) const = default;
};

// Returns all collisions of a document, by subject.
std::map<std::string, Collision> FindCollisions(
    const PlanningDocument& document, const FleetCapacity& facts);

// Returns the collisions of `after` that `before` does not have, or has with a
// smaller excess.
std::vector<Collision> FindNewCollisions(const PlanningDocument& before,
                                         const PlanningDocument& after,
                                         const FleetCapacity& facts);

}  // namespace shallotwick::document
