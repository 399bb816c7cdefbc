// Metrics: counters, gauges and distributions in the Prometheus text format.
//
// A process has one Metrics object; its functions are thread-safe. Label values
// must come from configuration or a fixed set, never from callers, otherwise a
// caller could grow the process's memory without bound.
//
//   metrics.Add("store_reads_total", 1);
//   metrics.Observe("request_seconds", 0.25, {{"service", id.Text()}});

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hickorystand {

// The labels of one series, as {name, value} pairs in output order.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Summary of the samples of one distribution.
struct MetricSummary {
  uint64_t count = 0;
  double sum = 0;
  double median = 0;
  double p99 = 0;

  bool operator==(const MetricSummary&) const = default;
};

// All metrics of one process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter, which is created at its first use.
  void Add(std::string_view name,
           double amount,
           const MetricLabels& labels = {});

  // Sets a gauge.
  void Set(std::string_view name,
           double value,
           const MetricLabels& labels = {});

  // Adds a sample to a distribution (Boost.Accumulators, P-square quantiles).
  void Observe(std::string_view name,
               double sample,
               const MetricLabels& labels = {});

  // The value of a counter or gauge; 0 if it was never set.
  double Value(std::string_view name, const MetricLabels& labels = {}) const;

  // The summary of a distribution; all zero if it has no sample.
  MetricSummary Summary(std::string_view name,
                        const MetricLabels& labels = {}) const;

  // All metrics in the Prometheus text format: counters and gauges, then
  // distributions, each sorted by name.
  std::string PrometheusText() const;

 private:
  struct Distribution;

  mutable std::mutex mutex;
  std::map<std::string, double> values;
  std::map<std::string, std::unique_ptr<Distribution>> distributions;
};

}  // namespace hickorystand
