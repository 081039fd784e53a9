#include "base/metrics.h"

#if defined(__GNUC__) && !defined(__clang__)
// Boost 1.74's quantile accumulator initializes a member through its own
// accessor, which GCC reports as a use before initialization.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

// clang-format off
// Boost 1.74's quantile header uses <sstream> without including it.
#include <sstream>
// clang-format on

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace shallotwick::base {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

using Statistics = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square_quantile>>;

std::string FormatLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += (text.empty() ? "" : ",") + name + "=\"" + value + "\"";
  }
  return text;
}

std::string FormatSeries(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

// Writes the TYPE line of a metric unless the previous series had the same
// name.
void WriteType(std::ostream& out, std::string* last_name,
               const std::string& name, const char* type) {
  if (*last_name == name) {
    return;
  }
  *last_name = name;
  out << "# TYPE " << name << " " << type << "\n";
}

}  // namespace

struct DurationSummary::Accumulator {
  Statistics m_statistics{accumulators::extended_p_square_probabilities =
                              kQuantiles};
};

DurationSummary::DurationSummary()
    : m_accumulator(std::make_unique<Accumulator>()) {}

DurationSummary::~DurationSummary() = default;

void DurationSummary::Record(double seconds) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_accumulator->m_statistics(seconds);
}

uint64_t DurationSummary::GetCount() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return accumulators::count(m_accumulator->m_statistics);
}

double DurationSummary::GetSum() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return accumulators::sum(m_accumulator->m_statistics);
}

double DurationSummary::GetQuantile(double probability) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return accumulators::quantile(
      m_accumulator->m_statistics,
      accumulators::quantile_probability = probability);
}

Counter& MetricRegistry::GetCounter(const std::string& name,
                                    const MetricLabels& labels) {
  std::lock_guard<std::mutex> lock(m_mutex);
  auto& counter = m_counters[{name, FormatLabels(labels)}];
  if (!counter) {
    counter = std::make_unique<Counter>();
  }
  return *counter;
}

DurationSummary& MetricRegistry::GetSummary(const std::string& name,
                                            const MetricLabels& labels) {
  std::lock_guard<std::mutex> lock(m_mutex);
  auto& summary = m_summaries[{name, FormatLabels(labels)}];
  if (!summary) {
    summary = std::make_unique<DurationSummary>();
  }
  return *summary;
}

void MetricRegistry::SetGauge(const std::string& name,
                              std::function<double()> read,
                              const MetricLabels& labels) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_gauges[{name, FormatLabels(labels)}] = std::move(read);
}

std::string MetricRegistry::FormatExposition() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::ostringstream out;
  std::string last_name;
  for (const auto& [key, counter] : m_counters) {
    WriteType(out, &last_name, key.first, "counter");
    out << FormatSeries(key.first, key.second) << " " << counter->GetValue()
        << "\n";
  }
  for (const auto& [key, read] : m_gauges) {
    WriteType(out, &last_name, key.first, "gauge");
    out << FormatSeries(key.first, key.second) << " " << read() << "\n";
  }
  for (const auto& [key, summary] : m_summaries) {
    WriteType(out, &last_name, key.first, "summary");
    const std::string prefix = key.second.empty() ? "" : key.second + ",";
    for (double quantile : kQuantiles) {
      std::ostringstream label;
      label << prefix << "quantile=\"" << quantile << "\"";
      out << FormatSeries(key.first, label.str()) << " "
          << summary->GetQuantile(quantile) << "\n";
    }
    out << FormatSeries(key.first + "_sum", key.second) << " "
        << summary->GetSum() << "\n";
    out << FormatSeries(key.first + "_count", key.second) << " "
        << summary->GetCount() << "\n";
  }
  return out.str();
}

}  // namespace shallotwick::base
