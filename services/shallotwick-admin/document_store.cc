#include "document_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/backoff.h"
#include "base/random_identifier.h"
#include "base/runtime_clock.h"
#include "control/row_set.h"
#include "records/host_record.h"
#include "records/keys.h"
#include "storage/commit_settler.h"

namespace shallotwick::admin {
namespace {

constexpr int kMostAttempts = 30;
constexpr auto kFirstDelay = std::chrono::milliseconds(5);
constexpr auto kLongestDelay = std::chrono::milliseconds(200);

void AddWrite(const std::string& key, std::optional<std::string> value,
              storage::Transaction* transaction) {
  transaction->writes.push_back({key, std::move(value)});
}

void AddSections(const document::PlanningDocument& before,
                 const document::PlanningDocument& after,
                 storage::Transaction* transaction) {
  for (const auto& [team, section] : after.sections) {
    const auto former = before.sections.find(team);
    if (former != before.sections.end() &&
        former->second.revision == section.revision) {
      continue;
    }
    const control::SectionRecord record{section.revision, section.text,
                                        section.author};
    AddWrite(records::SectionKey(team), nlohmann::json(record).dump(),
             transaction);
  }
}

void AddDisputes(const document::PlanningDocument& before,
                 const document::PlanningDocument& after,
                 storage::Transaction* transaction) {
  for (const auto& [id, dispute] : after.disputes) {
    if (before.disputes.count(id) == 0) {
      AddWrite(records::DisputeKey(id), nlohmann::json(dispute).dump(),
               transaction);
    }
  }
  for (const auto& [id, dispute] : before.disputes) {
    if (after.disputes.count(id) == 0) {
      AddWrite(records::DisputeKey(id), std::nullopt, transaction);
    }
  }
}

void AddHistory(const std::vector<document::HistoryEntry>& history,
                storage::Transaction* transaction) {
  for (const document::HistoryEntry& entry : history) {
    const control::HistoryRecord record{
        entry.version, entry.team, entry.author,
        entry.cause,   entry.text, base::WallClockMilliseconds()};
    AddWrite(records::HistoryKey(entry.version), nlohmann::json(record).dump(),
             transaction);
  }
}

}  // namespace

DocumentStore::DocumentStore(storage::TableService& table, std::string arbiter,
                             int reserve_per_data_centre)
    : m_table(table),
      m_arbiter(std::move(arbiter)),
      m_reserve_per_data_centre(reserve_per_data_centre) {}

document::PlanningDocument DocumentStore::Load() {
  return control::BuildDocument(
      control::RowSet(m_table.Read(control::MakeDocumentReadRequest())));
}

DocumentStore::Loaded DocumentStore::LoadAll() {
  storage::ReadRequest request = control::MakeDocumentReadRequest();
  request.prefixes.push_back(records::kHostPrefix);
  const control::RowSet rows(m_table.Read(request));
  Loaded loaded;
  loaded.document = control::BuildDocument(rows);
  loaded.head_generation = rows.GetGeneration(records::kDocumentHeadKey);
  loaded.facts.reserve_per_data_centre = m_reserve_per_data_centre;
  for (const auto& [name, host] :
       rows.FindAll<records::HostRecord>(records::kHostPrefix)) {
    ++loaded.facts.hosts[host.data_centre];
  }
  return loaded;
}

std::optional<document::SubmissionResult> DocumentStore::Submit(
    const document::Submission& submission) {
  base::Backoff backoff(kFirstDelay, kLongestDelay);
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    const Loaded before = LoadAll();
    document::SubmissionResult result =
        document::Submit(before.document, submission, before.facts, m_arbiter);
    const bool changes_nothing = result.document == before.document;
    if (changes_nothing || Save(before, result.document, result.history)) {
      return result;
    }
    storage::SleepFor(backoff.NextDelay(base::MakeRandomFraction()));
  }
  return std::nullopt;
}

document::SubmissionResult DocumentStore::Check(
    const document::Submission& submission) {
  const Loaded before = LoadAll();
  return document::Submit(before.document, submission, before.facts, m_arbiter);
}

DocumentStore::WithdrawResult DocumentStore::Withdraw(
    const std::string& team, const std::string& dispute) {
  base::Backoff backoff(kFirstDelay, kLongestDelay);
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    const Loaded before = LoadAll();
    const auto after =
        document::WithdrawDispute(before.document, team, dispute);
    if (!after) {
      return WithdrawResult::kNotFound;
    }
    if (Save(before, *after, {})) {
      return WithdrawResult::kWithdrawn;
    }
    storage::SleepFor(backoff.NextDelay(base::MakeRandomFraction()));
  }
  return WithdrawResult::kBusy;
}

bool DocumentStore::Save(const Loaded& before,
                         const document::PlanningDocument& after,
                         const std::vector<document::HistoryEntry>& history) {
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  // Every change writes the head, so that the head alone orders them all.
  transaction.conditions.push_back(storage::Condition::GenerationIs(
      records::kDocumentHeadKey, before.head_generation));
  AddWrite(records::kDocumentHeadKey,
           nlohmann::json(control::DocumentHeadRecord{after.version}).dump(),
           &transaction);
  AddSections(before.document, after, &transaction);
  AddDisputes(before.document, after, &transaction);
  AddHistory(history, &transaction);
  return storage::CommitAndResolve(m_table, transaction).status ==
         storage::CommitStatus::kCommitted;
}

std::vector<control::HistoryRecord> DocumentStore::ReadHistory(uint64_t from,
                                                               int limit) {
  storage::ReadRequest request;
  for (int step = 0; step < limit; ++step) {
    request.keys.push_back(
        records::HistoryKey(from + static_cast<uint64_t>(step)));
  }
  const control::RowSet rows(m_table.Read(request));
  std::vector<control::HistoryRecord> history;
  for (auto& [key, record] :
       rows.FindAll<control::HistoryRecord>(records::kHistoryPrefix)) {
    history.push_back(record);
  }
  return history;
}

}  // namespace shallotwick::admin
