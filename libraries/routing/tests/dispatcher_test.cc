#include "routing/dispatcher.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <thread>

namespace base = shallotwick::base;
namespace records = shallotwick::records;
namespace routing = shallotwick::routing;

using routing::Reason;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(std::chrono::hours(1) + since_start);
}

// Creates a view with one service on `hosts` hosts of `slots` slots each, for
// one gateway.
routing::RoutingView MakeView(uint64_t version, int hosts, int slots) {
  routing::RoutingView view;
  view.version = version;
  for (int number = 0; number < hosts; ++number) {
    const std::string name = "h" + std::to_string(number);
    view.hosts[name] =
        routing::HostRoute{name,
                           "127.0.0.1:" + std::to_string(number + 1),
                           "p",
                           "dc-0",
                           records::HostState::kServing,
                           version};
  }
  view.services["s"] =
      routing::ServiceRoute{"s", "p", slots, 64, 1000, {"GET"}};
  view.members["g"] = routing::MemberRoute{"g", "127.0.0.1:1"};
  return view;
}

routing::RequestTicket MakeTicket(
    const std::string& team = "t",
    routing::Urgency urgency = routing::Urgency::kNormal,
    base::Duration deadline = seconds(100)) {
  return {"s", team, urgency, At(deadline), {}};
}

// Collects decisions in the order in which they are made.
struct Decisions {
  std::vector<std::pair<std::string, routing::Decision>> made;

  routing::OnDecision For(const std::string& name) {
    return [this, name](routing::Decision decision) {
      made.emplace_back(name, std::move(decision));
    };
  }
  bool IsGranted(size_t at) const {
    return std::holds_alternative<routing::SlotGrant>(made.at(at).second);
  }
  const routing::SlotGrant& GrantAt(size_t at) const {
    return std::get<routing::SlotGrant>(made.at(at).second);
  }
  Reason ReasonAt(size_t at) const {
    return std::get<Reason>(made.at(at).second);
  }
};

}  // namespace

TEST_GROUP(Dispatcher) {
  routing::Dispatcher m_dispatcher{"g", routing::DispatcherLimits{4, 3}};
  Decisions m_decisions;

  void Submit(const std::string& name, const routing::RequestTicket& ticket,
              base::Duration at = seconds(0)) {
    m_dispatcher.Submit(ticket, At(at), m_decisions.For(name));
  }
  void Release(size_t decision, base::Duration at = seconds(0)) {
    m_dispatcher.Release(m_decisions.GrantAt(decision), milliseconds(10),
                         At(at));
  }
};

TEST(Dispatcher, SpreadsRequestsOverTargetsWithinSlotLimits) {
  m_dispatcher.ReplaceView(MakeView(1, 2, 2));
  for (int number = 0; number < 5; ++number) {
    Submit(std::to_string(number), MakeTicket());
  }
  LONGS_EQUAL(4, m_decisions.made.size());
  std::map<std::string, int> used_slots;
  for (size_t at = 0; at < 4; ++at) {
    ++used_slots[m_decisions.GrantAt(at).target->GetHost()];
  }
  LONGS_EQUAL(2, used_slots["h0"]);
  LONGS_EQUAL(2, used_slots["h1"]);
  LONGS_EQUAL(1, m_dispatcher.CountWaiting());
  Release(0);
  LONGS_EQUAL(5, m_decisions.made.size());
}

TEST(Dispatcher, RefusalReasons) {
  Submit("no view", MakeTicket());
  CHECK_TRUE(m_decisions.ReasonAt(0) == Reason::kUnknownService);
  m_dispatcher.ReplaceView(MakeView(1, 0, 1));
  Submit("no hosts", MakeTicket());
  CHECK_TRUE(m_decisions.ReasonAt(1) == Reason::kNoTarget);
  m_dispatcher.ReplaceView(MakeView(2, 1, 1));
  Submit("too late", MakeTicket("t", routing::Urgency::kNormal, seconds(0)));
  CHECK_TRUE(m_decisions.ReasonAt(2) == Reason::kDeadlineExceeded);
  Submit("runs", MakeTicket());
  for (int number = 0; number < 3; ++number) {
    Submit("waits", MakeTicket());
  }
  Submit("team full", MakeTicket());
  CHECK_TRUE(m_decisions.ReasonAt(4) == Reason::kTeamQueueFull);
  Submit("waits", MakeTicket("u"));
  Submit("queue full", MakeTicket("v"));
  CHECK_TRUE(m_decisions.ReasonAt(5) == Reason::kQueueFull);
  m_dispatcher.Stop();
  LONGS_EQUAL(10, m_decisions.made.size());
  CHECK_TRUE(m_decisions.ReasonAt(9) == Reason::kStopping);
  Submit("after stop", MakeTicket());
  CHECK_TRUE(m_decisions.ReasonAt(10) == Reason::kStopping);
}

TEST(Dispatcher, RefusesRequestsThatWouldMissTheirDeadline) {
  m_dispatcher.ReplaceView(MakeView(1, 1, 1));
  Submit("first", MakeTicket());
  m_dispatcher.Release(m_decisions.GrantAt(0), seconds(2), At(seconds(2)));
  Submit("runs", MakeTicket(), seconds(2));
  // The request would start after 2 s and end after 4 s.
  Submit("in time", MakeTicket("t", routing::Urgency::kNormal, seconds(7)),
         seconds(2));
  Submit("too late", MakeTicket("t", routing::Urgency::kNormal, seconds(5)),
         seconds(2));
  LONGS_EQUAL(3, m_decisions.made.size());
  STRCMP_EQUAL("too late", m_decisions.made[2].first.c_str());
  CHECK_TRUE(m_decisions.ReasonAt(2) == Reason::kDeadlineUnreachable);
}

TEST(Dispatcher, UrgentRequestsAreServedFirstAndBatchLast) {
  m_dispatcher.ReplaceView(MakeView(1, 1, 1));
  Submit("running", MakeTicket());
  Submit("batch", MakeTicket("t", routing::Urgency::kBatch));
  Submit("normal", MakeTicket("t", routing::Urgency::kNormal));
  Submit("urgent", MakeTicket("t", routing::Urgency::kUrgent));
  for (size_t at = 0; at < 3; ++at) {
    Release(at);
  }
  STRCMP_EQUAL("urgent", m_decisions.made[1].first.c_str());
  STRCMP_EQUAL("normal", m_decisions.made[2].first.c_str());
  STRCMP_EQUAL("batch", m_decisions.made[3].first.c_str());
}

TEST(Dispatcher, TeamAtItsQuotaLeavesSlotsToOtherTeams) {
  routing::RoutingView view = MakeView(1, 1, 4);
  view.quotas["greedy"] = 2;
  m_dispatcher.ReplaceView(view);
  for (int number = 0; number < 4; ++number) {
    Submit("greedy", MakeTicket("greedy"));
  }
  LONGS_EQUAL(2, m_decisions.made.size());
  Submit("modest", MakeTicket("modest"));
  Submit("modest", MakeTicket("modest"));
  LONGS_EQUAL(4, m_decisions.made.size());
  STRCMP_EQUAL("modest", m_decisions.made[3].first.c_str());
}

TEST(Dispatcher, TeamsAreServedFairlyRegardlessOfQueueLength) {
  routing::Dispatcher dispatcher("g", routing::DispatcherLimits{400, 300});
  dispatcher.ReplaceView(MakeView(1, 1, 1));
  Decisions decisions;
  dispatcher.Submit(MakeTicket(), At(seconds(0)), decisions.For("running"));
  for (int number = 0; number < 200; ++number) {
    dispatcher.Submit(MakeTicket("many"), At(seconds(0)),
                      decisions.For("many"));
  }
  for (int number = 0; number < 10; ++number) {
    dispatcher.Submit(MakeTicket("few"), At(seconds(0)), decisions.For("few"));
  }
  for (size_t at = 0; at < 20; ++at) {
    dispatcher.Release(decisions.GrantAt(at), milliseconds(1), At(seconds(0)));
  }
  int few = 0;
  for (const auto& [name, decision] : decisions.made) {
    few += name == "few" ? 1 : 0;
  }
  LONGS_EQUAL(10, few);
}

TEST(Dispatcher, OlderOrEqualViewIsRejected) {
  CHECK_TRUE(m_dispatcher.ReplaceView(MakeView(5, 1, 1)));
  CHECK_FALSE(m_dispatcher.ReplaceView(MakeView(4, 2, 1)));
  CHECK_FALSE(m_dispatcher.ReplaceView(MakeView(5, 2, 1)));
  LONGS_EQUAL(5, m_dispatcher.GetViewVersion());
  LONGS_EQUAL(1, m_dispatcher.GetView().hosts.size());
}

TEST(Dispatcher, DrainingHostGetsNoNewRequestsAndIsCountedUntilEmpty) {
  m_dispatcher.ReplaceView(MakeView(1, 2, 8));
  Submit("a", MakeTicket());
  Submit("b", MakeTicket());
  const std::string host = m_decisions.GrantAt(0).target->GetHost();
  routing::RoutingView view = MakeView(2, 2, 8);
  view.hosts[host].state = records::HostState::kDraining;
  m_dispatcher.ReplaceView(view);
  LONGS_EQUAL(1, m_dispatcher.CountInFlightOnNonServingHosts().at(host));
  for (int number = 0; number < 5; ++number) {
    Submit("later", MakeTicket());
    CHECK_TRUE(m_decisions.GrantAt(2 + static_cast<size_t>(number))
                   .target->GetHost() != host);
  }
  Release(0);
  CHECK_TRUE(m_dispatcher.CountInFlightOnNonServingHosts().empty());
}

TEST(Dispatcher, LeavingHostGetsNoRequestsUntilItsNextState) {
  m_dispatcher.ReplaceView(MakeView(1, 1, 8));
  Submit("a", MakeTicket());
  m_decisions.GrantAt(0).target->SetLeaving(true);
  Submit("b", MakeTicket());
  CHECK_TRUE(m_decisions.ReasonAt(1) == Reason::kNoTarget);
  m_dispatcher.ReplaceView(MakeView(2, 1, 8));
  Submit("c", MakeTicket());
  CHECK_TRUE(m_decisions.IsGranted(2));
}

TEST(Dispatcher, TargetWithRecentFailureIsTheLastResort) {
  m_dispatcher.ReplaceView(MakeView(1, 2, 8));
  Submit("a", MakeTicket());
  const auto failed = m_decisions.GrantAt(0).target;
  failed->AvoidUntil(At(seconds(1)));
  for (int number = 0; number < 8; ++number) {
    Submit("other", MakeTicket());
    CHECK_TRUE(m_decisions.made.back().second.index() == 0);
    CHECK_TRUE(
        std::get<routing::SlotGrant>(m_decisions.made.back().second).target !=
        failed);
  }
  Submit("last resort", MakeTicket());
  CHECK_TRUE(
      std::get<routing::SlotGrant>(m_decisions.made.back().second).target ==
      failed);
}

TEST(Dispatcher, TriedHostIsNotTriedAgain) {
  m_dispatcher.ReplaceView(MakeView(1, 2, 8));
  routing::RequestTicket ticket = MakeTicket();
  ticket.tried_hosts = {"h0"};
  Submit("a", ticket);
  STRCMP_EQUAL("h1", m_decisions.GrantAt(0).target->GetHost().c_str());
  ticket.tried_hosts = {"h0", "h1"};
  Submit("b", ticket);
  CHECK_TRUE(m_decisions.ReasonAt(1) == Reason::kNoTarget);
}

// Compares random sequences of submissions, releases, view changes and time
// steps with a simple oracle.
TEST(Dispatcher, LimitsHoldAndEachRequestIsDecidedOnce) {
  CHECK_TRUE(rc::check("dispatcher", [] {
    constexpr int kSlots = 3;
    routing::Dispatcher dispatcher("g", routing::DispatcherLimits{20, 10});
    std::map<int, int> decision_counts;
    std::vector<routing::SlotGrant> grants;
    std::map<std::string, int> in_use;
    std::set<std::string> serving;
    uint64_t version = 0;
    int submitted = 0;
    base::Duration now = seconds(0);
    for (int step = 0; step < 200; ++step) {
      const int action = *rc::gen::inRange(0, 10);
      if (action < 5) {
        const int number = submitted++;
        const auto deadline = now + milliseconds(*rc::gen::inRange(-5, 200));
        dispatcher.Submit(
            MakeTicket("t" + std::to_string(*rc::gen::inRange(0, 3)),
                       routing::Urgency::kNormal, deadline),
            At(now), [&, number](routing::Decision decision) {
              ++decision_counts[number];
              if (auto* grant = std::get_if<routing::SlotGrant>(&decision)) {
                const std::string& host = grant->target->GetHost();
                // A slot is granted only on a serving host and within its slot
                // limit.
                RC_ASSERT(serving.count(host) == 1);
                RC_ASSERT(++in_use[host] <= kSlots);
                grants.push_back(*grant);
              }
            });
      } else if (action < 8 && !grants.empty()) {
        const auto at = *rc::gen::inRange<size_t>(0, grants.size());
        const routing::SlotGrant grant = grants[at];
        grants.erase(grants.begin() + static_cast<ptrdiff_t>(at));
        --in_use[grant.target->GetHost()];
        dispatcher.Release(grant, milliseconds(*rc::gen::inRange(1, 50)),
                           At(now));
      } else if (action == 8) {
        routing::RoutingView view = MakeView(++version, 4, kSlots);
        view.quotas["t0"] = 2;
        serving.clear();
        for (auto& [name, host] : view.hosts) {
          if (*rc::gen::inRange(0, 3) == 0) {
            host.state = records::HostState::kDraining;
          } else {
            serving.insert(name);
          }
        }
        RC_ASSERT(dispatcher.ReplaceView(view));
      } else {
        now += milliseconds(*rc::gen::inRange(0, 60));
        dispatcher.Advance(At(now));
      }
      for (const auto& [host, count] :
           dispatcher.CountInFlightOnNonServingHosts()) {
        RC_ASSERT(in_use[host] == count);
      }
    }
    dispatcher.Stop();
    RC_ASSERT(static_cast<int>(decision_counts.size()) == submitted);
    for (const auto& [number, count] : decision_counts) {
      RC_ASSERT(count == 1);
    }
  }));
}

// Several threads submit and release requests while the view is replaced. After
// the replacement, the number of in-flight requests on a draining host only
// decreases.
TEST(Dispatcher, NoThreadUsesPreviousViewAfterReplacement) {
  routing::Dispatcher dispatcher("g", routing::DispatcherLimits{});
  dispatcher.ReplaceView(MakeView(1, 2, 64));
  std::atomic<bool> stopping{false};
  std::atomic<int> sent_after_drain{0};
  std::atomic<bool> is_drained{false};
  std::vector<std::thread> threads;
  for (int number = 0; number < 3; ++number) {
    threads.emplace_back([&] {
      while (!stopping.load()) {
        const bool was_drained = is_drained.load();
        const base::TimePoint now = base::RuntimeClock::now();
        routing::RequestTicket ticket{
            "s", "t", routing::Urgency::kNormal, now + seconds(10), {}};
        dispatcher.Submit(ticket, now, [&](routing::Decision decision) {
          auto* grant = std::get_if<routing::SlotGrant>(&decision);
          if (grant == nullptr) {
            return;
          }
          sent_after_drain +=
              was_drained && grant->target->GetHost() == "h0" ? 1 : 0;
          dispatcher.Release(*grant, milliseconds(1), now);
        });
      }
    });
  }
  routing::RoutingView view = MakeView(2, 2, 64);
  view.hosts["h0"].state = records::HostState::kDraining;
  dispatcher.ReplaceView(view);
  is_drained.store(true);
  while (!dispatcher.CountInFlightOnNonServingHosts().empty()) {
    std::this_thread::yield();
  }
  for (int check = 0; check < 1'000; ++check) {
    CHECK_TRUE(dispatcher.CountInFlightOnNonServingHosts().empty());
  }
  stopping.store(true);
  for (std::thread& thread : threads) {
    thread.join();
  }
  LONGS_EQUAL(0, sent_after_drain.load());
}
