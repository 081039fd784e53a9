#pragma once

#include <map>
#include <string>

#include "base/metrics.h"
#include "routing/answer_decision.h"
#include "routing/reason.h"

namespace shallotwick::gateway {

// The gateway's counters. The registry is searched only at construction.
class GatewayMetrics {
 public:
  GatewayMetrics();

  void CountRefusal(routing::Reason reason);
  void CountRetry(routing::Reason reason);
  void CountResponse(routing::RequestOutcome outcome);
  void CountSend();
  void RecordDuration(double seconds);

  base::MetricRegistry& GetRegistry() { return m_registry; }

 private:
  base::MetricRegistry m_registry;
  std::map<routing::Reason, base::Counter*> m_refusals;
  std::map<routing::Reason, base::Counter*> m_retries;
  std::map<routing::RequestOutcome, base::Counter*> m_responses;
  base::Counter* m_sends;
  base::DurationSummary* m_duration;
};

}  // namespace shallotwick::gateway
