#include "link/header_fields.h"

namespace shallotwick::link {
namespace {

uint8_t* AsBytes(std::string_view text) {
  // nghttp2 takes pointers to non-const bytes and does not write to them.
  return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
}

}  // namespace

nghttp2_nv MakeHeaderField(std::string_view name, const std::string& value) {
  return {AsBytes(name), AsBytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace shallotwick::link
