#include "gateway_metrics.h"

namespace shallotwick::gateway {

GatewayMetrics::GatewayMetrics()
    : m_sends(&m_registry.GetCounter("shallotwick_gateway_sends_total")),
      m_duration(
          &m_registry.GetSummary("shallotwick_gateway_request_seconds")) {
  for (routing::Reason reason : routing::kAllReasons) {
    const base::MetricLabels labels = {
        {"reason", std::string(routing::NameOf(reason))}};
    m_refusals[reason] =
        &m_registry.GetCounter("shallotwick_gateway_refusals_total", labels);
    m_retries[reason] =
        &m_registry.GetCounter("shallotwick_gateway_retries_total", labels);
  }
  for (routing::RequestOutcome outcome :
       {routing::RequestOutcome::kComplete, routing::RequestOutcome::kNotRun,
        routing::RequestOutcome::kUnknown}) {
    m_responses[outcome] =
        &m_registry.GetCounter("shallotwick_gateway_answers_total",
                               {{"outcome", routing::NameOf(outcome)}});
  }
}

void GatewayMetrics::CountRefusal(routing::Reason reason) {
  m_refusals.at(reason)->Increment();
}

void GatewayMetrics::CountRetry(routing::Reason reason) {
  m_retries.at(reason)->Increment();
}

void GatewayMetrics::CountResponse(routing::RequestOutcome outcome) {
  m_responses.at(outcome)->Increment();
}

void GatewayMetrics::CountSend() { m_sends->Increment(); }

void GatewayMetrics::RecordDuration(double seconds) {
  m_duration->Record(seconds);
}

}  // namespace shallotwick::gateway
