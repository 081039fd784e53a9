#include "fleet/pool_census.h"

namespace shallotwick::fleet {
namespace {

std::string RackKey(const std::string& pool, const std::string& data_centre,
                    const std::string& rack) {
  return pool + "/" + data_centre + "/" + rack;
}

// A host that is moving counts for the pool it moves to.
std::string GetRackKey(const records::HostRecord& host) {
  const bool moves = host.purpose == records::DrainPurpose::kMove;
  return RackKey(moves ? host.move_to : host.pool, host.data_centre, host.rack);
}

}  // namespace

PoolCensus::PoolCensus(
    const std::vector<document::PoolPlan>& pools,
    const std::map<std::string, records::HostRecord>& hosts) {
  for (const document::PoolPlan& pool : pools) {
    m_budgets[pool.name] = pool.budget;
    for (const auto& [data_centre, promised] : pool.promise) {
      m_counts[{pool.name, data_centre}].promise = promised;
      m_missing[pool.name] += promised;
    }
  }
  for (const auto& [name, host] : hosts) {
    Add(host);
  }
}

void PoolCensus::Remove(const records::HostRecord& host) {
  --m_in_rack[GetRackKey(host)];
  AdjustServing(host, -1);
}

void PoolCensus::Add(const records::HostRecord& host) {
  ++m_in_rack[GetRackKey(host)];
  AdjustServing(host, 1);
}

void PoolCensus::AdjustServing(const records::HostRecord& host, int change) {
  if (host.state != records::HostState::kServing) {
    return;
  }
  Counts& counts = m_counts[{host.pool, host.data_centre}];
  const int missing_before = counts.CountMissing();
  counts.serving += change;
  m_missing[host.pool] += counts.CountMissing() - missing_before;
}

int PoolCensus::CountServing(const std::string& pool,
                             const std::string& data_centre) const {
  const auto found = m_counts.find({pool, data_centre});
  return found == m_counts.end() ? 0 : found->second.serving;
}

int PoolCensus::GetPromise(const std::string& pool,
                           const std::string& data_centre) const {
  const auto found = m_counts.find({pool, data_centre});
  return found == m_counts.end() ? 0 : found->second.promise;
}

int PoolCensus::CountInRack(const std::string& pool,
                            const std::string& data_centre,
                            const std::string& rack) const {
  const auto found = m_in_rack.find(RackKey(pool, data_centre, rack));
  return found == m_in_rack.end() ? 0 : found->second;
}

int PoolCensus::CountMissing(const std::string& pool) const {
  const auto found = m_missing.find(pool);
  return found == m_missing.end() ? 0 : found->second;
}

bool PoolCensus::CanMakeUnavailable(const std::string& pool,
                                    const std::string& data_centre) const {
  if (CountServing(pool, data_centre) > GetPromise(pool, data_centre)) {
    return true;
  }
  const auto budget = m_budgets.find(pool);
  const int allowed = budget == m_budgets.end() ? 0 : budget->second;
  return CountMissing(pool) < allowed;
}

}  // namespace shallotwick::fleet
