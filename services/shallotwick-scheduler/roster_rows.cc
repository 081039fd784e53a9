#include "roster_rows.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "platform/wire_reader.h"

namespace shallotwick::scheduler {
namespace {

constexpr size_t kMaxAddressBytes = 200;

}  // namespace

std::vector<std::string> EncodeRoster(
    const std::map<std::string, std::string>& roster) {
  std::vector<std::string> rows;
  nlohmann::json row = nlohmann::json::object();
  size_t bytes = 0;
  for (const auto& [id, address] : roster) {
    const size_t added = nlohmann::json{id, address}.dump().size();
    if (bytes + added > storage::kMaxRowBytes - 2) {
      rows.push_back(row.dump());
      row = nlohmann::json::object();
      bytes = 0;
    }
    row[id] = address;
    bytes += added;
  }
  rows.push_back(row.dump());
  return rows;
}

std::map<std::string, std::string> DecodeRoster(
    const storage::VersionedRow& row) {
  std::map<std::string, std::string> roster;
  try {
    const auto object = platform::ParseWire(row.value);
    if (!object.is_object()) {
      throw std::runtime_error("roster is not a JSON object");
    }
    for (const auto& [id, address] : object.items()) {
      std::string& decoded = roster[id];
      try {
        platform::CheckName(id, "id");
        decoded = platform::ReadText(address, "address", kMaxAddressBytes);
        if (!decoded.empty()) {
          platform::CheckTargetAddress(decoded, "address");
        }
      } catch (const std::runtime_error&) {
        decoded.clear();
      }
    }
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid, {{"pool", row.key.part},
                                                   {"row", row.key.table},
                                                   {"fault", error.what()}});
  }
  return roster;
}

}  // namespace shallotwick::scheduler
