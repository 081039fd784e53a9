#pragma once

#include <compare>
#include <map>
#include <string>

namespace shallotwick::scheduling {

// A linear correction of a submitter's run-time estimate: `scale` times the
// estimate plus `offset_ms` for each task of a chain.
struct RunTimeCorrection {
  double scale = 1;
  double offset_ms = 0;

  double Apply(double estimate_ms, int tasks = 1) const {
    return scale * estimate_ms + offset_ms * tasks;
  }

  auto operator<=>(const RunTimeCorrection&) const = default;
};

// Predicts the run times of the tasks of each route from those of completed
// tasks. If the estimates of a route are poor predictors, the mean run time of
// the route replaces them.
class RunTimeModel {
 public:
  void AddSample(const std::string& route, double estimate_ms,
                 double run_time_ms);
  // Returns the identity until enough tasks of the route have completed.
  RunTimeCorrection GetCorrection(const std::string& route) const;
  // Returns the mean run time of the route, or 0 if no task has completed.
  double GetMeanMs(const std::string& route) const;

 private:
  struct Route {
    int samples = 0;
    double mean_run_time_ms = 0;
    double mean_estimate_ms = 0;
    // The mean absolute errors of the scaled estimate and of the mean run time
    // as predictors.
    double estimate_error_ms = 0;
    double mean_error_ms = 0;
  };

  std::map<std::string, Route> m_routes;
};

}  // namespace shallotwick::scheduling
