#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace shallotwick::base {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// A number that only grows. Safe to use from several threads.
class Counter {
 public:
  void Increment(uint64_t by = 1) {
    m_value.fetch_add(by, std::memory_order_relaxed);
  }
  uint64_t GetValue() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> m_value{0};
};

// Count, sum and quantiles of a duration, in seconds.
class DurationSummary {
 public:
  DurationSummary();
  ~DurationSummary();
  void Record(double seconds);

  uint64_t GetCount() const;
  double GetSum() const;
  // Estimates a quantile: 0.5, 0.9 or 0.99.
  double GetQuantile(double probability) const;

 private:
  struct Accumulator;
  mutable std::mutex m_mutex;
  std::unique_ptr<Accumulator> m_accumulator;
};

// The metrics of one process, in the Prometheus text exposition format.
class MetricRegistry {
 public:
  // Returns the counter of that name and labels, made at the first call. The
  // reference stays valid as long as the registry.
  Counter& GetCounter(const std::string& name, const MetricLabels& labels = {});
  DurationSummary& GetSummary(const std::string& name,
                              const MetricLabels& labels = {});
  // Registers a gauge that is read at exposition.
  void SetGauge(const std::string& name, std::function<double()> read,
                const MetricLabels& labels = {});

  std::string FormatExposition() const;

 private:
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex m_mutex;
  std::map<Key, std::unique_ptr<Counter>> m_counters;
  std::map<Key, std::unique_ptr<DurationSummary>> m_summaries;
  std::map<Key, std::function<double()>> m_gauges;
};

}  // namespace shallotwick::base
