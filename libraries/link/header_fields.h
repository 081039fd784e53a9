#pragma once

#include <nghttp2/nghttp2.h>

#include <string>
#include <string_view>
#include <vector>

#include "link/identity.h"

namespace shallotwick::link {

inline const std::string kMethod = "POST";
inline const std::string kScheme = "http";
// Value of the :authority pseudo-header, which HTTP/2 clients should send.
// Shallotwick's servers ignore it.
inline const std::string kAuthority = "shallotwick";
inline constexpr char kStatusOk[] = "200";
inline constexpr char kStatusRefused[] = "400";
inline constexpr char kStatusMisdirected[] = "421";
// In a request: the recipient's identity. In a response: the sender's.
inline constexpr std::string_view kSystemHeader = "shallotwick-system";
inline constexpr std::string_view kIncarnationHeader =
    "shallotwick-incarnation";

// Returns a header field that refers to `name` and `value`. nghttp2 copies both
// when the field is submitted, so they need to live only until then.
nghttp2_nv MakeHeaderField(std::string_view name, const std::string& value);
// Appends a header field for each part of `identity` that is known.
void AppendIdentity(const Identity& identity, std::vector<nghttp2_nv>* headers);

}  // namespace shallotwick::link
