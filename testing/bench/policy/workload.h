// Scenarios of the policy bench, generated from a seed.
#ifndef TESTING_BENCH_POLICY_WORKLOAD_H_
#define TESTING_BENCH_POLICY_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/clock.h"
#include "routing/prefix_keys.h"

namespace peridotgate::bench {

using coordination::Duration;

/** The organisation that exceeds its share in some scenarios. */
inline constexpr std::size_t kGreedyOrganisation = 2;

enum class Target { kModel, kService };

/** A request sent by a caller. */
struct Arrival {
  Duration at{0};
  std::size_t organisation = 0;
  std::string kind;
  Target target = Target::kModel;
  std::vector<routing::PrefixKey> chain;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  std::int64_t expected_output_tokens = 0;  // From the rules of its kind.
  Duration wait_limit{0};
  bool repeatable = true;
  bool long_work = false;
};

/** A period in which a model server is slow or down. */
struct Disturbance {
  std::size_t server = 0;
  Duration from{0};
  Duration to{0};
  double slowdown = 1;
  bool crash = false;  // Loses all state at `from`, restarts at `to`.
};

/** Switches parts of a scenario off or on, for reference runs. */
struct Variant {
  bool long_work = true;
  bool short_work = true;
  bool stragglers = true;
  bool greedy = true;
  bool crowded =
      false;  // All organisations send more, not only the greedy one.
  bool wait_limits = true;
};

/** A load and the faults injected during it. */
struct Scenario {
  std::string name;
  std::vector<std::string> organisations;
  std::vector<double> shares;
  std::vector<Arrival> arrivals;
  std::vector<Disturbance> disturbances;
  Duration warm_up{10000000};
  Duration length{0};
  Duration crest_from{0};
  Duration crest_to{0};
  Duration flood_from{0};  // Short calls of one organisation.
  Duration flood_to{0};
};

/** The names accepted by `MakeScenario`, in the order they are run. */
const std::vector<std::string>& ScenarioNames();

/** Deterministic for the same arguments. */
Scenario MakeScenario(std::string_view name,
                      std::uint64_t seed,
                      const Variant& variant = {});

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_POLICY_WORKLOAD_H_
