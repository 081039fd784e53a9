#include "membership.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/log_catalogue.h"
#include "base/random_identifier.h"
#include "control/row_set.h"
#include "control/view_records.h"
#include "records/keys.h"

namespace shallotwick::gateway {

Membership::Membership(platform::TableService& table,
                       control::StoreWatch& watch, ViewKeeper& views,
                       std::function<records::MemberRecord()> describe,
                       MembershipOptions options)
    : m_table(table),
      m_watch(watch),
      m_views(views),
      m_describe(std::move(describe)),
      m_options(options),
      m_backoff(options.period, options.longest_retry_delay),
      m_task([this] { return RunRound(); }) {}

base::Duration Membership::RunRound() {
  const base::TimePoint sent_at = base::RuntimeClock::now();
  const std::string key = records::MemberKey(m_describe().gateway);
  try {
    const control::RowSet rows(
        m_table.Read(platform::ReadRequest{{key, records::kViewHeadKey}, {}}));
    m_watch.ReportAnswer();
    const auto head = rows.Find<records::ViewHeadRecord>(records::kViewHeadKey);
    if (head) {
      LookForView(head->version, sent_at);
    }
    if (m_rounds % m_options.periods_per_renewal == 0 || !m_joined) {
      Renew(rows.GetGeneration(key), rows.Find<records::MemberRecord>(key));
    }
    ++m_rounds;
  } catch (const platform::Unavailable& error) {
    m_watch.ReportFailure(error.what());
    m_views.ReportStoreUnreachable();
    return m_backoff.NextDelay(base::MakeRandomFraction());
  }
  m_backoff.Reset();
  // Jitter keeps the gateways from asking in step after an outage.
  constexpr double kSpread = 0.2;
  const double factor = 1 - kSpread / 2 + kSpread * base::MakeRandomFraction();
  return std::chrono::duration_cast<base::Duration>(m_options.period * factor);
}

void Membership::LookForView(uint64_t head_version, base::TimePoint sent_at) {
  if (head_version > m_views.GetVersion()) {
    const control::RowSet rows(m_table.Read(control::MakeViewRead()));
    if (auto view = control::BuildView(rows)) {
      m_views.OfferView(std::move(*view), "table-service");
    }
  }
  m_views.ConfirmByStore(head_version, sent_at);
}

void Membership::Renew(uint64_t generation,
                       const std::optional<records::MemberRecord>& row) {
  records::MemberRecord member = m_describe();
  const bool is_own = row && row->incarnation == member.incarnation;
  if (m_joined && !is_own) {
    base::Log(base::events::kMemberLeaseLost, {{"gateway", member.gateway}});
  }
  member.renewal = ++m_renewal;
  const std::string key = records::MemberKey(member.gateway);
  platform::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions.push_back(
      platform::Condition::GenerationIs(key, generation));
  transaction.writes.push_back({key, nlohmann::json(member).dump()});
  // A renewal that conflicts or is lost is made up for by the next one.
  const platform::CommitResult result = m_table.Commit(transaction);
  m_joined = result.status == platform::CommitStatus::kCommitted;
}

void Membership::Leave() {
  m_task.Stop();
  const records::MemberRecord member = m_describe();
  const std::string key = records::MemberKey(member.gateway);
  platform::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions.push_back(
      platform::Condition::FieldIs(key, "incarnation", member.incarnation));
  transaction.writes.push_back({key, std::nullopt});
  try {
    m_table.Commit(transaction);
  } catch (const platform::Unavailable&) {
    // The row lapses by itself.
  }
}

}  // namespace shallotwick::gateway
