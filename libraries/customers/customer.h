#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/resources.h"

namespace shallotwick::customers {

// A customer of the fleet, as the operator's configuration describes it.
struct Customer {
  std::string name;
  // Any of these admits the customer's calls. Secret: never logged.
  std::vector<std::string> keys;
  // The jobs a second that the customer is owed, and its share when the fleet
  // is full.
  double weight = 0;
  // The maximum that the customer's runs may use over all targets; 0 for no
  // limit on a resource.
  base::Resources limit;

  auto operator<=>(const Customer&) const = default;
};

}  // namespace shallotwick::customers
