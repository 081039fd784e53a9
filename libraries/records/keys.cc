#include "records/keys.h"

#include <algorithm>

namespace shallotwick::records {
namespace {

constexpr size_t kVersionDigits = 12;

// Escapes the separator, so that keys of different components can't be equal.
std::string EscapeKeyComponent(const std::string& component) {
  std::string escaped;
  for (char character : component) {
    if (character == '/' || character == '%') {
      escaped += character == '/' ? "%2F" : "%25";
      continue;
    }
    escaped.push_back(character);
  }
  return escaped;
}

}  // namespace

std::string MemberKey(const std::string& gateway) {
  return kMemberPrefix + gateway;
}

std::string HostKey(const std::string& host) { return kHostPrefix + host; }

std::string PoolKey(const std::string& pool) { return kPoolPrefix + pool; }

std::string SectionKey(const std::string& team) {
  return kSectionPrefix + team;
}

std::string DisputeKey(const std::string& dispute) {
  return kDisputePrefix + dispute;
}

std::string HistoryKey(uint64_t version) {
  std::string digits = std::to_string(version);
  digits.insert(0, kVersionDigits - std::min(kVersionDigits, digits.size()),
                '0');
  return kHistoryPrefix + digits;
}

std::string ClaimKey(const std::string& service, const std::string& team,
                     const std::string& idempotency_key) {
  return kClaimPrefix + EscapeKeyComponent(service) + "/" +
         EscapeKeyComponent(team) + "/" + EscapeKeyComponent(idempotency_key);
}

}  // namespace shallotwick::records
