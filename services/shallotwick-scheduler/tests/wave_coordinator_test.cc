// Waves that follow each other on the same hosts.
#include "../wave_coordinator.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>

#include "../job_tables.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"
#include "fakes/unresponsive_targets.h"
#include "platform/host_operations_client.h"
#include "platform/names.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace hosts = shallotwick::hosts;
namespace platform = shallotwick::platform;
namespace scheduler = shallotwick::scheduler;
namespace storage = shallotwick::storage;
using hosts::HostOperationOutcome;

namespace {

constexpr char kService[] = "quotes";
constexpr auto kMaintenanceTime = std::chrono::milliseconds(2'000);
constexpr auto kStep = std::chrono::milliseconds(100);

// Takes hosts down for kMaintenanceTime. No target is listed, so they are idle.
class MaintainedHosts : public hosts::HostOperations {
 public:
  explicit MaintainedHosts(base::EventLoop& loop) : m_loop(loop) {
    for (const char* name : {"m-1", "m-2"}) {
      hosts::FleetHost host;
      host.name = name;
      host.pool = kService;
      host.cpu_milli = 32'000;
      m_hosts[name] = host;
    }
  }

  void List(OnHosts on_done) override {
    std::vector<hosts::FleetHost> listed;
    for (auto& [name, host] : m_hosts) {
      const auto down = m_down_until.find(name);
      const bool has_returned = down != m_down_until.end() &&
                                base::RuntimeClock::now() >= down->second;
      if (has_returned) {
        host.state = hosts::HostState::kUp;
        m_down_until.erase(down);
      }
      if (name != m_skipped) {
        listed.push_back(host);
      }
    }
    m_loop.Post([on_done, listed] { on_done(true, listed); });
  }
  void Move(const std::string&, const std::string&, const hosts::HostFence&,
            OnOutcome on_done) override {
    m_loop.Post([on_done] { on_done(HostOperationOutcome::kDone); });
  }
  void Maintain(const std::string& host, int64_t wave, const hosts::HostFence&,
                OnOutcome on_done) override {
    m_loop.RunAfter(m_answer_time, [this, host, wave, on_done] {
      if (m_rejects_hosts_down && m_down_until.count(host) > 0) {
        on_done(HostOperationOutcome::kBusy);
        return;
      }
      if (m_outcome == HostOperationOutcome::kDone &&
          m_begun.insert({wave, host}).second) {
        m_hosts[host].state = hosts::HostState::kMaintenance;
        m_down_until[host] = base::RuntimeClock::now() + kMaintenanceTime;
        m_most_down = std::max(m_most_down, m_down_until.size());
      }
      on_done(std::exchange(m_loses_next_answer, false)
                  ? HostOperationOutcome::kUnknown
                  : m_outcome);
    });
  }

  std::map<std::string, hosts::FleetHost> m_hosts;
  HostOperationOutcome m_outcome = HostOperationOutcome::kDone;
  base::Duration m_answer_time{0};
  // The maintenances that have begun, by wave and host.
  std::set<std::pair<int64_t, std::string>> m_begun;
  size_t m_most_down = 0;
  bool m_loses_next_answer = false;
  bool m_rejects_hosts_down = false;
  // A host that the lists lack.
  std::string m_skipped;

 private:
  base::EventLoop& m_loop;
  std::map<std::string, base::TimePoint> m_down_until;
};

TEST_GROUP(Waves) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};
  base::MetricRegistry m_metrics;
  fakes::UnresponsiveTargets m_targets;
  MaintainedHosts m_hosts{m_loop};
  std::unique_ptr<scheduler::PoolRunner> m_pool;
  std::unique_ptr<scheduler::HostLedger> m_ledger;
  std::unique_ptr<scheduler::WaveCoordinator> m_waves;
  std::set<std::string> m_active_holders;

  void setup() override {
    base::RuntimeClock::Pause();
    scheduler::PoolRunnerOptions options;
    options.service = kService;
    options.owner_version =
        m_store.Put(scheduler::MakeOwnerKey(kService), "{}");
    m_pool = std::make_unique<scheduler::PoolRunner>(m_loop, m_store, m_targets,
                                                     m_metrics, options);
    m_pool->m_on_lost = [] {};
    m_pool->Start();
    m_ledger = MakeLedger("self/1");
    m_waves = MakeWaves("self/1", *m_ledger);
    Advance(std::chrono::milliseconds(500));
  }
  void teardown() override {
    m_waves.reset();
    m_ledger.reset();
    m_pool.reset();
    base::RuntimeClock::Resume();
  }

  std::unique_ptr<scheduler::HostLedger> MakeLedger(const char* holder) {
    auto ledger = std::make_unique<scheduler::HostLedger>(
        m_loop, m_store, m_hosts, holder, std::chrono::seconds(3));
    ledger->m_is_holder_live = [this](const std::string& name) {
      return m_active_holders.count(name) > 0;
    };
    ledger->m_on_change = [] {};
    ledger->Start();
    return ledger;
  }

  std::unique_ptr<scheduler::WaveCoordinator> MakeWaves(
      const char* holder, scheduler::HostLedger& ledger) {
    auto waves = std::make_unique<scheduler::WaveCoordinator>(
        m_store, m_hosts, ledger,
        scheduler::WaveCoordinatorOptions{holder, kMaintenanceTime});
    waves->m_find_pool = [this](const std::string&) { return m_pool.get(); };
    waves->m_is_holder_active = [this](const std::string& name) {
      return m_active_holders.count(name) > 0;
    };
    return waves;
  }

  // Advances the paused clock; coordinates the waves each 100 ms.
  void Advance(base::Duration by) {
    for (auto left = by; left > base::Duration(0); left -= kStep) {
      fakes::AdvanceTimers(m_loop, kStep);
      if (m_waves) {
        m_waves->ProcessWaves(base::RuntimeClock::now());
      }
    }
  }

  std::string GetStatus(int64_t wave) const {
    return m_store
        .Get({platform::kStatusTable, platform::kSharedPartition,
              platform::kWaveKeyPrefix + std::to_string(wave)})
        .value;
  }

  bool IsSaidToBeCompleted(int64_t wave) const {
    return GetStatus(wave) == platform::EncodeWaveStatus(wave, true);
  }

  void CompleteWave(const hosts::MaintenanceWave& wave) {
    m_waves->SetWave(wave);
    Advance(std::chrono::seconds(8));
    CHECK_TRUE(IsSaidToBeCompleted(wave.number));
  }
};

}  // namespace

TEST(Waves, HostOfAnEarlierWaveWithLostAnswerIsNotDoneBeforeItsMaintenance) {
  CompleteWave({1, {"m-1"}, 1});
  m_waves->SetWave({2, {"m-1"}, 1});
  // The write of the record takes effect, but its answer is lost, so that the
  // platform is not called.
  const auto lose_answer_of_record = [this] {
    m_store.m_faults = {{storage::RowCommitStatus::kCommitted, false},
                        {storage::RowCommitStatus::kUnknown, true}};
  };
  lose_answer_of_record();
  for (int i = 0; i < 100; ++i) {
    Advance(kStep);
    CHECK_TRUE(!IsSaidToBeCompleted(2) || m_hosts.m_begun.count({2, "m-1"}));
  }
  CHECK_TRUE(IsSaidToBeCompleted(2));
}

TEST(Waves, SlotStaysTakenWhileHostOfAnEarlierWaveGoesDown) {
  m_hosts.m_answer_time = std::chrono::milliseconds(500);
  CompleteWave({1, {"m-1", "m-2"}, 1});
  CompleteWave({2, {"m-1", "m-2"}, 1});
  LONGS_EQUAL(4, m_hosts.m_begun.size());
  LONGS_EQUAL(1, m_hosts.m_most_down);
}

TEST(Waves, HostMissingInAnEarlierWaveIsNotGoneFromTheNextAtOnce) {
  m_hosts.m_skipped = "m-1";
  Advance(std::chrono::milliseconds(500));
  m_waves->SetWave({1, {"m-1", "m-2"}, 1});
  Advance(std::chrono::milliseconds(1'000));
  // Another holder sees the host and completes the wave.
  m_store.Put({scheduler::kHostsTable, scheduler::kSinglePartition, "wave/1"},
              R"({"running":{},"done":["m-1","m-2"],"gone":[]})");
  Advance(std::chrono::milliseconds(500));
  CHECK_TRUE(IsSaidToBeCompleted(1));
  m_hosts.m_skipped.clear();
  Advance(std::chrono::seconds(5));
  m_hosts.m_skipped = "m-1";
  Advance(std::chrono::milliseconds(500));
  m_waves->SetWave({2, {"m-1"}, 1});
  Advance(std::chrono::milliseconds(500));
  CHECK_FALSE(IsSaidToBeCompleted(2));
  m_hosts.m_skipped.clear();
  Advance(std::chrono::seconds(8));
  CHECK_TRUE(IsSaidToBeCompleted(2));
  LONGS_EQUAL(1, m_hosts.m_begun.count({2, "m-1"}));
}

TEST(Waves, MaintenanceOfAHolderThatIsGoneIsNotAskedForAgain) {
  m_waves->SetWave({1, {"m-1"}, 1});
  Advance(std::chrono::milliseconds(1'000));
  LONGS_EQUAL(1, m_hosts.m_begun.size());
  m_waves.reset();
  m_hosts.m_outcome = HostOperationOutcome::kBusy;
  const auto ledger = MakeLedger("self/2");
  m_waves = MakeWaves("self/2", *ledger);
  m_waves->SetWave({1, {"m-1"}, 1});
  Advance(std::chrono::seconds(5));
  CHECK_TRUE(IsSaidToBeCompleted(1));
  m_waves.reset();
}

TEST(Waves, RefusalInOneWaveFreesNoSlotOfAnother) {
  const storage::RowKey other{scheduler::kHostsTable,
                              scheduler::kSinglePartition, "wave/2"};
  const char* const record =
      R"({"running":{"m-1":"other/1"},"accepted":["m-1"],"done":[],"gone":[]})";
  m_active_holders = {"other/1"};
  m_store.Put(other, record);
  m_hosts.m_outcome = HostOperationOutcome::kBusy;
  m_waves->SetWave({1, {"m-1"}, 1});
  m_waves->SetWave({2, {"m-1"}, 1});
  Advance(std::chrono::seconds(2));
  STRCMP_EQUAL(record, m_store.Get(other).value.c_str());
}

// LIMIT: a rejection was taken for "nothing was done", and another host of the
// wave went down beside the one that was down already.
TEST(Waves, RejectionAfterALostAnswerFreesNoSlotOfAHostThatIsDown) {
  m_hosts.m_rejects_hosts_down = true;
  m_hosts.m_loses_next_answer = true;
  m_waves->SetWave({1, {"m-1", "m-2"}, 1});
  Advance(std::chrono::seconds(16));
  LONGS_EQUAL(1, m_hosts.m_most_down);
  CHECK_TRUE(IsSaidToBeCompleted(1));
}

// The same for a holder that is gone: its successor gets the rejection.
TEST(Waves, RejectionOfASuccessorFreesNoSlotOfAHostThatIsDown) {
  m_hosts.m_rejects_hosts_down = true;
  m_hosts.m_loses_next_answer = true;
  m_waves->SetWave({1, {"m-1", "m-2"}, 1});
  Advance(std::chrono::milliseconds(200));
  LONGS_EQUAL(1, m_hosts.m_begun.size());
  m_waves.reset();
  m_ledger.reset();
  const auto ledger = MakeLedger("self/2");
  m_waves = MakeWaves("self/2", *ledger);
  m_waves->SetWave({1, {"m-1", "m-2"}, 1});
  Advance(std::chrono::seconds(16));
  LONGS_EQUAL(1, m_hosts.m_most_down);
  CHECK_TRUE(IsSaidToBeCompleted(1));
  m_waves.reset();
}

TEST(Waves, LateFirstStatusDoesNotReplaceThatOfACompletedWave) {
  m_store.m_faults = {{storage::RowCommitStatus::kUnknown, false, true}};
  CompleteWave({1, {"m-1"}, 1});
  m_store.CarryOutLate();
  Advance(std::chrono::seconds(8));
  CHECK_TRUE(IsSaidToBeCompleted(1));
}

TEST(Waves, FirstStatusWithLostAnswerIsReported) {
  m_store.m_faults = {{storage::RowCommitStatus::kUnknown, true}};
  m_waves->SetWave({1, {"m-1"}, 1});
  Advance(kStep);
  STRCMP_EQUAL(platform::EncodeWaveStatus(1, false).c_str(),
               GetStatus(1).c_str());
  Advance(std::chrono::seconds(8));
  CHECK_TRUE(IsSaidToBeCompleted(1));
}

TEST(Waves, SuccessorThatLagsDoesNotReplaceTheStatusOfACompletedWave) {
  m_store.Put({platform::kStatusTable, platform::kSharedPartition,
               std::string(platform::kWaveKeyPrefix) + "1"},
              platform::EncodeWaveStatus(1, true));
  m_waves->SetWave({1, {"m-1"}, 1});
  Advance(std::chrono::milliseconds(500));
  CHECK_TRUE(IsSaidToBeCompleted(1));
}
