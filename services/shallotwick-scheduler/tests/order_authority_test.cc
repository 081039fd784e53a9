// Orders for hosts end with the right to give them.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../host_ledger.h"
#include "../job_tables.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace hosts = shallotwick::hosts;
namespace scheduler = shallotwick::scheduler;
namespace storage = shallotwick::storage;
using hosts::HostOperationOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kHost[] = "m-1";
constexpr auto kInterval = seconds(3);

// Answers moves as the test says, or leaves them under way.
class ScriptedHosts : public hosts::HostOperations {
 public:
  explicit ScriptedHosts(base::EventLoop& loop) : m_loop(loop) {
    hosts::FleetHost host;
    host.name = kHost;
    host.pool = "quotes";
    host.target = "i-1";
    m_hosts = {host};
  }

  void List(OnHosts on_done) override {
    m_loop.Post([on_done, listed = m_hosts] { on_done(true, listed); });
  }
  void Move(const std::string&, const std::string&,
            const hosts::HostFence& fence, OnOutcome on_done) override {
    m_calls.push_back({fence.holder, fence.token, base::RuntimeClock::now()});
    if (!m_outcome) {
      m_held = std::move(on_done);
      return;
    }
    m_loop.Post([on_done, outcome = *m_outcome] { on_done(outcome); });
  }
  void Maintain(const std::string&, int64_t, const hosts::HostFence&,
                OnOutcome) override {}

  struct Call {
    std::string holder;
    uint64_t token = 0;
    base::TimePoint at;
  };
  std::vector<hosts::FleetHost> m_hosts;
  std::optional<HostOperationOutcome> m_outcome =
      HostOperationOutcome::kRefused;
  OnOutcome m_held;
  std::vector<Call> m_calls;

 private:
  base::EventLoop& m_loop;
};

}  // namespace

TEST_GROUP(OrderAuthority) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};
  ScriptedHosts m_hosts{m_loop};
  std::unique_ptr<scheduler::HostLedger> m_ledger;
  std::optional<HostOperationOutcome> m_result;
  bool m_may_order = true;
  bool m_may_operate = true;

  void setup() override {
    base::RuntimeClock::Pause();
    m_ledger = MakeLedger("self/1");
  }
  void teardown() override {
    m_ledger.reset();
    base::RuntimeClock::Resume();
  }

  std::unique_ptr<scheduler::HostLedger> MakeLedger(const std::string& holder) {
    auto ledger = std::make_unique<scheduler::HostLedger>(
        m_loop, m_store, m_hosts, holder, kInterval);
    ledger->m_is_holder_live = [](const std::string&) { return true; };
    ledger->m_may_order = [this] { return m_may_order; };
    ledger->m_on_change = [] {};
    ledger->Start();
    fakes::ProcessDueEvents(m_loop);
    return ledger;
  }

  void Advance(base::Duration by) {
    constexpr auto kStep = milliseconds(20);
    for (base::Duration passed(0); passed < by; passed += kStep) {
      fakes::AdvanceTimers(m_loop, kStep);
    }
  }

  void Order(scheduler::HostLedger & ledger) {
    scheduler::HostOperationRequest request;
    request.hosts = {kHost};
    request.shared_row = ledger.GetSharedRow("transfers/quotes");
    request.new_value = "{}";
    request.operate = [this](const std::string& host,
                             const hosts::HostFence& fence,
                             hosts::HostOperations::OnOutcome on_done) {
      m_hosts.Move(host, "orders", fence, std::move(on_done));
    };
    request.may_operate = [this](const std::string&) { return m_may_operate; };
    request.on_done = [this](const std::string&, HostOperationOutcome outcome) {
      m_result = outcome;
    };
    request.on_refused = [] {};
    ledger.Operate(std::move(request));
    fakes::ProcessDueEvents(m_loop);
  }

  size_t CountCallsAfter(base::Duration time) {
    const size_t before = m_hosts.m_calls.size();
    Advance(time);
    return m_hosts.m_calls.size() - before;
  }
};

// AVAIL: a stopping process repeated an order for a host of a released pool.
TEST(OrderAuthority, StoppingProcessOrdersNothingMore) {
  Order(*m_ledger);
  Advance(milliseconds(600));
  CHECK_TRUE(m_hosts.m_calls.size() > 1);
  bool has_stopped = false;
  m_ledger->StopOrders();
  m_ledger->RunWhenStopped([&has_stopped] { has_stopped = true; });
  CHECK_TRUE(has_stopped);
  LONGS_EQUAL(0, CountCallsAfter(seconds(5)));
  CHECK_TRUE(m_result == HostOperationOutcome::kRefused);
}

// The pool must not be released while a call may still take effect.
TEST(OrderAuthority, StoppingProcessWaitsForItsCallUnderWay) {
  m_hosts.m_outcome.reset();
  Order(*m_ledger);
  bool has_stopped = false;
  m_ledger->StopOrders();
  m_ledger->RunWhenStopped([&has_stopped] { has_stopped = true; });
  Advance(milliseconds(300));
  CHECK_FALSE(has_stopped);
  m_hosts.m_held(HostOperationOutcome::kUnknown);
  CHECK_TRUE(has_stopped);
  LONGS_EQUAL(0, CountCallsAfter(seconds(5)));
}

TEST(OrderAuthority, LockThatIsWrittenAfterTheStopIsNotUsed) {
  scheduler::HostLedger& ledger = *m_ledger;
  m_store.m_faults.clear();
  m_may_order = false;
  Order(ledger);
  LONGS_EQUAL(0, CountCallsAfter(seconds(1)));
  CHECK_TRUE(m_result == HostOperationOutcome::kRefused);
}

// A process that was frozen or cut off from the store has lost its session.
TEST(OrderAuthority, LapsedSessionEndsTheRepetition) {
  Order(*m_ledger);
  Advance(milliseconds(600));
  m_may_order = false;
  Advance(milliseconds(300));
  LONGS_EQUAL(0, CountCallsAfter(seconds(5)));
  m_may_order = true;
  LONGS_EQUAL(0, CountCallsAfter(seconds(5)));
}

// By the pool's owner, its term, or what runs on the host.
TEST(OrderAuthority, DecisionThatHoldsNoMoreEndsTheRepetition) {
  Order(*m_ledger);
  Advance(milliseconds(600));
  m_may_operate = false;
  Advance(milliseconds(300));
  LONGS_EQUAL(0, CountCallsAfter(seconds(5)));
  CHECK_TRUE(m_result == HostOperationOutcome::kRefused);
}

// A refusal after a call without an answer does not say that nothing was done.
TEST(OrderAuthority, OrderGivenUpAfterALostAnswerHasAnUnknownOutcome) {
  for (const auto outcome :
       {HostOperationOutcome::kRefused, HostOperationOutcome::kBusy,
        HostOperationOutcome::kFenced}) {
    m_result.reset();
    m_may_operate = true;
    m_hosts.m_outcome = HostOperationOutcome::kUnknown;
    Order(*m_ledger);
    Advance(milliseconds(100));
    m_hosts.m_outcome = outcome;
    Advance(milliseconds(400));
    m_may_operate = false;
    Advance(milliseconds(400));
    CHECK_TRUE(m_result == HostOperationOutcome::kUnknown);
  }
}

// ONE: two holders ordered one host by turns, as one repeated under a lock that
// the other took for old.
TEST(OrderAuthority, RepetitionRenewsTheLockSoThatNoOtherTakesTheHost) {
  const auto other = MakeLedger("other/1");
  Order(*m_ledger);
  for (int i = 0; i < 100; ++i) {
    Advance(milliseconds(100));
    CHECK_FALSE(other->IsFree(kHost, base::RuntimeClock::now()));
  }
  CHECK_TRUE(m_hosts.m_calls.size() > 20);
  CHECK_TRUE(m_hosts.m_calls.back().token > m_hosts.m_calls.front().token);
  m_hosts.m_outcome = HostOperationOutcome::kDone;
  Advance(milliseconds(400));
  CHECK_TRUE(m_result == HostOperationOutcome::kDone);
}

// While the store refuses the renewal, others may take the host.
TEST(OrderAuthority, NoCallIsMadeUnderALockThatOthersMayTakeForOld) {
  Order(*m_ledger);
  const auto locked_at = base::RuntimeClock::now();
  const storage::RowKey lock{scheduler::kHostsTable,
                             scheduler::kSinglePartition, "lock/m-1"};
  m_store.Put(lock, R"({"holder":"other/1"})");
  Advance(seconds(8));
  CHECK_TRUE(m_hosts.m_calls.back().at < locked_at + kInterval);
  CHECK_TRUE(m_result == HostOperationOutcome::kRefused);
}

// The next owner of a pool must not start tasks on such a host at once.
TEST(OrderAuthority, HostThatAnotherHolderHasJustOrderedMayBeLeaving) {
  const auto other = MakeLedger("other/1");
  CHECK_FALSE(other->MayBeOrderedByOther(kHost));
  Order(*m_ledger);
  Advance(milliseconds(200));
  CHECK_TRUE(other->MayBeOrderedByOther(kHost));
  CHECK_FALSE(m_ledger->MayBeOrderedByOther(kHost));
}
