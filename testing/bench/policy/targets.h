// Targets of each scenario and their evaluation.
#ifndef TESTING_BENCH_POLICY_TARGETS_H_
#define TESTING_BENCH_POLICY_TARGETS_H_

#include <string>
#include <vector>

#include "bench/policy/measures.h"

namespace peridotgate::bench {

/** A measured value and the bound that it must meet. */
struct TargetResult {
  std::string name;
  double value = 0;
  double bound = 0;
  bool at_least = false;

  bool met() const { return at_least ? value >= bound : value <= bound; }
};

/** The runs of one scenario under all policies. */
struct ScenarioRuns {
  Scenario scenario;
  std::uint64_t seed = 0;
  std::vector<RunResult> runs;  // Indexed like `AllPolicies`.
};

/** Runs a scenario under every policy. */
ScenarioRuns RunAll(const std::string& scenario, std::uint64_t seed);

/** Evaluates the targets of the scenario for the policy at `index`. */
std::vector<TargetResult> EvaluateTargets(const ScenarioRuns& runs,
                                          std::size_t index);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_TARGETS_H_
