#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/rcu_cell.h"
#include "routing/reason.h"
#include "routing/request_ticket.h"
#include "routing/routing_table.h"
#include "routing/slot_owner.h"
#include "routing/waiting_queue.h"

namespace shallotwick::routing {

// A slot of a target, reserved for one request. Must be released exactly once.
struct SlotGrant {
  std::string service;
  std::string team;
  std::string address;
  std::shared_ptr<TargetState> target;
  // Counts the request against its team's quota; null if the team has no quota.
  std::shared_ptr<SlotCounter> quota;
};

using Decision = std::variant<SlotGrant, Reason>;
using OnDecision = std::function<void(Decision)>;

struct DispatcherLimits {
  // Maximum numbers of waiting requests for each service, and for each team
  // within a service.
  size_t queue_per_service = 512;
  size_t queue_per_team = 128;

  auto operator<=>(const DispatcherLimits&) const = default;
};

// Decides when and to which target each request of one gateway is sent. Uses
// the time passed to it and does no I/O. A request that finds a free slot takes
// no lock; the others wait in a queue for each service. Safe to use from
// several threads.
class Dispatcher {
 public:
  Dispatcher(std::string gateway, DispatcherLimits limits);

  // Activates a newer view. Returns whether `view` was newer than the current
  // one. After the return no thread sends requests by the previous view.
  bool ReplaceView(RoutingView view);
  // Replaces the current view with an empty one of version 0.
  void DiscardView();
  RoutingView GetView() const;
  uint64_t GetViewVersion() const;
  std::optional<ServiceRoute> FindService(const std::string& name) const;
  std::map<std::string, int> CountInFlightOnNonServingHosts() const;

  // Returns the capacities that the gateways share: the slots of each host and
  // the quota of each team.
  std::map<std::string, int> GetSlots() const;
  std::map<std::string, MemberRoute> GetMembers() const;
  // Returns the used, allowed and wanted slots of the shared resources; of the
  // hosts, only serving ones are included.
  std::map<std::string, SlotReport> CollectSlotReports() const;
  // Sets how many slots of a resource this gateway may use at the same time.
  void SetAllowance(const std::string& resource, int allowance,
                    base::TimePoint now);

  // Calls `on_decision` exactly once, either immediately or from a later call
  // of another method.
  void Submit(const RequestTicket& ticket, base::TimePoint now,
              OnDecision on_decision);
  // Releases the slot of a request that spent `duration` on its target.
  void Release(const SlotGrant& grant, base::Duration duration,
               base::TimePoint now);
  // Refuses the waiting requests whose deadline has passed, and grants slots
  // that have become free to the others.
  void Advance(base::TimePoint now);
  // Refuses all waiting and all future requests.
  void Stop();

  size_t CountWaiting() const;

 private:
  struct ServiceState {
    std::mutex mutex;
    std::atomic<size_t> waiting{0};
    // Mean time of a request on a target, in nanoseconds; 0 if unknown.
    std::atomic<int64_t> mean_duration{0};
    struct Waiting;
    WaitingQueue<std::shared_ptr<Waiting>> queue;
  };

  std::shared_ptr<ServiceState> GetService(const std::string& name);
  std::vector<std::shared_ptr<ServiceState>> CopyServices() const;

  // Why a request that has a possible target has to wait.
  enum class BlockReason { kNoSlot, kNoQuota };
  using GrantAttempt = std::variant<SlotGrant, Reason, BlockReason>;

  GrantAttempt TryGrant(const RequestTicket& ticket, base::TimePoint now);
  size_t CountWaitingOfTeam(const std::string& team) const;
  static const Target* TryAcquireTarget(const ServiceTargets& service,
                                        const RequestTicket& ticket,
                                        base::TimePoint now);
  // Adds the request to the queue, or returns the reason for which it can't
  // wait there; `on_decision` is left unchanged in that case.
  std::optional<Reason> Enqueue(ServiceState* service,
                                const RequestTicket& ticket,
                                base::TimePoint now, OnDecision* on_decision);
  // Returns whether the request is expected to miss its deadline if it waits.
  bool WouldMissDeadline(ServiceState* service, const RequestTicket& ticket,
                         base::TimePoint now) const;
  void GrantWaitingRequests(ServiceState* service, base::TimePoint now);

  std::string m_gateway;
  DispatcherLimits m_limits;
  base::RcuCell<RoutingTable> m_table;
  std::mutex m_view_mutex;
  std::atomic<bool> m_stopped{false};
  mutable std::mutex m_names_mutex;
  std::map<std::string, std::shared_ptr<ServiceState>> m_services;
};

}  // namespace shallotwick::routing
