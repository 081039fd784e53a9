#pragma once

#include <functional>

#include "scheduling/target_orders.h"

namespace shallotwick::fakes {

// Ignores all orders; its targets never report.
class UnresponsiveTargets : public scheduling::TargetOrders {
 public:
  void Start(const scheduling::StartOrder&,
             std::function<void(scheduling::OrderResult)>) override {}
  void Stop(const scheduling::StopOrder&,
            std::function<void(scheduling::OrderResult)>) override {}
  void Pace(const scheduling::PaceOrder&,
            std::function<void(scheduling::OrderResult)>) override {}
  void Report(const scheduling::ReportOrder&,
              std::function<void(scheduling::ReportResult)>) override {}
};

}  // namespace shallotwick::fakes
