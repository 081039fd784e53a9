#include "config_follower.h"

#include <stdexcept>
#include <string>
#include <utility>

#include "base/backoff.h"
#include "base/log.h"
#include "base/log_catalogue.h"
#include "platform/names.h"
#include "platform/operator_codec.h"

namespace shallotwick::scheduler {
namespace {

// Several reads fit into the time in which a revoked key must cease to admit
// calls, so that one of them may be lost.
constexpr auto kConfirmPeriod = std::chrono::milliseconds(1'200);

void LogFindings(const scheduling::ServingConfig& config) {
  for (const base::Finding& finding : config.findings) {
    base::Log(base::events::kConfigPartInvalid,
              {{"version", std::to_string(config.version)},
               {"place", finding.place},
               {"fault", finding.message},
               {"effect", finding.remedy}});
  }
}

}  // namespace

ConfigFollower::ConfigFollower(base::EventLoop& loop, storage::RowStore& store)
    : m_loop(loop), m_store(store) {}

base::Duration ConfigFollower::GetAge() const {
  return m_current_as_of ? base::RuntimeClock::now() - *m_current_as_of
                         : base::Duration::max();
}

void ConfigFollower::OnRow(const storage::VersionedRow& row) {
  if (row.version <= m_row_version || row.version == m_invalid_row_version) {
    return;
  }
  scheduling::ServingConfig config;
  try {
    config = platform::DecodeConfig(row.value);
  } catch (const std::runtime_error& error) {
    m_invalid_row_version = row.version;
    base::Log(base::events::kStoreContentInvalid,
              {{"row", "config"}, {"fault", error.what()}});
    return;
  }
  if (m_config && config.version < m_config->version) {
    return;
  }
  m_row_version = row.version;
  const bool is_newer = !m_config || config.version > m_config->version;
  if (!is_newer) {
    return;
  }
  m_config = std::move(config);
  base::Log(base::events::kConfigInForce,
            {{"version", std::to_string(m_config->version)},
             {"routes", std::to_string(m_config->routes.size())},
             {"customers",
              std::to_string(m_config->customers.GetCustomers().size())}});
  LogFindings(*m_config);
  m_on_config(*m_config);
  if (m_config->customers.RequiresKeys() &&
      !std::exchange(m_is_confirming, true)) {
    ConfirmPeriodically();
  }
}

void ConfigFollower::ConfirmPeriodically() {
  if (!m_config->customers.RequiresKeys()) {
    m_is_confirming = false;
    return;
  }
  Confirm();
  m_loop.RunAfter(base::SpreadDelay(kConfirmPeriod),
                  m_lifetime.Guard([this] { ConfirmPeriodically(); }));
}

void ConfigFollower::Confirm() {
  storage::RowRange range;
  range.table = platform::kOperatorTable;
  range.part = platform::kSharedPartition;
  range.from = platform::kConfigKey;
  range.until = storage::GetSuccessor(platform::kConfigKey);
  m_store.Read(
      range, m_lifetime.Guard([this, sent = base::RuntimeClock::now()](
                                  const storage::RowReadResult& result) {
        // A read shows a state of the store that is not older than the request.
        if (!result.is_read || result.rows.size() != 1) {
          return;
        }
        OnRow(result.rows.front());
        const bool is_in_force = result.rows.front().version == m_row_version;
        if (is_in_force && (!m_current_as_of || sent > *m_current_as_of)) {
          m_current_as_of = sent;
        }
      }));
}

}  // namespace shallotwick::scheduler
