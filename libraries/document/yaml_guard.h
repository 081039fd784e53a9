#pragma once

#include <string>

#include "base/finding.h"

namespace shallotwick::document {

inline constexpr size_t kMaxSectionBytes = size_t{256} * 1024;
inline constexpr int kMaxNestingDepth = 12;

// Formats a location in a section. Line and column are counted from 1.
std::string FormatLocation(const std::string& team, int line, int column);

// Returns a finding for everything that makes a YAML text unsafe or ambiguous
// to load: syntax errors, excessive size or nesting, anchors and aliases, tags,
// duplicate keys, and more than one document.
base::Findings CheckYaml(const std::string& team, const std::string& text);

}  // namespace shallotwick::document
