#include "request_flow.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>

#include "base/log_catalogue.h"
#include "base/random_identifier.h"
#include "records/keys.h"

namespace shallotwick::gateway {
namespace {

constexpr char kServicePrefix[] = "/s/";
constexpr int kServiceUnavailableStatus = 503;
constexpr char kAnonymousTeam[] = "anonymous";
constexpr size_t kMaxIdempotencyKeyBytes = 255;
constexpr auto kConnectFailureCooldown = std::chrono::seconds(1);
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kMinFirstByteTimeout = std::chrono::milliseconds(100);

std::chrono::milliseconds ToMilliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// Returns a digest that identifies a request. A repeated idempotency key with a
// different digest was reused for another request.
std::string DigestRequest(const http::Request& request) {
  const std::string text =
      request.method + "\n" + request.target + "\n" + request.body;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

// Returns the path and query sent to the target: /rest?query for
// /s/SERVICE/rest?query.
std::string GetTargetPath(const std::string& target) {
  const size_t service_begin = target.find('/', 1);
  const size_t rest = target.find_first_of("/?", service_begin + 1);
  if (rest == std::string::npos) {
    return "/";
  }
  return target[rest] == '/' ? target.substr(rest) : "/" + target.substr(rest);
}

std::optional<routing::Urgency> ParseUrgency(const std::string& name) {
  if (name == "urgent") {
    return routing::Urgency::kUrgent;
  }
  if (name == "normal") {
    return routing::Urgency::kNormal;
  }
  if (name == "batch") {
    return routing::Urgency::kBatch;
  }
  return std::nullopt;
}

routing::SendResult MakeReport(const http::TransferResult& result) {
  routing::SendResult report;
  report.first_byte_timed_out = result.first_byte_timed_out;
  switch (result.outcome) {
    case http::TransferOutcome::kComplete:
      report.outcome = routing::RequestOutcome::kComplete;
      if (result.response.status == kServiceUnavailableStatus) {
        report.refusal =
            http::FindHeader(result.response.headers, routing::kRefusalHeader)
                .value_or("");
      }
      break;
    case http::TransferOutcome::kNotSent:
      report.outcome = routing::RequestOutcome::kNotRun;
      break;
    case http::TransferOutcome::kUnknown:
      report.outcome = routing::RequestOutcome::kUnknown;
      break;
  }
  return report;
}

std::string DescribeReason(routing::Reason reason) {
  return "The request was refused: " + std::string(routing::NameOf(reason)) +
         ". See docs/REFUSALS.md for what to do.";
}

}  // namespace

void RequestFlow::Start(const RequestContext& context, http::Request request,
                        http::Respond respond) {
  const std::shared_ptr<RequestFlow> flow(
      new RequestFlow(context, std::move(request), std::move(respond)));
  flow->Begin();
}

RequestFlow::RequestFlow(const RequestContext& context, http::Request request,
                         http::Respond respond)
    : m_context(context),
      m_request(std::move(request)),
      m_respond(std::move(respond)),
      m_arrived_at(base::RuntimeClock::now()) {}

void RequestFlow::Begin() {
  if (m_context.refuses_new.load()) {
    Refuse(routing::Reason::kStopping);
    return;
  }
  if (!m_context.views.IsReady(m_arrived_at)) {
    Refuse(routing::Reason::kNotReady);
    return;
  }
  if (const auto reason = ReadRequest()) {
    Refuse(*reason);
    return;
  }
  if (m_idempotent) {
    Dispatch();
    return;
  }
  AcquireClaim();
}

std::optional<routing::Reason> RequestFlow::ReadRequest() {
  const std::vector<std::string> path =
      http::SplitPath(http::GetPath(m_request.target));
  if (path.size() < 2 || m_request.target.rfind(kServicePrefix, 0) != 0) {
    return routing::Reason::kUnknownService;
  }
  const auto service = m_context.dispatcher.FindService(path[1]);
  if (!service) {
    return routing::Reason::kUnknownService;
  }
  m_service = *service;
  m_target_path = GetTargetPath(m_request.target);
  m_ticket.service = m_service.name;
  m_ticket.team =
      http::FindHeader(m_request.headers, kTeamHeader).value_or(kAnonymousTeam);
  const auto urgency = ParseUrgency(
      http::FindHeader(m_request.headers, kUrgencyHeader).value_or("normal"));
  if (!urgency) {
    return routing::Reason::kBadRequest;
  }
  m_ticket.urgency = *urgency;
  m_idempotent = m_service.IsIdempotent(m_request.method);
  if (const auto reason = ReadDeadline()) {
    return reason;
  }
  if (m_idempotent) {
    return std::nullopt;
  }
  const auto key =
      http::FindHeader(m_request.headers, kIdempotencyKeyHeader).value_or("");
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    return routing::Reason::kIdempotencyKeyMissing;
  }
  m_claim_key = records::ClaimKey(m_service.name, m_ticket.team, key);
  return std::nullopt;
}

std::optional<routing::Reason> RequestFlow::ReadDeadline() {
  int64_t milliseconds = m_service.deadline_milliseconds;
  if (const auto requested =
          http::FindHeader(m_request.headers, kDeadlineHeader)) {
    int64_t value = 0;
    const char* end = requested->data() + requested->size();
    const auto [rest, error] = std::from_chars(requested->data(), end, value);
    if (error != std::errc() || rest != end || value <= 0) {
      return routing::Reason::kBadRequest;
    }
    milliseconds = std::min(milliseconds, value);
  }
  m_ticket.deadline = m_arrived_at + std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

void RequestFlow::AcquireClaim() {
  m_claim.state = records::ClaimState::kClaimed;
  m_claim.attempt = base::MakeRandomIdentifier();
  m_claim.gateway = m_context.gateway;
  m_claim.request_digest = DigestRequest(m_request);
  m_claim.claimed_at_milliseconds = base::WallClockMilliseconds();
  m_context.claims.Acquire(
      m_claim_key, m_claim, m_ticket.deadline,
      [self = shared_from_this()](const ClaimResult& result) {
        self->OnClaimResult(result);
      });
}

void RequestFlow::OnClaimResult(const ClaimResult& result) {
  if (std::holds_alternative<ClaimUnavailable>(result)) {
    Refuse(routing::Reason::kClaimStoreUnavailable);
    return;
  }
  if (const auto* conflict = std::get_if<ClaimConflict>(&result)) {
    RespondFromClaim(conflict->record);
    return;
  }
  m_holds_claim = true;
  Dispatch();
}

void RequestFlow::RespondFromClaim(const records::ClaimRecord& record) {
  const routing::ClaimDecision decision = routing::DecideOnClaim(
      record, m_claim.request_digest, base::WallClockMilliseconds(),
      m_service.deadline_milliseconds);
  if (const auto* reason = std::get_if<routing::Reason>(&decision)) {
    // The earlier request with this key may be running or may have run.
    m_may_have_run = *reason != routing::Reason::kIdempotencyKeyReused;
    Refuse(*reason);
    return;
  }
  if (record.body_object.empty()) {
    Respond(MakeRepeatedResponse(record), routing::RequestOutcome::kComplete);
    return;
  }
  m_context.claims.Read(
      m_claim_key, [self = shared_from_this()](
                       const std::optional<records::ClaimRecord>& full_record,
                       bool available) {
        if (!available || !full_record) {
          self->m_may_have_run = true;
          self->Refuse(routing::Reason::kClaimStoreUnavailable);
          return;
        }
        self->Respond(MakeRepeatedResponse(*full_record),
                      routing::RequestOutcome::kComplete);
      });
}

http::Response RequestFlow::MakeRepeatedResponse(
    const records::ClaimRecord& record) {
  http::Response response{record.status, record.headers, record.body};
  response.headers.emplace_back(kRepeatHeader, "true");
  return response;
}

void RequestFlow::Dispatch() {
  m_context.dispatcher.Submit(
      m_ticket, base::RuntimeClock::now(),
      [self = shared_from_this()](routing::Decision decision) {
        if (const auto* reason = std::get_if<routing::Reason>(&decision)) {
          self->Refuse(*reason);
          return;
        }
        self->Send(std::get<routing::SlotGrant>(std::move(decision)));
      });
}

void RequestFlow::Send(routing::SlotGrant grant) {
  const base::TimePoint now = base::RuntimeClock::now();
  // The process may have been suspended since the slot was granted.
  if (now >= m_ticket.deadline || !m_context.views.IsReady(now)) {
    m_context.dispatcher.Release(grant, base::Duration::zero(), now);
    Refuse(now >= m_ticket.deadline ? routing::Reason::kDeadlineExceeded
                                    : routing::Reason::kNotReady);
    return;
  }
  http::Request request = m_request;
  request.target = m_target_path;
  m_context.metrics.CountSend();
  if (!m_sent) {
    m_context.retry_budget.RecordFirstSend();
    m_sent = true;
  }
  const size_t client_index =
      std::hash<std::string>()(grant.target->GetHost()) %
      m_context.clients.size();
  const std::string url = "http://" + grant.address + m_target_path;
  const http::TransferOptions options = MakeTransferOptions(grant);
  m_context.clients[client_index]->Send(
      url, std::move(request), options,
      [self = shared_from_this(), grant = std::move(grant),
       now](http::TransferResult result) {
        self->OnSent(grant, now, std::move(result));
      });
}

http::TransferOptions RequestFlow::MakeTransferOptions(
    const routing::SlotGrant& grant) const {
  const base::TimePoint now = base::RuntimeClock::now();
  http::TransferOptions options;
  options.total_timeout = std::max(ToMilliseconds(m_ticket.deadline - now),
                                   std::chrono::milliseconds(1));
  options.connect_timeout = std::min<std::chrono::milliseconds>(
      kConnectTimeout, options.total_timeout);
  options.send_once = !m_idempotent;
  // An idempotent request may be retried, so half of the time is left for a
  // second attempt.
  options.first_byte_timeout =
      m_idempotent ? std::max<std::chrono::milliseconds>(
                         options.total_timeout / 2, kMinFirstByteTimeout)
                   : options.total_timeout;
  options.oldest_connection =
      std::chrono::seconds(grant.target->GetSecondsSinceUnresponsive(now));
  return options;
}

void RequestFlow::OnSent(const routing::SlotGrant& grant,
                         base::TimePoint sent_at, http::TransferResult result) {
  const routing::SendResult report = MakeReport(result);
  UpdateTargetState(grant, report);
  const base::TimePoint now = base::RuntimeClock::now();
  m_context.dispatcher.Release(grant, now - sent_at, now);
  const routing::SendDecision next =
      routing::DecideAfterSend(report, m_idempotent);
  if (std::holds_alternative<routing::DeliverResponse>(next)) {
    Deliver(std::move(result.response));
    return;
  }
  if (const auto* give_up = std::get_if<routing::GiveUp>(&next)) {
    m_may_have_run = m_may_have_run || give_up->may_have_run;
    Refuse(give_up->reason);
    return;
  }
  const auto& retry = std::get<routing::RetrySend>(next);
  m_may_have_run = m_may_have_run || retry.may_have_run;
  m_ticket.tried_hosts.insert(grant.target->GetHost());
  Retry(retry.reason);
}

void RequestFlow::UpdateTargetState(const routing::SlotGrant& grant,
                                    const routing::SendResult& report) {
  const base::TimePoint now = base::RuntimeClock::now();
  if (report.outcome == routing::RequestOutcome::kNotRun) {
    grant.target->AvoidUntil(now + kConnectFailureCooldown);
  }
  if (report.refusal == routing::kRefusalLeaving) {
    grant.target->SetLeaving(true);
  }
  if (report.outcome == routing::RequestOutcome::kUnknown &&
      report.first_byte_timed_out) {
    grant.target->SetUnresponsiveAt(now);
    base::Log(base::events::kTargetUnresponsive,
              {{"host", grant.target->GetHost()}, {"service", grant.service}});
  }
}

void RequestFlow::Retry(routing::Reason reason) {
  if (base::RuntimeClock::now() >= m_ticket.deadline) {
    Refuse(routing::Reason::kDeadlineExceeded);
    return;
  }
  if (!m_context.retry_budget.TrySpend()) {
    Refuse(routing::Reason::kRetryBudgetSpent);
    return;
  }
  m_context.metrics.CountRetry(reason);
  Dispatch();
}

void RequestFlow::Deliver(http::Response response) {
  if (m_holds_claim) {
    RecordAndRespond(records::ClaimState::kFinished, std::move(response),
                     routing::RequestOutcome::kComplete);
    return;
  }
  Respond(std::move(response), routing::RequestOutcome::kComplete);
}

void RequestFlow::Refuse(routing::Reason reason) {
  m_context.metrics.CountRefusal(reason);
  http::Response response = http::MakeProblem(
      routing::StatusOf(reason), std::string(routing::NameOf(reason)),
      DescribeReason(reason));
  if (m_may_have_run) {
    base::Log(base::events::kRequestOutcomeUnknown,
              {{"service", m_ticket.service},
               {"team", m_ticket.team},
               {"reason", std::string(routing::NameOf(reason))}});
  }
  const auto outcome = m_may_have_run ? routing::RequestOutcome::kUnknown
                                      : routing::RequestOutcome::kNotRun;
  if (m_holds_claim && m_may_have_run) {
    RecordAndRespond(records::ClaimState::kUnknown, std::move(response),
                     outcome);
    return;
  }
  if (m_holds_claim) {
    m_context.claims.Release(m_claim_key, m_claim.attempt);
  }
  Respond(std::move(response), outcome);
}

void RequestFlow::RecordAndRespond(records::ClaimState state,
                                   http::Response response,
                                   routing::RequestOutcome outcome) {
  records::ClaimRecord record = m_claim;
  record.state = state;
  record.status = response.status;
  record.headers = response.headers;
  record.body = response.body;
  m_context.claims.Record(
      m_claim_key, std::move(record),
      [self = shared_from_this(), response = std::move(response), outcome] {
        self->Respond(response, outcome);
      });
}

void RequestFlow::Respond(http::Response response,
                          routing::RequestOutcome outcome) {
  m_context.metrics.CountResponse(outcome);
  m_context.metrics.RecordDuration(
      std::chrono::duration<double>(base::RuntimeClock::now() - m_arrived_at)
          .count());
  std::erase_if(response.headers, [](const http::Header& header) {
    return http::IsSameHeaderName(header.first, kOutcomeHeader);
  });
  response.headers.emplace_back(kOutcomeHeader, routing::NameOf(outcome));
  m_respond(std::move(response));
}

}  // namespace shallotwick::gateway
