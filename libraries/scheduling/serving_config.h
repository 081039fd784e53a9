#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/finding.h"
#include "customers/customer_registry.h"
#include "scheduling/queue_order.h"

namespace shallotwick::scheduling {

// An endpoint to which callers submit jobs.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  // The service whose targets run the jobs of this route.
  std::string service;
  RoutePolicy policy;
  // Calls need no key.
  bool is_public = false;

  auto operator<=>(const Route&) const = default;
};

// The parts of the operator's configuration that concern jobs.
struct ServingConfig {
  int64_t version = 0;
  std::vector<Route> routes;
  std::set<std::string> services;
  // Services whose hosts are on standby (switched off).
  std::set<std::string> standby_services;
  int64_t max_body_bytes = 262'144;
  customers::CustomerRegistry customers;
  // What was left out because it could not be read.
  base::Findings findings;

  // Returns the route of the host with the longest prefix that matches the
  // path, or nullptr.
  const Route* FindRoute(const std::string& host,
                         const std::string& path) const;
  std::map<std::string, RoutePolicy> GetPolicies() const;

  auto operator<=>(const ServingConfig&) const = default;
};

}  // namespace shallotwick::scheduling
