#include "control/store_watch.h"

#include <utility>

#include "base/log_catalogue.h"

namespace shallotwick::control {

StoreWatch::StoreWatch(std::string address) : m_address(std::move(address)) {}

void StoreWatch::ReportAnswer() {
  if (!m_reachable.exchange(true)) {
    base::Log(base::events::kStoreReachable, {{"address", m_address}});
  }
}

void StoreWatch::ReportFailure(const std::string& error) {
  if (m_reachable.exchange(false)) {
    base::Log(base::events::kStoreUnreachable,
              {{"address", m_address}, {"error", error}});
  }
}

}  // namespace shallotwick::control
