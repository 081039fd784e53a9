#include "document/submission.h"

#include <algorithm>
#include <utility>

#include "document/section_parser.h"
#include "document/yaml_guard.h"

namespace shallotwick::document {
namespace {

// Adds a section's text to the document as its next version.
void Accept(const std::string& team, const std::string& author,
            const std::string& text, Section section, const std::string& cause,
            SubmissionResult* result) {
  PlanningDocument& document = result->document;
  ++document.version;
  document.sections[team] =
      AcceptedSection{document.version, text, author, std::move(section)};
  result->history.push_back(
      HistoryEntry{document.version, team, author, text, cause});
}

// Returns a copy of the document with one section replaced.
PlanningDocument ReplaceSection(const PlanningDocument& document,
                                const std::string& team, Section section) {
  PlanningDocument changed = document;
  changed.sections[team].section = std::move(section);
  return changed;
}

base::Findings ToFindings(const std::string& team,
                          const std::vector<Collision>& collisions) {
  base::Findings findings;
  for (const Collision& collision : collisions) {
    findings.push_back(
        {"section " + team, collision.message, collision.remedy});
  }
  return findings;
}

// Returns whether a collision affects only the team that submitted the edit.
bool AffectsOnlyTeam(const Collision& collision, const std::string& team) {
  return collision.teams.size() == 1 && *collision.teams.begin() == team;
}

base::Findings FindBudgetErrors(const Section& section) {
  base::Findings findings;
  for (const WavePlan& wave : section.waves) {
    for (const PoolPlan& pool : section.pools) {
      const bool is_covered = std::find(wave.pools.begin(), wave.pools.end(),
                                        pool.name) != wave.pools.end();
      if (is_covered && pool.budget == 0) {
        findings.push_back({"section " + section.team,
                            "the wave '" + wave.name +
                                "' can never run: pool '" + pool.name +
                                "' has a budget of 0",
                            "give the pool a budget of at least 1"});
      }
    }
  }
  return findings;
}

base::Findings FindArbiterErrors(const PlanningDocument& document,
                                 const Section& section,
                                 const std::string& arbiter) {
  base::Findings findings;
  const bool has_arbiter_entries =
      !section.rulings.empty() || !section.limits.empty();
  if (section.team != arbiter && has_arbiter_entries) {
    findings.push_back({"section " + section.team, "contains rulings or limits",
                        "only the section '" + arbiter + "' may contain them"});
    return findings;
  }
  for (const Ruling& ruling : section.rulings) {
    const auto found = document.disputes.find(ruling.dispute);
    if (found != document.disputes.end() &&
        found->second.digest != ruling.digest) {
      findings.push_back(
          {FormatLocation(section.team, ruling.line, ruling.column),
           "the text of dispute '" + ruling.dispute +
               "' is not the one ruled on",
           "review the text again; its digest is " + found->second.digest});
    }
  }
  return findings;
}

// Opens a dispute and closes any previous dispute of the same team.
void OpenDispute(const Submission& submission, base::Findings collisions,
                 SubmissionResult* result) {
  PlanningDocument& document = result->document;
  std::erase_if(document.disputes, [&submission](const auto& entry) {
    return entry.second.team == submission.team;
  });
  Dispute dispute;
  dispute.id = submission.dispute_id;
  dispute.team = submission.team;
  dispute.author = submission.author;
  dispute.text = submission.text;
  dispute.digest = ComputeDigest(submission.text);
  dispute.base_revision = submission.base_revision;
  dispute.opened_at = document.version;
  dispute.collisions = std::move(collisions);
  document.disputes[dispute.id] = std::move(dispute);
}

uint64_t GetRevision(const PlanningDocument& document,
                     const std::string& team) {
  const auto found = document.sections.find(team);
  return found == document.sections.end() ? 0 : found->second.revision;
}

// Closes a dispute by accepting its text.
void AcceptDispute(const Dispute& dispute, const std::string& cause,
                   SubmissionResult* result) {
  result->document.disputes.erase(dispute.id);
  Accept(dispute.team, dispute.author, dispute.text,
         ParseSection(dispute.team, dispute.text).section, cause, result);
}

void ApplyRulings(const Section& arbiter_section, SubmissionResult* result) {
  for (const Ruling& ruling : arbiter_section.rulings) {
    const auto found = result->document.disputes.find(ruling.dispute);
    if (found == result->document.disputes.end()) {
      // The dispute was closed earlier; the ruling stays in the section as a
      // record.
      continue;
    }
    const Dispute dispute = found->second;
    if (ruling.decision == RulingDecision::kReject) {
      result->document.disputes.erase(found);
      continue;
    }
    AcceptDispute(dispute, "ruling on " + dispute.id, result);
  }
}

// Accepts the disputes whose collisions no longer exist, oldest first. Each one
// is checked against the document that includes those accepted before it, since
// an accepted text may use the capacity that the next one needs.
void AcceptMootDisputes(const FleetCapacity& facts, SubmissionResult* result) {
  std::vector<Dispute> open_disputes;
  for (const auto& [id, dispute] : result->document.disputes) {
    open_disputes.push_back(dispute);
  }
  std::sort(open_disputes.begin(), open_disputes.end(),
            [](const Dispute& left, const Dispute& right) {
              return std::tie(left.opened_at, left.id) <
                     std::tie(right.opened_at, right.id);
            });
  for (const Dispute& dispute : open_disputes) {
    const bool is_current =
        GetRevision(result->document, dispute.team) == dispute.base_revision;
    if (!is_current) {
      continue;
    }
    const PlanningDocument after =
        ReplaceSection(result->document, dispute.team,
                       ParseSection(dispute.team, dispute.text).section);
    if (FindNewCollisions(result->document, after, facts).empty()) {
      AcceptDispute(dispute, "collision of " + dispute.id + " gone", result);
    }
  }
}

}  // namespace

std::string NameOf(SubmissionVerdict verdict) {
  switch (verdict) {
    case SubmissionVerdict::kAccepted:
      return "accepted";
    case SubmissionVerdict::kUnchanged:
      return "unchanged";
    case SubmissionVerdict::kStale:
      return "stale";
    case SubmissionVerdict::kRejected:
      return "rejected";
    case SubmissionVerdict::kDisputed:
      return "disputed";
  }
  return "rejected";
}

SubmissionResult Submit(const PlanningDocument& document,
                        const Submission& submission,
                        const FleetCapacity& facts,
                        const std::string& arbiter) {
  SubmissionResult result;
  result.document = document;
  const auto current = document.sections.find(submission.team);
  if (current != document.sections.end() &&
      current->second.text == submission.text) {
    result.verdict = SubmissionVerdict::kUnchanged;
    return result;
  }
  if (GetRevision(document, submission.team) != submission.base_revision) {
    result.verdict = SubmissionVerdict::kStale;
    return result;
  }
  ParsedSection parsed = ParseSection(submission.team, submission.text);
  result.findings = std::move(parsed.findings);
  if (result.findings.empty()) {
    result.findings = FindBudgetErrors(parsed.section);
    const base::Findings ruling_findings =
        FindArbiterErrors(document, parsed.section, arbiter);
    result.findings.insert(result.findings.end(), ruling_findings.begin(),
                           ruling_findings.end());
  }
  if (!result.findings.empty()) {
    result.verdict = SubmissionVerdict::kRejected;
    return result;
  }
  const std::vector<Collision> collisions = FindNewCollisions(
      document, ReplaceSection(document, submission.team, parsed.section),
      facts);
  result.findings = ToFindings(submission.team, collisions);
  const bool affects_only_submitter = std::any_of(
      collisions.begin(), collisions.end(), [&](const Collision& collision) {
        return AffectsOnlyTeam(collision, submission.team);
      });
  if (affects_only_submitter) {
    result.verdict = SubmissionVerdict::kRejected;
    return result;
  }
  // The arbiter's section takes precedence over collisions and can't be
  // disputed.
  if (!collisions.empty() && submission.team != arbiter) {
    result.verdict = SubmissionVerdict::kDisputed;
    OpenDispute(submission, result.findings, &result);
    return result;
  }
  result.verdict = SubmissionVerdict::kAccepted;
  std::erase_if(result.document.disputes, [&submission](const auto& entry) {
    return entry.second.team == submission.team;
  });
  Accept(submission.team, submission.author, submission.text, parsed.section,
         "edit", &result);
  if (submission.team == arbiter) {
    ApplyRulings(parsed.section, &result);
  }
  AcceptMootDisputes(facts, &result);
  return result;
}

std::optional<PlanningDocument> WithdrawDispute(
    const PlanningDocument& document, const std::string& team,
    const std::string& dispute_id) {
  const auto found = document.disputes.find(dispute_id);
  if (found == document.disputes.end() || found->second.team != team) {
    return std::nullopt;
  }
  PlanningDocument changed = document;
  changed.disputes.erase(dispute_id);
  return changed;
}

}  // namespace shallotwick::document
