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
  // The revision of the section that the edit is based on; 0 for a new section.
  uint64_t base_revision = 0;
  // Identifier of the dispute that is opened if the edit collides.
  std::string dispute_id;

  auto operator<=>(const Submission&) const = default;
};

enum class SubmissionVerdict {
  kAccepted,
  // The text equals the accepted text.
  kUnchanged,
  // The section has changed since the base revision.
  kStale,
  // The section is invalid on its own; the findings list the errors.
  kRejected,
  // The edit awaits a ruling; edits of other sections are not blocked.
  kDisputed,
};

std::string NameOf(SubmissionVerdict verdict);

struct SubmissionResult {
  SubmissionVerdict verdict = SubmissionVerdict::kRejected;
  base::Findings findings;
  // The document after the submission; equal to the document before it if
  // nothing changed.
  PlanningDocument document;
  // The versions accepted as a result of the submission, in order.
  std::vector<HistoryEntry> history;

  auto operator<=>(const SubmissionResult&) const = default;
};

// Evaluates an edit. `arbiter` is the team whose section contains the rulings
// on disputes.
SubmissionResult Submit(const PlanningDocument& document,
                        const Submission& submission,
                        const FleetCapacity& facts, const std::string& arbiter);

// Withdraws a disputed edit. Returns std::nullopt if the team has no such
// dispute.
std::optional<PlanningDocument> WithdrawDispute(
    const PlanningDocument& document, const std::string& team,
    const std::string& dispute_id);

}  // namespace shallotwick::document
