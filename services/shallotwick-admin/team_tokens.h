#pragma once

#include <map>
#include <optional>
#include <string>

#include "http/message.h"

namespace shallotwick::admin {

// The secret of each team. Never logged.
class TeamTokens {
 public:
  // Reads "team:token,team:token".
  static TeamTokens Parse(const std::string& text);
  // For use in a setting's declaration; says which entry is wrong by number.
  static std::string Check(const std::string& text);

  // Whether the request carries the token of the team, as a bearer token. The
  // comparison takes the same time whatever the token given.
  bool Allows(const std::string& team, const http::Request& request) const;

 private:
  std::map<std::string, std::string> m_tokens;
};

}  // namespace shallotwick::admin
