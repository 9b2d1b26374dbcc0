#include "runtime/metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

#include <spdlog/fmt/fmt.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace peridotgate::runtime {
namespace {

namespace acc = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;
constexpr std::array<double, 3> kQuantiles = {kMedian, kP95, kP99};

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

std::string Escape(std::string_view text) {
  std::string out;
  for (char it : text) {
    if (it == '\\' || it == '"') {
      out += '\\';
    }
    out += it == '\n' ? ' ' : it;
  }
  return out;
}

// Formats labels as name="value",name="value", without braces.
std::string JoinLabels(std::initializer_list<Label> labels) {
  std::string out;
  for (const Label& it : labels) {
    if (!out.empty()) {
      out += ',';
    }
    out += fmt::format("{}=\"{}\"", it.name, Escape(it.value));
  }
  return out;
}

std::string FormatSeries(std::string_view name, std::string_view labels) {
  return labels.empty() ? std::string(name)
                        : fmt::format("{}{{{}}}", name, labels);
}

struct SeriesKey {
  std::string name;
  std::string labels;
  bool operator<(const SeriesKey& other) const {
    return std::tie(name, labels) < std::tie(other.name, other.labels);
  }
};

template <class T>
using SeriesMap = std::map<SeriesKey, std::unique_ptr<T>>;

template <class T>
T& FindOrCreate(SeriesMap<T>& map,
                std::string_view name,
                std::initializer_list<Label> labels) {
  auto& slot = map[SeriesKey{std::string(name), JoinLabels(labels)}];
  if (!slot) {
    slot = std::make_unique<T>();
  }
  return *slot;
}

// Appends the TYPE line when `name` differs from `last_name`.
void PrintType(std::string& out,
               std::string& last_name,
               const std::string& name,
               std::string_view type) {
  if (last_name != name) {
    out += fmt::format("# TYPE {} {}\n", name, type);
    last_name = name;
  }
}

void PrintSummary(std::string& out,
                  const SeriesKey& key,
                  const Distribution::Summary& summary) {
  auto quantile = [&](std::string_view q, double value) {
    const std::string labels = fmt::format("{}{}quantile=\"{}\"", key.labels,
                                           key.labels.empty() ? "" : ",", q);
    // Quantiles are estimates: further digits carry no information and compress
    // poorly.
    out += fmt::format("{} {:.4g}\n", FormatSeries(key.name, labels), value);
  };
  quantile("0.5", summary.median);
  quantile("0.95", summary.p95);
  quantile("0.99", summary.p99);
  out += fmt::format("{} {:.9g}\n", FormatSeries(key.name + "_sum", key.labels),
                     summary.sum);
  out += fmt::format("{} {}\n", FormatSeries(key.name + "_count", key.labels),
                     summary.count);
}

}  // namespace

struct Distribution::Impl {
  mutable std::mutex mutex;
  Accumulator values{acc::extended_p_square_probabilities = kQuantiles};
};

Distribution::Distribution() : impl_(std::make_unique<Impl>()) {}
Distribution::~Distribution() = default;

void Distribution::Observe(double value) {
  std::lock_guard lock(impl_->mutex);
  impl_->values(value);
}

Distribution::Summary Distribution::Read() const {
  std::lock_guard lock(impl_->mutex);
  const Accumulator& it = impl_->values;
  Summary summary;
  summary.count = acc::count(it);
  summary.sum = acc::sum(it);
  if (summary.count > 0) {
    summary.median = acc::quantile(it, acc::quantile_probability = kMedian);
    summary.p95 = acc::quantile(it, acc::quantile_probability = kP95);
    summary.p99 = acc::quantile(it, acc::quantile_probability = kP99);
  }
  return summary;
}

struct Metrics::Impl {
  mutable std::mutex mutex;
  SeriesMap<Counter> counters;
  SeriesMap<Gauge> gauges;
  SeriesMap<Distribution> distributions;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter& Metrics::GetCounter(std::string_view name,
                             std::initializer_list<Label> labels) {
  std::lock_guard lock(impl_->mutex);
  return FindOrCreate(impl_->counters, name, labels);
}

Gauge& Metrics::GetGauge(std::string_view name,
                         std::initializer_list<Label> labels) {
  std::lock_guard lock(impl_->mutex);
  return FindOrCreate(impl_->gauges, name, labels);
}

Distribution& Metrics::GetDistribution(std::string_view name,
                                       std::initializer_list<Label> labels) {
  std::lock_guard lock(impl_->mutex);
  return FindOrCreate(impl_->distributions, name, labels);
}

std::string Metrics::Print() const {
  std::lock_guard lock(impl_->mutex);
  std::string out;
  std::string last_name;
  for (const auto& [key, counter] : impl_->counters) {
    PrintType(out, last_name, key.name, "counter");
    out += fmt::format("{} {}\n", FormatSeries(key.name, key.labels),
                       counter->value());
  }
  for (const auto& [key, gauge] : impl_->gauges) {
    PrintType(out, last_name, key.name, "gauge");
    out += fmt::format("{} {}\n", FormatSeries(key.name, key.labels),
                       gauge->value());
  }
  for (const auto& [key, distribution] : impl_->distributions) {
    PrintType(out, last_name, key.name, "summary");
    PrintSummary(out, key, distribution->Read());
  }
  return out;
}

}  // namespace peridotgate::runtime
