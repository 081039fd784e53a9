#include "scheduling/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace shallotwick::scheduling {
namespace {

// The number of completed tasks of a route before its estimates are corrected.
constexpr int kMinSamples = 20;
// The minimum weight of the newest sample in the moving averages; it
// corresponds to a few seconds of a busy queue.
constexpr double kMinNewestWeight = 1.0 / 64;
// Run times are capped at this multiple of the mean, which limits the effect of
// slow or stalled targets.
constexpr double kMaxRunTimeToMean = 4;

}  // namespace

void RunTimeModel::AddSample(const std::string& route, double estimate_ms,
                             double run_time_ms) {
  Route& stats = m_routes[route];
  if (stats.samples > 0) {
    run_time_ms =
        std::min(run_time_ms, kMaxRunTimeToMean * stats.mean_run_time_ms);
  }
  ++stats.samples;
  const double weight = std::max(1.0 / stats.samples, kMinNewestWeight);
  const auto update = [weight](double& mean, double value) {
    mean += weight * (value - mean);
  };
  update(stats.mean_run_time_ms, run_time_ms);
  update(stats.mean_estimate_ms, estimate_ms);
  const double scale = stats.mean_estimate_ms > 0
                           ? stats.mean_run_time_ms / stats.mean_estimate_ms
                           : 0;
  update(stats.estimate_error_ms, std::abs(run_time_ms - scale * estimate_ms));
  update(stats.mean_error_ms, std::abs(run_time_ms - stats.mean_run_time_ms));
}

// Combines two predictors with mean errors a and b by the weights b^2 and a^2,
// so that the more accurate one has more influence. If one of them is exact,
// only that one is used.
RunTimeCorrection RunTimeModel::GetCorrection(const std::string& route) const {
  const auto found = m_routes.find(route);
  if (found == m_routes.end() || found->second.samples < kMinSamples ||
      found->second.mean_estimate_ms <= 0) {
    return {};
  }
  const Route& stats = found->second;
  const double estimate_score = stats.mean_error_ms * stats.mean_error_ms;
  const double mean_score = stats.estimate_error_ms * stats.estimate_error_ms;
  const double estimate_weight =
      estimate_score + mean_score > 0
          ? estimate_score / (estimate_score + mean_score)
          : 1;
  return {estimate_weight * stats.mean_run_time_ms / stats.mean_estimate_ms,
          (1 - estimate_weight) * stats.mean_run_time_ms};
}

double RunTimeModel::GetMeanMs(const std::string& route) const {
  const auto found = m_routes.find(route);
  return found == m_routes.end() ? 0 : found->second.mean_run_time_ms;
}

}  // namespace shallotwick::scheduling
