#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "document/collision.h"
#include "document/planning_document.h"

namespace shallotwick::document {

// An edit of one section.
struct Submission {
  std::string team;
  std::string author;
  std::string text;
  // The revision of the section that the edit started from; 0 for a new one.
  uint64_t base_revision = 0;
  // Identifier for the dispute that the edit may become.
  std::string dispute_id;

  auto operator<=>(const Submission&) const = default;
};

enum class SubmissionVerdict {
  kAccepted,
  // The text is the accepted one already.
  kUnchanged,
  // The section was changed since the base revision.
  kStale,
  // The findings break the section by itself.
  kRejected,
  // The edit waits for a ruling; all else goes on.
  kDisputed,
};

std::string NameOf(SubmissionVerdict verdict);

struct SubmissionResult {
  SubmissionVerdict verdict = SubmissionVerdict::kRejected;
  base::Findings findings;
  // The document after the submission; the same as before where nothing
  // changed.
  PlanningDocument document;
  // The accepted versions that the submission brought, in order.
  std::vector<HistoryEntry> history;

  auto operator<=>(const SubmissionResult&) const = default;
};

// Decides on an edit. `arbiter` is the team whose section rules on disputes.
SubmissionResult Submit(const PlanningDocument& document,
                        const Submission& submission, const FleetFacts& facts,
                        const std::string& arbiter);

// Takes a waiting edit back. Returns nothing if there is no such dispute of the
// team.
std::optional<PlanningDocument> WithdrawDispute(
    const PlanningDocument& document, const std::string& team,
    const std::string& dispute_id);

}  // namespace shallotwick::document
