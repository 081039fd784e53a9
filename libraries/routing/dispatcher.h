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

// A slot of a target, held for one request. Must be released once.
struct SlotGrant {
  std::string service;
  std::string team;
  std::string address;
  std::shared_ptr<TargetState> target;
  // Counts the request against its team's quota, if it has one.
  std::shared_ptr<SlotCounter> quota;
};

using Decision = std::variant<SlotGrant, Reason>;
using OnDecision = std::function<void(Decision)>;

struct DispatcherLimits {
  // Requests that may wait, for each service and for each team of it.
  size_t queue_per_service = 512;
  size_t queue_per_team = 128;

  auto operator<=>(const DispatcherLimits&) const = default;
};

// Decides where each request of one gateway goes, and when. Takes the time
// passed in and does no I/O. A request that finds a free slot takes no lock;
// the others wait in a queue per service. Safe to use from several threads.
class Dispatcher {
 public:
  Dispatcher(std::string gateway, DispatcherLimits limits);

  // Puts a newer view in force. Returns whether it was newer. On return no
  // thread sends by the former view any more.
  bool ReplaceView(RoutingView view);
  RoutingView GetView() const;
  uint64_t GetViewVersion() const;
  std::optional<ServiceRoute> FindService(const std::string& name) const;
  std::map<std::string, int> CountInFlightOnOthers() const;

  // What the gateways share: slots of each host and quotas of each team.
  std::map<std::string, int> GetSlots() const;
  std::map<std::string, MemberRoute> GetMembers() const;
  // Slots used, allowed and wanted of what is shared; of the hosts only those
  // that serve.
  std::map<std::string, SlotReport> CollectSlotReports() const;
  // Changes how many slots of a resource this gateway may use at once.
  void SetAllowance(const std::string& resource, int allowance,
                    base::TimePoint now);

  // Calls `on_decision` once: at once, or from a later call of another method.
  void Submit(const RequestTicket& ticket, base::TimePoint now,
              OnDecision on_decision);
  // Ends a request that took `duration` on its target.
  void Release(const SlotGrant& grant, base::Duration duration,
               base::TimePoint now);
  // Refuses the waiting requests whose deadline is over, and sends those that
  // slots are free for by now.
  void Advance(base::TimePoint now);
  // Refuses all that wait, and all that come.
  void Stop();

  size_t CountWaiting() const;

 private:
  struct ServiceState {
    std::mutex mutex;
    std::atomic<size_t> waiting{0};
    // Mean time of a request on a target, in nanoseconds; 0 if not known.
    std::atomic<int64_t> mean_duration{0};
    struct Waiting;
    WaitingQueue<std::shared_ptr<Waiting>> queue;
  };

  std::shared_ptr<ServiceState> GetService(const std::string& name);
  std::vector<std::shared_ptr<ServiceState>> CopyServices() const;

  // Why a request that may go can't go yet.
  enum class Hold { kNoSlot, kNoQuota };
  using Attempt = std::variant<SlotGrant, Reason, Hold>;

  Attempt TryGrant(const RequestTicket& ticket, base::TimePoint now);
  size_t CountWaitingOf(const std::string& team) const;
  static const Target* TryAcquireTarget(const ServiceTargets& service,
                                        const RequestTicket& ticket,
                                        base::TimePoint now);
  // Puts the request into the queue, or says why it can't wait there; leaves
  // `on_decision` alone then.
  std::optional<Reason> Enqueue(ServiceState* service,
                                const RequestTicket& ticket,
                                base::TimePoint now, OnDecision* on_decision);
  // Whether the request would wait past its deadline.
  bool IsUnreachable(ServiceState* service, const RequestTicket& ticket,
                     base::TimePoint now) const;
  void GrantWaiting(ServiceState* service, base::TimePoint now);

  std::string m_gateway;
  DispatcherLimits m_limits;
  base::RcuCell<RoutingTable> m_table;
  std::mutex m_view_mutex;
  std::atomic<bool> m_stopped{false};
  mutable std::mutex m_names_mutex;
  std::map<std::string, std::shared_ptr<ServiceState>> m_services;
};

}  // namespace shallotwick::routing
