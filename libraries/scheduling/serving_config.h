#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduling/queue_order.h"

namespace shallotwick::scheduling {

// A queue that callers hand jobs to.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  // The service whose targets run its jobs.
  std::string service;
  RoutePolicy policy;

  auto operator<=>(const Route&) const = default;
};

// The operator's configuration as far as jobs are concerned.
struct ServingConfig {
  int64_t version = 0;
  std::vector<Route> routes;
  std::set<std::string> services;
  // Services whose hosts are switched off.
  std::set<std::string> standby_services;
  int64_t longest_body_bytes = 262'144;

  // The route of the longest prefix that the path begins with, or null.
  const Route* FindRoute(const std::string& host,
                         const std::string& path) const;
  std::map<std::string, RoutePolicy> GetPolicies() const;

  auto operator<=>(const ServingConfig&) const = default;
};

}  // namespace shallotwick::scheduling
