#include "target_registry.h"

#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "platform/operator_codec.h"

namespace shallotwick::scheduler {
namespace {

// Another writer may write many entries, or one again and again.
constexpr size_t kMaxRememberedRefusals = 1'000;
constexpr int kMaxLogLinesPerPeriod = 50;
constexpr auto kLogPeriod = std::chrono::minutes(1);

}  // namespace

void TargetRegistry::OnReset(const std::vector<storage::VersionedRow>& rows) {
  m_targets.clear();
  for (const storage::VersionedRow& row : rows) {
    scheduling::TargetEntry entry;
    if (Read(row, entry)) {
      m_targets[row.key.key] = std::move(entry);
    }
  }
}

void TargetRegistry::OnRow(const storage::VersionedRow& row) {
  const std::string& id = row.key.key;
  scheduling::TargetEntry entry;
  const bool is_named = !row.is_removed && Read(row, entry);
  const auto before = m_targets.find(id);
  const bool has_left = before != m_targets.end() &&
                        (!is_named || entry.service != before->second.service);
  if (has_left) {
    const std::string service = before->second.service;
    m_targets.erase(before);
    m_on_removed(service, id);
  }
  if (is_named) {
    m_targets[id] = entry;
    m_on_changed(entry);
  }
}

void TargetRegistry::Clear() { m_targets.clear(); }

std::map<std::string, scheduling::TargetEntry> TargetRegistry::ListTargets(
    const std::string& service) const {
  std::map<std::string, scheduling::TargetEntry> targets;
  for (const auto& [id, entry] : m_targets) {
    if (entry.service == service) {
      targets[id] = entry;
    }
  }
  return targets;
}

bool TargetRegistry::Read(const storage::VersionedRow& row,
                          scheduling::TargetEntry& entry) {
  try {
    entry = platform::DecodeTarget(row.key.key, row.value);
  } catch (const std::runtime_error& error) {
    Refuse(row, error.what());
    return false;
  }
  // A later configuration may name the service, so the entry is kept.
  if (!m_is_service_known(entry.service)) {
    Refuse(row, "service: no configuration names it");
  }
  return true;
}

void TargetRegistry::Refuse(const storage::VersionedRow& row,
                            const std::string& reason) {
  const auto known = m_refused.find(row.key.key);
  if (known != m_refused.end() && known->second == row.version) {
    return;
  }
  m_metrics.GetCounter("shallotwick_registry_entries_refused_total")
      .Increment();
  if (known == m_refused.end() && m_refused.size() >= kMaxRememberedRefusals) {
    m_refused.clear();
  }
  m_refused[row.key.key] = row.version;
  if (MayLog()) {
    base::Log(base::events::kRegistryEntryRefused,
              {{"row", row.key.key},
               {"version", std::to_string(row.version)},
               {"reason", reason}});
  }
}

bool TargetRegistry::MayLog() {
  const auto now = base::RuntimeClock::now();
  if (now >= m_log_period_start + kLogPeriod) {
    m_log_period_start = now;
    m_logged_in_period = 0;
  }
  return m_logged_in_period++ < kMaxLogLinesPerPeriod;
}

}  // namespace shallotwick::scheduler
