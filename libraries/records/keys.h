#pragma once

#include <cstdint>
#include <string>

// Keys of the rows that shallotwick stores in the table service. docs/STATE.md
// lists the writer of each row.
namespace shallotwick::records {

inline constexpr char kControllerLeaseKey[] = "lease/controller";
inline constexpr char kSystemKey[] = "system/identity";
inline constexpr char kDocumentHeadKey[] = "document/head";
inline constexpr char kViewHeadKey[] = "view/head";
inline constexpr char kViewServicesKey[] = "view/services";
inline constexpr char kViewMembersKey[] = "view/members";
inline constexpr char kViewPrefix[] = "view/";
inline constexpr char kMemberPrefix[] = "member/";
inline constexpr char kHostPrefix[] = "host/";
inline constexpr char kPoolPrefix[] = "pool/";
inline constexpr char kSectionPrefix[] = "section/";
inline constexpr char kDisputePrefix[] = "dispute/";
inline constexpr char kHistoryPrefix[] = "history/";
inline constexpr char kClaimPrefix[] = "claim/";

std::string MemberKey(const std::string& gateway);
std::string HostKey(const std::string& host);
std::string PoolKey(const std::string& pool);
std::string SectionKey(const std::string& team);
std::string DisputeKey(const std::string& dispute);
// Pads the version with zeros, so that keys sort by version.
std::string HistoryKey(uint64_t version);
std::string ClaimKey(const std::string& service, const std::string& team,
                     const std::string& idempotency_key);

}  // namespace shallotwick::records
