#include "hosts/host_transfers.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::hosts {

std::string EncodeHostTransfers(const HostTransfers& transfers) {
  auto object = nlohmann::json::object();
  for (const auto& [host, transfer] : transfers) {
    object[host] = {transfer.from, transfer.to};
  }
  return object.dump();
}

HostTransfers DecodeHostTransfers(const std::string& text) {
  try {
    HostTransfers transfers;
    const auto object = nlohmann::json::parse(text);
    for (const auto& [host, pools] : object.items()) {
      transfers[host] = {pools.at(0).get<std::string>(),
                         pools.at(1).get<std::string>()};
    }
    return transfers;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

}  // namespace shallotwick::hosts
