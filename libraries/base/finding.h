#pragma once

#include <compare>
#include <stdexcept>
#include <string>
#include <vector>

namespace shallotwick::base {

// One validation error: where in the input it is, what is wrong and how to
// correct it.
struct Finding {
  std::string place;
  std::string message;
  std::string remedy;

  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// Formats each finding as one line: "place: message; remedy".
std::string FormatFindings(const Findings& findings);

// Thrown when an input is rejected because of its findings.
class InvalidInput : public std::runtime_error {
 public:
  explicit InvalidInput(Findings findings);

  const Findings& GetFindings() const { return m_findings; }

 private:
  Findings m_findings;
};

}  // namespace shallotwick::base
