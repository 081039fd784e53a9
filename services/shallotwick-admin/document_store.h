#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/document_records.h"
#include "document/collision.h"
#include "document/submission.h"
#include "storage/table_service.h"

namespace shallotwick::admin {

// The planning document as kept in the table service.
class DocumentStore {
 public:
  DocumentStore(storage::TableService& table, std::string arbiter,
                int reserve_per_data_centre);

  // All throw storage::Unavailable.

  document::PlanningDocument Load();

  // Decides on a submission and writes what comes of it. Edits that others make
  // meanwhile lead to a new decision, not to a refusal. Returns nothing if that
  // went on for too long.
  std::optional<document::SubmissionResult> Submit(
      const document::Submission& submission);

  // The decision alone.
  document::SubmissionResult Check(const document::Submission& submission);

  enum class WithdrawResult { kWithdrawn, kNotFound, kBusy };
  WithdrawResult Withdraw(const std::string& team, const std::string& dispute);

  // Accepted versions from `from` on, at most `limit`, oldest first.
  std::vector<control::HistoryRecord> ReadHistory(uint64_t from, int limit);

 private:
  struct Loaded {
    document::PlanningDocument document;
    uint64_t head_generation = storage::kAbsent;
    document::FleetCapacity facts;
  };

  Loaded LoadAll();
  // Writes the difference between two states of the document, if none other
  // has written since.
  bool Save(const Loaded& before, const document::PlanningDocument& after,
            const std::vector<document::HistoryEntry>& history);

  storage::TableService& m_table;
  std::string m_arbiter;
  int m_reserve_per_data_centre;
};

}  // namespace shallotwick::admin
