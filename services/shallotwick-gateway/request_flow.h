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
#include "view_keeper.h"

namespace shallotwick::gateway {

inline constexpr char kTeamHeader[] = "Shallotwick-Team";
inline constexpr char kUrgencyHeader[] = "Shallotwick-Urgency";
inline constexpr char kDeadlineHeader[] = "Shallotwick-Deadline-Ms";
inline constexpr char kOutcomeHeader[] = "Shallotwick-Outcome";
inline constexpr char kRepeatHeader[] = "Shallotwick-Repeat";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

// What all requests of a gateway share.
struct RequestContext {
  std::string gateway;
  routing::Dispatcher& dispatcher;
  ViewKeeper& views;
  ClaimStore& claims;
  GatewayMetrics& metrics;
  routing::RetryBudget& retry_budget;
  // A target's requests all go through the same client, so that its
  // connections are bounded.
  std::vector<std::unique_ptr<http::Client>>& clients;
  // Set when a stop has got so far that new requests are refused.
  const std::atomic<bool>& refuses_new;
};

// One caller's request, from its arrival to its answer. Goes from thread to
// thread with its callbacks; only one of them runs at a time.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  static void Start(const RequestContext& context, http::Request request,
                    http::Respond respond);

 private:
  RequestFlow(const RequestContext& context, http::Request request,
              http::Respond respond);

  void Begin();
  // Reads the request's own words on service, team, urgency and deadline.
  std::optional<routing::Reason> ReadRequest();
  std::optional<routing::Reason> ReadDeadline();
  void AcquireClaim();
  void OnClaimResult(const ClaimResult& result);
  void AnswerFromClaim(const records::ClaimRecord& record);
  static http::Response MakeKeptResponse(const records::ClaimRecord& record);
  void Dispatch();
  void Send(routing::SlotGrant grant);
  http::TransferOptions MakeTransferOptions(
      const routing::SlotGrant& grant) const;
  void OnSent(const routing::SlotGrant& grant, base::TimePoint sent_at,
              http::TransferResult result);
  void NoteTarget(const routing::SlotGrant& grant,
                  const routing::SendReport& report);
  void SendAgain(routing::Reason reason);
  void Deliver(http::Response response);
  void Refuse(routing::Reason reason);
  // Keeps the end of a claimed request, then answers the caller.
  void RecordAndRespond(records::ClaimState state, http::Response response,
                        routing::RequestOutcome outcome);
  void Respond(http::Response response, routing::RequestOutcome outcome);

  RequestContext m_context;
  http::Request m_request;
  http::Respond m_respond;
  base::TimePoint m_arrived_at;
  routing::RequestTicket m_ticket;
  routing::ServiceRoute m_service;
  // The path and query that the target sees.
  std::string m_target_path;
  bool m_idempotent = false;
  bool m_may_have_run = false;
  bool m_sent = false;
  std::string m_claim_key;
  records::ClaimRecord m_claim;
  bool m_holds_claim = false;
};

}  // namespace shallotwick::gateway
