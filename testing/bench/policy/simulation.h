// Runs one policy on one scenario over a virtual clock.
#ifndef TESTING_BENCH_POLICY_SIMULATION_H_
#define TESTING_BENCH_POLICY_SIMULATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bench/policy/entry_policy.h"
#include "bench/policy/workload.h"

namespace peridotgate::bench {

/** The outcome of one request. */
struct RequestResult {
  Arrival arrival;
  bool caller_retry = false;
  int attempts = 0;
  bool served = false;                     // The answer was complete.
  bool refused = false;                    // Reported to the caller as not run.
  std::optional<Duration> dispatch_delay;  // From arrival to the engine.
  std::optional<Duration> first_token;     // From arrival at the entry.
  Duration finished{0};                    // Since the start of the run.
  std::size_t server = 0;                  // Sent the first token.
  std::int64_t held_pieces = 0;
  std::int64_t recomputed_pieces = 0;  // Cached, but on another server.
};

/** Service of each organisation in one interval of `kServiceSample`. */
struct ServiceSample {
  std::vector<double> engine_us;  // Engine time at normal speed.
  std::vector<bool> backlogged;
};

inline constexpr Duration kServiceSample{100000};

/** Everything measured in one run. */
struct RunResult {
  std::vector<RequestResult> requests;
  std::vector<ServiceSample> service;
  double engine_us = 0;  // Time of the model engines, at normal speed.
  // The part of `engine_us` spent on attempts whose output was discarded.
  double unused_engine_us = 0;
  std::int64_t second_attempts = 0;
  std::int64_t probes = 0;
};

/** Runs the simulation. Deterministic for the same arguments. */
RunResult Run(const Scenario& scenario,
              const PolicyParts& policy,
              std::uint64_t seed);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_SIMULATION_H_
