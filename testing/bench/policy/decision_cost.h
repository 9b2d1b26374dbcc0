// Processor time of one routing and scheduling decision, for several numbers of
// replicas and organisations.
#ifndef TESTING_BENCH_POLICY_DECISION_COST_H_
#define TESTING_BENCH_POLICY_DECISION_COST_H_

#include <cstdint>

namespace peridotgate::bench {

/** Prints a JSON line for each size and a summary with the targets. */
void PrintDecisionCost(std::uint64_t seed);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_DECISION_COST_H_
