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

// A monotonically increasing counter. Thread-safe.
class Counter {
 public:
  void Increment(uint64_t by = 1) {
    m_value.fetch_add(by, std::memory_order_relaxed);
  }
  uint64_t GetValue() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> m_value{0};
};

// Count, sum and estimated quantiles of durations in seconds. Thread-safe.
class DurationSummary {
 public:
  DurationSummary();
  ~DurationSummary();
  void Record(double seconds);

  uint64_t GetCount() const;
  double GetSum() const;
  // Returns an estimate of the 0.5, 0.9 or 0.99 quantile.
  double GetQuantile(double probability) const;

 private:
  struct Accumulator;
  mutable std::mutex m_mutex;
  std::unique_ptr<Accumulator> m_accumulator;
};

// The metrics of one process, exported in the Prometheus text exposition
// format.
class MetricRegistry {
 public:
  // Returns the counter with this name and labels, and creates it at the first
  // call. The reference is valid for the lifetime of the registry.
  Counter& GetCounter(const std::string& name, const MetricLabels& labels = {});
  DurationSummary& GetSummary(const std::string& name,
                              const MetricLabels& labels = {});
  // Registers a gauge. `read` is called at each exposition.
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
