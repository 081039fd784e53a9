#include "routing/dispatcher.h"

#include <algorithm>
#include <utility>

#include "routing/slot_shares.h"

namespace shallotwick::routing {
namespace {

// Weight of the newest duration in the running mean: one eighth.
constexpr int kMeanShift = 3;
constexpr double kWeightWithoutQuota = 1.0;

// Returns the index at which the search for a target starts. It differs from
// call to call to distribute requests over the targets.
size_t NextStartIndex() {
  thread_local size_t start = 0;
  return start++;
}

double GetWeight(const RoutingTable& table, const std::string& team) {
  const auto quota = table.view.quotas.find(team);
  return quota == table.view.quotas.end()
             ? kWeightWithoutQuota
             : std::max(1.0, static_cast<double>(quota->second));
}

// Adds this gateway's used and wanted slots on the targets of a service.
void AddTargetReports(const ServiceTargets& service, size_t waiting,
                      const std::string& gateway,
                      std::map<std::string, SlotReport>* reports) {
  std::map<std::string, int> in_use;
  int wanted = static_cast<int>(waiting);
  for (const Target& target : service.targets) {
    in_use[target.host] = target.state->GetInUse();
    wanted += in_use[target.host];
  }
  const auto demand_by_host = SpreadDemand(wanted, in_use, gateway);
  for (const Target& target : service.targets) {
    SlotReport& report = (*reports)[target.host];
    report.in_use = in_use[target.host];
    report.allowance = target.state->GetAllowance();
    report.wanted = std::max(report.wanted, demand_by_host.at(target.host));
  }
}

}  // namespace

struct Dispatcher::ServiceState::Waiting {
  RequestTicket ticket;
  OnDecision on_decision;
};

Dispatcher::Dispatcher(std::string gateway, DispatcherLimits limits)
    : m_gateway(std::move(gateway)),
      m_limits(limits),
      m_table(std::make_unique<RoutingTable>()) {}

bool Dispatcher::ReplaceView(RoutingView view) {
  std::lock_guard<std::mutex> lock(m_view_mutex);
  std::unique_ptr<const RoutingTable> table =
      m_table.Read([&](const RoutingTable& previous) {
        return view.version <= previous.view.version
                   ? nullptr
                   : BuildRoutingTable(view, &previous, m_gateway);
      });
  if (!table) {
    return false;
  }
  m_table.Replace(std::move(table));
  return true;
}

void Dispatcher::DiscardView() {
  std::lock_guard<std::mutex> lock(m_view_mutex);
  m_table.Replace(BuildRoutingTable(RoutingView{}, nullptr, m_gateway));
}

RoutingView Dispatcher::GetView() const {
  return m_table.Read([](const RoutingTable& table) { return table.view; });
}

uint64_t Dispatcher::GetViewVersion() const {
  return m_table.Read(
      [](const RoutingTable& table) { return table.view.version; });
}

std::optional<ServiceRoute> Dispatcher::FindService(
    const std::string& name) const {
  return m_table.Read([&name](const RoutingTable& table) {
    const auto found = table.view.services.find(name);
    return found == table.view.services.end()
               ? std::nullopt
               : std::optional<ServiceRoute>(found->second);
  });
}

std::map<std::string, int> Dispatcher::CountInFlightOnNonServingHosts() const {
  return m_table.Read([](const RoutingTable& table) {
    return routing::CountInFlightOnNonServingHosts(table);
  });
}

std::map<std::string, int> Dispatcher::GetSlots() const {
  return m_table.Read([](const RoutingTable& table) { return table.slots; });
}

std::map<std::string, MemberRoute> Dispatcher::GetMembers() const {
  return m_table.Read(
      [](const RoutingTable& table) { return table.view.members; });
}

std::map<std::string, SlotReport> Dispatcher::CollectSlotReports() const {
  std::map<std::string, size_t> waiting;
  {
    std::lock_guard<std::mutex> lock(m_names_mutex);
    for (const auto& [name, service] : m_services) {
      waiting[name] = service->waiting.load();
    }
  }
  std::map<std::string, SlotReport> reports;
  std::map<std::string, std::shared_ptr<SlotCounter>> teams;
  m_table.Read([&](const RoutingTable& table) {
    for (const auto& [name, service] : table.services) {
      AddTargetReports(service, waiting[name], m_gateway, &reports);
    }
    teams = table.teams;
  });
  for (const auto& [team, quota] : teams) {
    const int in_use = quota->GetInUse();
    reports[TeamResource(team)] =
        SlotReport{in_use, quota->GetAllowance(),
                   in_use + static_cast<int>(CountWaitingOfTeam(team))};
  }
  return reports;
}

size_t Dispatcher::CountWaitingOfTeam(const std::string& team) const {
  size_t waiting = 0;
  for (const auto& service : CopyServices()) {
    if (service->waiting.load() == 0) {
      continue;
    }
    std::lock_guard<std::mutex> lock(service->mutex);
    waiting += service->queue.GetTeamSize(team);
  }
  return waiting;
}

void Dispatcher::SetAllowance(const std::string& resource, int allowance,
                              base::TimePoint now) {
  m_table.Read([&](const RoutingTable& table) {
    const auto state = table.states.find(resource);
    if (state != table.states.end()) {
      state->second->SetAllowance(allowance);
    }
    for (const auto& [team, quota] : table.teams) {
      if (TeamResource(team) == resource) {
        quota->SetAllowance(allowance);
      }
    }
  });
  Advance(now);
}

std::shared_ptr<Dispatcher::ServiceState> Dispatcher::GetService(
    const std::string& name) {
  std::lock_guard<std::mutex> lock(m_names_mutex);
  auto& service = m_services[name];
  if (!service) {
    service = std::make_shared<ServiceState>();
  }
  return service;
}

const Target* Dispatcher::TryAcquireTarget(const ServiceTargets& service,
                                           const RequestTicket& ticket,
                                           base::TimePoint now) {
  const size_t count = service.targets.size();
  const size_t start = NextStartIndex();
  // Targets with a recent failure are a last resort.
  for (const bool use_avoided : {false, true}) {
    const Target* best = nullptr;
    for (size_t step = 0; step < count; ++step) {
      const Target& target = service.targets[(start + step) % count];
      const TargetState& state = *target.state;
      const bool is_candidate = !state.IsLeaving() &&
                                ticket.tried_hosts.count(target.host) == 0 &&
                                state.IsAvoided(now) == use_avoided &&
                                state.GetInUse() < state.GetAllowance();
      const bool is_better =
          best == nullptr || state.GetInUse() < best->state->GetInUse();
      if (is_candidate && is_better) {
        best = &target;
      }
    }
    if (best != nullptr && best->state->TryAcquire()) {
      return best;
    }
  }
  return nullptr;
}

Dispatcher::GrantAttempt Dispatcher::TryGrant(const RequestTicket& ticket,
                                              base::TimePoint now) {
  // Acquiring the slot within the read makes a change of the view wait for it:
  // the in-flight count after the change then includes every request that was
  // sent by the previous view.
  return m_table.Read([&](const RoutingTable& table) -> GrantAttempt {
    const auto service = table.services.find(ticket.service);
    if (service == table.services.end()) {
      return Reason::kUnknownService;
    }
    const auto& targets = service->second.targets;
    const bool has_target = std::any_of(
        targets.begin(), targets.end(), [&ticket](const Target& target) {
          return !target.state->IsLeaving() &&
                 ticket.tried_hosts.count(target.host) == 0;
        });
    if (!has_target) {
      return Reason::kNoTarget;
    }
    const auto team = table.teams.find(ticket.team);
    const std::shared_ptr<SlotCounter> quota =
        team == table.teams.end() ? nullptr : team->second;
    if (quota && !quota->TryAcquire()) {
      return BlockReason::kNoQuota;
    }
    const Target* target = TryAcquireTarget(service->second, ticket, now);
    if (target == nullptr) {
      if (quota) {
        quota->Release();
      }
      return BlockReason::kNoSlot;
    }
    return SlotGrant{ticket.service, ticket.team, target->address,
                     target->state, quota};
  });
}

bool Dispatcher::WouldMissDeadline(ServiceState* service,
                                   const RequestTicket& ticket,
                                   base::TimePoint now) const {
  const int64_t mean_duration_ns = service->mean_duration.load();
  const int slots = m_table.Read([&](const RoutingTable& table) {
    int sum = 0;
    const auto found = table.services.find(ticket.service);
    if (found != table.services.end()) {
      for (const Target& target : found->second.targets) {
        sum += target.state->GetAllowance();
      }
    }
    return sum;
  });
  if (mean_duration_ns == 0 || slots == 0) {
    return ticket.deadline <= now;
  }
  const auto ahead =
      static_cast<int64_t>(service->queue.CountAhead(ticket.urgency));
  const base::Duration wait(mean_duration_ns * (ahead + 1) / slots);
  return now + wait + base::Duration(mean_duration_ns) > ticket.deadline;
}

void Dispatcher::Submit(const RequestTicket& ticket, base::TimePoint now,
                        OnDecision on_decision) {
  if (m_stopped.load()) {
    on_decision(Reason::kStopping);
    return;
  }
  if (ticket.deadline <= now) {
    on_decision(Reason::kDeadlineExceeded);
    return;
  }
  const auto service = GetService(ticket.service);
  if (service->waiting.load() == 0) {
    auto attempt = TryGrant(ticket, now);
    if (auto* grant = std::get_if<SlotGrant>(&attempt)) {
      on_decision(std::move(*grant));
      return;
    }
    if (const auto* reason = std::get_if<Reason>(&attempt)) {
      on_decision(*reason);
      return;
    }
  }
  const std::optional<Reason> refusal =
      Enqueue(service.get(), ticket, now, &on_decision);
  if (refusal) {
    on_decision(*refusal);
    return;
  }
  // A slot may have become free between the first attempt and the insertion
  // into the queue.
  GrantWaitingRequests(service.get(), now);
}

std::optional<Reason> Dispatcher::Enqueue(ServiceState* service,
                                          const RequestTicket& ticket,
                                          base::TimePoint now,
                                          OnDecision* on_decision) {
  const double weight = m_table.Read([&ticket](const RoutingTable& table) {
    return GetWeight(table, ticket.team);
  });
  std::lock_guard<std::mutex> lock(service->mutex);
  if (m_stopped.load()) {
    return Reason::kStopping;
  }
  if (service->queue.GetSize() >= m_limits.queue_per_service) {
    return Reason::kQueueFull;
  }
  if (service->queue.GetTeamSize(ticket.team) >= m_limits.queue_per_team) {
    return Reason::kTeamQueueFull;
  }
  if (WouldMissDeadline(service, ticket, now)) {
    return Reason::kDeadlineUnreachable;
  }
  auto waiting = std::make_shared<ServiceState::Waiting>(
      ServiceState::Waiting{ticket, std::move(*on_decision)});
  service->queue.Push(ticket, weight, std::move(waiting));
  service->waiting.fetch_add(1);
  return std::nullopt;
}

void Dispatcher::Release(const SlotGrant& grant, base::Duration duration,
                         base::TimePoint now) {
  grant.target->Release();
  if (grant.quota) {
    grant.quota->Release();
  }
  const auto service = GetService(grant.service);
  const int64_t mean_duration_ns = service->mean_duration.load();
  const int64_t next =
      mean_duration_ns == 0
          ? duration.count()
          : mean_duration_ns +
                ((duration.count() - mean_duration_ns) >> kMeanShift);
  service->mean_duration.store(std::max<int64_t>(next, 1));
  if (service->waiting.load() > 0) {
    GrantWaitingRequests(service.get(), now);
  }
}

void Dispatcher::GrantWaitingRequests(ServiceState* service,
                                      base::TimePoint now) {
  struct Ready {
    OnDecision on_decision;
    Decision decision;
  };
  std::vector<Ready> ready;
  {
    std::lock_guard<std::mutex> lock(service->mutex);
    Decision decision = Reason::kStopping;
    const auto visit = [&](const std::shared_ptr<ServiceState::Waiting>& next) {
      GrantAttempt attempt = TryGrant(next->ticket, now);
      if (auto* grant = std::get_if<SlotGrant>(&attempt)) {
        decision = std::move(*grant);
        return QueueVisit::kPop;
      }
      if (const auto* reason = std::get_if<Reason>(&attempt)) {
        decision = *reason;
        return QueueVisit::kPop;
      }
      const bool can_other_team_proceed =
          std::get<BlockReason>(attempt) == BlockReason::kNoQuota ||
          !next->ticket.tried_hosts.empty();
      return can_other_team_proceed ? QueueVisit::kSkipTeam : QueueVisit::kStop;
    };
    while (auto next = service->queue.Pop(visit)) {
      service->waiting.fetch_sub(1);
      ready.push_back({std::move((*next)->on_decision),
                       std::exchange(decision, Reason::kStopping)});
    }
  }
  for (Ready& entry : ready) {
    entry.on_decision(std::move(entry.decision));
  }
}

std::vector<std::shared_ptr<Dispatcher::ServiceState>>
Dispatcher::CopyServices() const {
  std::lock_guard<std::mutex> lock(m_names_mutex);
  std::vector<std::shared_ptr<ServiceState>> services;
  for (const auto& [name, service] : m_services) {
    services.push_back(service);
  }
  return services;
}

void Dispatcher::Advance(base::TimePoint now) {
  for (const auto& service : CopyServices()) {
    if (service->waiting.load() == 0) {
      continue;
    }
    std::vector<std::shared_ptr<ServiceState::Waiting>> expired;
    {
      std::lock_guard<std::mutex> lock(service->mutex);
      expired = service->queue.PopExpired(now);
      service->waiting.fetch_sub(expired.size());
    }
    for (const auto& waiting : expired) {
      waiting->on_decision(Reason::kDeadlineExceeded);
    }
    GrantWaitingRequests(service.get(), now);
  }
}

void Dispatcher::Stop() {
  m_stopped.store(true);
  for (const auto& service : CopyServices()) {
    std::vector<std::shared_ptr<ServiceState::Waiting>> remaining;
    {
      std::lock_guard<std::mutex> lock(service->mutex);
      remaining = service->queue.PopAll();
      service->waiting.store(0);
    }
    for (const auto& waiting : remaining) {
      waiting->on_decision(Reason::kStopping);
    }
  }
}

size_t Dispatcher::CountWaiting() const {
  std::lock_guard<std::mutex> lock(m_names_mutex);
  size_t waiting = 0;
  for (const auto& [name, service] : m_services) {
    waiting += service->waiting.load();
  }
  return waiting;
}

}  // namespace shallotwick::routing
