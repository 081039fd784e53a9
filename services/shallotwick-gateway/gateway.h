#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/periodic_task.h"
#include "base/settings.h"
#include "claim_store.h"
#include "control/link_thread.h"
#include "control/store_reachability.h"
#include "gateway_metrics.h"
#include "http/client.h"
#include "http/server.h"
#include "membership.h"
#include "peer_gossip.h"
#include "request_flow.h"
#include "routing/dispatcher.h"
#include "routing/retry_budget.h"
#include "slot_lending.h"
#include "storage/http_platform.h"
#include "view_tracker.h"

namespace shallotwick::gateway {

std::vector<base::SettingDeclaration> GetSettings();

// One gateway process: accepts callers' requests and routes them to targets.
class Gateway {
 public:
  explicit Gateway(const base::Settings& settings);
  ~Gateway();

  // Refuses new requests, waits for those in flight to complete, and removes
  // the gateway's membership row.
  void Stop();

 private:
  void HandleRequest(http::Request request, http::Respond respond);
  bool HandleGatewayPath(const http::Request& request,
                         const http::Respond& respond);
  void HandleOutcomeQuery(const http::Request& request, http::Respond respond);
  void HandleCall(const link::Call& call, const link::OnReply& on_reply);
  link::Reply HandleViewPush(const link::Call& call);
  void RenewForPeer(const link::Call& call, const link::OnReply& on_reply);
  link::Reply HandleSlotDemand(const link::Call& call);
  link::Reply HandleSlotAllowances(const link::Call& call);
  records::MemberRecord DescribeMember() const;
  bool IsReady() const;
  void WaitForRequestsInFlight();

  std::string m_name;
  std::string m_incarnation;
  std::string m_data_centre;
  std::string m_link_address;
  std::string m_http_address;
  std::chrono::milliseconds m_membership_limit;
  std::chrono::milliseconds m_stop_limit;
  std::chrono::milliseconds m_stop_delay;
  GatewayMetrics m_metrics;
  storage::HttpPlatform m_platform;
  storage::HttpPlatform m_claim_platform;
  control::StoreReachability m_store_reachability;
  routing::Dispatcher m_dispatcher;
  routing::RetryBudget m_retry_budget;
  ViewTracker m_views;
  // Set when all components that handle calls from peers have been created.
  std::atomic<bool> m_accepts_calls{false};
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_refuses_new{false};
  std::atomic<bool> m_was_ready{false};
  std::atomic<bool> m_reported_unidentified_view{false};
  std::unique_ptr<ClaimStore> m_claims;
  std::vector<std::unique_ptr<http::Client>> m_clients;
  std::unique_ptr<control::LinkThread> m_links;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<PeerGossip> m_gossip;
  std::unique_ptr<SlotLending> m_lending;
  std::unique_ptr<base::PeriodicTask> m_dispatcher_task;
};

}  // namespace shallotwick::gateway
