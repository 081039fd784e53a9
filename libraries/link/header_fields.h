#pragma once

#include <nghttp2/nghttp2.h>

#include <string>
#include <string_view>

namespace shallotwick::link {

inline const std::string kMethod = "POST";
inline const std::string kScheme = "http";
// Value of the :authority pseudo-header, which HTTP/2 clients should send.
// Shallotwick's servers ignore it.
inline const std::string kAuthority = "shallotwick";
inline constexpr char kStatusOk[] = "200";
inline constexpr char kStatusRefused[] = "400";

// Returns a header field that refers to `name` and `value`. nghttp2 copies both
// when the field is submitted, so they need to live only until then.
nghttp2_nv MakeHeaderField(std::string_view name, const std::string& value);

}  // namespace shallotwick::link
