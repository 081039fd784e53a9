#include "team_tokens.h"

#include <algorithm>

#include "base/settings.h"
#include "document/section_parser.h"

namespace shallotwick::admin {
namespace {

constexpr char kScheme[] = "Bearer ";
constexpr size_t kShortestToken = 8;

bool IsSameText(const std::string& expected, const std::string& given) {
  unsigned char difference = expected.size() == given.size() ? 0 : 1;
  for (size_t at = 0; at < expected.size(); ++at) {
    const char other = at < given.size() ? given[at] : '\0';
    difference |= static_cast<unsigned char>(expected[at] ^ other);
  }
  return difference == 0;
}

}  // namespace

TeamTokens TeamTokens::Parse(const std::string& text) {
  TeamTokens tokens;
  for (const std::string& entry : base::SplitList(text)) {
    const size_t colon = entry.find(':');
    tokens.m_tokens[entry.substr(0, colon)] = entry.substr(colon + 1);
  }
  return tokens;
}

std::string TeamTokens::Check(const std::string& text) {
  int number = 0;
  for (const std::string& entry : base::SplitList(text)) {
    ++number;
    const size_t colon = entry.find(':');
    const bool is_valid = colon != std::string::npos &&
                          document::IsValidName(entry.substr(0, colon)) &&
                          entry.size() - colon - 1 >= kShortestToken;
    if (!is_valid) {
      return "entry " + std::to_string(number) +
             " is not TEAM:TOKEN with a token of at least 8 characters";
    }
  }
  return "";
}

bool TeamTokens::Allows(const std::string& team,
                        const http::Request& request) const {
  const std::string header =
      http::FindHeader(request.headers, "Authorization").value_or("");
  const std::string prefix = kScheme;
  const bool has_scheme = header.compare(0, prefix.size(), prefix) == 0;
  const std::string given = has_scheme ? header.substr(prefix.size()) : "";
  const auto found = m_tokens.find(team);
  // An unknown team takes as long as a known one.
  const std::string expected = found == m_tokens.end()
                                   ? std::string(kShortestToken, '\0')
                                   : found->second;
  return IsSameText(expected, given) && found != m_tokens.end();
}

}  // namespace shallotwick::admin
