#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claim_store.h"
#include "gateway_metrics.h"
#include "http/client.h"
#include "http/server.h"
#include "routing/answer_decision.h"
#include "routing/claim_decision.h"
#include "routing/dispatcher.h"
#include "routing/retry_budget.h"
#include "view_tracker.h"

namespace shallotwick::gateway {

inline constexpr char kTeamHeader[] = "Shallotwick-Team";
inline constexpr char kUrgencyHeader[] = "Shallotwick-Urgency";
inline constexpr char kDeadlineHeader[] = "Shallotwick-Deadline-Ms";
inline constexpr char kOutcomeHeader[] = "Shallotwick-Outcome";
inline constexpr char kRepeatHeader[] = "Shallotwick-Repeat";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

// State shared by all requests of a gateway.
struct RequestContext {
  std::string gateway;
  routing::Dispatcher& dispatcher;
  ViewTracker& views;
  ClaimStore& claims;
  GatewayMetrics& metrics;
  routing::RetryBudget& retry_budget;
  // All requests to one target use the same client, which bounds the number of
  // connections to it.
  std::vector<std::unique_ptr<http::Client>>& clients;
  // Set during shutdown, when new requests start to be refused.
  const std::atomic<bool>& refuses_new;
};

// Processes one caller's request from its arrival to its response. Callbacks
// run on different threads, but never concurrently.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  static void Start(const RequestContext& context, http::Request request,
                    http::Respond respond);

 private:
  RequestFlow(const RequestContext& context, http::Request request,
              http::Respond respond);

  void Begin();
  // Parses the service, team, urgency, deadline and idempotency key of the
  // request. Returns the reason for a refusal if one of them is invalid.
  std::optional<routing::Reason> ReadRequest();
  std::optional<routing::Reason> ReadDeadline();
  void AcquireClaim();
  void OnClaimResult(const ClaimResult& result);
  void RespondFromClaim(const records::ClaimRecord& record);
  static http::Response MakeRepeatedResponse(
      const records::ClaimRecord& record);
  void Dispatch();
  void Send(routing::SlotGrant grant);
  http::TransferOptions MakeTransferOptions(
      const routing::SlotGrant& grant) const;
  void OnSent(const routing::SlotGrant& grant, base::TimePoint sent_at,
              http::TransferResult result);
  void UpdateTargetState(const routing::SlotGrant& grant,
                         const routing::SendResult& report);
  void Retry(routing::Reason reason);
  void Deliver(http::Response response);
  void Refuse(routing::Reason reason);
  // Stores the outcome of a claimed request, then responds to the caller.
  void RecordAndRespond(records::ClaimState state, http::Response response,
                        routing::RequestOutcome outcome);
  void Respond(http::Response response, routing::RequestOutcome outcome);

  RequestContext m_context;
  http::Request m_request;
  http::Respond m_respond;
  base::TimePoint m_arrived_at;
  routing::RequestTicket m_ticket;
  routing::ServiceRoute m_service;
  // The path and query sent to the target.
  std::string m_target_path;
  bool m_idempotent = false;
  bool m_may_have_run = false;
  bool m_sent = false;
  std::string m_claim_key;
  records::ClaimRecord m_claim;
  bool m_holds_claim = false;
};

}  // namespace shallotwick::gateway
