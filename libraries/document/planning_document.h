#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/finding.h"
#include "document/section.h"

namespace shallotwick::document {

// The accepted text of one section.
struct AcceptedSection {
  // The document version in which this text was accepted.
  uint64_t revision = 0;
  std::string text;
  std::string author;
  Section section;

  auto operator<=>(const AcceptedSection&) const = default;
};

// An edit that collides with other sections and awaits a ruling.
struct Dispute {
  std::string id;
  std::string team;
  std::string author;
  std::string text;
  // Digest of the text; a ruling must contain the same digest.
  std::string digest;
  uint64_t base_revision = 0;
  // The document's version when the dispute was opened.
  uint64_t opened_at = 0;
  base::Findings collisions;

  auto operator<=>(const Dispute&) const = default;
};

// One accepted version of the document.
struct HistoryEntry {
  uint64_t version = 0;
  std::string team;
  std::string author;
  std::string text;
  // Why the version was accepted: an edit, a ruling, or the end of a dispute
  // whose collisions no longer exist.
  std::string cause;

  auto operator<=>(const HistoryEntry&) const = default;
};

// The planning document: all accepted sections and all open disputes.
struct PlanningDocument {
  // Increases by one with each accepted change.
  uint64_t version = 0;
  std::map<std::string, AcceptedSection> sections;
  std::map<std::string, Dispute> disputes;

  auto operator<=>(const PlanningDocument&) const = default;
};

// Returns the digest of a section's text as 16 hexadecimal digits.
std::string ComputeDigest(const std::string& text);

// The plans of all accepted sections, with the arbiter's limits applied.
struct EffectivePlan {
  uint64_t version = 0;
  std::vector<PoolPlan> pools;
  std::vector<ServicePlan> services;
  std::vector<WavePlan> waves;
  // Max concurrent requests, by team.
  std::map<std::string, int> quotas;

  auto operator<=>(const EffectivePlan&) const = default;
};

EffectivePlan MakeEffectivePlan(const PlanningDocument& document);

}  // namespace shallotwick::document
