// One gateway's share of the retry budget that all gateways share.
#ifndef GATEWAY_RETRY_LIMITS_H_
#define GATEWAY_RETRY_LIMITS_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "coordination/retry_budget.h"
#include "gateway/settings.h"

namespace peridotgate::gateway {

// The fraction of the shared budget that is used. Shares overlap for a while
// when gateways start or stop.
inline constexpr double kBudgetUsed = 0.7;
// Assumed number of gateways while the peers are unknown, such as after a
// restart of all gateways at once.
inline constexpr std::size_t kAssumedGateways = 9;

/** The limits of this gateway among `gateways`, if that number is known. */
inline coordination::RetryBudgetLimits RetryLimits(
    const GatewaySettings& settings,
    std::optional<std::size_t> gateways) {
  const std::size_t n =
      std::max<std::size_t>(1, gateways.value_or(kAssumedGateways));
  coordination::RetryBudgetLimits limits;
  limits.ratio = settings.retry_ratio * kBudgetUsed;
  limits.organisation_ratio = limits.ratio;
  limits.burst = kBudgetUsed * settings.retry_slack / static_cast<double>(n);
  return limits;
}

}  // namespace peridotgate::gateway

#endif  // GATEWAY_RETRY_LIMITS_H_
