#pragma once

#include <string>

namespace shallotwick::ctl {

// The lines that differ between two texts: "- " for those only in the first,
// "+ " for those only in the second, "  " for those in both.
std::string DiffLines(const std::string& before, const std::string& after);

}  // namespace shallotwick::ctl
