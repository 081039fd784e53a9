#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "scheduling/serving_config.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// The condition under which a job of a route may be stored for a service.
struct RouteFence {
  // Fails once another service serves the route.
  std::optional<storage::ExpectedVersion> expected;
  // The services that served the route before. They accept no more jobs of it,
  // but may have accepted the job.
  std::vector<std::string> former_services;

  auto operator<=>(const RouteFence&) const = default;
};

// Where the store says that the jobs of a route run.
struct RoutePlacement {
  std::string service;
  // Fails once another service serves the route.
  storage::ExpectedVersion record;

  auto operator<=>(const RoutePlacement&) const = default;
};

// Records in the store which service serves each route. All rows of a job are
// in the partition of its service, so one row's absence makes a job unique only
// within that service. When a route changes its service, one transaction
// records the change and fences the partitions of both services: a host with
// another configuration can then store no job of the route.
class RouteRegistry {
 public:
  RouteRegistry(base::EventLoop& loop, storage::RowStore& store);

  // Called when the records have been read or written.
  std::function<void()> m_on_change = [] {};

  void SetConfig(const scheduling::ServingConfig& config);
  // Whether the records have been read and cover the first configuration.
  bool IsLoaded() const { return m_is_loaded; }
  // Returns std::nullopt while the service must not accept jobs of the route
  // with this name: the configuration or the store names another one, or the
  // record has not been read.
  std::optional<RouteFence> FindFence(const std::string& service,
                                      const std::string& route) const;
  // Returns the services that may have jobs of the route, that of the
  // configuration first; std::nullopt while the route's record is not known.
  std::optional<std::vector<std::string>> ListServices(
      const scheduling::Route& route) const;
  // Returns the routes, by name, that the service has served and another one
  // serves now.
  std::map<std::string, RoutePlacement> ListMovedRoutes(
      const std::string& service) const;
  // Returns all services that have served a route.
  std::set<std::string> ListAllFormerServices() const;
  // Reads the records again. Called when a fence has failed.
  void Refresh();

 private:
  struct Placement {
    std::string service;
    // All other services that have served the route.
    std::vector<std::string> former_services;
    // The configuration that named the service.
    int64_t config_version = 0;
    uint64_t version = storage::kNoVersion;
  };

  static std::string MakeKey(const scheduling::Route& route);
  static std::string Encode(const Placement& placement);
  Placement Decode(const storage::VersionedRow& row) const;
  void OnRead(const storage::RowReadResult& result);
  // Records the routes that are new or have changed their service.
  void WriteChanges();
  // Returns whether the record has to change.
  bool NeedsChange(const scheduling::Route& route) const;
  Placement MakePlacement(const scheduling::Route& route) const;
  void RefreshAfterDelay();

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  scheduling::ServingConfig m_config;
  std::map<std::string, Placement> m_placements;
  bool m_is_loaded = false;
  bool m_is_refreshing = false;
  bool m_must_refresh_again = false;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
