// Statistics computed from simulation runs.
#ifndef TESTING_BENCH_POLICY_MEASURES_H_
#define TESTING_BENCH_POLICY_MEASURES_H_

#include <functional>
#include <string>
#include <vector>

#include "bench/policy/simulation.h"

namespace peridotgate::bench {

/** Statistics of a set of requests. */
struct RequestStats {
  std::int64_t requests = 0;
  std::int64_t served = 0;
  std::int64_t refused = 0;
  std::int64_t late = 0;              // Reached the engine after the limit.
  std::int64_t late_first_token = 0;  // First token after the limit.
  std::int64_t attempts = 0;
  std::int64_t pieces = 0;
  std::int64_t held_pieces = 0;
  std::int64_t recomputed_tokens = 0;  // Cached on another server.
  double goodput_tokens = 0;           // Prompt and output, started in time.
  std::vector<double> first_token_ms;  // Sorted.

  double hit_rate() const;
  double mean_ms() const;
  /** Quantile of the time to first token; `q` in 0..1. */
  double quantile_ms(double q) const;
};

using RequestFilter = std::function<bool(const RequestResult&)>;

/** Statistics of the requests that pass `filter`. */
RequestStats ComputeStats(const RunResult& run, const RequestFilter& filter);

/** Selects model requests that arrived after the warm-up. */
RequestFilter ModelRequestsAfterWarmUp(const Scenario& scenario);

/** Hit rate that one cache with the memory of all servers would reach. */
double PooledHitRate(const RunResult& run, const Scenario& scenario);

/**
 * Goodput in engine seconds per second, over calls that started in time and
 * finished in [from, to). A call counts as the engine time that it takes in a
 * full batch with one cache of all servers' memory, so that neither cache
 * misses nor a cheap mix of calls raises the figure.
 */
double EngineGoodput(const RunResult& run, Duration from, Duration to);

/**
 * The lowest ratio of received service to fair share of any organisation in any
 * 10 s window in which it was backlogged; at most 1, and 1 when none was.
 */
double MinFairShareRatio(const RunResult& run, const Scenario& scenario);

/** * The engine time of an organisation as a part of all engine time in the
 * run, divided by its share; 1 means exactly its share.
 */
double ServiceOverShare(const RunResult& run,
                        const Scenario& scenario,
                        std::size_t organisation);

/** A JSON line for each organisation and kind of work. */
std::vector<std::string> DetailLines(const RunResult& run,
                                     const Scenario& scenario,
                                     const std::string& policy);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_MEASURES_H_
