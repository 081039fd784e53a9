#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// The store; while it turns this host away, transactions go through a peer.
// Each carries its own conditions, so it does not matter which host sends it.
// Rows are always read directly.
class RelayedStore : public storage::RowStore {
 public:
  RelayedStore(base::EventLoop& loop, storage::RowStore& store);

  // Whether the store turns this host away.
  std::function<bool()> m_is_store_away = [] { return false; };
  // Returns the addresses of the other live hosts.
  std::function<std::vector<std::string>()> m_list_peers = [] {
    return std::vector<std::string>{};
  };
  // Returns the store as it is reached through the peer at `address`.
  std::function<storage::RowStore&(const std::string& address)> m_get_store;

  void Commit(storage::RowTransaction transaction,
              std::function<void(storage::RowCommitResult)> on_end) override;
  void Read(const storage::RowRange& range,
            std::function<void(storage::RowReadResult)> on_end) override;
  void ReadChanges(
      const std::string& table, uint64_t after, std::chrono::milliseconds wait,
      std::function<void(storage::ChangeFeedResult)> on_end) override;

 private:
  // Returns the peers to try, the last that served this host first; none if all
  // have refused a short time ago.
  std::vector<std::string> SelectPeers() const;
  void CommitThroughPeers(const storage::RowTransaction& transaction,
                          std::vector<std::string> peers,
                          std::function<void(storage::RowCommitResult)> on_end);
  void OnAnswer(const std::string& peer, bool is_served);
  void Refuse(std::function<void(storage::RowCommitResult)> on_end);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  // The last peer that served this host.
  std::string m_serving_peer;
  // Until when no peer is asked, after all have refused.
  base::TimePoint m_not_before;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
