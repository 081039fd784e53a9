#pragma once

#include <functional>

#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

struct ReportResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  // Valid only if the outcome is kAccepted.
  TargetReport report;

  auto operator<=>(const ReportResult&) const = default;
};

// Sends orders to targets. Callbacks are invoked on the event loop, never from
// within the call.
class TargetOrders {
 public:
  virtual ~TargetOrders() = default;

  virtual void Start(const StartOrder& order,
                     std::function<void(OrderResult)> on_end) = 0;
  virtual void Stop(const StopOrder& order,
                    std::function<void(OrderResult)> on_end) = 0;
  virtual void Pace(const PaceOrder& order,
                    std::function<void(OrderResult)> on_end) = 0;
  virtual void Report(const ReportOrder& order,
                      std::function<void(ReportResult)> on_end) = 0;
};

}  // namespace shallotwick::scheduling
