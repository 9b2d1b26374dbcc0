// Measures how calls with uncached prefixes spread over idle engines.
#ifndef TESTING_BENCH_POLICY_COLD_SPREAD_H_
#define TESTING_BENCH_POLICY_COLD_SPREAD_H_

#include <cstdint>

namespace peridotgate::bench {

/**
 * Prints a JSON line for each policy: the load of the busiest engine relative
 * to an even spread, for sequential calls that share no prefix.
 */
void PrintColdSpread(std::uint64_t seed);

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_COLD_SPREAD_H_
