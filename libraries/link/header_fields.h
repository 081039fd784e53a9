#pragma once

#include <nghttp2/nghttp2.h>

#include <string>
#include <string_view>

namespace shallotwick::link {

inline const std::string kMethod = "POST";
inline const std::string kScheme = "http";
// Pseudo header that HTTP/2 asks for; our servers do not look at it.
inline const std::string kAuthority = "shallotwick";
inline constexpr char kStatusOk[] = "200";
inline constexpr char kStatusRefused[] = "400";

// Makes a header field for nghttp2, which copies both texts when it is handed
// over.
nghttp2_nv MakeHeaderField(std::string_view name, const std::string& value);

}  // namespace shallotwick::link
