// Generates rules for configuration changes from survey answers, as operators
// do.
#ifndef TESTING_PROVE_RULES_GENERATOR_H_
#define TESTING_PROVE_RULES_GENERATOR_H_

#include <cstdint>
#include <string>

#include "prove/property.h"

namespace peridotgate::prove {

/** The values in which generated rules differ from the demo's. */
struct RulesOverrides {
  std::int64_t wait_ms = 3000;
  std::int64_t weights_version = 0;
};

/** Runs `survey` on edited answers; returns the path of the rules. */
asio::awaitable<std::string> GenerateRules(Run& run, RulesOverrides content);

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_RULES_GENERATOR_H_
