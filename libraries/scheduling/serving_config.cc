#include "scheduling/serving_config.h"

namespace shallotwick::scheduling {

const Route* ServingConfig::FindRoute(const std::string& host,
                                      const std::string& path) const {
  const std::string name = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const bool matches =
        route.host == name &&
        path.compare(0, route.prefix.size(), route.prefix) == 0;
    if (matches &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

std::map<std::string, RoutePolicy> ServingConfig::GetPolicies() const {
  std::map<std::string, RoutePolicy> policies;
  for (const Route& route : routes) {
    policies[route.name] = route.policy;
  }
  return policies;
}

}  // namespace shallotwick::scheduling
