#pragma once

#include <compare>
#include <map>
#include <string>

namespace shallotwick::scheduling {

// How to correct a submitter's estimate: `scale` times it, and `offset` more
// for each task of a chain.
struct RunTimeCorrection {
  double scale = 1;
  double offset_ms = 0;

  double Apply(double estimate_ms, int tasks = 1) const {
    return scale * estimate_ms + offset_ms * tasks;
  }

  auto operator<=>(const RunTimeCorrection&) const = default;
};

// Learns from ended tasks how long those of each route take. Where a route's
// estimates tell little, the mean of its run times takes their place.
class RunTimeModel {
 public:
  void Learn(const std::string& route, double estimate_ms, double took_ms);
  // Leaves estimates as they are until enough tasks of the route have ended.
  RunTimeCorrection GetCorrection(const std::string& route) const;
  // The mean of the route's run times, or nothing known: 0.
  double GetMeanMs(const std::string& route) const;

 private:
  struct Route {
    int samples = 0;
    double mean_took_ms = 0;
    double mean_estimate_ms = 0;
    // Mean errors of the scaled estimate, and of the mean alone.
    double estimate_error_ms = 0;
    double mean_error_ms = 0;
  };

  std::map<std::string, Route> m_routes;
};

}  // namespace shallotwick::scheduling
