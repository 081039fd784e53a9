#include "scheduling/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace shallotwick::scheduling {
namespace {

// Tasks of a route before its estimates are corrected.
constexpr int kLeastSamples = 20;
// The weight of the newest task in the means; a few seconds of a busy queue.
constexpr double kNewestWeight = 1.0 / 64;
// A task on a slow or stalled target counts as at most so many times the mean.
constexpr double kLongestOfMean = 4;

}  // namespace

void RunTimeModel::Learn(const std::string& route, double estimate_ms,
                         double took_ms) {
  Route& known = m_routes[route];
  if (known.samples > 0) {
    took_ms = std::min(took_ms, kLongestOfMean * known.mean_took_ms);
  }
  ++known.samples;
  const double weight = std::max(1.0 / known.samples, kNewestWeight);
  const auto move = [weight](double& mean, double value) {
    mean += weight * (value - mean);
  };
  move(known.mean_took_ms, took_ms);
  move(known.mean_estimate_ms, estimate_ms);
  const double scale = known.mean_estimate_ms > 0
                           ? known.mean_took_ms / known.mean_estimate_ms
                           : 0;
  move(known.estimate_error_ms, std::abs(took_ms - scale * estimate_ms));
  move(known.mean_error_ms, std::abs(took_ms - known.mean_took_ms));
}

// Of two guesses with mean errors a and b, weights b^2 and a^2 make the better
// one count more; with one of them exact, it counts alone.
RunTimeCorrection RunTimeModel::GetCorrection(const std::string& route) const {
  const auto found = m_routes.find(route);
  if (found == m_routes.end() || found->second.samples < kLeastSamples ||
      found->second.mean_estimate_ms <= 0) {
    return {};
  }
  const Route& known = found->second;
  const double by_estimate = known.mean_error_ms * known.mean_error_ms;
  const double by_mean = known.estimate_error_ms * known.estimate_error_ms;
  const double trust =
      by_estimate + by_mean > 0 ? by_estimate / (by_estimate + by_mean) : 1;
  return {trust * known.mean_took_ms / known.mean_estimate_ms,
          (1 - trust) * known.mean_took_ms};
}

double RunTimeModel::GetMeanMs(const std::string& route) const {
  const auto found = m_routes.find(route);
  return found == m_routes.end() ? 0 : found->second.mean_took_ms;
}

}  // namespace shallotwick::scheduling
