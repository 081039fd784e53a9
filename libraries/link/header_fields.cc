#include "link/header_fields.h"

namespace shallotwick::link {
namespace {

uint8_t* ToNghttp2Bytes(std::string_view text) {
  // nghttp2's interface takes pointers to non-const bytes but never writes
  // through them.
  return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
}

}  // namespace

nghttp2_nv MakeHeaderField(std::string_view name, const std::string& value) {
  return {ToNghttp2Bytes(name), ToNghttp2Bytes(value), name.size(),
          value.size(), NGHTTP2_NV_FLAG_NONE};
}

void AppendIdentity(const Identity& identity,
                    std::vector<nghttp2_nv>* headers) {
  if (!identity.system.empty()) {
    headers->push_back(MakeHeaderField(kSystemHeader, identity.system));
  }
  if (!identity.incarnation.empty()) {
    headers->push_back(
        MakeHeaderField(kIncarnationHeader, identity.incarnation));
  }
}

}  // namespace shallotwick::link
