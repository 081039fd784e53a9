// How long a host may rely on its configuration while keys are revoked.
#include "../config_follower.h"

#include <CppUTest/TestHarness.h>

#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"
#include "platform/names.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace platform = shallotwick::platform;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
namespace storage = shallotwick::storage;
using std::chrono::milliseconds;

namespace {

const storage::RowKey kKey{platform::kOperatorTable, platform::kSharedPartition,
                           platform::kConfigKey};

std::string MakeConfig(int version, const std::string& customers) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[])" + customers + "}";
}

std::string MakeCustomer(const std::string& keys) {
  return R"(,"tenants":[{"name":"a","apiKeys":[)" + keys + "]}]";
}

// A store that can be out of reach, as it is for a host that is cut off.
class ReachableStore : public fakes::FakeRowStore {
 public:
  using FakeRowStore::FakeRowStore;

  void Read(const storage::RowRange& range,
            std::function<void(storage::RowReadResult)> on_end) override {
    ++m_reads;
    if (m_is_reachable) {
      FakeRowStore::Read(range, std::move(on_end));
    }
  }

  bool m_is_reachable = true;
  int m_reads = 0;
};

}  // namespace

TEST_GROUP(ConfigFollower) {
  base::EventLoop m_loop;
  ReachableStore m_store{m_loop};
  scheduler::ConfigFollower m_config{m_loop, m_store};
  int m_changes = 0;

  void setup() override {
    base::RuntimeClock::Pause();
    m_config.m_on_config = [this](const scheduling::ServingConfig&) {
      ++m_changes;
    };
  }
  void teardown() override { base::RuntimeClock::Resume(); }

  void Put(const std::string& text) { m_store.Put(kKey, text); }
  // Delivers the row as the change feed does.
  void Deliver() {
    m_config.OnRow(m_store.Get(kKey));
    fakes::ProcessDueEvents(m_loop);
  }
  void Wait(int ms) {
    for (int passed = 0; passed < ms; passed += 100) {
      fakes::AdvanceTimers(m_loop, milliseconds(100));
    }
  }
  bool HasKey(const std::string& key) {
    return m_config.GetConfig()->customers.FindByKey(key) != nullptr;
  }
};

TEST(ConfigFollower, WithoutCustomersNothingIsReadAgain) {
  Put(MakeConfig(1, ""));
  Deliver();
  Wait(5'000);
  LONGS_EQUAL(1, m_changes);
  LONGS_EQUAL(0, m_store.m_reads);
}

TEST(ConfigFollower, StaysCurrentWhileTheFeedIsSilent) {
  Put(MakeConfig(1, MakeCustomer(R"("k1","k2")")));
  Deliver();
  Wait(1'000);
  CHECK_TRUE(m_config.GetAge() <= milliseconds(2'000));
  // The feed says nothing of the revocation.
  Put(MakeConfig(2, MakeCustomer(R"("k1")")));
  Wait(2'000);
  CHECK_FALSE(HasKey("k2"));
  CHECK_TRUE(m_config.GetAge() <= milliseconds(2'000));
}

TEST(ConfigFollower, AgesWhileTheStoreIsOutOfReach) {
  Put(MakeConfig(1, MakeCustomer(R"("k1")")));
  Deliver();
  m_store.m_is_reachable = false;
  Wait(4'000);
  CHECK_TRUE(m_config.GetAge() >= milliseconds(4'000));
  m_store.m_is_reachable = true;
  Wait(2'000);
  CHECK_TRUE(m_config.GetAge() <= milliseconds(2'000));
}

TEST(ConfigFollower, AgesWhileTheHostIsFrozen) {
  Put(MakeConfig(1, MakeCustomer(R"("k1")")));
  Deliver();
  // No timer runs.
  base::RuntimeClock::Advance(milliseconds(6'000));
  CHECK_TRUE(m_config.GetAge() >= milliseconds(6'000));
}

TEST(ConfigFollower, IsNotCurrentBeforeItsOwnRead) {
  m_store.m_is_reachable = false;
  Put(MakeConfig(1, MakeCustomer(R"("k1")")));
  Deliver();
  CHECK_TRUE(m_config.GetAge() == base::Duration::max());
}

TEST(ConfigFollower, AnAnswerCountsFromWhenItWasAskedFor) {
  Put(MakeConfig(1, MakeCustomer(R"("k1")")));
  // The read is sent, and answered after a second.
  m_config.OnRow(m_store.Get(kKey));
  base::RuntimeClock::Advance(milliseconds(1'000));
  fakes::ProcessDueEvents(m_loop);
  CHECK_TRUE(m_config.GetAge() >= milliseconds(1'000));
}

TEST(ConfigFollower, AVersionThatCannotBeReadIsNotConfirmed) {
  Put(MakeConfig(1, MakeCustomer(R"("k1")")));
  Deliver();
  Put("{");
  Wait(5'000);
  CHECK_TRUE(HasKey("k1"));
  CHECK_TRUE(m_config.GetAge() >= milliseconds(4'000));
}

TEST(ConfigFollower, AnOlderRowBringsNoKeyBack) {
  Put(MakeConfig(1, MakeCustomer(R"("k1","k2")")));
  const storage::VersionedRow old_row = m_store.Get(kKey);
  Deliver();
  Put(MakeConfig(2, MakeCustomer(R"("k1")")));
  Deliver();
  m_config.OnRow(old_row);
  CHECK_FALSE(HasKey("k2"));
  LONGS_EQUAL(2, m_config.GetConfig()->version);
}
