#pragma once

#include <string>

#include "base/finding.h"
#include "document/section.h"

namespace shallotwick::document {

struct ParsedSection {
  Section section;
  // Errors found in the text alone. The section is valid only if there are
  // none.
  base::Findings findings;
};

// Parses a section's YAML text; docs/DOCUMENT.md describes the format. All
// errors are reported together, each with line and column.
ParsedSection ParseSection(const std::string& team, const std::string& text);

// Returns whether `name` is a valid name of a team, pool, service or wave:
// lower case letters, digits and dashes.
bool IsValidName(const std::string& name);

}  // namespace shallotwick::document
