#include "sharing_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "routing/slot_owner.h"
#include "routing/slot_shares.h"

namespace shallotwick::bench {
namespace {

constexpr int kServices = 5;
constexpr int kExecutors = 10;
constexpr int kSlots = 8;
constexpr int kGateways = 8;
constexpr double kMeanServiceMilliseconds = 50;
// Part of the slots that the mean demand uses.
constexpr double kMeanUse = 0.3;
constexpr double kBurstFactor = 5;
constexpr double kQuietFactor = 0.05;
constexpr int kTurnMilliseconds = 4'000;
constexpr int kRunMilliseconds = kTurnMilliseconds * kServices;
constexpr int kLendingPeriodMilliseconds = 100;
constexpr int kDeadlineMilliseconds = 2'000;
// The balancer's split of the callers' connections is not even.
constexpr double kGatewayParts[kGateways] = {0.25, 0.20, 0.15, 0.10,
                                             0.10, 0.10, 0.05, 0.05};

enum class Policy { kStaticShares, kNoShares, kLentShares };

struct Running {
  int gateway = 0;
  int ends_at = 0;
};

struct Executor {
  std::string name;
  std::vector<Running> running;
  int in_use[kGateways] = {};
  int allowance[kGateways] = {};
  std::unique_ptr<routing::SlotOwner> owner;
};

struct Counts {
  double sends = 0;
  double refused_by_target = 0;
  double finished = 0;
  double late = 0;
  double busy_milliseconds = 0;
  double queued_milliseconds = 0;
  std::vector<double> waits;
};

// One service's executors and queues, stepped by the millisecond.
class Service {
 public:
  Service(int number, Policy policy) : m_policy(policy), m_random(number) {
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      m_members.push_back("gateway-" + std::to_string(gateway));
    }
    for (int executor = 0; executor < kExecutors; ++executor) {
      const std::string name =
          "h" + std::to_string(number) + "-" + std::to_string(executor);
      Executor state;
      state.name = name;
      for (int gateway = 0; gateway < kGateways; ++gateway) {
        state.allowance[gateway] =
            policy == Policy::kNoShares
                ? kSlots
                : routing::ComputeShare(
                      name, kSlots, m_members,
                      m_members[static_cast<size_t>(gateway)]);
      }
      state.owner = std::make_unique<routing::SlotOwner>(
          name, kSlots, m_members, routing::SlotOwnerLimits{});
      m_executors.push_back(std::move(state));
    }
  }

  void Step(int now, double arrivals_a_millisecond, Counts* counts) {
    EndRunning(now, counts);
    Arrive(now, arrivals_a_millisecond);
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      DropLate(gateway, now, counts);
      Start(gateway, now, counts);
    }
    if (m_policy == Policy::kLentShares &&
        now % kLendingPeriodMilliseconds == 0) {
      Lend(now);
    }
    Count(counts);
  }

 private:
  static base::TimePoint At(int now) {
    return base::TimePoint(std::chrono::hours(1) +
                           std::chrono::milliseconds(now));
  }

  void EndRunning(int now, Counts* counts) {
    for (Executor& executor : m_executors) {
      std::erase_if(executor.running, [&](const Running& running) {
        if (running.ends_at > now) {
          return false;
        }
        --executor.in_use[running.gateway];
        counts->finished += 1;
        return true;
      });
    }
  }

  void Arrive(int now, double arrivals_a_millisecond) {
    std::poisson_distribution<int> arrivals(arrivals_a_millisecond);
    std::discrete_distribution<int> gateways(std::begin(kGatewayParts),
                                             std::end(kGatewayParts));
    for (int count = arrivals(m_random); count > 0; --count) {
      m_queues[gateways(m_random)].push_back(now);
    }
  }

  void DropLate(int gateway, int now, Counts* counts) {
    auto& queue = m_queues[gateway];
    while (!queue.empty() && now - queue.front() > kDeadlineMilliseconds) {
      queue.pop_front();
      counts->late += 1;
    }
  }

  void Start(int gateway, int now, Counts* counts) {
    auto& queue = m_queues[gateway];
    std::exponential_distribution<double> work(1 / kMeanServiceMilliseconds);
    // A refusal costs a round trip: a gateway tries each target once a step.
    std::vector<bool> refused(m_executors.size());
    while (!queue.empty()) {
      int best = -1;
      for (int number = 0; number < kExecutors; ++number) {
        const Executor& executor = m_executors[static_cast<size_t>(number)];
        const bool may_use =
            !refused[static_cast<size_t>(number)] &&
            executor.in_use[gateway] < executor.allowance[gateway];
        if (may_use &&
            (best < 0 ||
             executor.in_use[gateway] <
                 m_executors[static_cast<size_t>(best)].in_use[gateway])) {
          best = number;
        }
      }
      if (best < 0) {
        return;
      }
      Executor& executor = m_executors[static_cast<size_t>(best)];
      counts->sends += 1;
      if (executor.running.size() >= kSlots) {
        counts->refused_by_target += 1;
        refused[static_cast<size_t>(best)] = true;
        continue;
      }
      counts->waits.push_back(now - queue.front());
      queue.pop_front();
      ++executor.in_use[gateway];
      const int ends =
          now + std::max(1, static_cast<int>(std::lround(work(m_random))));
      executor.running.push_back({gateway, ends});
    }
  }

  // What a gateway wants of each executor now.
  std::map<std::string, int> SpreadWantsOf(int gateway) const {
    std::map<std::string, int> in_use;
    int wanted = static_cast<int>(m_queues[gateway].size());
    for (const Executor& executor : m_executors) {
      in_use[executor.name] = executor.in_use[gateway];
      wanted += executor.in_use[gateway];
    }
    return routing::SpreadDemand(wanted, in_use,
                                 m_members[static_cast<size_t>(gateway)]);
  }

  // One round of the protocol between the owners and the gateways.
  void Lend(int now) {
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      const std::string& member = m_members[static_cast<size_t>(gateway)];
      const auto wants = SpreadWantsOf(gateway);
      for (Executor& executor : m_executors) {
        const int wanted = wants.at(executor.name);
        if (wanted > executor.allowance[gateway]) {
          executor.owner->RecordDemand(member, wanted, At(now));
        }
      }
    }
    for (Executor& executor : m_executors) {
      if (!executor.owner->NeedsRebalancing(At(now))) {
        continue;
      }
      for (int gateway = 0; gateway < kGateways; ++gateway) {
        AllowAndReport(&executor, gateway, now);
      }
      // What the answers have freed is given at once.
      for (int gateway = 0; gateway < kGateways; ++gateway) {
        const auto growing = executor.owner->FindGrowing(At(now));
        const std::string& member = m_members[static_cast<size_t>(gateway)];
        if (std::find(growing.begin(), growing.end(), member) !=
            growing.end()) {
          AllowAndReport(&executor, gateway, now);
        }
      }
    }
  }

  void AllowAndReport(Executor* executor, int gateway, int now) {
    const std::string& member = m_members[static_cast<size_t>(gateway)];
    executor->allowance[gateway] =
        executor->owner->GrantAllowance(member, At(now));
    executor->owner->ProcessSlotReport(
        member,
        {executor->in_use[gateway], executor->allowance[gateway],
         SpreadWantsOf(gateway).at(executor->name)},
        At(now));
  }

  // Slots in use over the time in which anything is queued anywhere.
  void Count(Counts* counts) {
    size_t queued = 0;
    for (const auto& queue : m_queues) {
      queued += queue.size();
    }
    if (queued == 0) {
      return;
    }
    counts->queued_milliseconds += kExecutors * kSlots;
    for (const Executor& executor : m_executors) {
      counts->busy_milliseconds += static_cast<double>(executor.running.size());
    }
  }

  Policy m_policy;
  std::mt19937_64 m_random;
  std::vector<std::string> m_members;
  std::vector<Executor> m_executors;
  std::deque<int> m_queues[kGateways];
};

void RunPolicy(BenchReport* report, const std::string& name, Policy policy,
               double factor) {
  std::vector<std::unique_ptr<Service>> services;
  for (int number = 0; number < kServices; ++number) {
    services.push_back(std::make_unique<Service>(number + 1, policy));
  }
  const double mean = kMeanUse * kExecutors * kSlots / kMeanServiceMilliseconds;
  Counts counts;
  for (int now = 0; now < kRunMilliseconds; ++now) {
    const int turn = now / kTurnMilliseconds;
    for (int number = 0; number < kServices; ++number) {
      const double demand =
          number == turn ? mean * factor : mean * kQuietFactor;
      services[static_cast<size_t>(number)]->Step(now, demand, &counts);
    }
  }
  std::sort(counts.waits.begin(), counts.waits.end());
  const auto add = [&](const std::string& figure, double value,
                       const std::string& unit) {
    report->Add("sharing", name, factor, figure, value, unit);
  };
  add("finished", counts.finished * 1e3 / kRunMilliseconds, "1/s");
  add("slots used while work is queued",
      counts.queued_milliseconds == 0
          ? 0
          : 100 * counts.busy_milliseconds / counts.queued_milliseconds,
      "%");
  add("sends refused by a target",
      100 * counts.refused_by_target / std::max(1.0, counts.sends), "%");
  add("dropped at the deadline", counts.late, "requests");
  add("wait, p50", counts.waits[counts.waits.size() / 2], "ms");
  add("wait, p99", counts.waits[counts.waits.size() * 99 / 100], "ms");
}

}  // namespace

void RunSharingBench(BenchReport* report) {
  for (const double factor : {1.0, 3.0, kBurstFactor}) {
    RunPolicy(report, "static", Policy::kStaticShares, factor);
    RunPolicy(report, "none", Policy::kNoShares, factor);
    RunPolicy(report, "lent", Policy::kLentShares, factor);
  }
}

}  // namespace shallotwick::bench
