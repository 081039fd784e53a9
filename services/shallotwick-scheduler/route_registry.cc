#include "route_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "base/stable_hash.h"
#include "job_tables.h"
#include "platform/wire_reader.h"

namespace shallotwick::scheduler {
namespace {

constexpr auto kRetryDelay = std::chrono::milliseconds(100);
// A change takes up to four entries of a transaction.
constexpr size_t kMaxChangesPerTransaction =
    storage::kMaxTransactionEntries / 4;

storage::RowKey MakeRecordKey(const std::string& key) {
  return {kRouteTable, kSinglePartition, key};
}

storage::RowKey MakeFenceKey(const std::string& service,
                             const std::string& key) {
  return {kRouteTable, service, key};
}

}  // namespace

RouteRegistry::RouteRegistry(base::EventLoop& loop, storage::RowStore& store)
    : m_loop(loop), m_store(store) {}

// A route that is removed and added again may get another name, but callers use
// the same paths.
std::string RouteRegistry::MakeKey(const scheduling::Route& route) {
  return std::to_string(base::StableHash(route.host + "\n" + route.prefix));
}

std::string RouteRegistry::Encode(const Placement& placement) {
  return nlohmann::json{{"service", placement.service},
                        {"former_services", placement.former_services},
                        {"config_version", placement.config_version}}
      .dump();
}

void RouteRegistry::SetConfig(const scheduling::ServingConfig& config) {
  m_config = config;
  Refresh();
}

std::optional<RouteFence> RouteRegistry::FindFence(
    const std::string& service, const std::string& route) const {
  const auto configured =
      std::find_if(m_config.routes.begin(), m_config.routes.end(),
                   [&](const auto& entry) { return entry.name == route; });
  if (configured == m_config.routes.end()) {
    return std::nullopt;
  }
  const std::string key = MakeKey(*configured);
  const auto found = m_placements.find(key);
  const bool is_served = configured->service == service &&
                         found != m_placements.end() &&
                         found->second.service == service;
  if (!is_served) {
    return std::nullopt;
  }
  const Placement& placement = found->second;
  // The fence is written together with the record, at the first change.
  const uint64_t version = placement.former_services.empty()
                               ? storage::kNoVersion
                               : placement.version;
  return RouteFence{
      storage::ExpectedVersion{MakeFenceKey(service, key), version},
      placement.former_services};
}

std::optional<std::vector<std::string>> RouteRegistry::ListServices(
    const scheduling::Route& route) const {
  const auto found = m_placements.find(MakeKey(route));
  if (found == m_placements.end()) {
    return std::nullopt;
  }
  std::vector<std::string> services = {route.service};
  const auto add = [&services](const std::string& service) {
    if (!service.empty() && std::find(services.begin(), services.end(),
                                      service) == services.end()) {
      services.push_back(service);
    }
  };
  // Other hosts may have a newer configuration.
  add(found->second.service);
  for (const std::string& service : found->second.former_services) {
    add(service);
  }
  return services;
}

std::map<std::string, RoutePlacement> RouteRegistry::ListMovedRoutes(
    const std::string& service) const {
  std::map<std::string, RoutePlacement> routes;
  for (const scheduling::Route& route : m_config.routes) {
    const std::string key = MakeKey(route);
    const auto found = m_placements.find(key);
    if (found == m_placements.end()) {
      continue;
    }
    const Placement& placement = found->second;
    const auto& former = placement.former_services;
    const bool is_moved =
        !placement.service.empty() && placement.service != service &&
        std::find(former.begin(), former.end(), service) != former.end();
    if (is_moved) {
      routes[route.name] = {placement.service,
                            {MakeRecordKey(key), placement.version}};
    }
  }
  return routes;
}

std::set<std::string> RouteRegistry::ListAllFormerServices() const {
  std::set<std::string> services;
  for (const auto& [key, placement] : m_placements) {
    services.insert(placement.former_services.begin(),
                    placement.former_services.end());
  }
  return services;
}

void RouteRegistry::Refresh() {
  if (std::exchange(m_is_refreshing, true)) {
    m_must_refresh_again = true;
    return;
  }
  m_must_refresh_again = false;
  storage::ReadPartition(
      m_store, kRouteTable, kSinglePartition,
      m_lifetime.Guard(
          [this](const storage::RowReadResult& result) { OnRead(result); }));
}

void RouteRegistry::RefreshAfterDelay() {
  m_loop.RunAfter(kRetryDelay, m_lifetime.Guard([this] {
    m_is_refreshing = false;
    Refresh();
  }));
}

void RouteRegistry::OnRead(const storage::RowReadResult& result) {
  if (!result.is_read) {
    RefreshAfterDelay();
    return;
  }
  m_placements.clear();
  for (const storage::VersionedRow& row : result.rows) {
    m_placements[row.key.key] = Decode(row);
  }
  WriteChanges();
}

RouteRegistry::Placement RouteRegistry::Decode(
    const storage::VersionedRow& row) const {
  Placement placement;
  placement.version = row.version;
  try {
    const auto object = platform::ParseWire(row.value);
    const platform::WireReader reader(object);
    placement.service = reader.GetName("service");
    placement.former_services = reader.GetNames("former_services");
    placement.config_version =
        reader.GetInteger("config_version", platform::kAnyCount);
  } catch (const std::runtime_error& error) {
    base::Log(
        base::events::kStoreContentInvalid,
        {{"row", row.key.table + "/" + row.key.key}, {"fault", error.what()}});
    // Any service may have served the route.
    placement.service.clear();
    placement.former_services = {m_config.services.begin(),
                                 m_config.services.end()};
    placement.config_version = 0;
  }
  return placement;
}

bool RouteRegistry::NeedsChange(const scheduling::Route& route) const {
  const auto found = m_placements.find(MakeKey(route));
  return found == m_placements.end() ||
         (found->second.service != route.service &&
          found->second.config_version < m_config.version);
}

RouteRegistry::Placement RouteRegistry::MakePlacement(
    const scheduling::Route& route) const {
  Placement placement;
  const auto found = m_placements.find(MakeKey(route));
  if (found != m_placements.end()) {
    placement = found->second;
    if (!placement.service.empty()) {
      placement.former_services.push_back(placement.service);
    }
    std::erase(placement.former_services, route.service);
  }
  placement.service = route.service;
  placement.config_version = m_config.version;
  return placement;
}

void RouteRegistry::WriteChanges() {
  storage::RowTransaction transaction;
  std::map<std::string, Placement> changes;
  for (const scheduling::Route& route : m_config.routes) {
    const std::string key = MakeKey(route);
    if (changes.size() >= kMaxChangesPerTransaction || !NeedsChange(route) ||
        changes.count(key) > 0) {
      continue;
    }
    const Placement placement = MakePlacement(route);
    const auto before = m_placements.find(key);
    transaction.expected.push_back(
        {MakeRecordKey(key), before == m_placements.end()
                                 ? storage::kNoVersion
                                 : before->second.version});
    const std::string value = Encode(placement);
    transaction.writes.push_back({MakeRecordKey(key), value});
    if (before != m_placements.end()) {
      transaction.writes.push_back({MakeFenceKey(route.service, key), value});
      if (!before->second.service.empty()) {
        transaction.writes.push_back(
            {MakeFenceKey(before->second.service, key), value});
      }
    }
    changes[key] = placement;
  }
  if (changes.empty()) {
    m_is_loaded = true;
    m_is_refreshing = false;
    m_on_change();
    if (m_must_refresh_again) {
      Refresh();
    }
    return;
  }
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, changes](const storage::RowCommitResult& result) {
        if (result.status == storage::RowCommitStatus::kConflict) {
          // Another host has recorded the changes.
          m_is_refreshing = false;
          Refresh();
          return;
        }
        if (result.status != storage::RowCommitStatus::kCommitted) {
          RefreshAfterDelay();
          return;
        }
        for (const auto& [key, placement] : changes) {
          m_placements[key] = placement;
          m_placements[key].version = result.version;
          base::Log(
              base::events::kRoutePlaced,
              {{"route", key},
               {"pool", placement.service},
               {"former", std::to_string(placement.former_services.size())},
               {"version", std::to_string(placement.config_version)}});
        }
        WriteChanges();
      }));
}

}  // namespace shallotwick::scheduler
