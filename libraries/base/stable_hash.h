#pragma once

#include <cstdint>
#include <string_view>

namespace shallotwick::base {

// A hash that is the same in every process and build, which std::hash does not
// promise.
uint64_t StableHash(std::string_view text);

}  // namespace shallotwick::base
