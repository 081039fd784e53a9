#pragma once

#include <string>

namespace shallotwick::base {

// Returns 32 random hexadecimal digits, for write ids, attempts and
// incarnations.
std::string MakeRandomIdentifier();

// Returns a uniform random number in [0, 1), for jitter.
double MakeRandomFraction();

}  // namespace shallotwick::base
