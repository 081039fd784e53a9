#include "control/store_reachability.h"

#include <utility>

#include "base/log_catalogue.h"

namespace shallotwick::control {

StoreReachability::StoreReachability(std::string address)
    : m_address(std::move(address)) {}

void StoreReachability::ReportStoreResponse() {
  if (!m_reachable.exchange(true)) {
    base::Log(base::events::kStoreReachable, {{"address", m_address}});
  }
}

void StoreReachability::ReportFailure(const std::string& error) {
  if (m_reachable.exchange(false)) {
    base::Log(base::events::kStoreUnreachable,
              {{"address", m_address}, {"error", error}});
  }
}

}  // namespace shallotwick::control
