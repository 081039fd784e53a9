#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/event_loop.h"
#include "scheduling/serving_config.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Holds the operator's configuration in force, and how long ago it was
// certainly the newest one. While calls need keys, reads the configuration
// again and again: the change feed may fall silent while changes are made, so
// an idle feed does not show that no key was revoked.
class ConfigFollower {
 public:
  ConfigFollower(base::EventLoop& loop, storage::RowStore& store);

  // Called when a newer configuration is in force.
  std::function<void(const scheduling::ServingConfig&)> m_on_config;

  // Takes note of a row of the operator's table that has the configuration.
  void OnRow(const storage::VersionedRow& row);

  // Returns the configuration in force, or null before the first one.
  const scheduling::ServingConfig* GetConfig() const {
    return m_config ? &*m_config : nullptr;
  }
  // Returns how long ago this configuration was certainly the newest one;
  // Duration::max() if that is not known.
  base::Duration GetAge() const;

 private:
  void ConfirmPeriodically();
  void Confirm();

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  std::optional<scheduling::ServingConfig> m_config;
  // The version of the row that has the configuration in force, and of the last
  // one that could not be read.
  uint64_t m_row_version = storage::kNoVersion;
  uint64_t m_invalid_row_version = storage::kNoVersion;
  // When the last read was sent that showed the configuration in force.
  std::optional<base::TimePoint> m_current_as_of;
  bool m_is_confirming = false;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
