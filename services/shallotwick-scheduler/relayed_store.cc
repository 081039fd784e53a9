#include "relayed_store.h"

#include <algorithm>
#include <utility>

#include "base/random_identifier.h"

namespace shallotwick::scheduler {
namespace {

// Bounds the time until a call is answered.
constexpr size_t kMaxPeersPerCall = 4;
// Peers that have all refused will most likely refuse the next call too.
constexpr auto kRefusalTime = std::chrono::milliseconds(500);

}  // namespace

RelayedStore::RelayedStore(base::EventLoop& loop, storage::RowStore& store)
    : m_loop(loop), m_store(store) {}

std::vector<std::string> RelayedStore::SelectPeers() const {
  if (base::RuntimeClock::now() < m_not_before) {
    return {};
  }
  std::vector<std::string> peers = m_list_peers();
  if (peers.empty()) {
    return {};
  }
  // Hosts that are turned away together should not all ask the same peer.
  const auto first = static_cast<ptrdiff_t>(base::MakeRandomFraction() *
                                            static_cast<double>(peers.size()));
  std::rotate(peers.begin(), peers.begin() + first, peers.end());
  std::stable_partition(
      peers.begin(), peers.end(),
      [this](const std::string& peer) { return peer == m_serving_peer; });
  peers.resize(std::min(peers.size(), kMaxPeersPerCall));
  return peers;
}

void RelayedStore::OnAnswer(const std::string& peer, bool is_served) {
  if (is_served) {
    m_serving_peer = peer;
  } else if (peer == m_serving_peer) {
    m_serving_peer.clear();
  }
}

void RelayedStore::Commit(
    storage::RowTransaction transaction,
    std::function<void(storage::RowCommitResult)> on_end) {
  if (!m_is_store_away()) {
    m_store.Commit(std::move(transaction), std::move(on_end));
    return;
  }
  std::vector<std::string> peers = SelectPeers();
  if (peers.empty()) {
    Refuse(std::move(on_end));
    return;
  }
  CommitThroughPeers(transaction, std::move(peers), std::move(on_end));
}

void RelayedStore::Refuse(
    std::function<void(storage::RowCommitResult)> on_end) {
  m_loop.Post([on_end = std::move(on_end)] {
    on_end({storage::RowCommitStatus::kRefused,
            storage::kNoVersion,
            {},
            "no peer reaches the store"});
  });
}

void RelayedStore::CommitThroughPeers(
    const storage::RowTransaction& transaction, std::vector<std::string> peers,
    std::function<void(storage::RowCommitResult)> on_end) {
  if (peers.empty()) {
    m_not_before = base::RuntimeClock::now() + kRefusalTime;
    Refuse(std::move(on_end));
    return;
  }
  const std::string peer = peers.front();
  peers.erase(peers.begin());
  m_get_store(peer).Commit(
      transaction,
      m_lifetime.Guard(
          [this, transaction, peer, peers = std::move(peers),
           on_end = std::move(on_end)](storage::RowCommitResult result) {
            const bool is_served =
                result.status == storage::RowCommitStatus::kCommitted ||
                result.status == storage::RowCommitStatus::kConflict;
            OnAnswer(peer, is_served);
            if (result.status == storage::RowCommitStatus::kRefused) {
              CommitThroughPeers(transaction, peers, on_end);
              return;
            }
            on_end(std::move(result));
          }));
}

void RelayedStore::Read(const storage::RowRange& range,
                        std::function<void(storage::RowReadResult)> on_end) {
  m_store.Read(range, std::move(on_end));
}

void RelayedStore::ReadChanges(
    const std::string& table, uint64_t after, std::chrono::milliseconds wait,
    std::function<void(storage::ChangeFeedResult)> on_end) {
  m_store.ReadChanges(table, after, wait, std::move(on_end));
}

}  // namespace shallotwick::scheduler
