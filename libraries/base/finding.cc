#include "base/finding.h"

#include <utility>

namespace shallotwick::base {

std::string FormatFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.place + ": " + finding.message;
    if (!finding.remedy.empty()) {
      text += "; " + finding.remedy;
    }
    text += "\n";
  }
  return text;
}

InvalidInput::InvalidInput(Findings findings)
    : std::runtime_error(FormatFindings(findings)),
      m_findings(std::move(findings)) {}

}  // namespace shallotwick::base
