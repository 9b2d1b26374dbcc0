// Measures costs at several sizes and fits a line by least squares. The slope
// is the cost of one more unit, such as a token, stream or organisation.
#ifndef TESTING_BENCH_SLOPES_H_
#define TESTING_BENCH_SLOPES_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/settings_reader.h"

namespace peridotgate::bench {

/** Processes and credentials for the end-to-end measurements. */
struct BenchTargets {
  runtime::Endpoint entry;
  int entry_pid = 0;
  int agent_pid = 0;       // Its engine streams at a usual rate.
  int idle_agent_pid = 0;  // Its engine keeps streams open.
  std::string key;
};

/** Name and unit of one measured quantity. */
struct SlopeOutput {
  std::string_view name;
  std::string_view unit;
};

/**
 * One measurement: `measure` returns the total cost at size `n`, one value for
 * each output.
 */
struct SlopeCase {
  std::span<const SlopeOutput> outputs;
  std::span<const std::size_t> sizes;
  std::vector<double> (*measure)(const BenchTargets& targets, std::size_t n);
  bool single_round = false;  // For memory that a process never releases.
};

/** Median and range of the slope of one output, over all repetitions. */
struct SlopeResult {
  SlopeOutput output;
  std::vector<std::size_t> sizes;
  double median = 0;
  double min = 0;
  double max = 0;
};

/** The least-squares slope of `costs` over `sizes`. */
double FitSlope(std::span<const std::size_t> sizes,
                std::span<const double> costs);

/** Runs `slope_case` at every size, `repetitions` times. */
std::vector<SlopeResult> MeasureSlopes(const SlopeCase& slope_case,
                                       const BenchTargets& targets,
                                       int repetitions);

/** Measurements within one process, except for the end-to-end `PathSlopes`. */
std::span<const SlopeCase> StateSlopes();
std::span<const SlopeCase> ControlSlopes();
std::span<const SlopeCase> OrderSlopes();
std::span<const SlopeCase> WireSlopes();
std::span<const SlopeCase> PathSlopes();

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_SLOPES_H_
