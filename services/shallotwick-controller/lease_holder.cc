#include "lease_holder.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/log_catalogue.h"
#include "base/random_identifier.h"
#include "control/row_set.h"
#include "records/keys.h"

namespace shallotwick::controller {

LeaseHolder::LeaseHolder(storage::TableService& table, std::string holder,
                         base::Duration time_to_live,
                         base::Duration renewal_period)
    : m_table(table),
      m_holder(std::move(holder)),
      m_time_to_live(time_to_live),
      m_renewal_period(renewal_period),
      m_token(base::MakeRandomIdentifier()),
      m_lease_monitor(m_token) {}

bool LeaseHolder::AcquireOrRenew(base::TimePoint now) {
  if (m_held && now - m_renewed_at < m_renewal_period) {
    return true;
  }
  const std::string key = records::kControllerLeaseKey;
  const control::RowSet rows(m_table.Read(storage::ReadRequest{{key}, {}}));
  const auto row = rows.Find<records::LeaseRecord>(key);
  const fleet::LeaseAction step = m_lease_monitor.Observe(row, now);
  if (step == fleet::LeaseAction::kWait) {
    DropLease();
    return false;
  }
  const uint64_t renewal = row ? row->renewal + 1 : 1;
  if (!Write(rows.GetGeneration(key), renewal, m_holder)) {
    DropLease();
    return false;
  }
  if (!m_held) {
    base::Log(base::events::kLeaseAcquired,
              {{"holder", m_holder}, {"token", m_token}});
  }
  m_held = true;
  m_renewed_at = now;
  return true;
}

bool LeaseHolder::Write(uint64_t generation, uint64_t renewal,
                        const std::string& holder) {
  const records::LeaseRecord record{
      holder, m_token, renewal,
      static_cast<uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(m_time_to_live)
              .count())};
  const std::string key = records::kControllerLeaseKey;
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions.push_back(
      storage::Condition::GenerationIs(key, generation));
  transaction.writes.push_back({key, nlohmann::json(record).dump()});
  return m_table.Commit(transaction).status ==
         storage::CommitStatus::kCommitted;
}

void LeaseHolder::DropLease() {
  if (!m_held) {
    return;
  }
  m_held = false;
  m_token = base::MakeRandomIdentifier();
  m_lease_monitor = fleet::LeaseMonitor(m_token);
  base::Log(base::events::kLeaseLost, {{"holder", m_holder}});
}

void LeaseHolder::ReleaseLease() {
  if (!m_held) {
    return;
  }
  try {
    const std::string key = records::kControllerLeaseKey;
    const control::RowSet rows(m_table.Read(storage::ReadRequest{{key}, {}}));
    const auto row = rows.Find<records::LeaseRecord>(key);
    if (row && row->token == m_token) {
      Write(rows.GetGeneration(key), row->renewal + 1, "");
    }
  } catch (const storage::Unavailable&) {
    // The lease expires without being released.
  }
  DropLease();
}

}  // namespace shallotwick::controller
