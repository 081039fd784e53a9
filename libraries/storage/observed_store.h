#pragma once

#include <functional>
#include <string>

#include "storage/row_store.h"
#include "storage/store_health.h"

namespace shallotwick::storage {

// A store that judges its health from the calls that pass through it.
class ObservedStore : public RowStore {
 public:
  explicit ObservedStore(RowStore& store) : m_store(store) {}

  // Called when the store answers again after it was away.
  std::function<void()> m_on_return = [] {};

  const StoreHealth& GetHealth() const { return m_health; }

  void Commit(RowTransaction transaction,
              std::function<void(RowCommitResult)> on_end) override;
  void Read(const RowRange& range,
            std::function<void(RowReadResult)> on_end) override;
  void ReadChanges(const std::string& table, uint64_t after,
                   std::chrono::milliseconds wait,
                   std::function<void(ChangeFeedResult)> on_end) override;

 private:
  void OnAnswer(base::TimePoint sent, bool is_large = false);

  RowStore& m_store;
  StoreHealth m_health;
};

}  // namespace shallotwick::storage
