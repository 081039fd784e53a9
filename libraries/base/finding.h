#pragma once

#include <compare>
#include <stdexcept>
#include <string>
#include <vector>

namespace shallotwick::base {

// One fault of an input, with where it is and what would be right.
struct Finding {
  std::string place;
  std::string message;
  std::string remedy;

  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// Formats one finding a line: "place: message; remedy".
std::string FormatFindings(const Findings& findings);

// Thrown where an input with findings can't be used at all.
class InvalidInput : public std::runtime_error {
 public:
  explicit InvalidInput(Findings findings);

  const Findings& GetFindings() const { return m_findings; }

 private:
  Findings m_findings;
};

}  // namespace shallotwick::base
