// Counters, gauges and distributions, exported in the Prometheus text format.
#ifndef RUNTIME_METRICS_H_
#define RUNTIME_METRICS_H_

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace peridotgate::runtime {

/** A monotonically increasing count. Thread-safe. */
class Counter {
 public:
  void Add(std::uint64_t n = 1) {
    value_.fetch_add(n, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/** A value that can go up and down. Thread-safe. */
class Gauge {
 public:
  void Set(std::int64_t n) { value_.store(n, std::memory_order_relaxed); }
  void Add(std::int64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/** The count, sum and streaming quantile estimates of observed values. */
class Distribution {
 public:
  Distribution();
  ~Distribution();

  /** Records `value`. Thread-safe. */
  void Observe(double value);

  struct Summary {
    std::uint64_t count = 0;
    double sum = 0;
    double median = 0;
    double p95 = 0;
    double p99 = 0;
  };
  Summary Read() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** A name=value pair that distinguishes the series of a metric. */
struct Label {
  std::string_view name;
  std::string_view value;
};

/**
 * The metric registry of a process. A series is created on first use and lives
 * as long as the registry, so callers may keep the returned reference.
 *
 *     Counter& refused = metrics.GetCounter(
 *         "peridotgate_refused_total", {{"reason", "leaving"}});
 */
class Metrics {
 public:
  Metrics();
  ~Metrics();

  Counter& GetCounter(std::string_view name,
                      std::initializer_list<Label> labels = {});
  Gauge& GetGauge(std::string_view name,
                  std::initializer_list<Label> labels = {});
  Distribution& GetDistribution(std::string_view name,
                                std::initializer_list<Label> labels = {});

  /** Formats all series in the Prometheus text format, version 0.0.4. */
  std::string Print() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_METRICS_H_
