#pragma once

#include <cstdint>
#include <string_view>

namespace shallotwick::base {

// Returns a hash that is identical in all processes and builds, which std::hash
// does not guarantee.
uint64_t StableHash(std::string_view text);

}  // namespace shallotwick::base
