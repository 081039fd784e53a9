#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotwick::http {

using Header = std::pair<std::string, std::string>;
using Headers = std::vector<Header>;

struct Request {
  std::string method = "GET";
  // Path and query, such as /v1/hosts?pool=office.
  std::string target = "/";
  Headers headers;
  std::string body;

  auto operator<=>(const Request&) const = default;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;

  auto operator<=>(const Response&) const = default;
};

// Compares header names case-insensitively.
bool IsSameHeaderName(std::string_view left, std::string_view right);

// Returns whether a header belongs to a single connection and not to the
// message.
bool IsHopByHopHeader(std::string_view name);

// Returns the value of the first header of that name, or std::nullopt.
std::optional<std::string> FindHeader(const Headers& headers,
                                      std::string_view name);

// Returns the path of a request target, without the query.
std::string GetPath(const std::string& target);

// Returns the segments of a path, percent-decoded. Skips empty segments.
std::vector<std::string> SplitPath(const std::string& path);

// Returns the percent-decoded value of the first query parameter of that name,
// or std::nullopt. A parameter without '=' has an empty value.
std::optional<std::string> FindQueryParameter(const std::string& target,
                                              const std::string& name);

// Leaves invalid escape sequences as they are.
std::string PercentDecode(std::string_view text);
std::string PercentEncode(std::string_view text);

Response MakeJsonResponse(int status, std::string body);

// Returns a response in the application/problem+json format. `reason` is a
// stable identifier.
Response MakeProblem(int status, const std::string& reason,
                     const std::string& detail);

}  // namespace shallotwick::http
