#pragma once

#include <string>

namespace shallotwick::base {

// Returns 32 random hexadecimal digits, used to identify writes, attempts and
// incarnations.
std::string MakeRandomIdentifier();

// Returns a uniformly distributed random number in [0, 1), used for jitter.
double MakeRandomFraction();

}  // namespace shallotwick::base
