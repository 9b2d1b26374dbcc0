#include "bench/slopes.h"

#include <algorithm>

#include "coordination/check.h"

namespace peridotgate::bench {
namespace {

// The costs of one repetition, indexed by output, then by size.
std::vector<std::vector<double>> MeasureOnce(const SlopeCase& it,
                                             const BenchTargets& targets) {
  std::vector<std::vector<double>> costs(it.outputs.size());
  for (const std::size_t n : it.sizes) {
    const std::vector<double> output_costs = it.measure(targets, n);
    PG_CHECK(output_costs.size() == it.outputs.size());
    for (std::size_t i = 0; i < output_costs.size(); ++i) {
      costs[i].push_back(output_costs[i]);
    }
  }
  return costs;
}

SlopeResult Summarise(const SlopeCase& it,
                      const SlopeOutput& output,
                      std::vector<double> slopes) {
  std::sort(slopes.begin(), slopes.end());
  SlopeResult result{output, {it.sizes.begin(), it.sizes.end()}};
  result.median = slopes[slopes.size() / 2];
  result.min = slopes.front();
  result.max = slopes.back();
  return result;
}

// Slopes of the fits that each omit one size. They give the spread of a case
// that runs only once.
std::vector<double> LeaveOneOutSlopes(std::span<const std::size_t> sizes,
                                      std::span<const double> costs) {
  std::vector<double> slopes;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    std::vector<std::size_t> other_sizes(sizes.begin(), sizes.end());
    std::vector<double> other_costs(costs.begin(), costs.end());
    other_sizes.erase(other_sizes.begin() + static_cast<std::ptrdiff_t>(i));
    other_costs.erase(other_costs.begin() + static_cast<std::ptrdiff_t>(i));
    slopes.push_back(FitSlope(other_sizes, other_costs));
  }
  return slopes;
}

}  // namespace

double FitSlope(std::span<const std::size_t> sizes,
                std::span<const double> costs) {
  PG_CHECK(sizes.size() == costs.size() && sizes.size() > 1);
  const auto count = static_cast<double>(sizes.size());
  double mean_size = 0;
  double mean_cost = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    mean_size += static_cast<double>(sizes[i]) / count;
    mean_cost += costs[i] / count;
  }
  double covariance = 0;
  double variance = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const double deviation = static_cast<double>(sizes[i]) - mean_size;
    covariance += deviation * (costs[i] - mean_cost);
    variance += deviation * deviation;
  }
  return covariance / variance;
}

std::vector<SlopeResult> MeasureSlopes(const SlopeCase& slope_case,
                                       const BenchTargets& targets,
                                       int repetitions) {
  // Warm up: the first run also pays for one-time initialisation.
  slope_case.measure(targets, slope_case.sizes.front());
  std::vector<std::vector<double>> slopes(slope_case.outputs.size());
  const int rounds = slope_case.single_round ? 1 : repetitions;
  for (int n = 0; n < rounds; ++n) {
    const auto costs = MeasureOnce(slope_case, targets);
    for (std::size_t i = 0; i < costs.size(); ++i) {
      if (slope_case.single_round) {
        slopes[i] = LeaveOneOutSlopes(slope_case.sizes, costs[i]);
      }
      slopes[i].push_back(FitSlope(slope_case.sizes, costs[i]));
    }
  }
  std::vector<SlopeResult> results;
  for (std::size_t i = 0; i < slopes.size(); ++i) {
    results.push_back(
        Summarise(slope_case, slope_case.outputs[i], std::move(slopes[i])));
  }
  return results;
}

}  // namespace peridotgate::bench
