#include "kernel/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>
#include <utility>

namespace hickorystand {

namespace acc = boost::accumulators;

struct Metrics::Distribution {
  using Set = acc::accumulator_set<
      double,
      acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

  Set set{acc::tag::extended_p_square::probabilities =
              std::vector<double>{0.5, 0.99}};

  MetricSummary Summarise() const {
    const auto quantiles = acc::extended_p_square(this->set);
    return {acc::count(this->set), acc::sum(this->set), quantiles[0],
            quantiles[1]};
  }
};

namespace {

std::string EscapeLabel(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    out += c == '\n' ? ' ' : c;
  }
  return out;
}

// The full name of a series: name{label="value"}.
std::string SeriesName(std::string_view name, const MetricLabels& labels) {
  std::string series(name);
  if (labels.empty()) {
    return series;
  }
  std::string_view separator = "{";
  for (const auto& [label, value] : labels) {
    series.append(separator).append(label).append("=\"");
    series.append(EscapeLabel(value)).append("\"");
    separator = ",";
  }
  return series + "}";
}

// Adds a quantile label to a series' name.
std::string WithQuantile(const std::string& series, std::string_view quantile) {
  const std::string label = "quantile=\"" + std::string(quantile) + "\"}";
  return series.back() == '}'
             ? series.substr(0, series.size() - 1) + "," + label
             : series + "{" + label;
}

// Inserts a suffix between the metric's name and its labels.
std::string WithSuffix(const std::string& series, std::string_view suffix) {
  const size_t brace = std::min(series.find('{'), series.size());
  return series.substr(0, brace) + std::string(suffix) + series.substr(brace);
}

}  // namespace

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(std::string_view name,
                  double amount,
                  const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  this->values[SeriesName(name, labels)] += amount;
}

void Metrics::Set(std::string_view name,
                  double value,
                  const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  this->values[SeriesName(name, labels)] = value;
}

void Metrics::Observe(std::string_view name,
                      double sample,
                      const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  auto& distribution = this->distributions[SeriesName(name, labels)];
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->set(sample);
}

double Metrics::Value(std::string_view name, const MetricLabels& labels) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->values.find(SeriesName(name, labels));
  return found == this->values.end() ? 0 : found->second;
}

MetricSummary Metrics::Summary(std::string_view name,
                               const MetricLabels& labels) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->distributions.find(SeriesName(name, labels));
  return found == this->distributions.end() ? MetricSummary{}
                                            : found->second->Summarise();
}

std::string Metrics::PrometheusText() const {
  const std::lock_guard lock(this->mutex);
  std::ostringstream out;
  for (const auto& [series, value] : this->values) {
    out << series << ' ' << value << '\n';
  }
  for (const auto& [series, distribution] : this->distributions) {
    const MetricSummary summary = distribution->Summarise();
    out << WithQuantile(series, "0.5") << ' ' << summary.median << '\n'
        << WithQuantile(series, "0.99") << ' ' << summary.p99 << '\n'
        << WithSuffix(series, "_sum") << ' ' << summary.sum << '\n'
        << WithSuffix(series, "_count") << ' ' << summary.count << '\n';
  }
  return out.str();
}

}  // namespace hickorystand
