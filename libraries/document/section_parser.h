#pragma once

#include <string>

#include "base/finding.h"
#include "document/section.h"

namespace shallotwick::document {

struct ParsedSection {
  Section section;
  // Faults that show in the text alone. The section is usable only if empty.
  base::Findings findings;
};

// Reads a section's YAML text; docs/DOCUMENT.md describes its form. All faults
// are reported together, each with line and column.
ParsedSection ParseSection(const std::string& team, const std::string& text);

// A name of a team, pool, service or wave: lower case letters, digits, dashes.
bool IsValidName(const std::string& name);

}  // namespace shallotwick::document
