// A load generator of concurrent chat completion streams.
#ifndef TESTING_BENCH_PATH_LOAD_H_
#define TESTING_BENCH_PATH_LOAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "runtime/settings_reader.h"

namespace peridotgate::bench {

/** Parameters of a load. */
struct LoadOptions {
  std::vector<runtime::Endpoint> servers;  // Streams are spread round-robin.
  std::string key;
  std::string model;  // Also the kind of work.
  std::size_t streams = 1;
  std::int64_t tokens = 50;  // Per answer.
  std::size_t requests = 1;  // Minimum per stream.
  std::chrono::milliseconds time{
      0};  // Streams send new requests for this long.
};

/** Totals over all answers of a load. */
struct LoadResult {
  std::vector<double> first_token_ms;
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t tokens = 0;
  std::uint64_t bytes = 0;
  double seconds = 0;
};

/** Runs the load until all streams have finished. */
LoadResult RunLoad(const LoadOptions& options);

/**
 * Opens `options.streams` streams, calls `while_open` once each has received
 * its first token, then closes them. False if a stream failed or timed out.
 */
bool HoldStreams(const LoadOptions& options,
                 const std::function<void()>& while_open);

/** The `ratio` quantile of `values`, which may be unsorted. */
double Quantile(std::vector<double> values, double ratio);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_PATH_LOAD_H_
