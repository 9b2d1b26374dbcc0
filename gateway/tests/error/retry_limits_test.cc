// All gateways together must stay within the shared retry budget, even when all
// start at once and do not know of each other.
#include "retry_limits.h"

#include <vector>

#include <gtest/gtest.h>

namespace peridotgate::gateway {
namespace {

int Retries(std::size_t gateways,
            std::optional<std::size_t> known,
            int requests_each) {
  GatewaySettings settings;
  settings.retry_ratio = 0.2;
  settings.retry_slack = 58;
  int retries = 0;
  for (std::size_t i = 0; i < gateways; ++i) {
    coordination::RetryBudget budget(RetryLimits(settings, known));
    for (int n = 0; n < requests_each; ++n) {
      budget.OnRequest("service");
      retries += budget.TryRetry("service") ? 1 : 0;
    }
    while (budget.TryRetry("service")) {
      ++retries;
    }
  }
  return retries;
}

TEST(RetryLimits, KeepAllGatewaysWithinTheSharedBudget) {
  for (const std::size_t gateways : {1U, 5U, 6U, 9U}) {
    for (const int requests : {0, 10, 400}) {
      SCOPED_TRACE(std::to_string(gateways) + " gateways, " +
                   std::to_string(requests) + " requests each");
      const double allowed =
          0.2 * requests * static_cast<double>(gateways) + 58;
      EXPECT_LE(Retries(gateways, gateways, requests), allowed);
      EXPECT_LE(Retries(gateways, std::nullopt, requests), allowed);
    }
  }
}

}  // namespace
}  // namespace peridotgate::gateway
