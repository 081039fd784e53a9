#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "document/planning_document.h"

namespace shallotwick::document {

// What is known of the fleet that the document plans for.
struct FleetFacts {
  // Hosts by data centre.
  std::map<std::string, int> hosts;
  // Hosts held back in each data centre for the failures to be survived.
  int reserve_per_data_centre = 0;

  auto operator<=>(const FleetFacts&) const = default;
};

// A contradiction between sections, or between them and the fleet.
struct Collision {
  // Names the matter; the same in every version that has it.
  std::string subject;
  std::set<std::string> teams;
  // How far it goes, where that can be counted, else 1.
  int excess = 1;
  std::string message;
  std::string remedy;

  auto operator<=>(const Collision&) const = default;
};

// Finds all collisions of a document, by subject.
std::map<std::string, Collision> FindCollisions(
    const PlanningDocument& document, const FleetFacts& facts);

// Collisions that `after` has and `before` has not, or not so far.
std::vector<Collision> FindNewCollisions(const PlanningDocument& before,
                                         const PlanningDocument& after,
                                         const FleetFacts& facts);

}  // namespace shallotwick::document
