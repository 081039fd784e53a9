#include "base/stable_hash.h"

#include <xxhash.h>

namespace shallotwick::base {

uint64_t StableHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace shallotwick::base
