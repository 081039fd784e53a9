// How a host that the store turns away reaches it through its peers.
#include "../relayed_store.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <optional>

#include "fakes/fake_row_store.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace scheduler = shallotwick::scheduler;
namespace storage = shallotwick::storage;
using storage::RowCommitStatus;

TEST_GROUP(RelayedStore) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_direct{m_loop};
  std::map<std::string, std::unique_ptr<fakes::FakeRowStore>> m_peers;
  std::vector<std::string> m_asked;
  bool m_is_away = true;
  scheduler::RelayedStore m_store{m_loop, m_direct};

  void setup() override {
    base::RuntimeClock::Pause();
    for (const char* name : {"a", "b", "c"}) {
      m_peers[name] = std::make_unique<fakes::FakeRowStore>(m_loop);
    }
    m_store.m_is_store_away = [this] { return m_is_away; };
    m_store.m_list_peers = [this] {
      std::vector<std::string> names;
      for (const auto& [name, peer] : m_peers) {
        names.push_back(name);
      }
      return names;
    };
    m_store.m_get_store =
        [this](const std::string& name) -> storage::RowStore& {
      m_asked.push_back(name);
      return *m_peers.at(name);
    };
  }
  void teardown() override { base::RuntimeClock::Resume(); }

  RowCommitStatus Commit() {
    storage::RowTransaction transaction;
    transaction.writes = {{{"table", "part", "key"}, "value"}};
    std::optional<RowCommitStatus> status;
    m_store.Commit(transaction,
                   [&status](const storage::RowCommitResult& result) {
                     status = result.status;
                   });
    m_loop.GetContext().restart();
    m_loop.GetContext().poll();
    return status.value();
  }

  void SetFaults(const std::string& peer, RowCommitStatus status) {
    m_peers.at(peer)->m_faults.assign(100, {status, false});
  }
};

TEST(RelayedStore, StoreThatServesThisHostIsUsedDirectly) {
  m_is_away = false;
  CHECK_TRUE(Commit() == RowCommitStatus::kCommitted);
  LONGS_EQUAL(0, m_asked.size());
}

TEST(RelayedStore, PeerThatIsTurnedAwayTooIsPassedOver) {
  SetFaults("a", RowCommitStatus::kRefused);
  SetFaults("b", RowCommitStatus::kRefused);
  CHECK_TRUE(Commit() == RowCommitStatus::kCommitted);
  STRCMP_EQUAL("c", m_asked.back().c_str());
  // The peer that has served this host is asked first from now on.
  m_asked.clear();
  CHECK_TRUE(Commit() == RowCommitStatus::kCommitted);
  LONGS_EQUAL(1, m_asked.size());
}

// The peer may have passed the transaction on.
TEST(RelayedStore, UnknownOutcomeIsReportedAndNotTriedElsewhere) {
  for (const char* name : {"a", "b", "c"}) {
    SetFaults(name, RowCommitStatus::kUnknown);
  }
  CHECK_TRUE(Commit() == RowCommitStatus::kUnknown);
  LONGS_EQUAL(1, m_asked.size());
}

TEST(RelayedStore, PeersThatAllRefuseAreLeftAloneForAWhile) {
  for (const char* name : {"a", "b", "c"}) {
    SetFaults(name, RowCommitStatus::kRefused);
  }
  CHECK_TRUE(Commit() == RowCommitStatus::kRefused);
  LONGS_EQUAL(3, m_asked.size());
  CHECK_TRUE(Commit() == RowCommitStatus::kRefused);
  LONGS_EQUAL(3, m_asked.size());
  base::RuntimeClock::Advance(std::chrono::milliseconds(500));
  CHECK_TRUE(Commit() == RowCommitStatus::kRefused);
  LONGS_EQUAL(6, m_asked.size());
}

TEST(RelayedStore, HostWithoutPeersIsRefused) {
  m_peers.clear();
  CHECK_TRUE(Commit() == RowCommitStatus::kRefused);
}
